package broker

import (
	"time"

	"github.com/pollendoor/pollendoor"
)

// The reasons for which an adaptive scheduler refuses a statement, as logged.
const (
	// ReasonWait means that the expected wait is longer than the allowed one, or that
	// the goal would be over.
	ReasonWait = "expected wait too long"
	// ReasonTimeLimit means that the statement would not end within its time limit.
	ReasonTimeLimit = "time limit too short"
	// ReasonShare means that a queued statement has given way: the queue is too long, and
	// its team has the most statements in it.
	ReasonShare = "team has most of a long queue"
	// ReasonExpired means that no slot became free in the allowed wait.
	ReasonExpired = "no slot within the allowed wait"
)

const (
	// reserveTime is how long slots are kept free after the last statement that only
	// the primary can run.
	reserveTime = 2 * time.Second
	// maxReserveShare is the largest part of the slots that is kept free.
	maxReserveShare = 0.5
	// timeLimitMargin is the multiple of its usual slot time that a statement needs before
	// its time limit. About half of the statements take longer than usual, and a write
	// without an answer in time is in doubt.
	timeLimitMargin = 2
	// minAvailable is the least number of slots from which waits are estimated while
	// transactions hold all connections.
	minAvailable = 0.1
	// maxRetryAfter bounds how far the refused statements of one team are spread.
	maxRetryAfter = 2 * time.Second
	// evictionMargin is by how much the expected wait of a queued statement has to exceed
	// the allowed one before the statement is refused. Estimates vary from one arrival to
	// the next, and a wait that is a little longer often ends in time.
	evictionMargin = 1.25
)

// reserve determines how many slots stay free for statements that only the primary can
// run, so that reads which come there while replicas lag use what those leave.
type reserve struct {
	load        meter // slots that such statements use
	lastArrival time.Time
}

// slots returns how many of the slots are kept free: the whole slots that such
// statements use, at least one and at most half, and none if there have been no such
// statements recently. A fraction is not rounded up: a slot that is kept free and not
// used is lost to the reads.
func (r *reserve) slots(slots int, now time.Time) int {
	if r.lastArrival.IsZero() || now.Sub(r.lastArrival) > reserveTime {
		return 0
	}
	return min(max(1, int(r.load.slots(now))), int(maxReserveShare*float64(slots)))
}

// enqueueFair is Enqueue for an adaptive scheduler.
func (s *Scheduler) enqueueFair(w *Waiter, now time.Time) bool {
	w.fair = true
	w.State = pollendoor.QueueState{Length: s.queuedLen()}
	if w.Need == pollendoor.NeedPrimary {
		s.primaryOnly.lastArrival = now
	}
	if w.Conn != nil {
		s.txQueue.push(w)
		s.dispatch(now)
		return true
	}
	if w.State.Expected = s.expectedWait(w, now); s.refuseFor(w, w.State.Expected, now) {
		return false
	}
	s.fair.push(w)
	s.dispatch(now)
	s.evict(w.Priority, now)
	return w.State.Reason == ""
}

// expectedWait returns the expected wait of a statement outside a transaction.
func (s *Scheduler) expectedWait(w *Waiter, now time.Time) time.Duration {
	slots, running := s.slots, s.running
	if w.Need == pollendoor.NeedAny {
		if r := s.primaryOnly.slots(s.slots, now); s.slots-r-s.anyRunning < s.slots-s.running {
			slots, running = s.slots-r, s.anyRunning
		}
	}
	if running < slots && len(s.txQueue) == 0 && s.fair.len() == 0 {
		return 0
	}
	usual := s.fair.class(w.Priority).usual(nil)
	available := float64(max(1, slots))
	if s.open >= s.limit(now) && len(s.idle) == 0 && s.running < s.slots {
		// Transactions hold all connections: as many statements run as connections return.
		available = min(available, max(minAvailable, s.returns.slots(now)*usual.Seconds()))
	}
	return s.fair.expectedWait(w, time.Duration(len(s.txQueue))*usual, available, now)
}

