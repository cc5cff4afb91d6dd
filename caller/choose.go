package caller

import (
	"cmp"
	"slices"
	"time"

	"github.com/pollendoor/pollendoor"
)

const (
	// regionCost is the wait that a read takes into account rather than going to
	// another region: the round trip, and the price of the bytes.
	regionCost = 250 * time.Millisecond
	// zoneCost is the same for another zone of the region.
	zoneCost = 20 * time.Millisecond
	// failingCost is the wait that a read takes into account rather than going to a
	// target that fails everything; one that fails a part counts for that part.
	failingCost = time.Second
	// primaryCost keeps reads off the primary, which has writes to serve.
	primaryCost = 15 * time.Millisecond
)

// place is a target for a read, with the position that its log must hold.
type place struct {
	target  pollendoor.TargetInfo
	after   pollendoor.Position
	replica bool
}

// rank orders the targets for a read that any of them may serve, the best first.
// Replicas that lagged a moment ago are left out: the primary is there, and once
// in a while a read finds out whether they have caught up.
func rank(list []pollendoor.ReadTarget, lead string, after pollendoor.Position) []place {
	cost := func(r pollendoor.ReadTarget) time.Duration {
		d := r.Delay
		switch r.Distance {
		case pollendoor.OtherRegion:
			d += regionCost
		case pollendoor.SameRegion:
			d += zoneCost
		}
		d += time.Duration(r.Failing * float64(failingCost))
		if r.Target.ID == lead {
			d += primaryCost
		}
		return d
	}
	list = slices.DeleteFunc(slices.Clone(list), func(r pollendoor.ReadTarget) bool { return r.Behind })
	slices.SortStableFunc(list, func(a, b pollendoor.ReadTarget) int { return cmp.Compare(cost(a), cost(b)) })
	out := make([]place, 0, len(list))
	for _, r := range list {
		out = append(out, place{target: r.Target, after: after, replica: r.Target.ID != lead})
	}
	return out
}

// floor returns the position that a read must find: that of the sample, or the
// session's own last commit if that comes later. A commit of an older term than
// the sample's is in the sample's log or was rolled back. It reports false if
// the sample is of an older term than the commit.
func floor(sample, own pollendoor.Position) (pollendoor.Position, bool) {
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
