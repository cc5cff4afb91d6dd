package desim

import (
	"time"

	"github.com/pollendoor/pollendoor/broker"
	"github.com/pollendoor/pollendoor/quota"
)

// operation is one operation of a caller with all its attempts.
type operation struct {
	model    *model
	team     string
	zone     int
	group    int
	write    bool
	began    time.Duration
	attempts int
}

// end counts the operation.
func (o *operation) end(served bool, cause Cause) {
	m := o.model
	inTime := served && m.now-o.began <= m.Goal
	m.result.Teams[o.team].add(served, inTime, cause)
	m.result.Seconds[int(o.began/time.Second)].add(served, inTime, cause)
}

// refuse ends an attempt. The caller tries again if it has time and attempts left.
func (o *operation) refuse(cause Cause) {
	m := o.model
	if o.attempts > m.Retries || m.now+m.Pause-o.began >= m.Deadline {
		o.end(false, cause)
		return
	}
	m.after(m.Pause, func() { o.attempt() })
}

// attempt sends the operation to a VM: that of the caller's zone first, then others.
func (o *operation) attempt() {
	m := o.model
	o.attempts++
	v := m.vms[(o.zone+o.attempts-1)%m.Zones]
	if !v.up || v.gone {
		o.refuse(NoVM)
		return
	}
	o.admit(v, v.process, 0, quota.OverRate, m.now)
}

// admit requests a token from the sources in turn, beginning with request i. While a
// share is on its way, it repeats that until 0.8 of the goal has passed since it began.
func (o *operation) admit(v *vm, process uint64, i int, last quota.Decision, since time.Duration) {
	m := o.model
	requests := quota.TokenRequests()
	if v.process != process || !v.up {
		o.refuse(NoVM)
		return
	}
	if i == len(requests) {
		if last == quota.SharePending && m.now-since < m.Goal-m.Goal/5 {
			m.after(sharePoll, func() { o.admit(v, process, 0, quota.OverRate, since) })
			return
		}
		o.refuse(OverRate)
		return
	}
	q := requests[i]
	keeper, delay := v, time.Duration(0)
	if q.Source != quota.ZoneShare {
		keeper = m.vms[int(q.Source)%m.Zones]
	}
	if keeper != v {
		delay = m.RoundTrip
	}
	wait, decision := time.Duration(0), quota.OverRate
	if keeper.up && !keeper.gone {
		q.ReservesEmpty = q.ReservesEmpty && last == quota.OverRate
		wait, decision = keeper.buckets[q.Source].Admit(o.team, m.limits[o.team], q, m.now)
	}
	switch decision {
	case quota.Granted:
		m.after(delay+wait, func() { o.route(v, process) })
	case quota.ReservesEmpty:
		m.after(delay, func() { o.admit(v, process, max(i+1, len(requests)-1), decision, since) })
	default:
		if last == quota.SharePending {
			decision = last
		}
		m.after(delay, func() { o.admit(v, process, i+1, decision, since) })
	}
}

// route chooses a target and queues the operation there.
func (o *operation) route(v *vm, process uint64) {
	m := o.model
	if v.process != process || !v.up {
		o.refuse(NoVM)
		return
	}
	var best *target
	_, behind := m.active(SlowCopies, "")
	for i := range m.Zones {
		t := m.targets[o.group][(v.zone+i)%m.Zones] // the nearest one first
		needsLease := t.primary
		switch {
		case !t.primary && (o.write || behind), !t.home.up || t.home.gone:
		case needsLease && !v.lease.Holds(group, 1, m.now):
		case best == nil || t.scheduler.Delay()+m.RoundTrip < best.scheduler.Delay():
			best = t
		}
	}
	if best == nil {
		o.refuse(NoPrimary)
		return
	}
	o.enqueue(best, m.now+time.Duration(queueShare*float64(m.Goal)))
}

// enqueue waits for a slot at a target until a time.
func (o *operation) enqueue(t *target, until time.Duration) {
	m := o.model
	outages := t.outages
	w := &broker.Waiter{Team: o.team, Priority: 1, Deadline: m.clock().Add(until - m.now)}
	granted := false
	w.Grant = func(c *broker.Conn) {
		granted = true
		m.after(0, func() { o.run(t, c, until) })
	}
	if !t.scheduler.Enqueue(w, m.clock()) {
		o.refuse(NoSlot)
		return
	}
	m.at(until, func() {
		if !granted && (t.outages != outages || t.scheduler.Remove(w)) {
			o.refuse(NoSlot)
		}
	})
}

// run runs the operation on a connection, which it opens if c is nil.
func (o *operation) run(t *target, c *broker.Conn, until time.Duration) {
	m := o.model
	outages := t.outages
	dial := time.Duration(0)
	if c == nil {
		if t.scheduler.Open()+t.lingering > m.Conns {
			t.scheduler.DialFailed(true, m.clock())
			t.scheduler.Finish(nil, 0, m.clock())
			if until > m.now {
				o.enqueue(t, until)
			} else {
				o.refuse(NoSlot)
			}
			return
		}
		m.result.Dials++
		c, dial = &broker.Conn{TargetConn: connection{}, Team: o.team}, m.Dial
	}
	sent := m.now
	m.at(t.occupy(dial+m.exponential(m.Service), m.now), func() {
		if t.outages != outages {
			o.refuse(NoVM) // the home VM has lost power meanwhile
			return
		}
		t.scheduler.Finish(c, m.now-sent, m.clock())
		m.after(m.RoundTrip/2, func() { o.end(true, "") })
	})
}
