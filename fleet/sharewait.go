package fleet

import (
	"cmp"
	"slices"
	"sync"
	"time"
)

// shareQueues holds the operations that wait until a team's quota share has arrived,
// in the order in which their goals end. The first operation of a team asks the team's
// keepers again; the others ask once it has got an answer. After a restart of all VMs
// hundreds of operations wait, and the messages of each of them would delay the shares.
// The zero value is empty.
type shareQueues struct {
	mu    sync.Mutex
	teams map[string][]*shareWaiter
}

// shareWaiter is one waiting operation.
type shareWaiter struct {
	goalEnd time.Duration
	wake    chan struct{} // is closed when the operation is the first one, or the share has arrived
	first   bool          // whether the operation asks on behalf of the others; guarded by the queue's lock
}

// waiting reports whether operations of a team wait.
func (q *shareQueues) waiting(team string) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return len(q.teams[team]) > 0
}

// join adds an operation.
func (q *shareQueues) join(team string, goalEnd time.Duration) *shareWaiter {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.teams == nil {
		q.teams = make(map[string][]*shareWaiter)
	}
	w := &shareWaiter{goalEnd: goalEnd, wake: make(chan struct{})}
	list := q.teams[team]
	i, _ := slices.BinarySearchFunc(list, goalEnd, func(o *shareWaiter, end time.Duration) int {
		if o.first {
			return -1 // the operation that asks stays the first one
		}
		return cmp.Or(cmp.Compare(o.goalEnd, end), -1) // behind those with the same end
	})
	q.teams[team] = slices.Insert(list, i, w)
	q.promote(team)
	return w
}

// promote makes the first operation of a team the one that asks. The caller holds mu.
func (q *shareQueues) promote(team string) {
	list := q.teams[team]
	if len(list) == 0 {
		delete(q.teams, team)
		return
	}
	if !list[0].first {
		list[0].first = true
		close(list[0].wake)
	}
}

// leave removes an operation that has waited too long. The next one asks if it was the
// first.
func (q *shareQueues) leave(team string, w *shareWaiter) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if i := slices.Index(q.teams[team], w); i >= 0 {
		q.teams[team] = slices.Delete(q.teams[team], i, i+1)
		q.promote(team)
	}
}

// release removes all operations of a team, as the share has arrived, and wakes them in
// the order of their goals.
func (q *shareQueues) release(team string) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for _, w := range q.teams[team] {
		if !w.first {
			close(w.wake)
		}
	}
	delete(q.teams, team)
}

// asks reports whether the operation is in the queue and asks on behalf of the others.
func (q *shareQueues) asks(team string, w *shareWaiter) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return w.first && slices.Contains(q.teams[team], w)
}
