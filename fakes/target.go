package fakes

import (
	"context"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"
	"github.com/sourcegraph/conc"

	"github.com/pollendoor/pollendoor"
)

// TargetOptions configures a fake target. The zero value is a target without
// limits or delays.
type TargetOptions struct {
	Name     string // name of the target, unique in its group
	Zone     string // availability zone of the target
	Addr     string // listen address; empty means a free loopback port
	User     string // user that the system logs in as
	Password string // password of User

	Slots        int           // statements that execute at the same time; zero means no limit
	Connections  int           // open connections, without control connections; zero means no limit
	ConnectDelay time.Duration // time that the login of a new connection takes
	ServiceTime  time.Duration // time that a statement occupies its slot
	ShipDelay    time.Duration // delay of each batch of entries on its way to a replica
	Lag          time.Duration // time from a commit until a replica's reads show it
	Log          zerolog.Logger
}

// entry is one committed write transaction in the log of a target.
type entry struct {
	Term  pollendoor.Term // term of the primary that committed it
	Index uint64          // position in the log, starting at 1
	At    time.Time       // time of the commit
	Stmts []statement     // writes of the transaction, in order
}

// Target is a fake member of a database group. Its log survives Kill and
// Start, like a log on disk.
type Target struct {
	opt   TargetOptions
	addr  string
	slots chan struct{} // holds one value for each statement that executes; nil means no limit

	lag        atomic.Int64                           // in nanoseconds; may be set while the target runs
	frozen     atomic.Bool                            // the target accepts connections and bytes but does not respond
	killed     atomic.Bool                            // set between Kill and the next Start
	connCount  atomic.Int64                           // open connections, without control connections
	statements atomic.Int64                           // number of statements run on connections other than control
	isCut      atomic.Pointer[func(zone string) bool] // set by SetCut; nil means no partition
	cutOwnZone atomic.Bool                            // the partition applies to the target's own zone too

	writeLock chan struct{} // holds one value while a write transaction is open
	epoch     atomic.Int64  // increases when open write transactions become invalid

	mu            sync.Mutex // guards the fields below and the order of commits
	changed       chan struct{}
	role          pollendoor.Role
	term          pollendoor.Term
	fenced        pollendoor.Term // lowest term that the target accepts
	source        string          // address of the primary that the replica follows
	log           []entry         // the entry with index i is at i-1
	applied       uint64          // index of the last applied entry
	caughtUpAt    time.Time       // latest time at which the log is known to have had all of the primary's entries
	committed     *engine         // committed data
	pending       *engine         // data of the open write transaction
	listener      net.Listener
	sessionByConn map[net.Conn]*session
	sessionByPID  map[uint32]*session
	stop          context.CancelFunc
	wg            *conc.WaitGroup
}

// NewTarget returns a target that is not started yet. It is a replica without a
// primary.
func NewTarget(opt TargetOptions) (*Target, error) {
	t := &Target{
		opt:       opt,
		writeLock: make(chan struct{}, 1),
		changed:   make(chan struct{}),
		role:      pollendoor.Replica,
	}
	if opt.Slots > 0 {
		t.slots = make(chan struct{}, opt.Slots)
	}
	t.lag.Store(int64(opt.Lag))
	var err error
	if t.committed, err = newEngine(); err != nil {
		return nil, err
	}
	t.pending, err = newEngine()
	return t, err
}

// Addr returns the listen address. It is empty before Start.
func (t *Target) Addr() string { return t.addr }

// Name returns the target's name.
func (t *Target) Name() string { return t.opt.Name }

// Zone returns the target's availability zone.
func (t *Target) Zone() string { return t.opt.Zone }

// SetLag sets the time from a commit until a replica's reads show it.
func (t *Target) SetLag(d time.Duration) { t.lag.Store(int64(d)) }

// Connections returns the number of open connections, without control
// connections.
func (t *Target) Connections() int { return int(t.connCount.Load()) }

// Dump returns the target's log as text, for tests that search it.
func (t *Target) Dump() string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return fmt.Sprint(t.log)
}

// Freeze makes the target accept connections and bytes without a response, like
// a stopped process, until Unfreeze.
func (t *Target) Freeze() { t.frozen.Store(true) }

// Unfreeze ends the effect of Freeze.
func (t *Target) Unfreeze() { t.frozen.Store(false) }

// Statements returns the number of statements that ran on connections other than
// control.
func (t *Target) Statements() int64 { return t.statements.Load() }

