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

// spillThreshold is how many bytes of an answer are buffered before it is sent.
// An answer that fits can be replaced by the answer to another attempt.
const spillThreshold = 64 << 10

// pinnedConn is a target connection held by a session, together with its place
// at the gate.
type pinnedConn struct {
	member       *member
	conn         *pool.Conn
	reachability context.Context // as of taking the connection; ends when the target becomes unreachable or is no longer the primary
	primary      bool            // the member was the primary of the record's term when the connection was taken
	recordTerm   pollendoor.Term // term of the record when the connection was taken
	acquiredAt   time.Time
	implicitTx   bool // a batch outside of a transaction block ended in Flush, so its implicit transaction is open
}

func (p *pinnedConn) release() {
	p.member.pool.Put(p.conn)
	p.member.gate.Leave(time.Since(p.acquiredAt))
}

// errSlotTimeout reports that the deadline passed before a statement got an
// execution slot at the target.
var errSlotTimeout = errors.New("timed out waiting for an execution slot at the target")

// runQueued waits for an execution slot and runs an exchange outside of a
// transaction. If it returns errSlotTimeout, nothing was sent.
//
// Statements within a transaction do not wait for a slot: statements that hold
// one may be waiting for locks of that transaction.
func (p *pinnedConn) runQueued(ctx context.Context, x *pollendoor.Exchange, r *pool.Reply) error {
	request := queue.Request{Team: x.Team, Weight: x.Weight, Batch: x.Batch}
	if p.member.slots.Enter(ctx, request) != queue.Entered {
		return errSlotTimeout
	}
	start := time.Now()
	defer func() { p.member.slots.Leave(time.Since(start)) }()
	return p.run(ctx, x, r)
}

// run runs an exchange on the pinned connection. It is aborted when the target
// becomes unreachable.
func (p *pinnedConn) run(ctx context.Context, x *pollendoor.Exchange, r *pool.Reply) error {
	return p.whileReachable(func() error { return p.conn.Run(ctx, x, r) })
}

// query runs an internal query on the pinned connection. Like run, it is
// aborted when the target becomes unreachable.
func (p *pinnedConn) query(ctx context.Context, sql string) ([][]string, error) {
	var rows [][]string
	err := p.whileReachable(func() error {
		var err error
		rows, err = p.conn.Query(ctx, sql)
		return err
	})
	return rows, err
}

// whileReachable runs operation. Its reads and writes fail once the target
// becomes unreachable.
func (p *pinnedConn) whileReachable(operation func() error) error {
	stop := context.AfterFunc(p.reachability, func() { p.conn.Net.SetDeadline(time.Unix(1, 0)) })
	err := operation()
	if !stop() && err == nil {
		p.conn.Retire()
	}
	return err
}

// Link runs the exchanges of one session at a group of this VM.
type Link struct {
	group      *Group
	pinnedConn *pinnedConn
}

// Close releases the pinned connection and thereby rolls back an open
// transaction.
func (l *Link) Close() {
	if l.pinnedConn != nil {
		l.pinnedConn.release()
		l.pinnedConn = nil
	}
}

// Run runs one exchange. Its deadline is that of ctx, or x.Timeout from now if
// ctx has none.
func (l *Link) Run(ctx context.Context, x *pollendoor.Exchange, sink pollendoor.Sink) pollendoor.Answer {
	if _, ok := ctx.Deadline(); !ok {
		timed, cancel := context.WithTimeout(ctx, x.Timeout)
		defer cancel()
		ctx = timed
	}
	l.group.lastUsed.Store(time.Now().UnixNano())
	r := &pool.Reply{Limit: spillThreshold, Spill: sink}
	var a pollendoor.Answer
	if l.pinnedConn != nil {
		a = l.runPinned(ctx, x, r)
	} else {
		a = l.runUnpinned(ctx, x, r)
	}
	if a.Refusal != nil {
		l.group.recordRefusal(a.Refusal)
		return a
	}
	a.Failed = r.Err != nil
	if err := sink(r.Frames); err != nil {
		l.Close()
	}
	return a
}

// recordRefusal counts a refusal and, except for lost writes, which are
// recorded where they are detected, adds it to the events of the group.
func (g *Group) recordRefusal(r *pollendoor.Refusal) {
	refusals.Add(r.Code, 1)
	if r.Code != pollendoor.CodeLostWrite {
		g.recordEvent("refusal", fmt.Sprintf("%s, outcome=%s: %s", r.Code, r.Outcome, r.Cause))
	}
}

// attemptResult is the result of one attempt.
type attemptResult struct {
	result  retry.Result
	answer  pollendoor.Answer
	refusal *pollendoor.Refusal // final answer that is not retried
	cause   string              // why the attempt failed
}

