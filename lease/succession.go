package lease

import (
	"slices"
	"time"

	"github.com/pollendoor/pollendoor"
)

const (
	// catchUpTimeout is how long a planned change waits until a replica has received
	// the whole log.
	catchUpTimeout = 2 * time.Second
	// endingCatchUpTimeout replaces catchUpTimeout if the old primary can't be used again.
	// Commits that no replica has received by then are lost with it.
	endingCatchUpTimeout = 4 * time.Second
	// primaryAnswerTimeout is how long a planned change waits for the answer of the
	// old primary.
	primaryAnswerTimeout = 700 * time.Millisecond
	// lostTargetTimeout is how long a target without an entry in the platform's store
	// is still waited for. A target that has crashed loses its entry after some
	// seconds and returns with its log.
	lostTargetTimeout = 15 * time.Second
)

// Candidate is a target that may be promoted, with its status.
type Candidate struct {
	Target pollendoor.TargetInfo
	Status pollendoor.TargetStatus
}

// position returns the position of the last entry that the target has received.
func (c *Candidate) position() pollendoor.Position {
	return pollendoor.Position{Term: c.Status.LastTerm, Index: c.Status.Index}
}

// Wait is the reason why the next primary of a group can't be chosen yet.
type Wait string

// Reasons to wait.
const (
	WaitNone    Wait = ""
	WaitReplica Wait = "no target answers that can be promoted"
	WaitAnswers Wait = "a replica that may hold acknowledged commits has not answered"
	WaitStart   Wait = "no target that answers has the log with which the primary's term began"
	WaitRival   Wait = "another target may lead a later term that the record has forgotten"
	WaitPrimary Wait = "the old primary has not answered"
	WaitCatchUp Wait = "no replica has received the whole log"
	WaitZones   Wait = "all targets are in evacuated zones"
)

// Choice is the next primary of a group, or the reason why there is none yet.
type Choice struct {
	Next    Candidate
	Promote bool // Next has to be promoted; otherwise it leads already
	Wait    Wait // WaitNone if Next is set
}

// Succession chooses the next primary of a moving group. All commits that were
// acknowledged at the old primary are in the log of the target that it chooses to
// promote, provided that no VM uses the old primary any more. The zero value is ready
// for use.
type Succession struct {
	// Evacuated reports whether a zone is being evacuated. It is nil if evacuations are not
	// followed. Targets of such zones are not chosen.
	Evacuated func(zone string) bool
	// Reached is the newest position of the old primary's log that any VM has reported
	// since the primary was released, zero if there is none. It is used only if the old
	// primary could not be asked because of the evacuation of its zone.
	Reached pollendoor.Position
	MayAsk  bool // the old primary may be asked for its position
	// Ending is set if the old primary is about to leave and may not be used again.
	Ending bool
	// Known is a position that the group's log has reached, zero if none is known.
	Known pollendoor.Position
	// OrdersEnded is set if no promotion that an earlier leader has ordered could take effect
	// any more when the targets were asked.
	OrdersEnded bool

	started time.Duration            // time of the first call of Next
	listed  map[Holder]time.Duration // when a target was last listed
	// primaryListed is when the old primary was last listed, or started.
	primaryListed time.Duration
	primaryLost   bool // the old primary has answered without its log
	// whole is the position of the old primary's log after its release, zero if that is
	// not known. No later entry belongs to an acknowledged commit.
	whole pollendoor.Position
	asked bool // the old primary was asked for primaryAnswerTimeout since its release
}

