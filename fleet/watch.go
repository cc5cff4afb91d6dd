package fleet

import (
	"cmp"
	"context"
	"encoding/json"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/pollendoor/pollendoor"
	"github.com/pollendoor/pollendoor/clock"
	"github.com/pollendoor/pollendoor/lease"
	"github.com/pollendoor/pollendoor/pack"
	"github.com/pollendoor/pollendoor/roster"
)

const (
	// configPoll is how often the leader reads the configuration in addition to its
	// watch. It is well below the time within which a version must be in force
	// everywhere.
	configPoll = 1000 * time.Millisecond
	// targetsPoll is how often the leader lists the target entries in addition to
	// its watch.
	targetsPoll = 2000 * time.Millisecond
	// retryPause is the mean pause after a failed call to the store; up to half of
	// it is added or subtracted as jitter. It bounds the number of calls from a
	// fleet whose store is down.
	retryPause = 400 * time.Millisecond
	// watcherPoll is how often a VM checks whether it has become the watcher of its
	// zone.
	watcherPoll = 200 * time.Millisecond
	// watchPause is the minimum time between two responses of a watch. Changes often
	// come together, and each response costs a call.
	watchPause = 200 * time.Millisecond
	// bootstrapDelay is how long a VM with a CPU share of 0 would wait before it
	// looks up the record when the whole fleet starts for the first time. VMs with a
	// larger share wait less.
	bootstrapDelay = time.Second
	// recordName is the name of the store object that holds the fleet's record.
	recordName = "fleet/record"
)

// objectFollower keeps a local copy of all objects of one kind.
type objectFollower struct {
	kind         string
	applyList    func(all []pollendoor.Object, revision uint64)     // replaces the local copy with a full list
	applyChanges func(changed []pollendoor.Object, revision uint64) // applies the changes since the last call, up to a revision
	loaded       func() bool                                        // reports whether this VM has a local copy

	storeLost   atomic.Bool // whether the last call to the store failed
	mu          sync.Mutex
	cancelWatch context.CancelFunc // ends the pending watch
}

// relist ends the pending watch, which may have missed changes, and lists the kind
// again.
func (of *objectFollower) relist() {
	of.mu.Lock()
	defer of.mu.Unlock()
	if of.cancelWatch != nil {
		of.cancelWatch()
	}
}

// watch waits for changes until relist is called.
func (of *objectFollower) watch(ctx context.Context, s pollendoor.Objects, revision uint64) ([]pollendoor.Object, uint64, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	of.mu.Lock()
	of.cancelWatch = cancel
	of.mu.Unlock()
	return s.Watch(ctx, of.kind, revision)
}

// follow lists a kind, and watches it while this VM is the watcher of its zone.
func (v *VM) follow(ctx context.Context, of *objectFollower) {
	listed := v.awaitFirstList(ctx, of.loaded)
	for ctx.Err() == nil {
		if listed && !v.isWatcher() {
			pollendoor.Pause(ctx, watcherPoll)
			continue
		}
		all, revision, err := v.Platform.Store.List(ctx, of.kind)
		if err == nil {
			if of.storeLost.Load() {
				v.Log.Info().Str("kind", of.kind).Uint64("revision", revision).Msg("store regained")
			}
			of.storeLost.Store(false)
			listed = true
			of.applyList(all, revision)
		}
		for err == nil && ctx.Err() == nil && v.isWatcher() {
			var events []pollendoor.Object
			events, revision, err = of.watch(ctx, v.Platform.Store, revision)
			if err == nil {
				of.applyChanges(events, revision)
				pollendoor.Pause(ctx, watchPause)
			}
		}
		switch {
		case err == nil:
			continue // another VM is the watcher from now on
		case ctx.Err() != nil:
			return
		case errors.Is(err, pollendoor.ErrHistoryGone), errors.Is(err, context.Canceled):
			v.Log.Debug().Err(err).Str("kind", of.kind).Msg("listing objects again")
			continue
		}
		if of.loaded() && !v.isWatcher() {
			listed = true // other VMs have sent it
		}
		if !of.storeLost.Swap(true) {
			v.Log.Warn().Err(err).Str("kind", of.kind).Msg("store lost")
		}
		v.stats.StoreErrors.Add(1)
		pollendoor.Pause(ctx, retryPause/2+rand.N(retryPause))
	}
}

