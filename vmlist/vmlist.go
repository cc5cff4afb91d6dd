// Package vmlist keeps the list of live VMs. The leader maintains it in versions.
// Other VMs follow by the changes since the version that they have, so that the
// cost of a change does not grow with the fleet.
package vmlist

import (
	"maps"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// Peer describes a VM to other VMs.
type Peer struct {
	Name string `cbor:"1,keyasint"`
	Zone string `cbor:"2,keyasint"`
	IP   string `cbor:"3,keyasint"`
	// Leaving is true if the VM is about to stop, so that other VMs take its work
	// over.
	Leaving bool `cbor:"4,keyasint,omitempty"`
}

// View is the live VMs, sorted by name. Each version number belongs to one
// leader's list.
type View struct {
	Version uint64 `cbor:"1,keyasint"`
	Peers   []Peer `cbor:"2,keyasint"`
}

// Has reports whether a VM is in the view.
func (v *View) Has(vm string) bool {
	_, ok := slices.BinarySearchFunc(v.Peers, vm, byName)
	return ok
}

func byName(p Peer, name string) int { return strings.Compare(p.Name, name) }

// Coordinators returns up to n VMs of a zone that read the store on behalf of the
// zone, the first choice first. They are the same wherever the view is the same.
func (v *View) Coordinators(zone string, n int) []Peer {
	type ranked struct {
		Peer
		score uint64
	}
	var best []ranked
	for _, p := range v.Peers {
		if p.Zone != zone {
			continue
		}
		r := ranked{p, xxhash.Sum64String("watch/" + p.Name)}
		at := len(best)
		for at > 0 && r.score > best[at-1].score {
			at--
		}
		if at < n {
			best = slices.Insert(best, at, r)[:min(len(best)+1, n)]
		}
	}
	out := make([]Peer, 0, len(best))
	for _, r := range best {
		out = append(out, r.Peer)
	}
	return out
}

// Delta holds the changes from one version to a later one.
type Delta struct {
	From   uint64   `cbor:"1,keyasint"`
	To     uint64   `cbor:"2,keyasint"`
	Joined []Peer   `cbor:"3,keyasint,omitempty"` // VMs that were added or changed
	Gone   []string `cbor:"4,keyasint,omitempty"` // names of the VMs that were removed
}

// ApplyDelta returns the view that results from a delta. It reports false if the delta
// starts from another version.
func (v *View) ApplyDelta(d *Delta) (View, bool) {
	if d.From != v.Version || d.To <= d.From {
		return View{}, false
	}
	peers := make(map[string]Peer, len(v.Peers)+len(d.Joined))
	for _, p := range v.Peers {
		peers[p.Name] = p
	}
	for _, name := range d.Gone {
		delete(peers, name)
	}
	for _, p := range d.Joined {
		peers[p.Name] = p
	}
	return View{Version: d.To, Peers: sorted(peers)}, true
}

func sorted(peers map[string]Peer) []Peer {
	return slices.SortedFunc(maps.Values(peers), func(a, b Peer) int { return strings.Compare(a.Name, b.Name) })
}

// maxHistory is the number of versions that a VM may be behind and still get a
// delta.
const maxHistory = 64

// History is the leader's list with its last versions. The zero value is empty;
// Start sets the first version.
type History struct {
	view          View
	formerVersion uint64            // version of the former leader's view that the first version continues
	changes       map[string]change // last change of each VM by name, including VMs that have left
	oldest        uint64            // oldest version that deltas start from
}

// change is a VM with the version in which it last changed.
type change struct {
	Peer
	gone    bool
	version uint64
}

// Start begins the versions of a new leader at its token, with the view that it
// has from the former leader.
func (h *History) Start(token uint64, v View) {
	first := token<<32 | 1
	peers := slices.SortedFunc(slices.Values(v.Peers), func(a, b Peer) int { return strings.Compare(a.Name, b.Name) })
	*h = History{view: View{Version: first, Peers: peers}, formerVersion: v.Version, changes: make(map[string]change), oldest: first}
}

// View returns the newest version.
func (h *History) View() View { return h.view }

// Set makes a list of live VMs the next version. It reports false and does nothing if
// the list equals the newest version.
func (h *History) Set(list []Peer) bool {
	next := make(map[string]Peer, len(list))
	for _, p := range list {
		next[p.Name] = p
	}
	version := h.view.Version + 1
	same := true
	for _, p := range h.view.Peers {
		n, ok := next[p.Name]
		if ok && n == p {
			continue
		}
		same = false
		h.changes[p.Name] = change{Peer: n, gone: !ok, version: version}
	}
	for name, p := range next {
		if !h.view.Has(name) {
			same = false
			h.changes[name] = change{Peer: p, version: version}
		}
	}
	if same {
		return false
	}
	h.view = View{Version: version, Peers: sorted(next)}
	if version-h.oldest >= 2*maxHistory {
		h.oldest = version - maxHistory
		maps.DeleteFunc(h.changes, func(_ string, c change) bool { return c.version <= h.oldest })
	}
	return true
}

// Since returns what a VM with the version seen needs to update to the newest one:
// a delta, the whole view, or nil for both if it has the newest version.
func (h *History) Since(seen uint64) (*Delta, *View) {
	d := &Delta{From: seen, To: h.view.Version}
	switch {
	case seen == h.view.Version:
		return nil, nil
	case seen == h.formerVersion && seen > 0 && h.oldest == h.view.Version>>32<<32|1:
		seen = h.oldest // the same list under the former leader's version number
	case seen < h.oldest || seen > h.view.Version:
		v := h.view
		return nil, &v
	}
	for name, c := range h.changes {
		if c.version <= seen {
			continue
		}
		if c.gone {
			d.Gone = append(d.Gone, name)
		} else {
			d.Joined = append(d.Joined, c.Peer)
		}
	}
	if len(d.Joined)+len(d.Gone) > len(h.view.Peers) {
		v := h.view
		return nil, &v
	}
	return d, nil
}
