package broker

import (
	"slices"
	"time"

	"github.com/pollendoor/pollendoor"
	"github.com/pollendoor/pollendoor/clock"
)

// Turn is the use of one connection for a statement or a transaction.
type Turn struct {
	broker *Broker
	team   string
	link   *link // while a transaction is open
}

var _ pollendoor.Turn = (*Turn)(nil)

// Do runs one statement.
func (t *Turn) Do(w *pollendoor.Work) pollendoor.Reply {
	b := t.broker
	deadline := time.Now().Add(w.Timeout)
	pinned := t.link != nil
	l, refused := t.enter(w, deadline)
	if l == nil {
		if pinned {
			t.Close()
		}
		refused.State, refused.Delay = endState(pinned), b.Delay()
		return refused
	}
	start, sent := time.Now(), clock.Now()
	r := t.run(l, w, pinned, deadline)
	b.leave(time.Since(start))
	r.Delay = b.Delay()
	if b.Observe != nil {
		b.Observe(b.Target(), r, sent)
	}
	t.settle(l, &r)
	return r
}

// enter waits for a slot with a connection. When the target refuses one more
// connection, the statement waits for one of those that there are.
func (t *Turn) enter(w *pollendoor.Work, deadline time.Time) (*link, pollendoor.Reply) {
	b := t.broker
	wait := *w
	for until := time.Now().Add(w.MaxWait); ; {
		g, code := b.enter(t, &wait)
		if code != "" {
			return nil, pollendoor.Reply{Code: code, Text: "no slot in time"}
		}
		if !g.dial {
			return g.link, pollendoor.Reply{}
		}
		l, refused := b.dial(t.team, time.Until(deadline))
		if l != nil {
			return l, refused
		}
		b.leave(0)
		wait.MaxWait = time.Until(until)
		if refused.Code != pollendoor.ErrConnLimit || wait.MaxWait <= 0 {
			return nil, refused
		}
	}
}

func endState(pinned bool) byte {
	if pinned {
		return 'E'
	}
	return 'I'
}

// run brings the connection into the state that the statement needs, waits
// until it is there, and runs the statement.
func (t *Turn) run(l *link, w *pollendoor.Work, pinned bool, deadline time.Time) pollendoor.Reply {
	values, reset := missing(l.values, w.Values)
	if l.dirty {
		values, reset = w.Values, true
	}
	if reset {
		if pinned {
			// Values are never taken back within a transaction.
			return pollendoor.Reply{Lost: true, Text: "session values of another session"}
		}
		if r := l.Reset(deadline); !r.OK() {
			return unsent(r)
		}
		l.values, l.dirty = nil, false
	}
	open, after := w.Open, w.After
	if pinned {
		open = pollendoor.OpenNone
	}
	opening := pollendoor.Position{}
	if open != pollendoor.OpenNone {
		opening, after = after, pollendoor.Position{}
	}
	if r := l.Setup(values, w.Prepared, open, opening, deadline); !r.OK() {
		l.dirty = true
		return unsent(r)
	}
	l.values = w.Values
	r := l.Run(w, after, deadline)
	r.Sent = true
	return r
}

// unsent marks the reply to a statement of the system: the caller's statement
// has not been sent.
func unsent(r pollendoor.Reply) pollendoor.Reply {
	r.Sent = false
	if r.Lost {
		r.Lost, r.Code, r.State = false, pollendoor.ErrMisrouted, 0
	}
	return r
}

// missing returns the values to set on a connection that has some, and whether
// it must be reset first.
func missing(has, want []pollendoor.Setting) (set []pollendoor.Setting, reset bool) {
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

// settle decides what becomes of the connection after a reply.
func (t *Turn) settle(l *link, r *pollendoor.Reply) {
	t.link = nil
	switch {
	case r.Lost || r.State == 0:
		l.Close()
		t.broker.lose()
		r.State = 'E'
	case r.State == 'T' && r.Code == "":
		t.link = l
	case r.State == 'I':
		t.broker.keep(l)
	default:
		t.rollback(l)
		r.State = 'E'
	}
}

// rollback ends a transaction and gives its connection back.
func (t *Turn) rollback(l *link) {
	if r := l.Rollback(time.Now().Add(stepTimeout)); !r.OK() || r.State != 'I' {
		l.Close()
		t.broker.lose()
		return
	}
	t.broker.keep(l)
}

// Close ends the turn. An open transaction is rolled back.
func (t *Turn) Close() {
	if l := t.link; l != nil {
		t.link = nil
		t.rollback(l)
	}
}
