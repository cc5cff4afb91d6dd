package caller

import (
	"cmp"
	"slices"
	"time"

	"github.com/pollendoor/pollendoor"
	"github.com/pollendoor/pollendoor/eject"
)

const (
	// crossRegionCost is the wait that a read prefers over going to another region.
	// It stands for the round trip and the price of the traffic.
	crossRegionCost = 250 * time.Millisecond
	// crossZoneCost is the wait that a read prefers over going to another zone of the
	// same region.
	crossZoneCost = 20 * time.Millisecond
	// nearRegionCost and nearZoneCost are the same for adaptive groups, whose expected
	// times include the statement itself: two and one round trips. A near target that is
	// busy is left in time for the capacity of another zone.
	nearRegionCost = 80 * time.Millisecond
	nearZoneCost   = 10 * time.Millisecond
	// failingCost is the wait that a read prefers over going to a target that fails
	// every statement. It is scaled by the fraction of statements that fail.
	failingCost = time.Second
	// primaryCost is the wait that a read prefers over going to the primary, which
	// has to serve the writes.
	primaryCost = 15 * time.Millisecond
)

// destination is the target that a statement goes to.
type destination struct {
	target  pollendoor.TargetInfo
	after   pollendoor.Position // position that the target's log must hold for a read; may be zero
	replica bool
	// elsewhere is whether another target can run the statement, so that this one may
	// refuse it.
	elsewhere bool
}

// rankTargets orders the targets for a read that any of them may serve, the best
// first. Replicas that lagged recently are left out: the primary can serve the
// read, and an occasional read checks whether they have caught up.
func rankTargets(list []pollendoor.ReadTarget, primary string, after pollendoor.Position) []destination {
	cost := func(r pollendoor.ReadTarget) time.Duration {
		d, region, zone := r.Delay, crossRegionCost, crossZoneCost
		if r.Expected > 0 {
			d, region, zone = r.Expected, nearRegionCost, nearZoneCost
		}
		switch r.Distance {
		case pollendoor.OtherRegion:
			d += region
		case pollendoor.SameRegion:
			d += zone
		}
		d += time.Duration(r.FailureRate * float64(failingCost))
		if r.Target.ID == primary {
			d += primaryCost
		}
		return d
	}
	list = withoutEjected(slices.DeleteFunc(slices.Clone(list), func(r pollendoor.ReadTarget) bool { return r.Behind }))
	slices.SortStableFunc(list, func(a, b pollendoor.ReadTarget) int { return cmp.Compare(cost(a), cost(b)) })
	ranked := make([]destination, 0, len(list))
	for _, r := range list {
		ranked = append(ranked, destination{
			target: r.Target, after: after, replica: r.Target.ID != primary,
			elsewhere: r.Expected > 0, // the group is adaptive
		})
	}
	return ranked
}

// untried returns the first of the ranked targets that was not tried yet. It may refuse the
// statement if there is another one.
func untried(ranked []destination, tried map[string]bool) (destination, bool) {
	left := slices.DeleteFunc(ranked, func(p destination) bool { return tried[p.target.ID] })
	if len(left) == 0 {
		return destination{}, false
	}
	p := left[0]
	p.elsewhere = p.elsewhere && len(left) > 1
	return p, true
}

// withoutEjected returns the targets that are not ejected, as far as the group can spare
// the others.
func withoutEjected(list []pollendoor.ReadTarget) []pollendoor.ReadTarget {
	candidates := make([]eject.Candidate, 0, len(list))
	for _, r := range list {
		candidates = append(candidates, eject.Candidate{Ejected: r.Ejected, Usable: true})
	}
	leftOut := eject.LeftOut(candidates)
	out := list[:0]
	for i, r := range list {
		if !leftOut[i] {
			out = append(out, r)
		}
	}
	return out
}

// requiredPosition returns the position that the target of a read must have
// reached: the later one of sample and own, the session's last commit. A commit of
// an older term than the sample's is in the sample's log or was rolled back. It
// reports false if the sample's term is older than the commit's.
func requiredPosition(sample, own pollendoor.Position) (pollendoor.Position, bool) {
	switch {
	case own.IsZero() || own.Term < sample.Term:
		return sample, true
	case own.Term > sample.Term:
		return pollendoor.Position{}, false
	case own.Index > sample.Index:
		return own, true
	}
	return sample, true
}
