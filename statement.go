package pollendoor

import (
	"context"
	"time"
)

// Verb is the kind of a statement of the line protocol.
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
	VerbPrepare // prepares a statement under a name
	VerbExecute // runs a prepared statement
	VerbDealloc // deallocates a prepared statement
)

var verbNames = [...]string{"none", "begin", "beginRead", "commit", "rollback", "read", "write", "set", "prepare", "execute", "dealloc"}

// String returns the name of the verb as it is logged.
func (v Verb) String() string {
	if int(v) < len(verbNames) {
		return verbNames[v]
	}
	return "unknown"
}

// Statement is one request of a caller, parsed as far as routing needs it. Text is
// sent to the target unchanged, except that prepared names in it are replaced.
type Statement struct {
	ID    string
	Text  string
	Verb  Verb
	Name  string // name of the session value or the prepared statement
	Value string // new value of the session value
	Shape Shape  // verb and text of the statement to prepare
	Args  string // arguments of VerbExecute, the text after the name
}

// Shape is the definition of a prepared statement: its verb, and the text with
// which the caller prepared it.
type Shape struct {
	Verb Verb   `cbor:"1,keyasint"`
	Text string `cbor:"2,keyasint"`
}

// ErrorCode is an error code of the line protocol, as sent by targets and VMs.
type ErrorCode string

// The error codes. A code marked as a promise guarantees that the operation left
// no effect.
const (
	ErrBusy       ErrorCode = "BUSY"      // promise: not run for lack of capacity
	ErrAborted    ErrorCode = "ABORTED"   // promise: rolled back
	ErrLagging    ErrorCode = "LAGGING"   // promise: not run, the log does not hold the position yet
	ErrReadOnly   ErrorCode = "READONLY"  // promise: not run, the target is not the primary
	ErrMisrouted  ErrorCode = "MISROUTED" // promise: not run, sent to the wrong target or group
	ErrConnLimit  ErrorCode = "CONNLIMIT" // promise: not run, no free connection
	ErrInDoubt    ErrorCode = "INDOUBT"   // may have run
	ErrTimeout    ErrorCode = "TIMEOUT"   // may have run
	ErrFailed     ErrorCode = "FAILED"    // ran and returned an error
	ErrNoStmt     ErrorCode = "NOSTMT"    // not run, no prepared statement of that name
	ErrMalformed  ErrorCode = "MALFORMED" // not run, could not be parsed
	ErrNoDatabase ErrorCode = "NODB"      // no route for the database name
	ErrUnauth     ErrorCode = "UNAUTH"    // unknown key
)

// NotRun reports whether the code guarantees that the target did not run the
// statement, so that the statement may be retried.
func (c ErrorCode) NotRun() bool {
	switch c {
	case ErrBusy, ErrNoStmt, ErrLagging, ErrReadOnly, ErrMisrouted, ErrConnLimit:
		return true
	}
	return false
}

// Setting is the name and value of a session value.
type Setting struct {
	Name  string `cbor:"1,keyasint"`
	Value string `cbor:"2,keyasint"`
}

// Opening is the kind of transaction that a connection opens before a statement.
type Opening uint8

// The kinds of transaction to open.
const (
	OpenNone  Opening = iota // no transaction, a single statement
	OpenWrite                // a transaction that may write
	OpenRead                 // a read-only transaction
)

// Need tells which targets of a group can run a statement.
type Need uint8

// The needs of statements.
const (
	NeedUnknown Need = iota // the VM that sent the work did not tell
	NeedPrimary             // only the primary can run the statement
	NeedAny                 // a replica that holds the required position can run it, too
)

// Work is one statement for a target, with the session state that the connection
// must have first. The VM that serves the caller sends it to the target's home VM.
type Work struct {
	Target   string        `cbor:"1,keyasint,omitempty"`
	Group    string        `cbor:"2,keyasint,omitempty"`
	Team     string        `cbor:"3,keyasint,omitempty"`
	ID       string        `cbor:"4,keyasint,omitempty"`
	Text     string        `cbor:"5,keyasint,omitempty"` // text of the statement; only the arguments if Prepared is set
	Values   []Setting     `cbor:"6,keyasint,omitempty"` // values of the session, by name
	Prepared *Shape        `cbor:"7,keyasint,omitempty"` // prepared statement to execute; nil for a plain statement
	Open     Opening       `cbor:"8,keyasint,omitempty"`
	After    Position      `cbor:"9,keyasint,omitempty"`  // position that the target's log must hold
	Priority int           `cbor:"10,keyasint,omitempty"` // priority in the queue; zero is the highest
	MaxWait  time.Duration `cbor:"11,keyasint,omitempty"` // maximum time in the queue; the statement is refused after that
	Timeout  time.Duration `cbor:"12,keyasint,omitempty"` // maximum time until the answer
	Commit   bool          `cbor:"13,keyasint,omitempty"` // the statement is a commit
	Write    bool          `cbor:"14,keyasint,omitempty"`
	Goal     time.Duration `cbor:"15,keyasint,omitempty"` // time left until the end of the operation's goal; zero if unknown
	Need     Need          `cbor:"16,keyasint,omitempty"`
	// Regions are the regions whose targets may run the statement. It is used by the VM
	// that serves the caller.
	Regions Regions `cbor:"-"`
	// Elsewhere is set if another target of the group can run the statement.
	Elsewhere bool `cbor:"23,keyasint,omitempty"`
}

