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
func (d *Duty) Keepers(now time.Duration) ([]string, bool) {
	small := len(d.Record.Members) <= SmallFleet && len(d.Record.Keepers) == 0
	if small || !d.Clear(now) {
		return d.Record.Keepers, false
	}
	var list []string
	alive := make(map[string]int) // by zone
	for _, name := range d.Record.Keepers {
		m := d.members[name]
		switch {
		case name == d.Self, m != nil && now-m.heard < fresh:
			alive[d.zone(name)]++
		case m != nil && now-m.heard >= memberSilence, m == nil && now-d.Claimed >= memberSilence:
			continue
		}
		list = append(list, name)
	}
	for _, name := range d.byPower(now) {
		if zone := d.zone(name); alive[zone] < zoneKeepers && !slices.Contains(list, name) {
			list = append(list, name)
			alive[zone]++
		}
	}
	slices.Sort(list)
	return list, !slices.Equal(list, d.Record.Keepers)
}

// Sharers returns the number of VMs that may hold shares of rates, and of those that
// have not been heard since the claim.
func (d *Duty) Sharers() (all, unheard int) {
	list := d.Record.Keepers
	if len(list) == 0 {
		list = d.Record.Members
	}
	for _, name := range list {
		if name != d.Self && d.members[name] == nil {
			unheard++
		}
	}
	return len(list), unheard
}

func (d *Duty) zone(vm string) string {
	if m := d.members[vm]; m != nil {
		return m.zone
	}
	return ""
}

// byPower returns the members that were heard lately, the most powerful first.
func (d *Duty) byPower(now time.Duration) []string {
	list := slices.DeleteFunc(slices.Clone(d.Record.Members), func(name string) bool {
		m := d.members[name]
		return m == nil || now-m.heard >= fresh
	})
	slices.SortFunc(list, func(a, b string) int {
		return cmp.Or(cmp.Compare(d.power(b), d.power(a)), cmp.Compare(a, b))
	})
	return list
}
