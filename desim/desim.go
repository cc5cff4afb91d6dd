// Package desim plays load patterns against the decisions of the system in virtual
// time, without a network and without goroutines. It is a discrete-event model of
// callers, VMs and targets: arrivals, service times and faults are modeled, and the
// decisions are those of packages quota, broker and lease. Routing is simple here:
// reads go to the target with the shortest queue that is not behind.
package desim

import (
	"container/heap"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/pollendoor/pollendoor"
	"github.com/pollendoor/pollendoor/broker"
	"github.com/pollendoor/pollendoor/lease"
	"github.com/pollendoor/pollendoor/quota"
)

// Team is a team with its load.
type Team struct {
	Name  string
	Rate  float64 // operations per second that its callers ask for
	Limit pollendoor.TeamLimit
}

// Fault is something that happens during a pattern.
type Fault struct {
	At, For time.Duration
	Kind    FaultKind
	Team    string  // team of a HotTeam
	Factor  float64 // factor of the load of a HotTeam
}

// FaultKind is the kind of a Fault.
type FaultKind uint8

// The kinds of faults.
const (
	HotTeam    FaultKind = iota // a team asks for several times its usual
	SlowCopies                  // all replicas lack the position that reads need
	PowerLoss                   // all VMs lose power; their connections stay at the targets for a while
	StoreAway                   // the platform's store does not answer
	LeaderLost                  // the VM that leads the fleet is gone for good
)

// Pattern is a load on a fleet with what goes wrong. Each zone has one VM, which is
// the home VM of the zone's targets and keeps the zone's shares. Each group has one
// target in each zone; the primaries are spread over the zones.
type Pattern struct {
	Name    string
	Answers string // what the pattern is for, in one line
	Seed    uint64 // seed of the random choices
	Zones   int
	Groups  int // groups with the same load
	Teams   []Team
	Slots   int     // slots of each target
	Conns   int     // connection limit of each target
	Writes  float64 // part of the operations that need the primary
	Faults  []Fault
	Length  time.Duration // time in which operations arrive

	Service   time.Duration // mean time of a statement at a target
	Dial      time.Duration // time that a new connection occupies a slot
	RoundTrip time.Duration // between zones
	Goal      time.Duration // an answer after this is late
	Deadline  time.Duration // a caller gives up after this
	Retries   int           // attempts after the first one
	Pause     time.Duration // pause of a caller before another attempt
}

// Result counts the operations of a pattern.
type Result struct {
	Teams   map[string]*Count
	Seconds []Count // by the second in which the operation began
	Dials   int     // new connections
}

// Count counts operations by their outcome.
type Count struct {
	Offered, InTime, Late int
	Refused               map[Cause]int // by the cause of the last refusal
}

// Cause is the reason why an operation was not served.
type Cause string

// The causes.
const (
	OverRate  Cause = "over the team's rate"
	NoSlot    Cause = "no slot in time"
	NoPrimary Cause = "no primary to send it to"
	NoVM      Cause = "no VM took the request"
)

// add counts an operation.
func (c *Count) add(served, inTime bool, cause Cause) {
	c.Offered++
	switch {
	case inTime:
		c.InTime++
	case served:
		c.Late++
	default:
		if c.Refused == nil {
			c.Refused = make(map[Cause]int)
		}
		c.Refused[cause]++
	}
}

// Add adds the operations of o, without the causes of its refusals.
func (c *Count) Add(o Count) {
	c.Offered, c.InTime, c.Late = c.Offered+o.Offered, c.InTime+o.InTime, c.Late+o.Late
}

// Served returns the part of the operations that was served, also late, or 1 if there
// were none.
func (c *Count) Served() float64 {
	if c.Offered == 0 {
		return 1
	}
	return float64(c.InTime+c.Late) / float64(c.Offered)
}

const (
	heartbeatPeriod = 400 * time.Millisecond
	storePeriod     = 600 * time.Millisecond // between two proofs of leadership
	takeoverAfter   = lease.TakeoverAfter
	spareTime       = 2 * time.Second       // after a claim, for the spare tolerance
	sharePoll       = 30 * time.Millisecond // between two questions for a share that is on its way
	// lingerTime is how long a target keeps connections whose far end has lost power.
	lingerTime = 3 * time.Second
	// queueShare is the part of the goal that an operation waits in a target's queue.
	queueShare = 0.25
	// homeShare is the part of a target's connections that its home VM may open.
	homeShare = 0.8
	group     = "g" // all groups have the same leases, so one stands for all
)

