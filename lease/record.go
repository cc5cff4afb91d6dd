// Package lease decides who may use which primary of a database group, and when
// another one may be promoted. It holds no I/O: state, event and time go in,
// decisions come out.
//
// One VM of the fleet, the duty holder, replaces primaries. It is claimed by a
// conditional write of the Record, which the platform's store keeps. A VM uses a
// primary only under a lease on a version of the record; before a promotion the
// holder writes a version in which the group is moving, and waits until every
// member has adopted it or can't hold a lease on an older one.
//
// A lease is counted from when its request was sent, so that it ends on the VM
// before the holder believes so, and it never reaches beyond LeaseTime after the
// holder last proved, by a read or write of the record, that no other VM holds the
// duty. A holder that loses the store goes on for a while by promises: members that
// don't reach the store either promise to claim nothing and to confirm no other
// holder's record. A new holder replaces primaries only once most of the members
// that it found have confirmed its record, or no promise can last any longer.
package lease

import (
	"maps"
	"slices"
	"time"

	"github.com/pollendoor/pollendoor"
)

// LeaseTime is how long a lease lasts at most. It bounds how long a promotion
// waits for a VM that is cut off, and how long the fleet can do without proof
// that its holder still is one.
const LeaseTime = 2500 * time.Millisecond

// PromiseTime is how long a member claims nothing, and confirms no other holder's
// record, after a heartbeat in which it promised so. It bounds how long leases go on
// after the last heartbeat while the store is away, and how long a takeover waits
// behind such a promise.
const PromiseTime = 2000 * time.Millisecond

// HoldTime is how long after its last proof a holder may go on by the promises of
// most members: longer than most cuts between VMs and store last. A takeover that
// most members don't confirm waits as long before it replaces a primary.
const HoldTime = 8 * time.Second

// FarTime is the same for the promises of all members, and for a takeover by a VM
// that is no member: longer than the store is usually away.
const FarTime = 30 * time.Second

// ClockSlack covers the difference in speed of two VMs' clocks over a lease.
const ClockSlack = 50 * time.Millisecond

// Stamp is a time that counts for the holder of one token only. Each VM has a boot
// clock of its own, so the time of one holder means nothing to the next.
type Stamp struct {
	Token uint64
	At    time.Duration
}

// Echo returns the time for the holder of a token, zero if it is another one's.
func (s Stamp) Echo(token uint64) time.Duration {
	if s.Token != token {
		return 0
	}
	return s.At
}

// Group is the agreed state of one database group.
type Group struct {
	Epoch   uint64          `json:"epoch" cbor:"1,keyasint"`             // grows with each change of primary
	Primary string          `json:"primary" cbor:"2,keyasint"`           // target id
	Term    pollendoor.Term `json:"term" cbor:"3,keyasint"`              // that the primary leads
	Moving  bool            `json:"moving" cbor:"4,keyasint,omitempty"`  // being replaced: nobody may use it
	Planned bool            `json:"planned" cbor:"5,keyasint,omitempty"` // the old primary is well
	// Ordered is the target whose promotion may have been ordered. From then on
	// the old primary is not used again, whoever holds the duty: the order may
	// take effect at any later time.
	Ordered string `json:"ordered,omitempty" cbor:"6,keyasint,omitempty"`
}

// Record is what the fleet agrees on. Every write of it grows Version.
type Record struct {
	Version uint64           `json:"version"`
	Token   uint64           `json:"token"`  // fencing token of the holder
	Holder  string           `json:"holder"` // VM name
	Addr    string           `json:"addr"`   // the holder's heartbeat address
	Groups  map[string]Group `json:"groups"`
	Members []string         `json:"members"` // VMs that may hold leases and claim the duty
	// Keepers is the VMs that may hold shares of teams' rates; none means all. The
	// next holder knows of all shares once it has heard these.
	Keepers []string `json:"keepers,omitempty"`
	// Evicted is former members that were struck off lately: they may hold a lease
	// that they got by a read of an older record.
	Evicted []string `json:"struck,omitempty"`
	// Settled says that no lease of an earlier holder than this one is in use.
	Settled bool `json:"settled,omitempty"`
}

// Member reports whether the VM may hold leases.
func (r *Record) Member(vm string) bool { return slices.Contains(r.Members, vm) }

// next returns a copy that shares nothing with r, with the next version.
func (r *Record) nextVersion() Record {
	n := *r
	n.Version++
	n.Groups = make(map[string]Group, len(r.Groups)+1)
	maps.Copy(n.Groups, r.Groups)
	n.Members, n.Evicted, n.Keepers = slices.Clone(r.Members), slices.Clone(r.Evicted), slices.Clone(r.Keepers)
	return n
}

// Claim returns the record with vm as its holder under the next token. Only the
// first holder becomes a member by it: others wait until the members may change.
func (r *Record) Claim(vm, addr string) Record {
	n := r.nextVersion()
	n.Token++
	n.Holder, n.Addr, n.Settled = vm, addr, false
	if len(n.Members) == 0 {
		n.Members = append(n.Members, vm)
	}
	return n
}

// WithGroups returns the record with several groups' states replaced.
func (r *Record) WithGroups(groups map[string]Group) Record {
	n := r.nextVersion()
	maps.Copy(n.Groups, groups)
	return n
}

// Hand returns the record with vm named as the holder, for it to claim.
func (r *Record) Hand(vm, addr string) Record {
	n := r.nextVersion()
	n.Holder, n.Addr = vm, addr
	return n
}

// WithKeepers returns the record with other keepers of rates.
func (r *Record) WithKeepers(list []string) Record {
	n := r.nextVersion()
	n.Keepers = slices.Clone(list)
	return n
}

// WithGroup returns the record with a group's state replaced.
func (r *Record) WithGroup(name string, g Group) Record {
	return r.WithGroups(map[string]Group{name: g})
}

// WithMembers returns the record with other members. Those struck off before are
// kept as such if some of them may still hold a lease.
func (r *Record) WithMembers(list []string, keepEvicted bool) Record {
	n := r.nextVersion()
	n.Members = slices.Clone(list)
	if !keepEvicted {
		n.Evicted = nil
	}
	for _, m := range r.Members {
		if !slices.Contains(list, m) {
			n.Evicted = append(n.Evicted, m)
		}
	}
	n.Evicted = slices.DeleteFunc(n.Evicted, func(m string) bool { return slices.Contains(list, m) })
	return n
}

// Move returns the state of a group whose primary is to be replaced.
func (g Group) Move(planned bool) Group {
	g.Moving, g.Planned = true, planned
	return g
}

// Order returns the state of a moving group before the promotion of a target is
// ordered.
func (g Group) Order(target string) Group {
	g.Ordered = target
	return g
}

// Settle returns the state of a group that is led by another target.
func (g Group) Settle(target string, t pollendoor.Term) Group {
	return Group{Epoch: g.Epoch + 1, Primary: target, Term: t}
}
