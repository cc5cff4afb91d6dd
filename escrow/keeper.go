// Package escrow manages a VM's part of the teams' allowances: it joins the escrow
// state in the platform's store, records the units that the VM holds when an epoch
// begins, and transfers units to peers with a higher demand. Package limit decides
// which units may be held, given and granted.
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
	// tickInterval is the mean time between two rounds of the keeper's loop.
	tickInterval = 100 * time.Millisecond
	// proposalStagger is how much longer each member waits than the member before
	// it until it proposes a state, so that proposals rarely conflict.
	proposalStagger = 150 * time.Millisecond
)

// Allowance is a team's rate and burst from the settings in force.
type Allowance struct {
	Rate  float64 // statements per second over all VMs
	Burst float64 // statements
}

// Options configures a Keeper.
type Options struct {
	ID     string           // identity of this process, never reused after the process ends
	Store  pollendoor.Store // has the escrow state and the recorded holdings
	Mirror *mirror.Mirror   // this VM's copy of the store, from which the escrow state is read
	// View returns the fleet as this VM sees it.
	View func() *peers.View
	// Send sends a transfer to the peer address and reports whether the peer has
	// settled it. An unsettled transfer is sent again.
	Send func(t limit.Transfer, peer string) bool
	// Ask sends a request for units to the peer address.
	Ask func(a peers.Ask, peer string)
	// Teams returns the allowances in force, by team.
	Teams func() map[string]Allowance
	Log   zerolog.Logger
}

// Keeper manages the units that a VM holds. It is safe for concurrent use.
type Keeper struct {
	opt    Options
	ctx    context.Context
	cancel context.CancelFunc
	wg     *conc.WaitGroup

	mu           sync.Mutex
	ledger       limit.Ledger
	transferring map[string]bool      // receivers to which a transfer is in flight
	lastAsked    map[string]time.Time // time of the last request to peers for units, by team
	unitsArrived chan struct{}        // closed and replaced when a transfer arrives

	pendingReport  *limit.Held // holdings still to be recorded in the store, or nil
	heldVersion    uint64      // version of this VM's object under heldPrefix
	stateChangedAt time.Time   // when this VM last saw the escrow state change
	stateVersion   uint64      // version of the escrow state last seen
}

// New returns a keeper that holds no units. It does nothing until Start.
func New(opt Options) *Keeper {
	k := &Keeper{opt: opt, wg: conc.NewWaitGroup(), transferring: make(map[string]bool), lastAsked: make(map[string]time.Time), unitsArrived: make(chan struct{})}
	k.ledger.Self = opt.ID
	k.ctx, k.cancel = context.WithCancel(context.Background())
	return k
}

// Start starts the keeper's loop, which joins the escrow and applies its state until
// Stop.
func (k *Keeper) Start() { k.wg.Go(k.run) }

// Stop ends the keeper and waits for its goroutines. No VM can use its units until
// a new epoch grants them again.
func (k *Keeper) Stop() {
	k.cancel()
	k.wg.Wait()
}

// Receive accepts a transfer from a peer. It reports whether the peer may stop
// sending it.
func (k *Keeper) Receive(t limit.Transfer) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	settled := k.ledger.Receive(t, time.Now())
	close(k.unitsArrived)
	k.unitsArrived = make(chan struct{})
	return settled
}

// FillHeartbeat sets the escrow epoch and the VM's units and demands in a heartbeat.
func (k *Keeper) FillHeartbeat(b *peers.Heartbeat) {
	k.mu.Lock()
	defer k.mu.Unlock()
	b.Epoch = k.ledger.Epoch
	b.Demands = k.ledger.Demands(time.Now())
}

// Holdings returns the units that the VM holds, by team.
func (k *Keeper) Holdings() map[string]uint64 {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.ledger.Holdings()
}

// run applies the settings and the escrow state and rebalances units, with a pause
// of 50 to 150 ms between rounds.
func (k *Keeper) run() {
	for k.ctx.Err() == nil {
		k.applyAllowances()
		k.followState()
		k.rebalance()
		pollendoor.Pause(k.ctx, tickInterval/2+rand.N(tickInterval))
	}
}

// applyAllowances sets the teams' rates and bursts in the ledger.
func (k *Keeper) applyAllowances() {
	now := time.Now()
	k.mu.Lock()
	defer k.mu.Unlock()
	for team, a := range k.opt.Teams() {
		k.ledger.Set(team, a.Rate, a.Burst, now)
	}
}

// readState returns the escrow state in the mirror and its version.
func (k *Keeper) readState() (limit.State, uint64) {
	var s limit.State
	o := k.opt.Mirror.Get(stateObject)
	if o.Version > 0 {
		if err := json.Unmarshal(o.Value, &s); err != nil {
			k.opt.Log.Error().Err(err).Msg("cannot decode escrow state")
		}
	}
	if o.Version != k.stateVersion {
		k.stateVersion, k.stateChangedAt = o.Version, time.Now()
	}
	return s, o.Version
}

