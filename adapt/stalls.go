package adapt

import "time"

// stallAfter is how much later than due a periodic call is that counts as a stall of the
// process. Machines with a fraction of a core are kept waiting for up to 100 ms at any time.
const stallAfter = 150 * time.Millisecond

// Stalls detects times in which this process did not run: a call that is due every Period
// came late. It is not safe for concurrent use.
type Stalls struct {
	Period time.Duration

	last    time.Time // last call of Tick
	stalled time.Time // end of the last stall
}

// Tick is called every Period.
func (s *Stalls) Tick(now time.Time) {
	if s.late(now) {
		s.stalled = now
	}
	s.last = now
}

// late reports whether Tick is overdue.
func (s *Stalls) late(now time.Time) bool {
	return !s.last.IsZero() && now.Sub(s.last) > s.Period+stallAfter
}

// Since reports whether the process was stalled at some time between from and now. A
// stall counts also if Tick has not been called since.
func (s *Stalls) Since(from, now time.Time) bool {
	return s.late(now) || s.stalled.After(from)
}
