package main

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/pollendoor/pollendoor/platform/fake"
)

const (
	// binary and template are what the deploy file names.
	binary   = "target/pollenvm"
	template = "deploy/settings.yaml.tmpl"
	// metricsPort is the port that the template gives to the metrics.
	metricsPort = 9464
	// startTimeout bounds the start of the fleet.
	startTimeout = 20 * time.Second
)

var zones = []string{"lisboa-a", "porto-a", "faro-a"}

// vm is one process of the project.
type vm struct {
	name     string
	zone     string
	callers  string // address for clients
	ready    string
	settings string
	log      *os.File
	cmd      *exec.Cmd
	done     chan struct{} // closed when the process has ended
}

// world is a small deployment on loopback addresses.
type world struct {
	rec    *record
	dir    string // settings and logs of the processes
	store  *fake.Store
	ops    *registry
	groups []*group
	vms    []*vm
	ports  ports

	version int
	routes  []any
	keys    []string // keys of the tenant
}

// ports are the ports of a day, the same on all machines.
type ports struct{ callers, ready, control, peers int }

// threeVMs and nineVMs are the zones of the VMs of a deployment.
var (
	threeVMs = zones
	nineVMs  = slices.Concat(zones, zones, zones)
)

// newWorld starts the store, the databases and a VM in each of the listed zones, and waits
// until these are ready.
func newWorld(rec *record, groupNames, vmZones []string, syncReplicas int, keys ...string) (*world, error) {
	w := &world{rec: rec, ops: newRegistry(), keys: append([]string{"k1"}, keys...)}
	var err error
	if w.dir, err = os.MkdirTemp("", "review"); err != nil {
		return w, err
	}
	w.store = &fake.Store{Promote: w.promote}
	address := w.store.Start()
	for _, name := range groupNames {
		g, err := newGroup(name, zones, syncReplicas, w.store, w.ops)
		if err != nil {
			return w, err
		}
		w.groups = append(w.groups, g)
		for _, kind := range []string{"primary", "bounded_staleness", "read_your_writes"} {
			w.routes = append(w.routes, map[string]any{
				"name": "r-" + name + kind, "host": name + "-" + kind, "pathPrefix": "/", "kind": kind, "timeoutMs": 1000, "goalMs": 1000,
				"priority": 1, "service": name, "maxAttempts": 2, "maxStalenessMs": 1500, "public": false,
			})
		}
	}
	w.configure()
	if err := w.start(vmZones, address); err != nil {
		return w, err
	}
	for deadline := time.Now().Add(startTimeout); ; time.Sleep(50 * time.Millisecond) {
		n := 0
		for _, v := range w.vms {
			if v.isReady() {
				n++
			}
		}
		if n == len(w.vms) {
			return w, nil
		}
		if time.Now().After(deadline) {
			return w, fmt.Errorf("%d of %d VMs were ready after %v", n, len(w.vms), startTimeout)
		}
	}
}

// configure writes the next version of the configuration.
func (w *world) configure() {
	w.version++
	var services []any
	for _, g := range w.groups {
		services = append(services, map[string]any{"name": g.name, "maxConns": maxConns, "syncReplicas": g.sync})
	}
	w.store.Set("config", "main", map[string]any{
		"version": w.version, "routes": w.routes, "services": services, "limits": map[string]any{"txIdleMs": 3000},
		"tenants": []any{map[string]any{"name": "festa", "apiKeys": w.keys, "ratePerS": 2000, "burst": 2000}},
	})
}

func (w *world) promote(service, id, holder, token string) int {
	for _, g := range w.groups {
		if g.name == service {
			return g.promote(id, holder, token)
		}
	}
	return http.StatusNotFound
}

// freeNetwork returns the first three bytes of a loopback network whose first n hosts, from
// 11 on, have free ports.
func freeNetwork(n int, p ports) (string, error) {
	pid := os.Getpid()
	for try := range 50 {
		network := fmt.Sprintf("127.%d.%d.", 20+(pid+try*7)%200, 1+(pid/200+try)%250)
		free := true
		for i := range n {
			for _, port := range []int{p.callers, p.ready, p.control, p.peers, metricsPort} {
				l, err := net.Listen("tcp4", address(network, i, port))
				if err != nil {
					free = false
					continue
				}
				l.Close()
			}
		}
		if free {
			return network, nil
		}
	}
	return "", fmt.Errorf("no loopback network with free ports")
}

func address(network string, i, port int) string { return host(network, i) + ":" + strconv.Itoa(port) }

func host(network string, i int) string { return network + strconv.Itoa(11+i) }

// start writes the settings of the VMs and starts their processes.
func (w *world) start(vmZones []string, store string) error {
	n := len(vmZones)
	w.ports = ports{callers: 8465, ready: 8460, control: 8462, peers: 7560}
	network, err := freeNetwork(n, w.ports)
	if err != nil {
		return err
	}
	var seeds []string
	for i := range min(n, 3) {
		seeds = append(seeds, address(network, i, w.ports.control))
	}
	inZone := make(map[string]int)
	for i, zone := range vmZones {
		inZone[zone]++
		name := fmt.Sprintf("edge-%s-%d", zone, inZone[zone])
		v := &vm{name: name, zone: zone, callers: address(network, i, w.ports.callers), ready: address(network, i, w.ports.ready), settings: filepath.Join(w.dir, name+".yaml")}
		fields := map[string]any{
			"nodeName": name, "zone": zone, "region": strings.TrimSuffix(zone, "-a"), "ip": host(network, i), "bootstrap": true, "seeds": seeds,
			"portRange": []any{w.ports.peers, w.ports.peers + 15},
			"zones":     map[string]any{"lisboa-a": "lisboa", "porto-a": "porto", "faro-a": "faro"},
			"listen":    map[string]any{"frontend": v.callers, "readiness": v.ready, "control": address(network, i, w.ports.control)},
			"limits":    map[string]any{"cpuShare": 0.4, "cores": 1, "memoryMb": 284, "maxFds": 4200},
			"bounds":    map[string]any{"graceS": 6, "quotaWindowS": 5, "quotaExcess": 0.1, "quotaMargin": 20},
			"platform":  map[string]any{"address": store},
			"cloudApi":  map[string]any{"address": store},
		}
		if err := render(v.settings, fields); err != nil {
			return err
		}
		if v.log, err = os.Create(filepath.Join(w.dir, name+".log")); err != nil {
			return err
		}
		w.vms = append(w.vms, v)
		if err := v.start(); err != nil {
			return err
		}
	}
	return nil
}

