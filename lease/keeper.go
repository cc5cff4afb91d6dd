package lease

import (
	"cmp"
	"slices"
	"time"
)

const (
	// SmallFleet is the number of VMs up to which all of them do all work: keep rates,
	// and turn to the store when they do not hear the holder.
	SmallFleet = 24
	// zoneKeepers is the number of VMs of each zone that keep rates in a larger fleet.
	// After a start of all VMs the shares are known as soon as these have been heard.
	zoneKeepers = 3
)

// Keeps reports whether a VM may hold shares of rates.
func (r *Record) Keeps(vm string) bool {
	return len(r.Keepers) == 0 || slices.Contains(r.Keepers, vm)
}

// Keepers returns the VMs that should keep rates, and whether that is a change: the
// most powerful ones of each zone. Those that keep rates stay until they have been
// silent for so long that their shares have lapsed. A fleet that has got small keeps its
// list and follows it, as its VMs go by that.
func (l *Duty) Keepers(now time.Duration) ([]string, bool) {
	small := len(l.Record.Members) <= SmallFleet && len(l.Record.Keepers) == 0
	if small || !l.Clear(now) {
		return l.Record.Keepers, false
	}
	var list []string
	live := make(map[string]int) // by zone
	for _, name := range l.Record.Keepers {
		m := l.members[name]
		switch {
		case name == l.Self, m != nil && now-m.lastHeartbeat < heartbeatMaxAge:
			live[l.zone(name)]++
		case m != nil && now-m.lastHeartbeat >= memberTimeout, m == nil && now-l.Claimed >= memberTimeout:
			continue
		}
		list = append(list, name)
	}
	for _, name := range l.byPower(now) {
		if zone := l.zone(name); live[zone] < zoneKeepers && !slices.Contains(list, name) {
			list = append(list, name)
			live[zone]++
		}
	}
	slices.Sort(list)
	return list, !slices.Equal(list, l.Record.Keepers)
}

// Sharers returns the number of VMs that may hold shares of rates, and of those that
// have not been heard since the claim.
func (l *Duty) Sharers() (all, unheard int) {
	list := l.Record.Keepers
	if len(list) == 0 {
		list = l.Record.Members
	}
	for _, name := range list {
		if name != l.Self && l.members[name] == nil {
			unheard++
		}
	}
	return len(list), unheard
}

func (l *Duty) zone(vm string) string {
	if m := l.members[vm]; m != nil {
		return m.zone
	}
	return ""
}

// byPower returns the members that were heard lately, the most powerful first.
func (l *Duty) byPower(now time.Duration) []string {
	list := slices.DeleteFunc(slices.Clone(l.Record.Members), func(name string) bool {
		m := l.members[name]
		return m == nil || now-m.lastHeartbeat >= heartbeatMaxAge
	})
	slices.SortFunc(list, func(a, b string) int {
		return cmp.Or(cmp.Compare(l.power(b), l.power(a)), cmp.Compare(a, b))
	})
	return list
}
