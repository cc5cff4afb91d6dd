package fleet

import (
	"context"
	"math/rand/v2"
	"net"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"

	"github.com/pollendoor/pollendoor"
	"github.com/pollendoor/pollendoor/clock"
	"github.com/pollendoor/pollendoor/lease"
	"github.com/pollendoor/pollendoor/logs"
	"github.com/pollendoor/pollendoor/sample"
	"github.com/pollendoor/pollendoor/vmlist"
)

const (
	// beatPeriod is the time between heartbeats of a VM: several fit into a
	// lease, and their samples stay young against the staleness of reads.
	beatPeriod = 400 * time.Millisecond
	// settlePeriod is the same after a start or a change of the holder.
	settlePeriod = 120 * time.Millisecond
	// settleFleet is the number of VMs up to which that is so.
	settleFleet = 16
	// selfLeaseAfter is how long the holder is silent before a VM asks the store
	// itself whether its record still stands.
	selfLeaseAfter = 900 * time.Millisecond
	// relayAfter is how long the holder is silent before heartbeats go through
	// other VMs as well, and relayedThrough through how many.
	relayAfter     = 600 * time.Millisecond
	relayedThrough = 3
	// storeSeries bounds how long reads of the store count as one series.
	storeSeries = 10 * time.Second
	// promiseAfter is how long a read of the store goes unanswered before this VM
	// counts as one that does not reach it.
	promiseAfter = 250 * time.Millisecond
	// renewPause is the least time between two such questions.
	renewPause = 700 * time.Millisecond
	// viewPeriod is the least time between two changes of the list of live VMs.
	viewPeriod = 100 * time.Millisecond
	// heardLately is how old a VM's contact with the holder may be to speak
	// against a takeover.
	heardLately = 900 * time.Millisecond
	// tellAge is how old the answers of other VMs on the holder may be.
	tellAge = time.Second
	// configPatience is how long the watch may take to bring a configuration that
	// another VM has.
	configPatience = 500 * time.Millisecond
	// differPatience is the same for the targets' entries.
	differPatience = 700 * time.Millisecond
	// maxPacket is the size of the receive buffer, in bytes.
	maxPacket = 64 << 10
)

// beat exchanges datagrams with other VMs.
type beat struct {
	vm     *VM
	conn   *net.UDPConn
	listed atomic.Bool // the record has been looked up in the store
	woken  chan struct{}

	mu        sync.Mutex
	answered  time.Duration // arrival of the holder's last answer
	started   time.Duration
	changed   time.Duration // when the holder changed
	stamp     lease.Stamp   // of that answer
	noClaim   time.Duration // until then this VM has promised not to claim
	told      map[string]tell
	sentIndex map[string]sample.Sample // newest sample reported, by group
	adopted   time.Duration            // send time of the last heartbeat whose shares were adopted
	unlisted  time.Duration            // since when the view lacks this VM, zero if it does not
	wanted    lease.Stamp              // since when the holder of a token asks for promises, by this VM's clock
	storeRead time.Duration            // start of this VM's last read of the record
	storeOK   bool                     // it succeeded
	storeBack time.Duration            // start of the first read that succeeded after one failed, zero if none has failed
	storeLost bool                     // the last read failed
	storeFrom time.Duration            // start of the first of the reads that succeeded since one failed
	sign      uint64                   // the holder's last one at the store that this VM knows
	signAt    time.Duration            // when it learned of it
	differs   time.Duration            // since when the holder knows other targets, zero if not
	renewing  bool
	readWait  time.Duration // how much longer that read may take, as another VM does it
	led       time.Duration // arrival of the last answer of one of the zone's leads
	leadTurn  int           // number of the last question to them
	direct    time.Duration // until then heartbeats do not go through the lead of the zone
	sample    []vmlist.Peer // VMs that are asked for the holder
	sampled   time.Duration // since when
	asking    time.Duration // when they were first asked, zero if they have not been
	fetching  bool          // a configuration from another VM
	recording bool          // the record from another VM
	listing   bool          // targets from another VM

	stander stander
	bundler bundler
}

