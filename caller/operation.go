package caller

import (
	"cmp"
	"time"

	"github.com/pollendoor/pollendoor"
	"github.com/pollendoor/pollendoor/clock"
)

const (
	// sampleMargin is left of a read's allowed staleness for the time until the
	// target starts with it.
	sampleMargin = 60 * time.Millisecond
	// poll is how often a statement that waits for a primary looks again.
	poll = 15 * time.Millisecond
	// leaseWait is how long a statement waits for a lease: about a heartbeat.
	leaseWait = 300 * time.Millisecond
	// maxAttempts bounds the targets that a statement is offered to.
	maxAttempts = 4
	// readShare is the part of the time left that a read gives one target while
	// others could serve it.
	readShare = 0.6
	// moveShare is the part of the goal that a statement waits for a primary which
	// is being replaced, and queueShare that for a place in a target's queue. A
	// longer queue serves no more callers and refuses the others later.
	moveShare  = 0.5
	queueShare = 0.25
	// leastTime is the time below which no further attempt is worth it.
	leastTime = 20 * time.Millisecond
)

// operation is the work on one statement.
type operation struct {
	session  *Session
	work     *pollendoor.Work
	route    pollendoor.Route
	team     string
	start    time.Duration
	useless  uint64 // epoch whose primary can't serve it
	decision pollendoor.Decision
}

func (o *operation) left() time.Duration { return o.route.Timeout - (clock.Now() - o.start) }

// goal is the time within which the statement should be answered.
func (o *operation) goal() time.Duration {
	if o.route.Goal <= 0 || o.route.Goal > o.route.Timeout {
		return o.route.Timeout
	}
	return o.route.Goal
}

// patience is how long the statement may still wait for a primary that is being
// replaced.
func (o *operation) patience() time.Duration {
	return time.Duration(moveShare*float64(o.goal())) - (clock.Now() - o.start)
}

// single runs a statement outside a transaction.
func (o *operation) single() pollendoor.Reply {
	var r pollendoor.Reply
	tried := make(map[string]bool, maxAttempts)
	for o.decision.Attempts < maxAttempts {
		p, leased, epoch, refusal := o.place(o.start, o.work.Write, tried)
		if refusal.Code != "" {
			if r.Code == "" {
				r = refusal
			}
			break
		}
		turn := o.offer(p)
		r = turn.Do(o.work)
		turn.Close()
		r = o.judge(r, p, leased, epoch)
		if r.OK() {
			if o.work.Write {
				o.session.committed(o.route.Group, r.Position)
			}
			r.State = 'I'
			return r
		}
		again := r.Code.NotRun() && !r.Lost || !o.work.Write && (r.Lost || r.Code == pollendoor.ErrAborted)
		if !o.work.Write && r.Code == pollendoor.ErrFailed && o.decision.Attempts == 1 {
			again = true // one target may fail what another one answers
		}
		if !again || o.left() < leastTime {
			break
		}
		tried[p.target.ID] = true
		if o.work.Write && r.Code == pollendoor.ErrBusy {
			break // there is one primary only, and it is full
		}
	}
	return o.final(r)
}

// offer prepares the work for a target and opens a turn there.
func (o *operation) offer(p place) pollendoor.Turn {
	o.decision.Attempts++
	o.decision.Target, o.decision.Replica, o.decision.After = p.target.ID, p.replica, p.after
	w := o.work
	w.Target, w.Group, w.Team = p.target.ID, o.route.Group, o.team
	w.Priority = o.route.Priority
	w.After = p.after
	w.Timeout = o.left()
	if !w.Write && o.decision.Attempts == 1 && !o.session.open.Load() {
		w.Timeout = time.Duration(float64(w.Timeout) * readShare)
	}
	w.MaxWait = max(leastTime, min(time.Duration(queueShare*float64(o.goal())), w.Timeout))
	return o.session.cluster.Open(p.target, o.team)
}