// SetCut simulates a network partition: the target does not respond to peers in
// other zones if cut returns true for their zone or for the target's own.
func (t *Target) SetCut(cut func(zone string) bool) { t.isCut.Store(&cut) }

// CutOwnZone sets whether the partition of SetCut also applies to peers in the
// target's own zone and to those whose zone is not known yet.
func (t *Target) CutOwnZone(on bool) { t.cutOwnZone.Store(on) }

// Start listens and serves until Kill. A target that is started again keeps its
// address.
func (t *Target) Start() error {
	addr := t.opt.Addr
	if t.addr != "" {
		addr = t.addr
	}
	if addr == "" {
		addr = "127.0.0.1:0"
	}
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return errors.Wrapf(err, "target %s", t.opt.Name)
	}
	ctx, cancel := context.WithCancel(context.Background())
	t.mu.Lock()
	t.killed.Store(false)
	t.addr = l.Addr().String()
	t.listener = l
	t.sessionByConn = make(map[net.Conn]*session)
	t.sessionByPID = make(map[uint32]*session)
	t.stop = cancel
	t.wg = conc.NewWaitGroup()
	wg := t.wg
	t.mu.Unlock()
	wg.Go(func() { t.accept(l, wg) })
	wg.Go(func() { t.replicate(ctx) })
	wg.Go(func() { t.applyLoop(ctx) })
	return nil
}

// Kill closes the listener and all connections at once. Open transactions are
// rolled back; the log is kept.
func (t *Target) Kill() {
	t.mu.Lock()
	if t.listener == nil {
		t.mu.Unlock()
		return
	}
	t.killed.Store(true)
	t.listener.Close()
	t.listener = nil
	for c := range t.sessionByConn {
		c.Close()
	}
	t.stop()
	wg := t.wg
	t.epoch.Add(1)
	t.notifyChange()
	t.mu.Unlock()
	wg.Wait()
}

// CloseConnections closes every connection but not the listener, like a network
// failure.
func (t *Target) CloseConnections() {
	t.mu.Lock()
	defer t.mu.Unlock()
	for c := range t.sessionByConn {
		c.Close()
	}
}

// notifyChange wakes all goroutines that wait for a change of the target's
// state. The caller holds mu.
func (t *Target) notifyChange() {
	close(t.changed)
	t.changed = make(chan struct{})
}

// Status returns the target's role, term, log position and age of its data.
func (t *Target) Status() pollendoor.TargetStatus {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.status()
}

func (t *Target) status() pollendoor.TargetStatus {
	s := pollendoor.TargetStatus{
		Name:    t.opt.Name,
		Role:    t.role,
		Term:    t.term,
		Index:   uint64(len(t.log)),
		Applied: t.applied,
		Fenced:  t.fenced,
	}
	if t.role == pollendoor.Replica {
		caughtUp := t.caughtUpAt
		if t.applied < uint64(len(t.log)) {
			caughtUp = t.log[t.applied].At
		}
		s.AgeMS = time.Since(caughtUp).Milliseconds()
	}
	return s
}

// Fence makes the target refuse all terms below term from now on.
func (t *Target) Fence(term pollendoor.Term) pollendoor.TargetStatus {
	t.mu.Lock()
	defer t.mu.Unlock()
	if term > t.fenced {
		t.fenced = term
		t.notifyChange()
	}
	return t.status()
}

// Promote applies the rest of the log and makes the target the primary of term.
// It fails if the term is fenced.
func (t *Target) Promote(term pollendoor.Term) (pollendoor.TargetStatus, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if term < t.fenced {
		return t.status(), errors.Newf("term %d is fenced, the lowest accepted term is %d", term, t.fenced)
	}
	if t.role == pollendoor.Primary && t.term == term {
		return t.status(), nil
	}
	if err := t.applyTo(uint64(len(t.log))); err != nil {
		return t.status(), err
	}
	t.role, t.term, t.fenced = pollendoor.Primary, term, term
	t.epoch.Add(1)
	t.notifyChange()
	return t.status(), nil
}

// Follow makes the target a replica of the primary of term at addr. If the
// target comes from an older term, it drops its entries after the index after.
// It fails if the term is fenced, older than the target's, or the target is its
// primary.
func (t *Target) Follow(term pollendoor.Term, addr string, after uint64) (pollendoor.TargetStatus, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if term < t.fenced || term < t.term {
		return t.status(), errors.Newf("term %d is fenced, the lowest accepted term is %d", term, max(t.fenced, t.term))
	}
	if t.role == pollendoor.Primary && t.term == term {
		return t.status(), errors.Newf("target is the primary of term %d", term)
	}
	if t.role == pollendoor.Primary {
		t.demote()
	}
	if term > t.term && after < uint64(len(t.log)) {
		if err := t.truncate(after); err != nil {
			return t.status(), err
		}
	}
	t.role, t.term, t.source = pollendoor.Replica, term, addr
	t.fenced = max(t.fenced, term)
	t.notifyChange()
	return t.status(), nil
}

