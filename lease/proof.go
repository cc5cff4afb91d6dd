package lease

import (
	"slices"
	"time"

	"github.com/pollendoor/pollendoor"
)

// classify decides what the answers of targets prove. It is the only place that does.
//
// Logs are the targets that may be promoted. Only they count as having answered: that a target
// holds no acknowledged commit beyond those of the next primary is proved by comparing their
// logs, and by nothing else. The role and the term that a target reports don't matter. A former
// primary that still leads an older term has all commits that it acknowledged in that term.
// Left out are targets in evacuated zones and, for lostTargetTimeout, targets that have lost
// their log.
//
// Whole leads the term of the record, or a later one, and has every acknowledged commit.
// Leading is whole and may be used as it is: no other target may lead a later term or become
// the primary by a promotion that was ordered before.
func (s *Succession) classify(g Group, answers []Candidate, now time.Duration) (whole, leading *Candidate, logs []Candidate) {
	newest := newestTerm(answers)
	if g.Unsure {
		newest = max(newest, s.Known.Term)
	}
	for _, c := range answers {
		lost := s.lostLog(g, c, answers)
		leads := c.Status.Role == pollendoor.Primary && c.Status.Term >= g.Term && !lost
		superseded := c.Status.Term < newest
		// In a term that the record has forgotten, commits may have been acknowledged.
		if leads && !(superseded && g.Unsure) && (whole == nil || c.Status.Term > whole.Status.Term) {
			whole = &c
		}
		switch {
		case leads && !superseded:
			ordered := g.Ordered != "" && (c.Status.Term == g.Term || g.Ordered != c.Target.ID && !s.OrdersEnded)
			if !ordered && (leading == nil || c.Status.Term > leading.Status.Term) {
				leading = &c
			}
		case s.away(c.Target):
		case lost && now < s.started+lostTargetTimeout:
			s.primaryLost = s.primaryLost || c.Target.ID == g.Primary
		default:
			logs = append(logs, c)
		}
	}
	return whole, leading, logs
}

// newestTerm returns the newest term that a target leads or follows.
func newestTerm(answers []Candidate) pollendoor.Term {
	var newest pollendoor.Term
	for _, c := range answers {
		newest = max(newest, c.Status.Term)
	}
	return newest
}

// rival reports whether a target that has not answered claims to be a primary, besides c.
func rival(c Candidate, targets []pollendoor.TargetInfo, answers []Candidate) bool {
	return slices.ContainsFunc(targets, func(t pollendoor.TargetInfo) bool {
		return t.Primary && t.ID != c.Target.ID && !slices.ContainsFunc(answers, func(a Candidate) bool { return a.Target.ID == t.ID })
	})
}

// Unrecorded returns the primary of a group that the record does not name: the target that
// leads the newest term of all. It reports false if a later primary may exist, because a target
// follows a later term, or because another target claims to be a primary and has not answered.
func Unrecorded(targets []pollendoor.TargetInfo, answers []Candidate) (Candidate, bool) {
	for _, c := range answers {
		if c.Status.Role == pollendoor.Primary && c.Status.Term == newestTerm(answers) {
			return c, !rival(c, targets, answers)
		}
	}
	return Candidate{}, false
}

// lostLog reports whether a target has started again without its log, as far as the answers and
// the positions that VMs have seen show it.
func (s *Succession) lostLog(g Group, c Candidate, answers []Candidate) bool {
	p, term := c.position(), c.Status.Term
	switch {
	case c.Target.ID != g.Primary:
		return p.IsZero() && !s.Known.IsZero() && (c.Status.Role != pollendoor.Primary || term < g.Term)
	case term != g.Term:
		return term < g.Term // the log of the record's primary can't be in an older term
	case s.Known.Term == term && s.Known.Newer(p), g.Start.Newer(p):
		return true
	}
	return p.IsZero() && slices.ContainsFunc(answers, func(a Candidate) bool {
		return a.Status.Term == term && a.Status.LastTerm == term && !a.position().IsZero()
	})
}

// noteListed records which targets the platform's store lists, and which of the record's
// holders it does not.
func (s *Succession) noteListed(g Group, targets []pollendoor.TargetInfo, now time.Duration) {
	if s.listed == nil {
		s.started, s.primaryListed, s.listed = now, now, make(map[Holder]time.Duration)
	}
	for _, h := range g.Holders.List() {
		if _, ok := s.listed[h]; !ok {
			s.listed[h] = now
		}
	}
	for _, t := range targets {
		s.listed[holderOf(t)] = now
		if t.ID == g.Primary {
			s.primaryListed = now
		}
	}
}

// awaited returns why a target, the newest of logs, may lack acknowledged commits that another
// target may still show, or WaitNone. Commits since the record's Start have been received by
// syncReplicas of the holders. Those up to it are in the log of the primary, and it may be that
// no replica has followed it yet.
func (s *Succession) awaited(g Group, syncReplicas int, next Candidate, logs []Candidate, now time.Duration) Wait {
	if syncReplicas == 0 {
		return WaitNone
	}
	unanswered, lost := s.unanswered(g, logs, now)
	mayShow := unanswered > 0 || !s.primaryLost && now-s.primaryListed < lostTargetTimeout
	switch {
	case mayShow && unanswered+lost >= syncReplicas:
		return WaitAnswers
	case mayShow && g.Start.Newer(next.position()):
		return WaitStart
	}
	return WaitNone
}

// unanswered returns the number of replicas of the old primary that may hold acknowledged
// commits, whose logs are not among those that count, and that are not given up, and the number
// of those that are. The answer of a process that started later under the same ID says nothing
// of the one before. One at the same address under another ID has received the log of a target
// that was drained.
func (s *Succession) unanswered(g Group, logs []Candidate, now time.Duration) (awaited, lost int) {
	for h, listedAt := range s.listed {
		answered := slices.ContainsFunc(logs, func(c Candidate) bool {
			if c.position().IsZero() && !s.Known.IsZero() {
				return false // it has started again, and its entry may be that of the process before
			}
			return h.isProcess(c.Target) || c.Target.ID != h.ID && c.Target.Addr == h.Addr && h.Addr != ""
		})
		switch {
		case h.ID == g.Primary || answered:
		case now-listedAt < lostTargetTimeout:
			awaited++
		default:
			lost++
		}
	}
	return awaited, lost
}
