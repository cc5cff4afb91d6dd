// Command pollendoor is a database proxy with session consistency: the VM
// itself, the operators' commands, and the tools to try and measure it.
package main

import (
	"fmt"
	"os"

	"github.com/alecthomas/kong"
	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"
)

// cli is the command line.
type cli struct {
	Serve    serveCmd    `cmd:"" help:"Run one VM."`
	Settings settingsCmd `cmd:"" help:"Read and change the tree of settings."`
	Team     teamCmd     `cmd:"" help:"Create and list teams."`
	Key      keyCmd      `cmd:"" help:"Create, withdraw and list teams' keys."`
	Status   statusCmd   `cmd:"" help:"Show a VM and the fleet it sees."`
	Explain  explainCmd  `cmd:"" help:"Tell why a group or setting is as it is."`
	Report   reportCmd   `cmd:"" help:"Report on service levels."`
	Demo     demoCmd     `cmd:"" help:"Run a platform, targets and three VMs in this process."`
	Standin  standinCmd  `cmd:"" help:"Run a stand-in platform and targets for VMs in other processes."`
	Load     loadCmd     `cmd:"" help:"Send load to an address and check the answers."`
	Replay   replayCmd   `cmd:"" help:"Replay a recorded trace against its stated outcomes."`
	Bench    benchCmd    `cmd:"" help:"Run an experiment on stand-ins."`
	Soak     soakCmd     `cmd:"" help:"Run VM processes on loopback, harm them at random and check the promises."`
}

// errUsage marks errors of the caller's making, which exit with status 2.
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
