// Package load sends callers' traffic to any address that speaks the PostgreSQL
// protocol, in the mixes of the users' services, and checks the answers: every
// acknowledged write is there once, no session misses its own writes, and the
// totals that were read can be put into one order.
//
// In open loop each caller's statements are due at fixed times and latency
// counts from the due time, so a stall shows in all that it held up.
package load
