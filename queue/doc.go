// Package queue shares a target's connections among teams. Waiting statements
// are served in the order of start-time fair queueing: each team's flow gets
// its weight's share of the service, whatever the others send, and a flow that
// was idle has no credit from the past. Batch statements are a flow of their
// own with a small weight, so they wait behind interactive ones and yet always
// move on.
//
// Queue is the pure decision, Gate the blocking shell around it.
package queue
