// Package peers is how the system's VMs know of each other and talk: heartbeats
// that carry opinions and demands, the view of live VMs, the homes of groups by
// rendezvous hashing, the spread of the platform's objects from few watchers to
// all VMs, and the forwarding of statements to a group's home.
//
// The platform's list of VMs lags but is certain; heartbeats are quick but may
// be wrong. A VM that is not heard is not chosen as a home, and only one that
// the list no longer has is taken for ended. VMs whose views differ choose
// different homes, which costs connections and nothing else.
//
// VMs talk drpc over mutual TLS. The key of its certificates comes from a
// secret in the VMs' settings, so a stranger on the port gets nothing.
package peers
