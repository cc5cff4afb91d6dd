package queue

import (
	"container/heap"
	"time"
)

const (
	// batchWeight is the weight of a team's batch flow relative to its interactive
	// flow.
	batchWeight = 0.2
	// DefaultFlowLimit is the default maximum number of waiting requests of one flow.
	DefaultFlowLimit = 512
)

// Request is one statement that needs a connection.
type Request struct {
	Team     string    // team whose flow the request joins
	Weight   float64   // share of service relative to other teams; zero means 1
	Batch    bool      // the request joins the team's batch flow
	Deadline time.Time // latest time to be served; zero for none
}

// Verdict is the result of Push.
type Verdict int

// Verdicts of Push. Only a request with the verdict Accepted waits in the queue.
const (
	Accepted Verdict = iota // the request waits in the queue
	FlowFull                // the flow has reached its limit of waiting requests
	TooLate                 // the request would not be served before its deadline
)

// flowKey identifies a flow: the interactive or the batch statements of a team.
type flowKey struct {
	team  string
	batch bool
}

// flow is the scheduling state of a flow.
type flow struct {
	lastFinish float64 // virtual finish time of the flow's last item
	waiting    int     // number of waiting requests
}

// item is one waiting request.
type item struct {
	key   flowKey
	start float64 // virtual start time; the item with the lowest one is served first
	seq   uint64  // order of arrival, for items with the same start
	req   Request
	id    uint64
}

// itemHeap is a heap.Interface of items in the order of service.
type itemHeap []*item

func (h itemHeap) Len() int { return len(h) }
func (h itemHeap) Less(i, j int) bool {
	if h[i].start != h[j].start {
		return h[i].start < h[j].start
	}
	return h[i].seq < h[j].seq
}
func (h itemHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *itemHeap) Push(x any)   { *h = append(*h, x.(*item)) }
func (h *itemHeap) Pop() any {
	old := *h
	it := old[len(old)-1]
	*h = old[:len(old)-1]
	return it
}

// Queue orders waiting requests. The zero value is an empty queue. A Queue is not
// safe for concurrent use.
type Queue struct {
	FlowLimit int // maximum number of waiting requests of a flow; zero means DefaultFlowLimit

	virtualTime    float64 // virtual start time of the request served last
	flows          map[flowKey]*flow
	items          itemHeap
	removed        map[uint64]bool // ids of items that Remove has removed but that are still in the heap
	seq            uint64
	waiting        int
	averageService time.Duration // moving average of the time to serve one statement
}

// Len returns the number of waiting requests.
func (q *Queue) Len() int { return q.waiting }

// Push adds a request, unless its flow is full or its deadline is too early. The
// caller chooses the id, which must be unique among the waiting requests. servers is
// the number of requests that are served concurrently.
func (q *Queue) Push(id uint64, r Request, servers int, now time.Time) Verdict {
	key := flowKey{r.Team, r.Batch}
	f := q.flows[key]
	if f == nil {
		f = &flow{}
		if q.flows == nil {
			q.flows = make(map[flowKey]*flow)
			q.removed = make(map[uint64]bool)
		}
		q.flows[key] = f
	}
	flowLimit := q.FlowLimit
	if flowLimit == 0 {
		flowLimit = DefaultFlowLimit
	}
	if f.waiting >= flowLimit {
		return FlowFull
	}
	if !r.Deadline.IsZero() && now.Add(q.estimateWait(f, servers)).After(r.Deadline) {
		return TooLate
	}
	q.seq++
	start := max(q.virtualTime, f.lastFinish)
	f.lastFinish = start + 1/weight(r)
	f.waiting++
	q.waiting++
	heap.Push(&q.items, &item{key: key, start: start, seq: q.seq, req: r, id: id})
	return Accepted
}

// weight returns the weight of a request's flow.
func weight(r Request) float64 {
	w := r.Weight
	if w <= 0 {
		w = 1
	}
	if r.Batch {
		w *= batchWeight
	}
	return w
}

// estimateWait returns a lower bound of the time until a request at the end of the
// flow is served: the time to serve the flow's own items if no other flow had any.
func (q *Queue) estimateWait(f *flow, servers int) time.Duration {
	if servers < 1 {
		servers = 1
	}
	return q.averageService * time.Duration(f.waiting) / time.Duration(servers)
}

// Pop removes the next request to serve and returns its id. Requests before it whose
// deadline has passed are removed as well and returned in late. It returns false if
// no request is left to serve.
func (q *Queue) Pop(now time.Time) (id uint64, late []uint64, ok bool) {
	for len(q.items) > 0 {
		it := heap.Pop(&q.items).(*item)
		if q.removed[it.id] {
			delete(q.removed, it.id)
			continue
		}
		q.decrementWaiting(it)
		if !it.req.Deadline.IsZero() && now.After(it.req.Deadline) {
			late = append(late, it.id)
			continue
		}
		q.virtualTime = max(q.virtualTime, it.start)
		return it.id, late, true
	}
	q.flows = nil // an idle queue keeps no flow history
	q.virtualTime = 0
	return 0, late, false
}

// decrementWaiting updates the counts of waiting requests for an item that left.
func (q *Queue) decrementWaiting(it *item) {
	q.waiting--
	f := q.flows[it.key]
	f.waiting--
}

// Remove removes the waiting request with the given id. It does nothing if there is
// none.
func (q *Queue) Remove(id uint64) {
	for _, it := range q.items {
		if it.id == id && !q.removed[id] {
			q.removed[id] = true
			q.decrementWaiting(it)
			return
		}
	}
}

// Served records how long a statement took, for the estimate of waiting times.
func (q *Queue) Served(d time.Duration) {
	if q.averageService == 0 {
		q.averageService = d
		return
	}
	q.averageService += (d - q.averageService) / 16
}
