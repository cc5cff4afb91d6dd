package fleet

import (
	"math"
	"time"

	"github.com/pollendoor/pollendoor"
	"github.com/pollendoor/pollendoor/clock"
	"github.com/pollendoor/pollendoor/evac"
)

var _ pollendoor.Cluster = (*VM)(nil)

const (
	// minBehindTime is how long a target that lacked a position counts as behind the
	// first time. The time doubles each time the target still lacks one.
	minBehindTime = 200 * time.Millisecond
	// maxBehindTime is the longest such time.
	maxBehindTime = 1600 * time.Millisecond
)

// lagState holds until when a target that lacked a position counts as behind.
type lagState struct {
	behindUntil  time.Duration
	nextDuration time.Duration // how long the target counts as behind the next time
}

// Config returns the configuration in force, or nil if there is none yet.
func (v *VM) Config() *pollendoor.Config {
	c := v.config.Load()
	if c == nil {
		return nil
	}
	return c.Config
}

// Admit requests a token for one operation of a team that should be answered within
// goal. It returns how long the operation has to wait before it may begin, and reports
// false if the team is over its rate or its quota share has not arrived in time; the time
// is then the one after which the caller should retry. A team without a limit, which
// only open routes have, is always admitted.
func (v *VM) Admit(team string, goal time.Duration) (time.Duration, bool) {
	l, ok := v.Config().Teams[team]
	if !ok {
		return 0, true
	}
	wait, ok := v.admission.admit(team, l, goal)
	if !ok {
		v.stats.OverRate.Add(1)
	}
	return wait, ok
}

// Primary returns a group's primary and whether it may be used.
func (v *VM) Primary(group string) (pollendoor.GroupPrimary, pollendoor.PrimaryState) {
	v.notePositionsUsed(group) // to know what the primary has reached if this VM becomes its home VM
	l := v.lease.Load()
	g, ok := l.Record.Groups[group]
	if !ok {
		return pollendoor.GroupPrimary{}, pollendoor.PrimaryUnavailable
	}
	t, known := v.targets.Get(g.Primary)
	primary := pollendoor.GroupPrimary{Target: t, Epoch: g.Epoch}
	now := clock.Now()
	evacuations := v.evacuations.Load()
	switch {
	case g.Moving:
		if evacuations.Evacuated(t.Zone) {
			primary.TakeoverIn = v.takeoverIn(group, now)
		}
		return primary, pollendoor.PrimaryMoving
	case g.Restarted(t):
		return primary, pollendoor.PrimaryMoving // the leader has it checked
	case known && evacuations.Use(t.Zone, true, now) != evac.UseAll:
		if evacuations.Evacuated(t.Zone) {
			return primary, pollendoor.PrimaryEvacuated
		}
		return primary, pollendoor.PrimaryUnavailable // this VM does not know yet what is evacuated
	case t.Draining && v.drainLeft(t.ID) <= drainMargin:
		return primary, pollendoor.PrimaryUnavailable
	case !known || !l.Holds(group, g.Epoch, now):
		return primary, pollendoor.PrimaryUnavailable
	}
	return primary, pollendoor.PrimaryServing
}

// HoldsLease reports whether this VM's lease covers the group's epoch.
func (v *VM) HoldsLease(group string, epoch uint64) bool {
	return v.lease.Load().Holds(group, epoch, clock.Now())
}

// PositionSince returns a position that the primary's log had reached at or after
// the time since, and the age of that information.
func (v *VM) PositionSince(group string, since time.Duration) (pollendoor.Position, time.Duration, bool) {
	v.notePositionsUsed(group)
	s, ok := v.positionRing(group).Oldest(since)
	return s.Position, clock.Now() - s.Since, ok
}

