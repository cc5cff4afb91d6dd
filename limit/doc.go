// Package limit enforces a team's rate and burst over all VMs together, by escrow.
//
// Each team's allowance is divided into TotalUnits units. A VM admits statements
// from a token bucket whose rate and burst are proportional to the units it holds.
// The invariant: the units held by VMs and the units in flight never add up to
// more than TotalUnits, at any moment, through any crash, pause, partition, restart
// or lost message. It follows that in every window w the team's statements are at
// most burst + rate*w over the whole fleet.
//
// These rules preserve the invariant:
//
//   - A sender subtracts units, and their share of its tokens, before it sends
//     them. If the message is lost, no VM holds its units.
//   - A receiver accepts each transfer once, by the sender's sequence number, and
//     only in the epoch it was sent in.
//   - A VM starts without units, with an empty bucket and under a unique identity.
//   - Lost units, and the units of a VM that has certainly ended, are recovered
//     only in a new epoch: every member records the units it holds, and the units
//     missing from TotalUnits are granted again, once.
//
// Ledger is the state of one VM; it does no I/O. Leased grants from a grantor in
// each zone were considered as an alternative; docs/limits.md explains why they
// were rejected.
package limit
