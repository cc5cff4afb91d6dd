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
	// memberReaders is the number of members of a large fleet that read the store
	// themselves while the leader is silent, in addition to the coordinators of the
	// zones. They are the first candidates for the leadership. The other VMs ask the
	// coordinators.
	memberReaders = 12
	// coordinatorsPerZone is the number of VMs of a zone that read the store for the
	// others.
	coordinatorsPerZone = 2
	// coordinatorAnswerLife is how long a coordinator's last answer counts. Without
	// a recent answer a VM reads the store itself.
	coordinatorAnswerLife = 1500 * time.Millisecond
	// sharedReadPause is the minimum time between two reads of the store by a
	// coordinator.
	sharedReadPause = 120 * time.Millisecond
	// sharedReadAllowance is how much longer a read through a coordinator may take
	// than an own read.
	sharedReadAllowance = sharedReadPause + 100*time.Millisecond
)

// readsAsMember reports whether a VM reads the store itself as a member of the
// record while the leader is silent.
func readsAsMember(r *lease.Record, vm string) bool {
	if len(r.Members) <= lease.SmallFleet {
		return true
	}
	return slices.Contains(r.Members[:memberReaders], vm)
}

// readsStore reports whether this VM has to read the store itself while the leader
// is silent.
func (v *VM) readsStore() bool {
	r := &v.lease.Load().Record
	if readsAsMember(r, v.Settings.VM) || v.coordinatorIndex() >= 0 {
		return true
	}
	m := &v.messenger
	m.mu.Lock()
	defer m.mu.Unlock()
	now := clock.Now()
	return min(now-m.coordinatorAnswer, m.silence(now)-leaderSilentAfter) > coordinatorAnswerLife
}

// coordinatorIndex returns this VM's index among the coordinators of its zone, or a
// negative number if it is none.
func (v *VM) coordinatorIndex() int {
	return slices.IndexFunc(*v.coordinators.Load(), func(p vmlist.Peer) bool { return p.Name == v.Settings.VM })
}

// queryCoordinator asks a coordinator of the zone whether the record is still
// current. It asks the coordinators in turn.
func (m *messenger) queryCoordinator(r *lease.Record) {
	coordinators := *m.vm.coordinators.Load()
	now := clock.Now()
	m.mu.Lock()
	if len(coordinators) == 0 || now-m.lastRead < storeReadPause {
		m.mu.Unlock()
		return
	}
	m.coordinatorTurn++
	to := coordinators[m.coordinatorTurn%len(coordinators)]
	m.lastRead, m.lastReadOK, m.readAllowance = now, false, sharedReadAllowance
	m.mu.Unlock()
	m.send(&packet{Kind: packetRecordCheck, Token: r.Token, RecordVersion: r.Version, Stamp: now}, to.IP)
}

// recordReader reads the record for the VMs of its zone. A read answers all queries
// that arrived before it began, so each answer is as good as an own read.
type recordReader struct {
	mu       sync.Mutex
	pending  []packet
	running  bool
	lastRead time.Duration // when the last read started
}

// enqueue adds a VM's query.
func (rr *recordReader) enqueue(v *VM, p *packet) {
	rr.mu.Lock()
	defer rr.mu.Unlock()
	rr.pending = append(rr.pending, *p)
	if !rr.running {
		rr.running = true
		go rr.run(v)
	}
}

// run answers queries until none is left.
func (rr *recordReader) run(v *VM) {
	for {
		rr.mu.Lock()
		wait := rr.lastRead + sharedReadPause - clock.Now()
		rr.mu.Unlock()
		time.Sleep(wait)
		rr.mu.Lock()
		queries := rr.pending
		rr.pending, rr.lastRead = nil, clock.Now()
		rr.running = len(queries) > 0
		rr.mu.Unlock()
		if len(queries) == 0 {
			return
		}
		rr.readAndAnswer(v, queries)
	}
}

// readAndAnswer reads the record and answers the queries.
func (rr *recordReader) readAndAnswer(v *VM, queries []packet) {
	ctx, cancel := context.WithTimeout(context.Background(), storeReadTimeout)
	defer cancel()
	objectVersion, r, err := v.leader.readRecord(ctx)
	if err == nil && !isCurrent(objectVersion, &r.Record) {
		err = errUnproved
	}
	if err != nil {
		v.stats.StoreErrors.Add(1)
		v.Log.Debug().Err(err).Int("vms", len(queries)).Msg("record not read on behalf of other VMs")
	} else {
		v.adoptRecord(r, "own read")
	}
	for _, q := range queries {
		a := packet{Kind: packetRecordStatus, Echo: q.Stamp, RecordRead: err == nil, Token: r.Token, RecordVersion: r.Version, Liveness: r.Liveness}
		v.setKnownVersions(&a)
		v.messenger.send(&a, q.From.IP)
	}
}

