// Package load generates load on any address that speaks the PostgreSQL protocol,
// with the statement mixes of the users' services, and checks the answers: every
// acknowledged write is stored exactly once, every session reads its own writes,
// and the totals read at the primary are linearizable.
//
// In open loop, each caller's statements are due at fixed times and latency is
// measured from the due time, so a stall increases the latency of every statement
// that it delays.
package load
