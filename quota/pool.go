// Package quota divides each team's rate and burst among the VMs of the fleet. The
// quota keeper of a team is a VM that admits the team's operations from its share of
// the allowance: the share of a zone, or a reserve. The leader of the fleet grants the keepers shares that follow
// demand and expire unless they are renewed. The shares that may be in use never sum
// to more than the whole allowance. A part of each allowance is a reserve for all
// zones, because the share of a zone in a small team's rate is less than one
// operation per second and callers do not arrive evenly.
package quota

import (
	"math"
	"slices"
	"time"

	"github.com/pollendoor/pollendoor"
)

const (
	// GrantTTL is how long a grant is valid, counted from the time at which its
	// request was sent. It is long enough for grants to outlast a change of leader.
	GrantTTL = 3 * time.Second
	// evenPart is the part of a team's allowance that is divided evenly, so that an
	// idle VM can serve its first callers.
	evenPart = 0.25
	// minChange is the least change of a share for which the share is adjusted.
	minChange = 0.03
	// maxReserve and minReserve are the parts of an allowance that are kept in reserve
	// for a team without demand and for a team with very large demand.
	maxReserve, minReserve = 0.6, 0.3
	// reserveMidDemand is the demand of a zone, in operations per second, at which the
	// reserve is half-way between maxReserve and minReserve.
	reserveMidDemand = 8.0
	// maxVMShare is the largest part of an allowance that one VM may hold in a fleet of
	// CappedFleet VMs or more. It lets a new leader bound what a VM that has not yet
	// reported may use.
	maxVMShare = 0.35
)

// CappedFleet is the least number of VMs for which the share of a single VM is
// capped.
const CappedFleet = 5

// grant is a share that a VM may be using.
type grant struct {
	seq     uint64
	amount  float64       // part of the team's allowance
	expires time.Duration // time at which the grant expires
}

// allocation is the leader's record of a VM's shares of one team's allowance.
type allocation struct {
	process          uint64 // identifies the process of the VM that reported
	source           Source
	zone             string
	demand           float64
	reportedAt       time.Duration // time of the last report, zero after the share was released
	inherited        float64       // share granted by an earlier leader
	inheritedExpired float64       // part of inherited that had expired when it was reported
	grants           []grant       // grants that no later one has replaced yet
	budgeted         float64       // part of a frozen account's budget that the VM holds
	inheritedDemand  estimate      // estimate of the VM's demand until it has measured its own
	credit           time.Duration // sum of the credits that were granted
	creditSeq        uint64        // sequence number of the grant that increased credit last
}

// estimate is the demand that another VM of the zone measured, at the time at.
type estimate struct {
	demand float64
	at     time.Duration
}

// decayed returns the part of the estimate that still counts. It decays as fast as
// the new keeper's own average grows.
func (e estimate) decayed(now time.Duration) float64 {
	return e.demand * math.Exp(-(now-e.at).Seconds()/demandTimeConstant.Seconds())
}

// expectedDemand returns the larger one of the reported and the estimated demand.
func (h *allocation) expectedDemand(now time.Duration) float64 {
	return max(h.demand, h.inheritedDemand.decayed(now))
}

// active reports whether the VM has reported within the last GrantTTL.
func (h *allocation) active(now time.Duration) bool {
	return h.reportedAt > 0 && now-h.reportedAt < GrantTTL
}

// allocationKey identifies an allocation within an account. One VM may keep both the
// share of its zone and a reserve.
type allocationKey struct {
	vm     string
	source Source
}

// account is the leader's record of one team's allowance.
type account struct {
	allocations map[allocationKey]*allocation
	// orphaned is the demand of the zones whose keeper has released its share. It is
	// the first estimate for the zone's next keeper.
	orphaned map[string]estimate
	// frozen is set while another leader may divide the allowance as well. The budget
	// is then what this leader may divide: the shares of the VMs that have reported to
	// it without a gap.
	frozen bool
	budget float64
	unused unused
}

