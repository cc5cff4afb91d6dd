package fleet

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/pollendoor/pollendoor"
	"github.com/pollendoor/pollendoor/clock"
	"github.com/pollendoor/pollendoor/evac"
	"github.com/pollendoor/pollendoor/lease"
)

// evacuationsPoll is how often the leader lists the evacuations in addition to its watch,
// which can stop delivering changes without an error. It is well below the time within
// which an evacuation has to be effective.
const evacuationsPoll = 2000 * time.Millisecond

// errEvacuated means that a target was not asked because its zone is being evacuated.
var errEvacuated = errors.New(pollendoor.EvacuatedText)

// followsEvacuations reports whether this VM follows evacuations of zones.
func (v *VM) followsEvacuations() bool {
	return v.Settings.EvacuateMs > 0 && v.Platform.EvacuationsKind != ""
}

// limitsCold reports whether the requests to cold targets are limited.
func (v *VM) limitsCold() bool {
	return v.followsEvacuations() && (v.Settings.ColdExcess > 0 || v.Settings.ColdMargin > 0)
}

// startEvacuations sets the state before the first set of evacuated zones is known.
func (v *VM) startEvacuations() {
	if v.followsEvacuations() {
		limit := clock.Seconds(v.Settings.EvacuateMs / 1000)
		v.evacuations.Store(evac.NewState(limit, clock.Now()))
	}
}

// watchEvacuations keeps the evacuated zones up to date until ctx ends.
func (v *VM) watchEvacuations(ctx context.Context) {
	if v.followsEvacuations() {
		v.follow(ctx, &v.evacuationFollower)
	}
}

// newEvacuationFollower returns the follower of the evacuation entries.
func (v *VM) newEvacuationFollower() objectFollower {
	return objectFollower{
		kind: v.Platform.EvacuationsKind, applyList: v.adoptEvacuationObjects, applyChanges: v.applyEvacuationEvents,
		loaded: func() bool { return v.evacuations.Load().Revision() > 0 },
	}
}

// readEvacuations lists the evacuation entries in the store, for the same reason as
// readConfig.
func (v *VM) readEvacuations(ctx context.Context) {
	if !v.followsEvacuations() {
		return
	}
	all, revision, err := v.Platform.Store.List(ctx, v.Platform.EvacuationsKind)
	if err != nil {
		v.stats.StoreErrors.Add(1)
		v.Log.Debug().Err(err).Msg("evacuations not read")
		return
	}
	v.adoptEvacuationObjects(all, revision)
}

// adoptEvacuationObjects adopts a full list of evacuation entries from the store.
func (v *VM) adoptEvacuationObjects(all []pollendoor.Object, revision uint64) {
	var zones []string
	for _, o := range all {
		if zone, ok := v.evacuatedZone(o); ok {
			zones = append(zones, zone)
		}
	}
	v.adoptZones(zones, revision)
}

// applyEvacuationEvents applies the events of a watch up to a revision.
func (v *VM) applyEvacuationEvents(changed []pollendoor.Object, revision uint64) {
	s := v.evacuations.Load()
	if len(changed) == 0 || revision <= s.Revision() {
		return
	}
	evacuated := make(map[string]bool)
	for _, name := range s.Zones() {
		evacuated[name] = true
	}
	for _, o := range changed { // in the order of their revisions
		name := o.Name[len(v.Platform.EvacuationsKind):]
		delete(evacuated, name)
		if o.Version == 0 {
			continue
		}
		if zone, ok := v.evacuatedZone(o); ok {
			evacuated[zone] = true
		}
	}
	zones := make([]string, 0, len(evacuated))
	for name := range evacuated {
		zones = append(zones, name)
	}
	v.adoptZones(zones, revision)
}

// rewriteTime is how long after its return from an older copy the store may lack what the
// operator had written.
const rewriteTime = 3 * time.Second

