package fleet

import (
	"net"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"

	"github.com/pollendoor/pollendoor/clock"
	"github.com/pollendoor/pollendoor/pack"
	"github.com/pollendoor/pollendoor/roster"
	"github.com/pollendoor/pollendoor/vmlist"
)

// listPause is the least time between two lists of the targets that a VM fetches
// from another one: entries often change together.
const listPause = 150 * time.Millisecond

// compare catches up with another VM that knows a newer configuration or other
// targets. A VM that watches the store gives its watch some time first.
func (b *beat) compare(p *packet, now time.Duration) {
	v, from := b.vm, p.From
	c := v.config.Load()
	if p.Config > 0 && (c == nil || c.Version < p.Config) && b.start(&b.fetching) {
		go b.catchUpConfig(from, p.Config)
	}
	if revision, digest := v.targets.State(); p.Digest == 0 || p.Digest == digest || p.Listed < revision {
		b.mu.Lock()
		b.differs = 0
		b.mu.Unlock()
		return
	}
	b.mu.Lock()
	if b.differs == 0 {
		b.differs = now
	}
	late := now-b.differs > differPatience
	b.mu.Unlock()
	own := v.watches() && !v.entries.lost.Load()
	if late && own {
		v.entries.nudge()
	} else if !own && b.start(&b.listing) {
		go b.catchUpTargets(from, p.Listed, p.Digest)
	}
}

// start marks work as under way. It reports false if it is already.
func (b *beat) start(busy *bool) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	was := *busy
	*busy = true
	return !was
}

func (b *beat) done(busy *bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	*busy = false
}

// leadPause is how long a VM waits for the lead of its zone to learn something, before
// it asks again.
const leadPause = 120 * time.Millisecond

// maxConfig bounds a configuration of another VM, in bytes.
const maxConfig = 8 << 20

// sources returns the VMs to catch up from: the lead of the zone, which costs least
// and learns of the same, several times, and the VM that is known to be ahead.
func (b *beat) sources(from vmlist.Peer) []vmlist.Peer {
	list := []vmlist.Peer{from}
	if leads := *b.vm.leads.Load(); len(leads) > 0 && leads[0].Name != from.Name && leads[0].Name != b.vm.Settings.VM {
		list = []vmlist.Peer{leads[0], leads[0], leads[0], from}
	}
	return list
}

// catchUpConfig takes a configuration over from another VM.
func (b *beat) catchUpConfig(from vmlist.Peer, version uint64) {
	defer b.done(&b.fetching)
	v := b.vm
	if v.watches() {
		time.Sleep(configPatience)
	}
	for i, p := range b.sources(from) {
		if i > 0 {
			time.Sleep(leadPause)
		}
		if c := v.config.Load(); c != nil && c.Version >= version {
			return
		}
		r, err := v.lanes.ask(p, call{Config: true})
		if err == nil && r.Config == nil {
			continue // it has none yet
		}
		var raw []byte
		if err == nil {
			raw, err = pack.Inflate(r.Config, maxConfig)
		}
		if err != nil {
			v.Log.Warn().Err(err).Str("peer", p.Name).Msg("configuration not fetched from another VM")
			continue
		}
		v.takeConfig(raw, p.Name)
	}
}

// catchUpTargets takes the targets with a digest over from another VM.
func (b *beat) catchUpTargets(from vmlist.Peer, listed, digest uint64) {
	defer func() {
		time.Sleep(listPause)
		b.done(&b.listing)
	}()
	list := b.sources(from)
	b.mu.Lock()
	wrong := b.differs > 0 && clock.Now()-b.differs > differPatience
	b.mu.Unlock()
	if wrong {
		list = []vmlist.Peer{from} // the lead does not know them either
	}
	for i, p := range list {
		if i > 0 {
			time.Sleep(leadPause)
		}
		since, _ := b.vm.targets.State()
		if wrong {
			since = 0
		}
		r, err := b.vm.lanes.ask(p, call{Targets: true, Since: since})
		if err == nil && len(r.Targets) == 0 {
			continue // it knows none yet
		}
		var d roster.Delta
		if err == nil {
			d, err = unpackTargets(r.Targets)
		}
		switch {
		case err != nil:
			b.vm.Log.Warn().Err(err).Str("peer", p.Name).Msg("targets not fetched from another VM")
			continue
		case r.Whole:
			b.vm.takeTargets(d.Changed, d.To, p.Name)
		default:
			b.vm.applyTargets(d, p.Name)
		}
		revision, known := b.vm.targets.State()
		if known == digest {
			return
		}
		wrong = revision >= listed // it has all of that revision, and something else
	}
}

// packTargets returns the targets for another VM that knows those of a revision: what
// has changed since, or all.
func (v *VM) packTargets(since uint64) (packed []byte, whole bool) {
	d, ok := v.targets.Since(since)
	if !ok || since == 0 {
		d = roster.Delta{}
		if d.Changed, d.To = v.targets.Listed(); len(d.Changed) == 0 {
			return nil, true
		}
		whole = true
	}
	raw, err := cbor.Marshal(d)
	if err == nil {
		packed, err = pack.Deflate(raw)
	}
	if err != nil {
		v.Log.Error().Err(err).Msg("targets not sent to another VM")
	}
	return packed, whole
}

// maxTargets bounds the targets of another VM, in bytes.
const maxTargets = 64 << 20

func unpackTargets(packed []byte) (roster.Delta, error) {
	var d roster.Delta
	raw, err := pack.Inflate(packed, maxTargets)
	if err != nil {
		return d, err
	}
	return d, errors.Wrap(cbor.Unmarshal(raw, &d), "targets")
}

// tellKnown notes in a packet which configuration and targets this VM knows, for compare.
func (v *VM) tellKnown(p *packet) {
	p.Listed, p.Digest = v.targets.State()
	if c := v.config.Load(); c != nil {
		p.Config = c.Version
	}
}

// news tells the VMs of the zone that its watcher has learned something.
func (b *beat) news() {
	v := b.vm
	if b.conn == nil || !v.watches() {
		return
	}
	p := &packet{Kind: packetNews}
	v.tellKnown(p)
	near := slices.DeleteFunc(b.others(""), func(o vmlist.Peer) bool { return o.Zone != v.Settings.Zone })
	b.write(p, addresses(near)...)
}

// seek asks the VMs that the settings name for the record, when the store does not
// answer: the duty holder can be reached without it.
func (b *beat) seek() {
	var ips []string
	for _, seed := range b.vm.Settings.Seeds {
		if ip, _, err := net.SplitHostPort(seed); err == nil && ip != b.vm.Settings.IP {
			ips = append(ips, ip)
		}
	}
	b.write(&packet{Kind: packetSeek}, ips...)
}

// fetchRecord takes a record over from a VM that has a newer one.
func (b *beat) fetchRecord(from vmlist.Peer) {
	defer b.done(&b.recording)
	r, err := b.vm.lanes.ask(from, call{Record: true})
	if err != nil || r.Record == nil {
		b.vm.Log.Warn().Err(err).Str("peer", from.Name).Msg("record not fetched from another VM")
		return
	}
	b.vm.learn(*r.Record, "holder") // which sends a heartbeat, for the lease on it
}
