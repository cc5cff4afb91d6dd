package soak_test

import (
	"bufio"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"testing"

	"github.com/pollendoor/pollendoor/platform/fake"
)

// startSettings are the settings of a VM that starts alone. STORE is the store's address.
const startSettings = `vm: vm1
zone: north
region: north
ip: 127.0.3.1
callers: "127.0.3.1:7301"
ready: "127.0.3.1:7302"
metrics: "127.0.3.1:7303"
peerPort: 7310
store: "STORE"
cloud: "STORE"
memoryMB: 284
cpu: 1
zones: {north: north}
graceS: 6
quotaWindowS: 5
quotaExcess: 0.1
quotaMargin: 20
`

// Guards against a process that ends by SIGHUP because it does not listen to the signal
// yet: it arrives while the settings are read for the first time.
func TestHangupDuringStart(t *testing.T) {
	store := &fake.Store{}
	address := store.Start()
	defer store.Close()
	file := filepath.Join(t.TempDir(), "settings.yaml")
	if err := syscall.Mkfifo(file, 0o600); err != nil {
		t.Fatal(err)
	}
	cmd := exec.Command(buildBinary(t), "serve")
	cmd.Env = []string{"POLLENDOOR_NODE_FILE=" + file}
	out, err := cmd.StdoutPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	defer cmd.Wait()
	defer cmd.Process.Kill()
	settings, err := os.OpenFile(file, os.O_WRONLY, 0) // blocks until the process reads
	if err != nil {
		t.Fatal(err)
	}
	if err := cmd.Process.Signal(syscall.SIGHUP); err != nil {
		t.Fatal(err)
	}
	settings.WriteString(strings.ReplaceAll(startSettings, "STORE", address))
	settings.Close()
	line, err := bufio.NewReader(out).ReadString('\n')
	if err != nil || !strings.Contains(line, `"message":"start"`) {
		t.Errorf("got %q (%v), want the line of a started VM", line, err)
	}
}

// Guards against a process that ends by SIGHUP because the Go runtime does not ignore the
// signal before main runs. Nothing of the program can prevent that before the loader has
// finished.
func TestHangupBeforeMain(t *testing.T) {
	store := &fake.Store{}
	address := store.Start()
	defer store.Close()
	file := filepath.Join(t.TempDir(), "settings.yaml")
	if err := os.WriteFile(file, []byte(strings.ReplaceAll(startSettings, "STORE", address)), 0o600); err != nil {
		t.Fatal(err)
	}
	binary := buildBinary(t)
	for range 20 {
		cmd := exec.Command(binary, "serve")
		cmd.Env = []string{"POLLENDOOR_NODE_FILE=" + file}
		out, err := cmd.StdoutPipe()
		if err != nil {
			t.Fatal(err)
		}
		if err := cmd.Start(); err != nil {
			t.Fatal(err)
		}
		for !handlesHangup(t, cmd.Process.Pid) {
		}
		for range 200 {
			_ = cmd.Process.Signal(syscall.SIGHUP) // fails if the process has ended
		}
		line, err := bufio.NewReader(out).ReadString('\n')
		_ = cmd.Process.Kill()
		_ = cmd.Wait()
		if err != nil || !strings.Contains(line, `"message":"start"`) {
			t.Fatalf("got %q (%v), want the line of a started VM", line, err)
		}
	}
}

// handlesHangup reports whether a process ignores SIGHUP or has a handler for it. It reports
// true if the process has ended.
func handlesHangup(t *testing.T, pid int) bool {
	t.Helper()
	raw, err := os.ReadFile("/proc/" + strconv.Itoa(pid) + "/status")
	if err != nil {
		t.Fatal(err)
	}
	for line := range strings.Lines(string(raw)) {
		name, value, _ := strings.Cut(strings.TrimSpace(line), ":\t")
		if name == "State" && strings.HasPrefix(value, "Z") {
			return true
		}
		if name != "SigIgn" && name != "SigCgt" {
			continue
		}
		mask, err := strconv.ParseUint(value, 16, 64)
		if err != nil {
			t.Fatal(err)
		}
		if mask&1 != 0 { // SIGHUP is signal 1
			return true
		}
	}
	return false
}
