package fleet

import (
	"cmp"
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/pollendoor/pollendoor/lease"
	"github.com/pollendoor/pollendoor/quota"
	"github.com/pollendoor/pollendoor/vmlist"
)

// teamKeepers holds the VMs that keep a team's quota, as seen by one VM.
type teamKeepers struct {
	quota.Keepers
	addrs map[string]string // IPs of the VMs, by name
}

// first returns the name of the VM that keeps the team's quota of a source, or an empty
// name.
func (k *teamKeepers) first(s quota.Source) string {
	list := k.Zone
	if s != quota.ZoneShare {
		list = k.Reserves[min(int(s-quota.FirstReserve), len(k.Reserves)):]
	}
	if len(list) == 0 {
		return ""
	}
	return list[0]
}

// keeperTable caches the keepers of teams for one view of the VMs and one list of
// keepers in the record.
type keeperTable struct {
	version     uint64        // version of the view
	firstKeeper *string       // first element of the record's list of keepers; identifies the list
	peers       []vmlist.Peer // VMs of the view that are quota keepers
	hashes      []uint64      // hashes of the names in peers
	teams       map[zoneTeam]teamKeepers
}

// zoneTeam is a team as seen from a zone.
type zoneTeam struct{ zone, team string }

// update sets the view and the record that the keepers are chosen from.
func (t *keeperTable) update(w *vmlist.View, record *lease.Record) {
	var first *string
	if len(record.Keepers) > 0 {
		first = &record.Keepers[0]
	}
	if t.teams != nil && w.Version == t.version && first == t.firstKeeper {
		return
	}
	*t = keeperTable{version: w.Version, firstKeeper: first, teams: make(map[zoneTeam]teamKeepers)}
	for _, p := range w.Peers {
		if record.IsKeeper(p.Name) {
			t.peers, t.hashes = append(t.peers, p), append(t.hashes, xxhash.Sum64String(p.Name))
		}
	}
}

// keepersOf returns a team's keepers as seen from a zone. Regions are the regions of
// the zones.
func (t *keeperTable) keepersOf(zone, team string, regions map[string]string) teamKeepers {
	k, ok := t.teams[zoneTeam{zone, team}]
	if !ok {
		k = chooseKeepers(t.peers, t.hashes, zone, team, func(other string) bool { return regions[other] == regions[zone] })
		t.teams[zoneTeam{zone, team}] = k
	}
	return k
}

// keepersOf returns a team's keepers. The caller holds mu.
func (r *admission) keepersOf(team string) teamKeepers {
	r.keepers.update(r.vm.view.Load(), &r.vm.lease.Load().Record)
	return r.keepers.keepersOf(r.vm.Settings.Zone, team, r.vm.Settings.Zones)
}

// chooseKeepers chooses a team's keepers by rendezvous hashing. hashes are the
// hashes of the peers' names. Reserves are kept by VMs that are not the first in
// their zone, because no single VM should hold much of a team's limit. near reports
// whether a zone is in the region of the zone from which the keepers are seen.
func chooseKeepers(peers []vmlist.Peer, hashes []uint64, zone, team string, near func(zone string) bool) teamKeepers {
	var hashInput [16]byte
	binary.LittleEndian.PutUint64(hashInput[8:], xxhash.Sum64String(team))
	list := make([]scoredPeer, 0, len(peers))
	for i, p := range peers {
		binary.LittleEndian.PutUint64(hashInput[:], hashes[i])
		list = append(list, scoredPeer{p, xxhash.Sum64(hashInput[:])})
	}
	slices.SortFunc(list, func(a, b scoredPeer) int { return cmp.Compare(b.score, a.score) })
	k := teamKeepers{addrs: make(map[string]string)}
	var others, zoneFirsts []string
	var nearest, farther []string // first keepers of other zones
	seenZones := make(map[string]bool)
	for _, r := range list {
		k.addrs[r.Name] = r.IP
		if r.Zone == zone && len(k.Zone) < maxZoneKeepers {
			k.Zone = append(k.Zone, r.Name)
		}
		switch {
		case seenZones[r.Zone]:
			others = append(others, r.Name)
			continue
		case r.Zone != zone && near(r.Zone):
			nearest = append(nearest, r.Name)
		case r.Zone != zone:
			farther = append(farther, r.Name)
		}
		zoneFirsts = append(zoneFirsts, r.Name)
		seenZones[r.Zone] = true
	}
	k.Others = append(nearest, farther...)
	slices.Reverse(zoneFirsts)
	slices.Reverse(others)
	others = append(others, zoneFirsts...)
	k.Reserves = others[:min(len(others), int(quota.NumSources-1))]
	return k
}

// scoredPeer is a VM with its rendezvous hashing score for one team.
type scoredPeer struct {
	vmlist.Peer
	score uint64
}

// keeperFor returns the name of the VM that decides on a team's token requests from the
// given source, as far as this VM reaches it. The result is empty if there is none.
func (r *admission) keeperFor(team string, s quota.Source) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	k := r.keepersOf(team)
	ask, ok := k.Target(r.vm.Settings.VM, quota.TokenRequest{Source: s}, nil, r.reach.Silent)
	if !ok || ask.Source != s {
		return ""
	}
	return ask.VM
}
