package group_test

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/pollendoor/pollendoor"
	"github.com/pollendoor/pollendoor/group"
)

// TestNewestEntryIsChosen guards against choosing a target by the term that it
// follows. A target that follows the newest term but ends below the term's
// branch has an older last entry than a target of an earlier term with more
// entries.
func TestNewestEntryIsChosen(t *testing.T) {
	rec := &pollendoor.GroupRecord{
		Targets: []pollendoor.TargetAddr{{Name: "t1"}, {Name: "t2"}},
		Lineage: pollendoor.Lineage{{Term: 1}, {Term: 2, After: 10}},
	}
	fenced := map[string]pollendoor.TargetStatus{
		"t1": {Name: "t1", Term: 2, Index: 9},
		"t2": {Name: "t2", Term: 1, Index: 10},
	}
	if got := group.NewestTarget(rec, fenced).Name; got != "t2" {
		t.Errorf("got %s, want t2", got)
	}
}

// TestNoPurgeAtCutOffPrimary checks that no internal write is sent to a primary
// that no replica attests.
func TestNoPurgeAtCutOffPrimary(t *testing.T) {
	now := time.Unix(1000, 0)
	rec := &pollendoor.GroupRecord{Term: 2, Phase: pollendoor.Serving, Primary: "t1", Targets: []pollendoor.TargetAddr{{Name: "t1"}, {Name: "t2"}}}
	replica := pollendoor.TargetStatus{Role: pollendoor.Replica, Term: 2, Fenced: 2, Index: 9}
	for _, tc := range []struct {
		name        string
		requestedAt time.Time
		lastPurge   time.Time
		want        bool
	}{
		{"recent status of the replica", now, now.Add(-time.Hour), true},
		{"old status of the replica", now.Add(-5 * time.Second), now.Add(-time.Hour), false},
		{"purged recently", now, now.Add(-time.Second), false},
	} {
		seen := map[string]group.Observed{"t2": {Status: replica, RequestedAt: tc.requestedAt}}
		if got := group.ShouldPurge(rec, seen, tc.lastPurge, now); got != tc.want {
			t.Errorf("%s: got %v, want %v", tc.name, got, tc.want)
		}
	}
}

func TestPromotionNeedsAgreementOfAnotherZone(t *testing.T) {
	now := time.Unix(100, 0)
	rec := &pollendoor.GroupRecord{Term: 3, Phase: pollendoor.Serving, Primary: "t1", Targets: []pollendoor.TargetAddr{{Name: "t1"}}}
	evidence := func(votes ...group.HealthVote) group.Evidence {
		return group.Evidence{Record: rec, Zone: "a", ChangedAt: now.Add(-time.Hour), WatchedSince: now.Add(-time.Minute), HealthVotes: votes}
	}
	other := group.HealthVote{Zone: "b", Term: 3, ReceivedAt: now}
	agreeing := group.HealthVote{Zone: "c", Term: 3, Down: true, ReceivedAt: now}
	old := group.HealthVote{Zone: "b", Term: 3, ReceivedAt: now.Add(-time.Minute)}
	tests := []struct {
		name string
		s    group.Evidence
		want bool
	}{
		{"no votes", evidence(), true},
		{"a VM in another zone reports the primary as up", evidence(other), false},
		{"one of two zones agrees", evidence(other, agreeing), true},
		{"the vote is too old", evidence(old), true},
	}
	for _, tc := range tests {
		if got, _ := group.ShouldPromote(tc.s, now); got != tc.want {
			t.Errorf("%s: got %v, want %v", tc.name, got, tc.want)
		}
	}
}

