// Package pgwire contains what clients and servers of a PostgreSQL connection
// share: dialing and authentication, one simple query at a time for control
// traffic, and this system's run-time parameters, which extend the protocol.
// Frames are read and written with pgproto3.
package pgwire
