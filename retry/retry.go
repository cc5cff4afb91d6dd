// Package retry decides whether a statement may be sent once more. A statement
// is repeated only if it certainly did not run, if it is a read, or if it
// carries an idempotency key; the decision is pure.
package retry

import (
	"math/rand/v2"
	"time"

	"github.com/pollendoor/pollendoor"
)

// Result is how one attempt ended.
type Result int

// The results of an attempt.
const (
	Done    Result = iota // the target answered
	NotSent               // nothing reached a target
	Refused               // the target certainly did not run it
	CutOff                // it ran, but a promotion took it back
	Lost                  // sent, and no answer came
	Unacked               // answered, but not known to outlive the primary
)

// Attempt describes an attempt that ended.
type Attempt struct {
	Result  Result
	Read    bool
	Keyed   bool // carries an idempotency key
	Spilled bool // part of an answer has reached the caller
	Count   int  // attempts so far
	Left    time.Duration
}

// Verdict is what to do now.
type Verdict int

// The verdicts.
const (
	Finish Verdict = iota
	Again
	SayNotRun
	SayUnknown
)

// minLeft is the least time before the deadline that is worth an attempt.
const minLeft = 2 * time.Millisecond

// Decide judges an attempt.
func Decide(a Attempt) Verdict {
	if a.Result == Done {
		return Finish
	}
	certain := a.Result == NotSent || a.Result == Refused || a.Result == CutOff
	repeatable := certain || (a.Read || a.Keyed) && a.Result != Unacked
	if a.Spilled {
		repeatable = false
	}
	switch {
	case repeatable && a.Left > minLeft:
		return Again
	case certain && !a.Spilled:
		return SayNotRun
	case a.Read && !a.Spilled:
		return SayNotRun // a read that is not answered has no effect
	}
	return SayUnknown
}

// Fate returns the fate that a verdict announces.
func (v Verdict) Fate() pollendoor.Fate {
	if v == SayNotRun {
		return pollendoor.NotRun
	}
	return pollendoor.Unknown
}

// The bounds of Backoff.
const (
	backoffLeast = 2 * time.Millisecond
	backoffMost  = 80 * time.Millisecond
)

// Backoff returns how long to wait before the attempt after count, with full
// jitter above the least wait.
func Backoff(count int) time.Duration {
	limit := backoffLeast << min(count, 6)
	limit = min(limit, backoffMost)
	return backoffLeast + rand.N(limit)
}
