package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"os"
	"os/user"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/pollendoor/pollendoor"
	"github.com/pollendoor/pollendoor/budget"
	"github.com/pollendoor/pollendoor/keys"
	"github.com/pollendoor/pollendoor/node"
	"github.com/pollendoor/pollendoor/tree"
)

// splitComma splits a flag value at its commas.
func splitComma(s string) []string { return strings.Split(s, ",") }

// adminTimeout is the timeout of a request to a VM's admin listener.
const adminTimeout = 15 * time.Second

// admin holds the flags of commands that send requests to a VM's admin listener.
type admin struct {
	Admin string `default:"http://127.0.0.1:7001" env:"POLLENDOOR_ADMIN" help:"URL of a VM's admin listener."`
	Token string `env:"POLLENDOOR_TOKEN" help:"Token for the admin listener."`
	JSON  bool   `name:"json" help:"Print JSON."`
}

// call sends one request with the JSON encoding of in as its body, no body if in is
// nil, and decodes the answer into out.
func (a *admin) call(method, path string, query url.Values, in, out any) error {
	var body io.Reader
	if in != nil {
		raw, err := json.Marshal(in)
		if err != nil {
			return errors.Wrap(err, "encode request")
		}
		body = bytes.NewReader(raw)
	}
	r, err := http.NewRequest(method, a.Admin+path+"?"+query.Encode(), body)
	if err != nil {
		return errors.Mark(errors.Wrap(err, "invalid URL of the VM's admin listener"), errUsage)
	}
	r.Header.Set("Authorization", "Bearer "+a.Token)
	resp, err := (&http.Client{Timeout: adminTimeout}).Do(r)
	if err != nil {
		return errors.Wrap(err, "no answer from the VM")
	}
	defer resp.Body.Close()
	raw, err := io.ReadAll(resp.Body)
	if err != nil {
		return errors.Wrap(err, "read the answer of the VM")
	}
	if resp.StatusCode != http.StatusOK {
		err := errors.Newf("%s", strings.TrimSpace(string(raw)))
		if resp.StatusCode == http.StatusBadRequest {
			return errors.Mark(err, errUsage)
		}
		return err
	}
	return errors.Wrap(json.Unmarshal(raw, out), "decode the answer of the VM")
}

// print prints v as JSON if the JSON flag is set; otherwise it calls text, which
// writes v as a table.
func (a *admin) print(v any, text func(w *tabwriter.Writer)) error {
	if a.JSON {
		return json.NewEncoder(os.Stdout).Encode(v)
	}
	w := tabwriter.NewWriter(os.Stdout, 2, 0, 2, ' ', 0)
	text(w)
	return w.Flush()
}

// operator returns the name of the operating system's user, which is recorded with changes.
func operator() string {
	if u, err := user.Current(); err == nil {
		return u.Username
	}
	return "operator"
}

// settingsCmd has the commands for the settings tree.
type settingsCmd struct {
	Get     settingsGet     `cmd:"" help:"Show what a branch sets, and its version."`
	Set     settingsSet     `cmd:"" help:"Replace what a branch sets."`
	Delete  settingsDelete  `cmd:"" help:"Delete a branch; branches that inherit from it then inherit from its parent."`
	Diff    settingsDiff    `cmd:"" help:"Show the differences between a file and a branch."`
	History settingsHistory `cmd:"" help:"Show the versions of a branch."`
	Explain settingsExplain `cmd:"" help:"Show which branch each setting in force comes from."`
	Status  settingsStatus  `cmd:"" help:"Show which VMs have the same settings in force."`
}

// branchArg holds the flags and the argument of commands that read or change one branch.
type branchArg struct {
	admin
	Path string `arg:"" help:"Branch, such as /teams/festa."`
}

// get returns the branch as the VM has it.
func (b *branchArg) get() (node.BranchView, error) {
	var v node.BranchView
	return v, b.call(http.MethodGet, "/settings", url.Values{"path": {b.Path}}, nil, &v)
}

type settingsGet struct{ branchArg }

