package fleet

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/pollendoor/pollendoor"
	"github.com/pollendoor/pollendoor/broker"
	"github.com/pollendoor/pollendoor/clock"
	"github.com/pollendoor/pollendoor/evac"
	"github.com/pollendoor/pollendoor/vmlist"
)

const (
	// homeConnectionShare is the fraction of a target's connections that its home VM
	// opens. The rest is for the VM that takes its place while the connections of
	// the first one remain open (also for all VMs that restart after a loss of
	// power), and for VMs that reach the target when the home VM doesn't.
	homeConnectionShare = 0.8
	// guestConnections is how many connections a VM opens to a target whose home VM
	// it is not.
	guestConnections = 2
	// homeIdleTime is how long the home VM of a target keeps an unused connection
	// open, and guestIdleTime how long another VM does.
	homeIdleTime  = 20 * time.Second
	guestIdleTime = 300 * time.Millisecond
	// extraSlots is how many statements beyond a target's slots are sent to it, to
	// keep it busy while an answer and the next statement are in transit.
	extraSlots = 1
	// controlSlots is how many of a target's slots stay free while the group's primary
	// is being replaced. The status of a target without a free slot can't be read.
	controlSlots = 1
	// maintainPeriod is how often idle primaries are checked for a probe.
	maintainPeriod = 100 * time.Millisecond
	// probeAfter is how long after the last contact a primary is probed.
	probeAfter = 250 * time.Millisecond
	// homeAvoidTime is how long a VM that was not reached is avoided as a home VM.
	homeAvoidTime = 700 * time.Millisecond
	// queueDelayLife is how long a home VM's report on its queue is used.
	queueDelayLife = 500 * time.Millisecond
	// maxHomesTried bounds the VMs that one statement is offered to.
	maxHomesTried = 3
)

// homeVMs holds this VM's brokers, and determines which VM is the home VM of which
// target. The home VM of a target opens most of the connections to it.
type homeVMs struct {
	vm *VM

	mu          sync.Mutex
	brokers     map[string]*broker.Broker // by target ID
	avoidUntil  map[string]time.Duration  // until when a VM that was not reached is avoided, by VM name
	rankedPeers map[homeKey][]vmlist.Peer // cached results of rankPeers for rankedView
	rankedView  *vmlist.View
	loads       map[string]targetLoad // by target ID
	cold        map[string]*evac.Cold // limits of targets that have a broker, by target ID
}

// homeKey holds what the ranking of VMs for a target depends on, besides the view.
type homeKey struct{ target, zone string }

// rankPeers returns the VMs through which a target is reached, the home VM first:
// the VMs of the target's zone by rendezvous hashing, then this VM, then others.
func rankPeers(v *vmlist.View, self vmlist.Peer, t pollendoor.TargetInfo) []vmlist.Peer {
	type scoredPeer struct {
		vmlist.Peer
		class int
		score uint64
	}
	list := make([]scoredPeer, 0, len(v.Peers))
	for _, p := range v.Peers {
		class := 2
		switch {
		case p.Zone == t.Zone:
			class = 0
		case p.Name == self.Name:
			class = 1
		}
		list = append(list, scoredPeer{p, class, xxhash.Sum64String(p.Name + "/" + t.ID)})
	}
	slices.SortFunc(list, func(a, b scoredPeer) int {
		if c := cmp.Compare(a.class, b.class); c != 0 {
			return c
		}
		return cmp.Compare(b.score, a.score)
	})
	out := make([]vmlist.Peer, 0, maxHomesTried+1)
	for _, s := range list {
		if len(out) <= maxHomesTried {
			out = append(out, s.Peer)
		}
	}
	return out
}

// peersFor returns the VMs through which a target is reached. The ranking is cached
// until the view of the VMs changes. The caller holds mu.
func (h *homeVMs) peersFor(t pollendoor.TargetInfo) []vmlist.Peer {
	if v := h.vm.view.Load(); v != h.rankedView {
		h.rankedView, h.rankedPeers = v, make(map[homeKey][]vmlist.Peer)
	}
	key := homeKey{t.ID, t.Zone}
	list, ok := h.rankedPeers[key]
	if !ok {
		list = rankPeers(h.rankedView, h.vm.selfPeer(), t)
		h.rankedPeers[key] = list
	}
	return list
}

// choosePeers returns the VMs to offer a statement to, without those being avoided.
func (h *homeVMs) choosePeers(t pollendoor.TargetInfo) []vmlist.Peer {
	now := clock.Now()
	h.mu.Lock()
	defer h.mu.Unlock()
	list := h.peersFor(t)
	out := slices.DeleteFunc(slices.Clone(list), func(p vmlist.Peer) bool { return now < h.avoidUntil[p.Name] })
	if len(out) == 0 {
		return []vmlist.Peer{h.vm.selfPeer()}
	}
	return out
}