// TestResumedVMDoesNotPromote checks that a VM that was paused for seconds
// restarts its watch of the primary after it resumes and does not claim a term
// immediately.
func TestResumedVMDoesNotPromote(t *testing.T) {
	now := time.Unix(100, 0)
	rec := &pollendoor.GroupRecord{Term: 3, Phase: pollendoor.Serving, Primary: "t1", Targets: []pollendoor.TargetAddr{{Name: "t1"}}}
	seen := map[string]group.Observed{"t1": {Status: pollendoor.TargetStatus{Role: pollendoor.Primary, Term: 3}, RequestedAt: now.Add(-3 * time.Second)}}
	s := group.Evidence{Record: rec, Observed: seen, ChangedAt: now.Add(-time.Hour), WatchedSince: now.Add(-time.Hour)}
	if got, _ := group.ShouldPromote(s, now); !got {
		t.Error("got no promotion of a primary unseen for 3 s by a VM that was not paused, want one")
	}
	if !group.WasPaused(now.Add(-3*time.Second), now) || group.WasPaused(now.Add(-50*time.Millisecond), now) {
		t.Error("got a wrong pause detection, want 3 s to count as a pause and 50 ms not")
	}
	s.WatchedSince = now
	if got, cause := group.ShouldPromote(s, now.Add(100*time.Millisecond)); got {
		t.Errorf("got a promotion by a VM that just resumed (%s), want none", cause)
	}
}

// fakeTarget is an in-memory target with its status and log.
type fakeTarget struct {
	status pollendoor.TargetStatus
	log    []pollendoor.Position
}

// simulation holds a store, three targets and several promoters. The actions of
// the promoters are carried out in random order, with delay or not at all.
type simulation struct {
	rec       pollendoor.GroupRecord
	version   uint64
	targets   map[string]*fakeTarget
	pending   []pending
	acked     []pollendoor.Position
	nextNonce int
	now       time.Time
}

type pending struct {
	promotion *group.Promotion
	action    group.Action
}

var targetNames = []string{"t1", "t2", "t3"}

func newSimulation() *simulation {
	s := &simulation{targets: map[string]*fakeTarget{}, version: 1, now: time.Unix(0, 0)}
	for _, n := range targetNames {
		s.targets[n] = &fakeTarget{status: pollendoor.TargetStatus{Name: n, Role: pollendoor.Replica}}
		s.rec.Targets = append(s.rec.Targets, pollendoor.TargetAddr{Name: n, Addr: n})
	}
	return s
}

func (w *simulation) add(p *group.Promotion, list []group.Action) {
	for _, a := range list {
		w.pending = append(w.pending, pending{p, a})
	}
}

// execute carries out an action and returns the resulting event, or nil if the
// target refuses.
func (w *simulation) execute(a group.Action) group.Event {
	switch a := a.(type) {
	case group.WriteRecord:
		if a.Version != w.version {
			return group.WriteConflict{}
		}
		w.version++
		w.rec = a.Record
		return group.RecordWritten{Version: w.version}
	case group.ReadRecord:
		return group.RecordRead{Record: w.rec, Version: w.version}
	case group.FenceTarget:
		s := &w.targets[a.Target].status
		s.Fenced = max(s.Fenced, a.Term)
		return group.TargetFenced{Status: *s}
	case group.PromoteTarget:
		s := &w.targets[a.Target].status
		if s.Fenced > a.Term {
			return nil
		}
		s.Role, s.Term, s.Fenced = pollendoor.Primary, a.Term, a.Term
		return group.TargetPromoted{Status: *s}
	case group.JoinTarget:
		t := w.targets[a.Target]
		if t.status.Fenced > a.Term || t.status.Term > a.Term || t.status.Term == a.Term && t.status.Role == pollendoor.Primary {
			return nil
		}
		if t.status.Term < a.Term && uint64(len(t.log)) > a.After {
			t.log = t.log[:a.After]
		}
		t.status.Role, t.status.Term, t.status.Fenced = pollendoor.Replica, a.Term, a.Term
		t.status.Index = uint64(len(t.log))
		return group.TargetJoined{Target: a.Target}
	case group.WriteBarrier:
		p, ok := w.append(a.Target)
		if !ok || p.Term != a.Term {
			return nil
		}
		for _, n := range targetNames {
			if w.replicate(a.Target, n); group.Attests(w.targets[n].status, p) {
				return group.BarrierReached{}
			}
		}
	}
	return nil
}

// append writes an entry at a target, if the target considers itself the
// primary and is not fenced.
func (w *simulation) append(name string) (pollendoor.Position, bool) {
	t := w.targets[name]
	if t.status.Role != pollendoor.Primary || t.status.Fenced > t.status.Term {
		return pollendoor.Position{}, false
	}
	p := pollendoor.Position{Term: t.status.Term, Index: uint64(len(t.log)) + 1}
	t.log = append(t.log, p)
	t.status.Index = p.Index
	return p, true
}

