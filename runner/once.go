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

// commitGrace is how long a commit may take beyond the deadline, so that its
// outcome becomes known.
const commitGrace = time.Second

func keyOf(x *pollendoor.Exchange) dedup.Key {
	return dedup.Key{Team: x.Team, ID: x.RequestID, Digest: x.Digest, Shape: x.Shape}
}

// once runs a write that carries an idempotency key: the key's row, the
// statement and the answer in one transaction.
func (l *Link) once(ctx context.Context, p *pin, x *pollendoor.Exchange, r *pool.Reply) ended {
	key := keyOf(x)
	rows, err := p.query(ctx, "BEGIN; "+key.Claim(time.Now()))
	if err != nil {
		p.abort(ctx)
		return ended{result: retry.Refused, cause: err.Error()}
	}
	if len(rows) == 0 {
		p.abort(ctx)
		return l.replay(ctx, x, r)
	}
	if err := p.run(ctx, x, r); err != nil {
		p.release() // the transaction was never committed
		return ended{result: retry.Refused, cause: err.Error()}
	}
	if r.Err != nil {
		fenced := r.Err.Code == pollendoor.CodeReadOnly
		p.abort(ctx)
		if fenced {
			return ended{result: retry.Refused, cause: r.Err.Message}
		}
		return ended{answer: pollendoor.Answer{TxStatus: 'I'}}
	}
	return l.commitKept(ctx, p, key, x, r)
}

// commitKept stores the answer beside the key and commits.
func (l *Link) commitKept(ctx context.Context, p *pin, key dedup.Key, x *pollendoor.Exchange, r *pool.Reply) ended {
	text := "COMMIT"
	if keep := key.Keep(r.Frames); keep != "" && !r.Spilled {
		text = keep + "; COMMIT"
	}
	c, cancel := context.WithTimeout(context.WithoutCancel(ctx), left(ctx)+commitGrace)
	defer cancel()
	_, err := p.query(c, text)
	pos := p.conn.Position
	var se *pgwire.ServerError
	switch {
	case errors.As(err, &se):
		p.abort(ctx)
		return ended{result: retry.Refused, cause: err.Error()}
	case err != nil:
		p.release()
		return ended{result: retry.NoAnswer, cause: err.Error()}
	}
	p.release()
	return l.acknowledge(ctx, x, ended{answer: pollendoor.Answer{TxStatus: 'I', Position: pos}})
}

// abort rolls back and gives the connection back.
func (p *pin) abort(ctx context.Context) {
	if p.conn.Usable() {
		c, cancel := context.WithTimeout(context.WithoutCancel(ctx), stepTimeout)
		p.query(c, "ROLLBACK")
		cancel()
	}
	p.release()
}

// replay answers a request whose key was used before, from the key's row.
func (l *Link) replay(ctx context.Context, x *pollendoor.Exchange, r *pool.Reply) ended {
	verdict, answer, pos, err := l.lookup(ctx, keyOf(x))
	if err != nil {
		return ended{result: retry.NoAnswer, cause: err.Error()}
	}
	switch verdict {
	case dedup.Absent:
		return ended{result: retry.Refused, cause: "the row of the key was rolled back meanwhile"}
	case dedup.Replay:
		replays.Add(1)
		r.Frames = append(r.Frames[:0], answer...)
		return ended{answer: pollendoor.Answer{TxStatus: 'I', Position: pos}}
	case dedup.NoAnswer:
		return ended{refusal: &pollendoor.Refusal{
			Code: pollendoor.CodeNoSavedAnswer, Fate: pollendoor.Ran,
			Message: "the request ran before; its answer was not kept in this form", Cause: "request " + x.RequestID,
		}}
	case dedup.Voided:
		return ended{refusal: pollendoor.Refuse(pollendoor.CodeIDConflict, "the request id was given up after an unknown outcome", "request "+x.RequestID)}
	}
	return ended{refusal: pollendoor.Refuse(pollendoor.CodeIDConflict, "the request id was used for another request", "request "+x.RequestID)}
}

// lookup reads a key's row at the primary, and waits until all that the primary
// had then is known to last.
func (l *Link) lookup(ctx context.Context, key dedup.Key) (dedup.Verdict, []byte, pollendoor.Position, error) {
	var none pollendoor.Position
	m, _, refusal := l.group.pick(ctx, &pollendoor.Exchange{Class: pollendoor.MustWrite}, choice{primary: true})
	if refusal != nil {
		return 0, nil, none, refusal
	}
	rows, err := m.admin.Query(ctx, key.Lookup())
	if err != nil {
		return 0, nil, none, err
	}
	st, err := m.admin.Status(ctx)
	if err != nil {
		return 0, nil, none, err
	}
	pos := pollendoor.Position{Term: st.Term, Index: st.Index}
	if got := l.group.awaitAck(ctx, pos); got != acked {
		return 0, nil, none, errors.New("the row of the key is not known to last")
	}
	verdict, answer, err := key.Judge(rows)
	return verdict, answer, pos, err
}

