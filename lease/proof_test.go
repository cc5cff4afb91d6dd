package lease_test

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/pollendoor/pollendoor"
	"github.com/pollendoor/pollendoor/lease"
)

// Guards against the loss of commits that were acknowledged in an earlier term: no replica has
// followed the new primary, the other holder has left for good, and the primary crashes.
func TestPrimaryThatAloneHasTheStartOfItsTermIsAwaited(t *testing.T) {
	g := lease.Group{Epoch: 2, Primary: "new", Term: 2, Start: pollendoor.Position{Term: 1, Index: 9}}.Move(false)
	behind := replicaAt("behind", 5)
	current := leading(replicaAt("new", 9))
	current.Status.Term = 2
	reborn := replicaAt("new", 0)
	both := []pollendoor.TargetInfo{behind.Target, current.Target}
	alone := both[:1]
	for _, tc := range []struct {
		name         string
		syncReplicas int
		listed       []pollendoor.TargetInfo
		answers      []lease.Candidate
		after        time.Duration
		want         string
		wait         lease.Wait
	}{
		{"the primary does not answer", 1, both, []lease.Candidate{behind}, 0, "", lease.WaitStart},
		{"nor later, while it is listed", 1, both, []lease.Candidate{behind}, time.Minute, "", lease.WaitStart},
		{"its entry is gone", 1, alone, []lease.Candidate{behind}, 14 * time.Second, "", lease.WaitStart},
		{"it does not return", 1, alone, []lease.Candidate{behind}, 15 * time.Second, "behind", lease.WaitNone},
		{"it has started again without its log", 1, both, []lease.Candidate{behind, reborn}, 0, "behind", lease.WaitNone},
		{"it returns", 1, both, []lease.Candidate{behind, current}, 0, "new", lease.WaitNone},
		{"a replica has followed it", 1, both, []lease.Candidate{replicaAt("behind", 9)}, 0, "behind", lease.WaitNone},
		{"without synchronous replicas", 0, both, []lease.Candidate{behind}, 0, "behind", lease.WaitNone},
	} {
		s := lease.Succession{Known: pollendoor.Position{Term: 1, Index: 9}}
		got := s.Next(g, tc.syncReplicas, tc.listed, tc.answers, time.Minute)
		if tc.after > 0 {
			got = s.Next(g, tc.syncReplicas, tc.listed, tc.answers, time.Minute+tc.after)
		}
		if got.Next.Target.ID != tc.want || got.Wait != tc.wait {
			t.Errorf("%s: got %q (wait %q), want %q (wait %q)", tc.name, got.Next.Target.ID, got.Wait, tc.want, tc.wait)
		}
	}
}

