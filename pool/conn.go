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
	cancelCall = 500 * time.Millisecond
)

// Conn is one connection to a target for callers' statements.
type Conn struct {
	*pgwire.Conn

	prepared map[string]bool
	idleAt   time.Time
	status   byte // of the last ReadyForQuery
	broken   bool
	plan     plan
}

// has reports whether a statement is parsed on the connection.
func (c *Conn) has(name string) bool { return c.prepared[name] }

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
	if err := p.make(x, c.has); err != nil {
		return err
	}
	stop := c.cancelWith(ctx)
	defer stop()
	c.broken = true // until the whole answer is in
	if _, err := c.Net.Write(p.out); err != nil {
		return errors.Wrap(err, "send to target")
	}
	if err := c.collect(p, x.Flush, r); err != nil {
		return err
	}
	c.broken = false
	c.status = r.TxStatus
	return nil
}

// cancelWith asks the target to cancel when ctx ends. The returned function
// waits for a request under way, so that it can't hit the next statement.
func (c *Conn) cancelWith(ctx context.Context) func() {
	done := make(chan struct{})
	stop := context.AfterFunc(ctx, func() {
		defer close(done)
		c.Net.SetReadDeadline(time.Now().Add(cancelCall + cancelGrace))
		cc, cancel := context.WithTimeout(context.Background(), cancelCall)
		defer cancel()
		if pgwire.Cancel(cc, c.Addr, c.PID, c.Secret) != nil {
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
func (c *Conn) collect(p *plan, flush bool, r *Reply) error {
	if err := p.settle(r); err != nil {
		return err
	}
	for {
		if flush && len(p.ops) == 0 {
			r.TxStatus = c.status
			if r.TxStatus == 'I' || r.TxStatus == 0 {
				r.TxStatus = 'T' // within the batch's implicit transaction
			}
			return nil
		}
		m, err := c.Front.Receive()
		if err != nil {
			return errors.Wrap(err, "read target's answer")
		}
		done, err := c.take(m, p, r)
		if err != nil || done {
			return err
		}
	}
}

// take handles one message and reports whether the answer is complete.
func (c *Conn) take(m pgproto3.BackendMessage, p *plan, r *Reply) (bool, error) {
	switch m := m.(type) {
	case *pgproto3.ReadyForQuery:
		r.TxStatus = m.TxStatus
		return true, nil
	case *pgproto3.ParameterStatus:
		if m.Name == pgwire.PositionParam {
			pos, err := pgwire.ParsePosition(m.Value)
			r.Position = pos
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
		p.ops = nil
	}
	if len(p.ops) == 0 || !ends(p.ops[0].kind, m) {
		return false, r.add(m)
	}
	head := p.ops[0]
	p.ops = p.ops[1:]
	if head.kind == 'P' {
		c.keep(head.name)
	}
	if head.mode != swallow {
		if err := r.add(m); err != nil {
			return false, err
		}
	}
	return false, p.settle(r)
}

// settle adds the answers at the head of the plan that the target is not asked
// for.
func (p *plan) settle(r *Reply) error {
	for len(p.ops) > 0 && p.ops[0].mode == invent {
		var m pgproto3.BackendMessage = &pgproto3.ParseComplete{}
		if p.ops[0].kind == 'C' {
			m = &pgproto3.CloseComplete{}
		}
		if err := r.add(m); err != nil {
			return err
		}
		p.ops = p.ops[1:]
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
func (c *Conn) keep(name string) {
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
	rows, err := c.Simple(ctx, sql)
	var se *pgwire.ServerError
	if err != nil && !errors.As(err, &se) {
		c.broken = true
	}
	c.status = c.TxStatus
	return rows, err
}

// reusable reports whether the connection may serve another caller.
func (c *Conn) reusable() bool {
	return !c.broken && c.status == 'I' && len(c.prepared) < maxPrepared
}

// alive looks for a close or stray bytes on an idle connection.
func (c *Conn) alive() bool {
	sc, ok := c.Net.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	var peeked error
	err = raw.Read(func(fd uintptr) bool {
		var one [1]byte
		_, _, peeked = syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		return true
	})
	return err == nil && errors.Is(peeked, syscall.EAGAIN)
}

// TxState returns the transaction status as of the last answer.
func (c *Conn) TxState() byte { return c.status }

// Usable reports whether the connection can take another statement.
func (c *Conn) Usable() bool { return !c.broken }

// Retire has the connection closed when it is given back.
func (c *Conn) Retire() { c.broken = true }
