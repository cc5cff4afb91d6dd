package broker

import (
	"fmt"
	"slices"
	"time"

	"github.com/pollendoor/pollendoor"
	"github.com/pollendoor/pollendoor/clock"
)

// Session runs a single statement or one transaction on a connection of a broker. It
// implements pollendoor.TargetSession.
type Session struct {
	broker *Broker
	team   string
	conn   *Conn   // connection of the open transaction, nil outside one
	waiter *Waiter // last statement that waited for a slot
	// ended is true if the broker has ended the transaction. While the session is in the
	// broker's pinned, the broker's mu guards it and conn.
	ended bool
}

var _ pollendoor.TargetSession = (*Session)(nil)

// Do runs one statement and returns the target's reply, or a refusal with an error
// code if it was not sent.
func (t *Session) Do(w *pollendoor.Work) pollendoor.Reply {
	b := t.broker
	deadline := time.Now().Add(w.Timeout)
	pinned, ended := t.begin()
	if ended {
		r := evacuated(true)
		r.State = stateAfterRefusal(true)
		return r
	}
	if !pinned {
		if r, ok := b.admitEjected(w); !ok {
			return r
		}
	}
	c, refused := t.acquire(w, deadline)
	if c != nil && !b.mayRun(pinned) {
		// The evacuation began after the slot was granted.
		t.finish(nil, 0)
		if !pinned {
			b.closeConn(c)
		}
		c, refused = nil, evacuated(pinned)
	}
	if c == nil {
		if pinned {
			t.Close()
		}
		refused.State, refused.Queue = stateAfterRefusal(pinned), t.queueState()
		b.report(&refused)
		return refused
	}
	start, sent := time.Now(), clock.Now()
	r := t.run(c, w, pinned, deadline)
	t.measure(w, &r, start)
	t.releaseConn(c, &r, time.Since(start))
	r.Queue = t.queueState()
	b.report(&r)
	if b.Observe != nil {
		b.Observe(b.Target(), r, sent)
	}
	return r
}

// begin reports whether a transaction is open when a statement begins, and whether the
// broker has ended one since the last statement.
func (t *Session) begin() (pinned, ended bool) {
	t.broker.mu.Lock()
	defer t.broker.mu.Unlock()
	delete(t.broker.pinned, t)
	ended, t.ended = t.ended, false
	return t.conn != nil, ended
}

// pin keeps a connection for the next statement of the open transaction. If the target may
// not be used any more, the transaction ends.
func (t *Session) pin(c *Conn) {
	b := t.broker
	b.mu.Lock()
	keep := b.allows(true)
	if keep {
		t.conn = c
		if b.pinned == nil {
			b.pinned = make(map[*Session]struct{})
		}
		b.pinned[t] = struct{}{}
	} else {
		t.ended = true
	}
	b.mu.Unlock()
	if !keep {
		b.closeConn(c)
	}
}

// requests returns how many requests a statement sends to the target on an existing
// connection, at most.
func (t *Session) requests(w *pollendoor.Work) int {
	n := 1
	if w.Prepared != nil {
		n++
	}
	if t.conn != nil {
		return n
	}
	n += len(w.Values)
	if w.Open != pollendoor.OpenNone {
		n++
	}
	return n
}

// awaitAdmission waits until a statement of an open transaction may be sent to a target
// that may be cold. It returns a refusal if that takes too long.
func (t *Session) awaitAdmission(w *pollendoor.Work) pollendoor.Reply {
	for until := time.Now().Add(w.MaxWait); ; {
		wait, ok := t.broker.admit(t.requests(w))
		if ok {
			return pollendoor.Reply{}
		}
		if time.Now().Add(wait).After(until) {
			r := cold(wait)
			r.Code = pollendoor.ErrAborted // the transaction ends
			return r
		}
		time.Sleep(wait)
	}
}

// acquire waits for a slot and a connection. If the target refuses a new
// connection because of its connection limit, the statement waits for one of the
// existing connections.
func (t *Session) acquire(w *pollendoor.Work, deadline time.Time) (*Conn, pollendoor.Reply) {
	b := t.broker
	pinned := t.conn != nil
	if pinned {
		if r := t.awaitAdmission(w); r.Code != "" {
			return nil, r
		}
	}
	wait := *w
	for until := time.Now().Add(w.MaxWait); ; {
		c, refused := t.await(&wait, deadline)
		if refused.Code != "" || pinned {
			return c, refused
		}
		if c != nil {
			delay, ok := b.admit(t.requests(w))
			if !ok {
				t.finish(c, 0)
				return nil, cold(delay)
			}
			return c, refused
		}
		start := time.Now()
		c, refused = b.dial(t.team, time.Until(deadline), 1+t.requests(w))
		if c != nil {
			b.measureOpening(start)
			return c, refused
		}
		t.measureFailedOpening(&refused, start)
		t.finish(nil, 0)
		wait.MaxWait = time.Until(until)
		if refused.Code != pollendoor.ErrConnLimit || wait.MaxWait <= 0 {
			return nil, refused
		}
	}
}

