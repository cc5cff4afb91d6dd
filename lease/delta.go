package lease

import "slices"

// RecordVersion identifies a version of the record. Each is written once, by one
// leader.
type RecordVersion struct {
	Token   uint64 `cbor:"1,keyasint"`
	Version uint64 `cbor:"2,keyasint"`
}

// RecordVersion returns the version of the record, with its token.
func (r *Record) RecordVersion() RecordVersion { return RecordVersion{r.Token, r.Version} }

// Before reports whether o is later than v.
func (v RecordVersion) Before(o RecordVersion) bool {
	return v.Token < o.Token || v.Token == o.Token && v.Version < o.Version
}

// Delta holds the changes from one version of the record to a later one. It holds
// only what has changed, because a record grows with the fleet and most changes
// do not.
type Delta struct {
	From    RecordVersion    `cbor:"1,keyasint"`
	To      RecordVersion    `cbor:"2,keyasint"`
	Leader  string           `cbor:"4,keyasint"`           // leader of the later version
	Addr    string           `cbor:"5,keyasint"`           // heartbeat address of that leader
	Groups  map[string]Group `cbor:"6,keyasint,omitempty"` // groups that have changed
	Removed []string         `cbor:"7,keyasint,omitempty"` // members that were removed
	Added   []Insertion      `cbor:"8,keyasint,omitempty"` // members inserted after the removals, in this order
	Evicted []string         `cbor:"9,keyasint,omitempty"` // Evicted, Settled and Keepers are those of the later version
	Settled bool             `cbor:"10,keyasint,omitempty"`
	Keepers []string         `cbor:"11,keyasint,omitempty"`
	Era     uint64           `cbor:"12,keyasint,omitempty"`
}

// Insertion is a member that is inserted into the list of members at an index.
type Insertion struct {
	Index  int    `cbor:"1,keyasint"`
	Member string `cbor:"2,keyasint"`
}

// NewDelta returns the delta from one record to a later one. It reports false if
// there is none.
func NewDelta(from, to *Record) (Delta, bool) {
	d := Delta{
		From: from.RecordVersion(), To: to.RecordVersion(), Leader: to.Leader, Addr: to.Addr,
		Groups: make(map[string]Group), Evicted: to.Evicted, Settled: to.Settled, Keepers: to.Keepers, Era: to.Era,
	}
	if !d.From.Before(d.To) {
		return Delta{}, false
	}
	for name, g := range to.Groups {
		if old, ok := from.Groups[name]; !ok || old != g {
			d.Groups[name] = g
		}
	}
	oldMembers, newMembers := toSet(from.Members), toSet(to.Members)
	for _, m := range from.Members {
		if !newMembers[m] {
			d.Removed = append(d.Removed, m)
		}
	}
	for i, m := range to.Members {
		if !oldMembers[m] {
			d.Added = append(d.Added, Insertion{i, m})
		}
	}
	if n, ok := from.ApplyDelta(&d); !ok || !slices.Equal(n.Members, to.Members) {
		return Delta{}, false // the order of the members has changed, too
	}
	return d, true
}

func toSet(list []string) map[string]bool {
	out := make(map[string]bool, len(list))
	for _, m := range list {
		out[m] = true
	}
	return out
}

// ApplyDelta returns the record that results from a delta. It reports false if
// the delta starts from another version or does not fit.
func (r *Record) ApplyDelta(d *Delta) (Record, bool) {
	if d.From != r.RecordVersion() || !d.From.Before(d.To) {
		return Record{}, false
	}
	n := r.WithGroups(d.Groups)
	n.Token, n.Version, n.Leader, n.Addr = d.To.Token, d.To.Version, d.Leader, d.Addr
	n.Evicted, n.Settled, n.Keepers, n.Era = slices.Clone(d.Evicted), d.Settled, slices.Clone(d.Keepers), d.Era
	removed := toSet(d.Removed)
	n.Members = slices.DeleteFunc(n.Members, func(m string) bool { return removed[m] })
	for _, p := range d.Added {
		if p.Index < 0 || p.Index > len(n.Members) {
			return Record{}, false
		}
		n.Members = slices.Insert(n.Members, p.Index, p.Member)
	}
	return n, true
}

// maxHistory is the number of versions that a VM may be behind and still get a
// delta.
const maxHistory = 16

// History holds the last versions of the record that a leader knows. The zero
// value is empty.
type History struct {
	records []Record
	deltas  map[RecordVersion]*Delta // deltas to the newest version, by the version that they start from; nil if there is none
}

// Add adds the newest version. It ignores a version that is not newer than the
// last one.
func (h *History) Add(r Record) {
	if n := len(h.records); n > 0 && !h.records[n-1].RecordVersion().Before(r.RecordVersion()) {
		return
	}
	h.records = append(h.records, r)
	h.records = h.records[max(0, len(h.records)-maxHistory):]
	h.deltas = make(map[RecordVersion]*Delta, len(h.records))
}

// Last returns the delta from the version before the newest one to the newest, or
// nil if there is none.
func (h *History) Last() *Delta {
	if len(h.records) < 2 {
		return nil
	}
	return h.Since(h.records[len(h.records)-2].RecordVersion())
}

// Since returns the delta from a version to the newest one, or nil if there is
// none. It is computed once for all VMs that have the version.
func (h *History) Since(seen RecordVersion) *Delta {
	if d, ok := h.deltas[seen]; ok || len(h.records) == 0 {
		return d
	}
	newest := &h.records[len(h.records)-1]
	var delta *Delta
	for i := range h.records {
		if h.records[i].RecordVersion() != seen {
			continue
		}
		if d, ok := NewDelta(&h.records[i], newest); ok {
			delta = &d
		}
	}
	h.deltas[seen] = delta
	return delta
}
