package route_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/pollendoor/pollendoor"
	"github.com/pollendoor/pollendoor/route"
)

func ExampleClassify() {
	s, err := route.Classify("INSERT INTO gifts VALUES (1) /* pollendoor.requestId='order%2D7' */")
	fmt.Println(s.Verb, s.Kind == route.Write, s.Hints.RequestID, err)
	// Output: INSERT true order-7 <nil>
}

func TestClassify(t *testing.T) {
	tests := []struct {
		text string
		want route.Kind
	}{
		{"", route.Empty},
		{"-- nothing", route.Empty},
		{"/* a /* b */ c */ select 1", route.Read},
		{"SELECT 'insert into x'", route.Read},
		{"select $$ update $$", route.Read},
		{`select E'it\'s; delete'`, route.Read},
		{"with x as (insert into y values (1) returning z) select * from x", route.Write},
		{"select * from t for update", route.Write},
		{"select * into t2 from t", route.Write},
		{"begin read only", route.Begin},
		{"rollback to savepoint a", route.Write},
		{"rollback", route.Rollback},
		{"end", route.Commit},
		{"copy t from stdin", route.Refused},
		{"create temp table x (y int)", route.Refused},
		{"set local pollendoor.maxAge = '2s'", route.Set},
		{"show pollendoor.session", route.Show},
	}
	for _, tc := range tests {
		s, err := route.Classify(tc.text)
		if err != nil || s.Kind != tc.want {
			t.Errorf("%q: got kind %d and error %v, want kind %d and no error", tc.text, s.Kind, err, tc.want)
		}
	}
}

func TestSplit(t *testing.T) {
	got := route.Split("insert into a values (';'); ; select 1 -- ;\n; /* ; */")
	want := []string{"insert into a values (';')", "select 1 -- ;"}
	if !slices.Equal(got, want) {
		t.Errorf("got %q, want %q", got, want)
	}
}

func FuzzClassify(f *testing.F) {
	f.Add("select 1 /* pollendoor.maxAge='2s' */; begin")
	f.Add("E'\\")
	f.Add("/*")
	f.Add("$a$")
	f.Fuzz(func(t *testing.T, text string) {
		for _, s := range route.Split(text) {
			if st, err := route.Classify(s); err == nil && st.Kind == route.Empty {
				t.Errorf("got empty statement %q from Split, want none", s)
			}
		}
	})
}

func TestChoose(t *testing.T) {
	now := time.Unix(1000, 0)
	rec := &pollendoor.GroupRecord{
		Term:    2,
		Lineage: pollendoor.Lineage{{Term: 1}, {Term: 2, After: 10}},
	}
	replica := func(term pollendoor.Term, index, applied uint64, ageMS int64, zone string) route.Candidate {
		return route.Candidate{
			Status:   pollendoor.TargetStatus{Role: pollendoor.Replica, Term: term, Index: index, Applied: applied, AgeMS: ageMS},
			Seen:     now,
			Zone:     zone,
			Capacity: 2,
		}
	}
	lagging := replica(2, 16, 15, 5, "a")
	lagging.Lag = 2 * time.Second
	at := func(term pollendoor.Term, index uint64) pollendoor.Position {
		return pollendoor.Position{Term: term, Index: index}
	}
	tests := []struct {
		name  string
		list  []route.Candidate
		need  route.Requirements
		index int
		want  route.Verdict
	}{
		{"own zone first", []route.Candidate{replica(2, 20, 20, 0, "a"), replica(2, 20, 20, 0, "b")}, route.Requirements{Zone: "b"}, 1, route.ToReplica},
		{"behind the token", []route.Candidate{replica(2, 15, 15, 0, "a")}, route.Requirements{Position: at(2, 16)}, -1, route.ToPrimary},
		{"received, not applied", []route.Candidate{replica(2, 16, 15, 0, "a")}, route.Requirements{Position: at(2, 16)}, 0, route.ReplicaSoon},
		{"far from applying it", []route.Candidate{lagging}, route.Requirements{Position: at(2, 16)}, -1, route.ToPrimary},
		{"too old", []route.Candidate{replica(2, 16, 16, 900, "a")}, route.Requirements{MaxAge: 800 * time.Millisecond}, -1, route.ToPrimary},
		{"divergent tail", []route.Candidate{replica(1, 12, 12, 0, "a")}, route.Requirements{}, -1, route.ToPrimary},
		{"older term below the branch", []route.Candidate{replica(1, 9, 9, 0, "a")}, route.Requirements{}, 0, route.ToReplica},
		{"lost write", []route.Candidate{replica(2, 20, 20, 0, "a")}, route.Requirements{Position: at(1, 12)}, -1, route.PositionLost},
	}
	for _, tc := range tests {
		i, got := route.Choose(rec, tc.list, tc.need, now)
		if i != tc.index || got != tc.want {
			t.Errorf("%s: got index %d and verdict %d, want index %d and verdict %d", tc.name, i, got, tc.index, tc.want)
		}
	}
}
