// Package broker multiplexes the statements of all VMs over the limited
// connections and slots of one target. The target's home VM has one Broker for
// it and the other VMs forward their work there, so that a single queue decides
// which statement runs next.
package broker

import (
	"container/heap"
	"context"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/pollendoor/pollendoor"
	"github.com/pollendoor/pollendoor/clock"
)

const (
	// dialTimeout bounds the connection attempt including the handshake.
	dialTimeout = 500 * time.Millisecond
	// connLimitPause is how long no further connection is opened after the target
	// refused one because of its connection limit.
	connLimitPause = 400 * time.Millisecond
	// unreachablePause is how long work is refused after the target could not be reached.
	unreachablePause = 250 * time.Millisecond
	// rollbackTimeout bounds a rollback, which occupies no slot.
	rollbackTimeout = 600 * time.Millisecond
	// probeTimeout bounds a probe, which occupies no slot.
	probeTimeout = 400 * time.Millisecond
	// maxIdleTime is how long an unused connection is kept open.
	maxIdleTime = 20 * time.Second
	// initialServiceTime is the assumed time of a statement before the first one was
	// measured.
	initialServiceTime = 20 * time.Millisecond
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
	// OnDial is called before each connection attempt. It may be nil.
	OnDial func()

	mu               sync.Mutex
	target           pollendoor.TargetInfo
	maxConns         int // maximum number of connections
	slots            int // maximum number of statements that run at the same time
	idle             []*conn
	open             int           // number of connections, including those being opened
	running          int           // number of statements that hold a slot
	txQueue          waitQueue     // statements whose transaction already has a connection
	queue            waitQueue     // statements that need a slot and a connection
	seq              uint64        // sequence number of the last queued statement
	serviceTime      time.Duration // moving average of the time that a statement takes at the target
	connLimitUntil   time.Time     // end of the pause in which connLimit applies
	connLimit        int           // connections that were open when the target refused one more
	unreachableUntil time.Time     // end of the pause in which work is refused
	closed           bool
}

// conn is a connection to the target with the session state that was set up on it.
type conn struct {
	pollendoor.TargetConn
	team      string               // team that the connection was opened for
	values    []pollendoor.Setting // session values set on the connection
	dirty     bool                 // a setup failed part-way, so the values and prepared names are uncertain
	idleSince time.Time            // time at which the connection became idle
}

// grant gives a statement a slot and a connection: that of its transaction, an
// idle one, or a new one that the statement has to dial.
type grant struct {
	conn *conn
	dial bool
}

// Configure sets the target, the maximum number of connections and the number of
// slots. If the target has changed, the idle connections are closed.
func (b *Broker) Configure(t pollendoor.TargetInfo, connections, slots int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if t.ID != b.target.ID || t.Addr != b.target.Addr || t.Born != b.target.Born {
		b.closeIdle()
		b.unreachableUntil = time.Time{}
	}
	b.target, b.maxConns, b.slots = t, connections, slots
	b.dispatch()
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
	return b.delay(len(b.queue) + len(b.txQueue))
}

// delay estimates the wait of a statement behind n queued ones. The caller holds mu.
func (b *Broker) delay(n int) time.Duration {
	if b.running < b.slots && n == 0 {
		return 0
	}
	s := b.serviceTime
	if s == 0 {
		s = initialServiceTime
	}
	return s * time.Duration(n+1) / time.Duration(max(1, b.slots))
}

// Open returns a session for one statement or one transaction of a team. It neither
// waits nor opens a connection.
func (b *Broker) Open(team string) *Session { return &Session{broker: b, team: team} }

// Close closes the idle connections. Those in use are closed when they are
// returned.
func (b *Broker) Close() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.closed = true
	b.closeIdle()
}

// closeIdle closes all idle connections. The caller holds mu.
func (b *Broker) closeIdle() {
	for _, c := range b.idle {
		c.Close()
		b.open--
	}
	b.idle = nil
}

// CloseExpired closes the connections that have been idle for maxIdleTime or longer.
func (b *Broker) CloseExpired(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.idle = slices.DeleteFunc(b.idle, func(c *conn) bool {
		if now.Sub(c.idleSince) < maxIdleTime {
			return false
		}
		c.Close()
		b.open--
		return true
	})
}

