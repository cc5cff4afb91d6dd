package quota

import (
	"slices"
	"time"
)

// probePeriod is how often a keeper that does not answer is asked for a sign of life: a
// fraction of the time in which a view without a lost VM is made.
const probePeriod = 100 * time.Millisecond

// Reach records which keepers answer this VM, so that one that does not costs the wait
// for its answer once and not for each operation. The zero value is empty. It is not
// safe for concurrent use.
type Reach struct {
	contacts map[string]*contact // by VM
}

// contact is what a VM knows of its contact with a keeper.
type contact struct {
	heardAt  time.Duration // time at which the keeper was last heard
	silent   bool          // whether the keeper does not answer
	probedAt time.Duration // time of the last probe
}

// contact returns the contact with a VM, which it creates if necessary.
func (r *Reach) contact(vm string) *contact {
	if r.contacts == nil {
		r.contacts = make(map[string]*contact)
	}
	c := r.contacts[vm]
	if c == nil {
		c = &contact{}
		r.contacts[vm] = c
	}
	return c
}

// Heard records that a VM was heard, with whatever message. It reports whether the VM
// had been silent.
func (r *Reach) Heard(vm string, now time.Duration) bool {
	c := r.contacts[vm]
	if c == nil {
		return false // it has not been asked
	}
	wasSilent := c.silent
	c.heardAt, c.silent = now, false
	return wasSilent
}

// Asked records that a VM is being asked.
func (r *Reach) Asked(vm string) { r.contact(vm) }

// Unanswered records that a VM did not answer a question that was sent at the time sent.
// It reports whether the VM counts as silent from now on. A VM that was heard after
// that has only lost the question.
func (r *Reach) Unanswered(vm string, sent, now time.Duration) bool {
	c := r.contact(vm)
	if c.silent || c.heardAt >= sent {
		return false
	}
	c.silent, c.probedAt = true, now
	return true
}

// Silent reports whether a VM does not answer.
func (r *Reach) Silent(vm string) bool {
	c := r.contacts[vm]
	return c != nil && c.silent
}

// ProbeDue reports whether a silent VM is to be probed now, and counts the probe.
func (r *Reach) ProbeDue(vm string, now time.Duration) bool {
	c := r.contacts[vm]
	if c == nil || !c.silent || now < c.probedAt+probePeriod {
		return false
	}
	c.probedAt = now
	return true
}

// Retain forgets the VMs that keep does not report.
func (r *Reach) Retain(keep func(vm string) bool) {
	for vm := range r.contacts {
		if !keep(vm) {
			delete(r.contacts, vm)
		}
	}
}

// Keepers are the VMs that keep a team's quota, by name, as seen from one zone.
type Keepers struct {
	Zone     []string // candidates of the zone; the first one that answers is asked
	Reserves []string // keepers of the reserves
	Others   []string // keepers of the other zones, the nearest first
}

// Ask is a token request to a VM.
type Ask struct {
	VM string
	TokenRequest
}

// Target returns the VM that an operation at the VM self asks with request q, after the
// requests that it has made, or false if there is none. A keeper that is silent is
// replaced by one that holds another share and answers: the shares together never exceed
// the allowance, whoever uses them.
func (k *Keepers) Target(self string, q TokenRequest, made []Ask, silent func(vm string) bool) (Ask, bool) {
	zone := self
	if i := slices.IndexFunc(k.Zone, func(vm string) bool { return vm == self || !silent(vm) }); i >= 0 {
		zone = k.Zone[i]
	}
	if q.Source == ZoneShare {
		if outOfReach := len(k.Zone) > 0 && zone != k.Zone[0]; !q.Counted || !outOfReach {
			return Ask{zone, q}, true
		}
	} else {
		i := int(q.Source - FirstReserve)
		if i >= len(k.Reserves) {
			return Ask{}, false
		}
		if vm := k.Reserves[i]; vm == self || !silent(vm) {
			return Ask{vm, q}, true
		}
	}
	q.Source = ZoneShare
	for _, vm := range k.Others {
		if asked := slices.ContainsFunc(made, func(a Ask) bool { return a.VM == vm && a.Source == ZoneShare }); !asked && !silent(vm) {
			return Ask{vm, q}, true
		}
	}
	return Ask{zone, q}, q.Counted
}