// await waits for a slot and, if the session has no connection, for a connection. It
// returns nil for a connection that the session has to open. A reply with a code is a
// refusal; the statement has not been sent in that case.
func (t *Session) await(w *pollendoor.Work, deadline time.Time) (*Conn, pollendoor.Reply) {
	b, now := t.broker, time.Now()
	granted, refused := make(chan *Conn, 1), make(chan struct{}, 1)
	v := &Waiter{
		Team: t.team, Priority: w.Priority, Deadline: now.Add(w.MaxWait), Conn: t.conn, Need: w.Need, TimeLimit: deadline,
		Grant: func(c *Conn) {
			b.granted(time.Now())
			granted <- c
		},
		Refuse: func() { refused <- struct{}{} },
	}
	if w.Goal > 0 {
		v.Goal = now.Add(w.Goal)
	}
	t.waiter = v
	b.mu.Lock()
	allowed := b.allows(t.conn != nil)
	unreachable := t.conn == nil && now.Before(b.unreachableUntil)
	queued := allowed && !unreachable && b.scheduler.Enqueue(v, now)
	b.mu.Unlock()
	switch {
	case !allowed:
		t.waiter = nil
		return nil, evacuated(t.conn != nil)
	case unreachable:
		t.waiter = nil
		return nil, pollendoor.Reply{Code: pollendoor.ErrMisrouted, Text: t.refusalText()}
	case !queued:
		return t.leaveQueue()
	}
	timer := time.NewTimer(w.MaxWait)
	defer timer.Stop()
	select {
	case c := <-granted:
		return t.enterSlot(c)
	case <-refused:
		return t.leaveQueue()
	case <-timer.C:
	}
	b.mu.Lock()
	expired := b.scheduler.Expire(v, time.Now())
	b.mu.Unlock()
	if expired {
		return t.leaveQueue()
	}
	// The decision was made while the timer ran out.
	select {
	case c := <-granted:
		return t.enterSlot(c)
	case <-refused:
		return t.leaveQueue()
	}
}

// enterSlot reports that the statement has got a slot, and returns its connection.
func (t *Session) enterSlot(c *Conn) (*Conn, pollendoor.Reply) {
	t.noteQueue()
	return c, pollendoor.Reply{}
}

// leaveQueue returns the refusal of a statement that gets no slot.
func (t *Session) leaveQueue() (*Conn, pollendoor.Reply) {
	if pinned := t.conn != nil; !t.broker.mayRun(pinned) {
		return nil, evacuated(pinned)
	}
	t.noteQueue()
	return nil, pollendoor.Reply{Code: pollendoor.ErrBusy, Text: t.refusalText()}
}

// noteQueue reports that the statement has left the queue of an adaptive target.
func (t *Session) noteQueue() {
	if q := t.queueState(); q != nil && t.broker.OnQueue != nil {
		t.broker.OnQueue(t.team, t.waiter.Priority, *q)
	}
}

// queueState returns what the last statement found in the queue, or nil unless an
// adaptive scheduler has queued it.
func (t *Session) queueState() *pollendoor.QueueState {
	if t.waiter == nil || !t.waiter.fair {
		return nil
	}
	q := t.waiter.State
	return &q
}

// refusalText returns the text of a refusal, with the time after which another attempt
// would be queued if that is known.
func (t *Session) refusalText() string {
	const text = "no slot in time"
	if t.waiter == nil || t.waiter.RetryAfter <= 0 {
		return text
	}
	return fmt.Sprintf("%s; retry after %d ms", text, (t.waiter.RetryAfter+time.Millisecond-1)/time.Millisecond)
}

// finish charges the slot time of the statement to its team and frees the slot; see
// Broker.finish.
func (t *Session) finish(c *Conn, serviceTime time.Duration) {
	b := t.broker
	b.mu.Lock()
	b.scheduler.Settle(t.waiter, time.Now())
	b.mu.Unlock()
	b.finish(c, serviceTime)
}

// stateAfterRefusal returns the transaction state that is reported with a refusal:
// E (failed) within a transaction, I (idle) outside one.
func stateAfterRefusal(pinned bool) byte {
	if pinned {
		return 'E'
	}
	return 'I'
}

