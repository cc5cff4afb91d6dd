package group

import (
	"fmt"
	"time"

	"github.com/pollendoor/pollendoor"
)

// Timeouts of failure detection and takeover.
const (
	// SuspectAfter is how long a primary may go without a status before it is
	// suspected to have failed.
	SuspectAfter = 500 * time.Millisecond
	// VoteMaxAge is the maximum age of another VM's vote on the primary's
	// health.
	VoteMaxAge = 1500 * time.Millisecond
	// TakeoverAfter is how long a claimed term may make no progress before
	// another VM claims the next one.
	TakeoverAfter = 1200 * time.Millisecond
	// RankDelay is the additional delay of each VM relative to the VM ranked
	// before it.
	RankDelay = 250 * time.Millisecond
)

// pauseThreshold is the time between two evaluations of a group by a VM above
// which the VM counts as paused.
const pauseThreshold = 400 * time.Millisecond

// WasPaused reports whether a VM that last evaluated a group at the time last
// was itself paused until now. The VM must then restart its watch: the missing
// statuses of that time do not indicate that the primary failed.
func WasPaused(last, now time.Time) bool { return now.Sub(last) > pauseThreshold }

// Observed is the latest status that a VM has received from a target.
type Observed struct {
	Status      pollendoor.TargetStatus
	RequestedAt time.Time // when the status was requested
}

// HealthVote is the vote of another VM on the health of a group's primary.
type HealthVote struct {
	VM         string          // name of the voting VM
	Zone       string          // zone of the voting VM
	Term       pollendoor.Term // term of the primary that the vote is about
	Down       bool            // whether the primary appears to be down
	ReceivedAt time.Time       // when the vote was received
}

// Evidence is the information on which a VM decides about a group.
type Evidence struct {
	Record       *pollendoor.GroupRecord
	ChangedAt    time.Time           // when this VM last saw the record's term, phase or primary change
	Observed     map[string]Observed // latest status of each target, by name
	WatchedSince time.Time           // start of this VM's uninterrupted watch of the group
	Zone         string              // zone of this VM
	Rank         int                 // position of this VM among the home VMs of the group, from 0
	HealthVotes  []HealthVote        // latest vote of each other VM
}

// PrimaryDown reports whether the record's primary appears to have failed as
// seen from this VM, with the reason.
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
		return true, fmt.Sprintf("primary %s reports role %s in term %d, fenced at %d", e.Record.Primary, status.Role, status.Term, status.Fenced)
	}
	return false, ""
}

// ShouldPromote reports whether this VM should claim a new term now, with the
// cause.
//
// A suspicion counts if a VM in another zone shares it, or if no VM in another
// zone has a fresh vote. A false suspicion interrupts service but never loses a
// write.
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
		if vote.Zone == e.Zone || vote.Term != e.Record.Term || now.Sub(vote.ReceivedAt) > VoteMaxAge {
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

// termStalled reports whether a term that does not serve yet has stopped making
// progress.
func termStalled(e Evidence, now time.Time, rankDelay time.Duration) (bool, string) {
	if e.Record.Term == 0 {
		if now.Sub(e.WatchedSince) < rankDelay {
			return false, ""
		}
		return true, "the group has no primary yet"
	}
	if stalledFor := now.Sub(e.ChangedAt); stalledFor > TakeoverAfter+rankDelay {
		return true, fmt.Sprintf("term %d of %s is %s without progress for %d ms", e.Record.Term, e.Record.ClaimedBy, e.Record.Phase, stalledFor.Milliseconds())
	}
	return false, ""
}

// leavingPrimaryReplaceable reports whether the primary, whose target is
// leaving, can be replaced: a replica that stays has all of its log.
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

// Rejoin describes a target that has to follow the primary of a newer term.
type Rejoin struct {
	Target string
	Addr   string // address of the primary
	Term   pollendoor.Term
	After  uint64 // log entries after this index are dropped
}

// TargetsToRejoin returns the targets that do not follow the record's term yet.
// Targets of older terms drop the entries that are not part of the current
// lineage.
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
