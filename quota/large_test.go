package quota_test

import (
	"cmp"
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/pollendoor/pollendoor"
	"github.com/pollendoor/pollendoor/quota"
)

// The load of a large fleet: many teams of very unequal size, whose callers come to
// six zones in three regions unevenly and at random. Limits are 1.6 times the mean
// demand.
const (
	largeTeams   = 190
	largeZones   = 6
	largestRate  = 305.0
	largeSkew    = 0.8 // exponent of the sizes
	headroom     = 1.6
	regionDelay  = 20 * time.Millisecond // one way
	zoneDelay    = 200 * time.Microsecond
	beatEvery    = 400 * time.Millisecond
	largeLength  = 24 * time.Second
	faultAt      = 10 * time.Second
	wrongfulMost = 0.001 // refusals of teams below their limit
)

// event is something that happens at a time.
type event struct {
	at time.Duration
	n  int
	do func(now time.Duration)
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return cmp.Or(cmp.Compare(e[i].at, e[j].at), cmp.Compare(e[i].n, e[j].n)) < 0
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	old := *e
	x := old[len(old)-1]
	*e = old[:len(old)-1]
	return x
}

// keeperVM is a VM that keeps a share of the team's rate.
type keeperVM struct {
	name    string
	run     uint64
	buckets *quota.Buckets
	dead    bool
	cutTill time.Duration // from the holder and the other keepers
}

// teamRun plays the life of one team's rate. Nothing in it takes real time.
type teamRun struct {
	limit     pollendoor.TeamLimit
	rng       *rand.Rand
	queue     events
	seq       int
	pool      *quota.Pool
	division  func(now time.Duration) quota.Division
	zones     []*keeperVM
	reserves  [2]*keeperVM
	unheard   int // keepers that the holder has not heard
	questions []quota.TokenRequest

	asked, refused int
	late           int // refusals in the time that counts
	counted        int
	meanwhile      int // refusals between the fault and that time
	during         int // operations then
	countFrom      time.Duration
	admitted       []time.Duration
}

func (r *teamRun) at(t time.Duration, do func(now time.Duration)) {
	r.seq++
	heap.Push(&r.queue, event{t, r.seq, do})
}

func (r *teamRun) play(until time.Duration) {
	for len(r.queue) > 0 {
		e := heap.Pop(&r.queue).(event)
		if e.at > until {
			return
		}
		e.do(e.at)
	}
}

// keeper starts a VM that keeps a share.
func (r *teamRun) keeper(name string, run uint64, source quota.Source, zone int, now time.Duration) *keeperVM {
	k := &keeperVM{name: name, run: run, buckets: &quota.Buckets{}}
	limits := map[string]pollendoor.TeamLimit{"t": r.limit}
	k.buckets.Configure(slack, 295)
	k.buckets.SetKeptTeams(limits, now)
	var beat func(now time.Duration)
	beat = func(now time.Duration) {
		if k.dead {
			return
		}
		r.at(now+beatEvery, beat)
		if now < k.cutTill {
			return
		}
		held, seq := k.buckets.Report(now)
		r.at(now+regionDelay, func(at time.Duration) {
			if r.pool == nil {
				return // the holder is lost
			}
			grants := r.pool.Renew(quota.Report{VM: k.name, Source: source, Zone: fmt.Sprint(zone), Run: k.run, HeldShares: quota.HeldShares{Teams: held, Seq: seq}}, quota.Conditions{Zones: largeZones, VMs: 18, Division: r.division(at), Unreported: r.unheard}, at)
			r.at(at+regionDelay, func(back time.Duration) { k.buckets.ApplyGrants(grants.Amounts, grants.Seq, limits, now, back) })
		})
	}
	r.at(now+time.Duration(r.rng.Int64N(int64(100*time.Millisecond))), beat)
	return k
}

// restartAll starts all keepers anew.
func (r *teamRun) restartAll(now time.Duration) {
	for i, k := range r.zones {
		k.dead = true
		r.zones[i] = r.keeper(k.name, k.run+1, quota.ZoneShare, i, now)
	}
	for i, k := range r.reserves {
		k.dead = true
		r.reserves[i] = r.keeper(k.name, k.run+1, quota.FirstReserve+quota.Source(i), 0, now)
	}
}

