// Package check examines a configuration before it is sent: errors, entries that can
// never match, limits that contradict each other, and how it differs from the version
// in force. It does no I/O. Whether a VM accepts a configuration is decided by the
// code that the VM itself uses; the platform's package reads its form and returns a
// Document.
package check

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/pollendoor/pollendoor"
)

// Severity tells what a finding means for the fleet.
type Severity string

// The severities, the most severe first.
const (
	Error   Severity = "error"   // the fleet refuses the configuration, or a part of it does not work
	Warning Severity = "warning" // the configuration works, but most likely not as intended
)

// Finding is one result of a check.
type Finding struct {
	Severity Severity `json:"severity"`
	Path     string   `json:"path"`           // place in the file, such as routes[3].kind
	Line     int      `json:"line,omitempty"` // line in the file, from 1; zero if there is none
	Text     string   `json:"text"`
}

// String returns the finding as one line of text.
func (f Finding) String() string {
	return fmt.Sprintf("%d: %s: %s: %s", f.Line, f.Severity, f.Path, f.Text)
}

// Kind is the kind of an entry in a configuration.
type Kind string

// The kinds of entries.
const (
	RouteEntry Kind = "route"
	TeamEntry  Kind = "team"
	KeyEntry   Kind = "key"
	GroupEntry Kind = "group"
)

// Entry is one entry of a configuration as it is written, in the order of the file.
// Several may have the same name.
type Entry struct {
	Kind Kind
	Name string
	Team string // team of a key
	Path string
	Line int
}

// Document is a configuration as it was read from a file.
type Document struct {
	Config   *pollendoor.Config // nil if a VM refuses the configuration
	Entries  []Entry
	Findings []Finding // what is wrong with the form
}

// Environment is what the checks know besides the configuration. Checks that need a
// zero field are left out.
type Environment struct {
	Targets       []pollendoor.TargetInfo // targets that serve the groups
	PromoteTime   time.Duration           // duration of a change of primary
	Latency       time.Duration           // one-way time between the most distant zones
	StatementTime time.Duration           // least time of a statement at a target
}

// Run returns all findings on a document, in the order of the file.
func Run(d *Document, e Environment) []Finding {
	r := rules{document: d, environment: e, findings: slices.Clone(d.Findings)}
	r.duplicates()
	if d.Config != nil {
		r.routes()
		r.teams()
		r.groups()
		if d.Config.TxIdle <= 0 {
			r.add(Warning, Entry{Path: "configuration", Line: 1}, "transactions may be idle without limit, and keep their connections")
		}
	}
	slices.SortStableFunc(r.findings, func(a, b Finding) int { return cmp.Compare(a.Line, b.Line) })
	return r.findings
}

// rules collects the findings of the checks on one document.
type rules struct {
	document    *Document
	environment Environment
	findings    []Finding
}

// add adds a finding on an entry.
func (r *rules) add(s Severity, e Entry, format string, args ...any) {
	r.findings = append(r.findings, Finding{Severity: s, Path: e.Path, Line: e.Line, Text: fmt.Sprintf(format, args...)})
}

// each calls f for each entry of a kind, the last one of each name: that is the one in
// force.
func (r *rules) each(k Kind, f func(e Entry)) {
	last := make(map[string]int)
	for i, e := range r.document.Entries {
		if e.Kind == k {
			last[e.Name] = i
		}
	}
	for i, e := range r.document.Entries {
		if e.Kind == k && last[e.Name] == i {
			f(e)
		}
	}
}

// duplicates finds entries that a later one of the same name replaces.
func (r *rules) duplicates() {
	type id struct {
		kind Kind
		name string
	}
	later := make(map[id]Entry)
	for _, e := range slices.Backward(r.document.Entries) {
		if e.Name == "" {
			r.add(Error, e, "the %s has no name", e.Kind)
			continue
		}
		l, ok := later[id{e.Kind, e.Name}]
		switch {
		case !ok:
			later[id{e.Kind, e.Name}] = e
		case e.Kind == KeyEntry && e.Team != l.Team:
			r.add(Error, e, "the key belongs to team %s as well (line %d), which gets its callers", l.Team, l.Line)
		case e.Kind == KeyEntry:
			r.add(Warning, e, "the key is listed twice")
		default:
			r.add(Error, e, "%s %s is never used: line %d has the same name", e.Kind, e.Name, l.Line)
		}
	}
}

// leastStaleness is the allowed staleness below which a read never finds a position to
// wait for and goes to the primary: the time between two samples of its log.
const leastStaleness = 100 * time.Millisecond

