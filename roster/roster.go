// Package roster keeps the targets that the platform's store lists. Each update
// carries the store's revision of that moment, so that an older update, which
// another VM may send after a partition, never replaces a newer one.
package roster

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/pollendoor/pollendoor"
)

// Roster holds the known targets. A target whose entry was removed from the store
// stays known until Expire removes it. A Roster is safe for concurrent use: readers
// see an immutable snapshot. The zero value is empty and ready for use.
type Roster struct {
	// AssumedDrain is how long the targets that are about to leave in the first list are
	// taken to have been so.
	AssumedDrain time.Duration

	current atomic.Pointer[snapshot]

	mu           sync.Mutex
	firstListed  time.Time            // when the entries were first listed
	missingSince map[string]time.Time // by target ID, when its entry was removed from the store
	drainSince   map[string]drain     // by target ID, since when its entry has said that it is about to leave
	changedAt    map[string]uint64    // by target ID, removed targets included, the revision up to which the entry was last seen to change
	changesSince uint64               // changedAt has all changes since this revision
}

// drain is since when a process of a target has been about to leave. An older copy of the
// store may say otherwise for a while.
type drain struct {
	born  int64
	since time.Time
}

// maxRemoved is the number of removed entries that are remembered for other VMs.
const maxRemoved = 1024

// Delta holds the changes from one revision to another.
type Delta struct {
	Changed []pollendoor.TargetInfo `cbor:"1,keyasint,omitempty"`
	Removed []string                `cbor:"2,keyasint,omitempty"` // target IDs
	To      uint64                  `cbor:"3,keyasint"`           // store revision after the changes
}

// snapshot is the targets at one revision.
type snapshot struct {
	byID     map[string]pollendoor.TargetInfo
	byGroup  map[string][]pollendoor.TargetInfo
	hashes   map[string]uint64 // hash of each entry by target ID
	digest   uint64            // sum of the hashes of the entries that the store lists
	revision uint64            // revision of the store
}

// Change is a change of one target's entry.
type Change struct {
	Before pollendoor.TargetInfo // zero for a new entry
	After  pollendoor.TargetInfo // zero for an entry that was removed
}

func (r *Roster) load() *snapshot {
	if s := r.current.Load(); s != nil {
		return s
	}
	return &snapshot{}
}

// Len returns the number of targets.
func (r *Roster) Len() int { return len(r.load().byID) }

// Get returns a target by its ID.
func (r *Roster) Get(id string) (pollendoor.TargetInfo, bool) {
	t, ok := r.load().byID[id]
	return t, ok
}

// Group returns the targets of a group, sorted by ID.
func (r *Roster) Group(name string) []pollendoor.TargetInfo { return r.load().byGroup[name] }

// State returns the store's revision up to which the targets are known, and a
// digest of the entries that the store lists at that revision.
func (r *Roster) State() (revision, digest uint64) {
	s := r.load()
	return s.revision, s.digest
}

// Missing returns a target, and how long its entry has been missing from the store.
// The duration is zero if the entry is there, or if no list has been applied yet.
func (r *Roster) Missing(id string, now time.Time) (pollendoor.TargetInfo, time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	t, ok := r.Get(id)
	since, missing := r.missingSince[id]
	if !ok {
		since, missing = r.firstListed, !r.firstListed.IsZero()
	}
	if !missing {
		return t, 0
	}
	return t, max(1, now.Sub(since))
}

// Draining returns how long a target has been about to leave, as far as this VM knows, or
// zero if it is not.
func (r *Roster) Draining(id string, now time.Time) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	d, ok := r.drainSince[id]
	if !ok || !r.load().byID[id].Draining {
		return 0
	}
	return max(1, now.Sub(d.since))
}

// Listed returns the targets whose entries are in the store, and the store's
// revision.
func (r *Roster) Listed() ([]pollendoor.TargetInfo, uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	var list []pollendoor.TargetInfo
	s := r.load()
	for id, t := range s.byID {
		if _, ok := r.missingSince[id]; !ok {
			list = append(list, t)
		}
	}
	return list, s.revision
}

// ApplyList replaces the listed targets by those of a whole list, which the store
// had at a revision, and returns the changes. It reports false and does nothing if
// the revision is older than the known one.
func (r *Roster) ApplyList(list []pollendoor.TargetInfo, revision uint64, now time.Time) ([]Change, bool) {
	var changes []Change
	ok := r.update(revision, now, func(s *snapshot) {
		listed := make(map[string]bool, len(list))
		for _, t := range list {
			listed[t.ID] = true
			changes = append(changes, r.set(s, t)...)
		}
		for id := range s.byID {
			if !listed[id] {
				changes = append(changes, r.remove(s, id, now)...)
			}
		}
	})
	return changes, ok
}

// ApplyDelta applies a delta from the known revision or an earlier one, and returns
// the changes that it makes. It reports false and does nothing if the delta leads to
// a revision older than the known one. Deltas must be applied in the order of their
// revisions.
func (r *Roster) ApplyDelta(d Delta, now time.Time) ([]Change, bool) {
	var changes []Change
	ok := r.update(d.To, now, func(s *snapshot) {
		for _, id := range d.Removed {
			changes = append(changes, r.remove(s, id, now)...)
		}
		for _, t := range d.Changed {
			changes = append(changes, r.set(s, t)...)
		}
	})
	return changes, ok
}

