package peers

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"
	"storj.io/drpc"
	"storj.io/drpc/drpcconn"

	"github.com/pollendoor/pollendoor"
	"github.com/pollendoor/pollendoor/retry"
)

// lane is a stream to a peer that carries forwarded exchanges.
type lane struct {
	addr   string
	conn   *drpcconn.Conn
	stream drpc.Stream
	end    context.CancelFunc
}

func (l *lane) close() {
	l.end()
	l.conn.Close()
}

// maxLanes bounds the idle lanes kept to one peer.
const maxLanes = 64

// Forwarder is a Runner that runs exchanges at a group's home, here or at a
// peer. It is safe for use by several goroutines.
type Forwarder struct {
	Fleet *Fleet
	Local pollendoor.Runner

	mu    sync.Mutex
	lanes map[string][]*lane
}

var _ pollendoor.Runner = (*Forwarder)(nil)

// Open opens a link to a group. Where its exchanges run is decided for each
// that is not part of an open transaction.
func (w *Forwarder) Open(name string) (pollendoor.Link, *pollendoor.Refusal) {
	local, refusal := w.Local.Open(name)
	if refusal != nil {
		return nil, refusal
	}
	return &link{forwarder: w, group: name, local: local}, nil
}

func (w *Forwarder) take(ctx context.Context, addr string) (*lane, error) {
	w.mu.Lock()
	for list := w.lanes[addr]; len(list) > 0; list = w.lanes[addr] {
		l := list[len(list)-1]
		w.lanes[addr] = list[:len(list)-1]
		select {
		case <-l.conn.Closed():
			l.end()
			continue
		default:
		}
		w.mu.Unlock()
		return l, nil
	}
	w.mu.Unlock()
	c, err := w.Fleet.dialer.get(ctx, addr)
	if err != nil {
		return nil, err
	}
	sctx, end := context.WithCancel(context.Background())
	s, err := c.NewStream(sctx, rpcForward, enc)
	if err != nil {
		end()
		c.Close()
		return nil, errors.Wrap(err, "open lane")
	}
	return &lane{addr: addr, conn: c, stream: s, end: end}, nil
}

func (w *Forwarder) put(l *lane) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.lanes == nil {
		w.lanes = make(map[string][]*lane)
	}
	if len(w.lanes[l.addr]) >= maxLanes {
		l.close()
		return
	}
	w.lanes[l.addr] = append(w.lanes[l.addr], l)
}

// Close ends the idle lanes.
func (w *Forwarder) Close() {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, list := range w.lanes {
		for _, l := range list {
			l.close()
		}
	}
	w.lanes = nil
}

// link runs one session's exchanges wherever the group's home is.
type link struct {
	forwarder *Forwarder
	group     string
	local     pollendoor.Link
	pinned    bool  // a transaction is open
	lane      *lane // that it is open on, nil for this VM
}

// Close gives an open transaction up.
func (l *link) Close() {
	l.local.Close()
	if l.lane != nil {
		l.lane.close()
		l.lane = nil
	}
	l.pinned = false
}

// homes returns the peers that may run an exchange, the best first, and whether
// this VM is a home itself.
func (l *link) homes() ([]pollendoor.VM, bool) {
	v := l.forwarder.Fleet.View()
	shared := v.Homes(l.group)
	list := append([]pollendoor.VM(nil), shared...)
	for i, h := range list {
		if h.Name == v.Self.Name {
			return nil, true
		}
		if h.Zone == v.Self.Zone {
			list[0], list[i] = list[i], list[0]
		}
	}
	return list, len(list) == 0
}

// Run runs one exchange.
func (l *link) Run(ctx context.Context, x *pollendoor.Exchange, sink pollendoor.Sink) pollendoor.Answer {
	if l.pinned {
		return l.runPinned(ctx, x, sink)
	}
	deadline := time.Now().Add(x.Timeout)
	for n := 1; ; n++ {
		list, here := l.homes()
		if here {
			return l.note(l.local.Run(ctx, x, sink), nil)
		}
		home := list[(n-1)%len(list)]
		y := *x
		y.Timeout = time.Until(deadline)
		a, result, spilled, err := l.tryAt(ctx, home, &y, sink)
		verdict := retry.Decide(retry.Attempt{
			Result:          result,
			Read:            x.Class == pollendoor.AnyRead && !x.Begin,
			Keyed:           x.RequestID != "" && !x.Begin,
			PartlyDelivered: spilled,
			Count:           n,
			Remaining:       time.Until(deadline),
		})
		switch {
		case verdict == retry.Return:
			return a
		case verdict == retry.Resend && ctx.Err() == nil:
			l.forwarder.Fleet.pause(retry.Backoff(n))
			continue
		}
		return pollendoor.Answer{Refusal: &pollendoor.Refusal{
			Code: pollendoor.CodeUnknown, Fate: verdict.Outcome(),
			Message: "the home of " + l.group + " was lost", Cause: err.Error(),
		}}
	}
}

