package check

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/pollendoor/pollendoor"
)

// Effect is what a difference means for callers.
type Effect string

// The effects.
const (
	CutsOff  Effect = "cuts off" // callers that are served now are refused
	Stricter Effect = "stricter"
	Looser   Effect = "looser"
	Changed  Effect = "changed"
	Added    Effect = "added"
	Removed  Effect = "removed" // nobody could use it
)

// Change is one difference between the version in force and a new one.
type Change struct {
	Effect Effect `json:"effect"`
	Entry  string `json:"entry"` // such as route shop
	Text   string `json:"text"`
}

// String returns the change as one line of text.
func (c Change) String() string { return fmt.Sprintf("%s: %s: %s", c.Effect, c.Entry, c.Text) }

// Diff returns the differences by meaning, those that cut callers off first.
func Diff(inForce, next *pollendoor.Config) []Change {
	d := differ{}
	if next.Version <= inForce.Version {
		d.add(Changed, "configuration", "version %d is not newer than %d, so VMs ignore it", next.Version, inForce.Version)
	}
	d.routes(inForce, next)
	d.keys(inForce, next)
	d.teams(inForce, next)
	d.groups(inForce, next)
	d.duration("configuration", "idle time of transactions", inForce.TxIdle, next.TxIdle, Stricter)
	order := []Effect{CutsOff, Stricter, Looser, Changed, Added, Removed}
	slices.SortStableFunc(d.changes, func(a, b Change) int {
		return cmp.Compare(slices.Index(order, a.Effect), slices.Index(order, b.Effect))
	})
	return d.changes
}

// differ collects changes.
type differ struct{ changes []Change }

func (d *differ) add(e Effect, entry, format string, args ...any) {
	d.changes = append(d.changes, Change{Effect: e, Entry: entry, Text: fmt.Sprintf(format, args...)})
}

// opposite returns the effect of the reverse change.
func opposite(e Effect) Effect {
	switch e {
	case Stricter:
		return Looser
	case Looser:
		return Stricter
	}
	return e
}

// number adds a change of a number; lower is the effect of a lower one.
func number[T int | float64](d *differ, entry, what string, before, after T, lower Effect) {
	if before == after {
		return
	}
	e := lower
	if after > before {
		e = opposite(lower)
	}
	d.add(e, entry, "%s %v -> %v", what, before, after)
}

// duration is like number for durations.
func (d *differ) duration(entry, what string, before, after time.Duration, shorter Effect) {
	if before == after {
		return
	}
	e := shorter
	if after > before {
		e = opposite(shorter)
	}
	d.add(e, entry, "%s %v -> %v", what, before, after)
}

// consistency orders the kinds of routes by how much reads may miss.
func consistency(k pollendoor.RouteKind) int {
	return slices.Index([]pollendoor.RouteKind{pollendoor.KindBounded, pollendoor.KindReadYourWrites, pollendoor.KindPrimary}, k)
}

// routes compares the routes.
func (d *differ) routes(inForce, next *pollendoor.Config) {
	for _, name := range sortedKeys(inForce.Routes) {
		entry, before := "route "+name, inForce.Routes[name]
		after, ok := next.Routes[name]
		if !ok {
			d.add(CutsOff, entry, "removed: sessions on this database end")
			continue
		}
		if before.Group != after.Group {
			d.add(Changed, entry, "group %s -> %s: from the next transaction on, other data", before.Group, after.Group)
		}
		if a, b := consistency(before.Kind), consistency(after.Kind); a != b {
			e := Stricter
			if b < a {
				e = Looser
			}
			d.add(e, entry, "kind %s -> %s", before.Kind, after.Kind)
		}
		d.duration(entry, "timeout", before.Timeout, after.Timeout, Stricter)
		d.duration(entry, "goal", before.Goal, after.Goal, Stricter)
		d.duration(entry, "allowed staleness", before.MaxStaleness, after.MaxStaleness, Stricter)
		number(d, entry, "priority", before.Priority, after.Priority, Changed)
		d.regions(entry, before.Regions, after.Regions)
		switch {
		case before.Open && !after.Open:
			d.add(CutsOff, entry, "callers without a key are refused")
		case !before.Open && after.Open:
			d.add(Looser, entry, "callers need no key")
		}
	}
	for _, name := range sortedKeys(next.Routes) {
		if _, ok := inForce.Routes[name]; !ok {
			d.add(Added, "route "+name, "to group %s", next.Routes[name].Group)
		}
	}
}

