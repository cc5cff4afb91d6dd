package runner

import (
	"context"
	"fmt"
	"time"

	"github.com/pollendoor/pollendoor"
	"github.com/pollendoor/pollendoor/group"
)

// ackResult is the result of waiting for the acknowledgement of a write.
type ackResult int

const (
	ackConfirmed ackResult = iota // the write survives the loss of its primary
	ackCutOff                     // a newer term serves without the write
	ackUnknown                    // neither was found out before the deadline
)

// awaitAck waits until the write at position is known to survive the loss of
// its primary, or to be cut off by a newer term.
func (g *Group) awaitAck(ctx context.Context, position pollendoor.Position) ackResult {
	answered := time.Now()
	result := ackUnknown
	g.await(ctx, func(v *view) bool {
		switch {
		case v.record.Term > position.Term && v.record.Phase == pollendoor.Serving:
			result = ackCutOff
			if v.record.Lineage.Contains(position, v.record.Term) {
				result = ackConfirmed
			}
		case v.record.Term == position.Term && replicaHolds(v, position, answered):
			result = ackConfirmed
		}
		return result != ackUnknown
	})
	return result
}

// replicaHolds reports whether a replica of the write's term holds the entry,
// according to a status requested after the primary answered.
func replicaHolds(v *view, position pollendoor.Position, answered time.Time) bool {
	for _, m := range v.members {
		sample := m.observed.Load()
		if sample != nil && sample.RequestedAt.After(answered) && group.Attests(sample.Status, position) {
			return true
		}
	}
	return false
}

// replicationTimeout is how long a read at the primary waits for a replica to
// hold what the read saw. A replica that takes longer is probably partitioned
// from the primary.
const replicationTimeout = time.Second

// awaitReplicated waits until everything that a read at the primary may have
// seen is known to survive the loss of the primary, that is, until a replica
// has held the log up to the index that the primary reports after the read. It
// returns the empty string, or the reason if that did not happen within
// replicationTimeout.
func (g *Group) awaitReplicated(ctx context.Context, primary string, term pollendoor.Term) string {
	ctx, cancel := context.WithTimeout(ctx, replicationTimeout)
	defer cancel()
	readAt := time.Now()
	var readIndex uint64
	ok := g.await(ctx, func(v *view) bool {
		if v.record.Term != term {
			return true // handled after the wait
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

// replicatedIndex returns the highest index that a replica of the record's term
// is known to hold.
func replicatedIndex(v *view) uint64 {
	var newest uint64
	for _, m := range v.members {
		if sample := m.observed.Load(); sample != nil && sample.Status.Role == pollendoor.Replica && sample.Status.Term == v.record.Term {
			newest = max(newest, sample.Status.Index)
		}
	}
	return newest
}