// tryAt runs an exchange at a peer once.
func (l *link) tryAt(ctx context.Context, home pollendoor.VM, x *pollendoor.Exchange, sink pollendoor.Sink) (pollendoor.Answer, retry.Result, bool, error) {
	dial, cancel := context.WithTimeout(ctx, beatTimeout)
	defer cancel()
	ln, err := l.forwarder.take(dial, home.Peer)
	if err != nil {
		return pollendoor.Answer{}, retry.NotSent, false, err
	}
	a, sent, spilled, err := l.forwarder.exchange(ctx, ln, x, sink)
	if err != nil {
		ln.close()
		if !sent {
			return a, retry.NotSent, spilled, err
		}
		return a, retry.NoAnswer, spilled, err
	}
	return l.note(a, ln), retry.Answered, spilled, nil
}

// note remembers where a transaction is open.
func (l *link) note(a pollendoor.Answer, ln *lane) pollendoor.Answer {
	l.pinned = a.TxStatus == 'T' || a.TxStatus == 'E' && a.Refusal == nil
	l.lane = nil
	if ln == nil {
		return a
	}
	if l.pinned {
		l.lane = ln
		return a
	}
	l.forwarder.put(ln)
	return a
}

func (l *link) runPinned(ctx context.Context, x *pollendoor.Exchange, sink pollendoor.Sink) pollendoor.Answer {
	if l.lane == nil {
		return l.note(l.local.Run(ctx, x, sink), nil)
	}
	ln := l.lane
	a, _, _, err := l.forwarder.exchange(ctx, ln, x, sink)
	if err == nil {
		return l.note(a, ln)
	}
	l.Close()
	if x.Commit {
		return pollendoor.Answer{TxStatus: 'I', Refusal: pollendoor.RefuseUnknown("the outcome of the transaction is not known", err.Error())}
	}
	return pollendoor.Answer{TxStatus: 'E', Refusal: pollendoor.Refuse(pollendoor.CodeNoPrimary, "the transaction was cut and rolled back", err.Error())}
}

// laneGrace is how much longer than an exchange's time its home may take to
// answer.
const laneGrace = 2 * time.Second

// exchange runs one exchange on a lane. Sent reports whether the home may have
// got it.
func (w *Forwarder) exchange(ctx context.Context, ln *lane, x *pollendoor.Exchange, sink pollendoor.Sink) (a pollendoor.Answer, sent, spilled bool, err error) {
	id := uuid.NewString()
	stop := context.AfterFunc(ctx, func() {
		c, cancel := context.WithTimeout(context.Background(), beatTimeout)
		defer cancel()
		if w.Fleet.dialer.invoke(c, ln.addr, rpcCancel, &cancelRequest{ID: id}, &empty{}) != nil {
			ln.end()
		}
	})
	defer stop()
	limit := time.AfterFunc(x.Timeout+laneGrace, ln.close)
	defer limit.Stop()
	if err := ln.stream.MsgSend(&forwardRequest{ID: id, Exchange: *x}, enc); err != nil {
		return a, true, false, errors.Wrap(err, "forward")
	}
	var kept []byte // the last frames, in case the home is lost before it ends
	for {
		var m forwardAnswer
		if err := ln.stream.MsgRecv(&m, enc); err != nil {
			return a, true, spilled, errors.Wrap(err, "answer of the home")
		}
		if len(kept) > 0 && (m.Final != nil || len(kept)+len(m.Frames) > keepBytes) {
			spilled = true
			if err := sink(kept); err != nil {
				return a, true, true, errors.Wrap(err, "caller is gone")
			}
			kept = kept[:0]
		}
		if m.Final != nil {
			return *m.Final, true, spilled, nil
		}
		kept = append(kept, m.Frames...)
	}
}

// keepBytes is how much of an answer is kept back until the home says that it
// is complete.
const keepBytes = 128 << 10
