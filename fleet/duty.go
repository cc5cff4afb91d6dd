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
	dutyPeriod = 100 * time.Millisecond
	// confirmPeriod is how often it proves to itself that it still is the holder:
	// well within a lease, so that there is time left for promises when it fails.
	confirmPeriod = 600 * time.Millisecond
	// signPeriod is how often the holder grows its sign in the record. It is no
	// proof: answers to writes may be lost for long, those to reads come.
	signPeriod = 700 * time.Millisecond
	// signTime bounds the write of a sign, for which other writes wait.
	signTime = 300 * time.Millisecond
	// wantAfter is how long without such a proof it asks for promises.
	wantAfter = 950 * time.Millisecond
	// memberPeriod is the least time between two changes of the members, so that
	// VMs that start together come in together.
	memberPeriod = 150 * time.Millisecond
	// settleTime is how long after a claim VMs are still coming in.
	settleTime = time.Second
	// maxMoves bounds the promotions at a time.
	maxMoves = 8
	// maxFound bounds the groups that are written down for the first time by one
	// write.
	maxFound = 512
)

// errLost says that another VM holds the duty.
var errLost = errors.New("the duty was lost")

// duty is the work of the VM that holds the duty.
type duty struct {
	vm *VM

	mu      sync.Mutex
	held    bool
	state   lease.Leader
	object  uint64        // version of the record's object in the store
	signs   uint64        // number of the last sign that was written
	signed  time.Duration // when it was sent
	peers   map[string]vmlist.Peer
	book    vmlist.History
	viewed  time.Duration // when the view was last looked at
	zones   int           // with VMs in the view
	records lease.History
	pool    quota.Pool
	members time.Duration // when the members were last changed
	moves   map[string]bool

	writing sync.Mutex // one write of the record at a time
}

func (d *duty) holds() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.holding()
}

// holding reports whether this VM holds the duty as far as it knows. The caller
// holds mu.
func (d *duty) holding() bool {
	return d.held && d.vm.lease.Load().Record.Token == d.state.Record.Token
}

// claim takes the duty over from the holder of a token.
func (d *duty) claim(ctx context.Context, from uint64) {
	if !d.writing.TryLock() {
		return
	}
	defer d.writing.Unlock()
	v := d.vm
	object, r, err := d.read(ctx)
	if err != nil {
		v.Log.Warn().Err(err).Msg("duty not claimed: record not read")
		return
	}
	v.learn(r, "claim")
	if r.Token != from {
		return // somebody else was faster
	}
	next := storedRecord{Record: r.Record.Claim(v.Settings.VM, v.Settings.IP), Run: v.run, Sign: r.Sign + 1}
	start := clock.Now()
	object, err = d.put(ctx, object, next)
	if err != nil {
		v.Log.Warn().Err(err).Uint64("token", next.Token).Msg("duty not claimed")
		return
	}
	now := clock.Now()
	d.mu.Lock()
	d.held, d.object = true, object
	d.state = lease.Claim(v.Settings.VM, r.Record, next.Record, start, now)
	d.signs = next.Sign
	d.peers = map[string]vmlist.Peer{v.Settings.VM: v.self()}
	d.book.Start(next.Token, *v.view.Load())
	d.countZones()
	d.records = lease.History{}
	d.records.Add(r.Record)
	d.records.Add(next.Record)
	d.pool = quota.Pool{Reserves: true}
	d.moves = make(map[string]bool)
	d.mu.Unlock()
	v.Log.Info().Uint64("token", next.Token).Str("before", r.Holder).Int("members", len(next.Members)).Msg("duty claimed")
	v.learn(next, "claim")
	d.poke()
	v.beat.wake()
}

