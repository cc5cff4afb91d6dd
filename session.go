package pollendoor

// Session is one caller's session at a VM. Only Expired may be called
// concurrently with the other methods.
type Session interface {
	// Handle runs one statement and returns the reply to the caller.
	Handle(s *Statement) Reply
	// InTransaction reports whether a transaction is open, including one that has
	// failed.
	InTransaction() bool
	// Abandon rolls back an open transaction that has been idle for too long. The
	// caller's next statement is refused with an error.
	Abandon()
	// Expired reports whether the session's key or route was removed from the
	// configuration.
	Expired() bool
	// Close ends the session. An open transaction is rolled back.
	Close()
}

// Sessions creates sessions for callers.
type Sessions interface {
	// Open opens a session for a database name and a key. The error code is empty
	// on success.
	Open(database, key string) (Session, ErrorCode)
}
