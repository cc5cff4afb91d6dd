// Package lease decides which VM may use which primary of a database group, and
// when another target may be promoted. It does no I/O: it takes state, events and
// time, and returns decisions.
//
// One VM of the fleet, the leader, replaces primaries. A VM becomes the leader by
// a conditional write of the Record, which the platform's store keeps. A VM uses
// a primary only under a lease on a version of the record. Before a promotion,
// the leader writes a version in which the group is marked as moving, and waits
// until every member has adopted it or can't hold a lease on an older one.
//
// A lease is counted from when its request was sent, so that it ends on the VM
// before the leader assumes so. It never lasts longer than LeaseTime after the
// leader last proved, by a read or write of the record, that no other VM leads. A
// leader that loses the store continues for a while on promises: members that
// don't reach the store either promise not to claim leadership for PromiseTime and
// not to confirm another leader's record for HoldTime. Leases then last as long as
// most members have promised, so that they outlast the leader. A new leader replaces
// primaries only once most of the members that it found have confirmed its record,
// or once no promise can last any longer.
package lease

import (
	"maps"
	"slices"
	"time"

	"github.com/pollendoor/pollendoor"
)

// LeaseTime is the longest duration of a lease that rests on a proof of leadership.
// It bounds how long a promotion waits for a VM that is cut off, and how long the
// fleet can continue without promises while its leader can't prove its leadership.
const LeaseTime = 2500 * time.Millisecond

// PromiseTime is how long a member claims no leadership after a heartbeat in which
// it promised so. It bounds how long a takeover waits because of such a promise.
const PromiseTime = 2000 * time.Millisecond

// HoldTime is how long a member confirms no other leader's record after a heartbeat
// in which it promised so, and the longest duration of a lease that rests on such
// promises. Such a lease outlasts the leader: when the leader is lost while the
// store is unreachable, nobody can replace it, and nobody replaces a primary either.
const HoldTime = 6 * time.Second

// MajorityHoldTime is how long after its last proof a leader may continue on the
// promises of most members. It is longer than most network partitions between VMs
// and store last. A takeover that most members don't confirm waits as long before
// it replaces a primary.
const MajorityHoldTime = 8 * time.Second

// UnanimousHoldTime is how long after its last proof a leader may continue on the
// promises of all members, and how long a takeover by a VM that is not a member
// waits. It is longer than a usual outage of the store.
const UnanimousHoldTime = 30 * time.Second

// ClockSlack covers the difference in speed of two VMs' clocks over a lease.
const ClockSlack = 50 * time.Millisecond

// Stamp is a time on the boot clock of the leader with one token. Each VM has its
// own boot clock, so the time can't be used by another leader.
type Stamp struct {
	Token uint64
	At    time.Duration
}

// Echo returns the time to send back to the leader with the given token. It is zero
// if the time is that of another leader.
func (s Stamp) Echo(token uint64) time.Duration {
	if s.Token != token {
		return 0
	}
	return s.At
}

// Group is the agreed state of one database group.
type Group struct {
	Epoch   uint64          `json:"epoch" cbor:"1,keyasint"`             // incremented with each change of primary
	Primary string          `json:"primary" cbor:"2,keyasint"`           // target ID of the primary
	Term    pollendoor.Term `json:"term" cbor:"3,keyasint"`              // term in which the primary leads
	Moving  bool            `json:"moving" cbor:"4,keyasint,omitempty"`  // the primary is being replaced, and no VM may use it
	Planned bool            `json:"planned" cbor:"5,keyasint,omitempty"` // the replacement is planned, and the old primary is healthy
	// Ordered is the target whose promotion may have been ordered. From then on
	// the old primary is not used again, whichever VM leads, because the order
	// may take effect at any later time.
	Ordered string `json:"ordered,omitempty" cbor:"6,keyasint,omitempty"`
	// Holders is kept only for groups whose commits are acknowledged once replicas have
	// received them.
	Holders Holders `json:"holders,omitempty" cbor:"7,keyasint,omitempty"`
	// Start is the position that a log must have reached besides: that of the primary's log
	// when its term began, or when a holder was left out. Acknowledged commits that the
	// present holders need not have received are up to it. It is kept only for the same groups
	// as Holders.
	Start pollendoor.Position `json:"start,omitzero" cbor:"8,keyasint,omitzero"`
	// Unsure is set if the record may have forgotten a later primary, as it is of an older copy
	// of the store. A group that settles is sure again.
	Unsure bool `json:"unsure,omitempty" cbor:"9,keyasint,omitempty"`
	// Born is the start of the primary's process in Unix milliseconds, zero if it is not
	// known. A later process may lack the log, and is not used before it has been checked.
	Born int64 `json:"born,omitempty" cbor:"10,keyasint,omitempty"`
}

