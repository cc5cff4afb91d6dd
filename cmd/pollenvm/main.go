// Command pollenvm is the program of one VM on the users' platform. It links
// only what such a VM needs; the command pollendoor has the tools.
package main

import (
	"fmt"
	"os"

	"github.com/alecthomas/kong"

	"github.com/pollendoor/pollendoor/fleet"
)

type commands struct {
	Serve serve `cmd:"" default:"1" help:"Serve callers on this VM."`
	Check check `cmd:"" help:"Check a settings file."`
}

// check reads a settings file as serve does.
type check struct {
	Settings string `arg:"" type:"path" help:"Settings file."`
}

// Run checks the file.
func (c *check) Run() error {
	s, err := fleet.Load(c.Settings)
	if err != nil {
		return err
	}
	fmt.Printf("%s: settings of %s in %s are good\n", c.Settings, s.VM, s.Zone)
	return nil
}

func main() {
	ctx := kong.Parse(&commands{}, kong.Name("pollenvm"),
		kong.Description("A VM of the pollendoor database proxy on its platform."), kong.UsageOnError())
	if err := ctx.Run(); err != nil {
		fmt.Fprintln(os.Stderr, "pollenvm:", err)
		os.Exit(1)
	}
}
