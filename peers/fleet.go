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
	beatEvery = 300 * time.Millisecond
	// ringEvery is the time between heartbeats in a fleet too large for a full
	// mesh.
	ringEvery   = 600 * time.Millisecond
	beatTimeout = 600 * time.Millisecond
	// listEvery is how often a watcher reads the platform's list of VMs.
	listEvery = time.Second
	// listObject is the list's name among the objects that VMs share. Its
	// version is the time it was read.
	listObject = "local/vms"
	// pullWait is how long a pull is held until there are news.
	pullWait = 500 * time.Millisecond
	// farEvery is how often a VM compares its copy with one of another zone.
	farEvery = time.Second
	// watchRetry is the wait after a failed call of the store.
	watchRetry = 200 * time.Millisecond
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
	opt    Options
	dialer dialer
	view   atomic.Pointer[View]
	ctx    context.Context
	cancel context.CancelFunc
	wg     *conc.WaitGroup

	mu      sync.Mutex
	members map[string]Member
	listed  uint64 // version of the list
	ever    map[string]bool
	since   time.Time
	inList  bool
	drained bool

	nudge    chan []string
	listener net.Listener
	running  sync.Map // forwarded exchange id to its cancel function
}

// New returns a fleet that does not listen yet.
func New(opt Options) *Fleet {
	f := &Fleet{opt: opt, wg: conc.NewWaitGroup(), members: make(map[string]Member), nudge: make(chan []string, 1)}
	f.dialer.tls = opt.TLS
	f.dialer.cut = opt.Cut
	f.ctx, f.cancel = context.WithCancel(context.Background())
	f.publish()
	return f
}

// Listen starts to serve peers on addr. It returns the address.
func (f *Fleet) Listen(addr string) (string, error) {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return "", errors.Wrap(err, "listen for peers")
	}
	f.listener = l
	f.opt.Self.Peer = l.Addr().String()
	f.publish()
	return f.opt.Self.Peer, nil
}

// Start joins the fleet.
func (f *Fleet) Start() {
	s := drpcserver.NewWithOptions(f, drpcserver.Options{Manager: managerOptions()})
	f.wg.Go(func() {
		l := tls.NewListener(f.listener, f.opt.TLS)
		if err := s.Serve(f.ctx, l); err != nil && f.ctx.Err() == nil {
			f.opt.Log.Error().Err(err).Msg("peers' listener ended")
		}
	})
	f.wg.Go(f.beatLoop)
	for _, p := range shared {
		f.wg.Go(func() { f.watchLoop(p) })
	}
	f.wg.Go(f.listLoop)
	f.wg.Go(f.pullLoop)
	f.wg.Go(f.farLoop)
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
	f.drained = true
	f.mu.Unlock()
	f.publish()
}

// View returns what is known of the fleet now.
func (f *Fleet) View() *View { return f.view.Load() }

func (f *Fleet) publish() {
	f.mu.Lock()
	defer f.mu.Unlock()
	v := &View{Self: f.opt.Self, Members: make(map[string]Member, len(f.members)), At: time.Now(), Drained: f.drained, SelfID: f.opt.ID, Since: f.since, InList: f.inList, Listed: f.ever, ZonesOf: f.opt.ZonesOf}
	for n, m := range f.members {
		v.Members[n] = m
	}
	f.view.Store(v)
}

func (f *Fleet) pause(d time.Duration) { pollendoor.Pause(f.ctx, d) }

// beatLoop sends heartbeats to this VM's neighbors, and at once to all that a
// doubt concerns.
func (f *Fleet) beatLoop() {
	var concerned []string
	for f.ctx.Err() == nil {
		f.readList()
		b := f.beat()
		v := f.view.Load()
		for n := range v.neighbors() {
			if len(concerned) == 0 && v.answersOnly(n) {
				continue
			}
			f.wg.Go(func() { f.beatTo(v.Members[n], b) })
		}
		for _, n := range concerned {
			if m, ok := v.Members[n]; ok && !v.neighbors()[n] {
				f.wg.Go(func() { f.beatTo(m, b) })
			}
		}
		concerned = f.rest(v.beatEvery())
		f.publish()
	}
}

// rest waits until the next heartbeat is due. It returns the VMs that a doubt
// concerns if one ended the wait.
func (f *Fleet) rest(d time.Duration) []string {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case names := <-f.nudge:
		return names
	case <-f.ctx.Done():
	}
	return nil
}

// Nudge has a heartbeat sent at once, because this VM's opinion on a group's
// primary has changed. It goes to the group's other homes too.
func (f *Fleet) Nudge(group string) {
	names := []string{f.opt.Self.Name}
	for _, h := range f.view.Load().Homes(group) {
		names = append(names, h.Name)
	}
	select {
	case f.nudge <- names:
	default: // one is about to be sent
	}
}

func (f *Fleet) beat() Beat {
	b := Beat{Name: f.opt.Self.Name, Zone: f.opt.Self.Zone, Peer: f.opt.Self.Peer, ID: f.opt.ID}
	f.mu.Lock()
	b.Draining = f.drained
	f.mu.Unlock()
	if f.opt.Fill != nil {
		f.opt.Fill(&b)
	}
	return b
}

func (f *Fleet) beatTo(m Member, b Beat) {
	ctx, cancel := context.WithTimeout(f.ctx, beatTimeout)
	defer cancel()
	var answer Beat
	if err := f.dialer.invoke(ctx, m.Peer, rpcBeat, &b, &answer); err != nil {
		return
	}
	f.heard(answer)
}

// heard takes a heartbeat. One from a VM that the list does not have yet counts
// too, for the list lags.
func (f *Fleet) heard(b Beat) {
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
		f.publish()
	}
}

// readList takes a newer list of VMs into the members.
func (f *Fleet) readList() {
	o := f.opt.Mirror.Get(listObject)
	var list []pollendoor.VM
	f.mu.Lock()
	defer f.mu.Unlock()
	if o.Version <= f.listed || json.Unmarshal(o.Value, &list) != nil {
		return
	}
	f.listed = o.Version
	now := time.Now()
	if f.since.IsZero() {
		f.since = now
	}
	f.inList = false
	ever := make(map[string]bool, len(f.ever)+len(list))
	for n := range f.ever {
		ever[n] = true
	}
	next := make(map[string]Member, len(list))
	for _, vm := range list {
		ever[vm.Name] = true
		if vm.Name == f.opt.Self.Name {
			f.inList = true
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
	f.members, f.ever = next, ever
}

// Send hands units to a peer and reports whether the matter is settled.
func (f *Fleet) Send(t limit.Transfer, peer string) bool {
	ctx, cancel := context.WithTimeout(f.ctx, beatTimeout)
	defer cancel()
	var a transferAnswer
	err := f.dialer.invoke(ctx, peer, rpcTransfer, &t, &a)
	return err == nil && a.Settled
}

// Ask tells a peer that this VM has run short of units.
func (f *Fleet) Ask(a Ask, peer string) {
	ctx, cancel := context.WithTimeout(f.ctx, beatTimeout)
	defer cancel()
	_ = f.dialer.invoke(ctx, peer, rpcAsk, &a, &empty{}) // a hint; it is asked again
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
