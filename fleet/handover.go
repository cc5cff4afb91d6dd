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
	handoverTimeout = time.Second
	// handPoll is how often a leaving VM looks how far the handover has come.
	handoverPoll = 20 * time.Millisecond
)

// Leave begins a planned stop: the VM is not ready any more, and others take its
// part over while it still serves what it has begun. It returns once they have, or
// after handTime.
func (v *VM) Leave(ctx context.Context) {
	v.leaving.Store(true)
	v.messenger.wake()
	ctx, cancel := context.WithTimeout(ctx, handoverTimeout)
	defer cancel()
	if v.leader.isLeader() {
		if err := v.leader.handOver(ctx); err != nil {
			v.Log.Warn().Err(err).Msg("duty not handed over")
		}
		v.messenger.wake()
	}
	for !v.messenger.released() && ctx.Err() == nil {
		pollendoor.Pause(ctx, handoverPoll)
	}
	v.Log.Info().Bool("released", v.messenger.released()).Msg("part in the fleet given up")
}

// Holds reports whether this VM holds the duty.
func (v *VM) IsLeader() bool { return v.leader.isLeader() }

// Turns returns the number of other VMs' turns that run through this one.
func (v *VM) RemoteSessions() int { return int(v.streams.remoteSessions.Load()) }

// errAlone says that no other VM can take the duty.
var errNoSuccessor = errors.New("no other VM is there")

// hand hands the duty over: the record names the successor, which claims the duty
// as soon as it learns of it. Leases go on meanwhile.
func (d *leader) handOver(ctx context.Context) error {
	for d.hasTasks() {
		if pollendoor.Pause(ctx, handoverPoll); ctx.Err() != nil {
			break // the successor goes on with it
		}
	}
	d.writeMu.Lock()
	defer d.writeMu.Unlock()
	d.mu.Lock()
	leading, objectVersion := d.isLeading(), d.objectVersion
	successor, ok := d.state.Successor(d.vm.Settings.VM, d.isStaying, clock.Now())
	r := d.nextRecord(d.state.Record.Hand(successor, d.peers[successor].IP))
	r.ProcessID = 0 // no process holds it: the successor has to claim it
	// Nothing is granted from here on, whatever becomes of the write.
	d.leading = leading && !ok
	d.mu.Unlock()
	switch {
	case !leading:
		return errNotLeader
	case !ok:
		return errNoSuccessor
	}
	if _, err := d.putRecord(ctx, objectVersion, r); err != nil {
		return err
	}
	d.vm.Log.Info().Str("to", successor).Uint64("version", r.Version).Msg("duty handed over")
	d.vm.adoptRecord(r, "own write")
	d.mu.Lock()
	d.recordHistory.Add(r.Record)
	d.mu.Unlock()
	d.broadcastRecord()
	return nil
}

// moving reports whether a change of the record is under way.
func (d *leader) hasTasks() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.tasks) > 0
}

// stays reports whether a VM is known and not about to leave. The caller holds mu.
func (d *leader) isStaying(vm string) bool {
	p, ok := d.peers[vm]
	return ok && !p.Leaving
}
