// Package soak runs a fleet of pollenvm processes on loopback against fakes of the
// platform, injects random faults from outside the processes, and checks the
// guarantees to callers meanwhile. Proxies delay, reset or block connections in one
// or both directions, signals stop, pause, kill and restart processes, the store
// becomes unavailable, loses answers and drops its history, and targets become
// unreachable and lose answers. Drawn deployments may follow evacuations: zones are then
// evacuated at random, their targets start anew meanwhile, and the run checks when requests
// reached their targets (EVAC), how many reached a target that is cold (FAILBACK) and that
// statements of a route that allows one region ran only there (HOME).
package soak

import (
	"cmp"
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/conc"

	"github.com/pollendoor/pollendoor/platform/fake"
)

const (
	// gracePeriod is the time a process has to exit after SIGTERM, as on the
	// platform.
	gracePeriod = 6 * time.Second
	// startTimeout limits the start of the fleet. recoveryTimeout limits the time
	// from the end of the last fault to the first success of each caller; it is the
	// platform's own limit, recoveryS.
	startTimeout    = 15 * time.Second
	recoveryTimeout = 12 * time.Second
	// meanFaultGap is the mean time between the starts of two faults, meanFaultTime
	// the mean duration of a fault. The duration is longer, so faults overlap.
	meanFaultGap  = 700 * time.Millisecond
	meanFaultTime = 2500 * time.Millisecond
	// Each VM has its own IP address, so all VMs use the same ports.
	callersPort, readyPort, metricsPort, peerPort = 7301, 7302, 7303, 7310
)

var zones = []string{"north", "south", "west"}

// Run is the configuration and state of one soak run. Binary and Dir must be set.
type Run struct {
	Seed     uint64        // seed of the faults
	VMs      int           // number of VM processes; zero means six
	Duration time.Duration // how long faults are injected; zero means ten seconds
	Binary   string        // path of the pollenvm program
	Dir      string        // directory for the settings and logs of the processes
	// Draw draws the deployment from the seed. A run that does not has a fixed one.
	Draw bool
	// Restores makes the store come back from older copies during the run. It does not change
	// what else a seed draws.
	Restores bool
	// Deployment is what the run plays. Do sets it.
	Deployment Deployment
	// First is the last byte of the first VM's address, 127.0.1.First; zero means
	// one.
	First int

	rand    *rand.Rand
	store   *fake.Store
	groups  []*fake.LineGroup
	proxies map[string]*tcpProxy // in front of targets, by target ID, and from VMs to the store, by VM name
	procs   []*process
	checks  checks
	stalls  stalls

	mu       sync.Mutex
	version  int    // version of the configuration
	roam     int    // index of the group of the roaming route
	maxToken uint64 // largest fencing token of a promotion

	cold        map[string]bool   // targets whose entries say that they are cold
	states      map[string]string // states in the targets' entries
	evacuations []evacuation      // that have ended
	coldTimes   []coldTime        // that have ended

	promotedMu sync.Mutex
	promoted   map[string][]time.Time // times of promotions, by group
}

// process is one VM process.
type process struct {
	name     string
	addr     string // address of the listener for callers
	settings string // path of the settings file
	log      *os.File
	signalMu sync.Mutex // held while a sequence of signals, such as stop and continue, is sent

	mu    sync.Mutex
	cmd   *exec.Cmd
	stops []time.Time // times of SIGTERM
}

// Report is the result of a run.
type Report struct {
	Seed       uint64         // seed of the run
	Faults     []string       // descriptions of the injected faults, in order
	Statements map[string]int // number of statements, by code
	Promotions int            // number of promotions
	RolledBack int            // number of acknowledged writes that a promotion rolled back
	Violations []string       // descriptions of violated guarantees
	Evacuated  []string       // of each evacuation, when the last request reached the zone's targets
	Stall      time.Duration  // longest time for which the machine stood still
}

