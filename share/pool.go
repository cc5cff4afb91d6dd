// Package share divides each team's rate and burst among the VMs of the fleet.
// The duty holder grants shares that follow demand and lapse by themselves; the
// shares that may be in use never sum to more than the whole.
package share

import (
	"slices"
	"time"
)

const (
	// Life is how long a grant lasts, counted from when its request was sent. It
	// outlives a change of the duty holder.
	Life = 3 * time.Second
	// even is the part of a team's allowance that is divided evenly, so that a
	// VM that was idle can serve the first callers it gets.
	even = 0.25
	// step is the least change of a share that is granted anew.
	step = 0.03
)

// grant is an amount that a VM may be using.
type grant struct {
	seq    uint64
	amount float64
	until  time.Duration
}

// holding is what is known of a VM's use of one team's allowance.
type holding struct {
	run    uint64 // process that reported it
	demand float64
	heard  time.Duration // when it last reported
	before float64       // held from an earlier holder, lapsed or not
	grants []grant       // not superseded yet
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
	teams map[string]map[string]*holding // by team and VM
	seq   uint64
}

// Held is a share that a VM reports.
type Held struct {
	Amount float64       `cbor:"1,keyasint"`
	Left   time.Duration `cbor:"2,keyasint"` // until it lapses; zero if it has
	Demand float64       `cbor:"3,keyasint"` // operations a second asked for
	// Released says that another VM keeps the team's rate now.
	Released bool `cbor:"4,keyasint,omitempty"`
}

// Report is what a VM tells of its shares.
type Report struct {
	VM   string
	Run  uint64 // of its process: what an earlier one held is not in use any more
	Seq  uint64 // of the grants adopted last, zero for those of another holder
	Held map[string]Held
}

// Renew takes a VM's report and returns its shares and their number. Live is how
// many VMs share. While closed, grants of an earlier holder to VMs that have not
// reported yet may be in use, and only what the others held is divided.
func (p *Pool) Renew(r Report, live int, closed bool, now time.Duration) (map[string]float64, uint64) {
	if p.teams == nil {
		p.teams = make(map[string]map[string]*holding)
	}
	p.seq++
	out := make(map[string]float64, len(r.Held))
	for team, h := range r.Held {
		vms := p.teams[team]
		if vms == nil {
			vms = make(map[string]*holding)
			p.teams[team] = vms
		}
		own := vms[r.VM]
		if own == nil || own.run != r.Run {
			own = &holding{run: r.Run, before: h.Amount}
			vms[r.VM] = own
			if h.Left > 0 && h.Amount > 0 {
				own.grants = []grant{{amount: h.Amount, until: now + h.Left}}
			}
		}
		if h.Released {
			delete(vms, r.VM)
			continue
		}
		own.demand, own.heard = h.Demand, now
		own.grants = slices.DeleteFunc(own.grants, func(g grant) bool { return g.seq < r.Seq })
		amount := p.amount(vms, r.VM, live, closed, now)
		own.grants = append(own.grants, grant{seq: p.seq, amount: amount, until: now + Life})
		out[team] = amount
	}
	return out, p.seq
}

// amount decides the share of a VM.
func (p *Pool) amount(vms map[string]*holding, vm string, live int, closed bool, now time.Duration) float64 {
	demand, others, before := 0.0, 0.0, 0.0
	reporting := 0
	for name, h := range vms {
		o := h.outstanding(now)
		if name != vm {
			others += o
		}
		if now-h.heard < Life {
			demand += h.demand
			reporting++
		}
		before += h.before
	}
	whole := 1.0
	if closed {
		// All that the earlier holder granted summed to one at most; what is not
		// with the VMs that have reported may be with the others.
		whole = min(1, before)
	}
	own := vms[vm]
	want := whole / float64(max(1, live))
	if demand > 0 && (closed || reporting >= live) {
		// Before all have told their demand, the first ones would get it all.
		want = whole * (even/float64(max(1, live)) + (1-even)*own.demand/demand)
	}
	current := own.outstanding(now)
	sum := current + others
	if d := want - current; d < step && d > -step && sum <= whole && sum > whole-step {
		return current
	}
	return max(0, min(want, whole-others))
}
