// Package dedup makes a write with an idempotency key run at most once. The
// row that marks the key as used is written in the caller's own transaction, so
// that it is there exactly if the write is: the idempotent consumer of "15.2
// Outbox, Idempotent Consumption, and Recoverable Messages". An in-memory set
// would forget with its VM, and a row committed apart from the write would
// leave a window in which one of the two is lost.
//
// A key belongs to a team. The same key with other content is a conflict. A
// row keeps the answer if it is small, so that a repeated request is answered
// as the first was.
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
	// MaxAnswer is the longest answer kept in a row, in bytes.
	MaxAnswer = 8 << 10
	// Retention is how long a row is kept. Requests must not be repeated later.
	Retention = 24 * time.Hour
	// PurgeBatch bounds the rows removed in one statement.
	PurgeBatch = 500
)

// Table creates the table of used keys.
const Table = `CREATE TABLE IF NOT EXISTS pollendoor_request (
	team TEXT NOT NULL, request_id TEXT NOT NULL, digest TEXT NOT NULL, shape TEXT NOT NULL,
	answer TEXT, created_at BIGINT NOT NULL, PRIMARY KEY (team, request_id))`

// VoidDigest marks a key whose transaction was found not to have run and can't
// run any more. Such a key is free for another try.
const VoidDigest = "void"

// Key is one use of an idempotency key.
type Key struct {
	Team   string
	ID     string
	Digest string // of the content
	Shape  string // of the answer's encoding
}

// Claim returns the statement that marks the key as used. It returns one row if
// the key was free or void, none if it was used.
func (k Key) Claim(now time.Time) string {
	return fmt.Sprintf("INSERT INTO pollendoor_request (team, request_id, digest, shape, created_at) VALUES (%s, %s, %s, %s, %d)"+
		" ON CONFLICT (team, request_id) DO UPDATE SET digest = excluded.digest, shape = excluded.shape, created_at = excluded.created_at"+
		" WHERE pollendoor_request.digest = '"+VoidDigest+"' RETURNING 1",
		pgwire.Quote(k.Team), pgwire.Quote(k.ID), pgwire.Quote(k.Digest), pgwire.Quote(k.Shape), now.UnixMilli())
}

// Keep returns the statement that stores the answer beside the key, or "" if it
// is too long to be kept.
func (k Key) SaveAnswer(answer []byte) string {
	if len(answer) > MaxAnswer {
		return ""
	}
	return fmt.Sprintf("UPDATE pollendoor_request SET answer = %s WHERE team = %s AND request_id = %s",
		pgwire.Quote(base64.StdEncoding.EncodeToString(answer)), pgwire.Quote(k.Team), pgwire.Quote(k.ID))
}

// Lookup returns the query for a key's row.
func (k Key) Lookup() string {
	return fmt.Sprintf("SELECT digest, shape, coalesce(answer, '-') FROM pollendoor_request WHERE team = %s AND request_id = %s",
		pgwire.Quote(k.Team), pgwire.Quote(k.ID))
}

// Purge returns the statement that removes rows older than Retention.
func Purge(now time.Time) string {
	before := strconv.FormatInt(now.Add(-Retention).UnixMilli(), 10)
	return "DELETE FROM pollendoor_request WHERE (team, request_id) IN (SELECT team, request_id FROM pollendoor_request WHERE created_at < " +
		before + " LIMIT " + strconv.Itoa(PurgeBatch) + ")"
}

// Verdict is what a key's row says.
type Verdict int

// The verdicts on a used key.
const (
	Absent   Verdict = iota // the key was never used
	Replay                  // the same request ran; Answer is what it returned
	NoAnswer                // the same request ran; its answer was not kept
	Conflict                // another request used the key
	Voided                  // the request was found not to have run
)

// Judge reads the rows of Lookup.
func (k Key) Evaluate(rows [][]string) (Verdict, []byte, error) {
	if len(rows) == 0 {
		return Absent, nil, nil
	}
	if len(rows[0]) != 3 {
		return Absent, nil, errors.Newf("row of request %q has %d columns", k.ID, len(rows[0]))
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
	return Replay, decoded, errors.Wrap(err, "kept answer")
}
