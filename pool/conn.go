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
	// maxPrepared is the maximum number of prepared statements on a connection
	// that is reused.
	maxPrepared = 256
	// cancelGrace is how long a canceled statement may take to end before its
	// connection is closed.
	cancelGrace = 500 * time.Millisecond
	// cancelTimeout is the maximum duration of the cancel request itself.
	cancelTimeout = 500 * time.Millisecond
)

// Conn is one connection to a target for callers' statements.
type Conn struct {
	*pgwire.Conn

	prepared  map[string]bool
	idleSince time.Time
	txStatus  byte // transaction status of the last ReadyForQuery
	broken    bool
	plan      plan
}

// hasPrepared reports whether a statement is prepared on the connection.
func (c *Conn) hasPrepared(name string) bool { return c.prepared[name] }

// Reply collects the frames of an answer. Once Frames holds Limit bytes or
// more, the frames are passed to Spill, so that a large answer does not need a
// large buffer. The remaining frames stay in Frames until the caller of Run
// sends them.
type Reply struct {
	Frames  []byte          // backend messages that were not passed to Spill
	Limit   int             // size of Frames, in bytes, from which they are passed to Spill
	Spill   pollendoor.Sink // receives the frames of a large answer; nil keeps all in Frames
	Spilled bool            // whether any frames were passed to Spill

	TxStatus byte                // transaction status: I, T or E
	Position pollendoor.Position // position of the write, zero for none
	Err      *pgwire.ServerError // first error that the target returned
}

// Reset empties the reply for another attempt. It must not have spilled.
func (r *Reply) Reset() {
	r.Frames = r.Frames[:0]
	r.TxStatus, r.Position, r.Err = 0, pollendoor.Position{}, nil
}

// Run sends one exchange and collects its answer. After an error the connection
// is broken, and the exchange may or may not have run. When ctx ends, Run asks
// the target to cancel and still waits up to cancelGrace for its answer.
func (c *Conn) Run(ctx context.Context, x *pollendoor.Exchange, r *Reply) error {
	p := &c.plan
	if err := p.build(x, c.hasPrepared); err != nil {
		return err
	}
	stop := c.cancelOnDone(ctx)
	defer stop()
	c.broken = true // until the complete answer was read
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

// cancelOnDone asks the target to cancel when ctx ends. The returned function
// waits for a cancel request in progress, so that it cannot hit the next
// statement.
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

// readAnswer reads the answers that the plan expects.
func (c *Conn) readAnswer(p *plan, flush bool, r *Reply) error {
	if err := p.synthesizeAnswers(r); err != nil {
		return err
	}
	for {
		if flush && len(p.pending) == 0 {
			r.TxStatus = c.txStatus
			if r.TxStatus == 'I' || r.TxStatus == 0 {
				r.TxStatus = 'T' // within the implicit transaction of the batch
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

// handleMessage handles one message and reports whether the answer is complete.
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
		return false, errors.New("target started COPY, which is not supported")
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

// synthesizeAnswers adds the answers at the head of the plan that are generated
// here because the target was not asked for them.
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

// add appends a message to Frames. At a data row it passes the frames to Spill
// once they reach Limit.
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
	return errors.Wrap(err, "send to caller")
}

// notePrepared records a prepared statement. A connection with maxPrepared
// statements or more is closed when it is put back.
func (c *Conn) notePrepared(name string) {
	if name == "" {
		return
	}
	if c.prepared == nil {
		c.prepared = make(map[string]bool)
	}
	c.prepared[name] = true
}

// Query runs one internal simple query on the connection.
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

// alive checks an idle connection. It returns false if the target closed the
// connection or sent unexpected bytes.
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

// Usable reports whether the connection can run another statement.
func (c *Conn) Usable() bool { return !c.broken }

// Retire marks the connection so that it is closed when it is put back.
func (c *Conn) Retire() { c.broken = true }
