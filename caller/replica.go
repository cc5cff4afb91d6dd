package caller

import (
	"slices"
	"time"

	"github.com/pollendoor/pollendoor"
)

const (
	// lagLife is how long a replica's lag is used after the answer that showed it. A
	// replica that gets no reads is tried again after that.
	lagLife = time.Second
	// lagMargin is added to the time at which a replica is expected to hold a position:
	// lags vary from one transaction to the next.
	lagMargin = 10 * time.Millisecond
	// replicaWaitShare is the part of its goal that a read waits for a replica to reach a
	// position, before it takes a slot at the primary.
	replicaWaitShare = 0.25
	// maxLaggingAnswers is how often a read is offered to a replica that lags.
	maxLaggingAnswers = 2
)

// requirement is what a read needs from the target that runs it.
type requirement struct {
	after   pollendoor.Position // position that the target's log must hold
	reached time.Duration       // when the primary's log had reached it, on the boot clock
	tried   map[string]bool     // targets that the read is not offered to
	// lagged is when a replica last answered that it lacked the position, on the boot
	// clock, or zero.
	lagged time.Duration
}

// readyIn returns how long a replica still needs until its log holds the required
// position. It reports false if that is not known.
// A replica that lacked the position after a time is expected to need as long again: its
// lag may be newer than the samples of the primary's log that this VM has.
func (q *requirement) readyIn(r pollendoor.ReadTarget, now time.Duration) (time.Duration, bool) {
	if r.LagSeen == 0 || now-r.LagSeen > lagLife {
		return 0, false
	}
	lag := r.Lag
	if q.lagged > 0 {
		lag = max(lag, 2*(q.lagged-q.reached))
	}
	return max(0, q.reached+lag+lagMargin-now), true
}

// planRead chooses the target of a read of an adaptive group. Replicas whose lag is known
// are eligible by that. If none is eligible, and one will be within the allowed wait, the
// read waits for it: the result is the time after which to plan again. It reports false if
// there is no target.
func planRead(list []pollendoor.ReadTarget, primary string, q requirement, wait, now time.Duration) (destination, time.Duration, bool) {
	list = slices.Clone(list)
	least := time.Duration(-1)
	for i := range list {
		r := &list[i]
		if r.Target.ID == primary {
			continue
		}
		d, ok := q.readyIn(*r, now)
		if !ok {
			continue
		}
		r.Behind = d > 0
		if d > 0 && !q.tried[r.Target.ID] && (least < 0 || d < least) {
			least = d
		}
	}
	ranked := rankTargets(list, primary, q.after)
	if least > 0 && least <= wait && !slices.ContainsFunc(ranked, func(p destination) bool { return p.replica && !q.tried[p.target.ID] }) {
		return destination{}, max(least, pollInterval), true
	}
	p, ok := untried(ranked, q.tried)
	return p, 0, ok
}
