// Package front is the side of a VM that callers see: it speaks the PostgreSQL
// wire protocol, keeps each session's wishes, prepared statements and token,
// and hands batches of messages to the home of the session's database group.
//
// What can't be carried over pooled connections (COPY, LISTEN, temporary
// tables, PREPARE in SQL, session-wide SET of the target's own settings) is
// refused with 0A000 and leaves the session usable.
package front
