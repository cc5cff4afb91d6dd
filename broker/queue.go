package broker

import (
	"container/heap"
	"time"
)

// before reports whether w runs before v: by priority, then by the end of the goal, or
// of the allowed wait if the goal is unknown, then by arrival.
func (w *Waiter) before(v *Waiter) bool {
	if w.Priority != v.Priority {
		return w.Priority < v.Priority
	}
	if a, b := w.due(), v.due(); !a.Equal(b) {
		return a.Before(b)
	}
	return w.seq < v.seq
}

// due returns the time by which a statement should run.
func (w *Waiter) due() time.Time {
	if w.Goal.IsZero() {
		return w.Deadline
	}
	return w.Goal
}

// waitQueue is a heap of queued statements, the next one to run first.
type waitQueue []*Waiter

// Len implements heap.Interface.
func (q waitQueue) Len() int { return len(q) }

// Less implements heap.Interface.
func (q waitQueue) Less(i, j int) bool { return q[i].before(q[j]) }

// Swap implements heap.Interface.
func (q waitQueue) Swap(i, j int) {
	q[i], q[j] = q[j], q[i]
	q[i].index, q[j].index = i, j
}

// Push implements heap.Interface.
func (q *waitQueue) Push(x any) {
	w := x.(*Waiter)
	w.index = len(*q)
	*q = append(*q, w)
}

// Pop implements heap.Interface.
func (q *waitQueue) Pop() any {
	old := *q
	w := old[len(old)-1]
	*q = old[:len(old)-1]
	w.index = -1
	return w
}

// push queues a statement.
func (q *waitQueue) push(w *Waiter) { heap.Push(q, w) }

// remove takes w out of the queue. It reports false if w has left it already.
func (q *waitQueue) remove(w *Waiter) bool {
	if w.index < 0 {
		return false
	}
	heap.Remove(q, w.index)
	return true
}

// countBefore returns the number of statements that run before w.
func (q waitQueue) countBefore(w *Waiter) int {
	n := 0
	for _, v := range q {
		if v.before(w) {
			n++
		}
	}
	return n
}
