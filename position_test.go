package pollendoor_test

import (
	"testing"

	"github.com/pollendoor/pollendoor"
)

func TestEntryTerm(t *testing.T) {
	l := pollendoor.Lineage{{Term: 1, After: 0}, {Term: 2, After: 4}, {Term: 3, After: 10}}
	tests := []struct {
		follows pollendoor.Term
		index   uint64
		want    pollendoor.Term
	}{
		{1, 4, 1},
		{1, 12, 1}, // divergent entries of the first term
		{2, 4, 1},
		{2, 5, 2},
		{3, 9, 2}, // follows term 3 before its branch: the last entry is of term 2
		{3, 10, 2},
		{3, 11, 3},
		{3, 0, 0},
	}
	for _, tc := range tests {
		if got := l.EntryTerm(tc.follows, tc.index); got != tc.want {
			t.Errorf("EntryTerm(%d, %d): got %d, want %d", tc.follows, tc.index, got, tc.want)
		}
	}
}

func TestCovers(t *testing.T) {
	l := pollendoor.Lineage{{Term: 1, After: 0}, {Term: 2, After: 4}, {Term: 3, After: 10}}
	tests := []struct {
		term  pollendoor.Term
		index uint64
		pos   pollendoor.Position
		want  bool
	}{
		{3, 9, pollendoor.Position{Term: 2, Index: 9}, true},
		{3, 9, pollendoor.Position{Term: 2, Index: 10}, false},  // not applied yet
		{3, 20, pollendoor.Position{Term: 2, Index: 11}, false}, // discarded by the branch of term 3
		{1, 20, pollendoor.Position{Term: 2, Index: 5}, false},  // index 5 of term 1 is another entry
		{2, 7, pollendoor.Position{}, true},
		{3, 11, pollendoor.Position{Term: 3, Index: 11}, true},
	}
	for _, tc := range tests {
		if got := l.Covers(tc.term, tc.index, tc.pos); got != tc.want {
			t.Errorf("Covers(%d, %d, %v): got %v, want %v", tc.term, tc.index, tc.pos, got, tc.want)
		}
	}
}
