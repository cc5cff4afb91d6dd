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
	// MaxHeartbeatAge is the maximum age of a heartbeat for its sender to count
	// as live.
	MaxHeartbeatAge = 1500 * time.Millisecond
	// listedGrace is how long a newly listed VM may send no heartbeat and still
	// count as live.
	listedGrace = 2 * time.Second
	// HomesPerZone is the number of home VMs of a group in each zone.
	HomesPerZone = 1
	// maxFullMesh is the number of other members up to which each VM exchanges
	// heartbeats with every other.
	maxFullMesh = 24
	// zoneNeighbors is the number of VMs of its own zone to which a VM of a larger
	// fleet sends heartbeats.
	zoneNeighbors = 4
	// otherZoneCount is the number of other zones to which such a VM sends
	// heartbeats, to one VM in each.
	otherZoneCount = 2
)

// Member is the state of one VM as seen by another.
type Member struct {
	pollendoor.VM
	ID          string    // ID of its process, empty until the first heartbeat
	FirstSeen   time.Time // when it was first seen, in the list or by a heartbeat
	HeartbeatAt time.Time // when its newest heartbeat was received
	Heartbeat   Heartbeat // its newest heartbeat
}

// live reports whether a member may be chosen for work. Only neighbors exchange
// heartbeats, so only they are judged by the age of theirs.
func (m Member) live(neighbor bool, pace Pace, now time.Time) bool {
	if m.Leaving || m.Heartbeat.Draining {
		return false
	}
	return !neighbor || pace.Silence(m.HeartbeatAt, now) <= MaxHeartbeatAge || now.Sub(m.FirstSeen) <= listedGrace
}

// View is one VM's view of the fleet at one moment. It is immutable.
type View struct {
	Self            pollendoor.VM
	Members         map[string]Member // other VMs by name, without Self
	At              time.Time         // when the view was made
	Pace            Pace              // of this VM's rounds of heartbeats
	Draining        bool              // whether this VM takes no more work
	SelfID          string            // ID of this VM's process
	EverListed      map[string]bool   // names of all VMs that any list contained; shared, must not be changed
	ListFirstReadAt time.Time         // when the list of VMs was first read, zero for never
	SelfListed      bool              // whether the newest list contains this VM

	// ZonesOf returns the zones in which a group has targets. An empty result or
	// a nil function stands for all zones.
	ZonesOf func(group string) []string

	homes         sync.Map // cached results of Homes, by group name
	watchersOnce  sync.Once
	watchers      map[string][]pollendoor.VM
	neighborsOnce sync.Once
	neighborSet   map[string]bool
}

// score returns the rendezvous score of a VM or zone for a key.
func score(name, key string) uint64 { return xxhash.Sum64String(name + "\x00" + key) }

// rankByZone returns the live VMs of each zone, in descending order of their
// rendezvous score for key.
func (v *View) rankByZone(key string, now time.Time) map[string][]pollendoor.VM {
	neighbors := v.neighbors()
	zones := make(map[string][]pollendoor.VM)
	if !v.Draining {
		zones[v.Self.Zone] = append(zones[v.Self.Zone], v.Self)
	}
	for n, m := range v.Members {
		if m.live(neighbors[n], v.Pace, now) {
			zones[m.Zone] = append(zones[m.Zone], m.VM)
		}
	}
	for _, list := range zones {
		sort.Slice(list, func(i, j int) bool { return score(list[i].Name, key) > score(list[j].Name, key) })
	}
	return zones
}

// Homes returns the home VMs of a group at the time of the view: in each zone with
// a target the VM with the highest rendezvous score. They are sorted by
// descending score. The list is shared and must not be changed.
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

// filterZones removes the zones in which the group has no targets, unless none of
// the zones with targets has live VMs.
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

// watchersPerZone is the number of VMs in each zone that watch the platform's
// store.
const watchersPerZone = 2

// Watchers returns the VMs that watch the store at the time of the view, by zone.
// The map is shared and must not be changed.
func (v *View) Watchers() map[string][]pollendoor.VM {
	v.watchersOnce.Do(func() {
		v.watchers = v.rankByZone("watchers", v.At)
		for z, list := range v.watchers {
			v.watchers[z] = list[:min(watchersPerZone, len(list))]
		}
	})
	return v.watchers
}

// Watches reports whether this VM watches the store: it is one of its zone's
// watchers, or is draining.
func (v *View) Watches() bool {
	for _, w := range v.Watchers()[v.Self.Zone] {
		if w.Name == v.Self.Name {
			return true
		}
	}
	return v.Draining
}

// neighbors returns the names of the VMs to which this VM sends heartbeats. The
// map is shared and must not be changed.
func (v *View) neighbors() map[string]bool {
	v.neighborsOnce.Do(func() { v.neighborSet = v.findNeighbors() })
	return v.neighborSet
}

// findNeighbors returns all members of a fleet within maxFullMesh. In a larger
// fleet it returns the next VMs of this VM's zone, which is a ring in the order
// of names, and one VM in each of a few other zones.
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
	ownZone := zones[v.Self.Zone]
	sort.Strings(ownZone)
	start := sort.SearchStrings(ownZone, v.Self.Name)
	for i := range min(zoneNeighbors, len(ownZone)) {
		set[ownZone[(start+i)%len(ownZone)]] = true
	}
	for _, z := range v.pickOtherZones(zones) {
		names := zones[z]
		sort.Strings(names)
		set[names[int(score(v.Self.Name, z)%uint64(len(names)))]] = true
	}
	return set
}

// pickOtherZones returns the other zones to which this VM sends heartbeats.
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

// heartbeatInterval returns the time between heartbeats for the size of the
// fleet.
func (v *View) heartbeatInterval() time.Duration { return intervalFor(len(v.Members)) }

// intervalFor returns the time between heartbeats for a number of other members.
func intervalFor(members int) time.Duration {
	if members <= maxFullMesh {
		return heartbeatInterval
	}
	return largeFleetHeartbeatInterval
}

// peerSendsHeartbeat reports whether this VM leaves sending heartbeats to the
// peer. In a full mesh only one VM of each pair sends, and the other answers with
// its own heartbeat. A peer from which no heartbeat has come for two intervals is
// called in any case.
func (v *View) peerSendsHeartbeat(name string) bool {
	return len(v.Members) <= maxFullMesh && name < v.Self.Name && v.At.Sub(v.Members[name].HeartbeatAt) < 2*heartbeatInterval
}

// neverListedTimeout is how long after the first read of the list a VM that was
// never in it counts as ended.
const neverListedTimeout = 60 * time.Second

// Gone reports whether a process has certainly ended: its VM was in the list and
// no longer is, or its VM answers with another process ID. A VM that was never in
// the list may be too new for it and counts as ended only after
// neverListedTimeout.
func (v *View) Gone(id string) bool {
	name, _, _ := strings.Cut(id, "#")
	if name == v.Self.Name {
		return id != v.SelfID
	}
	if m, ok := v.Members[name]; ok {
		return m.ID != "" && m.ID != id
	}
	return v.EverListed[name] || !v.ListFirstReadAt.IsZero() && v.At.Sub(v.ListFirstReadAt) > neverListedTimeout
}