func (b *beat) listen() error {
	b.woken = make(chan struct{}, 1)
	b.started = clock.Now()
	a, err := netip.ParseAddrPort(b.vm.addr(b.vm.Settings.IP))
	if err != nil {
		return errors.Wrap(err, "heartbeat address")
	}
	b.conn, err = net.ListenUDP("udp4", net.UDPAddrFromAddrPort(a))
	return errors.Wrap(err, "heartbeat socket")
}

func (b *beat) close() { b.conn.Close() }

// signed notes the number of the holder's last sign. The caller holds mu.
func (b *beat) signed(n uint64, now time.Duration) {
	if n != b.sign || b.signAt == 0 {
		b.sign, b.signAt = n, now
	}
}

// released reports whether the holder has taken this VM out of the view, and has
// answered a heartbeat in which its shares were given up.
func (b *beat) released() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.unlisted > 0 && b.adopted > b.unlisted
}

// viewed notes whether the view has this VM.
func (b *beat) viewed(listed bool, now time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if listed {
		b.unlisted = 0
	} else if b.unlisted == 0 {
		b.unlisted = now
	}
}

// wake makes a heartbeat go out now.
func (b *beat) wake() {
	select {
	case b.woken <- struct{}{}:
	default:
	}
}

// write sends a packet of this VM to others.
func (b *beat) write(p *packet, ips ...string) {
	p.From = b.vm.self()
	b.forward(p, ips...)
}

// forward sends a packet as it is. It is encoded once for all, and compressed if it is
// large.
func (b *beat) forward(p *packet, ips ...string) {
	raw, err := cbor.Marshal(p)
	if err == nil && len(raw) > packAbove && p.Kind != packetBundle {
		b.bundle([]packet{*p}, ips...)
		return
	}
	if err != nil {
		b.vm.Log.Error().Err(err).Msg("packet not encoded")
		return
	}
	for _, ip := range ips {
		a, err := netip.ParseAddr(ip)
		if err != nil {
			b.vm.Log.Warn().Err(err).Str("ip", ip).Msg("address of another VM not understood")
			continue
		}
		to := netip.AddrPortFrom(a, uint16(b.vm.Settings.PeerPort))
		if _, err := b.conn.WriteToUDPAddrPort(raw, to); err != nil && !errors.Is(err, net.ErrClosed) {
			b.vm.Log.Debug().Err(err).Str("ip", ip).Msg("packet not sent")
		}
		b.vm.stats.traffic.sent(flow(p.Kind), ip, len(raw))
	}
}

// send sends heartbeats until ctx ends.
func (b *beat) send(ctx context.Context) {
	for ctx.Err() == nil {
		d := b.period(clock.Now())
		t := time.NewTimer(d - d/8 + rand.N(d/4))
		woken := false
		select {
		case <-ctx.Done():
		case <-t.C:
		case <-b.woken:
			woken = true
		}
		t.Stop()
		b.once(ctx, woken)
	}
}

// period returns the time to the next heartbeat. After a start, or a change of
// the holder, shares have to find their places.
func (b *beat) period(now time.Duration) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	if now < b.changed+settleTime*2 {
		// In a large fleet the holder has that many heartbeats to answer.
		n := time.Duration(len(b.vm.view.Load().Peers))
		return min(beatPeriod, max(settlePeriod, settlePeriod*n/settleFleet))
	}
	return beatPeriod
}

// once sends one heartbeat, or acts on the silence of the holder.
func (b *beat) once(ctx context.Context, urgent bool) {
	v := b.vm
	r := v.lease.Load().Record
	now := clock.Now()
	if v.duty.holds() {
		v.duty.serveSelf(now)
		return
	}
	b.mu.Lock()
	silent := now - max(b.answered, b.started)
	wanted := b.wanted.Echo(r.Token) > 0
	b.mu.Unlock()
	if r.Holder != "" && r.Holder != v.Settings.VM {
		p := b.heartbeat(&r, now)
		p.Urgent = urgent
		b.write(p, b.wayToHolder(&r, silent, now))
		if silent > relayAfter {
			b.relays(&r, p)
		}
	}
	if silent < selfLeaseAfter && !wanted && r.Holder != "" && r.Holder != v.Settings.VM || !b.listed.Load() {
		return
	}
	if silent >= selfLeaseAfter {
		b.ask(&r, now)
	}
	if r.Member(v.Settings.VM) && r.Holder != v.Settings.VM {
		if v.reads() {
			b.renew(ctx)
		} else {
			b.askCoordinator(&r)
		}
	}
	if lease.MayClaim(b.sight(&r, silent, now), now) {
		v.duty.claim(ctx, r.Token)
	}
}

