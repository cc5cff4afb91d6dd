package fleet

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/pollendoor/pollendoor"
	"github.com/pollendoor/pollendoor/clock"
	"github.com/pollendoor/pollendoor/lease"
	"github.com/pollendoor/pollendoor/vmlist"
)

const (
	// firstReaders is the number of members of a large fleet that turn to the store
	// themselves when they do not hear the holder, beside the leads of the zones: they
	// are the first to take the duty over. The others ask the leads.
	firstReaders = 12
	// zoneLeads is the number of VMs of a zone that read for the others.
	zoneLeads = 2
	// leadLife is how long a lead's last answer counts. Without one a VM reads for
	// itself.
	leadLife = 1500 * time.Millisecond
	// standPause is the least time between two reads of a lead.
	standPause = 120 * time.Millisecond
	// leadWait is how much longer than an own read one through a lead may take.
	leadWait = standPause + 100*time.Millisecond
)

// readsFirst reports whether a VM of a record reads the store for itself while the
// holder is silent.
func readsFirst(r *lease.Record, vm string) bool {
	if len(r.Members) <= lease.SmallFleet {
		return true
	}
	return slices.Contains(r.Members[:firstReaders], vm)
}

// reads reports whether this VM has to turn to the store itself when it does not
// hear the holder.
func (v *VM) reads() bool {
	r := &v.lease.Load().Record
	if readsFirst(r, v.Settings.VM) || v.leadOf() >= 0 {
		return true
	}
	b := &v.beat
	b.mu.Lock()
	defer b.mu.Unlock()
	return clock.Now()-max(b.led, b.answered+selfLeaseAfter, b.started+selfLeaseAfter) > leadLife
}

// leadOf returns this VM's place among the leads of its zone, negative for none.
func (v *VM) leadOf() int {
	return slices.IndexFunc(*v.leads.Load(), func(p vmlist.Peer) bool { return p.Name == v.Settings.VM })
}

// askCoordinator asks a lead of the zone whether the record still stands: one of them after
// the other.
func (b *beat) askCoordinator(r *lease.Record) {
	leads := *b.vm.leads.Load()
	now := clock.Now()
	b.mu.Lock()
	if len(leads) == 0 || now-b.storeRead < renewPause {
		b.mu.Unlock()
		return
	}
	b.leadTurn++
	to := leads[b.leadTurn%len(leads)]
	b.storeRead, b.storeOK, b.readWait = now, false, leadWait
	b.mu.Unlock()
	b.write(&packet{Kind: packetStands, Token: r.Token, Version: r.Version, Stamp: now}, to.IP)
}

// stander reads the record for the VMs of its zone. A read serves all questions that
// were there before it began, so that each answer is as good as an own read.
type stander struct {
	mu      sync.Mutex
	asked   []packet
	running bool
	last    time.Duration // start of the last read
}

// ask takes a VM's question.
func (s *stander) ask(v *VM, p *packet) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.asked = append(s.asked, *p)
	if !s.running {
		s.running = true
		go s.run(v)
	}
}

func (s *stander) run(v *VM) {
	for {
		s.mu.Lock()
		wait := s.last + standPause - clock.Now()
		s.mu.Unlock()
		time.Sleep(wait)
		s.mu.Lock()
		asked := s.asked
		s.asked, s.last = nil, clock.Now()
		s.running = len(asked) > 0
		s.mu.Unlock()
		if len(asked) == 0 {
			return
		}
		s.answer(v, asked)
	}
}

// answer reads the record and tells those that have asked.
func (s *stander) answer(v *VM, asked []packet) {
	ctx, cancel := context.WithTimeout(context.Background(), promiseAfter)
	defer cancel()
	_, r, err := v.duty.read(ctx)
	if err != nil {
		v.stats.StoreErrors.Add(1)
		v.Log.Debug().Err(err).Int("vms", len(asked)).Msg("record not read for other VMs")
	} else {
		v.learn(r, "own read")
	}
	for _, q := range asked {
		a := packet{Kind: packetStood, Echo: q.Stamp, Stood: err == nil, Token: r.Token, Version: r.Version, Sign: r.Sign}
		v.tellKnown(&a)
		v.beat.write(&a, q.From.IP)
	}
}

// stood takes a lead's answer to the question that was sent at p.Echo. What it says
// of the record held at some time after that, as if this VM had read it.
func (b *beat) stood(p *packet, now time.Duration) {
	v := b.vm
	b.mu.Lock()
	if p.Echo > now || p.Echo != b.storeRead {
		b.mu.Unlock()
		return // not the last question of this process
	}
	b.led = now
	b.read(p.Echo, p.Stood)
	if p.Stood {
		b.signed(p.Sign, now)
	}
	b.mu.Unlock()
	if p.Stood {
		r := v.lease.Load().Record
		switch have, stands := r.RecordVersion(), (lease.RecordVersion{Token: p.Token, Version: p.Version}); {
		case have == stands:
			b.adoptRead(&r, p.Echo)
		case have.Before(stands) && b.start(&b.recording):
			go b.fetchRecord(p.From)
		}
	}
	b.compare(p, now)
}

// read notes the outcome of a read of the store that began at sent. The caller holds
// mu.
func (b *beat) read(sent time.Duration, ok bool) {
	if ok && b.storeLost {
		b.storeBack = sent
	}
	b.storeOK, b.storeLost = ok, !ok
	if !ok {
		b.storeFrom = 0
	} else if b.storeFrom == 0 || sent-b.storeFrom > storeSeries {
		b.storeFrom = sent
	}
}

// adoptRead takes a lease on the record that a read which began at sent has found.
func (b *beat) adoptRead(r *lease.Record, sent time.Duration) {
	if r.Member(b.vm.Settings.VM) {
		b.vm.changeLease(func(l *lease.Lease) bool { return l.Adopt(*r, sent, lease.LeaseTime-lease.ClockSlack) })
	}
}

// firstList waits until this VM may list a kind from the store: at once if it watches
// it for its zone. The others get it from there, or list it themselves once it has not
// come. It reports true if it has come.
func (v *VM) firstList(ctx context.Context, known func() bool) bool {
	patience := listPatience
	if v.Settings.Bootstrap {
		patience = bootPatience
	}
	for begin := clock.Now(); clock.Now()-begin < patience && ctx.Err() == nil; {
		if known() {
			return true
		}
		if v.watches() {
			return false
		}
		if n := len(v.lease.Load().Record.Members); v.beat.listed.Load() && n > 0 && n <= lease.SmallFleet && !v.Settings.Bootstrap {
			return false
		}
		pollendoor.Pause(ctx, firstPoll)
	}
	return known()
}

const (
	// listPatience is how long a VM of a large fleet that has just started waits
	// for the configuration and the targets from its zone.
	listPatience = 1200 * time.Millisecond
	// bootPatience is the same when the whole fleet starts for the first time.
	bootPatience = 4 * time.Second
	// firstPoll is how often it looks.
	firstPoll = 20 * time.Millisecond
)
