// Package dedup makes a write with an idempotency key run at most once. The row
// that marks the key as used is written in the caller's own transaction, so
// that the row exists exactly if the write does: the idempotent consumer of
// "15.2 Outbox, Idempotent Consumption, and Recoverable Messages". An in-memory
// set would be lost with its VM, and a row committed separately from the write
// would leave a window in which one of the two is lost.
//
// A key belongs to a team. Using the same key with different content is a
// conflict. A small answer is stored in the row, so that a repeated request
// gets the same answer as the first.
package dedup

import (
	"encoding/base64"
	"fmt"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/pollendoor/pollendoor/pgwire"
)

const (
	// MaxAnswer is the maximum size of a stored answer, in bytes.
	MaxAnswer = 8 << 10
	// Retention is how long a row is kept. Requests must not be repeated later.
	Retention = 24 * time.Hour
	// PurgeBatch is the maximum number of rows removed by one statement.
	PurgeBatch = 500
)

// Table is the statement that creates the table of used keys.
const Table = `CREATE TABLE IF NOT EXISTS pollendoor_request (
	team TEXT NOT NULL, request_id TEXT NOT NULL, digest TEXT NOT NULL, shape TEXT NOT NULL,
	answer TEXT, created_at BIGINT NOT NULL, PRIMARY KEY (team, request_id))`

// VoidDigest marks a key whose transaction was found not to have run and can no
// longer run. Such a key can be used again.
const VoidDigest = "void"

// Key is one use of an idempotency key.
type Key struct {
	Team   string // team that the key belongs to
	ID     string // key that the caller chose, the request ID
	Digest string // digest of the request's content
	Shape  string // encoding of the answer
}

// Claim returns the statement that marks the key as used. The statement returns
// one row if the key was free or void, none if it was used.
func (k Key) Claim(now time.Time) string {
	return fmt.Sprintf("INSERT INTO pollendoor_request (team, request_id, digest, shape, created_at) VALUES (%s, %s, %s, %s, %d)"+
		" ON CONFLICT (team, request_id) DO UPDATE SET digest = excluded.digest, shape = excluded.shape, created_at = excluded.created_at"+
		" WHERE pollendoor_request.digest = '"+VoidDigest+"' RETURNING 1",
		pgwire.Quote(k.Team), pgwire.Quote(k.ID), pgwire.Quote(k.Digest), pgwire.Quote(k.Shape), now.UnixMilli())
}

// SaveAnswer returns the statement that stores the answer in the row of the
// key, or "" if the answer is longer than MaxAnswer.
func (k Key) SaveAnswer(answer []byte) string {
	if len(answer) > MaxAnswer {
		return ""
	}
	return fmt.Sprintf("UPDATE pollendoor_request SET answer = %s WHERE team = %s AND request_id = %s",
		pgwire.Quote(base64.StdEncoding.EncodeToString(answer)), pgwire.Quote(k.Team), pgwire.Quote(k.ID))
}

// Lookup returns the query for the row of a key.
func (k Key) Lookup() string {
	return fmt.Sprintf("SELECT digest, shape, coalesce(answer, '-') FROM pollendoor_request WHERE team = %s AND request_id = %s",
		pgwire.Quote(k.Team), pgwire.Quote(k.ID))
}

// Purge returns the statement that removes rows older than Retention, up to
// PurgeBatch at a time.
func Purge(now time.Time) string {
	before := strconv.FormatInt(now.Add(-Retention).UnixMilli(), 10)
	return "DELETE FROM pollendoor_request WHERE (team, request_id) IN (SELECT team, request_id FROM pollendoor_request WHERE created_at < " +
		before + " LIMIT " + strconv.Itoa(PurgeBatch) + ")"
}

// Verdict is the state of a key according to its row.
type Verdict int

// The verdicts on a key.
const (
	Absent   Verdict = iota // the key has no row
	Replay                  // the same request ran and its answer is stored
	NoAnswer                // the same request ran, but its answer is not available in this encoding
	Conflict                // another request used the key
	Voided                  // the request was found not to have run, so the key can be used again
)

// Evaluate interprets the rows returned by Lookup. With Replay it also returns
// the stored answer.
func (k Key) Evaluate(rows [][]string) (Verdict, []byte, error) {
	if len(rows) == 0 {
		return Absent, nil, nil
	}
	if len(rows[0]) != 3 {
		return Absent, nil, errors.Newf("row of request %q: got %d columns, want 3", k.ID, len(rows[0]))
	}
	digest, shape, answer := rows[0][0], rows[0][1], rows[0][2]
	switch {
	case digest == VoidDigest:
		return Voided, nil, nil
	case digest != k.Digest:
		return Conflict, nil, nil
	case shape != k.Shape || answer == "-":
		return NoAnswer, nil, nil
	}
	decoded, err := base64.StdEncoding.DecodeString(answer)
	return Replay, decoded, errors.Wrap(err, "decode stored answer")
}
