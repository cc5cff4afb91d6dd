package pool

import (
	"context"
	"sync"
	"time"

	"github.com/pollendoor/pollendoor/pgwire"
)

const (
	// idleCheckAfter is how long a connection may be idle before it is checked
	// for a close by the target when it is reused.
	idleCheckAfter = 20 * time.Millisecond
	// dialTimeout is the maximum duration of one attempt to connect and log in.
	dialTimeout = 500 * time.Millisecond
	// idleTimeout is how long an idle connection is kept open.
	idleTimeout = 60 * time.Second
)

// Pool keeps the idle connections of one VM to one target. It does not limit
// the number of open connections; the queue in front of it does. The zero value
// with a Login is ready to use.
type Pool struct {
	Login pgwire.Login

	mu     sync.Mutex
	idle   []*Conn
	closed bool
}

// Get returns an idle connection or dials a new one. An error means that
// nothing was sent on behalf of a caller.
func (p *Pool) Get(ctx context.Context) (*Conn, error) {
	for {
		c := p.popIdle()
		if c == nil {
			break
		}
		if time.Since(c.idleSince) < idleCheckAfter || c.alive() {
			return c, nil
		}
		c.Close()
	}
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	wire, err := pgwire.Dial(ctx, p.Login)
	if err != nil {
		return nil, err
	}
	return &Conn{Conn: wire, txStatus: 'I'}, nil
}

func (p *Pool) popIdle() *Conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.idle) == 0 {
		return nil
	}
	c := p.idle[len(p.idle)-1]
	p.idle = p.idle[:len(p.idle)-1]
	return c
}

// Put returns a connection to the pool. A connection that is broken or within a
// transaction is closed.
func (p *Pool) Put(c *Conn) {
	c.idleSince = time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed || !c.reusable() {
		c.Close()
		return
	}
	p.idle = append(p.idle, c)
}

// Trim closes connections that have been idle for longer than idleTimeout.
func (p *Pool) Trim(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	kept := p.idle[:0]
	for _, c := range p.idle {
		if now.Sub(c.idleSince) < idleTimeout {
			kept = append(kept, c)
			continue
		}
		c.Close()
	}
	p.idle = kept
}

// Drop closes the idle connections after the target became unreachable.
func (p *Pool) Drop() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.idle {
		c.Close()
	}
	p.idle = nil
}

// Close closes the pool. Connections in use are closed when they are put back.
func (p *Pool) Close() {
	p.Drop()
	p.mu.Lock()
	p.closed = true
	p.mu.Unlock()
}
