// Package evac decides what may be used while an operator has zones evacuated, and at
// which rate targets get work that have just started. It does no I/O and reads no clock:
// each decision is a function of state and time.
//
// Times are on the boot clock of the VM that holds the state, except the ages in a Set,
// which are durations and can be passed to other VMs.
package evac

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

const (
	// transactionTime is how long an open transaction at a target of an evacuated zone
	// may continue.
	transactionTime = time.Second
	// endMargin is how long before the end of the time for an evacuation all use of a
	// zone's primaries ends, also of those that could not be replaced. Requests that
	// were begun before then have arrived or timed out at the end.
	endMargin = time.Second
	// moveMargin is how long before the use of a primary ends its replacement begins
	// even if no replica has caught up: time to read the position that its log has
	// reached once no VM uses it any more.
	moveMargin = time.Second
	// ReturnTime is how long after the end of an evacuation the zone's targets, except
	// primaries, are still not used: the entries of targets that have started meanwhile and
	// are cold reach the VMs by then.
	ReturnTime = time.Second
	// unknownTime is how long after its start a VM that does not know yet which zones
	// are evacuated uses no target: as long as a call to the store may take.
	unknownTime = 1500 * time.Millisecond
	// maxZones bounds the zones of a set, which is part of messages between VMs, and
	// maxName the length of a zone's name in bytes.
	maxZones = 64
	maxName  = 64
)

// Zone is an evacuated zone in a Set.
type Zone struct {
	Name string        `cbor:"1,keyasint"`
	Age  time.Duration `cbor:"2,keyasint,omitempty"` // how long the sender of the set has known of the evacuation, or heard of a VM that has
}

// Set is the set of evacuated zones at one revision of the platform's store. VMs send it
// to each other.
type Set struct {
	Revision uint64 `cbor:"1,keyasint"`
	Zones    []Zone `cbor:"2,keyasint,omitempty"` // sorted by name
}

// ValidName reports whether a name can be that of a zone.
func ValidName(zone string) bool { return zone != "" && len(zone) <= maxName }

// Limit reduces a list of zones to the number that a set may have. It returns the zones
// that are left out as well.
func Limit(zones []string) (kept, left []string) {
	zones = slices.Compact(slices.Sorted(slices.Values(zones)))
	n := min(len(zones), maxZones)
	return zones[:n], zones[n:]
}

// Change is what a new set changes.
type Change struct {
	Began []string // zones whose evacuation has begun
	Ended []string // zones whose evacuation has ended
}

// Empty reports whether nothing has changed.
func (c Change) Empty() bool { return len(c.Began) == 0 && len(c.Ended) == 0 }

// State is what one VM knows of evacuations. It is immutable: Adopt returns a new State. A
// nil State is that of a VM that does not follow evacuations, and restricts nothing.
type State struct {
	limit    time.Duration // within which an evacuation has to be effective
	started  time.Duration // when the VM started
	revision uint64        // of the store, zero before the first set
	since    map[string]time.Duration
	returned map[string]time.Duration // by zone, when its last evacuation ended
}

// NewState returns the state of a VM that starts at now and knows no set yet. Limit is
// the time within which an evacuation has to be effective.
func NewState(limit, now time.Duration) *State { return &State{limit: limit, started: now} }

// Revision returns the store's revision of the set, zero before the first set.
func (s *State) Revision() uint64 {
	if s == nil {
		return 0
	}
	return s.revision
}

// Zones returns the names of the evacuated zones.
func (s *State) Zones() []string {
	if s == nil {
		return nil
	}
	return slices.Sorted(maps.Keys(s.since))
}

// Set returns the set for other VMs, or nil if none is known.
func (s *State) Set(now time.Duration) *Set {
	if s.Revision() == 0 {
		return nil
	}
	out := &Set{Revision: s.revision}
	for _, name := range s.Zones() {
		out.Zones = append(out.Zones, Zone{Name: name, Age: max(0, now-s.since[name])})
	}
	return out
}

