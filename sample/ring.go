// Package sample keeps what is known of the positions of a group's primary, so
// that a read of bounded staleness can run on a replica: a replica that holds
// the position which the primary had at time t lacks no commit that was
// acknowledged before t.
package sample

import (
	"sync"
	"time"

	"github.com/pollendoor/pollendoor"
)

// spacing is the least time between two samples that are kept. It bounds the
// ring; reads lose at most that much of their allowed staleness.
const spacing = 40 * time.Millisecond

// size is the number of samples kept: spacing * size is the longest staleness
// that is used in full.
const size = 96

// Sample says that the primary's log had reached Position at or after Since.
type Sample struct {
	Since    time.Duration // on the boot clock, when the request was sent
	Position pollendoor.Position
}

// Ring holds the samples of one group in order of their time. The zero value is
// empty. It is safe for use by several goroutines.
type Ring struct {
	mu    sync.Mutex
	items []Sample
}

// Add takes a sample. Samples of a newer term replace all older ones of smaller
// terms, whose last entries the new lineage may lack.
func (r *Ring) Add(s Sample) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if n := len(r.items); n > 0 {
		switch last := r.items[n-1]; {
		case s.Position.Term < last.Position.Term:
			return
		case s.Position.Term > last.Position.Term:
			r.items = r.items[:0]
		}
	}
	i := len(r.items)
	for i > 0 && r.items[i-1].Since > s.Since {
		i--
	}
	if i > 0 && s.Since-r.items[i-1].Since < spacing {
		return
	}
	if i < len(r.items) && r.items[i].Since-s.Since < spacing {
		return
	}
	r.items = append(r.items, Sample{})
	copy(r.items[i+1:], r.items[i:])
	r.items[i] = s
	if len(r.items) > size {
		r.items = append(r.items[:0], r.items[len(r.items)-size:]...)
	}
}

// Oldest returns the oldest sample that is not before since. Replicas have most
// likely applied it.
func (r *Ring) Oldest(since time.Duration) (Sample, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, s := range r.items {
		if s.Since >= since {
			return s, true
		}
	}
	return Sample{}, false
}

// Newest returns the newest sample.
func (r *Ring) Newest() (Sample, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.items) == 0 {
		return Sample{}, false
	}
	return r.items[len(r.items)-1], true
}
