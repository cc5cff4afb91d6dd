// Package front serves the callers of a VM over the PostgreSQL wire protocol. It
// keeps the settings, prepared statements and token of each session, and passes
// batches of messages to the home VM of the session's database group.
//
// Commands that need a connection of their own and so do not work over pooled
// connections (COPY, LISTEN, temporary tables, PREPARE in SQL, session-wide SET
// of the target's own settings) are refused with SQLSTATE 0A000. The session
// remains usable afterwards.
package front