// mayHaveForgotten reports whether a list of evacuations that lacks known ones is from a store
// that has just come back from an older copy. The list is read again later. The caller holds
// evacuationMu.
func (v *VM) mayHaveForgotten(listed, known uint64, now time.Duration) bool {
	era := pollendoor.Era(listed)
	if era == pollendoor.Era(known) {
		return false
	}
	if era != v.evacuationEra {
		v.evacuationEra, v.evacuationEraSince = era, now
	}
	return now < v.evacuationEraSince+rewriteTime
}

// evacuatedZone returns the zone of an evacuation entry. It reports false for an entry
// that can't be used. An entry whose zone has no VM and no target has no effect. Either
// is logged once for each version of the entry.
func (v *VM) evacuatedZone(o pollendoor.Object) (string, bool) {
	zone, err := v.Platform.DecodeEvacuation(o)
	if err == nil && !v.knowsZone(zone) {
		err = errors.Newf("zone %.40q has no VM and no target", zone)
	}
	if err == nil {
		return zone, true
	}
	v.evacuationMu.Lock()
	known := v.ignoredEntries[o.Name] == o.Version
	if v.ignoredEntries == nil || len(v.ignoredEntries) > maxIgnoredEntries {
		v.ignoredEntries = make(map[string]uint64)
	}
	v.ignoredEntries[o.Name] = o.Version
	v.evacuationMu.Unlock()
	if !known {
		v.stats.InvalidEvacuations.Add(1)
		v.Log.Warn().Err(err).Str("entry", o.Name).Uint64("revision", o.Version).Msg("evacuation entry ignored")
	}
	return zone, false
}

// maxIgnoredEntries bounds the evacuation entries that are remembered as logged.
const maxIgnoredEntries = 256

// knowsZone reports whether a zone is one of the platform's, or has VMs or targets.
func (v *VM) knowsZone(zone string) bool {
	if _, ok := v.Settings.Zones[zone]; ok || zone == v.Settings.Zone {
		return true
	}
	for _, p := range v.view.Load().Peers {
		if p.Zone == zone {
			return true
		}
	}
	list, _ := v.targets.Listed()
	for _, t := range list {
		if t.Zone == zone {
			return true
		}
	}
	return false
}

// adoptZones adopts the zones that the store lists at a revision.
func (v *VM) adoptZones(zones []string, revision uint64) {
	kept, left := evac.Limit(zones)
	if len(left) > 0 {
		v.Log.Warn().Int("entries", len(left)).Msg("evacuation entries ignored: too many")
	}
	set := evac.Set{Revision: revision}
	for _, name := range kept {
		set.Zones = append(set.Zones, evac.Zone{Name: name})
	}
	v.adoptEvacuations(&set, "store")
}

// adoptEvacuations adopts a set of evacuated zones from the store or from another VM,
// unless it is older than the known one.
func (v *VM) adoptEvacuations(set *evac.Set, source string) {
	if set == nil || !v.followsEvacuations() {
		return
	}
	now := clock.Now()
	v.evacuationMu.Lock()
	old := v.evacuations.Load()
	next, change, ok := old.Adopt(*set, now)
	if ok && source == "store" && len(change.Ended) > 0 && v.mayHaveForgotten(set.Revision, old.Revision(), now) {
		v.evacuationMu.Unlock()
		return
	}
	if ok {
		v.evacuations.Store(next)
	}
	v.evacuationMu.Unlock()
	first := ok && old.Revision() == 0 // from now on targets may be used
	if change.Empty() && !first {
		return
	}
	v.stats.Evacuations.Add(int64(len(change.Began)))
	for _, zone := range change.Began {
		v.Log.Warn().Str("zone", zone).Uint64("revision", set.Revision).Str("source", source).Msg("zone is being evacuated")
	}
	for _, zone := range change.Ended {
		v.Log.Info().Str("zone", zone).Uint64("revision", set.Revision).Str("source", source).Msg("evacuation of zone ended")
	}
	v.homeVMs.refresh()
	v.messenger.announceUpdate()
	if len(change.Ended) > 0 {
		v.leader.noteReturned(change.Ended, now)
	}
}

