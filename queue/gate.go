package queue

import (
	"context"
	"sync"
	"time"
)

// Gate lets a bounded number of holders pass at a time, in the order of a
// Queue. The zero value lets nobody pass until SetLimit. It is safe for use by
// several goroutines.
type Gate struct {
	mu         sync.Mutex
	queue      Queue
	maxHolders int
	holders    int
	nextID     uint64
	waiters    map[uint64]chan bool
}

// SetLimit sets how many may hold the gate at a time.
func (g *Gate) SetLimit(n int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.maxHolders = n
	g.admitWaiters()
}

// Load returns how many hold the gate, and how many wait.
func (g *Gate) Load() (holders, waiting int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.holders, g.queue.Len()
}

// Outcome is what became of a request at a gate.
type Outcome int

// The outcomes of Enter.
const (
	Entered Outcome = iota
	QueueFull
	DeadlineExceeded
	Canceled // the context ended
)

// Enter waits for a place. With Entered the caller must Leave.
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
		return QueueFull
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

// abandon withdraws a waiting request, or keeps the place it just got.
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

// Leave gives a place back after it was held for d.
func (g *Gate) Leave(d time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.holders--
	g.queue.Served(d)
	g.admitWaiters()
}

// grant hands free places to those who wait. The caller holds mu.
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

func (g *Gate) notify(id uint64, ok bool) {
	g.waiters[id] <- ok
	delete(g.waiters, id)
}
