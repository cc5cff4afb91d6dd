// Package adapt learns how many statements one database handles well at the same
// time, and how long one of them takes there. It does no I/O and reads no clock: events
// come in with their times, decisions go out. docs/design/capacity.md describes the
// design and the alternatives.
package adapt

import (
	"math"
	"time"
)

const (
	// memory is the time constant with which measurements lose their weight. Within
	// it, a database with four slots completes a few hundred statements.
	memory = 5 * time.Second
	// pastMemory is the same for what decides whether a lower limit is worth a trial.
	pastMemory = 30 * time.Second
	// forgetAfter is how long a database may be idle before what was learned of it is
	// forgotten.
	forgetAfter = 30 * time.Second
	// minCount is the number of statements completed at the limit without which no
	// other limit is tried: the limit is not what holds statements back.
	minCount = 80
	// fullShare is the part of the time in which the limit must have been reached, for the
	// same reason. A higher limit is tried sooner, as it costs less if it is wrong.
	fullShare  = 0.5
	raiseShare = 0.1
	// fullCount is the number of statements completed at another limit after which it
	// is taken or given up, also if the difference is not significant.
	fullCount = 120
	// earlyCount is the least number of statements after which a significant difference
	// decides. A limit is taken for significance standard deviations and given up for one,
	// as it may be tried again.
	earlyCount   = 12
	significance = 2
	// lowerGain and raiseGain are the relative gains of throughput for which the limit is
	// lowered and raised. A limit that is too low costs more than one that is too high,
	// and a trial without a gain may have been bad luck.
	lowerGain = 0.1
	raiseGain = 0.05
	// maxVariation bounds the squared coefficient of variation of service times that is
	// reckoned with.
	maxVariation = 8
	// maxTrial is how long another limit is tried at most.
	maxTrial = 4 * time.Second
	// blindTrial is the same for a trial after a sign of degradation if the limit itself
	// was not reached before, so that there is nothing to compare with.
	blindTrial = time.Second
	// minPause is the pause between two trials. It doubles with each trial that changes
	// nothing, up to maxPause, and starts anew with one that does.
	minPause = time.Second
	maxPause = 20 * time.Second
	// slowRatio is the factor by which statements must be slower than usual to count as a
	// sign of degradation.
	slowRatio = 2
	// gapFactor bounds the time between two events that is counted, as a multiple of
	// the usual one. Longer gaps are pauses of the database or of this process, which say
	// nothing about one limit against another.
	gapFactor = 8
	// maxKinds bounds the kinds that are told apart. Others count as the kind zero.
	maxKinds = 64
	// maxWeight bounds the length of one kind relative to the average, so that a few
	// long statements do not decide alone.
	maxWeight = 4
	// usualWeight and recentWeight are the weights of one statement in the moving
	// averages of what is usual and of what is recent.
	usualWeight  = 1.0 / 64
	recentWeight = 1.0 / 12
)

// Kind tells statements of different length apart, for example by verb and route.
type Kind uint32

// Outcome is how a statement ended.
type Outcome uint8

// The outcomes of a statement.
const (
	Done     Outcome = iota // answered
	Failed                  // answered with an error
	Refused                 // refused by the database for lack of capacity
	TimedOut                // not answered in time
	Skipped                 // nothing can be concluded, for example because this process was stalled
)

// Reason says why a limit changed.
type Reason string

// The reasons.
const (
	Lowered Reason = "a lower limit completes more"
	Raised  Reason = "a higher limit completes more"
	Reset   Reason = "the database was idle for long"
)

// Change is a change of the limit that a trial has confirmed.
type Change struct {
	From, To int
	Reason   Reason
}

// Limiter learns the limit of concurrent statements of one database. Max must be set
// before use and may be changed by SetMax. It is not safe for concurrent use.
//
// It compares throughputs and not service times: how many statements, weighted by the
// usual length of their kind, the database completes in the time that it runs a given
// number of them. While a limit is reached often, another one is tried for a short
// time, and taken if it completes more. Refusals and slow answers make it try a lower
// one at once.
type Limiter struct {
	Max int // the highest limit

	limit   int       // the limit that applies outside trials; zero stands for Max
	trial   int       // the limit that is tried now, zero for none
	trialAt time.Time // start of the trial
	nextAt  time.Time // when the next trial may start
	pause   time.Duration
	raise   bool // the next trial is of a higher limit
	stride  int  // how much lower the next limit to try is; zero stands for half of the limit

	alarmPause time.Duration // least time between trials that signs of degradation start
	alarmAt    time.Time     // start or end of the last trial since the first sign

	running int
	lastAt  time.Time
	levels  []level // by number of running statements
	past    []level // the same with a longer memory
	usual   map[Kind]*average
	service average // service time of all kinds in seconds
	ratio   average // service time as a multiple of the usual one
	square  average // the square of it
	trials  int
}