// read returns the record and its object's version; no record is the empty one.
func (d *duty) read(ctx context.Context) (uint64, storedRecord, error) {
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

func (d *duty) put(ctx context.Context, version uint64, r storedRecord) (uint64, error) {
	raw, err := json.Marshal(r)
	if err != nil {
		return 0, errors.Wrap(err, "encode record")
	}
	return d.vm.Platform.Store.Put(ctx, recordName, version, raw)
}

// next returns a record as this holder writes it. The caller holds mu.
func (d *duty) next(r lease.Record) storedRecord {
	r.Settled = d.state.EarlierLeasesEnded(clock.Now())
	return storedRecord{Record: r, Run: d.vm.run, Sign: d.signs + 1}
}

// write changes the record in the store. After a lost answer it reads back what
// became of the write. It returns errLost if this process is not the holder.
func (d *duty) write(ctx context.Context, change func(lease.Record) lease.Record) error {
	d.writing.Lock()
	defer d.writing.Unlock()
	for {
		d.mu.Lock()
		held, object, old := d.holding(), d.object, d.state.Record
		if !held {
			d.mu.Unlock()
			return errLost
		}
		next := d.next(change(old))
		d.state.Propose(next.Members)
		d.mu.Unlock()
		start := clock.Now()
		version, err := d.put(ctx, object, next)
		if err == nil {
			d.written(version, next, start)
			return nil
		}
		d.vm.Log.Warn().Err(err).Uint64("version", next.Version).Msg("record not written")
		if ctx.Err() != nil {
			return ctx.Err()
		}
		if !errors.Is(err, pollendoor.ErrConflict) {
			pollendoor.Pause(ctx, retryPause/2)
		}
		if err := d.confirm(ctx); errors.Is(err, errLost) {
			return err
		}
		d.mu.Lock()
		done := d.state.Record.Version == next.Version && d.object != object
		d.mu.Unlock()
		if done {
			return nil
		}
	}
}

func (d *duty) written(object uint64, r storedRecord, start time.Duration) {
	d.mu.Lock()
	d.object, d.signs, d.signed = object, r.Sign, start
	// The VM's own lease first: nobody may believe that it has dropped a primary
	// that it still uses.
	d.vm.learn(r, "own write")
	d.records.Add(r.Record)
	d.state.Written(r.Record, start, clock.Now())
	d.mu.Unlock()
	d.poke()
}

// sign grows a number in the record: VMs that are cut off from this one see that it
// reaches the store. Any other write does as well.
func (d *duty) sign(ctx context.Context) {
	if !d.writing.TryLock() {
		return
	}
	defer d.writing.Unlock()
	d.mu.Lock()
	held, object, r := d.holding(), d.object, d.next(d.state.Record)
	d.signed = clock.Now()
	d.mu.Unlock()
	if !held {
		return
	}
	short, cancel := context.WithTimeout(ctx, signTime)
	defer cancel()
	version, err := d.put(short, object, r)
	if err != nil {
		d.vm.Log.Debug().Err(err).Msg("sign of the holder not written")
		if err := d.confirm(ctx); err != nil { // the write may have been carried out
			d.vm.Log.Debug().Err(err).Msg("record not read after a sign")
		}
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.object, d.signs = version, r.Sign
}

// confirm proves that this process holds the duty by reading the record.
func (d *duty) confirm(ctx context.Context) error {
	start := clock.Now()
	object, r, err := d.read(ctx)
	if err != nil {
		d.vm.stats.StoreErrors.Add(1)
		return err
	}
	d.mu.Lock()
	if r.Run != d.vm.run || r.Token != d.state.Record.Token {
		was := d.held
		d.held = false
		d.mu.Unlock()
		if was {
			d.vm.Log.Info().Uint64("token", r.Token).Str("holder", r.Holder).Msg("duty lost")
		}
		d.vm.learn(r, "confirm")
		return errLost
	}
	if r.Version > d.state.Record.Version {
		// A write whose answer was lost.
		d.vm.learn(r, "confirm")
		d.records.Add(r.Record)
		d.state.Written(r.Record, start, clock.Now())
	}
	d.object, d.signs = object, max(d.signs, r.Sign)
	d.state.Confirmed = max(d.state.Confirmed, start)
	d.mu.Unlock()
	return nil
}

// poke tells all VMs what has changed in the record last, and asks them for a
// heartbeat now.
func (d *duty) poke() {
	d.mu.Lock()
	p := packet{Kind: packetPoke, Token: d.state.Record.Token, Step: d.records.Last()}
	ips := make(map[string]bool, len(d.peers))
	for _, p := range d.peers {
		ips[p.IP] = true
	}
	for _, p := range d.book.View().Peers {
		ips[p.IP] = true
	}
	d.mu.Unlock()
	delete(ips, d.vm.Settings.IP)
	d.vm.beat.write(&p, slices.Collect(maps.Keys(ips))...)
}

// hold does the holder's work while this VM holds the duty.
func (d *duty) hold(ctx context.Context) {
	tick := time.NewTicker(dutyPeriod)
	defer tick.Stop()
	var confirming, signing sync.Mutex
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		now := clock.Now()
		d.mu.Lock()
		held, due := d.holding(), now-d.state.Confirmed > confirmPeriod
		if held {
			d.refreshView(now, false)
		}
		unsigned := now-d.signed > signPeriod && len(d.moves) == 0
		d.mu.Unlock()
		if !held {
			continue
		}
		if due && confirming.TryLock() {
			go func() {
				defer confirming.Unlock()
				if err := d.confirm(ctx); err != nil && !errors.Is(err, errLost) {
					pollendoor.Pause(ctx, retryPause)
				}
			}()
		}
		if unsigned && signing.TryLock() {
			go func() {
				defer signing.Unlock()
				d.sign(ctx)
			}()
		}
		d.admit(ctx, now)
		d.look(ctx, now)
	}
}

// admit writes the members, and those that keep rates, down as they come and go.
func (d *duty) admit(ctx context.Context, now time.Duration) {
	d.mu.Lock()
	list, changed := d.state.Members(now)
	keepers, others := d.state.Keepers(now)
	keep := d.state.KeepEvicted(now)
	due := (changed || others) && now-d.members > memberPeriod && !d.moves[membersMove]
	if due {
		d.members = now
		d.moves[membersMove] = true
	}
	d.mu.Unlock()
	if !due {
		return
	}
	go func() {
		err := d.write(ctx, func(r lease.Record) lease.Record {
			if changed {
				return r.WithMembers(list, keep)
			}
			return r.WithKeepers(keepers)
		})
		l := d.vm.Log.Info()
		if err != nil {
			l = d.vm.Log.Warn().Err(err)
		}
		l.Int("members", len(list)).Strs("keepers", keepers).Bool("written", err == nil).Msg("members changed")
		d.done(membersMove)
	}()
}

// membersMove and foundMove mark a change of the members, and the first look at
// groups, among the moves. No group has such a name.
const (
	membersMove = "/members"
	foundMove   = "/found"
)

// look starts what the groups need.
func (d *duty) look(ctx context.Context, now time.Duration) {
	c := d.vm.Config()
	if c == nil {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	var unknown []string
	for name := range c.Groups {
		g, known := d.state.Record.Groups[name]
		if !known && len(unknown) < maxFound {
			unknown = append(unknown, name)
		}
		if !known || d.moves[name] || len(d.moves) >= maxMoves {
			continue
		}
		if g.Moving {
			d.start(name, func() { d.move(ctx, name, "taken over from an earlier holder") })
			continue
		}
		if cause := d.state.Suspect(name, d.vm.entry(g.Primary), now); cause != lease.CauseNone {
			d.start(name, func() { d.replace(ctx, name, g, cause) })
		}
	}
	if len(unknown) > 0 && !d.moves[foundMove] {
		d.start(foundMove, func() { d.found(ctx, unknown) })
	}
}

// entry returns what the platform's store says of a target.
func (v *VM) entry(id string) lease.Entry {
	t, missing := v.targets.Missing(id, time.Now())
	return lease.Entry{Target: t, Missing: missing}
}

// start runs the work on one group. The caller holds mu.
func (d *duty) start(group string, work func()) {
	d.moves[group] = true
	go func() {
		work()
		d.done(group)
	}()
}

func (d *duty) done(name string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.moves, name)
}

// others returns the targets of a group but for one.
func (d *duty) others(group, except string) []pollendoor.TargetInfo {
	var list []pollendoor.TargetInfo
	for _, t := range d.vm.targets.Group(group) {
		if t.ID != except {
			list = append(list, t)
		}
	}
	return list
}

// token returns the fencing token of this holder.
func (d *duty) token() uint64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.state.Record.Token
}

// group returns a group's agreed state.
func (d *duty) group(name string) lease.Group {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.state.Record.Groups[name]
}
