package broker

import (
	"math"
	"time"
)

// meterTime is the time constant of a meter. It covers several bursts of callers, and
// is short beside a fault or a day's change of load.
const meterTime = 2 * time.Second

// meter measures how many slots a kind of statements uses, as a moving average.
type meter struct {
	sum float64 // slot time in seconds, decayed up to at
	at  time.Time
}

// add adds the slot time of a statement that has ended.
func (m *meter) add(d time.Duration, now time.Time) {
	m.sum, m.at = m.decayed(now)+d.Seconds(), now
}

// decayed returns the sum as of now.
func (m *meter) decayed(now time.Time) float64 {
	if m.sum == 0 {
		return 0
	}
	return m.sum * math.Exp(-max(0, now.Sub(m.at).Seconds())/meterTime.Seconds())
}

// slots returns the number of slots in use.
func (m *meter) slots(now time.Time) float64 { return m.decayed(now) / meterTime.Seconds() }
