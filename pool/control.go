package pool

import (
	"context"
	"encoding/json"
	"fmt"
	"sync"

	"github.com/cockroachdb/errors"

	"github.com/pollendoor/pollendoor"
	"github.com/pollendoor/pollendoor/pgwire"
)

// Control is the control interface of one target over its wire protocol. It
// keeps one connection, which it dials again after an error. It is safe for
// concurrent use; calls are serialized.
type Control struct {
	Login pgwire.Login

	mu   sync.Mutex
	conn *pgwire.Conn
}

var _ pollendoor.Target = (*Control)(nil)

// Query runs one simple query and returns its rows.
func (c *Control) Query(ctx context.Context, sql string) ([][]string, error) {
	rows, _, err := c.Exec(ctx, sql)
	return rows, err
}

// Exec runs one simple query and returns its rows and the position of the write
// that it made, if any.
func (c *Control) Exec(ctx context.Context, sql string) ([][]string, pollendoor.Position, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.conn == nil {
		conn, err := pgwire.Dial(ctx, c.Login)
		if err != nil {
			return nil, pollendoor.Position{}, err
		}
		c.conn = conn
	}
	rows, err := c.conn.SimpleQuery(ctx, sql)
	var serverError *pgwire.ServerError
	if err != nil && !errors.As(err, &serverError) {
		c.conn.Close()
		c.conn = nil
		return nil, pollendoor.Position{}, err
	}
	return rows, c.conn.Position, err
}

// Close closes the connection. The next call dials again.
func (c *Control) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.conn != nil {
		c.conn.Close()
		c.conn = nil
	}
}

func (c *Control) command(ctx context.Context, sql string) (pollendoor.TargetStatus, error) {
	var status pollendoor.TargetStatus
	rows, err := c.Query(ctx, sql)
	if err != nil {
		return status, err
	}
	if len(rows) != 1 || len(rows[0]) != 1 {
		return status, errors.Newf("target answered %q with %d rows", sql, len(rows))
	}
	err = json.Unmarshal([]byte(rows[0][0]), &status)
	return status, errors.Wrap(err, "target status")
}

// Status requests the target's status.
func (c *Control) Status(ctx context.Context) (pollendoor.TargetStatus, error) {
	return c.command(ctx, "STATUS")
}

// Fence makes the target refuse terms smaller than t.
func (c *Control) Fence(ctx context.Context, t pollendoor.Term) (pollendoor.TargetStatus, error) {
	return c.command(ctx, fmt.Sprintf("FENCE %d", t))
}

// Promote makes the target the primary of term t.
func (c *Control) Promote(ctx context.Context, t pollendoor.Term) (pollendoor.TargetStatus, error) {
	return c.command(ctx, fmt.Sprintf("PROMOTE %d", t))
}

// Follow makes the target a replica of the primary at addr in term t. The
// target drops log entries after the index after.
func (c *Control) Follow(ctx context.Context, t pollendoor.Term, addr string, after uint64) (pollendoor.TargetStatus, error) {
	return c.command(ctx, fmt.Sprintf("FOLLOW %d %s %d", t, addr, after))
}
