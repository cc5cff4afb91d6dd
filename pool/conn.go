package pool

import (
	"context"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/pollendoor/pollendoor"
	"github.com/pollendoor/pollendoor/pgwire"
)

const (
	// maxPrepared bounds the statements kept parsed on one connection.
	maxPrepared = 256
	// cancelGrace is how long a cancelled statement may take to end before its
	// connection is closed.
	cancelGrace = 500 * time.Millisecond
	// cancelCall bounds the cancel request itself.
	cancelTimeout = 500 * time.Millisecond
)

// Conn is one connection to a target for callers' statements.
type Conn struct {
	*pgwire.Conn

	prepared  map[string]bool
	idleSince time.Time
	txStatus  byte // of the last ReadyForQuery
	broken    bool
	plan      plan
}

// has reports whether a statement is parsed on the connection.
func (c *Conn) hasPrepared(name string) bool { return c.prepared[name] }

// Reply collects the frames of an answer. Frames beyond Limit bytes are handed
// to Spill as they come, so that a large answer needs no large buffer; what came
// last stays in Frames until the caller of Run sends it.
type Reply struct {
	Frames  []byte
	Limit   int
	Spill   pollendoor.Sink
	Spilled bool

	TxStatus byte
	Position pollendoor.Position // of the write, zero for none
	Err      *pgwire.ServerError // the target's first error
}

// Reset empties the reply for another attempt. It must not have spilled.
func (r *Reply) Reset() {
	r.Frames = r.Frames[:0]
	r.TxStatus, r.Position, r.Err = 0, pollendoor.Position{}, nil
}

// Run sends one exchange and collects its answer. After an error the connection
// is broken, and the exchange may or may not have run. When ctx ends, the target
// is asked to cancel, and its own answer still is awaited for a moment.
func (c *Conn) Run(ctx context.Context, x *pollendoor.Exchange, r *Reply) error {
	p := &c.plan
	if err := p.build(x, c.hasPrepared); err != nil {
		return err
	}
	stop := c.cancelOnDone(ctx)
	defer stop()
	c.broken = true // until the whole answer is in
	if _, err := c.Net.Write(p.out); err != nil {
		return errors.Wrap(err, "send to target")
	}
	if err := c.readAnswer(p, x.Flush, r); err != nil {
		return err
	}
	c.broken = false
	c.txStatus = r.TxStatus
	return nil
}

// cancelWith asks the target to cancel when ctx ends. The returned function
// waits for a request under way, so that it can't hit the next statement.
func (c *Conn) cancelOnDone(ctx context.Context) func() {
	done := make(chan struct{})
	stop := context.AfterFunc(ctx, func() {
		defer close(done)
		c.Net.SetReadDeadline(time.Now().Add(cancelTimeout + cancelGrace))
		cancelCtx, cancel := context.WithTimeout(context.Background(), cancelTimeout)
		defer cancel()
		if pgwire.Cancel(cancelCtx, c.Addr, c.PID, c.Secret) != nil {
			c.Net.SetReadDeadline(time.Now())
		}
	})
	return func() {
		if !stop() {
			<-done
			c.Net.SetReadDeadline(time.Time{})
		}
	}
}

// collect reads the answers that the plan expects.
func (c *Conn) readAnswer(p *plan, flush bool, r *Reply) error {
	if err := p.synthesizeAnswers(r); err != nil {
		return err
	}
	for {
		if flush && len(p.pending) == 0 {
			r.TxStatus = c.txStatus
			if r.TxStatus == 'I' || r.TxStatus == 0 {
				r.TxStatus = 'T' // within the batch's implicit transaction
			}
			return nil
		}
		m, err := c.Frontend.Receive()
		if err != nil {
			return errors.Wrap(err, "read target's answer")
		}
		done, err := c.handleMessage(m, p, r)
		if err != nil || done {
			return err
		}
	}
}

