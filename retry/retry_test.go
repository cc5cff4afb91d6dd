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
		want retry.Action
	}{
		{"answered", retry.Attempt{Result: retry.Answered}, retry.Return},
		{"write never sent", retry.Attempt{Result: retry.NotSent, Remaining: left}, retry.Resend},
		{"write never sent, no time", retry.Attempt{Result: retry.NotSent}, retry.ReportNotRun},
		{"write lost", retry.Attempt{Result: retry.NoAnswer, Remaining: left}, retry.ReportUnknown},
		{"write lost, keyed", retry.Attempt{Result: retry.NoAnswer, Keyed: true, Remaining: left}, retry.Resend},
		{"write lost, keyed, no time", retry.Attempt{Result: retry.NoAnswer, Keyed: true}, retry.ReportUnknown},
		{"read lost", retry.Attempt{Result: retry.NoAnswer, Read: true, Remaining: left}, retry.Resend},
		{"read lost after rows went out", retry.Attempt{Result: retry.NoAnswer, Read: true, PartlyDelivered: true, Remaining: left}, retry.ReportUnknown},
		{"write cut off by a promotion", retry.Attempt{Result: retry.Discarded, Remaining: left}, retry.Resend},
		{"read of what no replica has", retry.Attempt{Result: retry.Unconfirmed, Read: true, Remaining: left}, retry.ReportNotRun},
		{"write not attested in time", retry.Attempt{Result: retry.Unconfirmed, Keyed: true}, retry.ReportUnknown},
	}
	for _, tc := range tests {
		if got := retry.Decide(tc.a); got != tc.want {
			t.Errorf("%s: got verdict %d, want %d", tc.name, got, tc.want)
		}
	}
}
