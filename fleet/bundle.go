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
	bundleTime = 60 * time.Millisecond
	// urgentTime is the same for heartbeats that the holder waits for.
	urgentTime = 6 * time.Millisecond
	// bundleMost bounds the packets of a bundle, which is one datagram.
	bundleMost = 40
	// packAbove is the size of a packet, in bytes, above which it is compressed: it
	// would not fit into a datagram without fragments.
	packAbove = 1200
	// bundleBytes bounds a bundle when it is decompressed.
	bundleBytes = 16 << 20
	// directAfter is how long the holder is silent before a heartbeat does not go
	// through the lead of its zone: one that was lost.
	directAfter = 550 * time.Millisecond
	// directTime is how long heartbeats do not go through the lead then.
	directTime = 3 * time.Second
)

// bundler gathers heartbeats of a zone for the duty holder. In a large fleet the
// holder answers some bundles instead of hundreds of datagrams, and what they have
// in common crosses regions once.
type bundler struct {
	mu      sync.Mutex
	waiting []packet
	timer   *time.Timer
	due     time.Duration
}

// add takes a heartbeat to be passed on.
func (g *bundler) add(b *beat, p *packet) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.waiting = append(g.waiting, *p)
	wait := bundleTime
	if p.Urgent {
		wait = urgentTime
	}
	due := clock.Now() + wait
	switch {
	case len(g.waiting) >= bundleMost:
		g.flush(b)
	case len(g.waiting) == 1:
		g.due = due
		g.timer = time.AfterFunc(wait, func() {
			g.mu.Lock()
			defer g.mu.Unlock()
			g.flush(b)
		})
	case due < g.due:
		g.due = due
		g.timer.Reset(wait)
	}
}

// flush sends what has been gathered. The caller holds mu.
func (g *bundler) flush(b *beat) {
	if len(g.waiting) == 0 {
		return
	}
	if g.timer != nil {
		g.timer.Stop()
	}
	list := g.waiting
	g.waiting = nil
	if r := b.vm.lease.Load().Record; r.Addr != "" && r.Addr != b.vm.Settings.IP {
		b.bundle(list, r.Addr)
	}
}

// bundle sends packets together.
func (b *beat) bundle(list []packet, ips ...string) {
	for len(list) > bundleMost {
		b.bundle(list[:bundleMost], ips...)
		list = list[bundleMost:]
	}
	raw, err := cbor.Marshal(list)
	if err == nil {
		raw, err = pack.Deflate(raw)
	}
	if err != nil {
		b.vm.Log.Error().Err(err).Msg("packets not encoded")
		return
	}
	b.write(&packet{Kind: packetBundle, Packed: raw}, ips...)
}

// unbundle handles the packets of a bundle. The answers to heartbeats go back
// together.
func (b *beat) unbundle(p *packet, now time.Duration) {
	raw, err := pack.Inflate(p.Packed, bundleBytes)
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
		case packetBeat:
			a := b.vm.duty.beat(q, now)
			if a == nil {
				b.passOn(q)
				continue
			}
			a.From = b.vm.self()
			answers = append(answers, *a)
		case packetBundle:
			b.vm.Log.Warn().Str("peer", p.From.Name).Msg("bundle within a bundle ignored")
		default:
			b.handle(q, now)
		}
	}
	if len(answers) > 0 {
		b.bundle(answers, p.From.IP)
	}
}

// byZone reports whether the fleet is so large that heartbeats go through the leads of
// zones.
func (v *VM) byZone() bool { return len(v.view.Load().Peers) > lease.SmallFleet }

// wayToHolder returns the IP that a heartbeat is sent to: in a large fleet the lead of
// the zone, unless the holder is in the zone or has not answered the last one.
func (b *beat) wayToHolder(r *lease.Record, silent, now time.Duration) string {
	b.mu.Lock()
	if silent > directAfter {
		b.direct = now + directTime
	}
	direct := now < b.direct
	b.mu.Unlock()
	leads := *b.vm.leads.Load()
	if direct || len(leads) == 0 || !b.vm.byZone() || b.vm.leadOf() >= 0 {
		return r.Addr
	}
	if d, ok := b.vm.stats.traffic.distance(r.Addr); ok && d == pollendoor.SameZone {
		return r.Addr
	}
	return leads[0].IP
}
