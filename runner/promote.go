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
	// evaluationInterval is the time between two evaluations of a group.
	evaluationInterval = 25 * time.Millisecond
	// promoteTimeout is the maximum duration of one promotion.
	promoteTimeout = 4 * time.Second
	// stepTimeout is the maximum duration of one attempt of a step at a target.
	stepTimeout = 400 * time.Millisecond
	// stepRetryDelay is the delay between attempts of a step.
	stepRetryDelay = 30 * time.Millisecond
)

// termTable creates the table that holds the first entry of each term.
const termTable = "CREATE TABLE IF NOT EXISTS pollendoor_term (term BIGINT PRIMARY KEY, vm TEXT)"

// supervise evaluates the group in a loop. If this VM is one of the group's
// home VMs, it also promotes, rejoins targets and removes expired rows.
func (g *Group) supervise(ctx context.Context) {
	suspected := false
	for ctx.Err() == nil {
		before := time.Now()
		pollendoor.Pause(ctx, evaluationInterval)
		if group.WasPaused(before, time.Now()) {
			g.recordEvent("paused", fmt.Sprintf("this VM was paused for %d ms; statuses missed meanwhile do not count against the primary", time.Since(before).Milliseconds()))
			g.watchedSince.Store(time.Now().UnixNano())
		}
		rank, isHomeVM := g.host.options.Rank(g.name)
		if !isHomeVM {
			continue
		}
		v := g.view.Load()
		now := time.Now()
		if _, down := g.PrimaryDown(); down != suspected {
			suspected = down
			g.host.options.OnSuspicionChange(g.name)
		}
		if ok, cause := group.ShouldPromote(g.evidence(v), now); ok {
			g.promote(ctx, v, cause)
			continue
		}
		if now.Sub(v.changedAt) > time.Duration(rank)*group.RankDelay {
			g.rejoinTargets(ctx, v)
		}
		if rank == 0 && group.ShouldPurge(&v.record, v.observed(), g.lastPurge, now) {
			g.purgeKeys(ctx, v, now)
		}
	}
}

// rejoinTargets makes targets of older terms follow the current primary.
func (g *Group) rejoinTargets(ctx context.Context, v *view) {
	for _, r := range group.TargetsToRejoin(&v.record, v.observed(), v.changedAt) {
		m := v.member(r.Target)
		stepCtx, cancel := context.WithTimeout(ctx, stepTimeout)
		before := m.observed.Load().Status
		status, err := m.admin.Follow(stepCtx, r.Term, r.Addr, r.After)
		cancel()
		if err != nil {
			continue
		}
		cause := fmt.Sprintf("%s left term %d at index %d and now follows term %d", r.Target, before.Term, before.Index, r.Term)
		if status.Index < before.Index {
			cause += fmt.Sprintf("; %d unacknowledged entries after index %d were dropped", before.Index-status.Index, r.After)
		}
		g.recordEvent("rejoin", cause)
	}
}

func (g *Group) purgeKeys(ctx context.Context, v *view, now time.Time) {
	g.lastPurge = now
	m := v.member(v.record.Primary)
	purgeCtx, cancel := context.WithTimeout(ctx, stepTimeout)
	defer cancel()
	if _, err := m.admin.Query(purgeCtx, dedup.Purge(now)); err != nil {
		g.host.options.Log.Warn().Err(err).Str("group", g.name).Msg("old request rows could not be removed")
	}
}

// promotion carries out the actions of one group.Promotion.
type promotion struct {
	group  *Group
	ctx    context.Context // ends when the promotion ends or times out
	state  *group.Promotion
	events chan group.Event // results of the actions
	wg     *conc.WaitGroup
	view   *view // view on which the promotion is based
}

// promote runs one promotion until it succeeds, fails or times out.
func (g *Group) promote(ctx context.Context, v *view, cause string) {
	g.recordEvent("promotion", cause)
	ctx, cancel := context.WithTimeout(ctx, promoteTimeout)
	state, actions := group.Begin(g.host.options.VM, v.record, v.version, uuid.NewString(), cause, time.Now())
	p := &promotion{group: g, ctx: ctx, state: state, events: make(chan group.Event, 16), wg: conc.NewWaitGroup(), view: v}
	defer p.wg.Wait()
	defer cancel()
	p.executeAll(actions)
	for state.Step != group.Done && state.Step != group.Failed {
		select {
		case ev := <-p.events:
			p.executeAll(state.Handle(ev, time.Now()))
		case <-ctx.Done():
			state.Handle(group.TimedOut{}, time.Now())
		}
	}
	if state.Step == group.Failed {
		g.recordEvent("promotionEnded", fmt.Sprintf("the promotion for term %d by this VM did not complete", state.Record.Term))
		return
	}
	g.recordEvent("promoted", fmt.Sprintf("term %d serves at %s", state.Record.Term, state.Record.Primary))
	g.host.applyRecord(state.Record, state.Version)
}