// Next chooses the next primary of a group: a target that leads already, or one to
// promote. SyncReplicas is the number of replicas that have received a commit when it
// is acknowledged, targets are the group's listed targets, and answers the status of
// those that have answered since the old primary was released.
func (s *Succession) Next(g Group, syncReplicas int, targets []pollendoor.TargetInfo, answers []Candidate, now time.Duration) Choice {
	s.noteListed(g, targets, now)
	whole, leading, logs := s.classify(g, answers, now)
	var staying []Candidate
	for _, c := range logs {
		if !c.Target.Draining {
			staying = append(staying, c)
		}
	}
	if leading != nil && g.Unsure {
		// A later primary, or a replica that follows it, may not have answered.
		n, _ := s.unanswered(g, append(slices.Clone(logs), *leading), now)
		if rival(*leading, targets, answers) || syncReplicas > 0 && n >= syncReplicas {
			return Choice{Wait: WaitRival}
		}
	}
	if leading != nil && !s.away(leading.Target) && (!leading.Target.Draining || len(logs) == 0) {
		return Choice{Next: *leading}
	}
	if s.leavesZone(g, targets) {
		if whole != nil {
			s.whole = whole.position()
		}
		s.asked = s.asked || s.MayAsk && now >= s.started+primaryAnswerTimeout
		return s.nextElsewhere(g, syncReplicas, targets, logs, now)
	}
	if c, ok := newestFor(g, staying); ok && whole != nil && !whole.position().Newer(c.position()) {
		return Choice{Next: c, Promote: true}
	}
	switch {
	case leading != nil && (now < s.started+catchUpTimeout || s.Ending && now < s.started+endingCatchUpTimeout):
		return Choice{Wait: WaitCatchUp}
	case leading != nil && !s.Ending:
		return Choice{Next: *leading} // the planned change is given up
	case g.Planned && whole == nil && now < s.started+primaryAnswerTimeout:
		return Choice{Wait: WaitPrimary}
	}
	next, ok := newestFor(g, logs)
	hasWhole := ok && whole != nil && !whole.position().Newer(next.position())
	switch {
	case !ok:
		return Choice{Wait: WaitReplica}
	case hasWhole:
		return Choice{Next: next, Promote: true}
	}
	if wait := s.awaited(g, syncReplicas, next, logs, now); wait != WaitNone {
		return Choice{Wait: wait}
	}
	return Choice{Next: next, Promote: true}
}

// away reports whether a target is in an evacuated zone.
func (s *Succession) away(t pollendoor.TargetInfo) bool {
	return s.Evacuated != nil && s.Evacuated(t.Zone)
}

// leavesZone reports whether the old primary, or the target whose promotion was ordered, is
// listed and in an evacuated zone.
func (s *Succession) leavesZone(g Group, targets []pollendoor.TargetInfo) bool {
	return slices.ContainsFunc(targets, func(t pollendoor.TargetInfo) bool {
		return (t.ID == g.Primary || t.ID == g.Ordered) && s.away(t)
	})
}

// nextElsewhere chooses the next primary of a group whose primary is in an evacuated zone,
// among the targets elsewhere whose logs count. These continue to receive the log of
// the old primary, also while that must not be asked any more.
func (s *Succession) nextElsewhere(g Group, syncReplicas int, targets []pollendoor.TargetInfo, logs []Candidate, now time.Duration) Choice {
	if !slices.ContainsFunc(targets, func(t pollendoor.TargetInfo) bool { return !s.away(t) }) {
		return Choice{Wait: WaitZones}
	}
	next, ok := Newest(logs)
	switch {
	case !ok:
		return Choice{Wait: WaitReplica}
	case !s.whole.IsZero():
		if s.whole.Newer(next.position()) {
			return Choice{Wait: WaitCatchUp}
		}
		// One that is not draining may be behind next and still have the whole log.
		for _, c := range logs {
			if next.Target.Draining && !c.Target.Draining && !s.whole.Newer(c.position()) {
				next = c
			}
		}
	case s.MayAsk && g.Planned && now < s.started+primaryAnswerTimeout:
		return Choice{Wait: WaitPrimary}
	case syncReplicas > 0:
		if wait := s.awaited(g, syncReplicas, next, logs, now); wait != WaitNone {
			return Choice{Wait: wait}
		}
	case s.asked || !g.Planned:
		// The primary does not answer, as in a replacement without an evacuation.
	case s.Reached.IsZero():
		return Choice{Wait: WaitPrimary}
	case s.Reached.Newer(next.position()):
		return Choice{Wait: WaitCatchUp}
	}
	return Choice{Next: next, Promote: true}
}

// CaughtUp reports whether a replica that is not draining has received the log of the
// primary up to its status, which was read first.
func CaughtUp(primary Candidate, replicas []Candidate) bool {
	return slices.ContainsFunc(replicas, func(c Candidate) bool {
		return c.Target.ID != primary.Target.ID && !c.Target.Draining && !primary.position().Newer(c.position())
	})
}

// newestFor is Newest, but among equals it chooses the target whose promotion was ordered
// before, which may take effect at any time.
func newestFor(g Group, list []Candidate) (Candidate, bool) {
	best, ok := Newest(list)
	for _, c := range list {
		if c.Target.ID == g.Ordered && c.position() == best.position() && (best.Target.Draining || !c.Target.Draining) {
			best = c
		}
	}
	return best, ok
}

// Newest chooses the target to promote: the one with the most advanced log, and
// among equals one that is not draining. It reports false if the list is empty.
func Newest(list []Candidate) (Candidate, bool) {
	if len(list) == 0 {
		return Candidate{}, false
	}
	best := list[0]
	for _, c := range list[1:] {
		p, q := c.position(), best.position()
		if p.Newer(q) || p == q && best.Target.Draining && !c.Target.Draining {
			best = c
		}
	}
	return best, true
}
