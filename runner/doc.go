// Package runner runs database groups on a VM: it watches their targets, routes
// and repeats statements, waits until writes may be acknowledged, and drives
// promotions. The decisions come from packages group, route, retry, queue and
// dedup; this package does the I/O around them.
package runner
