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
	heartbeatPeriod = 400 * time.Millisecond
	// settlePeriod is the same after a start or a change of the holder.
	startupHeartbeatPeriod = 120 * time.Millisecond
	// settleFleet is the number of VMs up to which that is so.
	startupFleetSize = 16
	// selfLeaseAfter is how long the holder is silent before a VM asks the store
	// itself whether its record still stands.
	leaderSilentAfter = 900 * time.Millisecond
	// relayAfter is how long the holder is silent before heartbeats go through
	// other VMs as well, and relayedThrough through how many.
	relayAfter = 600 * time.Millisecond
	relayCount = 3
	// storeSeries bounds how long reads of the store count as one series.
	storeSeriesTime = 10 * time.Second
	// promiseAfter is how long a read of the store goes unanswered before this VM
	// counts as one that does not reach it.
	storeReadTimeout = 250 * time.Millisecond
	// renewPause is the least time between two such questions.
	storeReadPause = 700 * time.Millisecond
	// viewPeriod is the least time between two changes of the list of live VMs.
	viewPeriod = 100 * time.Millisecond
	// heardLately is how old a VM's contact with the holder may be to speak
	// against a takeover.
	recentAnswerAge = 900 * time.Millisecond
	// tellAge is how old the answers of other VMs on the holder may be.
	leaderReportLife = time.Second
	// configPatience is how long the watch may take to bring a configuration that
	// another VM has.
	configWatchDelay = 500 * time.Millisecond
	// differPatience is the same for the targets' entries.
	targetsWatchDelay = 700 * time.Millisecond
	// maxPacket is the size of the receive buffer, in bytes.
	maxPacketBytes = 64 << 10
)

// beat exchanges datagrams with other VMs.
type messenger struct {
	vm             *VM
	conn           *net.UDPConn
	recordLookedUp atomic.Bool // the record has been looked up in the store
	wakeup         chan struct{}

	mu                 sync.Mutex
	lastAnswer         time.Duration // arrival of the holder's last answer
	startedAt          time.Duration
	leaderChanged      time.Duration // when the holder changed
	answerStamp        lease.Stamp   // of that answer
	noClaimUntil       time.Duration // until then this VM has promised not to claim
	leaderReports      map[string]leaderReport
	sentPositions      map[string]sample.Sample // newest sample reported, by group
	grantsAdopted      time.Duration            // send time of the last heartbeat whose shares were adopted
	unlistedSince      time.Duration            // since when the view lacks this VM, zero if it does not
	promiseWanted      lease.Stamp              // since when the holder of a token asks for promises, by this VM's clock
	lastRead           time.Duration            // start of this VM's last read of the record
	lastReadOK         bool                     // it succeeded
	storeRegained      time.Duration            // start of the first read that succeeded after one failed, zero if none has failed
	lastReadFailed     bool                     // the last read failed
	readsOKSince       time.Duration            // start of the first of the reads that succeeded since one failed
	leaderLiveness     uint64                   // the holder's last one at the store that this VM knows
	livenessSeen       time.Duration            // when it learned of it
	targetsDifferSince time.Duration            // since when the holder knows other targets, zero if not
	readingStore       bool
	readAllowance      time.Duration // how much longer that read may take, as another VM does it
	coordinatorAnswer  time.Duration // arrival of the last answer of one of the zone's leads
	coordinatorTurn    int           // number of the last question to them
	directUntil        time.Duration // until then heartbeats do not go through the lead of the zone
	peerSample         []vmlist.Peer // VMs that are asked for the holder
	sampledAt          time.Duration // since when
	queriedSince       time.Duration // when they were first asked, zero if they have not been
	fetchingConfig     bool          // a configuration from another VM
	fetchingRecord     bool          // the record from another VM
	fetchingTargets    bool          // targets from another VM

	recordReader recordReader
	batcher      batcher
}

func (b *messenger) listen() error {
	b.wakeup = make(chan struct{}, 1)
	b.startedAt = clock.Now()
	a, err := netip.ParseAddrPort(b.vm.peerAddr(b.vm.Settings.IP))
	if err != nil {
		return errors.Wrap(err, "heartbeat address")
	}
	b.conn, err = net.ListenUDP("udp4", net.UDPAddrFromAddrPort(a))
	return errors.Wrap(err, "heartbeat socket")
}

