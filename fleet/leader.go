package fleet

import (
	"context"
	"encoding/json"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/pollendoor/pollendoor"
	"github.com/pollendoor/pollendoor/clock"
	"github.com/pollendoor/pollendoor/lease"
	"github.com/pollendoor/pollendoor/quota"
	"github.com/pollendoor/pollendoor/vmlist"
)

const (
	// leaderPeriod is how often the leader checks its groups.
	leaderPeriod = 100 * time.Millisecond
	// confirmPeriod is how often the leader confirms that it still is the leader:
	// well within a lease, so that there is time left to collect promises when it
	// fails.
	confirmPeriod = 600 * time.Millisecond
	// livenessPeriod is how often the leader increments the liveness counter in the
	// record. This does not confirm the leadership: responses to writes may be lost
	// for long while those to reads arrive.
	livenessPeriod = 700 * time.Millisecond
	// livenessWriteTimeout bounds the write of the liveness counter, for which other
	// writes wait.
	livenessWriteTimeout = 300 * time.Millisecond
	// promiseWantedAfter is how long without confirmation the leader waits before it
	// asks for promises.
	promiseWantedAfter = 800 * time.Millisecond
	// memberChangePeriod is the minimum time between two changes of the members, so
	// that VMs that start together become members in one change.
	memberChangePeriod = 150 * time.Millisecond
	// spareTime is how long after a claim the first shares may come with the spare part
	// of the tolerance. Most VMs have started and reported by then.
	spareTime = 2 * time.Second
	// viewSettleTime is how long after its claim a leader that has just started waits
	// for the other VMs before it sends the first view: about two heartbeats after a
	// start. With a view of a few VMs, teams' keepers and targets' home VMs would change
	// with each VM that reports.
	viewSettleTime = 200 * time.Millisecond
	// maxEarlyPeers bounds the VMs that are remembered before a claim.
	maxEarlyPeers = 4096
	// settleTime is how long after a claim VMs may still be sending their first
	// heartbeat to the new leader.
	settleTime = time.Second
	// maxTasks bounds the number of groups that are failed over at a time.
	maxTasks = 8
	// maxNewGroups bounds the groups that one write adds to the record.
	maxNewGroups = 512
)

// errNotLeader means that another VM is the leader.
var errNotLeader = errors.New("leadership lost")

// errOutdated means that the record has changed since a change of it was decided on.
var errOutdated = errors.New("record has changed meanwhile")

// leader does the work of the VM that leads the fleet.
type leader struct {
	vm *VM

	mu              sync.Mutex
	leading         bool // whether this VM has claimed the leadership and not lost it since
	state           lease.Leader
	objectVersion   uint64                 // version of the record's object in the store
	livenessCounter uint64                 // last liveness counter that was written
	livenessWritten time.Duration          // when the last write of the record was started
	peers           map[string]vmlist.Peer // VMs that have sent a heartbeat since the claim, by name
	viewHistory     vmlist.History
	viewRefreshed   time.Duration // when the view was last refreshed
	viewHeld        bool          // whether the view is not sent yet, because other VMs may still report after a start
	// earlyPeers are the VMs that sent heartbeats before this process had a view, by
	// name. They are told of a claim.
	earlyPeers     map[string]vmlist.Peer
	keptTeams      keeperTable // keepers according to the view
	zoneCount      int         // number of zones that have VMs in the view
	recordHistory  lease.History
	quotaPool      quota.Pool
	spareAvailable bool          // whether the record that was found at the claim allows this leader to grant the spare tolerance
	membersChanged time.Duration // when the last change of the members was started
	tenure         *tenure       // that of the last claim, nil before it
	handingOver    bool          // a successor is being recorded; this VM does not lead any more
	era            uint64        // era of the store in which the leadership was proved last
	unproved       bool          // the store has come back from an older copy since
	rewritten      uint64        // version of the record that was written in the new era, zero before it is
	rewrittenAt    time.Duration // start of that write

	holders lease.HolderWatch

	returned map[string]time.Duration // zones whose evacuation has ended, until their targets were asked to step down

	writeMu    sync.Mutex                     // serializes writes of the record
	handoverMu sync.Mutex                     // held while the leadership is handed over
	lookedUp   atomic.Pointer[lookedUpRecord] // nil once it was used
}

