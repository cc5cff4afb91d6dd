package peers

import (
	"sort"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/pollendoor/pollendoor"
)

const (
	// HeardFresh is how old a heartbeat may be before its sender is suspect.
	HeardFresh = 1500 * time.Millisecond
	// newcomer is how long a VM new in the list may be silent.
	listedGrace = 2 * time.Second
	// HomesPerZone is how many VMs of each zone are homes of a group.
	HomesPerZone = 1
	// fullMesh is the fleet up to which each VM beats to every other.
	maxFullMesh = 24
	// zoneNeighbors is how many VMs of its own zone a VM of a larger fleet beats
	// to.
	zoneNeighbors = 4
	// otherZoneCount is how many other zones such a VM beats to, one VM in each.
	otherZoneCount = 2
)

// Member is one VM as another one knows it.
type Member struct {
	pollendoor.VM
	ID     string    // of its process, empty until heard
	Listed time.Time // since when the list has it
	Heard  time.Time // newest heartbeat
	Beat   Beat      // what it said
}

// live reports whether a member may be chosen for work.
func (m Member) live(neighbor bool, now time.Time) bool {
	if m.Leaving || m.Beat.Draining {
		return false
	}
	return !neighbor || now.Sub(m.Heard) <= HeardFresh || now.Sub(m.Listed) <= listedGrace
}

// View is what one VM knows of the fleet at a moment. It is immutable.
type View struct {
	Self    pollendoor.VM
	Members map[string]Member // by name, without Self
	At      time.Time
	Drained bool // this VM is leaving
	SelfID  string
	Listed  map[string]bool // VMs that the list has ever had, shared
	Since   time.Time       // when the list was first read, zero for never
	InList  bool            // the list has this VM

	// ZonesOf returns the zones in which a group has targets; none, or a nil
	// function, stands for all.
	ZonesOf func(group string) []string

	homes         sync.Map // group name to its homes, worked out once
	watchersOnce  sync.Once
	watchers      map[string][]pollendoor.VM
	neighborsOnce sync.Once
	neighborSet   map[string]bool
}

func score(name, key string) uint64 { return xxhash.Sum64String(name + "\x00" + key) }

// Ranked returns the live VMs of each zone, by rendezvous score for key.
func (v *View) rankByZone(key string, now time.Time) map[string][]pollendoor.VM {
	neighbors := v.neighbors()
	zones := make(map[string][]pollendoor.VM)
	if !v.Drained {
		zones[v.Self.Zone] = append(zones[v.Self.Zone], v.Self)
	}
	for n, m := range v.Members {
		if m.live(neighbors[n], now) {
			zones[m.Zone] = append(zones[m.Zone], m.VM)
		}
	}
	for _, list := range zones {
		sort.Slice(list, func(i, j int) bool { return score(list[i].Name, key) > score(list[j].Name, key) })
	}
	return zones
}

// Homes returns the VMs that are homes of a group, best first: the first of
// each zone that has a target, by rendezvous score, as of the view's moment. The list is shared and
// must not be changed.
func (v *View) Homes(group string) []pollendoor.VM {
	if h, ok := v.homes.Load(group); ok {
		return h.([]pollendoor.VM)
	}
	var list []pollendoor.VM
	zones := v.rankByZone(group, v.At)
	v.filterZones(zones, group)
	for _, z := range zones {
		list = append(list, z[:min(HomesPerZone, len(z))]...)
	}
	sort.Slice(list, func(i, j int) bool { return score(list[i].Name, group) > score(list[j].Name, group) })
	v.homes.Store(group, list)
	return list
}

// keepZones leaves out the zones in which the group has no targets, if there are
// live VMs in those where it has.
func (v *View) filterZones(zones map[string][]pollendoor.VM, group string) {
	if v.ZonesOf == nil {
		return
	}
	withTargets := make(map[string]bool)
	for _, z := range v.ZonesOf(group) {
		if len(zones[z]) > 0 {
			withTargets[z] = true
		}
	}
	if len(withTargets) == 0 {
		return
	}
	for z := range zones {
		if !withTargets[z] {
			delete(zones, z)
		}
	}
}

