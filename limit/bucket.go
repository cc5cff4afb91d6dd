package limit

import (
	"math"
	"time"
)

// Whole is a team's allowance over all VMs, in units.
const Whole = 1 << 20

// MaxWait is the longest that a statement waits for its token instead of being
// refused.
const MaxWait = 150 * time.Millisecond

// account is one team's share at one VM.
type account struct {
	units  uint64
	tokens float64 // may be negative by what waiting statements have taken ahead
	filled time.Time

	rate  float64 // of the team
	burst float64 // of the team

	asked  float64   // statements asked for since counted
	demand float64   // moving average of statements asked for a second
	count  time.Time // when demand was last counted
}

func (a *account) share() float64 { return float64(a.units) / Whole }

// fill adds the tokens that have accrued.
func (a *account) fill(now time.Time) {
	if a.filled.IsZero() {
		a.filled = now
	}
	if d := now.Sub(a.filled).Seconds(); d > 0 {
		a.tokens += d * a.rate * a.share()
		a.filled = now
	}
	a.tokens = math.Min(a.tokens, a.burst*a.share())
}

// take takes n tokens and returns how long to wait before they are there. It
// reports false, with nothing taken, if that is longer than limit.
func (a *account) take(n float64, limit time.Duration, now time.Time) (time.Duration, bool) {
	a.fill(now)
	a.asked += n
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
	if wait > limit {
		return 0, false
	}
	a.tokens -= n
	return wait, true
}

// demandTime is the time constant of the moving average of demand.
const demandTime = 600 * time.Millisecond

// measure updates the average of what is asked for.
func (a *account) measure(now time.Time) {
	if a.count.IsZero() {
		a.count = now
		return
	}
	d := now.Sub(a.count)
	if d < 10*time.Millisecond {
		return
	}
	rate := a.asked / d.Seconds()
	k := 1 - math.Exp(-d.Seconds()/demandTime.Seconds())
	a.demand += (rate - a.demand) * k
	a.asked, a.count = 0, now
}
