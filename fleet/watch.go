package fleet

import (
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
	// configPoll is how often the duty holder reads the configuration, beside its
	// watch: well within the time in which a version must be in force everywhere.
	configPoll = 1000 * time.Millisecond
	// targetsPoll is the same for the targets' entries.
	targetsPoll = 2000 * time.Millisecond
	// retryPause is the pause after a failed call to the store, with half of it
	// as jitter. It bounds the calls of a fleet whose store is down.
	retryPause = 400 * time.Millisecond
	// watcherPoll is how often a VM looks whether it has become its zone's watcher.
	watcherPoll = 200 * time.Millisecond
	// watchPause is the least time between two answers of a watch: changes often come
	// together, and each answer is a call.
	watchPause = 200 * time.Millisecond
	// bootDelay is how long a VM without any power waits before it looks for the
	// record when the whole fleet starts for the first time.
	bootDelay = time.Second
	// recordName is where the fleet keeps its record.
	recordName = "fleet/record"
)

// follower keeps a copy of one kind of object.
type follower struct {
	kind   string
	list   func(all []pollendoor.Object, revision uint64)     // gets the whole
	change func(changed []pollendoor.Object, revision uint64) // gets what has changed since, up to a revision
	known  func() bool                                        // whether this VM has got it

	lost  atomic.Bool // the store did not answer the last call
	mu    sync.Mutex
	stale context.CancelFunc // ends the waiting watch
}

// nudge lists the kind anew: a watch that waits may have missed changes.
func (f *follower) nudge() {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.stale != nil {
		f.stale()
	}
}

// watch waits for changes until it is nudged.
func (f *follower) watch(ctx context.Context, s pollendoor.Objects, revision uint64) ([]pollendoor.Object, uint64, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	f.mu.Lock()
	f.stale = cancel
	f.mu.Unlock()
	return s.Watch(ctx, f.kind, revision)
}

// follow lists a kind, and watches it while this VM is its zone's watcher.
func (v *VM) follow(ctx context.Context, f *follower) {
	listed := v.firstList(ctx, f.known)
	for ctx.Err() == nil {
		if listed && !v.watches() {
			pollendoor.Pause(ctx, watcherPoll)
			continue
		}
		all, revision, err := v.Platform.Store.List(ctx, f.kind)
		if err == nil {
			if f.lost.Load() {
				v.Log.Info().Str("kind", f.kind).Uint64("revision", revision).Msg("store regained")
			}
			f.lost.Store(false)
			listed = true
			f.list(all, revision)
		}
		for err == nil && ctx.Err() == nil && v.watches() {
			var events []pollendoor.Object
			events, revision, err = f.watch(ctx, v.Platform.Store, revision)
			if err == nil {
				f.change(events, revision)
				pollendoor.Pause(ctx, watchPause)
			}
		}
		switch {
		case err == nil:
			continue // another VM watches from now on
		case ctx.Err() != nil:
			return
		case errors.Is(err, pollendoor.ErrHistoryGone), errors.Is(err, context.Canceled):
			v.Log.Debug().Err(err).Str("kind", f.kind).Msg("listing anew")
			continue
		}
		if f.known() && !v.watches() {
			listed = true // it has come from other VMs
		}
		if !f.lost.Swap(true) {
			v.Log.Warn().Err(err).Str("kind", f.kind).Msg("store lost")
		}
		v.stats.StoreErrors.Add(1)
		pollendoor.Pause(ctx, retryPause/2+rand.N(retryPause))
	}
}

// watches reports whether this VM watches the store for its zone, or has to since
// it does not hear the duty holder. The others hear from it.
func (v *VM) watches() bool {
	w := v.view.Load()
	if w.Version == 0 {
		return false // too early to tell
	}
	if v.beat.silent() {
		return v.reads()
	}
	return v.leadOf() == 0
}

func (v *VM) watchConfig(ctx context.Context) {
	v.follow(ctx, &v.configs)
}

// configFollower returns the follower of the configuration, which has a version of
// its own.
func (v *VM) configFollower() follower {
	take := func(list []pollendoor.Object, _ uint64) {
		for _, o := range list {
			v.configObject(o)
		}
	}
	return follower{kind: v.Platform.ConfigKind, change: take, list: take, known: func() bool { return v.config.Load() != nil }}
}

