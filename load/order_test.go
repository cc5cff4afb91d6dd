package load_test

import (
	"testing"

	"github.com/pollendoor/pollendoor/load"
)

func TestCheckLinearizability(t *testing.T) {
	add := func(start, end int64, outcome string) load.Op {
		return load.Op{Kind: load.Insert, Value: 1, StartUS: start, EndUS: end, Outcome: outcome}
	}
	total := func(start, end, value int64) load.Op {
		return load.Op{Kind: load.PrimaryRead, Value: value, StartUS: start, EndUS: end, Outcome: "ran"}
	}
	tests := []struct {
		name string
		ops  []load.Op
		want string
	}{
		{"operations in order", []load.Op{add(0, 1, "ran"), total(2, 3, 1)}, "ok"},
		{"acknowledged insert is missing", []load.Op{add(0, 1, "ran"), total(2, 3, 0)}, "broken"},
		{"unknown insert is missing", []load.Op{add(0, 1, "unknown"), total(2, 3, 0)}, "ok"},
		{"unknown insert appears later", []load.Op{add(0, 1, "unknown"), total(2, 3, 0), total(4, 5, 1)}, "ok"},
		{"insert was read and disappeared", []load.Op{add(0, 1, "unknown"), total(2, 3, 1), total(4, 5, 0)}, "broken"},
		{"insert reported as not run is present", []load.Op{add(0, 1, "notRun"), total(2, 3, 1)}, "broken"},
		{"insert was applied twice", []load.Op{add(0, 1, "ran"), total(2, 3, 2)}, "broken"},
	}
	for _, tc := range tests {
		if got := load.CheckLinearizability(tc.ops); got != tc.want {
			t.Errorf("%s: got %s, want %s", tc.name, got, tc.want)
		}
	}
}
