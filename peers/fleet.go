package peers

import (
	"context"
	"crypto/tls"
	"encoding/json"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"
	"github.com/sourcegraph/conc"
	"storj.io/drpc/drpcserver"

	"github.com/pollendoor/pollendoor"
	"github.com/pollendoor/pollendoor/group"
	"github.com/pollendoor/pollendoor/limit"
	"github.com/pollendoor/pollendoor/mirror"
)

const (
	heartbeatInterval = 300 * time.Millisecond
	// ringEvery is the time between heartbeats in a fleet too large for a full
	// mesh.
	largeFleetHeartbeatInterval = 600 * time.Millisecond
	callTimeout                 = 600 * time.Millisecond
	// listEvery is how often a watcher reads the platform's list of VMs.
	listInterval = time.Second
	// listObject is the list's name among the objects that VMs share. Its
	// version is the time it was read.
	listObject = "local/vms"
	// pullWait is how long a pull is held until there are news.
	maxPullWait = 500 * time.Millisecond
	// farEvery is how often a VM compares its copy with one of another zone.
	crossZoneInterval = time.Second
	// watchRetry is the wait after a failed call of the store.
	watchRetryDelay = 200 * time.Millisecond
)

// Options says who a VM is and whom it serves.
type Options struct {
	Self   pollendoor.VM
	ID     string // of this process
	TLS    *tls.Config
	Store  pollendoor.Store
	Mirror *mirror.Mirror
	Runner pollendoor.Runner // of this VM's own groups
	// Fill completes a heartbeat with what other parts have to say.
	Fill func(b *Beat)
	// Transfer takes units from a peer.
	Transfer func(t limit.Transfer) bool
	// ZonesOf returns the zones in which a group has targets.
	ZonesOf func(group string) []string
	// Asked hears that a peer has run short of units.
	Asked func(a Ask)
	// Cut reports whether a peer is out of reach, for tests.
	Cut func(addr string) bool
	Log zerolog.Logger
}

// Fleet is one VM's part in the fleet. It is safe for use by several
// goroutines.
type Fleet struct {
	options Options
	dialer  dialer
	view    atomic.Pointer[View]
	ctx     context.Context
	cancel  context.CancelFunc
	wg      *conc.WaitGroup

	mu              sync.Mutex
	members         map[string]Member
	listVersion     uint64 // version of the list
	everListed      map[string]bool
	listFirstReadAt time.Time
	selfListed      bool
	draining        bool

	heartbeatNow     chan []string
	listener         net.Listener
	runningExchanges sync.Map // forwarded exchange id to its cancel function
}

// New returns a fleet that does not listen yet.
func New(options Options) *Fleet {
	f := &Fleet{options: options, wg: conc.NewWaitGroup(), members: make(map[string]Member), heartbeatNow: make(chan []string, 1)}
	f.dialer.tls = options.TLS
	f.dialer.cut = options.Cut
	f.ctx, f.cancel = context.WithCancel(context.Background())
	f.publishView()
	return f
}

// Listen starts to serve peers on addr. It returns the address.
func (f *Fleet) Listen(addr string) (string, error) {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return "", errors.Wrap(err, "listen for peers")
	}
	f.listener = l
	f.options.Self.Peer = l.Addr().String()
	f.publishView()
	return f.options.Self.Peer, nil
}

// Start joins the fleet.
func (f *Fleet) Start() {
	s := drpcserver.NewWithOptions(f, drpcserver.Options{Manager: managerOptions()})
	f.wg.Go(func() {
		l := tls.NewListener(f.listener, f.options.TLS)
		if err := s.Serve(f.ctx, l); err != nil && f.ctx.Err() == nil {
			f.options.Log.Error().Err(err).Msg("peers' listener ended")
		}
	})
	f.wg.Go(f.heartbeatLoop)
	for _, p := range mirroredPrefixes {
		f.wg.Go(func() { f.watchLoop(p) })
	}
	f.wg.Go(f.listLoop)
	f.wg.Go(f.pullLoop)
	f.wg.Go(f.crossZoneLoop)
}

// Stop leaves the fleet.
func (f *Fleet) Stop() {
	f.cancel()
	if f.listener != nil {
		f.listener.Close()
	}
	f.wg.Wait()
	f.dialer.close()
}

// Drain announces that this VM takes no more work.
func (f *Fleet) Drain() {
	f.mu.Lock()
	f.draining = true
	f.mu.Unlock()
	f.publishView()
}

// View returns what is known of the fleet now.
func (f *Fleet) View() *View { return f.view.Load() }

func (f *Fleet) publishView() {
	f.mu.Lock()
	defer f.mu.Unlock()
	v := &View{Self: f.options.Self, Members: make(map[string]Member, len(f.members)), At: time.Now(), Drained: f.draining, SelfID: f.options.ID, Since: f.listFirstReadAt, InList: f.selfListed, Listed: f.everListed, ZonesOf: f.options.ZonesOf}
	for n, m := range f.members {
		v.Members[n] = m
	}
	f.view.Store(v)
}

func (f *Fleet) pause(d time.Duration) { pollendoor.Pause(f.ctx, d) }

