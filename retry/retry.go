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
	Answered    Result = iota // the target answered
	NotSent                   // nothing reached a target
	Refused                   // the target certainly did not run it
	Discarded                 // it ran, but a promotion took it back
	NoAnswer                  // sent, and no answer came
	Unconfirmed               // answered, but not known to outlive the primary
)

// Attempt describes an attempt that ended.
type Attempt struct {
	Result          Result
	Read            bool
	Keyed           bool // carries an idempotency key
	PartlyDelivered bool // part of an answer has reached the caller
	Count           int  // attempts so far
	Remaining       time.Duration
}

// Verdict is what to do now.
type Action int

// The verdicts.
const (
	Return Action = iota
	Resend
	ReportNotRun
	ReportUnknown
)

// minLeft is the least time before the deadline that is worth an attempt.
const minLeft = 2 * time.Millisecond

// Decide judges an attempt.
func Decide(a Attempt) Action {
	if a.Result == Answered {
		return Return
	}
	certain := a.Result == NotSent || a.Result == Refused || a.Result == Discarded
	repeatable := certain || (a.Read || a.Keyed) && a.Result != Unconfirmed
	if a.PartlyDelivered {
		repeatable = false
	}
	switch {
	case repeatable && a.Remaining > minLeft:
		return Resend
	case certain && !a.PartlyDelivered:
		return ReportNotRun
	case a.Read && !a.PartlyDelivered:
		return ReportNotRun // a read that is not answered has no effect
	}
	return ReportUnknown
}

// Fate returns the fate that a verdict announces.
func (v Action) Outcome() pollendoor.Fate {
	if v == ReportNotRun {
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
