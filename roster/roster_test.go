package roster_test

import (
	"testing"
	"time"

	"github.com/pollendoor/pollendoor"
	"github.com/pollendoor/pollendoor/roster"
)

var now = time.Unix(1000, 0)

func target(id string, draining bool) pollendoor.TargetInfo {
	return pollendoor.TargetInfo{ID: id, Group: "g", Addr: id + ":1", Zone: "north", Slots: 3, Draining: draining}
}

// A VM was cut from the store for 12 s while a target began to leave and was
// replaced; when the cut heals it tells its neighbors its old list (found on
// cca-pollendoor scale-2 --seed 1: work for a target 8.5 s after it was draining).
func TestOldListIsIgnored(t *testing.T) {
	var r roster.Roster
	r.List([]pollendoor.TargetInfo{target("a", false), target("b", false)}, 10, now)
	r.Set(target("a", true), 12, now)
	if changes, ok := r.List([]pollendoor.TargetInfo{target("a", false), target("b", false)}, 10, now); ok || len(changes) > 0 {
		t.Errorf("older list: got taken (%v) with changes %v, want it ignored", ok, changes)
	}
	if got, _ := r.Get("a"); !got.Draining {
		t.Error("after an older list: got a target that stays, want it draining")
	}
	if _, ok := r.Set(target("a", false), 11, now); ok {
		t.Error("older entry: got taken, want it ignored")
	}
	r.Remove("a", now)
	r.Reach(13)
	r.Expire(now.Add(time.Minute), time.Second)
	r.List([]pollendoor.TargetInfo{target("a", true), target("b", false)}, 12, now)
	if _, ok := r.Get("a"); ok {
		t.Error("after the removal: got the target back from an older list, want it gone")
	}
	if changes, ok := r.List([]pollendoor.TargetInfo{target("b", false), target("c", false)}, 14, now); !ok || len(changes) != 1 {
		t.Errorf("newer list: got taken %v with changes %v, want one change", ok, changes)
	}
}

// The store is away and entries lapse: a target whose entry is missing may come back.
func TestMissingEntryMayComeBack(t *testing.T) {
	var r roster.Roster
	if _, missing := r.Missing("a", now); missing != 0 {
		t.Errorf("nothing listed yet: got missing for %v, want not known", missing)
	}
	r.List([]pollendoor.TargetInfo{target("a", false), target("b", false)}, 10, now)
	_, before := r.State()
	r.List([]pollendoor.TargetInfo{target("b", false)}, 11, now)
	if _, missing := r.Missing("a", now.Add(time.Second)); missing != time.Second {
		t.Errorf("got missing for %v, want 1 s", missing)
	}
	if got, want := len(r.Group("g")), 2; got != want {
		t.Errorf("got %d targets, want %d until the entry is gone for long", got, want)
	}
	r.List([]pollendoor.TargetInfo{target("a", false), target("b", false)}, 12, now)
	if _, after := r.State(); after != before {
		t.Errorf("same entries: got digest %x, want %x", after, before)
	}
	r.List([]pollendoor.TargetInfo{target("b", false)}, 13, now)
	if got := r.Expire(now.Add(3*time.Second), 2*time.Second); len(got) != 1 || r.Len() != 1 {
		t.Errorf("got %v expired and %d left, want one each", got, r.Len())
	}
}