// outstanding returns the largest grant that the VM may be using.
func (h *allocation) outstanding(now time.Duration) float64 {
	h.grants = slices.DeleteFunc(h.grants, func(g grant) bool { return g.expires <= now })
	largest := 0.0
	for _, g := range h.grants {
		largest = max(largest, g.amount)
	}
	return largest
}

// Pool is the leader's record of the shares of all teams. The zero value is empty. It
// is not safe for concurrent use.
type Pool struct {
	// Reserves reports whether two VMs of the fleet each keep a reserve for each team.
	Reserves bool

	teams map[string]*account
	seq   uint64
	// seen has the VMs that have reported, by name, and whether they may hold shares.
	seen        map[string]bool
	seenHolders int           // number of VMs in seen that may hold shares
	mostHolders int           // largest number of VMs that may hold shares
	allSeen     bool          // whether every VM that may run operations has reported
	lastUse     time.Duration // latest time at which an operation may have begun by shares of an earlier leader
}

// Division is the rule by which a leader may divide an allowance.
type Division uint8

// The divisions.
const (
	// DivideWhole divides the whole allowance.
	DivideWhole Division = iota
	// DivideReported divides the shares that the VMs held when they reported, because
	// an earlier leader's grants to other VMs may be in use.
	DivideReported
	// DivideUnexpired is like DivideReported without the shares that had expired when
	// they were reported: the earlier leader may have granted those to other VMs.
	DivideUnexpired
	// DivideFrozen divides the shares of the VMs that report to this leader, because
	// another leader may divide the rest.
	DivideFrozen
)

// HeldShare is the share of a team's allowance that a VM reports to the leader.
type HeldShare struct {
	Amount float64       `cbor:"1,keyasint"`
	Left   time.Duration `cbor:"2,keyasint"` // time until the share expires; zero if it has expired
	Demand float64       `cbor:"3,keyasint"` // requested operations per second
	// Released reports whether another VM is the keeper of the team's rate now. Left is
	// then the time until the last operation begins that has got a token of the share.
	Released bool `cbor:"4,keyasint,omitempty"`
	// Expired is how long ago the share has expired, zero if it is in use.
	Expired time.Duration `cbor:"5,keyasint,omitempty"`
}

// HeldShares are the shares of one source that a VM reports, by team.
type HeldShares struct {
	Teams map[string]HeldShare `cbor:"1,keyasint,omitempty"`
	Seq   uint64               `cbor:"2,keyasint,omitempty"` // sequence number of the grants applied last, zero if another leader made them
}

// InUse reports whether the VM may admit operations from a share.
func (h HeldShares) InUse() bool {
	for _, s := range h.Teams {
		if s.Amount > 0 && s.Left > 0 {
			return true
		}
	}
	return false
}

// Grants are the shares that the leader grants in answer to a report.
type Grants struct {
	Amounts map[string]float64 `cbor:"1,keyasint,omitempty"` // parts of the allowance by team
	Seq     uint64             `cbor:"2,keyasint,omitempty"`
	// Credits are the sums of the credits since the leader began, by team: the time for
	// which the team's whole allowance was certainly unused and is available to the VM.
	Credits map[string]time.Duration `cbor:"3,keyasint,omitempty"`
	// Leader identifies the leader that the grants are from. It is the fencing token of
	// the answer.
	Leader uint64 `cbor:"-"`
}

// Report is a VM's report of its shares of one source.
type Report struct {
	VM     string
	Source Source
	Zone   string // availability zone
	Run    uint64 // identifies the process of the VM; the shares of an earlier process are no longer in use
	HeldShares
}

// Conditions is the state of the fleet from which a leader decides the shares.
type Conditions struct {
	Zones      int // number of zones with VMs
	VMs        int // number of VMs that may hold shares
	Division   Division
	Lease      time.Duration // lease that the VM is granted with its shares, which are valid as long if that is longer than GrantTTL
	Unreported int           // number of VMs that may hold shares of an earlier leader and have not reported
	Claimed    time.Duration // time before which an earlier leader may have granted shares, zero if there was none
	// Members are the VMs that may run operations.
	Members []string
	// Limits and Tolerance are the limits of the teams and what may be admitted beyond.
	// No credits are granted without them.
	Limits    map[string]pollendoor.TeamLimit
	Tolerance Tolerance
	// Peers is the number of VMs that share the tolerance, and Spare reports whether no
	// leader has granted the spare part of the tolerance within the last window.
	Peers int
	Spare bool
}

