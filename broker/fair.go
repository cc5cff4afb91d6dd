package broker

import (
	"slices"
	"time"

	"github.com/pollendoor/pollendoor"
)

const (
	// connectionLead is how much slot time a team with an idle connection may be ahead
	// of one that would need a new connection and still run first. It is worth a few
	// new connections of 12 ms, and bounds the unfairness.
	connectionLead = 50 * time.Millisecond
	// maxDebt bounds the slot time by which a team is ahead of the others. Statements of
	// open transactions run regardless of the share, so a team would otherwise wait long
	// after many of them.
	maxDebt = 2 * time.Second
	// starvationInterval is the number of grants of which at most one goes to a
	// statement that waits behind a more urgent priority. Such statements also get at most
	// that part of the slot time: a few long ones would otherwise hold up urgent ones.
	starvationInterval = 8
	// starvationShare is the part of its allowed wait after which a statement may run
	// before those of a more urgent priority.
	starvationShare = 0.5
	// maxEvictions bounds the statements that one arrival can cause to be refused.
	maxEvictions = 4
)

// fairQueue holds the queued statements of a target whose group is adaptive. Within a
// priority the teams share the slots by start-time fair queueing over slot time: the
// next statement is one of the team that has received the least. Slot time is known
// only after a statement has ended, so a team is charged its usual slot time when the
// statement starts and the difference when it ends.
type fairQueue struct {
	classes    []*class // by priority, the most urgent first
	txLoad     meter    // slots that statements of open transactions use
	starved    *Waiter  // starving statement that next has returned last
	sinceAging int      // grants since the last one to a starving statement

	chargedSince time.Duration // slot time of these grants
}

// class holds the flows of one priority.
type class struct {
	priority int
	virtual  time.Duration    // start tag of the statement that got a slot last
	slotTime time.Duration    // moving average of the slot time of a statement
	load     meter            // slots that the class uses outside of open transactions
	flows    map[string]*flow // by team
}

// flow holds the queued statements of one team with one priority.
type flow struct {
	team     string
	queued   [2]waitQueue  // statements that only the primary can run, and others
	start    time.Duration // start tag of the next statement
	slotTime time.Duration // moving average of the slot time of a statement, zero before the first one
	running  int           // number of statements that hold a slot
	retryAt  time.Time     // latest time for which a refused statement was told to be tried again
}

// len returns the number of queued statements.
func (f *flow) len() int { return len(f.queued[0]) + len(f.queued[1]) }

// head returns the next statement of the flow, or nil if there is none. If onlyPrimary
// is true, only statements that need the primary are considered.
func (f *flow) head(onlyPrimary bool) *Waiter {
	var first *Waiter
	if len(f.queued[0]) > 0 {
		first = f.queued[0][0]
	}
	if !onlyPrimary && len(f.queued[1]) > 0 && (first == nil || f.queued[1][0].before(first)) {
		first = f.queued[1][0]
	}
	return first
}

// last returns the statement of the flow that would run last, or nil.
func (f *flow) last() *Waiter {
	var last *Waiter
	for _, q := range f.queued {
		for _, w := range q {
			if last == nil || last.before(w) {
				last = w
			}
		}
	}
	return last
}

// usual returns the expected slot time of a statement of a flow, which may be nil.
func (c *class) usual(f *flow) time.Duration {
	switch {
	case f != nil && f.slotTime > 0:
		return f.slotTime
	case c.slotTime > 0:
		return c.slotTime
	}
	return initialServiceTime
}

// usual returns the expected slot time of a statement.
func (q *fairQueue) usual(w *Waiter) time.Duration {
	c := q.class(w.Priority)
	return c.usual(c.flows[w.Team])
}

// queued returns the number of queued statements of the class.
func (c *class) queued() int {
	n := 0
	for _, f := range c.flows {
		n += f.len()
	}
	return n
}

// backlog returns the expected slot time of all queued statements of the class.
func (c *class) backlog() time.Duration {
	var d time.Duration
	for _, f := range c.flows {
		d += time.Duration(f.len()) * c.usual(f)
	}
	return d
}

