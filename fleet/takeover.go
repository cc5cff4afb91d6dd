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

// tell is another VM's word on the holder.
type tell struct {
	at    time.Duration
	token uint64
	age   time.Duration
}

const (
	// askedMembers is the number of first members that are asked for the holder, and
	// askedOthers that of other VMs: a sample tells whether this VM is cut off.
	askedMembers = 12
	askedOthers  = 12
	// sampleLife is how long a VM asks the same ones.
	sampleLife = 10 * time.Second
	// muteAfter is how long a VM has to answer before it counts as silent: several
	// round trips between regions.
	muteAfter = 250 * time.Millisecond
)

// asked returns the VMs to ask for the holder. The caller holds mu.
func (b *beat) asked(r *lease.Record, now time.Duration) []vmlist.Peer {
	if len(b.sample) > 0 && now-b.sampled < sampleLife {
		return b.sample
	}
	first := r.Members[:min(askedMembers, len(r.Members))]
	var list, rest []vmlist.Peer
	for _, p := range b.others(r.Holder) {
		if slices.Contains(first, p.Name) {
			list = append(list, p)
		} else {
			rest = append(rest, p)
		}
	}
	rand.Shuffle(len(rest), func(i, j int) { rest[i], rest[j] = rest[j], rest[i] })
	b.sample, b.sampled, b.asking = append(list, rest[:min(len(rest), askedOthers)]...), now, 0
	return b.sample
}

// ask asks other VMs whether they hear the holder.
func (b *beat) ask(r *lease.Record, now time.Duration) {
	b.mu.Lock()
	list := addresses(b.asked(r, now))
	if b.asking == 0 {
		b.asking = now
	}
	b.mu.Unlock()
	b.write(&packet{Kind: packetAsk, Token: r.Token, Stamp: now}, list...)
}

// sight is what the decision on a takeover needs.
func (b *beat) sight(r *lease.Record, silent, now time.Duration) lease.ClaimEvidence {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := lease.ClaimEvidence{
		Self: b.vm.Settings.VM, Power: b.vm.Settings.CPU, Record: *r, Silent: silent, NoClaim: b.noClaim,
		Unresponsive: make(map[string]bool),
	}
	s.StoreReachable, s.StoreReachableFor = b.storeOK && now-b.storeRead < tellAge, now-b.storeFrom
	s.StoreSignAge = now - b.signAt
	if b.storeBack > 0 {
		s.StoreBackFor = now - b.storeBack
	}
	if w := b.wanted.Echo(r.Token); w > 0 {
		s.LeaderStoreOutage = now - w
	}
	for _, p := range b.asked(r, now) {
		s.Others++
		t, ok := b.told[p.Name]
		if !ok || now-t.at > tellAge {
			s.Unresponsive[p.Name] = b.asking > 0 && now-b.asking > muteAfter
			continue
		}
		s.Answered++
		if t.token >= r.Token && t.age < heardLately {
			s.HeardLeader++
		}
	}
	return s
}

// renew asks the store whether the record still stands, which is as good as a
// lease from the holder.
func (b *beat) renew(ctx context.Context) {
	b.mu.Lock()
	busy := b.renewing || clock.Now()-b.storeRead < renewPause
	b.renewing = b.renewing || !busy
	b.mu.Unlock()
	if busy {
		return
	}
	go func() {
		v := b.vm
		sent := clock.Now()
		b.mu.Lock()
		b.storeRead, b.storeOK, b.readWait = sent, false, 0
		b.mu.Unlock()
		o, err := v.Platform.Store.Get(ctx, recordName)
		b.mu.Lock()
		b.renewing = false
		b.read(sent, err == nil)
		b.mu.Unlock()
		if err != nil {
			v.stats.StoreErrors.Add(1)
			v.Log.Debug().Err(err).Msg("lease not renewed at the store")
			return
		}
		r, err := decodeRecord(o)
		if err != nil {
			v.Log.Error().Err(err).Msg("record ignored")
			return
		}
		b.mu.Lock()
		b.signed(r.Sign, clock.Now())
		b.mu.Unlock()
		v.learn(r, "own read")
		b.adoptRead(&r.Record, sent)
	}()
}

// newHolder notes that another VM holds the duty. Its silence counts from now.
func (b *beat) newHolder(now time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.answered, b.changed, b.sample = now, now, nil
}

// contact notes that the holder is there.
func (b *beat) contact(now time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.answered, b.sample = now, nil
}

// silent reports whether the holder has not answered for a while.
func (b *beat) silent() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return clock.Now()-max(b.answered, b.started) > selfLeaseAfter
}