// QueueState is what a statement found in the queue of a target whose group is
// adaptive.
type QueueState struct {
	Length   int           `cbor:"1,keyasint,omitempty"` // queued statements at its arrival
	Expected time.Duration `cbor:"2,keyasint,omitempty"` // wait that was expected at its arrival
	Waited   time.Duration `cbor:"3,keyasint,omitempty"`
	Reason   string        `cbor:"4,keyasint,omitempty"` // why it was refused, empty if it got a slot
}

// Reply is the answer of a target to one statement.
type Reply struct {
	Rows      []string  `cbor:"1,keyasint,omitempty"`
	Signature string    `cbor:"2,keyasint,omitempty"`
	Code      ErrorCode `cbor:"3,keyasint,omitempty"` // empty on success
	Text      string    `cbor:"4,keyasint,omitempty"` // message of the error
	State     byte      `cbor:"5,keyasint,omitempty"` // transaction status: I (idle), T (in a transaction) or E (failed transaction)
	Position  Position  `cbor:"6,keyasint,omitempty"` // position of the target's log
	Lost      bool      `cbor:"7,keyasint,omitempty"` // no complete answer was received
	// ConnRefused reports that nothing accepts connections at the target's address. It
	// is set for observers of the target, not in replies to callers.
	ConnRefused bool          `cbor:"-"`
	Sent        bool          `cbor:"8,keyasint,omitempty"` // the target may have run the statement
	Delay       time.Duration `cbor:"9,keyasint,omitempty"` // expected time in the queue at the target's home VM
	Queue       *QueueState   `cbor:"10,keyasint,omitempty"`
	// Evacuated is set in a refusal because the target's zone is being evacuated. Another
	// target may run the statement, also if this one is the primary.
	Evacuated bool `cbor:"13,keyasint,omitempty"`
	// Service is how long a statement takes at the target at present. It is zero if the
	// home VM does not learn it.
	Service time.Duration `cbor:"20,keyasint,omitempty"`
	// Avoid is how much longer the home VM refuses statements that another target can run
	// as well, because of the target's answers.
	Avoid time.Duration `cbor:"21,keyasint,omitempty"`
}

// OK reports whether the target answered without an error.
func (r *Reply) OK() bool { return !r.Lost && r.Code == "" }

// TargetSession is a session at a target: the exclusive use of one target connection for
// one statement or one transaction. It must not be used concurrently.
type TargetSession interface {
	// Do runs one statement. A reply with another state than T ends the session.
	Do(w *Work) Reply
	// Close returns the connection to its pool. An open transaction is rolled
	// back.
	Close()
}

// TargetError is the error with which a target refuses a connection or a control
// command.
type TargetError struct {
	Code ErrorCode
	Text string
}

// Error returns the error code and the text of the target.
func (e *TargetError) Error() string { return "target: " + string(e.Code) + " " + e.Text }

// TargetConn is a connection to a target for one team. It must not be used
// concurrently. After a reply with Lost set, the connection is unusable.
type TargetConn interface {
	// Reset clears the session values and the prepared statements.
	Reset(deadline time.Time) Reply
	// Setup sets session values, prepares a statement and opens a transaction,
	// as far as each is given. The state of the reply is that after all of them, also
	// if one was refused.
	Setup(values []Setting, shape *Shape, open Opening, after Position, deadline time.Time) Reply
	// Run runs a caller's statement. The target refuses it if its log does not
	// hold the position after.
	Run(w *Work, after Position, deadline time.Time) Reply
	// Rollback rolls back an open transaction.
	Rollback(deadline time.Time) Reply
	// Probe requests the position of the log. It occupies no execution slot.
	Probe(deadline time.Time) Reply
	// Status requests role, term and position. It occupies an execution slot.
	Status(deadline time.Time) (TargetStatus, error)
	// StepDown demotes a primary of a term smaller than t to a replica.
	StepDown(t Term, deadline time.Time) (TargetStatus, error)
	// Alive reports whether the target still holds the idle connection open.
	Alive() bool
	// Close closes the connection. An open transaction is rolled back.
	Close()
}

// DialTarget connects to a target for a team. It returns a *TargetError if the
// target refuses.
type DialTarget func(ctx context.Context, t TargetInfo, team string) (TargetConn, error)
