package spec_test

import (
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
)

// TestModels checks each model and its mutants. It needs spin and a C compiler,
// which CI installs.
func TestModels(t *testing.T) {
	for _, tool := range []string{"spin", "gcc"} {
		if _, err := exec.LookPath(tool); err != nil {
			t.Skipf("%s is not installed", tool)
		}
	}
	tests := []struct {
		model  string
		mutant string // empty for the model itself
	}{
		{"promote", ""},
		{"promote", "BLIND"},
		{"promote", "MINORITY"},
		{"promote", "NOCLAIM"},
		{"promote", "FOLLOWED"},
		{"promote", "NOBARRIER"},
		{"promote", "FORMER"},
		{"sync", ""},
		{"sync", "ANSWERED"},
		{"sync", "PASSOVER"},
		{"sync", "INDEXONLY"},
		{"sync", "EARLYASK"},
		{"sync", "OTHERLOG"},
		{"sync", "CATCHUP"},
		{"sync", "LISTED"},
		{"sync", "FORGETS"},
		{"sync", "REBORN"},
		{"sync", "NOSTART"},
		{"sync", "FORMER"},
		{"escrow", ""},
		{"escrow", "LATESUBTRACT"},
		{"escrow", "NODEDUP"},
		{"escrow", "ANYEPOCH"},
		{"escrow", "EARLYDROP"},
		{"escrow", "GRANTTWICE"},
		{"order", ""},
		{"order", "UNRECORDED"},
		{"order", "ANYTIME"},
		{"order", "OLDTASK"},
		{"order", "ANYLEADER"},
		{"era", ""},
		{"era", "RECORDTOKEN"},
		{"era", "ATONCE"},
		{"era", "LATE"},
		{"era", "ANYPROCESS"},
		{"lease", ""},
		{"lease", "NOWAIT"},
		{"lease", "FROMANSWER"},
		{"lease", "NOCHECK"},
		{"lease", "NOPROOF"},
		{"lease", "STALETOKEN"},
		{"lease", "NOSETTLE"},
		{"relay", ""},
		{"relay", "CACHED"},
		{"relay", "FROMANSWER"},
		{"relay", "LASTQUESTION"},
		{"hold", ""},
		{"hold", "ONEPROMISE"},
		{"hold", "UNBOUND"},
		{"hold", "CLAIMBOUND"},
		{"hold", "OWNVOICE"},
		{"hold", "EVICT"},
		{"hold", "OWNLEASES"},
		{"hold", "NOHOLD"},
		{"hold", "FORGET"},
		{"hold", "MEMBERWAIT"},
		{"hold", "ONELIST"},
	}
	for _, tc := range tests {
		t.Run(tc.model+tc.mutant, func(t *testing.T) {
			t.Parallel()
			out := check(t, tc.model, tc.mutant)
			errors, complete := strings.Contains(out, "errors: 0"), !strings.Contains(out, "max search depth too small")
			if tc.mutant == "" && (!errors || !complete) {
				t.Errorf("got a violation or an incomplete search, want none:\n%s", out)
			}
			if tc.mutant != "" && !strings.Contains(out, "assertion violated") {
				t.Errorf("got no violation of the mutant, want one:\n%s", out)
			}
		})
	}
}

func check(t *testing.T, model, mutant string) string {
	dir := t.TempDir()
	file, err := filepath.Abs(model + ".pml")
	if err != nil {
		t.Fatal(err)
	}
	args := []string{"-a"}
	if mutant != "" {
		args = append(args, "-D"+mutant)
	}
	run(t, dir, "spin", append(args, file)...)
	run(t, dir, "gcc", "-O2", "-DSAFETY", "-DCOLLAPSE", "-o", "pan", "pan.c")
	return run(t, dir, "./pan", "-m100000", "-w24")
}

func run(t *testing.T, dir, name string, args ...string) string {
	t.Helper()
	c := exec.Command(name, args...)
	c.Dir = dir
	out, err := c.CombinedOutput()
	if err != nil && name != "./pan" {
		t.Fatalf("%s: %v\n%s", name, err, out)
	}
	return string(out)
}
