package fleet

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/pollendoor/pollendoor"
	"github.com/pollendoor/pollendoor/clock"
	"github.com/pollendoor/pollendoor/quota"
)

const (
	// zoneKeeperTimeout is how long a VM waits for the keeper of a team's quota in
	// its zone: many times the round trip within a zone. Datagrams may be lost, so
	// the VM asks keeperAttempts times.
	zoneKeeperTimeout = 25 * time.Millisecond
	// reserveKeeperTimeout is the corresponding time for the keeper of a reserve,
	// which may be in another region.
	reserveKeeperTimeout = 90 * time.Millisecond
	keeperAttempts       = 2
	// maxZoneKeepers is the number of a zone's VMs that may become the keeper of a
	// team's quota when others do not answer.
	maxZoneKeepers = 3
	// quotaPoll is how often a waiting operation checks whether the quota share has
	// arrived: about a round trip between regions, which a heartbeat takes.
	quotaPoll = 30 * time.Millisecond
	// shareWaitRest is the part of an operation's goal, as a divisor, that is left for
	// the statement when the operation stops waiting for a quota share.
	shareWaitRest = 5
)

// admission admits operations of teams. Each team has one quota keeper per zone,
// which holds the zone's share of the team's rate, and two in the fleet, which hold
// reserves. With a share for each VM, the shares in a large fleet would be less than
// one operation per second.
type admission struct {
	vm *VM
	// buckets holds the shares that this VM keeps, by source.
	buckets [quota.NumSources]quota.Buckets

	lastBegin atomic.Int64 // latest time at which an operation of this VM's callers may begin, on the boot clock

	shares shareQueues // operations that wait for the share of their team

	mu            sync.Mutex
	arrived       chan struct{}                 // is closed when shares arrive; nil if no operation waits for that
	lastRequestID uint64                        // ID of the last token request to another VM
	pending       map[uint64]pendingRequest     // open requests to other VMs, by ID
	overRate      map[string]*quota.RefusedTeam // teams whose last operation was refused
	reach         quota.Reach                   // which keepers answer
	keepers       keeperTable                   // keepers according to this VM's view and record
}

// nextAsk returns the next request of an operation of a team, and the address of the VM
// that it goes to.
func (r *admission) nextAsk(team string, a *quota.Attempt) (quota.Ask, string, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	k := r.keepersOf(team)
	now := clock.Now()
	r.probe(k.Zone, k.addrs, now)
	r.probe(k.Reserves, k.addrs, now)
	ask, ok := a.Next(&k.Keepers, r.vm.Settings.VM, r.reach.Silent)
	return ask, k.addrs[ask.VM], ok
}

// probe asks the silent ones among keepers for a sign of life, so that they are used
// again at once when they answer. The caller holds mu.
func (r *admission) probe(keepers []string, addrs map[string]string, now time.Duration) {
	for _, name := range keepers {
		if r.reach.ProbeDue(name, now) {
			r.vm.stats.KeeperProbes.Add(1)
			r.vm.messenger.send(&packet{Kind: packetLeaderQuery, Stamp: now}, addrs[name])
		}
	}
}

// noteHeard records that a message of another VM has arrived.
func (r *admission) noteHeard(name string, now time.Duration) {
	r.mu.Lock()
	back := r.reach.Heard(name, now)
	r.mu.Unlock()
	if back {
		r.vm.Log.Info().Str("keeper", name).Msg("quota keeper reached again")
	}
}

// admit requests a token for one operation of a team that should be answered within
// goal. It returns how long the operation has to wait, and whether it is admitted. For
// one that is not, it returns when the caller should retry, or zero if that is not known.
// While a quota share is on its way to its keeper, after a start or a change of the
// keeper, the operation waits for it.
func (r *admission) admit(team string, l pollendoor.TeamLimit, goal time.Duration) (time.Duration, bool) {
	begin := clock.Now()
	limit := begin + max(quota.MaxWait, goal-goal/shareWaitRest)
	retry, fresh, skipped := r.refusedLately(team, begin)
	if fresh {
		r.vm.stats.OverRateKnown.Add(1)
		return retry, false
	}
	counted := false
	var w *shareWaiter
	defer func() {
		if w != nil {
			r.shares.leave(team, w)
		}
	}()
	if r.shares.waiting(team) {
		w = r.shares.join(team, begin+goal)
	}
	for {
		if w != nil && !r.awaitShare(team, w, limit) {
			r.vm.stats.ShareMissing.Add(1)
			return 0, false
		}
		a := quota.Attempt{Requests: quota.TokenRequests(), Counted: counted, Skipped: skipped}
		if w != nil {
			a.Requests = quota.LateTokenRequests(limit - clock.Now())
		}
		wait, decision := r.decide(team, l, &a)
		if counted = a.Counted; counted {
			skipped = 0
		}
		if decision == quota.SharePending && clock.Now() < limit {
			if w == nil || !r.shares.asks(team, w) {
				w = r.shares.join(team, begin+goal)
			}
			continue
		}
		if w != nil && decision != quota.SharePending && r.shares.asks(team, w) {
			r.shares.release(team)
		}
		switch decision {
		case quota.Granted:
			r.noteBegin(clock.Now() + wait)
			return wait, true
		case quota.SharePending:
			r.vm.stats.ShareMissing.Add(1)
			return 0, false
		}
		return r.noteRefused(team, &a), false
	}
}

