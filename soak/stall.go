package soak

import (
	"context"
	"sync/atomic"
	"time"
)

const (
	// stallProbe is how often the run checks whether its machine stands still.
	stallProbe = 20 * time.Millisecond
	// maxStall is the longest stall beside which a planned stop is still judged. A longer
	// one freezes all VMs, which the rules count as an unplanned disruption.
	maxStall = 300 * time.Millisecond
	// maxPlaceStall is the longest stall beside which it is judged when requests reached
	// targets. It is well within the tolerances of these checks.
	maxPlaceStall = 500 * time.Millisecond
)

// stalls records how long the machine stood still, as far as this process noticed.
type stalls struct{ longest atomic.Int64 }

// watch measures until ctx ends.
func (s *stalls) watch(ctx context.Context) {
	for last := time.Now(); ctx.Err() == nil; {
		time.Sleep(stallProbe)
		now := time.Now()
		if late := now.Sub(last) - stallProbe; int64(late) > s.longest.Load() {
			s.longest.Store(int64(late))
		}
		last = now
	}
}

// isLong reports whether a stall was too long to judge times.
func (s *stalls) isLong() bool { return time.Duration(s.longest.Load()) > maxStall }
