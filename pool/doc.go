// Package pool holds a VM's connections to targets: the control connection over
// which a target is asked for its status, fenced and promoted, and a bounded
// pool of connections for callers' statements.
//
// A connection is handed on only after the target reported that it is idle with
// no answer pending. Statements that would leave state behind on a connection
// never reach it, so it needs no reset; prepared statements carry names derived
// from their text and are shared by all callers.
package pool
