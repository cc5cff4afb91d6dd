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
	acked ackResult = iota
	cutOff
	unsure
)

// awaitAck waits until the write at p is known to outlive its primary, or to be
// cut off by a newer term.
func (g *Group) awaitAck(ctx context.Context, p pollendoor.Position) ackResult {
	answered := time.Now()
	result := unsure
	g.await(ctx, func(v *view) bool {
		switch {
		case v.rec.Term > p.Term && v.rec.Phase == pollendoor.Serving:
			result = cutOff
			if v.rec.Lineage.Holds(p, v.rec.Term) {
				result = acked
			}
		case v.rec.Term == p.Term && attested(v, p, answered):
			result = acked
		}
		return result != unsure
	})
	return result
}

// attested reports whether a replica of the write's term, asked after the
// primary answered, has the entry.
func attested(v *view, p pollendoor.Position, answered time.Time) bool {
	for _, m := range v.members {
		s := m.seen.Load()
		if s != nil && s.Asked.After(answered) && group.Attests(s.Status, p) {
			return true
		}
	}
	return false
}

// stableWait is how long a read at the primary waits for a replica to hold what
// it saw. A replica that takes longer is likely to be cut off.
const stableWait = time.Second

// awaitStable waits until all that a read at the primary may have seen is known
// to outlive it: what the primary has after the read was at a replica at some
// time. It returns why that did not happen within stableWait, empty if it did.
func (g *Group) awaitStable(ctx context.Context, primary string, term pollendoor.Term) string {
	ctx, cancel := context.WithTimeout(ctx, stableWait)
	defer cancel()
	read := time.Now()
	var upTo uint64
	ok := g.await(ctx, func(v *view) bool {
		if v.rec.Term != term {
			return true // decided below
		}
		m := v.member(primary)
		if m == nil {
			return false
		}
		if s := m.seen.Load(); upTo == 0 && s != nil && s.Asked.After(read) {
			upTo = s.Status.Index
		}
		return upTo > 0 && attestedIndex(v) >= upTo
	})
	v := g.view.Load()
	if ok && v.rec.Term == term {
		return ""
	}
	return fmt.Sprintf("%s: read in term %d up to index %d, now term %d, replicas were seen up to %d", Unproven, term, upTo, v.rec.Term, attestedIndex(v))
}

// attestedIndex returns the newest index that a replica of the record's term
// has been seen to hold.
func attestedIndex(v *view) uint64 {
	var most uint64
	for _, m := range v.members {
		if s := m.seen.Load(); s != nil && s.Status.Role == pollendoor.Replica && s.Status.Term == v.rec.Term {
			most = max(most, s.Status.Index)
		}
	}
	return most
}