// heartbeat puts a heartbeat together.
func (b *beat) heartbeat(r *lease.Record, now time.Duration) *packet {
	v := b.vm
	p := &packet{
		Kind: packetBeat, Token: r.Token, Stamp: now, Version: r.Version, Run: v.run, Power: v.Settings.CPU,
		Reports: make(map[string]lease.Report), Positions: make(map[string]position),
		Held: v.rates.report(r.Token, now), ViewSeen: v.view.Load().Version, Wants: v.wants(now),
	}
	if c := v.config.Load(); c != nil {
		p.Config = c.Version
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	p.Echo = b.stamp.Echo(r.Token)
	// An earlier process may have promised something, too.
	p.Bound = max(0, max(b.noClaim, b.started+lease.PromiseTime)-now)
	if w := b.wanted.Echo(r.Token); w > 0 && b.storeRead > w && !b.storeOK && now-b.storeRead > promiseAfter+b.readWait && p.Echo > 0 && now-b.answered < selfLeaseAfter {
		// Neither the holder nor this VM reaches the store.
		p.Promise = lease.PromiseTime
		b.noClaim = max(b.noClaim, now+lease.PromiseTime)
	}
	for name, g := range r.Groups {
		rep, s, ok := v.fate(name).report(g.Epoch, now)
		if !ok {
			continue
		}
		p.Reports[name] = rep
		if p.Echo > 0 && s.Since > b.sentIndex[name].Since {
			p.Positions[name] = position{Since: s.Since - b.answered, Term: s.Position.Term, Index: s.Position.Index}
			if b.sentIndex == nil {
				b.sentIndex = make(map[string]sample.Sample)
			}
			b.sentIndex[name] = s
		}
	}
	return p
}

// receive handles datagrams until the socket is closed.
func (b *beat) receive() {
	buf := make([]byte, maxPacket)
	for {
		n, _, err := b.conn.ReadFromUDPAddrPort(buf)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue // an unreachable peer's error is reported on the socket
		}
		var p packet
		if err := cbor.Unmarshal(buf[:n], &p); err != nil {
			b.vm.Log.Warn().Err(err).Int("bytes", n).Msg("packet ignored")
			continue
		}
		if p.Kind >= packetKinds {
			b.vm.Log.Warn().Uint8("kind", uint8(p.Kind)).Msg("packet of a kind that is not known ignored")
			continue
		}
		b.handle(&p, clock.Now())
	}
}

func (b *beat) handle(p *packet, now time.Duration) {
	defer logs.RecoverPanic(&b.vm.Log, "packet")
	switch p.Kind {
	case packetBeat:
		b.heartbeatOf(p, now)
	case packetAnswer:
		if p.Relay != "" && p.To != b.vm.Settings.IP {
			b.forward(p, p.To)
			return
		}
		b.answer(p, now)
	case packetPoke:
		if p.Step != nil {
			b.vm.learnStep(p.Step) // otherwise the answer to the heartbeat brings it
		}
		b.wake()
	case packetAsk:
		b.mu.Lock()
		age := now - b.answered
		b.mu.Unlock()
		if b.vm.duty.holds() {
			age = 0
		}
		b.write(&packet{Kind: packetTell, Token: b.vm.lease.Load().Record.Token, Echo: p.Stamp, Age: age}, p.From.IP)
	case packetNews:
		b.compare(p, now)
	case packetBundle:
		b.unbundle(p, now)
	case packetSeek:
		if r := b.vm.lease.Load().Record; r.Token > 0 {
			b.write(&packet{Kind: packetFound, Record: &storedRecord{Record: r}}, p.From.IP)
		}
	case packetFound:
		if p.Record != nil {
			b.vm.learn(*p.Record, p.From.Name)
		}
	case packetStands:
		b.stander.ask(b.vm, p)
	case packetStood:
		b.stood(p, now)
	case packetAdmit:
		b.vm.rates.asked(p, now)
	case packetAdmitted:
		b.vm.rates.answered(p)
	case packetTell:
		b.mu.Lock()
		if b.told == nil {
			b.told = make(map[string]tell)
		}
		b.told[p.From.Name] = tell{at: now, token: p.Token, age: p.Age}
		b.mu.Unlock()
	}
}

