package broker

import (
	"container/heap"
	"slices"
	"time"

	"github.com/pollendoor/pollendoor"
)

const (
	// connLimitPause is how long no further connection is opened after the target
	// refused one because of its connection limit.
	connLimitPause = 400 * time.Millisecond
	// initialServiceTime is the assumed time of a statement before the first one was
	// measured.
	initialServiceTime = 20 * time.Millisecond
	// passOverMargin is the time before the end of its allowed wait from which on a
	// statement is not passed over any more.
	passOverMargin = 50 * time.Millisecond
)

// Scheduler decides which statement runs next at one target, and on which connection.
// It does no I/O: its methods take events with their times, and it calls Grant of a
// Waiter when the statement may run. The zero value has no slots. It is not safe for
// concurrent use; Grant must not call it.
type Scheduler struct {
	maxConns       int // maximum number of connections
	slots          int // maximum number of statements that run at the same time
	idle           []*Conn
	open           int           // number of connections, including those being opened
	running        int           // number of statements that hold a slot
	txQueue        waitQueue     // statements whose transaction already has a connection
	queue          waitQueue     // statements that need a slot and a connection
	seq            uint64        // sequence number of the last queued statement
	serviceTime    time.Duration // moving average of the time that a statement takes at the target
	connLimitUntil time.Time     // end of the pause in which connLimit applies
	connLimit      int           // connections that were open when the target refused one more
	closed         bool

	adaptive    bool
	fair        fairQueue // queued statements while adaptive is true, in place of queue
	primaryOnly reserve   // statements that only the primary can run
	anyRunning  int       // number of statements of NeedAny that hold a slot
	returns     meter     // connections that become free per second, each counted as a second
}

// Conn is a connection to the target that was opened for a team.
type Conn struct {
	pollendoor.TargetConn
	Team string

	values    []pollendoor.Setting // session values set on the connection
	dirty     bool                 // a setup or reset failed, so the values and prepared names are uncertain
	idleSince time.Time            // time at which the connection became idle
}

// Waiter is a statement that needs a slot, and a connection unless it has one.
type Waiter struct {
	Team     string
	Priority int       // lower values run first
	Deadline time.Time // end of the allowed wait
	Conn     *Conn     // connection of the open transaction, nil outside one
	// Grant is called when the statement may run: on its transaction's connection or
	// an idle one, or, if c is nil, on a new one that the caller has to open.
	Grant func(c *Conn)
	// Refuse is called in place of Grant when a queued statement is refused before its
	// deadline, by an adaptive scheduler or after RemoveQueued. Like Grant it must not call
	// the Scheduler. If it is nil, an adaptive scheduler leaves the statement queued.
	Refuse func()

	// The following fields are used by an adaptive scheduler only.

	Goal      time.Time       // end of the operation's goal, zero if unknown
	TimeLimit time.Time       // time by which the answer is needed, zero if there is none
	Need      pollendoor.Need // zero counts as NeedPrimary, but reserves no slot

	// State and RetryAfter are set by Enqueue, and when the statement is refused or
	// gets a slot. RetryAfter is the time after which a refused statement would have
	// been queued.
	State      pollendoor.QueueState
	RetryAfter time.Duration

	seq       uint64 // order of arrival
	index     int    // position in the heap, negative after removal
	queuedAt  time.Time
	grantedAt time.Time
	charged   time.Duration // slot time that was charged to the team at the start
	fair      bool          // the scheduler was adaptive when the statement was queued
	flow      *flow         // flow of a statement that is queued, or holds a slot, by an adaptive scheduler
}

// Configure sets the maximum number of connections and the number of slots. Idle
// connections beyond the maximum are closed.
func (s *Scheduler) Configure(connections, slots int, now time.Time) {
	s.maxConns, s.slots = connections, slots
	for len(s.idle) > 0 && s.open > s.maxConns {
		s.closeIdleAt(0)
	}
	s.dispatch(now)
}

// SetAdaptive sets whether the teams share the slots fairly and statements are refused
// by their goals. Statements that are queued stay so.
func (s *Scheduler) SetAdaptive(on bool, now time.Time) {
	if on == s.adaptive {
		return
	}
	s.adaptive = on
	if on {
		list := s.queue
		s.queue = nil
		for _, w := range list {
			s.fair.push(w)
		}
	} else {
		for _, w := range s.fair.all() {
			s.fair.remove(w)
			w.flow = nil
			s.queue.push(w)
		}
	}
	s.dispatch(now)
}

