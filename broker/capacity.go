package broker

import (
	"time"

	"github.com/pollendoor/pollendoor"
	"github.com/pollendoor/pollendoor/adapt"
	"github.com/pollendoor/pollendoor/eject"
)

// capacity limits the statements at the target to what the target has been found to
// handle well, and judges the target by its answers. The zero value allows all slots.
type capacity struct {
	limiter *adapt.Limiter // nil unless the limit is learned
	judge   *eject.Judge   // nil unless the target is judged by its answers
	slots   int            // configured slots
	conns   int            // configured connections
	applied int            // slots that the scheduler has
	changes []adapt.Change // changes that were not reported yet
}

// Kinds of statements whose service times are compared with each other. The priority of
// the route is added to them, as routes differ in the length of their statements.
const (
	kindRead = iota
	kindWrite
	kindCommit
	kindBegin
	kindOpen // opening a connection
	kinds    // number of kinds
)

// kindOf returns the kind of a statement.
func kindOf(w *pollendoor.Work) adapt.Kind {
	k := kindRead
	switch {
	case w.Commit:
		k = kindCommit
	case w.Open != pollendoor.OpenNone:
		k = kindBegin
	case w.Write:
		k = kindWrite
	}
	return adapt.Kind(k + kinds*max(0, w.Priority))
}

// outcomeOf returns what an answer of the target says about its capacity.
func outcomeOf(r *pollendoor.Reply, serviceTime, timeout time.Duration) adapt.Outcome {
	switch {
	case r.OK():
		return adapt.Done
	case r.Code == pollendoor.ErrBusy:
		return adapt.Refused
	case r.Code == pollendoor.ErrTimeout, r.Lost && serviceTime >= timeout:
		return adapt.TimedOut
	}
	return adapt.Failed
}

// Adapt sets whether the number of statements that run at the same time is learned, and
// whether the target is ejected for its answers. What was learned is forgotten when it is
// switched off.
func (b *Broker) Adapt(on bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if on == (b.capacity.limiter != nil) {
		return
	}
	b.capacity.limiter, b.capacity.judge = nil, nil
	if on {
		b.capacity.limiter, b.capacity.judge = &adapt.Limiter{Max: max(1, b.capacity.slots)}, newJudge()
	}
	b.applyLimit(time.Now())
}

// configureCapacity sets the configured connections and slots of a target. What was
// learned is forgotten if this is another target than before. The caller holds mu.
func (b *Broker) configureCapacity(t pollendoor.TargetInfo, replaced bool, connections, slots int, now time.Time) {
	c := &b.capacity
	c.conns, c.slots = connections, slots
	if l := c.limiter; l != nil {
		switch {
		case replaced:
			c.limiter, c.judge = &adapt.Limiter{Max: max(1, slots)}, newJudge()
		case slots > l.Max, t.Slots != b.target.Slots:
			// Fewer slots while the primary is being replaced change nothing that was learned.
			l.SetMax(max(1, slots))
		}
	}
	c.applied = c.effective()
	b.scheduler.Configure(c.conns, c.applied, now)
}

// effective returns how many statements may run at the same time.
func (c *capacity) effective() int {
	if c.limiter == nil {
		return c.slots
	}
	return min(c.slots, c.limiter.Limit())
}

// applyLimit passes a changed limit on to the scheduler. The caller holds mu.
func (b *Broker) applyLimit(now time.Time) {
	if n := b.capacity.effective(); n != b.capacity.applied {
		b.capacity.applied = n
		b.scheduler.Configure(b.capacity.conns, n, now)
	}
}

// granted counts a statement that has got a slot. The caller holds mu.
func (b *Broker) granted(now time.Time) {
	l := b.capacity.limiter
	if l == nil {
		return
	}
	if c, ok := l.Start(now); ok {
		b.capacity.changes = append(b.capacity.changes, c)
	}
}

// measure counts the end of a statement that has held a slot since start, before its slot
// is freed.
func (b *Broker) measure(k adapt.Kind, o adapt.Outcome, start time.Time) {
	now := time.Now()
	if o != adapt.Skipped && b.Stalled != nil && b.Stalled(start, now) {
		o = adapt.Skipped
	}
	b.mu.Lock()
	l := b.capacity.limiter
	if l == nil {
		b.mu.Unlock()
		return
	}
	if c, ok := l.Finish(k, now.Sub(start), o, now); ok {
		b.capacity.changes = append(b.capacity.changes, c)
	}
	b.applyLimit(now)
	changes, t := b.capacity.changes, b.target
	b.capacity.changes = nil
	b.mu.Unlock()
	if b.OnLimit != nil {
		for _, c := range changes {
			b.OnLimit(t, c)
		}
	}
}

// measureOpening counts a connection that was opened in the slot of a statement, which
// keeps the slot.
func (b *Broker) measureOpening(start time.Time) {
	b.measure(kindOpen, adapt.Done, start)
	b.mu.Lock()
	defer b.mu.Unlock()
	b.granted(time.Now())
}

// Learned returns the limit of concurrent statements that was learned, the configured
// one, and how many other limits were tried. It reports false if the limit is not learned.
func (b *Broker) Learned() (limit, configured, trials int, ok bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	l := b.capacity.limiter
	if l == nil {
		return 0, 0, 0, false
	}
	return min(l.Settled(), l.Max), l.Max, l.Trials(), true
}
