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
	Files []string `arg:"" type:"existingfile" help:"Cases, a line of JSON for each step."`
}

// Run replays each case. It fails if an outcome was not as stated.
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
		wrong, err := bench.ReplayCase(context.Background(), h, steps)
		if err != nil {
			return errors.Wrap(err, name)
		}
		if len(wrong) == 0 {
			fmt.Printf("%s: as stated, %d steps\n", h.Case, len(steps))
			continue
		}
		failed++
		fmt.Printf("%s: NOT as stated\n", h.Case)
		for _, w := range wrong {
			fmt.Println("  ", w)
		}
	}
	if failed > 0 {
		return errors.Newf("%d cases were not as stated", failed)
	}
	return nil
}