// acquire waits for a slot and, if the session has no connection, for a connection.
// A non-empty code is the reason for a refusal; the statement has not been sent
// in that case.
func (b *Broker) acquire(t *Session, w *pollendoor.Work) (grant, pollendoor.ErrorCode) {
	now := time.Now()
	b.mu.Lock()
	if t.conn == nil && now.Before(b.unreachableUntil) {
		b.mu.Unlock()
		return grant{}, pollendoor.ErrMisrouted
	}
	b.seq++
	v := &waiter{queueKey: queueKey{w.Priority, now.Add(w.MaxWait), b.seq}, session: t, team: t.team, ready: make(chan grant, 1)}
	q := &b.queue
	if t.conn != nil {
		q = &b.txQueue
	} else if b.delay(len(b.txQueue)+b.queue.countBefore(v.queueKey)) > w.MaxWait {
		b.mu.Unlock()
		return grant{}, pollendoor.ErrBusy
	}
	heap.Push(q, v)
	b.dispatch()
	b.mu.Unlock()

	timer := time.NewTimer(w.MaxWait)
	defer timer.Stop()
	select {
	case g := <-v.ready:
		return g, ""
	case <-timer.C:
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if q.remove(v) {
		return grant{}, pollendoor.ErrBusy
	}
	return <-v.ready, ""
}

// dispatch grants slots to queued statements while slots and connections are
// free. Statements of open transactions come first. The caller holds mu.
func (b *Broker) dispatch() {
	for b.running < b.slots {
		if len(b.txQueue) > 0 {
			v := heap.Pop(&b.txQueue).(*waiter)
			b.running++
			v.ready <- grant{conn: v.session.conn}
			continue
		}
		if len(b.queue) == 0 {
			return
		}
		g, ok := b.connFor(b.queue[0].team)
		if !ok {
			return
		}
		v := heap.Pop(&b.queue).(*waiter)
		b.running++
		v.ready <- g
	}
}

// connFor finds a connection for a team: an idle one of the same team, a new one,
// or a new one in place of another team's connection that has been idle for the
// longest time. It reports false if there is none. The caller holds mu.
func (b *Broker) connFor(team string) (grant, bool) {
	for i := len(b.idle) - 1; i >= 0; i-- {
		c := b.idle[i]
		if c.team != team {
			continue
		}
		b.idle = slices.Delete(b.idle, i, i+1)
		if c.Alive() {
			return grant{conn: c}, true
		}
		c.Close()
		b.open--
	}
	if b.open >= b.limit(time.Now()) {
		if len(b.idle) == 0 {
			return grant{}, false
		}
		b.idle[0].Close()
		b.idle = slices.Delete(b.idle, 0, 1)
		b.open--
	}
	b.open++
	return grant{dial: true}, true
}

// limit returns the current maximum number of connections. After the target has
// refused one because of its connection limit, this is the number that was open
// then; this applies for connLimitPause.
func (b *Broker) limit(now time.Time) int {
	if now.Before(b.connLimitUntil) {
		return max(1, min(b.maxConns, b.connLimit))
	}
	return b.maxConns
}

// releaseSlot frees a slot and updates the average service time. A time of
// zero is not counted.
func (b *Broker) releaseSlot(serviceTime time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.running--
	if serviceTime > 0 {
		if b.serviceTime == 0 {
			b.serviceTime = serviceTime
		}
		b.serviceTime += (serviceTime - b.serviceTime) / 16
	}
	b.dispatch()
}

// putIdle makes a connection idle, or closes it if the broker is closed or has too
// many connections.
func (b *Broker) putIdle(c *conn) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.closed || b.open > b.maxConns {
		c.Close()
		b.open--
	} else {
		c.idleSince = time.Now()
		b.idle = append(b.idle, c)
	}
	b.dispatch()
}

// connClosed subtracts a closed connection from the number of open ones.
func (b *Broker) connClosed() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.open--
	b.dispatch()
}

// dial opens the connection that is already counted as open. If that fails it
// returns a refusal: MISROUTED if the target can't be reached, otherwise the
// target's own code.
func (b *Broker) dial(team string, timeout time.Duration) (*conn, pollendoor.Reply) {
	ctx, cancel := context.WithTimeout(context.Background(), min(dialTimeout, timeout))
	defer cancel()
	t := b.Target()
	if b.OnDial != nil {
		b.OnDial()
	}
	sent := clock.Now()
	c, err := b.Dial(ctx, t, team)
	if err == nil {
		return &conn{TargetConn: c, team: team}, pollendoor.Reply{}
	}
	r := pollendoor.Reply{Code: pollendoor.ErrMisrouted, Text: err.Error()}
	var refused *pollendoor.TargetError
	b.mu.Lock()
	b.open--
	if errors.As(err, &refused) {
		r.Code = refused.Code
		b.connLimitUntil, b.connLimit = time.Now().Add(connLimitPause), b.open
	} else {
		r.Lost = true
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
	b.mu.Lock()
	var c *conn
	if n := len(b.idle); n > 0 {
		c = b.idle[n-1]
		b.idle = b.idle[:n-1]
	} else if b.open <= b.maxConns && !time.Now().Before(b.connLimitUntil) {
		b.open++ // one more than the maximum, so that a probe can detect that the others hang
	} else {
		b.mu.Unlock()
		return
	}
	b.mu.Unlock()
	if c == nil {
		var r pollendoor.Reply
		if c, r = b.dial(team, dialTimeout); r.Code != "" {
			return
		}
	}
	sent := clock.Now()
	r := c.Probe(time.Now().Add(probeTimeout))
	if b.Observe != nil {
		b.Observe(b.Target(), r, sent)
	}
	if r.Lost || r.State != 'I' {
		c.Close()
		b.connClosed()
		return
	}
	b.putIdle(c)
}