// level is what was measured while a number of statements ran.
type level struct {
	count float64 // statements completed
	work  float64 // the same, weighted by the usual length of their kind
	time  float64 // seconds
}

// rate returns the throughput of the level.
func (v level) rate() float64 { return v.work / v.time }

// average is a moving average that starts as the mean of the first values.
type average struct {
	value float64
	n     float64
}

// add adds a value of which the average takes the given part, more for the first ones.
func (a *average) add(x, weight float64) {
	a.n++
	a.value += (x - a.value) * max(weight, 1/a.n)
}

// Limit returns how many statements may run at the same time.
func (l *Limiter) Limit() int {
	if l.trial > 0 {
		return l.trial
	}
	return l.Settled()
}

// Settled returns the limit that applies outside trials.
func (l *Limiter) Settled() int {
	if l.limit == 0 {
		return max(1, l.Max)
	}
	return l.limit
}

// Trials returns how many other limits have been tried.
func (l *Limiter) Trials() int { return l.trials }

// Service returns how long a statement takes at present, or zero if none was measured.
func (l *Limiter) Service() time.Duration {
	return time.Duration(l.service.value * float64(time.Second))
}

// SetMax changes the highest limit. A limit that had not been lowered stays the highest.
func (l *Limiter) SetMax(n int) {
	if n == l.Max {
		return
	}
	l.Max = n
	l.trial = 0
	if l.limit >= n {
		l.limit = 0
	}
	l.levels = nil
}

// Start counts a statement that is sent to the database.
func (l *Limiter) Start(now time.Time) (Change, bool) {
	var c Change
	forgotten := l.running == 0 && !l.lastAt.IsZero() && now.Sub(l.lastAt) > forgetAfter
	if forgotten {
		c = Change{From: l.Settled(), To: max(1, l.Max), Reason: Reset}
		*l = Limiter{Max: l.Max, trials: l.trials}
	}
	l.advance(now)
	l.running++
	return c, forgotten && c.From != c.To
}

// Finish counts a statement that ended after serviceTime, and decides on the limit. It
// reports a change of the limit that applies outside trials.
func (l *Limiter) Finish(k Kind, serviceTime time.Duration, o Outcome, now time.Time) (Change, bool) {
	l.advance(now)
	v := &l.levels[min(l.running, len(l.levels)-1)]
	l.running = max(0, l.running-1)
	switch o {
	case Done:
		usual := l.kind(k)
		s := max(serviceTime, time.Microsecond).Seconds()
		if usual.n > 0 {
			l.ratio.add(s/usual.value, recentWeight)
			l.square.add(math.Pow(s/usual.value, 2), usualWeight)
		}
		usual.add(s, usualWeight)
		l.service.add(s, recentWeight)
		work := min(max(usual.value/l.service.value, 1.0/maxWeight), maxWeight)
		v.count, v.work = v.count+1, v.work+work
		w := &l.past[min(l.running+1, len(l.levels)-1)]
		w.count, w.work = w.count+1, w.work+work
		if l.ratio.n > minCount && l.ratio.value > slowRatio {
			l.alarm(now)
		}
	case Refused, TimedOut:
		l.alarm(now)
	case Failed, Skipped:
	}
	return l.decide(now)
}

// kind returns the average of a kind's service time.
func (l *Limiter) kind(k Kind) *average {
	if l.usual == nil {
		l.usual = make(map[Kind]*average)
	}
	a, ok := l.usual[k]
	if !ok && len(l.usual) >= maxKinds {
		k = 0
		a, ok = l.usual[k]
	}
	if !ok {
		a = &average{}
		l.usual[k] = a
	}
	return a
}