// demote rolls back the open write transaction and closes all connections but
// control connections. The caller holds mu.
func (t *Target) demote() {
	t.epoch.Add(1)
	t.pending.run(statement{SQL: "ROLLBACK"}) // fails if no transaction is open
	for c, s := range t.sessionByConn {
		if s != nil && !s.control.Load() {
			c.Close()
		}
	}
}

// truncate drops the entries after the index and, if one of them was applied,
// rebuilds the data from the remaining log. The caller holds mu.
func (t *Target) truncate(after uint64) error {
	t.log = t.log[:after:after]
	if t.applied <= after {
		return nil
	}
	committed, err := newEngine()
	if err != nil {
		return err
	}
	pending, err := newEngine()
	if err != nil {
		return err
	}
	t.committed.close()
	t.pending.close()
	t.committed, t.pending, t.applied = committed, pending, 0
	t.epoch.Add(1)
	return t.applyTo(after)
}

// applyTo applies the entries up to the index to both engines, which makes them
// visible to reads. The caller holds mu.
func (t *Target) applyTo(index uint64) error {
	for t.applied < index {
		e := t.log[t.applied]
		for _, eng := range []*engine{t.committed, t.pending} {
			if err := applyEntry(eng, e); err != nil {
				return errors.Wrapf(err, "target %s, entry %d", t.opt.Name, e.Index)
			}
		}
		t.applied++
	}
	return nil
}

func applyEntry(e *engine, en entry) error {
	if len(en.Stmts) == 0 {
		return nil
	}
	if _, err := e.run(statement{SQL: "BEGIN"}); err != nil {
		return err
	}
	for _, s := range en.Stmts {
		if _, err := e.run(s); err != nil {
			e.run(statement{SQL: "ROLLBACK"})
			return err
		}
	}
	_, err := e.run(statement{SQL: "COMMIT"})
	return err
}

// applyLoop applies received entries once they are as old as the configured lag.
func (t *Target) applyLoop(ctx context.Context) {
	for ctx.Err() == nil {
		t.mu.Lock()
		wait := time.Hour
		if t.role == pollendoor.Replica && t.applied < uint64(len(t.log)) && !t.frozen.Load() {
			wait = time.Until(t.log[t.applied].At.Add(time.Duration(t.lag.Load())))
			if wait <= 0 {
				if err := t.applyTo(t.applied + 1); err != nil {
					t.opt.Log.Error().Err(err).Msg("replica failed to apply a log entry")
				}
				t.mu.Unlock()
				continue
			}
		}
		changed := t.changed
		t.mu.Unlock()
		sleep(ctx, min(wait, 20*time.Millisecond), changed)
	}
}

// sleep waits until d has passed, ctx ends or wake is closed.
func sleep(ctx context.Context, d time.Duration, wake <-chan struct{}) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-wake:
	case <-timer.C:
	}
}

// commit appends the statements of the open write transaction to the log as one
// entry. It fails, and commits nothing, if the target is not the primary, is
// fenced, or has changed its role since the transaction began.
func (t *Target) commit(stmts []statement, epoch int64) (pollendoor.Position, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if err := t.writable(epoch); err != nil {
		return pollendoor.Position{}, err
	}
	if _, err := t.pending.run(statement{SQL: "COMMIT"}); err != nil {
		return pollendoor.Position{}, err
	}
	e := entry{Term: t.term, Index: uint64(len(t.log)) + 1, At: time.Now(), Stmts: stmts}
	if err := applyEntry(t.committed, e); err != nil {
		panic(errors.NewAssertionErrorWithWrappedErrf(err, "a committed transaction failed to apply to the engine of committed data"))
	}
	t.log = append(t.log, e)
	t.applied = e.Index
	t.notifyChange()
	return pollendoor.Position{Term: e.Term, Index: e.Index}, nil
}

// writable returns an error if the target cannot run writes of a transaction
// that began in the given epoch. The caller holds mu.
func (t *Target) writable(epoch int64) error {
	if t.role != pollendoor.Primary {
		return errReadOnly
	}
	if t.fenced > t.term || epoch != t.epoch.Load() {
		return errFenced
	}
	return nil
}