// runUnpinned runs an exchange outside of a transaction, with as many attempts
// as needed and permitted.
func (l *Link) runUnpinned(ctx context.Context, x *pollendoor.Exchange, r *pool.Reply) pollendoor.Answer {
	var constraint targetConstraint
	for count := 1; ; count++ {
		result := l.attempt(ctx, x, r, constraint)
		if result.refusal != nil {
			result.answer.Refusal = result.refusal
			return result.answer
		}
		verdict := retry.Decide(retry.Attempt{
			Result:          result.result,
			Read:            x.Class == pollendoor.AnyRead && !x.Begin,
			Keyed:           x.RequestID != "" && !x.Begin,
			PartlyDelivered: r.Spilled,
			Count:           count,
			Remaining:       timeLeft(ctx),
		})
		switch verdict {
		case retry.Return:
			return result.answer
		case retry.Resend:
			repeats.Add(1)
			// A replica refuses an exchange as read-only if it turns out to be
			// a write.
			constraint.primary = constraint.primary || result.result == retry.Refused
			constraint.exclude = ""
			if result.answer.Replica {
				constraint.exclude = result.answer.Target
			}
			r.Reset()
			if count > 1 || !result.answer.Replica {
				pollendoor.Pause(ctx, retry.Backoff(count))
			}
			continue
		}
		result.answer.Refusal = &pollendoor.Refusal{
			Code: pollendoor.CodeUnknown, Outcome: verdict.Outcome(), Message: "the outcome of the statement is not known", Cause: result.cause,
		}
		if verdict == retry.ReportNotRun {
			result.answer.Refusal.Code = pollendoor.CodeNoPrimary
			result.answer.Refusal.Message = "the statement was not run"
			if ctx.Err() != nil {
				result.answer.Refusal.Code = pollendoor.CodeDeadline
				result.answer.Refusal.Message = "the statement was cancelled or timed out before it was run"
			}
		}
		return result.answer
	}
}

