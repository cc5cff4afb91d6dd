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
	"github.com/pollendoor/pollendoor/vmlist"
)

const (
	// homeShare is the part of a target's connections that its home opens. The
	// rest is for the VM that takes its place while the connections of the first
	// linger (also for all VMs that start anew after a loss of power), and for
	// those that reach the target when the home doesn't.
	homeConnectionShare = 0.55
	// guestConnections is what a VM opens to a target whose home it is not.
	guestConnections = 2
	// extraSlots keeps a target busy while an answer and the next statement are
	// on their way.
	extraSlots = 1
	// tendPeriod is how often primaries are probed that nobody has used.
	maintainPeriod = 100 * time.Millisecond
	// probeAfter is how long a primary is without contact before it is probed.
	probeAfter = 250 * time.Millisecond
	// avoidTime is how long a VM that was not reached is avoided as a home.
	homeAvoidTime = 700 * time.Millisecond
	// delayLife is how long a home's word on its queue counts.
	queueDelayLife = 500 * time.Millisecond
	// homesTried bounds the VMs that one statement is offered to.
	maxHomesTried = 3
)

// homes holds this VM's brokers, and which VM is the home of which target.
type homeVMs struct {
	vm *VM

	mu          sync.Mutex
	brokers     map[string]*broker.Broker // by target
	avoidUntil  map[string]time.Duration  // VMs that were not reached, until when
	rankedPeers map[homeKey][]vmlist.Peer // for the view in ordered
	rankedView  *vmlist.View
	queueDelays map[string]queueDelay // by target
}

// place is what the order of a target's homes depends on, besides the view.
type homeKey struct{ target, zone string }

// delayHint is what a home told of its queue.
type queueDelay struct {
	delay      time.Duration
	reportedAt time.Duration
}

// order returns the VMs through which a target is reached, the home first: the
// VMs of the target's zone by rendezvous hashing, then this VM, then others.
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

// order returns the VMs through which a target is reached. It is worked out once
// for each view of the VMs. The caller holds mu.
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

// choose returns the VMs to offer a statement to, without those avoided.
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

// shun avoids a VM for a while.
func (h *homeVMs) avoidPeer(name string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.avoidUntil == nil {
		h.avoidUntil = make(map[string]time.Duration)
	}
	h.avoidUntil[name] = clock.Now() + homeAvoidTime
}

// isHome reports whether this VM is the home of a target. The caller holds mu.
func (h *homeVMs) isHome(t pollendoor.TargetInfo) bool {
	list := h.peersFor(t)
	return len(list) > 0 && list[0].Name == h.vm.Settings.VM
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
		Dialed:  func() { h.vm.stats.Dials.Add(1) },
	}
	if h.brokers == nil {
		h.brokers = make(map[string]*broker.Broker)
	}
	h.brokers[t.ID] = b
	h.configure(b, t)
	return b
}

// configure sets a broker's limits by whether this VM is the target's home.
func (h *homeVMs) configure(b *broker.Broker, t pollendoor.TargetInfo) {
	maxConnections := guestConnections
	if c := h.vm.Config(); c != nil {
		limit := c.Groups[t.Group].MaxConnections
		if h.isHome(t) {
			maxConnections = max(guestConnections, int(homeConnectionShare*float64(limit)))
		}
	}
	b.Configure(t, maxConnections, t.Slots+extraSlots)
}

// refresh follows a change of targets, configuration or VMs.
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
}

// delay returns how long a statement would wait at a target, as its home told.
func (h *homeVMs) queueDelayAt(target string, now time.Duration) time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	d := h.queueDelays[target]
	if now-d.reportedAt > queueDelayLife {
		return 0
	}
	return d.delay
}

func (h *homeVMs) noteQueueDelay(target string, d time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.queueDelays == nil {
		h.queueDelays = make(map[string]queueDelay)
	}
	h.queueDelays[target] = queueDelay{d, clock.Now()}
}

// tend probes the primaries that this VM is the home of, closes connections that
// nobody uses, and forgets targets that are gone.
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
		gone := h.vm.targets.Expire(time.Now(), h.vm.Platform.ReturnTime)
		for _, id := range gone {
			h.vm.Log.Info().Str("target", id).Msg("target is gone")
		}
		if len(gone) > 0 || n%10 == 0 {
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

// probeTeam names the system itself at a target.
const systemTeam = "pollendoor"

func (h *homeVMs) expire() {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, b := range h.brokers {
		b.Expire(time.Now())
	}
}