// Do starts the fleet and the callers, injects the faults and checks the guarantees.
// Violations are in the report; an error means that the run itself failed.
func (r *Run) Do(ctx context.Context) (Report, error) {
	if r.Draw {
		r.Deployment = drawDeployment(r.Seed, r.VMs)
	} else {
		r.Deployment = fixedDeployment(cmp.Or(r.VMs, 6))
	}
	r.VMs = r.Deployment.VMs
	if err := r.Deployment.write(r.Dir); err != nil {
		return Report{}, errors.Wrap(err, "write deployment")
	}
	if r.Duration == 0 {
		r.Duration = 10 * time.Second
	}
	if r.First == 0 {
		r.First = 1
	}
	r.rand = rand.New(rand.NewPCG(r.Seed, 0))
	r.cold, r.states = make(map[string]bool), make(map[string]string)
	r.proxies, r.promoted = make(map[string]*tcpProxy), make(map[string][]time.Time)
	rep := Report{Seed: r.Seed}
	defer r.stop()
	if err := r.start(); err != nil {
		return rep, err
	}
	callers := r.callers()
	if err := r.awaitServed(callers, time.Now(), startTimeout); err != nil {
		return rep, err
	}
	runCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	var wg conc.WaitGroup
	wg.Go(func() { r.stalls.watch(runCtx) })
	for _, c := range callers {
		wg.Go(func() { c.run(runCtx) })
	}
	if r.Draw {
		for _, c := range r.extraCallers() {
			wg.Go(func() { c.run(runCtx) })
		}
	}
	rep.Faults = r.withEvacuations(ctx, func() []string { return r.injectFaults(ctx) })
	faultsEnded := time.Now()
	notServed := r.notRecovered(callers, faultsEnded)
	cancel()
	wg.Wait()
	r.checks.checkCommitted(r)
	if time.Duration(r.stalls.longest.Load()) <= maxPlaceStall {
		r.checks.checkPlaces(r)
	}
	rep.Evacuated = r.lastRequests()
	rep.Stall = time.Duration(r.stalls.longest.Load())
	if r.Deployment.PlannedOnly && !r.stalls.isLong() {
		r.checks.checkUnanswered(r)
	}
	rep.Statements, rep.RolledBack, rep.Violations = r.checks.counts, r.checks.rolledBack, append(r.checks.violations, notServed...)
	r.promotedMu.Lock()
	defer r.promotedMu.Unlock()
	for _, list := range r.promoted {
		rep.Promotions += len(list)
	}
	return rep, ctx.Err()
}

// start starts the fakes, the proxies and the VM processes.
func (r *Run) start() error {
	for _, drawn := range r.Deployment.Groups {
		g := &fake.LineGroup{
			Group: drawn.Name, ReplicationLag: drawn.Lag, StatementTime: drawn.StatementTime, MaxConns: drawn.MaxConns,
			Slots: drawn.Slots, SyncReplicas: drawn.SyncReplicas, PromoteTime: drawn.PromoteTime,
		}
		for i := range drawn.Targets {
			g.Zones = append(g.Zones, zones[i%r.Deployment.Zones])
		}
		g.OnPromote = func(p fake.Promotion) { r.notePromotion(drawn, p) }
		if err := g.Start(); err != nil {
			return errors.Wrap(err, "start targets")
		}
		r.groups = append(r.groups, g)
	}
	r.store = &fake.Store{PageSize: 4, Promote: r.promote}
	address := r.store.Start()
	if r.Restores {
		r.store.SetEra(1)
	}
	for _, g := range r.groups {
		for _, m := range g.Members() {
			proxy, err := newProxy(m.Addr)
			if err != nil {
				return errors.Wrap(err, "start proxy of a target")
			}
			r.proxies[m.ID] = proxy
			r.register(g, m, "ready")
		}
	}
	r.configure()
	for i := range r.VMs {
		proxy, err := newProxy(address)
		if err != nil {
			return errors.Wrap(err, "start proxy of the store")
		}
		p, err := r.newProcess(i, proxy.addr(), address)
		if err != nil {
			return err
		}
		r.proxies[p.name] = proxy
		r.procs = append(r.procs, p)
		if err := p.start(r.Binary); err != nil {
			return err
		}
	}
	return nil
}

// register writes the entry of a target with its state to the store. An empty state stands
// for the one before.
func (r *Run) register(g *fake.LineGroup, m *fake.LineMember, state string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	state = cmp.Or(state, r.states[m.ID])
	r.states[m.ID] = state
	coldLeft := 0
	if r.cold[m.ID] {
		coldLeft = 10_000
	}
	r.store.Set("servers", m.ID, map[string]any{
		"service": g.Group, "address": r.proxies[m.ID].addr(), "zone": m.Zone, "version": "v1", "slots": cmp.Or(g.Slots, 3),
		"state": state, "coldLeftMs": coldLeft, "dbRole": "replica", "seq": 1, "born": 1,
	})
}

