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
	VantageFresh = 1500 * time.Millisecond
	// TakeoverAfter is how long a claimed term may make no progress.
	TakeoverAfter = 1200 * time.Millisecond
	// RankDelay is how much longer each VM waits than the one ranked before it.
	RankDelay = 250 * time.Millisecond
)

// pauseLength is the time between two looks of a VM at a group beyond which the
// VM itself was paused.
const pauseLength = 400 * time.Millisecond

// WasPaused reports whether a VM that last looked at a group at last was itself
// paused until now. Its watch begins anew then: that it has not seen a primary
// says nothing of the primary.
func WasPaused(last, now time.Time) bool { return now.Sub(last) > pauseLength }

// Seen is the newest status a VM has of a target.
type Seen struct {
	Status pollendoor.TargetStatus
	Asked  time.Time // when the request of that status was sent
}

// Vantage is the opinion of another VM about a group's primary.
type Vantage struct {
	VM   string
	Zone string
	Term pollendoor.Term // about which primary
	Down bool
	At   time.Time // when it was formed
}

// Sight is all that a VM knows when it judges a group.
type Sight struct {
	Record   *pollendoor.GroupRecord
	Changed  time.Time // when the record was last seen to change
	Seen     map[string]Seen
	Since    time.Time // since when this VM watches the group
	Zone     string
	Rank     int // place of this VM among those that may promote
	Vantages []Vantage
}

// Down reports whether the record's primary looks lost from this VM, with the
// reason.
func Down(s Sight, now time.Time) (bool, string) {
	seen, ok := s.Seen[s.Record.Primary]
	last := seen.Asked
	if !ok || last.Before(s.Since) {
		last = s.Since
	}
	if d := now.Sub(last); d > SuspectAfter {
		return true, fmt.Sprintf("primary %s was not seen for %d ms", s.Record.Primary, d.Milliseconds())
	}
	if !ok {
		return false, ""
	}
	st := seen.Status
	if st.Role != pollendoor.Primary || st.Term != s.Record.Term || st.Fenced > s.Record.Term {
		return true, fmt.Sprintf("primary %s says it is %s of term %d, fenced at %d", s.Record.Primary, st.Role, st.Term, st.Fenced)
	}
	return false, ""
}

// ShouldPromote reports whether this VM is to claim a new term now, with the
// cause.
//
// A suspicion counts if a VM in another zone shares it, or if no VM of another
// zone has a fresh opinion. It can be false and cost a gap, never a write.
func ShouldPromote(s Sight, now time.Time) (bool, string) {
	patience := time.Duration(s.Rank) * RankDelay
	if s.Record.Phase != pollendoor.Serving {
		return stalled(s, now, patience)
	}
	if t, ok := s.Record.Target(s.Record.Primary); ok && t.Leaving && now.Sub(s.Changed) > TakeoverAfter+patience {
		return leavingPrimary(s)
	}
	down, cause := Down(s, now)
	if !down {
		return false, ""
	}
	if now.Sub(lastSeen(s)) < SuspectAfter+patience {
		return false, ""
	}
	others, agree := 0, 0
	for _, v := range s.Vantages {
		if v.Zone == s.Zone || v.Term != s.Record.Term || now.Sub(v.At) > VantageFresh {
			continue
		}
		others++
		if v.Down {
			agree++
		}
	}
	if others > 0 && agree == 0 {
		return false, ""
	}
	return true, fmt.Sprintf("%s; %d of %d VMs in other zones agree", cause, agree, others)
}

func lastSeen(s Sight) time.Time {
	if seen, ok := s.Seen[s.Record.Primary]; ok && seen.Asked.After(s.Since) {
		st := seen.Status
		if st.Role == pollendoor.Primary && st.Term == s.Record.Term && st.Fenced <= s.Record.Term {
			return seen.Asked
		}
		return s.Changed
	}
	return s.Since
}

// stalled judges a record whose term does not serve yet.
func stalled(s Sight, now time.Time, patience time.Duration) (bool, string) {
	if s.Record.Term == 0 {
		if now.Sub(s.Since) < patience {
			return false, ""
		}
		return true, "the group has no primary yet"
	}
	if d := now.Sub(s.Changed); d > TakeoverAfter+patience {
		return true, fmt.Sprintf("term %d of %s is %s without progress for %d ms", s.Record.Term, s.Record.Holder, s.Record.Phase, d.Milliseconds())
	}
	return false, ""
}

// leavingPrimary moves the primary off a target that leaves, once another one
// that stays has all of its log.
func leavingPrimary(s Sight) (bool, string) {
	head := s.Seen[s.Record.Primary].Status
	for _, t := range s.Record.Targets {
		st := s.Seen[t.Name].Status
		if !t.Leaving && st.Role == pollendoor.Replica && st.Term == s.Record.Term && st.Index >= head.Index {
			return true, fmt.Sprintf("primary %s is leaving", s.Record.Primary)
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
func Strays(rec *pollendoor.GroupRecord, seen map[string]Seen, since time.Time) []Rejoin {
	primary, ok := rec.Target(rec.Primary)
	if !ok || rec.Phase != pollendoor.Serving {
		return nil
	}
	var list []Rejoin
	for _, t := range rec.Targets {
		s, ok := seen[t.Name]
		if t.Name == rec.Primary || !ok || s.Asked.Before(since) {
			continue
		}
		if s.Status.Term >= rec.Term {
			continue
		}
		list = append(list, Rejoin{
			Target: t.Name,
			Addr:   primary.Addr,
			Term:   rec.Term,
			After:  rec.Lineage.Common(s.Status.Term, rec.Term),
		})
	}
	return list
}
