package caller

import (
	"cmp"
	"slices"
	"time"

	"github.com/pollendoor/pollendoor"
	"github.com/pollendoor/pollendoor/clock"
)

const (
	// sampleMargin is the part of a read's allowed staleness that is reserved for the
	// time until the target starts to run the read.
	sampleMargin = 60 * time.Millisecond
	// pollInterval is how often a statement that waits for a primary checks for one.
	pollInterval = 15 * time.Millisecond
	// leaseWait is how long a statement waits for a lease on the primary, about a
	// heartbeat interval.
	leaseWait = 300 * time.Millisecond
	// maxAttempts is the maximum number of attempts to run a statement.
	maxAttempts = 4
	// firstReadShare is the part of the remaining time that the first attempt of a
	// read may use, so that there is time left for another target.
	firstReadShare = 0.6
	// failoverWaitShare is the part of the response time goal that a statement waits
	// for a primary that is being replaced, and queueWaitShare the part that it waits
	// in a target's queue. A longer queue serves no more callers and only delays the
	// refusal of the others.
	failoverWaitShare = 0.5
	queueWaitShare    = 0.25
	// adaptiveWaitShare is the part of the rest of the goal that a statement of an
	// adaptive group may wait in a queue. The queue refuses by the expected wait, so the
	// wait may be longer there; what remains is for the statement itself, the way to the
	// target and, in a transaction, its other statements.
	adaptiveWaitShare = 0.6
	// minAttemptTime is the least remaining time for which another attempt is made.
	minAttemptTime = 20 * time.Millisecond
)

// operation is the execution of one statement, with all its attempts.
type operation struct {
	session      *Session
	work         *pollendoor.Work
	route        pollendoor.Route
	team         string
	start        time.Duration // on the boot clock
	refusedEpoch uint64        // epoch whose primary has refused the statement
	lagging      int           // answers of replicas that lag
	laggedAt     time.Duration // time of the last one on the boot clock
	decision     pollendoor.Decision
}

// remaining returns the time until the statement's deadline. A VM that is about to stop
// answers before its process ends.
func (o *operation) remaining() time.Duration {
	left := o.route.Timeout - (clock.Now() - o.start)
	if t, stopping := o.session.cluster.TimeLeft(); stopping {
		return min(left, t)
	}
	return left
}

// goal returns the time within which the statement should be answered.
func (o *operation) goal() time.Duration {
	if o.route.Goal <= 0 || o.route.Goal > o.route.Timeout {
		return o.route.Timeout
	}
	return o.route.Goal
}

// failoverWait returns how long the statement may still wait for a primary that is
// being replaced.
func (o *operation) failoverWait() time.Duration {
	return min(o.remaining(), time.Duration(failoverWaitShare*float64(o.goal()))-(clock.Now()-o.start))
}

// adaptive reports whether the statement's group is scheduled by what its targets take
// well; see pollendoor.GroupLimit.
func (o *operation) adaptive() bool {
	return o.session.cluster.Config().Groups[o.route.Group].Adaptive
}

// goalLeft returns the time until the end of the operation's goal, at least a
// nanosecond. A transaction is one operation.
func (o *operation) goalLeft() time.Duration {
	since, goal := o.start, o.route.Goal
	if o.session.open.Load() {
		since = o.session.tx.startedAt
	}
	if goal <= 0 {
		goal = o.route.Timeout
	}
	return max(1, goal-(clock.Now()-since))
}

// queueWait returns how long the statement may wait in a target's queue.
func (o *operation) queueWait() time.Duration {
	if o.adaptive() {
		return time.Duration(adaptiveWaitShare * float64(o.goalLeft()))
	}
	return time.Duration(queueWaitShare * float64(o.goal()))
}

// setValue tells the target's queue what the statement is worth to its caller. Groups
// that are not adaptive need it not.
func (o *operation) setValue() {
	w := o.work
	w.Goal, w.Need = 0, pollendoor.NeedUnknown
	if !o.adaptive() {
		return
	}
	w.Goal, w.Need = o.goalLeft(), pollendoor.NeedAny
	t := &o.session.tx
	if w.Write || o.route.Kind == pollendoor.KindPrimary || o.session.open.Load() && !t.readOnly {
		w.Need = pollendoor.NeedPrimary
	}
}