func (p *promotion) executeAll(list []group.Action) {
	for _, a := range list {
		p.wg.Go(func() { p.execute(a) })
	}
}

func (p *promotion) send(ev group.Event) {
	select {
	case p.events <- ev:
	case <-p.ctx.Done():
	}
}

func (p *promotion) execute(a group.Action) {
	switch a := a.(type) {
	case group.WriteRecord:
		p.writeRecord(a)
	case group.ReadRecord:
		p.readRecord()
	case group.FenceTarget:
		p.retryStep(a.Target, func(ctx context.Context, m *member) (group.Event, error) {
			status, err := m.admin.Fence(ctx, a.Term)
			status.Name = a.Target
			return group.TargetFenced{Status: status}, err
		})
	case group.PromoteTarget:
		p.retryStep(a.Target, func(ctx context.Context, m *member) (group.Event, error) {
			status, err := m.admin.Promote(ctx, a.Term)
			return group.TargetPromoted{Status: status}, err
		})
	case group.JoinTarget:
		p.retryStep(a.Target, func(ctx context.Context, m *member) (group.Event, error) {
			_, err := m.admin.Follow(ctx, a.Term, a.Addr, a.After)
			return group.TargetJoined{Target: a.Target}, err
		})
	case group.WriteBarrier:
		p.writeBarrier(a)
	}
}

// retryStep attempts a step at a target until it succeeds or the promotion
// ends.
func (p *promotion) retryStep(target string, attempt func(context.Context, *member) (group.Event, error)) {
	m := p.view.member(target)
	for p.ctx.Err() == nil {
		stepCtx, cancel := context.WithTimeout(p.ctx, stepTimeout)
		ev, err := attempt(stepCtx, m)
		cancel()
		if err == nil {
			p.send(ev)
			return
		}
		pollendoor.Pause(p.ctx, stepRetryDelay)
	}
}

func (p *promotion) writeRecord(a group.WriteRecord) {
	raw, err := json.Marshal(a.Record)
	if err != nil {
		panic(errors.NewAssertionErrorWithWrappedErrf(err, "encode group record"))
	}
	version, err := p.group.host.options.Store.Put(p.ctx, GroupPrefix+p.group.name, a.Version, raw)
	switch {
	case err == nil:
		p.send(group.RecordWritten{Version: version})
	case errors.Is(err, pollendoor.ErrConflict):
		p.send(group.WriteConflict{})
	default:
		pollendoor.Pause(p.ctx, stepRetryDelay)
		p.send(group.WriteUnknown{})
	}
}

func (p *promotion) readRecord() {
	for p.ctx.Err() == nil {
		obj, err := p.group.host.options.Store.Get(p.ctx, GroupPrefix+p.group.name)
		var rec pollendoor.GroupRecord
		if err == nil {
			err = json.Unmarshal(obj.Value, &rec)
		}
		if err == nil {
			p.send(group.RecordRead{Record: rec, Version: obj.Version})
			return
		}
		pollendoor.Pause(p.ctx, stepRetryDelay)
	}
}

// writeBarrier writes the first entry of the term and waits until a replica of
// the term has it.
func (p *promotion) writeBarrier(a group.WriteBarrier) {
	sql := termTable + ";" + dedup.Table +
		fmt.Sprintf(";INSERT INTO pollendoor_term VALUES (%d, %s) ON CONFLICT (term) DO UPDATE SET vm = excluded.vm", a.Term, pgwire.Quote(p.group.host.options.VM))
	p.retryStep(a.Target, func(ctx context.Context, m *member) (group.Event, error) {
		_, position, err := m.admin.Exec(ctx, sql)
		if err != nil {
			return nil, err
		}
		if position.Term != a.Term {
			return nil, errors.Newf("barrier was written in term %d, want %d", position.Term, a.Term)
		}
		answered := time.Now()
		if !p.group.await(ctx, func(*view) bool { return replicaHolds(p.view, position, answered) }) {
			return nil, errors.New("no replica holds the barrier entry yet")
		}
		return group.BarrierReached{}, nil
	})
}
