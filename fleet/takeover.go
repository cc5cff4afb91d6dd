package fleet

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/pollendoor/pollendoor/clock"
	"github.com/pollendoor/pollendoor/lease"
	"github.com/pollendoor/pollendoor/vmlist"
)

// leaderReport is another VM's report on its last contact with the leader.
type leaderReport struct {
	receivedAt time.Duration // when this VM received the report
	token      uint64        // fencing token of the leader that the report is about
	answerAge  time.Duration // time between the leader's last answer to that VM and the report
	unanswered bool          // the leader has not answered that VM since it started lately
}

// reachedLeader reports whether the leader with the given token, or a later one, has
// answered the VM recently.
func (p *leaderReport) reachedLeader(token uint64) bool {
	return !p.unanswered && p.token >= token && p.answerAge < recentAnswerAge
}

const (
	// queriedMembers is the number of first members that are asked about the leader,
	// and queriedOthers that of other VMs. Such a sample is enough to find out
	// whether this VM is cut off.
	queriedMembers = 12
	queriedOthers  = 12
	// peerSampleLife is how long a VM asks the same sample of VMs.
	peerSampleLife = 10 * time.Second
	// queryAnswerTime is how long a VM has to answer before it counts as silent:
	// several round trips between regions.
	queryAnswerTime = 250 * time.Millisecond
)

// peersToQuery returns the VMs to ask about the leader. The caller holds mu.
func (m *messenger) peersToQuery(r *lease.Record, now time.Duration) []vmlist.Peer {
	if len(m.peerSample) > 0 && now-m.sampledAt < peerSampleLife {
		return m.peerSample
	}
	first := r.Members[:min(queriedMembers, len(r.Members))]
	var list, rest []vmlist.Peer
	for _, p := range m.otherPeers(r.Leader) {
		if slices.Contains(first, p.Name) {
			list = append(list, p)
		} else {
			rest = append(rest, p)
		}
	}
	rand.Shuffle(len(rest), func(i, j int) { rest[i], rest[j] = rest[j], rest[i] })
	m.peerSample, m.sampledAt, m.queriedSince = append(list, rest[:min(len(rest), queriedOthers)]...), now, 0
	return m.peerSample
}

// queryPeers asks other VMs whether the leader answers them.
func (m *messenger) queryPeers(r *lease.Record, now time.Duration) {
	m.mu.Lock()
	list := addresses(m.peersToQuery(r, now))
	if m.queriedSince == 0 {
		m.queriedSince = now
	}
	m.mu.Unlock()
	m.send(&packet{Kind: packetLeaderQuery, Token: r.Token, Stamp: now}, list...)
}

// claimEvidence returns what the decision to claim the leadership is based on.
func (m *messenger) claimEvidence(r *lease.Record, silent, now time.Duration) lease.ClaimEvidence {
	m.mu.Lock()
	defer m.mu.Unlock()
	evidence := lease.ClaimEvidence{
		Self: m.vm.Settings.VM, Power: m.vm.Settings.CPU, Record: *r, Silent: silent, NoClaim: m.noClaimUntil,
		Unresponsive: make(map[string]bool),
	}
	evidence.StoreReachable, evidence.StoreReachableFor = m.lastReadOK && now-m.lastRead < leaderReportLife, now-m.readsOKSince
	evidence.StoreSignAge = now - m.livenessSeen
	evidence.Age, evidence.Unanswered = now-m.startedAt, m.unanswered(now)
	evidence.Restarted = m.countRestarted(now)
	if m.storeRegained > 0 {
		evidence.StoreBackFor = now - m.storeRegained
	}
	if w := m.promiseWanted.Echo(r.Token); w > 0 {
		evidence.LeaderStoreOutage = now - w
	}
	for _, p := range m.peersToQuery(r, now) {
		evidence.Others++
		report, ok := m.leaderReports[p.Name]
		if !ok || now-report.receivedAt > leaderReportLife {
			evidence.Unresponsive[p.Name] = m.queriedSince > 0 && now-m.queriedSince > queryAnswerTime
			continue
		}
		evidence.Answered++
		if report.reachedLeader(r.Token) {
			evidence.ReachedLeader++
		}
	}
	if evidence.Unanswered > 0 { // only the seeds were asked
		for _, report := range m.leaderReports {
			if now-report.receivedAt <= leaderReportLife && report.reachedLeader(r.Token) {
				evidence.ReachedLeader++
			}
		}
	}
	return evidence
}

// renewFromStore asks the store whether the record is still current. That is as good
// as a lease from the leader.
func (m *messenger) renewFromStore(ctx context.Context) {
	m.mu.Lock()
	running := m.readingStore || clock.Now()-m.lastRead < storeReadPause
	m.readingStore = m.readingStore || !running
	m.mu.Unlock()
	if running {
		return
	}
	go func() {
		v := m.vm
		sent := clock.Now()
		m.mu.Lock()
		m.lastRead, m.lastReadOK, m.readAllowance = sent, false, 0
		m.mu.Unlock()
		o, err := v.Platform.Store.Get(ctx, recordName)
		m.mu.Lock()
		m.readingStore = false
		m.noteStoreRead(sent, err == nil)
		m.mu.Unlock()
		if err != nil {
			m.wake() // the leader may be waiting for a promise
			v.stats.StoreErrors.Add(1)
			v.Log.Debug().Err(err).Msg("lease not renewed from the store")
			return
		}
		r, err := decodeRecord(o)
		if err != nil {
			v.Log.Error().Err(err).Msg("record ignored")
			return
		}
		m.mu.Lock()
		m.noteLiveness(r.Liveness, clock.Now())
		m.mu.Unlock()
		v.adoptRecord(r, "own read")
		if isCurrent(o.Version, &r.Record) {
			m.adoptLeaseFromRead(&r.Record, sent)
		}
	}()
}

// noteNewLeader notes that another VM has become the leader. Its silence is measured
// from now on.
func (m *messenger) noteNewLeader(now time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.lastAnswer, m.pausedBefore, m.leaderChanged, m.peerSample = now, m.pauses.Total(now), now, nil
}

// noteLeaderContact notes that the leader has been reached.
func (m *messenger) noteLeaderContact(now time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.lastAnswer, m.pausedBefore, m.peerSample = now, m.pauses.Total(now), nil
}

// leaderSilent reports whether the leader has not answered for leaderSilentAfter.
func (m *messenger) leaderSilent() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.silence(clock.Now()) > leaderSilentAfter
}

// silence returns how long the leader has not answered, without the time in which this
// process paused: it may have answered then, or had nothing to answer. A VM that counts
// its own pauses claims the leadership from a leader that serves all others. The caller
// holds mu.
func (m *messenger) silence(now time.Duration) time.Duration {
	return now - max(m.lastAnswer, m.startedAt) - (m.pauses.Total(now) - m.pausedBefore)
}

// tick notes that this process runs. It is called every leaderPeriod.
func (m *messenger) tick(now time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if d := m.pauses.Tick(now); d > 0 {
		m.vm.stats.Pauses.Add(1)
		m.vm.stats.PausedMS.Add(d.Milliseconds())
	}
}
