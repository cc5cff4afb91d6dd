package group

import (
	"fmt"
	"time"

	"github.com/pollendoor/pollendoor"
)

// The times of suspicion.
const (
	// SuspectAfter is how long a primary may stay unseen.
	SuspectAfter = 500 * time.Millisecond
	// VantageFresh is how old another VM's opinion may be.
	VoteMaxAge = 1500 * time.Millisecond
	// TakeoverAfter is how long a claimed term may make no progress.
	TakeoverAfter = 1200 * time.Millisecond
	// RankDelay is how much longer each VM waits than the one ranked before it.
	RankDelay = 250 * time.Millisecond
)

// pauseLength is the time between two looks of a VM at a group beyond which the
// VM itself was paused.
const pauseThreshold = 400 * time.Millisecond

// WasPaused reports whether a VM that last looked at a group at last was itself
// paused until now. Its watch begins anew then: that it has not seen a primary
// says nothing of the primary.
func WasPaused(last, now time.Time) bool { return now.Sub(last) > pauseThreshold }

// Seen is the newest status a VM has of a target.
type Observed struct {
	Status      pollendoor.TargetStatus
	RequestedAt time.Time // when the request of that status was sent
}

// Vantage is the opinion of another VM about a group's primary.
type HealthVote struct {
	VM     string
	Zone   string
	Term   pollendoor.Term // about which primary
	Down   bool
	CastAt time.Time // when it was formed
}

// Sight is all that a VM knows when it judges a group.
type Evidence struct {
	Record       *pollendoor.GroupRecord
	ChangedAt    time.Time // when the record was last seen to change
	Observed     map[string]Observed
	WatchedSince time.Time // since when this VM watches the group
	Zone         string
	Rank         int // place of this VM among those that may promote
	HealthVotes  []HealthVote
}

// Down reports whether the record's primary looks lost from this VM, with the
// reason.
func PrimaryDown(e Evidence, now time.Time) (bool, string) {
	sample, ok := e.Observed[e.Record.Primary]
	lastSeen := sample.RequestedAt
	if !ok || lastSeen.Before(e.WatchedSince) {
		lastSeen = e.WatchedSince
	}
	if unseen := now.Sub(lastSeen); unseen > SuspectAfter {
		return true, fmt.Sprintf("primary %s was not seen for %d ms", e.Record.Primary, unseen.Milliseconds())
	}
	if !ok {
		return false, ""
	}
	status := sample.Status
	if status.Role != pollendoor.Primary || status.Term != e.Record.Term || status.Fenced > e.Record.Term {
		return true, fmt.Sprintf("primary %s says it is %s of term %d, fenced at %d", e.Record.Primary, status.Role, status.Term, status.Fenced)
	}
	return false, ""
}

// ShouldPromote reports whether this VM is to claim a new term now, with the
// cause.
//
// A suspicion counts if a VM in another zone shares it, or if no VM of another
// zone has a fresh opinion. It can be false and cost a gap, never a write.
func ShouldPromote(e Evidence, now time.Time) (bool, string) {
	rankDelay := time.Duration(e.Rank) * RankDelay
	if e.Record.Phase != pollendoor.Serving {
		return termStalled(e, now, rankDelay)
	}
	if t, ok := e.Record.Target(e.Record.Primary); ok && t.Leaving && now.Sub(e.ChangedAt) > TakeoverAfter+rankDelay {
		return leavingPrimaryReplaceable(e)
	}
	down, cause := PrimaryDown(e, now)
	if !down {
		return false, ""
	}
	if now.Sub(primaryLastSeen(e)) < SuspectAfter+rankDelay {
		return false, ""
	}
	votes, agreeing := 0, 0
	for _, vote := range e.HealthVotes {
		if vote.Zone == e.Zone || vote.Term != e.Record.Term || now.Sub(vote.CastAt) > VoteMaxAge {
			continue
		}
		votes++
		if vote.Down {
			agreeing++
		}
	}
	if votes > 0 && agreeing == 0 {
		return false, ""
	}
	return true, fmt.Sprintf("%s; %d of %d VMs in other zones agree", cause, agreeing, votes)
}

func primaryLastSeen(e Evidence) time.Time {
	if sample, ok := e.Observed[e.Record.Primary]; ok && sample.RequestedAt.After(e.WatchedSince) {
		status := sample.Status
		if status.Role == pollendoor.Primary && status.Term == e.Record.Term && status.Fenced <= e.Record.Term {
			return sample.RequestedAt
		}
		return e.ChangedAt
	}
	return e.WatchedSince
}

// stalled judges a record whose term does not serve yet.
func termStalled(e Evidence, now time.Time, rankDelay time.Duration) (bool, string) {
	if e.Record.Term == 0 {
		if now.Sub(e.WatchedSince) < rankDelay {
			return false, ""
		}
		return true, "the group has no primary yet"
	}
	if stalledFor := now.Sub(e.ChangedAt); stalledFor > TakeoverAfter+rankDelay {
		return true, fmt.Sprintf("term %d of %s is %s without progress for %d ms", e.Record.Term, e.Record.Holder, e.Record.Phase, stalledFor.Milliseconds())
	}
	return false, ""
}

// leavingPrimary moves the primary off a target that leaves, once another one
// that stays has all of its log.
func leavingPrimaryReplaceable(e Evidence) (bool, string) {
	primary := e.Observed[e.Record.Primary].Status
	for _, t := range e.Record.Targets {
		status := e.Observed[t.Name].Status
		if !t.Leaving && status.Role == pollendoor.Replica && status.Term == e.Record.Term && status.Index >= primary.Index {
			return true, fmt.Sprintf("primary %s is leaving", e.Record.Primary)
		}
	}
	return false, ""
}

// Rejoin is a target that has to be told whom to follow.
type Rejoin struct {
	Target string
	Addr   string // of the primary
	Term   pollendoor.Term
	After  uint64 // entries behind it are dropped
}

// Strays returns the targets that are not yet part of the record's term. Those
// of older terms lose what their lineage does not share.
func TargetsToRejoin(rec *pollendoor.GroupRecord, observed map[string]Observed, since time.Time) []Rejoin {
	primary, ok := rec.Target(rec.Primary)
	if !ok || rec.Phase != pollendoor.Serving {
		return nil
	}
	var list []Rejoin
	for _, t := range rec.Targets {
		sample, ok := observed[t.Name]
		if t.Name == rec.Primary || !ok || sample.RequestedAt.Before(since) {
			continue
		}
		if sample.Status.Term >= rec.Term {
			continue
		}
		list = append(list, Rejoin{
			Target: t.Name,
			Addr:   primary.Addr,
			Term:   rec.Term,
			After:  rec.Lineage.Common(sample.Status.Term, rec.Term),
		})
	}
	return list
}
