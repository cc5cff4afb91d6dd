package broker_test

import (
	"context"
	"errors"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/pollendoor/pollendoor"
	"github.com/pollendoor/pollendoor/broker"
)

// fakeTarget is a target whose statements block until the test releases them.
type fakeTarget struct {
	mu           sync.Mutex
	maxConns     int                                            // maximum number of connections, zero for no limit
	open         int                                            // number of open connections
	dials        int                                            // number of connection attempts
	unreachable  bool                                           // connection attempts fail as if there were no route
	dialTimeLeft time.Duration                                  // time that the last connection attempt had until its deadline
	resets       int                                            // number of reset connections
	ran          []string                                       // teams in the order in which their statements ran
	release      chan struct{}                                  // statements block until it is closed, unless it is nil
	reply        func(*pollendoor.Work) pollendoor.Reply        // replaces the reply to a statement, unless it is nil
	setup        func(open pollendoor.Opening) pollendoor.Reply // may make a setup fail; may be nil
}

var errUnreachable = errors.New("no route to host")

func (t *fakeTarget) dial(ctx context.Context, _ pollendoor.TargetInfo, team string) (pollendoor.TargetConn, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if d, ok := ctx.Deadline(); ok {
		t.dialTimeLeft = time.Until(d)
	}
	t.dials++
	if t.unreachable {
		return nil, errUnreachable
	}
	if t.maxConns > 0 && t.open >= t.maxConns {
		return nil, &pollendoor.TargetError{Code: pollendoor.ErrConnLimit}
	}
	t.open++
	return &fakeConn{target: t, team: team}, nil
}

// fakeConn is a connection to a fakeTarget that records its session values and
// transaction state.
type fakeConn struct {
	target *fakeTarget
	team   string
	values []pollendoor.Setting
	inTx   bool
	closed bool
}

func (c *fakeConn) Reset(time.Time) pollendoor.Reply {
	c.target.mu.Lock()
	defer c.target.mu.Unlock()
	c.target.resets++
	c.values = nil
	return pollendoor.Reply{Signature: "-", State: 'I'}
}

func (c *fakeConn) Setup(values []pollendoor.Setting, _ *pollendoor.Shape, open pollendoor.Opening, _ pollendoor.Position, _ time.Time) pollendoor.Reply {
	c.values = append(c.values, values...)
	if c.target.setup != nil {
		if r := c.target.setup(open); r.Code != "" || r.Lost {
			return r
		}
	}
	if open != pollendoor.OpenNone {
		c.inTx = true
	}
	return pollendoor.Reply{Signature: "-", State: c.state()}
}

// state returns the transaction state after a successful statement.
func (c *fakeConn) state() byte {
	if c.inTx {
		return 'T'
	}
	return 'I'
}

func (c *fakeConn) Run(w *pollendoor.Work, _ pollendoor.Position, _ time.Time) pollendoor.Reply {
	c.target.mu.Lock()
	c.target.ran = append(c.target.ran, c.team)
	release := c.target.release
	c.target.mu.Unlock()
	if release != nil {
		<-release
	}
	if c.target.reply != nil {
		return c.target.reply(w)
	}
	if w.Commit {
		c.inTx = false
	}
	r := pollendoor.Reply{Signature: "sig", State: c.state()}
	for _, v := range c.values {
		r.Rows = append(r.Rows, v.Name+"="+v.Value)
	}
	return r
}

func (c *fakeConn) Rollback(time.Time) pollendoor.Reply {
	c.inTx = false
	return pollendoor.Reply{Signature: "-", State: 'I'}
}

func (c *fakeConn) Probe(time.Time) pollendoor.Reply {
	return pollendoor.Reply{Signature: "-", State: 'I', Position: pollendoor.Position{Term: 1, Index: 1}}
}

func (c *fakeConn) Status(time.Time) (pollendoor.TargetStatus, error) {
	return pollendoor.TargetStatus{}, nil
}