// Since returns the changes since a revision. It reports false if the revision is
// too old to derive them, or newer than what is known.
func (r *Roster) Since(revision uint64) (Delta, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.load()
	d := Delta{To: s.revision}
	if revision < r.changesSince || revision > s.revision || r.firstListed.IsZero() {
		return d, false
	}
	for id, at := range r.changedAt {
		if at <= revision {
			continue
		}
		t, known := s.byID[id]
		if _, missing := r.missingSince[id]; known && !missing {
			d.Changed = append(d.Changed, t)
		} else {
			d.Removed = append(d.Removed, id)
		}
	}
	return d, true
}

// Expire removes the targets whose entries have been missing from the store for
// longer than after, and returns their IDs.
func (r *Roster) Expire(now time.Time, after time.Duration) []string {
	r.mu.Lock()
	var list []string
	for id, at := range r.missingSince {
		if now.Sub(at) > after {
			list = append(list, id)
		}
	}
	r.mu.Unlock()
	if len(list) > 0 {
		r.update(r.load().revision, now, func(s *snapshot) {
			for _, id := range list {
				if at, missing := r.missingSince[id]; missing && now.Sub(at) > after {
					delete(s.byID, id)
					delete(r.missingSince, id)
				}
			}
		})
	}
	return list
}

// update replaces the snapshot by a changed one. It reports false and does nothing
// if the revision is older than the known one.
func (r *Roster) update(revision uint64, now time.Time, change func(*snapshot)) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	old := r.load()
	if revision < old.revision {
		return false
	}
	next := &snapshot{
		byID:    make(map[string]pollendoor.TargetInfo, len(old.byID)),
		byGroup: make(map[string][]pollendoor.TargetInfo), hashes: make(map[string]uint64, len(old.byID)),
		revision: revision,
	}
	maps.Copy(next.byID, old.byID)
	first := r.firstListed.IsZero()
	if first {
		r.firstListed, r.changesSince = now, revision
	}
	if r.missingSince == nil {
		r.missingSince, r.changedAt = make(map[string]time.Time), make(map[string]uint64)
	}
	change(next)
	if first {
		r.noteDraining(next, now.Add(-r.AssumedDrain))
	} else {
		r.noteDraining(next, now)
	}
	if len(r.changedAt) > len(next.byID)+maxRemoved {
		clear(r.changedAt)
		r.changesSince = revision
	}
	for _, t := range next.byID {
		next.byGroup[t.Group] = append(next.byGroup[t.Group], t)
	}
	for _, list := range next.byGroup {
		slices.SortFunc(list, func(a, b pollendoor.TargetInfo) int { return cmp.Compare(a.ID, b.ID) })
	}
	next.computeDigest(old, r.missingSince)
	r.current.Store(next)
	return true
}

// noteDraining records that those targets of a snapshot that are about to leave have been so
// since at, unless it is known already. The caller holds mu.
func (r *Roster) noteDraining(s *snapshot, at time.Time) {
	for id := range r.drainSince {
		if t, ok := s.byID[id]; !ok || t.Born != r.drainSince[id].born {
			delete(r.drainSince, id)
		}
	}
	for id, t := range s.byID {
		if _, ok := r.drainSince[id]; !ok && t.Draining {
			if r.drainSince == nil {
				r.drainSince = make(map[string]drain)
			}
			r.drainSince[id] = drain{t.Born, at}
		}
	}
}

// set adds or changes an entry that the store lists. The caller holds mu.
func (r *Roster) set(s *snapshot, t pollendoor.TargetInfo) []Change {
	before := s.byID[t.ID]
	_, missing := r.missingSince[t.ID]
	if t.Born < before.Born && pollendoor.Era(s.revision) > pollendoor.Era(r.changedAt[t.ID]) {
		t = before // the store has forgotten that the target started again
	}
	if before == t && !missing {
		return nil
	}
	s.byID[t.ID] = t
	delete(r.missingSince, t.ID)
	r.changedAt[t.ID] = s.revision
	if before == t {
		return nil
	}
	return []Change{{Before: before, After: t}}
}

// remove marks an entry as removed from the store. The caller holds mu.
func (r *Roster) remove(s *snapshot, id string, now time.Time) []Change {
	t, known := s.byID[id]
	if _, missing := r.missingSince[id]; !known || missing {
		return nil
	}
	r.missingSince[id] = now
	r.changedAt[id] = s.revision
	return []Change{{Before: t}}
}

// hashOf returns the hash of an entry. That of a target that is not cold is the same as
// before entries had this field, so that VMs of mixed versions agree.
func hashOf(t pollendoor.TargetInfo) uint64 {
	text := fmt.Sprintf("{%s %s %s %s %d %t %t %d}", t.ID, t.Group, t.Addr, t.Zone, t.Slots, t.Draining, t.Primary, t.Born)
	if t.Cold {
		text += " cold"
	}
	return xxhash.Sum64String(text)
}

// computeDigest computes the digest of the entries that the store lists, so that
// VMs can compare theirs. The hash of an entry that is the same in the snapshot
// before is reused.
func (s *snapshot) computeDigest(before *snapshot, missing map[string]time.Time) {
	for id, t := range s.byID {
		hash, ok := before.hashes[id]
		if !ok || before.byID[id] != t {
			hash = hashOf(t)
		}
		s.hashes[id] = hash
		if _, missing := missing[id]; !missing {
			s.digest += hash
		}
	}
}
