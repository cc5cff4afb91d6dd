// Package spec holds the Promela models of the two core protocols: promotion
// with acknowledgement, and the escrow of allowances. Its test checks both
// exhaustively with spin at a small size, and checks that each of their mutants
// is rejected.
package spec
