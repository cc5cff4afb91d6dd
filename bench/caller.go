package bench

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgconn"

	"github.com/pollendoor/pollendoor"
)

// caller is one client session. It reconnects when its connection is closed and
// can move to another VM with its session token.
type caller struct {
	lab       *Lab
	team      string
	route     string
	vm        int
	conn      *pgx.Conn
	token     string
	urlParams string // appended to the connection URL's query
}

func (c *caller) connect(ctx context.Context) error {
	if c.conn != nil && !c.conn.IsClosed() {
		return nil
	}
	url := c.lab.URL(c.vm, c.team, c.route) + "&pollendoor.session=" + c.token + c.urlParams
	conn, err := pgx.Connect(ctx, url)
	if err != nil {
		return err
	}
	c.conn = conn
	return nil
}

// moveTo closes the connection; the next statement connects to the given VM with
// the same token.
func (c *caller) moveTo(ctx context.Context, vm int) {
	c.vm = vm
	c.close(ctx)
}

func (c *caller) close(ctx context.Context) {
	if c.conn != nil {
		c.conn.Close(ctx)
		c.conn = nil
	}
}

// exec runs a statement, connecting first if necessary, and saves the session
// token.
func (c *caller) exec(ctx context.Context, sql string, args ...any) error {
	if err := c.connect(ctx); err != nil {
		return err
	}
	_, err := c.conn.Exec(ctx, sql, args...)
	c.saveToken()
	return err
}

func (c *caller) saveToken() {
	if t := c.conn.PgConn().ParameterStatus("pollendoor.session"); t != "" {
		c.token = t
	}
}

// queryInt runs a query that returns one integer, connecting first if necessary,
// and saves the session token.
func (c *caller) queryInt(ctx context.Context, sql string, args ...any) (int64, error) {
	if err := c.connect(ctx); err != nil {
		return 0, err
	}
	var n int64
	err := c.conn.QueryRow(ctx, sql, args...).Scan(&n)
	c.saveToken()
	return n, err
}

// sqlState returns the SQLSTATE of a server error, and an empty string for nil
// and all other errors.
func sqlState(err error) string {
	var pe *pgconn.PgError
	if errors.As(err, &pe) {
		return pe.Code
	}
	return ""
}

// describeError returns the text of an error, for server errors with the hint,
// which holds the cause of a refusal.
func describeError(err error) string {
	var pe *pgconn.PgError
	if errors.As(err, &pe) {
		return err.Error() + ": " + pe.Hint
	}
	return err.Error()
}

// notRun reports whether the server stated that the statement did not run.
func notRun(err error) bool {
	var pe *pgconn.PgError
	return errors.As(err, &pe) && pe.Detail == "outcome="+string(pollendoor.NotRun)
}

// runAtRate calls work once per interval until ctx ends, one call at a time. A
// call that is late starts at once, so the time that it waited is part of its
// latency when measured from its due time.
func runAtRate(ctx context.Context, interval time.Duration, work func(due time.Time)) {
	for due := time.Now(); ctx.Err() == nil; due = due.Add(interval) {
		if d := time.Until(due); d > 0 {
			t := time.NewTimer(d)
			select {
			case <-ctx.Done():
				t.Stop()
				return
			case <-t.C:
			}
		}
		work(due)
	}
}

// writeLedger records the outcome of writes of rows with unique ids. Its audit
// compares them with the rows stored at the end.
type writeLedger struct {
	mu         sync.Mutex
	acked      map[string]pollendoor.Position
	refusedIDs map[string]bool // ids of writes that were refused as not run
	unknown    int
	refused    int
}

func newWriteLedger() *writeLedger {
	return &writeLedger{acked: make(map[string]pollendoor.Position), refusedIDs: make(map[string]bool)}
}

// record records the outcome of one write: its error and, if it was
// acknowledged, its position.
func (l *writeLedger) record(id string, err error, p pollendoor.Position) {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case err == nil:
		l.acked[id] = p
	case notRun(err):
		l.refusedIDs[id] = true
		l.refused++
	default:
		l.unknown++
	}
}

// createGiftTable creates the table that holds the rows of a writeLedger.
const createGiftTable = "CREATE TABLE gift (id TEXT, amount BIGINT)"

// setUpGiftTable creates the gift table and returns the caller that created it.
func (l *Lab) setUpGiftTable(ctx context.Context) (*caller, error) {
	c := &caller{lab: l, team: "festa", route: firstGroup}
	if err := c.exec(ctx, createGiftTable); err != nil {
		c.close(ctx)
		return nil, err
	}
	return c, nil
}

// audit reads the rows at the primary and compares them with the recorded
// outcomes. It counts acknowledged writes that are missing or whose positions
// are not part of the lineage at term, rows that are there more than once, and
// rows whose writes were refused as not run.
func (l *writeLedger) audit(ctx context.Context, c *caller, r *Result, lineage pollendoor.Lineage, term pollendoor.Term) error {
	if err := c.connect(ctx); err != nil {
		return err
	}
	counts := make(map[string]int64)
	err := pgx.BeginFunc(ctx, c.conn, func(tx pgx.Tx) error {
		rows, err := tx.Query(ctx, "SELECT id, count(*) FROM gift GROUP BY id")
		if err != nil {
			return err
		}
		defer rows.Close()
		for rows.Next() {
			var id string
			var n int64
			if err := rows.Scan(&id, &n); err != nil {
				return err
			}
			counts[id] = n
		}
		return rows.Err()
	})
	if err != nil {
		return errors.Wrap(err, "audit")
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	lost, doubled, superseded, falseNotRun := 0, 0, 0, 0
	for id, p := range l.acked {
		if counts[id] == 0 {
			lost++
		}
		if !p.IsZero() && !lineage.Contains(p, term) {
			superseded++
		}
	}
	for id, n := range counts {
		if n > 1 {
			doubled++
		}
		if l.refusedIDs[id] {
			falseNotRun++
		}
	}
	r.Figures["acked"] += float64(len(l.acked))
	r.Figures["lost"] += float64(lost)
	r.Figures["doubled"] += float64(doubled)
	r.Figures["supersededAcks"] += float64(superseded)
	r.Figures["falseNotRun"] += float64(falseNotRun)
	r.Figures["unknown"] += float64(l.unknown)
	r.Figures["refused"] += float64(l.refused)
	r.addViolations(lost+doubled+superseded+falseNotRun, fmt.Sprintf("lost %d, doubled %d, superseded %d, false notRun %d", lost, doubled, superseded, falseNotRun))
	return nil
}
