package runner

import (
	"context"
	"fmt"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/pollendoor/pollendoor"
	"github.com/pollendoor/pollendoor/pool"
	"github.com/pollendoor/pollendoor/queue"
	"github.com/pollendoor/pollendoor/retry"
)

// spillAt is how many bytes of an answer are kept back. An answer that fits can
// be replaced by that of another attempt.
const spillAt = 64 << 10

// pin is a target connection kept by a session, with its place at the gate.
type pin struct {
	member   *member
	conn     *pool.Conn
	life     context.Context // of the target, as of the start
	primary  bool            // the member led the record's term at the start
	term     pollendoor.Term // of the record at the start
	since    time.Time
	implicit bool // a batch ended in Flush outside of a transaction block
}

func (p *pin) release() {
	p.member.pool.Put(p.conn)
	p.member.gate.Leave(time.Since(p.since))
}

// errNoSlot says that the time was up before a statement got its turn.
var errNoSlot = errors.New("the time was up before the statement got its turn at the target")

// inTurn runs an exchange outside of a transaction when its turn comes. With
// errNoSlot nothing was sent.
//
// Statements within a transaction take no turn: others that have theirs may be
// waiting for the transaction's locks.
func (p *pin) inTurn(ctx context.Context, x *pollendoor.Exchange, r *pool.Reply) error {
	turn := queue.Request{Team: x.Team, Weight: x.Weight, Batch: x.Batch}
	if p.member.slots.Enter(ctx, turn) != queue.Entered {
		return errNoSlot
	}
	start := time.Now()
	defer func() { p.member.slots.Leave(time.Since(start)) }()
	return p.run(ctx, x, r)
}

// run runs an exchange on the pinned connection. It is given up when the target
// is lost from sight.
func (p *pin) run(ctx context.Context, x *pollendoor.Exchange, r *pool.Reply) error {
	return p.whileSeen(func() error { return p.conn.Run(ctx, x, r) })
}

// query runs a query of the system's own on the pinned connection, with the
// same end.
func (p *pin) query(ctx context.Context, sql string) ([][]string, error) {
	var rows [][]string
	err := p.whileSeen(func() error {
		var err error
		rows, err = p.conn.Query(ctx, sql)
		return err
	})
	return rows, err
}

// whileSeen runs f, whose reads and writes fail once the target is lost from
// sight.
func (p *pin) whileSeen(f func() error) error {
	stop := context.AfterFunc(p.life, func() { p.conn.Net.SetDeadline(time.Unix(1, 0)) })
	err := f()
	if !stop() && err == nil {
		p.conn.Retire()
	}
	return err
}

// Link runs one session's exchanges at a group of this VM.
type Link struct {
	group *Group
	pin   *pin
}

// Close gives up the pinned connection, and with it an open transaction.
func (l *Link) Close() {
	if l.pin != nil {
		l.pin.release()
		l.pin = nil
	}
}

// Run runs one exchange until its time is up, or until ctx's is if ctx has a
// deadline.
func (l *Link) Run(ctx context.Context, x *pollendoor.Exchange, sink pollendoor.Sink) pollendoor.Answer {
	if _, ok := ctx.Deadline(); !ok {
		timed, cancel := context.WithTimeout(ctx, x.Timeout)
		defer cancel()
		ctx = timed
	}
	l.group.used.Store(time.Now().UnixNano())
	r := &pool.Reply{Limit: spillAt, Spill: sink}
	var a pollendoor.Answer
	if l.pin != nil {
		a = l.runPinned(ctx, x, r)
	} else {
		a = l.runFresh(ctx, x, r)
	}
	if a.Refusal != nil {
		l.group.refused(a.Refusal)
		return a
	}
	a.Failed = r.Err != nil
	if err := sink(r.Frames); err != nil {
		l.Close()
	}
	return a
}

// refused counts and explains a refusal that is not the caller's doing.
func (g *Group) refused(r *pollendoor.Refusal) {
	refusals.Add(r.Code, 1)
	if r.Code != pollendoor.CodeLostWrite {
		g.explain("refusal", fmt.Sprintf("%s, outcome=%s: %s", r.Code, r.Fate, r.Cause))
	}
}

// ended is how one attempt ended.
type ended struct {
	result  retry.Result
	answer  pollendoor.Answer
	refusal *pollendoor.Refusal // final
	cause   string
}