// readConfig asks the store for the configuration. A watch may miss a change for
// as long as it waits.
func (v *VM) readConfig(ctx context.Context) {
	o, err := v.Platform.Store.Get(ctx, v.Platform.ConfigName)
	if err != nil {
		v.stats.StoreErrors.Add(1)
		v.Log.Debug().Err(err).Msg("configuration not read")
		return
	}
	v.takeConfig(o.Value, "own read")
}

func (v *VM) configObject(o pollendoor.Object) {
	if o.Name == v.Platform.ConfigName && o.Version != 0 {
		v.takeConfig(o.Value, "store")
	}
}

// takeConfig puts a configuration in force unless it is older.
func (v *VM) takeConfig(raw []byte, source string) {
	c, err := v.Platform.DecodeConfig(raw)
	if err != nil {
		v.Log.Error().Err(err).Str("source", source).Msg("configuration refused, the one before stays in force")
		return
	}
	var old *configVersion
	for {
		old = v.config.Load()
		if old != nil && old.Version >= c.Version {
			return
		}
		if v.config.CompareAndSwap(old, &configVersion{Config: c, packed: sync.OnceValues(func() ([]byte, error) { return pack.Deflate(raw) })}) {
			break
		}
	}
	v.logLimits(old, c)
	v.rates.know(c)
	v.homes.refresh()
	v.Log.Info().Uint64("version", c.Version).Str("source", source).
		Int("routes", len(c.Routes)).Int("keys", len(c.Keys)).Msg("configuration in force")
	v.beat.news()
	if v.ConfigChanged != nil {
		v.ConfigChanged()
	}
}

// logLimits logs the teams whose limits a configuration changes.
func (v *VM) logLimits(old *configVersion, c *pollendoor.Config) {
	if old == nil {
		return
	}
	for name, l := range c.Teams {
		if was, ok := old.Teams[name]; ok && was != l {
			v.Log.Info().Str("team", name).Float64("rate", l.Rate).Float64("burst", l.Burst).
				Float64("rateBefore", was.Rate).Uint64("version", c.Version).Msg("team's limit changed")
		}
	}
}

func (v *VM) watchTargets(ctx context.Context) { v.follow(ctx, &v.entries) }

// targetsFollower returns the follower of the targets' entries.
func (v *VM) targetsFollower() follower {
	return follower{
		kind: v.Platform.TargetsKind, list: v.listTargets, change: v.changeTargets,
		known: func() bool { return v.targets.Len() > 0 },
	}
}

// readTargets asks the store for all entries, as readConfig does.
func (v *VM) readTargets(ctx context.Context) {
	all, revision, err := v.Platform.Store.List(ctx, v.Platform.TargetsKind)
	if err != nil {
		v.stats.StoreErrors.Add(1)
		v.Log.Debug().Err(err).Msg("targets not read")
		return
	}
	v.listTargets(all, revision)
}

func (v *VM) listTargets(all []pollendoor.Object, revision uint64) {
	list := make([]pollendoor.TargetInfo, 0, len(all))
	for _, o := range all {
		if t, ok := v.decodeTarget(o); ok {
			list = append(list, t)
		}
	}
	v.takeTargets(list, revision, "store")
}

// takeTargets follows a whole list of targets, unless it is older than what this VM
// knows.
func (v *VM) takeTargets(list []pollendoor.TargetInfo, revision uint64, source string) {
	changes, ok := v.targets.List(list, revision, time.Now())
	if !ok {
		v.Log.Info().Uint64("revision", revision).Str("source", source).Msg("older list of targets ignored")
		return
	}
	v.targetsChanged(changes)
}

// applyTargets follows what has changed since the revision that this VM knows.
func (v *VM) applyTargets(d roster.Delta, source string) {
	changes, ok := v.targets.Apply(d, time.Now())
	if !ok {
		v.Log.Info().Uint64("revision", d.To).Str("source", source).Msg("older change of targets ignored")
		return
	}
	v.targetsChanged(changes)
}

// changeTargets takes the changes up to a revision.
func (v *VM) changeTargets(changed []pollendoor.Object, revision uint64) {
	if known, _ := v.targets.State(); revision <= known {
		return // a list has brought them
	}
	last := make(map[string]pollendoor.Object, len(changed)) // of several events on one entry
	for _, o := range changed {
		last[o.Name] = o
	}
	d := roster.Delta{To: revision}
	for name, o := range last {
		if o.Version == 0 {
			d.Removed = append(d.Removed, name[len(v.Platform.TargetsKind):])
		} else if t, ok := v.decodeTarget(o); ok {
			d.Changed = append(d.Changed, t)
		}
	}
	v.applyTargets(d, "store")
}