// Adopt returns the state after a set, and what it changes. It reports false for a set
// that is older than the known one or says nothing new. An evacuation is counted from when
// the first VM on the path of the set knew of it.
func (s *State) Adopt(set Set, now time.Duration) (*State, Change, bool) {
	if s == nil || set.Revision < s.revision || len(set.Zones) > maxZones {
		return s, Change{}, false
	}
	next := &State{limit: s.limit, started: s.started, revision: set.Revision, since: make(map[string]time.Duration, len(set.Zones))}
	for name, at := range s.returned {
		if now < at+ReturnTime {
			next.noteReturned(name, at)
		}
	}
	var change Change
	earlier := false
	for _, z := range set.Zones {
		if !ValidName(z.Name) {
			continue
		}
		since := now - max(0, z.Age)
		known, ok := s.since[z.Name]
		switch {
		case !ok:
			change.Began = append(change.Began, z.Name)
		case since < known:
			earlier = true
		default:
			since = known
		}
		next.since[z.Name] = since
	}
	for _, name := range s.Zones() {
		if _, ok := next.since[name]; !ok {
			change.Ended = append(change.Ended, name)
			next.noteReturned(name, now)
		}
	}
	if set.Revision == s.revision && !earlier {
		return s, Change{}, false
	}
	if set.Revision == s.revision && !change.Empty() {
		return s, Change{}, false // an invalid set: the store has one set at a revision
	}
	return next, change, true
}

// noteReturned records the end of a zone's evacuation.
func (s *State) noteReturned(zone string, at time.Duration) {
	if s.returned == nil {
		s.returned = make(map[string]time.Duration)
	}
	s.returned[zone] = at
}

// Use is what a target may be used for.
type Use uint8

// The uses of a target, from unrestricted to none.
const (
	UseAll              Use = iota
	UseOpenTransactions     // only transactions that are open already
	UseNone
)

// Use returns what a target in a zone may be used for. A group's primary may be used until
// another target takes its place, or until shortly before the evacuation has to be
// effective.
func (s *State) Use(zone string, primary bool, now time.Duration) Use {
	if s == nil {
		return UseAll
	}
	if s.revision == 0 {
		if now < s.started+unknownTime {
			return UseNone
		}
		return UseAll
	}
	if at, ok := s.returned[zone]; ok && !primary && now < at+ReturnTime && !s.Evacuated(zone) {
		return UseNone
	}
	since, ok := s.since[zone]
	end := since + max(0, s.limit-endMargin)
	switch {
	case !ok, primary && now < end:
		return UseAll
	case !primary && now < min(end, since+transactionTime):
		return UseOpenTransactions
	}
	return UseNone
}

// Evacuated reports whether a zone is evacuated.
func (s *State) Evacuated(zone string) bool {
	if s == nil {
		return false
	}
	_, ok := s.since[zone]
	return ok
}

// Any reports whether any zone is evacuated or has just been.
func (s *State) Any() bool { return s != nil && len(s.since)+len(s.returned) > 0 }

// MustMove reports whether the replacement of a primary in an evacuated zone has to begin
// although no replica has received its whole log.
func (s *State) MustMove(zone string, now time.Duration) bool {
	if !s.Evacuated(zone) {
		return false
	}
	return now >= s.since[zone]+max(0, s.limit-endMargin-moveMargin)
}

// initialTakeover is the assumed time of a planned change of primary before the first one
// was seen: the usual time of a promotion on the platform.
const initialTakeover = time.Second

// maxTakeover bounds what one change adds to the average: a change that had to wait for a
// replica says little about the next one.
const maxTakeover = 3 * time.Second

// Takeovers estimates when planned changes of primaries end. The zero value is ready for
// use.
type Takeovers struct {
	began map[string]time.Duration // by group
	usual time.Duration            // moving average of the duration of a change
}

// Begin records that the change of a group's primary has begun.
func (t *Takeovers) Begin(group string, now time.Duration) {
	if t.began == nil {
		t.began = make(map[string]time.Duration)
	}
	t.began[group] = now
}

// End records that a group has a primary again.
func (t *Takeovers) End(group string, now time.Duration) {
	began, ok := t.began[group]
	if !ok {
		return
	}
	delete(t.began, group)
	usual := cmp.Or(t.usual, initialTakeover)
	t.usual = max(1, usual+(min(now-began, maxTakeover)-usual)/4)
}

// Left returns the expected time until a change ends. One that takes longer than usual is
// expected to take as much longer again.
func (t *Takeovers) Left(group string, now time.Duration) time.Duration {
	left := cmp.Or(t.usual, initialTakeover)
	if began, ok := t.began[group]; ok {
		left -= now - began
	}
	return max(left, -left)
}
