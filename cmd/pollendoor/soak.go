package main

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/pollendoor/pollendoor/soak"
)

// soakCmd runs VM processes on loopback and injects faults.
type soakCmd struct {
	Binary   string        `required:"" type:"existingfile" help:"Path of the VM program, pollenvm."`
	Seed     uint64        `default:"1" help:"First seed."`
	Seeds    int           `default:"1" help:"Number of seeds, run one after the other."`
	Draw     bool          `help:"Draw the deployment from the seed: fleet, groups, routes and load."`
	Restores bool          `help:"Make the store come back from older copies as well."`
	VMs      int           `name:"vms" help:"Number of VM processes; 0 stands for 6, or for a drawn number."`
	Duration time.Duration `default:"10s" help:"How long new faults are injected, for each seed."`
	Dir      string        `type:"path" help:"Keep the settings and logs of failed seeds below this directory."`
	First    int           `default:"1" help:"Last byte N of the first VM's address, 127.0.1.N."`
}

// Run runs the seeds one after the other. It returns an error if a guarantee was
// violated.
func (c *soakCmd) Run() error {
	if c.VMs < 0 || c.First < 1 || c.First+max(c.VMs, soak.MaxDrawnVMs) > 255 {
		return errors.Mark(errors.New("--vms and --first do not fit into 127.0.1.1 to 127.0.1.254"), errUsage)
	}
	failedSeeds := 0
	for i := range c.Seeds {
		seed := c.Seed + uint64(i)
		dir, err := os.MkdirTemp(c.Dir, fmt.Sprintf("soak-%d-", seed))
		if err != nil {
			return errors.Wrap(err, "create log directory")
		}
		r := soak.Run{Seed: seed, Draw: c.Draw, Restores: c.Restores, VMs: c.VMs, Duration: c.Duration, Binary: c.Binary, Dir: dir, First: c.First}
		rep, err := r.Do(context.Background())
		if err != nil {
			rep.Violations = append(rep.Violations, err.Error())
		}
		fmt.Printf("seed %d: statements %v, promotions %d, rolled back %d, longest stall %v, broken %d\n", seed, rep.Statements, rep.Promotions, rep.RolledBack, rep.Stall.Round(time.Millisecond), len(rep.Violations))
		for _, e := range rep.Evacuated {
			fmt.Println("  last request to an evacuated zone: " + e)
		}
		if len(rep.Violations) == 0 {
			if err := os.RemoveAll(dir); err != nil {
				return errors.Wrap(err, "remove logs")
			}
			continue
		}
		failedSeeds++
		for _, b := range rep.Violations {
			fmt.Println("  " + b)
		}
		for _, f := range rep.Faults {
			fmt.Println("  " + f)
		}
		fmt.Println("  logs in " + filepath.Clean(dir))
	}
	if failedSeeds > 0 {
		return errors.Newf("%d of %d seeds violated a guarantee", failedSeeds, c.Seeds)
	}
	return nil
}
