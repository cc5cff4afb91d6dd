// Package broker multiplexes the statements of all VMs over the limited
// connections and slots of one target. The target's home VM has one Broker for
// it and the other VMs forward their work there, so that a single queue decides
// which statement runs next.
package broker

import (
	"context"
	"io"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/pollendoor/pollendoor"
	"github.com/pollendoor/pollendoor/adapt"
	"github.com/pollendoor/pollendoor/clock"
	"github.com/pollendoor/pollendoor/eject"
	"github.com/pollendoor/pollendoor/evac"
)

const (
	// dialTimeout bounds the connection attempt including the handshake.
	dialTimeout = 500 * time.Millisecond
	// unreachablePause is how long work is refused after the target could not be reached.
	unreachablePause = 250 * time.Millisecond
	// rollbackTimeout bounds a rollback, which occupies no slot.
	rollbackTimeout = 600 * time.Millisecond
	// probeTimeout bounds a probe, which occupies no slot.
	probeTimeout = 400 * time.Millisecond
)

// Broker queues statements for one target and runs them. Dial must be set, and
// Configure must be called with the target, the connections and the slots before
// use. It is safe for concurrent use.
type Broker struct {
	// Dial opens a connection to the target.
	Dial pollendoor.DialTarget
	// Observe is called after each request to the target, with the reply and the
	// time on the boot clock at which the request was sent. It may be nil.
	Observe func(t pollendoor.TargetInfo, r pollendoor.Reply, sent time.Duration)
	// Reached returns a position that the target's log is known to hold, zero for none. It
	// may be nil.
	Reached func(t pollendoor.TargetInfo) pollendoor.Position
	// OnDial is called before each connection attempt. It may be nil.
	OnDial func()
	// OnQueue is called when a statement has left the queue of an adaptive target, with
	// its state there. It may be nil.
	OnQueue func(team string, priority int, q pollendoor.QueueState)
	// OnUse is called when SetUse has changed the use, with the number of queued
	// statements that were refused and of transactions that were ended. It may be nil.
	OnUse func(u evac.Use, refused, ended int)
	// Admit asks for permission to send a number of requests to a target that may be cold.
	// If there is none, it returns how long to wait before the next attempt. It may be nil,
	// for no limit.
	Admit func(requests int) (time.Duration, bool)
	// OnLimit is called after the learned limit of concurrent statements has changed. It
	// may be nil.
	OnLimit func(t pollendoor.TargetInfo, c adapt.Change)
	// OnEject is called after the target has been ejected. It may be nil.
	OnEject func(t pollendoor.TargetInfo, e eject.Ejection)
	// Stalled reports whether this process was stalled at some time between from and now.
	// It may be nil.
	Stalled func(from, now time.Time) bool

	mu               sync.Mutex
	target           pollendoor.TargetInfo
	scheduler        Scheduler
	capacity         capacity
	unreachableUntil time.Time             // end of the pause in which work is refused
	use              evac.Use              // what the target may be used for
	pinned           map[*Session]struct{} // sessions whose transaction waits for its next statement
}

// Configure sets the target, the maximum number of connections and the number of
// slots. If the target has changed, the idle connections are closed.
func (b *Broker) Configure(t pollendoor.TargetInfo, connections, slots int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	replaced := t.ID != b.target.ID || t.Addr != b.target.Addr || t.Born != b.target.Born
	if replaced {
		b.scheduler.CloseIdle(false)
		b.unreachableUntil = time.Time{}
	}
	b.configureCapacity(t, replaced, connections, slots, time.Now())
	b.target = t
}

// SetAdaptive sets whether the target's group is adaptive; see Scheduler.SetAdaptive.
func (b *Broker) SetAdaptive(on bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.scheduler.SetAdaptive(on, time.Now())
}

// SetUse sets what the target may be used for. Queued work that may not run any more is
// refused, and connections without a use are closed. At a target that may not be used at
// all, open transactions end: those that are idle now, the others after their current
// statement.
func (b *Broker) SetUse(u evac.Use) {
	b.mu.Lock()
	before := b.use
	b.use = u
	var refused []*Waiter
	var unused []*Conn
	if u != evac.UseAll {
		refused = b.scheduler.RemoveQueued(u == evac.UseNone)
		b.scheduler.CloseIdle(false)
	}
	if u == evac.UseNone {
		for t := range b.pinned {
			unused = append(unused, t.conn)
			t.conn, t.ended = nil, true
		}
		b.pinned = nil
	}
	b.mu.Unlock()
	for _, w := range refused {
		w.Refuse()
	}
	for _, c := range unused {
		b.closeConn(c)
	}
	if before != u && b.OnUse != nil {
		b.OnUse(u, len(refused), len(unused))
	}
}

// mayRun reports whether a statement may run now, of an open transaction or another one.
func (b *Broker) mayRun(inTransaction bool) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.allows(inTransaction)
}

// allows is mayRun for callers that hold mu.
func (b *Broker) allows(inTransaction bool) bool {
	return b.use == evac.UseAll || b.use == evac.UseOpenTransactions && inTransaction
}

