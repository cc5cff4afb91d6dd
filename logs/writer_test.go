package logs_test

import (
	"bytes"
	"fmt"
	"strings"
	"testing"

	"github.com/pollendoor/pollendoor/logs"
)

// blockedWriter is an output whose writes block until release is closed.
type blockedWriter struct {
	release chan struct{}
	got     bytes.Buffer
}

func (w *blockedWriter) Write(b []byte) (int, error) {
	<-w.release
	return w.got.Write(b)
}

// Guards against an output that blocks the code that logs. The number of dropped lines
// must be logged.
func TestBlockedOutputDoesNotBlockWriters(t *testing.T) {
	out := &blockedWriter{release: make(chan struct{})}
	w := logs.NewWriter(out)
	for i := range 5000 {
		fmt.Fprintf(w, "line %d\n", i)
	}
	if w.Dropped() == 0 {
		t.Error("got 0 dropped lines, want more")
	}
	close(out.release)
	w.Close()
	got := out.got.String()
	if !strings.Contains(got, "line 0\n") || !strings.Contains(got, "log lines dropped") {
		t.Errorf("got output %.100q, want the first lines and the number of dropped lines", got)
	}
	fmt.Fprint(w, "after the end\n") // must not panic
}
