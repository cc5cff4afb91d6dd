package route

import (
	"time"

	"github.com/pollendoor/pollendoor"
)

// Candidate holds a VM's data about one target for routing.
type Candidate struct {
	Status   pollendoor.TargetStatus // last known state of the target
	Seen     time.Time               // time at which the request for Status was sent
	Zone     string                  // availability zone of the target
	Leaving  bool                    // the target is about to leave the group and gets no reads
	InFlight int                     // statements of this VM that run at the target
	Capacity int                     // connections this VM may open to the target; zero for none
	// Lag is the recent age of log entries at the time the replica applied them.
	Lag time.Duration
}

// Requirements holds the requirements of one read.
type Requirements struct {
	Position pollendoor.Position // position that the replica must have applied; zero for any
	MaxAge   time.Duration       // maximum age of the data; zero for any age
	Zone     string              // zone of the VM; replicas in it are preferred
}

// Verdict is the result of Choose.
type Verdict int

// Verdicts of Choose.
const (
	ToReplica    Verdict = iota // a replica qualifies
	ToPrimary                   // no replica qualifies
	ReplicaSoon                 // a replica is about to qualify; wait for it up to CatchUpWait
	PositionLost                // the required entry was discarded by a promotion
)

// freshStatus is the maximum age of a replica's status; with an older status the
// replica is not used.
const freshStatus = 700 * time.Millisecond

// Choose picks the replica for a read. It returns the index into list with
// ToReplica or ReplicaSoon, and -1 with the other verdicts.
//
// A replica qualifies if it is in the record's lineage, its applied index covers
// the required position and its data is no older than MaxAge. Among the replicas
// that qualify, one in the VM's own zone is preferred, then the one with the fewest
// statements in flight.
func Choose(rec *pollendoor.GroupRecord, list []Candidate, need Requirements, now time.Time) (int, Verdict) {
	if !need.Position.IsZero() && !rec.Lineage.Contains(need.Position, rec.Term) {
		return -1, PositionLost
	}
	best, catchingUp := -1, -1
	for i, c := range list {
		if !usable(rec, c, now) {
			continue
		}
		if rec.Lineage.Covers(c.Status.Term, c.Status.Applied, need.Position) && withinMaxAge(c, need.MaxAge, now) {
			if best < 0 || preferred(c, list[best], need.Zone) {
				best = i
			}
			continue
		}
		if catchingUp < 0 && need.MaxAge == 0 && aboutToCatchUp(rec, c, need.Position, now) {
			catchingUp = i
		}
	}
	switch {
	case best >= 0:
		return best, ToReplica
	case catchingUp >= 0:
		return catchingUp, ReplicaSoon
	}
	return -1, ToPrimary
}

// usable reports whether the candidate is a replica with a recent status, in the
// record's lineage and with a connection for this VM.
func usable(rec *pollendoor.GroupRecord, c Candidate, now time.Time) bool {
	s := c.Status
	if s.Role != pollendoor.Replica || c.Leaving || c.Capacity == 0 || now.Sub(c.Seen) > freshStatus {
		return false
	}
	// A replica in an older term is in the lineage only up to the index at which the
	// next term branched off.
	return s.Term <= rec.Term && rec.Lineage.Contains(pollendoor.Position{Term: s.Term, Index: s.Applied}, rec.Term)
}

// CatchUpWait is the longest time that a read waits for a replica that has received
// the required entry but has not applied it yet.
const CatchUpWait = 25 * time.Millisecond

// aboutToCatchUp reports whether a replica is about to apply the entry at p: it has
// received the entry, and its oldest entry not applied will reach the age at which
// the replica applies entries within CatchUpWait.
func aboutToCatchUp(rec *pollendoor.GroupRecord, c Candidate, p pollendoor.Position, now time.Time) bool {
	if !rec.Lineage.Covers(c.Status.Term, c.Status.Index, p) {
		return false
	}
	return c.Lag-c.Status.Age()-now.Sub(c.Seen) <= CatchUpWait
}

// withinMaxAge reports whether the candidate's data is no older than maxAge; zero
// allows any age.
func withinMaxAge(c Candidate, maxAge time.Duration, now time.Time) bool {
	return maxAge == 0 || c.Status.Age()+now.Sub(c.Seen) <= maxAge
}

// preferred reports whether a is a better choice than b for a VM in zone.
func preferred(a, b Candidate, zone string) bool {
	if (a.Zone == zone) != (b.Zone == zone) {
		// A free replica in another zone is preferred over a replica in this zone that
		// is at capacity.
		nearby, remote := a, b
		if b.Zone == zone {
			nearby, remote = b, a
		}
		full := nearby.InFlight >= nearby.Capacity && remote.InFlight < remote.Capacity
		return (a.Zone == zone) != full
	}
	return a.InFlight < b.InFlight
}