func (b *messenger) close() { b.conn.Close() }

// signed notes the number of the holder's last sign. The caller holds mu.
func (b *messenger) noteLiveness(n uint64, now time.Duration) {
	if n != b.leaderLiveness || b.livenessSeen == 0 {
		b.leaderLiveness, b.livenessSeen = n, now
	}
}

// released reports whether the holder has taken this VM out of the view, and has
// answered a heartbeat in which its shares were given up.
func (b *messenger) released() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.unlistedSince > 0 && b.grantsAdopted > b.unlistedSince
}

// viewed notes whether the view has this VM.
func (b *messenger) noteListed(listed bool, now time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if listed {
		b.unlistedSince = 0
	} else if b.unlistedSince == 0 {
		b.unlistedSince = now
	}
}

// wake makes a heartbeat go out now.
func (b *messenger) wake() {
	select {
	case b.wakeup <- struct{}{}:
	default:
	}
}

// write sends a packet of this VM to others.
func (b *messenger) send(p *packet, addrs ...string) {
	p.From = b.vm.selfPeer()
	b.forward(p, addrs...)
}

// forward sends a packet as it is. It is encoded once for all, and compressed if it is
// large.
func (b *messenger) forward(p *packet, addrs ...string) {
	raw, err := cbor.Marshal(p)
	if err == nil && len(raw) > compressAbove && p.Kind != packetBatch {
		b.sendBatch([]packet{*p}, addrs...)
		return
	}
	if err != nil {
		b.vm.Log.Error().Err(err).Msg("packet not encoded")
		return
	}
	for _, ip := range addrs {
		a, err := netip.ParseAddr(ip)
		if err != nil {
			b.vm.Log.Warn().Err(err).Str("ip", ip).Msg("address of another VM not understood")
			continue
		}
		to := netip.AddrPortFrom(a, uint16(b.vm.Settings.PeerPort))
		if _, err := b.conn.WriteToUDPAddrPort(raw, to); err != nil && !errors.Is(err, net.ErrClosed) {
			b.vm.Log.Debug().Err(err).Str("ip", ip).Msg("packet not sent")
		}
		b.vm.stats.traffic.countSent(trafficKind(p.Kind), ip, len(raw))
	}
}

// send sends heartbeats until ctx ends.
func (b *messenger) run(ctx context.Context) {
	for ctx.Err() == nil {
		d := b.period(clock.Now())
		t := time.NewTimer(d - d/8 + rand.N(d/4))
		woken := false
		select {
		case <-ctx.Done():
		case <-t.C:
		case <-b.wakeup:
			woken = true
		}
		t.Stop()
		b.sendHeartbeat(ctx, woken)
	}
}

// period returns the time to the next heartbeat. After a start, or a change of
// the holder, shares have to find their places.
func (b *messenger) period(now time.Duration) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	if now < b.leaderChanged+settleTime*2 {
		// In a large fleet the holder has that many heartbeats to answer.
		n := time.Duration(len(b.vm.view.Load().Peers))
		return min(heartbeatPeriod, max(startupHeartbeatPeriod, startupHeartbeatPeriod*n/startupFleetSize))
	}
	return heartbeatPeriod
}

// once sends one heartbeat, or acts on the silence of the holder.
func (b *messenger) sendHeartbeat(ctx context.Context, urgent bool) {
	v := b.vm
	r := v.lease.Load().Record
	now := clock.Now()
	if v.leader.isLeader() {
		v.leader.renewSelf(now)
		return
	}
	b.mu.Lock()
	silent := now - max(b.lastAnswer, b.startedAt)
	wanted := b.promiseWanted.Echo(r.Token) > 0
	b.mu.Unlock()
	if r.Holder != "" && r.Holder != v.Settings.VM {
		p := b.buildHeartbeat(&r, now)
		p.Urgent = urgent
		b.send(p, b.heartbeatAddr(&r, silent, now))
		if silent > relayAfter {
			b.sendThroughRelays(&r, p)
		}
	}
	if silent < leaderSilentAfter && !wanted && r.Holder != "" && r.Holder != v.Settings.VM || !b.recordLookedUp.Load() {
		return
	}
	if silent >= leaderSilentAfter {
		b.queryPeers(&r, now)
	}
	if r.Member(v.Settings.VM) && r.Holder != v.Settings.VM {
		if v.readsStore() {
			b.renewFromStore(ctx)
		} else {
			b.queryCoordinator(&r)
		}
	}
	if lease.MayClaim(b.claimEvidence(&r, silent, now), now) {
		v.leader.claim(ctx, r.Token)
	}
}

