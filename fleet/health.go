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
type primaryHealth struct {
	mu sync.Mutex
	primaryEvidence
}

// evidence is what was seen of a primary in one epoch.
type primaryEvidence struct {
	epoch        uint64
	lastOK       time.Duration // when a request was sent that it answered
	lastContact  time.Duration // last contact of any kind
	failingSince time.Duration // since when it does not answer, zero if it does
	connRefused  bool
	demoted      bool
	newestSample sample.Sample // seen by this VM itself
}

// contact returns when the primary was last contacted.
func (f *primaryHealth) contactTime() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.lastContact
}

// observe takes a contact of a broker with a target.
func (v *VM) observeReply(t pollendoor.TargetInfo, r pollendoor.Reply, sent time.Duration) {
	l := v.lease.Load()
	g, ok := l.Record.Groups[t.Group]
	if !ok || g.Primary != t.ID {
		return
	}
	now := clock.Now()
	f := v.primaryHealth(t.Group)
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.epoch != g.Epoch {
		f.primaryEvidence = primaryEvidence{epoch: g.Epoch}
	}
	f.lastContact = now
	switch {
	case r.Lost:
		if f.failingSince == 0 {
			f.failingSince = max(sent, 1)
		}
		f.connRefused = f.connRefused || r.Code != "" && now-sent < connRefusedWithin
	case r.Code == pollendoor.ErrMisrouted && !r.Sent:
		if f.failingSince == 0 {
			f.failingSince = max(sent, 1)
		}
	case r.Code == pollendoor.ErrReadOnly:
		f.demoted = true
	default:
		f.failingSince, f.connRefused = 0, false
		f.lastOK = max(f.lastOK, sent)
		if !r.Position.IsZero() && l.Holds(t.Group, g.Epoch, now) {
			s := sample.Sample{Since: sent, Position: r.Position}
			v.positionRing(t.Group).Add(s)
			if s.Since > f.newestSample.Since {
				f.newestSample = s
			}
		}
	}
}

// refusedWithin tells a refused connection from one that timed out.
const connRefusedWithin = 300 * time.Millisecond

// report returns what the duty holder is told of a group.
func (f *primaryHealth) report(epoch uint64, now time.Duration) (lease.Report, sample.Sample, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.epoch != epoch || f.lastContact == 0 {
		return lease.Report{}, sample.Sample{}, false
	}
	r := lease.Report{Epoch: epoch, OKAge: -1, Refused: f.connRefused, Demoted: f.demoted}
	if f.lastOK > 0 {
		r.OKAge = now - f.lastOK
	}
	if f.failingSince > 0 {
		r.Failing = max(1, now-f.failingSince)
	}
	return r, f.newestSample, true
}
