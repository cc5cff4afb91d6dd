package runner

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"
	"github.com/sourcegraph/conc"

	"github.com/pollendoor/pollendoor"
	"github.com/pollendoor/pollendoor/dedup"
	"github.com/pollendoor/pollendoor/group"
	"github.com/pollendoor/pollendoor/pgwire"
)

const (
	// driveEvery is how often a group is judged.
	driveEvery = 25 * time.Millisecond
	// promoteTimeout bounds one promotion.
	promoteTimeout = 4 * time.Second
	// stepTimeout bounds one try of a step at a target.
	stepTimeout = 400 * time.Millisecond
	// stepRetry is the wait between tries of a step.
	stepRetry = 30 * time.Millisecond
)

// termTable is where each term's first entry goes.
const termTable = "CREATE TABLE IF NOT EXISTS pollendoor_term (term BIGINT PRIMARY KEY, vm TEXT)"

// drive judges the group over and over, and acts if this VM is one of its
// homes.
func (g *Group) drive(ctx context.Context) {
	doubted := false
	for ctx.Err() == nil {
		last := time.Now()
		pollendoor.Pause(ctx, driveEvery)
		if group.WasPaused(last, time.Now()) {
			g.explain("paused", fmt.Sprintf("this VM did nothing for %d ms; what it has not seen meanwhile says nothing", time.Since(last).Milliseconds()))
			g.since.Store(time.Now().UnixNano())
		}
		rank, home := g.host.opt.Rank(g.name)
		if !home {
			continue
		}
		v := g.view.Load()
		now := time.Now()
		if _, down := g.Down(); down != doubted {
			doubted = down
			g.host.opt.Doubt(g.name)
		}
		if ok, cause := group.ShouldPromote(g.sight(v), now); ok {
			g.promote(ctx, v, cause)
			continue
		}
		if now.Sub(v.changed) > time.Duration(rank)*group.RankDelay {
			g.rejoin(ctx, v)
		}
		if rank == 0 && group.ShouldPurge(&v.rec, v.seen(), g.purged, now) {
			g.purge(ctx, v, now)
		}
	}
}

// rejoin brings back targets that are not part of the term.
func (g *Group) rejoin(ctx context.Context, v *view) {
	for _, r := range group.Strays(&v.rec, v.seen(), v.changed) {
		m := v.member(r.Target)
		c, cancel := context.WithTimeout(ctx, stepTimeout)
		before := m.seen.Load().Status
		st, err := m.admin.Follow(c, r.Term, r.Addr, r.After)
		cancel()
		if err != nil {
			continue
		}
		cause := fmt.Sprintf("%s came from term %d at index %d and follows term %d", r.Target, before.Term, before.Index, r.Term)
		if st.Index < before.Index {
			cause += fmt.Sprintf("; %d entries behind %d that nobody was told of were dropped", before.Index-st.Index, r.After)
		}
		g.explain("rejoin", cause)
	}
}

func (g *Group) purge(ctx context.Context, v *view, now time.Time) {
	g.purged = now
	m := v.member(v.rec.Primary)
	c, cancel := context.WithTimeout(ctx, stepTimeout)
	defer cancel()
	if _, err := m.admin.Query(c, dedup.Purge(now)); err != nil {
		g.host.opt.Log.Warn().Err(err).Str("group", g.name).Msg("old request rows could not be removed")
	}
}

// promotion is the shell around one group.Promotion.
type promotion struct {
	group  *Group
	ctx    context.Context
	core   *group.Promotion
	events chan group.Event
	wg     *conc.WaitGroup
	view   *view
}

// promote runs one promotion to its end.
func (g *Group) promote(ctx context.Context, v *view, cause string) {
	g.explain("promotion", cause)
	ctx, cancel := context.WithTimeout(ctx, promoteTimeout)
	core, actions := group.Begin(g.host.opt.VM, v.rec, v.version, uuid.NewString(), cause, time.Now())
	p := &promotion{group: g, ctx: ctx, core: core, events: make(chan group.Event, 16), wg: conc.NewWaitGroup(), view: v}
	defer p.wg.Wait()
	defer cancel()
	p.do(actions)
	for core.Step != group.Done && core.Step != group.Failed {
		select {
		case ev := <-p.events:
			p.do(core.On(ev, time.Now()))
		case <-ctx.Done():
			core.On(group.TimedOut{}, time.Now())
		}
	}
	if core.Step == group.Failed {
		g.explain("promotionEnded", fmt.Sprintf("term %d was not brought to serve by this VM", core.Record.Term))
		return
	}
	g.explain("promoted", fmt.Sprintf("term %d serves at %s", core.Record.Term, core.Record.Primary))
	g.host.apply(core.Record, core.Version)
}