// heartbeat puts a heartbeat together.
func (b *messenger) buildHeartbeat(r *lease.Record, now time.Duration) *packet {
	v := b.vm
	p := &packet{
		Kind: packetHeartbeat, Token: r.Token, Stamp: now, RecordVersion: r.Version, ProcessID: v.processID, CPUShare: v.Settings.CPU,
		Reports: make(map[string]lease.Report), Positions: make(map[string]position),
		QuotaHeld: v.admission.reportHoldings(r.Token, now), ViewVersion: v.view.Load().Version, WantedGroups: v.wantedGroups(now),
	}
	if c := v.config.Load(); c != nil {
		p.ConfigVersion = c.Version
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	p.Echo = b.answerStamp.Echo(r.Token)
	// An earlier process may have promised something, too.
	p.PromiseLeft = max(0, max(b.noClaimUntil, b.startedAt+lease.PromiseTime)-now)
	if w := b.promiseWanted.Echo(r.Token); w > 0 && b.lastRead > w && !b.lastReadOK && now-b.lastRead > storeReadTimeout+b.readAllowance && p.Echo > 0 && now-b.lastAnswer < leaderSilentAfter {
		// Neither the holder nor this VM reaches the store.
		p.Promise = lease.PromiseTime
		b.noClaimUntil = max(b.noClaimUntil, now+lease.PromiseTime)
	}
	for name, g := range r.Groups {
		report, s, ok := v.primaryHealth(name).report(g.Epoch, now)
		if !ok {
			continue
		}
		p.Reports[name] = report
		if p.Echo > 0 && s.Since > b.sentPositions[name].Since {
			p.Positions[name] = position{Since: s.Since - b.lastAnswer, Term: s.Position.Term, Index: s.Position.Index}
			if b.sentPositions == nil {
				b.sentPositions = make(map[string]sample.Sample)
			}
			b.sentPositions[name] = s
		}
	}
	return p
}

// receive handles datagrams until the socket is closed.
func (b *messenger) receive() {
	buf := make([]byte, maxPacketBytes)
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
		if p.Kind >= packetKindCount {
			b.vm.Log.Warn().Uint8("kind", uint8(p.Kind)).Msg("packet of a kind that is not known ignored")
			continue
		}
		b.handle(&p, clock.Now())
	}
}

func (b *messenger) handle(p *packet, now time.Duration) {
	defer logs.Guard(&b.vm.Log, "packet")
	switch p.Kind {
	case packetHeartbeat:
		b.handleHeartbeat(p, now)
	case packetAnswer:
		if p.RelayIP != "" && p.AnswerIP != b.vm.Settings.IP {
			b.forward(p, p.AnswerIP)
			return
		}
		b.handleAnswer(p, now)
	case packetRecordChanged:
		if p.RecordDelta != nil {
			b.vm.applyRecordDelta(p.RecordDelta) // otherwise the answer to the heartbeat brings it
		}
		b.wake()
	case packetLeaderQuery:
		b.mu.Lock()
		age := now - b.lastAnswer
		b.mu.Unlock()
		if b.vm.leader.isLeader() {
			age = 0
		}
		b.send(&packet{Kind: packetLeaderReport, Token: b.vm.lease.Load().Record.Token, Echo: p.Stamp, Age: age}, p.From.IP)
	case packetUpdate:
		b.catchUpWith(p, now)
	case packetBatch:
		b.handleBatch(p, now)
	case packetRecordRequest:
		if r := b.vm.lease.Load().Record; r.Token > 0 {
			b.send(&packet{Kind: packetRecordResponse, Record: &storedRecord{Record: r}}, p.From.IP)
		}
	case packetRecordResponse:
		if p.Record != nil {
			b.vm.adoptRecord(*p.Record, p.From.Name)
		}
	case packetRecordCheck:
		b.recordReader.enqueue(b.vm, p)
	case packetRecordStatus:
		b.handleRecordStatus(p, now)
	case packetQuotaQuestion:
		b.vm.admission.handleQuestion(p, now)
	case packetQuotaVerdict:
		b.vm.admission.handleVerdict(p)
	case packetLeaderReport:
		b.mu.Lock()
		if b.leaderReports == nil {
			b.leaderReports = make(map[string]leaderReport)
		}
		b.leaderReports[p.From.Name] = leaderReport{receivedAt: now, token: p.Token, answerAge: p.Age}
		b.mu.Unlock()
	}
}