// runFresh runs an exchange outside of a transaction, as often as it takes and
// may be.
func (l *Link) runFresh(ctx context.Context, x *pollendoor.Exchange, r *pool.Reply) pollendoor.Answer {
	var how choice
	for n := 1; ; n++ {
		e := l.attempt(ctx, x, r, how)
		if e.refusal != nil {
			e.answer.Refusal = e.refusal
			return e.answer
		}
		verdict := retry.Decide(retry.Attempt{
			Result:  e.result,
			Read:    x.Class == pollendoor.AnyRead && !x.Begin,
			Keyed:   x.RequestID != "" && !x.Begin,
			Spilled: r.Spilled,
			Count:   n,
			Left:    left(ctx),
		})
		switch verdict {
		case retry.Finish:
			return e.answer
		case retry.Again:
			attempts.Add(1)
			// A read that a replica refused was a write.
			how.primary = how.primary || e.result == retry.Refused
			how.avoid = ""
			if e.answer.Replica {
				how.avoid = e.answer.Target
			}
			r.Reset()
			if n > 1 || !e.answer.Replica {
				pollendoor.Pause(ctx, retry.Backoff(n))
			}
			continue
		}
		e.answer.Refusal = &pollendoor.Refusal{
			Code: pollendoor.CodeUnknown, Fate: verdict.Fate(), Message: "the outcome of the statement is not known", Cause: e.cause,
		}
		if verdict == retry.SayNotRun {
			e.answer.Refusal.Code = pollendoor.CodeNoPrimary
			e.answer.Refusal.Message = "the statement was not run"
			if ctx.Err() != nil {
				e.answer.Refusal.Code = pollendoor.CodeDeadline
				e.answer.Refusal.Message = "the statement was cancelled or its time was up before it was run"
			}
		}
		return e.answer
	}
}

func left(ctx context.Context) time.Duration {
	if ctx.Err() != nil {
		return 0
	}
	t, ok := ctx.Deadline()
	if !ok {
		return time.Hour
	}
	return time.Until(t)
}

// attempt runs an exchange once.
func (l *Link) attempt(ctx context.Context, x *pollendoor.Exchange, r *pool.Reply, how choice) ended {
	m, v, refusal := l.group.pick(ctx, x, how)
	if refusal != nil {
		return ended{refusal: refusal}
	}
	p, refusal, err := take(ctx, m, x)
	if refusal != nil {
		return ended{refusal: refusal}
	}
	if err != nil {
		at := pollendoor.Answer{Target: m.addr.Name, Replica: m.addr.Name != v.rec.Primary}
		return ended{result: retry.NotSent, answer: at, cause: err.Error()}
	}
	p.primary, p.term = m.addr.Name == v.rec.Primary, v.rec.Term
	e := l.send(ctx, p, x, r)
	e.answer.Target = m.addr.Name
	e.answer.Replica = !p.primary
	return e
}

// take waits for a place at the member's gate and a connection. An error means
// that nothing was sent.
func take(ctx context.Context, m *member, x *pollendoor.Exchange) (*pin, *pollendoor.Refusal, error) {
	deadline, _ := ctx.Deadline()
	switch m.gate.Enter(ctx, queue.Request{Team: x.Team, Weight: x.Weight, Batch: x.Batch, Deadline: deadline}) {
	case queue.QueueFull:
		return nil, pollendoor.Refuse(pollendoor.CodeQueueFull, "too many statements of this team are waiting", "the team's queue at "+m.addr.Name+" is full"), nil
	case queue.DeadlineExceeded:
		return nil, pollendoor.Refuse(pollendoor.CodeDeadline, "the statement would not be served before its deadline", "the team's queue at "+m.addr.Name+" is too long"), nil
	case queue.Canceled:
		return nil, pollendoor.Refuse(pollendoor.CodeDeadline, "the deadline passed before the statement was sent", "waited for a connection to "+m.addr.Name), nil
	}
	start, life := time.Now(), m.life.Load()
	c, err := m.pool.Get(ctx)
	if err != nil {
		m.gate.Leave(time.Since(start))
		return nil, nil, err
	}
	return &pin{member: m, conn: c, life: life.ctx, since: start}, nil, nil
}

