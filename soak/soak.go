// Package soak runs a fleet of pollenvm processes on loopback against the platform's
// stand-ins, harms them at random from outside, and checks the promises to callers
// while it does: proxies delay, reset, cut one way or silence connections, signals
// stop, pause, kill and restart processes, the store goes away, loses answers and
// forgets its history, targets go dark and lose answers.
package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/conc"

	"github.com/pollendoor/pollendoor/platform/fake"
)

const (
	// graceTime is what a process has after SIGTERM, as on the platform.
	graceTime = 6 * time.Second
	// startTime bounds the start of the fleet, recoverTime the first success of each
	// caller after the last fault has ended (the platform's own bound, recoveryS).
	startTime   = 15 * time.Second
	recoverTime = 12 * time.Second
	// faultGap is the mean time between two faults, faultTime the mean length of one:
	// they overlap.
	faultGap  = 700 * time.Millisecond
	faultTime = 2500 * time.Millisecond
	// peerPort, callersPort and so on are the same on each VM's own address.
	callersPort, readyPort, metricsPort, peerPort = 7301, 7302, 7303, 7310
)

var zones = []string{"north", "south", "west"}

// Run is one run. Binary and Dir must be set.
type Run struct {
	Seed     uint64
	VMs      int           // zero for six
	Duration time.Duration // of the faults, zero for ten seconds
	Binary   string        // pollenvm
	Dir      string        // for settings and logs of the processes
	// First is the number of the first VM's address, 127.0.1.First.
	First int

	rand   *rand.Rand
	store  *fake.Store
	groups []*fake.LineGroup
	links  map[string]*link // of targets by id, and of VMs to the store by name
	procs  []*process
	checks checks

	mu       sync.Mutex
	version  int
	promoted map[string][]time.Time // by group
	token    uint64
}

// process is one VM.
type process struct {
	name     string
	addr     string // for callers
	settings string
	log      *os.File
	hold     sync.Mutex // one signal series at a time

	mu  sync.Mutex
	cmd *exec.Cmd
}

// Report is what a run has seen.
type Report struct {
	Seed       uint64
	Faults     []string
	Statements map[string]int // by code
	Promotions int
	RolledBack int      // acknowledged writes that a promotion rolled back
	Broken     []string // promises
}

// Do runs the fleet, the callers and the faults.
func (r *Run) Do(ctx context.Context) (Report, error) {
	if r.VMs == 0 {
		r.VMs = 6
	}
	if r.Duration == 0 {
		r.Duration = 10 * time.Second
	}
	if r.First == 0 {
		r.First = 1
	}
	r.rand = rand.New(rand.NewPCG(r.Seed, 0))
	r.links, r.promoted = make(map[string]*link), make(map[string][]time.Time)
	rep := Report{Seed: r.Seed}
	defer r.stop()
	if err := r.start(); err != nil {
		return rep, err
	}
	callers := r.callers()
	if err := r.await(callers, time.Now(), startTime); err != nil {
		return rep, err
	}
	runCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	var wg conc.WaitGroup
	for _, c := range callers {
		wg.Go(func() { c.run(runCtx) })
	}
	rep.Faults = r.harm(ctx)
	calm := time.Now()
	late := r.recovered(callers, calm)
	cancel()
	wg.Wait()
	r.checks.finish(r)
	rep.Statements, rep.RolledBack, rep.Broken = r.checks.counts, r.checks.rolledBack, append(r.checks.broken, late...)
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, list := range r.promoted {
		rep.Promotions += len(list)
	}
	return rep, ctx.Err()
}

// start starts the stand-ins and the processes.
func (r *Run) start() error {
	for _, name := range []string{"pots", "halls"} {
		g := &fake.LineGroup{Group: name, Zones: zones, ReplicationLag: 20 * time.Millisecond, StatementTime: time.Millisecond, MaxConns: 30}
		if err := g.Start(); err != nil {
			return errors.Wrap(err, "targets")
		}
		r.groups = append(r.groups, g)
	}
	r.store = &fake.Store{PageSize: 4, Promote: r.promote}
	address := r.store.Start()
	for _, g := range r.groups {
		for _, m := range g.Members() {
			k, err := newLink(m.Addr)
			if err != nil {
				return errors.Wrap(err, "link to a target")
			}
			r.links[m.ID] = k
			r.store.Set("servers", m.ID, map[string]any{
				"service": g.Group, "address": k.addr(), "zone": m.Zone, "version": "v1", "slots": 3,
				"state": "ready", "coldLeftMs": 0, "dbRole": "replica", "seq": 1, "born": 1,
			})
		}
	}
	r.configure()
	for i := range r.VMs {
		k, err := newLink(address)
		if err != nil {
			return errors.Wrap(err, "link to the store")
		}
		p, err := r.process(i, k.addr(), address)
		if err != nil {
			return err
		}
		r.links[p.name] = k
		r.procs = append(r.procs, p)
		if err := p.start(r.Binary); err != nil {
			return err
		}
	}
	return nil
}

