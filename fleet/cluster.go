package fleet

import (
	"time"

	"github.com/pollendoor/pollendoor"
	"github.com/pollendoor/pollendoor/clock"
)

var _ pollendoor.Cluster = (*VM)(nil)

const (
	// behindTime is how long a target that lacked a position counts as behind the
	// first time. It doubles each time that the target still lacks one.
	behindTime = 200 * time.Millisecond
	// behindMost is the longest such time.
	behindMost = 1600 * time.Millisecond
)

// lag is what is known of a target that lacked a position.
type lag struct {
	until time.Duration
	next  time.Duration // how long it counts as behind the next time
}

// Config returns the configuration in force.
func (v *VM) Config() *pollendoor.Config {
	c := v.config.Load()
	if c == nil {
		return nil
	}
	return c.Config
}

// Admit takes one operation out of a team's rate. A team without a limit, which
// only open routes have, is let in.
func (v *VM) Admit(team string) (time.Duration, bool) {
	l, ok := v.Config().Teams[team]
	if !ok {
		return 0, true
	}
	wait, ok := v.rates.admit(team, l)
	if !ok {
		v.stats.OverRate.Add(1)
	}
	return wait, ok
}

// Lead returns a group's primary.
func (v *VM) Lead(group string) (pollendoor.Lead, pollendoor.LeadState) {
	l := v.lease.Load()
	g, ok := l.Record.Groups[group]
	if !ok {
		return pollendoor.Lead{}, pollendoor.LeadNone
	}
	t, known := v.targets.get(g.Primary)
	lead := pollendoor.Lead{Target: t, Epoch: g.Epoch}
	switch {
	case g.Moving:
		return lead, pollendoor.LeadMoving
	case !known || !l.Holds(group, g.Epoch, clock.Now()):
		return lead, pollendoor.LeadNone
	}
	return lead, pollendoor.LeadServing
}

// Leads reports whether this VM's lease covers the group's epoch.
func (v *VM) Leads(group string, epoch uint64) bool {
	return v.lease.Load().Holds(group, epoch, clock.Now())
}

// PositionSince returns a position that the primary's log had reached at or
// after a time, and the age of that knowledge.
func (v *VM) PositionSince(group string, since time.Duration) (pollendoor.Position, time.Duration, bool) {
	s, ok := v.ring(group).Oldest(since)
	return s.Position, clock.Now() - s.Since, ok
}

// Replicas returns the targets of a group that take new work.
func (v *VM) Replicas(group string) []pollendoor.ReadTarget {
	now := clock.Now()
	list := v.targets.group(group)
	out := make([]pollendoor.ReadTarget, 0, len(list))
	for _, t := range list {
		if t.Draining {
			continue
		}
		r := pollendoor.ReadTarget{Target: t, Distance: v.distance(t.Zone), Delay: v.homes.delay(t.ID, now)}
		if until, ok := v.lags.Load(t.ID); ok {
			r.Behind = now < until.(lag).until
		}
		out = append(out, r)
	}
	return out
}

func (v *VM) distance(zone string) pollendoor.Distance {
	switch {
	case zone == v.Settings.Zone:
		return pollendoor.SameZone
	case v.Settings.Zones[zone] == v.Settings.Region:
		return pollendoor.SameRegion
	}
	return pollendoor.OtherRegion
}

// Lagged notes that a target lacked a position.
func (v *VM) Lagged(target string) {
	v.stats.Lagging.Add(1)
	now := clock.Now()
	l := lag{next: behindTime}
	if old, ok := v.lags.Load(target); ok {
		l = old.(lag)
		if now < l.until {
			return // another statement was on its way there
		}
		if now-l.until > behindMost {
			l.next = behindTime
		}
	}
	v.lags.Store(target, lag{until: now + l.next, next: min(2*l.next, behindMost)})
}

// Open returns a turn at a target.
func (v *VM) Open(t pollendoor.TargetInfo, team string) pollendoor.Turn {
	return &turn{vm: v, target: t, team: team}
}
