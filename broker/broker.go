// Package broker shares the few connections and slots of one target out among
// the callers of all VMs. The target's home VM runs one Broker for it; other VMs
// send their work there, so that one queue decides what runs next.
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
	// dialTimeout bounds connection and handshake.
	dialTimeout = 500 * time.Millisecond
	// limitPause is how long the number of connections does not grow after the
	// target refused one for their number.
	limitPause = 400 * time.Millisecond
	// darkPause is how long work is refused after the target was unreachable.
	darkPause = 250 * time.Millisecond
	// stepTimeout bounds statements of the system that occupy no slot.
	stepTimeout = 600 * time.Millisecond
	// probeTimeout bounds a probe, which occupies no slot.
	probeTimeout = 400 * time.Millisecond
	// idleTime is how long a connection is kept that nobody uses.
	idleTime = 20 * time.Second
	// firstService is the assumed time of a statement before one was measured.
	firstService = 20 * time.Millisecond
)

// Broker serves one target. Target, Dial, Connections and Slots must be set; it
// is safe for use by several goroutines.
type Broker struct {
	Dial pollendoor.DialTarget
	// Observe is told of each contact with the target: its reply and when the
	// request was sent, on the boot clock. It may be nil.
	Observe func(t pollendoor.TargetInfo, r pollendoor.Reply, sent time.Duration)
	// Dialed counts new connections.
	OnDial func()

	mu      sync.Mutex
	target  pollendoor.TargetInfo
	budget  int // connections
	slots   int // statements at a time
	idle    []*link
	open    int     // connections, those being opened included
	running int     // statements at the target
	started waiters // whose transaction has a connection
	waiting waiters
	seq     uint64
	service time.Duration // moving average of a statement's time at the target
	full    time.Time     // until then there are at most this many connections:
	most    int
	dark    time.Time // until then work is refused
	closed  bool
}

// link is a connection with the state that its statements have left on it.
type link struct {
	pollendoor.TargetConn
	team   string
	values []pollendoor.Setting
	dirty  bool // a setup failed half-way: values and names are not certain
	used   time.Time
}

// grant lets a statement run: on the connection of its transaction, on an idle
// one, or on one that it opens.
type grant struct {
	link *link
	dial bool
}

// Configure sets the target and the limits.
func (b *Broker) Configure(t pollendoor.TargetInfo, connections, slots int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if t.ID != b.target.ID || t.Addr != b.target.Addr || t.Born != b.target.Born {
		b.drop()
		b.dark = time.Time{}
	}
	b.target, b.budget, b.slots = t, connections, slots
	b.dispatch()
}

// Target returns the target that is served.
func (b *Broker) Target() pollendoor.TargetInfo {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.target
}

// Delay returns how long a statement would wait now.
func (b *Broker) Delay() time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.delay(len(b.waiting) + len(b.started))
}

// delay estimates the wait behind n statements.
func (b *Broker) delay(n int) time.Duration {
	if b.running < b.slots && n == 0 {
		return 0
	}
	s := b.service
	if s == 0 {
		s = firstService
	}
	return s * time.Duration(n+1) / time.Duration(max(1, b.slots))
}

// Open returns a turn for a team's work.
func (b *Broker) Open(team string) *Turn { return &Turn{broker: b, team: team} }

// Close closes the idle connections; others are closed when they are given back.
func (b *Broker) Close() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.closed = true
	b.drop()
}

// drop closes the idle connections.
func (b *Broker) drop() {
	for _, l := range b.idle {
		l.Close()
		b.open--
	}
	b.idle = nil
}

// Expire closes the connections that have been idle for long.
func (b *Broker) CloseExpired(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.idle = slices.DeleteFunc(b.idle, func(l *link) bool {
		if now.Sub(l.used) < idleTime {
			return false
		}
		l.Close()
		b.open--
		return true
	})
}