// isWatcher reports whether this VM watches the store for its zone, or has to watch
// it because the leader does not answer. The other VMs of the zone get updates from
// the watcher.
func (v *VM) isWatcher() bool {
	w := v.view.Load()
	if w.Version == 0 {
		return false // no view from the leader yet
	}
	if v.messenger.leaderSilent() {
		return v.readsStore()
	}
	return v.coordinatorIndex() == 0
}

// watchConfig keeps the configuration up to date until ctx ends.
func (v *VM) watchConfig(ctx context.Context) {
	v.follow(ctx, &v.configFollower)
}

// newConfigFollower returns the follower of the configuration. Lists and changes are
// handled alike, since a configuration carries its own version.
func (v *VM) newConfigFollower() objectFollower {
	take := func(list []pollendoor.Object, _ uint64) {
		for _, o := range list {
			v.adoptConfigObject(o)
		}
	}
	return objectFollower{kind: v.Platform.ConfigKind, applyChanges: take, applyList: take, loaded: func() bool { return v.config.Load() != nil }}
}

// readConfig reads the configuration from the store. It is needed because a pending
// watch may miss a change until it returns.
func (v *VM) readConfig(ctx context.Context) {
	o, err := v.Platform.Store.Get(ctx, v.Platform.ConfigName)
	if err != nil {
		v.stats.StoreErrors.Add(1)
		v.Log.Debug().Err(err).Msg("configuration not read")
		return
	}
	v.adoptConfig(o.Value, "own read")
}

// adoptConfigObject adopts a configuration from the store. Other and deleted objects
// are ignored.
func (v *VM) adoptConfigObject(o pollendoor.Object) {
	if o.Name == v.Platform.ConfigName && o.Version != 0 {
		v.adoptConfig(o.Value, "store")
	}
}

// adoptConfig puts a configuration into force unless it is invalid or not newer than
// the current one.
func (v *VM) adoptConfig(raw []byte, source string) {
	c, err := v.Platform.DecodeConfig(raw)
	if err != nil {
		v.Log.Error().Err(err).Str("source", source).Msg("configuration refused, the one before stays in force")
		return
	}
	v.Settings.overrideAdaptive(c)
	var old *loadedConfig
	for {
		old = v.config.Load()
		if old != nil && old.Version >= c.Version {
			return
		}
		if v.config.CompareAndSwap(old, &loadedConfig{Config: c, compressed: sync.OnceValues(func() ([]byte, error) { return pack.Deflate(raw) })}) {
			break
		}
	}
	v.logTeamLimits(old, c)
	v.admission.updateTeams(c)
	v.homeVMs.refresh()
	if old == nil {
		v.messenger.wake() // this VM may keep the rates of teams, and needs their shares
	}
	v.Log.Info().Uint64("version", c.Version).Str("source", source).
		Int("routes", len(c.Routes)).Int("keys", len(c.Keys)).Msg("configuration in force")
	v.messenger.announceUpdate()
	if v.ConfigChanged != nil {
		v.ConfigChanged()
	}
}

// logTeamLimits logs the teams whose limits a new configuration changes.
func (v *VM) logTeamLimits(old *loadedConfig, c *pollendoor.Config) {
	if old == nil {
		return
	}
	for name, l := range c.Teams {
		if previous, ok := old.Teams[name]; ok && previous != l {
			v.Log.Info().Str("team", name).Float64("rate", l.Rate).Float64("burst", l.Burst).
				Float64("rateBefore", previous.Rate).Uint64("version", c.Version).Msg("team's limit changed")
		}
	}
}

// watchTargets keeps the targets up to date until ctx ends.
func (v *VM) watchTargets(ctx context.Context) { v.follow(ctx, &v.targetFollower) }

// newTargetFollower returns the follower of the target entries.
func (v *VM) newTargetFollower() objectFollower {
	return objectFollower{
		kind: v.Platform.TargetsKind, applyList: v.adoptTargetObjects, applyChanges: v.applyTargetEvents,
		loaded: func() bool { return v.targets.Len() > 0 },
	}
}

