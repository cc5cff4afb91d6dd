// Package pgwire holds what both ends of a PostgreSQL connection share: dialing
// and authenticating with a server, one simple query at a time for control
// traffic, and the system's extensions to the protocol's run-time parameters.
// Frames are read and written with pgproto3.
package pgwire
