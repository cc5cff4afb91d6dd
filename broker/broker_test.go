package broker_test

import (
	"context"
	"errors"
	"sync"
	"testing"
	"time"

	"github.com/pollendoor/pollendoor"
	"github.com/pollendoor/pollendoor/broker"
)

// target is a stand-in with a few connections whose statements last until they
// are let go.
type target struct {
	mu     sync.Mutex
	most   int // connections, zero for no limit
	open   int
	dials  int
	dark   bool
	left   time.Duration // of the last connection attempt
	resets int
	ran    []string // teams, in the order of their statements
	hold   chan struct{}
	reply  func(*pollendoor.Work) pollendoor.Reply
	setup  func(open pollendoor.Opening) pollendoor.Reply
}

var errDark = errors.New("no route to host")

func (t *target) dial(ctx context.Context, _ pollendoor.TargetInfo, team string) (pollendoor.TargetConn, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if d, ok := ctx.Deadline(); ok {
		t.left = time.Until(d)
	}
	t.dials++
	if t.dark {
		return nil, errDark
	}
	if t.most > 0 && t.open >= t.most {
		return nil, &pollendoor.TargetError{Code: pollendoor.ErrConnLimit}
	}
	t.open++
	return &conn{target: t, team: team}, nil
}

// conn is a connection that checks how it is used.
type conn struct {
	target *target
	team   string
	values []pollendoor.Setting
	inTx   bool
	closed bool
}

func (c *conn) Reset(time.Time) pollendoor.Reply {
	c.target.mu.Lock()
	defer c.target.mu.Unlock()
	c.target.resets++
	c.values = nil
	return pollendoor.Reply{Signature: "-", State: 'I'}
}

func (c *conn) Setup(values []pollendoor.Setting, _ *pollendoor.Shape, open pollendoor.Opening, _ pollendoor.Position, _ time.Time) pollendoor.Reply {
	c.values = append(c.values, values...)
	if c.target.setup != nil {
		if r := c.target.setup(open); r.Code != "" || r.Lost {
			return r
		}
	}
	if open != pollendoor.OpenNone {
		c.inTx = true
	}
	return pollendoor.Reply{Signature: "-", State: 'I'}
}

func (c *conn) Run(w *pollendoor.Work, _ pollendoor.Position, _ time.Time) pollendoor.Reply {
	c.target.mu.Lock()
	c.target.ran = append(c.target.ran, c.team)
	hold := c.target.hold
	c.target.mu.Unlock()
	if hold != nil {
		<-hold
	}
	if c.target.reply != nil {
		return c.target.reply(w)
	}
	if w.Ends {
		c.inTx = false
	}
	state := byte('I')
	if c.inTx {
		state = 'T'
	}
	r := pollendoor.Reply{Signature: "sig", State: state}
	for _, v := range c.values {
		r.Rows = append(r.Rows, v.Name+"="+v.Value)
	}
	return r
}

func (c *conn) Rollback(time.Time) pollendoor.Reply {
	c.inTx = false
	return pollendoor.Reply{Signature: "-", State: 'I'}
}

func (c *conn) Probe(time.Time) pollendoor.Reply {
	return pollendoor.Reply{Signature: "-", State: 'I', Position: pollendoor.Position{Term: 1, Index: 1}}
}

func (c *conn) Status(time.Time) (pollendoor.TargetStatus, error) {
	return pollendoor.TargetStatus{}, nil
}

func (c *conn) StepDown(pollendoor.Term, time.Time) (pollendoor.TargetStatus, error) {
	return pollendoor.TargetStatus{}, nil
}

func (c *conn) Alive() bool { return !c.closed }

func (c *conn) Close() {
	c.target.mu.Lock()
	defer c.target.mu.Unlock()
	if !c.closed {
		c.closed = true
		c.target.open--
	}
}

func newBroker(t *target, connections, slots int) *broker.Broker {
	b := &broker.Broker{Dial: t.dial}
	b.Configure(pollendoor.TargetInfo{ID: "t"}, connections, slots)
	return b
}

