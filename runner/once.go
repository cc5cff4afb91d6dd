package runner

import (
	"context"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/pollendoor/pollendoor"
	"github.com/pollendoor/pollendoor/dedup"
	"github.com/pollendoor/pollendoor/pgwire"
	"github.com/pollendoor/pollendoor/pool"
	"github.com/pollendoor/pollendoor/retry"
)

// commitGrace is how long a commit may run beyond its deadline, so that its
// outcome becomes known.
const commitGrace = time.Second

func dedupKey(x *pollendoor.Exchange) dedup.Key {
	return dedup.Key{Team: x.Team, ID: x.RequestID, Digest: x.Digest, Shape: x.Shape}
}

// runOnce runs a write that carries an idempotency key. The row of the key, the
// statement and the stored answer are written in one transaction.
func (l *Link) runOnce(ctx context.Context, p *pinnedConn, x *pollendoor.Exchange, r *pool.Reply) attemptResult {
	key := dedupKey(x)
	rows, err := p.query(ctx, "BEGIN; "+key.Claim(time.Now()))
	if err != nil {
		p.rollback(ctx)
		return attemptResult{result: retry.Refused, cause: err.Error()}
	}
	if len(rows) == 0 {
		p.rollback(ctx)
		return l.replayAnswer(ctx, x, r)
	}
	if err := p.run(ctx, x, r); err != nil {
		p.release() // the transaction was not committed
		return attemptResult{result: retry.Refused, cause: err.Error()}
	}
	if r.Err != nil {
		fenced := r.Err.Code == pollendoor.CodeReadOnly
		p.rollback(ctx)
		if fenced {
			return attemptResult{result: retry.Refused, cause: r.Err.Message}
		}
		return attemptResult{answer: pollendoor.Answer{TxStatus: 'I'}}
	}
	return l.commitWithAnswer(ctx, p, key, x, r)
}

// commitWithAnswer stores the answer in the row of the key and commits.
func (l *Link) commitWithAnswer(ctx context.Context, p *pinnedConn, key dedup.Key, x *pollendoor.Exchange, r *pool.Reply) attemptResult {
	sql := "COMMIT"
	if save := key.SaveAnswer(r.Frames); save != "" && !r.Spilled {
		sql = save + "; COMMIT"
	}
	commitCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), timeLeft(ctx)+commitGrace)
	defer cancel()
	_, err := p.query(commitCtx, sql)
	position := p.conn.Position
	var serverError *pgwire.ServerError
	switch {
	case errors.As(err, &serverError):
		p.rollback(ctx)
		return attemptResult{result: retry.Refused, cause: err.Error()}
	case err != nil:
		p.release()
		return attemptResult{result: retry.NoAnswer, cause: err.Error()}
	}
	p.release()
	return l.awaitAcknowledgement(ctx, x, attemptResult{answer: pollendoor.Answer{TxStatus: 'I', Position: position}})
}

// rollback rolls back the transaction and releases the connection.
func (p *pinnedConn) rollback(ctx context.Context) {
	if p.conn.Usable() {
		rollbackCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), stepTimeout)
		p.query(rollbackCtx, "ROLLBACK")
		cancel()
	}
	p.release()
}

// replayAnswer answers a request whose key was used before from the row of the
// key.
func (l *Link) replayAnswer(ctx context.Context, x *pollendoor.Exchange, r *pool.Reply) attemptResult {
	verdict, answer, position, err := l.lookupKey(ctx, dedupKey(x))
	if err != nil {
		return attemptResult{result: retry.NoAnswer, cause: err.Error()}
	}
	switch verdict {
	case dedup.Absent:
		return attemptResult{result: retry.Refused, cause: "the row of the idempotency key was rolled back in the meantime"}
	case dedup.Replay:
		replays.Add(1)
		r.Frames = append(r.Frames[:0], answer...)
		return attemptResult{answer: pollendoor.Answer{TxStatus: 'I', Position: position}}
	case dedup.NoAnswer:
		return attemptResult{refusal: &pollendoor.Refusal{
			Code: pollendoor.CodeNoSavedAnswer, Outcome: pollendoor.Ran,
			Message: "the request ran before; its answer is not available in this encoding", Cause: "request " + x.RequestID,
		}}
	case dedup.Voided:
		return attemptResult{refusal: pollendoor.Refuse(pollendoor.CodeIDConflict, "the request id was voided after an unknown outcome", "request "+x.RequestID)}
	}
	return attemptResult{refusal: pollendoor.Refuse(pollendoor.CodeIDConflict, "the request id was used for another request", "request "+x.RequestID)}
}

// lookupKey reads the row of a key at the primary, and waits until everything
// that the primary had at that time is known to be replicated.
func (l *Link) lookupKey(ctx context.Context, key dedup.Key) (dedup.Verdict, []byte, pollendoor.Position, error) {
	var none pollendoor.Position
	m, _, refusal := l.group.pickTarget(ctx, &pollendoor.Exchange{Class: pollendoor.MustWrite}, targetConstraint{primary: true})
	if refusal != nil {
		return 0, nil, none, refusal
	}
	rows, err := m.admin.Query(ctx, key.Lookup())
	if err != nil {
		return 0, nil, none, err
	}
	status, err := m.admin.Status(ctx)
	if err != nil {
		return 0, nil, none, err
	}
	position := pollendoor.Position{Term: status.Term, Index: status.Index}
	if ack := l.group.awaitAck(ctx, position); ack != ackConfirmed {
		return 0, nil, none, errors.New("the row of the idempotency key is not known to be replicated")
	}
	verdict, answer, err := key.Evaluate(rows)
	return verdict, answer, position, err
}

