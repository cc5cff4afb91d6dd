package fleet

import (
	"context"
	"net/http"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/conc/iter"

	"github.com/pollendoor/pollendoor"
	"github.com/pollendoor/pollendoor/clock"
	"github.com/pollendoor/pollendoor/evac"
	"github.com/pollendoor/pollendoor/lease"
)

const (
	// statusTimeout bounds a control command at a target, including the connection
	// setup.
	statusTimeout = 800 * time.Millisecond
	// lateAnswerTime is how long after the first answer the other targets may still
	// answer: some round trips between regions, and a wait in a queue.
	lateAnswerTime = 350 * time.Millisecond
	// busyRetryPause is the pause before a target that was busy is asked again.
	busyRetryPause = 60 * time.Millisecond
	// maxStatusAttempts bounds how often a busy target is asked.
	maxStatusAttempts = 4
	// releasePoll is how often the leader checks whether all VMs have stopped using
	// a primary.
	releasePoll = 10 * time.Millisecond
	// rebroadcastAfter is how long the leader waits for VMs that still use the
	// primary before it sends the record again.
	rebroadcastAfter = 150 * time.Millisecond
	// promotedPoll is how often, and promotedTimeout for how long, the leader checks
	// whether a promoted target has become the primary.
	promotedPoll    = 50 * time.Millisecond
	promotedTimeout = 3 * time.Second
	// maxOrderDelay is how long after the confirmation of the leadership a promotion
	// may still be ordered.
	maxOrderDelay = 400 * time.Millisecond
	// groupRetryPause is the pause before a group without a primary is checked
	// again, and before a planned change is considered again.
	groupRetryPause = 300 * time.Millisecond
)

// controlTarget runs a control command at a target over a separate connection. It
// retries while the target is busy. A target that may not be used because its zone is
// being evacuated is not asked.
func (v *VM) controlTarget(ctx context.Context, t pollendoor.TargetInfo, command func(pollendoor.TargetConn, time.Time) (pollendoor.TargetStatus, error)) (pollendoor.TargetStatus, error) {
	if v.useOf(t, clock.Now()) != evac.UseAll {
		return pollendoor.TargetStatus{}, errEvacuated
	}
	if !v.homeVMs.mayControl(t) {
		return pollendoor.TargetStatus{}, errCold
	}
	deadline := time.Now().Add(statusTimeout)
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	v.stats.Dials.Add(1)
	c, err := v.Platform.Dial(ctx, t, systemTeam)
	if err != nil {
		return pollendoor.TargetStatus{}, err
	}
	defer c.Close()
	for try := 1; ; try++ {
		if v.useOf(t, clock.Now()) != evac.UseAll {
			return pollendoor.TargetStatus{}, errEvacuated
		}
		st, err := command(c, deadline)
		var refused *pollendoor.TargetError
		if errors.As(err, &refused) && refused.Code == pollendoor.ErrBusy && try < maxStatusAttempts {
			pollendoor.Pause(ctx, busyRetryPause)
			continue
		}
		st.Name = t.ID
		return st, err
	}
}

// targetStatus asks a target for its status.
func (v *VM) targetStatus(ctx context.Context, t pollendoor.TargetInfo) (pollendoor.TargetStatus, error) {
	return v.controlTarget(ctx, t, pollendoor.TargetConn.Status)
}

// targetStatuses asks several targets in parallel and returns those that answered. Targets
// that may not be used because of an evacuation are left out.
// After the first answer it waits only lateAnswerTime for the others, because an
// unreachable target never answers.
func (v *VM) targetStatuses(ctx context.Context, list []pollendoor.TargetInfo) []lease.Candidate {
	now := clock.Now()
	list = slices.DeleteFunc(slices.Clone(list), func(t pollendoor.TargetInfo) bool { return v.useOf(t, now) != evac.UseAll })
	answers := make(chan *lease.Candidate, len(list))
	for _, t := range list {
		go func() {
			st, err := v.targetStatus(ctx, t)
			if err != nil {
				v.Log.Info().Err(err).Str("target", t.ID).Msg("target status not read")
				answers <- nil
				return
			}
			answers <- &lease.Candidate{Target: t, Status: st}
		}()
	}
	var out []lease.Candidate
	var lateTimer <-chan time.Time
	for range list {
		select {
		case c := <-answers:
			if c == nil {
				continue
			}
			out = append(out, *c)
			if lateTimer == nil {
				lateTimer = time.After(lateAnswerTime)
			}
		case <-lateTimer:
			return out
		}
	}
	return out
}

