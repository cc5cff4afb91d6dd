package main

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/pollendoor/pollendoor/platform/fake"
)

const (
	// memoryMB is the memory limit of a process, as in the settings of a small deployment. A
	// process that exceeds it is killed, as the platform does.
	memoryMB = 284
	// restartDelay is how long after its end a process is started again.
	restartDelay = 300 * time.Millisecond
	// watchPeriod is how often the memory of the processes is read.
	watchPeriod = 5 * time.Millisecond
	// accessKey is the access key of all clients, and tenant their tenant.
	accessKey, tenant = "k7f1c9", "oficina"
	graceS            = 6
)

var zones = []string{"lisboa-a", "porto-a", "faro-a"}

// fleet is a small deployment: VM processes, the stand-ins of the platform's store and of the
// databases, and the record of what was sent, answered and run.
type fleet struct {
	dir    string // temporary folder for settings and logs
	base   string // first three bytes of the VMs' addresses
	port   int    // first port of the VMs
	store  *fake.Store
	groups []*fake.LineGroup
	vms    []*vm

	recordMu sync.Mutex
	record   *bufio.Writer
	began    time.Time
}

// vm is one VM of the fleet and its present process.
type vm struct {
	fleet    *fleet
	name     string
	ip       string
	zone     string
	settings string
	store    string // address of the store as the VM reaches it
	cloud    string // address of the promotion call as the VM reaches it

	mu       sync.Mutex
	cmd      *exec.Cmd
	peakKB   int
	ends     []string // reasons for which the VM's processes ended without a signal of the case
	stopping bool     // the case ends the process itself
}

// note adds a line to the record.
func (f *fleet) note(format string, args ...any) {
	f.recordMu.Lock()
	defer f.recordMu.Unlock()
	fmt.Fprintf(f.record, "%8.3f s  %s\n", time.Since(f.began).Seconds(), fmt.Sprintf(format, args...))
}

// newFleet opens the record and finds free addresses for n VMs.
func newFleet(recordPath string) (*fleet, error) {
	out, err := os.Create(recordPath)
	if err != nil {
		return nil, err
	}
	f := &fleet{record: bufio.NewWriter(out), began: time.Now(), store: &fake.Store{}}
	if f.dir, err = os.MkdirTemp("", "pollendoor-case"); err != nil {
		return nil, err
	}
	for range 50 {
		f.base = fmt.Sprintf("127.%d.%d", 20+rand.IntN(200), rand.IntN(250))
		f.port = 20000 + 20*rand.IntN(1000)
		if f.portsAreFree() {
			return f, nil
		}
	}
	return nil, errors.New("no free ports")
}

// portsAreFree reports whether the ports of the VMs are free at all their addresses.
func (f *fleet) portsAreFree() bool {
	for i := range 9 {
		for p := range 4 {
			l, err := net.Listen("tcp4", fmt.Sprintf("%s.%d:%d", f.base, i+1, f.port+p))
			if err != nil {
				return false
			}
			l.Close()
		}
	}
	return true
}

func (v *vm) addr(offset int) string {
	return net.JoinHostPort(v.ip, strconv.Itoa(v.fleet.port+offset))
}

// addVMs adds n VMs, which reach the store and the promotion call at the given addresses.
func (f *fleet) addVMs(n int, store, cloud string) {
	for i := range n {
		name := fmt.Sprintf("edge-%s-%d", zones[i%len(zones)], i/len(zones)+1)
		f.vms = append(f.vms, &vm{
			fleet: f, name: name, ip: fmt.Sprintf("%s.%d", f.base, i+1), zone: zones[i%len(zones)],
			settings: filepath.Join(f.dir, name+".yaml"), store: store, cloud: cloud,
		})
	}
}

// writeSettings writes the settings file as deploy/settings.yaml.tmpl renders it.
func (v *vm) writeSettings(bootstrap bool) error {
	var seeds []string
	for _, o := range v.fleet.vms[:min(3, len(v.fleet.vms))] {
		seeds = append(seeds, strconv.Quote(o.addr(3)))
	}
	region, _, _ := strings.Cut(v.zone, "-")
	text := fmt.Sprintf(`vm: %q
zone: %q
region: %q
callers: %q
ready: %q
ip: %q
peerPort: %d
metrics: %q
store: %q
cloud: %q
memoryMB: %d
cpu: 0.4
bootstrap: %t
seeds: [%s]
zones: {"lisboa-a":"lisboa","porto-a":"porto","faro-a":"faro"}
drainMs: 7000
graceS: %d
quotaWindowS: 5
quotaExcess: 0.1
quotaMargin: 20
evacuateMs: 
coldExcess: 
coldMargin: 
`, v.name, v.zone, region, v.addr(0), v.addr(1), v.ip, v.fleet.port+2, v.addr(3), v.store, v.cloud, memoryMB, bootstrap, strings.Join(seeds, ","), graceS)
	return os.WriteFile(v.settings, []byte(text), 0o600)
}

