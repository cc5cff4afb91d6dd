// Package group makes the decisions for one database group: when its primary is
// suspected to have failed, how a new term is claimed and a target promoted,
// which targets have to rejoin, and when a write may be acknowledged.
//
// The rules:
//
//   - A term is claimed only by a conditional update of the group's record in
//     the store. If the answer to a claim is lost, the promoter reads the
//     record back and compares the nonce of the claim.
//   - Before a target is chosen, a majority of the group's targets is fenced
//     at the new term, and the fenced target with the newest last log entry
//     is chosen. The term of that entry follows from the lineage in the
//     record.
//   - The branch is recorded before the target is promoted, and the term
//     serves only after an entry of its own is at a replica. From then on no
//     entry that the branch cut off can reappear, and what is absent stays
//     absent.
//   - If a promoter dies, other VMs take over from the record that it left by
//     claiming the next term.
//
// The package is free of I/O: it maps state and events to new state and
// actions. Package runner carries out the actions.
package group
