// Package vmlist is the list of live VMs. The duty holder keeps it in versions; other
// VMs follow by what has changed since the version that they have, so that the cost
// of a change does not grow with the fleet.
package vmlist

import (
	"maps"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// Peer is a VM as others know it.
type Peer struct {
	Name string `cbor:"1,keyasint"`
	Zone string `cbor:"2,keyasint"`
	IP   string `cbor:"3,keyasint"`
	// Leaving says that the VM is about to stop: others take its part over.
	Leaving bool `cbor:"4,keyasint,omitempty"`
}

// View is the live VMs, by name. Each version is that of one holder's list.
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

// Leads returns the VMs of a zone that read the store for it, the first one first.
// They are the same wherever the view is the same.
func (v *View) Leads(zone string, n int) []Peer {
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

// Delta leads from one version to a later one.
type Delta struct {
	From   uint64   `cbor:"1,keyasint"`
	To     uint64   `cbor:"2,keyasint"`
	Joined []Peer   `cbor:"3,keyasint,omitempty"` // or changed
	Gone   []string `cbor:"4,keyasint,omitempty"`
}

// Apply returns the view that a delta leads to. It reports false if the delta starts
// from another version.
func (v *View) Apply(d *Delta) (View, bool) {
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

// history is the number of versions that a VM may be behind and still gets a delta.
const maxHistory = 64

// Book is the holder's list with its last versions. The zero value is empty; Start
// sets the first version.
type Book struct {
	view          View
	formerVersion uint64            // version of the view that the first one continues
	changes       map[string]change // by name, the VMs that have gone included
	oldest        uint64            // oldest version that deltas lead from
}

// changed is a VM with the version that changed it last.
type change struct {
	Peer
	gone    bool
	version uint64
}

// Start begins a new holder's versions at a token, with the view that it has from
// the holder before.
func (b *Book) Start(token uint64, v View) {
	first := token<<32 | 1
	peers := slices.SortedFunc(slices.Values(v.Peers), func(a, b Peer) int { return strings.Compare(a.Name, b.Name) })
	*b = Book{view: View{Version: first, Peers: peers}, formerVersion: v.Version, changes: make(map[string]change), oldest: first}
}

// View returns the newest version.
func (b *Book) View() View { return b.view }

// Set makes a list of VMs the next version, unless it is the newest one already.
func (b *Book) Set(list []Peer) bool {
	next := make(map[string]Peer, len(list))
	for _, p := range list {
		next[p.Name] = p
	}
	version := b.view.Version + 1
	same := true
	for _, p := range b.view.Peers {
		n, ok := next[p.Name]
		if ok && n == p {
			continue
		}
		same = false
		b.changes[p.Name] = change{Peer: n, gone: !ok, version: version}
	}
	for name, p := range next {
		if !b.view.Has(name) {
			same = false
			b.changes[name] = change{Peer: p, version: version}
		}
	}
	if same {
		return false
	}
	b.view = View{Version: version, Peers: sorted(next)}
	if version-b.oldest >= 2*maxHistory {
		b.oldest = version - maxHistory
		maps.DeleteFunc(b.changes, func(_ string, c change) bool { return c.version <= b.oldest })
	}
	return true
}

// Since returns what a VM needs that has seen a version: nothing, a delta, or the
// whole view.
func (b *Book) Since(seen uint64) (*Delta, *View) {
	d := &Delta{From: seen, To: b.view.Version}
	switch {
	case seen == b.view.Version:
		return nil, nil
	case seen == b.formerVersion && seen > 0 && b.oldest == b.view.Version>>32<<32|1:
		seen = b.oldest // the same list under the number of the holder before
	case seen < b.oldest || seen > b.view.Version:
		v := b.view
		return nil, &v
	}
	for name, c := range b.changes {
		if c.version <= seen {
			continue
		}
		if c.gone {
			d.Gone = append(d.Gone, name)
		} else {
			d.Joined = append(d.Joined, c.Peer)
		}
	}
	if len(d.Joined)+len(d.Gone) > len(b.view.Peers) {
		v := b.view
		return nil, &v
	}
	return d, nil
}