// refusedLately reports whether operations of a team are refused without a request, and
// when the caller should retry. Otherwise it returns how many were since the last
// request.
func (r *admission) refusedLately(team string, now time.Duration) (retry time.Duration, fresh bool, skipped int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	o := r.overRate[team]
	if o == nil {
		return 0, false, 0
	}
	if o.Fresh(now) {
		return o.RetryAfter(now), true, 0
	}
	skipped = o.TakeSkipped()
	delete(r.overRate, team)
	return 0, false, skipped
}

// noteRefused records what a refused attempt shows of its team, and returns when the
// caller should retry.
func (r *admission) noteRefused(team string, a *quota.Attempt) time.Duration {
	now := clock.Now()
	o := a.Refusal(now)
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.overRate == nil {
		r.overRate = make(map[string]*quota.RefusedTeam)
	}
	if earlier := r.overRate[team]; earlier != nil {
		o.Merge(earlier)
	}
	r.overRate[team] = &o
	return o.RetryAfter(now)
}

// awaitShare waits until an operation is to ask for a token: after quotaPoll or when
// shares have arrived if it is the first one, and when it becomes the first one or the
// share has arrived otherwise. It reports false if neither happens before limit.
func (r *admission) awaitShare(team string, w *shareWaiter, limit time.Duration) bool {
	left := time.NewTimer(limit - clock.Now())
	defer left.Stop()
	select {
	case <-w.wake:
	case <-left.C:
		return false
	}
	if !r.shares.asks(team, w) {
		return true // the share has arrived
	}
	r.mu.Lock()
	arrived := r.arrived
	if arrived == nil {
		arrived = make(chan struct{})
		r.arrived = arrived
	}
	r.mu.Unlock()
	poll := time.NewTimer(quotaPoll)
	defer poll.Stop()
	select {
	case <-arrived:
	case <-poll.C:
	case <-left.C:
		return false
	}
	return true
}

// noteSharesArrived lets the operations that ask for their teams ask again now.
func (r *admission) noteSharesArrived() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.arrived != nil {
		close(r.arrived)
		r.arrived = nil
	}
}

// noteBegin records that an operation of this VM's callers may begin at a time.
func (r *admission) noteBegin(at time.Duration) {
	for old := r.lastBegin.Load(); old < int64(at); old = r.lastBegin.Load() {
		if r.lastBegin.CompareAndSwap(old, int64(at)) {
			return
		}
	}
}

// idleTime returns the time since this process started or, if that is later, since the
// last operation may have begun that it admitted for itself or another VM. It is
// negative if an operation waits for its token.
func (r *admission) idleTime(now time.Duration) time.Duration {
	last := time.Duration(r.lastBegin.Load())
	for s := range r.buckets {
		last = max(last, r.buckets[s].LastToken())
	}
	return now - last
}

// decide makes the token requests of an attempt, one after the other.
func (r *admission) decide(team string, l pollendoor.TeamLimit, a *quota.Attempt) (time.Duration, quota.Decision) {
	v := r.vm
	for {
		ask, ip, ok := r.nextAsk(team, a)
		switch {
		case !ok && a.Pending():
			return 0, quota.SharePending
		case !ok:
			return 0, quota.OverRate
		}
		var wait time.Duration
		var decision quota.Decision
		if ask.VM == v.Settings.VM {
			wait, decision = r.buckets[ask.Source].Admit(team, l, ask.TokenRequest, clock.Now())
			if decision == quota.OverRate && v.view.Load().Version == 0 {
				decision = quota.SharePending // this VM does not have a view of the keepers yet
			}
		} else {
			p, answered := r.queryKeeper(ask, ip, team)
			if !answered {
				a.Unanswered()
				continue
			}
			if wait, decision = p.Wait, p.Decision; decision != quota.Granted {
				wait = p.RetryAfter
			}
		}
		if decision == quota.Granted {
			return wait, decision
		}
		a.Refused(decision, wait)
	}
}

// pendingRequest is a token request to another VM that has not been answered.
type pendingRequest struct {
	keeper string
	answer chan packet // receives the answer, or an empty packet once the keeper is known to be silent
}

