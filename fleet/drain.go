package fleet

import (
	"math"
	"time"

	"github.com/pollendoor/pollendoor/clock"
)

const (
	// drainMargin is the end of a draining target's time in which it gets no more work. It
	// covers statements on their way and the delay of the target's entry.
	drainMargin = 500 * time.Millisecond
	// drainLead is how long before the end of a draining primary's time its use ends at the
	// latest, so that replicas receive the rest of its log.
	drainLead = 2500 * time.Millisecond
)

// drainLeft returns how much longer a draining target may get work. It is negative once its
// time is over.
func (v *VM) drainLeft(id string) time.Duration {
	if v.Settings.DrainMs <= 0 {
		return math.MaxInt64
	}
	return clock.Seconds(v.Settings.DrainMs/1000) - v.targets.Draining(id, time.Now())
}

// assumedDrain returns how long a target has been about to leave that was so when this VM
// started: the end of its time may be near, but its replacement may still be ahead.
func (v *VM) assumedDrain() time.Duration {
	return max(0, clock.Seconds(v.Settings.DrainMs/1000)-drainLead)
}

// drainEnds reports whether the use of a primary has to end now because it is about to leave.
func (v *VM) drainEnds(primary string) bool {
	t, ok := v.targets.Get(primary)
	return ok && t.Draining && v.drainLeft(primary) <= drainLead
}