// isLeader is isLeading for callers that do not hold mu.
func (ld *leader) isLeader() bool {
	ld.mu.Lock()
	defer ld.mu.Unlock()
	return ld.isLeading()
}

// longLeaseUntil returns the end of the last lease that this VM granted for more
// than lease.LeaseTime.
func (ld *leader) longLeaseUntil() time.Duration {
	ld.mu.Lock()
	defer ld.mu.Unlock()
	return ld.state.LongLeaseUntil()
}

// isLeading reports whether this VM is the leader as far as it can tell. The caller
// holds mu.
func (ld *leader) isLeading() bool {
	return ld.leading && ld.vm.lease.Load().Record.Token == ld.state.Record.Token
}

// claim takes the leadership over from the leader with the given token.
func (ld *leader) claim(ctx context.Context, expectedToken uint64) {
	if !ld.writeMu.TryLock() {
		return
	}
	defer ld.writeMu.Unlock()
	v := ld.vm
	objectVersion, r, err := ld.takeLookedUp(ctx)
	if err != nil {
		v.Log.Warn().Err(err).Msg("leadership not claimed: record not read")
		return
	}
	v.adoptRecord(r, "claim")
	r, ok := v.baseOfClaim(objectVersion, r, expectedToken)
	if !ok {
		return // another VM was faster
	}
	next := storedRecord{Record: r.Record.Claim(v.Settings.VM, v.Settings.IP), ProcessID: v.processID, Liveness: r.Liveness + 1, SpareGranted: true}
	start := clock.Now()
	objectVersion, err = ld.putRecord(ctx, objectVersion, next)
	if err != nil {
		v.Log.Warn().Err(err).Uint64("token", next.Token).Msg("leadership not claimed")
		return
	}
	now := clock.Now()
	own := v.messenger.bounds()
	ld.mu.Lock()
	ld.leading, ld.handingOver, ld.objectVersion = true, false, objectVersion
	ld.era, ld.unproved, ld.rewritten = pollendoor.Era(objectVersion), false, 0
	ld.state = lease.Claim(v.Settings.VM, r.Record, next.Record, own, start, now)
	ld.livenessCounter = next.Liveness
	ld.peers = map[string]vmlist.Peer{v.Settings.VM: v.selfPeer()}
	maps.Copy(ld.peers, ld.earlyPeers)
	ld.viewHeld, ld.earlyPeers = v.view.Load().Version == 0, nil
	ld.viewHistory.Start(next.Token, *v.view.Load())
	ld.countZones()
	ld.recordHistory = lease.History{}
	ld.recordHistory.Add(r.Record)
	ld.recordHistory.Add(next.Record)
	ld.quotaPool, ld.spareAvailable = quota.Pool{Reserves: true}, !r.SpareGranted
	ld.beginTenure(ctx)
	ld.mu.Unlock()
	v.Log.Info().Uint64("token", next.Token).Str("before", r.Leader).Int("members", len(next.Members)).Msg("leadership claimed")
	v.adoptRecord(next, "claim")
	ld.broadcastRecord()
	v.messenger.notifyRestarted(next, now)
	v.messenger.wake()
}

// lookedUpRecord is the record as this process read it at its start.
type lookedUpRecord struct {
	objectVersion uint64
	record        storedRecord
	at            time.Duration
}

// lookedUpLife is how long a claim may start from the record that was read at the start
// of the process. If the record has changed since, the claim's conditional write fails.
const lookedUpLife = time.Second

// takeLookedUp returns the record that this process read at its start, once and only
// shortly after that, and otherwise reads the record.
func (ld *leader) takeLookedUp(ctx context.Context) (uint64, storedRecord, error) {
	if l := ld.lookedUp.Swap(nil); l != nil && clock.Now()-l.at < lookedUpLife {
		return l.objectVersion, l.record, nil
	}
	return ld.readRecord(ctx)
}

// readRecord returns the record and its object's version, or an empty record if none
// is stored.
func (ld *leader) readRecord(ctx context.Context) (uint64, storedRecord, error) {
	o, err := ld.vm.Platform.Store.Get(ctx, recordName)
	if errors.Is(err, pollendoor.ErrNotFound) {
		return 0, storedRecord{}, nil
	}
	if err != nil {
		return 0, storedRecord{}, err
	}
	r, err := decodeRecord(o)
	return o.Version, r, err
}

