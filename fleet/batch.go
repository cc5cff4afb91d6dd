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
	// bundleTime is how long the lead of a zone gathers heartbeats for the holder:
	// short against the time between two of them.
	batchTime = 60 * time.Millisecond
	// urgentTime is the same for heartbeats that the holder waits for.
	urgentBatchTime = 6 * time.Millisecond
	// bundleMost bounds the packets of a bundle, which is one datagram.
	maxBatchPackets = 40
	// packAbove is the size of a packet, in bytes, above which it is compressed: it
	// would not fit into a datagram without fragments.
	compressAbove = 1200
	// bundleBytes bounds a bundle when it is decompressed.
	maxBatchBytes = 16 << 20
	// directAfter is how long the holder is silent before a heartbeat does not go
	// through the lead of its zone: one that was lost.
	sendDirectAfter = 550 * time.Millisecond
	// directTime is how long heartbeats do not go through the lead then.
	sendDirectTime = 3 * time.Second
)

// bundler gathers heartbeats of a zone for the duty holder. In a large fleet the
// holder answers some bundles instead of hundreds of datagrams, and what they have
// in common crosses regions once.
type batcher struct {
	mu      sync.Mutex
	pending []packet
	timer   *time.Timer
	flushAt time.Duration
}

// add takes a heartbeat to be passed on.
func (g *batcher) add(b *messenger, p *packet) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.pending = append(g.pending, *p)
	wait := batchTime
	if p.Urgent {
		wait = urgentBatchTime
	}
	due := clock.Now() + wait
	switch {
	case len(g.pending) >= maxBatchPackets:
		g.flush(b)
	case len(g.pending) == 1:
		g.flushAt = due
		g.timer = time.AfterFunc(wait, func() {
			g.mu.Lock()
			defer g.mu.Unlock()
			g.flush(b)
		})
	case due < g.flushAt:
		g.flushAt = due
		g.timer.Reset(wait)
	}
}

// flush sends what has been gathered. The caller holds mu.
func (g *batcher) flush(b *messenger) {
	if len(g.pending) == 0 {
		return
	}
	if g.timer != nil {
		g.timer.Stop()
	}
	list := g.pending
	g.pending = nil
	if r := b.vm.lease.Load().Record; r.Addr != "" && r.Addr != b.vm.Settings.IP {
		b.sendBatch(list, r.Addr)
	}
}

// bundle sends packets together.
func (b *messenger) sendBatch(list []packet, addrs ...string) {
	for len(list) > maxBatchPackets {
		b.sendBatch(list[:maxBatchPackets], addrs...)
		list = list[maxBatchPackets:]
	}
	raw, err := cbor.Marshal(list)
	if err == nil {
		raw, err = pack.Deflate(raw)
	}
	if err != nil {
		b.vm.Log.Error().Err(err).Msg("packets not encoded")
		return
	}
	b.send(&packet{Kind: packetBatch, Batch: raw}, addrs...)
}

// unbundle handles the packets of a bundle. The answers to heartbeats go back
// together.
func (b *messenger) handleBatch(p *packet, now time.Duration) {
	raw, err := pack.Inflate(p.Batch, maxBatchBytes)
	var list []packet
	if err == nil {
		err = cbor.Unmarshal(raw, &list)
	}
	if err != nil {
		b.vm.Log.Warn().Err(err).Str("peer", p.From.Name).Msg("bundle ignored")
		return
	}
	answers := make([]packet, 0, len(list))
	for i := range list {
		q := &list[i]
		switch q.Kind {
		case packetHeartbeat:
			a := b.vm.leader.handleHeartbeat(q, now)
			if a == nil {
				b.relayToLeader(q)
				continue
			}
			a.From = b.vm.selfPeer()
			answers = append(answers, *a)
		case packetBatch:
			b.vm.Log.Warn().Str("peer", p.From.Name).Msg("bundle within a bundle ignored")
		default:
			b.handle(q, now)
		}
	}
	if len(answers) > 0 {
		b.sendBatch(answers, p.From.IP)
	}
}

// byZone reports whether the fleet is so large that heartbeats go through the leads of
// zones.
func (v *VM) batchesByZone() bool { return len(v.view.Load().Peers) > lease.SmallFleet }

// wayToHolder returns the IP that a heartbeat is sent to: in a large fleet the lead of
// the zone, unless the holder is in the zone or has not answered the last one.
func (b *messenger) heartbeatAddr(r *lease.Record, silent, now time.Duration) string {
	b.mu.Lock()
	if silent > sendDirectAfter {
		b.directUntil = now + sendDirectTime
	}
	direct := now < b.directUntil
	b.mu.Unlock()
	coordinators := *b.vm.coordinators.Load()
	if direct || len(coordinators) == 0 || !b.vm.batchesByZone() || b.vm.coordinatorIndex() >= 0 {
		return r.Addr
	}
	if d, ok := b.vm.stats.traffic.distance(r.Addr); ok && d == pollendoor.SameZone {
		return r.Addr
	}
	return coordinators[0].IP
}
