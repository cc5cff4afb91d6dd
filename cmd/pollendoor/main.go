// Command pollendoor is a database proxy with session consistency. It contains the
// server of a VM, the commands for operators, and tools to test and benchmark the
// system.
package main

import (
	"fmt"
	"os"

	"github.com/alecthomas/kong"
	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"
)

// cli defines the commands and flags.
type cli struct {
	Serve    serveCmd    `cmd:"" help:"Run one VM."`
	Settings settingsCmd `cmd:"" help:"Read and change the settings tree."`
	Team     teamCmd     `cmd:"" help:"Create and list teams."`
	Key      keyCmd      `cmd:"" help:"Create, withdraw and list teams' keys."`
	Status   statusCmd   `cmd:"" help:"Show the state of a VM and of the fleet as the VM sees it."`
	Explain  explainCmd  `cmd:"" help:"Explain the state of a group."`
	Report   reportCmd   `cmd:"" help:"Report on service levels."`
	Demo     demoCmd     `cmd:"" help:"Run a platform, targets and three VMs in this process."`
	Standin  standinCmd  `cmd:"" help:"Run a fake platform and fake targets for VMs in other processes."`
	Load     loadCmd     `cmd:"" help:"Send load to an address and check the answers."`
	Replay   replayCmd   `cmd:"" help:"Replay recorded cases and compare the outcomes with the expected ones."`
	Bench    benchGroup  `cmd:"" help:"Run an experiment on a fake platform and fake targets, or play load patterns."`
	Check    checkCmd    `cmd:"" help:"Check a configuration or a settings file before it is used."`
	Soak     soakCmd     `cmd:"" help:"Run VM processes on loopback, inject random faults and check the guarantees."`
}

// errUsage marks errors in the user's input. The command exits with status 2 for
// them and with status 1 for other errors.
var errUsage = errors.New("usage")

func main() {
	zerolog.TimeFieldFormat = "2006-01-02T15:04:05.000Z07:00"
	var c cli
	ctx := kong.Parse(&c,
		kong.Name("pollendoor"),
		kong.Description("A database proxy with session consistency."),
		kong.UsageOnError(),
		kong.ConfigureHelp(kong.HelpOptions{Compact: true}),
	)
	err := ctx.Run()
	if err == nil {
		return
	}
	fmt.Fprintf(os.Stderr, "pollendoor: %v\n", err)
	if errors.Is(err, errUsage) {
		os.Exit(2)
	}
	os.Exit(1)
}
