package limit

import (
	"math"
	"time"
)

// TotalUnits is a team's allowance over all VMs, in units.
const TotalUnits = 1 << 20

// MaxWait is the longest that a statement waits for its token instead of being
// refused.
const MaxWait = 150 * time.Millisecond

// account is one team's share at one VM.
type account struct {
	units      uint64
	tokens     float64 // may be negative by what waiting statements have taken ahead
	refilledAt time.Time

	rate  float64 // of the team
	burst float64 // of the team

	requested  float64   // statements asked for since counted
	demand     float64   // moving average of statements asked for a second
	measuredAt time.Time // when demand was last counted
}

func (a *account) share() float64 { return float64(a.units) / TotalUnits }

// fill adds the tokens that have accrued.
func (a *account) refill(now time.Time) {
	if a.refilledAt.IsZero() {
		a.refilledAt = now
	}
	if d := now.Sub(a.refilledAt).Seconds(); d > 0 {
		a.tokens += d * a.rate * a.share()
		a.refilledAt = now
	}
	a.tokens = math.Min(a.tokens, a.burst*a.share())
}

// take takes n tokens and returns how long to wait before they are there. It
// reports false, with nothing taken, if that is longer than limit.
func (a *account) take(n float64, maxWait time.Duration, now time.Time) (time.Duration, bool) {
	a.refill(now)
	a.requested += n
	missing := n - a.tokens
	if missing <= 0 {
		a.tokens -= n
		return 0, true
	}
	rate := a.rate * a.share()
	if rate <= 0 {
		return 0, false
	}
	wait := time.Duration(missing / rate * float64(time.Second))
	if wait > maxWait {
		return 0, false
	}
	a.tokens -= n
	return wait, true
}

// demandTime is the time constant of the moving average of demand.
const demandTimeConstant = 600 * time.Millisecond

// measure updates the average of what is asked for.
func (a *account) updateDemand(now time.Time) {
	if a.measuredAt.IsZero() {
		a.measuredAt = now
		return
	}
	d := now.Sub(a.measuredAt)
	if d < 10*time.Millisecond {
		return
	}
	rate := a.requested / d.Seconds()
	k := 1 - math.Exp(-d.Seconds()/demandTimeConstant.Seconds())
	a.demand += (rate - a.demand) * k
	a.requested, a.measuredAt = 0, now
}
