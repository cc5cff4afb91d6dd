package logs_test

import (
	"bytes"
	"fmt"
	"strings"
	"testing"

	"github.com/pollendoor/pollendoor/logs"
)

// stuck is an output that takes nothing until it is let go.
type stuck struct {
	free chan struct{}
	got  bytes.Buffer
}

func (s *stuck) Write(b []byte) (int, error) {
	<-s.free
	return s.got.Write(b)
}

// An output that does not read must not hold up those who log; what it misses is
// counted in its log.
func TestStuckOutputBlocksNobody(t *testing.T) {
	out := &stuck{free: make(chan struct{})}
	w := logs.NewWriter(out)
	for i := range 5000 {
		fmt.Fprintf(w, "line %d\n", i)
	}
	if w.Dropped() == 0 {
		t.Error("got no dropped lines, want some")
	}
	close(out.free)
	w.Close()
	got := out.got.String()
	if !strings.Contains(got, "line 0\n") || !strings.Contains(got, "log lines dropped") {
		t.Errorf("got %.100q, want the first lines and the number of those dropped", got)
	}
	fmt.Fprint(w, "after the end\n") // must not panic
}