// knownEvacuations returns the set of evacuated zones for messages to other VMs, or nil.
func (v *VM) knownEvacuations() *evac.Set { return v.evacuations.Load().Set(clock.Now()) }

// useOf returns what a target may be used for.
func (v *VM) useOf(t pollendoor.TargetInfo, now time.Duration) evac.Use {
	s := v.evacuations.Load()
	if s == nil {
		return evac.UseAll
	}
	g, recorded := v.lease.Load().Record.Groups[t.Group]
	return s.Use(t.Zone, !recorded || g.Primary == t.ID || g.Ordered == t.ID, now)
}

// notePrimaryMoves records when planned changes of primaries begin and end, as far as this
// VM sees it.
func (v *VM) notePrimaryMoves(group string, before, after lease.Group, now time.Duration) {
	if v.evacuations.Load() == nil || before.Moving == after.Moving {
		return
	}
	v.evacuationMu.Lock()
	defer v.evacuationMu.Unlock()
	switch {
	case !after.Moving:
		v.takeovers.End(group, now)
	case after.Planned:
		v.takeovers.Begin(group, now)
	}
}

// takeoverIn returns the expected time until the replacement of a group's primary in an
// evacuated zone ends.
func (v *VM) takeoverIn(group string, now time.Duration) time.Duration {
	v.evacuationMu.Lock()
	defer v.evacuationMu.Unlock()
	return v.takeovers.Left(group, now)
}

// stepDownAttempts is how often the step-down of a target is tried that gets few requests
// because it has just started: more than the pause between two control commands.
const stepDownAttempts = 5

// noteReturned records zones whose evacuation has ended, for demoteReturned.
func (ld *leader) noteReturned(zones []string, now time.Duration) {
	ld.mu.Lock()
	defer ld.mu.Unlock()
	if !ld.isLeading() {
		return
	}
	if ld.returned == nil {
		ld.returned = make(map[string]time.Duration)
	}
	for _, zone := range zones {
		ld.returned[zone] = now
	}
}

// demoteReturned asks the targets of zones that have returned to step down if they still
// consider themselves primaries: they were not asked when they were replaced, to keep the
// zone free of requests.
func (ld *leader) demoteReturned(now time.Duration) {
	v := ld.vm
	ld.mu.Lock()
	defer ld.mu.Unlock()
	if !ld.isLeading() {
		return
	}
	ctx := ld.tenure.ctx
	var due []pollendoor.TargetInfo
	for zone, at := range ld.returned {
		if now < at+evac.ReturnTime {
			continue
		}
		delete(ld.returned, zone)
		list, _ := v.targets.Listed()
		for _, t := range list {
			g := ld.state.Record.Groups[t.Group]
			if t.Zone == zone && g.Primary != "" && g.Primary != t.ID && !g.Moving {
				due = append(due, t)
			}
		}
	}
	if len(due) == 0 {
		return
	}
	go func() {
		for _, c := range v.targetStatuses(ctx, due) {
			g := ld.group(c.Target.Group)
			if c.Status.Role != pollendoor.Primary || c.Status.Term >= g.Term || g.Primary == c.Target.ID {
				continue
			}
			var err error
			for range stepDownAttempts {
				_, err = v.controlTarget(ctx, c.Target, func(conn pollendoor.TargetConn, deadline time.Time) (pollendoor.TargetStatus, error) {
					return conn.StepDown(g.Term, deadline)
				})
				if !errors.Is(err, errCold) {
					break
				}
				pollendoor.Pause(ctx, groupRetryPause)
			}
			v.Log.Info().Err(err).Str("target", c.Target.ID).Msg("step-down of old primary requested")
		}
	}()
}

// noteUse counts and logs what a change of a target's use has ended at this VM.
func (v *VM) noteUse(t pollendoor.TargetInfo, u evac.Use, refused, ended int) {
	v.stats.EvacuationRefused.Add(int64(refused))
	v.stats.EvacuationEnded.Add(int64(ended))
	if t.Zone == "" || !v.evacuations.Load().Any() && u != evac.UseAll {
		return
	}
	v.Log.Info().Str("target", t.ID).Str("use", useNames[u]).Int("refused", refused).Int("ended", ended).Msg("target's use changed")
}