// runSingle runs a statement outside a transaction.
func (o *operation) runSingle() pollendoor.Reply {
	var r pollendoor.Reply
	tried := make(map[string]bool, maxAttempts)
	for o.decision.Attempts < maxAttempts {
		p, needsLease, epoch, refusal := o.chooseTarget(o.start, o.work.Write, tried)
		if refusal.Code != "" {
			if r.Code == "" {
				r = refusal
			}
			break
		}
		if !o.mayAttempt(&r) {
			break
		}
		targetSession := o.openTargetSession(p)
		r = targetSession.Do(o.work)
		targetSession.Close()
		r = o.checkReply(r, p, needsLease, epoch)
		if r.OK() {
			if o.work.Write {
				o.session.recordCommit(o.route.Group, r.Position)
			}
			r.State = 'I'
			return r
		}
		again := r.Code.NotRun() && !r.Lost || !o.work.Write && (r.Lost || r.Code == pollendoor.ErrAborted)
		if !o.work.Write && r.Code == pollendoor.ErrFailed && o.decision.Attempts == 1 {
			again = true // another target may be able to answer the read
		}
		if !again || o.remaining() < minAttemptTime {
			break
		}
		o.triedTarget(tried, p.target.ID, r)
		if o.work.Write && r.Code == pollendoor.ErrBusy && !r.Evacuated {
			break // only the primary can run a write, and its queue is full
		}
	}
	return o.finalReply(r)
}

// mayAttempt reports whether another attempt may be made after the reply to the last one.
// Attempts after one that has occupied a target have a budget.
func (o *operation) mayAttempt(last *pollendoor.Reply) bool {
	c := o.session.cluster
	switch {
	case o.decision.Attempts == 0:
		return c.Attempt(o.route.Group, 1)
	case !last.Sent && !last.Lost, last.Code == pollendoor.ErrLagging, last.Code == pollendoor.ErrReadOnly:
		return true // the target has done no work
	case c.Attempt(o.route.Group, o.decision.Attempts+1):
		return true
	}
	o.decision.Tried = append(o.decision.Tried, "no second attempt left in the budget")
	return false
}

// openTargetSession prepares the work for an attempt at a target and opens a session
// there.
func (o *operation) openTargetSession(p destination) pollendoor.TargetSession {
	o.decision.Attempts++
	o.decision.Target, o.decision.Replica, o.decision.After = p.target.ID, p.replica, p.after
	w := o.work
	w.Target, w.Group, w.Team = p.target.ID, o.route.Group, o.team
	w.Priority = o.route.Priority
	w.After = p.after
	w.Elsewhere = p.elsewhere
	w.Timeout = o.remaining()
	if !w.Write && o.decision.Attempts == 1 && !o.session.open.Load() {
		w.Timeout = time.Duration(float64(w.Timeout) * firstReadShare)
	}
	w.MaxWait = max(minAttemptTime, min(o.queueWait(), w.Timeout))
	o.setValue()
	return o.session.cluster.Open(p.target, o.team)
}

// chooseTarget returns a target, whether its use requires a lease, and the epoch of
// that lease. A read must see the commits that were acknowledged before since minus
// the route's maximum staleness, and does not go to a target in tried. A statement
// that needs the primary waits up to leaseWait for a lease on it, and up to
// failoverWait while it is being replaced. It does not wait for a primary in an
// evacuated zone whose replacement is expected to take longer than that. If there is no
// target, the reply is a refusal.
func (o *operation) chooseTarget(since time.Duration, primary bool, tried map[string]bool) (destination, bool, uint64, pollendoor.Reply) {
	c := o.session.cluster
	current, state := c.Primary(o.route.Group)
	if !primary && o.route.Kind != pollendoor.KindPrimary {
		if p, ok := o.chooseReadTarget(since, current, tried); ok {
			return p, false, 0, pollendoor.Reply{}
		}
	}
	for {
		if state == pollendoor.PrimaryServing && !o.mayRunAt(current.Target) {
			return destination{}, false, 0, refusal(pollendoor.ErrBusy, pollendoor.RegionText)
		}
		if state == pollendoor.PrimaryServing && current.Epoch != o.refusedEpoch {
			o.decision.Epoch = current.Epoch
			return destination{target: current.Target}, true, current.Epoch, pollendoor.Reply{}
		}
		if state == pollendoor.PrimaryEvacuated || state == pollendoor.PrimaryMoving && current.TakeoverIn > o.failoverWait() {
			return destination{}, false, 0, refusal(pollendoor.ErrBusy, pollendoor.EvacuatedText)
		}
		waited := clock.Now() - o.start
		if state == pollendoor.PrimaryUnavailable && waited > leaseWait || o.failoverWait() < minAttemptTime {
			return destination{}, false, 0, refusal(pollendoor.ErrBusy, "no primary to send it to")
		}
		time.Sleep(pollInterval)
		current, state = c.Primary(o.route.Group)
	}
}

