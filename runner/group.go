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

// view is the part of a group that requests read. It is replaced, never
// changed.
type view struct {
	record    pollendoor.GroupRecord
	version   uint64
	changedAt time.Time // when the record's term or phase last changed here
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
	watchedSince atomic.Int64 // unix ns since when this VM watches without a pause
	view         atomic.Pointer[view]
	waiters      atomic.Int64 // writes and reads that wait for a status
	lastUsed     atomic.Int64 // unix ns of the last exchange run here

	mu          sync.Mutex
	updated     chan struct{} // closed at every new status or record
	waiterAdded chan struct{} // closed when a waiter comes
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

// activeFor is how long a VM that is no home keeps watching a group after an
// exchange was run there.
const activeDuration = 10 * time.Second

// active reports whether this VM keeps connections to the group's targets.
func (g *Group) active(now time.Time) bool {
	if _, ranked := g.host.options.Rank(g.name); ranked {
		return true
	}
	return now.Sub(time.Unix(0, g.lastUsed.Load())) < activeDuration
}

// apply takes a record unless the one here is newer, and starts or stops
// watching targets that came or went.
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
		mb := old.member(t.Name)
		if mb == nil || mb.addr != t {
			mb = newMember(g, t)
			mb.start(g.host.ctx)
		}
		next.members = append(next.members, mb)
	}
	g.view.Store(next)
	if mb := next.member(old.record.Primary); mb != nil && rec.Term > old.record.Term {
		mb.resetReachability()
	}
	for _, mb := range old.members {
		if next.member(mb.addr.Name) != mb {
			mb.close()
		}
	}
	if !g.supervised {
		g.supervised = true
		g.host.wg.Go(func() { g.supervise(g.host.ctx) })
	}
	g.notifyUpdate()
}

// bump wakes all who wait for news of the group.
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

// await has the targets asked back to back until test holds or ctx ends, and
// reports whether it held.
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

// explain notes an event for operators.
func (g *Group) recordEvent(kind, cause string) {
	g.host.eventLog.add(g.name, pollendoor.Event{At: time.Now(), VM: g.host.options.VM, Kind: kind, Cause: cause})
	g.host.options.Log.Info().Str("group", g.name).Str("kind", kind).Msg(cause)
}

// Record returns the group's record as known here, and its version.
func (g *Group) Record() (pollendoor.GroupRecord, uint64) {
	v := g.view.Load()
	return v.record, v.version
}

// Seen returns the newest status of each target.
func (g *Group) Observed() map[string]group.Observed { return g.view.Load().observed() }

// Down reports whether the primary looks lost from this VM, and of which term.
func (g *Group) PrimaryDown() (pollendoor.Term, bool) {
	v := g.view.Load()
	down, _ := group.PrimaryDown(g.evidence(v), time.Now())
	return v.record.Term, down
}

// watching returns since when this VM watches the group without a pause.
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

// candidates returns what routing needs to know of each target but one.
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
