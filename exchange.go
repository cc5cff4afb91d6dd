package pollendoor

import (
	"context"
	"time"
)

// Class says where an exchange may run.
type Class int

// The classes of exchanges.
const (
	AnyRead   Class = iota // at a replica that qualifies, else at the primary
	MustWrite              // at the primary
)

// Prepared is a statement that an exchange expects to be parsed. Name is empty
// for the unnamed statement.
type Prepared struct {
	Name string
	SQL  string
	OIDs []uint32
}

// Exchange is one batch of a caller's protocol messages, up to a Sync, a Flush
// or a simple query, to be run at a target of a group.
type Exchange struct {
	Group     string
	Team      string
	Weight    float64 // share of the team in queues; zero counts as one
	Batch     bool    // may wait behind others
	Class     Class
	Position  Position      // to be covered by a read
	MaxAge    time.Duration // a read may be this old; zero for any age
	Timeout   time.Duration // until the deadline
	RequestID string        // idempotency key of a write outside a transaction or of a commit
	Digest    string        // of what the idempotency key stands for
	Shape     string        // of the answer's encoding
	Begin     bool          // opens a transaction
	Commit    bool          // ends a transaction
	Flush     bool          // ends in Flush: the batch goes on
	Ack       AckRule
	Frames    []byte // frontend messages, canonical statement names
	Uses      []Prepared
}

// Answer is what became of an exchange, beside the frames already sent.
type Answer struct {
	TxStatus byte     // transaction status of the connection: I, T or E
	Position Position // of the write, zero for none
	Refusal  *Refusal // in place of a target's answer
	Target   string
	Replica  bool // answered by a replica
	Failed   bool // the target answered with an error
}

// Sink takes backend messages for the caller, whole frames at a time. An error
// means the caller is gone.
type Sink func(frames []byte) error

// Link runs the exchanges of one session in order. While a transaction is open
// it keeps one target connection.
type Link interface {
	// Run runs one exchange and sends its frames, but for ReadyForQuery, to
	// sink.
	Run(ctx context.Context, x *Exchange, sink Sink) Answer
	// Close gives the target connection up, and with it an open transaction.
	Close()
}

// Runner opens links to database groups.
type Runner interface {
	Open(group string) (Link, *Refusal)
}
