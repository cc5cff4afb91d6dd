// Package fleet runs one VM of the system on the platform. The VM watches the
// configuration and the targets, exchanges heartbeats with the leader of the fleet,
// leads the fleet itself when it is elected, and routes callers' statements to
// targets. The decisions are made in packages lease, caller, broker, roster, quota
// and sample.
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
	"github.com/pollendoor/pollendoor/evac"
	"github.com/pollendoor/pollendoor/lease"
	"github.com/pollendoor/pollendoor/roster"
	"github.com/pollendoor/pollendoor/sample"
	"github.com/pollendoor/pollendoor/vmlist"
)

// Platform holds the services of the platform that a VM uses.
type Platform struct {
	Store pollendoor.Objects    // metadata store
	Dial  pollendoor.DialTarget // connects to a target
	// Promote orders the promotion of a target to the primary of a group, in the name
	// of the leader with the given fencing token, and returns its HTTP status code.
	Promote func(ctx context.Context, group, target, leader string, token uint64) (int, error)
	// PromoteTime bounds the duration of a promotion call.
	PromoteTime time.Duration

	ConfigKind   string                                                 // prefix of the configuration object's name, ending in a slash
	ConfigName   string                                                 // full name of the configuration object
	DecodeConfig func([]byte) (*pollendoor.Config, error)               // parses the configuration
	TargetsKind  string                                                 // prefix of the target entries' names, ending in a slash
	DecodeTarget func(pollendoor.Object) (pollendoor.TargetInfo, error) // parses a target entry
	// ReturnTime is how long a target entry that has vanished may still reappear.
	ReturnTime time.Duration

	EvacuationsKind  string                                  // prefix of the evacuation entries' names, ending in a slash
	DecodeEvacuation func(pollendoor.Object) (string, error) // returns the zone of an evacuation entry
}

// VM is one VM of the fleet. Settings, Platform and Log must be set before Run.
type VM struct {
	Settings Settings
	Platform Platform
	Log      zerolog.Logger
	// ConfigChanged is called after a new configuration has come into force.
	ConfigChanged func()

	processID          uint64 // random number that identifies this process
	stats              Stats
	config             atomic.Pointer[loadedConfig]
	targets            roster.Roster
	targetFollower     objectFollower // copies the target entries
	configFollower     objectFollower // copies the configuration
	evacuationFollower objectFollower // copies the evacuation entries
	homeVMs            homeVMs
	streams            streams
	leader             leader
	admission          admission
	messenger          messenger
	stalls             stallDetector
	retries            retryBudget
	leaving            atomic.Bool
	answerUntil        atomic.Int64 // end of the time in which statements are answered, on the boot clock; zero unless the VM stops
	servedLog          logLimiter
	refusedLog         logLimiter
	grantToken         uint64 // token of the leader that granted the quota shares in use

	leaseMu sync.Mutex // serializes changes of lease, and guards grantToken
	lease   atomic.Pointer[lease.Lease]

	view          atomic.Pointer[vmlist.View]
	coordinators  atomic.Pointer[[]vmlist.Peer] // coordinators of this VM's zone, which read the store for it
	positionRings sync.Map                      // *sample.Ring by group
	positionsUsed sync.Map                      // time.Duration by group: when a read last needed the group's positions

	wantedCursor  int      // index of the group in positionsUsed that was requested last; used only by the sender of heartbeats
	healthByGroup sync.Map // *primaryHealth by group
	lagByTarget   sync.Map // lagState by target ID
	replicaLags   sync.Map // replicaLag by target ID, in adaptive groups

	evacuations  atomic.Pointer[evac.State] // nil if evacuations are not followed
	evacuationMu sync.Mutex                 // serializes changes of evacuations, and guards the following
	takeovers    evac.Takeovers
	// evacuationEra is the newest era of the store in which a list lacked known evacuations,
	// and evacuationEraSince when the first such list came.
	evacuationEra      uint64
	evacuationEraSince time.Duration
	ignoredEntries     map[string]uint64 // versions of the evacuation entries that were logged as ignored, by name

	failureMu    sync.Mutex
	failureRates map[string]failureRate // by target ID, only of targets that have failed lately
}

