package fleet

import (
	"cmp"
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
	// heartbeatPeriod is the time between heartbeats of a VM: several fit into a
	// lease, and their samples stay fresh enough for the allowed staleness of reads.
	heartbeatPeriod = 400 * time.Millisecond
	// startupHeartbeatPeriod is the corresponding time after a start or a change of
	// the leader.
	startupHeartbeatPeriod = 120 * time.Millisecond
	// startupFleetSize is the number of VMs up to which startupHeartbeatPeriod is
	// used. In a larger fleet the period is longer in proportion.
	startupFleetSize = 16
	// leaderSilentAfter is how long the leader is silent before a VM asks the store
	// whether its record is still current.
	leaderSilentAfter = 900 * time.Millisecond
	// relayAfter is how long the leader is silent before heartbeats are also sent
	// through other VMs, and relayCount is the number of these VMs.
	relayAfter = 600 * time.Millisecond
	relayCount = 3
	// storeSeriesTime is the maximum age of a series of successful reads of the
	// store; after that a new series begins.
	storeSeriesTime = 10 * time.Second
	// storeReadTimeout is how long a read of the store may go unanswered before this
	// VM considers the store unreachable.
	storeReadTimeout = 250 * time.Millisecond
	// promiseDelay is how long after a read of the store has timed out the promise is
	// sent.
	promiseDelay = 10 * time.Millisecond
	// storeReadPause is the minimum time between two reads of the record.
	storeReadPause = 700 * time.Millisecond
	// viewPeriod is the minimum time between two changes of the list of live VMs.
	viewPeriod = 100 * time.Millisecond
	// recentAnswerAge is the maximum age of another VM's contact with the leader
	// that counts as evidence against a claim of the leadership.
	recentAnswerAge = 900 * time.Millisecond
	// leaderReportLife is the maximum age of other VMs' reports on the leader.
	leaderReportLife = time.Second
	// configWatchDelay is how long the watch may take to return a configuration that
	// another VM already has.
	configWatchDelay = 500 * time.Millisecond
	// targetsWatchDelay is the corresponding time for the target entries.
	targetsWatchDelay = 700 * time.Millisecond
	// maxPacketBytes is the size of the receive buffer in bytes.
	maxPacketBytes = 64 << 10
)

// messenger exchanges datagrams with other VMs.
type messenger struct {
	vm             *VM
	conn           *net.UDPConn
	recordLookedUp atomic.Bool   // whether the record has been looked up in the store
	wakeup         chan struct{} // triggers a heartbeat now

	mu                 sync.Mutex
	lastAnswer         time.Duration // arrival of the leader's last answer
	startedAt          time.Duration
	pauses             clock.Pauses             // of this process
	pausedBefore       time.Duration            // sum of the pauses at lastAnswer
	leaderChanged      time.Duration            // when the leader last changed
	firstHeartbeat     time.Duration            // when this process first sent a heartbeat to a leader
	answerStamp        lease.Stamp              // leader's stamp in its last answer
	noClaimUntil       time.Duration            // until when this VM has promised not to claim the leadership
	holdUntil          time.Duration            // until when this VM has promised to confirm no other leader's record
	failedRead         time.Duration            // start of the last read of the record that failed
	leaderReports      map[string]leaderReport  // last report of each VM on the leader, by VM name
	sentPositions      map[string]sample.Sample // newest position sent to the leader, by group
	provedAt           time.Duration            // when the leader last proved its leadership, as far as this VM knows
	grantsApplied      time.Duration            // send time of the last heartbeat whose quota grants were applied
	unlistedSince      time.Duration            // since when the view lacks this VM, zero if the view contains it
	promiseWanted      lease.Stamp              // since when the leader asks for promises, by this VM's clock; zero if it does not
	lastRead           time.Duration            // start of this VM's last read of the record, its own or through a coordinator
	lastReadOK         bool                     // whether the read that began at lastRead succeeded
	storeRegained      time.Duration            // start of the first successful read after the last failed one, zero if none has failed
	lastReadFailed     bool                     // whether the last completed read failed
	readsOKSince       time.Duration            // start of the current series of successful reads, zero after a failed one
	leaderLiveness     uint64                   // the leader's last liveness counter that this VM has received
	livenessSeen       time.Duration            // when leaderLiveness was received first
	targetsDifferSince time.Duration            // since when another VM has other targets, zero if none has
	readingStore       bool                     // whether renewFromStore is reading the record
	readAllowance      time.Duration            // additional time for the read at lastRead if a coordinator makes it
	coordinatorAnswer  time.Duration            // arrival of the last answer of a coordinator
	coordinatorTurn    int                      // number of the last query to the coordinators
	directUntil        time.Duration            // until when heartbeats bypass the coordinator
	peerSample         []vmlist.Peer            // VMs that are asked about the leader
	sampledAt          time.Duration            // when peerSample was drawn
	queriedSince       time.Duration            // when the VMs of peerSample were first asked, zero if not yet
	fetchingConfig     bool                     // whether a configuration is being fetched from another VM
	fetchingRecord     bool                     // whether the record is being fetched from another VM
	fetchingTargets    bool                     // whether targets are being fetched from another VM

	restarted map[string]restartReport // last report of each VM that has restarted, by VM name

	recordReader recordReader
	batcher      batcher
}

