package main

import (
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"text/tabwriter"

	"github.com/cockroachdb/errors"

	"github.com/pollendoor/pollendoor/desim"
)

// patternsCmd plays load patterns against the decisions of the system, in virtual time
// and without a network.
type patternsCmd struct {
	Names []string `arg:"" optional:"" help:"Patterns to play; all if not given."`
	Seed  uint64   `help:"Seed of the random choices; the pattern's own if not given."`
	Slots bool     `help:"Play the loads on the slots of one target instead, in an adaptive group and in another one."`
	Plot  string   `help:"Directory for an SVG image of each pattern." placeholder:"DIR"`
}

// Run prints a table of the patterns. It plays nothing if a name is unknown.
func (c *patternsCmd) Run() error {
	if c.Slots {
		return c.runSlots()
	}
	list := desim.Patterns()
	if len(c.Names) > 0 {
		list = nil
	}
	for _, name := range c.Names {
		p, ok := desim.Find(name)
		if !ok {
			return errors.Mark(errors.Newf("NAMES: unknown pattern %q", name), errUsage)
		}
		list = append(list, p)
	}
	if info, err := os.Stat(c.Plot); c.Plot != "" && (err != nil || !info.IsDir()) {
		return errors.Mark(errors.Newf("--plot: %q is not a directory", c.Plot), errUsage)
	}
	w := tabwriter.NewWriter(os.Stdout, 2, 0, 2, ' ', 0)
	fmt.Fprintln(w, "pattern\toffered\tin time\tlate\trefused\tworst second\tnew connections\tanswers")
	for _, p := range list {
		if c.Seed != 0 {
			p.Seed = c.Seed
		}
		r := desim.Play(p)
		var total desim.Count
		worst := 0
		for i, s := range r.Seconds {
			total.Add(s)
			if s.Served() < r.Seconds[worst].Served() {
				worst = i
			}
		}
		fmt.Fprintf(w, "%s\t%d\t%d\t%d\t%d\t%d: %.3f\t%d\t%s\n", p.Name, total.Offered, total.InTime, total.Late,
			total.Offered-total.InTime-total.Late, worst, r.Seconds[worst].Served(), r.Dials, p.Answers)
		if c.Plot == "" {
			continue
		}
		image, err := desim.Plot(p, r)
		if err == nil {
			err = os.WriteFile(filepath.Join(c.Plot, p.Name+".svg"), image, 0o644)
		}
		if err != nil {
			return err
		}
	}
	return w.Flush()
}

// runSlots prints a table of the loads on the slots of one target. It plays nothing if a
// name is unknown.
func (c *patternsCmd) runSlots() error {
	list := desim.SlotPatterns()
	for _, name := range c.Names {
		if !slices.ContainsFunc(list, func(p desim.SlotPattern) bool { return p.Name == name }) {
			return errors.Mark(errors.Newf("NAMES: unknown pattern %q", name), errUsage)
		}
	}
	w := tabwriter.NewWriter(os.Stdout, 2, 0, 2, ' ', 0)
	fmt.Fprintln(w, "pattern\tadaptive\tusual teams in time\ttheir writes\thot teams")
	for _, p := range list {
		if len(c.Names) > 0 && !slices.Contains(c.Names, p.Name) {
			continue
		}
		for _, adaptive := range []bool{true, false} {
			r := desim.PlaySlots(p, adaptive)
			fmt.Fprintf(w, "%s\t%t\t%.3f\t%.3f\t%.3f\n", p.Name, adaptive, r.Usual.Share(), r.Writes.Share(), r.Hot.Share())
		}
	}
	return w.Flush()
}
