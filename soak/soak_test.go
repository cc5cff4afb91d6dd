package soak_test

import (
	"fmt"
	"os/exec"
	"path/filepath"
	"testing"
	"time"

	"github.com/pollendoor/pollendoor/soak"
)

// buildBinary builds the program of a VM and returns its path.
func buildBinary(t *testing.T) string {
	t.Helper()
	binary := filepath.Join(t.TempDir(), "pollenvm")
	if out, err := exec.Command("go", "build", "-o", binary, "../cmd/pollenvm").CombinedOutput(); err != nil {
		t.Fatalf("build: %v\n%s", err, out)
	}
	return binary
}

// TestSoak runs each seed for six seconds. Seeds that have failed before are listed
// with the cause of the failure, as regression tests.
func TestSoak(t *testing.T) {
	binary := buildBinary(t)
	for _, tc := range []struct {
		seed  uint64
		draw  bool // draw the deployment as well
		cause string
	}{
		{1, false, "no failure, the short run of CI"},
		{115, false, "same cause as seed 120"},
		{120, false, "a paused home VM ran writes 3 s after their callers had given up, and reads returned them"},
		{101, true, "no failure, planned work only"},
		{206, true, "no failure, synchronous replicas"},
		{313, true, "no failure, evacuations beside planned work"},
		{327, true, "no failure, evacuations beside faults"},
	} {
		t.Run(fmt.Sprint(tc.seed), func(t *testing.T) {
			check(t, &soak.Run{Seed: tc.seed, Draw: tc.draw, Duration: 6 * time.Second, Binary: binary, Dir: t.TempDir(), First: 201})
		})
	}
}

// TestSoakWithRestores is TestSoak with a store that comes back from older copies.
func TestSoakWithRestores(t *testing.T) {
	binary := buildBinary(t)
	for _, tc := range []struct {
		seed  uint64
		draw  bool
		cause string
	}{
		{1, false, "no failure, the short run of CI"},
		{2, false, "no failure, the short run of CI"},
		{3024, true, "entries of former processes made cold targets start again"},
	} {
		t.Run(fmt.Sprint(tc.seed), func(t *testing.T) {
			check(t, &soak.Run{Seed: tc.seed, Draw: tc.draw, Restores: true, Duration: 6 * time.Second, Binary: binary, Dir: t.TempDir(), First: 201})
		})
	}
}

// check plays a run and reports what it has found.
func check(t *testing.T, r *soak.Run) {
	t.Helper()
	rep, err := r.Do(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	for _, v := range rep.Violations {
		t.Error(v)
	}
	if t.Failed() {
		t.Logf("faults: %q", rep.Faults)
	}
	if len(rep.Evacuated) > 0 {
		t.Logf("last requests to evacuated zones: %q", rep.Evacuated)
	}
	t.Logf("statements %v, promotions %d, rolled back %d, longest stall %v", rep.Statements, rep.Promotions, rep.RolledBack, rep.Stall)
}
