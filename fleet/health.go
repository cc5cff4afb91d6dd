package fleet

import (
	"sync"
	"time"

	"github.com/pollendoor/pollendoor"
	"github.com/pollendoor/pollendoor/clock"
	"github.com/pollendoor/pollendoor/lease"
	"github.com/pollendoor/pollendoor/sample"
)

// primaryHealth is what this VM has observed of a group's primary.
type primaryHealth struct {
	mu sync.Mutex
	primaryEvidence
}

// primaryEvidence is what was observed of a primary in one epoch.
type primaryEvidence struct {
	epoch        uint64
	lastOK       time.Duration // when the last request was sent that it answered
	lastContact  time.Duration // when the last contact of any kind took place, failures included
	failingSince time.Duration // when it stopped answering, zero if it answers
	connRefused  bool
	demoted      bool
	lostLog      bool          // it lacks a position that it had
	newestSample sample.Sample // newest log position that this VM has read from it
}

// contactTime returns when the primary was last contacted.
func (h *primaryHealth) contactTime() time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.lastContact
}

// observeReply records the outcome of a broker's request to a target.
func (v *VM) observeReply(t pollendoor.TargetInfo, r pollendoor.Reply, sent time.Duration) {
	l := v.lease.Load()
	g, ok := l.Record.Groups[t.Group]
	if !ok || g.Primary != t.ID {
		return
	}
	now := clock.Now()
	h := v.primaryHealth(t.Group)
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.epoch != g.Epoch {
		h.primaryEvidence = primaryEvidence{epoch: g.Epoch}
	}
	h.lastContact = now
	switch {
	case r.Lost:
		if h.failingSince == 0 {
			h.failingSince = max(sent, 1)
		}
		h.connRefused = h.connRefused || r.ConnRefused
	case r.Code == pollendoor.ErrMisrouted && !r.Sent:
		if h.failingSince == 0 {
			h.failingSince = max(sent, 1)
		}
	case r.Code == pollendoor.ErrReadOnly:
		h.demoted = true
	case r.Code == pollendoor.ErrLagging && v.reached(h, t.Group, g).Newer(r.Position):
		h.lostLog = true
	default:
		h.failingSince, h.connRefused = 0, false
		if !h.demoted && !h.lostLog { // otherwise only reads succeed
			h.lastOK = max(h.lastOK, sent)
		}
		if !r.Position.IsZero() && l.Holds(t.Group, g.Epoch, now) {
			s := sample.Sample{Since: sent, Position: r.Position}
			v.positionRing(t.Group).Add(s)
			if s.Since > h.newestSample.Since {
				h.newestSample = s
			}
		}
	}
}

// reachedPosition returns a position that the log of a primary has reached in the present
// epoch, and zero for other targets.
func (v *VM) reachedPosition(t pollendoor.TargetInfo) pollendoor.Position {
	g := v.lease.Load().Record.Groups[t.Group]
	if g.Primary != t.ID {
		return pollendoor.Position{}
	}
	h := v.primaryHealth(t.Group)
	h.mu.Lock()
	defer h.mu.Unlock()
	return v.reached(h, t.Group, g)
}

// reached is reachedPosition for the primary of a group. The caller holds h.mu.
func (v *VM) reached(h *primaryHealth, group string, g lease.Group) pollendoor.Position {
	if h.epoch == g.Epoch && !h.newestSample.Position.IsZero() {
		return h.newestSample.Position
	}
	// Another home VM has read it. Entries of an earlier term may have been rolled back.
	if s, ok := v.positionRing(group).Newest(); ok && s.Position.Term == g.Term {
		return s.Position
	}
	return pollendoor.Position{}
}

// report returns what a heartbeat reports to the leader about a group's primary. It
// reports false if there is nothing for this epoch.
func (h *primaryHealth) report(epoch uint64, now time.Duration) (lease.Report, sample.Sample, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.epoch != epoch || h.lastContact == 0 {
		return lease.Report{}, sample.Sample{}, false
	}
	r := lease.Report{Epoch: epoch, OKAge: -1, Refused: h.connRefused, Demoted: h.demoted, LostLog: h.lostLog}
	if h.lastOK > 0 {
		r.OKAge = now - h.lastOK
	}
	if h.failingSince > 0 {
		r.Failing = max(1, now-h.failingSince)
	}
	return r, h.newestSample, true
}
