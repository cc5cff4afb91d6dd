package limit

import (
	"math"
	"time"

	"github.com/pollendoor/pollendoor/clock"
)

// TotalUnits is the number of units that a team's allowance over all VMs is divided
// into.
const TotalUnits = 1 << 20

// MaxWait is the longest time that a statement waits for tokens before it is
// refused.
const MaxWait = 150 * time.Millisecond

// account is the token bucket of one team on one VM.
type account struct {
	units      uint64    // units of the team that the VM holds
	tokens     float64   // negative while admitted statements still wait for their tokens
	refilledAt time.Time // time up to which tokens have been added

	rate  float64 // of the whole team, statements per second
	burst float64 // of the whole team, statements

	requested  float64   // statements requested since measuredAt
	demand     float64   // moving average of requested statements per second
	measuredAt time.Time // time of the last update of demand
}

// share returns the fraction of the team's allowance that the VM holds, 0 to 1.
func (a *account) share() float64 { return float64(a.units) / TotalUnits }

// refill adds the tokens accrued since refilledAt, up to the account's part of the
// burst.
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

// take takes n tokens and returns how long the caller must wait until they have
// accrued. It takes nothing and returns false if the wait would exceed maxWait.
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
	wait := clock.Seconds(missing / rate)
	if wait > maxWait {
		return 0, false
	}
	a.tokens -= n
	return wait, true
}

// demandTimeConstant is the time constant of the moving average of demand.
const demandTimeConstant = 600 * time.Millisecond

// updateDemand updates the moving average of requested statements per second. It
// does nothing if the last update is less than 10 ms ago.
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
