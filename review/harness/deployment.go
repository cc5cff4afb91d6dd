//go:build review

package main

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/pollendoor/pollendoor/platform/fake"
)

const (
	clientKey = "key-1"
	grace     = 6 * time.Second // graceS
	heartbeat = 1200 * time.Millisecond
	// The ports are the same on all machines; the addresses differ.
	callersPort, readyPort, peerPort, metricsPort = 8465, 8460, 7560, 9464
)

var zones = []string{"lisboa-a", "porto-a", "faro-a"}

// vm is one machine with its process.
type vm struct {
	name, zone, ip string
	settings       string
	log            *os.File
	cmd            *exec.Cmd
	exited         chan struct{}
}

func (v *vm) callers() string { return fmt.Sprintf("%s:%d", v.ip, callersPort) }

// deployment is a small deployment: entry machines, databases, the store and the
// promotion call.
type deployment struct {
	record   *record
	dir      string
	store    *fake.Store
	services []*service
	vms      []*vm
	routes   []map[string]any

	mu      sync.Mutex
	version int
}

// startDeployment starts the stand-ins and count machines.
func startDeployment(r *record, services []*service, routes []map[string]any, count int) (*deployment, error) {
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	started.Lock()
	started.dirs = append(started.dirs, dir)
	started.Unlock()
	d := &deployment{record: r, dir: dir, services: services, routes: routes}
	d.store = &fake.Store{Promote: d.promote}
	address := d.store.Start()
	for _, s := range services {
		s.record, s.roleChanged = r, d.writeEntry
		if err := s.start(zones, 60*time.Millisecond); err != nil {
			return d, err
		}
		for _, m := range s.members {
			d.writeEntry(m)
		}
	}
	d.configure(nil)
	prefix, err := freePrefix(count)
	if err != nil {
		return d, err
	}
	for i := range count {
		v := &vm{name: fmt.Sprintf("edge-%d", i+1), zone: zones[i%len(zones)], ip: fmt.Sprintf("%s.%d", prefix, i+1)}
		if err := d.writeSettings(v, address, fmt.Sprintf("%s.1", prefix)); err != nil {
			return d, err
		}
		if err := v.start(); err != nil {
			return d, err
		}
		d.vms = append(d.vms, v)
	}
	return d, nil
}

// freePrefix returns the first three bytes of loopback addresses on which all ports
// are free.
func freePrefix(count int) (string, error) {
	for range 50 {
		prefix := fmt.Sprintf("127.%d.%d", 1+rand.N(250), rand.N(250))
		free := true
		for i := range count {
			for _, port := range []int{callersPort, readyPort, peerPort, metricsPort} {
				l, err := net.Listen("tcp4", fmt.Sprintf("%s.%d:%d", prefix, i+1, port))
				if err != nil {
					free = false
					continue
				}
				l.Close()
			}
		}
		if free {
			return prefix, nil
		}
	}
	return "", fmt.Errorf("no free addresses")
}

// writeSettings writes what the platform renders from deploy/settings.yaml.tmpl.
func (d *deployment) writeSettings(v *vm, store, seed string) error {
	text := fmt.Sprintf(`vm: %q
zone: %q
region: %q
callers: "%s"
ready: "%s:%d"
ip: %q
peerPort: %d
metrics: "%s:%d"
store: %q
cloud: %q
memoryMB: 284
cpu: 0.4
bootstrap: true
seeds: ["%s:8462"]
zones: {"lisboa-a":"lisboa","porto-a":"porto","faro-a":"faro"}
graceS: %g
quotaWindowS: 5
quotaExcess: 0.1
quotaMargin: 20
`, v.name, v.zone, strings.TrimSuffix(v.zone, "-a"), v.callers(), v.ip, readyPort, v.ip, peerPort, v.ip, metricsPort, store, store, seed, grace.Seconds())
	v.settings = filepath.Join(d.dir, v.name+".yaml")
	if err := os.WriteFile(v.settings, []byte(text), 0o600); err != nil {
		return err
	}
	var err error
	v.log, err = os.Create(filepath.Join(d.dir, v.name+".log"))
	return err
}

// started holds the machines whose processes this program has started.
var started struct {
	sync.Mutex
	ended bool // no more processes may be started
	vms   []*vm
	dirs  []string // folders to remove at the end
}

// endAll ends all processes that this program has started and that still run, removes
// the temporary folders, and lets no further process start.
func endAll() {
	started.Lock()
	defer started.Unlock()
	started.ended = true
	for _, v := range started.vms {
		_ = v.signal(syscall.SIGKILL) // it may have exited
		<-v.exited
	}
	for _, dir := range started.dirs {
		if os.Getenv("KEEP_LOGS") != "" {
			fmt.Println("logs:", dir)
			continue
		}
		os.RemoveAll(dir)
	}
}