// Run shows what a branch sets.
func (c *settingsGet) Run() error {
	v, err := c.get()
	if err != nil {
		return err
	}
	return c.print(v, func(w *tabwriter.Writer) {
		fmt.Fprintf(w, "# %s, version %d, by %s at %s\n%s\n", v.Path, v.Version, v.Branch.By, v.Branch.At.Format(time.RFC3339), v.Branch.YAML)
		if v.Version == 0 || v.Path == "/" {
			fmt.Fprintf(w, "# branches: %s\n", strings.Join(v.Paths, " "))
		}
	})
}

type settingsSet struct {
	branchArg
	File  string `arg:"" default:"-" help:"YAML file, - for standard input."`
	Based *int64 `help:"Version that the change is based on; the one in force if not given."`
}

// Run replaces what a branch sets.
func (c *settingsSet) Run() error {
	raw, err := readFile(c.File)
	if err != nil {
		return err
	}
	return c.edit(tree.Edit{YAML: string(raw)}, c.Based)
}

// edit sends a change of the branch, based on the given version or, if based is nil, on
// the version in force.
func (b *branchArg) edit(e tree.Edit, based *int64) error {
	if based != nil {
		e.Based = uint64(*based)
	} else {
		v, err := b.get()
		if err != nil {
			return err
		}
		e.Based = v.Version
	}
	e.Path, e.By = b.Path, operator()
	var v node.BranchView
	if err := b.call(http.MethodPost, "/settings", nil, e, &v); err != nil {
		return err
	}
	return b.print(v, func(w *tabwriter.Writer) { fmt.Fprintf(w, "%s accepted as version %d\n", v.Path, v.Version) })
}

// readFile returns the content of a file, or standard input if name is "-".
func readFile(name string) ([]byte, error) {
	if name == "-" {
		return io.ReadAll(os.Stdin)
	}
	raw, err := os.ReadFile(name)
	return raw, errors.Mark(err, errUsage)
}

type settingsDelete struct {
	branchArg
	Based *int64 `help:"Version that the deletion is based on."`
}

// Run deletes a branch.
func (c *settingsDelete) Run() error { return c.edit(tree.Edit{Delete: true}, c.Based) }

type settingsDiff struct {
	branchArg
	File string `arg:"" default:"-" help:"YAML file, - for standard input."`
}

// Run prints the lines that only the branch has, marked -, and the lines that only
// the file has, marked +.
func (c *settingsDiff) Run() error {
	v, err := c.get()
	if err != nil {
		return err
	}
	raw, err := readFile(c.File)
	if err != nil {
		return err
	}
	for _, l := range linesOnlyInFirst(v.Branch.YAML, string(raw)) {
		fmt.Println("-", l)
	}
	for _, l := range linesOnlyInFirst(string(raw), v.Branch.YAML) {
		fmt.Println("+", l)
	}
	return nil
}

// linesOnlyInFirst returns the lines of a that b does not contain. It ignores empty
// lines, leading and trailing space, and the order of lines.
func linesOnlyInFirst(a, b string) []string {
	has := make(map[string]bool)
	for l := range strings.Lines(b) {
		has[strings.TrimSpace(l)] = true
	}
	var list []string
	for l := range strings.Lines(a) {
		if t := strings.TrimSpace(l); t != "" && !has[t] {
			list = append(list, strings.TrimRight(l, "\n"))
		}
	}
	return list
}

type settingsHistory struct{ branchArg }

// Run shows the earlier versions of a branch and the one in force.
func (c *settingsHistory) Run() error {
	v, err := c.get()
	if err != nil {
		return err
	}
	return c.print(v.Branch.History, func(w *tabwriter.Writer) {
		for _, p := range v.Branch.History {
			fmt.Fprintf(w, "# version %d, by %s at %s\n%s\n", p.Version, p.By, p.At.Format(time.RFC3339), p.YAML)
		}
		fmt.Fprintf(w, "# version %d, by %s at %s, in force\n%s\n", v.Version, v.Branch.By, v.Branch.At.Format(time.RFC3339), v.Branch.YAML)
	})
}

type settingsExplain struct{ branchArg }

// Run shows the branch that each setting in force comes from.
func (c *settingsExplain) Run() error {
	var list []tree.Source
	if err := c.call(http.MethodGet, "/explain/settings", url.Values{"path": {c.Path}}, nil, &list); err != nil {
		return err
	}
	return c.print(list, func(w *tabwriter.Writer) {
		for _, s := range list {
			fmt.Fprintf(w, "%s\t%s\tfrom %s\n", s.Name, s.Value, s.Branch)
		}
	})
}

