package broker_test

import (
	"slices"
	"testing"
	"time"

	"github.com/pollendoor/pollendoor/broker"
)

// scheduled plays statements at a Scheduler in virtual time.
type scheduled struct {
	broker.Scheduler
	now    time.Time
	target fakeTarget
	ran    []string // teams in the order in which their statements got a slot
	conn   map[string]*broker.Conn
	dials  int
}

func newScheduled(connections, slots int) *scheduled {
	s := &scheduled{now: time.Unix(0, 0), conn: make(map[string]*broker.Conn)}
	s.Configure(connections, slots, s.now)
	return s
}

// queue queues a statement that may wait for the given time.
func (s *scheduled) queue(team string, priority int, wait time.Duration) bool {
	return s.Enqueue(&broker.Waiter{Team: team, Priority: priority, Deadline: s.now.Add(wait), Grant: func(c *broker.Conn) {
		if c == nil {
			s.dials++
			c = &broker.Conn{TargetConn: &fakeConn{target: &s.target}, Team: team}
		}
		s.ran, s.conn[team] = append(s.ran, team), c
	}}, s.now)
}

// finish ends the statement of a team that has a slot.
func (s *scheduled) finish(team string) {
	s.now = s.now.Add(10 * time.Millisecond)
	s.Finish(s.conn[team], 10*time.Millisecond, s.now)
}

// open gives each team an idle connection.
func (s *scheduled) open(teams ...string) {
	for _, t := range teams {
		s.queue(t, 1, time.Second)
		s.finish(t)
	}
	s.ran, s.dials = nil, 0
}

// Pattern: connection churn. There are more teams than connections, and a new
// connection occupies a slot as long as a statement. While a queue stands, statements
// that can use an open connection run first, but none waits beyond its time.
func TestOpenConnectionsAreUsedFirst(t *testing.T) {
	for _, tc := range []struct {
		name  string
		queue func(s *scheduled)
		want  []string
		dials int
	}{
		{"a team without a connection is passed over", func(s *scheduled) {
			s.queue("c", 1, time.Second)
			s.queue("b", 1, 2*time.Second)
		}, []string{"a", "b", "c"}, 1},
		{"not if its time is nearly over", func(s *scheduled) {
			s.queue("c", 1, 55*time.Millisecond)
			s.queue("b", 1, 2*time.Second)
		}, []string{"a", "c", "b"}, 1},
		{"not by a lower priority", func(s *scheduled) {
			s.queue("c", 1, time.Second)
			s.queue("b", 2, time.Second)
		}, []string{"a", "c", "b"}, 1},
		{"not while a connection may be opened", func(s *scheduled) {
			s.Configure(3, 1, s.now)
			s.queue("c", 1, time.Second)
			s.queue("b", 1, 2*time.Second)
		}, []string{"a", "c", "b"}, 1},
	} {
		s := newScheduled(2, 1)
		s.open("a", "b")
		s.queue("a", 1, time.Second)
		tc.queue(s)
		for i := range 3 {
			s.finish(s.ran[i])
		}
		if !slices.Equal(s.ran, tc.want) {
			t.Errorf("%s: got the order %v, want %v", tc.name, s.ran, tc.want)
		}
		if s.dials != tc.dials {
			t.Errorf("%s: got %d new connections, want %d", tc.name, s.dials, tc.dials)
		}
	}
}

// The next statement of a team runs on the connection that the one before it has
// just returned. When the slot was granted before the connection was idle, each of
// them opened a new one.
func TestConnectionIsReturnedBeforeTheSlot(t *testing.T) {
	s := newScheduled(2, 1)
	for range 5 {
		s.queue("a", 1, time.Second)
	}
	for range 5 {
		s.finish("a")
	}
	if got, want := s.dials, 1; got != want {
		t.Errorf("got %d new connections, want %d", got, want)
	}
}

// A team whose statements are queued keeps its connection when another team needs one.
func TestConnectionOfAWaitingTeamStaysOpen(t *testing.T) {
	s := newScheduled(2, 1)
	s.open("a", "b")
	s.queue("b", 1, time.Second) // a's connection has been idle for longer
	s.queue("c", 1, 40*time.Millisecond)
	s.queue("a", 1, time.Second)
	for i := range 3 {
		s.finish(s.ran[i])
	}
	if got, want := s.dials, 1; got != want {
		t.Errorf("got %d new connections, want %d", got, want)
	}
}

// When another VM becomes the target's home VM, the connections beyond the new
// maximum are closed at once, so that the home VM can open its own.
func TestIdleConnectionsBeyondTheMaximumAreClosed(t *testing.T) {
	s := newScheduled(4, 4)
	s.open("a", "b", "c")
	s.Configure(1, 4, s.now)
	if got, want := s.Open(), 1; got != want {
		t.Errorf("got %d open connections, want %d", got, want)
	}
}