func work() *pollendoor.Work {
	return &pollendoor.Work{Text: "FETCH a", MaxWait: 5 * time.Second, Timeout: 10 * time.Second}
}

// Eight teams share fewer connections than there are teams: connections are
// kept for the team that has used them, and given up for one that has none.
func TestConnectionsAreSharedBetweenTeams(t *testing.T) {
	s := &target{}
	b := newBroker(s, 2, 4)
	for _, team := range []string{"a", "b", "a", "b", "c", "b", "a"} {
		turn := b.Open(team)
		if r := turn.Do(work()); !r.OK() {
			t.Fatalf("team %s: got %s, want success", team, r.Code)
		}
		turn.Close()
	}
	if got, want := s.dials, 4; got != want {
		t.Errorf("got %d new connections, want %d", got, want)
	}
	if got, want := s.open, 2; got != want {
		t.Errorf("got %d open connections, want %d", got, want)
	}
}

func TestSessionValuesFollowTheSession(t *testing.T) {
	s := &target{}
	b := newBroker(s, 1, 1)
	run := func(values ...pollendoor.Setting) []string {
		turn := b.Open("a")
		defer turn.Close()
		w := work()
		w.Values = values
		return turn.Do(w).Rows
	}
	one, two := pollendoor.Setting{Name: "x", Value: "1"}, pollendoor.Setting{Name: "y", Value: "2"}
	for i, tc := range []struct {
		values []pollendoor.Setting
		want   int
	}{{nil, 0}, {[]pollendoor.Setting{one}, 1}, {[]pollendoor.Setting{one, two}, 2}, {[]pollendoor.Setting{two}, 1}, {nil, 0}} {
		if got := run(tc.values...); len(got) != tc.want {
			t.Errorf("step %d: got values %v, want %d of them", i, got, tc.want)
		}
	}
	if got, want := s.resets, 2; got != want {
		t.Errorf("got %d resets, want %d", got, want)
	}
}

// A BEGIN that is refused leaves the values on the connection uncertain: the next
// session must not see them.
func TestRefusedSetupIsCleared(t *testing.T) {
	s := &target{}
	b := newBroker(s, 1, 1)
	s.setup = func(open pollendoor.Opening) pollendoor.Reply {
		if open == pollendoor.OpenRead {
			return pollendoor.Reply{Code: pollendoor.ErrLagging, State: 'I'}
		}
		return pollendoor.Reply{}
	}
	turn := b.Open("a")
	w := work()
	w.Values, w.Open = []pollendoor.Setting{{Name: "x", Value: "1"}}, pollendoor.OpenRead
	if r := turn.Do(w); r.Code != pollendoor.ErrLagging || r.Sent {
		t.Fatalf("got %s (sent %v), want a refusal of what was not sent", r.Code, r.Sent)
	}
	turn.Close()
	if got := s.ran; len(got) != 0 {
		t.Fatalf("got %d statements behind a refused BEGIN, want none", len(got))
	}
	if got := b.Open("a").Do(work()).Rows; len(got) != 0 {
		t.Errorf("got values %v of another session, want none", got)
	}
}

// wait polls until done, as other goroutines have to get somewhere first.
func wait(t *testing.T, done func() bool) {
	t.Helper()
	for range 5000 {
		if done() {
			return
		}
		time.Sleep(time.Millisecond)
	}
	t.Fatal("waited in vain")
}

// More statements than slots: the most urgent goes first, and the slots are
// never exceeded.
func TestUrgentStatementsGoFirst(t *testing.T) {
	s := &target{hold: make(chan struct{})}
	b := newBroker(s, 8, 1)
	var wg sync.WaitGroup
	start := func(team string, priority int) {
		w := work()
		w.Priority = priority
		wg.Go(func() {
			turn := b.Open(team)
			defer turn.Close()
			turn.Do(w)
		})
	}
	ran := func() int {
		s.mu.Lock()
		defer s.mu.Unlock()
		return len(s.ran)
	}
	start("first", 2)
	wait(t, func() bool { return ran() == 1 })
	start("guest", 2)
	wait(t, func() bool { return b.Delay() > 30*time.Millisecond })
	start("payment", 1)
	wait(t, func() bool { return b.Delay() > 50*time.Millisecond })
	if got := ran(); got != 1 {
		t.Fatalf("got %d statements at a target with one slot, want 1", got)
	}
	close(s.hold)
	wg.Wait()
	if got, want := s.ran[1], "payment"; got != want {
		t.Errorf("got %s first, want %s", got, want)
	}
}