// listen opens the socket for datagrams.
func (m *messenger) listen() error {
	m.wakeup = make(chan struct{}, 1)
	m.startedAt = clock.Now()
	m.grantsApplied = m.startedAt // answers to an earlier process are not for this one
	m.pauses.Period = leaderPeriod
	a, err := netip.ParseAddrPort(m.vm.peerAddr(m.vm.Settings.IP))
	if err != nil {
		return errors.Wrap(err, "heartbeat address")
	}
	m.conn, err = net.ListenUDP("udp4", net.UDPAddrFromAddrPort(a))
	return errors.Wrap(err, "heartbeat socket")
}

// close closes the socket, which ends receive.
func (m *messenger) close() { m.conn.Close() }

// noteLiveness records the leader's liveness counter. The caller holds mu.
func (m *messenger) noteLiveness(n uint64, now time.Duration) {
	if n != m.leaderLiveness || m.livenessSeen == 0 {
		m.leaderLiveness, m.livenessSeen = n, now
	}
}

// released reports whether the leader has removed this VM from the view, and has
// answered a later heartbeat, in which this VM's quota shares were released.
func (m *messenger) released() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.unlistedSince > 0 && m.grantsApplied > m.unlistedSince
}

// noteListed records whether the view contains this VM.
func (m *messenger) noteListed(listed bool, now time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if listed {
		m.unlistedSince = 0
	} else if m.unlistedSince == 0 {
		m.unlistedSince = now
	}
}

// wake triggers a heartbeat now.
func (m *messenger) wake() {
	select {
	case m.wakeup <- struct{}{}:
	default:
	}
}

// send sends a packet of this VM to others.
func (m *messenger) send(p *packet, addrs ...string) {
	p.From = m.vm.selfPeer()
	switch p.Kind {
	case packetHeartbeat, packetAnswer, packetUpdate, packetRecordChanged, packetLeaderQuery, packetLeaderReport, packetRecordRequest, packetRecordResponse:
		p.Evacuations = m.vm.knownEvacuations()
	}
	m.forward(p, addrs...)
}

// forward sends a packet unchanged. It is encoded once for all addresses, and
// compressed if it is large.
func (m *messenger) forward(p *packet, addrs ...string) {
	raw, err := cbor.Marshal(p)
	if err == nil && len(raw) > compressAbove && p.Kind != packetBatch {
		m.sendBatch([]packet{*p}, addrs...)
		return
	}
	if err != nil {
		m.vm.Log.Error().Err(err).Msg("packet not encoded")
		return
	}
	for _, ip := range addrs {
		a, err := netip.ParseAddr(ip)
		if err != nil {
			m.vm.Log.Warn().Err(err).Str("ip", ip).Msg("address of another VM is invalid")
			continue
		}
		to := netip.AddrPortFrom(a, uint16(m.vm.Settings.PeerPort))
		if _, err := m.conn.WriteToUDPAddrPort(raw, to); err != nil && !errors.Is(err, net.ErrClosed) {
			m.vm.Log.Debug().Err(err).Str("ip", ip).Msg("packet not sent")
		}
		m.vm.stats.traffic.countSent(trafficKind(p.Kind), ip, len(raw))
	}
}

// run sends heartbeats until ctx ends.
func (m *messenger) run(ctx context.Context) {
	for ctx.Err() == nil {
		d := m.period(clock.Now())
		t := time.NewTimer(d - d/8 + rand.N(d/4))
		woken := false
		select {
		case <-ctx.Done():
		case <-t.C:
		case <-m.wakeup:
			woken = true
		}
		t.Stop()
		m.sendHeartbeat(ctx, woken)
	}
}

