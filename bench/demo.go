package bench

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/pollendoor/pollendoor"
	"github.com/pollendoor/pollendoor/node"
)

// story is a run of steps that are told as they happen.
type story struct {
	out  io.Writer
	lab  *Lab
	step int
}

func (s *story) tell(format string, args ...any) {
	fmt.Fprintf(s.out, format+"\n", args...)
}

// do runs one step and says whether it held.
func (s *story) do(what, why string, f func() error) error {
	s.step++
	start := time.Now()
	err := f()
	if err != nil {
		s.tell("%d. %s: FAILED after %d ms: %v", s.step, what, time.Since(start).Milliseconds(), err)
		return errors.Wrap(err, what)
	}
	s.tell("%d. %s (%d ms)\n   %s", s.step, what, time.Since(start).Milliseconds(), why)
	return nil
}

// Story contributes to a gift, loses the primary, contributes again and
// withdraws the key, and tells what happened and why. It returns an error if a
// step did not hold.
func Story(ctx context.Context, l *Lab, out io.Writer) error {
	s := &story{out: out, lab: l}
	near := &caller{lab: l, team: "festa", route: firstGroup}
	far := &caller{lab: l, team: "festa", route: firstGroup, vm: 1}
	defer near.close(ctx)
	defer far.close(ctx)
	give := func(id string) func() error {
		return func() error {
			return near.exec(ctx, "INSERT INTO gift VALUES ('"+id+"', 20) /*pollendoor.requestId='"+id+"'*/")
		}
	}
	total := func(want int64) func() error {
		return func() error {
			far.move(ctx, 1)
			far.token = near.token
			n, err := far.number(ctx, "SELECT coalesce(sum(amount), 0) FROM gift")
			if err == nil && n != want {
				err = errors.Newf("the pot shows %d, not %d", n, want)
			}
			return err
		}
	}
	steps := []struct {
		what, why string
		f         func() error
	}{
		{"a pot is opened", "the table was created at the primary and a replica has it", func() error { return near.exec(ctx, table) }},
		{"a grandmother gives 20", "the write carries a request id, and was acknowledged once a replica had it", give("ana")},
		{"she presses the button once more", "the request id was used: the first answer is repeated, nothing is charged again", give("ana")},
		{"the page shows 20 through another VM", "the session's token went with her, so only targets that have her write may answer", total(20)},
		{"the database's primary is lost", "it was killed", func() error { l.Group(firstGroup).Primary().Kill(); return nil }},
		{"an uncle gives 20 meanwhile", "the write waited while the VMs claimed a new term, fenced a majority and promoted the newest replica", give("rui")},
		{"the page shows 40", "nothing was lost or doubled", total(40)},
		{"the operators withdraw the key", "the withdrawal was accepted by the platform", func() error {
			return l.Nodes()[0].WithdrawKey(ctx, node.KeyRequest{Team: "festa", ID: "k1", By: "demo"})
		}},
		{"the open connection is refused", "a withdrawn key ends open connections too, and the refusal says that nothing was run", func() error { return refusedSoon(ctx, near) }},
	}
	for _, st := range steps {
		if err := s.do(st.what, st.why, st.f); err != nil {
			return err
		}
	}
	g, _ := l.Nodes()[0].Host().Group(firstGroup)
	rec, _ := g.Record()
	s.tell("\nWhat the fleet did, from the group's record:")
	for _, e := range rec.Events {
		s.tell("   %s %s: %s", e.VM, e.Kind, e.Cause)
	}
	return nil
}

// refusedSoon waits until a session's key is refused.
func refusedSoon(ctx context.Context, c *caller) error {
	for end := time.Now().Add(5 * time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if err := c.exec(ctx, "SELECT 1"); code(err) == pollendoor.CodeBadKey {
			return nil
		}
	}
	return errors.New("the key still works after 5 s")
}
