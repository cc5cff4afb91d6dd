// Package route decides where a statement may run. It scans a statement only as far
// as needed to distinguish reads, writes, transaction control and the commands that
// are not supported over pooled connections. It chooses among targets by the
// session's position, the maximum age that the caller accepts and the group's
// lineage.
//
// The package keeps no state and does no I/O.
package route
