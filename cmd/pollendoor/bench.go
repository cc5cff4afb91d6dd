package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"sort"
	"text/tabwriter"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"

	"github.com/pollendoor/pollendoor/bench"
)

// benchGroup holds the commands that need no VM: experiments and load patterns.
type benchGroup struct {
	Run      benchCmd    `cmd:"" default:"withargs" help:"Run an experiment."`
	Patterns patternsCmd `cmd:"" help:"Play load patterns against the decisions in virtual time."`
}

// benchCmd runs experiments on fakes of the platform and the targets.
type benchCmd struct {
	Name     string        `arg:"" help:"Experiment, or all, or list."`
	Seed     uint64        `help:"Seed of the random choices."`
	Duration time.Duration `help:"Length of each phase; the experiment's own if not given."`
	Trials   int           `help:"Number of trials; the experiment's own if not given."`
	JSON     bool          `name:"json" help:"Print one line of JSON for each experiment."`
	Verbose  bool          `help:"Show the VMs' logs."`
}

// Run runs one experiment or all of them. It returns an error if an experiment finds
// a violation.
func (c *benchCmd) Run() error {
	list := bench.Experiments()
	if c.Name == "list" {
		for _, e := range list {
			fmt.Printf("%-10s %s\n", e.Name, e.Help)
		}
		return nil
	}
	cfg := bench.Config{Seed: c.Seed, Duration: c.Duration, Trials: c.Trials, Log: zerolog.Nop()}
	if c.Verbose {
		cfg.Log = zerolog.New(os.Stderr).With().Timestamp().Logger()
	}
	found, violations := false, 0
	for _, e := range list {
		if c.Name != "all" && c.Name != e.Name {
			continue
		}
		found = true
		r, err := e.Run(context.Background(), cfg)
		if err != nil {
			return errors.Wrap(err, e.Name)
		}
		violations += r.Violations
		if err := c.print(r); err != nil {
			return err
		}
	}
	switch {
	case !found:
		return errors.Mark(errors.Newf("unknown experiment %q, run bench list to show all", c.Name), errUsage)
	case violations > 0:
		return errors.Newf("%d violations", violations)
	}
	return nil
}

func (c *benchCmd) print(r *bench.Result) error {
	if c.JSON {
		return json.NewEncoder(os.Stdout).Encode(r)
	}
	w := tabwriter.NewWriter(os.Stdout, 2, 0, 2, ' ', 0)
	fmt.Fprintf(w, "%s\tviolations %d\t\n", r.Experiment, r.Violations)
	var names []string
	for n := range r.Figures {
		names = append(names, n)
	}
	sort.Strings(names)
	for _, n := range names {
		fmt.Fprintf(w, "  %s\t%.4g\t%s\n", n, r.Figures[n], r.Targets[n])
	}
	for _, n := range r.Notes {
		fmt.Fprintf(w, "  note: %s\n", n)
	}
	return w.Flush()
}
