package home

import (
	"context"
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