// send runs the exchange on a connection of its own. The connection is given
// back, or pinned while a transaction is open.
func (l *Link) send(ctx context.Context, p *pin, x *pollendoor.Exchange, r *pool.Reply) ended {
	if x.RequestID != "" && x.Class == pollendoor.MustWrite && !x.Begin {
		return l.once(ctx, p, x, r)
	}
	if err := p.inTurn(ctx, x, r); err != nil {
		p.release()
		if errors.Is(err, errNoSlot) {
			return ended{result: retry.NotSent, cause: err.Error()}
		}
		return ended{result: retry.Lost, cause: err.Error()}
	}
	if r.Err != nil && r.Err.Code == pollendoor.CodeReadOnly && r.TxStatus == 'I' {
		p.release()
		return ended{result: retry.Refused, cause: r.Err.Message}
	}
	return l.finish(ctx, p, x, r)
}

// finish pins the connection or gives it back, and has a write acknowledged.
func (l *Link) finish(ctx context.Context, p *pin, x *pollendoor.Exchange, r *pool.Reply) ended {
	e := ended{answer: pollendoor.Answer{TxStatus: r.TxStatus, Position: r.Position}}
	if r.TxStatus != 'I' {
		p.implicit = p.implicit || x.Flush && !x.Begin
		l.pin = p
		return e
	}
	primary, term := p.member.addr.Name, p.term
	p.release()
	l.pin = nil
	if e.answer.Position.IsZero() && p.primary && r.Err == nil && x.Ack != pollendoor.AckBlind {
		if why := l.group.awaitStable(ctx, primary, term); why != "" {
			e.result, e.cause = retry.Unacked, why
		}
		return e
	}
	return l.acknowledge(ctx, x, e)
}

// acknowledge waits until the write of an answer is known to last.
func (l *Link) acknowledge(ctx context.Context, x *pollendoor.Exchange, e ended) ended {
	if e.answer.Position.IsZero() || x.Ack == pollendoor.AckBlind {
		return e
	}
	start := time.Now()
	switch l.group.awaitAck(ctx, e.answer.Position) {
	case cutOff:
		e.result, e.cause = retry.CutOff, "the write at "+e.answer.Position.String()+" was cut off by a promotion"
	case unsure:
		e.result, e.cause = retry.Unacked, "no replica attested the write at "+e.answer.Position.String()+" before the deadline"
	}
	ackWait.Add(time.Since(start).Nanoseconds())
	ackCount.Add(1)
	return e
}

// runPinned runs an exchange within the open transaction.
func (l *Link) runPinned(ctx context.Context, x *pollendoor.Exchange, r *pool.Reply) pollendoor.Answer {
	if x.Commit && x.RequestID != "" && l.pin.conn.TxState() == 'T' {
		return l.commitOnce(ctx, x, r)
	}
	p := l.pin
	if err := p.run(ctx, x, r); err != nil {
		l.Close()
		if x.Commit || p.implicit {
			return pollendoor.Answer{TxStatus: 'I', Refusal: pollendoor.Unsure("the outcome of the transaction is not known", err.Error())}
		}
		return pollendoor.Answer{TxStatus: 'E', Refusal: pollendoor.Refuse(pollendoor.CodeNoPrimary, "the transaction was cut and rolled back", err.Error())}
	}
	return l.settlePinned(ctx, x, r)
}

// settlePinned ends an exchange of a pinned connection.
func (l *Link) settlePinned(ctx context.Context, x *pollendoor.Exchange, r *pool.Reply) pollendoor.Answer {
	if x.Commit && r.Err != nil && r.Err.Code == pollendoor.CodeReadOnly && r.TxStatus == 'I' {
		l.Close()
		return pollendoor.Answer{TxStatus: 'I', Refusal: pollendoor.Refuse(codeRolledBack, "the transaction was rolled back: its primary was superseded", r.Err.Message)}
	}
	e := l.finish(ctx, l.pin, x, r)
	switch e.result {
	case retry.CutOff:
		e.answer.Refusal = pollendoor.Refuse(codeRolledBack, "the transaction was taken back by a promotion", e.cause)
	case retry.Unacked:
		e.answer.Refusal = pollendoor.Unsure("the outcome of the transaction is not known", e.cause)
	}
	return e.answer
}

// Unproven is the cause of refusing a read whose answer might show a write that
// the next primary never had.
const Unproven = "the primary holds writes that no replica has"

// codeRolledBack is serialization_failure, which callers repeat.
const codeRolledBack = "40001"
