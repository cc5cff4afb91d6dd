package lease

import "slices"

// Edition names a version of the record: each is written once, by one holder.
type Edition struct {
	Token   uint64 `cbor:"1,keyasint"`
	Version uint64 `cbor:"2,keyasint"`
}

// Edition returns the record's.
func (r *Record) Edition() Edition { return Edition{r.Token, r.Version} }

// Before reports whether another edition is a later one.
func (e Edition) Before(o Edition) bool {
	return e.Token < o.Token || e.Token == o.Token && e.Version < o.Version
}

// Delta leads from one version of the record to a later one. It holds what has
// changed: a record grows with the fleet, most changes do not.
type Delta struct {
	From    Edition          `cbor:"1,keyasint"`
	To      Edition          `cbor:"2,keyasint"`
	Holder  string           `cbor:"4,keyasint"`
	Addr    string           `cbor:"5,keyasint"`
	Groups  map[string]Group `cbor:"6,keyasint,omitempty"` // those that have changed
	Removed []string         `cbor:"7,keyasint,omitempty"` // from the members
	Added   []Place          `cbor:"8,keyasint,omitempty"` // to the rest, in this order
	Evicted []string         `cbor:"9,keyasint,omitempty"`
	Settled bool             `cbor:"10,keyasint,omitempty"`
	Keepers []string         `cbor:"11,keyasint,omitempty"`
}

// Place is a member with its index in the new list.
type Place struct {
	Index  int    `cbor:"1,keyasint"`
	Member string `cbor:"2,keyasint"`
}

// NewDelta returns the step from one record to a later one. It reports false if there
// is none.
func NewDelta(from, to *Record) (Delta, bool) {
	s := Delta{
		From: from.Edition(), To: to.Edition(), Holder: to.Holder, Addr: to.Addr,
		Groups: make(map[string]Group), Evicted: to.Evicted, Settled: to.Settled, Keepers: to.Keepers,
	}
	if !s.From.Before(s.To) {
		return Delta{}, false
	}
	for name, g := range to.Groups {
		if old, ok := from.Groups[name]; !ok || old != g {
			s.Groups[name] = g
		}
	}
	was, is := set(from.Members), set(to.Members)
	for _, m := range from.Members {
		if !is[m] {
			s.Removed = append(s.Removed, m)
		}
	}
	for i, m := range to.Members {
		if !was[m] {
			s.Added = append(s.Added, Place{i, m})
		}
	}
	if n, ok := from.ApplyDelta(&s); !ok || !slices.Equal(n.Members, to.Members) {
		return Delta{}, false // the order has changed, too
	}
	return s, true
}

func set(list []string) map[string]bool {
	out := make(map[string]bool, len(list))
	for _, m := range list {
		out[m] = true
	}
	return out
}

// ApplyDelta returns the record that a delta leads to. It reports false if the step starts
// from another version, or does not fit.
func (r *Record) ApplyDelta(s *Delta) (Record, bool) {
	if s.From != r.Edition() || !s.From.Before(s.To) {
		return Record{}, false
	}
	n := r.WithGroups(s.Groups)
	n.Token, n.Version, n.Holder, n.Addr = s.To.Token, s.To.Version, s.Holder, s.Addr
	n.Evicted, n.Settled, n.Keepers = slices.Clone(s.Evicted), s.Settled, slices.Clone(s.Keepers)
	gone := set(s.Removed)
	n.Members = slices.DeleteFunc(n.Members, func(m string) bool { return gone[m] })
	for _, p := range s.Added {
		if p.Index < 0 || p.Index > len(n.Members) {
			return Record{}, false
		}
		n.Members = slices.Insert(n.Members, p.Index, p.Member)
	}
	return n, true
}

// stepHistory is the number of versions that a VM may be behind and still gets a
// step.
const stepHistory = 16

// History is the last versions of the record that a holder knows. The zero value is
// empty.
type History struct {
	list  []Record
	steps map[Edition]*Delta // to the newest one; nil for none
}

// Add takes the newest version.
func (h *History) Add(r Record) {
	if n := len(h.list); n > 0 && !h.list[n-1].Edition().Before(r.Edition()) {
		return
	}
	h.list = append(h.list, r)
	h.list = h.list[max(0, len(h.list)-stepHistory):]
	h.steps = make(map[Edition]*Delta, len(h.list))
}

// Last returns the step to the newest version from the one before it, nil for none.
func (h *History) Last() *Delta {
	if len(h.list) < 2 {
		return nil
	}
	return h.Since(h.list[len(h.list)-2].Edition())
}

// Since returns the step from a version to the newest one, nil for none. It is worked
// out once for all VMs that have the version.
func (h *History) Since(seen Edition) *Delta {
	if s, ok := h.steps[seen]; ok || len(h.list) == 0 {
		return s
	}
	newest := &h.list[len(h.list)-1]
	var step *Delta
	for i := range h.list {
		if h.list[i].Edition() != seen {
			continue
		}
		if s, ok := NewDelta(&h.list[i], newest); ok {
			step = &s
		}
	}
	h.steps[seen] = step
	return step
}