// evacuated returns the refusal of a statement because of the evacuation of the zone.
func evacuated(inTransaction bool) pollendoor.Reply {
	r := pollendoor.Reply{Code: pollendoor.ErrBusy, Text: pollendoor.EvacuatedText, Evacuated: true}
	if inTransaction {
		r.Code = pollendoor.ErrAborted
	}
	return r
}

// admit calls Admit if it is set.
func (b *Broker) admit(requests int) (time.Duration, bool) {
	if b.Admit == nil {
		return 0, true
	}
	return b.Admit(requests)
}

// cold returns the refusal of a statement that a cold target may not get yet.
func cold(wait time.Duration) pollendoor.Reply {
	return pollendoor.Reply{Code: pollendoor.ErrBusy, Text: pollendoor.ColdText, Delay: wait}
}

// Target returns the target of the broker.
func (b *Broker) Target() pollendoor.TargetInfo {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.target
}

// Delay returns the estimated wait of a statement that is queued now.
func (b *Broker) Delay() time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.scheduler.Delay()
}

// Open returns a session for one statement or one transaction of a team. It neither
// waits nor opens a connection.
func (b *Broker) Open(team string) *Session { return &Session{broker: b, team: team} }

// Close closes the idle connections. Those in use are closed when they are
// returned.
func (b *Broker) Close() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.scheduler.CloseIdle(true)
}

// CloseExpired closes the connections that have been idle for maxIdle or longer.
func (b *Broker) CloseExpired(now time.Time, maxIdle time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.scheduler.CloseExpired(now, maxIdle)
}

// finish frees the slot of a statement that took serviceTime, and makes its
// connection idle unless c is nil.
func (b *Broker) finish(c *Conn, serviceTime time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.scheduler.Finish(c, serviceTime, time.Now())
	b.closeUnused()
}

// putIdle makes a connection idle that holds no slot.
func (b *Broker) putIdle(c *Conn) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.scheduler.PutIdle(c, time.Now())
	b.closeUnused()
}

// closeUnused closes the idle connections if no new work may run. The caller holds mu.
func (b *Broker) closeUnused() {
	if !b.allows(false) {
		b.scheduler.CloseIdle(false)
	}
}

// closeConn closes a connection.
func (b *Broker) closeConn(c *Conn) {
	c.Close()
	b.mu.Lock()
	defer b.mu.Unlock()
	b.scheduler.ConnClosed(time.Now())
}

// dial opens the connection that is already counted as open, for which and for what
// follows on it the given number of requests has to be admitted. If that fails it
// returns a refusal: MISROUTED if the target can't be reached, otherwise the
// target's own code.
func (b *Broker) dial(team string, timeout time.Duration, requests int) (*Conn, pollendoor.Reply) {
	ctx, cancel := context.WithTimeout(context.Background(), min(dialTimeout, timeout))
	defer cancel()
	refusal := pollendoor.Reply{}
	if !b.mayRun(false) {
		refusal = evacuated(false)
	} else if wait, ok := b.admit(requests); !ok {
		refusal = cold(wait)
	}
	if refusal.Code != "" {
		b.mu.Lock()
		b.scheduler.DialFailed(false, time.Now())
		b.mu.Unlock()
		return nil, refusal
	}
	t := b.Target()
	if b.OnDial != nil {
		b.OnDial()
	}
	sent := clock.Now()
	c, err := b.Dial(ctx, t, team)
	if err == nil {
		return &Conn{TargetConn: c, Team: team}, pollendoor.Reply{}
	}
	r := pollendoor.Reply{Code: pollendoor.ErrMisrouted, Text: err.Error()}
	var refused *pollendoor.TargetError
	b.mu.Lock()
	// A target at its limit may also accept the connection and close it. With no
	// other connection open, that can't be told from a target that does not work.
	closed := errors.IsAny(err, syscall.ECONNRESET, io.EOF) && b.scheduler.Open() > 1
	isRefusal := errors.As(err, &refused)
	b.scheduler.DialFailed(isRefusal || closed, time.Now())
	switch {
	case isRefusal:
		r.Code = refused.Code
	case closed:
		r.Lost, r.Code = true, pollendoor.ErrConnLimit
	default:
		r.Lost, r.ConnRefused = true, errors.Is(err, syscall.ECONNREFUSED)
		b.unreachableUntil = time.Now().Add(unreachablePause)
	}
	b.mu.Unlock()
	if b.Observe != nil {
		b.Observe(t, r, sent)
	}
	r.Lost = false // the caller's statement was not sent
	return nil, r
}

// Probe asks the target for its log position on an idle connection or a new one,
// and passes the reply to Observe.
func (b *Broker) Probe(team string) {
	var c *Conn
	dial := false
	_, admitted := b.admit(2) // the probe and a new connection
	b.mu.Lock()
	if admitted && b.allows(false) {
		c, dial = b.scheduler.TakeAny(time.Now())
	}
	b.mu.Unlock()
	if c == nil && !dial {
		return
	}
	if c == nil {
		var r pollendoor.Reply
		if c, r = b.dial(team, dialTimeout, 0); r.Code != "" {
			return
		}
	}
	sent := clock.Now()
	r := c.Probe(time.Now().Add(probeTimeout))
	if b.Observe != nil {
		b.Observe(b.Target(), r, sent)
	}
	if r.Lost || r.State != 'I' {
		b.closeConn(c)
		return
	}
	b.putIdle(c)
}
