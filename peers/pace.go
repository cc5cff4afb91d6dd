package peers

import "time"

// Pace follows the rounds of heartbeats that this VM sends. A round that begins late
// shows that the process had no processor time, or was frozen, and received nothing
// meanwhile: the silence of its peers in that time says nothing about them. The zero
// value has seen no round.
type Pace struct {
	interval  time.Duration // time between two rounds
	last      time.Time     // when the newest round began
	pause     time.Duration // how much later than due the first round after the newest pause began
	catchUpAt time.Time     // when the calls of that round have been answered or have timed out
}

// lateRounds is the number of intervals after which a round that has not begun shows
// a pause. With fewer, the usual delays of a busy machine would count as pauses.
const lateRounds = 2

// Round notes that a round of heartbeats begins. The next one is due after interval.
func (p *Pace) Round(now time.Time, interval time.Duration) {
	if p.isLate(now) {
		p.pause = now.Sub(p.last) - p.interval
		p.catchUpAt = now.Add(callTimeout)
	}
	p.last, p.interval = now, interval
}

// isLate reports whether the next round is so late that the process must have paused.
func (p Pace) isLate(now time.Time) bool {
	return !p.last.IsZero() && now.Sub(p.last) > lateRounds*p.interval
}

// CatchingUp reports whether this VM has paused and peers may not have answered yet
// since.
func (p Pace) CatchingUp(now time.Time) bool { return p.isLate(now) || now.Before(p.catchUpAt) }

// Silence returns how long a peer has been silent since its last heartbeat. While this
// VM catches up, the pause doesn't count.
func (p Pace) Silence(heartbeatAt, now time.Time) time.Duration {
	d := now.Sub(heartbeatAt)
	switch {
	case now.Before(p.catchUpAt) && heartbeatAt.Before(p.catchUpAt.Add(-callTimeout)):
		return d - p.pause
	case p.isLate(now):
		return d - (now.Sub(p.last) - p.interval)
	}
	return d
}
