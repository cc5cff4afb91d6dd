package lease_test

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/pollendoor/pollendoor"
	"github.com/pollendoor/pollendoor/lease"
)

// An earlier leader has ordered a promotion that takes effect a second later, and
// the old primary still reports that it leads. Choosing the old primary again
// acknowledged writes at a superseded primary (seen in cca trouble-1, in a
// partition in which leadership was taken over between order and effect).
func TestNext(t *testing.T) {
	p := func(id string, term uint64, draining bool) lease.Candidate {
		return lease.Candidate{
			Target: pollendoor.TargetInfo{ID: id, Draining: draining},
			Status: pollendoor.TargetStatus{Role: pollendoor.Primary, Term: pollendoor.Term(term), LastTerm: 1, Index: 5},
		}
	}
	empty := func(c lease.Candidate) lease.Candidate {
		c.Status.LastTerm, c.Status.Index = 0, 0
		return c
	}
	r := func(id string, index uint64) lease.Candidate {
		return lease.Candidate{
			Target: pollendoor.TargetInfo{ID: id},
			Status: pollendoor.TargetStatus{Role: pollendoor.Replica, Term: 1, LastTerm: 1, Index: index},
		}
	}
	moving := lease.Group{Epoch: 1, Primary: "old", Term: 1}.Move(false)
	for _, tc := range []struct {
		name    string
		g       lease.Group
		list    []lease.Candidate
		want    string
		promote bool
	}{
		{"false alarm", moving, []lease.Candidate{p("old", 1, false), r("a", 5)}, "old", false},
		{"old primary does not answer", moving, []lease.Candidate{r("a", 5), r("b", 6)}, "b", true},
		{"old primary is draining", moving, []lease.Candidate{p("old", 1, true), r("a", 5)}, "a", true},
		{"old primary is draining, no other target", moving, []lease.Candidate{p("old", 1, true)}, "old", false},
		{"promotion ordered, not in effect yet", moving.Order("a"), []lease.Candidate{p("old", 1, false), r("a", 5)}, "a", true},
		{"promotion ordered, another target has the same log", moving.Order("b"), []lease.Candidate{r("a", 5), r("b", 5)}, "b", true},
		{"promotion ordered, another target has a newer log", moving.Order("b"), []lease.Candidate{r("a", 6), r("b", 5)}, "a", true},
		{"promotion ordered, its target not reached", moving.Order("a"), []lease.Candidate{p("old", 1, false)}, "", false},
		{"promotion in effect, old primary still leads its term", moving.Order("a"), []lease.Candidate{p("old", 1, false), p("a", 2, false)}, "a", false},
		{"primary restarted without its log", lease.Group{Primary: "old", Term: 3}.Move(false), []lease.Candidate{empty(p("old", 1, false)), r("a", 5)}, "a", true},
		{"primary restarted without its log in the first term", moving, []lease.Candidate{empty(p("old", 1, false)), r("a", 5)}, "a", true},
		{"no target has a log yet", moving, []lease.Candidate{empty(p("old", 1, false)), r("a", 0)}, "old", false},
		{"no target answers", moving, nil, "", false},
	} {
		var s lease.Succession
		got := s.Next(tc.g, 0, nil, tc.list, second)
		if got.Next.Target.ID != tc.want || got.Promote != tc.promote || (got.Wait == lease.WaitNone) != (tc.want != "") {
			t.Errorf("%s: got %+v, want %q (promote %v)", tc.name, got, tc.want, tc.promote)
		}
	}
}