// enter waits for a slot and, without a link, for a connection. The code says
// why there is none; the statement has not been sent then.
func (b *Broker) enter(t *Turn, w *pollendoor.Work) (grant, pollendoor.ErrorCode) {
	now := time.Now()
	b.mu.Lock()
	if t.link == nil && now.Before(b.dark) {
		b.mu.Unlock()
		return grant{}, pollendoor.ErrMisrouted
	}
	b.seq++
	v := &waiter{order: order{w.Priority, now.Add(w.MaxWait), b.seq}, turn: t, team: t.team, ready: make(chan grant, 1)}
	q := &b.waiting
	if t.link != nil {
		q = &b.started
	} else if b.delay(len(b.started)+b.waiting.ahead(v.order)) > w.MaxWait {
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

// dispatch lets waiting statements run while there are slots and connections.
// The caller holds mu.
func (b *Broker) dispatch() {
	for b.running < b.slots {
		if len(b.started) > 0 {
			v := heap.Pop(&b.started).(*waiter)
			b.running++
			v.ready <- grant{link: v.turn.link}
			continue
		}
		if len(b.waiting) == 0 {
			return
		}
		g, ok := b.plan(b.waiting[0].team)
		if !ok {
			return
		}
		v := heap.Pop(&b.waiting).(*waiter)
		b.running++
		v.ready <- g
	}
}

// plan finds a connection for a team: an idle one of its own, a new one, or a
// new one in place of another team's that was idle the longest.
func (b *Broker) plan(team string) (grant, bool) {
	for i := len(b.idle) - 1; i >= 0; i-- {
		l := b.idle[i]
		if l.team != team {
			continue
		}
		b.idle = slices.Delete(b.idle, i, i+1)
		if l.Alive() {
			return grant{link: l}, true
		}
		l.Close()
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

// limit returns how many connections there may be. After the target has refused
// one for their number, it is those that there are.
func (b *Broker) limit(now time.Time) int {
	if now.Before(b.full) {
		return max(1, min(b.budget, b.most))
	}
	return b.budget
}

// leave gives a slot back.
func (b *Broker) leave(took time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.running--
	if took > 0 {
		if b.service == 0 {
			b.service = took
		}
		b.service += (took - b.service) / 16
	}
	b.dispatch()
}

// keep takes a connection back.
func (b *Broker) keep(l *link) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.closed || b.open > b.budget {
		l.Close()
		b.open--
	} else {
		l.used = time.Now()
		b.idle = append(b.idle, l)
	}
	b.dispatch()
}

// lose forgets a connection that was closed.
func (b *Broker) lose() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.open--
	b.dispatch()
}

// dial opens the connection that a grant allows.
func (b *Broker) dial(team string, left time.Duration) (*link, pollendoor.Reply) {
	ctx, cancel := context.WithTimeout(context.Background(), min(dialTimeout, left))
	defer cancel()
	t := b.Target()
	if b.OnDial != nil {
		b.OnDial()
	}
	sent := clock.Now()
	c, err := b.Dial(ctx, t, team)
	if err == nil {
		return &link{TargetConn: c, team: team}, pollendoor.Reply{}
	}
	r := pollendoor.Reply{Code: pollendoor.ErrMisrouted, Text: err.Error()}
	var refused *pollendoor.TargetError
	b.mu.Lock()
	b.open--
	if errors.As(err, &refused) {
		r.Code = refused.Code
		b.full, b.most = time.Now().Add(limitPause), b.open
	} else {
		r.Lost = true
		b.dark = time.Now().Add(darkPause)
	}
	b.mu.Unlock()
	if b.Observe != nil {
		b.Observe(t, r, sent)
	}
	r.Lost = false // nothing of the caller's was sent
	return nil, r
}

// Probe asks the target for its position, on an idle connection or a new one.
func (b *Broker) Probe(team string) {
	b.mu.Lock()
	var l *link
	if n := len(b.idle); n > 0 {
		l = b.idle[n-1]
		b.idle = b.idle[:n-1]
	} else if b.open <= b.budget && !time.Now().Before(b.full) {
		b.open++ // one beyond the budget: a probe tells whether the others are stuck
	} else {
		b.mu.Unlock()
		return
	}
	b.mu.Unlock()
	if l == nil {
		var r pollendoor.Reply
		if l, r = b.dial(team, dialTimeout); r.Code != "" {
			return
		}
	}
	sent := clock.Now()
	r := l.Probe(time.Now().Add(probeTimeout))
	if b.Observe != nil {
		b.Observe(b.Target(), r, sent)
	}
	if r.Lost || r.State != 'I' {
		l.Close()
		b.lose()
		return
	}
	b.keep(l)
}