// putRecord writes a record over the given version of its object, and returns the
// new version.
func (ld *leader) putRecord(ctx context.Context, version uint64, r storedRecord) (uint64, error) {
	raw, err := json.Marshal(r)
	if err != nil {
		return 0, errors.Wrap(err, "encode record")
	}
	return ld.vm.Platform.Store.Put(ctx, recordName, version, raw)
}

// nextRecord returns r as this leader writes it. The caller holds mu.
func (ld *leader) nextRecord(r lease.Record) storedRecord {
	now := clock.Now()
	r.Settled = ld.state.EarlierLeasesEnded(now)
	r.Era = pollendoor.Era(ld.objectVersion)
	spareGranted := now < ld.state.Claimed+spareTime+ld.vm.Settings.tolerance().Window
	return storedRecord{Record: r, ProcessID: ld.vm.processID, Liveness: ld.livenessCounter + 1, SpareGranted: spareGranted}
}

// updateRecord changes the record in the store. After a failed write, whose response
// may have been lost, it reads the record to find out whether the write was carried
// out. It returns errNotLeader if this process is not the leader, or if ctx is that of a
// tenure that has ended. If change reports false, nothing is written and the result is
// errOutdated.
func (ld *leader) updateRecord(ctx context.Context, change func(lease.Record) (lease.Record, bool)) error {
	ld.writeMu.Lock()
	defer ld.writeMu.Unlock()
	for {
		ld.mu.Lock()
		// The context of a tenure is cancelled with mu held, before the next one begins.
		if !ld.isLeading() || ctx.Err() != nil {
			ld.mu.Unlock()
			return errNotLeader
		}
		if ld.unproved {
			ld.mu.Unlock()
			return errUnproved
		}
		objectVersion := ld.objectVersion
		changed, ok := change(ld.state.Record)
		if !ok {
			ld.mu.Unlock()
			return errOutdated
		}
		next := ld.nextRecord(changed)
		ld.state.Propose(next.Members)
		ld.mu.Unlock()
		start := clock.Now()
		version, err := ld.putRecord(ctx, objectVersion, next)
		if err == nil {
			ld.noteRecordWritten(version, next, start)
			return nil
		}
		ld.vm.Log.Warn().Err(err).Uint64("version", next.Version).Msg("record not written")
		if ctx.Err() != nil {
			return ctx.Err()
		}
		if !errors.Is(err, pollendoor.ErrConflict) {
			pollendoor.Pause(ctx, retryPause/2)
		}
		if err := ld.confirm(ctx); errors.IsAny(err, errNotLeader, errUnproved) {
			return err
		}
		ld.mu.Lock()
		done := ld.state.Record.Version == next.Version && ld.objectVersion != objectVersion
		ld.mu.Unlock()
		if done {
			return nil
		}
	}
}

// updateGroup replaces the state of a group in the record. It returns errOutdated if that
// is not old any more.
func (ld *leader) updateGroup(ctx context.Context, name string, old, next lease.Group) error {
	return ld.updateRecord(ctx, func(r lease.Record) (lease.Record, bool) {
		return r.WithGroup(name, next), r.Groups[name] == old
	})
}

// noteRecordWritten adopts a record that this VM has written, and sends it to the
// other VMs.
func (ld *leader) noteRecordWritten(objectVersion uint64, r storedRecord, start time.Duration) {
	ld.mu.Lock()
	ld.objectVersion, ld.livenessCounter, ld.livenessWritten = objectVersion, r.Liveness, start
	// Update the VM's own lease first: no VM may believe that this one has released
	// a primary that it still uses.
	ld.vm.adoptRecord(r, "own write")
	ld.recordHistory.Add(r.Record)
	ld.state.Written(r.Record, start, clock.Now())
	ld.mu.Unlock()
	ld.broadcastRecord()
}