// start starts a process of the VM with the command of the deploy file, and restarts it
// whenever it ends.
func (v *vm) start(bootstrap bool) error {
	if err := v.writeSettings(bootstrap); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(v.fleet.dir, v.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	cmd := exec.Command("target/pollenvm", "serve")
	cmd.Env = []string{"POLLENDOOR_NODE_FILE=" + v.settings, "PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME")}
	cmd.Stdout, cmd.Stderr = log, log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL} // also if this process is killed
	if err := cmd.Start(); err != nil {
		return err
	}
	v.mu.Lock()
	v.cmd = cmd
	v.mu.Unlock()
	v.fleet.note("process of %s started, pid %d", v.name, cmd.Process.Pid)
	go v.watch(cmd, log)
	return nil
}

// watch ends a process that exceeds its memory, and starts the next one after its end.
func (v *vm) watch(cmd *exec.Cmd, log *os.File) {
	ended := make(chan error, 1)
	go func() { ended <- cmd.Wait() }()
	reason := ""
	for {
		var err error
		select {
		case err = <-ended:
		case <-time.After(watchPeriod):
			kb := residentKB(cmd.Process.Pid)
			v.mu.Lock()
			v.peakKB = max(v.peakKB, kb)
			v.mu.Unlock()
			if kb > memoryMB<<10 && reason == "" {
				reason = fmt.Sprintf("memory over the limit: %d MB", kb>>10)
				_ = cmd.Process.Kill()
			}
			continue
		}
		log.Close()
		v.mu.Lock()
		stopping := v.stopping
		if reason == "" {
			reason = fmt.Sprint("ended by itself: ", err)
		}
		if !stopping {
			v.ends = append(v.ends, reason)
		}
		v.mu.Unlock()
		if stopping {
			return
		}
		v.fleet.note("process of %s ended, pid %d: %s", v.name, cmd.Process.Pid, reason)
		time.Sleep(restartDelay)
		if err := v.start(false); err != nil {
			v.fleet.note("process of %s not started: %v", v.name, err)
		}
		return
	}
}

// residentKB returns the resident memory of a process in KB, zero if it has ended.
func residentKB(pid int) int {
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for l := range bytes.Lines(raw) {
		if f := strings.Fields(string(l)); len(f) > 1 && f[0] == "VmRSS:" {
			n, _ := strconv.Atoi(f[1])
			return n
		}
	}
	return 0
}

// stop ends the VM's process for good.
func (v *vm) stop() {
	v.mu.Lock()
	v.stopping = true
	cmd := v.cmd
	v.mu.Unlock()
	if cmd != nil {
		_ = cmd.Process.Kill()
	}
}

// ready asks the VM's readiness address once.
func (v *vm) ready() bool {
	c := http.Client{Timeout: 500 * time.Millisecond}
	res, err := c.Get("http://" + v.addr(1) + "/pollendoor/readyz")
	if err != nil {
		return false
	}
	res.Body.Close()
	return res.StatusCode == http.StatusOK
}

// awaitReady waits until all VMs are ready.
func (f *fleet) awaitReady(limit time.Duration) error {
	for until := time.Now().Add(limit); time.Now().Before(until); time.Sleep(100 * time.Millisecond) {
		n := 0
		for _, v := range f.vms {
			if v.ready() {
				n++
			}
		}
		if n == len(f.vms) {
			f.note("all %d VMs are ready", n)
			return nil
		}
	}
	return errors.New("the VMs did not become ready")
}

// close ends all processes and stand-ins, removes the temporary folder and closes the record.
func (f *fleet) close() {
	for _, v := range f.vms {
		v.stop()
	}
	time.Sleep(200 * time.Millisecond)
	for _, g := range f.groups {
		g.Close()
	}
	if os.Getenv("KEEP") == "" {
		os.RemoveAll(f.dir)
	} else {
		fmt.Fprintln(os.Stderr, "logs:", f.dir)
	}
	f.recordMu.Lock()
	f.record.Flush()
	f.recordMu.Unlock()
}
