package runner

import (
	"context"
	"fmt"
	"time"

	"github.com/pollendoor/pollendoor"
	"github.com/pollendoor/pollendoor/group"
)

// ackResult is what became of the wait for a write's acknowledgement.
type ackResult int

const (
	ackConfirmed ackResult = iota
	ackCutOff
	ackUnknown
)

// awaitAck waits until the write at p is known to outlive its primary, or to be
// cut off by a newer term.
func (g *Group) awaitAck(ctx context.Context, position pollendoor.Position) ackResult {
	answered := time.Now()
	result := ackUnknown
	g.await(ctx, func(v *view) bool {
		switch {
		case v.record.Term > position.Term && v.record.Phase == pollendoor.Serving:
			result = ackCutOff
			if v.record.Lineage.Holds(position, v.record.Term) {
				result = ackConfirmed
			}
		case v.record.Term == position.Term && replicaHolds(v, position, answered):
			result = ackConfirmed
		}
		return result != ackUnknown
	})
	return result
}

// attested reports whether a replica of the write's term, asked after the
// primary answered, has the entry.
func replicaHolds(v *view, position pollendoor.Position, answered time.Time) bool {
	for _, mb := range v.members {
		sample := mb.observed.Load()
		if sample != nil && sample.RequestedAt.After(answered) && group.Attests(sample.Status, position) {
			return true
		}
	}
	return false
}

// stableWait is how long a read at the primary waits for a replica to hold what
// it saw. A replica that takes longer is likely to be cut off.
const replicationTimeout = time.Second

// awaitStable waits until all that a read at the primary may have seen is known
// to outlive it: what the primary has after the read was at a replica at some
// time. It returns why that did not happen within stableWait, empty if it did.
func (g *Group) awaitReplicated(ctx context.Context, primary string, term pollendoor.Term) string {
	ctx, cancel := context.WithTimeout(ctx, replicationTimeout)
	defer cancel()
	readAt := time.Now()
	var readIndex uint64
	ok := g.await(ctx, func(v *view) bool {
		if v.record.Term != term {
			return true // decided below
		}
		m := v.member(primary)
		if m == nil {
			return false
		}
		if sample := m.observed.Load(); readIndex == 0 && sample != nil && sample.RequestedAt.After(readAt) {
			readIndex = sample.Status.Index
		}
		return readIndex > 0 && replicatedIndex(v) >= readIndex
	})
	v := g.view.Load()
	if ok && v.record.Term == term {
		return ""
	}
	return fmt.Sprintf("%s: read in term %d up to index %d, now term %d, replicas were seen up to %d", CauseUnreplicatedRead, term, readIndex, v.record.Term, replicatedIndex(v))
}

// attestedIndex returns the newest index that a replica of the record's term
// has been seen to hold.
func replicatedIndex(v *view) uint64 {
	var newest uint64
	for _, m := range v.members {
		if sample := m.observed.Load(); sample != nil && sample.Status.Role == pollendoor.Replica && sample.Status.Term == v.record.Term {
			newest = max(newest, sample.Status.Index)
		}
	}
	return newest
}