// commitOnce commits a transaction that carries an idempotency key.
func (l *Link) commitOnce(ctx context.Context, x *pollendoor.Exchange, r *pool.Reply) pollendoor.Answer {
	key := keyOf(x)
	p := l.pin
	rows, err := p.query(ctx, key.Claim(time.Now()))
	if err != nil {
		p.abort(ctx)
		l.pin = nil
		return pollendoor.Answer{TxStatus: 'I', Refusal: pollendoor.Refuse(codeRolledBack, "the transaction was rolled back", err.Error())}
	}
	if len(rows) == 0 {
		return l.commitUsed(ctx, key, x, r)
	}
	c, cancel := context.WithTimeout(context.WithoutCancel(ctx), left(ctx)+commitGrace)
	defer cancel()
	if err := p.run(c, x, r); err != nil {
		l.Close()
		return l.resolve(ctx, key, x, r, err)
	}
	return l.settlePinned(ctx, x, r)
}

// commitUsed ends a transaction whose key was used before: what it did now is
// undone, and the first outcome is announced.
func (l *Link) commitUsed(ctx context.Context, key dedup.Key, x *pollendoor.Exchange, r *pool.Reply) pollendoor.Answer {
	p := l.pin
	l.pin = nil
	_, err := p.query(ctx, "ROLLBACK")
	if err != nil {
		p.release()
		return pollendoor.Answer{TxStatus: 'I', Refusal: pollendoor.Unsure("the outcome of the transaction is not known", err.Error())}
	}
	verdict, _, pos, err := l.lookup(ctx, key)
	if err != nil {
		p.release()
		return pollendoor.Answer{TxStatus: 'I', Refusal: pollendoor.Unsure("the outcome of the transaction is not known", err.Error())}
	}
	if verdict != dedup.Replay && verdict != dedup.NoAnswer {
		p.release()
		return pollendoor.Answer{TxStatus: 'I', Refusal: pollendoor.Refuse(pollendoor.CodeIDConflict, "the request id was used for another transaction", "request "+x.RequestID)}
	}
	replays.Add(1)
	// On the idle connection the commit changes nothing and is answered in the
	// form the caller waits for.
	err = p.run(ctx, x, r)
	p.release()
	if err != nil {
		return pollendoor.Answer{TxStatus: 'I', Refusal: &pollendoor.Refusal{Code: pollendoor.CodeNoSavedAnswer, Fate: pollendoor.Ran, Message: "the transaction ran before", Cause: err.Error()}}
	}
	return pollendoor.Answer{TxStatus: 'I', Position: pos}
}

// resolve finds out what became of a commit whose answer was lost. It uses the
// key itself: either the row of the transaction is there, or the key is taken so
// that the transaction can't commit any more.
func (l *Link) resolve(ctx context.Context, key dedup.Key, x *pollendoor.Exchange, r *pool.Reply, lost error) pollendoor.Answer {
	void := key
	void.Digest = dedup.VoidDigest
	for n := 1; left(ctx) > 0; n++ {
		m, _, refusal := l.group.pick(ctx, x, choice{primary: true})
		if refusal != nil {
			break
		}
		rows, pos, err := m.admin.Exec(ctx, void.Claim(time.Now()))
		if err == nil && len(rows) > 0 && l.group.awaitAck(ctx, pos) == acked {
			return pollendoor.Answer{TxStatus: 'I', Refusal: pollendoor.Refuse(codeRolledBack, "the transaction was not committed", lost.Error())}
		}
		if err == nil && len(rows) == 0 {
			if a, ok := l.resolved(ctx, key, x, r); ok {
				return a
			}
		}
		pollendoor.Pause(ctx, retry.Backoff(n))
	}
	return pollendoor.Answer{TxStatus: 'I', Refusal: pollendoor.Unsure("the outcome of the transaction is not known", lost.Error())}
}

// resolved answers a commit whose key has a row.
func (l *Link) resolved(ctx context.Context, key dedup.Key, x *pollendoor.Exchange, r *pool.Reply) (pollendoor.Answer, bool) {
	verdict, _, pos, err := l.lookup(ctx, key)
	if err != nil || verdict == dedup.Absent {
		return pollendoor.Answer{}, false
	}
	if verdict == dedup.Voided || verdict == dedup.Conflict {
		return pollendoor.Answer{TxStatus: 'I', Refusal: pollendoor.Refuse(codeRolledBack, "the transaction was not committed", "its key is taken")}, true
	}
	r.Reset()
	m, _, refusal := l.group.pick(ctx, x, choice{primary: true})
	if refusal != nil {
		return pollendoor.Answer{}, false
	}
	p, _, err := take(ctx, m, x)
	if err != nil || p == nil {
		return pollendoor.Answer{}, false
	}
	err = p.run(ctx, x, r)
	p.release()
	return pollendoor.Answer{TxStatus: 'I', Position: pos}, err == nil && !strings.HasPrefix(string(r.Frames), "E")
}
