package runner

import (
	"context"
	"fmt"
	"time"

	"github.com/pollendoor/pollendoor"
	"github.com/pollendoor/pollendoor/group"
	"github.com/pollendoor/pollendoor/route"
)

// choice narrows where an attempt may go, by what became of the one before.
type choice struct {
	primary bool   // to the primary only
	avoid   string // replica that has just failed
}

// pick chooses the target for an attempt, waiting for one as long as ctx lasts.
// The view it returns is the one the choice was made on.
func (g *Group) pick(ctx context.Context, x *pollendoor.Exchange, how choice) (*member, *view, *pollendoor.Refusal) {
	if x.Class == pollendoor.AnyRead && !how.primary {
		m, v, refusal := g.pickReplica(ctx, x, how.avoid)
		if m != nil || refusal != nil {
			return m, v, refusal
		}
	}
	var m *member
	var v *view
	var why string
	ok := g.await(ctx, func(cur *view) bool {
		v = cur
		m, why = g.primary(cur, x)
		return m != nil
	})
	if !ok {
		return nil, v, pollendoor.Refuse(pollendoor.CodeNoPrimary, "no primary of "+g.name+" takes the statement", why)
	}
	return m, v, nil
}

func (g *Group) pickReplica(ctx context.Context, x *pollendoor.Exchange, avoid string) (*member, *view, *pollendoor.Refusal) {
	v := g.view.Load()
	need := route.Requirements{Position: x.Position, MaxAge: x.MaxAge, Zone: g.host.opt.Zone}
	i, verdict := route.Choose(&v.rec, candidates(v, avoid), need, time.Now())
	switch verdict {
	case route.ToReplica:
		return v.members[i], v, nil
	case route.PositionLost:
		return nil, v, g.lostWrite(x, v)
	case route.ReplicaSoon:
		wait, cancel := context.WithTimeout(ctx, route.CatchUpWait)
		defer cancel()
		var m *member
		g.await(wait, func(cur *view) bool {
			i, verdict := route.Choose(&cur.rec, candidates(cur, avoid), need, time.Now())
			if verdict == route.ToReplica {
				m, v = cur.members[i], cur
			}
			return m != nil
		})
		return m, v, nil
	}
	return nil, v, nil
}

func (g *Group) lostWrite(x *pollendoor.Exchange, v *view) *pollendoor.Refusal {
	cause := fmt.Sprintf("the session depends on %s, which the lineage of term %d of %s does not hold", x.Position, v.rec.Term, g.name)
	g.explain("lostWrite", cause)
	return pollendoor.Refuse(pollendoor.CodeLostWrite, "a write that this session depends on was lost", cause)
}

// primary returns the member that may be sent a statement for the primary, or
// why there is none.
func (g *Group) primary(v *view, x *pollendoor.Exchange) (*member, string) {
	now := time.Now()
	if v.rec.Phase != pollendoor.Serving {
		return nil, fmt.Sprintf("term %d is %s", v.rec.Term, v.rec.Phase)
	}
	if x.Position.Term > v.rec.Term {
		return nil, fmt.Sprintf("the session has seen term %d, this VM knows %d", x.Position.Term, v.rec.Term)
	}
	m := v.member(v.rec.Primary)
	if m == nil {
		return nil, "the primary is not among the targets"
	}
	down, cause := group.Down(group.Sight{Record: &v.rec, Seen: v.seen(), Since: g.watching()}, now)
	if down {
		return nil, cause
	}
	if x.Class == pollendoor.MustWrite && x.Ack != pollendoor.AckBlind && !group.CanAttest(&v.rec, v.seen(), now) {
		return nil, fmt.Sprintf("no replica attested term %d within %s", v.rec.Term, group.AttestFresh)
	}
	if x.Class == pollendoor.AnyRead && x.MaxAge > 0 && !g.current(v, x.MaxAge, now) {
		return nil, fmt.Sprintf("no replica attested term %d within the wanted age of %s", v.rec.Term, x.MaxAge)
	}
	return m, ""
}

// current reports whether the primary's reads are provably no older than limit.
// As long as a replica of its term is not fenced, no majority without the
// primary is.
func (g *Group) current(v *view, limit time.Duration, now time.Time) bool {
	for _, m := range v.members {
		s := m.seen.Load()
		if s != nil && now.Sub(s.Asked) <= limit && group.Attests(s.Status, pollendoor.Position{Term: v.rec.Term}) {
			return true
		}
	}
	return false
}
