package fleet

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/pollendoor/pollendoor"
	"github.com/pollendoor/pollendoor/clock"
)

const (
	// handTime bounds the handover at a planned stop: some round trips between
	// regions and a write, well within half of a grace period.
	handTime = time.Second
	// handPoll is how often a leaving VM looks how far the handover has come.
	handPoll = 20 * time.Millisecond
)

// Leave begins a planned stop: the VM is not ready any more, and others take its
// part over while it still serves what it has begun. It returns once they have, or
// after handTime.
func (v *VM) Leave(ctx context.Context) {
	v.leaving.Store(true)
	v.beat.wake()
	ctx, cancel := context.WithTimeout(ctx, handTime)
	defer cancel()
	if v.duty.holds() {
		if err := v.duty.hand(ctx); err != nil {
			v.Log.Warn().Err(err).Msg("duty not handed over")
		}
		v.beat.wake()
	}
	for !v.beat.released() && ctx.Err() == nil {
		pollendoor.Pause(ctx, handPoll)
	}
	v.Log.Info().Bool("released", v.beat.released()).Msg("part in the fleet given up")
}

// Holds reports whether this VM holds the duty.
func (v *VM) Holds() bool { return v.duty.holds() }

// Turns returns the number of other VMs' turns that run through this one.
func (v *VM) Turns() int { return int(v.lanes.turns.Load()) }

// errAlone says that no other VM can take the duty.
var errAlone = errors.New("no other VM is there")

// hand hands the duty over: the record names the successor, which claims the duty
// as soon as it learns of it. Leases go on meanwhile.
func (d *duty) hand(ctx context.Context) error {
	for d.moving() {
		if pollendoor.Pause(ctx, handPoll); ctx.Err() != nil {
			break // the successor goes on with it
		}
	}
	d.writing.Lock()
	defer d.writing.Unlock()
	d.mu.Lock()
	held, object := d.holding(), d.object
	to, ok := d.state.Successor(d.vm.Settings.VM, d.stays, clock.Now())
	r := d.next(d.state.Record.HandOver(to, d.peers[to].IP))
	r.Run = 0 // no process holds it: the successor has to claim it
	// Nothing is granted from here on, whatever becomes of the write.
	d.held = held && !ok
	d.mu.Unlock()
	switch {
	case !held:
		return errLost
	case !ok:
		return errAlone
	}
	if _, err := d.put(ctx, object, r); err != nil {
		return err
	}
	d.vm.Log.Info().Str("to", to).Uint64("version", r.Version).Msg("duty handed over")
	d.vm.learn(r, "own write")
	d.mu.Lock()
	d.records.Add(r.Record)
	d.mu.Unlock()
	d.poke()
	return nil
}

// moving reports whether a change of the record is under way.
func (d *duty) moving() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.moves) > 0
}

// stays reports whether a VM is known and not about to leave. The caller holds mu.
func (d *duty) stays(vm string) bool {
	p, ok := d.peers[vm]
	return ok && !p.Leaving
}