// period returns the time to the next heartbeat. It is shorter after a start or a
// change of the leader, so that quota shares reach their keepers soon.
func (m *messenger) period(now time.Duration) time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	if now < m.leaderChanged+settleTime*2 {
		// In a large fleet the leader has more heartbeats to answer.
		n := time.Duration(len(m.vm.view.Load().Peers))
		return min(heartbeatPeriod, max(startupHeartbeatPeriod, startupHeartbeatPeriod*n/startupFleetSize))
	}
	return heartbeatPeriod
}

// sendHeartbeat sends one heartbeat. If the leader has not answered for some time, it
// also asks other VMs and the store, and may claim the leadership. On the leader
// itself it renews the VM's own lease and shares.
func (m *messenger) sendHeartbeat(ctx context.Context, urgent bool) {
	v := m.vm
	r := v.lease.Load().Record
	now := clock.Now()
	if v.leader.isLeader() {
		v.leader.renewSelf(now)
		return
	}
	m.mu.Lock()
	silent := m.silence(now)
	wanted := m.promiseWanted.Echo(r.Token) > 0
	m.mu.Unlock()
	if r.Leader != "" && r.Leader != v.Settings.VM {
		m.mu.Lock()
		m.firstHeartbeat = cmp.Or(m.firstHeartbeat, now)
		m.mu.Unlock()
		p := m.buildHeartbeat(&r, now)
		p.Urgent = urgent
		m.send(p, m.heartbeatAddr(&r, silent, now))
		if silent > relayAfter {
			m.sendThroughRelays(&r, p)
		}
	}
	unanswered := m.queryRestarted(&r, now)
	if silent < leaderSilentAfter && !wanted && !unanswered && r.Leader != "" && r.Leader != v.Settings.VM || !m.recordLookedUp.Load() {
		return
	}
	if silent >= leaderSilentAfter {
		m.queryPeers(&r, now)
	}
	if r.IsMember(v.Settings.VM) && r.Leader != v.Settings.VM && (silent >= leaderSilentAfter || wanted) {
		if v.readsStore() {
			m.renewFromStore(ctx)
		} else {
			m.queryCoordinator(&r)
		}
	}
	evidence := m.claimEvidence(&r, silent, now)
	if !lease.MayClaim(evidence, now) || !v.leader.mayClaim(&r) {
		return
	}
	if r.Leader != v.Settings.VM && evidence.FleetRestarted() {
		v.stats.RestartClaims.Add(1)
		v.Log.Info().Str("before", r.Leader).Int("restarted", evidence.Restarted).Dur("unanswered", evidence.Unanswered).
			Msg("leader lost in a restart of the fleet")
	}
	v.leader.claim(ctx, r.Token)
}

// buildHeartbeat builds a heartbeat.
func (m *messenger) buildHeartbeat(r *lease.Record, now time.Duration) *packet {
	v := m.vm
	p := &packet{
		Kind: packetHeartbeat, Token: r.Token, Stamp: now, RecordVersion: r.Version, ProcessID: v.processID, CPUShare: v.Settings.CPU,
		Reports: make(map[string]lease.Report), Positions: make(map[string]position),
		HeldShares: v.admission.heldShares(r.Token, now), Idle: v.admission.idleTime(now), ViewVersion: v.view.Load().Version, WantedGroups: v.wantedGroups(now),
	}
	if c := v.config.Load(); c != nil {
		p.ConfigVersion = c.Version
	}
	own := m.bounds()
	m.mu.Lock()
	defer m.mu.Unlock()
	p.Echo = m.answerStamp.Echo(r.Token)
	p.PromiseLeft, p.GrantedLeft = max(0, own.Promised-now), max(0, own.Granted-now)
	readFailed := m.failedRead == m.lastRead || now-m.lastRead > storeReadTimeout+m.readAllowance
	if w := m.promiseWanted.Echo(r.Token); w > 0 && m.lastRead > w && !m.lastReadOK && readFailed && p.Echo > 0 && now-m.lastAnswer < leaderSilentAfter {
		// Neither the leader nor this VM reaches the store.
		p.Promise, p.Hold = lease.PromiseTime, lease.HoldTime
		m.noClaimUntil = max(m.noClaimUntil, now+lease.PromiseTime)
		m.holdUntil = max(m.holdUntil, now+lease.HoldTime)
	}
	for name, g := range r.Groups {
		report, s, ok := v.primaryHealth(name).report(g.Epoch, now)
		if !ok {
			continue
		}
		p.Reports[name] = report
		if p.Echo > 0 && s.Since > m.sentPositions[name].Since {
			p.Positions[name] = position{Since: s.Since - m.lastAnswer, Term: s.Position.Term, Index: s.Position.Index}
			if m.sentPositions == nil {
				m.sentPositions = make(map[string]sample.Sample)
			}
			m.sentPositions[name] = s
		}
	}
	return p
}

