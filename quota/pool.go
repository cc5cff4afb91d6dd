// Package quota divides each team's rate and burst among the VMs of the fleet.
// The duty holder grants shares that follow demand and lapse by themselves; the
// shares that may be in use never sum to more than the whole. A part of each
// allowance is a reserve for all zones: the share of a zone in a small team's rate
// is less than an operation a second, and callers do not come evenly.
package quota

import (
	"math"
	"slices"
	"time"
)

const (
	// Life is how long a grant lasts, counted from when its request was sent. It
	// outlives a change of the duty holder.
	GrantTTL = 3 * time.Second
	// even is the part of a team's allowance that is divided evenly, so that a
	// VM that was idle can serve the first callers it gets.
	even = 0.25
	// step is the least change of a share that is granted anew.
	step = 0.03
	// reserveMost and reserveLeast are the parts of an allowance that are kept in
	// reserve for a team without any demand, and for one with a very large one.
	reserveMost, reserveLeast = 0.6, 0.3
	// reserveDemand is the demand of a zone, in operations a second, at which the
	// reserve is half-way between the two.
	reserveDemand = 8.0
	// vmMost is the part of an allowance that one VM holds at most, of CappedFleet VMs
	// or more: the next holder knows at once that this is all that a VM which it has
	// not heard may use.
	vmMost = 0.35
)

// CappedFleet is the number of VMs from which on no VM holds more than a part of an
// allowance.
const CappedFleet = 5

// grant is an amount that a VM may be using.
type grant struct {
	seq    uint64
	amount float64
	until  time.Duration
}

// holding is what is known of a VM's use of one team's allowance.
type holding struct {
	run     uint64 // process that reported it
	source  Source
	zone    string
	demand  float64
	heard   time.Duration // when it last reported, zero once it has given up its share
	before  float64       // held from an earlier holder
	lapsed  float64       // the part of before that had lapsed when it was reported
	grants  []grant       // not superseded yet
	counted float64       // the part of a frozen budget that it holds
	first   estimate      // of its demand, until it has measured its own
}

// estimate is a demand that was measured by another VM of the zone.
type estimate struct {
	demand float64
	at     time.Duration
}

// now returns how much of the estimate still counts. It fades as fast as the next
// VM's own average builds up.
func (e estimate) now(now time.Duration) float64 {
	return e.demand * math.Exp(-(now-e.at).Seconds()/demandTime.Seconds())
}

// expected returns the demand to reckon with.
func (h *holding) expected(now time.Duration) float64 { return max(h.demand, h.first.now(now)) }

// reports reports whether the VM shares the allowance.
func (h *holding) reports(now time.Duration) bool { return h.heard > 0 && now-h.heard < GrantTTL }

// sharer is a VM's part in dividing an allowance. One VM may keep both the share of
// its zone and the reserve.
type sharer struct {
	vm     string
	source Source
}

// account is all that is known of one team's allowance.
type account struct {
	vms map[sharer]*holding
	// left is the demand of zones whose keeper has given up its share, for the
	// one that takes its place.
	left map[string]estimate
	// frozen says that another holder may divide the allowance as well, and budget
	// what this one may divide: that which VMs that it has heard all the time hold.
	frozen bool
	budget float64
}

func (h *holding) outstanding(now time.Duration) float64 {
	h.grants = slices.DeleteFunc(h.grants, func(g grant) bool { return g.until <= now })
	most := 0.0
	for _, g := range h.grants {
		most = max(most, g.amount)
	}
	return most
}

// Pool is the duty holder's account of all shares. The zero value is empty.
type Pool struct {
	// Reserves says that two VMs of the fleet keep a reserve of each team.
	Reserves bool

	teams map[string]*account
	seq   uint64
}

// Division says how a holder may divide an allowance.
type Division uint8

// The divisions.
const (
	// Whole divides all of it.
	DivideWhole Division = iota
	// Known divides what those that have reported held, as grants of an earlier
	// holder to others may be in use.
	DivideReported
	// Held is the same for what they still hold: the earlier holder may have
	// given to others what has lapsed.
	DivideUnexpired
	// Frozen divides what the VMs that are heard hold together, as another holder may
	// divide the rest.
	DivideFrozen
)

// Holding is a share that a VM reports.
type HeldShare struct {
	Amount float64       `cbor:"1,keyasint"`
	Left   time.Duration `cbor:"2,keyasint"` // until it lapses; zero if it has
	Demand float64       `cbor:"3,keyasint"` // operations a second asked for
	// Released says that another VM keeps the team's rate now.
	Released bool `cbor:"4,keyasint,omitempty"`
}

// Holdings is the shares of one source that a VM reports.
type HeldShares struct {
	Teams map[string]HeldShare `cbor:"1,keyasint,omitempty"`
	Seq   uint64               `cbor:"2,keyasint,omitempty"` // of the grants adopted last, zero for those of another holder
}

// Grants is the answer to a report.
type Grants struct {
	Amounts map[string]float64 `cbor:"1,keyasint,omitempty"` // by team
	Seq     uint64             `cbor:"2,keyasint,omitempty"`
}

// Report is what a VM tells of its shares.
type Report struct {
	VM     string
	Source Source
	Zone   string // availability zone
	Run    uint64 // of its process: what an earlier one held is not in use any more
	HeldShares
}

// Terms are what a holder knows of those that share.
type Conditions struct {
	Zones      int // with VMs
	VMs        int // that may hold shares
	Division   Division
	Unreported int // VMs that may hold shares of an earlier holder, and have not told
}

