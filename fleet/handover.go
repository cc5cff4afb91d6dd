package fleet

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/pollendoor/pollendoor"
	"github.com/pollendoor/pollendoor/clock"
	"github.com/pollendoor/pollendoor/lease"
	"github.com/pollendoor/pollendoor/vmlist"
)

const (
	// handoverTimeout bounds the handover at a planned stop: some round trips
	// between regions and a write to the store, well within half of a grace period.
	handoverTimeout = time.Second
	// tasksTimeout is how long a handover waits for the tasks of this VM's tenure. A
	// replacement of a primary that lasts longer is continued by the successor, which
	// costs callers more time.
	tasksTimeout = 600 * time.Millisecond
	// handoverPoll is how often a leaving VM checks the progress of the handover.
	handoverPoll = 20 * time.Millisecond
	// answerMargin is the end of the grace period in which no statement is answered
	// any more: the process ends shortly before the period does.
	answerMargin = 500 * time.Millisecond
)

// Leave begins a planned stop: the VM reports that it is not ready, and others take
// over its roles while it still finishes the work that it has begun. Leave returns
// when they have done so, or after handoverTimeout.
func (v *VM) Leave(ctx context.Context) {
	v.answerUntil.Store(int64(clock.Now() + v.Settings.Grace() - answerMargin))
	v.leaving.Store(true)
	v.messenger.wake()
	ctx, cancel := context.WithTimeout(ctx, handoverTimeout)
	defer cancel()
	if v.leader.isLeader() {
		if err := v.leader.handOver(ctx); err != nil {
			v.Log.Warn().Err(err).Msg("leadership not handed over yet")
		}
		v.messenger.wake()
	}
	for !v.messenger.released() && ctx.Err() == nil {
		pollendoor.Pause(ctx, handoverPoll)
	}
	v.Log.Info().Bool("released", v.messenger.released()).Msg("handover to other VMs ended")
}

// TimeLeft returns how long this VM still answers statements. It reports false unless
// Leave was called.
func (v *VM) TimeLeft() (time.Duration, bool) {
	until := time.Duration(v.answerUntil.Load())
	return max(0, until-clock.Now()), until != 0
}

// IsLeader reports whether this VM is the leader of the fleet.
func (v *VM) IsLeader() bool { return v.leader.isLeader() }

// RemoteSessions returns the number of other VMs' sessions at targets that run
// through this VM.
func (v *VM) RemoteSessions() int { return int(v.streams.remoteSessions.Load()) }

// EndRemoteWork ends other VMs' sessions at targets after their current statement, and
// refuses their new ones.
func (v *VM) EndRemoteWork() { v.streams.ending.Store(true) }

// RemoteStatements returns the number of other VMs' statements that run through this VM.
func (v *VM) RemoteStatements() int { return int(v.streams.remoteStatements.Load()) }

// errNoSuccessor means that no other VM can become the leader.
var errNoSuccessor = errors.New("no other VM can become the leader")

// errHandoverRunning means that another attempt to hand the leadership over is running.
var errHandoverRunning = errors.New("leadership is being handed over")

// handOver hands the leadership over: the record names the successor, which claims
// the leadership as soon as it receives the record. Leases continue meanwhile. From the
// choice of a successor on this VM leads no more, whatever the outcome of the write: the
// tenure ends with its tasks, and the next attempt only writes the record.
func (ld *leader) handOver(ctx context.Context) error {
	if !ld.handoverMu.TryLock() {
		return errHandoverRunning
	}
	defer ld.handoverMu.Unlock()
	ld.awaitTasks(ctx)
	successor, err := ld.endLeadership()
	if err != nil {
		return err
	}
	// A write of an ended task may still wait for its answer.
	for !ld.writeMu.TryLock() {
		if pollendoor.Pause(ctx, handoverPoll); ctx.Err() != nil {
			return errors.Wrap(ctx.Err(), "a write of the record is pending")
		}
	}
	defer ld.writeMu.Unlock()
	for {
		done, err := ld.writeSuccessor(ctx, successor)
		if done || ctx.Err() != nil {
			return err
		}
		ld.vm.Log.Warn().Err(err).Str("to", successor.Name).Msg("successor of the leader not recorded, trying again")
		pollendoor.Pause(ctx, retryPause/2)
	}
}