type settingsStatus struct{ admin }

// Run shows which VMs have the same settings in force.
func (c *settingsStatus) Run() error {
	var s node.Status
	if err := c.call(http.MethodGet, "/status", nil, nil, &s); err != nil {
		return err
	}
	return c.print(s, func(w *tabwriter.Writer) {
		fmt.Fprintf(w, "%s\t%s\tthis VM\n", s.VM, s.Zone)
		for _, p := range s.Peers {
			state := "other versions in force"
			if p.SameSettings {
				state = "same versions in force"
			}
			fmt.Fprintf(w, "%s\t%s\t%s, last heartbeat %d ms ago\n", p.VM, p.Zone, state, p.HeardMS)
		}
	})
}

type statusCmd struct{ admin }

// Run shows the state of a VM and of the fleet as the VM sees it.
func (c *statusCmd) Run() error {
	var s node.Status
	if err := c.call(http.MethodGet, "/status", nil, nil, &s); err != nil {
		return err
	}
	return c.print(s, func(w *tabwriter.Writer) {
		ready := "ready"
		if s.Ready != "" {
			ready = "not ready: " + s.Ready
		}
		fmt.Fprintf(w, "%s in %s: %s, %d sessions, last in sync with the platform %d ms ago\n", s.VM, s.Zone, ready, s.Sessions, s.AgeMS)
		for _, g := range s.Groups {
			fmt.Fprintf(w, "group %s\tterm %d\t%s\tprimary %s\thome VMs %s\n", g.Group, g.Term, g.Phase, g.Primary, strings.Join(g.Homes, " "))
			for name, t := range g.Targets {
				fmt.Fprintf(w, "  %s\t%s\tterm %d\tindex %d, applied %d\tage %d ms\n", name, t.Role, t.Term, t.Index, t.Applied, t.AgeMS)
			}
		}
		for _, p := range s.Peers {
			fmt.Fprintf(w, "peer %s\t%s\tlast heartbeat %d ms ago\n", p.VM, p.Zone, p.HeardMS)
		}
	})
}

// teamCmd has the commands for teams.
type teamCmd struct {
	Create teamCreate `cmd:"" help:"Create a team."`
	List   teamList   `cmd:"" help:"List the teams."`
}

type teamCreate struct {
	admin
	Name   string   `arg:"" help:"The team's name."`
	Rate   float64  `default:"100" help:"Statements per second over all VMs."`
	Burst  float64  `default:"200" help:"Statements that may exceed the rate at one time, over all VMs."`
	Routes []string `required:"" help:"Routes, or prefixes that end in a slash."`
}

// Run creates the settings branch of a team. It fails if the branch exists.
func (c *teamCreate) Run() error {
	text := fmt.Sprintf("rate: %v\nburst: %v\nroutes: [%s]\n", c.Rate, c.Burst, strings.Join(c.Routes, ", "))
	b := branchArg{admin: c.admin, Path: "/teams/" + c.Name}
	zero := int64(0)
	return b.edit(tree.Edit{YAML: text}, &zero)
}

type teamList struct{ admin }

// Run lists the teams.
func (c *teamList) Run() error {
	b := branchArg{admin: c.admin, Path: "/"}
	v, err := b.get()
	if err != nil {
		return err
	}
	for _, p := range v.Paths {
		if name, ok := strings.CutPrefix(p, "/teams/"); ok {
			fmt.Println(name)
		}
	}
	return nil
}

// keyCmd has the commands for teams' keys.
type keyCmd struct {
	Create   keyCreate   `cmd:"" help:"Create a key; its secret is shown once."`
	Withdraw keyWithdraw `cmd:"" help:"Withdraw a key and close its open connections."`
	List     keyList     `cmd:"" help:"List a team's keys."`
}

// keyArgs holds the flags and arguments of commands on one key.
type keyArgs struct {
	admin
	Team string `arg:"" help:"The team."`
	ID   string `arg:"" help:"The key's id."`
}

type keyCreate struct{ keyArgs }

// Run creates a key.
func (c *keyCreate) Run() error {
	var a node.KeyAnswer
	if err := c.call(http.MethodPost, "/keys/create", nil, node.KeyRequest{Team: c.Team, ID: c.ID, By: operator()}, &a); err != nil {
		return err
	}
	return c.print(a, func(w *tabwriter.Writer) { fmt.Fprintf(w, "user\t%s\nsecret\t%s\n", a.User, a.Secret) })
}

