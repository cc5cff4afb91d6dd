package peers

import (
	"context"
	"crypto/tls"
	"encoding/json"
	"expvar"
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
	// heartbeatInterval is the time between heartbeats in a full mesh.
	heartbeatInterval = 300 * time.Millisecond
	// largeFleetHeartbeatInterval is the time between heartbeats in a fleet that
	// is too large for a full mesh.
	largeFleetHeartbeatInterval = 600 * time.Millisecond
	// callTimeout bounds one call to a peer.
	callTimeout = 600 * time.Millisecond
	// listInterval is the mean time between a watcher's reads of the platform's
	// list of VMs.
	listInterval = time.Second
	// listObject is the name under which the list of VMs is shared as an object.
	// Its version is the time it was read, in Unix milliseconds.
	listObject = "local/vms"
	// maxPullWait is how long a pull without updates waits for one.
	maxPullWait = 500 * time.Millisecond
	// crossZoneInterval is the mean time between a watcher's pulls from watchers
	// of any zone.
	crossZoneInterval = time.Second
	// watchRetryDelay is the delay after a failed call to the store or a peer.
	watchRetryDelay = 200 * time.Millisecond
)

// Options configures a Fleet.
type Options struct {
	Self   pollendoor.VM // this VM
	ID     string        // ID of this process: name of the VM, "#" and a random part
	TLS    *tls.Config   // for both ends of connections between VMs
	Store  pollendoor.Store
	Mirror *mirror.Mirror    // this VM's copies of the store's objects
	Runner pollendoor.Runner // runs exchanges of the groups that have their home on this VM
	// Fill adds the contributions of other components to a heartbeat.
	Fill func(b *Heartbeat)
	// Transfer receives units from a peer and reports whether the transfer is
	// settled.
	Transfer func(t limit.Transfer) bool
	// ZonesOf returns the zones in which a group has targets.
	ZonesOf func(group string) []string
	// Asked is called when a peer reports that it has run short of units.
	Asked func(a Ask)
	// Cut reports whether a peer is to be treated as unreachable. It is for
	// tests.
	Cut func(addr string) bool
	Log zerolog.Logger
}

// Fleet is one VM's membership in the fleet. It is safe for concurrent use.
type Fleet struct {
	options Options
	dialer  dialer
	view    atomic.Pointer[View]
	ctx     context.Context
	cancel  context.CancelFunc
	wg      *conc.WaitGroup

	mu              sync.Mutex
	members         map[string]Member
	listVersion     uint64          // version of the newest list of VMs applied
	everListed      map[string]bool // names of all VMs that any list contained
	listFirstReadAt time.Time       // when the first list was applied, zero before
	selfListed      bool            // whether the newest list contains this VM
	draining        bool            // whether this VM takes no more work
	pace            Pace            // of this VM's rounds of heartbeats
	progress        chan struct{}   // closed at the next heartbeat received, round or stop; nil if nobody waits

	heartbeatNow     chan []string // requests for an immediate heartbeat: names of its additional receivers
	listener         net.Listener
	runningExchanges sync.Map // cancel functions of forwarded exchanges, by exchange ID
}

// New returns a fleet that does not listen yet. Listen and Start follow.
func New(options Options) *Fleet {
	f := &Fleet{options: options, wg: conc.NewWaitGroup(), members: make(map[string]Member), heartbeatNow: make(chan []string, 1)}
	f.dialer.tls = options.TLS
	f.dialer.cut = options.Cut
	f.ctx, f.cancel = context.WithCancel(context.Background())
	f.publishView()
	return f
}

// Listen opens the listener for peers on addr and returns its actual address.
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

