package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/rs/zerolog"

	"github.com/pollendoor/pollendoor/bench"
	"github.com/pollendoor/pollendoor/fakes"
)

// demoCmd runs a complete system in one process.
type demoCmd struct {
	Script bool          `help:"Run a scripted scenario without user input, and exit 0 only if every step succeeds."`
	Lag    time.Duration `default:"50ms" help:"Delay until reads at replicas see a commit."`
	Log    bool          `help:"Show the VMs' logs."`
}

// Run starts the demo and, without Script, serves until it is interrupted.
func (c *demoCmd) Run() error {
	ctx := context.Background()
	log := zerolog.Nop()
	if c.Log {
		log = zerolog.New(zerolog.ConsoleWriter{Out: os.Stderr}).With().Timestamp().Logger()
	}
	l, err := bench.StartLab(ctx, bench.LabOptions{
		Groups: []string{"potes/potes-1", "potes/potes-2"},
		Teams:  []bench.Team{{Name: "festa", Rate: 200, Burst: 400}, {Name: "loja", Rate: 100, Burst: 200}},
		Target: fakes.TargetOptions{Slots: 3, Connections: 20, ConnectDelay: 10 * time.Millisecond, Lag: c.Lag},
		Log:    log,
	})
	if err != nil {
		return err
	}
	defer l.Stop()
	if c.Script {
		return bench.RunDemo(ctx, l, os.Stdout)
	}
	fmt.Printf("platform       %s\n", l.Platform.Addr())
	for i, n := range l.Nodes() {
		vm := n.PeerVM()
		fmt.Printf("VM %s  callers %s  operators http://%s\n", vm.Name, n.Addr(), n.AdminAddr())
		if i == 0 {
			defer func() { fmt.Println("stopped") }()
		}
	}
	for _, t := range l.Options.Teams {
		fmt.Printf("\nteam %s, key %s.k1\n", t.Name, t.Name)
		for i := range l.Nodes() {
			fmt.Printf("  psql '%s'\n", l.URL(i, t.Name, "potes/potes-1"))
		}
	}
	fmt.Printf("\n  pollendoor status --admin http://%s\n\nInterrupt to stop.\n", l.Nodes()[0].AdminAddr())
	sig := make(chan os.Signal, 1)
	signal.Notify(sig, syscall.SIGTERM, os.Interrupt)
	<-sig
	return nil
}
