// Package fakes implements fakes of the external systems: the platform's
// object API, and database groups that speak the PostgreSQL wire protocol over
// an in-memory SQL engine. Tests, the demo and the bench use them, on loopback
// addresses only.
//
// A fake target keeps its committed data and the data of the open write
// transaction in two engines, so that reads never see uncommitted data. Write
// transactions run one at a time. Commits are replicated as the statements of
// the transaction, so statements must be deterministic.
package fakes