// handleRecordStatus handles a coordinator's answer to the query that was sent at
// p.Echo. What the answer says about the record was true at some time after p.Echo,
// as for a read of the record by this VM itself.
func (m *messenger) handleRecordStatus(p *packet, now time.Duration) {
	v := m.vm
	m.mu.Lock()
	if p.Echo > now || p.Echo != m.lastRead {
		m.mu.Unlock()
		return // not an answer to the last query of this process
	}
	m.coordinatorAnswer = now
	m.noteStoreRead(p.Echo, p.RecordRead)
	if p.RecordRead {
		m.noteLiveness(p.Liveness, now)
	}
	m.mu.Unlock()
	if p.RecordRead {
		r := v.lease.Load().Record
		switch known, reported := r.RecordVersion(), (lease.RecordVersion{Token: p.Token, Version: p.RecordVersion}); {
		case known == reported:
			m.adoptLeaseFromRead(&r, p.Echo)
		case known.Before(reported) && m.startTask(&m.fetchingRecord):
			go m.fetchRecord(p.From)
		}
	}
	m.catchUpWith(p, now)
}

// noteStoreRead records the outcome of a read of the store that began at sent. The
// caller holds mu.
func (m *messenger) noteStoreRead(sent time.Duration, ok bool) {
	if ok && m.lastReadFailed {
		m.storeRegained = sent
	}
	m.lastReadOK, m.lastReadFailed = ok, !ok
	if !ok {
		m.readsOKSince, m.failedRead = 0, sent
	} else if m.readsOKSince == 0 || sent-m.readsOKSince > storeSeriesTime {
		m.readsOKSince = sent
	}
}

// adoptLeaseFromRead takes a lease on a record that was current according to a read that
// began at sent.
func (m *messenger) adoptLeaseFromRead(r *lease.Record, sent time.Duration) {
	if r.IsMember(m.vm.Settings.VM) {
		m.vm.updateLease(func(l *lease.Lease) bool { return l.Adopt(*r, sent, lease.LeaseTime-lease.ClockSlack) })
	}
}

// maxStartLists bounds the number of members times the number of groups up to which
// every VM lists the configuration and the targets itself when it starts. A group's
// targets take about 750 bytes in a list, so the lists of a fleet that starts together
// take the store's link for about 50 ms.
const maxStartLists = 1 << 13

// listsAtStart reports whether a VM that starts lists the configuration and the targets
// from the store, because its zone may be starting as well: callers that have lost all VMs
// come back at once, and the lists of the zone's coordinator come some round trips later.
func listsAtStart(r *lease.Record) bool {
	n := len(r.Members)
	return n > 0 && (n <= lease.SmallFleet || n*len(r.Groups) <= maxStartLists)
}

// awaitFirstList waits until this VM may list a kind from the store. The watcher of
// the zone may do so immediately. The other VMs of a large fleet get the objects from
// the watcher, or list them themselves if they have not arrived in time. It reports
// whether they have arrived.
func (v *VM) awaitFirstList(ctx context.Context, loaded func() bool) bool {
	delay := firstListDelay
	if v.Settings.Bootstrap {
		delay = bootstrapListDelay
	}
	for begin := clock.Now(); clock.Now()-begin < delay && ctx.Err() == nil; {
		if loaded() {
			return true
		}
		if v.isWatcher() {
			return false
		}
		if v.messenger.recordLookedUp.Load() && !v.Settings.Bootstrap && listsAtStart(&v.lease.Load().Record) {
			return false
		}
		pollendoor.Pause(ctx, firstListPoll)
	}
	return loaded()
}

const (
	// firstListDelay is how long a VM of a large fleet that has just started waits
	// for the configuration and the targets from its zone.
	firstListDelay = 1200 * time.Millisecond
	// bootstrapListDelay is the corresponding time when the whole fleet starts for
	// the first time.
	bootstrapListDelay = 4 * time.Second
	// firstListPoll is how often the waiting VM checks.
	firstListPoll = 20 * time.Millisecond
)
