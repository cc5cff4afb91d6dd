// Package runner runs database groups on a VM: it monitors their targets,
// routes and retries statements, waits until writes may be acknowledged, and
// drives promotions. The decisions come from packages group, route, retry,
// queue and dedup; this package does the I/O around them.
package runner
