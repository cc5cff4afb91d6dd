package main

import (
	"context"
	"fmt"
	"os"

	"github.com/cockroachdb/errors"

	"github.com/pollendoor/pollendoor/bench"
	"github.com/pollendoor/pollendoor/trace"
)

// replayCmd replays recorded cases.
type replayCmd struct {
	Files []string `arg:"" type:"existingfile" help:"Case files, one line of JSON for each step."`
}

// Run replays each case. It returns an error if an outcome differs from the expected
// one.
func (c *replayCmd) Run() error {
	failed := 0
	for _, name := range c.Files {
		f, err := os.Open(name)
		if err != nil {
			return errors.Mark(err, errUsage)
		}
		h, steps, err := trace.Read(f)
		f.Close()
		if err != nil {
			return errors.Mark(errors.Wrap(err, name), errUsage)
		}
		mismatches, err := bench.ReplayCase(context.Background(), h, steps)
		if err != nil {
			return errors.Wrap(err, name)
		}
		if len(mismatches) == 0 {
			fmt.Printf("%s: as expected, %d steps\n", h.Case, len(steps))
			continue
		}
		failed++
		fmt.Printf("%s: NOT as expected\n", h.Case)
		for _, w := range mismatches {
			fmt.Println("  ", w)
		}
	}
	if failed > 0 {
		return errors.Newf("%d cases did not have the expected outcomes", failed)
	}
	return nil
}