// A queue that can't be served in time refuses at once what would wait too long.
func TestHopelessStatementIsRefusedAtOnce(t *testing.T) {
	s := &target{hold: make(chan struct{})}
	b := newBroker(s, 1, 1)
	var wg sync.WaitGroup
	wg.Go(func() { b.Open("a").Do(work()) })
	wait(t, func() bool {
		s.mu.Lock()
		defer s.mu.Unlock()
		return len(s.ran) == 1
	})
	w := work()
	w.MaxWait = time.Nanosecond
	if r := b.Open("b").Do(w); r.Code != pollendoor.ErrBusy || r.Sent {
		t.Errorf("got %s (sent %v), want BUSY of what was not sent", r.Code, r.Sent)
	}
	close(s.hold)
	wg.Wait()
}

// The connections of VMs that have lost power linger at the target: one more is
// refused, and the statement waits for one of those that there are.
func TestConnectionLimitWaitsForAConnection(t *testing.T) {
	s := &target{most: 1, hold: make(chan struct{})}
	b := newBroker(s, 5, 5)
	var wg sync.WaitGroup
	replies := make([]pollendoor.Reply, 3)
	for i := range replies {
		wg.Go(func() {
			turn := b.Open("a")
			defer turn.Close()
			replies[i] = turn.Do(work())
		})
	}
	wait(t, func() bool {
		s.mu.Lock()
		defer s.mu.Unlock()
		return s.dials >= 2 && len(s.ran) == 1
	})
	close(s.hold)
	wg.Wait()
	for i, r := range replies {
		if !r.OK() {
			t.Errorf("statement %d: got %s, want success", i, r.Code)
		}
	}
}

func TestDarkTargetIsToldApart(t *testing.T) {
	s := &target{dark: true}
	b := newBroker(s, 1, 1)
	var lost int
	b.Observe = func(_ pollendoor.TargetInfo, r pollendoor.Reply, _ time.Duration) {
		if r.Lost {
			lost++
		}
	}
	if r := b.Open("a").Do(work()); r.Code != pollendoor.ErrMisrouted || r.Sent || r.Lost {
		t.Errorf("got %s (sent %v, lost %v), want a refusal of what was not sent", r.Code, r.Sent, r.Lost)
	}
	if got, want := lost, 1; got != want {
		t.Errorf("got %d observed losses, want %d", got, want)
	}
	if b.Open("a").Do(work()); s.dials != 1 {
		t.Errorf("got %d attempts within the pause, want 1", s.dials)
	}
}

func TestTransactionKeepsItsConnection(t *testing.T) {
	s := &target{}
	b := newBroker(s, 2, 2)
	turn := b.Open("a")
	w := work()
	w.Open = pollendoor.OpenWrite
	if r := turn.Do(w); r.State != 'T' {
		t.Fatalf("got state %c, want T", r.State)
	}
	other := b.Open("a")
	if r := other.Do(work()); r.State != 'I' {
		t.Errorf("got state %c of another session, want I", r.State)
	}
	other.Close()
	if got, want := s.dials, 2; got != want {
		t.Errorf("got %d connections, want %d", got, want)
	}
	turn.Close()
	if r := b.Open("a").Do(work()); r.State != 'I' {
		t.Errorf("got state %c after a rollback, want I", r.State)
	}
}

// A target behind a cut link takes no connection and refuses none: the attempt
// ends with the statement's own time, not later.
func TestConnectionAttemptEndsWithTheStatement(t *testing.T) {
	s := &target{}
	b := newBroker(s, 1, 1)
	w := work()
	w.Timeout = 40 * time.Millisecond
	b.Open("a").Do(w)
	if got, most := s.left, w.Timeout; got > most {
		t.Errorf("got %v for the connection, want at most %v", got, most)
	}
}
