package desim

import (
	"container/heap"
	"math/rand/v2"
	"time"

	"github.com/pollendoor/pollendoor"
	"github.com/pollendoor/pollendoor/broker"
)

// SlotPattern is a load on one target whose teams share its slots. What is special in it
// lasts from SlotFrom to SlotUntil.
type SlotPattern struct {
	Name  string
	Teams []SlotTeam
	Slow  float64 // factor of the service time, zero for one
	Reads int     // reads that arrive for each usual one, as replicas lag; zero for one
	Lost  bool    // the target's home VM is lost at SlotFrom, and another one takes its place
}

// SlotTeam is the load of one team.
type SlotTeam struct {
	Name    string
	Hot     bool          // the team is the special load, not one of the usual ones
	Rate    float64       // operations per second
	Factor  float64       // factor of the rate in the special time, zero for one
	Callers int           // callers that send one operation after the other in that time
	Service time.Duration // time of a statement, zero for that of its route
	TxIdle  time.Duration // callers idle that long in transactions of two statements, zero for none
}

// SlotCount counts the operations of some teams.
type SlotCount struct{ Offered, InTime int }

// Share returns the part of the operations that was answered in time, 1 if there were none.
func (c SlotCount) Share() float64 {
	if c.Offered == 0 {
		return 1
	}
	return float64(c.InTime) / float64(c.Offered)
}

// SlotResult is what became of the operations of a SlotPattern.
type SlotResult struct {
	Usual, Hot SlotCount
	Writes     SlotCount // of the usual teams
}

const (
	// SlotFrom and SlotUntil are the times at which the special load of a SlotPattern begins
	// and ends, and slotLength is the time in which operations arrive.
	SlotFrom   = 2 * time.Second
	SlotUntil  = 8 * time.Second
	slotLength = 10 * time.Second
	// slotSeeds is the number of loads that are drawn for a pattern.
	slotSeeds = 3
	// slotRetries is how often a caller tries again, after slotPause or the time it was told.
	slotRetries = 2
	slotPause   = 100 * time.Millisecond
	// The target is one of the first customer in docs/design/load.md, of whose connections
	// the home VM may use homeShare.
	slotCount      = 6
	slotConns      = 52
	slotDial       = 12 * time.Millisecond
	adaptiveShare  = 0.6  // part of the rest of the goal that a statement may wait
	presentShare   = 0.25 // the same in groups that are not adaptive, of the goal
	slotUsualTeams = 12
)

// slotRoute is a route of the first customer in docs/design/load.md.
type slotRoute struct {
	priority               int
	service, goal, timeout time.Duration
	share                  float64 // of the operations
	read                   bool    // a replica can usually run it
}

var slotRoutes = []slotRoute{
	{0, 11 * time.Millisecond, 800 * time.Millisecond, time.Second, 0.5, false},
	{1, 55 * time.Millisecond, 1200 * time.Millisecond, 3 * time.Second, 0.25, true},
	{2, 33 * time.Millisecond, 3 * time.Second, time.Second, 0.25, true},
}

// SlotPatterns returns the patterns with which fair scheduling is judged.
func SlotPatterns() []SlotPattern {
	hot := func(teams int, factor float64) []SlotTeam {
		list := slotTeams(1)
		for i := range teams {
			list[i].Hot, list[i].Factor = true, factor
		}
		return list
	}
	with := func(t SlotTeam) []SlotTeam {
		t.Name, t.Hot = "hot", true
		return append(slotTeams(1), t)
	}
	return []SlotPattern{
		{Name: "usual", Teams: slotTeams(1)},
		{Name: "oneHotTeam", Teams: hot(1, 12)},
		{Name: "twoHotTeams", Teams: hot(2, 6)},
		{Name: "manySessions", Teams: with(SlotTeam{Callers: 150})},
		{Name: "allAtLimits", Teams: slotTeams(2.4)},
		{Name: "longStatements", Teams: with(SlotTeam{Callers: 20, Service: 300 * time.Millisecond})},
		{Name: "idleTransactions", Teams: with(SlotTeam{Callers: 120, TxIdle: 600 * time.Millisecond})},
		{Name: "laggingReplicas", Teams: slotTeams(1), Reads: 3},
		{Name: "lostHomeVM", Teams: hot(2, 6), Lost: true},
		{Name: "slowTarget", Teams: slotTeams(1), Slow: 5},
	}
}

