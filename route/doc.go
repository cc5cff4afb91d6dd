// Package route decides where a statement may run. It looks at the words of a
// statement just far enough to tell reads from writes, transaction control and
// the commands a pooled connection can't carry, and it chooses among targets by
// the session's position, the age a caller accepts and the group's lineage.
//
// The package keeps no state and does no I/O.
package route