// place finds a target. A statement that needs the primary waits a while for a
// lease on it, and longer for one that is being replaced.
func (o *operation) place(since time.Duration, primary bool, tried map[string]bool) (place, bool, uint64, pollendoor.Reply) {
	c := o.session.cluster
	lead, state := c.Lead(o.route.Group)
	if !primary && o.route.Kind != pollendoor.KindPrimary {
		if p, ok := o.replica(since, lead, tried); ok {
			return p, false, 0, pollendoor.Reply{}
		}
	}
	for {
		if state == pollendoor.LeadServing && lead.Epoch != o.useless {
			o.decision.Epoch = lead.Epoch
			return place{target: lead.Target}, true, lead.Epoch, pollendoor.Reply{}
		}
		waited := clock.Now() - o.start
		if state == pollendoor.LeadNone && waited > leaseWait || o.patience() < leastTime {
			return place{}, false, 0, refusal(pollendoor.ErrBusy, "no primary to send it to")
		}
		time.Sleep(poll)
		lead, state = c.Lead(o.route.Group)
	}
}

// replica finds a target for a read of bounded staleness that began at since.
func (o *operation) replica(since time.Duration, lead pollendoor.Lead, tried map[string]bool) (place, bool) {
	c := o.session.cluster
	sample, age, ok := c.PositionSince(o.route.Group, since-o.route.MaxStaleness+sampleMargin)
	if !ok {
		return place{}, false
	}
	after := sample
	if o.route.Kind == pollendoor.KindReadYourWrites {
		if after, ok = floor(sample, o.session.own(o.route.Group)); !ok {
			return place{}, false
		}
	}
	o.decision.SampleAge = age
	for _, p := range rank(c.Replicas(o.route.Group), lead.Target.ID, after) {
		if !tried[p.target.ID] {
			return p, true
		}
	}
	return place{}, false
}

func refusal(code pollendoor.ErrorCode, text string) pollendoor.Reply {
	return pollendoor.Reply{Code: code, Text: text}
}

// judge turns a target's reply into what may be told to the caller. The answer
// of a primary counts only if its reign lasted until the answer was there.
func (o *operation) judge(r pollendoor.Reply, p place, leased bool, epoch uint64) pollendoor.Reply {
	c := o.session.cluster
	c.Answered(p.target.ID, &r)
	if r.Code != "" || r.Lost {
		o.decision.Tried = append(o.decision.Tried, p.target.ID+" "+cmp.Or(string(r.Code), "lost"))
	}
	if leased && (r.Code == pollendoor.ErrReadOnly || r.Code == pollendoor.ErrMisrouted) {
		o.useless = epoch
	}
	if r.OK() && leased && !c.Leads(o.route.Group, epoch) {
		if o.work.Write || o.work.Ends {
			return pollendoor.Reply{Code: pollendoor.ErrInDoubt, Text: "the primary may have been replaced"}
		}
		return pollendoor.Reply{Code: pollendoor.ErrAborted, Text: "the primary may have been replaced"}
	}
	if r.Lost && o.work.Write {
		r.Code = pollendoor.ErrInDoubt
	}
	return r
}

// final turns the last reply into the answer to a single statement.
func (o *operation) final(r pollendoor.Reply) pollendoor.Reply {
	text := r.Text
	switch {
	case r.Lost && o.work.Write:
		r = refusal(pollendoor.ErrInDoubt, "no answer from the primary: "+text)
	case r.Lost:
		r = refusal(pollendoor.ErrTimeout, "no answer: "+text)
	case r.Code == pollendoor.ErrMisrouted, r.Code == pollendoor.ErrConnLimit, r.Code == pollendoor.ErrReadOnly, r.Code == pollendoor.ErrNoStmt, r.Code == pollendoor.ErrAborted:
		r = refusal(pollendoor.ErrBusy, string(r.Code)+": "+text)
	case r.Code == "":
		r = refusal(pollendoor.ErrBusy, "no target could take it")
	}
	r.State = 'I'
	r.Lost = false
	return r
}