// refuseFor reports whether a statement with the given expected wait is to be refused,
// and sets the reason and the time after which it would not be.
func (s *Scheduler) refuseFor(w *Waiter, expected time.Duration, now time.Time) bool {
	allowed := w.Deadline.Sub(now)
	if !w.Goal.IsZero() {
		allowed = min(allowed, w.Goal.Sub(now))
	}
	reason, service := ReasonWait, s.fair.usual(w)
	if !w.TimeLimit.IsZero() {
		if a := w.TimeLimit.Sub(now) - timeLimitMargin*service; a < allowed {
			allowed, reason = a, ReasonTimeLimit
		}
	}
	// A statement whose goal is over is still worth something while a slot is free.
	if expected <= max(0, allowed) {
		return false
	}
	w.State.Reason = reason
	// The statements that run now count in full, so the estimate falls in steps.
	w.RetryAfter = s.retryAfter(w, expected-max(0, allowed)+service, now)
	return true
}

// retryAfter returns the time after which a refused statement is to be tried again, which
// is at least least. Each of a team's refused statements gets a later time than the one
// before it, by what a statement takes: the queue has no place for all of them at once.
func (s *Scheduler) retryAfter(w *Waiter, least time.Duration, now time.Time) time.Duration {
	f := s.fair.class(w.Priority).flow(w.Team)
	next := f.retryAt.Add(s.fair.usual(w) / time.Duration(max(1, s.slots)))
	d := max(min(next.Sub(now), maxRetryAfter), least, time.Millisecond)
	f.retryAt = now.Add(d)
	return d
}

// evict refuses the last statements of the teams with the most queued statements, in
// the priority of a new arrival and in less urgent ones, if they would now wait too
// long. Their callers learn at once what they would learn at the end of the wait.
func (s *Scheduler) evict(priority int, now time.Time) {
	for _, c := range s.fair.classes {
		if c.priority < priority {
			continue
		}
		for range maxEvictions {
			f := c.heaviest()
			if f == nil {
				break
			}
			w := f.last()
			expected := time.Duration(float64(s.expectedWait(w, now)) / evictionMargin)
			if w.Refuse == nil || !s.refuseFor(w, expected, now) {
				break
			}
			w.State.Reason, w.State.Waited = ReasonShare, now.Sub(w.queuedAt)
			s.fair.remove(w)
			w.Refuse()
		}
	}
}

// nextFair returns the queued statement to run next, or nil if there is none that may
// run now. Statements that have waited and would not end within their time limit any more
// are refused: their callers may have given up while this VM was frozen. One that finds a
// free slot at its arrival runs in any case; otherwise a target that was slow for a while
// would get no statement that shows that it is not slow any more.
func (s *Scheduler) nextFair(now time.Time) *Waiter {
	preferred := func(string) bool { return true }
	if s.open >= s.limit(now) {
		preferred = s.hasIdle
	}
	onlyPrimary := s.anyRunning >= s.slots-s.primaryOnly.slots(s.slots, now)
	for {
		w := s.fair.next(onlyPrimary, preferred, now)
		if w == nil || w.Refuse == nil || w.TimeLimit.IsZero() || !now.After(w.queuedAt) {
			return w
		}
		if !now.Add(timeLimitMargin * s.fair.usual(w)).After(w.TimeLimit) {
			return w
		}
		s.fair.remove(w)
		w.State.Reason, w.State.Waited = ReasonTimeLimit, now.Sub(w.queuedAt)
		w.RetryAfter = s.retryAfter(w, s.expectedWait(w, now), now)
		w.Refuse()
	}
}

// startFair records that a statement gets a slot.
func (s *Scheduler) startFair(w *Waiter, now time.Time) {
	if w.Need == pollendoor.NeedAny {
		s.anyRunning++
	}
	w.State.Waited = now.Sub(w.queuedAt)
	s.fair.start(w, now)
}

// Settle charges the slot time of a statement to its team. It must be called once for
// each granted statement, before Finish.
func (s *Scheduler) Settle(w *Waiter, now time.Time) {
	if w.flow == nil {
		return
	}
	took := s.fair.settle(w, now)
	w.flow = nil
	switch w.Need {
	case pollendoor.NeedAny:
		s.anyRunning--
	case pollendoor.NeedPrimary:
		s.primaryOnly.load.add(took, now)
	}
}

// Expire ends the wait of a statement that has reached its deadline. It reports false
// if the statement has left the queue already.
func (s *Scheduler) Expire(w *Waiter, now time.Time) bool {
	if !s.Remove(w) {
		return false
	}
	w.State.Reason, w.State.Waited = ReasonExpired, now.Sub(w.queuedAt)
	if s.adaptive && w.Conn == nil {
		w.RetryAfter = s.retryAfter(w, s.expectedWait(w, now), now)
	}
	return true
}
