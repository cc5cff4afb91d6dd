package fakes

import (
	"context"
	"database/sql"
	"fmt"
	"strings"
	"sync"

	"github.com/cockroachdb/errors"
	_ "modernc.org/sqlite" // SQL engine of the fake targets

	"github.com/pollendoor/pollendoor/route"
)

// statement is one SQL statement with its arguments. Writes are replicated in
// this form.
type statement struct {
	SQL  string
	Args []any
}

// column describes one column of a result.
type column struct {
	name string
	oid  uint32 // OID of the PostgreSQL type
}

// result is the result of one statement.
type result struct {
	columns []column
	rows    [][]any
	tag     string // PostgreSQL command tag
}

// engine is one in-memory database, accessed through a single connection.
type engine struct {
	mu   sync.Mutex
	db   *sql.DB
	conn *sql.Conn
}

func newEngine() (*engine, error) {
	db, err := sql.Open("sqlite", ":memory:")
	if err != nil {
		return nil, errors.Wrap(err, "open engine")
	}
	c, err := db.Conn(context.Background())
	if err != nil {
		return nil, errors.Wrap(err, "open engine")
	}
	return &engine{db: db, conn: c}, nil
}

func (e *engine) close() {
	e.conn.Close()
	e.db.Close()
}

// run executes one statement and returns its rows, if it has any, and its
// command tag.
func (e *engine) run(st statement) (*result, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !hasRows(st.SQL) {
		r, err := e.conn.ExecContext(context.Background(), st.SQL, st.Args...)
		if err != nil {
			return nil, err
		}
		n, _ := r.RowsAffected()
		return &result{tag: tag(st.SQL, n)}, nil
	}
	return e.query(st)
}

func (e *engine) query(st statement) (*result, error) {
	rows, err := e.conn.QueryContext(context.Background(), st.SQL, st.Args...)
	if err != nil {
		return nil, err
	}
	defer rows.Close()
	types, err := rows.ColumnTypes()
	if err != nil {
		return nil, err
	}
	res := &result{}
	for rows.Next() {
		row := make([]any, len(types))
		dest := make([]any, len(types))
		for i := range row {
			dest[i] = &row[i]
		}
		if err := rows.Scan(dest...); err != nil {
			return nil, err
		}
		res.rows = append(res.rows, row)
	}
	if err := rows.Err(); err != nil {
		return nil, err
	}
	for i, t := range types {
		res.columns = append(res.columns, column{name: t.Name(), oid: columnOID(t, res.rows, i)})
	}
	res.tag = tag(st.SQL, int64(len(res.rows)))
	return res, nil
}

// describe returns the columns of a statement. It runs the statement within a
// savepoint and rolls it back. The caller must hold the target's write lock if
// the statement is a write.
func (e *engine) describe(sql string, params int) ([]column, error) {
	if !hasRows(sql) {
		return nil, nil
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	ctx := context.Background()
	if _, err := e.conn.ExecContext(ctx, "SAVEPOINT pollendoor_describe"); err != nil {
		return nil, err
	}
	defer e.conn.ExecContext(ctx, "RELEASE pollendoor_describe")
	defer e.conn.ExecContext(ctx, "ROLLBACK TO pollendoor_describe")
	rows, err := e.conn.QueryContext(ctx, sql, make([]any, params)...)
	if err != nil {
		return nil, err
	}
	defer rows.Close()
	types, err := rows.ColumnTypes()
	if err != nil {
		return nil, err
	}
	var first [][]any
	if rows.Next() {
		row := make([]any, len(types))
		dest := make([]any, len(types))
		for i := range row {
			dest[i] = &row[i]
		}
		if rows.Scan(dest...) == nil {
			first = append(first, row)
		}
	}
	list := make([]column, len(types))
	for i, t := range types {
		list[i] = column{name: t.Name(), oid: columnOID(t, first, i)}
	}
	return list, nil
}

// hasRows reports whether a statement returns rows.
func hasRows(sql string) bool {
	st, _ := route.Classify(sql)
	switch st.Verb {
	case "SELECT", "VALUES", "WITH", "EXPLAIN", "TABLE", "(":
		return true
	}
	return strings.Contains(strings.ToUpper(sql), "RETURNING")
}

// tag returns the PostgreSQL command tag of a completed statement that returned
// or changed n rows.
func tag(sql string, n int64) string {
	st, _ := route.Classify(sql)
	switch st.Verb {
	case "SELECT", "VALUES", "WITH", "TABLE", "(":
		return fmt.Sprintf("SELECT %d", n)
	case "INSERT":
		return fmt.Sprintf("INSERT 0 %d", n)
	case "UPDATE", "DELETE":
		return fmt.Sprintf("%s %d", st.Verb, n)
	case "CREATE", "DROP", "ALTER":
		words := strings.Fields(strings.ToUpper(sql))
		if len(words) > 1 {
			return words[0] + " " + words[1]
		}
	}
	return st.Verb
}
