package logs_test

import (
	"bytes"
	"strings"
	"testing"

	"github.com/rs/zerolog"

	"github.com/pollendoor/pollendoor/logs"
)

func TestRecoverPanicLogsPanic(t *testing.T) {
	var out bytes.Buffer
	log := zerolog.New(&out)
	func() {
		defer logs.RecoverPanic(&log, "packet")
		panic("broken invariant")
	}()
	for _, want := range []string{"packet given up", "broken invariant", "TestRecoverPanicLogsPanic"} {
		if got := out.String(); !strings.Contains(got, want) {
			t.Errorf("got log %.200q, want it to contain %q", got, want)
		}
	}
}
