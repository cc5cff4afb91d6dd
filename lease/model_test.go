package lease_test

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/pollendoor/pollendoor/lease"
)

// simVM is a VM of the simulated fleet.
type simVM struct {
	name       string
	side       int // side of the network partition, zero if there is none; only side 0 reaches the store
	lease      lease.Lease
	noClaim    time.Duration
	noConfirm  time.Duration
	granted    time.Duration // end of the long leases that it granted in earlier terms
	started    time.Duration
	recordRead bool // it has read the record since its start
	stamp      lease.Stamp
	leader     *lease.Leader // not nil if this VM believes that it leads
}

// sim simulates a fleet and its store with the decisions of this package.
// Messages and store calls between them may be lost, delayed or cut off.
type sim struct {
	*rapid.T
	now     time.Duration
	store   lease.Record
	delayed []lease.Record // writes that the store may still carry out
	vms     []*simVM
}

// oneOf draws true with a probability of about 1/n. Rapid prefers the ends of a
// range, so a value in the middle stands for true.
func (s *sim) oneOf(n int) bool { return rapid.IntRange(0, n).Draw(s.T, "one of") == n/2 }

func (s *sim) drop() bool { return s.oneOf(6) }

// advanceClock advances the time by up to 600 ms.
func (s *sim) advanceClock() {
	s.now += rapid.SampledFrom([]time.Duration{600, 300, 100, 0}).Draw(s.T, "ms") * time.Millisecond
}

// heartbeat sends a heartbeat from v to h, which answers with a lease if it
// leads.
func (s *sim) heartbeat(v, h *simVM) {
	if h.leader == nil || h == v || h.side != v.side || v.lease.Record.Token > h.leader.Record.Token {
		return
	}
	r := v.lease.Record
	b := lease.Heartbeat{VM: v.name, Power: 1, Bound: max(0, v.bounds().Promised-s.now), Granted: max(0, v.bounds().Granted-s.now)}
	if r.Token == h.leader.Record.Token {
		b.Version, b.Echo = r.Version, v.stamp.Echo(r.Token)
		if b.Echo > 0 && v.recordRead && (v.side > 0 || s.oneOf(8)) {
			b.Promise, v.noClaim = lease.PromiseTime, max(v.noClaim, s.now+lease.PromiseTime)
			b.Hold, v.noConfirm = lease.HoldTime, max(v.noConfirm, s.now+lease.HoldTime)
		}
	}
	sent := s.now
	if s.drop() {
		return
	}
	h.leader.ReceiveHeartbeat(b, s.now)
	stamp, length, answer, proved := s.now, h.leader.Lease(v.name, s.now), h.leader.Record, h.leader.Confirmed
	if s.drop() {
		return
	}
	if s.oneOf(4) {
		s.advanceClock()
	}
	if answer.Token < v.lease.Record.Token {
		return
	}
	v.lease.Learn(answer)
	if v.lease.Record.Token == answer.Token && v.lease.Record.Version == answer.Version {
		if length > 0 && lease.MayAdopt(v.recordRead, sent-v.started, stamp-proved) {
			v.lease.Adopt(answer, sent, length)
		}
		v.stamp = lease.Stamp{Token: answer.Token, At: stamp}
	}
}

// bounds returns the times until which promises and leases of v, or of an earlier
// process of it, may have to be respected.
func (v *simVM) bounds() lease.Bounds {
	granted := v.granted
	if v.leader != nil {
		granted = max(granted, v.leader.LongLeaseUntil())
	}
	return lease.Bounds{Promised: max(v.noConfirm, v.started+lease.HoldTime), Granted: max(granted, v.started+lease.HoldTime)}
}

func (v *simVM) stopLeading() { v.granted, v.leader = v.bounds().Granted, nil }

// renewOwnLease renews the lease that a leader grants itself.
func (s *sim) renewOwnLease(h *simVM) {
	h.leader.ReceiveHeartbeat(lease.Heartbeat{VM: h.name, Version: h.leader.Record.Version, Power: 1}, s.now)
	if l := h.leader.Lease(h.name, s.now); l > 0 {
		h.lease.Adopt(h.leader.Record, s.now, l)
	}
}

// readRecord lets a VM read the record from the store.
func (s *sim) readRecord(v *simVM) {
	if v.side > 0 {
		return
	}
	v.recordRead = true
	v.lease.Learn(s.store)
	if s.store.IsMember(v.name) {
		v.lease.Adopt(s.store, s.now, lease.LeaseTime-lease.ClockSlack)
	}
	if v.leader != nil && v.leader.Record.Token != s.store.Token {
		v.stopLeading()
	} else if v.leader != nil {
		v.leader.Written(s.store, s.now, s.now) // proof of leadership, or a write whose answer was lost
	}
}

// writeRecord sends a record of a leader to the store, which accepts it if it
// follows the current one. The answer may be lost, and the write may be delayed.
func (s *sim) writeRecord(h *simVM, r lease.Record) {
	if h.leader.Record.Token != s.store.Token || h.leader.Record.Version != s.store.Version {
		return
	}
	r.Settled = h.leader.EarlierLeasesEnded(s.now)
	h.leader.Propose(r.Members)
	switch {
	case h.side > 0:
	case s.oneOf(4):
		s.delayed = append(s.delayed, r)
	case s.oneOf(4):
		s.store = r
	default:
		s.store = r
		h.lease.Learn(r)
		h.leader.Written(r, s.now, s.now)
	}
}

