// Package bench runs experiments on the whole system against stand-ins, in one
// process: a platform, database groups of three targets in three zones, and a
// fleet of VMs. Each experiment gives figures, the targets they are held
// against, and the number of violations, which must be zero.
package bench