// ReadTargets returns the targets of a group that are not draining and not in an evacuated
// zone, the primary included, with their distances, queue delays and recent failures.
func (v *VM) ReadTargets(group string) []pollendoor.ReadTarget {
	now := clock.Now()
	evacuations := v.evacuations.Load()
	list := v.targets.Group(group)
	adaptive := v.adaptive(group)
	out := make([]pollendoor.ReadTarget, 0, len(list))
	for _, t := range list {
		if t.Draining || evacuations.Use(t.Zone, false, now) != evac.UseAll {
			continue
		}
		r := pollendoor.ReadTarget{Target: t, Distance: v.distance(t.Zone), Delay: v.homeVMs.queueDelayAt(t.ID, now), FailureRate: v.failureRateOf(t.ID, now)}
		if adaptive {
			r.Expected, r.Ejected = v.homeVMs.expectedAt(t, now)
		}
		if until, ok := v.lagByTarget.Load(t.ID); ok {
			r.Behind = now < until.(lagState).behindUntil
		}
		if l, ok := v.replicaLags.Load(t.ID); ok {
			r.Lag, r.LagSeen = l.(replicaLag).lag, l.(replicaLag).seen
		}
		out = append(out, r)
	}
	return out
}

// RegionOf returns the region of a zone, which is empty if it is not known.
func (v *VM) RegionOf(zone string) string {
	if zone == v.Settings.Zone {
		return v.Settings.Region
	}
	return v.Settings.Zones[zone]
}

// distance returns how far a zone is from this VM's zone.
func (v *VM) distance(zone string) pollendoor.Distance {
	switch {
	case zone == v.Settings.Zone:
		return pollendoor.SameZone
	case v.Settings.Zones[zone] == v.Settings.Region:
		return pollendoor.SameRegion
	}
	return pollendoor.OtherRegion
}

// failureWeight is the weight of one answer in the moving average of a target's
// failures: about ten answers show that a target fails a part of its work.
const failureWeight = 0.1

// failureDecayTime is the time constant with which the failure rate of a target
// decays.
const failureDecayTime = 3 * time.Second

// Answered records how a target answered, as seen by callers: a target may report
// itself healthy and still fail half of its work.
func (v *VM) Answered(target string, r *pollendoor.Reply) {
	v.noteLag(target, r)
	switch {
	case r.Code == pollendoor.ErrLagging:
		v.noteLagging(target)
		return
	case r.Lost || r.Code == pollendoor.ErrFailed || r.Code == pollendoor.ErrTimeout || r.Code == pollendoor.ErrMisrouted:
		v.recordAnswer(target, 1)
	case r.Code == "":
		v.recordAnswer(target, 0)
	}
}

// failureRate is the fraction of a target's answers that were failures, at a point
// in time.
type failureRate struct {
	rate      float64
	updatedAt time.Duration
}

// decayed returns the rate after decay up to now, so that a target that gets no work
// is tried again.
func (f failureRate) decayed(now time.Duration) float64 {
	return f.rate * math.Exp(-(now-f.updatedAt).Seconds()/failureDecayTime.Seconds())
}

// recordAnswer updates a target's failure rate; failure is 1 for a failed answer and
// 0 for a successful one.
func (v *VM) recordAnswer(target string, failure float64) {
	now := clock.Now()
	v.failureMu.Lock()
	defer v.failureMu.Unlock()
	if v.failureRates == nil {
		v.failureRates = make(map[string]failureRate)
	}
	rate := v.failureRates[target].decayed(now)
	rate += (failure - rate) * failureWeight
	if rate < failureWeight/10 {
		delete(v.failureRates, target) // true for most targets most of the time
		return
	}
	v.failureRates[target] = failureRate{rate, now}
}

// failureRateOf returns the fraction of a target's answers that were failures.
func (v *VM) failureRateOf(target string, now time.Duration) float64 {
	v.failureMu.Lock()
	defer v.failureMu.Unlock()
	return v.failureRates[target].decayed(now)
}

// noteLagging records that a target lacked a position.
func (v *VM) noteLagging(target string) {
	v.stats.Lagging.Add(1)
	now := clock.Now()
	l := lagState{nextDuration: minBehindTime}
	if old, ok := v.lagByTarget.Load(target); ok {
		l = old.(lagState)
		if now < l.behindUntil {
			return // another statement was already on its way there
		}
		if now-l.behindUntil > maxBehindTime {
			l.nextDuration = minBehindTime
		}
	}
	v.lagByTarget.Store(target, lagState{behindUntil: now + l.nextDuration, nextDuration: min(2*l.nextDuration, maxBehindTime)})
}

// Open returns a session of a team at a target. It connects when the first statement
// runs.
func (v *VM) Open(t pollendoor.TargetInfo, team string) pollendoor.TargetSession {
	return &targetSession{vm: v, target: t, team: team}
}
