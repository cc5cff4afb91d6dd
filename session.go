package pollendoor

// Session is one caller's session at a VM. It is used by one goroutine at a
// time, but for Expired.
type Session interface {
	// Handle runs one statement and returns what the caller gets.
	Handle(s *Statement) Reply
	// InTransaction reports whether a transaction is open, failed ones included.
	InTransaction() bool
	// Abandon rolls an open transaction back that has been idle too long. The
	// caller is told with its next statement.
	Abandon()
	// Expired reports whether the session's key or route is gone.
	Expired() bool
	// Close ends the session. An open transaction is rolled back.
	Close()
}

// Sessions opens sessions.
type Sessions interface {
	// Open opens a session, or says why not.
	Open(database, key string) (Session, ErrorCode)
}