// The record, over changes of the leader, names all that may hold acknowledged commits.
// Targets stop receiving, lose their entries for a while, don't answer and leave for good, as
// many in all as a commit has replicas. Each primary must have every acknowledged commit.
func TestAcknowledgedCommitsOutlastLeadersAndTargets(t *testing.T) {
	const (
		tick     = 250 * time.Millisecond
		maxLapse = 10 * time.Second // entries of targets that run are back by then
	)
	rapid.Check(t, func(t *rapid.T) {
		type target struct {
			info        pollendoor.TargetInfo
			term        pollendoor.Term // term that it leads or follows
			leads       bool
			log         []pollendoor.Term // terms of the entries
			deaf, left  bool
			lapsedSince time.Duration // when its entry lapsed, zero if it is listed
		}
		n := rapid.IntRange(2, 5).Draw(t, "targets")
		syncReplicas := rapid.IntRange(1, n-1).Draw(t, "syncReplicas")
		all := make([]*target, n)
		for i := range all {
			all[i] = &target{info: pollendoor.TargetInfo{ID: string(rune('a' + i)), Addr: "h:" + string(rune('1'+i)), Born: 1}, term: 1}
		}
		primary, acked, leaves := all[0], []pollendoor.Term(nil), syncReplicas
		primary.leads = true
		g := lease.Group{Epoch: 1, Primary: primary.info.ID, Term: 1}
		var w lease.HolderWatch
		now := time.Minute
		position := func(log []pollendoor.Term) pollendoor.Position {
			if len(log) == 0 {
				return pollendoor.Position{}
			}
			return pollendoor.Position{Term: log[len(log)-1], Index: uint64(len(log))}
		}
		listed := func() []pollendoor.TargetInfo {
			var list []pollendoor.TargetInfo
			for _, c := range all {
				if c.lapsedSince > 0 && now-c.lapsedSince >= maxLapse {
					c.lapsedSince = 0
				}
				if !c.left && c.lapsedSince == 0 {
					list = append(list, c.info)
				}
			}
			return list
		}
		g = w.Next("g", g, listed(), position(primary.log), now)
		replace := func(planned bool) {
			g = g.Move(planned)
			var s lease.Succession
			for ; g.Moving; now += tick {
				if rapid.IntRange(0, 9).Draw(t, "leader") == 0 {
					s, w = lease.Succession{}, lease.HolderWatch{}
				}
				var answers []lease.Candidate
				for _, c := range all {
					if c.left || !rapid.Bool().Draw(t, "answers") {
						continue
					}
					p := position(c.log)
					st := pollendoor.TargetStatus{Role: pollendoor.Replica, Term: c.term, LastTerm: p.Term, Index: p.Index}
					if c.leads {
						st.Role = pollendoor.Primary
					}
					answers = append(answers, lease.Candidate{Target: c.info, Status: st})
				}
				choice := s.Next(g, syncReplicas, listed(), answers, now)
				if choice.Wait != lease.WaitNone {
					continue
				}
				next := all[slices.IndexFunc(all, func(c *target) bool { return c.info.ID == choice.Next.Target.ID })]
				if choice.Promote {
					next.term, next.leads = g.Term+1, true
				}
				primary = next
				g = w.Settle("g", g, choice.Next, primary.term, syncReplicas, listed(), now)
			}
			if len(primary.log) < len(acked) || !slices.Equal(primary.log[:len(acked)], acked) {
				t.Fatalf("log of %s: got %v, want it to begin with %v", primary.info.ID, primary.log, acked)
			}
		}
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			now += tick
			c := all[rapid.IntRange(0, n-1).Draw(t, "target")]
			switch rapid.IntRange(0, 6).Draw(t, "step") {
			case 0:
				c.deaf = !c.deaf
			case 1:
				if c.lapsedSince == 0 {
					c.lapsedSince = now
				} else {
					c.lapsedSince = 0
				}
			case 2:
				if c.left || leaves == 0 {
					continue
				}
				c.left, c.deaf, c.leads = true, true, false
				leaves--
				if c == primary {
					replace(false)
				}
				now += time.Minute
			case 3, 4:
				primary.log = append(primary.log, g.Term)
				received := 0
				for _, c := range all {
					if c != primary && !c.deaf && rapid.Bool().Draw(t, "receives") {
						c.term, c.leads, c.log = g.Term, false, slices.Clone(primary.log)
					}
					if c != primary && !c.left && c.term == g.Term && slices.Equal(c.log, primary.log) {
						received++
					}
				}
				if received >= syncReplicas {
					acked = slices.Clone(primary.log)
				}
			default:
				replace(rapid.Bool().Draw(t, "planned"))
			}
			g = w.Next("g", g, listed(), position(primary.log), now)
		}
	})
}