type keyWithdraw struct{ keyArgs }

// Run withdraws a key.
func (c *keyWithdraw) Run() error {
	var a node.KeyAnswer
	if err := c.call(http.MethodPost, "/keys/withdraw", nil, node.KeyRequest{Team: c.Team, ID: c.ID, By: operator()}, &a); err != nil {
		return err
	}
	return c.print(a, func(w *tabwriter.Writer) { fmt.Fprintf(w, "%s is withdrawn\n", a.User) })
}

type keyList struct {
	admin
	Team string `arg:"" help:"The team."`
}

// Run lists a team's keys.
func (c *keyList) Run() error {
	var r keys.Ring
	if err := c.call(http.MethodGet, "/keys", url.Values{"team": {c.Team}}, nil, &r); err != nil {
		return err
	}
	return c.print(r, func(w *tabwriter.Writer) {
		for _, k := range r.Keys {
			state := "live"
			if k.Withdrawn != nil {
				state = "withdrawn " + k.Withdrawn.Format(time.RFC3339)
			}
			fmt.Fprintf(w, "%s\tcreated %s by %s\t%s\n", k.ID, k.Created.Format(time.RFC3339), k.By, state)
		}
	})
}

// explainCmd has the commands that explain the state of a group.
type explainCmd struct {
	Group explainGroup `cmd:"" help:"Explain why a group has its current primary."`
}

type explainGroup struct {
	admin
	Name string `arg:"" help:"The group, such as potes/potes-1."`
}

// Run shows the events of a group: those in the group record on the platform, and
// those that this VM recorded itself.
func (c *explainGroup) Run() error {
	var g node.GroupExplained
	if err := c.call(http.MethodGet, "/explain/group", url.Values{"name": {c.Name}}, nil, &g); err != nil {
		return err
	}
	return c.print(g, func(w *tabwriter.Writer) {
		fmt.Fprintf(w, "%s: term %d is %s at %s\n", g.Record.Group, g.Record.Term, g.Record.Phase, g.Record.Primary)
		printEvents(w, "events in the group record", g.Record.Events)
		printEvents(w, "events recorded by this VM", g.Local)
	})
}

func printEvents(w io.Writer, title string, list []pollendoor.Event) {
	fmt.Fprintf(w, "%s:\n", title)
	for _, e := range list {
		fmt.Fprintf(w, "  %s\t%s\t%s\t%s\n", e.At.Format("2006-01-02 15:04:05.000"), e.VM, e.Kind, e.Cause)
	}
}

// reportCmd has the commands that report on service levels.
type reportCmd struct {
	Burn reportBurn `cmd:"" help:"Show the burn rate of each team's error budget."`
}

type reportBurn struct {
	admin
	HTML string `name:"html" type:"path" help:"Write an HTML page with plots to this file."`
}

// Run reports the burn rate of each team's error budget.
func (c *reportBurn) Run() error {
	var list []budget.Summary
	if err := c.call(http.MethodGet, "/burn", nil, nil, &list); err != nil {
		return err
	}
	now := time.Now()
	if c.HTML != "" {
		page, err := budget.Page(list, now)
		if err != nil {
			return err
		}
		return errors.Wrap(os.WriteFile(c.HTML, page, 0o644), "write report")
	}
	rows := budget.Report(list, now)
	return c.print(rows, func(w *tabwriter.Writer) {
		fmt.Fprintln(w, "team\twindow\tobjective\tgood\tlate\trefused within rate\tunknown\tover rate\treads by replicas\tburn")
		for _, r := range rows {
			share := "-"
			if r.Count.Reads > 0 {
				share = fmt.Sprintf("%.1f%%", 100*float64(r.Count.Replica)/float64(r.Count.Reads))
			}
			fmt.Fprintf(w, "%s\t%s\t%.4g\t%d\t%d\t%d\t%d\t%d\t%s\t%.2f\n", r.Team, r.Window, r.Objective,
				r.Count.Good, r.Count.Late, r.Count.Refused, r.Count.Unknown, r.Count.OverRate, share, r.Burn)
		}
	})
}