// awaitTasks waits until no task of the tenure is running, at most for tasksTimeout.
func (ld *leader) awaitTasks(ctx context.Context) {
	for until := clock.Now() + tasksTimeout; ctx.Err() == nil && clock.Now() < until; pollendoor.Pause(ctx, handoverPoll) {
		ld.mu.Lock()
		running := ld.leading && ld.tenure.hasTasks()
		ld.mu.Unlock()
		if !running {
			return
		}
	}
}

// endLeadership chooses a successor and ends this VM's leadership. Without a successor the
// VM goes on leading.
func (ld *leader) endLeadership() (vmlist.Peer, error) {
	ld.mu.Lock()
	defer ld.mu.Unlock()
	if !ld.isLeading() && !ld.handingOver {
		return vmlist.Peer{}, errNotLeader
	}
	name, ok := ld.state.Successor(ld.vm.Settings.VM, ld.isStaying, clock.Now())
	if !ok {
		return vmlist.Peer{}, errNoSuccessor
	}
	ld.leading, ld.handingOver = false, true
	ld.tenure.end()
	return ld.peers[name], nil
}

// writeSuccessor records the successor once. It reports true if the handover has ended:
// the successor is recorded, or this process turns out not to be the leader according to
// the record. The caller holds writeMu.
func (ld *leader) writeSuccessor(ctx context.Context, successor vmlist.Peer) (bool, error) {
	ld.mu.Lock()
	handingOver, objectVersion := ld.handingOver, ld.objectVersion
	r := ld.nextRecord(ld.state.Record.HandOver(successor.Name, successor.IP))
	// The successor does not learn until when leases of this VM may last.
	r.Settled = r.Settled && ld.state.LongLeasesEnded(clock.Now())
	ld.mu.Unlock()
	if !handingOver {
		return true, errNotLeader
	}
	token := r.Token
	r.ProcessID = 0 // no process is the leader: the successor has to claim the leadership
	_, err := ld.putRecord(ctx, objectVersion, r)
	if err != nil {
		// The write may have been carried out, or a write of an earlier task.
		if readErr := ld.confirm(ctx); !errors.Is(readErr, errNotLeader) {
			return false, err
		}
		if r.Record = ld.vm.lease.Load().Record; r.Token != token {
			return true, errNotLeader
		}
	}
	ld.vm.Log.Info().Str("to", r.Leader).Uint64("version", r.Version).Msg("leadership handed over")
	ld.vm.adoptRecord(r, "own write")
	ld.mu.Lock()
	ld.handingOver = false
	ld.recordHistory.Add(r.Record)
	ld.mu.Unlock()
	ld.broadcastRecord()
	return true, nil
}

// retryHandover tries again to hand the leadership over, or hands over one that has come to
// this VM after it began to leave.
func (ld *leader) retryHandover(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, handoverTimeout)
	defer cancel()
	err := ld.handOver(ctx)
	if err != nil && !errors.IsAny(err, errHandoverRunning, errNoSuccessor) {
		ld.vm.Log.Warn().Err(err).Msg("leadership not handed over yet")
	}
}

// mayClaim reports whether this VM may claim the leadership according to the record that it
// has. One that leaves claims it only if the record names this VM, to hand it over, and not
// while it records a successor.
func (ld *leader) mayClaim(r *lease.Record) bool {
	if !ld.vm.leaving.Load() {
		return true
	}
	ld.mu.Lock()
	defer ld.mu.Unlock()
	return !ld.handingOver && r.Leader == ld.vm.Settings.VM
}

// isStaying reports whether a VM has sent a heartbeat and is not about to leave. The
// caller holds mu.
func (ld *leader) isStaying(vm string) bool {
	p, ok := ld.peers[vm]
	return ok && !p.Leaving
}