// queryKeeper sends a token request to a keeper. It reports false if the keeper did
// not answer, or did not answer another operation meanwhile.
func (r *admission) queryKeeper(ask quota.Ask, ip, team string) (packet, bool) {
	p := pendingRequest{keeper: ask.VM, answer: make(chan packet, 1)}
	sent := clock.Now()
	r.mu.Lock()
	r.lastRequestID++
	id := r.lastRequestID
	if r.pending == nil {
		r.pending = make(map[uint64]pendingRequest)
	}
	r.pending[id] = p
	r.reach.Asked(ask.VM)
	r.mu.Unlock()
	defer func() {
		r.mu.Lock()
		delete(r.pending, id)
		r.mu.Unlock()
	}()
	timeout := zoneKeeperTimeout
	if d, ok := r.vm.stats.traffic.distance(ip); !ok || d != pollendoor.SameZone {
		timeout = reserveKeeperTimeout
	}
	for range keeperAttempts {
		// A repeated request may take a second token, but an operation is never
		// admitted without one.
		r.vm.messenger.send(&packet{Kind: packetTokenRequest, RequestID: id, Team: team, TokenRequest: &ask.TokenRequest}, ip)
		t := time.NewTimer(timeout)
		select {
		case a := <-p.answer:
			t.Stop()
			return a, a.Kind != 0
		case <-t.C:
		}
	}
	r.noteUnanswered(ask, team, sent)
	return packet{}, false
}

// noteUnanswered records that a keeper did not answer. Once it counts as silent, other
// operations that wait for its answer stop waiting.
func (r *admission) noteUnanswered(ask quota.Ask, team string, sent time.Duration) {
	now := clock.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.reach.Unanswered(ask.VM, sent, now) {
		return
	}
	for _, p := range r.pending {
		if p.keeper == ask.VM {
			select {
			case p.answer <- packet{}:
			default: // it has just been answered
			}
		}
	}
	r.vm.stats.KeepersSilent.Add(1)
	r.vm.Log.Info().Str("keeper", ask.VM).Str("team", team).Bool("reserve", ask.Source != quota.ZoneShare).Msg("quota keeper not reached")
}

// handleTokenRequest answers another VM's token request.
func (r *admission) handleTokenRequest(p *packet, now time.Duration) {
	c, q := r.vm.Config(), p.TokenRequest
	if q == nil || q.Source >= quota.NumSources {
		return
	}
	a := packet{Kind: packetTokenDecision, RequestID: p.RequestID, Decision: quota.SharePending}
	if c != nil { // this VM has just started otherwise
		l, ok := c.Teams[p.Team]
		if !ok {
			return
		}
		if a.Wait, a.Decision = r.buckets[q.Source].Admit(p.Team, l, *q, now); a.Decision != quota.Granted {
			a.Wait, a.RetryAfter = 0, a.Wait
		}
	}
	r.vm.messenger.send(&a, p.From.IP)
}

// handleTokenDecision delivers a keeper's answer to the waiting operation.
func (r *admission) handleTokenDecision(p *packet) {
	r.mu.Lock()
	q, ok := r.pending[p.RequestID]
	r.mu.Unlock()
	if ok {
		select {
		case q.answer <- *p:
		default: // duplicate answer to a repeated request
		}
	}
}

// updateTeams updates the buckets after a change of the teams or of the quota
// keepers.
func (r *admission) updateTeams(c *pollendoor.Config) {
	if c == nil {
		return
	}
	v := r.vm
	now := clock.Now()
	r.mu.Lock()
	r.reach.Retain(v.view.Load().Has)
	r.mu.Unlock()
	var keptTeams [quota.NumSources]map[string]pollendoor.TeamLimit
	for s := range keptTeams {
		keptTeams[s] = make(map[string]pollendoor.TeamLimit)
	}
	if v.view.Load().Version > 0 {
		for name, l := range c.Teams {
			for s := range keptTeams {
				if r.keeperFor(name, quota.Source(s)) == v.Settings.VM {
					keptTeams[s][name] = l
				}
			}
		}
	}
	for s := range keptTeams {
		r.buckets[s].SetKeptTeams(keptTeams[s], now)
	}
}

// start sets the time at which this process started.
func (r *admission) start(now time.Duration) {
	for s := range r.buckets {
		r.buckets[s].Start(now)
	}
}

// peers returns the largest known number of VMs that share the tolerated excess.
func (r *admission) peers() int { return r.buckets[quota.ZoneShare].Peers() }

// configure sets the number of VMs that share the tolerated excess.
func (r *admission) configure(peers int) {
	for s := range r.buckets {
		r.buckets[s].Configure(r.vm.Settings.tolerance(), peers)
	}
}

// heldShares returns the shares that this VM holds, for a report to the leader
// with this token.
func (r *admission) heldShares(token uint64, now time.Duration) []quota.HeldShares {
	out := make([]quota.HeldShares, quota.NumSources)
	for s := range r.buckets {
		out[s].Teams, out[s].Seq = r.buckets[s].Report(now)
		if r.vm.quotaToken() != token {
			out[s].Seq = 0
		}
	}
	return out
}

// applyGrants applies the shares that were granted in the answer to a heartbeat sent
// at sent. LeaseTime is the lease that was granted with them.
func (r *admission) applyGrants(token uint64, grants []quota.Grants, leaseTime, sent, now time.Duration) {
	c := r.vm.Config()
	if c == nil || len(grants) != int(quota.NumSources) {
		return
	}
	r.vm.setQuotaToken(token)
	for s, g := range grants {
		g.Leader = token
		r.buckets[s].ApplyGrants(g, c.Teams, leaseTime, sent, now)
	}
	r.noteSharesArrived()
}