// deliverDelayed carries out a delayed write.
func (s *sim) deliverDelayed() {
	if len(s.delayed) == 0 {
		return
	}
	r := s.delayed[0]
	s.delayed = s.delayed[1:]
	if r.Token == s.store.Token && r.Version == s.store.Version+1 {
		s.store = r
	}
}

// claim lets a VM take leadership over.
func (s *sim) claim(v *simVM) {
	if s.now < v.noClaim || v.leader != nil || v.side > 0 {
		return
	}
	base := s.store
	s.store = base.Claim(v.name, "")
	d := lease.Claim(v.name, base, s.store, v.bounds(), s.now, s.now)
	v.leader = &d
	v.lease.Learn(s.store)
}

// restart restarts a VM, which then knows only what it reads from the store.
func (s *sim) restart(v *simVM) {
	*v = simVM{name: v.name, side: v.side, started: s.now}
	s.readRecord(v)
}

// handOver lets a leader hand leadership over.
func (s *sim) handOver(v, to *simVM) {
	if v.leader.Record.Token != s.store.Token || v.leader.Record.Version != s.store.Version || v.side > 0 || v == to {
		return
	}
	r := s.store.HandOver(to.name, "")
	r.Settled = v.leader.EarlierLeasesEnded(s.now) && v.leader.LongLeasesEnded(s.now)
	v.stopLeading()
	if s.oneOf(4) {
		s.delayed = append(s.delayed, r)
		return
	}
	s.store = r
}

// updateMembers lets a leader update the members by the heartbeats that it
// received.
func (s *sim) updateMembers(h *simVM) {
	if list, changed := h.leader.Members(s.now); changed {
		s.writeRecord(h, h.leader.Record.WithMembers(list, h.leader.KeepEvicted(s.now)))
	}
}

// startMove lets a leader begin to replace the group's primary.
func (s *sim) startMove(h *simVM) {
	if g := h.leader.Record.Groups["g"]; !g.Moving {
		s.writeRecord(h, h.leader.Record.WithGroup("g", g.Move(false)))
	}
}

// repartition draws a new network partition: none, an outage of the store for all
// VMs, or one side with the store and one without.
func (s *sim) repartition() {
	sides := rapid.SampledFrom([][2]int{{0, 0}, {1, 1}, {0, 1}, {0, 1}}).Draw(s.T, "sides")
	for _, v := range s.vms {
		v.side = rapid.IntRange(sides[0], sides[1]).Draw(s.T, "side")
	}
}

// round lets all VMs perform the actions that they repeat about every half
// second.
func (s *sim) round() {
	s.advanceClock()
	if s.oneOf(5) {
		s.repartition()
	}
	for _, v := range s.vms {
		for _, h := range s.vms {
			s.heartbeat(v, h)
			s.checkLeases()
		}
		if v.leader != nil {
			if s.oneOf(2) {
				s.readRecord(v)
			}
		}
		if v.leader != nil {
			s.renewOwnLease(v)
			s.checkLeases()
			s.updateMembers(v)
			if s.oneOf(20) {
				s.startMove(v)
			}
			s.checkLeases()
			if s.oneOf(20) {
				s.handOver(v, rapid.SampledFrom(s.vms).Draw(s.T, "successor"))
			}
		}
		switch rapid.IntRange(0, 29).Draw(s.T, "event") {
		case 0, 1:
			s.claim(v)
		case 2:
			s.restart(v)
		case 3, 4:
			s.readRecord(v)
		case 5:
			s.deliverDelayed()
		}
		s.checkLeases()
	}
}

// checkLeases fails if a leader would promote while a VM may still use the old
// primary.
func (s *sim) checkLeases() {
	for _, h := range s.vms {
		if h.leader == nil || h.leader.Record.Token != s.store.Token || !h.leader.OldPrimaryReleased("g", s.now) {
			continue
		}
		for _, v := range s.vms {
			if v.lease.Holds("g", 1, s.now) {
				s.Fatalf("%s replaces the primary under token %d while %s holds a lease on it under token %d until %v; the time is %v",
					h.name, h.leader.Record.Token, v.name, v.lease.Record.Token, v.lease.Until, s.now)
			}
		}
	}
}

// Whatever messages are lost or delayed and whichever VMs are cut off or
// restarted, no VM may use the old primary once the leader is ready to replace
// it.
func TestNobodyUsesAPrimaryThatIsReplaced(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		names := []string{"a", "b", "c", "d"}[:rapid.IntRange(2, 4).Draw(t, "members")]
		s := &sim{T: t, now: time.Minute}
		s.store = lease.Record{Members: slices.Clone(names), Groups: map[string]lease.Group{"g": {Epoch: 1, Primary: "p", Term: 1}}, Version: 1}
		for _, n := range append(names, "x") {
			v := &simVM{name: n, recordRead: true}
			v.lease.Learn(s.store)
			s.vms = append(s.vms, v)
		}
		s.claim(s.vms[0])
		for range rapid.IntRange(1, 60).Draw(t, "rounds") {
			s.round()
		}
	})
}
