package runner

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pollendoor/pollendoor"
	"github.com/pollendoor/pollendoor/group"
	"github.com/pollendoor/pollendoor/route"
)

// view is the state of a group that requests read. It is immutable and replaced
// as a whole.
type view struct {
	record    pollendoor.GroupRecord
	version   uint64
	changedAt time.Time // when this VM last saw the record's term, phase or primary change
	members   []*member
}

func (v *view) member(name string) *member {
	for _, m := range v.members {
		if m.addr.Name == name {
			return m
		}
	}
	return nil
}

func (v *view) observed() map[string]group.Observed {
	byName := make(map[string]group.Observed, len(v.members))
	for _, m := range v.members {
		if sample := m.observed.Load(); sample != nil {
			byName[m.addr.Name] = *sample
		}
	}
	return byName
}

// Group is one database group on this VM.
type Group struct {
	host         *Host
	name         string
	watchedSince atomic.Int64 // start of this VM's uninterrupted watch of the group, in Unix nanoseconds
	view         atomic.Pointer[view]
	waiters      atomic.Int64 // writes and reads that wait for a target status
	lastUsed     atomic.Int64 // time of the last exchange run on this VM, in Unix nanoseconds

	mu          sync.Mutex
	updated     chan struct{} // closed at every new status or record
	waiterAdded chan struct{} // closed when a request starts to wait
	lastPurge   time.Time
	supervised  bool
}

func newGroup(h *Host, name string) *Group {
	g := &Group{
		host:        h,
		name:        name,
		lastPurge:   time.Now(),
		updated:     make(chan struct{}),
		waiterAdded: make(chan struct{}),
	}
	g.view.Store(&view{changedAt: time.Now()})
	g.watchedSince.Store(time.Now().UnixNano())
	return g
}

// activeDuration is how long a VM that is not a home VM of a group keeps
// monitoring it after an exchange.
const activeDuration = 10 * time.Second

// active reports whether this VM keeps connections to the group's targets.
func (g *Group) active(now time.Time) bool {
	if _, isHomeVM := g.host.options.Rank(g.name); isHomeVM {
		return true
	}
	return now.Sub(time.Unix(0, g.lastUsed.Load())) < activeDuration
}

// applyRecord replaces the record if version is newer, and starts or stops
// monitoring the targets that were added or removed.
func (g *Group) applyRecord(rec pollendoor.GroupRecord, version uint64) {
	old := g.view.Load()
	if version <= old.version {
		return
	}
	next := &view{record: rec, version: version, changedAt: old.changedAt}
	if rec.Term != old.record.Term || rec.Phase != old.record.Phase || rec.Primary != old.record.Primary {
		next.changedAt = time.Now()
	}
	for _, t := range rec.Targets {
		m := old.member(t.Name)
		if m == nil || m.addr != t {
			m = newMember(g, t)
			m.start(g.host.ctx)
		}
		next.members = append(next.members, m)
	}
	g.view.Store(next)
	if m := next.member(old.record.Primary); m != nil && rec.Term > old.record.Term {
		m.resetReachability()
	}
	for _, m := range old.members {
		if next.member(m.addr.Name) != m {
			m.close()
		}
	}
	if !g.supervised {
		g.supervised = true
		g.host.wg.Go(func() { g.supervise(g.host.ctx) })
	}
	g.notifyUpdate()
}

// notifyUpdate wakes all goroutines that wait for a new status or record of the
// group.
func (g *Group) notifyUpdate() {
	g.mu.Lock()
	defer g.mu.Unlock()
	close(g.updated)
	g.updated = make(chan struct{})
}

func (g *Group) updates() <-chan struct{} {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.updated
}

func (g *Group) waiterArrivals() <-chan struct{} {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.waiterAdded
}

// await requests target statuses back to back until condition holds or ctx
// ends, and reports whether it held.
func (g *Group) await(ctx context.Context, condition func(v *view) bool) bool {
	if condition(g.view.Load()) {
		return true
	}
	g.waiters.Add(1)
	defer g.waiters.Add(-1)
	g.mu.Lock()
	close(g.waiterAdded)
	g.waiterAdded = make(chan struct{})
	g.mu.Unlock()
	for {
		updated := g.updates()
		if condition(g.view.Load()) {
			return true
		}
		select {
		case <-updated:
		case <-ctx.Done():
			return false
		}
	}
}

func (g *Group) close() {
	for _, m := range g.view.Load().members {
		m.close()
	}
}

// recordEvent logs an event and keeps it for the explain command.
func (g *Group) recordEvent(kind, cause string) {
	g.host.eventLog.add(g.name, pollendoor.Event{At: time.Now(), VM: g.host.options.VM, Kind: kind, Cause: cause})
	g.host.options.Log.Info().Str("group", g.name).Str("kind", kind).Msg(cause)
}

// Record returns the newest group record that this VM has read or received, and
// its store version.
func (g *Group) Record() (pollendoor.GroupRecord, uint64) {
	v := g.view.Load()
	return v.record, v.version
}

// Observed returns the latest status of each target by name.
func (g *Group) Observed() map[string]group.Observed { return g.view.Load().observed() }

// PrimaryDown reports whether the primary appears to have failed as seen from
// this VM, and the term of that primary.
func (g *Group) PrimaryDown() (pollendoor.Term, bool) {
	v := g.view.Load()
	down, _ := group.PrimaryDown(g.evidence(v), time.Now())
	return v.record.Term, down
}

// watchStart returns the start of this VM's uninterrupted watch of the group.
func (g *Group) watchStart() time.Time { return time.Unix(0, g.watchedSince.Load()) }

func (g *Group) evidence(v *view) group.Evidence {
	rank, _ := g.host.options.Rank(g.name)
	return group.Evidence{
		Record:       &v.record,
		ChangedAt:    v.changedAt,
		Observed:     v.observed(),
		WatchedSince: g.watchStart(),
		Zone:         g.host.options.Zone,
		Rank:         rank,
		HealthVotes:  g.host.options.HealthVotes(g.name),
	}
}

// candidates returns the routing information of each target. The target called
// exclude has an empty entry.
func candidates(v *view, exclude string) []route.Candidate {
	list := make([]route.Candidate, len(v.members))
	for i, m := range v.members {
		list[i].Zone = m.addr.Zone
		list[i].Leaving = m.addr.Leaving
		if sample := m.observed.Load(); sample != nil && m.addr.Name != exclude {
			holders, waiting := m.gate.Load()
			list[i].Status = sample.Status
			list[i].Seen = sample.RequestedAt
			list[i].InFlight = holders + waiting
			list[i].Lag = time.Duration(m.lag.Load())
			list[i].Capacity = m.group.host.options.Connections
		}
	}
	return list
}
