package fleet

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/pollendoor/pollendoor"
	"github.com/pollendoor/pollendoor/clock"
	"github.com/pollendoor/pollendoor/reign"
)

const (
	// retryPause is the pause after a failed call to the store, with half of it
	// as jitter. It bounds the calls of a fleet whose store is down.
	retryPause = 400 * time.Millisecond
	// recordKind and recordName are where the fleet keeps its record.
	recordKind = "fleet/"
	recordName = "fleet/record"
)

// follow lists a kind and then watches it, for good. List gets the whole, change
// each later object.
func (v *VM) follow(ctx context.Context, kind string, list func([]pollendoor.Object), change func(pollendoor.Object)) {
	lost := false
	for ctx.Err() == nil {
		all, revision, err := v.Platform.Store.List(ctx, kind)
		if err == nil {
			if lost {
				v.Log.Info().Str("kind", kind).Uint64("revision", revision).Msg("store regained")
			}
			lost = false
			list(all)
		}
		for err == nil && ctx.Err() == nil {
			var events []pollendoor.Object
			events, revision, err = v.Platform.Store.Watch(ctx, kind, revision)
			for _, o := range events {
				change(o)
			}
		}
		if ctx.Err() != nil {
			return
		}
		if errors.Is(err, pollendoor.ErrHistoryGone) {
			v.Log.Info().Str("kind", kind).Msg("store history gone, listing anew")
			continue
		}
		if !lost {
			v.Log.Warn().Err(err).Str("kind", kind).Msg("store lost")
		}
		lost = true
		v.stats.StoreErrors.Add(1)
		pollendoor.Pause(ctx, retryPause/2+rand.N(retryPause))
	}
}

func (v *VM) watchConfig(ctx context.Context) {
	v.follow(ctx, v.Platform.ConfigKind, func(all []pollendoor.Object) {
		for _, o := range all {
			v.configObject(o)
		}
	}, v.configObject)
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
	for {
		old := v.config.Load()
		if old != nil && old.Version >= c.Version {
			return
		}
		if v.config.CompareAndSwap(old, &configVersion{Config: c, raw: raw}) {
			break
		}
	}
	v.buckets.Know(c.Teams, clock.Now())
	v.homes.refresh()
	v.Log.Info().Uint64("version", c.Version).Str("source", source).
		Int("routes", len(c.Routes)).Int("keys", len(c.Keys)).Msg("configuration in force")
	if v.ConfigChanged != nil {
		v.ConfigChanged()
	}
}

func (v *VM) watchTargets(ctx context.Context) {
	v.follow(ctx, v.Platform.TargetsKind, func(all []pollendoor.Object) {
		v.targets.update(func(byID map[string]pollendoor.TargetInfo, gone map[string]time.Time) {
			listed := make(map[string]bool, len(all))
			for _, o := range all {
				if t, ok := v.decodeTarget(o); ok {
					listed[t.ID] = true
					byID[t.ID] = t
					delete(gone, t.ID)
				}
			}
			for id := range byID {
				if _, ok := gone[id]; !listed[id] && !ok {
					gone[id] = time.Now()
				}
			}
		})
		v.homes.refresh()
	}, func(o pollendoor.Object) {
		v.targets.update(func(byID map[string]pollendoor.TargetInfo, gone map[string]time.Time) {
			id := o.Name[len(v.Platform.TargetsKind):]
			if o.Version == 0 {
				if _, ok := byID[id]; ok {
					gone[id] = time.Now()
					v.Log.Info().Str("target", id).Msg("target's entry removed")
				}
				return
			}
			t, ok := v.decodeTarget(o)
			if !ok {
				return
			}
			if old := byID[id]; old != t {
				v.Log.Info().Str("target", id).Str("group", t.Group).Str("addr", t.Addr).Str("zone", t.Zone).
					Bool("draining", t.Draining).Bool("primary", t.Primary).Int64("born", t.Born).Msg("target's entry changed")
			}
			byID[id] = t
			delete(gone, id)
		})
		v.homes.refresh()
	})
}

func (v *VM) decodeTarget(o pollendoor.Object) (pollendoor.TargetInfo, bool) {
	t, err := v.Platform.DecodeTarget(o)
	if err != nil {
		v.Log.Warn().Err(err).Uint64("revision", o.Version).Msg("target's entry ignored")
		return t, false
	}
	return t, true
}

func (v *VM) watchRecord(ctx context.Context) {
	take := func(o pollendoor.Object) {
		if o.Name != recordName || o.Version == 0 {
			return
		}
		r, err := decodeRecord(o)
		if err != nil {
			v.Log.Error().Err(err).Msg("record ignored")
			return
		}
		v.learn(r, "store")
	}
	v.follow(ctx, recordKind, func(all []pollendoor.Object) {
		for _, o := range all {
			take(o)
		}
		v.beat.listed.Store(true)
		v.beat.wake()
	}, take)
}

func decodeRecord(o pollendoor.Object) (storedRecord, error) {
	var r storedRecord
	err := json.Unmarshal(o.Value, &r)
	return r, errors.Wrap(err, "record")
}

// storedRecord is the record with the process that holds the duty.
type storedRecord struct {
	reign.Record
	Run uint64 `json:"run"`
}

// learn takes a record that somebody has written.
func (v *VM) learn(r storedRecord, source string) {
	old := v.lease.Load().Record
	if !v.changeLease(func(l *reign.Lease) bool { return l.Learn(r.Record) }) {
		return
	}
	v.recordChanged(old, r.Record, source)
	v.beat.wake()
}

// recordChanged logs what a new record changes.
func (v *VM) recordChanged(old, r reign.Record, source string) {
	if old.Token != r.Token {
		v.Log.Info().Str("holder", r.Holder).Uint64("token", r.Token).Uint64("version", r.Version).Str("source", source).Msg("duty holder changed")
	}
	for name, g := range r.Groups {
		if old.Groups[name] != g {
			v.Log.Info().Str("group", name).Uint64("epoch", g.Epoch).Str("primary", g.Primary).Bool("moving", g.Moving).
				Bool("planned", g.Planned).Uint64("version", r.Version).Str("source", source).Msg("group's primary changed")
		}
	}
}
