package clock

import "time"

// Pauses sums up the pauses of this process: times in which it had no processor time or
// was frozen, which show in ticks that come late. What it heard from others meanwhile
// waits to be read, so their silence in a pause says nothing about them. The zero value
// with a Period has seen no tick.
type Pauses struct {
	Period time.Duration // time between two ticks

	last  time.Duration // when the last tick came
	total time.Duration // pauses before it
}

// minPause is how late a tick has to be to show a pause. The usual delays of a busy
// machine are shorter.
const minPause = 100 * time.Millisecond

// Tick notes that a tick has come. It returns the length of the pause that it ends, zero
// for none.
func (p *Pauses) Tick(now time.Duration) time.Duration {
	before := p.total
	p.total, p.last = p.Total(now), now
	return p.total - before
}

// Total returns the sum of all pauses, including one that has not ended with a tick.
func (p *Pauses) Total(now time.Duration) time.Duration {
	if late := now - p.last - p.Period; p.last > 0 && late > minPause {
		return p.total + late
	}
	return p.total
}