// Guards against two primaries: a target that leads is used although the promotion of
// another one, ordered by an earlier leader, takes effect later.
func TestTargetIsNotUsedWhileAnotherMayBePromoted(t *testing.T) {
	list := []lease.Candidate{
		{Target: pollendoor.TargetInfo{ID: "a"}, Status: pollendoor.TargetStatus{Role: pollendoor.Primary, Term: 2, LastTerm: 1, Index: 5}},
		replicaAt("b", 5),
	}
	moving := lease.Group{Epoch: 1, Primary: "old", Term: 1}.Move(false)
	for _, tc := range []struct {
		name        string
		g           lease.Group
		ordersEnded bool
		want        string
		promote     bool
	}{
		{"no order recorded", moving, false, "a", false},
		{"its own promotion ordered", moving.Order("a"), false, "a", false},
		{"promotion of another target ordered", moving.Order("b"), false, "b", true},
		{"promotion of another target ordered long ago", moving.Order("b"), true, "a", false},
	} {
		s := lease.Succession{OrdersEnded: tc.ordersEnded}
		got := s.Next(tc.g, 0, nil, list, time.Second)
		if got.Next.Target.ID != tc.want || got.Promote != tc.promote {
			t.Errorf("%s: got %+v, want %q (promote %v)", tc.name, got, tc.want, tc.promote)
		}
	}
}

func TestNewest(t *testing.T) {
	c := func(id string, term, index uint64, draining bool) lease.Candidate {
		return lease.Candidate{
			Target: pollendoor.TargetInfo{ID: id, Draining: draining},
			Status: pollendoor.TargetStatus{LastTerm: pollendoor.Term(term), Index: index},
		}
	}
	for _, tc := range []struct {
		name string
		list []lease.Candidate
		want string
	}{
		{"most advanced log", []lease.Candidate{c("a", 1, 5, false), c("b", 1, 7, false)}, "b"},
		{"newer term before index", []lease.Candidate{c("a", 1, 9, false), c("b", 2, 7, false)}, "b"},
		{"among equals, one that is not draining", []lease.Candidate{c("a", 1, 5, true), c("b", 1, 5, false)}, "b"},
		{"most advanced log before one that is not draining", []lease.Candidate{c("a", 1, 6, true), c("b", 1, 5, false)}, "a"},
	} {
		got, ok := lease.Newest(tc.list)
		if !ok || got.Target.ID != tc.want {
			t.Errorf("%s: got %q, want %q", tc.name, got.Target.ID, tc.want)
		}
	}
	if _, ok := lease.Newest(nil); ok {
		t.Error("no candidates: got one, want none")
	}
}

// Guards against the use of a draining primary after its time: the planned change was given
// up each time no replica had the whole log.
func TestChangeOfAnEndingPrimaryIsNotGivenUp(t *testing.T) {
	old := lease.Candidate{
		Target: pollendoor.TargetInfo{ID: "old", Draining: true},
		Status: pollendoor.TargetStatus{Role: pollendoor.Primary, Term: 1, LastTerm: 1, Index: 9},
	}
	g := lease.Group{Epoch: 1, Primary: "old", Term: 1}.Move(true)
	for _, tc := range []struct {
		ending bool
		after  time.Duration
		want   string
		wait   lease.Wait
	}{
		{false, time.Second, "", lease.WaitCatchUp},
		{false, 3 * time.Second, "old", lease.WaitNone},
		{true, 3 * time.Second, "", lease.WaitCatchUp},
		{true, 5 * time.Second, "a", lease.WaitNone},
	} {
		s := lease.Succession{Ending: tc.ending}
		list := []lease.Candidate{old, replicaAt("a", 8)}
		s.Next(g, 0, nil, list, time.Minute)
		got := s.Next(g, 0, nil, list, time.Minute+tc.after)
		if got.Next.Target.ID != tc.want || got.Wait != tc.wait {
			t.Errorf("ending %v, after %v: got %q %q, want %q %q", tc.ending, tc.after, got.Next.Target.ID, got.Wait, tc.want, tc.wait)
		}
	}
	s := lease.Succession{Ending: true}
	if got := s.Next(g, 0, nil, []lease.Candidate{old, replicaAt("a", 9)}, time.Minute); got.Next.Target.ID != "a" {
		t.Errorf("a replica with the whole log: got %+v, want it promoted", got)
	}
}

