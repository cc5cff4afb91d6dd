package fleet

import (
	"context"
	"encoding/json"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/pollendoor/pollendoor"
	"github.com/pollendoor/pollendoor/clock"
	"github.com/pollendoor/pollendoor/lease"
	"github.com/pollendoor/pollendoor/quota"
	"github.com/pollendoor/pollendoor/vmlist"
)

const (
	// dutyPeriod is how often the duty holder looks at its groups.
	leaderPeriod = 100 * time.Millisecond
	// confirmPeriod is how often it proves to itself that it still is the holder:
	// well within a lease, so that there is time left for promises when it fails.
	confirmPeriod = 600 * time.Millisecond
	// signPeriod is how often the holder grows its sign in the record. It is no
	// proof: answers to writes may be lost for long, those to reads come.
	livenessPeriod = 700 * time.Millisecond
	// signTime bounds the write of a sign, for which other writes wait.
	livenessWriteTimeout = 300 * time.Millisecond
	// wantAfter is how long without such a proof it asks for promises.
	promiseWantedAfter = 950 * time.Millisecond
	// memberPeriod is the least time between two changes of the members, so that
	// VMs that start together come in together.
	memberChangePeriod = 150 * time.Millisecond
	// settleTime is how long after a claim VMs are still coming in.
	settleTime = time.Second
	// maxMoves bounds the promotions at a time.
	maxTasks = 8
	// maxFound bounds the groups that are written down for the first time by one
	// write.
	maxNewGroups = 512
)

// errLost says that another VM holds the duty.
var errNotLeader = errors.New("the duty was lost")

// duty is the work of the VM that holds the duty.
type leader struct {
	vm *VM

	mu              sync.Mutex
	leading         bool
	state           lease.Duty
	objectVersion   uint64        // version of the record's object in the store
	livenessCounter uint64        // number of the last sign that was written
	livenessWritten time.Duration // when it was sent
	peers           map[string]vmlist.Peer
	viewHistory     vmlist.Book
	viewRefreshed   time.Duration // when the view was last looked at
	zoneCount       int           // with VMs in the view
	recordHistory   lease.History
	quotaPool       quota.Pool
	membersChanged  time.Duration // when the members were last changed
	tasks           map[string]bool

	writeMu sync.Mutex // one write of the record at a time
}

func (d *leader) isLeader() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.isLeading()
}

// holding reports whether this VM holds the duty as far as it knows. The caller
// holds mu.
func (d *leader) isLeading() bool {
	return d.leading && d.vm.lease.Load().Record.Token == d.state.Record.Token
}

// claim takes the duty over from the holder of a token.
func (d *leader) claim(ctx context.Context, expectedToken uint64) {
	if !d.writeMu.TryLock() {
		return
	}
	defer d.writeMu.Unlock()
	v := d.vm
	objectVersion, r, err := d.readRecord(ctx)
	if err != nil {
		v.Log.Warn().Err(err).Msg("duty not claimed: record not read")
		return
	}
	v.adoptRecord(r, "claim")
	if r.Token != expectedToken {
		return // somebody else was faster
	}
	next := storedRecord{Record: r.Record.Claim(v.Settings.VM, v.Settings.IP), ProcessID: v.processID, Liveness: r.Liveness + 1}
	start := clock.Now()
	objectVersion, err = d.putRecord(ctx, objectVersion, next)
	if err != nil {
		v.Log.Warn().Err(err).Uint64("token", next.Token).Msg("duty not claimed")
		return
	}
	now := clock.Now()
	d.mu.Lock()
	d.leading, d.objectVersion = true, objectVersion
	d.state = lease.Claim(v.Settings.VM, r.Record, next.Record, start, now)
	d.livenessCounter = next.Liveness
	d.peers = map[string]vmlist.Peer{v.Settings.VM: v.selfPeer()}
	d.viewHistory.Start(next.Token, *v.view.Load())
	d.countZones()
	d.recordHistory = lease.History{}
	d.recordHistory.Add(r.Record)
	d.recordHistory.Add(next.Record)
	d.quotaPool = quota.Pool{Reserves: true}
	d.tasks = make(map[string]bool)
	d.mu.Unlock()
	v.Log.Info().Uint64("token", next.Token).Str("before", r.Holder).Int("members", len(next.Members)).Msg("duty claimed")
	v.adoptRecord(next, "claim")
	d.broadcastRecord()
	v.messenger.wake()
}

// read returns the record and its object's version; no record is the empty one.
func (d *leader) readRecord(ctx context.Context) (uint64, storedRecord, error) {
	o, err := d.vm.Platform.Store.Get(ctx, recordName)
	if errors.Is(err, pollendoor.ErrNotFound) {
		return 0, storedRecord{}, nil
	}
	if err != nil {
		return 0, storedRecord{}, err
	}
	r, err := decodeRecord(o)
	return o.Version, r, err
}

