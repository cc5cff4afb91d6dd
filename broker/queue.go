package broker

import (
	"container/heap"
	"time"
)

// order is how waiting statements are served: by priority, and within one by
// the time until which they are worth serving.
type order struct {
	priority int
	until    time.Time
	seq      uint64
}

func (a order) before(b order) bool {
	if a.priority != b.priority {
		return a.priority < b.priority
	}
	if !a.until.Equal(b.until) {
		return a.until.Before(b.until)
	}
	return a.seq < b.seq
}

// waiter is a statement that waits for a slot, and for a connection unless its
// transaction has one.
type waiter struct {
	order
	turn  *Turn
	team  string
	ready chan grant
	index int // in the heap, negative when it has left
}

// waiters is a heap of waiting statements.
type waiters []*waiter

// Len is part of heap.Interface.
func (w waiters) Len() int { return len(w) }

// Less is part of heap.Interface.
func (w waiters) Less(i, j int) bool { return w[i].before(w[j].order) }

// Swap is part of heap.Interface.
func (w waiters) Swap(i, j int) {
	w[i], w[j] = w[j], w[i]
	w[i].index, w[j].index = i, j
}

// Push is part of heap.Interface.
func (w *waiters) Push(x any) {
	v := x.(*waiter)
	v.index = len(*w)
	*w = append(*w, v)
}

// Pop is part of heap.Interface.
func (w *waiters) Pop() any {
	old := *w
	v := old[len(old)-1]
	*w = old[:len(old)-1]
	v.index = -1
	return v
}

func (w *waiters) remove(v *waiter) bool {
	if v.index < 0 {
		return false
	}
	heap.Remove(w, v.index)
	return true
}

// ahead counts the statements that would be served before one of the given
// order.
func (w waiters) ahead(o order) int {
	n := 0
	for _, v := range w {
		if v.before(o) {
			n++
		}
	}
	return n
}
