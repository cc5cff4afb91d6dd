// Package pollendoor defines the interfaces and plain structs that the packages
// below it share: log positions, target status, group records, statement
// outcomes, and the interfaces through which a VM uses targets, the platform's
// object store and its peers.
//
// The package imports none of the packages below it, so that the implementation
// of any interface can be replaced without changing the code that makes routing
// and failover decisions.
package pollendoor
