package main

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"text/tabwriter"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/pollendoor/pollendoor/load"
)

// loadCmd generates load and checks the answers.
type loadCmd struct {
	URL      []string      `required:"" name:"url" sep:"none" help:"URL to connect to, one for each VM and team."`
	Profile  string        `default:"bolo" help:"Mix of statements: bolo or clyde."`
	Callers  int           `default:"16" help:"Number of concurrent sessions."`
	Rate     float64       `default:"0" help:"Statements per second of all callers together; 0 for closed loop: each caller sends its next statement after an answer."`
	Duration time.Duration `default:"10s" help:"Duration of the load."`
	Seed     uint64        `help:"Seed of the random choices."`
	History  string        `type:"path" help:"Write the operations to this file, one line of JSON each."`
	JSON     bool          `name:"json" help:"Print JSON."`
}

// Run sends the load and prints the summary. It returns an error if a guarantee was
// violated.
func (c *loadCmd) Run() error {
	o := load.Options{URLs: c.URL, Profile: c.Profile, Callers: c.Callers, Rate: c.Rate, Duration: c.Duration, Seed: c.Seed}
	if !c.JSON {
		o.Progress = os.Stderr
	}
	if _, err := load.Profile(c.Profile); err != nil {
		return errors.Mark(err, errUsage)
	}
	if c.History != "" {
		f, err := os.Create(c.History)
		if err != nil {
			return errors.Mark(err, errUsage)
		}
		defer f.Close()
		w := bufio.NewWriter(f)
		defer w.Flush()
		o.History = w
	}
	s, err := load.Run(context.Background(), o)
	if err != nil {
		return err
	}
	if c.JSON {
		err = json.NewEncoder(os.Stdout).Encode(s)
	} else {
		err = printLoad(os.Stdout, s)
	}
	if n := s.Violations(); err == nil && n > 0 {
		return errors.Newf("%d violations", n)
	}
	return err
}

func printLoad(out io.Writer, s load.Summary) error {
	w := tabwriter.NewWriter(out, 2, 0, 2, ' ', 0)
	fmt.Fprintln(w, "team\tstatement\tdone\tnot run\tunknown\tp50 ms\tp99 ms\tmax ms")
	for _, r := range s.Rows {
		fmt.Fprintf(w, "%s\t%s\t%d\t%d\t%d\t%.2f\t%.2f\t%.2f\n", r.Team, r.Name, r.Done, r.NotRun, r.Unknown, r.P50Ms, r.P99Ms, r.MaxMs)
	}
	fmt.Fprintf(w, "lost %d, doubled %d, stale %d, order %s\n", s.Lost, s.Doubled, s.Stale, s.Order)
	return w.Flush()
}
