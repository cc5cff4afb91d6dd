// Package eject decides when a database of a group is left out because of its own
// answers, for how long, and how it returns; and how many second attempts may be made.
// It does no I/O and reads no clock. docs/design/ejection.md describes the design.
package eject

import (
	"math"
	"time"
)

const (
	// memory is the time constant with which answers lose their weight. At 30 answers
	// a second, a database that fails 40 % is found within half a second.
	memory = 3 * time.Second
	// minFailures is the least number of failures, and maxFailing the part of the answers,
	// from which on a database is ejected. Single resets happen in normal service.
	minFailures = 4
	maxFailing  = 0.2
	// minTime is how long a database is ejected the first time. The time doubles with
	// each repetition, up to maxTime.
	minTime = time.Second
	maxTime = 16 * time.Second
	// jitter is the part of that time by which it varies at random.
	jitter = 0.25
	// forgiveAfter is how long a database must serve without an ejection for the next one
	// to count as the first.
	forgiveAfter = 30 * time.Second
	// trialTime is how long a database that has returned gets an increasing part of the
	// load, and trialFailures the number of failures in that time that eject it again.
	trialTime     = 3 * time.Second
	trialFailures = 2
	// trialRetry is how long a statement's VM avoids a database whose present part of the
	// load is used up.
	trialRetry = 250 * time.Millisecond
)

// Outcome is what an answer says about a database.
type Outcome uint8

// The outcomes.
const (
	Good        Outcome = iota // answered in time
	Error                      // answered with an error; the statement may be the cause
	Shed                       // refused for lack of capacity
	Lost                       // the connection ended without an answer
	Hung                       // not answered before the time limit
	Late                       // answered, but with little time left
	Unreachable                // no connection could be opened
	Neutral                    // says nothing, such as a refusal because of the log's position
	outcomes                   // number of outcomes
)

var outcomeNames = [outcomes]string{"good", "error", "shed", "lost", "hung", "late", "unreachable", "neutral"}

// String returns the name of the outcome as it is logged.
func (o Outcome) String() string { return outcomeNames[min(o, outcomes-1)] }

// Ejection is the decision to leave a database out.
type Ejection struct {
	Reason   Outcome       // the most frequent failure
	Failures float64       // recent failures, weighted by age
	Answers  float64       // recent answers, weighted by age
	For      time.Duration // how long the database is left out
	Round    int           // how often it was ejected in succession, 1 for the first time
}

// Judge judges one database by its answers. The zero value is ready for use. It is not safe
// for concurrent use.
type Judge struct {
	// Random returns a number of [0, 1) for the jitter. Without it there is none.
	Random func() float64

	counts   [outcomes]float64 // recent answers, weighted by age
	lastAt   time.Time
	errors   float64 // part of counts[Error] that counts as failures
	errorsOf string  // team of the last error

	until    time.Time // end of the ejection
	round    int
	returned time.Time // start of the trial after the ejection, zero without one
	admitted float64   // statements admitted in the trial
}

// Ejected returns how much longer the database is ejected, or zero.
func (j *Judge) Ejected(now time.Time) time.Duration { return max(0, j.until.Sub(now)) }

// Answer counts an answer to a statement of a team, and decides whether the database is
// ejected.
func (j *Judge) Answer(o Outcome, team string, now time.Time) (Ejection, bool) {
	if o >= Neutral {
		return Ejection{}, false
	}
	j.advance(now)
	j.counts[o]++
	if o == Error {
		// A statement that always fails must not eject the database: errors count as
		// far as teams alternate.
		if j.errorsOf != "" && j.errorsOf != team {
			j.errors += 2
		}
		j.errorsOf = team
		j.errors = min(j.errors, j.counts[Error])
	}
	if j.Ejected(now) > 0 {
		return Ejection{}, false
	}
	failures, answers, reason := j.sum()
	inTrial := !j.returned.IsZero()
	if !(failures >= minFailures || inTrial && failures >= trialFailures) || failures < maxFailing*answers {
		return Ejection{}, false
	}
	return j.eject(failures, answers, reason, now), true
}

// advance lets earlier answers lose weight, and starts or ends the trial after an
// ejection.
func (j *Judge) advance(now time.Time) {
	keep := math.Exp(-max(0, now.Sub(j.lastAt).Seconds()) / memory.Seconds())
	for i := range j.counts {
		j.counts[i] *= keep
	}
	j.errors *= keep
	j.lastAt = now
	switch {
	case !j.until.IsZero() && !now.Before(j.until):
		j.until, j.returned, j.admitted = time.Time{}, now, 0
		j.counts, j.errors, j.errorsOf = [outcomes]float64{}, 0, ""
	case !j.returned.IsZero() && now.Sub(j.returned) > forgiveAfter:
		j.returned, j.round = time.Time{}, 0
	}
}

// sum returns the recent failures and answers, and the most frequent failure.
func (j *Judge) sum() (failures, answers float64, reason Outcome) {
	most := 0.0
	for o, n := range j.counts {
		answers += n
		if Outcome(o) == Good {
			continue
		}
		if Outcome(o) == Error {
			n = j.errors
		}
		failures += n
		if n > most {
			most, reason = n, Outcome(o)
		}
	}
	return failures, answers, reason
}

// eject ejects the database.
func (j *Judge) eject(failures, answers float64, reason Outcome, now time.Time) Ejection {
	d := min(minTime<<min(j.round, 10), maxTime)
	if j.Random != nil {
		d = time.Duration(float64(d) * (1 + jitter*(2*j.Random()-1)))
	}
	j.round++
	j.until, j.returned = now.Add(d), time.Time{}
	return Ejection{Reason: reason, Failures: failures, Answers: answers, For: d, Round: j.round}
}

// Admit reports whether the database may run a statement that another one can run as well.
// If not, it returns how long the VM that has sent the statement should avoid the
// database. After an ejection the admitted load increases for a while, as all VMs return
// at about the same time.
func (j *Judge) Admit(now time.Time) (avoid time.Duration, ok bool) {
	if left := j.Ejected(now); left > 0 {
		return left, false
	}
	j.advance(now)
	if j.returned.IsZero() {
		return 0, true
	}
	t := now.Sub(j.returned)
	if t >= trialTime {
		return 0, true
	}
	s := t.Seconds()
	if j.admitted >= 1+5*s+20*s*s {
		return trialRetry, false
	}
	j.admitted++
	return 0, true
}