// writeLiveness increments the liveness counter in the record, which shows VMs that
// are cut off from this one that it reaches the store. Any other write of the record
// does so as well.
func (ld *leader) writeLiveness(ctx context.Context) {
	if !ld.writeMu.TryLock() {
		return
	}
	defer ld.writeMu.Unlock()
	ld.mu.Lock()
	leading, objectVersion, r := ld.isLeading() && !ld.unproved, ld.objectVersion, ld.nextRecord(ld.state.Record)
	ld.livenessWritten = clock.Now()
	ld.mu.Unlock()
	if !leading {
		return
	}
	writeCtx, cancel := context.WithTimeout(ctx, livenessWriteTimeout)
	defer cancel()
	version, err := ld.putRecord(writeCtx, objectVersion, r)
	if err != nil {
		ld.vm.Log.Debug().Err(err).Msg("liveness counter not written")
		if err := ld.confirm(ctx); err != nil { // the write may have been carried out
			ld.vm.Log.Debug().Err(err).Msg("record not read after a failed liveness write")
		}
		return
	}
	ld.mu.Lock()
	defer ld.mu.Unlock()
	ld.objectVersion, ld.livenessCounter = version, r.Liveness
}

// confirm confirms that this process is the leader by reading the record.
func (ld *leader) confirm(ctx context.Context) error {
	start, token := clock.Now(), ld.token()
	objectVersion, r, err := ld.readRecord(ctx)
	if err != nil {
		ld.vm.stats.StoreErrors.Add(1)
		return err
	}
	ld.mu.Lock()
	if ld.state.Record.Token != token {
		ld.mu.Unlock()
		return errNotLeader // the record was read in an earlier tenure
	}
	if ld.copyIsOld(objectVersion, &r) {
		ld.noteOldCopy(objectVersion)
		ld.mu.Unlock()
		return errUnproved
	}
	if r.ProcessID != ld.vm.processID || r.Token != ld.state.Record.Token {
		wasLeading := ld.leading
		ld.leading, ld.handingOver = false, false
		ld.tenure.end()
		ld.mu.Unlock()
		if wasLeading {
			ld.vm.Log.Info().Uint64("token", r.Token).Str("holder", r.Leader).Msg("leadership lost")
		}
		ld.vm.adoptRecord(r, "confirm")
		return errNotLeader
	}
	if ld.unproved {
		ld.noteRewritten(objectVersion, r, start)
		ld.mu.Unlock()
		return errUnproved
	}
	if r.Version > ld.state.Record.Version {
		// The response to a write was lost.
		ld.vm.adoptRecord(r, "confirm")
		ld.recordHistory.Add(r.Record)
		ld.state.Written(r.Record, start, clock.Now())
	}
	ld.objectVersion, ld.livenessCounter = objectVersion, max(ld.livenessCounter, r.Liveness)
	ld.state.Confirmed = max(ld.state.Confirmed, start)
	ld.mu.Unlock()
	return nil
}

// broadcastRecord sends the last change of the record to all VMs and asks them for a
// heartbeat now.
func (ld *leader) broadcastRecord() {
	ld.mu.Lock()
	p := packet{Kind: packetRecordChanged, Token: ld.state.Record.Token, RecordDelta: ld.recordHistory.Last()}
	addrs := make(map[string]bool, len(ld.peers))
	for _, p := range ld.peers {
		addrs[p.IP] = true
	}
	for _, p := range ld.viewHistory.View().Peers {
		addrs[p.IP] = true
	}
	ld.mu.Unlock()
	delete(addrs, ld.vm.Settings.IP)
	ld.vm.messenger.send(&p, slices.Collect(maps.Keys(addrs))...)
}

// run does the leader's work while this VM is the leader.
func (ld *leader) run(ctx context.Context) {
	tick := time.NewTicker(leaderPeriod)
	defer tick.Stop()
	var confirming, writingLiveness sync.Mutex
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		now := clock.Now()
		ld.vm.messenger.tick(now)
		ld.mu.Lock()
		leading, confirmDue := ld.isLeading(), now-ld.state.Confirmed > confirmPeriod
		if leading {
			ld.refreshView(now, false)
		}
		livenessDue := now-ld.livenessWritten > livenessPeriod && !ld.tenure.hasTasks()
		if !leading {
			ld.tenure.end()
		}
		proofDue := ld.unproved && ld.rewritten == 0
		handoverDue := ld.vm.leaving.Load() && (leading || ld.handingOver)
		ld.mu.Unlock()
		if handoverDue {
			go ld.retryHandover(ctx)
		}
		if !leading {
			continue
		}
		if (confirmDue || proofDue) && confirming.TryLock() {
			go func() {
				defer confirming.Unlock()
				switch err := ld.confirm(ctx); {
				case errors.Is(err, errUnproved):
					ld.proveAgain(ctx)
				case err != nil && !errors.Is(err, errNotLeader):
					pollendoor.Pause(ctx, retryPause)
				}
			}()
		}
		if livenessDue && writingLiveness.TryLock() {
			go func() {
				defer writingLiveness.Unlock()
				ld.writeLiveness(ctx)
			}()
		}
		ld.updateMembers(now)
		ld.checkGroups(now)
		ld.demoteReturned(now)
	}
}

