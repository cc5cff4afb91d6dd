package queue

import (
	"context"
	"sync"
	"time"
)

// Gate is a semaphore with a bounded number of holders that admits waiting requests
// in the order of a Queue. The zero value admits no request until SetLimit. It is
// safe for concurrent use.
type Gate struct {
	mu         sync.Mutex
	queue      Queue
	maxHolders int
	holders    int
	nextID     uint64
	waiters    map[uint64]chan bool // by request id; receives true on admission and false after the deadline
}

// SetLimit sets the maximum number of concurrent holders.
func (g *Gate) SetLimit(n int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.maxHolders = n
	g.admitWaiters()
}

// Load returns the number of holders and of waiting requests.
func (g *Gate) Load() (holders, waiting int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.holders, g.queue.Len()
}

// Outcome is the result of Enter.
type Outcome int

// Outcomes of Enter.
const (
	Entered          Outcome = iota // the caller holds the gate
	Full                            // the flow has reached its limit of waiting requests
	DeadlineExceeded                // the deadline passed, or would pass before the request is served
	Canceled                        // the context ended
)

// Enter waits until the caller is one of the holders of the gate. If it returns Entered, the caller
// must call Leave.
func (g *Gate) Enter(ctx context.Context, r Request) Outcome {
	g.mu.Lock()
	if g.holders < g.maxHolders && g.queue.Len() == 0 {
		g.holders++
		g.mu.Unlock()
		return Entered
	}
	id := g.nextID
	g.nextID++
	switch g.queue.Push(id, r, g.maxHolders, time.Now()) {
	case FlowFull:
		g.mu.Unlock()
		return Full
	case TooLate:
		g.mu.Unlock()
		return DeadlineExceeded
	}
	if g.waiters == nil {
		g.waiters = make(map[uint64]chan bool)
	}
	ch := make(chan bool, 1)
	g.waiters[id] = ch
	g.mu.Unlock()
	select {
	case ok := <-ch:
		if ok {
			return Entered
		}
		return DeadlineExceeded
	case <-ctx.Done():
		return g.cancelWait(id, ch)
	}
}

// cancelWait removes a waiting request. If the request was admitted or expired in
// the meantime, it returns that outcome instead.
func (g *Gate) cancelWait(id uint64, ch chan bool) Outcome {
	g.mu.Lock()
	defer g.mu.Unlock()
	select {
	case ok := <-ch:
		if ok {
			return Entered
		}
		return DeadlineExceeded
	default:
	}
	delete(g.waiters, id)
	g.queue.Remove(id)
	return Canceled
}

// Leave releases the gate after the caller held it for d, which updates the estimate
// of waiting times.
func (g *Gate) Leave(d time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.holders--
	g.queue.Served(d)
	g.admitWaiters()
}

// admitWaiters admits waiting requests up to the limit of holders and ends the wait
// of requests whose deadline has passed. The caller holds mu.
func (g *Gate) admitWaiters() {
	for g.holders < g.maxHolders {
		id, late, ok := g.queue.Pop(time.Now())
		for _, l := range late {
			g.notify(l, false)
		}
		if !ok {
			return
		}
		g.holders++
		g.notify(id, true)
	}
}

// notify ends the wait of a request. It was admitted if ok is true, and otherwise its
// deadline has passed. The caller holds mu.
func (g *Gate) notify(id uint64, ok bool) {
	g.waiters[id] <- ok
	delete(g.waiters, id)
}
