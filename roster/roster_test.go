package roster_test

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/cespare/xxhash/v2"

	"github.com/pollendoor/pollendoor"
	"github.com/pollendoor/pollendoor/roster"
)

var now = time.Unix(1000, 0)

func entry(id string, draining bool) pollendoor.TargetInfo {
	return pollendoor.TargetInfo{ID: id, Group: "g", Addr: id + ":1", Zone: "north", Slots: 3, Draining: draining}
}

// A VM was cut off from the store for 12 s while a target began to drain and was
// replaced. When the partition healed, the VM sent its old list to its neighbors,
// and work was sent to a target 8.5 s after it was draining (seen in
// cca-pollendoor scale-2 --seed 1).
func TestOldListIsIgnored(t *testing.T) {
	var r roster.Roster
	r.ApplyList([]pollendoor.TargetInfo{entry("a", false), entry("b", false)}, 10, now)
	r.ApplyDelta(roster.Delta{Changed: []pollendoor.TargetInfo{entry("a", true)}, To: 12}, now)
	if changes, ok := r.ApplyList([]pollendoor.TargetInfo{entry("a", false), entry("b", false)}, 10, now); ok || len(changes) > 0 {
		t.Errorf("older list: got accepted %v with changes %v, want it ignored", ok, changes)
	}
	if got, _ := r.Get("a"); !got.Draining {
		t.Error("after an older list: got a target that is not draining, want it draining")
	}
	if _, ok := r.ApplyDelta(roster.Delta{Changed: []pollendoor.TargetInfo{entry("a", false)}, To: 11}, now); ok {
		t.Error("older entry: got it accepted, want it ignored")
	}
	r.ApplyDelta(roster.Delta{Removed: []string{"a"}, To: 13}, now)
	r.Expire(now.Add(time.Minute), time.Second)
	r.ApplyList([]pollendoor.TargetInfo{entry("a", true), entry("b", false)}, 12, now)
	if _, ok := r.Get("a"); ok {
		t.Error("after the removal: got the target back from an older list, want it gone")
	}
	if changes, ok := r.ApplyList([]pollendoor.TargetInfo{entry("b", false), entry("c", false)}, 14, now); !ok || len(changes) != 1 {
		t.Errorf("newer list: got accepted %v with changes %v, want one change", ok, changes)
	}
}

// Entries expire while the store is unavailable: a target whose entry is missing
// may come back.
func TestMissingEntryMayComeBack(t *testing.T) {
	var r roster.Roster
	if _, missing := r.Missing("a", now); missing != 0 {
		t.Errorf("nothing listed yet: got missing for %v, want 0 s", missing)
	}
	r.ApplyList([]pollendoor.TargetInfo{entry("a", false), entry("b", false)}, 10, now)
	_, before := r.State()
	r.ApplyList([]pollendoor.TargetInfo{entry("b", false)}, 11, now)
	if _, missing := r.Missing("a", now.Add(time.Second)); missing != time.Second {
		t.Errorf("got missing for %v, want 1 s", missing)
	}
	if got, want := len(r.Group("g")), 2; got != want {
		t.Errorf("got %d targets, want %d until the missing entry expires", got, want)
	}
	r.ApplyList([]pollendoor.TargetInfo{entry("a", false), entry("b", false)}, 12, now)
	if _, after := r.State(); after != before {
		t.Errorf("same entries: got digest %x, want %x", after, before)
	}
	r.ApplyList([]pollendoor.TargetInfo{entry("b", false)}, 13, now)
	if got := r.Expire(now.Add(3*time.Second), 2*time.Second); len(got) != 1 || r.Len() != 1 {
		t.Errorf("got %v expired and %d left, want one of each", got, r.Len())
	}
}

// VMs follow each other by deltas. Whatever is lost, delayed or applied twice, a
// VM must have the entries that another VM had at that revision, and one changed
// entry among thousands must cost one entry.
func TestDeltasLeadToTheSameEntries(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var source roster.Roster
		copies := make([]roster.Roster, 2)
		digests := make(map[uint64]uint64)
		var delayed []roster.Delta
		revision := uint64(5)
		entries := make(map[string]pollendoor.TargetInfo)
		for range rapid.IntRange(1, 100).Draw(t, "steps") {
			switch rapid.IntRange(0, 3).Draw(t, "step") {
			case 0, 1:
				revision += uint64(rapid.IntRange(1, 3).Draw(t, "revisions"))
				d := roster.Delta{To: revision}
				id := fmt.Sprint(rapid.IntRange(0, 4).Draw(t, "id"))
				if rapid.Bool().Draw(t, "removed") {
					delete(entries, id)
					d.Removed = []string{id}
				} else {
					entries[id] = entry(id, rapid.Bool().Draw(t, "draining"))
					d.Changed = []pollendoor.TargetInfo{entries[id]}
				}
				if rapid.Bool().Draw(t, "list") || len(digests) == 0 {
					source.ApplyList(slices.Collect(maps.Values(entries)), revision, now)
				} else {
					source.ApplyDelta(d, now)
				}
				known, digest := source.State()
				digests[known] = digest
			default:
				r := &copies[rapid.IntRange(0, 1).Draw(t, "vm")]
				have, _ := r.State()
				d, ok := source.Since(have)
				if !ok {
					list, at := source.Listed()
					r.ApplyList(list, at, now)
				} else if rapid.Bool().Draw(t, "late") {
					delayed = append(delayed, d)
				} else {
					r.ApplyDelta(d, now)
				}
			}
			for i := range copies {
				have, digest := copies[i].State()
				if want := digests[have]; have > 0 && digest != want {
					t.Fatalf("VM %d at revision %d: got digest %x, want %x", i, have, digest, want)
				}
			}
		}
		for _, d := range delayed {
			// A delta that arrives late is older than what is known, or fits.
			have, _ := copies[0].State()
			if d.To < have {
				if _, ok := copies[0].ApplyDelta(d, now); ok {
					t.Fatalf("got a delta to revision %d accepted at revision %d, want it rejected", d.To, have)
				}
			}
		}
	})
}