// recordNewGroups adds groups to the record, each with its current primary.
func (ld *leader) recordNewGroups(ctx context.Context, names []string) {
	v := ld.vm
	primaries := iter.Mapper[string, *lease.Candidate]{MaxGoroutines: maxNewGroups}.Map(names, func(name *string) *lease.Candidate {
		targets := v.targets.Group(*name)
		if c, ok := lease.Unrecorded(targets, v.targetStatuses(ctx, targets)); ok {
			return &c
		}
		return nil
	})
	groups := make(map[string]lease.Group, len(names))
	ld.mu.Lock()
	for i, c := range primaries {
		if name := names[i]; c != nil {
			groups[name] = ld.holders.Settle(name, lease.Group{}, *c, c.Status.Term, v.syncReplicas(name), v.targets.Group(name), clock.Now())
		}
	}
	ld.mu.Unlock()
	if len(groups) > 0 {
		err := ld.updateRecord(ctx, func(r lease.Record) (lease.Record, bool) { return r.WithGroups(groups), true })
		if err != nil {
			v.Log.Warn().Err(err).Int("groups", len(groups)).Msg("groups not recorded")
		}
	}
	if len(groups) < len(names) {
		pollendoor.Pause(ctx, groupRetryPause)
	}
}

// replacePrimary records that a group's primary is being replaced, and replaces it.
func (ld *leader) replacePrimary(ctx context.Context, name string, g lease.Group, cause lease.Cause) {
	v := ld.vm
	planned := cause == lease.CauseDraining || cause == lease.CauseEvacuated
	if planned && !ld.mustMove(g.Primary) && !(ld.hasSuccessor(name, g.Primary) && ld.successorCaughtUp(ctx, name, g.Primary)) {
		pollendoor.Pause(ctx, groupRetryPause)
		return
	}
	v.Log.Info().Str("group", name).Str("primary", g.Primary).Str("cause", string(cause)).Msg("primary replacement started")
	if err := ld.updateGroup(ctx, name, g, g.Move(planned)); err != nil {
		v.Log.Warn().Err(err).Str("group", name).Msg("replacement not recorded")
		return
	}
	ld.failOver(ctx, name, string(cause))
}

// mustMove reports whether the use of a primary is about to end, because its zone is being
// evacuated or it leaves, so that its replacement can't be put off any longer.
func (ld *leader) mustMove(primary string) bool {
	if ld.vm.drainEnds(primary) {
		return true
	}
	t, ok := ld.vm.targets.Get(primary)
	return ok && ld.vm.evacuations.Load().MustMove(t.Zone, clock.Now())
}

// hasSuccessor reports whether a group has another target that is not draining and not in
// an evacuated zone.
func (ld *leader) hasSuccessor(name, primary string) bool {
	evacuations := ld.vm.evacuations.Load()
	for _, t := range ld.otherTargets(name, primary) {
		if !t.Draining && !evacuations.Evacuated(t.Zone) {
			return true
		}
	}
	return false
}

// successorCaughtUp reports whether another target has received the log of a group's
// primary, so that a planned change is short. It also reports true if the primary does
// not answer.
func (ld *leader) successorCaughtUp(ctx context.Context, name, primary string) bool {
	v := ld.vm
	t, ok := v.targets.Get(primary)
	if !ok {
		return true
	}
	st, err := v.targetStatus(ctx, t)
	if err != nil {
		v.Log.Info().Err(err).Str("target", primary).Msg("target status not read")
		return true
	}
	caughtUp := lease.CaughtUp(lease.Candidate{Target: t, Status: st}, v.targetStatuses(ctx, ld.otherTargets(name, primary)))
	if !caughtUp {
		v.stats.PlannedDelayed.Add(1)
		v.Log.Info().Str("group", name).Str("primary", primary).Msg("planned change delayed: no replica has received the log")
	}
	return caughtUp
}

