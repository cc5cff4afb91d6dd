package sample_test

import (
	"testing"
	"time"

	"github.com/pollendoor/pollendoor"
	"github.com/pollendoor/pollendoor/sample"
)

func at(ms int, term, index uint64) sample.Sample {
	return sample.Sample{Since: time.Duration(ms) * time.Millisecond, Position: pollendoor.Position{Term: pollendoor.Term(term), Index: index}}
}

// Replicas lag behind: of all positions that a read may use, the oldest is the
// one that they have most likely applied.
func TestOldest(t *testing.T) {
	var r sample.Ring
	if _, ok := r.Oldest(0); ok {
		t.Error("empty: got a sample, want none")
	}
	for _, s := range []sample.Sample{at(100, 1, 1), at(300, 1, 3), at(200, 1, 2), at(210, 1, 9)} {
		r.Add(s)
	}
	for _, tc := range []struct {
		since int
		want  uint64
		ok    bool
	}{{0, 1, true}, {100, 1, true}, {101, 2, true}, {201, 3, true}, {301, 0, false}} {
		got, ok := r.Oldest(time.Duration(tc.since) * time.Millisecond)
		if ok != tc.ok || got.Position.Index != tc.want {
			t.Errorf("since %d ms: got %d (%v), want %d (%v)", tc.since, got.Position.Index, ok, tc.want, tc.ok)
		}
	}
}

// A promotion may roll back log entries that the old primary had reported.
func TestNewTermReplacesOldSamples(t *testing.T) {
	var r sample.Ring
	r.Add(at(100, 1, 50))
	r.Add(at(300, 2, 40))
	r.Add(at(400, 1, 60))
	got, ok := r.Oldest(0)
	if want := at(300, 2, 40); !ok || got != want {
		t.Errorf("got %v, want %v", got, want)
	}
}
