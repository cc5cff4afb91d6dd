package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/mattn/go-isatty"

	"github.com/pollendoor/pollendoor/check"
	"github.com/pollendoor/pollendoor/conf"
	"github.com/pollendoor/pollendoor/fleet"
	"github.com/pollendoor/pollendoor/platform"
)

// checkCmd checks a file before it is sent.
type checkCmd struct {
	File    string `arg:"" type:"path" help:"Configuration of the platform (JSON), or settings file of a VM (YAML)."`
	Against string `type:"path" help:"Configuration in force, to show what differs."`
	Kind    string `enum:"auto,config,vm,serve" default:"auto" help:"What the file is: config, vm (settings of pollenvm), serve (settings of pollendoor serve)."`
	JSON    bool   `help:"Print one JSON object."`

	Targets       string        `type:"path" help:"Targets' entries as the store lists them (JSON), to check limits against slots and replicas."`
	PromoteTime   time.Duration `help:"Duration of a change of primary, to check timeouts against."`
	Latency       time.Duration `help:"One-way time between the most distant zones, to check goals against."`
	StatementTime time.Duration `default:"1ms" help:"Least time of a statement at a target, to check rates against slots."`
}

// errFindings makes the command exit with status 1 after the findings were printed.
var errFindings = errors.New("the check has findings")

// checkReport is the output of the command.
type checkReport struct {
	File     string          `json:"file"`
	Findings []check.Finding `json:"findings"`
	Changes  []check.Change  `json:"changes"`
}

// Run checks the file. It returns errUsage if it can't be read and errFindings if there
// are findings.
func (c *checkCmd) Run() error {
	r := checkReport{File: c.File, Findings: []check.Finding{}, Changes: []check.Change{}}
	raw, err := os.ReadFile(c.File)
	if err == nil {
		err = c.inspect(raw, &r)
	}
	if err != nil {
		return errors.Mark(errors.Wrap(err, c.File), errUsage)
	}
	if err := r.print(os.Stdout, c.JSON, isatty.IsTerminal(os.Stdout.Fd())); err != nil {
		return err
	}
	if len(r.Findings) > 0 {
		return errFindings
	}
	return nil
}

// inspect fills the report for the contents of the file.
func (c *checkCmd) inspect(raw []byte, r *checkReport) error {
	kind := c.Kind
	if kind == "auto" {
		kind = kindOf(raw)
	}
	if kind != "config" {
		var err error
		if kind == "vm" {
			_, err = fleet.Parse(raw)
		} else {
			_, err = conf.Parse(raw)
		}
		if err != nil {
			r.Findings = append(r.Findings, check.Finding{Severity: check.Error, Path: "settings", Text: err.Error()})
		}
		return nil
	}
	d, err := platform.InspectConfig(raw)
	if err != nil {
		return err
	}
	e := check.Environment{PromoteTime: c.PromoteTime, Latency: c.Latency, StatementTime: c.StatementTime}
	if c.Targets != "" {
		list, err := os.ReadFile(c.Targets)
		if err == nil {
			e.Targets, err = platform.InspectTargets(list)
		}
		if err != nil {
			return errors.Wrap(err, c.Targets)
		}
	}
	r.Findings = append(r.Findings, check.Run(d, e)...)
	if c.Against == "" || d.Config == nil {
		return nil
	}
	inForce, err := os.ReadFile(c.Against)
	if err != nil {
		return err
	}
	old, err := platform.InspectConfig(inForce)
	if err == nil && old.Config == nil {
		err = errors.New("VMs refuse this version")
	}
	if err != nil {
		return errors.Wrap(err, c.Against)
	}
	r.Changes = append(r.Changes, check.Diff(old.Config, d.Config)...)
	return nil
}

// kindOf guesses the kind of a file: a configuration is a JSON object, and only
// pollenvm's settings have a store.
func kindOf(raw []byte) string {
	switch {
	case bytes.HasPrefix(bytes.TrimSpace(raw), []byte("{")):
		return "config"
	case bytes.HasPrefix(raw, []byte("store:")) || bytes.Contains(raw, []byte("\nstore:")):
		return "vm"
	}
	return "serve"
}

// print writes the report as JSON or as text, in which color marks the severity.
func (r *checkReport) print(w io.Writer, asJSON, color bool) error {
	if asJSON {
		return json.NewEncoder(w).Encode(r)
	}
	paint := func(severe bool, text string) string {
		switch {
		case !color:
			return text
		case severe:
			return "\x1b[31m" + text + "\x1b[0m"
		}
		return "\x1b[33m" + text + "\x1b[0m"
	}
	var out bytes.Buffer
	for _, f := range r.Findings {
		fmt.Fprintf(&out, "%s:%s\n", r.File, paint(f.Severity == check.Error, f.String()))
	}
	for _, c := range r.Changes {
		fmt.Fprintln(&out, paint(c.Effect == check.CutsOff, c.String()))
	}
	if len(r.Findings) == 0 {
		fmt.Fprintf(&out, "%s: no findings, %d changes\n", r.File, len(r.Changes))
	}
	_, err := w.Write(out.Bytes())
	return err
}
