package caller

import (
	"github.com/pollendoor/pollendoor"
)

// inTransaction runs a statement of the open transaction.
func (o *operation) inTransaction() pollendoor.Reply {
	s := o.session
	t := &s.tx
	o.route, o.team = t.route, t.team
	o.decision.Version, o.decision.Epoch = t.configVersion, t.epoch
	o.work.Regions = t.regions
	if code := o.checkAccess(); code != "" {
		return o.abort(refusal(code, "key or route is gone"))
	}
	if t.readOnly && o.work.Write {
		return o.abort(refusal(pollendoor.ErrReadOnly, "the transaction is read-only"))
	}
	var r pollendoor.Reply
	if t.targetSession == nil {
		r = o.runFirst()
	} else {
		if t.needsLease && !s.cluster.HoldsLease(t.route.Group, t.epoch) {
			return o.abort(refusal(pollendoor.ErrAborted, "the primary may have been replaced"))
		}
		p := t.destination
		p.after = pollendoor.Position{}
		o.decision.Attempts++
		o.decision.Target, o.decision.Replica = p.target.ID, p.replica
		w := o.work
		w.Target, w.Group, w.Team, w.Priority = p.target.ID, t.route.Group, t.team, t.route.Priority
		w.Timeout = o.remaining()
		w.MaxWait = w.Timeout
		o.setValue()
		r = t.targetSession.Do(w)
		r = o.checkReply(r, p, t.needsLease && (t.wrote || !w.Commit), t.epoch)
	}
	return o.replyInTransaction(r)
}

// checkAccess checks the key and the route within a transaction. A change of the
// route takes effect with the next transaction.
func (o *operation) checkAccess() pollendoor.ErrorCode {
	_, _, code := o.session.access()
	return code
}

// runFirst opens the transaction at a target and runs its first statement.
func (o *operation) runFirst() pollendoor.Reply {
	s := o.session
	t := &s.tx
	o.work.Open = pollendoor.OpenWrite
	if t.readOnly {
		o.work.Open = pollendoor.OpenRead
	}
	var r pollendoor.Reply
	tried := make(map[string]bool, maxAttempts)
	for o.decision.Attempts < maxAttempts {
		p, needsLease, epoch, refused := o.chooseTarget(t.startedAt, !t.readOnly, tried)
		if refused.Code != "" {
			if r.Code == "" {
				r = refused
			}
			return r
		}
		if !o.mayAttempt(&r) {
			return r
		}
		t.destination, t.needsLease, t.epoch = p, needsLease, epoch
		targetSession := o.openTargetSession(p)
		r = targetSession.Do(o.work)
		r = o.checkReply(r, p, needsLease, epoch)
		if r.OK() {
			t.targetSession = targetSession
			return r
		}
		targetSession.Close()
		again := !r.Lost && r.Code.NotRun() || !o.work.Write && !o.work.Commit && r.Lost
		if !again || o.remaining() < minAttemptTime || o.work.Open == pollendoor.OpenWrite && r.Code == pollendoor.ErrBusy && !r.Evacuated {
			return r
		}
		o.triedTarget(tried, p.target.ID, r)
	}
	return r
}

// replyInTransaction turns a reply into the answer to a statement of the open
// transaction, and ends or fails the transaction as the reply requires.
func (o *operation) replyInTransaction(r pollendoor.Reply) pollendoor.Reply {
	s := o.session
	t := &s.tx
	w := o.work
	t.wrote = t.wrote || w.Write
	if w.Commit {
		wrote, group := t.wrote, t.route.Group
		s.end()
		r.State = 'I'
		switch {
		case r.OK() && wrote:
			s.recordCommit(group, r.Position)
		case r.OK():
		case r.Lost && wrote || r.Code == pollendoor.ErrInDoubt && wrote:
			r = pollendoor.Reply{Code: pollendoor.ErrInDoubt, Text: "no certain answer to the commit: " + r.Text, State: 'I'}
		case r.Lost || r.Code == pollendoor.ErrMisrouted || r.Code == pollendoor.ErrInDoubt:
			// The transaction wrote nothing, so there is no doubt about its outcome.
			r = pollendoor.Reply{Code: pollendoor.ErrAborted, Text: "no answer to the commit: " + r.Text, State: 'I'}
		}
		return r
	}
	if r.OK() && r.State == 'T' {
		return r
	}
	if r.OK() {
		r = refusal(pollendoor.ErrAborted, "the target ended the transaction")
	}
	if r.Lost || r.Code == pollendoor.ErrInDoubt || r.Code == pollendoor.ErrMisrouted || r.Code == pollendoor.ErrConnLimit {
		// The transaction can't commit any more, because its connection is closed.
		r = refusal(pollendoor.ErrAborted, "the transaction's connection was lost: "+r.Text)
	}
	return o.abort(r)
}

// abort fails the open transaction and returns the refusal with its new state.
func (o *operation) abort(r pollendoor.Reply) pollendoor.Reply {
	s := o.session
	s.release()
	s.tx.failed = true
	if o.work.Commit {
		s.end()
	}
	r.State = s.state()
	return r
}
