package lease_test

import (
	"fmt"
	"reflect"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"github.com/pollendoor/pollendoor/lease"
)

// Deltas are lost, duplicated and reordered. A VM's record must always be one
// that the leader has written under that version.
func TestStepsLeadToWrittenRecords(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		record := (&lease.Record{}).Claim("0", "addr")
		written := map[uint64]lease.Record{record.Version: record}
		var h lease.History
		h.Add(record)
		vms := []lease.Record{record, record, record}
		var delayed []lease.Delta
		for range rapid.IntRange(1, 120).Draw(t, "steps") {
			switch rapid.IntRange(0, 7).Draw(t, "step") {
			case 7:
				record = record.WithKeepers([]string{fmt.Sprint(rapid.IntRange(0, 5).Draw(t, "keeper"))})
			case 6:
				// Another VM takes leadership over, with the record that it has
				// read.
				record = record.Claim(fmt.Sprint(rapid.IntRange(0, 5).Draw(t, "holder")), "addr")
				h = lease.History{}
				h.Add(written[record.Version-1])
			case 0:
				g := lease.Group{Epoch: rapid.Uint64Range(1, 9).Draw(t, "epoch"), Primary: "p"}
				record = record.WithGroup(fmt.Sprint("g", rapid.IntRange(0, 3).Draw(t, "group")), g)
			case 1:
				var list []string
				for i := range 6 {
					if rapid.Bool().Draw(t, "member") {
						list = append(list, fmt.Sprint(i))
					}
				}
				if rapid.IntRange(0, 4).Draw(t, "reorder") == 0 {
					slices.Reverse(list)
				}
				record = record.WithMembers(list, rapid.Bool().Draw(t, "keep"))
			default:
				i := rapid.IntRange(0, len(vms)-1).Draw(t, "vm")
				if s := h.Since(vms[i].RecordVersion()); s != nil {
					delayed = append(delayed, *s)
				}
				if len(delayed) == 0 {
					continue
				}
				s := delayed[rapid.IntRange(0, len(delayed)-1).Draw(t, "late")]
				if n, ok := vms[i].ApplyDelta(&s); ok {
					vms[i] = n
				}
			}
			written[record.Version] = record
			h.Add(record)
			for i, r := range vms {
				if want := written[r.Version]; !same(r, want) {
					t.Fatalf("VM %d: got %+v, want %+v", i, r, want)
				}
			}
		}
	})
}

func same(a, b lease.Record) bool {
	return a.RecordVersion() == b.RecordVersion() && a.Leader == b.Leader && a.Settled == b.Settled &&
		slices.Equal(a.Members, b.Members) && slices.Equal(a.Keepers, b.Keepers) && slices.Equal(a.Evicted, b.Evicted) &&
		(len(a.Groups) == 0 && len(b.Groups) == 0 || reflect.DeepEqual(a.Groups, b.Groups))
}

// A primary is replaced in a fleet of 3,600 VMs and 16,000 groups: each VM must
// be sent just one group.
func TestDeltaHoldsOnlyChanges(t *testing.T) {
	var members []string
	groups := make(map[string]lease.Group)
	for i := range 16000 {
		groups[fmt.Sprint("g", i)] = lease.Group{Epoch: 1}
		if i < 3600 {
			members = append(members, fmt.Sprint("vm", i))
		}
	}
	first := (&lease.Record{}).Claim("vm0", "addr")
	first = first.WithMembers(members, false)
	first = first.WithGroups(groups)
	next := first.WithGroup("g7", first.Groups["g7"].Move(false))
	s, ok := lease.NewDelta(&first, &next)
	if !ok || len(s.Groups) != 1 || len(s.Added)+len(s.Removed) != 0 {
		t.Errorf("got %d groups and %d members, want one group", len(s.Groups), len(s.Added)+len(s.Removed))
	}
}
