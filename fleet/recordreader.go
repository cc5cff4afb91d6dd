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
	memberReaders = 12
	// zoneLeads is the number of VMs of a zone that read for the others.
	coordinatorsPerZone = 2
	// leadLife is how long a lead's last answer counts. Without one a VM reads for
	// itself.
	coordinatorAnswerLife = 1500 * time.Millisecond
	// standPause is the least time between two reads of a lead.
	sharedReadPause = 120 * time.Millisecond
	// leadWait is how much longer than an own read one through a lead may take.
	sharedReadAllowance = sharedReadPause + 100*time.Millisecond
)

// readsFirst reports whether a VM of a record reads the store for itself while the
// holder is silent.
func readsAsMember(r *lease.Record, vm string) bool {
	if len(r.Members) <= lease.SmallFleet {
		return true
	}
	return slices.Contains(r.Members[:memberReaders], vm)
}

// reads reports whether this VM has to turn to the store itself when it does not
// hear the holder.
func (v *VM) readsStore() bool {
	r := &v.lease.Load().Record
	if readsAsMember(r, v.Settings.VM) || v.coordinatorIndex() >= 0 {
		return true
	}
	b := &v.messenger
	b.mu.Lock()
	defer b.mu.Unlock()
	return clock.Now()-max(b.coordinatorAnswer, b.lastAnswer+leaderSilentAfter, b.startedAt+leaderSilentAfter) > coordinatorAnswerLife
}

// leadOf returns this VM's place among the leads of its zone, negative for none.
func (v *VM) coordinatorIndex() int {
	return slices.IndexFunc(*v.coordinators.Load(), func(p vmlist.Peer) bool { return p.Name == v.Settings.VM })
}

// askCoordinator asks a lead of the zone whether the record still stands: one of them after
// the other.
func (b *messenger) queryCoordinator(r *lease.Record) {
	coordinators := *b.vm.coordinators.Load()
	now := clock.Now()
	b.mu.Lock()
	if len(coordinators) == 0 || now-b.lastRead < storeReadPause {
		b.mu.Unlock()
		return
	}
	b.coordinatorTurn++
	to := coordinators[b.coordinatorTurn%len(coordinators)]
	b.lastRead, b.lastReadOK, b.readAllowance = now, false, sharedReadAllowance
	b.mu.Unlock()
	b.send(&packet{Kind: packetRecordCheck, Token: r.Token, RecordVersion: r.Version, Stamp: now}, to.IP)
}

// stander reads the record for the VMs of its zone. A read serves all questions that
// were there before it began, so that each answer is as good as an own read.
type recordReader struct {
	mu       sync.Mutex
	pending  []packet
	running  bool
	lastRead time.Duration // start of the last read
}

// ask takes a VM's question.
func (s *recordReader) enqueue(v *VM, p *packet) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pending = append(s.pending, *p)
	if !s.running {
		s.running = true
		go s.run(v)
	}
}

func (s *recordReader) run(v *VM) {
	for {
		s.mu.Lock()
		wait := s.lastRead + sharedReadPause - clock.Now()
		s.mu.Unlock()
		time.Sleep(wait)
		s.mu.Lock()
		queries := s.pending
		s.pending, s.lastRead = nil, clock.Now()
		s.running = len(queries) > 0
		s.mu.Unlock()
		if len(queries) == 0 {
			return
		}
		s.readAndAnswer(v, queries)
	}
}

// answer reads the record and tells those that have asked.
func (s *recordReader) readAndAnswer(v *VM, queries []packet) {
	ctx, cancel := context.WithTimeout(context.Background(), storeReadTimeout)
	defer cancel()
	_, r, err := v.leader.readRecord(ctx)
	if err != nil {
		v.stats.StoreErrors.Add(1)
		v.Log.Debug().Err(err).Int("vms", len(queries)).Msg("record not read for other VMs")
	} else {
		v.adoptRecord(r, "own read")
	}
	for _, q := range queries {
		a := packet{Kind: packetRecordStatus, Echo: q.Stamp, RecordRead: err == nil, Token: r.Token, RecordVersion: r.Version, Liveness: r.Liveness}
		v.setKnownVersions(&a)
		v.messenger.send(&a, q.From.IP)
	}
}

// stood takes a lead's answer to the question that was sent at p.Echo. What it says
// of the record held at some time after that, as if this VM had read it.
func (b *messenger) handleRecordStatus(p *packet, now time.Duration) {
	v := b.vm
	b.mu.Lock()
	if p.Echo > now || p.Echo != b.lastRead {
		b.mu.Unlock()
		return // not the last question of this process
	}
	b.coordinatorAnswer = now
	b.noteStoreRead(p.Echo, p.RecordRead)
	if p.RecordRead {
		b.noteLiveness(p.Liveness, now)
	}
	b.mu.Unlock()
	if p.RecordRead {
		r := v.lease.Load().Record
		switch known, reported := r.Edition(), (lease.Edition{Token: p.Token, Version: p.RecordVersion}); {
		case known == reported:
			b.adoptLeaseFromRead(&r, p.Echo)
		case known.Before(reported) && b.startTask(&b.fetchingRecord):
			go b.fetchRecord(p.From)
		}
	}
	b.catchUpWith(p, now)
}

// read notes the outcome of a read of the store that began at sent. The caller holds
// mu.
func (b *messenger) noteStoreRead(sent time.Duration, ok bool) {
	if ok && b.lastReadFailed {
		b.storeRegained = sent
	}
	b.lastReadOK, b.lastReadFailed = ok, !ok
	if !ok {
		b.readsOKSince = 0
	} else if b.readsOKSince == 0 || sent-b.readsOKSince > storeSeriesTime {
		b.readsOKSince = sent
	}
}

// adoptRead takes a lease on the record that a read which began at sent has found.
func (b *messenger) adoptLeaseFromRead(r *lease.Record, sent time.Duration) {
	if r.Member(b.vm.Settings.VM) {
		b.vm.updateLease(func(l *lease.Lease) bool { return l.Adopt(*r, sent, lease.LeaseTime-lease.ClockSlack) })
	}
}

// firstList waits until this VM may list a kind from the store: at once if it watches
// it for its zone. The others get it from there, or list it themselves once it has not
// come. It reports true if it has come.
func (v *VM) awaitFirstList(ctx context.Context, known func() bool) bool {
	delay := firstListDelay
	if v.Settings.Bootstrap {
		delay = bootstrapListDelay
	}
	for begin := clock.Now(); clock.Now()-begin < delay && ctx.Err() == nil; {
		if known() {
			return true
		}
		if v.isWatcher() {
			return false
		}
		if n := len(v.lease.Load().Record.Members); v.messenger.recordLookedUp.Load() && n > 0 && n <= lease.SmallFleet && !v.Settings.Bootstrap {
			return false
		}
		pollendoor.Pause(ctx, firstListPoll)
	}
	return known()
}

const (
	// listPatience is how long a VM of a large fleet that has just started waits
	// for the configuration and the targets from its zone.
	firstListDelay = 1200 * time.Millisecond
	// bootPatience is the same when the whole fleet starts for the first time.
	bootstrapListDelay = 4 * time.Second
	// firstPoll is how often it looks.
	firstListPoll = 20 * time.Millisecond
)