// bounds returns the times until which promises and leases of this VM, or of an earlier
// process of it, may have to be respected.
func (m *messenger) bounds() lease.Bounds {
	granted := m.vm.leader.longLeaseUntil()
	m.mu.Lock()
	defer m.mu.Unlock()
	earlier := m.startedAt + lease.HoldTime
	return lease.Bounds{Promised: max(m.holdUntil, earlier), Granted: max(granted, earlier)}
}

// receive handles datagrams until the socket is closed.
func (m *messenger) receive() {
	buf := make([]byte, maxPacketBytes)
	for {
		n, _, err := m.conn.ReadFromUDPAddrPort(buf)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue // an unreachable peer's error is reported on the socket
		}
		var p packet
		if err := cbor.Unmarshal(buf[:n], &p); err != nil {
			m.vm.Log.Warn().Err(err).Int("bytes", n).Msg("packet ignored")
			continue
		}
		if p.Kind >= packetKindCount {
			m.vm.Log.Warn().Uint8("kind", uint8(p.Kind)).Msg("packet of an unknown kind ignored")
			continue
		}
		m.handle(&p, clock.Now())
	}
}

// handle dispatches a packet by its kind.
func (m *messenger) handle(p *packet, now time.Duration) {
	defer logs.RecoverPanic(&m.vm.Log, "packet")
	if p.RelayIP == "" {
		m.vm.admission.noteHeard(p.From.Name, now)
	}
	m.vm.adoptEvacuations(p.Evacuations, p.From.Name)
	switch p.Kind {
	case packetHeartbeat:
		m.handleHeartbeat(p, now)
	case packetAnswer:
		if p.RelayIP != "" && p.AnswerIP != m.vm.Settings.IP {
			m.forward(p, p.AnswerIP)
			return
		}
		m.handleAnswer(p, now)
	case packetRecordChanged:
		if p.RecordDelta != nil {
			m.vm.applyRecordDelta(p.RecordDelta) // otherwise the answer to the heartbeat contains the record
		}
		m.wake()
	case packetLeaderQuery:
		m.mu.Lock()
		age := now - m.lastAnswer
		m.mu.Unlock()
		if m.vm.leader.isLeader() {
			age = 0
		}
		m.noteRestarted(p, now)
		answer := &packet{Kind: packetLeaderReport, Token: m.vm.lease.Load().Record.Token, Echo: p.Stamp, Age: age}
		m.setRestarted(answer, now)
		m.send(answer, p.From.IP)
	case packetUpdate:
		m.catchUpWith(p, now)
	case packetBatch:
		m.handleBatch(p, now)
	case packetRecordRequest:
		if r := m.vm.lease.Load().Record; r.Token > 0 {
			m.send(&packet{Kind: packetRecordResponse, Record: &storedRecord{Record: r}}, p.From.IP)
		}
	case packetRecordResponse:
		if p.Record != nil {
			m.vm.adoptRecord(*p.Record, p.From.Name)
		}
	case packetRecordCheck:
		m.recordReader.enqueue(m.vm, p)
	case packetRecordStatus:
		m.handleRecordStatus(p, now)
	case packetTokenRequest:
		m.vm.admission.handleTokenRequest(p, now)
	case packetTokenDecision:
		m.vm.admission.handleTokenDecision(p)
	case packetLeaderReport:
		m.mu.Lock()
		if m.leaderReports == nil {
			m.leaderReports = make(map[string]leaderReport)
		}
		m.leaderReports[p.From.Name] = leaderReport{receivedAt: now, token: p.Token, answerAge: p.Age, unanswered: p.Unanswered}
		m.mu.Unlock()
		m.noteRestarted(p, now)
		if p.Token > m.vm.lease.Load().Record.Token && m.startTask(&m.fetchingRecord) {
			go m.fetchRecord(p.From) // that VM knows a newer leader
		}
	}
}