// validity returns how long a share is valid that is granted together with a lease.
// A lease is longer than usual while the store is unreachable. If the leader is lost
// then, its shares have to last until there can be another one.
func validity(lease time.Duration) time.Duration { return max(GrantTTL, lease) }

// Renew processes a VM's report at the time now and returns the VM's new shares.
func (p *Pool) Renew(r Report, conditions Conditions, now time.Duration) Grants {
	if p.teams == nil {
		p.teams = make(map[string]*account)
	}
	p.seq++
	p.mostHolders = max(p.mostHolders, conditions.VMs)
	out := make(map[string]float64, len(r.Teams))
	var credits map[string]time.Duration
	for team, h := range r.Teams {
		a := p.teams[team]
		if a == nil {
			a = &account{allocations: make(map[allocationKey]*allocation), orphaned: make(map[string]estimate)}
			p.teams[team] = a
		}
		own := a.allocation(&r, h, conditions.Claimed, now)
		if h.Released {
			own.budgeted = 0 // the released share stays in the budget of a frozen account
			a.release(own, now)
			if h.Amount > 0 && h.Left > 0 { // operations wait for tokens of the share
				own.grants = []grant{{amount: h.Amount, expires: now + h.Left}}
			}
			continue
		}
		if own.reportedAt == 0 && r.Source == ZoneShare {
			own.inheritedDemand = a.orphaned[r.Zone]
			delete(a.orphaned, r.Zone)
		}
		a.expire(own, now)
		own.demand, own.reportedAt = h.Demand, now
		own.grants = slices.DeleteFunc(own.grants, func(g grant) bool { return g.seq < r.Seq })
		own.budgeted = min(own.budgeted, own.outstanding(now)) // the part that was given back stays in the budget
		a.setFrozen(conditions.Division == DivideFrozen, now)
		amount, whole := a.amount(own, allocationKey{r.VM, r.Source}, p.Reserves, conditions, now)
		if credit := p.credit(a, own, team, amount, whole, &conditions, now); credit > 0 {
			own.credit += credit
			own.creditSeq = p.seq
		}
		if own.creditSeq > r.Seq {
			if credits == nil {
				credits = make(map[string]time.Duration)
			}
			credits[team] = own.credit
		}
		own.grants = append(own.grants, grant{seq: p.seq, amount: amount, expires: now + validity(conditions.Lease)})
		own.budgeted = own.outstanding(now)
		a.unused.held += own.budgeted
		out[team] = amount
	}
	return Grants{Amounts: out, Seq: p.seq, Credits: credits}
}

// reportDelay bounds the time from a VM's report to its arrival at the leader.
const reportDelay = 300 * time.Millisecond

// allocation returns the record of the VM that reports. If this is the first report
// of the VM's process, the record is new and includes the share that an earlier
// leader granted before claimed, unless that leader may have granted it to another VM
// since it expired.
func (a *account) allocation(r *Report, h HeldShare, claimed, now time.Duration) *allocation {
	own := a.allocations[allocationKey{r.VM, r.Source}]
	if own != nil && own.process == r.Run {
		return own
	}
	if own != nil {
		// The earlier process released its share by ending. Another leader may have
		// renewed that share before, so it leaves the budget.
		a.budget -= own.budgeted
		a.release(own, now)
	}
	own = &allocation{process: r.Run, source: r.Source, zone: r.Zone}
	regranted := h.Expired > 0 && now-h.Expired-reportDelay < claimed
	if !h.Released && !regranted { // another VM may have been granted a released share
		own.inherited = h.Amount
	}
	if h.Left <= 0 {
		own.inheritedExpired = own.inherited
	}
	if h.Left > 0 && h.Amount > 0 {
		own.grants = []grant{{amount: h.Amount, expires: now + h.Left}}
	}
	a.allocations[allocationKey{r.VM, r.Source}] = own
	return own
}

