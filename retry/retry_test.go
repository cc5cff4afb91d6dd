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
		{"write not sent", retry.Attempt{Result: retry.NotSent, Remaining: left}, retry.Resend},
		{"write not sent, no time left", retry.Attempt{Result: retry.NotSent}, retry.ReportNotRun},
		{"write without an answer", retry.Attempt{Result: retry.NoAnswer, Remaining: left}, retry.ReportUnknown},
		{"write without an answer, with key", retry.Attempt{Result: retry.NoAnswer, Keyed: true, Remaining: left}, retry.Resend},
		{"write without an answer, with key, no time left", retry.Attempt{Result: retry.NoAnswer, Keyed: true}, retry.ReportUnknown},
		{"read without an answer", retry.Attempt{Result: retry.NoAnswer, Read: true, Remaining: left}, retry.Resend},
		{"read without an answer after rows were delivered", retry.Attempt{Result: retry.NoAnswer, Read: true, PartlyDelivered: true, Remaining: left}, retry.ReportUnknown},
		{"write discarded by a failover", retry.Attempt{Result: retry.Discarded, Remaining: left}, retry.Resend},
		{"read of data that no replica has confirmed", retry.Attempt{Result: retry.Unconfirmed, Read: true, Remaining: left}, retry.ReportNotRun},
		{"write not confirmed in time", retry.Attempt{Result: retry.Unconfirmed, Keyed: true}, retry.ReportUnknown},
	}
	for _, tc := range tests {
		if got := retry.Decide(tc.a); got != tc.want {
			t.Errorf("%s: got action %d, want %d", tc.name, got, tc.want)
		}
	}
}
