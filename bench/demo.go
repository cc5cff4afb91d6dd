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

// demoRun runs the steps of the demo and prints each one when it ends.
type demoRun struct {
	output io.Writer
	lab    *Lab
	step   int
}

func (s *demoRun) printf(format string, args ...any) {
	fmt.Fprintf(s.output, format+"\n", args...)
}

// runStep runs one step and prints its result and duration.
func (s *demoRun) runStep(title, explanation string, run func() error) error {
	s.step++
	start := time.Now()
	err := run()
	if err != nil {
		s.printf("%d. %s: FAILED after %d ms: %v", s.step, title, time.Since(start).Milliseconds(), err)
		return errors.Wrap(err, title)
	}
	s.printf("%d. %s (%d ms)\n   %s", s.step, title, time.Since(start).Milliseconds(), explanation)
	return nil
}

// RunDemo writes contributions to a gift, kills the primary, writes again and
// withdraws the key. It prints to out what happened and why. It returns an error
// if a step fails.
func RunDemo(ctx context.Context, l *Lab, out io.Writer) error {
	s := &demoRun{output: out, lab: l}
	first := &caller{lab: l, team: "festa", route: firstGroup}
	second := &caller{lab: l, team: "festa", route: firstGroup, vm: 1}
	defer first.close(ctx)
	defer second.close(ctx)
	contribute := func(id string) func() error {
		return func() error {
			return first.exec(ctx, "INSERT INTO gift VALUES ('"+id+"', 20) /*pollendoor.requestId='"+id+"'*/")
		}
	}
	checkTotal := func(want int64) func() error {
		return func() error {
			second.moveTo(ctx, 1)
			second.token = first.token
			n, err := second.queryInt(ctx, "SELECT coalesce(sum(amount), 0) FROM gift")
			if err == nil && n != want {
				err = errors.Newf("got a total of %d, want %d", n, want)
			}
			return err
		}
	}
	steps := []struct {
		title, explanation string
		run                func() error
	}{
		{"a pot is opened", "the table was created at the primary and a replica has it", func() error { return first.exec(ctx, createGiftTable) }},
		{"a grandmother gives 20", "the write carries a request id, and was acknowledged once a replica had it", contribute("ana")},
		{"she presses the button once more", "the request id was used: the first answer is repeated, nothing is charged again", contribute("ana")},
		{"the page shows 20 through another VM", "the session's token went with her, so only targets that have her write may answer", checkTotal(20)},
		{"the database's primary is lost", "it was killed", func() error { l.Group(firstGroup).Primary().Kill(); return nil }},
		{"an uncle gives 20 meanwhile", "the write waited while the VMs claimed a new term, fenced a majority and promoted the newest replica", contribute("rui")},
		{"the page shows 40", "nothing was lost or doubled", checkTotal(40)},
		{"the operators withdraw the key", "the withdrawal was accepted by the platform", func() error {
			return l.Nodes()[0].WithdrawKey(ctx, node.KeyRequest{Team: "festa", ID: "k1", By: "demo"})
		}},
		{"the open connection is refused", "a withdrawn key ends open connections too, and the refusal says that nothing was run", func() error { return waitRefused(ctx, first) }},
	}
	for _, st := range steps {
		if err := s.runStep(st.title, st.explanation, st.run); err != nil {
			return err
		}
	}
	g, _ := l.Nodes()[0].Host().Group(firstGroup)
	rec, _ := g.Record()
	s.printf("\nWhat the fleet did, from the group's record:")
	for _, e := range rec.Events {
		s.printf("   %s %s: %s", e.VM, e.Kind, e.Cause)
	}
	return nil
}

// waitRefused waits up to 5 s until a session's key is refused.
func waitRefused(ctx context.Context, c *caller) error {
	for end := time.Now().Add(5 * time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if err := c.exec(ctx, "SELECT 1"); sqlState(err) == pollendoor.CodeBadKey {
			return nil
		}
	}
	return errors.New("the key still works after 5 s")
}