// release takes a VM's share back. The record of the share granted by an earlier
// leader remains, so that the next keeper can get it.
func (a *account) release(h *allocation, now time.Duration) {
	if h.reportedAt > 0 && h.source == ZoneShare {
		a.orphaned[h.zone] = estimate{h.expectedDemand(now), now}
	}
	h.grants, h.demand, h.reportedAt, h.inheritedDemand = nil, 0, 0, estimate{}
}

// setFrozen sets whether another leader may divide the allowance as well. When the
// account becomes frozen, its budget is the sum of the shares of all active VMs.
func (a *account) setFrozen(frozen bool, now time.Duration) {
	if !frozen {
		a.frozen = false
		return
	}
	if !a.frozen {
		a.frozen, a.budget = true, 0
		for _, h := range a.allocations {
			h.budgeted = 0
			if h.active(now) {
				h.budgeted = h.outstanding(now)
			}
			a.budget += h.budgeted
		}
	}
	for _, h := range a.allocations {
		a.expire(h, now)
	}
}

// expire subtracts from a frozen account's budget the share that a VM has not
// renewed in time, because the VM may report to another leader now.
func (a *account) expire(h *allocation, now time.Duration) {
	if expired := h.budgeted - h.outstanding(now); a.frozen && expired > 0 {
		a.budget -= expired
		h.budgeted -= expired
	}
}

// reservePart returns the part of an allowance that is kept in reserve, given the
// average demand of a zone in operations per second.
func reservePart(demand float64) float64 {
	return minReserve + (maxReserve-minReserve)/(1+demand/reserveMidDemand)
}

// amount returns the new share of a VM, and the part of the allowance that may be
// divided.
func (a *account) amount(own *allocation, key allocationKey, reserves bool, conditions Conditions, now time.Duration) (amount, whole float64) {
	division := conditions.Division
	demand, others, inherited, sameVM := 0.0, 0.0, 0.0, 0.0
	reporting := 0
	for k, h := range a.allocations {
		if h != own {
			held := h.outstanding(now)
			others += held
			if k.vm == key.vm {
				sameVM += held
			}
			if division == DivideWhole && held == 0 && !h.active(now) {
				delete(a.allocations, k) // otherwise records of removed VMs would accumulate
			}
		}
		if h.source == ZoneShare && h.active(now) {
			demand += h.expectedDemand(now)
			reporting++
		}
		inherited += h.inherited
		if division == DivideUnexpired {
			inherited -= h.inheritedExpired
		}
	}
	for _, e := range a.orphaned {
		if now-e.at < newKeeperGrace {
			demand += e.decayed(now) // the zone's next keeper is about to report
			reporting++
		}
	}
	whole = 1
	switch division {
	case DivideReported, DivideUnexpired:
		// The earlier leader's grants summed to 1 at most. The part that the VMs
		// which have reported did not hold may be in use by the others, of which each
		// holds maxVMShare at most, whichever leader granted it.
		whole = min(1, inherited)
		if reserves && conditions.VMs > CappedFleet {
			whole = max(whole, 1-maxVMShare*float64(conditions.Unreported))
		}
	case DivideFrozen:
		whole = a.budget
	}
	zones := max(1, conditions.Zones)
	reserved := 0.0
	if reserves {
		reserved = whole * reservePart(demand/float64(zones))
	}
	current := own.outstanding(now)
	want := (whole - reserved) / float64(zones)
	complete := demand > 0 && reporting >= zones // if incomplete, the first VMs to report would get everything
	switch {
	case own.source != ZoneShare:
		want = reserved / float64(NumSources-1)
	case complete:
		want = (whole - reserved) * (evenPart/float64(zones) + (1-evenPart)*own.expectedDemand(now)/demand)
	}
	if division != DivideWhole && !complete {
		want = max(current, want)
	}
	if reserves && conditions.VMs >= CappedFleet {
		want = max(0, min(want, maxVMShare-sameVM))
	}
	sum := current + others
	if d := want - current; d < minChange && d > -minChange && sum <= whole && sum > whole-minChange {
		return current, whole
	}
	return max(0, min(want, whole-others)), whole
}