// slotTeams returns teams of different size that use half of the target, and more by a
// factor in the special time.
func slotTeams(factor float64) []SlotTeam {
	var list []SlotTeam
	for i := range slotUsualTeams {
		list = append(list, SlotTeam{Name: string(rune('a' + i)), Rate: slotUsualTeams + 2 - float64(i), Factor: factor})
	}
	return list
}

// PlaySlots plays a pattern against the scheduler of a target's home VM, with the group
// adaptive or not.
func PlaySlots(p SlotPattern, adaptive bool) SlotResult {
	var r SlotResult
	for seed := range uint64(slotSeeds) {
		m := &slotModel{SlotPattern: p, adaptive: adaptive, rand: rand.New(rand.NewPCG(seed, 2)), result: &r}
		m.start()
		for i := range p.Teams {
			t := &p.Teams[i]
			if t.Rate > 0 {
				m.arrivals(t)
			}
			for range t.Callers {
				m.at(SlotFrom, func() { m.arrive(t, true) })
			}
		}
		if p.Lost {
			m.at(SlotFrom, m.loseHome)
		}
		for len(m.events) > 0 {
			e := heap.Pop(&m.events).(event)
			m.now = e.at
			e.do()
		}
	}
	return r
}

// slotModel is a SlotPattern while it is played.
type slotModel struct {
	SlotPattern
	adaptive  bool
	rand      *rand.Rand
	now       time.Duration
	events    events
	seq       int
	scheduler *broker.Scheduler
	pending   []*slotStatement // statements that were queued and have not ended, and some that have
	result    *SlotResult
}

// slotOperation is an operation of a caller.
type slotOperation struct {
	team     *SlotTeam
	route    slotRoute
	began    time.Duration
	attempts int
	conn     *broker.Conn // connection of the open transaction
	again    bool         // the caller sends another operation after this one
}

// slotStatement is a statement at the target.
type slotStatement struct {
	broker.Waiter
	operation *slotOperation
	scheduler *broker.Scheduler // of the home VM that has queued it
	sent      time.Duration
	done      bool // it has ended or was refused
}

// at lets something happen at a time.
func (m *slotModel) at(t time.Duration, do func()) {
	m.seq++
	heap.Push(&m.events, event{t, m.seq, do})
}

// clock returns the virtual time as the scheduler takes it.
func (m *slotModel) clock() time.Time { return time.Unix(100, 0).Add(m.now) }

// special reports whether the special load or fault lasts now.
func (m *slotModel) special() bool { return m.now >= SlotFrom && m.now < SlotUntil }

// start starts a home VM.
func (m *slotModel) start() {
	m.scheduler = &broker.Scheduler{}
	m.scheduler.SetAdaptive(m.adaptive, m.clock())
	m.scheduler.Configure(slotConns, slotCount, m.clock())
}

// loseHome loses the home VM with its queue. Callers try again at the next one.
func (m *slotModel) loseHome() {
	m.start()
	lost := m.pending
	m.pending = nil
	for _, q := range lost {
		if !q.done {
			m.refused(q)
		}
	}
}

// arrivals lets the operations of a team arrive, one after the other.
func (m *slotModel) arrivals(t *SlotTeam) {
	rate := t.Rate
	if m.special() && t.Factor > 0 {
		rate *= t.Factor
	}
	m.at(m.now+time.Duration(m.rand.ExpFloat64()/rate*float64(time.Second)), func() {
		if m.now < slotLength {
			m.arrive(t, false)
			m.arrivals(t)
		}
	})
}

// arrive begins an operation of a team on a route that is drawn.
func (m *slotModel) arrive(t *SlotTeam, again bool) {
	x, i := m.rand.Float64(), 0
	for x >= slotRoutes[i].share && i < len(slotRoutes)-1 {
		x -= slotRoutes[i].share
		i++
	}
	n := 1
	if slotRoutes[i].read && m.special() {
		n = max(1, m.Reads)
	}
	for range n {
		o := &slotOperation{team: t, route: slotRoutes[i], began: m.now, again: again}
		m.count(o, func(c *SlotCount) { c.Offered++ })
		m.attempt(o)
	}
}

