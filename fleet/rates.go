package fleet

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/pollendoor/pollendoor"
	"github.com/pollendoor/pollendoor/clock"
	"github.com/pollendoor/pollendoor/share"
)

const (
	// keeperTimeout is how long a VM waits for its zone's keeper of a team's rate:
	// many times the round trip within a zone. Datagrams may be lost, so it asks
	// twice.
	keeperTimeout = 25 * time.Millisecond
	keeperTries   = 2
	// keeperAvoid is how long a keeper that did not answer is passed over.
	keeperAvoid = 500 * time.Millisecond
	// sharePoll is how often an operation looks whether the share has come: about
	// a round trip between regions, which heartbeats take.
	sharePoll = 30 * time.Millisecond
)

// rates admits operations of teams. Each team has one keeper in each zone, which
// holds the zone's share of the team's rate: a share for each VM would be less
// than an operation a second in a large fleet.
type rates struct {
	vm *VM

	mu      sync.Mutex
	next    uint64
	pending map[uint64]chan packet
	avoid   map[string]time.Duration // keepers that did not answer, until when
}

// keeperOf returns the VM of a zone that keeps a team's rate, of those that are
// not passed over.
func (r *rates) keeperOf(team string, now time.Duration) peer {
	v := r.vm
	best, score := v.self(), uint64(0)
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, p := range v.view.Load().Peers {
		if p.Zone != v.Settings.Zone || now < r.avoid[p.Name] {
			continue
		}
		if s := xxhash.Sum64String("rate/" + p.Name + "/" + team); s > score {
			best, score = p, s
		}
	}
	return best
}

// admit takes one operation of a team. While the keeper's share is on its way,
// after a start or a change of the keeper, the operation waits for it.
func (r *rates) admit(team string, l pollendoor.TeamLimit) (time.Duration, bool) {
	begin := clock.Now()
	for {
		wait, verdict := r.decide(team, l)
		if verdict != share.Unshared || clock.Now()-begin > share.MaxWait-sharePoll {
			return wait, verdict == share.Granted
		}
		time.Sleep(sharePoll)
	}
}

// decide asks for one operation of a team, here or at the keeper.
func (r *rates) decide(team string, l pollendoor.TeamLimit) (time.Duration, share.Verdict) {
	now := clock.Now()
	k := r.keeperOf(team, now)
	if k.Name != r.vm.Settings.VM {
		if a, ok := r.ask(k, team); ok {
			return a.Wait, a.Verdict
		}
		r.mu.Lock()
		if r.avoid == nil {
			r.avoid = make(map[string]time.Duration)
		}
		r.avoid[k.Name] = now + keeperAvoid
		r.mu.Unlock()
		r.vm.Log.Info().Str("keeper", k.Name).Str("team", team).Msg("keeper of a rate not reached")
	}
	wait, verdict := r.vm.buckets.Admit(team, l, now)
	if verdict == share.Over && r.vm.view.Load().Version == 0 {
		verdict = share.Unshared // this VM has yet to learn who keeps the rate
	}
	return wait, verdict
}

// ask asks a keeper for one operation.
func (r *rates) ask(k peer, team string) (packet, bool) {
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
	for range keeperTries {
		// A repeated question may take a second operation, never none.
		r.vm.beat.write(&packet{Kind: packetAdmit, Question: id, Team: team}, k.IP)
		t := time.NewTimer(keeperTimeout)
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
	a := packet{Kind: packetAdmitted, Question: p.Question}
	c := r.vm.Config()
	if c == nil {
		return
	}
	l, ok := c.Teams[p.Team]
	if !ok {
		return
	}
	a.Wait, a.Verdict = r.vm.buckets.Admit(p.Team, l, now)
	r.vm.beat.write(&a, p.From.IP)
}

// answered passes a keeper's answer on.
func (r *rates) answered(p *packet) {
	r.mu.Lock()
	ch := r.pending[p.Question]
	r.mu.Unlock()
	if ch != nil {
		select {
		case ch <- *p:
		default: // the answer to the repeated question
		}
	}
}

// kept returns the teams whose rate this VM keeps for its zone.
func (r *rates) kept(c *pollendoor.Config) map[string]pollendoor.TeamLimit {
	out := make(map[string]pollendoor.TeamLimit)
	if r.vm.view.Load().Version == 0 {
		return out
	}
	now := clock.Now()
	for name, l := range c.Teams {
		if r.keeperOf(name, now).Name == r.vm.Settings.VM {
			out[name] = l
		}
	}
	return out
}
