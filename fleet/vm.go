// Package fleet is a VM of the system on the platform: it watches configuration
// and targets, exchanges heartbeats with the VM that holds the duty, holds that
// duty itself when it comes to it, and gives callers' statements a way to
// targets. The decisions are in reign, caller, broker, roster, share and sample.
package fleet

import (
	"context"
	"math/rand/v2"
	"net"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
	"github.com/sourcegraph/conc"

	"github.com/pollendoor/pollendoor"
	"github.com/pollendoor/pollendoor/clock"
	"github.com/pollendoor/pollendoor/lease"
	"github.com/pollendoor/pollendoor/roster"
	"github.com/pollendoor/pollendoor/sample"
	"github.com/pollendoor/pollendoor/vmlist"
)

// Platform is what a VM needs of the platform.
type Platform struct {
	Store pollendoor.Objects
	Dial  pollendoor.DialTarget
	// Promote orders a promotion and returns its HTTP status.
	Promote func(ctx context.Context, group, target, holder string, token uint64) (int, error)
	// PromoteTime bounds a promotion call.
	PromoteTime time.Duration

	ConfigKind   string // kind of the configuration's object, with a slash
	ConfigName   string
	DecodeConfig func([]byte) (*pollendoor.Config, error)
	TargetsKind  string // kind of the targets' entries, with a slash
	DecodeTarget func(pollendoor.Object) (pollendoor.TargetInfo, error)
	// ReturnTime is how long an entry that has vanished may still come back.
	ReturnTime time.Duration
}

// VM is one VM. Settings, Platform and Log must be set before Run.
type VM struct {
	Settings Settings
	Platform Platform
	Log      zerolog.Logger
	// ConfigChanged is called after a new configuration is in force.
	ConfigChanged func()

	run       uint64 // identifies this process
	stats     Stats
	config    atomic.Pointer[configVersion]
	targets   roster.Roster
	entries   follower // of the targets' entries
	configs   follower // of the configuration
	homes     homes
	lanes     lanes
	duty      duty
	rates     rates
	beat      beat
	leaving   atomic.Bool
	served    lineLimit
	refused   lineLimit
	shareSeen uint64 // token of the holder that granted the shares

	leaseMu sync.Mutex
	lease   atomic.Pointer[lease.Lease]

	view  atomic.Pointer[vmlist.View]
	leads atomic.Pointer[[]vmlist.Peer] // of this VM's zone: they read the store for it
	rings sync.Map                      // *sample.Ring by group
	used  sync.Map                      // when a read last asked for a group's positions, by group

	asked int      // of the groups in used, the one that was asked for last; of the sender of heartbeats
	fates sync.Map // *fate by group
	lags  sync.Map // lag by target id

	failMu  sync.Mutex
	failing map[string]failures // by target, for those that fail
}

// configVersion is a configuration with its text, for other VMs.
type configVersion struct {
	*pollendoor.Config
	packed func() ([]byte, error)
}

func (v *VM) self() vmlist.Peer {
	return vmlist.Peer{Name: v.Settings.VM, Zone: v.Settings.Zone, IP: v.Settings.IP, Leaving: v.leaving.Load()}
}

func (v *VM) addr(ip string) string { return net.JoinHostPort(ip, strconv.Itoa(v.Settings.PeerPort)) }

// Run runs the VM until ctx ends.
func (v *VM) Run(ctx context.Context) error {
	v.run = rand.Uint64()
	v.lease.Store(&lease.Lease{})
	v.view.Store(&vmlist.View{Peers: []vmlist.Peer{v.self()}})
	v.leads.Store(&[]vmlist.Peer{})
	v.homes.vm = v
	v.lanes.vm = v
	v.duty.vm = v
	v.beat.vm = v
	v.rates.vm = v
	v.rates.configure(firstPeers)
	v.entries, v.configs = v.targetsFollower(), v.configFollower()
	if err := v.beat.listen(); err != nil {
		return err
	}
	if err := v.lanes.listen(ctx); err != nil {
		return err
	}
	var wg conc.WaitGroup
	wg.Go(func() { v.beat.receive() })
	wg.Go(func() { v.lanes.serve() })
	wg.Go(func() { v.watchConfig(ctx) })
	wg.Go(func() { v.pollStore(ctx) })
	wg.Go(func() { v.watchTargets(ctx) })
	wg.Go(func() { v.findRecord(ctx) })
	wg.Go(func() { v.beat.send(ctx) })
	wg.Go(func() { v.homes.tend(ctx) })
	wg.Go(func() { v.duty.hold(ctx) })
	<-ctx.Done()
	v.beat.close()
	v.lanes.close()
	wg.Wait()
	return nil
}

// firstPeers is the number of VMs assumed before the duty holder has told it.
const firstPeers = 16

// contactLoss is how long a VM without a lease still counts as ready: a change
// of the duty holder must not take the whole fleet out of rotation.
const contactLoss = 1500 * time.Millisecond

// Ready reports whether the VM can serve callers.
func (v *VM) Ready() bool {
	if v.leaving.Load() || v.config.Load() == nil || v.targets.Len() == 0 {
		return false
	}
	l := v.lease.Load()
	return l.Until > 0 && clock.Now() < l.Until+contactLoss
}

// Stats returns the VM's counters.
func (v *VM) Stats() *Stats { return &v.stats }

// changeLease updates the lease under its lock.
func (v *VM) changeLease(change func(*lease.Lease) bool) bool {
	v.leaseMu.Lock()
	defer v.leaseMu.Unlock()
	l := *v.lease.Load()
	if !change(&l) {
		return false
	}
	v.lease.Store(&l)
	return true
}

func (v *VM) ring(group string) *sample.Ring {
	if r, ok := v.rings.Load(group); ok {
		return r.(*sample.Ring)
	}
	r, _ := v.rings.LoadOrStore(group, &sample.Ring{})
	return r.(*sample.Ring)
}

func (v *VM) fate(group string) *fate {
	if f, ok := v.fates.Load(group); ok {
		return f.(*fate)
	}
	f, _ := v.fates.LoadOrStore(group, &fate{})
	return f.(*fate)
}