// newProcess writes the settings file of VM number i and creates its log file.
func (r *Run) newProcess(i int, store, cloud string) (*process, error) {
	ip, name := fmt.Sprintf("127.0.1.%d", r.First+i), fmt.Sprintf("vm%d", i+1)
	zone := zones[i%r.Deployment.Zones]
	text := fmt.Sprintf("vm: %s\nzone: %s\nregion: %s\nip: %s\ncallers: %q\nready: %q\nmetrics: %q\npeerPort: %d\nstore: %q\ncloud: %q\n"+
		"memoryMB: 284\ncpu: 1\nzones: {north: north, south: south, west: west}\ngraceS: %g\nquotaWindowS: 5\nquotaExcess: 0.1\nquotaMargin: 20\n",
		name, zone, zone, ip, port(ip, callersPort), port(ip, readyPort), port(ip, metricsPort), peerPort, store, cloud, r.Deployment.Grace.Seconds())
	// Another run with the same addresses would mix its VMs and callers with this one's.
	l, err := net.Listen("tcp4", port(ip, callersPort))
	if err != nil {
		return nil, errors.Wrap(err, "address of a VM")
	}
	l.Close()
	if d := r.Deployment.EvacuateTime; d > 0 {
		text += fmt.Sprintf("evacuateMs: %d\ncoldExcess: %g\ncoldMargin: %d\n", d.Milliseconds(), coldExcess, coldMargin)
	}
	p := &process{name: name, addr: port(ip, callersPort), settings: filepath.Join(r.Dir, name+".yaml")}
	if err := os.WriteFile(p.settings, []byte(text), 0o600); err != nil {
		return nil, err
	}
	p.log, err = os.Create(filepath.Join(r.Dir, name+".log"))
	return p, err
}

func port(ip string, n int) string { return ip + ":" + strconv.Itoa(n) }

// configure writes the next version of the configuration to the store.
func (r *Run) configure() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.version++
	var routes, services []any
	for _, g := range r.groups {
		services = append(services, map[string]any{"name": g.Group, "maxConns": g.MaxConns, "syncReplicas": g.SyncReplicas, "coldStartS": 30, "coldPerS": r.coldPerS(g.Group)})
		for _, kind := range []string{"primary", "bounded_staleness", "read_your_writes"} {
			routes = append(routes, r.route(g.Group+"-"+kind, kind, g.Group))
		}
	}
	routes = append(routes, r.route(roamRoute, "read_your_writes", r.groups[r.roam].Group))
	home := r.route(homeRoute, "bounded_staleness", r.groups[0].Group)
	home["regionsAllowed"] = zones[:1]
	routes = append(routes, home)
	r.store.Set("config", "main", map[string]any{
		"version": r.version, "routes": routes, "services": services, "limits": map[string]any{"txIdleMs": 3000},
		"tenants": []any{map[string]any{"name": "festa", "apiKeys": []string{"k1"}, "ratePerS": 5000, "burst": 5000}},
	})
}

// route returns a route of the configuration.
func (r *Run) route(host, kind, group string) map[string]any {
	timeout := r.Deployment.RouteTimeout.Milliseconds()
	return map[string]any{
		"name": host, "host": host, "pathPrefix": "/", "kind": kind, "timeoutMs": timeout, "goalMs": timeout,
		"priority": 1, "service": group, "maxAttempts": 2, "maxStalenessMs": r.Deployment.Staleness.Milliseconds(), "public": false,
	}
}

// moveRoute moves the roaming route to another group, and back after d.
func (r *Run) moveRoute(d time.Duration) {
	for _, step := range []int{1, len(r.groups) - 1} {
		r.mu.Lock()
		r.roam = (r.roam + step) % len(r.groups)
		r.mu.Unlock()
		r.configure()
		time.Sleep(d)
	}
}

