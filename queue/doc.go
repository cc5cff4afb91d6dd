// Package queue shares a target's connections among teams. Waiting statements
// are served in the order of start-time fair queueing: each team's flow gets
// service in proportion to its weight, however many requests the other flows have,
// and an idle flow accumulates no credit. A team's batch statements are a separate
// flow with a small weight: they mostly wait behind interactive statements but are
// never starved.
//
// Queue decides the order without blocking; Gate blocks callers in that order.
package queue
