package bench_test

import (
	"context"
	"os"
	"path/filepath"
	"testing"

	"github.com/pollendoor/pollendoor/bench"
	"github.com/pollendoor/pollendoor/trace"
)

// TestCases replays every recorded case and checks its expected outcomes.
func TestCases(t *testing.T) {
	files, err := filepath.Glob("../trace/cases/*.jsonl")
	if err != nil || len(files) < 10 {
		t.Fatalf("got %d cases and error %v, want at least 10 cases", len(files), err)
	}
	for _, name := range files {
		t.Run(filepath.Base(name), func(t *testing.T) {
			t.Parallel()
			f, err := os.Open(name)
			if err != nil {
				t.Fatal(err)
			}
			defer f.Close()
			h, steps, err := trace.Read(f)
			if err != nil {
				t.Fatal(err)
			}
			wrong, err := bench.ReplayCase(context.Background(), h, steps)
			if err != nil {
				t.Fatal(err)
			}
			for _, w := range wrong {
				t.Error(w)
			}
		})
	}
}
