package fleet

import (
	"context"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/conc/iter"

	"github.com/pollendoor/pollendoor"
	"github.com/pollendoor/pollendoor/clock"
	"github.com/pollendoor/pollendoor/lease"
)

const (
	// statusTimeout bounds a control step at a target, its connection included.
	statusTimeout = 800 * time.Millisecond
	// lateTime is how long targets may answer behind the first one: some round
	// trips between regions, and a place in a queue.
	lateTime = 350 * time.Millisecond
	// busyPause is the pause before a target that was busy is asked again.
	busyPause = 60 * time.Millisecond
	// statusTries bounds how often a busy target is asked.
	statusTries = 4
	// dropPoll is how often the holder looks whether all VMs have dropped a
	// primary.
	dropPoll = 10 * time.Millisecond
	// pokeAgain is when those that have not are asked once more.
	pokeAgain = 150 * time.Millisecond
	// catchUpTime is how long a planned change waits for the successor to have
	// received all.
	catchUpTime = 2 * time.Second
	// leadPoll and leadTime are how often and how long the holder looks whether a
	// promoted target leads.
	leadPoll = 50 * time.Millisecond
	leadTime = 3 * time.Second
	// orderTime is how long after the proof of the duty a promotion may still be
	// ordered.
	orderTime = 400 * time.Millisecond
	// foundPause is the pause before a group without a primary is looked at again.
	foundPause = 300 * time.Millisecond
)

// control runs a control step at a target over a connection of its own.
func (v *VM) control(ctx context.Context, t pollendoor.TargetInfo, step func(pollendoor.TargetConn, time.Time) (pollendoor.TargetStatus, error)) (pollendoor.TargetStatus, error) {
	deadline := time.Now().Add(statusTimeout)
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	v.stats.Dials.Add(1)
	c, err := v.Platform.Dial(ctx, t, probeTeam)
	if err != nil {
		return pollendoor.TargetStatus{}, err
	}
	defer c.Close()
	for try := 1; ; try++ {
		st, err := step(c, deadline)
		var refused *pollendoor.TargetError
		if errors.As(err, &refused) && refused.Code == pollendoor.ErrBusy && try < statusTries {
			pollendoor.Pause(ctx, busyPause)
			continue
		}
		st.Name = t.ID
		return st, err
	}
}

func (v *VM) status(ctx context.Context, t pollendoor.TargetInfo) (pollendoor.TargetStatus, error) {
	return v.control(ctx, t, pollendoor.TargetConn.Status)
}

// statuses asks several targets at once and returns those that answered. Once
// one has, it waits only a little for the others: a dark one never answers.
func (v *VM) statuses(ctx context.Context, list []pollendoor.TargetInfo) []lease.Candidate {
	answers := make(chan *lease.Candidate, len(list))
	for _, t := range list {
		go func() {
			st, err := v.status(ctx, t)
			if err != nil {
				v.Log.Info().Err(err).Str("target", t.ID).Msg("no status")
				answers <- nil
				return
			}
			answers <- &lease.Candidate{Target: t, Status: st}
		}()
	}
	var out []lease.Candidate
	var late <-chan time.Time
	for range list {
		select {
		case c := <-answers:
			if c == nil {
				continue
			}
			out = append(out, *c)
			if late == nil {
				late = time.After(lateTime)
			}
		case <-late:
			return out
		}
	}
	return out
}

// found writes groups down for the first time, each under the primary that leads it.
func (d *duty) found(ctx context.Context, names []string) {
	v := d.vm
	leaders := iter.Mapper[string, *lease.Candidate]{MaxGoroutines: maxFound}.Map(names, func(name *string) *lease.Candidate {
		var best *lease.Candidate
		for _, c := range v.statuses(ctx, v.targets.Group(*name)) {
			if c.Status.Role == pollendoor.Primary && (best == nil || c.Status.Term > best.Status.Term) {
				best = &c
			}
		}
		return best
	})
	groups := make(map[string]lease.Group, len(names))
	for i, best := range leaders {
		if best != nil {
			groups[names[i]] = lease.Group{}.Settle(best.Target.ID, best.Status.Term)
		}
	}
	if len(groups) > 0 {
		err := d.write(ctx, func(r lease.Record) lease.Record { return r.WithGroups(groups) })
		if err != nil {
			v.Log.Warn().Err(err).Int("groups", len(groups)).Msg("groups not recorded")
		}
	}
	if len(groups) < len(names) {
		pollendoor.Pause(ctx, foundPause)
	}
}

// replace writes down that a group is moving and moves it.
func (d *duty) replace(ctx context.Context, name string, g lease.Group, cause lease.Cause) {
	v := d.vm
	planned := cause == lease.CauseDraining
	if planned && !d.hasSuccessor(name, g.Primary) {
		return
	}
	v.Log.Info().Str("group", name).Str("primary", g.Primary).Str("cause", string(cause)).Msg("replacing a primary")
	if err := d.write(ctx, func(r lease.Record) lease.Record { return r.WithGroup(name, g.Move(planned)) }); err != nil {
		v.Log.Warn().Err(err).Str("group", name).Msg("replacement not recorded")
		return
	}
	d.move(ctx, name, string(cause))
}