func (c *fakeConn) StepDown(pollendoor.Term, time.Time) (pollendoor.TargetStatus, error) {
	return pollendoor.TargetStatus{}, nil
}

func (c *fakeConn) Alive() bool { return !c.closed }

func (c *fakeConn) Close() {
	c.target.mu.Lock()
	defer c.target.mu.Unlock()
	if !c.closed {
		c.closed = true
		c.target.open--
	}
}

func newBroker(t *fakeTarget, connections, slots int) *broker.Broker {
	b := &broker.Broker{Dial: t.dial}
	b.Configure(pollendoor.TargetInfo{ID: "t"}, connections, slots)
	return b
}

func work() *pollendoor.Work {
	return &pollendoor.Work{Text: "FETCH a", MaxWait: 5 * time.Second, Timeout: 10 * time.Second}
}

// More teams than connections: an idle connection is reused by the team that
// opened it, and replaced when a team without a connection needs one.
func TestConnectionsAreReplacedBetweenTeams(t *testing.T) {
	s := &fakeTarget{}
	b := newBroker(s, 2, 4)
	for _, team := range []string{"a", "b", "a", "b", "c", "b", "a"} {
		session := b.Open(team)
		if r := session.Do(work()); !r.OK() {
			t.Fatalf("team %s: got code %s, want success", team, r.Code)
		}
		session.Close()
	}
	if got, want := s.dials, 4; got != want {
		t.Errorf("got %d new connections, want %d", got, want)
	}
	if got, want := s.open, 2; got != want {
		t.Errorf("got %d open connections, want %d", got, want)
	}
}

