package limit_test

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/pollendoor/pollendoor/limit"
)

func ExampleLedger() {
	now := time.Unix(0, 0)
	l := limit.Ledger{Self: "vm1#1"}
	l.Set("a", 10, 2, now)
	l.Enter(1)
	l.Grant(1, map[string]uint64{"a": limit.TotalUnits}, now)
	now = now.Add(time.Second)
	for range 4 {
		wait, ok := l.Take("a", 1, limit.MaxWait, now)
		fmt.Println(wait, ok)
	}
	// Output:
	// 0s true
	// 0s true
	// 100ms true
	// 0s false
}

// fleet simulates the ledgers of several VMs, the store, and a network that loses,
// duplicates and delays messages.
type fleet struct {
	now      time.Time
	vms      map[string]*limit.Ledger
	gone     map[string]bool // identities of the processes that have ended
	state    limit.State
	held     map[string]limit.Held // holdings recorded in the store, by identity
	inFlight []limit.Transfer      // transfers that may still be delivered
	nextID   int
	admitted []time.Time // time of each admitted statement
}

const (
	testRate  = 10.0
	testBurst = 5.0
)

// pick returns the ledger of a random VM.
func (f *fleet) pick(t *rapid.T) *limit.Ledger {
	if len(f.vms) == 0 {
		t.Skip("no VM")
	}
	var ids []string
	for i := range f.nextID {
		if id := name(i); f.vms[id] != nil {
			ids = append(ids, id)
		}
	}
	return f.vms[rapid.SampledFrom(ids).Draw(t, "vm")]
}

func name(i int) string { return fmt.Sprintf("vm%d", i) }

// check verifies the package's invariant: the VMs hold at most TotalUnits, and every
// window that ends at the newest admission has at most burst + rate*w statements.
func (f *fleet) check(t *rapid.T) {
	var units uint64
	for _, l := range f.vms {
		units += l.Units("a")
	}
	if units > limit.TotalUnits {
		t.Fatalf("got %d units held, want at most %d", units, limit.TotalUnits)
	}
	for i, from := range f.admitted {
		n := float64(len(f.admitted) - i)
		last := f.admitted[len(f.admitted)-1]
		if maxAdmitted := testBurst + testRate*last.Sub(from).Seconds() + 1e-6; n > maxAdmitted {
			t.Fatalf("got %v statements admitted within %v, want at most %v", n, last.Sub(from), maxAdmitted)
		}
	}
}

// TestInvariant runs random sequences of joins, process ends, transfers, lost and
// duplicated messages, and epochs, and checks the invariant after each step.
func TestInvariant(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := &fleet{now: time.Unix(0, 0), vms: map[string]*limit.Ledger{}, gone: map[string]bool{}, held: map[string]limit.Held{}}
		t.Repeat(map[string]func(*rapid.T){
			"join": func(*rapid.T) {
				id := name(f.nextID)
				f.nextID++
				l := &limit.Ledger{Self: id}
				l.Set("a", testRate, testBurst, f.now)
				f.vms[id] = l
				f.state = f.state.Join(id)
			},
			"die": func(t *rapid.T) {
				l := f.pick(t)
				delete(f.vms, l.Self)
				f.gone[l.Self] = true
			},
			"drop": func(*rapid.T) {
				f.state = f.state.Drop(func(id string) bool { return f.gone[id] }, "gone")
			},
			"enter": func(t *rapid.T) {
				l := f.pick(t)
				if l.Epoch < f.state.Epoch {
					f.held[l.Self] = limit.Held{Epoch: f.state.Epoch, Units: l.Enter(f.state.Epoch)}
				}
			},
			"close": func(*rapid.T) {
				if s, ok := f.state.Close(f.held, []string{"a"}); ok {
					f.state = s
				}
			},
			"grant": func(t *rapid.T) {
				l := f.pick(t)
				if !f.state.Collecting {
					l.Grant(f.state.Epoch, f.state.Grants[l.Self], f.now)
				}
			},
			"give": func(t *rapid.T) {
				from, to := f.pick(t), f.pick(t)
				units := rapid.Uint64Range(0, limit.TotalUnits).Draw(t, "units")
				if m, ok := from.Give("a", to.Self, min(units, from.Units("a")), f.now); ok {
					f.inFlight = append(f.inFlight, m)
				}
			},
			"deliver": func(t *rapid.T) {
				if len(f.inFlight) == 0 {
					t.Skip("no message in flight")
				}
				// The message stays in flight: it may be delivered again, or never.
				m := rapid.SampledFrom(f.inFlight).Draw(t, "message")
				if l := f.vms[m.To]; l != nil {
					l.Receive(m, f.now)
				}
			},
			"take": func(t *rapid.T) {
				l := f.pick(t)
				if wait, ok := l.Take("a", 1, 0, f.now); ok && wait == 0 {
					f.admitted = append(f.admitted, f.now)
				}
			},
			"tick": func(t *rapid.T) {
				f.now = f.now.Add(time.Duration(rapid.IntRange(1, 2000).Draw(t, "ms")) * time.Millisecond)
			},
			"": f.check,
		})
	})
}

// TestSpareUnits checks that a VM gives half of its units if its bucket is full, and
// none if its bucket is empty.
func TestSpareUnits(t *testing.T) {
	now := time.Unix(0, 0)
	l := limit.Ledger{Self: "a"}
	l.Set("team", 10, 10, now)
	l.Enter(1)
	l.Grant(1, map[string]uint64{"team": 1000}, now)
	if got := l.SpareUnits("team", now); got != 0 {
		t.Errorf("got %d units from an empty bucket, want none", got)
	}
	if got := l.SpareUnits("team", now.Add(time.Hour)); got != 500 {
		t.Errorf("got %d units from a full bucket, want half", got)
	}
}

// TestSharesFollowDemand checks that a team's units move to the VM that receives
// the team's requests.
func TestSharesFollowDemand(t *testing.T) {
	now := time.Unix(0, 0)
	a, b := &limit.Ledger{Self: "a"}, &limit.Ledger{Self: "b"}
	for _, l := range []*limit.Ledger{a, b} {
		l.Set("team", 100, 100, now)
		l.Enter(1)
		l.Grant(1, map[string]uint64{"team": limit.TotalUnits / 2}, now)
		l.Demands(now)
	}
	for range 20 {
		now = now.Add(100 * time.Millisecond)
		for range 9 {
			b.Take("team", 1, limit.MaxWait, now)
		}
		da, db := a.Demands(now), b.Demands(now)
		for _, m := range a.Plan(map[string]map[string]limit.Demand{"b": db}) {
			transfer, _ := a.Give(m.Team, m.To, m.Units, now)
			b.Receive(transfer, now)
		}
		for _, m := range b.Plan(map[string]map[string]limit.Demand{"a": da}) {
			transfer, _ := b.Give(m.Team, m.To, m.Units, now)
			a.Receive(transfer, now)
		}
	}
	if got, want := float64(b.Units("team"))/limit.TotalUnits, 0.9; got < want {
		t.Errorf("got fraction %.2f of the units on the VM with all requests, want at least %.2f", got, want)
	}
}