// take handles one message and reports whether the answer is complete.
func (c *Conn) handleMessage(m pgproto3.BackendMessage, p *plan, r *Reply) (bool, error) {
	switch m := m.(type) {
	case *pgproto3.ReadyForQuery:
		r.TxStatus = m.TxStatus
		return true, nil
	case *pgproto3.ParameterStatus:
		if m.Name == pgwire.PositionParam {
			position, err := pgwire.ParsePosition(m.Value)
			r.Position = position
			return false, err
		}
		return false, nil
	case *pgproto3.NotificationResponse:
		return false, nil
	case *pgproto3.CopyInResponse, *pgproto3.CopyOutResponse, *pgproto3.CopyBothResponse:
		return false, errors.New("target started a copy, which is not carried")
	case *pgproto3.ErrorResponse:
		if r.Err == nil {
			r.Err = pgwire.AsServerError(m)
		}
		p.pending = nil
	}
	if len(p.pending) == 0 || !completes(p.pending[0].kind, m) {
		return false, r.add(m)
	}
	expected := p.pending[0]
	p.pending = p.pending[1:]
	if expected.kind == 'P' {
		c.notePrepared(expected.name)
	}
	if expected.mode != discard {
		if err := r.add(m); err != nil {
			return false, err
		}
	}
	return false, p.synthesizeAnswers(r)
}

// settle adds the answers at the head of the plan that the target is not asked
// for.
func (p *plan) synthesizeAnswers(r *Reply) error {
	for len(p.pending) > 0 && p.pending[0].mode == synthesize {
		var m pgproto3.BackendMessage = &pgproto3.ParseComplete{}
		if p.pending[0].kind == 'C' {
			m = &pgproto3.CloseComplete{}
		}
		if err := r.add(m); err != nil {
			return err
		}
		p.pending = p.pending[1:]
	}
	return nil
}

// add appends a message, and spills when there are too many rows.
func (r *Reply) add(m pgproto3.BackendMessage) error {
	var err error
	if r.Frames, err = m.Encode(r.Frames); err != nil {
		return errors.Wrap(err, "encode answer")
	}
	if _, row := m.(*pgproto3.DataRow); !row || len(r.Frames) < r.Limit || r.Spill == nil {
		return nil
	}
	r.Spilled = true
	err = r.Spill(r.Frames)
	r.Frames = r.Frames[:0]
	return errors.Wrap(err, "caller is gone")
}

// keep notes a parsed statement. A connection with too many of them is retired
// when it comes back.
func (c *Conn) notePrepared(name string) {
	if name == "" {
		return
	}
	if c.prepared == nil {
		c.prepared = make(map[string]bool)
	}
	c.prepared[name] = true
}

// Query runs one simple query of the system's own on the connection.
func (c *Conn) Query(ctx context.Context, sql string) ([][]string, error) {
	rows, err := c.SimpleQuery(ctx, sql)
	var serverError *pgwire.ServerError
	if err != nil && !errors.As(err, &serverError) {
		c.broken = true
	}
	c.txStatus = c.TxStatus
	return rows, err
}

// reusable reports whether the connection may serve another caller.
func (c *Conn) reusable() bool {
	return !c.broken && c.txStatus == 'I' && len(c.prepared) < maxPrepared
}

// alive looks for a close or stray bytes on an idle connection.
func (c *Conn) alive() bool {
	syscallConn, ok := c.Net.(syscall.Conn)
	if !ok {
		return true
	}
	rawConn, err := syscallConn.SyscallConn()
	if err != nil {
		return false
	}
	var peekErr error
	err = rawConn.Read(func(fd uintptr) bool {
		var buf [1]byte
		_, _, peekErr = syscall.Recvfrom(int(fd), buf[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		return true
	})
	return err == nil && errors.Is(peekErr, syscall.EAGAIN)
}

// TxState returns the transaction status as of the last answer.
func (c *Conn) TxState() byte { return c.txStatus }

// Usable reports whether the connection can take another statement.
func (c *Conn) Usable() bool { return !c.broken }

// Retire has the connection closed when it is given back.
func (c *Conn) Retire() { c.broken = true }
