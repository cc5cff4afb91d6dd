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
	Life = 4 * time.Second
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
	demand float64
	grants []grant // not superseded yet
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
	Left   time.Duration `cbor:"2,keyasint"` // until it lapses
	Demand float64       `cbor:"3,keyasint"` // operations a second asked for
}

// Renew takes a VM's report and returns its shares. Seq is that of the grants
// that the VM has adopted last. While closed, an earlier holder's grants may be
// unknown, and only what is held already is granted again.
func (p *Pool) Renew(vm string, seq uint64, held map[string]Held, live int, closed bool, now time.Duration) (map[string]float64, uint64) {
	if p.teams == nil {
		p.teams = make(map[string]map[string]*holding)
	}
	p.seq++
	out := make(map[string]float64, len(held))
	for team, h := range held {
		vms := p.teams[team]
		if vms == nil {
			vms = make(map[string]*holding)
			p.teams[team] = vms
		}
		own := vms[vm]
		if own == nil {
			own = &holding{}
			vms[vm] = own
			if h.Left > 0 {
				own.grants = []grant{{amount: h.Amount, until: now + h.Left}}
			}
		}
		own.demand = h.Demand
		own.grants = slices.DeleteFunc(own.grants, func(g grant) bool { return g.seq < seq })
		amount := p.amount(vms, vm, live, closed, now)
		own.grants = append(own.grants, grant{seq: p.seq, amount: amount, until: now + Life})
		out[team] = amount
	}
	return out, p.seq
}

// amount decides the share of a VM.
func (p *Pool) amount(vms map[string]*holding, vm string, live int, closed bool, now time.Duration) float64 {
	total, others := 0.0, 0.0
	for name, h := range vms {
		o := h.outstanding(now)
		if name != vm {
			others += o
		}
		if o > 0 || name == vm {
			total += h.demand
		}
	}
	own := vms[vm]
	want := 1 / float64(max(1, live))
	if total > 0 {
		want = even/float64(max(1, live)) + (1-even)*own.demand/total
	}
	current := own.outstanding(now)
	if closed {
		return current
	}
	if d := want - current; d < step && d > -step && current > 0 && current+others <= 1 {
		return current
	}
	return max(0, min(want, 1-others))
}
