package broker

import (
	"math/rand/v2"
	"time"

	"github.com/pollendoor/pollendoor"
	"github.com/pollendoor/pollendoor/adapt"
	"github.com/pollendoor/pollendoor/eject"
)

// lateShare is the part of a statement's time limit after which an answer counts as late.
const lateShare = 0.5

// newJudge returns a judge of the answers of a target.
func newJudge() *eject.Judge { return &eject.Judge{Random: rand.Float64} }

// judgedAs returns what an answer to a statement says about the health of its target.
func judgedAs(r *pollendoor.Reply, serviceTime, timeout time.Duration) eject.Outcome {
	switch {
	case r.Lost && serviceTime >= timeout, r.Code == pollendoor.ErrTimeout:
		return eject.Hung
	case r.Lost, r.Code == pollendoor.ErrMisrouted && !r.Sent:
		return eject.Lost
	case r.Code == pollendoor.ErrBusy:
		return eject.Shed
	case r.Code == pollendoor.ErrFailed:
		return eject.Error
	case r.Code == "" && serviceTime > time.Duration(lateShare*float64(timeout)):
		return eject.Late
	case r.Code == "":
		return eject.Good
	}
	return eject.Neutral
}

// judge counts an answer of the target to a team's request that was sent at start. Answers
// during a stall of this process say nothing.
func (b *Broker) judge(o eject.Outcome, team string, start time.Time) {
	now := time.Now()
	if b.Stalled != nil && b.Stalled(start, now) {
		return
	}
	b.mu.Lock()
	var e eject.Ejection
	var ejected bool
	if j := b.capacity.judge; j != nil {
		e, ejected = j.Answer(o, team, now)
	}
	t := b.target
	b.mu.Unlock()
	if ejected && b.OnEject != nil {
		b.OnEject(t, e)
	}
}

// admitEjected refuses a statement that another target can run while this one is ejected. The
// statement has not been sent in that case.
func (b *Broker) admitEjected(w *pollendoor.Work) (pollendoor.Reply, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.capacity.judge == nil || !w.Elsewhere {
		return pollendoor.Reply{}, true
	}
	avoid, ok := b.capacity.judge.Admit(time.Now())
	return pollendoor.Reply{Code: pollendoor.ErrBusy, Text: "the target is ejected", State: 'I', Avoid: avoid}, ok
}

// report adds to a reply what the VMs that choose between targets need to know: the
// estimated wait of a statement that is queued now, the time that a statement takes at the
// target, and how much longer the target is ejected.
func (b *Broker) report(r *pollendoor.Reply) {
	b.mu.Lock()
	defer b.mu.Unlock()
	r.Delay = max(r.Delay, b.scheduler.Delay())
	if l := b.capacity.limiter; l != nil {
		r.Service = l.Service()
	}
	if j := b.capacity.judge; j != nil {
		r.Avoid = j.Ejected(time.Now())
	}
}

// measure counts an answer to a statement that was sent at start, before its slot is freed.
func (t *Session) measure(w *pollendoor.Work, r *pollendoor.Reply, start time.Time) {
	took := time.Since(start)
	t.broker.measure(kindOf(w), outcomeOf(r, took, w.Timeout), start)
	t.broker.judge(judgedAs(r, took, w.Timeout), t.team, start)
}

// measureFailedOpening counts a connection that could not be opened, before the slot of its
// statement is freed.
func (t *Session) measureFailedOpening(r *pollendoor.Reply, start time.Time) {
	t.broker.measure(kindOpen, adapt.Skipped, start)
	if r.Code == pollendoor.ErrMisrouted {
		t.broker.judge(eject.Unreachable, t.team, start)
	}
}