// run sets up the session values, prepared statement and transaction that the
// statement needs, and then runs the statement.
func (t *Session) run(c *Conn, w *pollendoor.Work, pinned bool, deadline time.Time) pollendoor.Reply {
	b := t.broker
	values, reset := missingValues(c.values, w.Values)
	if c.dirty {
		values, reset = w.Values, true
	}
	if reset {
		if pinned {
			// Session values can't be removed within a transaction.
			return pollendoor.Reply{Lost: true, Text: "connection holds session values of another session"}
		}
		// A refused DISCARD may have been carried out.
		c.values, c.dirty = nil, true
		r := c.Reset(deadline)
		if !r.OK() {
			return unsentReply(r)
		}
		if r.State != 'I' {
			return unsentReply(pollendoor.Reply{Lost: true, Text: "idle connection is in a transaction"})
		}
		c.dirty = false
	}
	open, after := w.Open, w.After
	if pinned {
		open = pollendoor.OpenNone
	} else if after.IsZero() && (!w.Write || open != pollendoor.OpenNone) {
		after = b.reached()
	}
	openAfter := pollendoor.Position{}
	if open != pollendoor.OpenNone {
		openAfter, after = after, pollendoor.Position{}
	}
	setup := c.Setup(values, w.Prepared, open, openAfter, deadline)
	if setup.OK() && open != pollendoor.OpenNone && setup.State != 'T' {
		setup = pollendoor.Reply{Lost: true, Text: "the target has opened no transaction"}
	}
	if !setup.OK() {
		c.dirty = true
		return unsentReply(setup)
	}
	c.values = w.Values
	r := c.Run(w, after, deadline)
	r.Sent = true
	if want := stateAfter(w, pinned); r.OK() && r.State != want {
		return pollendoor.Reply{Lost: true, Sent: true, Text: fmt.Sprintf("transaction state %c after the statement, want %c", r.State, want)}
	}
	return r
}

// stateAfter returns the transaction state in which a successful statement leaves its
// connection: I (idle) or T (in a transaction).
func stateAfter(w *pollendoor.Work, pinned bool) byte {
	if !w.Commit && (pinned || w.Open != pollendoor.OpenNone) {
		return 'T'
	}
	return 'I'
}

// reached returns a position that the target's log is known to hold. A target that lacks it
// has started again without its log, and refuses the statement.
func (b *Broker) reached() pollendoor.Position {
	if b.Reached == nil {
		return pollendoor.Position{}
	}
	return b.Reached(b.Target())
}

// unsentReply marks the reply to a reset or setup as one for which the caller's
// statement was not sent. A lost reply becomes MISROUTED.
func unsentReply(r pollendoor.Reply) pollendoor.Reply {
	r.Sent = false
	if r.Lost {
		r.Lost, r.Code, r.State = false, pollendoor.ErrMisrouted, 0
	}
	return r
}

// missingValues returns the session values that must be set on a connection that
// has the values has, and whether the connection must be reset first because it
// has a value that is not wanted.
func missingValues(has, want []pollendoor.Setting) (set []pollendoor.Setting, reset bool) {
	for _, h := range has {
		if !slices.ContainsFunc(want, func(s pollendoor.Setting) bool { return s.Name == h.Name }) {
			return want, true
		}
	}
	for _, s := range want {
		if !slices.Contains(has, s) {
			set = append(set, s)
		}
	}
	return set, false
}

// releaseConn frees the slot of a statement that took serviceTime, and closes the
// connection, returns it to the broker or keeps it for the open transaction,
// depending on the reply. It also normalizes the reply's state.
func (t *Session) releaseConn(c *Conn, r *pollendoor.Reply, serviceTime time.Duration) {
	t.conn = nil
	if r.State == 'I' && !r.Lost {
		t.finish(c, serviceTime)
		return
	}
	t.finish(nil, serviceTime)
	switch {
	case r.Lost || r.State == 0:
		t.broker.closeConn(c)
		r.State = 'E'
	case r.State == 'T' && r.Code == "":
		t.pin(c)
	default:
		t.rollback(c)
		r.State = 'E'
	}
}

// rollback rolls the open transaction back and returns its connection to the
// broker. The connection is closed if the rollback fails.
func (t *Session) rollback(c *Conn) {
	if _, ok := t.broker.admit(1); !ok || !t.broker.mayRun(true) {
		t.broker.closeConn(c) // which ends the transaction without a request
		return
	}
	if r := c.Rollback(time.Now().Add(rollbackTimeout)); !r.OK() || r.State != 'I' {
		t.broker.closeConn(c)
		return
	}
	t.broker.putIdle(c)
}

// Close ends the session and rolls an open transaction back.
func (t *Session) Close() {
	t.broker.mu.Lock()
	c := t.conn
	t.conn = nil
	delete(t.broker.pinned, t)
	t.broker.mu.Unlock()
	if c != nil {
		t.rollback(c)
	}
}
