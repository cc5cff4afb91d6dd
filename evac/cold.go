package evac

import (
	"time"

	"github.com/pollendoor/pollendoor/clock"
)

const (
	// HomeWait is how long a VM that has become the home VM of a cold target waits before
	// it sends to it, and how long after the last proof of the leadership under which it is
	// the home VM a VM may still send. The one before has stopped by then, also if it is
	// cut off.
	HomeWait = 2500 * time.Millisecond
	// coldBurst is the number of requests that a cold target may get at once, as a fraction
	// of those that it may get in a second. One more is always possible.
	coldBurst = 0.1
	// maxDebt is how many requests may be sent in advance, so that a statement that needs
	// several, such as a new connection and the beginning of a transaction, is not starved
	// by those that need one.
	maxDebt = 3
	// controlShare is the part of the tolerance that is left to the leader's control
	// commands: one in a second, on a new connection.
	controlShare = 2
	// unlistedCold is how long a target counts as cold whose service has no duration of a
	// cold start, if its entry does not change.
	unlistedCold = 5 * time.Minute
	// controlPause is the time between two control commands that a VM sends to a cold
	// target. Only the leader sends any; they are within the tolerance of the limit.
	controlPause = time.Second
)

// ColdLimit is the configured limit of requests to the cold targets of a group.
type ColdLimit struct {
	PerS  float64       // requests per second, zero for no limit
	Start time.Duration // how long a target is cold after its start, zero if that is not known
	// Excess is the factor by which PerS may be exceeded in any second, and Margin the
	// number of requests that may come in addition.
	Excess, Margin float64
}

// tolerance returns how many requests beyond PerS may be sent in any second.
func (l *ColdLimit) tolerance() float64 {
	return max(0, (max(1, l.Excess)-1)*l.PerS+l.Margin-controlShare)
}

// debt returns how many requests may be sent in advance.
func (l *ColdLimit) debt() float64 { return max(0, min(maxDebt, l.tolerance()-1)) }

// Duty is what a VM knows of its right to send to a target as its home VM.
type Duty struct {
	Home   bool          // the VM is the target's home VM, as far as it knows
	Proved time.Duration // when the leader that decides on the home VMs has last proved its leadership
}

// Cold limits the requests to one target while it is cold. Only the home VM may send then.
// The zero value is that of a VM that has not been the home VM yet. It is not safe for
// concurrent use.
type Cold struct {
	coldSince time.Duration // when the target's entry was first seen to say that it is cold, zero if it does not
	born      int64         // start of the target's process that coldSince belongs to
	homeSince time.Duration // since when this VM has been the home VM without a break, zero if it is not
	proved    time.Duration // when the leadership was last proved, as of the last update
	tokens    float64
	at        time.Duration // when tokens was computed
	controlAt time.Duration // when the last control command was allowed
}

// Update records the target's entry and whether this VM is the home VM. It has to be called
// whenever one of these may have changed.
func (c *Cold) Update(cold bool, born int64, d Duty, now time.Duration) {
	now = max(now, 1)
	switch {
	case !cold:
		c.coldSince = 0
	case c.coldSince == 0 || born != c.born:
		c.coldSince = now
	}
	c.born = born
	if now >= d.Proved+HomeWait || d.Proved > c.proved+HomeWait {
		c.homeSince = 0 // another VM may have been the home VM meanwhile
	}
	c.proved = d.Proved
	switch {
	case !d.Home || now >= d.Proved+HomeWait:
		c.homeSince = 0
	case c.homeSince == 0:
		c.homeSince = now
	}
}

// Limited reports whether the limit applies now.
func (c *Cold) Limited(l ColdLimit, now time.Duration) bool {
	length := l.Start
	if length == 0 {
		length = unlistedCold
	}
	return l.PerS > 0 && c.coldSince > 0 && now < c.coldSince+length
}

// TakeControl asks for permission for a control command of the leader.
func (c *Cold) TakeControl(l ColdLimit, now time.Duration) bool {
	if c.Limited(l, now) && c.controlAt > 0 && now < c.controlAt+controlPause {
		return false
	}
	c.controlAt = max(1, now)
	return true
}

// Take asks for permission for n requests. If there is none, it returns how long to wait
// before the next attempt, which is only an estimate.
func (c *Cold) Take(n int, l ColdLimit, d Duty, now time.Duration) (time.Duration, bool) {
	if !c.Limited(l, now) {
		return 0, true
	}
	from := c.homeSince + HomeWait
	switch {
	case !d.Home || c.homeSince == 0:
		return HomeWait, false
	case now < from:
		return from - now, false
	case now >= d.Proved+HomeWait:
		return HomeWait, false
	}
	if c.at < from {
		c.at, c.tokens = from, -l.debt() // the home VM before may have sent as much in advance
	}
	if float64(n) > max(1, l.tolerance()) {
		return HomeWait, false // more at once than the limit ever allows
	}
	needed := max(1, float64(n)-l.debt())
	burst := 1 + max(0, min(coldBurst*l.PerS, l.tolerance()-1-l.debt()))
	c.tokens = min(max(burst, needed), c.tokens+l.PerS*(now-c.at).Seconds())
	c.at = now
	if missing := needed - c.tokens; missing > 0 {
		return clock.Seconds(missing/l.PerS) + 1, false // rounded up
	}
	c.tokens -= float64(n)
	return 0, true
}