func (w *simulation) replicate(from, to string) {
	a, b := w.targets[from], w.targets[to]
	if a.status.Role != pollendoor.Primary || b.status.Role != pollendoor.Replica || a.status.Term != b.status.Term ||
		a.status.Fenced > a.status.Term || b.status.Fenced > b.status.Term {
		return
	}
	b.log = append(b.log[:0], a.log...)
	b.status.Index = uint64(len(b.log))
}

// check asserts that a serving primary has every acknowledged entry.
func (w *simulation) check(t *rapid.T) {
	if w.rec.Phase != pollendoor.Serving {
		return
	}
	log := w.targets[w.rec.Primary].log
	for _, p := range w.acked {
		if !w.rec.Lineage.Contains(p, w.rec.Term) {
			t.Fatalf("got acknowledged entry %v cut off by lineage %v, want it kept", p, w.rec.Lineage)
		}
		if w.targets[w.rec.Primary].status.Term == w.rec.Term && (uint64(len(log)) < p.Index || log[p.Index-1] != p) {
			t.Fatalf("got no entry %v at primary %s, want every acknowledged entry", p, w.rec.Primary)
		}
	}
}

// executeRecent carries out one of the last four pending actions.
func (w *simulation) executeRecent(t *rapid.T) {
	if len(w.pending) == 0 {
		return
	}
	i := rapid.IntRange(max(0, len(w.pending)-4), len(w.pending)-1).Draw(t, "action")
	d := w.pending[i]
	ev := w.execute(d.action)
	if _, ok := d.action.(group.WriteRecord); ok && rapid.IntRange(0, 5).Draw(t, "lost") == 0 {
		ev = group.WriteUnknown{}
	}
	if ev == nil {
		return // the action stays pending and is retried later
	}
	w.pending = append(w.pending[:i], w.pending[i+1:]...)
	w.add(d.promotion, d.promotion.Handle(ev, w.now))
}

// TestNoAcknowledgedEntryIsLost runs promoters, writers and replication in
// random order. Actions are repeated, delayed or never carried out, and answers
// of the store are lost.
func TestNoAcknowledgedEntryIsLost(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newSimulation()
		t.Repeat(map[string]func(*rapid.T){
			"promote": func(t *rapid.T) {
				w.nextNonce++
				p, list := group.Begin("vm", w.rec, w.version, fmt.Sprint(w.nextNonce), "test", w.now)
				w.add(p, list)
				// The promoter may die after any number of actions. The actions
				// that it had started may still be carried out later.
				for range rapid.IntRange(1, 20).Draw(t, "steps") {
					w.executeRecent(t)
				}
			},
			"act": func(t *rapid.T) { w.executeRecent(t) },
			"write": func(t *rapid.T) {
				from, to := w.rec.Primary, rapid.SampledFrom(targetNames).Draw(t, "replica")
				if from == "" || rapid.IntRange(0, 4).Draw(t, "superseded") == 0 {
					from = rapid.SampledFrom(targetNames).Draw(t, "primary")
				}
				term := w.targets[from].status.Term
				if term > w.rec.Term || term == w.rec.Term && w.rec.Phase != pollendoor.Serving {
					t.Skip("no VM sends to this target yet")
				}
				p, ok := w.append(from)
				if !ok {
					return
				}
				if rapid.IntRange(0, 3).Draw(t, "shipped") > 0 {
					w.replicate(from, to)
				}
				if group.Attests(w.targets[to].status, p) {
					w.acked = append(w.acked, p)
				}
			},
			"rejoin": func(*rapid.T) {
				seen := map[string]group.Observed{}
				for n, x := range w.targets {
					seen[n] = group.Observed{Status: x.status, RequestedAt: w.now}
				}
				for _, r := range group.TargetsToRejoin(&w.rec, seen, w.now) {
					w.execute(group.JoinTarget{Rejoin: r})
				}
			},
			"": w.check,
		})
	})
}
