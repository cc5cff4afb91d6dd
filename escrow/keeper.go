// Package escrow keeps a VM's part of the teams' allowances: it joins the
// agreed state in the platform's store, writes down what the VM holds when an
// epoch begins, and hands units to peers that are asked for more. What may be
// held, given and granted is decided by package limit.
package escrow

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"
	"github.com/sourcegraph/conc"

	"github.com/pollendoor/pollendoor"
	"github.com/pollendoor/pollendoor/limit"
	"github.com/pollendoor/pollendoor/mirror"
	"github.com/pollendoor/pollendoor/peers"
)

const (
	stateObject = "escrow/state"
	heldPrefix  = "escrow/held/"
	// tick is how often shares are looked at.
	tick = 100 * time.Millisecond
	// turn is how much longer each member waits than the one before it to end
	// an epoch's collecting.
	turn = 150 * time.Millisecond
)

// Allowance is a team's rate and burst as the settings in force say.
type Allowance struct {
	Rate  float64 // statements a second
	Burst float64
}

// Options says whom a Keeper works with.
type Options struct {
	ID     string // of this process
	Store  pollendoor.Store
	Mirror *mirror.Mirror
	View   func() *peers.View
	Send   func(t limit.Transfer, peer string) bool
	Ask    func(a peers.Ask, peer string)
	Teams  func() map[string]Allowance
	Log    zerolog.Logger
}

// Keeper holds a VM's shares. It is safe for use by several goroutines.
type Keeper struct {
	opt    Options
	ctx    context.Context
	cancel context.CancelFunc
	wg     *conc.WaitGroup

	mu     sync.Mutex
	ledger limit.Ledger
	busy   map[string]bool // receivers with a transfer under way
	asked  map[string]time.Time
	came   chan struct{} // closed when units come

	report  *limit.Held // to be written down, nil if it is
	written uint64      // version of this VM's held object
	since   time.Time   // when the state was last seen to change
	seen    uint64      // version of the state seen
}

// New returns a keeper that holds nothing yet.
func New(opt Options) *Keeper {
	k := &Keeper{opt: opt, wg: conc.NewWaitGroup(), busy: make(map[string]bool), asked: make(map[string]time.Time), came: make(chan struct{})}
	k.ledger.Self = opt.ID
	k.ctx, k.cancel = context.WithCancel(context.Background())
	return k
}

// Start has the keeper join and follow the fleet until Stop.
func (k *Keeper) Start() { k.wg.Go(k.loop) }

// Stop ends the keeper. What it holds is nobody's until the next epoch.
func (k *Keeper) Stop() {
	k.cancel()
	k.wg.Wait()
}

// Receive takes units from a peer.
func (k *Keeper) Receive(t limit.Transfer) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	settled := k.ledger.Receive(t, time.Now())
	close(k.came)
	k.came = make(chan struct{})
	return settled
}

// Fill adds to a heartbeat what the VM holds and is asked for.
func (k *Keeper) Fill(b *peers.Heartbeat) {
	k.mu.Lock()
	defer k.mu.Unlock()
	b.Epoch = k.ledger.Epoch
	b.Demands = k.ledger.Demands(time.Now())
}

// Holdings returns the units of all teams.
func (k *Keeper) Holdings() map[string]uint64 {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.ledger.Holdings()
}

func (k *Keeper) loop() {
	for k.ctx.Err() == nil {
		k.settings()
		k.follow()
		k.share()
		pollendoor.Pause(k.ctx, tick/2+rand.N(tick))
	}
}

func (k *Keeper) settings() {
	now := time.Now()
	k.mu.Lock()
	defer k.mu.Unlock()
	for team, a := range k.opt.Teams() {
		k.ledger.Set(team, a.Rate, a.Burst, now)
	}
}

func (k *Keeper) state() (limit.State, uint64) {
	var s limit.State
	o := k.opt.Mirror.Get(stateObject)
	if o.Version > 0 {
		if err := json.Unmarshal(o.Value, &s); err != nil {
			k.opt.Log.Error().Err(err).Msg("escrow state can't be read")
		}
	}
	if o.Version != k.seen {
		k.seen, k.since = o.Version, time.Now()
	}
	return s, o.Version
}