// targetsChanged logs what has changed and follows it.
func (v *VM) targetsChanged(changes []roster.Change) {
	for _, c := range changes {
		if t := c.After; t.ID != "" {
			v.Log.Info().Str("target", t.ID).Str("group", t.Group).Str("addr", t.Addr).Str("zone", t.Zone).
				Bool("draining", t.Draining).Bool("primary", t.Primary).Int64("born", t.Born).Msg("target's entry changed")
		} else {
			v.Log.Info().Str("target", c.Before.ID).Msg("target's entry is missing")
		}
	}
	if len(changes) > 0 {
		v.homes.refresh()
		v.beat.news()
	}
}

func (v *VM) decodeTarget(o pollendoor.Object) (pollendoor.TargetInfo, bool) {
	t, err := v.Platform.DecodeTarget(o)
	if err != nil {
		v.Log.Warn().Err(err).Uint64("revision", o.Version).Msg("target's entry ignored")
		return t, false
	}
	return t, true
}

// findRecord looks the record up in the store when the VM starts. Later versions
// come from the duty holder.
func (v *VM) findRecord(ctx context.Context) {
	if v.Settings.Bootstrap {
		// The most powerful VMs write it first; the others find it.
		pollendoor.Pause(ctx, time.Duration((1-min(1, v.Settings.CPU))*float64(bootDelay)))
	}
	for ctx.Err() == nil {
		_, r, err := v.duty.read(ctx)
		if err == nil {
			v.learn(r, "store") // an empty record teaches nothing
			v.beat.listed.Store(true)
			v.beat.wake()
			return
		}
		v.stats.StoreErrors.Add(1)
		v.Log.Warn().Err(err).Msg("record not read")
		v.beat.seek()
		pollendoor.Pause(ctx, retryPause/2+rand.N(retryPause))
	}
}

func decodeRecord(o pollendoor.Object) (storedRecord, error) {
	var r storedRecord
	err := json.Unmarshal(o.Value, &r)
	return r, errors.Wrap(err, "record")
}

// storedRecord is the record with the process that holds the duty, and a number
// that it grows with each proof of its hold.
type storedRecord struct {
	lease.Record
	Run  uint64 `json:"run"`
	Sign uint64 `json:"sign,omitempty"`
}

// learn takes a record that somebody has written.
func (v *VM) learn(r storedRecord, source string) {
	old := v.lease.Load().Record
	if !v.changeLease(func(l *lease.Lease) bool { return l.Learn(r.Record) }) {
		return
	}
	v.recordChanged(old, r.Record, source)
	v.beat.wake()
}

// learnStep takes a step from the record that this VM has. It reports false if the
// step starts from another one.
func (v *VM) learnStep(s *lease.Delta) bool {
	old := v.lease.Load().Record
	next, ok := old.ApplyDelta(s)
	if ok {
		v.learn(storedRecord{Record: next}, "holder")
	}
	return ok
}

// recordChanged logs what a new record changes.
func (v *VM) recordChanged(old, r lease.Record, source string) {
	if old.Token != r.Token {
		v.beat.newHolder(clock.Now())
		v.Log.Info().Str("holder", r.Holder).Uint64("token", r.Token).Uint64("version", r.Version).Str("source", source).Msg("duty holder changed")
	}
	if !slices.Equal(old.Keepers, r.Keepers) {
		v.rates.know(v.Config())
	}
	for name, g := range r.Groups {
		if old.Groups[name] != g {
			v.Log.Info().Str("group", name).Uint64("epoch", g.Epoch).Str("primary", g.Primary).Bool("moving", g.Moving).
				Bool("planned", g.Planned).Uint64("version", r.Version).Str("source", source).Msg("group's primary changed")
		}
	}
}

// pollStore reads configuration and targets while this VM holds the duty, or
// does not hear who does. Other VMs learn from heartbeats that they have missed
// something.
func (v *VM) pollStore(ctx context.Context) {
	for n := 0; ctx.Err() == nil; n++ {
		pollendoor.Pause(ctx, configPoll)
		if !v.duty.holds() && (!v.beat.silent() || !v.reads()) {
			continue
		}
		v.readConfig(ctx)
		if n%int(targetsPoll/configPoll) == 0 {
			v.readTargets(ctx)
		}
	}
}
