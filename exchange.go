package pollendoor

import (
	"context"
	"time"
)

// Class restricts the targets at which an exchange may run.
type Class int

// The classes of exchanges.
const (
	AnyRead   Class = iota // may run at a replica that is fresh enough, otherwise at the primary
	MustWrite              // must run at the primary
)

// Prepared is a prepared statement that must exist on the target connection
// before an exchange runs. Name is empty for the unnamed statement.
type Prepared struct {
	Name string
	SQL  string
	OIDs []uint32 // types of the parameters
}

// Exchange is one batch of a caller's protocol messages, up to a Sync, a Flush
// or a simple query, to be run at a target of a group.
type Exchange struct {
	Group     string
	Team      string
	Weight    float64 // weight of the team in fair queueing; zero counts as one
	Batch     bool    // batch work: may wait behind other exchanges
	Class     Class
	Position  Position      // log position that a read must reflect
	MaxAge    time.Duration // maximum age of the data that a read returns; zero for no limit
	Timeout   time.Duration // time left until the deadline of the exchange
	RequestID string        // idempotency key of a write outside a transaction or of a commit
	Digest    string        // digest of the request that belongs to the idempotency key
	Shape     string        // identifies the encoding of the answer
	Begin     bool          // opens a transaction
	Commit    bool          // ends a transaction
	Flush     bool          // ends in a Flush message, so the batch continues in the next exchange
	Ack       AckRule       // when a write is acknowledged
	Frames    []byte        // frontend messages, with canonical statement names
	Uses      []Prepared    // prepared statements that Frames refers to
}

// Answer is the result of an exchange, besides the frames that were already sent
// to the caller.
type Answer struct {
	TxStatus byte     // transaction status of the connection: I, T or E
	Position Position // log position of the write; zero if nothing was written
	Refusal  *Refusal // set if the system refused the exchange instead of a target answering it
	Target   string   // name of the target that answered
	Replica  bool     // a replica answered
	Failed   bool     // the target answered with an error
}

// Sink sends backend messages to the caller. Each call passes complete frames. An
// error means that the caller's connection is closed.
type Sink func(frames []byte) error

// Link runs the exchanges of one session in order. While a transaction is open, it
// is pinned to one target connection.
type Link interface {
	// Run runs one exchange and passes the backend frames, except ReadyForQuery,
	// to sink.
	Run(ctx context.Context, x *Exchange, sink Sink) Answer
	// Close releases the target connection. An open transaction is rolled back.
	Close()
}

// Runner opens links to database groups.
type Runner interface {
	// Open opens a link to a group, or returns the reason why it cannot.
	Open(group string) (Link, *Refusal)
}