// inTransaction runs a statement of the open transaction.
func (o *operation) inTransaction() pollendoor.Reply {
	s := o.session
	t := &s.tx
	o.route, o.team = t.route, t.team
	o.decision.Version, o.decision.Epoch = t.version, t.epoch
	if code := o.stillAllowed(); code != "" {
		return o.abort(refusal(code, "key or route is gone"))
	}
	if t.reads && o.work.Write {
		return o.abort(refusal(pollendoor.ErrReadOnly, "the transaction is read-only"))
	}
	var r pollendoor.Reply
	if t.turn == nil {
		r = o.first()
	} else {
		if t.leased && !s.cluster.Leads(t.route.Group, t.epoch) {
			return o.abort(refusal(pollendoor.ErrAborted, "the primary may have been replaced"))
		}
		p := t.place
		p.after = pollendoor.Position{}
		o.decision.Attempts++
		o.decision.Target, o.decision.Replica = p.target.ID, p.replica
		w := o.work
		w.Target, w.Group, w.Team, w.Priority = p.target.ID, t.route.Group, t.team, t.route.Priority
		w.Timeout = o.left()
		w.MaxWait = w.Timeout
		r = t.turn.Do(w)
		r = o.judge(r, p, t.leased && (t.wrote || !w.Ends), t.epoch)
	}
	return o.concludes(r)
}

// stillAllowed checks the key in the middle of a transaction. A route may change
// meanwhile, which holds from the next transaction on.
func (o *operation) stillAllowed() pollendoor.ErrorCode {
	_, _, code := o.session.access()
	return code
}

// first opens the transaction at a target with its first statement.
func (o *operation) first() pollendoor.Reply {
	s := o.session
	t := &s.tx
	o.work.Open = pollendoor.OpenWrite
	if t.reads {
		o.work.Open = pollendoor.OpenRead
	}
	var r pollendoor.Reply
	tried := make(map[string]bool, maxAttempts)
	for o.decision.Attempts < maxAttempts {
		p, leased, epoch, refused := o.place(t.began, !t.reads, tried)
		if refused.Code != "" {
			if r.Code == "" {
				r = refused
			}
			return r
		}
		t.place, t.leased, t.epoch = p, leased, epoch
		turn := o.offer(p)
		r = turn.Do(o.work)
		r = o.judge(r, p, leased, epoch)
		if r.OK() {
			t.turn = turn
			return r
		}
		turn.Close()
		again := !r.Lost && r.Code.NotRun() || !o.work.Write && !o.work.Ends && r.Lost
		if !again || o.left() < leastTime || o.work.Open == pollendoor.OpenWrite && r.Code == pollendoor.ErrBusy {
			return r
		}
		tried[p.target.ID] = true
	}
	return r
}

// concludes turns a reply into the answer within a transaction.
func (o *operation) concludes(r pollendoor.Reply) pollendoor.Reply {
	s := o.session
	t := &s.tx
	w := o.work
	t.wrote = t.wrote || w.Write
	if w.Ends {
		wrote, group := t.wrote, t.route.Group
		s.end()
		r.State = 'I'
		switch {
		case r.OK() && wrote:
			s.committed(group, r.Position)
		case r.OK():
		case r.Lost && wrote || r.Code == pollendoor.ErrInDoubt && wrote:
			r = pollendoor.Reply{Code: pollendoor.ErrInDoubt, Text: "no certain answer to the commit: " + r.Text, State: 'I'}
		case r.Lost || r.Code == pollendoor.ErrMisrouted || r.Code == pollendoor.ErrInDoubt:
			// Nothing was written, so nothing is kept.
			r = pollendoor.Reply{Code: pollendoor.ErrAborted, Text: "no answer to the commit: " + r.Text, State: 'I'}
		}
		return r
	}
	if r.OK() && r.State == 'T' {
		return r
	}
	if r.OK() {
		r = refusal(pollendoor.ErrAborted, "the target left the transaction")
	}
	if r.Lost || r.Code == pollendoor.ErrInDoubt || r.Code == pollendoor.ErrMisrouted || r.Code == pollendoor.ErrConnLimit {
		// Not committed and never will be: the connection is given up.
		r = refusal(pollendoor.ErrAborted, "the transaction's connection was lost: "+r.Text)
	}
	return o.abort(r)
}

// abort fails the open transaction with a refusal.
func (o *operation) abort(r pollendoor.Reply) pollendoor.Reply {
	s := o.session
	s.release()
	s.tx.failed = true
	if o.work.Ends {
		s.end()
	}
	r.State = s.state()
	return r
}