// process writes the settings of VM number i.
func (r *Run) process(i int, store, cloud string) (*process, error) {
	ip, name := fmt.Sprintf("127.0.1.%d", r.First+i), fmt.Sprintf("vm%d", i+1)
	zone := zones[i%len(zones)]
	text := fmt.Sprintf("vm: %s\nzone: %s\nregion: %s\nip: %s\ncallers: %q\nready: %q\nmetrics: %q\npeerPort: %d\nstore: %q\ncloud: %q\n"+
		"memoryMB: 284\ncpu: 1\nzones: {north: north, south: south, west: west}\ngraceS: %g\nquotaWindowS: 5\nquotaExcess: 0.1\nquotaMargin: 20\n",
		name, zone, zone, ip, port(ip, callersPort), port(ip, readyPort), port(ip, metricsPort), peerPort, store, cloud, graceTime.Seconds())
	p := &process{name: name, addr: port(ip, callersPort), settings: filepath.Join(r.Dir, name+".yaml")}
	if err := os.WriteFile(p.settings, []byte(text), 0o600); err != nil {
		return nil, err
	}
	var err error
	p.log, err = os.Create(filepath.Join(r.Dir, name+".log"))
	return p, err
}

func port(ip string, n int) string { return ip + ":" + strconv.Itoa(n) }

// configure writes the next version of the configuration.
func (r *Run) configure() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.version++
	var routes, services []any
	for _, g := range r.groups {
		services = append(services, map[string]any{"name": g.Group, "maxConns": 30, "syncReplicas": 0})
		for _, kind := range []string{"primary", "bounded_staleness", "read_your_writes"} {
			routes = append(routes, map[string]any{
				"name": g.Group + "-" + kind, "host": g.Group + "-" + kind, "pathPrefix": "/", "kind": kind, "timeoutMs": 1000, "goalMs": 1000,
				"priority": 1, "service": g.Group, "maxAttempts": 2, "maxStalenessMs": 1500, "public": false,
			})
		}
	}
	r.store.Set("config", "main", map[string]any{
		"version": r.version, "routes": routes, "services": services, "limits": map[string]any{"txIdleMs": 3000},
		"tenants": []any{map[string]any{"name": "festa", "apiKeys": []string{"k1"}, "ratePerS": 5000, "burst": 5000}},
	})
}

// promote is the platform's call. Tokens must not fall.
func (r *Run) promote(group, target, _, token string) int {
	n, err := strconv.ParseUint(token, 10, 64)
	r.mu.Lock()
	defer r.mu.Unlock()
	if err != nil || n < r.token {
		r.checks.fail("ONE: promotion with token %q after %d", token, r.token)
	}
	r.token = max(r.token, n)
	for _, g := range r.groups {
		if g.Group != group {
			continue
		}
		before := g.Primary()
		if !g.Promote(target) {
			return http.StatusConflict
		}
		if g.Primary() != before {
			r.promoted[group] = append(r.promoted[group], time.Now())
		}
		return http.StatusOK
	}
	return http.StatusNotFound
}

// promotedSince reports whether a promotion of a group has taken effect after a time.
func (r *Run) promotedSince(group string, at time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, t := range r.promoted[group] {
		if t.After(at) {
			return true
		}
	}
	return false
}

// await waits until every caller has had an answer since a time.
func (r *Run) await(callers []*caller, since time.Time, limit time.Duration) error {
	for _, c := range callers {
		for !c.try() {
			if time.Since(since) > limit {
				return errors.Newf("no answer for %s of %s within %v", c.route, c.vm.name, limit)
			}
			time.Sleep(20 * time.Millisecond)
		}
	}
	return nil
}

// recovered returns the callers that were not served within recoverTime of the end
// of the faults.
func (r *Run) recovered(callers []*caller, calm time.Time) []string {
	var late []string
	for _, c := range callers {
		for c.servedAt().Before(calm) && time.Since(calm) < recoverTime {
			time.Sleep(20 * time.Millisecond)
		}
		if c.servedAt().Before(calm) {
			late = append(late, fmt.Sprintf("RECOVER: %s of %s not served %v after the last fault", c.route, c.vm.name, recoverTime))
		}
	}
	return late
}

// stop ends what was started, by its own ids.
func (r *Run) stop() {
	for _, p := range r.procs {
		p.kill()
		p.log.Close()
	}
	for _, k := range r.links {
		k.close()
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
		_ = p.cmd.Process.Signal(s) // a process that has just ended is no matter
	}
}

// kill ends the process and waits for its end.
func (p *process) kill() {
	p.signal(syscall.SIGKILL)
	p.wait()
}

func (p *process) wait() {
	p.mu.Lock()
	cmd := p.cmd
	p.mu.Unlock()
	if cmd != nil {
		_ = cmd.Wait() // its end by a signal is no error here
	}
}