// beatLoop sends heartbeats to this VM's neighbors, and at once to all that a
// doubt concerns.
func (f *Fleet) heartbeatLoop() {
	var notifyNow []string
	for f.ctx.Err() == nil {
		f.applyList()
		b := f.heartbeat()
		v := f.view.Load()
		for n := range v.neighbors() {
			if len(notifyNow) == 0 && v.peerSendsHeartbeat(n) {
				continue
			}
			f.wg.Go(func() { f.sendHeartbeat(v.Members[n], b) })
		}
		for _, n := range notifyNow {
			if m, ok := v.Members[n]; ok && !v.neighbors()[n] {
				f.wg.Go(func() { f.sendHeartbeat(m, b) })
			}
		}
		notifyNow = f.waitForNextHeartbeat(v.heartbeatInterval())
		f.publishView()
	}
}

// rest waits until the next heartbeat is due. It returns the VMs that a doubt
// concerns if one ended the wait.
func (f *Fleet) waitForNextHeartbeat(d time.Duration) []string {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case names := <-f.heartbeatNow:
		return names
	case <-f.ctx.Done():
	}
	return nil
}

// Nudge has a heartbeat sent at once, because this VM's opinion on a group's
// primary has changed. It goes to the group's other homes too.
func (f *Fleet) Nudge(group string) {
	names := []string{f.options.Self.Name}
	for _, h := range f.view.Load().Homes(group) {
		names = append(names, h.Name)
	}
	select {
	case f.heartbeatNow <- names:
	default: // one is about to be sent
	}
}

func (f *Fleet) heartbeat() Beat {
	b := Beat{Name: f.options.Self.Name, Zone: f.options.Self.Zone, Peer: f.options.Self.Peer, ID: f.options.ID}
	f.mu.Lock()
	b.Draining = f.draining
	f.mu.Unlock()
	if f.options.Fill != nil {
		f.options.Fill(&b)
	}
	return b
}

func (f *Fleet) sendHeartbeat(m Member, b Beat) {
	ctx, cancel := context.WithTimeout(f.ctx, callTimeout)
	defer cancel()
	var answer Beat
	if err := f.dialer.invoke(ctx, m.Peer, rpcBeat, &b, &answer); err != nil {
		return
	}
	f.receiveHeartbeat(answer)
}

// heard takes a heartbeat. One from a VM that the list does not have yet counts
// too, for the list lags.
func (f *Fleet) receiveHeartbeat(b Beat) {
	now := time.Now()
	f.mu.Lock()
	m, known := f.members[b.Name]
	if !known {
		m = Member{Listed: now}
	}
	m.VM.Name, m.VM.Zone, m.VM.Peer = b.Name, b.Zone, b.Peer
	m.ID, m.Heard, m.Beat = b.ID, now, b
	f.members[b.Name] = m
	f.mu.Unlock()
	if !known {
		f.publishView()
	}
}

// readList takes a newer list of VMs into the members.
func (f *Fleet) applyList() {
	o := f.options.Mirror.Get(listObject)
	var list []pollendoor.VM
	f.mu.Lock()
	defer f.mu.Unlock()
	if o.Version <= f.listVersion || json.Unmarshal(o.Value, &list) != nil {
		return
	}
	f.listVersion = o.Version
	now := time.Now()
	if f.listFirstReadAt.IsZero() {
		f.listFirstReadAt = now
	}
	f.selfListed = false
	everListed := make(map[string]bool, len(f.everListed)+len(list))
	for n := range f.everListed {
		everListed[n] = true
	}
	next := make(map[string]Member, len(list))
	for _, vm := range list {
		everListed[vm.Name] = true
		if vm.Name == f.options.Self.Name {
			f.selfListed = true
			continue
		}
		m, ok := f.members[vm.Name]
		if !ok {
			m = Member{Listed: now}
		}
		m.VM = vm
		next[vm.Name] = m
	}
	for n, m := range f.members {
		if _, ok := next[n]; !ok && now.Sub(m.Heard) <= HeardFresh {
			next[n] = m // it answers, the list lags
		}
	}
	f.members, f.everListed = next, everListed
}

// Send hands units to a peer and reports whether the matter is settled.
func (f *Fleet) Send(t limit.Transfer, peer string) bool {
	ctx, cancel := context.WithTimeout(f.ctx, callTimeout)
	defer cancel()
	var a transferAnswer
	err := f.dialer.invoke(ctx, peer, rpcTransfer, &t, &a)
	return err == nil && a.Settled
}

// Ask tells a peer that this VM has run short of units.
func (f *Fleet) Ask(a Ask, peer string) {
	ctx, cancel := context.WithTimeout(f.ctx, callTimeout)
	defer cancel()
	_ = f.dialer.invoke(ctx, peer, rpcAsk, &a, &emptyMessage{}) // a hint; it is asked again
}

// Vantages returns the fresh opinions of other VMs on a group's primary.
func (f *Fleet) Vantages(name string) []group.HealthVote {
	var list []group.HealthVote
	for _, m := range f.view.Load().Members {
		if o, ok := m.Beat.Opinions[name]; ok {
			list = append(list, group.HealthVote{VM: m.Name, Zone: m.Zone, Term: o.Term, Down: o.Down, CastAt: m.Heard})
		}
	}
	return list
}

// Rank returns this VM's place among the homes of a group, and whether it is
// one.
func (f *Fleet) Rank(name string) (int, bool) {
	v := f.view.Load()
	for i, h := range v.Homes(name) {
		if h.Name == v.Self.Name {
			return i, true
		}
	}
	return 0, false
}
