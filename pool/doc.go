// Package pool manages a VM's connections to targets: the control connection
// over which a target's status is requested and the target is fenced and
// promoted, and a pool of connections for callers' statements.
//
// A connection is reused only after the target reported that it is idle and no
// answer is pending. Statements that would leave session state behind are not
// sent to pooled connections, so a connection needs no reset. Prepared
// statements have names derived from their text and are shared by all callers.
package pool
