package vmlist_test

import (
	"fmt"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"github.com/pollendoor/pollendoor/vmlist"
)

func peers(names ...string) []vmlist.Peer {
	list := make([]vmlist.Peer, 0, len(names))
	for _, n := range names {
		list = append(list, vmlist.Peer{Name: n, Zone: "z", IP: "10.0.0." + n})
	}
	return list
}

func ExampleHistory() {
	var b vmlist.History
	b.Start(1, vmlist.View{Peers: peers("1", "2")})
	seen := b.View()
	b.Set(peers("1", "2", "3", "4"))
	b.Set(peers("2", "3", "4"))
	d, _ := b.Since(seen.Version)
	now, ok := seen.ApplyDelta(d)
	fmt.Println(ok, len(d.Joined), d.Gone, len(now.Peers))
	// Output: true 2 [1] 3
}

// Deltas are lost, duplicated and reordered, and the leader changes. A VM's view
// must always be a list that a leader had under that version.
func TestViewIsAlwaysOneOfTheLeaders(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var b vmlist.History
		b.Start(1, vmlist.View{})
		lists := map[uint64][]vmlist.Peer{b.View().Version: nil, 0: nil}
		views := make([]vmlist.View, 4)
		var delayed []vmlist.Delta
		token := uint64(1)
		for range rapid.IntRange(1, 300).Draw(t, "steps") {
			switch rapid.IntRange(0, 9).Draw(t, "step") {
			case 0:
				// One of the VMs becomes the leader.
				token++
				v := views[rapid.IntRange(0, len(views)-1).Draw(t, "next")]
				b = vmlist.History{}
				b.Start(token, v)
				lists[b.View().Version] = v.Peers
			case 1, 2, 3:
				var names []string
				for i := range 6 {
					if rapid.Bool().Draw(t, "live") {
						names = append(names, fmt.Sprint(i))
					}
				}
				b.Set(peers(names...))
				lists[b.View().Version] = b.View().Peers
			default:
				i := rapid.IntRange(0, len(views)-1).Draw(t, "vm")
				d, whole := b.Since(views[i].Version)
				if whole != nil {
					views[i] = *whole
				}
				if d != nil {
					delayed = append(delayed, *d)
				}
				if len(delayed) > 0 {
					d := delayed[rapid.IntRange(0, len(delayed)-1).Draw(t, "delta")]
					if next, ok := views[i].ApplyDelta(&d); ok {
						views[i] = next
					}
				}
			}
			for i, v := range views {
				if want := lists[v.Version]; !slices.Equal(v.Peers, want) {
					t.Fatalf("VM %d at version %d: got %v, want %v", i, v.Version, v.Peers, want)
				}
			}
		}
	})
}

// A VM that is one change behind must get one entry, however large the fleet is.
func TestChangeCostsTheSameInALargeFleet(t *testing.T) {
	for _, n := range []int{30, 300, 3600} {
		var names []string
		for i := range n {
			names = append(names, fmt.Sprint(i))
		}
		var b vmlist.History
		b.Start(1, vmlist.View{Peers: peers(names...)})
		seen := b.View().Version
		b.Set(peers(names[1:]...))
		d, whole := b.Since(seen)
		if whole != nil || len(d.Joined) != 0 || len(d.Gone) != 1 {
			t.Errorf("%d VMs: got delta %v (whole view: %v), want a delta with the VM that has left", n, d, whole != nil)
		}
	}
}

func TestCoordinators(t *testing.T) {
	v := vmlist.View{Peers: append(peers("1", "2", "3", "4"), vmlist.Peer{Name: "5", Zone: "other"})}
	two, all := v.Coordinators("z", 2), v.Coordinators("z", 9)
	if len(two) != 2 || len(all) != 4 || two[0] != all[0] || two[1] != all[1] {
		t.Errorf("got %v and %v, want the first two of four VMs and all four", two, all)
	}
	if got := v.Coordinators("none", 2); len(got) != 0 {
		t.Errorf("zone without VMs: got %v, want none", got)
	}
}
