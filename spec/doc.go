// Package spec holds the Promela models of the core protocols: promotion with
// acknowledgement, the escrow of allowances, and the leases on a primary of a
// fleet on the platform (package lease). Its test checks them
// exhaustively with spin at a small size, and checks that each of their mutants
// is rejected.
package spec
