package fleet

import (
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/pollendoor/pollendoor"
	"github.com/pollendoor/pollendoor/clock"
	"github.com/pollendoor/pollendoor/lease"
	"github.com/pollendoor/pollendoor/pack"
)

const (
	// batchTime is how long the coordinator of a zone collects heartbeats for the
	// leader: short compared with the time between two heartbeats.
	batchTime = 60 * time.Millisecond
	// urgentBatchTime is the corresponding time for heartbeats that the leader waits
	// for.
	urgentBatchTime = 6 * time.Millisecond
	// maxBatchPackets bounds the packets of a batch, which is sent as one datagram.
	maxBatchPackets = 40
	// compressAbove is the size of a packet in bytes above which it is compressed,
	// because it would not fit into a datagram without fragments.
	compressAbove = 1200
	// maxBatchBytes bounds the decompressed size of a batch.
	maxBatchBytes = 16 << 20
	// sendDirectAfter is how long the leader is silent before heartbeats bypass the
	// coordinator of the zone: the time after which one answer must have been lost.
	sendDirectAfter = 550 * time.Millisecond
	// sendDirectTime is for how long heartbeats then bypass the coordinator.
	sendDirectTime = 3 * time.Second
)

// batcher collects heartbeats of a zone for the leader. In a large fleet the leader
// then answers a few batches instead of hundreds of datagrams, and data that the
// packets have in common crosses regions only once.
type batcher struct {
	mu      sync.Mutex
	pending []packet
	timer   *time.Timer
	flushAt time.Duration
}

// add adds a heartbeat to the next batch.
func (b *batcher) add(m *messenger, p *packet) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.pending = append(b.pending, *p)
	wait := batchTime
	if p.Urgent {
		wait = urgentBatchTime
	}
	due := clock.Now() + wait
	switch {
	case len(b.pending) >= maxBatchPackets:
		b.flush(m)
	case len(b.pending) == 1:
		b.flushAt = due
		b.timer = time.AfterFunc(wait, func() {
			b.mu.Lock()
			defer b.mu.Unlock()
			b.flush(m)
		})
	case due < b.flushAt:
		b.flushAt = due
		b.timer.Reset(wait)
	}
}

// flush sends the collected heartbeats. The caller holds mu.
func (b *batcher) flush(m *messenger) {
	if len(b.pending) == 0 {
		return
	}
	if b.timer != nil {
		b.timer.Stop()
	}
	list := b.pending
	b.pending = nil
	if r := m.vm.lease.Load().Record; r.Addr != "" && r.Addr != m.vm.Settings.IP {
		m.sendBatch(list, r.Addr)
	}
}

// sendBatch sends packets together, compressed.
func (m *messenger) sendBatch(list []packet, addrs ...string) {
	for len(list) > maxBatchPackets {
		m.sendBatch(list[:maxBatchPackets], addrs...)
		list = list[maxBatchPackets:]
	}
	raw, err := cbor.Marshal(list)
	if err == nil {
		raw, err = pack.Deflate(raw)
	}
	if err != nil {
		m.vm.Log.Error().Err(err).Msg("packets not encoded")
		return
	}
	m.send(&packet{Kind: packetBatch, Batch: raw}, addrs...)
}

// handleBatch handles the packets of a batch. The answers to heartbeats are sent
// back as a batch.
func (m *messenger) handleBatch(p *packet, now time.Duration) {
	raw, err := pack.Inflate(p.Batch, maxBatchBytes)
	var list []packet
	if err == nil {
		err = cbor.Unmarshal(raw, &list)
	}
	if err != nil {
		m.vm.Log.Warn().Err(err).Str("peer", p.From.Name).Msg("batch ignored")
		return
	}
	answers := make([]packet, 0, len(list))
	for i := range list {
		q := &list[i]
		switch q.Kind {
		case packetHeartbeat:
			m.vm.adoptEvacuations(q.Evacuations, q.From.Name)
			a := m.vm.leader.handleHeartbeat(q, now)
			if a == nil {
				m.relayToLeader(q)
				continue
			}
			a.From, a.Evacuations = m.vm.selfPeer(), m.vm.knownEvacuations()
			answers = append(answers, *a)
		case packetBatch:
			m.vm.Log.Warn().Str("peer", p.From.Name).Msg("batch within a batch ignored")
		default:
			m.handle(q, now)
		}
	}
	if len(answers) > 0 {
		m.sendBatch(answers, p.From.IP)
	}
}

// batchesByZone reports whether the fleet is so large that heartbeats are sent
// through the coordinators of the zones.
func (v *VM) batchesByZone() bool { return len(v.view.Load().Peers) > lease.SmallFleet }

// heartbeatAddr returns the IP that a heartbeat is sent to. In a large fleet this is
// the coordinator of the zone, unless the leader is in the same zone or has not
// answered lately.
func (m *messenger) heartbeatAddr(r *lease.Record, silent, now time.Duration) string {
	m.mu.Lock()
	if silent > sendDirectAfter {
		m.directUntil = now + sendDirectTime
	}
	direct := now < m.directUntil
	m.mu.Unlock()
	coordinators := *m.vm.coordinators.Load()
	if direct || len(coordinators) == 0 || !m.vm.batchesByZone() || m.vm.coordinatorIndex() >= 0 {
		return r.Addr
	}
	if d, ok := m.vm.stats.traffic.distance(r.Addr); ok && d == pollendoor.SameZone {
		return r.Addr
	}
	return coordinators[0].IP
}
