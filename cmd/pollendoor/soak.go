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

// soakCmd runs VM processes on loopback and harms them.
type soakCmd struct {
	Binary   string        `required:"" type:"existingfile" help:"The VM's program, pollenvm."`
	Seed     uint64        `default:"1" help:"First seed."`
	Seeds    int           `default:"1" help:"How many seeds, one after the other."`
	VMs      int           `name:"vms" default:"6" help:"VM processes."`
	Duration time.Duration `default:"10s" help:"How long faults begin, for each seed."`
	Dir      string        `type:"path" help:"Keep settings and logs of seeds that fail below this folder."`
	First    int           `default:"1" help:"Last part of the first VM's address, 127.0.1.N."`
}

// Run runs the seeds. It fails if a promise was broken.
func (c *soakCmd) Run() error {
	if c.VMs < 1 || c.First < 1 || c.First+c.VMs > 255 {
		return errors.Mark(errors.New("vms and first do not fit into 127.0.1.0/24"), errUsage)
	}
	broken := 0
	for i := range c.Seeds {
		seed := c.Seed + uint64(i)
		dir, err := os.MkdirTemp(c.Dir, fmt.Sprintf("soak-%d-", seed))
		if err != nil {
			return errors.Wrap(err, "folder for logs")
		}
		r := soak.Run{Seed: seed, VMs: c.VMs, Duration: c.Duration, Binary: c.Binary, Dir: dir, First: c.First}
		rep, err := r.Do(context.Background())
		if err != nil {
			rep.Broken = append(rep.Broken, err.Error())
		}
		fmt.Printf("seed %d: statements %v, promotions %d, rolled back %d, broken %d\n", seed, rep.Statements, rep.Promotions, rep.RolledBack, len(rep.Broken))
		if len(rep.Broken) == 0 {
			if err := os.RemoveAll(dir); err != nil {
				return errors.Wrap(err, "remove logs")
			}
			continue
		}
		broken++
		for _, b := range rep.Broken {
			fmt.Println("  " + b)
		}
		for _, f := range rep.Faults {
			fmt.Println("  " + f)
		}
		fmt.Println("  logs in " + filepath.Clean(dir))
	}
	if broken > 0 {
		return errors.Newf("%d of %d seeds broke a promise", broken, c.Seeds)
	}
	return nil
}