// avoidPeer avoids a VM for homeAvoidTime.
func (h *homeVMs) avoidPeer(name string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.avoidUntil == nil {
		h.avoidUntil = make(map[string]time.Duration)
	}
	h.avoidUntil[name] = clock.Now() + homeAvoidTime
}

// isHome reports whether this VM is the home VM of a target. The caller holds mu.
func (h *homeVMs) isHome(t pollendoor.TargetInfo) bool {
	list := h.peersFor(t)
	return h.rankedView.Version > 0 && len(list) > 0 && list[0].Name == h.vm.Settings.VM
}

// broker returns this VM's broker of a target.
func (h *homeVMs) broker(t pollendoor.TargetInfo) *broker.Broker {
	h.mu.Lock()
	defer h.mu.Unlock()
	if b := h.brokers[t.ID]; b != nil {
		return b
	}
	b := &broker.Broker{
		Dial:    h.vm.Platform.Dial,
		Observe: h.vm.observeReply,
		Reached: h.vm.reachedPosition,
		OnDial:  func() { h.vm.stats.Dials.Add(1) },
		OnQueue: h.vm.stats.queues.add,
		Admit:   h.admitCold(t.ID),
		OnUse:   func(u evac.Use, refused, ended int) { h.vm.noteUse(t, u, refused, ended) },
		OnLimit: h.vm.limitChanged,
		OnEject: h.vm.targetEjected,
		Stalled: h.vm.stalls.since,
	}
	if h.brokers == nil {
		h.brokers = make(map[string]*broker.Broker)
	}
	h.brokers[t.ID] = b
	h.configure(b, t)
	return b
}

// configure sets a broker's limits, which depend on whether this VM is the target's
// home VM.
func (h *homeVMs) configure(b *broker.Broker, t pollendoor.TargetInfo) {
	maxConnections, idleTime := guestConnections, guestIdleTime
	learn := false
	if c := h.vm.Config(); c != nil && h.isHome(t) {
		limit := c.Groups[t.Group].MaxConnections
		learn = c.Groups[t.Group].Adaptive
		maxConnections, idleTime = max(guestConnections, int(homeConnectionShare*float64(limit))), homeIdleTime
	}
	slots := t.Slots + extraSlots
	if h.vm.lease.Load().Record.Groups[t.Group].Moving {
		slots = max(0, t.Slots-controlSlots)
	}
	if c := h.vm.Config(); c != nil {
		b.SetAdaptive(c.Groups[t.Group].Adaptive)
	}
	b.SetUse(h.vm.useOf(t, clock.Now()))
	h.updateCold(t)
	// Only the home VM sends enough statements to learn from. Another one that takes its
	// place starts from the configured slots.
	b.Adapt(learn)
	b.Configure(t, maxConnections, slots)
	b.CloseExpired(time.Now(), idleTime)
}

// refresh updates the brokers after a change of targets, configuration or VMs, and when
// the replacement of a primary begins or ends.
func (h *homeVMs) refresh() {
	h.mu.Lock()
	defer h.mu.Unlock()
	for id, b := range h.brokers {
		t, ok := h.vm.targets.Get(id)
		if !ok {
			b.Close()
			delete(h.brokers, id)
			continue
		}
		h.configure(b, t)
	}
	h.updateColdTargets()
	h.forgetLoads()
}

// maintain probes the primaries whose home VM this VM is, closes unused connections,
// and removes targets that are gone.
func (h *homeVMs) maintain(ctx context.Context) {
	tick := time.NewTicker(maintainPeriod)
	defer tick.Stop()
	var probing sync.Map
	for n := 0; ; n++ {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		h.vm.stalls.tick(time.Now())
		gone := h.vm.targets.Expire(time.Now(), h.vm.Platform.ReturnTime)
		h.vm.forgetLags(gone)
		for _, id := range gone {
			h.vm.Log.Info().Str("target", id).Msg("target is gone")
		}
		if len(gone) > 0 || n%10 == 0 || h.vm.evacuations.Load().Any() {
			h.refresh()
		}
		now := clock.Now()
		for name, g := range h.vm.lease.Load().Record.Groups {
			t, ok := h.vm.targets.Get(g.Primary)
			if !ok || g.Moving || now-h.vm.primaryHealth(name).contactTime() < probeAfter {
				continue
			}
			h.mu.Lock()
			isHome := h.isHome(t)
			h.mu.Unlock()
			if !isHome {
				continue
			}
			if _, running := probing.LoadOrStore(name, true); running {
				continue
			}
			go func() {
				defer probing.Delete(name)
				h.broker(t).Probe(systemTeam)
			}()
		}
		if n%10 == 0 {
			h.expire()
		}
	}
}

// systemTeam is the team name under which the system itself connects to a target.
const systemTeam = "pollendoor"

// expire closes connections that have not been used for a while.
func (h *homeVMs) expire() {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, b := range h.brokers {
		b.CloseExpired(time.Now(), homeIdleTime)
	}
}
