package broker

import (
	"container/heap"
	"time"
)

// queueKey is the sort key of queued statements: by priority (lower first), then by
// the end of the allowed wait, then by arrival.
type queueKey struct {
	priority int
	deadline time.Time // end of the allowed wait in the queue
	seq      uint64
}

// before reports whether a is served before b.
func (a queueKey) before(b queueKey) bool {
	if a.priority != b.priority {
		return a.priority < b.priority
	}
	if !a.deadline.Equal(b.deadline) {
		return a.deadline.Before(b.deadline)
	}
	return a.seq < b.seq
}

// waiter is a queued statement. It waits for a slot, and for a connection unless
// its transaction already has one.
type waiter struct {
	queueKey
	session *Session
	team    string
	ready   chan grant // receives the grant; has room for one
	index   int        // position in the heap, negative after removal
}

// waitQueue is a heap of queued statements in the order of their queueKey.
type waitQueue []*waiter

// Len implements heap.Interface.
func (w waitQueue) Len() int { return len(w) }

// Less implements heap.Interface.
func (w waitQueue) Less(i, j int) bool { return w[i].before(w[j].queueKey) }

// Swap implements heap.Interface.
func (w waitQueue) Swap(i, j int) {
	w[i], w[j] = w[j], w[i]
	w[i].index, w[j].index = i, j
}

// Push implements heap.Interface.
func (w *waitQueue) Push(x any) {
	v := x.(*waiter)
	v.index = len(*w)
	*w = append(*w, v)
}

// Pop implements heap.Interface.
func (w *waitQueue) Pop() any {
	old := *w
	v := old[len(old)-1]
	*w = old[:len(old)-1]
	v.index = -1
	return v
}

// remove takes v out of the queue. It reports false if v has left it already.
func (w *waitQueue) remove(v *waiter) bool {
	if v.index < 0 {
		return false
	}
	heap.Remove(w, v.index)
	return true
}

// countBefore returns the number of statements that are served before one with the
// key o.
func (w waitQueue) countBefore(o queueKey) int {
	n := 0
	for _, v := range w {
		if v.before(o) {
			n++
		}
	}
	return n
}