// heartbeatOf answers another VM's heartbeat, or passes it on to the holder. Its times
// are those of the two ends.
func (b *beat) heartbeatOf(p *packet, now time.Duration) {
	if a := b.vm.duty.beat(p, now); a != nil {
		ip := p.From.IP
		if p.Relay != "" {
			ip = p.Relay
		}
		b.write(a, ip)
		return
	}
	b.passOn(p)
}

// passOn sends another VM's heartbeat on to the holder, unless it has come through a
// VM before.
func (b *beat) passOn(p *packet) {
	r := b.vm.lease.Load().Record
	if p.Relay == "" && r.Addr != "" && r.Addr != b.vm.Settings.IP {
		p.Relay = b.vm.Settings.IP
		if b.vm.byZone() {
			b.bundler.add(b, p)
		} else {
			b.forward(p, r.Addr)
		}
	}
}

// relays sends a heartbeat through some other VMs, when the holder does not
// answer the direct one.
func (b *beat) relays(r *lease.Record, p *packet) {
	list := addresses(b.others(r.Holder))
	rand.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	b.write(p, list[:min(len(list), relayedThrough)]...)
}

// others returns the live VMs but for this one and the holder.
func (b *beat) others(holder string) []vmlist.Peer {
	return slices.DeleteFunc(slices.Clone(b.vm.view.Load().Peers), func(p vmlist.Peer) bool {
		return p.Name == b.vm.Settings.VM || p.Name == holder
	})
}

func addresses(list []vmlist.Peer) []string {
	out := make([]string, 0, len(list))
	for _, p := range list {
		out = append(out, p.IP)
	}
	return out
}

// answer takes the holder's answer to the heartbeat that was sent at p.Echo.
func (b *beat) answer(p *packet, now time.Duration) {
	v := b.vm
	r := v.lease.Load().Record
	if p.Token < r.Token || p.Echo > now {
		return
	}
	switch {
	case p.Record != nil:
		v.learn(*p.Record, "holder")
	case p.Step != nil && v.learnStep(p.Step):
	case (r.Token != p.Token || r.Version < p.Version) && b.start(&b.recording):
		go b.fetchRecord(p.From)
	}
	r = v.lease.Load().Record
	if r.Token != p.Token || r.Version != p.Version {
		return // it answers for a record that this VM does not have
	}
	if p.Lease > 0 && lease.MayAdopt(b.listed.Load(), now-b.started) {
		v.changeLease(func(l *lease.Lease) bool { return l.Adopt(r, p.Echo, p.Lease) })
	}
	b.mu.Lock()
	b.sample = nil
	b.answered, b.stamp = now, lease.Stamp{Token: p.Token, At: p.Stamp}
	b.signed(p.Sign, now)
	if !p.Want {
		b.wanted = lease.Stamp{}
	} else if b.wanted.Token != p.Token {
		b.wanted = lease.Stamp{Token: p.Token, At: now}
	}
	fresh := p.Echo > b.adopted
	if fresh {
		b.adopted = p.Echo
	}
	b.mu.Unlock()
	switch {
	case p.View != nil:
		v.takeView(p.View)
	case p.Delta != nil:
		v.applyDelta(p.Delta)
	}
	if fresh {
		v.rates.adopt(p.Token, p.Shares, p.Echo, now)
	}
	for name, s := range p.Positions {
		v.ring(name).Add(sample.Sample{Since: p.Echo + s.Since, Position: pollendoor.Position{Term: s.Term, Index: s.Index}})
	}
	b.compare(p, now)
}