// readTargets lists all target entries in the store, for the same reason as
// readConfig.
func (v *VM) readTargets(ctx context.Context) {
	all, revision, err := v.Platform.Store.List(ctx, v.Platform.TargetsKind)
	if err != nil {
		v.stats.StoreErrors.Add(1)
		v.Log.Debug().Err(err).Msg("targets not read")
		return
	}
	v.adoptTargetObjects(all, revision)
}

// adoptTargetObjects adopts a full list of target entries from the store.
func (v *VM) adoptTargetObjects(all []pollendoor.Object, revision uint64) {
	list, _ := v.decodeTargets(all)
	v.adoptTargetList(list, revision, "store")
}

// adoptTargetList adopts a full list of targets, unless it is older than the current
// one.
func (v *VM) adoptTargetList(list []pollendoor.TargetInfo, revision uint64, source string) {
	changes, ok := v.targets.ApplyList(list, revision, time.Now())
	if !ok {
		v.Log.Info().Uint64("revision", revision).Str("source", source).Msg("stale target list ignored")
		return
	}
	v.onTargetsChanged(changes)
}

// applyTargetDelta applies what has changed since the revision that this VM has.
func (v *VM) applyTargetDelta(d roster.Delta, source string) {
	changes, ok := v.targets.ApplyDelta(d, time.Now())
	if !ok {
		v.Log.Info().Uint64("revision", d.To).Str("source", source).Msg("stale target delta ignored")
		return
	}
	v.onTargetsChanged(changes)
}

// applyTargetEvents applies the events of a watch up to a revision.
func (v *VM) applyTargetEvents(changed []pollendoor.Object, revision uint64) {
	if knownRevision, _ := v.targets.State(); revision <= knownRevision {
		return // already contained in a list
	}
	newest := make(map[string]pollendoor.Object, len(changed)) // the last of several events on one entry counts
	for _, o := range changed {
		newest[o.Name] = o
	}
	var present []pollendoor.Object
	var removed []string
	for _, o := range newest {
		if o.Version == 0 {
			removed = append(removed, o.Name)
		} else {
			present = append(present, o)
		}
	}
	d := roster.Delta{To: revision}
	var invalid []string
	d.Changed, invalid = v.decodeTargets(present)
	// An invalid entry names no target, as in a list.
	for _, name := range append(removed, invalid...) {
		d.Removed = append(d.Removed, name[len(v.Platform.TargetsKind):])
	}
	v.applyTargetDelta(d, "store")
}

// onTargetsChanged logs the changes, updates the brokers and notifies the zone.
func (v *VM) onTargetsChanged(changes []roster.Change) {
	for _, c := range changes {
		if t := c.After; t.ID != "" {
			v.Log.Info().Str("target", t.ID).Str("group", t.Group).Str("addr", t.Addr).Str("zone", t.Zone).
				Bool("draining", t.Draining).Bool("primary", t.Primary).Int64("born", t.Born).Msg("target's entry changed")
		} else {
			v.Log.Info().Str("target", c.Before.ID).Msg("target's entry is missing")
		}
	}
	if len(changes) > 0 {
		v.homeVMs.refresh()
		v.messenger.announceUpdate()
	}
}

// decodeTargets decodes target entries and returns the names of the invalid ones besides.
// It logs one line for all of these.
func (v *VM) decodeTargets(objects []pollendoor.Object) (list []pollendoor.TargetInfo, invalid []string) {
	list = make([]pollendoor.TargetInfo, 0, len(objects))
	var firstErr error
	for _, o := range objects {
		t, err := v.Platform.DecodeTarget(o)
		if err != nil {
			firstErr = cmp.Or(firstErr, err)
			invalid = append(invalid, o.Name)
			continue
		}
		t.Cold = t.Cold && v.limitsCold()
		list = append(list, t)
	}
	if len(invalid) > 0 {
		v.stats.InvalidEntries.Add(int64(len(invalid)))
		v.Log.Warn().Err(firstErr).Int("entries", len(invalid)).Msg("targets' entries ignored")
	}
	return list, invalid
}