// Guards against the promotion of a target that has started again without its log, as the
// first one to answer.
func TestTargetWithoutALogIsNotPromoted(t *testing.T) {
	g := lease.Group{Epoch: 1, Primary: "old", Term: 1}.Move(false)
	s := lease.Succession{Known: pollendoor.Position{Term: 1, Index: 5}}
	empty := []lease.Candidate{replicaAt("old", 0)}
	if got := s.Next(g, 0, nil, empty, time.Second); got.Wait != lease.WaitReplica {
		t.Errorf("got %+v, want to wait for another target", got)
	}
	if got := s.Next(g, 0, nil, append(empty, replicaAt("a", 4)), 2*time.Second); got.Next.Target.ID != "a" {
		t.Errorf("got %+v, want a", got)
	}
	if got := s.Next(g, 0, nil, empty, time.Minute); got.Next.Target.ID != "old" {
		t.Errorf("no other target returns: got %+v, want the one without a log", got)
	}
}

// replicaAt returns a replica that has received the log up to an index of term 1.
func replicaAt(id string, index uint64) lease.Candidate {
	return lease.Candidate{
		Target: pollendoor.TargetInfo{ID: id},
		Status: pollendoor.TargetStatus{Role: pollendoor.Replica, Term: 1, LastTerm: 1, Index: index},
	}
}

// Guards against the loss of acknowledged commits when a replica that has received
// nothing answers and the up-to-date one is busy (review/1).
func TestSuccessionWaitsForReplicasThatMayHoldCommits(t *testing.T) {
	targets := func(ids ...string) []pollendoor.TargetInfo {
		list := make([]pollendoor.TargetInfo, 0, len(ids))
		for _, id := range ids {
			list = append(list, pollendoor.TargetInfo{ID: id})
		}
		return list
	}
	answers := func(list ...lease.Candidate) []lease.Candidate { return list }
	moving := lease.Group{Epoch: 1, Primary: "old", Term: 1}.Move(false)
	old := func(index uint64) lease.Candidate {
		c := replicaAt("old", index)
		c.Status.Role = pollendoor.Primary
		return c
	}
	for _, tc := range []struct {
		name         string
		g            lease.Group
		syncReplicas int
		answers      []lease.Candidate
		want         string
		wait         lease.Wait
	}{
		{"one of two replicas is busy", moving, 1, answers(replicaAt("a", 5)), "", lease.WaitAnswers},
		{"the same without synchronous replicas", moving, 0, answers(replicaAt("a", 5)), "a", lease.WaitNone},
		{"the same with two synchronous replicas", moving, 2, answers(replicaAt("a", 5)), "a", lease.WaitNone},
		{"both answer", moving, 1, answers(replicaAt("a", 5), replicaAt("b", 9)), "b", lease.WaitNone},
		{"only the old primary answers", moving, 1, answers(old(9)), "old", lease.WaitNone},
		{"a promotion is ordered, and the old primary shows that the replica has the whole log", moving.Order("b"), 1, answers(old(9), replicaAt("a", 9)), "a", lease.WaitNone},
		{"a promotion is ordered, and the replica lacks commits", moving.Order("b"), 1, answers(old(9), replicaAt("a", 8)), "", lease.WaitAnswers},
		{"nobody answers", moving, 1, nil, "", lease.WaitReplica},
	} {
		var s lease.Succession
		got := s.Next(tc.g, tc.syncReplicas, targets("old", "a", "b"), tc.answers, second)
		if got.Next.Target.ID != tc.want || got.Wait != tc.wait {
			t.Errorf("%s: got %q (wait %q), want %q (wait %q)", tc.name, got.Next.Target.ID, got.Wait, tc.want, tc.wait)
		}
	}

	t.Run("targets without entries are given up in the end", func(t *testing.T) {
		var s lease.Succession
		s.Next(moving, 1, targets("old", "a", "b"), nil, second)
		for _, step := range []struct {
			seconds int64
			listed  []pollendoor.TargetInfo
			wait    lease.Wait
		}{
			{7, targets("old", "a"), lease.WaitAnswers},
			{15, targets("old", "a"), lease.WaitAnswers},
			{17, targets("old", "a"), lease.WaitAnswers}, // the old primary may have the commits, too
			{31, targets("a"), lease.WaitAnswers},
			{33, targets("a"), lease.WaitNone},
		} {
			got := s.Next(moving, 1, step.listed, answers(replicaAt("a", 5)), time.Duration(step.seconds)*second)
			if got.Wait != step.wait {
				t.Errorf("after %d s: got wait %q, want %q", step.seconds, got.Wait, step.wait)
			}
		}
	})
}