// hasSuccessor reports whether a group has a target that stays.
func (d *duty) hasSuccessor(name, primary string) bool {
	for _, t := range d.others(name, primary) {
		if !t.Draining {
			return true
		}
	}
	return false
}

// move promotes another target, or settles on the old one if it turns out to
// lead and to stay.
func (d *duty) move(ctx context.Context, name, cause string) {
	v := d.vm
	start := clock.Now()
	if !d.dropped(ctx, name) {
		return
	}
	dropped := clock.Now()
	for ctx.Err() == nil && d.holds() {
		g := d.group(name)
		c, promote := d.successor(ctx, name, g)
		if c == nil {
			pollendoor.Pause(ctx, foundPause)
			continue
		}
		term := c.Status.Term
		if promote {
			var ok bool
			if term, ok = d.promote(ctx, name, c.Target); !ok {
				pollendoor.Pause(ctx, busyPause)
				continue
			}
		}
		err := d.write(ctx, func(r lease.Record) lease.Record {
			return r.WithGroup(name, r.Groups[name].Settle(c.Target.ID, term))
		})
		if err != nil {
			v.Log.Warn().Err(err).Str("group", name).Msg("successor not recorded")
			return
		}
		v.Log.Info().Str("group", name).Str("cause", cause).Str("from", g.Primary).Str("to", c.Target.ID).
			Uint64("term", uint64(term)).Uint64("index", c.Status.Index).Bool("promoted", promote).
			Dur("dropping", dropped-start).Dur("whole", clock.Now()-start).Msg("primary replaced")
		if old, ok := v.targets.Get(g.Primary); ok && promote && !old.Draining {
			_, err := v.control(ctx, old, func(c pollendoor.TargetConn, deadline time.Time) (pollendoor.TargetStatus, error) {
				return c.StepDown(term, deadline)
			})
			v.Log.Info().Err(err).Str("target", old.ID).Msg("old primary told to step down")
		}
		return
	}
}

// dropped waits until no VM uses the old primary of a moving group.
func (d *duty) dropped(ctx context.Context, name string) bool {
	poked := clock.Now()
	for ctx.Err() == nil {
		now := clock.Now()
		d.mu.Lock()
		held, done := d.holding(), d.state.OldPrimaryReleased(name, now)
		d.mu.Unlock()
		if !held {
			return false
		}
		if done {
			return true
		}
		if now-poked > pokeAgain {
			poked = now
			d.poke()
		}
		pollendoor.Pause(ctx, dropPoll)
	}
	return false
}

// successor chooses the target that shall lead, and whether it has to be promoted.
// In a planned change it waits a while until that target has received all.
func (d *duty) successor(ctx context.Context, name string, g lease.Group) (*lease.Candidate, bool) {
	v := d.vm
	until := clock.Now() + catchUpTime
	for {
		list := v.statuses(ctx, v.targets.Group(name))
		next, promote, ok := lease.Next(g, list)
		if !ok {
			return nil, false
		}
		received := true
		for _, c := range list {
			received = received && (c.Target.ID != g.Primary || next.Status.Index >= c.Status.Index)
		}
		if !promote || received || !g.Planned || clock.Now() > until {
			return &next, promote
		}
		pollendoor.Pause(ctx, busyPause)
	}
}

// promote orders a promotion and waits until the target leads.
func (d *duty) promote(ctx context.Context, name string, t pollendoor.TargetInfo) (pollendoor.Term, bool) {
	v := d.vm
	for {
		d.mu.Lock()
		settled := d.state.EarlierCallsEnded(v.Platform.PromoteTime+orderTime, clock.Now())
		d.mu.Unlock()
		if settled {
			break
		}
		pollendoor.Pause(ctx, dropPoll)
	}
	// Writing the order down proves the duty as well.
	proved := clock.Now()
	err := d.write(ctx, func(r lease.Record) lease.Record {
		return r.WithGroup(name, r.Groups[name].Order(t.ID))
	})
	if err != nil {
		v.Log.Warn().Err(err).Str("group", name).Msg("not promoting: the duty is not certain")
		return 0, false
	}
	if clock.Now() > proved+orderTime {
		v.Log.Warn().Str("group", name).Msg("not promoting: the proof of the duty took too long")
		return 0, false
	}
	status, err := v.Platform.Promote(ctx, name, t.ID, v.Settings.VM, d.token())
	v.Log.Info().Err(err).Int("status", status).Str("group", name).Str("target", t.ID).Uint64("token", d.token()).Msg("promotion ordered")
	if err == nil && status != http.StatusOK && status/100 != 2 {
		return 0, false
	}
	until := clock.Now() + leadTime
	for clock.Now() < until && ctx.Err() == nil {
		st, err := v.status(ctx, t)
		if err == nil && st.Role == pollendoor.Primary {
			return st.Term, true
		}
		pollendoor.Pause(ctx, leadPoll)
	}
	return 0, false
}