// updateMembers records the members and the quota keepers as VMs come and go.
func (ld *leader) updateMembers(now time.Duration) {
	ld.mu.Lock()
	defer ld.mu.Unlock()
	list, changed := ld.state.Members(now)
	keepers, keepersChanged := ld.state.Keepers(now)
	keepEvicted := ld.state.KeepEvicted(now)
	if !changed && !keepersChanged || now-ld.membersChanged <= memberChangePeriod || !ld.isLeading() || ld.tenure.tasks[membersTask] {
		return
	}
	ld.membersChanged = now
	ld.startTask(membersTask, func(ctx context.Context) {
		err := ld.updateRecord(ctx, func(r lease.Record) (lease.Record, bool) {
			if changed {
				return r.WithMembers(list, keepEvicted), true
			}
			return r.WithKeepers(keepers), true
		})
		l := ld.vm.Log.Info()
		if err != nil {
			l = ld.vm.Log.Warn().Err(err)
		}
		l.Int("members", len(list)).Strs("keepers", keepers).Bool("written", err == nil).Msg("members changed")
	})
}

// checkGroups starts the tasks that the groups need.
func (ld *leader) checkGroups(now time.Duration) {
	c := ld.vm.Config()
	if c == nil {
		return
	}
	ld.mu.Lock()
	defer ld.mu.Unlock()
	if !ld.isLeading() {
		return
	}
	var unknown []string
	for name := range c.Groups {
		g, recorded := ld.state.Record.Groups[name]
		if !recorded && len(unknown) < maxNewGroups {
			unknown = append(unknown, name)
		}
		if !recorded || ld.tenure.tasks[name] || len(ld.tenure.tasks) >= maxTasks {
			continue
		}
		if g.Moving {
			ld.startTask(name, func(ctx context.Context) { ld.failOver(ctx, name, "taken over from an earlier holder") })
			continue
		}
		if next := ld.withHolders(name, g, now); next != g {
			ld.startTask(name, func(ctx context.Context) { ld.recordHolders(ctx, name, g, next) })
			continue
		}
		if cause := ld.state.Suspect(name, ld.vm.targetEntry(g.Primary), now); cause != lease.CauseNone {
			ld.startTask(name, func(ctx context.Context) { ld.replacePrimary(ctx, name, g, cause) })
		}
	}
	if len(unknown) > 0 && !ld.tenure.tasks[newGroupsTask] {
		ld.startTask(newGroupsTask, func(ctx context.Context) { ld.recordNewGroups(ctx, unknown) })
	}
}

// targetEntry returns what the platform's store says about a target.
func (v *VM) targetEntry(id string) lease.Entry {
	t, missing := v.targets.Missing(id, time.Now())
	evacuated := v.evacuations.Load().Evacuated(t.Zone) && v.leader.hasSuccessor(t.Group, id)
	return lease.Entry{Target: t, Missing: missing, Evacuated: evacuated}
}

// otherTargets returns the targets of a group except one.
func (ld *leader) otherTargets(group, excluded string) []pollendoor.TargetInfo {
	var list []pollendoor.TargetInfo
	for _, t := range ld.vm.targets.Group(group) {
		if t.ID != excluded {
			list = append(list, t)
		}
	}
	return list
}

// token returns the fencing token of this leader.
func (ld *leader) token() uint64 {
	ld.mu.Lock()
	defer ld.mu.Unlock()
	return ld.state.Record.Token
}

// group returns a group's recorded state.
func (ld *leader) group(name string) lease.Group {
	ld.mu.Lock()
	defer ld.mu.Unlock()
	return ld.state.Record.Groups[name]
}
