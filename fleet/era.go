package fleet

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/pollendoor/pollendoor"
	"github.com/pollendoor/pollendoor/clock"
	"github.com/pollendoor/pollendoor/lease"
)

// errUnproved means that the store has come back from an older copy since the leadership was
// proved last.
var errUnproved = errors.New("leadership not proved in the store's new era")

// isCurrent reports whether a record that was read from the store was written in the store's
// present era. One that was not may be older than the newest one.
func isCurrent(objectVersion uint64, r *lease.Record) bool {
	return r.Era == pollendoor.Era(objectVersion)
}

// copyIsOld reports whether the record that was read is of an older copy of the store, so that
// it proves nothing. A record with a newer token does show that another VM leads, and so does
// one that another process has written in this era. The caller holds mu.
func (ld *leader) copyIsOld(objectVersion uint64, r *storedRecord) bool {
	own := ld.state.Record
	switch {
	case !ld.leading && !ld.handingOver, r.Token > own.Token:
		return false
	case objectVersion == 0:
		return own.Version > 0
	case r.ProcessID != ld.vm.processID && r.Token == own.Token:
		return false
	}
	return pollendoor.Era(objectVersion) > ld.era || ld.unproved && !isCurrent(objectVersion, &r.Record)
}

// noteOldCopy notes that the leadership has to be proved again. The caller holds mu.
func (ld *leader) noteOldCopy(objectVersion uint64) {
	era := pollendoor.Era(objectVersion)
	if !ld.unproved {
		ld.vm.stats.StoreRestores.Add(1)
		ld.vm.Log.Warn().Uint64("era", era).Uint64("before", ld.era).Uint64("token", ld.state.Record.Token).
			Msg("record lost with an older copy of the store")
	}
	ld.unproved, ld.era, ld.rewritten, ld.objectVersion = true, max(ld.era, era), 0, objectVersion
}

// noteProved notes that this VM leads in the store's new era once most members have adopted
// the version of the record that was written in it. Another VM may have claimed the leadership
// in a record that the store has lost, and then most members follow that one. The caller holds
// mu.
func (ld *leader) noteProved() {
	if !ld.unproved || ld.rewritten == 0 || !ld.state.MostAdopted(ld.rewritten) {
		return
	}
	ld.unproved = false
	ld.state.Confirmed = max(ld.state.Confirmed, ld.rewrittenAt)
	ld.vm.Log.Info().Uint64("era", ld.era).Uint64("version", ld.rewritten).Dur("after", clock.Now()-ld.rewrittenAt).
		Msg("leadership proved in the store's new era")
}

// proveAgain writes the record to a store that has come back from an older copy, unless that
// has been done or another write is pending.
func (ld *leader) proveAgain(ctx context.Context) {
	if ld.writeMu.TryLock() {
		defer ld.writeMu.Unlock()
		ld.rewriteRecord(ctx)
	}
}

// rewriteRecord writes this leader's record over the one that the store has. The caller holds
// writeMu.
func (ld *leader) rewriteRecord(ctx context.Context) {
	ld.mu.Lock()
	if !ld.isLeading() || !ld.unproved || ld.rewritten != 0 {
		ld.mu.Unlock()
		return
	}
	objectVersion := ld.objectVersion
	r := ld.nextRecord(ld.state.Record.NextVersion())
	ld.mu.Unlock()
	start := clock.Now()
	version, err := ld.putRecord(ctx, objectVersion, r)
	if err != nil {
		ld.vm.Log.Warn().Err(err).Uint64("version", r.Version).Msg("record not written again yet")
		if err := ld.confirm(ctx); err != nil && !errors.Is(err, errUnproved) {
			pollendoor.Pause(ctx, retryPause/2)
		}
		return
	}
	ld.mu.Lock()
	ld.livenessWritten = start
	ld.noteRewritten(version, r, start)
	ld.noteProved() // a leader without other members
	ld.mu.Unlock()
	ld.broadcastRecord()
}

// noteRewritten adopts this leader's record that the store has in its new era, since start or
// earlier. The caller holds mu.
func (ld *leader) noteRewritten(objectVersion uint64, r storedRecord, start time.Duration) {
	ld.objectVersion, ld.livenessCounter = objectVersion, max(ld.livenessCounter, r.Liveness)
	if ld.rewritten != 0 {
		return
	}
	ld.vm.adoptRecord(r, "own write")
	ld.recordHistory.Add(r.Record)
	ld.state.Rewritten(r.Record)
	ld.rewritten, ld.rewrittenAt, ld.era = r.Version, start, max(ld.era, pollendoor.Era(objectVersion))
	ld.vm.stats.RecordsRewritten.Add(1)
}

// baseOfClaim returns the record on which a claim is based: the one that the store has or, if
// the store came back from an older copy, the newest one that this VM knows. It reports false
// if another VM has claimed the leadership since expectedToken.
func (v *VM) baseOfClaim(objectVersion uint64, r storedRecord, expectedToken uint64) (storedRecord, bool) {
	era, known := pollendoor.Era(objectVersion), v.lease.Load().Record
	if r.Token < expectedToken && known.Token == expectedToken && (era > known.Era || objectVersion == 0) {
		r = storedRecord{Record: known, Liveness: r.Liveness}
	}
	if r.Token != expectedToken {
		return r, false
	}
	if era > r.Era {
		// Leases and shares of a leader whose record is gone may be in use.
		r.Settled, r.SpareGranted = false, true
		r.Record = r.InEra(era)
	}
	return r, true
}