// regions adds a change of the regions whose targets may run statements.
func (d *differ) regions(entry string, before, after pollendoor.Regions) {
	if (before == nil) == (after == nil) && slices.Equal(before, after) {
		return
	}
	stricter := after != nil && slices.ContainsFunc(before, func(r string) bool { return !after.Allow(r) }) || before == nil
	looser := before != nil && slices.ContainsFunc(after, func(r string) bool { return !before.Allow(r) }) || after == nil
	e := Changed
	switch {
	case stricter && !looser:
		e = Stricter
	case looser && !stricter:
		e = Looser
	}
	name := func(r pollendoor.Regions) any {
		if r == nil {
			return "all"
		}
		return []string(r)
	}
	d.add(e, entry, "regions %v -> %v", name(before), name(after))
}

// keys compares the keys. Keys are secrets, so only their number is shown.
func (d *differ) keys(inForce, next *pollendoor.Config) {
	removed, added, moved := make(map[string]int), make(map[string]int), make(map[string]int)
	left := make(map[string]int)
	for key, team := range inForce.Keys {
		switch after, ok := next.Keys[key]; {
		case !ok:
			removed[team]++
		case after != team:
			moved[team]++
		default:
			left[team]++
		}
	}
	for key, team := range next.Keys {
		if _, ok := inForce.Keys[key]; !ok {
			added[team]++
		}
	}
	for _, team := range sortedKeys(removed) {
		rest := ""
		if left[team]+added[team] == 0 {
			rest = ", and has none left"
		}
		d.add(CutsOff, "team "+team, "%d keys withdrawn%s", removed[team], rest)
	}
	for _, team := range sortedKeys(moved) {
		d.add(CutsOff, "team "+team, "%d keys belong to another team", moved[team])
	}
	for _, team := range sortedKeys(added) {
		d.add(Added, "team "+team, "%d keys", added[team])
	}
}

// teams compares the limits of the teams.
func (d *differ) teams(inForce, next *pollendoor.Config) {
	for _, name := range sortedKeys(inForce.Teams) {
		before := inForce.Teams[name]
		after, ok := next.Teams[name]
		if !ok {
			d.add(Removed, "team "+name, "no limit any more")
			continue
		}
		number(d, "team "+name, "rate", before.Rate, after.Rate, Stricter)
		number(d, "team "+name, "burst", before.Burst, after.Burst, Stricter)
		d.regions("team "+name, inForce.TeamRegions[name], next.TeamRegions[name])
	}
	for _, name := range sortedKeys(next.Teams) {
		if _, ok := inForce.Teams[name]; !ok {
			d.add(Added, "team "+name, "rate %g, burst %g", next.Teams[name].Rate, next.Teams[name].Burst)
		}
	}
}

// groups compares the groups.
func (d *differ) groups(inForce, next *pollendoor.Config) {
	used := make(map[string]bool)
	for _, r := range inForce.Routes {
		used[r.Group] = true
	}
	for _, name := range sortedKeys(inForce.Groups) {
		entry, before := "group "+name, inForce.Groups[name]
		after, ok := next.Groups[name]
		if !ok {
			e := Removed
			if used[name] {
				e = CutsOff
			}
			d.add(e, entry, "removed")
			continue
		}
		number(d, entry, "connections", before.MaxConnections, after.MaxConnections, Stricter)
		number(d, entry, "synchronous replicas", before.SyncReplicas, after.SyncReplicas, Looser)
		number(d, entry, "requests a second to a cold target", before.ColdPerS, after.ColdPerS, Stricter)
		d.duration(entry, "time of a cold start", before.ColdStart, after.ColdStart, Changed)
		if before.Adaptive != after.Adaptive {
			d.add(Changed, entry, "adaptive %v -> %v", before.Adaptive, after.Adaptive)
		}
	}
	for _, name := range sortedKeys(next.Groups) {
		if _, ok := inForce.Groups[name]; !ok {
			d.add(Added, "group "+name, "%d connections", next.Groups[name].MaxConnections)
		}
	}
}

// sortedKeys returns the keys of a map in order.
func sortedKeys[V any](m map[string]V) []string { return slices.Sorted(maps.Keys(m)) }