// routes checks the routes.
func (r *rules) routes() {
	c := r.document.Config
	r.each(RouteEntry, func(e Entry) {
		t, ok := c.Routes[e.Name]
		if !ok {
			return
		}
		if _, ok := c.Groups[t.Group]; !ok {
			r.add(Error, e, "group %q does not exist, so no statement of the route can run", t.Group)
		}
		switch {
		case t.Timeout <= 0:
			r.add(Error, e, "the timeout is %v: every statement ends at once", t.Timeout)
		case t.Goal < 0:
			r.add(Error, e, "the goal is %v, want 0 or more", t.Goal)
		case t.Goal > 0 && t.Goal < 2*r.environment.Latency:
			r.add(Warning, e, "the goal of %v is shorter than the %v of a round trip to the most distant zone", t.Goal, 2*r.environment.Latency)
		}
		if t.Timeout > 0 && t.Timeout < r.environment.PromoteTime {
			r.add(Warning, e, "the timeout of %v is shorter than a change of primary (%v): statements in progress fail", t.Timeout, r.environment.PromoteTime)
		}
		if t.Priority < 0 {
			r.add(Error, e, "the priority is %d, want 0 or more", t.Priority)
		}
		switch bounded := t.Kind == pollendoor.KindBounded || t.Kind == pollendoor.KindReadYourWrites; {
		case t.MaxStaleness < 0:
			r.add(Error, e, "the allowed staleness is %v, want 0 or more", t.MaxStaleness)
		case bounded && t.MaxStaleness < leastStaleness:
			r.add(Warning, e, "the allowed staleness of %v is too short for a replica: all reads go to the primary", t.MaxStaleness)
		case !bounded && t.MaxStaleness > 0:
			r.add(Warning, e, "the allowed staleness of %v has no effect on a route of kind %s", t.MaxStaleness, t.Kind)
		}
	})
}

// teams checks the teams.
func (r *rules) teams() {
	c := r.document.Config
	hasKey := make(map[string]bool)
	for _, team := range c.Keys {
		hasKey[team] = true
	}
	capacity := r.statementsPerSecond()
	r.each(TeamEntry, func(e Entry) {
		l, ok := c.Teams[e.Name]
		if !ok {
			return
		}
		if !hasKey[e.Name] {
			r.add(Warning, e, "team %s has no key that is its own, so its limit applies to nobody", e.Name)
		}
		switch {
		case !(l.Rate >= 0) || !(l.Burst >= 0):
			r.add(Error, e, "rate %g and burst %g, want 0 or more", l.Rate, l.Burst)
		case l.Rate == 0:
			r.add(Error, e, "the rate is 0: all operations of team %s are refused", e.Name)
		case l.Burst < 1:
			r.add(Warning, e, "the burst of %g admits no operation at once", l.Burst)
		case capacity > 0 && l.Rate > capacity:
			r.add(Warning, e, "the rate of %g is more than the %.0f statements a second that the slots of all groups can run at %v each", l.Rate, capacity, r.environment.StatementTime)
		}
	})
}

// statementsPerSecond returns how many statements all slots can run in a second, zero if
// that is not known.
func (r *rules) statementsPerSecond() float64 {
	if r.environment.StatementTime <= 0 {
		return 0
	}
	slots := 0
	for _, t := range r.environment.Targets {
		slots += t.Slots
	}
	return float64(slots) / r.environment.StatementTime.Seconds()
}

// leastConnections is the number of connections of a target with which its home VM and
// one that takes its place can both connect.
const leastConnections = 4

// groups checks the groups.
func (r *rules) groups() {
	c := r.document.Config
	used := make(map[string]bool)
	for _, t := range c.Routes {
		used[t.Group] = true
	}
	targets := make(map[string]int)
	for _, t := range r.environment.Targets {
		targets[t.Group]++
	}
	r.each(GroupEntry, func(e Entry) {
		g, ok := c.Groups[e.Name]
		if !ok {
			return
		}
		if !used[e.Name] {
			r.add(Warning, e, "no route leads to group %s", e.Name)
		}
		switch {
		case g.MaxConnections <= 0:
			r.add(Error, e, "%d connections: no VM can connect", g.MaxConnections)
		case g.MaxConnections < leastConnections:
			r.add(Warning, e, "%d connections are too few for a home VM and one that takes its place, want %d or more", g.MaxConnections, leastConnections)
		}
		switch n := targets[e.Name]; {
		case g.SyncReplicas < 0:
			r.add(Error, e, "%d synchronous replicas, want 0 or more", g.SyncReplicas)
		case len(r.environment.Targets) == 0:
		case n == 0:
			r.add(Error, e, "group %s has no targets", e.Name)
		case g.SyncReplicas > n-1:
			r.add(Error, e, "%d synchronous replicas, but the group has %d replicas: no commit is acknowledged", g.SyncReplicas, n-1)
		case g.SyncReplicas > 0 && g.SyncReplicas == n-1:
			r.add(Warning, e, "all %d replicas are synchronous: one that is lost stops all commits", n-1)
		}
	})
}