// Guards against the loss of acknowledged commits that only a draining replica has
// received (review/2).
func TestDrainingReplicaWithTheNewestLogIsPromoted(t *testing.T) {
	draining := func(c lease.Candidate) lease.Candidate {
		c.Target.Draining = true
		return c
	}
	old := replicaAt("old", 9)
	old.Status.Role = pollendoor.Primary
	moving := lease.Group{Epoch: 1, Primary: "old", Term: 1}.Move(false)
	planned := lease.Group{Epoch: 1, Primary: "old", Term: 1}.Move(true)
	for _, tc := range []struct {
		name    string
		g       lease.Group
		answers []lease.Candidate
		want    string
		wait    lease.Wait
	}{
		{"newest log drains", moving, []lease.Candidate{replicaAt("a", 5), draining(replicaAt("b", 9))}, "b", lease.WaitNone},
		{"equal logs", moving, []lease.Candidate{draining(replicaAt("b", 9)), replicaAt("a", 9)}, "a", lease.WaitNone},
		{"planned change, a staying replica has the whole log", planned, []lease.Candidate{draining(old), replicaAt("a", 9), draining(replicaAt("b", 9))}, "a", lease.WaitNone},
		{"planned change, only a draining replica has the whole log", planned, []lease.Candidate{draining(old), replicaAt("a", 5), draining(replicaAt("b", 9))}, "", lease.WaitCatchUp},
	} {
		for _, syncReplicas := range []int{0, 1} {
			var s lease.Succession
			got := s.Next(tc.g, syncReplicas, nil, tc.answers, second)
			if got.Next.Target.ID != tc.want || got.Wait != tc.wait {
				t.Errorf("%s, syncReplicas %d: got %q (wait %q), want %q (wait %q)", tc.name, syncReplicas, got.Next.Target.ID, got.Wait, tc.want, tc.wait)
			}
		}
	}
}

// Commits are acknowledged once syncReplicas replicas have received them. Replicas stop
// receiving, drain and don't answer, and primaries are replaced one after the other, each of
// which says that it leads its term until it follows the next one. Each promoted target must have every acknowledged commit.
func TestPromotedTargetHasAllAcknowledgedCommits(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		type target struct {
			info  pollendoor.TargetInfo
			term  pollendoor.Term   // term that it leads or follows
			leads bool              // it says that it leads, also after it was replaced
			log   []pollendoor.Term // terms of the entries
			deaf  bool
		}
		n := rapid.IntRange(2, 5).Draw(t, "targets")
		syncReplicas := rapid.IntRange(1, n-1).Draw(t, "syncReplicas")
		all := make([]*target, n)
		for i := range all {
			all[i] = &target{info: pollendoor.TargetInfo{ID: string(rune('a' + i))}, term: 1}
		}
		primary, acked := all[0], []pollendoor.Term(nil)
		primary.leads = true
		g := lease.Group{Epoch: 1, Primary: primary.info.ID, Term: 1}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			switch rapid.IntRange(0, 5).Draw(t, "step") {
			case 0:
				c := all[rapid.IntRange(0, n-1).Draw(t, "target")]
				c.deaf = !c.deaf
			case 1:
				c := all[rapid.IntRange(0, n-1).Draw(t, "target")]
				c.info.Draining = !c.info.Draining
			case 2, 3:
				primary.log = append(primary.log, g.Term)
				received := 0
				for _, c := range all {
					if c != primary && !c.deaf && rapid.Bool().Draw(t, "receives") {
						c.term, c.leads, c.log = g.Term, false, slices.Clone(primary.log)
					}
					if c != primary && c.term == g.Term && slices.Equal(c.log, primary.log) {
						received++
					}
				}
				if received >= syncReplicas {
					acked = slices.Clone(primary.log)
				}
			default:
				g = g.Move(rapid.Bool().Draw(t, "planned"))
				var s lease.Succession
				for now := second; g.Moving; now += second {
					var targets []pollendoor.TargetInfo
					var answers []lease.Candidate
					for _, c := range all {
						targets = append(targets, c.info)
						if !rapid.Bool().Draw(t, "answers") {
							continue
						}
						st := pollendoor.TargetStatus{Role: pollendoor.Replica, Term: c.term, Index: uint64(len(c.log))}
						if c.leads {
							st.Role = pollendoor.Primary
						}
						if len(c.log) > 0 {
							st.LastTerm = c.log[len(c.log)-1]
						}
						answers = append(answers, lease.Candidate{Target: c.info, Status: st})
					}
					choice := s.Next(g, syncReplicas, targets, answers, now)
					if choice.Wait != lease.WaitNone {
						continue
					}
					i := slices.IndexFunc(all, func(c *target) bool { return c.info.ID == choice.Next.Target.ID })
					if choice.Promote {
						primary = all[i]
						primary.term, primary.leads = g.Term+1, true
					}
					g = g.Settle(primary.info.ID, primary.term)
				}
				if len(primary.log) < len(acked) || !slices.Equal(primary.log[:len(acked)], acked) {
					t.Fatalf("log of %s: got %v, want it to begin with %v", primary.info.ID, primary.log, acked)
				}
			}
		}
	})
}

