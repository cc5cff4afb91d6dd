package fleet

import (
	"cmp"
	"encoding/binary"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/pollendoor/pollendoor"
	"github.com/pollendoor/pollendoor/clock"
	"github.com/pollendoor/pollendoor/quota"
	"github.com/pollendoor/pollendoor/vmlist"
)

const (
	// zoneTimeout is how long a VM waits for its zone's keeper of a team's rate:
	// many times the round trip within a zone. Datagrams may be lost, so it asks
	// twice.
	zoneTimeout = 25 * time.Millisecond
	// reserveTimeout is the same for the keeper of the reserve, which may be in
	// another region.
	reserveTimeout = 90 * time.Millisecond
	keeperTries    = 2
	// keeperAvoid is how long a keeper that did not answer is passed over.
	keeperAvoid = 500 * time.Millisecond
	// keepersKnown is the number of a zone's VMs that may come to keep a team's rate
	// when others do not answer.
	keepersKnown = 3
	// sharePoll is how often an operation looks whether the share has come: about
	// a round trip between regions, which heartbeats take.
	sharePoll = 30 * time.Millisecond
)

// rates admits operations of teams. Each team has one keeper in each zone, which
// holds the zone's share of the team's rate, and two in the fleet, which hold
// reserves: a share for each VM would be less than an operation a second in a large
// fleet.
type rates struct {
	vm *VM
	// buckets are the shares that this VM keeps, by source.
	buckets [quota.NumSources]quota.Buckets

	mu      sync.Mutex
	next    uint64
	pending map[uint64]chan packet
	avoid   map[string]time.Duration // keepers that did not answer, until when
	seats   map[string]keepers       // by team, for the view in seated
	seated  *vmlist.View
	keepers *string       // first of the record's keepers then
	peers   []vmlist.Peer // that keep rates
	hashes  []uint64      // of their names
}

// keepers are the VMs that keep a team's rate, as one VM sees it.
type keepers struct {
	zone     []vmlist.Peer // of this VM's zone, the first one that answers
	reserves []vmlist.Peer // the reserve's, and the spare one's
}

// of returns a team's keepers. They are worked out once for each view of the VMs and
// each list of those that keep rates. The caller holds mu.
func (r *rates) of(team string) keepers {
	v := r.vm
	record := &v.lease.Load().Record
	var first *string
	if len(record.Keepers) > 0 {
		first = &record.Keepers[0]
	}
	if w := v.view.Load(); w != r.seated || first != r.keepers {
		r.seated, r.keepers, r.seats = w, first, make(map[string]keepers)
		r.peers, r.hashes = nil, nil
		for _, p := range w.Peers {
			if record.Keeps(p.Name) {
				r.peers, r.hashes = append(r.peers, p), append(r.hashes, xxhash.Sum64String(p.Name))
			}
		}
	}
	k, ok := r.seats[team]
	if !ok {
		k = seat(r.peers, r.hashes, v.Settings.Zone, team)
		r.seats[team] = k
	}
	return k
}

// seat chooses a team's keepers by rendezvous hashing. Hashes are those of the peers'
// names. Reserves are kept by VMs that are not the first in their zone: no VM should
// hold much of an allowance.
func seat(peers []vmlist.Peer, hashes []uint64, zone, team string) keepers {
	var pair [16]byte
	binary.LittleEndian.PutUint64(pair[8:], xxhash.Sum64String(team))
	list := make([]ranked, 0, len(peers))
	for i, p := range peers {
		binary.LittleEndian.PutUint64(pair[:], hashes[i])
		list = append(list, ranked{p, xxhash.Sum64(pair[:])})
	}
	slices.SortFunc(list, func(a, b ranked) int { return cmp.Compare(b.score, a.score) })
	var k keepers
	var rest, firsts []vmlist.Peer
	seen := make(map[string]bool)
	for _, r := range list {
		if r.Zone == zone && len(k.zone) < keepersKnown {
			k.zone = append(k.zone, r.Peer)
		}
		if seen[r.Zone] {
			rest = append(rest, r.Peer)
		} else {
			firsts = append(firsts, r.Peer)
		}
		seen[r.Zone] = true
	}
	slices.Reverse(firsts)
	slices.Reverse(rest)
	rest = append(rest, firsts...)
	k.reserves = rest[:min(len(rest), int(quota.NumSources-1))]
	return k
}

// ranked is a VM with its place in the order of one team.
type ranked struct {
	vmlist.Peer
	score uint64
}

// keeperOf returns the VM to ask for a team's operation, of those that are not
// passed over. It reports false if there is none.
func (r *rates) keeperOf(team string, s quota.Source, now time.Duration) (vmlist.Peer, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	k := r.of(team)
	if s != quota.ZoneShare {
		if i := int(s - quota.FirstReserve); i < len(k.reserves) {
			return k.reserves[i], now >= r.avoid[k.reserves[i].Name]
		}
		return vmlist.Peer{}, false
	}
	for _, p := range k.zone {
		if now >= r.avoid[p.Name] {
			return p, true
		}
	}
	return r.vm.self(), true
}

// admit takes one operation of a team. While a keeper's share is on its way,
// after a start or a change of the keeper, the operation waits for it.
func (r *rates) admit(team string, l pollendoor.TeamLimit) (time.Duration, bool) {
	begin := clock.Now()
	for again := false; ; again = true {
		wait, verdict := r.decide(team, l, again)
		if verdict != quota.SharePending || clock.Now()-begin > quota.MaxWait-sharePoll {
			return wait, verdict == quota.Granted
		}
		time.Sleep(sharePoll)
	}
}