// count changes the counts that an operation belongs to.
func (m *slotModel) count(o *slotOperation, change func(*SlotCount)) {
	switch {
	case o.team.Hot:
		change(&m.result.Hot)
		return
	case !o.route.read:
		change(&m.result.Writes)
	}
	change(&m.result.Usual)
}

// attempt queues a statement of an operation as package caller does.
func (m *slotModel) attempt(o *slotOperation) {
	o.attempts++
	now, r := m.clock(), o.route
	wait := time.Duration(presentShare * float64(min(r.goal, r.timeout)))
	q := &slotStatement{operation: o, scheduler: m.scheduler, sent: m.now}
	q.Team, q.Priority, q.Conn = o.team.Name, r.priority, o.conn
	if m.adaptive {
		left := r.goal - (m.now - o.began)
		wait = min(time.Duration(adaptiveShare*float64(left)), r.timeout)
		q.Goal, q.TimeLimit, q.Need = now.Add(left), now.Add(r.timeout), pollendoor.NeedPrimary
		if r.read && m.Reads > 0 {
			q.Need = pollendoor.NeedAny
		}
	}
	if o.conn != nil {
		wait = r.timeout
	}
	q.Deadline = now.Add(wait)
	// Grant and Refuse must not call the scheduler.
	q.Grant = func(c *broker.Conn) { m.at(m.now, func() { m.run(q, c) }) }
	q.Refuse = func() { m.at(m.now, func() { m.refused(q) }) }
	m.pending = append(m.pending, q)
	if !m.scheduler.Enqueue(&q.Waiter, now) {
		m.refused(q)
		return
	}
	m.at(m.now+wait, func() {
		if !q.done && q.scheduler == m.scheduler && m.scheduler.Expire(&q.Waiter, m.clock()) {
			m.refused(q)
		}
	})
}

// refused ends an attempt. The caller tries again if it has attempts and time left.
func (m *slotModel) refused(q *slotStatement) {
	if q.done {
		return
	}
	q.done = true
	o := q.operation
	if o.conn != nil || o.attempts > slotRetries || m.now-o.began > o.route.goal {
		m.end(q)
		return
	}
	m.at(m.now+max(slotPause, q.RetryAfter), func() { m.attempt(o) })
}

// run runs a statement on a connection, which it opens if c is nil.
func (m *slotModel) run(q *slotStatement, c *broker.Conn) {
	o := q.operation
	service := o.route.service
	if o.team.Service > 0 {
		service = o.team.Service
	}
	if m.special() && m.Slow > 0 {
		service = time.Duration(m.Slow * float64(service))
	}
	service = time.Duration((0.5 + m.rand.Float64()) * float64(service))
	if c == nil {
		c = &broker.Conn{TargetConn: connection{}, Team: o.team.Name}
		service += slotDial
	}
	m.at(m.now+service, func() {
		if q.done {
			return // the home VM has been lost
		}
		q.done = true
		keep := o.team.TxIdle > 0 && o.conn == nil
		o.conn = c
		q.scheduler.Settle(&q.Waiter, m.clock())
		if keep {
			q.scheduler.Finish(nil, service, m.clock())
			m.at(m.now+o.team.TxIdle, func() { m.attempt(o) })
			return
		}
		o.conn = nil
		q.scheduler.Finish(c, service, m.clock())
		if m.now-o.began <= o.route.goal+o.team.TxIdle && m.now-q.sent <= o.route.timeout {
			m.count(o, func(c *SlotCount) { c.InTime++ })
		}
		m.end(q)
	})
}

// end ends an operation, and its transaction if one is open.
func (m *slotModel) end(q *slotStatement) {
	o := q.operation
	if o.conn != nil && q.scheduler == m.scheduler {
		m.scheduler.PutIdle(o.conn, m.clock())
	}
	if o.again && m.special() {
		m.at(m.now+time.Millisecond, func() { m.arrive(o.team, true) })
	}
}