// followState takes the next step that the escrow state requires of this VM: join,
// record its holdings, end the collecting phase, accept its grant, or start an
// epoch.
func (k *Keeper) followState() {
	s, version := k.readState()
	v := k.opt.View()
	rank := slices.Index(s.Members, k.opt.ID)
	if rank < 0 {
		// Join only while the VM list contains this VM: members are dropped when
		// they leave the list, and a VM that never was in it would not be.
		if v.SelfListed {
			k.proposeState(s.Join(k.opt.ID), version)
		}
		return
	}
	k.enterEpoch(s)
	mayPropose := time.Since(k.stateChangedAt) > time.Duration(rank)*proposalStagger
	switch {
	case k.pendingReport != nil:
	case s.Collecting:
		if next, ok := s.Close(k.readHeld(s), k.teams()); ok && mayPropose {
			k.proposeState(next, version)
		}
	default:
		k.mu.Lock()
		k.ledger.Grant(s.Epoch, s.Grants[k.opt.ID], time.Now())
		k.mu.Unlock()
		k.startEpoch(s, version, v, mayPropose)
	}
	if s.Collecting && mayPropose && slices.ContainsFunc(s.Members, v.Gone) {
		k.proposeState(s.Drop(v.Gone, "a member is gone"), version)
	}
}

// startEpoch proposes a new epoch if a member is gone or a team has no units yet.
func (k *Keeper) startEpoch(s limit.State, version uint64, v *peers.View, mayPropose bool) {
	if !mayPropose {
		return
	}
	if slices.ContainsFunc(s.Members, v.Gone) {
		k.proposeState(s.Drop(v.Gone, "a member is gone"), version)
		return
	}
	for _, t := range k.teams() {
		if !slices.Contains(s.Teams, t) {
			k.proposeState(s.Drop(func(string) bool { return false }, "team "+t+" is new"), version)
			return
		}
	}
}

// teams returns the names of the teams that have an allowance.
func (k *Keeper) teams() []string {
	var list []string
	for t := range k.opt.Teams() {
		list = append(list, t)
	}
	return list
}

// enterEpoch moves the ledger to the state's epoch and records the units held at
// that time in the store. A failed write is retried at the next call.
func (k *Keeper) enterEpoch(s limit.State) {
	k.mu.Lock()
	if s.Epoch > k.ledger.Epoch {
		k.pendingReport = &limit.Held{Epoch: s.Epoch, Units: k.ledger.Enter(s.Epoch)}
	}
	k.mu.Unlock()
	if k.pendingReport == nil {
		return
	}
	raw, err := json.Marshal(k.pendingReport)
	if err != nil {
		panic(errors.NewAssertionErrorWithWrappedErrf(err, "encode escrow holdings"))
	}
	name := heldPrefix + k.opt.ID
	version, err := k.opt.Store.Put(k.ctx, name, k.heldVersion, raw)
	if err == nil {
		k.opt.Mirror.Apply([]pollendoor.Object{{Name: name, Version: version, Value: raw}}, time.Time{})
		k.heldVersion, k.pendingReport = version, nil
		return
	}
	// No other VM writes this object: a conflict comes from an earlier attempt of
	// this VM.
	if o, err := k.opt.Store.Get(k.ctx, name); err == nil {
		k.heldVersion = o.Version
		if string(o.Value) == string(raw) {
			k.opt.Mirror.Apply([]pollendoor.Object{o}, time.Time{})
			k.pendingReport = nil
		}
	}
}

// readHeld returns the recorded holdings of the members, as far as the mirror has
// them.
func (k *Keeper) readHeld(s limit.State) map[string]limit.Held {
	m := make(map[string]limit.Held, len(s.Members))
	for _, id := range s.Members {
		var h limit.Held
		if o := k.opt.Mirror.Get(heldPrefix + id); o.Version > 0 && json.Unmarshal(o.Value, &h) == nil {
			m[id] = h
		}
	}
	return m
}

// proposeState writes a new escrow state if the stored one still has the given
// version. After a conflict the mirror gets the state that was stored instead.
func (k *Keeper) proposeState(s limit.State, version uint64) {
	raw, err := json.Marshal(s)
	if err != nil {
		panic(errors.NewAssertionErrorWithWrappedErrf(err, "encode escrow state"))
	}
	v, err := k.opt.Store.Put(k.ctx, stateObject, version, raw)
	if err == nil {
		k.opt.Mirror.Apply([]pollendoor.Object{{Name: stateObject, Version: v, Value: raw}}, time.Time{})
		return
	}
	// After a conflict or a lost response the state in the store is authoritative.
	if o, err := k.opt.Store.Get(k.ctx, stateObject); err == nil {
		k.opt.Mirror.Apply([]pollendoor.Object{o}, time.Time{})
	}
}