// decide asks the team's keepers for one operation.
func (r *rates) decide(team string, l pollendoor.TeamLimit, again bool) (time.Duration, quota.Decision) {
	last := quota.OverRate
	questions := quota.TokenRequests()
	for i := 0; i < len(questions); i++ {
		q := questions[i]
		q.Counted, q.ReservesEmpty = q.Counted || again, q.ReservesEmpty && last == quota.OverRate
		wait, verdict := r.put(team, l, q)
		switch verdict {
		case quota.Granted:
			return wait, verdict
		case quota.SharePending:
			last = quota.SharePending
		case quota.ReservesEmpty:
			i = max(i, len(questions)-2) // straight to the last one
		}
	}
	return 0, last
}

// put puts one question to the keeper that it is for.
func (r *rates) put(team string, l pollendoor.TeamLimit, q quota.TokenRequest) (time.Duration, quota.Decision) {
	v := r.vm
	now := clock.Now()
	k, ok := r.keeperOf(team, q.Source, now)
	if !ok {
		return 0, quota.OverRate
	}
	if k.Name != v.Settings.VM {
		if a, ok := r.ask(k, team, q); ok {
			return a.Wait, a.Verdict
		}
		r.shun(k.Name, now)
		v.Log.Info().Str("keeper", k.Name).Str("team", team).Bool("reserve", q.Source != quota.ZoneShare).Msg("keeper of a rate not reached")
		if q.Source != quota.ZoneShare {
			return 0, quota.OverRate // nobody else may grant its operations
		}
	}
	wait, verdict := r.buckets[q.Source].Admit(team, l, q, now)
	if verdict == quota.OverRate && v.view.Load().Version == 0 {
		verdict = quota.SharePending // this VM has yet to learn who keeps the rate
	}
	return wait, verdict
}

// shun passes a keeper over for a while.
func (r *rates) shun(name string, now time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.avoid == nil {
		r.avoid = make(map[string]time.Duration)
	}
	r.avoid[name] = now + keeperAvoid
}

// ask asks a keeper for one operation.
func (r *rates) ask(k vmlist.Peer, team string, q quota.TokenRequest) (packet, bool) {
	ch := make(chan packet, 1)
	r.mu.Lock()
	r.next++
	id := r.next
	if r.pending == nil {
		r.pending = make(map[uint64]chan packet)
	}
	r.pending[id] = ch
	r.mu.Unlock()
	defer func() {
		r.mu.Lock()
		delete(r.pending, id)
		r.mu.Unlock()
	}()
	timeout := zoneTimeout
	if q.Source != quota.ZoneShare {
		timeout = reserveTimeout
	}
	for range keeperTries {
		// A repeated question may take a second operation, never none.
		r.vm.beat.write(&packet{Kind: packetAdmit, Number: id, Team: team, Question: &q}, k.IP)
		t := time.NewTimer(timeout)
		select {
		case a := <-ch:
			t.Stop()
			return a, true
		case <-t.C:
		}
	}
	return packet{}, false
}

// asked answers another VM's question.
func (r *rates) asked(p *packet, now time.Duration) {
	c, q := r.vm.Config(), p.Question
	if c == nil || q == nil || q.Source >= quota.NumSources {
		return
	}
	l, ok := c.Teams[p.Team]
	if !ok {
		return
	}
	a := packet{Kind: packetAdmitted, Number: p.Number}
	a.Wait, a.Verdict = r.buckets[q.Source].Admit(p.Team, l, *q, now)
	r.vm.beat.write(&a, p.From.IP)
}

// answered passes a keeper's answer on.
func (r *rates) answered(p *packet) {
	r.mu.Lock()
	ch := r.pending[p.Number]
	r.mu.Unlock()
	if ch != nil {
		select {
		case ch <- *p:
		default: // the answer to the repeated question
		}
	}
}

// know follows a change of the teams, or of the VMs that keep their rates.
func (r *rates) know(c *pollendoor.Config) {
	if c == nil {
		return
	}
	v := r.vm
	now := clock.Now()
	var kept [quota.NumSources]map[string]pollendoor.TeamLimit
	for s := range kept {
		kept[s] = make(map[string]pollendoor.TeamLimit)
	}
	if v.view.Load().Version > 0 {
		for name, l := range c.Teams {
			for s := range kept {
				if k, ok := r.keeperOf(name, quota.Source(s), now); ok && k.Name == v.Settings.VM {
					kept[s][name] = l
				}
			}
		}
	}
	for s := range kept {
		r.buckets[s].SetKeptTeams(kept[s], now)
	}
}

// configure sets the number of VMs that share the slack.
func (r *rates) configure(peers int) {
	for s := range r.buckets {
		r.buckets[s].Configure(r.vm.Settings.slack(), peers)
	}
}

// report returns the shares that this VM holds, for the holder with a token.
func (r *rates) report(token uint64, now time.Duration) []quota.HeldShares {
	out := make([]quota.HeldShares, quota.NumSources)
	for s := range r.buckets {
		out[s].Teams, out[s].Seq = r.buckets[s].Report(now)
		if r.vm.shareToken() != token {
			out[s].Seq = 0
		}
	}
	return out
}

// adopt takes the shares that a heartbeat sent at sent has brought.
func (r *rates) adopt(token uint64, grants []quota.Grants, sent, now time.Duration) {
	c := r.vm.Config()
	if c == nil || len(grants) != int(quota.NumSources) {
		return
	}
	r.vm.setShareToken(token)
	for s, g := range grants {
		r.buckets[s].ApplyGrants(g.Amounts, g.Seq, c.Teams, sent, now)
	}
}
