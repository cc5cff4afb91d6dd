package quota

import (
	"slices"
	"time"

	"github.com/pollendoor/pollendoor/clock"
)

// unused is the leader's record of the part of a team's allowance that no VM could
// use, as no share covered it. It is a token bucket of the leader: it fills at the rate
// of the part without a share, it holds at most the burst of that part, and a VM whose
// share grows gets its contents in proportion. The contents of all buckets, this one
// included, therefore grow at the team's sustained rate at most and never exceed the
// team's burst. The first shares that a leader grants get the spare part of the
// tolerance besides.
type unused struct {
	part  float64       // part of the allowance that is counted
	held  float64       // sum of the shares that may be in use
	saved time.Duration // contents, as the time in which the whole allowance fills them
	at    time.Duration // time up to which saved was filled
	// spared is the part of the spare tolerance that was added to saved.
	spared   float64
	division Division // rule by which the allowance was divided last
	// heldAt is the last time at which shares may have been in use that are not counted.
	heldAt time.Duration
}

// Observe records that a VM has reported, before its shares are renewed. Idle is the
// time since its process started or, if that is later, since the last operation began
// that it admitted for itself or another VM; it is zero if a share is in use, and
// negative if an operation waits for its token. Only the first report of each VM
// counts: the shares that it uses after that are known. Holder reports whether the VM
// may hold shares.
func (p *Pool) Observe(vm string, idle time.Duration, holder bool, now time.Duration) {
	if p.seen == nil {
		p.seen = make(map[string]bool)
	}
	heldBefore, ok := p.seen[vm]
	if !ok {
		p.lastUse = max(p.lastUse, now-idle)
	}
	if holder && !heldBefore {
		p.seenHolders++
	}
	p.seen[vm] = holder || heldBefore
}

// unusedSince returns the time since when no operation has begun by shares of an
// earlier leader, and whether the VMs that have not reported bound the shares that may
// be in use unknown to this leader. They do not if a VM was taken off the list of
// holders instead of reporting.
func (p *Pool) unusedSince(conditions *Conditions) (time.Duration, bool) {
	if !p.allSeen {
		p.allSeen = !slices.ContainsFunc(conditions.Members, func(vm string) bool {
			_, ok := p.seen[vm]
			return !ok
		})
	}
	since := p.lastUse
	if !p.allSeen {
		since += LongestWait // a VM that has not reported may have an operation that waits for its token
	}
	return since, p.seenHolders+conditions.Unreported >= p.mostHolders
}

// credit returns the credit that a VM gets together with a share of amount, in the
// unit of unused.saved, and takes it out of the unused allowance. Whole is the part of
// the allowance that may be divided. The VM's new share is not in the sum of the shares
// yet when credit returns.
func (p *Pool) credit(a *account, own *allocation, team string, amount, whole float64, conditions *Conditions, now time.Duration) time.Duration {
	u := &a.unused
	current, others := own.outstanding(now), 0.0
	for _, h := range a.allocations {
		if h != own {
			others += h.outstanding(now)
		}
	}
	covered := max(u.held, others+current)
	u.saved += scale(now-u.at, u.part-u.held)
	u.at, u.held = now, others
	l, t := conditions.Limits[team], conditions.Tolerance
	if conditions.Division == DivideFrozen || t.Window <= 0 || l.Rate <= 0 {
		u.part, u.saved = 0, 0
		if others+current > 0 {
			u.heldAt = now
		}
		return 0
	}
	if u.division == DivideUnexpired && conditions.Division == DivideReported {
		u.heldAt = now // until now the earlier leader may have granted the expired shares to others
	}
	u.division = conditions.Division
	// The shares of VMs that have reported only now could not be divided before, and no
	// VM has used them since.
	since, complete := p.unusedSince(conditions)
	reported := conditions.Division != DivideWhole || conditions.Unreported == 0
	if grown := whole - max(u.part, covered); grown > 0 && reported && complete {
		u.saved += scale(now-max(since, u.heldAt), grown)
		if part := min(grown, 1-u.spared); conditions.Spare && part > 0 {
			u.saved += scale(time.Second, part*t.spare(l, conditions.Peers)/t.sustainedRate(l))
			u.spared += part
		}
	}
	u.part = whole
	free := whole - others - current
	full := clock.Seconds(t.burst(l) / t.sustainedRate(l))
	u.saved = min(u.saved, scale(full, free))
	if amount <= current || free <= 0 {
		return 0
	}
	credit := scale(u.saved, min(1, (amount-current)/free))
	u.saved -= credit
	return credit
}

// scale returns d times a factor, or zero if either is negative.
func scale(d time.Duration, factor float64) time.Duration {
	return clock.Seconds(max(0, d).Seconds() * max(0, factor))
}
