package lease

import (
	"cmp"
	"slices"
	"time"
)

const (
	// SmallFleet is the number of VMs up to which all of them do all work: they
	// all keep rate quotas, and all read the store when they receive no answer
	// from the leader.
	SmallFleet = 24
	// zoneKeepers is the number of VMs of each zone that keep rate quotas in a
	// larger fleet. After a start of all VMs, the shares are known as soon as
	// these have sent a heartbeat.
	zoneKeepers = 3
)

// IsKeeper reports whether a VM may hold shares of rate quotas.
func (r *Record) IsKeeper(vm string) bool {
	return len(r.Keepers) == 0 || slices.Contains(r.Keepers, vm)
}

// Keepers returns the VMs that should keep rate quotas, and whether these differ
// from the record's: the most powerful VMs of each zone. A keeper stays until it
// has been silent for so long that its shares have expired. A fleet that has
// shrunk to SmallFleet or fewer members still has its list updated, because its
// VMs use the list as long as there is one.
func (l *Leader) Keepers(now time.Duration) ([]string, bool) {
	small := len(l.Record.Members) <= SmallFleet && len(l.Record.Keepers) == 0
	if small || !l.EarlierLeasesEnded(now) {
		return l.Record.Keepers, false
	}
	var list []string
	live := make(map[string]int) // number of live keepers by zone
	for _, name := range l.Record.Keepers {
		m := l.members[name]
		switch {
		case name == l.Self, m != nil && now-m.lastHeartbeat < heartbeatMaxAge:
			live[l.zone(name)]++
		case !l.LongLeasesEnded(now): // nor have shares that were granted with them
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

// QuotaHolders returns the number of VMs that may hold shares of rate quotas, and
// how many of them have sent no heartbeat since the claim.
func (l *Leader) QuotaHolders() (all, unreported int) {
	list := l.Record.Keepers
	if len(list) == 0 {
		list = l.Record.Members
	}
	for _, name := range list {
		if name != l.Self && l.members[name] == nil {
			unreported++
		}
	}
	return len(list), unreported
}

func (l *Leader) zone(vm string) string {
	if m := l.members[vm]; m != nil {
		return m.zone
	}
	return ""
}

// byPower returns the members that sent a heartbeat recently, the most powerful
// first.
func (l *Leader) byPower(now time.Duration) []string {
	list := slices.DeleteFunc(slices.Clone(l.Record.Members), func(name string) bool {
		m := l.members[name]
		return m == nil || now-m.lastHeartbeat >= heartbeatMaxAge
	})
	slices.SortFunc(list, func(a, b string) int {
		return cmp.Or(cmp.Compare(l.power(b), l.power(a)), cmp.Compare(a, b))
	})
	return list
}
