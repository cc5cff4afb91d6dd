// Package group decides about one database group: when its primary is suspect,
// how a new term is claimed and a target promoted, which targets have to be
// brought back, and when a write may be acknowledged.
//
// The rules:
//
//   - A term is claimed only by the store's conditional update of the group's
//     record. A claim whose answer was lost is resolved by reading the record
//     back and comparing the claim's nonce.
//   - Before a target is chosen a majority of the group's targets is fenced at
//     the new term, and the fenced target whose last log entry is newest is
//     taken. The entry's term follows from the lineage in the record.
//   - The branch is recorded before the target is promoted, and the term serves
//     only after an entry of its own is at a replica. From then on nothing that
//     the branch cut off can come back, and what is absent stays absent.
//   - A promoter that dies leaves a record that others overtake by claiming the
//     next term.
//
// All of it is pure: state and event in, state and actions out. The shell that
// does the I/O is in package runner.
package group
