package pollendoor

import (
	"context"
	"time"
)

// Verb is what a statement of the line protocol asks for.
type Verb uint8

// The verbs of statements.
const (
	VerbNone      Verb = iota
	VerbBegin          // opens a transaction that may write
	VerbBeginRead      // opens a read-only transaction
	VerbCommit
	VerbRollback
	VerbRead
	VerbWrite
	VerbSet     // sets a session value
	VerbPrepare // names a statement shape
	VerbExecute // runs a prepared shape
	VerbDealloc // forgets a prepared name
)

var verbNames = [...]string{"none", "begin", "beginRead", "commit", "rollback", "read", "write", "set", "prepare", "execute", "dealloc"}

// String returns the verb's name in logs.
func (v Verb) String() string {
	if int(v) < len(verbNames) {
		return verbNames[v]
	}
	return "unknown"
}

// Statement is one request of a caller, decoded far enough to be routed. Text
// is what the target gets, unless a prepared name in it is replaced.
type Statement struct {
	ID    string
	Text  string
	Verb  Verb
	Name  string // of a session value or a prepared statement
	Value string // of a session value
	Shape Shape  // of a prepared statement
	Args  string // of an execution, behind the name
}

// Shape is what a prepared statement does: the verb, and the text that callers
// prepared it with.
type Shape struct {
	Verb Verb   `cbor:"1,keyasint"`
	Text string `cbor:"2,keyasint"`
}

// ErrorCode is an error of the line protocol, as targets and VMs send it.
type ErrorCode string

// The error codes. Promises say that nothing of the operation is kept.
const (
	ErrBusy       ErrorCode = "BUSY"      // promise: not run for lack of capacity
	ErrAborted    ErrorCode = "ABORTED"   // promise: rolled back
	ErrLagging    ErrorCode = "LAGGING"   // promise: the log lacks the position
	ErrReadOnly   ErrorCode = "READONLY"  // promise: not the primary
	ErrMisrouted  ErrorCode = "MISROUTED" // promise: wrong target or group
	ErrConnLimit  ErrorCode = "CONNLIMIT" // promise: no free connection
	ErrInDoubt    ErrorCode = "INDOUBT"   // may have run
	ErrTimeout    ErrorCode = "TIMEOUT"   // may have run
	ErrFailed     ErrorCode = "FAILED"    // ran and failed
	ErrNoStmt     ErrorCode = "NOSTMT"    // no such prepared name, not run
	ErrMalformed  ErrorCode = "MALFORMED" // not understood, not run
	ErrNoDatabase ErrorCode = "NODB"      // no route of that name
	ErrUnauth     ErrorCode = "UNAUTH"    // unknown key
)

// NotRun reports whether the code says that the target did not run the
// statement, so that it may be sent again.
func (c ErrorCode) NotRun() bool {
	switch c {
	case ErrBusy, ErrNoStmt, ErrLagging, ErrReadOnly, ErrMisrouted, ErrConnLimit:
		return true
	}
	return false
}

// Setting is a session value.
type Setting struct {
	Name  string `cbor:"1,keyasint"`
	Value string `cbor:"2,keyasint"`
}

// Opening says how a connection enters a transaction before a statement.
type Opening uint8

// The openings.
const (
	OpenNone  Opening = iota // a single statement
	OpenWrite                // a transaction that may write
	OpenRead                 // a read-only transaction
)

// Work is one statement for a target, with the state that its connection needs
// first. It travels from the VM that serves the caller to the target's home.
type Work struct {
	Target   string        `cbor:"1,keyasint,omitempty"`
	Group    string        `cbor:"2,keyasint,omitempty"`
	Team     string        `cbor:"3,keyasint,omitempty"`
	ID       string        `cbor:"4,keyasint,omitempty"`
	Text     string        `cbor:"5,keyasint,omitempty"` // for an execution: the arguments
	Values   []Setting     `cbor:"6,keyasint,omitempty"` // of the session, by name
	Prepared *Shape        `cbor:"7,keyasint,omitempty"` // of an execution
	Open     Opening       `cbor:"8,keyasint,omitempty"`
	After    Position      `cbor:"9,keyasint,omitempty"`  // that the log must hold
	Priority int           `cbor:"10,keyasint,omitempty"` // zero is the highest
	MaxWait  time.Duration `cbor:"11,keyasint,omitempty"` // in the queue, then it is refused
	Timeout  time.Duration `cbor:"12,keyasint,omitempty"` // until the answer
	Ends     bool          `cbor:"13,keyasint,omitempty"` // a commit
	Write    bool          `cbor:"14,keyasint,omitempty"`
}

// Reply is a target's answer to one statement.
type Reply struct {
	Rows      []string      `cbor:"1,keyasint,omitempty"`
	Signature string        `cbor:"2,keyasint,omitempty"`
	Code      ErrorCode     `cbor:"3,keyasint,omitempty"` // empty on success
	Text      string        `cbor:"4,keyasint,omitempty"` // of an error
	State     byte          `cbor:"5,keyasint,omitempty"` // I, T or E
	Position  Position      `cbor:"6,keyasint,omitempty"` // of the target's log
	Lost      bool          `cbor:"7,keyasint,omitempty"` // no whole answer came
	Sent      bool          `cbor:"8,keyasint,omitempty"` // the target may have run it
	Delay     time.Duration `cbor:"9,keyasint,omitempty"` // expected wait at the target's home
}

// OK reports whether the target answered with success.
func (r *Reply) OK() bool { return !r.Lost && r.Code == "" }

// Turn is the use of one target connection, for one statement or for a
// transaction. A Turn is used by one goroutine at a time.
type Turn interface {
	// Do runs one statement. After a reply in another state than T the turn is
	// over.
	Do(w *Work) Reply
	// Close gives the connection back; an open transaction is rolled back.
	Close()
}

// TargetError is a target's refusal of a connection or a control step.
type TargetError struct {
	Code ErrorCode
	Text string
}

// Error returns the code and the text.
func (e *TargetError) Error() string { return "target: " + string(e.Code) + " " + e.Text }

// TargetConn is a connection to a target for one team. It is used by one
// goroutine at a time. A lost reply leaves it unusable.
type TargetConn interface {
	// Reset drops session values and prepared statements.
	Reset(deadline time.Time) Reply
	// Setup sets values, prepares a shape and opens a transaction.
	Setup(values []Setting, shape *Shape, open Opening, after Position, deadline time.Time) Reply
	// Run runs a caller's statement on a log that holds the position after.
	Run(w *Work, after Position, deadline time.Time) Reply
	// Rollback ends an open transaction.
	Rollback(deadline time.Time) Reply
	// Probe asks for the log's position without occupying a slot.
	Probe(deadline time.Time) Reply
	// Status asks for role, term and position. It occupies a slot.
	Status(deadline time.Time) (TargetStatus, error)
	// StepDown makes a primary of a smaller term a replica.
	StepDown(t Term, deadline time.Time) (TargetStatus, error)
	// Alive reports whether the target still holds the idle connection open.
	Alive() bool
	// Close ends the connection; an open transaction is rolled back.
	Close()
}

// DialTarget connects to a target for a team. It returns a *TargetError if the
// target refuses.
type DialTarget func(ctx context.Context, t TargetInfo, team string) (TargetConn, error)