// Record is the state that the fleet agrees on. Every write increments Version.
type Record struct {
	Version uint64           `json:"version"`
	Token   uint64           `json:"token"`  // fencing token of the leader
	Leader  string           `json:"holder"` // name of the leader's VM
	Addr    string           `json:"addr"`   // the leader's heartbeat address
	Groups  map[string]Group `json:"groups"`
	Members []string         `json:"members"` // VMs that may hold leases and claim leadership
	// Keepers are the VMs that may hold shares of teams' rate quotas. An empty list
	// means all VMs. The next leader has the reports of all shares once it has
	// received heartbeats from these.
	Keepers []string `json:"keepers,omitempty"`
	// Evicted are the former members that were evicted recently. They may hold a
	// lease that they got by reading an older record.
	Evicted []string `json:"struck,omitempty"`
	// Era is the era of the store in which the record was written. A record that the store
	// holds in a later era may be older than the newest one.
	Era uint64 `json:"era,omitempty"`
	// Settled is true if no lease granted by an earlier leader is in use.
	Settled bool `json:"settled,omitempty"`
}

// IsMember reports whether the VM may hold leases.
func (r *Record) IsMember(vm string) bool { return slices.Contains(r.Members, vm) }

// nextVersion returns a deep copy of r with the next version number.
func (r *Record) nextVersion() Record {
	n := *r
	n.Version++
	n.Groups = make(map[string]Group, len(r.Groups)+1)
	maps.Copy(n.Groups, r.Groups)
	n.Members, n.Evicted, n.Keepers = slices.Clone(r.Members), slices.Clone(r.Evicted), slices.Clone(r.Keepers)
	return n
}

// eraTokenBits is the number of low bits of a token that count the claims of an era.
const eraTokenBits = 32

// NextVersion returns the record with the next version number and nothing else changed.
func (r *Record) NextVersion() Record { return r.nextVersion() }

// InEra returns the record with the era of the store in which it is written next. Tokens
// that are claimed in a later era are larger than all of earlier ones, also than those that
// the store has lost. In a later era the groups are moving, as the store may have forgotten
// which primaries are in use.
func (r Record) InEra(era uint64) Record {
	if era <= r.Era {
		return r
	}
	if era > 1 {
		r.Token = max(r.Token, era<<eraTokenBits)
	}
	r.Era, r.Groups = era, maps.Clone(r.Groups)
	for name, g := range r.Groups {
		g.Unsure = true
		r.Groups[name] = g.Move(false)
	}
	return r
}

// Claim returns the record with vm as its leader under the next token. Only the
// first leader becomes a member by its claim: others wait until the members may
// change.
func (r *Record) Claim(vm, addr string) Record {
	n := r.nextVersion()
	n.Token++
	n.Leader, n.Addr, n.Settled = vm, addr, false
	if len(n.Members) == 0 {
		n.Members = append(n.Members, vm)
	}
	return n
}

// WithGroups returns the record with the states of several groups replaced.
func (r *Record) WithGroups(groups map[string]Group) Record {
	n := r.nextVersion()
	maps.Copy(n.Groups, groups)
	return n
}

// HandOver returns the record with vm named as the next leader. The token stays the
// same until vm claims leadership.
func (r *Record) HandOver(vm, addr string) Record {
	n := r.nextVersion()
	n.Leader, n.Addr = vm, addr
	return n
}

// WithKeepers returns the record with another list of quota keepers.
func (r *Record) WithKeepers(list []string) Record {
	n := r.nextVersion()
	n.Keepers = slices.Clone(list)
	return n
}

// WithGroup returns the record with the state of one group replaced.
func (r *Record) WithGroup(name string, g Group) Record {
	return r.WithGroups(map[string]Group{name: g})
}

// WithMembers returns the record with another list of members, and those that it
// lacks as evicted. Members evicted before remain listed as evicted if
// keepEvicted is true, because some of them may still hold a lease.
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

// Move returns the state of a group whose primary is about to be replaced.
func (g Group) Move(planned bool) Group {
	g.Moving, g.Planned = true, planned
	return g
}

// Restarted reports whether the entry of the primary is that of a later process than the
// recorded one. An earlier one is an outdated entry.
func (g Group) Restarted(t pollendoor.TargetInfo) bool {
	return t.ID == g.Primary && g.Born != 0 && t.Born > g.Born
}

// Order returns the state of a moving group to write before the promotion of a
// target is ordered.
func (g Group) Order(target string) Group {
	g.Ordered = target
	return g
}

// WithHolders returns the state of a group with other holders.
func (g Group) WithHolders(h Holders) Group {
	g.Holders = h
	return g
}

// Settle returns the state of a group whose primary is now another target, in
// term t.
func (g Group) Settle(target string, t pollendoor.Term) Group {
	return Group{Epoch: g.Epoch + 1, Primary: target, Term: t}
}
