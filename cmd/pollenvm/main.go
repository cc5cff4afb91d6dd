// Command pollenvm runs one VM of the proxy on the users' platform. It links only the
// packages that such a VM needs; the operators' tools are in the command pollendoor.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kong"

	"github.com/pollendoor/pollendoor/fleet"
)

// commands is the command line of pollenvm.
type commands struct {
	Serve serve `cmd:"" default:"1" help:"Serve callers on this VM."`
	Check check `cmd:"" help:"Check a settings file."`
}

// check validates a settings file in the same way as serve.
type check struct {
	Settings string `arg:"" type:"path" help:"Settings file."`
}

// Run validates the file and prints the VM and the zone in it.
func (c *check) Run() error {
	s, err := fleet.Load(c.Settings)
	if err != nil {
		return err
	}
	fmt.Printf("%s: settings of %s in %s are valid\n", c.Settings, s.VM, s.Zone)
	return nil
}

func main() {
	// SIGHUP ends a process that does not listen to it.
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	ctx := kong.Parse(&commands{}, kong.Name("pollenvm"),
		kong.Description("A VM of the pollendoor database proxy on its platform."), kong.UsageOnError())
	if err := ctx.Run(hangups); err != nil {
		fmt.Fprintln(os.Stderr, "pollenvm:", err)
		os.Exit(1)
	}
}
