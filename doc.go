// Package pollendoor holds the interfaces and plain structs that the packages
// below it share: log positions, target status, group records, statement
// outcomes, and the ports through which a VM meets targets, the platform's
// object store and its peers.
//
// The package imports none of the packages below it, so that an implementation
// of any interface can be exchanged without touching the decisions.
package pollendoor