// lookUpRecord reads the record from the store when the VM starts. Later versions
// come from the leader.
func (v *VM) lookUpRecord(ctx context.Context) {
	if v.Settings.Bootstrap {
		// The VMs with the most CPU write the record first; the others then find it.
		pollendoor.Pause(ctx, time.Duration((1-min(1, v.Settings.CPU))*float64(bootstrapDelay)))
	}
	for ctx.Err() == nil {
		objectVersion, r, err := v.leader.readRecord(ctx)
		if err == nil {
			v.leader.lookedUp.Store(&lookedUpRecord{objectVersion, r, clock.Now()})
			v.adoptRecord(r, "store") // an empty record changes nothing
			v.messenger.recordLookedUp.Store(true)
			v.messenger.wake()
			return
		}
		v.stats.StoreErrors.Add(1)
		v.Log.Warn().Err(err).Msg("record not read")
		v.messenger.requestRecord()
		pollendoor.Pause(ctx, retryPause/2+rand.N(retryPause))
	}
}

// decodeRecord decodes the record from its object in the store.
func decodeRecord(o pollendoor.Object) (storedRecord, error) {
	var r storedRecord
	err := json.Unmarshal(o.Value, &r)
	return r, errors.Wrap(err, "record")
}

// storedRecord is the record as stored, with the process of the leader, a liveness
// counter that the leader increments with each write, and state of the quotas.
type storedRecord struct {
	lease.Record
	ProcessID uint64 `json:"run"`
	Liveness  uint64 `json:"sign,omitempty"`
	// SpareGranted is true while the spare tolerance of a quota window may have been
	// granted in the last one, so that the next leader must not grant it.
	SpareGranted bool `json:"spareGranted,omitempty"`
}

// adoptRecord adopts a record that any VM has written, unless it is older.
func (v *VM) adoptRecord(r storedRecord, source string) {
	old := v.lease.Load().Record
	if !v.updateLease(func(l *lease.Lease) bool { return l.Learn(r.Record) }) {
		return
	}
	v.onRecordChanged(old, r.Record, source)
	v.messenger.wake()
}

// applyRecordDelta applies a delta to the record that this VM has. It reports false
// if the delta starts from another version.
func (v *VM) applyRecordDelta(s *lease.Delta) bool {
	old := v.lease.Load().Record
	record, ok := old.ApplyDelta(s)
	if ok {
		v.adoptRecord(storedRecord{Record: record}, "holder")
	}
	return ok
}

// onRecordChanged logs what a new record changes, and updates what depends on the
// leader and the quota keepers.
func (v *VM) onRecordChanged(old, r lease.Record, source string) {
	if old.Token != r.Token {
		v.messenger.noteNewLeader(clock.Now())
		v.Log.Info().Str("holder", r.Leader).Uint64("token", r.Token).Uint64("version", r.Version).Str("source", source).Msg("leader changed")
	}
	if !slices.Equal(old.Keepers, r.Keepers) {
		v.admission.updateTeams(v.Config())
	}
	moved := false
	for name, g := range r.Groups {
		moved = moved || old.Groups[name].Moving != g.Moving
		v.notePrimaryMoves(name, old.Groups[name], g, clock.Now())
		if old.Groups[name] != g {
			v.Log.Info().Str("group", name).Uint64("epoch", g.Epoch).Str("primary", g.Primary).Bool("moving", g.Moving).
				Bool("planned", g.Planned).Uint64("version", r.Version).Str("source", source).Msg("group's primary changed")
		}
	}
	if moved {
		v.homeVMs.refresh()
	}
}

// pollStore reads the configuration and the targets from the store while this VM is
// the leader, or while the leader does not answer. Other VMs detect missed changes
// by the versions in the answers to their heartbeats.
func (v *VM) pollStore(ctx context.Context) {
	for n := 0; ctx.Err() == nil; n++ {
		pollendoor.Pause(ctx, configPoll)
		if !v.leader.isLeader() && (!v.messenger.leaderSilent() || !v.readsStore()) {
			continue
		}
		v.readConfig(ctx)
		if n%int(targetsPoll/configPoll) == 0 {
			v.readTargets(ctx)
		}
		if n%int(evacuationsPoll/configPoll) == 1 {
			v.readEvacuations(ctx)
		}
	}
}