// Renew takes a VM's report and returns its shares.
func (p *Pool) Renew(r Report, by Conditions, now time.Duration) Grants {
	if p.teams == nil {
		p.teams = make(map[string]*account)
	}
	p.seq++
	out := make(map[string]float64, len(r.Teams))
	for team, h := range r.Teams {
		a := p.teams[team]
		if a == nil {
			a = &account{vms: make(map[sharer]*holding), left: make(map[string]estimate)}
			p.teams[team] = a
		}
		own := a.holding(&r, h, now)
		if h.Released {
			own.counted = 0 // what it held stays in the budget of a frozen account
			a.release(own, now)
			continue
		}
		if own.heard == 0 && r.Source == ZoneShare {
			own.first = a.left[r.Zone]
			delete(a.left, r.Zone)
		}
		a.lapse(own, now)
		own.demand, own.heard = h.Demand, now
		own.grants = slices.DeleteFunc(own.grants, func(g grant) bool { return g.seq < r.Seq })
		own.counted = min(own.counted, own.outstanding(now)) // what it has given back stays in the budget
		a.freeze(by.Division == DivideFrozen, now)
		amount := a.amount(own, sharer{r.VM, r.Source}, p.Reserves, by, now)
		own.grants = append(own.grants, grant{seq: p.seq, amount: amount, until: now + GrantTTL})
		own.counted = own.outstanding(now)
		out[team] = amount
	}
	return Grants{Amounts: out, Seq: p.seq}
}

// holding returns what is known of the VM that reports, with what it held from an
// earlier holder if this is its first report.
func (a *account) holding(r *Report, h HeldShare, now time.Duration) *holding {
	own := a.vms[sharer{r.VM, r.Source}]
	if own != nil && own.run == r.Run {
		return own
	}
	if own != nil {
		// By its end. Another holder may have renewed its share before.
		a.budget -= own.counted
		a.release(own, now)
	}
	own = &holding{run: r.Run, source: r.Source, zone: r.Zone, before: h.Amount}
	if h.Left <= 0 {
		own.lapsed = h.Amount
	}
	if h.Left > 0 && h.Amount > 0 {
		own.grants = []grant{{amount: h.Amount, until: now + h.Left}}
	}
	a.vms[sharer{r.VM, r.Source}] = own
	return own
}

// release takes a VM's share back. What it held from an earlier holder stays
// known, for the keeper that takes its place.
func (a *account) release(h *holding, now time.Duration) {
	if h.heard > 0 && h.source == ZoneShare {
		a.left[h.zone] = estimate{h.expected(now), now}
	}
	h.grants, h.demand, h.heard, h.first = nil, 0, 0, estimate{}
}

// freeze follows whether another holder may divide the allowance as well.
func (a *account) freeze(frozen bool, now time.Duration) {
	if !frozen {
		a.frozen = false
		return
	}
	if !a.frozen {
		a.frozen, a.budget = true, 0
		for _, h := range a.vms {
			h.counted = 0
			if h.reports(now) {
				h.counted = h.outstanding(now)
			}
			a.budget += h.counted
		}
	}
	for _, h := range a.vms {
		a.lapse(h, now)
	}
}

// lapse takes out of a frozen account's budget what a VM has not renewed in time: it
// may have turned to another holder.
func (a *account) lapse(h *holding, now time.Duration) {
	if lost := h.counted - h.outstanding(now); a.frozen && lost > 0 {
		a.budget -= lost
		h.counted -= lost
	}
}

// reserve returns the part of an allowance that is kept in reserve, by the demand
// of each zone.
func reserve(demand float64) float64 {
	return reserveLeast + (reserveMost-reserveLeast)/(1+demand/reserveDemand)
}

// amount decides the share of a VM.
func (a *account) amount(own *holding, self sharer, reserves bool, by Conditions, now time.Duration) float64 {
	div := by.Division
	demand, others, before, same := 0.0, 0.0, 0.0, 0.0
	reporting := 0
	for s, h := range a.vms {
		if h != own {
			held := h.outstanding(now)
			others += held
			if s.vm == self.vm {
				same += held
			}
			if div == DivideWhole && held == 0 && !h.reports(now) {
				delete(a.vms, s) // VMs come and go
			}
		}
		if h.source == ZoneShare && h.reports(now) {
			demand += h.expected(now)
			reporting++
		}
		before += h.before
		if div == DivideUnexpired {
			before -= h.lapsed
		}
	}
	for _, e := range a.left {
		if now-e.at < newKeeper {
			demand += e.now(now) // its next keeper is about to ask
			reporting++
		}
	}
	whole := 1.0
	switch div {
	case DivideReported, DivideUnexpired:
		// All that the earlier holder granted summed to one at most; what is not
		// with the VMs that have reported may be with the others.
		whole = min(1, before)
		if capped := reserves && by.VMs > CappedFleet; div == DivideReported && capped {
			whole = max(whole, 1-vmMost*float64(by.Unreported))
		}
	case DivideFrozen:
		whole = a.budget
	}
	live := max(1, by.Zones)
	kept := 0.0
	if reserves {
		kept = whole * reserve(demand/float64(live))
	}
	current := own.outstanding(now)
	want := (whole - kept) / float64(live)
	complete := demand > 0 && reporting >= live // before, the first ones would get it all
	switch {
	case own.source != ZoneShare:
		want = kept / float64(NumSources-1)
	case complete:
		want = (whole - kept) * (even/float64(live) + (1-even)*own.expected(now)/demand)
	}
	if div != DivideWhole && !complete {
		want = max(current, want)
	}
	if reserves && by.VMs >= CappedFleet {
		want = max(0, min(want, vmMost-same))
	}
	sum := current + others
	if d := want - current; d < step && d > -step && sum <= whole && sum > whole-step {
		return current
	}
	return max(0, min(want, whole-others))
}