func (d *leader) putRecord(ctx context.Context, version uint64, r storedRecord) (uint64, error) {
	raw, err := json.Marshal(r)
	if err != nil {
		return 0, errors.Wrap(err, "encode record")
	}
	return d.vm.Platform.Store.Put(ctx, recordName, version, raw)
}

// next returns a record as this holder writes it. The caller holds mu.
func (d *leader) nextRecord(r lease.Record) storedRecord {
	r.Settled = d.state.Clear(clock.Now())
	return storedRecord{Record: r, ProcessID: d.vm.processID, Liveness: d.livenessCounter + 1}
}

// write changes the record in the store. After a lost answer it reads back what
// became of the write. It returns errLost if this process is not the holder.
func (d *leader) updateRecord(ctx context.Context, change func(lease.Record) lease.Record) error {
	d.writeMu.Lock()
	defer d.writeMu.Unlock()
	for {
		d.mu.Lock()
		leading, objectVersion, old := d.isLeading(), d.objectVersion, d.state.Record
		if !leading {
			d.mu.Unlock()
			return errNotLeader
		}
		next := d.nextRecord(change(old))
		d.state.Propose(next.Members)
		d.mu.Unlock()
		start := clock.Now()
		version, err := d.putRecord(ctx, objectVersion, next)
		if err == nil {
			d.noteRecordWritten(version, next, start)
			return nil
		}
		d.vm.Log.Warn().Err(err).Uint64("version", next.Version).Msg("record not written")
		if ctx.Err() != nil {
			return ctx.Err()
		}
		if !errors.Is(err, pollendoor.ErrConflict) {
			pollendoor.Pause(ctx, retryPause/2)
		}
		if err := d.confirm(ctx); errors.Is(err, errNotLeader) {
			return err
		}
		d.mu.Lock()
		done := d.state.Record.Version == next.Version && d.objectVersion != objectVersion
		d.mu.Unlock()
		if done {
			return nil
		}
	}
}

func (d *leader) noteRecordWritten(objectVersion uint64, r storedRecord, start time.Duration) {
	d.mu.Lock()
	d.objectVersion, d.livenessCounter, d.livenessWritten = objectVersion, r.Liveness, start
	// The VM's own lease first: nobody may believe that it has dropped a primary
	// that it still uses.
	d.vm.adoptRecord(r, "own write")
	d.recordHistory.Add(r.Record)
	d.state.Written(r.Record, start, clock.Now())
	d.mu.Unlock()
	d.broadcastRecord()
}

// sign grows a number in the record: VMs that are cut off from this one see that it
// reaches the store. Any other write does as well.
func (d *leader) writeLiveness(ctx context.Context) {
	if !d.writeMu.TryLock() {
		return
	}
	defer d.writeMu.Unlock()
	d.mu.Lock()
	leading, objectVersion, r := d.isLeading(), d.objectVersion, d.nextRecord(d.state.Record)
	d.livenessWritten = clock.Now()
	d.mu.Unlock()
	if !leading {
		return
	}
	writeCtx, cancel := context.WithTimeout(ctx, livenessWriteTimeout)
	defer cancel()
	version, err := d.putRecord(writeCtx, objectVersion, r)
	if err != nil {
		d.vm.Log.Debug().Err(err).Msg("sign of the holder not written")
		if err := d.confirm(ctx); err != nil { // the write may have been carried out
			d.vm.Log.Debug().Err(err).Msg("record not read after a sign")
		}
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.objectVersion, d.livenessCounter = version, r.Liveness
}

// confirm proves that this process holds the duty by reading the record.
func (d *leader) confirm(ctx context.Context) error {
	start := clock.Now()
	objectVersion, r, err := d.readRecord(ctx)
	if err != nil {
		d.vm.stats.StoreErrors.Add(1)
		return err
	}
	d.mu.Lock()
	if r.ProcessID != d.vm.processID || r.Token != d.state.Record.Token {
		previous := d.leading
		d.leading = false
		d.mu.Unlock()
		if previous {
			d.vm.Log.Info().Uint64("token", r.Token).Str("holder", r.Holder).Msg("duty lost")
		}
		d.vm.adoptRecord(r, "confirm")
		return errNotLeader
	}
	if r.Version > d.state.Record.Version {
		// A write whose answer was lost.
		d.vm.adoptRecord(r, "confirm")
		d.recordHistory.Add(r.Record)
		d.state.Written(r.Record, start, clock.Now())
	}
	d.objectVersion, d.livenessCounter = objectVersion, max(d.livenessCounter, r.Liveness)
	d.state.Confirmed = max(d.state.Confirmed, start)
	d.mu.Unlock()
	return nil
}

// poke tells all VMs what has changed in the record last, and asks them for a
// heartbeat now.
func (d *leader) broadcastRecord() {
	d.mu.Lock()
	p := packet{Kind: packetRecordChanged, Token: d.state.Record.Token, RecordDelta: d.recordHistory.Last()}
	addrs := make(map[string]bool, len(d.peers))
	for _, p := range d.peers {
		addrs[p.IP] = true
	}
	for _, p := range d.viewHistory.View().Peers {
		addrs[p.IP] = true
	}
	d.mu.Unlock()
	delete(addrs, d.vm.Settings.IP)
	d.vm.messenger.send(&p, slices.Collect(maps.Keys(addrs))...)
}

// hold does the holder's work while this VM holds the duty.
func (d *leader) run(ctx context.Context) {
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
		d.mu.Lock()
		leading, confirmDue := d.isLeading(), now-d.state.Confirmed > confirmPeriod
		if leading {
			d.refreshView(now, false)
		}
		livenessDue := now-d.livenessWritten > livenessPeriod && len(d.tasks) == 0
		d.mu.Unlock()
		if !leading {
			continue
		}
		if confirmDue && confirming.TryLock() {
			go func() {
				defer confirming.Unlock()
				if err := d.confirm(ctx); err != nil && !errors.Is(err, errNotLeader) {
					pollendoor.Pause(ctx, retryPause)
				}
			}()
		}
		if livenessDue && writingLiveness.TryLock() {
			go func() {
				defer writingLiveness.Unlock()
				d.writeLiveness(ctx)
			}()
		}
		d.updateMembers(ctx, now)
		d.checkGroups(ctx, now)
	}
}