func (p *promotion) do(list []group.Action) {
	for _, a := range list {
		p.wg.Go(func() { p.run(a) })
	}
}

func (p *promotion) tell(ev group.Event) {
	select {
	case p.events <- ev:
	case <-p.ctx.Done():
	}
}

func (p *promotion) run(a group.Action) {
	switch a := a.(type) {
	case group.Write:
		p.write(a)
	case group.ReadBack:
		p.readBack()
	case group.FenceTarget:
		p.step(a.Target, func(ctx context.Context, m *member) (group.Event, error) {
			st, err := m.admin.Fence(ctx, a.Term)
			st.Name = a.Target
			return group.TargetFenced{Status: st}, err
		})
	case group.PromoteTarget:
		p.step(a.Target, func(ctx context.Context, m *member) (group.Event, error) {
			st, err := m.admin.Promote(ctx, a.Term)
			return group.TargetPromoted{Status: st}, err
		})
	case group.JoinTarget:
		p.step(a.Target, func(ctx context.Context, m *member) (group.Event, error) {
			_, err := m.admin.Follow(ctx, a.Term, a.Addr, a.After)
			return group.TargetJoined{Target: a.Target}, err
		})
	case group.WriteBarrier:
		p.barrier(a)
	}
}

// step tries a step at a target until it succeeds or the promotion ends.
func (p *promotion) step(target string, try func(context.Context, *member) (group.Event, error)) {
	m := p.view.member(target)
	for p.ctx.Err() == nil {
		c, cancel := context.WithTimeout(p.ctx, stepTimeout)
		ev, err := try(c, m)
		cancel()
		if err == nil {
			p.tell(ev)
			return
		}
		pollendoor.Pause(p.ctx, stepRetry)
	}
}

func (p *promotion) write(a group.Write) {
	raw, err := json.Marshal(a.Record)
	if err != nil {
		panic(errors.NewAssertionErrorWithWrappedErrf(err, "a group record did not encode"))
	}
	version, err := p.group.host.opt.Store.Put(p.ctx, GroupPrefix+p.group.name, a.Version, raw)
	switch {
	case err == nil:
		p.tell(group.Written{Version: version})
	case errors.Is(err, pollendoor.ErrConflict):
		p.tell(group.WriteRefused{})
	default:
		pollendoor.Pause(p.ctx, stepRetry)
		p.tell(group.WriteLost{})
	}
}

func (p *promotion) readBack() {
	for p.ctx.Err() == nil {
		o, err := p.group.host.opt.Store.Get(p.ctx, GroupPrefix+p.group.name)
		var rec pollendoor.GroupRecord
		if err == nil {
			err = json.Unmarshal(o.Value, &rec)
		}
		if err == nil {
			p.tell(group.Read{Record: rec, Version: o.Version})
			return
		}
		pollendoor.Pause(p.ctx, stepRetry)
	}
}

// barrier writes the first entry of the term and waits until a replica of the
// term has it.
func (p *promotion) barrier(a group.WriteBarrier) {
	text := termTable + ";" + dedup.Table +
		fmt.Sprintf(";INSERT INTO pollendoor_term VALUES (%d, %s) ON CONFLICT (term) DO UPDATE SET vm = excluded.vm", a.Term, pgwire.Quote(p.group.host.opt.VM))
	p.step(a.Target, func(ctx context.Context, m *member) (group.Event, error) {
		_, pos, err := m.admin.Exec(ctx, text)
		if err != nil {
			return nil, err
		}
		if pos.Term != a.Term {
			return nil, errors.Newf("barrier went to term %d, not %d", pos.Term, a.Term)
		}
		answered := time.Now()
		if !p.group.await(ctx, func(*view) bool { return attested(p.view, pos, answered) }) {
			return nil, errors.New("no replica has the barrier yet")
		}
		return group.BarrierReached{}, nil
	})
}