// Guards against the loss of acknowledged commits: a former primary that still led its older
// term counted as having answered, but its log did not count (review/11).
func TestFormerPrimaryWithTheNewestLogIsPromoted(t *testing.T) {
	draining := func(c lease.Candidate) lease.Candidate {
		c.Target.Draining = true
		return c
	}
	inTerm := func(term pollendoor.Term, c lease.Candidate) lease.Candidate {
		c.Status.Term = term
		return c
	}
	former, behind, current := draining(leading(replicaAt("former", 9))), replicaAt("behind", 5), inTerm(2, leading(replicaAt("new", 9)))
	g := lease.Group{Epoch: 2, Primary: "new", Term: 2}
	failed, planned := g.Move(false), g.Move(true)
	list := func(c ...lease.Candidate) []lease.Candidate { return c }
	for _, tc := range []struct {
		name         string
		g            lease.Group
		syncReplicas int
		targets      []lease.Candidate
		answers      []lease.Candidate
		evacuated    string
		want         string
		wait         lease.Wait
	}{
		{"the new primary crashes", failed, 1, list(former, behind, current), list(former, behind), "", "former", lease.WaitNone},
		{"the same without synchronous replicas", failed, 0, list(former, behind, current), list(former, behind), "", "former", lease.WaitNone},
		{"the same in a planned change", planned, 1, list(former, behind, current), list(former, behind), "", "", lease.WaitPrimary},
		{"the former primary does not answer", failed, 1, list(former, behind, current), list(behind), "", "", lease.WaitAnswers},
		{"only the former primary answers", failed, 1, list(former, behind, current), list(former), "", "", lease.WaitAnswers},
		{"two targets only", failed, 1, list(former, current), list(former), "", "former", lease.WaitNone},
		{"the new primary still leads", failed, 1, list(former, behind, current), list(former, behind, current), "", "new", lease.WaitNone},
		{"a replica has a newer log", failed, 1, list(former, current), list(former, inTerm(2, replicaAt("behind", 10))), "", "behind", lease.WaitNone},
		{"the promotion of another target was ordered", failed.Order("behind"), 1, list(former, behind, current), list(former, behind), "", "former", lease.WaitNone},
		{"the new primary's zone is evacuated", failed, 1, list(former, behind, inZone("n", current)), list(former, behind), "n", "former", lease.WaitNone},
		{"the former primary's zone is evacuated", failed, 1, list(inZone("n", former), behind, current), list(inZone("n", former), behind), "n", "", lease.WaitAnswers},
		{"a target that an earlier leader promoted leads a later term", failed.Order("behind"), 1, list(former, behind, current), list(inTerm(3, leading(replicaAt("former", 9))), behind), "", "", lease.WaitAnswers},
	} {
		s := lease.Succession{Evacuated: func(zone string) bool { return zone != "" && zone == tc.evacuated }}
		var targets []pollendoor.TargetInfo
		for _, c := range tc.targets {
			targets = append(targets, c.Target)
		}
		got := s.Next(tc.g, tc.syncReplicas, targets, tc.answers, second)
		if got.Next.Target.ID != tc.want || got.Wait != tc.wait {
			t.Errorf("%s: got %q (wait %q), want %q (wait %q)", tc.name, got.Next.Target.ID, got.Wait, tc.want, tc.wait)
		}
	}
}

