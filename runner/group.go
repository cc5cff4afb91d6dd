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
	rec     pollendoor.GroupRecord
	version uint64
	changed time.Time // when the record's term or phase last changed here
	members []*member
}

func (v *view) member(name string) *member {
	for _, m := range v.members {
		if m.addr.Name == name {
			return m
		}
	}
	return nil
}

func (v *view) seen() map[string]group.Seen {
	s := make(map[string]group.Seen, len(v.members))
	for _, m := range v.members {
		if p := m.seen.Load(); p != nil {
			s[m.addr.Name] = *p
		}
	}
	return s
}

// Group is one database group on this VM.
type Group struct {
	host    *Host
	name    string
	since   atomic.Int64 // unix ns since when this VM watches without a pause
	view    atomic.Pointer[view]
	waiters atomic.Int64 // writes and reads that wait for a status
	used    atomic.Int64 // unix ns of the last exchange run here

	mu      sync.Mutex
	update  chan struct{} // closed at every new status or record
	kick    chan struct{} // closed when a waiter comes
	purged  time.Time
	started bool
}

func newGroup(h *Host, name string) *Group {
	g := &Group{
		host:   h,
		name:   name,
		purged: time.Now(),
		update: make(chan struct{}),
		kick:   make(chan struct{}),
	}
	g.view.Store(&view{changed: time.Now()})
	g.since.Store(time.Now().UnixNano())
	return g
}

// activeFor is how long a VM that is no home keeps watching a group after an
// exchange was run there.
const activeFor = 10 * time.Second

// active reports whether this VM keeps connections to the group's targets.
func (g *Group) active(now time.Time) bool {
	if _, home := g.host.opt.Rank(g.name); home {
		return true
	}
	return now.Sub(time.Unix(0, g.used.Load())) < activeFor
}

// apply takes a record unless the one here is newer, and starts or stops
// watching targets that came or went.
func (g *Group) apply(rec pollendoor.GroupRecord, version uint64) {
	old := g.view.Load()
	if version <= old.version {
		return
	}
	next := &view{rec: rec, version: version, changed: old.changed}
	if rec.Term != old.rec.Term || rec.Phase != old.rec.Phase || rec.Primary != old.rec.Primary {
		next.changed = time.Now()
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
	if m := next.member(old.rec.Primary); m != nil && rec.Term > old.rec.Term {
		m.newLife()
	}
	for _, m := range old.members {
		if next.member(m.addr.Name) != m {
			m.close()
		}
	}
	if !g.started {
		g.started = true
		g.host.wg.Go(func() { g.drive(g.host.ctx) })
	}
	g.bump()
}

// bump wakes all who wait for news of the group.
func (g *Group) bump() {
	g.mu.Lock()
	defer g.mu.Unlock()
	close(g.update)
	g.update = make(chan struct{})
}

func (g *Group) updated() <-chan struct{} {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.update
}

func (g *Group) kicked() <-chan struct{} {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.kick
}

// await has the targets asked back to back until test holds or ctx ends, and
// reports whether it held.
func (g *Group) await(ctx context.Context, test func(v *view) bool) bool {
	if test(g.view.Load()) {
		return true
	}
	g.waiters.Add(1)
	defer g.waiters.Add(-1)
	g.mu.Lock()
	close(g.kick)
	g.kick = make(chan struct{})
	g.mu.Unlock()
	for {
		news := g.updated()
		if test(g.view.Load()) {
			return true
		}
		select {
		case <-news:
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
func (g *Group) explain(kind, cause string) {
	g.host.ring.add(g.name, pollendoor.Event{At: time.Now(), VM: g.host.opt.VM, Kind: kind, Cause: cause})
	g.host.opt.Log.Info().Str("group", g.name).Str("kind", kind).Msg(cause)
}

// Record returns the group's record as known here, and its version.
func (g *Group) Record() (pollendoor.GroupRecord, uint64) {
	v := g.view.Load()
	return v.rec, v.version
}

// Seen returns the newest status of each target.
func (g *Group) Seen() map[string]group.Seen { return g.view.Load().seen() }

// Down reports whether the primary looks lost from this VM, and of which term.
func (g *Group) Down() (pollendoor.Term, bool) {
	v := g.view.Load()
	down, _ := group.Down(g.sight(v), time.Now())
	return v.rec.Term, down
}

// watching returns since when this VM watches the group without a pause.
func (g *Group) watching() time.Time { return time.Unix(0, g.since.Load()) }

func (g *Group) sight(v *view) group.Sight {
	rank, _ := g.host.opt.Rank(g.name)
	return group.Sight{
		Record:   &v.rec,
		Changed:  v.changed,
		Seen:     v.seen(),
		Since:    g.watching(),
		Zone:     g.host.opt.Zone,
		Rank:     rank,
		Vantages: g.host.opt.Vantages(g.name),
	}
}

// candidates returns what routing needs to know of each target but one.
func candidates(v *view, avoid string) []route.Candidate {
	list := make([]route.Candidate, len(v.members))
	for i, m := range v.members {
		list[i].Zone = m.addr.Zone
		list[i].Leaving = m.addr.Leaving
		if s := m.seen.Load(); s != nil && m.addr.Name != avoid {
			holders, waiting := m.gate.Load()
			list[i].Status = s.Status
			list[i].Seen = s.Asked
			list[i].InFlight = holders + waiting
			list[i].Lag = time.Duration(m.lag.Load())
			list[i].Capacity = m.group.host.opt.Connections
		}
	}
	return list
}