// handleHeartbeat answers another VM's heartbeat, or passes it on to the leader. The
// times in it are those of its sender and of the leader, also when it is relayed.
func (m *messenger) handleHeartbeat(p *packet, now time.Duration) {
	if a := m.vm.leader.handleHeartbeat(p, now); a != nil {
		ip := p.From.IP
		if p.RelayIP != "" {
			ip = p.RelayIP
		}
		m.send(a, ip)
		return
	}
	m.relayToLeader(p)
}

// relayToLeader sends another VM's heartbeat on to the leader, unless it has been
// relayed before.
func (m *messenger) relayToLeader(p *packet) {
	r := m.vm.lease.Load().Record
	if p.RelayIP == "" && r.Addr != "" && r.Addr != m.vm.Settings.IP {
		p.RelayIP = m.vm.Settings.IP
		if m.vm.batchesByZone() {
			m.batcher.add(m, p)
		} else {
			m.forward(p, r.Addr)
		}
	}
}

// sendThroughRelays sends a heartbeat through some other VMs, when the leader does
// not answer the direct one.
func (m *messenger) sendThroughRelays(r *lease.Record, p *packet) {
	list := addresses(m.otherPeers(r.Leader))
	rand.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	m.send(p, list[:min(len(list), relayCount)]...)
}

// otherPeers returns the live VMs except this one and the leader.
func (m *messenger) otherPeers(leaderName string) []vmlist.Peer {
	return slices.DeleteFunc(slices.Clone(m.vm.view.Load().Peers), func(p vmlist.Peer) bool {
		return p.Name == m.vm.Settings.VM || p.Name == leaderName
	})
}

// addresses returns the IPs of the listed VMs.
func addresses(list []vmlist.Peer) []string {
	out := make([]string, 0, len(list))
	for _, p := range list {
		out = append(out, p.IP)
	}
	return out
}

// handleAnswer handles the leader's answer to the heartbeat that was sent at p.Echo.
func (m *messenger) handleAnswer(p *packet, now time.Duration) {
	v := m.vm
	r := v.lease.Load().Record
	if p.Token < r.Token || p.Echo > now {
		return
	}
	switch {
	case p.Record != nil:
		v.adoptRecord(*p.Record, "holder")
	case p.RecordDelta != nil && v.applyRecordDelta(p.RecordDelta):
	case (r.Token != p.Token || r.Version < p.RecordVersion) && m.startTask(&m.fetchingRecord):
		go m.fetchRecord(p.From)
	}
	r = v.lease.Load().Record
	if r.Token != p.Token || r.Version != p.RecordVersion {
		return // the answer refers to a record that this VM does not have
	}
	if p.Lease > 0 && lease.MayAdopt(m.recordLookedUp.Load(), p.Echo-m.startedAt, p.ProofAge) {
		v.updateLease(func(l *lease.Lease) bool { return l.Adopt(r, p.Echo, p.Lease) })
	}
	m.mu.Lock()
	m.peerSample = nil
	m.lastAnswer, m.pausedBefore = now, m.pauses.Total(now)
	m.answerStamp = lease.Stamp{Token: p.Token, At: p.Stamp}
	m.noteLiveness(p.Liveness, now)
	m.provedAt = p.Echo - p.ProofAge
	if !p.WantPromise {
		m.promiseWanted = lease.Stamp{}
	} else if m.promiseWanted.Token != p.Token {
		m.promiseWanted = lease.Stamp{Token: p.Token, At: now}
		// Read the store now, and report soon that it does not answer.
		m.wake()
		time.AfterFunc(storeReadTimeout+promiseDelay, m.wake)
	}
	fresh := p.Echo > m.grantsApplied
	if fresh {
		m.grantsApplied = p.Echo
	}
	m.mu.Unlock()
	switch {
	case p.View != nil:
		v.adoptView(p.View)
	case p.ViewDelta != nil:
		v.applyViewDelta(p.ViewDelta)
	}
	if fresh {
		v.admission.applyGrants(p.Token, p.QuotaGrants, p.Lease, p.Echo, now)
	}
	for name, s := range p.Positions {
		v.positionRing(name).Add(sample.Sample{Since: p.Echo + s.Since, Position: pollendoor.Position{Term: s.Term, Index: s.Index}})
	}
	m.catchUpWith(p, now)
}