// useNames are the uses of a target as they are logged.
var useNames = [...]string{evac.UseAll: "all", evac.UseOpenTransactions: "open transactions", evac.UseNone: "none"}

// errCold means that a target was not asked because it has just started and takes few
// requests.
var errCold = errors.New(pollendoor.ColdText)

// noteProof records when this VM, which is the leader, has last proved its leadership.
func (m *messenger) noteProof(at time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.provedAt = at
}

// duty returns what this VM knows of its right to send to a target as its home VM. The
// caller holds mu.
func (h *homeVMs) duty(t pollendoor.TargetInfo) evac.Duty {
	m := &h.vm.messenger
	m.mu.Lock()
	defer m.mu.Unlock()
	return evac.Duty{Home: h.isHome(t) && !h.vm.leaving.Load(), Proved: m.provedAt}
}

// updateCold updates the limit of a target whose entry, or whose home VM, may have changed.
// The caller holds mu.
func (h *homeVMs) updateCold(t pollendoor.TargetInfo) {
	if !h.vm.limitsCold() {
		return
	}
	if h.cold == nil {
		h.cold = make(map[string]*evac.Cold)
	}
	if h.cold[t.ID] == nil {
		h.cold[t.ID] = &evac.Cold{}
	}
	h.cold[t.ID].Update(t.Cold, t.Born, h.duty(t), clock.Now())
}

// updateColdTargets updates the limits of all cold targets, also of those without a broker:
// the time for which a home VM waits begins when it becomes one. The caller holds mu.
func (h *homeVMs) updateColdTargets() {
	if !h.vm.limitsCold() {
		return
	}
	list, _ := h.vm.targets.Listed()
	for _, t := range list {
		if t.Cold {
			h.updateCold(t)
		}
	}
	for id := range h.cold {
		if _, ok := h.vm.targets.Get(id); !ok {
			delete(h.cold, id)
		}
	}
}

// coldLimit returns the limit of requests to the cold targets of a group.
func (v *VM) coldLimit(group string) evac.ColdLimit {
	c := v.Config()
	if c == nil {
		return evac.ColdLimit{}
	}
	g := c.Groups[group]
	return evac.ColdLimit{PerS: g.ColdPerS, Start: g.ColdStart, Excess: v.Settings.ColdExcess, Margin: v.Settings.ColdMargin}
}

// admitCold returns the function that asks for permission to send requests to a target. It
// returns nil if cold targets are not limited.
func (h *homeVMs) admitCold(id string) func(int) (time.Duration, bool) {
	if !h.vm.limitsCold() {
		return nil
	}
	return func(requests int) (time.Duration, bool) {
		t, ok := h.vm.targets.Get(id)
		if !ok || !t.Cold {
			return 0, true
		}
		l := h.vm.coldLimit(t.Group)
		h.mu.Lock()
		defer h.mu.Unlock()
		c := h.cold[id]
		if c == nil {
			return 0, true // the broker is being closed
		}
		d := h.duty(t)
		now := clock.Now()
		c.Update(t.Cold, t.Born, d, now)
		wait, ok := c.Take(requests, l, d, now)
		if !ok {
			h.vm.stats.ColdRefused.Add(1)
		}
		return wait, ok
	}
}

// mayControl reports whether a control command may be sent to a target now. A cold one
// gets few of them.
func (h *homeVMs) mayControl(t pollendoor.TargetInfo) bool {
	if !t.Cold || !h.vm.limitsCold() {
		return true
	}
	l := h.vm.coldLimit(t.Group)
	h.mu.Lock()
	defer h.mu.Unlock()
	h.updateCold(t)
	return h.cold[t.ID].TakeControl(l, clock.Now())
}

// coldTargets returns the number of targets whose entries say that they have just started.
func (v *VM) coldTargets() int {
	n := 0
	list, _ := v.targets.Listed()
	for _, t := range list {
		if t.Cold {
			n++
		}
	}
	return n
}
