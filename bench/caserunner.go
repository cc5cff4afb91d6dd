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

// CaseRunner executes the steps of recorded cases on a lab. The table gift with a
// column id exists from the start.
//
// The request steps are write, begin, commit, rollback, read (counts the rows
// that the session sees) and audit (counts the rows at the primary). The fault
// steps are kill, freeze and cut of the primary, undone by restore; storeDown,
// loseAnswers, cutZone (the primary's zone), lag and withdraw. The step timeout
// sets a session's statement timeout, settle waits until all targets of the
// group have the same term and log position, and pause waits for a fixed time.
type CaseRunner struct {
	lab      *Lab
	sessions map[string]*caller // by the name in the steps
	restore  []func()           // each undoes one fault of a primary
	cutZone  string             // zone that the last cutZone step partitioned
}

// NewCaseRunner starts a lab for a case. Stop stops it.
func NewCaseRunner(ctx context.Context, h trace.Head) (*CaseRunner, error) {
	l, err := StartLab(ctx, LabOptions{VMsPerZone: max(1, h.VMs)})
	if err != nil {
		return nil, err
	}
	r := &CaseRunner{lab: l, sessions: make(map[string]*caller)}
	if err := r.session(trace.Step{}).exec(ctx, createGiftTable); err != nil {
		l.Stop()
		return nil, err
	}
	return r, nil
}

// Stop closes all sessions and stops the lab.
func (r *CaseRunner) Stop() {
	for _, c := range r.sessions {
		c.close(context.Background())
	}
	r.lab.Stop()
}

// session returns the step's session, moved to the step's VM. A new session
// starts with the token of the session that created the table.
func (r *CaseRunner) session(s trace.Step) *caller {
	c := r.sessions[s.Session]
	if c == nil {
		c = &caller{lab: r.lab, team: "festa", route: firstGroup, vm: s.VM}
		if first := r.sessions[""]; first != nil {
			c.token = first.token
		}
		r.sessions[s.Session] = c
	}
	if c.vm != s.VM {
		c.moveTo(context.Background(), s.VM)
	}
	return c
}

// Do executes one step and returns what the client observed.
func (r *CaseRunner) Do(ctx context.Context, s trace.Step) (trace.Observed, error) {
	switch s.Do {
	case "write", "begin", "commit", "rollback", "timeout":
		return observe(r.session(s).exec(ctx, statementText(s))), nil
	case "read":
		n, err := r.session(s).queryInt(ctx, "SELECT count(*) FROM gift")
		o := observe(err)
		o.Total = n
		return o, nil
	case "audit":
		return r.audit(ctx, s)
	}
	return trace.Observed{}, r.injectFault(ctx, s)
}

// statementText returns the SQL text of a request step.
func statementText(s trace.Step) string {
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

// observe returns the outcome that an error reports to the client.
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

// audit counts the rows at the primary, by a read within a transaction block.
func (r *CaseRunner) audit(ctx context.Context, s trace.Step) (trace.Observed, error) {
	c := &caller{lab: r.lab, team: "festa", route: firstGroup, vm: s.VM}
	defer c.close(ctx)
	if err := c.exec(ctx, "BEGIN"); err != nil {
		return observe(err), nil
	}
	n, err := c.queryInt(ctx, "SELECT count(*) FROM gift")
	o := observe(err)
	o.Total = n
	return o, nil
}

func (r *CaseRunner) injectFault(ctx context.Context, s trace.Step) error {
	l := r.lab
	switch s.Do {
	case "kill", "freeze", "cut":
		p := l.Group(firstGroup).Primary()
		if p == nil {
			return errors.New("the group has no primary")
		}
		r.restore = append(r.restore, failPrimary(l, p, map[string]int{"kill": 0, "freeze": 1, "cut": 2}[s.Do]))
	case "restore":
		for _, f := range r.restore {
			f()
		}
		r.restore = nil
	case "storeDown":
		l.Platform.SetDown(s.On)
	case "loseAnswers":
		l.Platform.LoseEveryOtherAnswer(s.On)
	case "cutZone":
		if s.On {
			r.cutZone = l.Group(firstGroup).Primary().Zone()
		}
		l.CutZone(r.cutZone, s.On)
	case "lag":
		l.Group(firstGroup).Each(func(t *fakes.Target) { t.SetLag(time.Duration(s.MS) * time.Millisecond) })
	case "withdraw":
		return l.Nodes()[s.VM].WithdrawKey(ctx, node.KeyRequest{Team: "festa", ID: "k1"})
	case "pause":
		time.Sleep(time.Duration(s.MS) * time.Millisecond)
	case "settle":
		return l.waitReplicated(ctx)
	default:
		return errors.Newf("unknown step %q", s.Do)
	}
	return nil
}

// ReplayCase replays a case on a new lab. It returns one text for each difference
// from the case's expected outcomes.
func ReplayCase(ctx context.Context, h trace.Head, steps []trace.Step) ([]string, error) {
	r, err := NewCaseRunner(ctx, h)
	if err != nil {
		return nil, err
	}
	defer r.Stop()
	return trace.Replay(ctx, steps, r)
}