// failOver promotes another target, or keeps the old one if it is still the primary
// and is not draining.
func (ld *leader) failOver(ctx context.Context, name, cause string) {
	v := ld.vm
	start := clock.Now()
	if !ld.awaitPrimaryReleased(ctx, name) {
		return
	}
	releasedAt := clock.Now()
	var succession lease.Succession
	lastWait := lease.WaitNone
	for ctx.Err() == nil && ld.isLeader() {
		g := ld.group(name)
		if !g.Moving {
			return
		}
		choice := ld.chooseSuccessor(ctx, name, g, &succession)
		if choice.Wait != lease.WaitNone {
			if choice.Wait != lastWait {
				lastWait = choice.Wait
				v.stats.countWait(choice.Wait)
				v.Log.Warn().Str("group", name).Str("cause", string(choice.Wait)).Msg("successor not chosen yet")
			}
			pause := groupRetryPause // each round opens connections
			if choice.Wait == lease.WaitCatchUp {
				pause = busyRetryPause
			}
			pollendoor.Pause(ctx, pause)
			continue
		}
		c, term := choice.Next, choice.Next.Status.Term
		if choice.Promote {
			var ok bool
			if term, ok = ld.promote(ctx, name, g, c); !ok {
				pollendoor.Pause(ctx, busyRetryPause)
				continue
			}
			g = g.Order(c.Target.ID)
		}
		ld.mu.Lock()
		settled := ld.holders.Settle(name, g, c, term, v.syncReplicas(name), v.targets.Group(name), clock.Now())
		ld.mu.Unlock()
		if err := ld.updateGroup(ctx, name, g, settled); err != nil {
			v.Log.Warn().Err(err).Str("group", name).Msg("successor not recorded")
			return
		}
		v.Log.Info().Str("group", name).Str("cause", cause).Str("from", g.Primary).Str("to", c.Target.ID).
			Uint64("term", uint64(term)).Uint64("index", c.Status.Index).Bool("promoted", choice.Promote).
			Dur("dropping", releasedAt-start).Dur("whole", clock.Now()-start).Msg("primary replaced")
		if old, ok := v.targets.Get(g.Primary); ok && choice.Promote && !v.evacuations.Load().Evacuated(old.Zone) {
			_, err := v.controlTarget(ctx, old, func(c pollendoor.TargetConn, deadline time.Time) (pollendoor.TargetStatus, error) {
				return c.StepDown(term, deadline)
			})
			v.Log.Info().Err(err).Str("target", old.ID).Msg("step-down of old primary requested")
		}
		return
	}
}

// awaitPrimaryReleased waits until no VM uses the old primary of a moving group. It
// reports false if this VM is no longer the leader or ctx has ended.
func (ld *leader) awaitPrimaryReleased(ctx context.Context, name string) bool {
	lastBroadcast := clock.Now()
	for ctx.Err() == nil {
		now := clock.Now()
		ld.mu.Lock()
		leading, released := ld.isLeading(), ld.state.OldPrimaryReleased(name, now)
		ld.mu.Unlock()
		if !leading {
			return false
		}
		if released {
			return true
		}
		if now-lastBroadcast > rebroadcastAfter {
			lastBroadcast = now
			ld.broadcastRecord()
		}
		pollendoor.Pause(ctx, releasePoll)
	}
	return false
}

