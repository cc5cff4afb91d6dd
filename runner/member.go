package runner

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/pollendoor/pollendoor"
	"github.com/pollendoor/pollendoor/group"
	"github.com/pollendoor/pollendoor/pgwire"
	"github.com/pollendoor/pollendoor/pool"
	"github.com/pollendoor/pollendoor/queue"
)

const (
	// statusEvery is the time between status requests while nobody waits.
	statusEvery = 100 * time.Millisecond
	// statusSpacing is the least time between status requests while writes wait
	// to be acknowledged.
	statusSpacing = 200 * time.Microsecond
	// statusTimeout bounds one status request.
	statusTimeout = 300 * time.Millisecond
	// statusBackoff is the wait after a failed status request.
	statusBackoff = 40 * time.Millisecond
)

// member is one target of a group as this VM sees it.
type member struct {
	group   *Group
	addr    pollendoor.TargetAddr
	control pool.Control // status requests
	admin   pool.Control // steps of promotions
	pool    pool.Pool
	gate    queue.Gate // for connections
	slots   queue.Gate // for statements under way
	seen    atomic.Pointer[group.Seen]
	lag     atomic.Int64 // ns, age of entries when they are applied
	life    atomic.Pointer[life]
	cancel  context.CancelFunc
}

// life ends when a target is lost from sight or no longer the primary.
// Statements under way there are given up, for their answers may never come.
type life struct {
	ctx context.Context
	end context.CancelFunc
}

func (m *member) newLife() {
	ctx, cancel := context.WithCancel(context.Background())
	if old := m.life.Swap(&life{ctx: ctx, end: cancel}); old != nil {
		old.end()
	}
}

func newMember(g *Group, addr pollendoor.TargetAddr) *member {
	o := g.host.opt
	login := pgwire.Login{Addr: addr.Addr, User: o.User, Password: o.Password, Database: g.name, App: "pollendoor@" + o.Zone}
	m := &member{group: g, addr: addr}
	m.pool.Login = login
	login.App = pgwire.ControlApp + "@" + o.Zone
	m.control.Login = login
	m.admin.Login = login
	m.gate.SetLimit(o.Connections)
	m.slots.SetLimit(o.Slots)
	m.newLife()
	return m
}

func (m *member) start(ctx context.Context) {
	ctx, m.cancel = context.WithCancel(ctx)
	m.group.host.wg.Go(func() { m.poll(ctx) })
}

// poll keeps asking for the status: seldom while nobody waits, back to back
// while writes wait. One request is outstanding at a time, so all waiting writes
// share each answer.
func (m *member) poll(ctx context.Context) {
	trimmed, last := time.Now(), time.Now()
	for ctx.Err() == nil {
		asked := time.Now()
		if !m.group.active(asked) {
			m.idle(ctx)
			last = time.Now()
			continue
		}
		if m.ask(ctx, asked) != nil {
			m.pool.Drop()
			if time.Since(last) > group.SuspectAfter {
				m.newLife()
				last = time.Now()
			}
			m.group.bump()
			pollendoor.Pause(ctx, statusBackoff)
			continue
		}
		last = asked
		if asked.Sub(trimmed) > time.Second {
			m.pool.Trim(asked)
			trimmed = asked
		}
		m.rest(ctx)
	}
	m.control.Close()
	m.admin.Close()
}

// idle drops all connections and waits a little, or until an exchange comes.
func (m *member) idle(ctx context.Context) {
	m.pool.Drop()
	m.control.Close()
	m.admin.Close()
	t := time.NewTimer(statusEvery)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	case <-m.group.kicked():
	}
}

func (m *member) ask(ctx context.Context, asked time.Time) error {
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	st, err := m.control.Status(ctx)
	if err != nil {
		return err
	}
	st.Name = m.addr.Name
	m.measureLag(st, asked)
	m.seen.Store(&group.Seen{Status: st, Asked: asked})
	m.group.bump()
	return nil
}

// lagForget is the time in which a larger lag seen before is forgotten.
const lagForget = 10 * time.Second

// measureLag keeps the largest age lately seen of entries not applied.
func (m *member) measureLag(st pollendoor.TargetStatus, asked time.Time) {
	old := m.lag.Load()
	if p := m.seen.Load(); p != nil {
		old -= int64(float64(old) * asked.Sub(p.Asked).Seconds() / lagForget.Seconds())
	}
	if st.Applied < st.Index {
		old = max(old, int64(st.Age()))
	}
	m.lag.Store(old)
}

// rest waits until the next status request is due.
func (m *member) rest(ctx context.Context) {
	if m.group.waiters.Load() > 0 {
		pollendoor.Pause(ctx, statusSpacing)
		return
	}
	t := time.NewTimer(statusEvery)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	case <-m.group.kicked():
	}
}

func (m *member) close() {
	m.cancel()
	m.life.Load().end()
	m.pool.Close()
}
