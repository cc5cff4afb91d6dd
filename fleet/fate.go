package fleet

import (
	"sync"
	"time"

	"github.com/pollendoor/pollendoor"
	"github.com/pollendoor/pollendoor/clock"
	"github.com/pollendoor/pollendoor/lease"
	"github.com/pollendoor/pollendoor/sample"
)

// fate is what this VM has seen of a group's primary.
type fate struct {
	mu sync.Mutex
	evidence
}

// evidence is what was seen of a primary in one epoch.
type evidence struct {
	epoch   uint64
	ok      time.Duration // when a request was sent that it answered
	last    time.Duration // last contact of any kind
	failing time.Duration // since when it does not answer, zero if it does
	refused bool
	demoted bool
	newest  sample.Sample // seen by this VM itself
}

// contact returns when the primary was last contacted.
func (f *fate) contact() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.last
}

// observe takes a contact of a broker with a target.
func (v *VM) observe(t pollendoor.TargetInfo, r pollendoor.Reply, sent time.Duration) {
	l := v.lease.Load()
	g, ok := l.Record.Groups[t.Group]
	if !ok || g.Primary != t.ID {
		return
	}
	now := clock.Now()
	f := v.fate(t.Group)
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.epoch != g.Epoch {
		f.evidence = evidence{epoch: g.Epoch}
	}
	f.last = now
	switch {
	case r.Lost:
		if f.failing == 0 {
			f.failing = max(sent, 1)
		}
		f.refused = f.refused || r.Code != "" && now-sent < refusedWithin
	case r.Code == pollendoor.ErrMisrouted && !r.Sent:
		if f.failing == 0 {
			f.failing = max(sent, 1)
		}
	case r.Code == pollendoor.ErrReadOnly:
		f.demoted = true
	default:
		f.failing, f.refused = 0, false
		f.ok = max(f.ok, sent)
		if !r.Position.IsZero() && l.Holds(t.Group, g.Epoch, now) {
			s := sample.Sample{Since: sent, Position: r.Position}
			v.ring(t.Group).Add(s)
			if s.Since > f.newest.Since {
				f.newest = s
			}
		}
	}
}

// refusedWithin tells a refused connection from one that timed out.
const refusedWithin = 300 * time.Millisecond

// report returns what the duty holder is told of a group.
func (f *fate) report(epoch uint64, now time.Duration) (lease.Report, sample.Sample, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.epoch != epoch || f.last == 0 {
		return lease.Report{}, sample.Sample{}, false
	}
	r := lease.Report{Epoch: epoch, OKAge: -1, Refused: f.refused, Demoted: f.demoted}
	if f.ok > 0 {
		r.OKAge = now - f.ok
	}
	if f.failing > 0 {
		r.Failing = max(1, now-f.failing)
	}
	return r, f.newest, true
}
