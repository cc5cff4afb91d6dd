package clock_test

import (
	"math"
	"testing"
	"time"

	"github.com/pollendoor/pollendoor/clock"
)

func TestSeconds(t *testing.T) {
	for _, tc := range []struct {
		s    float64
		want time.Duration
	}{
		{0, 0},
		{1.5, 1500 * time.Millisecond},
		{-0.25, -250 * time.Millisecond},
		{1e30, clock.Longest},
		{math.Inf(1), clock.Longest},
		{-1e30, -clock.Longest},
		{math.Inf(-1), -clock.Longest},
		{math.NaN(), 0},
	} {
		if got := clock.Seconds(tc.s); got != tc.want {
			t.Errorf("%v s: got %v, want %v", tc.s, got, tc.want)
		}
	}
	if clock.Longest+clock.Longest < 0 {
		t.Error("got an overflow of the sum of two longest durations, want none")
	}
}
