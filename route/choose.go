package route

import (
	"time"

	"github.com/pollendoor/pollendoor"
)

// Candidate is what a VM knows of one target when it routes.
type Candidate struct {
	Status   pollendoor.TargetStatus
	Seen     time.Time // when the status request was sent
	Zone     string
	Leaving  bool
	InFlight int // statements this VM has running there
	Capacity int // connections this VM may have there; zero for none
	// Lag is how old the entries lately were when the replica applied them.
	Lag time.Duration
}

// Requirements is what one read asks for.
type Requirements struct {
	Position pollendoor.Position // to be covered
	MaxAge   time.Duration       // zero for any age
	Zone     string              // zone of the VM, preferred
}

// Verdict is the answer of Choose.
type Verdict int

// The verdicts on a read.
const (
	ToReplica    Verdict = iota
	ToPrimary            // no replica qualifies
	ReplicaSoon          // a replica is about to qualify: wait briefly
	PositionLost         // the needed entry was cut off by a promotion
)

// freshStatus is how old a replica's status may be before it stops counting.
const freshStatus = 700 * time.Millisecond

// Choose picks the replica for a read. It returns the index into list with
// ToReplica or Soon, and -1 with the other verdicts.
//
// A replica qualifies if it is of the record's lineage, its applied index covers
// the needed position and its reads are no older than MaxAge. Among those that
// qualify one in the VM's own zone is preferred, then the least busy.
func Choose(rec *pollendoor.GroupRecord, list []Candidate, need Requirements, now time.Time) (int, Verdict) {
	if !need.Position.IsZero() && !rec.Lineage.Holds(need.Position, rec.Term) {
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

func usable(rec *pollendoor.GroupRecord, c Candidate, now time.Time) bool {
	s := c.Status
	if s.Role != pollendoor.Replica || c.Leaving || c.Capacity == 0 || now.Sub(c.Seen) > freshStatus {
		return false
	}
	// An older term is the right lineage only up to the branch that follows it.
	return s.Term <= rec.Term && rec.Lineage.Holds(pollendoor.Position{Term: s.Term, Index: s.Applied}, rec.Term)
}

// CatchUpWait is how long a read may wait for a replica that has the entry it needs
// but has not applied it yet.
const CatchUpWait = 25 * time.Millisecond

// catchesUp reports whether a replica is about to apply the entry: it has it,
// and its oldest entry not applied is nearly as old as entries are when it
// applies them.
func aboutToCatchUp(rec *pollendoor.GroupRecord, c Candidate, p pollendoor.Position, now time.Time) bool {
	if !rec.Lineage.Covers(c.Status.Term, c.Status.Index, p) {
		return false
	}
	return c.Lag-c.Status.Age()-now.Sub(c.Seen) <= CatchUpWait
}

func withinMaxAge(c Candidate, maxAge time.Duration, now time.Time) bool {
	return maxAge == 0 || c.Status.Age()+now.Sub(c.Seen) <= maxAge
}

func preferred(a, b Candidate, zone string) bool {
	if (a.Zone == zone) != (b.Zone == zone) {
		// A nearby replica that is full is no better than a free one far away.
		nearby, remote := a, b
		if b.Zone == zone {
			nearby, remote = b, a
		}
		full := nearby.InFlight >= nearby.Capacity && remote.InFlight < remote.Capacity
		return (a.Zone == zone) != full
	}
	return a.InFlight < b.InFlight
}