func TestSessionValuesFollowTheSession(t *testing.T) {
	s := &fakeTarget{}
	b := newBroker(s, 1, 1)
	run := func(values ...pollendoor.Setting) []string {
		session := b.Open("a")
		defer session.Close()
		w := work()
		w.Values = values
		return session.Do(w).Rows
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

// A refused BEGIN leaves the session values of the connection uncertain. Guards
// against the next session seeing them.
func TestRefusedSetupIsCleared(t *testing.T) {
	s := &fakeTarget{}
	b := newBroker(s, 1, 1)
	s.setup = func(open pollendoor.Opening) pollendoor.Reply {
		if open == pollendoor.OpenRead {
			return pollendoor.Reply{Code: pollendoor.ErrLagging, State: 'I'}
		}
		return pollendoor.Reply{}
	}
	session := b.Open("a")
	w := work()
	w.Values, w.Open = []pollendoor.Setting{{Name: "x", Value: "1"}}, pollendoor.OpenRead
	if r := session.Do(w); r.Code != pollendoor.ErrLagging || r.Sent {
		t.Fatalf("got code %s, sent %v, want code LAGGING, sent false", r.Code, r.Sent)
	}
	session.Close()
	if got := s.ran; len(got) != 0 {
		t.Fatalf("got %d statements run after a refused BEGIN, want 0", len(got))
	}
	if got := b.Open("a").Do(work()).Rows; len(got) != 0 {
		t.Errorf("got session values %v of another session, want none", got)
	}
}

// wait polls until done reports true, and fails the test after about 5 s.
func waitFor(t *testing.T, done func() bool) {
	t.Helper()
	for range 5000 {
		if done() {
			return
		}
		time.Sleep(time.Millisecond)
	}
	t.Fatal("got no result of the polled condition within 5 s, want true")
}

// More statements than slots: the one with the highest priority runs first, and
// never more statements run than there are slots.
func TestHigherPriorityRunsFirst(t *testing.T) {
	s := &fakeTarget{release: make(chan struct{})}
	b := newBroker(s, 8, 1)
	var wg sync.WaitGroup
	start := func(team string, priority int) {
		w := work()
		w.Priority = priority
		wg.Go(func() {
			session := b.Open(team)
			defer session.Close()
			session.Do(w)
		})
	}
	ran := func() int {
		s.mu.Lock()
		defer s.mu.Unlock()
		return len(s.ran)
	}
	start("first", 2)
	waitFor(t, func() bool { return ran() == 1 })
	start("guest", 2)
	waitFor(t, func() bool { return b.Delay() > 30*time.Millisecond })
	start("payment", 1)
	waitFor(t, func() bool { return b.Delay() > 50*time.Millisecond })
	if got := ran(); got != 1 {
		t.Fatalf("got %d running statements at a target with one slot, want 1", got)
	}
	close(s.release)
	wg.Wait()
	if got, want := s.ran[1], "payment"; got != want {
		t.Errorf("got the statement of %s first, want that of %s", got, want)
	}
}

// A statement whose estimated wait is longer than its allowed wait is refused
// immediately instead of being queued.
func TestStatementBeyondMaxWaitIsRefusedAtOnce(t *testing.T) {
	s := &fakeTarget{release: make(chan struct{})}
	b := newBroker(s, 1, 1)
	var wg sync.WaitGroup
	wg.Go(func() { b.Open("a").Do(work()) })
	waitFor(t, func() bool {
		s.mu.Lock()
		defer s.mu.Unlock()
		return len(s.ran) == 1
	})
	w := work()
	w.MaxWait = time.Nanosecond
	if r := b.Open("b").Do(w); r.Code != pollendoor.ErrBusy || r.Sent {
		t.Errorf("got code %s, sent %v, want code BUSY, sent false", r.Code, r.Sent)
	}
	close(s.release)
	wg.Wait()
}

// Connections of VMs that have lost power stay open at the target, so it refuses a
// new connection although the broker is below its own maximum. The statement must
// then wait for an existing connection instead of failing.
func TestConnectionLimitWaitsForAConnection(t *testing.T) {
	s := &fakeTarget{maxConns: 1, release: make(chan struct{})}
	b := newBroker(s, 5, 5)
	var wg sync.WaitGroup
	replies := make([]pollendoor.Reply, 3)
	for i := range replies {
		wg.Go(func() {
			session := b.Open("a")
			defer session.Close()
			replies[i] = session.Do(work())
		})
	}
	waitFor(t, func() bool {
		s.mu.Lock()
		defer s.mu.Unlock()
		return s.dials >= 2 && len(s.ran) == 1
	})
	close(s.release)
	wg.Wait()
	for i, r := range replies {
		if !r.OK() {
			t.Errorf("statement %d: got code %s, want success", i, r.Code)
		}
	}
}

// A target at its connection limit may close a new connection before its answer is
// read. While others are open it is not unreachable, and the statement waits for one
// of these.
func TestResetOfANewConnectionCountsAsTheLimit(t *testing.T) {
	s := &fakeTarget{}
	b := newBroker(s, 2, 2)
	first := b.Open("a")
	w := work()
	w.Open = pollendoor.OpenWrite
	if r := first.Do(w); r.State != 'T' {
		t.Fatalf("got state %c, want T", r.State)
	}
	b.Dial = func(context.Context, pollendoor.TargetInfo, string) (pollendoor.TargetConn, error) {
		first.Close() // the connection becomes idle while the attempt fails
		return nil, syscall.ECONNRESET
	}
	if r := b.Open("a").Do(work()); !r.OK() {
		t.Errorf("got code %s, want success on the open connection", r.Code)
	}
}

func TestUnreachableTargetIsObserved(t *testing.T) {
	s := &fakeTarget{unreachable: true}
	b := newBroker(s, 1, 1)
	var lost int
	b.Observe = func(_ pollendoor.TargetInfo, r pollendoor.Reply, _ time.Duration) {
		if r.Lost {
			lost++
		}
	}
	if r := b.Open("a").Do(work()); r.Code != pollendoor.ErrMisrouted || r.Sent || r.Lost {
		t.Errorf("got code %s, sent %v, lost %v, want code MISROUTED, sent false, lost false", r.Code, r.Sent, r.Lost)
	}
	if got, want := lost, 1; got != want {
		t.Errorf("got %d lost replies observed, want %d", got, want)
	}
	if b.Open("a").Do(work()); s.dials != 1 {
		t.Errorf("got %d connection attempts within the pause, want 1", s.dials)
	}
}

func TestTransactionKeepsItsConnection(t *testing.T) {
	s := &fakeTarget{}
	b := newBroker(s, 2, 2)
	session := b.Open("a")
	w := work()
	w.Open = pollendoor.OpenWrite
	if r := session.Do(w); r.State != 'T' {
		t.Fatalf("got state %c, want T", r.State)
	}
	other := b.Open("a")
	if r := other.Do(work()); r.State != 'I' {
		t.Errorf("got state %c in another session, want I", r.State)
	}
	other.Close()
	if got, want := s.dials, 2; got != want {
		t.Errorf("got %d connection attempts, want %d", got, want)
	}
	session.Close()
	if r := b.Open("a").Do(work()); r.State != 'I' {
		t.Errorf("got state %c after the rollback, want I", r.State)
	}
}

// Over a broken link a connection attempt is neither accepted nor refused. It must
// end at the statement's own timeout, not at the later dial timeout.
func TestConnectionAttemptEndsWithTheStatement(t *testing.T) {
	s := &fakeTarget{}
	b := newBroker(s, 1, 1)
	w := work()
	w.Timeout = 40 * time.Millisecond
	b.Open("a").Do(w)
	if got, most := s.dialTimeLeft, w.Timeout; got > most {
		t.Errorf("got %v until the deadline of the connection attempt, want at most %v", got, most)
	}
}

// Work of a VM of an earlier release has neither goal nor need. An adaptive target serves it
// all the same, and each reply tells what the statement found in the queue. Guards against
// statements that are counted twice or not at all when one is refused.
func TestAdaptiveBrokerTakesWorkOfEarlierReleases(t *testing.T) {
	s := &fakeTarget{release: make(chan struct{})}
	b := newBroker(s, 4, 1)
	b.SetAdaptive(true)
	var mu sync.Mutex
	left := map[string]int{} // statements that have left the queue, by reason
	b.OnQueue = func(_ string, _ int, q pollendoor.QueueState) {
		mu.Lock()
		defer mu.Unlock()
		left[q.Reason]++
	}
	var wg sync.WaitGroup
	replies := make([]pollendoor.Reply, 3)
	for i := range replies {
		wg.Go(func() {
			session := b.Open("a")
			defer session.Close()
			replies[i] = session.Do(work())
		})
	}
	waitFor(t, func() bool { return b.Delay() > 40*time.Millisecond }) // one runs, two are queued
	w := work()
	w.MaxWait = time.Nanosecond
	r := b.Open("b").Do(w)
	if r.Code != pollendoor.ErrBusy || r.Sent || !strings.Contains(r.Text, "; retry after ") {
		t.Errorf("got code %s, sent %v, text %q, want BUSY, false and when to retry", r.Code, r.Sent, r.Text)
	}
	if r.Queue == nil || r.Queue.Length != 2 || r.Queue.Reason != broker.ReasonWait {
		t.Errorf("got the queue %+v, want a length of 2 and the reason %q", r.Queue, broker.ReasonWait)
	}
	close(s.release)
	wg.Wait()
	for i, r := range replies {
		if !r.OK() || r.Queue == nil || r.Queue.Reason != "" {
			t.Errorf("statement %d: got code %s and queue %+v, want success and no reason", i, r.Code, r.Queue)
		}
	}
	if left[""] != 3 || left[broker.ReasonWait] != 1 || len(left) != 2 {
		t.Errorf("got the statements %v, want 3 served and 1 refused", left)
	}
}