// follow does what the agreed state asks of this VM.
func (k *Keeper) follow() {
	s, version := k.state()
	v := k.opt.View()
	place := slices.Index(s.Members, k.opt.ID)
	if place < 0 {
		// Only a VM that the list has is dropped when the list loses it.
		if v.SelfListed {
			k.put(s.Join(k.opt.ID), version)
		}
		return
	}
	k.enter(s)
	patient := time.Since(k.since) > time.Duration(place)*turn
	switch {
	case k.report != nil:
	case s.Collecting:
		if next, ok := s.Close(k.held(s), k.teams()); ok && patient {
			k.put(next, version)
		}
	default:
		k.mu.Lock()
		k.ledger.Grant(s.Epoch, s.Grants[k.opt.ID], time.Now())
		k.mu.Unlock()
		k.reopen(s, version, v, patient)
	}
	if s.Collecting && patient && slices.ContainsFunc(s.Members, v.Gone) {
		k.put(s.Drop(v.Gone, "a member is gone"), version)
	}
}

// reopen begins an epoch when a member is gone or a team has no units yet.
func (k *Keeper) reopen(s limit.State, version uint64, v *peers.View, patient bool) {
	if !patient {
		return
	}
	if slices.ContainsFunc(s.Members, v.Gone) {
		k.put(s.Drop(v.Gone, "a member is gone"), version)
		return
	}
	for _, t := range k.teams() {
		if !slices.Contains(s.Teams, t) {
			k.put(s.Drop(func(string) bool { return false }, "team "+t+" is new"), version)
			return
		}
	}
}

func (k *Keeper) teams() []string {
	var list []string
	for t := range k.opt.Teams() {
		list = append(list, t)
	}
	return list
}

// enter moves to the state's epoch and writes down what is held then.
func (k *Keeper) enter(s limit.State) {
	k.mu.Lock()
	if s.Epoch > k.ledger.Epoch {
		k.report = &limit.Held{Epoch: s.Epoch, Units: k.ledger.Enter(s.Epoch)}
	}
	k.mu.Unlock()
	if k.report == nil {
		return
	}
	raw, err := json.Marshal(k.report)
	if err != nil {
		panic(errors.NewAssertionErrorWithWrappedErrf(err, "holdings did not encode"))
	}
	name := heldPrefix + k.opt.ID
	version, err := k.opt.Store.Put(k.ctx, name, k.written, raw)
	if err == nil {
		k.opt.Mirror.Apply([]pollendoor.Object{{Name: name, Version: version, Value: raw}}, time.Time{})
		k.written, k.report = version, nil
		return
	}
	// Nobody else writes the object: a conflict is an earlier try of this VM.
	if o, err := k.opt.Store.Get(k.ctx, name); err == nil {
		k.written = o.Version
		if string(o.Value) == string(raw) {
			k.opt.Mirror.Apply([]pollendoor.Object{o}, time.Time{})
			k.report = nil
		}
	}
}

func (k *Keeper) held(s limit.State) map[string]limit.Held {
	m := make(map[string]limit.Held, len(s.Members))
	for _, id := range s.Members {
		var h limit.Held
		if o := k.opt.Mirror.Get(heldPrefix + id); o.Version > 0 && json.Unmarshal(o.Value, &h) == nil {
			m[id] = h
		}
	}
	return m
}

// put proposes a state. Whoever is slower sees the winner's.
func (k *Keeper) put(s limit.State, version uint64) {
	raw, err := json.Marshal(s)
	if err != nil {
		panic(errors.NewAssertionErrorWithWrappedErrf(err, "escrow state did not encode"))
	}
	v, err := k.opt.Store.Put(k.ctx, stateObject, version, raw)
	if err == nil {
		k.opt.Mirror.Apply([]pollendoor.Object{{Name: stateObject, Version: v, Value: raw}}, time.Time{})
		return
	}
	// After a conflict or a lost answer the store's state is what counts.
	if o, err := k.opt.Store.Get(k.ctx, stateObject); err == nil {
		k.opt.Mirror.Apply([]pollendoor.Object{o}, time.Time{})
	}
}