// commitOnce commits a transaction that carries an idempotency key.
func (l *Link) commitOnce(ctx context.Context, x *pollendoor.Exchange, r *pool.Reply) pollendoor.Answer {
	key := dedupKey(x)
	p := l.pinnedConn
	rows, err := p.query(ctx, key.Claim(time.Now()))
	if err != nil {
		p.rollback(ctx)
		l.pinnedConn = nil
		return pollendoor.Answer{TxStatus: 'I', Refusal: pollendoor.Refuse(codeRolledBack, "the transaction was rolled back", err.Error())}
	}
	if len(rows) == 0 {
		return l.commitDuplicate(ctx, key, x, r)
	}
	commitCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), timeLeft(ctx)+commitGrace)
	defer cancel()
	if err := p.run(commitCtx, x, r); err != nil {
		l.Close()
		return l.resolveCommit(ctx, key, x, r, err)
	}
	return l.finishPinned(ctx, x, r)
}

// commitDuplicate ends a transaction whose key was used before: it rolls back
// the transaction and reports the outcome of the first one.
func (l *Link) commitDuplicate(ctx context.Context, key dedup.Key, x *pollendoor.Exchange, r *pool.Reply) pollendoor.Answer {
	p := l.pinnedConn
	l.pinnedConn = nil
	_, err := p.query(ctx, "ROLLBACK")
	if err != nil {
		p.release()
		return pollendoor.Answer{TxStatus: 'I', Refusal: pollendoor.RefuseUnknown("the outcome of the transaction is not known", err.Error())}
	}
	verdict, _, position, err := l.lookupKey(ctx, key)
	if err != nil {
		p.release()
		return pollendoor.Answer{TxStatus: 'I', Refusal: pollendoor.RefuseUnknown("the outcome of the transaction is not known", err.Error())}
	}
	if verdict != dedup.Replay && verdict != dedup.NoAnswer {
		p.release()
		return pollendoor.Answer{TxStatus: 'I', Refusal: pollendoor.Refuse(pollendoor.CodeIDConflict, "the request id was used for another transaction", "request "+x.RequestID)}
	}
	replays.Add(1)
	// No transaction is open on the connection any more, so the commit changes
	// nothing and returns an answer in the encoding that the caller expects.
	err = p.run(ctx, x, r)
	p.release()
	if err != nil {
		return pollendoor.Answer{TxStatus: 'I', Refusal: &pollendoor.Refusal{Code: pollendoor.CodeNoSavedAnswer, Outcome: pollendoor.Ran, Message: "the transaction ran before", Cause: err.Error()}}
	}
	return pollendoor.Answer{TxStatus: 'I', Position: position}
}

// resolveCommit determines the outcome of a commit whose answer was lost, by
// means of the key: either the row of the transaction exists, or resolveCommit
// claims the key itself so that the transaction can no longer commit.
func (l *Link) resolveCommit(ctx context.Context, key dedup.Key, x *pollendoor.Exchange, r *pool.Reply, cause error) pollendoor.Answer {
	voidKey := key
	voidKey.Digest = dedup.VoidDigest
	for count := 1; timeLeft(ctx) > 0; count++ {
		m, _, refusal := l.group.pickTarget(ctx, x, targetConstraint{primary: true})
		if refusal != nil {
			break
		}
		rows, position, err := m.admin.Exec(ctx, voidKey.Claim(time.Now()))
		if err == nil && len(rows) > 0 && l.group.awaitAck(ctx, position) == ackConfirmed {
			return pollendoor.Answer{TxStatus: 'I', Refusal: pollendoor.Refuse(codeRolledBack, "the transaction was not committed", cause.Error())}
		}
		if err == nil && len(rows) == 0 {
			if answer, ok := l.answerCommitted(ctx, key, x, r); ok {
				return answer
			}
		}
		pollendoor.Pause(ctx, retry.Backoff(count))
	}
	return pollendoor.Answer{TxStatus: 'I', Refusal: pollendoor.RefuseUnknown("the outcome of the transaction is not known", cause.Error())}
}

// answerCommitted answers a commit whose key has a row.
func (l *Link) answerCommitted(ctx context.Context, key dedup.Key, x *pollendoor.Exchange, r *pool.Reply) (pollendoor.Answer, bool) {
	verdict, _, position, err := l.lookupKey(ctx, key)
	if err != nil || verdict == dedup.Absent {
		return pollendoor.Answer{}, false
	}
	if verdict == dedup.Voided || verdict == dedup.Conflict {
		return pollendoor.Answer{TxStatus: 'I', Refusal: pollendoor.Refuse(codeRolledBack, "the transaction was not committed", "its idempotency key is in use")}, true
	}
	r.Reset()
	m, _, refusal := l.group.pickTarget(ctx, x, targetConstraint{primary: true})
	if refusal != nil {
		return pollendoor.Answer{}, false
	}
	p, _, err := acquire(ctx, m, x)
	if err != nil || p == nil {
		return pollendoor.Answer{}, false
	}
	err = p.run(ctx, x, r)
	p.release()
	return pollendoor.Answer{TxStatus: 'I', Position: position}, err == nil && !strings.HasPrefix(string(r.Frames), "E")
}