// advance accounts for the time since the last event.
func (l *Limiter) advance(now time.Time) {
	if len(l.levels) == 0 {
		l.levels, l.past = make([]level, max(1, l.Max)+2), make([]level, max(1, l.Max)+2)
	}
	if l.lastAt.IsZero() {
		l.lastAt = now
		return
	}
	passed := max(0, now.Sub(l.lastAt).Seconds())
	l.lastAt = now
	keep, keepPast := math.Exp(-passed/memory.Seconds()), math.Exp(-passed/pastMemory.Seconds())
	for i := range l.levels {
		v := &l.levels[i]
		v.count, v.work, v.time = v.count*keep, v.work*keep, v.time*keep
		v = &l.past[i]
		v.count, v.work, v.time = v.count*keepPast, v.work*keepPast, v.time*keepPast
	}
	if l.running > 0 && l.service.n > 0 {
		i := min(l.running, len(l.levels)-1)
		counted := min(passed, gapFactor*l.service.value/float64(l.running))
		l.levels[i].time += counted
		l.past[i].time += counted
	}
}

// alarm lets a lower limit be tried at once after a sign of degradation. Signs that no
// lower limit has cured start trials ever less often.
func (l *Limiter) alarm(now time.Time) {
	if now.Sub(l.alarmAt) > 2*maxPause {
		l.alarmPause = minPause
	}
	if l.trial > 0 || l.Settled() == 1 || now.Sub(l.alarmAt) < l.alarmPause {
		return
	}
	l.alarmAt, l.alarmPause = now, min(2*l.alarmPause, maxPause)
	l.startTrial(false, now)
}

// decide starts, continues or ends a trial.
func (l *Limiter) decide(now time.Time) (Change, bool) {
	limit := l.Settled()
	base := l.levels[limit]
	if l.trial == 0 {
		higher := l.raise && limit < l.Max || limit == 1
		share := fullShare
		if higher {
			share = raiseShare
		}
		if base.count >= minCount && base.time >= share*memory.Seconds() && !now.Before(l.nextAt) {
			l.startTrial(higher, now)
		}
		return Change{}, false
	}
	tried := l.levels[l.trial]
	bound := lowerGain
	if l.trial > limit {
		bound = raiseGain
	}
	gain := math.Log(tried.rate() / base.rate())
	// The number of statements that end in a given time varies with the square of the
	// coefficient of variation of their service time, which is one for exponential times.
	deviation := math.Sqrt(min(max(l.square.value-1, 1), maxVariation) * (1/tried.count + 1/base.count))
	enough := tried.count >= earlyCount
	most := maxTrial
	if base.count < earlyCount {
		most = blindTrial
	}
	full := tried.count >= fullCount || now.Sub(l.trialAt) > most
	switch {
	case enough && gain-significance*deviation > bound, enough && full && gain-deviation > bound:
		c := Change{From: limit, To: l.trial, Reason: Lowered}
		if l.trial > limit {
			c.Reason = Raised
		}
		l.limit, l.stride = l.trial, max(1, l.stride/2)
		l.endTrial(minPause/4, now)
		return c, true
	case enough && gain+deviation < bound, full:
		l.rejectTrial(now)
	}
	return Change{}, false
}

// startTrial starts to try a higher limit or a lower one.
func (l *Limiter) startTrial(higher bool, now time.Time) {
	limit := l.Settled()
	l.trial = l.lower()
	if higher {
		l.trial = min(limit+1, max(1, l.Max))
	}
	if l.trial == limit {
		l.rejectTrial(now)
		return
	}
	l.trials++
	l.trialAt = now
	l.levels[l.trial] = level{}
}

// lower returns the lower limit to try: half of the limit at first, as a large
// difference shows after few statements, then ever closer ones. It returns the limit
// itself if that many statements have completed less while the load was lower.
func (l *Limiter) lower() int {
	limit := l.Settled()
	if l.stride == 0 {
		l.stride = max(1, limit/2)
	}
	n := max(1, limit-l.stride)
	if v := l.past[n]; v.count >= earlyCount && v.rate() < l.past[limit].rate() {
		return limit
	}
	return n
}

// rejectTrial ends a trial that changes nothing. The next one is of a limit that is
// closer, or in the other direction.
func (l *Limiter) rejectTrial(now time.Time) {
	if !l.raise {
		l.stride /= 2 // zero starts anew with half of the limit
	}
	l.raise = !l.raise && l.Settled() < l.Max
	l.endTrial(min(2*max(l.pause, minPause), maxPause), now)
}

// endTrial ends the trial. The next one may start after a pause.
func (l *Limiter) endTrial(pause time.Duration, now time.Time) {
	l.trial, l.pause, l.nextAt = 0, pause, now.Add(pause)
	if !l.alarmAt.IsZero() {
		l.alarmAt = now // the pause between trials that signs start counts from here
	}
}