// loadedConfig is a configuration with its compressed text, which other VMs may
// request.
type loadedConfig struct {
	*pollendoor.Config
	compressed func() ([]byte, error)
}

// selfPeer returns this VM as other VMs see it.
func (v *VM) selfPeer() vmlist.Peer {
	return vmlist.Peer{Name: v.Settings.VM, Zone: v.Settings.Zone, IP: v.Settings.IP, Leaving: v.leaving.Load()}
}

// peerAddr returns the address for VMs at the VM with the given IP.
func (v *VM) peerAddr(ip string) string {
	return net.JoinHostPort(ip, strconv.Itoa(v.Settings.PeerPort))
}

// Run runs the VM until ctx ends. It returns an error if an address for other VMs
// can't be used.
func (v *VM) Run(ctx context.Context) error {
	v.processID = rand.Uint64()
	v.lease.Store(&lease.Lease{})
	v.view.Store(&vmlist.View{Peers: []vmlist.Peer{v.selfPeer()}})
	v.coordinators.Store(&[]vmlist.Peer{})
	v.targets.AssumedDrain = v.assumedDrain()
	v.homeVMs.vm = v
	v.streams.vm = v
	v.leader.vm = v
	v.messenger.vm = v
	v.admission.vm = v
	v.admission.start(clock.Now())
	v.admission.configure(0) // the number of VMs is not known yet
	v.startEvacuations()
	v.targetFollower, v.configFollower, v.evacuationFollower = v.newTargetFollower(), v.newConfigFollower(), v.newEvacuationFollower()
	if err := v.messenger.listen(); err != nil {
		return err
	}
	if err := v.streams.listen(ctx); err != nil {
		return err
	}
	var wg conc.WaitGroup
	wg.Go(func() { v.messenger.receive() })
	wg.Go(func() { v.streams.serve() })
	wg.Go(func() { v.watchConfig(ctx) })
	wg.Go(func() { v.pollStore(ctx) })
	wg.Go(func() { v.watchTargets(ctx) })
	wg.Go(func() { v.watchEvacuations(ctx) })
	wg.Go(func() { v.lookUpRecord(ctx) })
	wg.Go(func() { v.messenger.run(ctx) })
	wg.Go(func() { v.homeVMs.maintain(ctx) })
	wg.Go(func() { v.leader.run(ctx) })
	<-ctx.Done()
	v.messenger.close()
	v.streams.close()
	wg.Wait()
	return nil
}

// readyWithoutLease is how long a VM counts as ready after its lease has expired: a
// change of the leader must not make the whole fleet unready.
const readyWithoutLease = 1500 * time.Millisecond

// Ready reports whether the VM can serve callers.
func (v *VM) Ready() bool {
	if v.leaving.Load() || v.config.Load() == nil || v.targets.Len() == 0 {
		return false
	}
	l := v.lease.Load()
	return l.Until > 0 && clock.Now() < l.Until+readyWithoutLease
}

// Stats returns the VM's counters.
func (v *VM) Stats() *Stats { return &v.stats }

// updateLease changes the lease under its lock. It reports whether change has
// accepted the update.
func (v *VM) updateLease(change func(*lease.Lease) bool) bool {
	v.leaseMu.Lock()
	defer v.leaseMu.Unlock()
	l := *v.lease.Load()
	if !change(&l) {
		return false
	}
	v.lease.Store(&l)
	return true
}

// positionRing returns the ring of log positions of a group's primary.
func (v *VM) positionRing(group string) *sample.Ring {
	if r, ok := v.positionRings.Load(group); ok {
		return r.(*sample.Ring)
	}
	r, _ := v.positionRings.LoadOrStore(group, &sample.Ring{})
	return r.(*sample.Ring)
}

// primaryHealth returns what this VM has observed of a group's primary.
func (v *VM) primaryHealth(group string) *primaryHealth {
	if h, ok := v.healthByGroup.Load(group); ok {
		return h.(*primaryHealth)
	}
	h, _ := v.healthByGroup.LoadOrStore(group, &primaryHealth{})
	return h.(*primaryHealth)
}