func TestDeltaHoldsOnlyChanges(t *testing.T) {
	var r roster.Roster
	var list []pollendoor.TargetInfo
	for i := range 4000 {
		list = append(list, entry(fmt.Sprint(i), false))
	}
	r.ApplyList(list, 10, now)
	r.ApplyDelta(roster.Delta{Changed: []pollendoor.TargetInfo{entry("7", true)}, To: 11}, now)
	if d, ok := r.Since(10); !ok || len(d.Changed) != 1 || len(d.Removed) != 0 {
		t.Errorf("got %d changed and %d removed (%v), want one changed", len(d.Changed), len(d.Removed), ok)
	}
	if _, ok := r.Since(9); ok {
		t.Error("revision before the first list: got a delta, want none")
	}
}

// The digest of targets that are not cold must stay the same over versions: VMs of mixed
// versions would otherwise fetch the targets from each other again and again.
func TestDigestStaysTheSame(t *testing.T) {
	info := pollendoor.TargetInfo{ID: "a", Group: "g", Addr: "127.0.0.1:5", Zone: "z", Slots: 3, Primary: true, Born: 7}
	digest := func(info pollendoor.TargetInfo) uint64 {
		var r roster.Roster
		r.ApplyList([]pollendoor.TargetInfo{info}, 1, time.Now())
		_, d := r.State()
		return d
	}
	warm := digest(info)
	if want := xxhash.Sum64String("{a g 127.0.0.1:5 z 3 false true 7}"); warm != want {
		t.Errorf("got digest %x, want %x", warm, want)
	}
	info.Cold = true
	if got := digest(info); got == warm {
		t.Error("cold target: got the digest of a warm one, want another one")
	}
}

func TestDraining(t *testing.T) {
	start := time.Unix(1000, 0)
	r := roster.Roster{AssumedDrain: 4 * time.Second}
	list := func(at time.Duration, draining ...string) {
		t.Helper()
		var targets []pollendoor.TargetInfo
		for _, id := range []string{"a", "b"} {
			targets = append(targets, pollendoor.TargetInfo{ID: id, Draining: slices.Contains(draining, id)})
		}
		if _, ok := r.ApplyList(targets, uint64(at/time.Second)+1, start.Add(at)); !ok {
			t.Fatal("got a list that was ignored")
		}
	}
	check := func(at time.Duration, id string, want time.Duration) {
		t.Helper()
		if got := r.Draining(id, start.Add(at)); got != want {
			t.Errorf("%s at %v: got %v, want %v", id, at, got, want)
		}
	}
	list(0, "a")
	check(time.Second, "a", 5*time.Second) // it may have begun before the first list
	check(time.Second, "b", 0)
	list(2*time.Second, "a", "b")
	list(3*time.Second, "a", "b")
	check(5*time.Second, "b", 3*time.Second)
	list(6*time.Second, "a")
	check(7*time.Second, "b", 0)
}

// Guards against a cold target that gets work as if it had started again: an older copy of the
// store had the entry of its former process, until the target wrote its own again.
func TestForgottenStartIsIgnored(t *testing.T) {
	var r roster.Roster
	now := time.Unix(1000, 0)
	apply := func(born int64, era, revision uint64) []roster.Change {
		t.Helper()
		changes, ok := r.ApplyList([]pollendoor.TargetInfo{{ID: "a", Born: born}}, pollendoor.NewVersion(era, revision), now)
		if !ok {
			t.Fatal("got a list that was ignored")
		}
		return changes
	}
	apply(5, 1, 10)
	apply(9, 1, 20)
	for _, tc := range []struct {
		name          string
		born          int64
		era, revision uint64
		want          int64 // start of the process that is known then
		changes       int
	}{
		{"older copy", 5, 2, 12, 9, 0},
		{"entry written again", 9, 2, 15, 9, 0},
		{"another start", 11, 2, 16, 11, 1},
		{"clock of the target set back", 7, 2, 17, 7, 1},
	} {
		if got := len(apply(tc.born, tc.era, tc.revision)); got != tc.changes {
			t.Errorf("%s: got %d changes, want %d", tc.name, got, tc.changes)
		}
		if got, _ := r.Get("a"); got.Born != tc.want {
			t.Errorf("%s: got born %d, want %d", tc.name, got.Born, tc.want)
		}
	}
}
