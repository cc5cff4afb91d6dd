// Package sample keeps the observed log positions of a group's primary, so that a
// read with bounded staleness can run on a replica: a replica that holds the
// position which the primary had at time t lacks no commit that was acknowledged
// before t.
package sample

import (
	"slices"
	"sync"
	"time"

	"github.com/pollendoor/pollendoor"
)

// minSpacing is the least time between two samples that are kept. It bounds the
// number of samples; reads lose at most that much of their allowed staleness.
const minSpacing = 40 * time.Millisecond

// maxSamples is the number of samples kept: minSpacing * maxSamples is the
// longest staleness that can be used in full.
const maxSamples = 96

// Sample is an observation of the primary's log: the log had reached Position at
// Since or later.
type Sample struct {
	Since    time.Duration // boot-clock time at which the request was sent
	Position pollendoor.Position
}

// Ring holds the samples of one group in order of their time. The zero value is
// empty. It is safe for concurrent use.
type Ring struct {
	mu      sync.Mutex
	samples []Sample
}

// Add adds a sample. A sample of a newer term replaces all samples of older
// terms, because the new log may lack their last entries.
func (r *Ring) Add(s Sample) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if n := len(r.samples); n > 0 {
		switch last := r.samples[n-1]; {
		case s.Position.Term < last.Position.Term:
			return
		case s.Position.Term > last.Position.Term:
			r.samples = r.samples[:0]
		}
	}
	i := len(r.samples)
	for i > 0 && r.samples[i-1].Since > s.Since {
		i--
	}
	if i > 0 && s.Since-r.samples[i-1].Since < minSpacing {
		return
	}
	if i < len(r.samples) && r.samples[i].Since-s.Since < minSpacing {
		return
	}
	r.samples = append(r.samples, Sample{})
	copy(r.samples[i+1:], r.samples[i:])
	r.samples[i] = s
	if len(r.samples) > maxSamples {
		r.samples = append(r.samples[:0], r.samples[len(r.samples)-maxSamples:]...)
	}
}

// Oldest returns the oldest sample that is not before since, which replicas have
// most likely applied. It reports false if there is none.
func (r *Ring) Oldest(since time.Duration) (Sample, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, s := range r.samples {
		if s.Since >= since {
			return s, true
		}
	}
	return Sample{}, false
}

// Lag estimates how far the log of a replica that holds a position now is behind that of
// the primary: the time since the primary's log reached that position, interpolated
// between samples. It is zero for a position beyond all samples, and the age of the oldest
// sample for one before them. It reports false if there is no sample.
func (r *Ring) Lag(p pollendoor.Position, now time.Duration) (time.Duration, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.samples) == 0 {
		return 0, false
	}
	next := slices.IndexFunc(r.samples, func(s Sample) bool { return s.Position.Newer(p) })
	switch {
	case next < 0:
		return 0, true
	case next == 0:
		return now - r.samples[0].Since, true
	}
	a, b := r.samples[next-1], r.samples[next]
	part := float64(p.Index-a.Position.Index) / float64(b.Position.Index-a.Position.Index)
	if p.Term != b.Position.Term || p.Index < a.Position.Index || part > 1 {
		part = 0
	}
	return now - a.Since - time.Duration(part*float64(b.Since-a.Since)), true
}

// Newest returns the newest sample. It reports false if there is none.
func (r *Ring) Newest() (Sample, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.samples) == 0 {
		return Sample{}, false
	}
	return r.samples[len(r.samples)-1], true
}