// admit writes the members, and those that keep rates, down as they come and go.
func (d *leader) updateMembers(ctx context.Context, now time.Duration) {
	d.mu.Lock()
	list, changed := d.state.Members(now)
	keepers, keepersChanged := d.state.Keepers(now)
	keepEvicted := d.state.KeepEvicted(now)
	due := (changed || keepersChanged) && now-d.membersChanged > memberChangePeriod && !d.tasks[membersTask]
	if due {
		d.membersChanged = now
		d.tasks[membersTask] = true
	}
	d.mu.Unlock()
	if !due {
		return
	}
	go func() {
		err := d.updateRecord(ctx, func(r lease.Record) lease.Record {
			if changed {
				return r.WithMembers(list, keepEvicted)
			}
			return r.WithKeepers(keepers)
		})
		l := d.vm.Log.Info()
		if err != nil {
			l = d.vm.Log.Warn().Err(err)
		}
		l.Int("members", len(list)).Strs("keepers", keepers).Bool("written", err == nil).Msg("members changed")
		d.finishTask(membersTask)
	}()
}

// membersMove and foundMove mark a change of the members, and the first look at
// groups, among the moves. No group has such a name.
const (
	membersTask   = "/members"
	newGroupsTask = "/found"
)

// look starts what the groups need.
func (d *leader) checkGroups(ctx context.Context, now time.Duration) {
	c := d.vm.Config()
	if c == nil {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	var unknown []string
	for name := range c.Groups {
		g, recorded := d.state.Record.Groups[name]
		if !recorded && len(unknown) < maxNewGroups {
			unknown = append(unknown, name)
		}
		if !recorded || d.tasks[name] || len(d.tasks) >= maxTasks {
			continue
		}
		if g.Moving {
			d.startTask(name, func() { d.failOver(ctx, name, "taken over from an earlier holder") })
			continue
		}
		if cause := d.state.Suspect(name, d.vm.targetEntry(g.Primary), now); cause != lease.CauseNone {
			d.startTask(name, func() { d.replacePrimary(ctx, name, g, cause) })
		}
	}
	if len(unknown) > 0 && !d.tasks[newGroupsTask] {
		d.startTask(newGroupsTask, func() { d.recordNewGroups(ctx, unknown) })
	}
}

// entry returns what the platform's store says of a target.
func (v *VM) targetEntry(id string) lease.Entry {
	t, missing := v.targets.Missing(id, time.Now())
	return lease.Entry{Target: t, Missing: missing}
}

// start runs the work on one group. The caller holds mu.
func (d *leader) startTask(group string, work func()) {
	d.tasks[group] = true
	go func() {
		work()
		d.finishTask(group)
	}()
}

func (d *leader) finishTask(name string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.tasks, name)
}

// others returns the targets of a group but for one.
func (d *leader) otherTargets(group, excluded string) []pollendoor.TargetInfo {
	var list []pollendoor.TargetInfo
	for _, t := range d.vm.targets.Group(group) {
		if t.ID != excluded {
			list = append(list, t)
		}
	}
	return list
}

// token returns the fencing token of this holder.
func (d *leader) token() uint64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.state.Record.Token
}

// group returns a group's agreed state.
func (d *leader) group(name string) lease.Group {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.state.Record.Groups[name]
}