// Guards against the loss of acknowledged commits with syncReplicas: a promotion passed over
// a replica whose entry had left the store, one that only the former leader had seen, and one
// that had started again without its log.
func TestSuccessionWaitsForRecordedHolders(t *testing.T) {
	target := func(id string, born int64, addr string) pollendoor.TargetInfo {
		return pollendoor.TargetInfo{ID: id, Born: born, Addr: addr}
	}
	answer := func(info pollendoor.TargetInfo, index uint64) lease.Candidate {
		c := replicaAt(info.ID, index)
		c.Target = info
		return c
	}
	old, a, b := target("old", 1, "h:1"), target("a", 1, "h:2"), target("b", 1, "h:3")
	reborn, heir := target("a", 2, "h:2"), target("c", 3, "h:2")
	g := lease.Group{Epoch: 1, Primary: "old", Term: 1}.WithHolders(lease.NewHolders([]lease.Holder{{ID: "a", Born: 1, Addr: "h:2"}, {ID: "b", Born: 1, Addr: "h:3"}})).Move(false)
	for _, tc := range []struct {
		name    string
		listed  []pollendoor.TargetInfo
		answers []lease.Candidate
		after   time.Duration
		want    string
		wait    lease.Wait
	}{
		{"all answer", []pollendoor.TargetInfo{old, a, b}, []lease.Candidate{answer(a, 9), answer(b, 5)}, 0, "a", lease.WaitNone},
		{"the entry of one has left the store", []pollendoor.TargetInfo{old, b}, []lease.Candidate{answer(b, 5)}, 0, "", lease.WaitAnswers},
		{"it does not come back", []pollendoor.TargetInfo{old, b}, []lease.Candidate{answer(b, 5)}, 15 * time.Second, "", lease.WaitAnswers},
		{"nor does the old primary", []pollendoor.TargetInfo{b}, []lease.Candidate{answer(b, 5)}, 15 * time.Second, "b", lease.WaitNone},
		{"one has started again", []pollendoor.TargetInfo{old, reborn, b}, []lease.Candidate{answer(reborn, 2), answer(b, 5)}, 0, "", lease.WaitAnswers},
		{"one has started again, its entry is not known yet", []pollendoor.TargetInfo{old, a, b}, []lease.Candidate{answer(a, 0), answer(b, 5)}, 0, "", lease.WaitAnswers},
		{"its entry is not known later either", []pollendoor.TargetInfo{old, a, b}, []lease.Candidate{answer(a, 0), answer(b, 5)}, 16 * time.Second, "", lease.WaitAnswers},
		{"one was drained, and another has its log", []pollendoor.TargetInfo{old, heir, b}, []lease.Candidate{answer(heir, 9), answer(b, 5)}, 0, "c", lease.WaitNone},
	} {
		s := lease.Succession{Known: pollendoor.Position{Term: 1, Index: 9}}
		got := s.Next(g, 1, tc.listed, tc.answers, time.Minute)
		if tc.after > 0 {
			got = s.Next(g, 1, tc.listed, tc.answers, time.Minute+tc.after)
		}
		if got.Next.Target.ID != tc.want || got.Wait != tc.wait {
			t.Errorf("%s: got %q %q, want %q %q", tc.name, got.Next.Target.ID, got.Wait, tc.want, tc.wait)
		}
	}
}