// Delay returns the estimated wait of a statement that is queued now.
func (s *Scheduler) Delay() time.Duration { return s.delay(s.queuedLen()) }

// queuedLen returns the number of queued statements.
func (s *Scheduler) queuedLen() int {
	if s.adaptive {
		return s.fair.len() + len(s.txQueue)
	}
	return len(s.queue) + len(s.txQueue)
}

// delay estimates the wait of a statement behind n queued ones.
func (s *Scheduler) delay(n int) time.Duration {
	if s.running < s.slots && n == 0 {
		return 0
	}
	t := s.serviceTime
	if t == 0 {
		t = initialServiceTime
	}
	return t * time.Duration(n+1) / time.Duration(max(1, s.slots))
}

// Enqueue queues a statement. It reports false, and does not queue it, if the
// statement would have to wait beyond its deadline.
func (s *Scheduler) Enqueue(w *Waiter, now time.Time) bool {
	s.seq++
	w.seq, w.queuedAt = s.seq, now
	if s.adaptive {
		return s.enqueueFair(w, now)
	}
	q := &s.queue
	if w.Conn != nil {
		q = &s.txQueue
	} else if s.delay(len(s.txQueue)+s.queue.countBefore(w)) > w.Deadline.Sub(now) {
		return false
	}
	heap.Push(q, w)
	s.dispatch(now)
	return true
}

// Remove takes a statement out of the queue. It reports false if the statement has
// been granted a slot already.
func (s *Scheduler) Remove(w *Waiter) bool {
	switch {
	case w.Conn != nil:
		return s.txQueue.remove(w)
	case w.flow != nil:
		return s.fair.remove(w)
	}
	return s.queue.remove(w)
}

// RemoveQueued takes the statements that have no connection out of the queue, and those of
// open transactions as well if all is true. It returns them.
func (s *Scheduler) RemoveQueued(all bool) []*Waiter {
	list := append(slices.Clone(s.queue), s.fair.all()...)
	if all {
		list = append(list, s.txQueue...)
	}
	for _, w := range list {
		s.Remove(w)
	}
	return list
}

// Finish frees the slot of a statement that took serviceTime at the target, and makes
// its connection idle. C is nil if the transaction keeps the connection or if it was
// closed. A time of zero is not counted.
func (s *Scheduler) Finish(c *Conn, serviceTime time.Duration, now time.Time) {
	s.running--
	if serviceTime > 0 {
		if s.serviceTime == 0 {
			s.serviceTime = serviceTime
		}
		s.serviceTime += (serviceTime - s.serviceTime) / 16
	}
	if c != nil {
		s.addIdle(c, now) // before the slot is granted, so that the next statement can use it
	}
	s.dispatch(now)
}

// PutIdle makes a connection idle that holds no slot.
func (s *Scheduler) PutIdle(c *Conn, now time.Time) {
	s.addIdle(c, now)
	s.dispatch(now)
}

// addIdle makes a connection idle, or closes it if there are too many or the
// scheduler is closed.
func (s *Scheduler) addIdle(c *Conn, now time.Time) {
	if s.adaptive {
		s.returns.add(time.Second, now)
	}
	if s.closed || s.open > s.maxConns {
		c.Close()
		s.open--
		return
	}
	c.idleSince = now
	s.idle = append(s.idle, c)
}

// ConnClosed subtracts a closed connection from the number of open ones.
func (s *Scheduler) ConnClosed(now time.Time) {
	s.open--
	s.dispatch(now)
}

// DialFailed subtracts a connection that could not be opened. If the target refused
// it because of its limit, as many as are open now remain the maximum for a while.
func (s *Scheduler) DialFailed(atLimit bool, now time.Time) {
	s.open--
	if atLimit {
		s.connLimitUntil, s.connLimit = now.Add(connLimitPause), s.open
	}
}

// Open returns the number of connections, including those being opened.
func (s *Scheduler) Open() int { return s.open }

// TakeAny returns the connection that became idle last, or allows one to be opened,
// for a request that needs no slot. It may exceed the maximum by one connection, so
// that a probe can detect that the others hang.
func (s *Scheduler) TakeAny(now time.Time) (c *Conn, dial bool) {
	if n := len(s.idle); n > 0 {
		c = s.idle[n-1]
		s.idle = s.idle[:n-1]
		return c, false
	}
	if s.open > s.maxConns || now.Before(s.connLimitUntil) {
		return nil, false
	}
	s.open++
	return nil, true
}