// operation asks for one operation of a caller in a zone.
func (r *teamRun) operation(zone int, now time.Duration) {
	begun := now
	r.asked++
	var try func(i int, unshared, again bool, now time.Duration)
	try = func(i int, unshared, again bool, now time.Duration) {
		if i == len(r.questions) {
			if unshared && now-begun < quota.MaxWait {
				r.at(now+30*time.Millisecond, func(at time.Duration) { try(0, false, true, at) })
				return
			}
			r.refused++
			if begun >= r.countFrom {
				r.late++
			} else if begun >= faultAt {
				r.meanwhile++
			}
			return
		}
		q := r.questions[i]
		q.Counted = q.Counted || again
		k, delay := r.zones[zone], zoneDelay
		if q.Source != quota.ZoneShare {
			k, delay = r.reserves[q.Source-quota.FirstReserve], regionDelay
		}
		r.at(now+delay, func(at time.Duration) {
			if k.dead || q.Source != quota.ZoneShare && (at < k.cutTill || at < r.zones[zone].cutTill) {
				r.at(at+delay, func(back time.Duration) { try(i+1, unshared, again, back) })
				return
			}
			wait, verdict := k.buckets.Admit("t", r.limit, q, at)
			if verdict == quota.Granted {
				r.admitted = append(r.admitted, at+delay+wait)
				return
			}
			next := i + 1
			if verdict == quota.ReservesEmpty {
				next = max(next, len(r.questions)-1)
			}
			r.at(at+delay, func(back time.Duration) { try(next, unshared || verdict == quota.SharePending, again, back) })
		})
	}
	if begun >= r.countFrom {
		r.counted++
	} else if begun >= faultAt {
		r.during++
	}
	try(0, false, false, now)
}

// callers lets callers come to the zones.
func (r *teamRun) callers(rate float64) {
	weights, sum := make([]float64, largeZones), 0.0
	for i := range weights {
		weights[i] = r.rng.ExpFloat64()
		sum += weights[i]
	}
	for i, w := range weights {
		mean := rate * w / sum
		var next func(now time.Duration)
		next = func(now time.Duration) {
			r.operation(i, now)
			r.at(now+time.Duration(r.rng.ExpFloat64()/mean*float64(time.Second)), next)
		}
		r.at(time.Duration(r.rng.ExpFloat64()/mean*float64(time.Second)), next)
	}
}

// busiest returns the most operations in a window over what the limit allows there.
func (r *teamRun) busiest() float64 {
	slices.Sort(r.admitted)
	most, first := 0, 0
	for i, t := range r.admitted {
		for r.admitted[first] <= t-slack.Window {
			first++
		}
		most = max(most, i-first+1)
	}
	allowed := (r.limit.Rate*slack.Window.Seconds()+r.limit.Burst)*(1+slack.Excess) + slack.Margin
	return float64(most) / allowed
}

// largeCase is a load or fault on the whole fleet.
type largeCase struct {
	name string
	// demand is the part of the mean demand that callers bring.
	demand float64
	// fault happens at faultAt.
	fault func(r *teamRun, now time.Duration)
	// countFrom is when refusals count as wrongful; those before are the fault's.
	countFrom time.Duration
}

