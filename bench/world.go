package bench

import (
	"context"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jackc/pgx/v5/pgconn"

	"github.com/pollendoor/pollendoor/fakes"
	"github.com/pollendoor/pollendoor/node"
	"github.com/pollendoor/pollendoor/trace"
)

// World carries out the steps of recorded cases on a lab. The table gift with a
// column id is there from the start.
//
// Requests are write, begin, commit, rollback and read (rows as a session sees
// them) and audit (rows at the primary). Faults are kill, freeze and cut of the
// primary, undone by restore; storeDown, loseAnswers, cutZone (of the primary),
// lag and withdraw. timeout sets a session's statement timeout, settle waits
// until the group serves and its targets are level, pause waits.
type World struct {
	lab      *Lab
	sessions map[string]*caller
	restore  []func()
	zone     string // cut off
}

// NewWorld starts a lab for a case. Stop ends it.
func NewWorld(ctx context.Context, h trace.Head) (*World, error) {
	l, err := StartLab(ctx, LabOptions{VMsPerZone: max(1, h.VMs)})
	if err != nil {
		return nil, err
	}
	w := &World{lab: l, sessions: make(map[string]*caller)}
	if err := w.session(trace.Step{}).exec(ctx, table); err != nil {
		l.Stop()
		return nil, err
	}
	return w, nil
}

// Stop ends the world.
func (w *World) Stop() {
	for _, c := range w.sessions {
		c.close(context.Background())
	}
	w.lab.Stop()
}

// session returns the step's session, at the step's VM.
func (w *World) session(s trace.Step) *caller {
	c := w.sessions[s.Session]
	if c == nil {
		c = &caller{lab: w.lab, team: "festa", route: firstGroup, vm: s.VM}
		if first := w.sessions[""]; first != nil {
			c.token = first.token
		}
		w.sessions[s.Session] = c
	}
	if c.vm != s.VM {
		c.move(context.Background(), s.VM)
	}
	return c
}

// Do carries out one step.
func (w *World) Do(ctx context.Context, s trace.Step) (trace.Observed, error) {
	switch s.Do {
	case "write", "begin", "commit", "rollback", "timeout":
		return observe(w.session(s).exec(ctx, statement(s))), nil
	case "read":
		n, err := w.session(s).number(ctx, "SELECT count(*) FROM gift")
		o := observe(err)
		o.Total = n
		return o, nil
	case "audit":
		return w.audit(ctx, s)
	}
	return trace.Observed{}, w.fault(ctx, s)
}

func statement(s trace.Step) string {
	text := map[string]string{
		"write":    "INSERT INTO gift VALUES ('" + s.ID + "', 1)",
		"begin":    "BEGIN",
		"commit":   "COMMIT",
		"rollback": "ROLLBACK",
		"timeout":  "SET statement_timeout = '" + (time.Duration(s.MS) * time.Millisecond).String() + "'",
	}[s.Do]
	if s.Request != "" {
		text += " /*pollendoor.requestId='" + s.Request + "'*/"
	}
	return text
}

func observe(err error) trace.Observed {
	var pe *pgconn.PgError
	switch {
	case err == nil:
		return trace.Observed{Outcome: "ran"}
	case errors.As(err, &pe) && strings.HasPrefix(pe.Detail, "outcome="):
		return trace.Observed{Outcome: strings.TrimPrefix(pe.Detail, "outcome="), Code: pe.Code}
	case errors.As(err, &pe):
		return trace.Observed{Outcome: "notRun", Code: pe.Code}
	}
	return trace.Observed{Outcome: "unknown"}
}

// audit counts the rows at the primary.
func (w *World) audit(ctx context.Context, s trace.Step) (trace.Observed, error) {
	c := &caller{lab: w.lab, team: "festa", route: firstGroup, vm: s.VM}
	defer c.close(ctx)
	if err := c.exec(ctx, "BEGIN"); err != nil {
		return observe(err), nil
	}
	n, err := c.number(ctx, "SELECT count(*) FROM gift")
	o := observe(err)
	o.Total = n
	return o, nil
}

func (w *World) fault(ctx context.Context, s trace.Step) error {
	l := w.lab
	switch s.Do {
	case "kill", "freeze", "cut":
		p := l.Group(firstGroup).Primary()
		if p == nil {
			return errors.New("there is no primary")
		}
		w.restore = append(w.restore, lose(l, p, map[string]int{"kill": 0, "freeze": 1, "cut": 2}[s.Do]))
	case "restore":
		for _, f := range w.restore {
			f()
		}
		w.restore = nil
	case "storeDown":
		l.Platform.SetDown(s.On)
	case "loseAnswers":
		l.Platform.LoseEveryOther(s.On)
	case "cutZone":
		if s.On {
			w.zone = l.Group(firstGroup).Primary().Zone()
		}
		l.CutZone(w.zone, s.On)
	case "lag":
		l.Group(firstGroup).Each(func(t *fakes.Target) { t.SetLag(time.Duration(s.MS) * time.Millisecond) })
	case "withdraw":
		return l.Nodes()[s.VM].WithdrawKey(ctx, node.KeyRequest{Team: "festa", ID: "k1"})
	case "pause":
		time.Sleep(time.Duration(s.MS) * time.Millisecond)
	case "settle":
		return l.waitWhole(ctx)
	default:
		return errors.Newf("step %q is not known", s.Do)
	}
	return nil
}

// ReplayCase replays a case on a lab of its own.
func ReplayCase(ctx context.Context, h trace.Head, steps []trace.Step) ([]string, error) {
	w, err := NewWorld(ctx, h)
	if err != nil {
		return nil, err
	}
	defer w.Stop()
	return trace.Replay(ctx, steps, w)
}
