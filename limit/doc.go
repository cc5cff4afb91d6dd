// Package limit holds a team's rate and burst over all VMs together, by escrow.
//
// Each team's allowance is Whole units. A VM admits statements from a token
// bucket whose rate and burst are its units' share of the team's. The invariant:
// the units that VMs hold and the units under way never add up to more than
// Whole, at any moment, through any crash, pause, partition, restart or lost
// message. It follows that in every window w the team's statements are at most
// burst + rate*w over the whole fleet.
//
// It is kept by these rules:
//
//   - A giver subtracts units, and their share of its tokens, before it sends
//     them. Units whose message is lost are nobody's.
//   - A receiver takes each transfer once, by the giver's sequence number, and
//     only in the epoch it was sent in.
//   - A VM starts with nothing and an empty bucket, under an identity of its own.
//   - Units of a VM that is certainly gone, and lost ones, come back through a
//     new epoch only: every member writes down what it holds, and what is
//     missing from Whole then is granted anew, once.
//
// Ledger is the pure state of one VM. Leased grants of a grantor in each zone
// were weighed too; docs/limits.md tells why they were not taken.
package limit