func timeLeft(ctx context.Context) time.Duration {
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
func (l *Link) attempt(ctx context.Context, x *pollendoor.Exchange, r *pool.Reply, constraint targetConstraint) attemptResult {
	m, v, refusal := l.group.pickTarget(ctx, x, constraint)
	if refusal != nil {
		return attemptResult{refusal: refusal}
	}
	p, refusal, err := acquire(ctx, m, x)
	if refusal != nil {
		return attemptResult{refusal: refusal}
	}
	if err != nil {
		answer := pollendoor.Answer{Target: m.addr.Name, Replica: m.addr.Name != v.record.Primary}
		return attemptResult{result: retry.NotSent, answer: answer, cause: err.Error()}
	}
	p.primary, p.recordTerm = m.addr.Name == v.record.Primary, v.record.Term
	result := l.send(ctx, p, x, r)
	result.answer.Target = m.addr.Name
	result.answer.Replica = !p.primary
	return result
}

// acquire waits for a place at the member's gate and for a connection. An error
// means that nothing was sent.
func acquire(ctx context.Context, m *member, x *pollendoor.Exchange) (*pinnedConn, *pollendoor.Refusal, error) {
	deadline, _ := ctx.Deadline()
	switch m.gate.Enter(ctx, queue.Request{Team: x.Team, Weight: x.Weight, Batch: x.Batch, Deadline: deadline}) {
	case queue.Full:
		return nil, pollendoor.Refuse(pollendoor.CodeQueueFull, "too many statements of this team are waiting", "the team's queue at "+m.addr.Name+" is full"), nil
	case queue.DeadlineExceeded:
		return nil, pollendoor.Refuse(pollendoor.CodeDeadline, "the statement would not be served before its deadline", "the team's queue at "+m.addr.Name+" is too long"), nil
	case queue.Canceled:
		return nil, pollendoor.Refuse(pollendoor.CodeDeadline, "the deadline passed before the statement was sent", "waited for a connection to "+m.addr.Name), nil
	}
	start, reachability := time.Now(), m.reachability.Load()
	conn, err := m.pool.Get(ctx)
	if err != nil {
		m.gate.Leave(time.Since(start))
		return nil, nil, err
	}
	return &pinnedConn{member: m, conn: conn, reachability: reachability.ctx, acquiredAt: start}, nil, nil
}

// send runs the exchange on a connection of its own. The connection is then
// released, or stays pinned while a transaction is open.
func (l *Link) send(ctx context.Context, p *pinnedConn, x *pollendoor.Exchange, r *pool.Reply) attemptResult {
	if x.RequestID != "" && x.Class == pollendoor.MustWrite && !x.Begin {
		return l.runOnce(ctx, p, x, r)
	}
	if err := p.runQueued(ctx, x, r); err != nil {
		p.release()
		if errors.Is(err, errSlotTimeout) {
			return attemptResult{result: retry.NotSent, cause: err.Error()}
		}
		return attemptResult{result: retry.NoAnswer, cause: err.Error()}
	}
	if r.Err != nil && r.Err.Code == pollendoor.CodeReadOnly && r.TxStatus == 'I' {
		p.release()
		return attemptResult{result: retry.Refused, cause: r.Err.Message}
	}
	return l.finish(ctx, p, x, r)
}

// finish pins the connection or releases it, and waits for the acknowledgement
// of a write.
func (l *Link) finish(ctx context.Context, p *pinnedConn, x *pollendoor.Exchange, r *pool.Reply) attemptResult {
	result := attemptResult{answer: pollendoor.Answer{TxStatus: r.TxStatus, Position: r.Position}}
	if r.TxStatus != 'I' {
		p.implicitTx = p.implicitTx || x.Flush && !x.Begin
		l.pinnedConn = p
		return result
	}
	primary, term := p.member.addr.Name, p.recordTerm
	p.release()
	l.pinnedConn = nil
	if result.answer.Position.IsZero() && p.primary && r.Err == nil && x.Ack != pollendoor.AckBlind {
		if cause := l.group.awaitReplicated(ctx, primary, term); cause != "" {
			result.result, result.cause = retry.Unconfirmed, cause
		}
		return result
	}
	return l.awaitAcknowledgement(ctx, x, result)
}

// awaitAcknowledgement waits until the write of an answer is known to be
// replicated.
func (l *Link) awaitAcknowledgement(ctx context.Context, x *pollendoor.Exchange, result attemptResult) attemptResult {
	if result.answer.Position.IsZero() || x.Ack == pollendoor.AckBlind {
		return result
	}
	start := time.Now()
	switch l.group.awaitAck(ctx, result.answer.Position) {
	case ackCutOff:
		result.result, result.cause = retry.Discarded, "the write at "+result.answer.Position.String()+" was discarded by a promotion"
	case ackUnknown:
		result.result, result.cause = retry.Unconfirmed, "no replica attested the write at "+result.answer.Position.String()+" before the deadline"
	}
	ackNanoseconds.Add(time.Since(start).Nanoseconds())
	ackCount.Add(1)
	return result
}

// runPinned runs an exchange within the open transaction.
func (l *Link) runPinned(ctx context.Context, x *pollendoor.Exchange, r *pool.Reply) pollendoor.Answer {
	if x.Commit && x.RequestID != "" && l.pinnedConn.conn.TxState() == 'T' {
		return l.commitOnce(ctx, x, r)
	}
	p := l.pinnedConn
	if err := p.run(ctx, x, r); err != nil {
		l.Close()
		if x.Commit || p.implicitTx {
			return pollendoor.Answer{TxStatus: 'I', Refusal: pollendoor.RefuseUnknown("the outcome of the transaction is not known", err.Error())}
		}
		return pollendoor.Answer{TxStatus: 'E', Refusal: pollendoor.Refuse(pollendoor.CodeNoPrimary, "the transaction lost its connection to the target and was rolled back", err.Error())}
	}
	return l.finishPinned(ctx, x, r)
}

// finishPinned completes an exchange on the pinned connection.
func (l *Link) finishPinned(ctx context.Context, x *pollendoor.Exchange, r *pool.Reply) pollendoor.Answer {
	if x.Commit && r.Err != nil && r.Err.Code == pollendoor.CodeReadOnly && r.TxStatus == 'I' {
		l.Close()
		return pollendoor.Answer{TxStatus: 'I', Refusal: pollendoor.Refuse(codeRolledBack, "the transaction was rolled back: its primary was superseded", r.Err.Message)}
	}
	result := l.finish(ctx, l.pinnedConn, x, r)
	switch result.result {
	case retry.Discarded:
		result.answer.Refusal = pollendoor.Refuse(codeRolledBack, "the transaction was discarded by a promotion", result.cause)
	case retry.Unconfirmed:
		result.answer.Refusal = pollendoor.RefuseUnknown("the outcome of the transaction is not known", result.cause)
	}
	return result.answer
}

// CauseUnreplicatedRead is the refusal cause of a read whose answer might show
// a write that the next primary does not have.
const CauseUnreplicatedRead = "the primary holds writes that no replica has"

// codeRolledBack is serialization_failure, on which callers retry.
const codeRolledBack = "40001"
