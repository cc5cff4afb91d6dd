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
	homeShare = 0.55
	// guestConnections is what a VM opens to a target whose home it is not.
	guestConnections = 2
	// extraSlots keeps a target busy while an answer and the next statement are
	// on their way.
	extraSlots = 1
	// tendPeriod is how often primaries are probed that nobody has used.
	tendPeriod = 100 * time.Millisecond
	// probeAfter is how long a primary is without contact before it is probed.
	probeAfter = 250 * time.Millisecond
	// avoidTime is how long a VM that was not reached is avoided as a home.
	avoidTime = 700 * time.Millisecond
	// delayLife is how long a home's word on its queue counts.
	delayLife = 500 * time.Millisecond
	// homesTried bounds the VMs that one statement is offered to.
	homesTried = 3
)

// homes holds this VM's brokers, and which VM is the home of which target.
type homes struct {
	vm *VM

	mu      sync.Mutex
	brokers map[string]*broker.Broker // by target
	avoid   map[string]time.Duration  // VMs that were not reached, until when
	orders  map[place][]vmlist.Peer   // for the view in ordered
	ordered *vmlist.View
	delays  map[string]delayHint // by target
}

// place is what the order of a target's homes depends on, besides the view.
type place struct{ target, zone string }

// delayHint is what a home told of its queue.
type delayHint struct {
	delay time.Duration
	at    time.Duration
}

// order returns the VMs through which a target is reached, the home first: the
// VMs of the target's zone by rendezvous hashing, then this VM, then others.
func order(v *vmlist.View, self vmlist.Peer, t pollendoor.TargetInfo) []vmlist.Peer {
	type scored struct {
		vmlist.Peer
		class int
		score uint64
	}
	list := make([]scored, 0, len(v.Peers))
	for _, p := range v.Peers {
		class := 2
		switch {
		case p.Zone == t.Zone:
			class = 0
		case p.Name == self.Name:
			class = 1
		}
		list = append(list, scored{p, class, xxhash.Sum64String(p.Name + "/" + t.ID)})
	}
	slices.SortFunc(list, func(a, b scored) int {
		if c := cmp.Compare(a.class, b.class); c != 0 {
			return c
		}
		return cmp.Compare(b.score, a.score)
	})
	out := make([]vmlist.Peer, 0, homesTried+1)
	for _, s := range list {
		if len(out) <= homesTried {
			out = append(out, s.Peer)
		}
	}
	return out
}

// order returns the VMs through which a target is reached. It is worked out once
// for each view of the VMs. The caller holds mu.
func (h *homes) order(t pollendoor.TargetInfo) []vmlist.Peer {
	if v := h.vm.view.Load(); v != h.ordered {
		h.ordered, h.orders = v, make(map[place][]vmlist.Peer)
	}
	key := place{t.ID, t.Zone}
	list, ok := h.orders[key]
	if !ok {
		list = order(h.ordered, h.vm.self(), t)
		h.orders[key] = list
	}
	return list
}

// choose returns the VMs to offer a statement to, without those avoided.
func (h *homes) choose(t pollendoor.TargetInfo) []vmlist.Peer {
	now := clock.Now()
	h.mu.Lock()
	defer h.mu.Unlock()
	list := h.order(t)
	out := slices.DeleteFunc(slices.Clone(list), func(p vmlist.Peer) bool { return now < h.avoid[p.Name] })
	if len(out) == 0 {
		return []vmlist.Peer{h.vm.self()}
	}
	return out
}

// shun avoids a VM for a while.
func (h *homes) shun(name string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.avoid == nil {
		h.avoid = make(map[string]time.Duration)
	}
	h.avoid[name] = clock.Now() + avoidTime
}

// isHome reports whether this VM is the home of a target. The caller holds mu.
func (h *homes) isHome(t pollendoor.TargetInfo) bool {
	list := h.order(t)
	return len(list) > 0 && list[0].Name == h.vm.Settings.VM
}

// broker returns this VM's broker of a target.
func (h *homes) broker(t pollendoor.TargetInfo) *broker.Broker {
	h.mu.Lock()
	defer h.mu.Unlock()
	if b := h.brokers[t.ID]; b != nil {
		return b
	}
	b := &broker.Broker{
		Dial:    h.vm.Platform.Dial,
		Observe: h.vm.observe,
		OnDial:  func() { h.vm.stats.Dials.Add(1) },
	}
	if h.brokers == nil {
		h.brokers = make(map[string]*broker.Broker)
	}
	h.brokers[t.ID] = b
	h.configure(b, t)
	return b
}

// configure sets a broker's limits by whether this VM is the target's home.
func (h *homes) configure(b *broker.Broker, t pollendoor.TargetInfo) {
	most := guestConnections
	if c := h.vm.Config(); c != nil {
		limit := c.Groups[t.Group].MaxConnections
		if h.isHome(t) {
			most = max(guestConnections, int(homeShare*float64(limit)))
		}
	}
	b.Configure(t, most, t.Slots+extraSlots)
}

// refresh follows a change of targets, configuration or VMs.
func (h *homes) refresh() {
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
func (h *homes) delay(target string, now time.Duration) time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	d := h.delays[target]
	if now-d.at > delayLife {
		return 0
	}
	return d.delay
}

func (h *homes) noteDelay(target string, d time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.delays == nil {
		h.delays = make(map[string]delayHint)
	}
	h.delays[target] = delayHint{d, clock.Now()}
}

// tend probes the primaries that this VM is the home of, closes connections that
// nobody uses, and forgets targets that are gone.
func (h *homes) tend(ctx context.Context) {
	tick := time.NewTicker(tendPeriod)
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
			if !ok || g.Moving || now-h.vm.fate(name).contact() < probeAfter {
				continue
			}
			h.mu.Lock()
			home := h.isHome(t)
			h.mu.Unlock()
			if !home {
				continue
			}
			if _, busy := probing.LoadOrStore(name, true); busy {
				continue
			}
			go func() {
				defer probing.Delete(name)
				h.broker(t).Probe(probeTeam)
			}()
		}
		if n%10 == 0 {
			h.expire()
		}
	}
}

// probeTeam names the system itself at a target.
const probeTeam = "pollendoor"

func (h *homes) expire() {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, b := range h.brokers {
		b.CloseExpired(time.Now())
	}
}
