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
	receivedAt time.Duration
	token      uint64
	answerAge  time.Duration
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
func (b *messenger) peersToQuery(r *lease.Record, now time.Duration) []vmlist.Peer {
	if len(b.peerSample) > 0 && now-b.sampledAt < peerSampleLife {
		return b.peerSample
	}
	first := r.Members[:min(queriedMembers, len(r.Members))]
	var list, rest []vmlist.Peer
	for _, p := range b.otherPeers(r.Holder) {
		if slices.Contains(first, p.Name) {
			list = append(list, p)
		} else {
			rest = append(rest, p)
		}
	}
	rand.Shuffle(len(rest), func(i, j int) { rest[i], rest[j] = rest[j], rest[i] })
	b.peerSample, b.sampledAt, b.queriedSince = append(list, rest[:min(len(rest), queriedOthers)]...), now, 0
	return b.peerSample
}

// queryPeers asks other VMs whether the leader answers them.
func (b *messenger) queryPeers(r *lease.Record, now time.Duration) {
	b.mu.Lock()
	list := addresses(b.peersToQuery(r, now))
	if b.queriedSince == 0 {
		b.queriedSince = now
	}
	b.mu.Unlock()
	b.send(&packet{Kind: packetLeaderQuery, Token: r.Token, Stamp: now}, list...)
}

// claimEvidence returns what the decision to claim the leadership is based on.
func (b *messenger) claimEvidence(r *lease.Record, silent, now time.Duration) lease.Sight {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := lease.Sight{
		Self: b.vm.Settings.VM, Power: b.vm.Settings.CPU, Record: *r, Silent: silent, NoClaim: b.noClaimUntil,
		Mute: make(map[string]bool),
	}
	s.Store, s.StoreFor = b.lastReadOK && now-b.lastRead < leaderReportLife, now-b.readsOKSince
	s.Sign = now - b.livenessSeen
	if b.storeRegained > 0 {
		s.Back = now - b.storeRegained
	}
	if w := b.promiseWanted.Echo(r.Token); w > 0 {
		s.Without = now - w
	}
	for _, p := range b.peersToQuery(r, now) {
		s.Others++
		t, ok := b.leaderReports[p.Name]
		if !ok || now-t.receivedAt > leaderReportLife {
			s.Mute[p.Name] = b.queriedSince > 0 && now-b.queriedSince > queryAnswerTime
			continue
		}
		s.Answered++
		if t.token >= r.Token && t.answerAge < recentAnswerAge {
			s.HeardByAt++
		}
	}
	return s
}

// renewFromStore asks the store whether the record is still current. That is as good
// as a lease from the leader.
func (b *messenger) renewFromStore(ctx context.Context) {
	b.mu.Lock()
	running := b.readingStore || clock.Now()-b.lastRead < storeReadPause
	b.readingStore = b.readingStore || !running
	b.mu.Unlock()
	if running {
		return
	}
	go func() {
		v := b.vm
		sent := clock.Now()
		b.mu.Lock()
		b.lastRead, b.lastReadOK, b.readAllowance = sent, false, 0
		b.mu.Unlock()
		o, err := v.Platform.Store.Get(ctx, recordName)
		b.mu.Lock()
		b.readingStore = false
		b.noteStoreRead(sent, err == nil)
		b.mu.Unlock()
		if err != nil {
			v.stats.StoreErrors.Add(1)
			v.Log.Debug().Err(err).Msg("lease not renewed from the store")
			return
		}
		r, err := decodeRecord(o)
		if err != nil {
			v.Log.Error().Err(err).Msg("record ignored")
			return
		}
		b.mu.Lock()
		b.noteLiveness(r.Liveness, clock.Now())
		b.mu.Unlock()
		v.adoptRecord(r, "own read")
		b.adoptLeaseFromRead(&r.Record, sent)
	}()
}

// noteNewLeader notes that another VM leads. The time of its silence starts now.
func (b *messenger) noteNewLeader(now time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.lastAnswer, b.leaderChanged, b.peerSample = now, now, nil
}

// noteLeaderContact notes that the leader has been reached.
func (b *messenger) noteLeaderContact(now time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.lastAnswer, b.peerSample = now, nil
}

// leaderSilent reports whether the leader has not answered for leaderSilentAfter.
func (b *messenger) leaderSilent() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return clock.Now()-max(b.lastAnswer, b.startedAt) > leaderSilentAfter
}
