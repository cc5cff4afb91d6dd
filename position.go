package pollendoor

import "fmt"

// Term numbers one reign of a primary. Terms only grow; zero means none.
type Term uint64

// Position is one entry of a group's log: the term under which the entry was
// written and its index. Indexes compare within one lineage only.
type Position struct {
	Term  Term   `json:"term"`
	Index uint64 `json:"index"`
}

// IsZero reports whether p names no entry.
func (p Position) IsZero() bool { return p.Index == 0 }

// Newer reports whether p comes after q in the order in which promotions
// choose: first the term of the entry, then its index.
func (p Position) Newer(q Position) bool {
	if p.Term != q.Term {
		return p.Term > q.Term
	}
	return p.Index > q.Index
}

// String returns the position as term/index.
func (p Position) String() string { return fmt.Sprintf("%d/%d", p.Term, p.Index) }

// Branch tells where the lineage of a term leaves the one before it: the term's
// first entry has the index After+1.
type Branch struct {
	Term  Term   `json:"term"`
	After uint64 `json:"after"`
}

// Lineage is the branches of a group in ascending order of their terms.
type Lineage []Branch

// EntryTerm returns the term under which the entry at index was written, as
// seen by a target that follows the term follows. A target that follows term 3
// at index 9 while term 3 branched after 10 holds a last entry of an earlier
// term.
func (l Lineage) EntryTerm(follows Term, index uint64) Term {
	for i := len(l) - 1; i >= 0; i-- {
		if l[i].Term <= follows && l[i].After < index {
			return l[i].Term
		}
	}
	return 0
}

// Holds reports whether the entry p is part of the lineage of term t, that is,
// whether no branch after p's term and up to t cut it off.
func (l Lineage) Holds(p Position, t Term) bool {
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
		return l.Holds(p, t)
	}
	return false
}

// Common returns the last index that the lineages of the terms from and to
// share: behind it a target that followed from has to drop its entries before
// it follows to. It returns the largest index for from >= to.
func (l Lineage) Common(from, to Term) uint64 {
	common := uint64(1<<64 - 1)
	for _, b := range l {
		if b.Term > from && b.Term <= to && b.After < common {
			common = b.After
		}
	}
	return common
}
