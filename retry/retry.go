// Package retry decides whether a statement may be sent again. A statement is
// retried only if it certainly did not run, if it is a read, or if it carries an
// idempotency key. The decision depends on its arguments only.
package retry

import (
	"math/rand/v2"
	"time"

	"github.com/pollendoor/pollendoor"
)

// Result is the way in which one attempt ended.
type Result int

// The results of an attempt.
const (
	Answered    Result = iota // the target answered
	NotSent                   // nothing reached a target
	Refused                   // the target certainly did not run it
	Discarded                 // it ran, but a failover discarded its effect
	NoAnswer                  // sent, but no answer was received
	Unconfirmed               // answered, but not confirmed to survive the loss of the primary
)

// Attempt describes an attempt that ended.
type Attempt struct {
	Result          Result
	Read            bool          // the statement is a read
	Keyed           bool          // the statement carries an idempotency key
	PartlyDelivered bool          // part of an answer was already delivered to the caller
	Count           int           // number of attempts so far
	Remaining       time.Duration // time until the statement's deadline
}

// Action is the next step after an attempt.
type Action int

// The actions.
const (
	Return        Action = iota // return the answer
	Resend                      // send the statement again
	ReportNotRun                // report that the statement did not run
	ReportUnknown               // report that the outcome is unknown
)

// minRemaining is the least time before the deadline for which another attempt is made.
const minRemaining = 2 * time.Millisecond

// Decide returns the action that follows an attempt.
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
	case repeatable && a.Remaining > minRemaining:
		return Resend
	case certain && !a.PartlyDelivered:
		return ReportNotRun
	case a.Read && !a.PartlyDelivered:
		return ReportNotRun // an unanswered read has no effect
	}
	return ReportUnknown
}

// Outcome returns the outcome that is reported to the caller for ReportNotRun or
// ReportUnknown.
func (a Action) Outcome() pollendoor.Outcome {
	if a == ReportNotRun {
		return pollendoor.NotRun
	}
	return pollendoor.Unknown
}

// Bounds of the wait that Backoff returns: minBackoff is its least value, and
// maxBackoff bounds the jitter added to it.
const (
	minBackoff = 2 * time.Millisecond
	maxBackoff = 80 * time.Millisecond
)

// Backoff returns the wait before the attempt that follows attempt number count.
// The wait is minBackoff plus full jitter up to a limit that grows exponentially.
func Backoff(count int) time.Duration {
	limit := minBackoff << min(count, 6)
	limit = min(limit, maxBackoff)
	return minBackoff + rand.N(limit)
}