// launches passes commands to the thread that starts them. The kernel ends a process
// when the thread that started it ends, which is then only with this program.
var launches = make(chan func())

func launcher() {
	runtime.LockOSThread()
	for launch := range launches {
		launch()
	}
}

// start starts the process with the command of the deploy file. The process doesn't
// outlive this program, however that ends.
func (v *vm) start() error {
	started.Lock()
	defer started.Unlock()
	if started.ended {
		return errors.New("the case has ended")
	}
	v.cmd = exec.Command("target/pollenvm", "serve")
	v.cmd.Env = []string{"POLLENDOOR_NODE_FILE=" + v.settings, "PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME")}
	v.cmd.Stdout, v.cmd.Stderr = v.log, v.log
	v.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	result := make(chan error)
	launches <- func() { result <- v.cmd.Start() }
	if err := <-result; err != nil {
		return err
	}
	v.exited = make(chan struct{})
	go func() {
		_ = v.cmd.Wait() // the state has the reason
		close(v.exited)
	}()
	started.vms = append(started.vms, v)
	return nil
}

// signal sends a signal to the machine's process.
func (v *vm) signal(s syscall.Signal) error { return v.cmd.Process.Signal(s) }

// writeEntry writes a database's entry in the store.
func (d *deployment) writeEntry(m *database) {
	m.service.mu.Lock()
	role, state, down := "replica", "ready", m.down
	if m.primary {
		role = "primary"
	}
	if m.draining {
		state = "draining"
	}
	m.service.mu.Unlock()
	if down {
		return
	}
	d.store.Set("servers", m.id, map[string]any{
		"service": m.service.name, "address": m.addr, "zone": m.zone, "version": "v1", "slots": m.service.slots,
		"state": state, "coldLeftMs": 0, "dbRole": role, "seq": 1, "born": 1,
	})
}

// drain announces a planned shutdown of a database.
func (d *deployment) drain(m *database) {
	m.service.mu.Lock()
	m.draining = true
	m.service.mu.Unlock()
	d.writeEntry(m)
}

// crash crashes a database for a time. Its entry is removed after three heartbeats
// and is back when the database is.
func (d *deployment) crash(m *database, length time.Duration) {
	m.crash()
	time.AfterFunc(3*heartbeat, func() { d.store.Remove("servers", m.id) })
	time.AfterFunc(length, func() {
		if err := m.restart(); err != nil {
			d.record.say("%s not restarted: %v", m.id, err)
			return
		}
		d.writeEntry(m)
	})
}

// configure writes the next version of the configuration, after change.
func (d *deployment) configure(change func()) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if change != nil {
		change()
	}
	d.version += 1 + rand.N(3)
	var services []any
	for _, s := range d.services {
		services = append(services, map[string]any{"name": s.name, "maxConns": s.maxConns, "syncReplicas": s.syncReplicas})
	}
	d.store.Set("config", "main", map[string]any{
		"version": d.version, "routes": d.routes, "services": services, "limits": map[string]any{"txIdleMs": 5000},
		"tenants": []any{map[string]any{"name": "tenant-1", "apiKeys": []string{clientKey}, "ratePerS": 2000, "burst": 2000}},
	})
	d.record.add("config", "version=%d routes=%v", d.version, d.routes)
}

// route returns a route as the operator writes it.
func route(host, kind, service string, timeout, goal, staleness time.Duration) map[string]any {
	return map[string]any{
		"name": host, "host": host, "kind": kind, "service": service, "timeoutMs": timeout.Milliseconds(),
		"goalMs": goal.Milliseconds(), "priority": 1, "maxStalenessMs": staleness.Milliseconds(), "public": false,
	}
}

// promote handles a promotion call.
func (d *deployment) promote(group, target, leader, token string) int {
	status := http.StatusNotFound
	for _, s := range d.services {
		if s.name == group {
			status = s.promote(target)
		}
	}
	d.record.add("order", "service=%s database=%s holder=%s token=%s status=%d", group, target, leader, token, status)
	return status
}

// awaitServed waits until a write and a read on a route succeed at each machine.
func (d *deployment) awaitServed(writes, reads string) error {
	until := time.Now().Add(25 * time.Second)
	for _, v := range d.vms {
		for _, t := range []struct{ host, text string }{{writes, "STORE warm-" + v.name + " 1"}, {reads, "FETCH warm-" + v.name}} {
			for {
				c := &client{record: d.record, vm: v, host: t.host}
				if c.connect() == nil {
					r := c.do(t.text)
					c.close()
					if r.ok() {
						break
					}
				}
				if time.Now().After(until) {
					return fmt.Errorf("%s does not serve %s", v.name, t.host)
				}
				time.Sleep(100 * time.Millisecond)
			}
		}
	}
	return nil
}