// promote handles the platform call that promotes a target and returns the HTTP
// status. Fencing tokens must never decrease.
func (r *Run) promote(group, target, _, token string) int {
	n, err := strconv.ParseUint(token, 10, 64)
	r.mu.Lock()
	defer r.mu.Unlock()
	if err != nil || n < r.maxToken {
		r.checks.addViolation("ONE: promotion with token %q after %d", token, r.maxToken)
	}
	r.maxToken = max(r.maxToken, n)
	for _, g := range r.groups {
		if g.Group != group {
			continue
		}
		if !g.Promote(target) {
			return http.StatusConflict
		}
		return http.StatusOK
	}
	return http.StatusNotFound
}

// notePromotion records a promotion that has taken effect.
func (r *Run) notePromotion(g Group, p fake.Promotion) {
	now := time.Now()
	r.promotedMu.Lock()
	r.promoted[g.Name] = append(r.promoted[g.Name], now)
	r.promotedMu.Unlock()
	if g.SyncReplicas > 0 {
		r.checks.checkPromoted(g.Name, p, now)
	}
}

// mayBeRolledBack reports whether a promotion may have rolled back a commit that was sent
// at a time. Commits of a group with synchronous replicas are never rolled back.
func (r *Run) mayBeRolledBack(group string, sent time.Time) bool {
	for _, g := range r.Deployment.Groups {
		if g.Name == group && g.SyncReplicas > 0 {
			return false
		}
	}
	return r.promotedSince(group, sent)
}

// promotedSince reports whether a promotion of the group took effect after at.
func (r *Run) promotedSince(group string, at time.Time) bool {
	r.promotedMu.Lock()
	defer r.promotedMu.Unlock()
	for _, t := range r.promoted[group] {
		if t.After(at) {
			return true
		}
	}
	return false
}

// awaitServed waits until a write and a read of every caller succeed. It returns an
// error if that takes longer than limit after since.
func (r *Run) awaitServed(callers []*caller, since time.Time, limit time.Duration) error {
	for _, c := range callers {
		for !c.writeAndRead() {
			if time.Since(since) > limit {
				return errors.Newf("statements on route %s of %s did not succeed within %v", c.route, c.vm.name, limit)
			}
			time.Sleep(20 * time.Millisecond)
		}
	}
	return nil
}

// notRecovered returns a violation for each caller without a success within
// recoveryTimeout after the end of the last fault. In an overload one caller of each group
// is enough, as any other one may be refused.
func (r *Run) notRecovered(callers []*caller, faultsEnded time.Time) []string {
	var notServed []string
	for _, c := range callers {
		isServed := func() bool {
			return slices.ContainsFunc(callers, func(other *caller) bool {
				return (other == c || r.Deployment.Overload && other.group == c.group) && !other.servedAt().Before(faultsEnded)
			})
		}
		for !isServed() && time.Since(faultsEnded) < recoveryTimeout {
			time.Sleep(20 * time.Millisecond)
		}
		if !isServed() {
			notServed = append(notServed, fmt.Sprintf("RECOVER: %s of %s not served %v after the last fault", c.route, c.vm.name, recoveryTimeout))
		}
	}
	return notServed
}

// stop stops the processes, proxies and fakes that this run started, and no others.
func (r *Run) stop() {
	for _, p := range r.procs {
		p.kill()
		p.log.Close()
	}
	for _, proxy := range r.proxies {
		proxy.close()
	}
	for _, g := range r.groups {
		g.Close()
	}
	if r.store != nil {
		r.store.Close()
	}
}

func (p *process) start(binary string) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cmd = exec.Command(binary, "serve")
	p.cmd.Env = []string{"POLLENDOOR_NODE_FILE=" + p.settings}
	p.cmd.Stdout, p.cmd.Stderr = p.log, p.log
	return errors.Wrap(p.cmd.Start(), "start VM")
}

func (p *process) signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd != nil && p.cmd.Process != nil {
		_ = p.cmd.Process.Signal(s) // the process may already have exited
	}
}

// lastStop returns the time of the last SIGTERM before at, zero if there was none.
func (p *process) lastStop(at time.Time) time.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	var last time.Time
	for _, t := range p.stops {
		if t.Before(at) {
			last = t
		}
	}
	return last
}

// kill kills the process and waits until it has exited.
func (p *process) kill() {
	p.signal(syscall.SIGKILL)
	p.wait()
}

func (p *process) wait() {
	p.mu.Lock()
	cmd := p.cmd
	p.mu.Unlock()
	if cmd != nil {
		_ = cmd.Wait() // returns an error if the process was killed, which is expected here
	}
}