// Guards against the use of a superseded primary: after the store has come back from an older
// copy, the record names it, and the later primary or those that follow it don't answer.
func TestForgottenPrimaryIsAwaited(t *testing.T) {
	inTerm := func(term pollendoor.Term, c lease.Candidate) lease.Candidate {
		c.Status.Term = term
		return c
	}
	claims := func(c lease.Candidate) lease.Candidate {
		c.Target.Primary = true
		return c
	}
	old, later := claims(leading(replicaAt("old", 9))), claims(inTerm(2, leading(replicaAt("later", 9))))
	other, follows := replicaAt("other", 9), inTerm(2, replicaAt("other", 9))
	var record lease.Record
	record.Groups = map[string]lease.Group{"g": {Epoch: 1, Primary: "old", Term: 1}}
	forgotten := record.InEra(2).Groups["g"]
	known := lease.Group{Epoch: 1, Primary: "old", Term: 1}.Move(false)
	list := func(c ...lease.Candidate) []lease.Candidate { return c }
	for _, tc := range []struct {
		name         string
		g            lease.Group
		syncReplicas int
		targets      []lease.Candidate
		answers      []lease.Candidate
		known        pollendoor.Position
		want         string
		promote      bool
		wait         lease.Wait
	}{
		{"the later primary is frozen", forgotten, 0, list(old, later, other), list(old, other), pollendoor.Position{}, "", false, lease.WaitRival},
		{"its entry is gone", forgotten, 0, list(old, other), list(old, other), pollendoor.Position{}, "old", false, lease.WaitNone},
		{"a replica follows it", forgotten, 0, list(old, other), list(old, follows), pollendoor.Position{}, "old", true, lease.WaitNone},
		{"VMs have seen it", forgotten, 0, list(old, other), list(old, other), pollendoor.Position{Term: 2, Index: 9}, "old", true, lease.WaitNone},
		{"one synchronous replica, which is away", forgotten, 1, list(old, other), list(old), pollendoor.Position{}, "", false, lease.WaitRival},
		{"one synchronous replica, which follows no later term", forgotten, 1, list(old, other), list(old, other), pollendoor.Position{}, "old", false, lease.WaitNone},
		{"the later primary answers", forgotten, 1, list(old, later, other), list(old, later, other), pollendoor.Position{}, "later", false, lease.WaitNone},
		{"nothing was forgotten", known, 0, list(old, later, other), list(old, other), pollendoor.Position{}, "old", false, lease.WaitNone},
		{"a late promotion has taken effect", known, 0, list(old, other), list(old, follows), pollendoor.Position{}, "old", true, lease.WaitNone},
	} {
		s := lease.Succession{Known: tc.known}
		var targets []pollendoor.TargetInfo
		for _, c := range tc.targets {
			targets = append(targets, c.Target)
		}
		got := s.Next(tc.g, tc.syncReplicas, targets, tc.answers, second)
		if got.Next.Target.ID != tc.want || got.Promote != tc.promote || got.Wait != tc.wait {
			t.Errorf("%s: got %q (promote %t, wait %q), want %q (promote %t, wait %q)", tc.name, got.Next.Target.ID, got.Promote, got.Wait, tc.want, tc.promote, tc.wait)
		}
	}
	if g := forgotten.Settle("old", 1); g.Unsure {
		t.Errorf("a group that has settled: got %+v, want it sure", g)
	}
}

// Guards against the use of a former primary in a group that the record does not name, while
// the primary of a later term does not answer.
func TestUnrecorded(t *testing.T) {
	inTerm := func(term pollendoor.Term, c lease.Candidate) lease.Candidate {
		c.Status.Term = term
		return c
	}
	old, later := leading(replicaAt("old", 9)), inTerm(2, leading(replicaAt("later", 9)))
	later.Target.Primary, old.Target.Primary = true, true
	other, follows := replicaAt("other", 9), inTerm(2, replicaAt("other", 9))
	list := func(c ...lease.Candidate) []lease.Candidate { return c }
	for _, tc := range []struct {
		name             string
		targets, answers []lease.Candidate
		want             string
	}{
		{"all answer", list(old, later, other), list(old, later, other), "later"},
		{"only the primary answers", list(old, other), list(old), "old"},
		{"the later primary does not answer", list(old, later, other), list(old, other), ""},
		{"its entry is gone, a replica follows it", list(old, other), list(old, follows), ""},
		{"no primary", list(old, other), list(other), ""},
		{"nobody", list(old, other), nil, ""},
	} {
		var targets []pollendoor.TargetInfo
		for _, c := range tc.targets {
			targets = append(targets, c.Target)
		}
		got, ok := lease.Unrecorded(targets, tc.answers)
		if !ok {
			got = lease.Candidate{}
		}
		if got.Target.ID != tc.want {
			t.Errorf("%s: got %q, want %q", tc.name, got.Target.ID, tc.want)
		}
	}
}