// tolerance is what all VMs may admit beyond a team's limit.
var tolerance = quota.Tolerance{Window: 5 * time.Second, Excess: 0.1, Margin: 20}

// model is a pattern while it is played.
type model struct {
	Pattern
	rand    *rand.Rand
	now     time.Duration
	events  events
	seq     int
	limits  map[string]pollendoor.TeamLimit
	vms     []*vm
	targets [][]*target // by group and zone
	store   lease.Record
	// spareUntil is until when the stored record says that the spare tolerance may have
	// been granted in the last window.
	spareUntil time.Duration
	leader     *vm // nil if none leads
	result     Result
}

// Play plays a pattern and returns what became of its operations.
func Play(p Pattern) Result {
	m := &model{Pattern: p, rand: rand.New(rand.NewPCG(p.Seed, 1)), limits: make(map[string]pollendoor.TeamLimit)}
	m.result.Teams = make(map[string]*Count)
	m.result.Seconds = make([]Count, int(p.Length/time.Second)+1)
	for _, t := range p.Teams {
		m.limits[t.Name] = t.Limit
		m.result.Teams[t.Name] = &Count{}
		m.arrivals(t)
	}
	m.startFleet()
	for _, f := range p.Faults {
		if f.Kind == PowerLoss {
			m.at(f.At, m.losePower)
			m.at(f.At+f.For, m.startVMs)
		}
		if f.Kind == LeaderLost {
			m.at(f.At, m.loseLeader)
		}
	}
	for len(m.events) > 0 {
		e := heap.Pop(&m.events).(event)
		m.now = e.at
		if e.at > p.Length+p.Deadline {
			break
		}
		e.do()
	}
	return m.result
}

// at lets something happen at a time.
func (m *model) at(t time.Duration, do func()) {
	m.seq++
	heap.Push(&m.events, event{t, m.seq, do})
}

// after lets something happen after a time.
func (m *model) after(d time.Duration, do func()) { m.at(m.now+d, do) }

// clock returns the virtual time as the scheduler takes it.
func (m *model) clock() time.Time { return time.Unix(0, 0).Add(m.now) }

// active returns a fault of a kind that lasts now.
func (m *model) active(kind FaultKind, team string) (Fault, bool) {
	for _, f := range m.Faults {
		if f.Kind == kind && f.Team == team && m.now >= f.At && m.now < f.At+f.For {
			return f, true
		}
	}
	return Fault{}, false
}

// exponential draws a time with the given mean, at most eight times as long.
func (m *model) exponential(mean time.Duration) time.Duration {
	return time.Duration(float64(mean) * math.Min(8, m.rand.ExpFloat64()))
}

// arrivals lets the operations of a team arrive, one after the other.
func (m *model) arrivals(t Team) {
	rate := t.Rate
	if f, ok := m.active(HotTeam, t.Name); ok {
		rate *= f.Factor
	}
	m.after(m.exponential(time.Duration(float64(time.Second)/rate)), func() {
		if m.now >= m.Length {
			return
		}
		o := &operation{model: m, team: t.Name, zone: m.rand.IntN(m.Zones), group: m.rand.IntN(m.Groups), write: m.rand.Float64() < m.Writes, began: m.now}
		o.attempt()
		m.arrivals(t)
	})
}

// target is a target with the scheduler of its home VM.
type target struct {
	scheduler broker.Scheduler
	home      *vm
	primary   bool
	lingering int             // connections of VMs that have lost power
	outages   int             // number of power losses, so that work from before is dropped
	freeAt    []time.Duration // when each slot of the target is free
}

// occupy lets a statement take a slot of the target for a time, and returns when it
// ends. The home VM sends one statement more than there are slots, which waits.
func (t *target) occupy(took, now time.Duration) time.Duration {
	first := slices.Index(t.freeAt, slices.Min(t.freeAt))
	t.freeAt[first] = max(now, t.freeAt[first]) + took
	return t.freeAt[first]
}

// connection is a model of a connection, which does nothing.
type connection struct{ pollendoor.TargetConn }

// Close implements pollendoor.TargetConn.
func (connection) Close() {}

// Alive implements pollendoor.TargetConn.
func (connection) Alive() bool { return true }