func largeCases() []largeCase {
	settled := faultAt + quota.GrantTTL + 2*time.Second
	return []largeCase{
		{name: "steady", demand: 1},
		{name: "all VMs start", demand: 1, fault: func(r *teamRun, now time.Duration) {
			r.pool = &quota.Pool{Reserves: true}
			r.restartAll(now)
		}, countFrom: settled},
		{name: "all VMs start, one of the keepers never comes back", demand: 1, fault: func(r *teamRun, now time.Duration) {
			r.pool, r.unheard = &quota.Pool{Reserves: true}, 1
			r.division = func(at time.Duration) quota.Division {
				if at < now+quota.GrantTTL {
					return quota.DivideReported
				}
				return quota.DivideWhole
			}
			r.restartAll(now)
			r.zones[2].dead = true
			r.at(now+1200*time.Millisecond, func(at time.Duration) { r.zones[2] = r.keeper("next", 1, quota.ZoneShare, 2, at) })
		}, countFrom: settled},
		{name: "a zone's keeper is lost", demand: 1, fault: func(r *teamRun, now time.Duration) {
			r.zones[0].dead = true
			r.at(now+1200*time.Millisecond, func(at time.Duration) { r.zones[0] = r.keeper("next", 1, quota.ZoneShare, 0, at) })
		}, countFrom: settled},
		{name: "the reserve's keeper is lost", demand: 1, fault: func(r *teamRun, now time.Duration) {
			r.reserves[0].dead = true
			r.at(now+1200*time.Millisecond, func(at time.Duration) { r.reserves[0] = r.keeper("next", 1, quota.FirstReserve, 0, at) })
		}, countFrom: settled},
		{name: "the holder is lost", demand: 1, fault: func(r *teamRun, now time.Duration) {
			r.pool = &quota.Pool{Reserves: true}
			r.division = func(at time.Duration) quota.Division {
				if at < now+quota.GrantTTL {
					return quota.DivideReported
				}
				return quota.DivideWhole
			}
		}, countFrom: settled},
		{name: "the holder is lost with two keepers, and the next one after 3 s", demand: 1, fault: func(r *teamRun, now time.Duration) {
			r.zones[0].dead = true
			next := func(at time.Duration) {
				r.pool = &quota.Pool{Reserves: true}
				r.division = func(t time.Duration) quota.Division {
					switch {
					case t < at+100*time.Millisecond:
						return quota.DivideUnexpired
					case t < at+quota.GrantTTL:
						return quota.DivideReported
					}
					return quota.DivideWhole
				}
			}
			r.pool, r.unheard = nil, 1
			r.at(now+1500*time.Millisecond, next)
			r.at(now+3*time.Second, func(at time.Duration) {
				r.reserves[0].dead = true
				r.pool, r.unheard = nil, 2
			})
			r.at(now+4500*time.Millisecond, next)
			r.at(now+2*time.Second, func(at time.Duration) { r.zones[0] = r.keeper("next", 1, quota.ZoneShare, 0, at) })
			r.at(now+5*time.Second, func(at time.Duration) { r.reserves[0] = r.keeper("other", 1, quota.FirstReserve, 0, at) })
		}, countFrom: settled + 5*time.Second},
		{name: "two zones are cut off", demand: 1, fault: func(r *teamRun, now time.Duration) {
			r.zones[0].cutTill, r.zones[1].cutTill = now+4*time.Second, now+4*time.Second
		}, countFrom: settled + 4*time.Second},
		{name: "five times the demand", demand: 5, countFrom: largeLength},
	}
}

// Callers of 190 teams come to six zones: the share of a zone in a small team's rate
// is less than an operation a second, and keepers of zones alone refuse a
// twentieth of what is far below the limit. Found on the large fleet's quiet day.
func TestLargeFleetRefusesNobodyBelowTheLimit(t *testing.T) {
	for _, tc := range largeCases() {
		t.Run(tc.name, func(t *testing.T) {
			late, counted, worst := 0, 0, 0.0
			meanwhile, during := 0, 0
			for n := range largeTeams {
				rate := math.Ceil(largestRate * math.Pow(float64(n+1), -largeSkew))
				r := &teamRun{
					limit: pollendoor.TeamLimit{Rate: rate, Burst: rate}, rng: rand.New(rand.NewPCG(7, uint64(n))),
					pool: &quota.Pool{Reserves: true}, division: func(time.Duration) quota.Division { return quota.DivideWhole },
					questions: quota.TokenRequests(), countFrom: max(tc.countFrom, quota.GrantTTL),
				}
				for i := range largeZones {
					r.zones = append(r.zones, r.keeper(fmt.Sprint("zone", i), 1, quota.ZoneShare, i, 0))
				}
				for i := range r.reserves {
					r.reserves[i] = r.keeper(fmt.Sprint("reserve", i), 1, quota.FirstReserve+quota.Source(i), 0, 0)
				}
				r.callers(rate / headroom * tc.demand)
				if tc.fault != nil {
					r.at(faultAt, func(now time.Duration) { tc.fault(r, now) })
				}
				r.play(largeLength)
				late, counted = late+r.late, counted+r.counted
				meanwhile, during = meanwhile+r.meanwhile, during+r.during
				worst = max(worst, r.busiest())
			}
			if worst > 1 {
				t.Errorf("got %.3f of what a window allows, want at most 1", worst)
			}
			if got := float64(late) / float64(max(1, counted)); got > wrongfulMost {
				t.Errorf("got %.5f of %d operations refused below the limit, want at most %g", got, counted, wrongfulMost)
			}
			t.Logf("refused %d of %d, and %d of %d until the fault was over; busiest window %.2f of the limit", late, counted, meanwhile, during, worst)
		})
	}
}