// watchersPerZone is how many VMs of each zone watch the platform's store.
const watchersPerZone = 2

// Watchers returns the VMs that watch the store, by zone, as of the view's
// moment. The map is shared and must not be changed.
func (v *View) Watchers() map[string][]pollendoor.VM {
	v.watchersOnce.Do(func() {
		v.watchers = v.rankByZone("watchers", v.At)
		for z, list := range v.watchers {
			v.watchers[z] = list[:min(watchersPerZone, len(list))]
		}
	})
	return v.watchers
}

// Watches reports whether this VM is one of its zone's watchers.
func (v *View) Watches() bool {
	for _, w := range v.Watchers()[v.Self.Zone] {
		if w.Name == v.Self.Name {
			return true
		}
	}
	return v.Drained
}

// neighbors returns the names of the VMs that this one beats to. The map is
// shared and must not be changed.
func (v *View) neighbors() map[string]bool {
	v.neighborsOnce.Do(func() { v.neighborSet = v.findNeighbors() })
	return v.neighborSet
}

// findNeighbors picks all of a small fleet, else the next ones on the ring of
// this VM's zone and a few of each other.
func (v *View) findNeighbors() map[string]bool {
	set := make(map[string]bool)
	if len(v.Members) <= maxFullMesh {
		for n := range v.Members {
			set[n] = true
		}
		return set
	}
	zones := make(map[string][]string)
	for n, m := range v.Members {
		zones[m.Zone] = append(zones[m.Zone], n)
	}
	ownKey := zones[v.Self.Zone]
	sort.Strings(ownKey)
	start := sort.SearchStrings(ownKey, v.Self.Name)
	for i := range min(zoneNeighbors, len(ownKey)) {
		set[ownKey[(start+i)%len(ownKey)]] = true
	}
	for _, z := range v.pickOtherZones(zones) {
		names := zones[z]
		sort.Strings(names)
		set[names[int(score(v.Self.Name, z)%uint64(len(names)))]] = true
	}
	return set
}

// otherZoneCount picks the other zones that this VM beats to.
func (v *View) pickOtherZones(zones map[string][]string) []string {
	var list []string
	for z := range zones {
		if z != v.Self.Zone {
			list = append(list, z)
		}
	}
	sort.Slice(list, func(i, j int) bool { return score(v.Self.Name, list[i]) > score(v.Self.Name, list[j]) })
	return list[:min(otherZoneCount, len(list))]
}

// beatEvery returns the time between heartbeats.
func (v *View) heartbeatInterval() time.Duration {
	if len(v.Members) <= maxFullMesh {
		return heartbeatInterval
	}
	return largeFleetHeartbeatInterval
}

// answersOnly reports whether this VM leaves the heartbeats with a peer to the
// peer: in a full mesh one of each two sends, and the other's answer is its own
// heartbeat. A peer that falls silent is called all the same.
func (v *View) peerSendsHeartbeat(name string) bool {
	return len(v.Members) <= maxFullMesh && name < v.Self.Name && v.At.Sub(v.Members[name].Heard) < 2*heartbeatInterval
}

// Zones returns the zones of the list, with this VM's.
func (v *View) Zones() []string {
	set := map[string]bool{v.Self.Zone: true}
	for _, m := range v.Members {
		set[m.Zone] = true
	}
	var list []string
	for z := range set {
		list = append(list, z)
	}
	sort.Strings(list)
	return list
}

// goneAfter is how long a VM that this one never saw in the list must be missing
// from it to be taken for ended.
const neverListedTimeout = 60 * time.Second

// Gone reports whether a process has certainly ended: the list had its VM and no
// longer does, or its VM answers as another process. A VM that the list never
// had may be too new for it.
func (v *View) Gone(id string) bool {
	name, _, _ := strings.Cut(id, "#")
	if name == v.Self.Name {
		return id != v.SelfID
	}
	if m, ok := v.Members[name]; ok {
		return m.ID != "" && m.ID != id
	}
	return v.Listed[name] || !v.Since.IsZero() && v.At.Sub(v.Since) > neverListedTimeout
}