var placeholder = regexp.MustCompile(`\{\{([A-Za-z0-9.]+)(\|json)?\}\}`)

// render fills in the template of the settings, as far as it uses plain placeholders.
func render(path string, fields map[string]any) error {
	raw, err := os.ReadFile(template)
	if err != nil {
		return err
	}
	out := placeholder.ReplaceAllFunc(raw, func(m []byte) []byte {
		parts := placeholder.FindSubmatch(m)
		var value any = fields
		for _, key := range strings.Split(string(parts[1]), ".") {
			switch v := value.(type) {
			case map[string]any:
				value = v[key]
			case []any:
				i, _ := strconv.Atoi(key)
				value = v[i]
			}
		}
		if value == nil {
			return nil
		}
		if len(parts[2]) == 0 {
			return fmt.Append(nil, value)
		}
		text, err := json.Marshal(value)
		if err != nil {
			return nil
		}
		return text
	})
	return os.WriteFile(path, out, 0o600)
}

// running holds the processes that this program has started and that have not ended.
var running struct {
	sync.Mutex
	cmds  map[*exec.Cmd]bool
	ended bool // no further process is started
}

// killTimeout is how long killRunning waits for the processes to end.
const killTimeout = 2 * time.Second

// killRunning ends all processes that this program has started, and waits for their end.
func killRunning() {
	running.Lock()
	running.ended = true
	for cmd := range running.cmds {
		// The process may end at this moment. SIGKILL also ends one that was stopped.
		_ = cmd.Process.Kill()
	}
	running.Unlock()
	for deadline := time.Now().Add(killTimeout); time.Now().Before(deadline); time.Sleep(5 * time.Millisecond) {
		running.Lock()
		n := len(running.cmds)
		running.Unlock()
		if n == 0 {
			return
		}
	}
}

// start starts the process with the command of the deploy file. It must be called on the
// main thread: the kernel ends the process when the thread that started it ends.
func (v *vm) start() error {
	v.cmd = exec.Command(binary, "serve")
	v.cmd.Env = []string{"POLLENDOOR_NODE_FILE=" + v.settings, "PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME")}
	v.cmd.Stdout, v.cmd.Stderr = v.log, v.log
	v.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	running.Lock()
	defer running.Unlock()
	if running.ended {
		return errors.New("the case is being ended")
	}
	if err := v.cmd.Start(); err != nil {
		return err
	}
	done := make(chan struct{})
	v.done = done
	cmd := v.cmd
	if running.cmds == nil {
		running.cmds = make(map[*exec.Cmd]bool)
	}
	running.cmds[cmd] = true
	go func() {
		// The process usually ends by a signal of this program.
		_ = cmd.Wait()
		running.Lock()
		delete(running.cmds, cmd)
		running.Unlock()
		close(done)
	}()
	return nil
}

// signal sends a signal to the process unless it has ended.
func (v *vm) signal(s syscall.Signal) {
	select {
	case <-v.done:
	default:
		// The process may end at this moment.
		_ = v.cmd.Process.Signal(s)
	}
}

// logLine is what a case looks for in the log of a VM.
type logLine struct {
	Message string `json:"message"`
	Version int    `json:"version"` // zero for any
	Source  string `json:"source"`  // empty for any
}

// logged reports whether the VM's log has a line. Cases choose by it which VM to freeze.
func (v *vm) logged(want logLine) bool {
	raw, err := os.ReadFile(v.log.Name())
	if err != nil {
		return false
	}
	for text := range bytes.Lines(raw) {
		var l logLine
		if json.Unmarshal(text, &l) != nil || l.Message != want.Message {
			continue
		}
		if (want.Version == 0 || l.Version == want.Version) && (want.Source == "" || l.Source == want.Source) {
			return true
		}
	}
	return false
}

// isReady reports whether the readiness probe is answered with 200.
func (v *vm) isReady() bool {
	c := http.Client{Timeout: 500 * time.Millisecond, Transport: &http.Transport{DisableKeepAlives: true}}
	r, err := c.Get("http://" + v.ready + "/pollendoor/readyz")
	if err != nil {
		return false
	}
	r.Body.Close()
	return r.StatusCode == http.StatusOK
}

// stop ends all processes and stand-ins. Logs are kept if KEEP names a folder.
func (w *world) stop() {
	for _, v := range w.vms {
		if v.done != nil {
			v.signal(syscall.SIGKILL)
			<-v.done
		}
		if v.log != nil {
			v.log.Close()
		}
	}
	for _, g := range w.groups {
		g.close()
	}
	if w.store != nil {
		w.store.Close()
	}
	if keep := os.Getenv("KEEP"); keep != "" {
		if err := os.CopyFS(keep, os.DirFS(w.dir)); err != nil {
			fmt.Fprintln(os.Stderr, "logs not kept:", err)
		}
	}
	os.RemoveAll(w.dir)
}
