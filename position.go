package pollendoor

import "fmt"

// Term numbers the leadership periods of a group's primaries. Terms only grow;
// zero means no term.
type Term uint64

// Position identifies one entry of a group's log by the term in which the entry
// was written and its index. Indexes are comparable only within one lineage.
type Position struct {
	Term  Term   `json:"term"`
	Index uint64 `json:"index"`
}

// IsZero reports whether p identifies no entry.
func (p Position) IsZero() bool { return p.Index == 0 }

// Newer reports whether p comes after q in the order by which a promotion chooses
// its candidate: first by the term of the entry, then by its index.
func (p Position) Newer(q Position) bool {
	if p.Term != q.Term {
		return p.Term > q.Term
	}
	return p.Index > q.Index
}

// String returns the position as term/index.
func (p Position) String() string { return fmt.Sprintf("%d/%d", p.Term, p.Index) }

// Branch records the index at which the lineage of a term diverges from the
// lineage before it: the first entry of the term has the index After+1.
type Branch struct {
	Term  Term   `json:"term"`
	After uint64 `json:"after"`
}

// Lineage lists the branches of a group in ascending order of their terms.
type Lineage []Branch

// EntryTerm returns the term in which the entry at index was written, for a target
// whose log belongs to the lineage of the term follows. For example, if term 3 branched after
// index 10, the last entry of a target that follows term 3 at index 9 is of an
// earlier term. EntryTerm returns zero if no branch contains the entry.
func (l Lineage) EntryTerm(follows Term, index uint64) Term {
	for i := len(l) - 1; i >= 0; i-- {
		if l[i].Term <= follows && l[i].After < index {
			return l[i].Term
		}
	}
	return 0
}

// Contains reports whether the entry p is part of the lineage of term t, that is,
// whether no branch of a term after p's, up to and including t, diverged before p.
func (l Lineage) Contains(p Position, t Term) bool {
	for _, b := range l {
		if b.Term > p.Term && b.Term <= t && p.Index > b.After {
			return false
		}
	}
	return true
}

// Covers reports whether a target that follows term t and has applied its log
// up to index has applied the entry p.
func (l Lineage) Covers(t Term, index uint64, p Position) bool {
	if p.IsZero() {
		return true
	}
	if index < p.Index {
		return false
	}
	if t >= p.Term {
		return l.Contains(p, t)
	}
	return false
}

// Common returns the last index that the lineages of the terms from and to have in
// common. A target that followed from must drop its entries after this index
// before it follows to. Common returns the largest uint64 if from >= to.
func (l Lineage) Common(from, to Term) uint64 {
	common := uint64(1<<64 - 1)
	for _, b := range l {
		if b.Term > from && b.Term <= to && b.After < common {
			common = b.After
		}
	}
	return common
}
