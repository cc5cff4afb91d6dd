// Package bench runs experiments on the whole system in one process, with
// fakes of the external systems: a platform, database groups of three
// targets in three zones, and a fleet of VMs. Each experiment returns its
// figures, the targets that the figures have to meet, and the number of
// violated guarantees, which must be zero.
package bench
