package load_test

import (
	"testing"

	"github.com/pollendoor/pollendoor/load"
)

func TestOrder(t *testing.T) {
	add := func(start, end int64, outcome string) load.Op {
		return load.Op{Kind: load.Add, Value: 1, StartUS: start, EndUS: end, Outcome: outcome}
	}
	total := func(start, end, value int64) load.Op {
		return load.Op{Kind: load.Total, Value: value, StartUS: start, EndUS: end, Outcome: "ran"}
	}
	tests := []struct {
		name string
		ops  []load.Op
		want string
	}{
		{"in order", []load.Op{add(0, 1, "ran"), total(2, 3, 1)}, "ok"},
		{"acknowledged and missing", []load.Op{add(0, 1, "ran"), total(2, 3, 0)}, "broken"},
		{"unknown and missing", []load.Op{add(0, 1, "unknown"), total(2, 3, 0)}, "ok"},
		{"unknown and there later", []load.Op{add(0, 1, "unknown"), total(2, 3, 0), total(4, 5, 1)}, "ok"},
		{"seen and gone again", []load.Op{add(0, 1, "unknown"), total(2, 3, 1), total(4, 5, 0)}, "broken"},
		{"not run and there", []load.Op{add(0, 1, "notRun"), total(2, 3, 1)}, "broken"},
		{"doubled", []load.Op{add(0, 1, "ran"), total(2, 3, 2)}, "broken"},
	}
	for _, tc := range tests {
		if got := load.Order(tc.ops); got != tc.want {
			t.Errorf("%s: got %s, want %s", tc.name, got, tc.want)
		}
	}
}
