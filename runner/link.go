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
const spillThreshold = 64 << 10

// pin is a target connection kept by a session, with its place at the gate.
type pinnedConn struct {
	member       *member
	conn         *pool.Conn
	reachability context.Context // of the target, as of the start
	primary      bool            // the member led the record's term at the start
	recordTerm   pollendoor.Term // of the record at the start
	acquiredAt   time.Time
	implicitTx   bool // a batch ended in Flush outside of a transaction block
}

func (p *pinnedConn) release() {
	p.member.pool.Put(p.conn)
	p.member.gate.Leave(time.Since(p.acquiredAt))
}

// errNoSlot says that the time was up before a statement got its turn.
var errSlotTimeout = errors.New("the time was up before the statement got its turn at the target")

// inTurn runs an exchange outside of a transaction when its turn comes. With
// errNoSlot nothing was sent.
//
// Statements within a transaction take no turn: others that have theirs may be
// waiting for the transaction's locks.
func (p *pinnedConn) runQueued(ctx context.Context, x *pollendoor.Exchange, r *pool.Reply) error {
	request := queue.Request{Team: x.Team, Weight: x.Weight, Batch: x.Batch}
	if p.member.slots.Enter(ctx, request) != queue.Entered {
		return errSlotTimeout
	}
	start := time.Now()
	defer func() { p.member.slots.Leave(time.Since(start)) }()
	return p.run(ctx, x, r)
}

// run runs an exchange on the pinned connection. It is given up when the target
// is lost from sight.
func (p *pinnedConn) run(ctx context.Context, x *pollendoor.Exchange, r *pool.Reply) error {
	return p.whileReachable(func() error { return p.conn.Run(ctx, x, r) })
}

// query runs a query of the system's own on the pinned connection, with the
// same end.
func (p *pinnedConn) query(ctx context.Context, sql string) ([][]string, error) {
	var rows [][]string
	err := p.whileReachable(func() error {
		var err error
		rows, err = p.conn.Query(ctx, sql)
		return err
	})
	return rows, err
}

// whileSeen runs f, whose reads and writes fail once the target is lost from
// sight.
func (p *pinnedConn) whileReachable(operation func() error) error {
	stop := context.AfterFunc(p.reachability, func() { p.conn.Net.SetDeadline(time.Unix(1, 0)) })
	err := operation()
	if !stop() && err == nil {
		p.conn.Retire()
	}
	return err
}

// Link runs one session's exchanges at a group of this VM.
type Link struct {
	group      *Group
	pinnedConn *pinnedConn
}