func TestHolderWatch(t *testing.T) {
	a, b := pollendoor.TargetInfo{ID: "a", Born: 1, Addr: "h:1"}, pollendoor.TargetInfo{ID: "b", Born: 1, Addr: "h:2"}
	reborn := pollendoor.TargetInfo{ID: "a", Born: 2, Addr: "h:1"}
	primary := pollendoor.TargetInfo{ID: "p", Born: 1, Addr: "h:3"}
	var w lease.HolderWatch
	g := lease.Group{Primary: "p"}
	for _, tc := range []struct {
		name   string
		at     time.Duration
		listed []pollendoor.TargetInfo
		want   lease.Holders
	}{
		{"replicas are listed", time.Second, []pollendoor.TargetInfo{primary, a, b}, "a@1@h:1 b@1@h:2"},
		{"one leaves", 2 * time.Second, []pollendoor.TargetInfo{primary, b}, "a@1@h:1 b@1@h:2"},
		{"it starts again", 3 * time.Second, []pollendoor.TargetInfo{primary, reborn, b}, "a@1@h:1 a@2@h:1 b@1@h:2"},
		{"its former process is given up", 16 * time.Second, []pollendoor.TargetInfo{primary, reborn, b}, "a@2@h:1 b@1@h:2"},
	} {
		if got := w.Next("g", g, tc.listed, pollendoor.Position{}, tc.at).Holders; got != tc.want {
			t.Errorf("%s: got %q, want %q", tc.name, got, tc.want)
		}
	}
	var next lease.HolderWatch // of the next leader, which has never seen a
	g = g.WithHolders("a@1@h:1 b@1@h:2")
	if got, want := next.Next("g", g, []pollendoor.TargetInfo{primary, b}, pollendoor.Position{}, time.Hour).Holders, g.Holders; got != want {
		t.Errorf("another leader: got %q, want %q", got, want)
	}
	if got := lease.Holders("a@x@h a b@2@h:1").List(); len(got) != 1 || got[0] != (lease.Holder{ID: "b", Born: 2, Addr: "h:1"}) {
		t.Errorf("malformed words: got %+v, want the last one only", got)
	}
}

// Guards against the loss of acknowledged commits: a new leader that gave a planned change up,
// or settled a group on another primary, forgot the holders that the store did not list then.
func TestHoldersAreKeptWhenAGroupSettles(t *testing.T) {
	old, a, b := pollendoor.TargetInfo{ID: "old", Born: 1, Addr: "h:1"}, pollendoor.TargetInfo{ID: "a", Born: 1, Addr: "h:2"}, pollendoor.TargetInfo{ID: "b", Born: 1, Addr: "h:3"}
	g := lease.Group{Epoch: 1, Primary: "old", Term: 1}.WithHolders("a@1@h:2 b@1@h:3").Move(true)
	for _, tc := range []struct {
		name         string
		next         pollendoor.TargetInfo
		term         pollendoor.Term
		syncReplicas int
		listed       []pollendoor.TargetInfo
		want         lease.Holders
	}{
		{"the change is given up", old, 1, 1, []pollendoor.TargetInfo{old, b}, "a@1@h:2 b@1@h:3"},
		{"another target leads", b, 2, 1, []pollendoor.TargetInfo{old, b}, "a@1@h:2 old@1@h:1"},
		{"another target leads, the former primary is not listed", b, 2, 1, []pollendoor.TargetInfo{b}, "a@1@h:2 old@0@"},
		{"all are listed", a, 2, 1, []pollendoor.TargetInfo{old, a, b}, "b@1@h:3 old@1@h:1"},
		{"without synchronous replicas", b, 2, 0, []pollendoor.TargetInfo{old, b}, ""},
	} {
		var w lease.HolderWatch // of a leader that has just claimed
		got := w.Settle("g", g, lease.Candidate{Target: tc.next}, tc.term, tc.syncReplicas, tc.listed, time.Hour)
		if got.Primary != tc.next.ID || got.Term != tc.term || got.Moving || got.Holders != tc.want {
			t.Errorf("%s: got %+v, want the primary %s and the holders %q", tc.name, got, tc.next.ID, tc.want)
		}
	}
}