// class returns the class of a priority, which it creates if there is none.
func (q *fairQueue) class(priority int) *class {
	i, ok := slices.BinarySearchFunc(q.classes, priority, func(c *class, p int) int { return c.priority - p })
	if !ok {
		q.classes = slices.Insert(q.classes, i, &class{priority: priority, flows: make(map[string]*flow)})
	}
	return q.classes[i]
}

// flow returns the flow of a team, which it creates if there is none.
func (c *class) flow(team string) *flow {
	f := c.flows[team]
	if f == nil {
		f = &flow{team: team, start: c.virtual}
		c.flows[team] = f
	}
	return f
}

// push queues a statement.
func (q *fairQueue) push(w *Waiter) {
	c := q.class(w.Priority)
	f := c.flow(w.Team)
	if f.len() == 0 {
		f.start = max(f.start, c.virtual) // an idle team saves up no share
	}
	w.flow = f
	f.queue(w).push(w)
}

// queue returns the queue of the flow that a statement belongs to.
func (f *flow) queue(w *Waiter) *waitQueue {
	if w.Need == pollendoor.NeedAny {
		return &f.queued[1]
	}
	return &f.queued[0]
}

// remove takes a statement out of the queue. It reports false if it has left already.
func (q *fairQueue) remove(w *Waiter) bool {
	return w.flow != nil && w.flow.queue(w).remove(w)
}

// len returns the number of queued statements.
func (q *fairQueue) len() int {
	n := 0
	for _, c := range q.classes {
		n += c.queued()
	}
	return n
}

// waits reports whether a team has queued statements.
func (q *fairQueue) waits(team string) bool {
	return slices.ContainsFunc(q.classes, func(c *class) bool { return c.flows[team] != nil && c.flows[team].len() > 0 })
}

// next returns the statement to run next, or nil if there is none that may run. If
// onlyPrimary is true, only statements that need the primary may run. A team for which
// preferred reports false is passed over for one that has at most connectionLead more
// slot time, unless its statement has nearly used up its wait.
func (q *fairQueue) next(onlyPrimary bool, preferred func(team string) bool, now time.Time) *Waiter {
	for _, c := range q.classes {
		first, best := (*flow)(nil), (*flow)(nil)
		for _, f := range c.flows {
			if f.head(onlyPrimary) == nil {
				continue
			}
			if first == nil || f.before(first, onlyPrimary) {
				first = f
			}
			if preferred(f.team) && (best == nil || f.before(best, onlyPrimary)) {
				best = f
			}
		}
		if first == nil {
			continue
		}
		w := first.head(onlyPrimary)
		if best != nil && best.start <= first.start+connectionLead && w.Deadline.Sub(now) >= passOverMargin {
			w = best.head(onlyPrimary)
		}
		if s := q.starving(c, onlyPrimary, now); s != nil {
			w, q.starved = s, s
		}
		return w
	}
	return nil
}

// before reports whether f is served before g: by start tag, then by the order of
// their next statements.
func (f *flow) before(g *flow, onlyPrimary bool) bool {
	if f.start != g.start {
		return f.start < g.start
	}
	return f.head(onlyPrimary).before(g.head(onlyPrimary))
}

// starving returns a statement of a less urgent priority than c that has waited for
// most of its allowed wait, or nil. At most one in starvationInterval grants goes to
// such a statement.
func (q *fairQueue) starving(c *class, onlyPrimary bool, now time.Time) *Waiter {
	if q.sinceAging < starvationInterval-1 {
		return nil
	}
	var oldest *Waiter
	for _, d := range q.classes {
		if d.priority <= c.priority {
			continue
		}
		for _, f := range d.flows {
			w := f.head(onlyPrimary)
			if w == nil || float64(now.Sub(w.queuedAt)) < starvationShare*float64(w.Deadline.Sub(w.queuedAt)) {
				continue
			}
			if q.chargedSince >= (starvationInterval-1)*d.usual(f) && (oldest == nil || w.Deadline.Before(oldest.Deadline)) {
				oldest = w
			}
		}
	}
	return oldest
}

