package runner

import (
	"context"
	"fmt"
	"time"

	"github.com/pollendoor/pollendoor"
	"github.com/pollendoor/pollendoor/group"
	"github.com/pollendoor/pollendoor/route"
)

// targetConstraint restricts the targets of an attempt according to the result
// of the previous attempt.
type targetConstraint struct {
	primary bool   // only the primary may be used
	exclude string // name of the replica that just failed
}

// pickTarget chooses the target for an attempt. If there is none, it waits
// until ctx ends. It also returns the view on which the choice is based.
func (g *Group) pickTarget(ctx context.Context, x *pollendoor.Exchange, constraint targetConstraint) (*member, *view, *pollendoor.Refusal) {
	if x.Class == pollendoor.AnyRead && !constraint.primary {
		m, v, refusal := g.pickReplica(ctx, x, constraint.exclude)
		if m != nil || refusal != nil {
			return m, v, refusal
		}
	}
	var m *member
	var v *view
	var cause string
	ok := g.await(ctx, func(current *view) bool {
		v = current
		m, cause = g.primary(current, x)
		return m != nil
	})
	if !ok {
		return nil, v, pollendoor.Refuse(pollendoor.CodeNoPrimary, "no primary of "+g.name+" is available for the statement", cause)
	}
	return m, v, nil
}

func (g *Group) pickReplica(ctx context.Context, x *pollendoor.Exchange, exclude string) (*member, *view, *pollendoor.Refusal) {
	v := g.view.Load()
	need := route.Requirements{Position: x.Position, MaxAge: x.MaxAge, Zone: g.host.options.Zone}
	i, verdict := route.Choose(&v.record, candidates(v, exclude), need, time.Now())
	switch verdict {
	case route.ToReplica:
		return v.members[i], v, nil
	case route.PositionLost:
		return nil, v, g.refuseLostWrite(x, v)
	case route.ReplicaSoon:
		waitCtx, cancel := context.WithTimeout(ctx, route.CatchUpWait)
		defer cancel()
		var m *member
		g.await(waitCtx, func(current *view) bool {
			i, verdict := route.Choose(&current.record, candidates(current, exclude), need, time.Now())
			if verdict == route.ToReplica {
				m, v = current.members[i], current
			}
			return m != nil
		})
		return m, v, nil
	}
	return nil, v, nil
}

func (g *Group) refuseLostWrite(x *pollendoor.Exchange, v *view) *pollendoor.Refusal {
	cause := fmt.Sprintf("the session depends on %s, which the lineage of term %d of %s does not hold", x.Position, v.record.Term, g.name)
	g.recordEvent("lostWrite", cause)
	return pollendoor.Refuse(pollendoor.CodeLostWrite, "a write that this session depends on was lost", cause)
}

// primary returns the member that may receive a statement for the primary, or
// the reason why there is none.
func (g *Group) primary(v *view, x *pollendoor.Exchange) (*member, string) {
	now := time.Now()
	if v.record.Phase != pollendoor.Serving {
		return nil, fmt.Sprintf("term %d is %s", v.record.Term, v.record.Phase)
	}
	if x.Position.Term > v.record.Term {
		return nil, fmt.Sprintf("the session has seen term %d, this VM only term %d", x.Position.Term, v.record.Term)
	}
	m := v.member(v.record.Primary)
	if m == nil {
		return nil, "the primary is not among the targets"
	}
	down, cause := group.PrimaryDown(group.Evidence{Record: &v.record, Observed: v.observed(), WatchedSince: g.watchStart()}, now)
	if down {
		return nil, cause
	}
	if x.Class == pollendoor.MustWrite && x.Ack != pollendoor.AckBlind && !group.HasAttestingReplica(&v.record, v.observed(), now) {
		return nil, fmt.Sprintf("no replica attested term %d within %s", v.record.Term, group.AttestationMaxAge)
	}
	if x.Class == pollendoor.AnyRead && x.MaxAge > 0 && !g.readsWithin(v, x.MaxAge, now) {
		return nil, fmt.Sprintf("no replica attested term %d within the requested age of %s", v.record.Term, x.MaxAge)
	}
	return m, ""
}

// readsWithin reports whether reads at the primary are proven to be no older
// than limit. As long as a replica of the primary's term is not fenced, no
// majority without the primary is fenced either.
func (g *Group) readsWithin(v *view, limit time.Duration, now time.Time) bool {
	for _, m := range v.members {
		sample := m.observed.Load()
		if sample != nil && now.Sub(sample.RequestedAt) <= limit && group.Attests(sample.Status, pollendoor.Position{Term: v.record.Term}) {
			return true
		}
	}
	return false
}