// CloseIdle closes the idle connections. If final is true, those in use are closed
// when they are returned.
func (s *Scheduler) CloseIdle(final bool) {
	s.closed = s.closed || final
	for len(s.idle) > 0 {
		s.closeIdleAt(0)
	}
}

// CloseExpired closes the connections that have been idle for maxIdle or longer.
func (s *Scheduler) CloseExpired(now time.Time, maxIdle time.Duration) {
	for len(s.idle) > 0 && now.Sub(s.idle[0].idleSince) >= maxIdle {
		s.closeIdleAt(0) // the first one has been idle for the longest time
	}
}

// dispatch grants slots to queued statements while slots and connections are
// free. Statements of open transactions come first.
func (s *Scheduler) dispatch(now time.Time) {
	for s.running < s.slots {
		if len(s.txQueue) > 0 {
			w := heap.Pop(&s.txQueue).(*Waiter)
			s.grant(w, w.Conn, now)
			continue
		}
		w := s.next(now)
		if w == nil {
			return
		}
		c, ok := s.connFor(w.Team, now)
		if !ok {
			return
		}
		s.Remove(w)
		s.grant(w, c, now)
	}
}

// grant gives a slot to a statement that has left the queue.
func (s *Scheduler) grant(w *Waiter, c *Conn, now time.Time) {
	s.running++
	if s.adaptive {
		s.startFair(w, now)
	}
	w.Grant(c)
}

// next returns the queued statement to run next, or nil if there is none: the first one, or, if that one
// would need a connection in place of another team's, the first one of the same
// priority that can run on an idle connection of its team. Opening a connection
// occupies a slot about as long as a statement does. A statement is passed over only
// while there is time left to open a connection for it.
func (s *Scheduler) next(now time.Time) *Waiter {
	if s.adaptive {
		return s.nextFair(now)
	}
	if len(s.queue) == 0 {
		return nil
	}
	first := s.queue[0]
	if s.open < s.limit(now) || s.hasIdle(first.Team) || first.Deadline.Sub(now) < passOverMargin {
		return first
	}
	best := first
	for _, w := range s.queue {
		if w.Priority == first.Priority && s.hasIdle(w.Team) && (best == first || w.before(best)) {
			best = w
		}
	}
	return best
}

// hasIdle reports whether a team has an idle connection.
func (s *Scheduler) hasIdle(team string) bool {
	return slices.ContainsFunc(s.idle, func(c *Conn) bool { return c.Team == team })
}

// connFor finds a connection for a team: an idle one of the same team, or nil for a
// new one, for which another team's idle connection is closed if necessary. It
// reports false if there is none.
func (s *Scheduler) connFor(team string, now time.Time) (*Conn, bool) {
	for i := len(s.idle) - 1; i >= 0; i-- {
		c := s.idle[i]
		if c.Team != team {
			continue
		}
		if !c.Alive() {
			s.closeIdleAt(i)
			continue
		}
		s.idle = slices.Delete(s.idle, i, i+1)
		return c, true
	}
	if s.open >= s.limit(now) {
		if len(s.idle) == 0 {
			return nil, false
		}
		s.closeIdleAt(s.leastUseful())
	}
	s.open++
	return nil, true
}

// leastUseful returns the index of the idle connection to close for another one:
// the one that has been idle for the longest time among those of teams without
// queued statements, or among all.
func (s *Scheduler) leastUseful() int {
	return max(0, slices.IndexFunc(s.idle, func(c *Conn) bool {
		return !s.fair.waits(c.Team) && !slices.ContainsFunc(s.queue, func(w *Waiter) bool { return w.Team == c.Team })
	}))
}

// closeIdleAt closes an idle connection.
func (s *Scheduler) closeIdleAt(i int) {
	s.idle[i].Close()
	s.idle = slices.Delete(s.idle, i, i+1)
	s.open--
}

// limit returns the current maximum number of connections. After the target has
// refused one because of its connection limit, this is the number that was open
// then; this applies for connLimitPause.
func (s *Scheduler) limit(now time.Time) int {
	if now.Before(s.connLimitUntil) {
		return max(1, min(s.maxConns, s.connLimit))
	}
	return s.maxConns
}
