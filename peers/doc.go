// Package peers connects the VMs of the system with each other. It exchanges
// heartbeats that carry health votes and demands, maintains the view of live
// VMs, assigns home VMs to groups by rendezvous hashing, replicates the
// platform's objects from a few watchers to all VMs, and forwards statements to
// a group's home VM.
//
// The platform's list of VMs is reliable but lags behind; heartbeats are fast
// but may be wrong. A VM without recent heartbeats is not chosen as a home VM,
// but it counts as ended only once the list no longer contains it. VMs with
// different views choose different home VMs, which costs extra connections but
// does not affect correctness.
//
// VMs communicate by drpc over mutual TLS. The key of their certificates is
// derived from a secret in the VMs' settings, so that a client without the
// secret fails the handshake.
package peers