// chooseSuccessor asks the targets of a moving group for their status and chooses the
// one that shall become the primary.
func (ld *leader) chooseSuccessor(ctx context.Context, name string, g lease.Group, s *lease.Succession) lease.Choice {
	v := ld.vm
	syncReplicas := v.syncReplicas(name)
	targets := v.targets.Group(name)
	if evacuations := v.evacuations.Load(); evacuations != nil {
		s.Evacuated = evacuations.Evacuated
		if newest, ok := v.positionRing(name).Newest(); ok {
			s.Reached = newest.Position
		}
		old, ok := v.targets.Get(g.Primary)
		s.MayAsk = ok && v.useOf(old, clock.Now()) == evac.UseAll
	}
	s.Ending = v.drainEnds(g.Primary)
	if newest, ok := v.positionRing(name).Newest(); ok {
		s.Known = newest.Position
	}
	ld.mu.Lock()
	s.OrdersEnded = ld.state.EarlierCallsEnded(ld.callTime()+promotedTimeout, clock.Now())
	ld.mu.Unlock()
	return s.Next(g, syncReplicas, targets, v.targetStatuses(ctx, targets), clock.Now())
}

// syncReplicas returns the number of replicas that have received a commit of a group when it
// is acknowledged.
func (v *VM) syncReplicas(group string) int {
	if c := v.Config(); c != nil {
		return c.Groups[group].SyncReplicas
	}
	return 0
}

// withHolders returns a group that is not moving with the holders that the record should name
// for it. The caller holds mu.
func (ld *leader) withHolders(name string, g lease.Group, now time.Duration) lease.Group {
	if ld.vm.syncReplicas(name) == 0 {
		g.Holders, g.Start = "", pollendoor.Position{}
		return g
	}
	newest, _ := ld.vm.positionRing(name).Newest()
	return ld.holders.Next(name, g, ld.vm.targets.Group(name), newest.Position, now)
}

// recordHolders records which replicas of a group may hold acknowledged commits.
func (ld *leader) recordHolders(ctx context.Context, name string, g, next lease.Group) {
	if err := ld.updateGroup(ctx, name, g, next); err != nil {
		ld.vm.Log.Warn().Err(err).Str("group", name).Msg("holders of commits not recorded")
		return
	}
	ld.vm.Log.Info().Str("group", name).Str("holders", string(next.Holders)).Stringer("start", next.Start).Msg("holders of commits recorded")
}

// callTime bounds the time from the confirmation of a leadership to the end of a promotion
// call that is based on it.
func (ld *leader) callTime() time.Duration { return ld.vm.Platform.PromoteTime + maxOrderDelay }

// promote orders the promotion of a target of the moving group g, and waits until the
// target is the primary. It returns the target's term.
func (ld *leader) promote(ctx context.Context, name string, g lease.Group, c lease.Candidate) (pollendoor.Term, bool) {
	v, t := ld.vm, c.Target
	for ctx.Err() == nil {
		ld.mu.Lock()
		mayOrder := ld.state.EarlierCallsEnded(ld.callTime(), clock.Now())
		ld.mu.Unlock()
		if mayOrder {
			break
		}
		pollendoor.Pause(ctx, releasePoll)
	}
	// Recording the order also confirms that this VM is the leader.
	token, confirmedAt := ld.token(), clock.Now()
	if err := ld.updateGroup(ctx, name, g, g.Order(t.ID)); err != nil {
		v.Log.Warn().Err(err).Str("group", name).Msg("not promoting: leadership not confirmed")
		return 0, false
	}
	if clock.Now() > confirmedAt+maxOrderDelay {
		v.Log.Warn().Str("group", name).Msg("not promoting: confirming the leadership took too long")
		return 0, false
	}
	status, err := v.Platform.Promote(ctx, name, t.ID, v.Settings.VM, token)
	v.Log.Info().Err(err).Int("status", status).Str("group", name).Str("target", t.ID).Uint64("token", token).Msg("promotion ordered")
	if err == nil && status != http.StatusOK && status/100 != 2 {
		return 0, false
	}
	until := clock.Now() + promotedTimeout
	for clock.Now() < until && ctx.Err() == nil {
		st, err := v.targetStatus(ctx, t)
		// A former primary says that it leads its old term until the promotion takes effect.
		if err == nil && st.Role == pollendoor.Primary && (c.Status.Role != pollendoor.Primary || st.Term > c.Status.Term) {
			return st.Term, true
		}
		pollendoor.Pause(ctx, promotedPoll)
	}
	return 0, false
}