// start charges a statement that gets a slot to its team.
func (q *fairQueue) start(w *Waiter, now time.Time) {
	c := q.class(w.Priority)
	f := c.flow(w.Team)
	f.running++
	w.flow, w.grantedAt, w.charged = f, now, c.usual(f)
	switch {
	case w.Conn != nil:
		if f.len() == 0 {
			f.start = max(f.start, c.virtual)
		}
	case w == q.starved:
		q.sinceAging, q.chargedSince, q.starved = 0, 0, nil
		c.virtual = max(c.virtual, f.start)
	default:
		q.sinceAging++
		q.chargedSince += w.charged
		c.virtual = max(c.virtual, f.start)
	}
	f.start = min(f.start+w.charged, c.virtual+max(maxDebt, w.charged))
}

// settle replaces the charge of a statement by the slot time that it took.
func (q *fairQueue) settle(w *Waiter, now time.Time) time.Duration {
	took := now.Sub(w.grantedAt)
	c := q.class(w.Priority)
	f := c.flow(w.Team)
	f.running--
	f.start += took - w.charged
	f.start = min(f.start, c.virtual+max(maxDebt, took))
	f.slotTime = average(f.slotTime, took)
	c.slotTime = average(c.slotTime, took)
	if w.Conn == nil {
		c.load.add(took, now)
	} else {
		q.txLoad.add(took, now)
	}
	q.forget(c)
	return took
}

// average updates a moving average.
func average(old, d time.Duration) time.Duration {
	if old == 0 {
		return d
	}
	return old + (d-old)/16
}

// forget removes the flows without a statement that are owed nothing and owe nothing.
// A class that is idle forgets all of them: no team waits for its share.
func (q *fairQueue) forget(c *class) {
	idle := true
	for _, f := range c.flows {
		idle = idle && f.len() == 0 && f.running == 0
	}
	for team, f := range c.flows {
		if idle || f.len() == 0 && f.running == 0 && f.start <= c.virtual {
			delete(c.flows, team)
		}
	}
	if idle {
		c.virtual = 0
	}
}

// all returns all queued statements in the order of their arrival.
func (q *fairQueue) all() []*Waiter {
	var list []*Waiter
	for _, c := range q.classes {
		for _, f := range c.flows {
			list = append(append(list, f.queued[0]...), f.queued[1]...)
		}
	}
	slices.SortFunc(list, func(a, b *Waiter) int { return int(a.seq) - int(b.seq) })
	return list
}

// expectedWait returns the expected wait of a statement, whether it is queued or not,
// when the target has the given number of slots and txWork of slot time is due first.
// The statement waits for what is queued with a more urgent priority, for the share of
// the other teams that they receive before its team's turn, and for the statements of
// its own team before it.
func (q *fairQueue) expectedWait(w *Waiter, txWork time.Duration, slots float64, now time.Time) time.Duration {
	above, own, used := txWork, time.Duration(0), q.txLoad.slots(now)
	for _, c := range q.classes {
		if c.priority < w.Priority {
			above += c.backlog()
			used += c.load.slots(now)
			continue
		}
		if c.priority > w.Priority {
			break
		}
		f := c.flows[w.Team]
		start, ahead, service := c.virtual, 0, c.usual(nil)
		if f != nil {
			start, service = f.start, c.usual(f)
			if f.len() == 0 {
				start = max(start, c.virtual)
			}
			ahead = f.queued[0].countBefore(w) + f.queued[1].countBefore(w)
		}
		start += time.Duration(ahead) * service
		own = time.Duration(ahead+1) * service // the one in progress counts as the last one
		for team, g := range c.flows {
			if n := g.len(); n > 0 && team != w.Team && g.start <= start {
				u := max(c.usual(g), time.Microsecond)
				own += time.Duration(min(n, 1+int((start-g.start)/u))) * u
			}
		}
	}
	// More statements of the urgent priorities and of transactions arrive meanwhile.
	left := max(slots-used, slots/starvationInterval)
	return time.Duration(float64(above)/slots + float64(own)/left)
}

// heaviest returns the flow of a class with the most queued statements, or nil.
func (c *class) heaviest() *flow {
	var most *flow
	for _, f := range c.flows {
		if f.len() > 0 && (most == nil || f.len() > most.len() || f.len() == most.len() && most.last().before(f.last())) {
			most = f
		}
	}
	return most
}
