package retry_test

import (
	"testing"
	"time"

	"github.com/pollendoor/pollendoor/retry"
)

func TestDecide(t *testing.T) {
	left := time.Second
	tests := []struct {
		name string
		a    retry.Attempt
		want retry.Verdict
	}{
		{"answered", retry.Attempt{Result: retry.Done}, retry.Finish},
		{"write never sent", retry.Attempt{Result: retry.NotSent, Left: left}, retry.Again},
		{"write never sent, no time", retry.Attempt{Result: retry.NotSent}, retry.SayNotRun},
		{"write lost", retry.Attempt{Result: retry.Lost, Left: left}, retry.SayUnknown},
		{"write lost, keyed", retry.Attempt{Result: retry.Lost, Keyed: true, Left: left}, retry.Again},
		{"write lost, keyed, no time", retry.Attempt{Result: retry.Lost, Keyed: true}, retry.SayUnknown},
		{"read lost", retry.Attempt{Result: retry.Lost, Read: true, Left: left}, retry.Again},
		{"read lost after rows went out", retry.Attempt{Result: retry.Lost, Read: true, Spilled: true, Left: left}, retry.SayUnknown},
		{"write cut off by a promotion", retry.Attempt{Result: retry.CutOff, Left: left}, retry.Again},
		{"read of what no replica has", retry.Attempt{Result: retry.Unacked, Read: true, Left: left}, retry.SayNotRun},
		{"write not attested in time", retry.Attempt{Result: retry.Unacked, Keyed: true}, retry.SayUnknown},
	}
	for _, tc := range tests {
		if got := retry.Decide(tc.a); got != tc.want {
			t.Errorf("%s: got verdict %d, want %d", tc.name, got, tc.want)
		}
	}
}