// heartbeatOf answers another VM's heartbeat, or passes it on to the holder. Its times
// are those of the two ends.
func (b *messenger) handleHeartbeat(p *packet, now time.Duration) {
	if a := b.vm.leader.handleHeartbeat(p, now); a != nil {
		ip := p.From.IP
		if p.RelayIP != "" {
			ip = p.RelayIP
		}
		b.send(a, ip)
		return
	}
	b.relayToLeader(p)
}

// passOn sends another VM's heartbeat on to the holder, unless it has come through a
// VM before.
func (b *messenger) relayToLeader(p *packet) {
	r := b.vm.lease.Load().Record
	if p.RelayIP == "" && r.Addr != "" && r.Addr != b.vm.Settings.IP {
		p.RelayIP = b.vm.Settings.IP
		if b.vm.batchesByZone() {
			b.batcher.add(b, p)
		} else {
			b.forward(p, r.Addr)
		}
	}
}

// relays sends a heartbeat through some other VMs, when the holder does not
// answer the direct one.
func (b *messenger) sendThroughRelays(r *lease.Record, p *packet) {
	list := addresses(b.otherPeers(r.Holder))
	rand.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	b.send(p, list[:min(len(list), relayCount)]...)
}

// others returns the live VMs but for this one and the holder.
func (b *messenger) otherPeers(holder string) []vmlist.Peer {
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
func (b *messenger) handleAnswer(p *packet, now time.Duration) {
	v := b.vm
	r := v.lease.Load().Record
	if p.Token < r.Token || p.Echo > now {
		return
	}
	switch {
	case p.Record != nil:
		v.adoptRecord(*p.Record, "holder")
	case p.RecordDelta != nil && v.applyRecordDelta(p.RecordDelta):
	case (r.Token != p.Token || r.Version < p.RecordVersion) && b.startTask(&b.fetchingRecord):
		go b.fetchRecord(p.From)
	}
	r = v.lease.Load().Record
	if r.Token != p.Token || r.Version != p.RecordVersion {
		return // it answers for a record that this VM does not have
	}
	if p.Lease > 0 && lease.MayAdopt(b.recordLookedUp.Load(), now-b.startedAt) {
		v.updateLease(func(l *lease.Lease) bool { return l.Adopt(r, p.Echo, p.Lease) })
	}
	b.mu.Lock()
	b.peerSample = nil
	b.lastAnswer, b.answerStamp = now, lease.Stamp{Token: p.Token, At: p.Stamp}
	b.noteLiveness(p.Liveness, now)
	if !p.WantPromise {
		b.promiseWanted = lease.Stamp{}
	} else if b.promiseWanted.Token != p.Token {
		b.promiseWanted = lease.Stamp{Token: p.Token, At: now}
	}
	fresh := p.Echo > b.grantsAdopted
	if fresh {
		b.grantsAdopted = p.Echo
	}
	b.mu.Unlock()
	switch {
	case p.View != nil:
		v.adoptView(p.View)
	case p.ViewDelta != nil:
		v.applyViewDelta(p.ViewDelta)
	}
	if fresh {
		v.admission.adoptGrants(p.Token, p.QuotaGrants, p.Echo, now)
	}
	for name, s := range p.Positions {
		v.positionRing(name).Add(sample.Sample{Since: p.Echo + s.Since, Position: pollendoor.Position{Term: s.Term, Index: s.Index}})
	}
	b.catchUpWith(p, now)
}