// Close gives up the pinned connection, and with it an open transaction.
func (l *Link) Close() {
	if l.pinnedConn != nil {
		l.pinnedConn.release()
		l.pinnedConn = nil
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

// refused counts and explains a refusal that is not the caller's doing.
func (g *Group) recordRefusal(r *pollendoor.Refusal) {
	refusals.Add(r.Code, 1)
	if r.Code != pollendoor.CodeLostWrite {
		g.recordEvent("refusal", fmt.Sprintf("%s, outcome=%s: %s", r.Code, r.Fate, r.Cause))
	}
}

// ended is how one attempt ended.
type attemptResult struct {
	result  retry.Result
	answer  pollendoor.Answer
	refusal *pollendoor.Refusal // final
	cause   string
}

// runFresh runs an exchange outside of a transaction, as often as it takes and
// may be.
func (l *Link) runUnpinned(ctx context.Context, x *pollendoor.Exchange, r *pool.Reply) pollendoor.Answer {
	var constraint targetConstraint
	for count := 1; ; count++ {
		result := l.attempt(ctx, x, r, constraint)
		if result.refusal != nil {
			result.answer.Refusal = result.refusal
			return result.answer
		}
		verdict := retry.Decide(retry.Attempt{
			Result:  result.result,
			Read:    x.Class == pollendoor.AnyRead && !x.Begin,
			Keyed:   x.RequestID != "" && !x.Begin,
			Spilled: r.Spilled,
			Count:   count,
			Left:    timeLeft(ctx),
		})
		switch verdict {
		case retry.Finish:
			return result.answer
		case retry.Again:
			repeats.Add(1)
			// A read that a replica refused was a write.
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
			Code: pollendoor.CodeUnknown, Fate: verdict.Fate(), Message: "the outcome of the statement is not known", Cause: result.cause,
		}
		if verdict == retry.SayNotRun {
			result.answer.Refusal.Code = pollendoor.CodeNoPrimary
			result.answer.Refusal.Message = "the statement was not run"
			if ctx.Err() != nil {
				result.answer.Refusal.Code = pollendoor.CodeDeadline
				result.answer.Refusal.Message = "the statement was cancelled or its time was up before it was run"
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

// take waits for a place at the member's gate and a connection. An error means
// that nothing was sent.
func acquire(ctx context.Context, mb *member, x *pollendoor.Exchange) (*pinnedConn, *pollendoor.Refusal, error) {
	deadline, _ := ctx.Deadline()
	switch mb.gate.Enter(ctx, queue.Request{Team: x.Team, Weight: x.Weight, Batch: x.Batch, Deadline: deadline}) {
	case queue.Full:
		return nil, pollendoor.Refuse(pollendoor.CodeQueueFull, "too many statements of this team are waiting", "the team's queue at "+mb.addr.Name+" is full"), nil
	case queue.Late:
		return nil, pollendoor.Refuse(pollendoor.CodeDeadline, "the statement would not be served before its deadline", "the team's queue at "+mb.addr.Name+" is too long"), nil
	case queue.Gone:
		return nil, pollendoor.Refuse(pollendoor.CodeDeadline, "the deadline passed before the statement was sent", "waited for a connection to "+mb.addr.Name), nil
	}
	start, reachability := time.Now(), mb.reachability.Load()
	conn, err := mb.pool.Get(ctx)
	if err != nil {
		mb.gate.Leave(time.Since(start))
		return nil, nil, err
	}
	return &pinnedConn{member: mb, conn: conn, reachability: reachability.ctx, acquiredAt: start}, nil, nil
}

// send runs the exchange on a connection of its own. The connection is given
// back, or pinned while a transaction is open.
func (l *Link) send(ctx context.Context, p *pinnedConn, x *pollendoor.Exchange, r *pool.Reply) attemptResult {
	if x.RequestID != "" && x.Class == pollendoor.MustWrite && !x.Begin {
		return l.runOnce(ctx, p, x, r)
	}
	if err := p.runQueued(ctx, x, r); err != nil {
		p.release()
		if errors.Is(err, errSlotTimeout) {
			return attemptResult{result: retry.NotSent, cause: err.Error()}
		}
		return attemptResult{result: retry.Lost, cause: err.Error()}
	}
	if r.Err != nil && r.Err.Code == pollendoor.CodeReadOnly && r.TxStatus == 'I' {
		p.release()
		return attemptResult{result: retry.Refused, cause: r.Err.Message}
	}
	return l.finish(ctx, p, x, r)
}

// finish pins the connection or gives it back, and has a write acknowledged.
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
			result.result, result.cause = retry.Unacked, cause
		}
		return result
	}
	return l.awaitAcknowledgement(ctx, x, result)
}

// acknowledge waits until the write of an answer is known to last.
func (l *Link) awaitAcknowledgement(ctx context.Context, x *pollendoor.Exchange, result attemptResult) attemptResult {
	if result.answer.Position.IsZero() || x.Ack == pollendoor.AckBlind {
		return result
	}
	start := time.Now()
	switch l.group.awaitAck(ctx, result.answer.Position) {
	case ackCutOff:
		result.result, result.cause = retry.CutOff, "the write at "+result.answer.Position.String()+" was cut off by a promotion"
	case ackUnknown:
		result.result, result.cause = retry.Unacked, "no replica attested the write at "+result.answer.Position.String()+" before the deadline"
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
			return pollendoor.Answer{TxStatus: 'I', Refusal: pollendoor.Unsure("the outcome of the transaction is not known", err.Error())}
		}
		return pollendoor.Answer{TxStatus: 'E', Refusal: pollendoor.Refuse(pollendoor.CodeNoPrimary, "the transaction was cut and rolled back", err.Error())}
	}
	return l.finishPinned(ctx, x, r)
}

// settlePinned ends an exchange of a pinned connection.
func (l *Link) finishPinned(ctx context.Context, x *pollendoor.Exchange, r *pool.Reply) pollendoor.Answer {
	if x.Commit && r.Err != nil && r.Err.Code == pollendoor.CodeReadOnly && r.TxStatus == 'I' {
		l.Close()
		return pollendoor.Answer{TxStatus: 'I', Refusal: pollendoor.Refuse(codeRolledBack, "the transaction was rolled back: its primary was superseded", r.Err.Message)}
	}
	result := l.finish(ctx, l.pinnedConn, x, r)
	switch result.result {
	case retry.CutOff:
		result.answer.Refusal = pollendoor.Refuse(codeRolledBack, "the transaction was taken back by a promotion", result.cause)
	case retry.Unacked:
		result.answer.Refusal = pollendoor.Unsure("the outcome of the transaction is not known", result.cause)
	}
	return result.answer
}

// Unproven is the cause of refusing a read whose answer might show a write that
// the next primary never had.
const CauseUnreplicatedRead = "the primary holds writes that no replica has"

// codeRolledBack is serialization_failure, which callers repeat.
const codeRolledBack = "40001"