// Start joins the fleet: it serves peers and starts the background loops.
func (f *Fleet) Start() {
	s := drpcserver.NewWithOptions(f, drpcserver.Options{Manager: managerOptions()})
	f.wg.Go(func() {
		l := tls.NewListener(f.listener, f.options.TLS)
		if err := s.Serve(f.ctx, l); err != nil && f.ctx.Err() == nil {
			f.options.Log.Error().Err(err).Msg("listener for peers failed")
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

// Stop leaves the fleet: it closes the listener and all idle connections, and waits for the
// background loops to end.
func (f *Fleet) Stop() {
	f.cancel()
	f.mu.Lock()
	f.notifyProgress()
	f.mu.Unlock()
	if f.listener != nil {
		f.listener.Close()
	}
	f.wg.Wait()
	f.dialer.close()
}

// Drain announces to the peers that this VM takes no more work.
func (f *Fleet) Drain() {
	f.mu.Lock()
	f.draining = true
	f.mu.Unlock()
	f.publishView()
}

// View returns the current view of the fleet.
func (f *Fleet) View() *View { return f.view.Load() }

// publishView replaces the view by one of the current state.
func (f *Fleet) publishView() {
	f.mu.Lock()
	defer f.mu.Unlock()
	v := &View{Self: f.options.Self, Members: make(map[string]Member, len(f.members)), At: time.Now(), Pace: f.pace, Draining: f.draining, SelfID: f.options.ID, ListFirstReadAt: f.listFirstReadAt, SelfListed: f.selfListed, EverListed: f.everListed, ZonesOf: f.options.ZonesOf}
	for n, m := range f.members {
		v.Members[n] = m
	}
	f.view.Store(v)
}

// EachMember calls visit for every other VM with its newest heartbeat. The members in
// the view may lack the heartbeats of one interval. visit must not call f.
func (f *Fleet) EachMember(visit func(Member)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, m := range f.members {
		visit(m)
	}
}

// CatchingUp returns a channel that is closed when more may be known about the peers,
// if this VM has paused and they may not have answered since. Otherwise it returns nil.
func (f *Fleet) CatchingUp() <-chan struct{} {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.ctx.Err() != nil || !f.pace.CatchingUp(time.Now()) {
		return nil
	}
	if f.progress == nil {
		f.progress = make(chan struct{})
	}
	return f.progress
}

// notifyProgress wakes those who wait for CatchingUp. The caller holds mu.
func (f *Fleet) notifyProgress() {
	if f.progress != nil {
		close(f.progress)
		f.progress = nil
	}
}

// beginRound notes the beginning of a round of heartbeats.
func (f *Fleet) beginRound() {
	f.mu.Lock()
	now := time.Now()
	if f.pace.isLate(now) {
		f.options.Log.Warn().Dur("late", now.Sub(f.pace.last)).Msg("heartbeats are late, this process had paused")
		latePauses.Add(1)
	}
	f.pace.Round(now, intervalFor(len(f.members)))
	f.notifyProgress()
	f.mu.Unlock()
	f.publishView()
}

// latePauses counts the pauses of this process that its rounds of heartbeats showed.
var latePauses = expvar.NewInt("pollendoorPauses")

func (f *Fleet) pause(d time.Duration) { pollendoor.Pause(f.ctx, d) }

// heartbeatLoop periodically sends heartbeats to this VM's neighbors. A change
// of a health vote sends one at once, also to the group's other home VMs.
func (f *Fleet) heartbeatLoop() {
	var notifyNow []string
	for f.ctx.Err() == nil {
		f.applyList()
		f.beginRound()
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
	}
}

// waitForNextHeartbeat waits until the next heartbeat is due after d or is
// requested by RequestHeartbeat. In the latter case it returns the names of the
// VMs to send it to, otherwise nil.
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

// RequestHeartbeat requests an immediate heartbeat because this VM's vote on the
// health of a group's primary has changed. The heartbeat is sent to the neighbors
// and to the group's other home VMs.
func (f *Fleet) RequestHeartbeat(group string) {
	names := []string{f.options.Self.Name}
	for _, h := range f.view.Load().Homes(group) {
		names = append(names, h.Name)
	}
	select {
	case f.heartbeatNow <- names:
	default: // another request is already pending
	}
}

// heartbeat returns this VM's current heartbeat.
func (f *Fleet) heartbeat() Heartbeat {
	b := Heartbeat{Name: f.options.Self.Name, Zone: f.options.Self.Zone, Peer: f.options.Self.Peer, ID: f.options.ID}
	f.mu.Lock()
	b.Draining = f.draining
	f.mu.Unlock()
	if f.options.Fill != nil {
		f.options.Fill(&b)
	}
	return b
}

// sendHeartbeat sends a heartbeat to a peer and records the peer's own, which is
// the answer.
func (f *Fleet) sendHeartbeat(m Member, b Heartbeat) {
	ctx, cancel := context.WithTimeout(f.ctx, callTimeout)
	defer cancel()
	var answer Heartbeat
	if err := f.dialer.invoke(ctx, m.Peer, rpcBeat, &b, &answer); err != nil {
		return
	}
	f.receiveHeartbeat(answer)
}

// receiveHeartbeat records a heartbeat. A sender that the list of VMs does not
// contain yet becomes a member too, because the list lags behind.
func (f *Fleet) receiveHeartbeat(b Heartbeat) {
	now := time.Now()
	f.mu.Lock()
	m, known := f.members[b.Name]
	if !known {
		m = Member{FirstSeen: now}
	}
	m.VM.Name, m.VM.Zone, m.VM.Peer = b.Name, b.Zone, b.Peer
	m.ID, m.HeartbeatAt, m.Heartbeat = b.ID, now, b
	f.members[b.Name] = m
	f.notifyProgress()
	f.mu.Unlock()
	if !known {
		f.publishView()
	}
}

// applyList updates the members from the list of VMs if it is newer than the
// last one applied.
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
			m = Member{FirstSeen: now}
		}
		m.VM = vm
		next[vm.Name] = m
	}
	for n, m := range f.members {
		if _, ok := next[n]; !ok && now.Sub(m.HeartbeatAt) <= MaxHeartbeatAge {
			next[n] = m // still sends heartbeats: the list may lag behind
		}
	}
	f.members, f.everListed = next, everListed
}

// Send transfers units to a peer and reports whether the transfer is settled. If
// not, it must be repeated.
func (f *Fleet) Send(t limit.Transfer, peer string) bool {
	ctx, cancel := context.WithTimeout(f.ctx, callTimeout)
	defer cancel()
	var a transferAnswer
	err := f.dialer.invoke(ctx, peer, rpcTransfer, &t, &a)
	return err == nil && a.Settled
}

// Ask informs a peer that this VM has run short of units.
func (f *Fleet) Ask(a Ask, peer string) {
	ctx, cancel := context.WithTimeout(f.ctx, callTimeout)
	defer cancel()
	_ = f.dialer.invoke(ctx, peer, rpcAsk, &a, &emptyMessage{}) // only a hint: a lost request is repeated
}

// HealthVotes returns the votes of other VMs on the health of a group's primary,
// as of their newest heartbeats.
func (f *Fleet) HealthVotes(name string) []group.HealthVote {
	var list []group.HealthVote
	for _, m := range f.view.Load().Members {
		if o, ok := m.Heartbeat.HealthVotes[name]; ok {
			list = append(list, group.HealthVote{VM: m.Name, Zone: m.Zone, Term: o.Term, Down: o.Down, ReceivedAt: m.HeartbeatAt})
		}
	}
	return list
}

// Rank returns this VM's position among the home VMs of a group, starting at 0
// for the first, and whether it is one of them.
func (f *Fleet) Rank(name string) (int, bool) {
	v := f.view.Load()
	for i, h := range v.Homes(name) {
		if h.Name == v.Self.Name {
			return i, true
		}
	}
	return 0, false
}