// chooseReadTarget returns a target for a read of bounded staleness that began at
// since on the boot clock, leaving out those already tried.
func (o *operation) chooseReadTarget(since time.Duration, current pollendoor.GroupPrimary, tried map[string]bool) (destination, bool) {
	c := o.session.cluster
	sample, age, ok := c.PositionSince(o.route.Group, since-o.route.MaxStaleness+sampleMargin)
	if !ok {
		return destination{}, false
	}
	after := sample
	if o.route.Kind == pollendoor.KindReadYourWrites {
		if after, ok = requiredPosition(sample, o.session.lastCommit(o.route.Group)); !ok {
			return destination{}, false
		}
	}
	o.decision.SampleAge = age
	if o.adaptive() {
		q := requirement{after: after, reached: clock.Now() - age, tried: tried, lagged: o.laggedAt}
		if after != sample {
			q.reached = o.session.lastCommitAt(o.route.Group)
		}
		return o.awaitReplica(q, current.Target.ID)
	}
	return untried(rankTargets(o.readTargets(), current.Target.ID, after), tried)
}

// awaitReplica returns a target for a read of an adaptive group. If no replica holds the
// position yet, it waits for one within replicaWaitShare of the goal.
func (o *operation) awaitReplica(q requirement, primary string) (destination, bool) {
	for began := clock.Now(); ; {
		now := clock.Now()
		left := min(time.Duration(replicaWaitShare*float64(o.route.Goal))-(now-o.start), o.remaining()-minAttemptTime)
		p, wait, ok := planRead(o.readTargets(), primary, q, left, now)
		if wait == 0 {
			o.decision.ReplicaWait += now - began
			return p, ok
		}
		time.Sleep(wait)
	}
}

// triedTarget records that a read was not served by a target. One of an adaptive group
// is offered to a replica that lags once more.
func (o *operation) triedTarget(tried map[string]bool, id string, r pollendoor.Reply) {
	if r.Code == pollendoor.ErrLagging && o.adaptive() {
		o.laggedAt = clock.Now()
		if o.lagging++; o.lagging < maxLaggingAnswers {
			return
		}
	}
	tried[id] = true
}

// readTargets returns the targets that may run a read, by their regions.
func (o *operation) readTargets() []pollendoor.ReadTarget {
	return slices.DeleteFunc(o.session.cluster.ReadTargets(o.route.Group), func(r pollendoor.ReadTarget) bool { return !o.mayRunAt(r.Target) })
}

// mayRunAt reports whether a target is in a region whose targets may run the statement.
func (o *operation) mayRunAt(t pollendoor.TargetInfo) bool {
	return o.work.Regions == nil || o.work.Regions.Allow(o.session.cluster.RegionOf(t.Zone))
}

// refusal returns the reply that refuses a statement with a code.
func refusal(code pollendoor.ErrorCode, text string) pollendoor.Reply {
	return pollendoor.Reply{Code: code, Text: text}
}

// checkReply turns a target's reply into one that is safe to return to the caller.
// The answer of a primary is valid only if this VM's lease on its epoch still held
// when the answer arrived.
func (o *operation) checkReply(r pollendoor.Reply, p destination, needsLease bool, epoch uint64) pollendoor.Reply {
	c := o.session.cluster
	c.Answered(p.target.ID, &r)
	o.decision.Queue = r.Queue
	if r.Code != "" || r.Lost {
		o.decision.Tried = append(o.decision.Tried, p.target.ID+" "+cmp.Or(string(r.Code), "lost"))
	}
	if o.work.Elsewhere && r.Code == pollendoor.ErrBusy && !r.Sent && r.Avoid > 0 {
		o.decision.Attempts-- // refused because of an ejection, which costs the target nothing
	}
	if needsLease && (r.Code == pollendoor.ErrReadOnly || r.Code == pollendoor.ErrLagging || r.Code == pollendoor.ErrMisrouted || r.Evacuated) {
		o.refusedEpoch = epoch
	}
	if r.OK() && needsLease && !c.HoldsLease(o.route.Group, epoch) {
		if o.work.Write || o.work.Commit {
			return pollendoor.Reply{Code: pollendoor.ErrInDoubt, Text: "the primary may have been replaced"}
		}
		return pollendoor.Reply{Code: pollendoor.ErrAborted, Text: "the primary may have been replaced"}
	}
	if r.Lost && o.work.Write {
		r.Code = pollendoor.ErrInDoubt
	}
	return r
}

// finalReply turns the last reply into the answer to a statement outside a
// transaction.
func (o *operation) finalReply(r pollendoor.Reply) pollendoor.Reply {
	text := r.Text
	switch {
	case r.Lost && o.work.Write:
		r = refusal(pollendoor.ErrInDoubt, "no answer from the primary: "+text)
	case r.Lost:
		r = refusal(pollendoor.ErrTimeout, "no answer: "+text)
	case r.Code == pollendoor.ErrMisrouted, r.Code == pollendoor.ErrConnLimit, r.Code == pollendoor.ErrReadOnly, r.Code == pollendoor.ErrNoStmt, r.Code == pollendoor.ErrAborted:
		r = refusal(pollendoor.ErrBusy, string(r.Code)+": "+text)
	case r.Code == "":
		r = refusal(pollendoor.ErrBusy, "no target could run the statement")
	}
	r.State = 'I'
	r.Lost = false
	return r
}
