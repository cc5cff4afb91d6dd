package queue_test

import (
	"context"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/pollendoor/pollendoor/queue"
)

func TestHeavyTeamDoesNotDelayOthers(t *testing.T) {
	var q queue.Queue
	now := time.Unix(0, 0)
	owner := map[uint64]string{}
	id := uint64(0)
	push := func(team string, n int) {
		for range n {
			id++
			owner[id] = team
			q.Push(id, queue.Request{Team: team}, 1, now)
		}
	}
	push("heavy", 100)
	push("light", 10)
	served := map[string]int{}
	for range 20 {
		got, _, _ := q.Pop(now)
		served[owner[got]]++
	}
	if got, want := served["light"], 9; got < want {
		t.Errorf("got %d requests of the light team among the first 20, want at least %d", got, want)
	}
}

func TestBatchIsNotStarved(t *testing.T) {
	var q queue.Queue
	now := time.Unix(0, 0)
	for i := range uint64(100) {
		q.Push(i, queue.Request{Team: "a", Batch: i < 50}, 1, now)
	}
	batch := 0
	for range 30 {
		if id, _, _ := q.Pop(now); id < 50 {
			batch++
		}
	}
	if batch < 3 || batch > 8 {
		t.Errorf("got %d batch statements among the first 30, want 3 to 8, about a sixth", batch)
	}
}

func TestLateRequestsAreReported(t *testing.T) {
	var q queue.Queue
	now := time.Unix(0, 0)
	q.Push(1, queue.Request{Team: "a", Deadline: now.Add(time.Second)}, 1, now)
	q.Push(2, queue.Request{Team: "a"}, 1, now)
	id, late, ok := q.Pop(now.Add(2 * time.Second))
	if id != 2 || !ok || len(late) != 1 || late[0] != 1 {
		t.Errorf("got %d, late %v, %v, want 2, late [1], true", id, late, ok)
	}
	q.Served(time.Second)
	q.Push(3, queue.Request{Team: "a"}, 1, now)
	got := q.Push(4, queue.Request{Team: "a", Deadline: now.Add(500 * time.Millisecond)}, 1, now)
	if got != queue.TooLate {
		t.Errorf("got verdict %d for a deadline before the estimated wait ends, want TooLate", got)
	}
}

// TestEveryRequestEndsOnce runs random operations on a queue and checks that each
// request is popped, reported late or removed exactly once.
func TestEveryRequestEndsOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var q queue.Queue
		now := time.Unix(0, 0)
		waiting := map[uint64]bool{}
		next := uint64(0)
		t.Repeat(map[string]func(*rapid.T){
			"push": func(t *rapid.T) {
				next++
				r := queue.Request{Team: rapid.SampledFrom([]string{"a", "b"}).Draw(t, "team"), Batch: rapid.Bool().Draw(t, "batch")}
				if rapid.Bool().Draw(t, "deadline") {
					r.Deadline = now.Add(time.Duration(rapid.IntRange(0, 3).Draw(t, "wait")) * time.Second)
				}
				if q.Push(next, r, 1, now) == queue.Accepted {
					waiting[next] = true
				}
			},
			"pop": func(t *rapid.T) {
				id, late, ok := q.Pop(now)
				if ok {
					late = append(late, id)
				}
				for _, l := range late {
					if !waiting[l] {
						t.Fatalf("got request %d from Pop, want only waiting requests", l)
					}
					delete(waiting, l)
				}
			},
			"remove": func(t *rapid.T) {
				id := rapid.Uint64Range(0, next+1).Draw(t, "id")
				if waiting[id] {
					q.Remove(id)
					delete(waiting, id)
				}
			},
			"tick": func(*rapid.T) { now = now.Add(time.Second) },
			"": func(t *rapid.T) {
				if got, want := q.Len(), len(waiting); got != want {
					t.Fatalf("got length %d, want %d", got, want)
				}
			},
		})
	})
}

func TestGateAdmitsNextWaiter(t *testing.T) {
	var g queue.Gate
	g.SetLimit(1)
	ctx, cancel := context.WithCancel(context.Background())
	g.Enter(ctx, queue.Request{Team: "a"})
	done := make(chan queue.Outcome)
	go func() { done <- g.Enter(context.Background(), queue.Request{Team: "b"}) }()
	go func() { done <- g.Enter(ctx, queue.Request{Team: "c"}) }()
	for _, w := g.Load(); w < 2; _, w = g.Load() {
		time.Sleep(time.Millisecond)
	}
	cancel()
	if got := <-done; got != queue.Canceled {
		t.Errorf("got outcome %d for the cancelled request, want Canceled", got)
	}
	g.Leave(time.Millisecond)
	if got := <-done; got != queue.Entered {
		t.Errorf("got outcome %d for the request still waiting, want Entered", got)
	}
}
