// Package fakes holds the stand-ins of what the system serves and leans on: the
// platform's object API, and database groups that speak the PostgreSQL wire
// protocol over an SQL engine in memory. They serve tests, the demo and the
// bench, on loopback addresses only.
//
// A stand-in target keeps its committed data and the data of the open write
// transaction in two engines, so that reads never see what is not committed.
// Write transactions run one at a time. Commits are shipped to replicas as the
// statements that made them up, so statements must be deterministic.
package fakes
