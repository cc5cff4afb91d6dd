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

// forwardStream is a stream to a peer that carries forwarded exchanges, one at a
// time.
type forwardStream struct {
	addr   string
	conn   *drpcconn.Conn
	stream drpc.Stream
	cancel context.CancelFunc
}

func (l *forwardStream) close() {
	l.cancel()
	l.conn.Close()
}

// maxIdleStreams is the maximum number of idle streams kept per peer.
const maxIdleStreams = 64

// Forwarder is a Runner that runs exchanges on a group's home VM, either this VM
// or a peer. It is safe for concurrent use.
type Forwarder struct {
	Fleet *Fleet
	Local pollendoor.Runner // runs exchanges of groups that have their home on this VM

	mu          sync.Mutex
	idleStreams map[string][]*forwardStream
}

var _ pollendoor.Runner = (*Forwarder)(nil)

// Open opens a link to a group. The VM that runs an exchange is chosen anew for
// each exchange that is not part of an open transaction.
func (w *Forwarder) Open(name string) (pollendoor.Link, *pollendoor.Refusal) {
	local, refusal := w.Local.Open(name)
	if refusal != nil {
		return nil, refusal
	}
	return &link{forwarder: w, group: name, local: local}, nil
}

// acquire returns an idle stream to a peer, or opens one.
func (w *Forwarder) acquire(ctx context.Context, addr string) (*forwardStream, error) {
	w.mu.Lock()
	for list := w.idleStreams[addr]; len(list) > 0; list = w.idleStreams[addr] {
		l := list[len(list)-1]
		w.idleStreams[addr] = list[:len(list)-1]
		select {
		case <-l.conn.Closed():
			l.cancel()
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
	streamCtx, cancel := context.WithCancel(context.Background())
	s, err := c.NewStream(streamCtx, rpcForward, encoding)
	if err != nil {
		cancel()
		c.Close()
		return nil, errors.Wrap(err, "open forwarding stream")
	}
	return &forwardStream{addr: addr, conn: c, stream: s, cancel: cancel}, nil
}

// release returns a stream to the idle streams, or closes it if there are
// maxIdleStreams already.
func (w *Forwarder) release(fs *forwardStream) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.idleStreams == nil {
		w.idleStreams = make(map[string][]*forwardStream)
	}
	if len(w.idleStreams[fs.addr]) >= maxIdleStreams {
		fs.close()
		return
	}
	w.idleStreams[fs.addr] = append(w.idleStreams[fs.addr], fs)
}

// Close closes the idle streams.
func (w *Forwarder) Close() {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, list := range w.idleStreams {
		for _, l := range list {
			l.close()
		}
	}
	w.idleStreams = nil
}

// link runs the exchanges of one session on the home VM of its group.
type link struct {
	forwarder *Forwarder
	group     string
	local     pollendoor.Link // runs exchanges on this VM
	pinned    bool            // whether a transaction is open
	txStream  *forwardStream  // stream of the open transaction, nil if it runs on this VM
}

// Close rolls back an open transaction.
func (l *link) Close() {
	l.local.Close()
	if l.txStream != nil {
		l.txStream.close()
		l.txStream = nil
	}
	l.pinned = false
}

// homeCandidates returns the peers that may run an exchange, the preferred one
// first, which is the home VM in this VM's zone if there is one. It returns true
// if this VM must run the exchange: it is a home VM itself, or there is none.
func (l *link) homeCandidates() ([]pollendoor.VM, bool) {
	v := l.forwarder.Fleet.View()
	homes := v.Homes(l.group)
	list := append([]pollendoor.VM(nil), homes...)
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

// Run runs one exchange on a home VM of the group and retries it on the next
// home VM if that is safe.
func (l *link) Run(ctx context.Context, x *pollendoor.Exchange, sink pollendoor.Sink) pollendoor.Answer {
	if l.pinned {
		return l.runPinned(ctx, x, sink)
	}
	deadline := time.Now().Add(x.Timeout)
	for n := 1; ; n++ {
		list, isHome := l.homeCandidates()
		if isHome {
			return l.notePinned(l.local.Run(ctx, x, sink), nil)
		}
		home := list[(n-1)%len(list)]
		y := *x
		y.Timeout = time.Until(deadline)
		a, result, spilled, err := l.tryPeer(ctx, home, &y, sink)
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
			Code: pollendoor.CodeUnknown, Outcome: verdict.Outcome(),
			Message: "the connection to the home VM of group " + l.group + " failed", Cause: err.Error(),
		}}
	}
}

// tryPeer makes one attempt to run an exchange on a peer. The third result
// reports whether parts of the answer have been sent to the caller.
func (l *link) tryPeer(ctx context.Context, home pollendoor.VM, x *pollendoor.Exchange, sink pollendoor.Sink) (pollendoor.Answer, retry.Result, bool, error) {
	dial, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	fs, err := l.forwarder.acquire(dial, home.Peer)
	if err != nil {
		return pollendoor.Answer{}, retry.NotSent, false, err
	}
	a, sent, spilled, err := l.forwarder.exchange(ctx, fs, x, sink)
	if err != nil {
		fs.close()
		if !sent {
			return a, retry.NotSent, spilled, err
		}
		return a, retry.NoAnswer, spilled, err
	}
	return l.notePinned(a, fs), retry.Answered, spilled, nil
}

// notePinned records whether a transaction is open after an exchange and on
// which stream, nil for this VM. A stream without one is released.
func (l *link) notePinned(a pollendoor.Answer, fs *forwardStream) pollendoor.Answer {
	l.pinned = a.TxStatus == 'T' || a.TxStatus == 'E' && a.Refusal == nil
	l.txStream = nil
	if fs == nil {
		return a
	}
	if l.pinned {
		l.txStream = fs
		return a
	}
	l.forwarder.release(fs)
	return a
}

// runPinned runs an exchange of the open transaction where the transaction runs.
func (l *link) runPinned(ctx context.Context, x *pollendoor.Exchange, sink pollendoor.Sink) pollendoor.Answer {
	if l.txStream == nil {
		return l.notePinned(l.local.Run(ctx, x, sink), nil)
	}
	fs := l.txStream
	a, _, _, err := l.forwarder.exchange(ctx, fs, x, sink)
	if err == nil {
		return l.notePinned(a, fs)
	}
	l.Close()
	if x.Commit {
		return pollendoor.Answer{TxStatus: 'I', Refusal: pollendoor.RefuseUnknown("the outcome of the transaction is not known", err.Error())}
	}
	return pollendoor.Answer{TxStatus: 'E', Refusal: pollendoor.Refuse(pollendoor.CodeNoPrimary, "the transaction lost its connection to the home VM and was rolled back", err.Error())}
}

// answerGrace is how much longer than an exchange's timeout its home VM may take
// to answer before the stream is closed.
const answerGrace = 2 * time.Second

// exchange runs one exchange on a stream. The result sent reports whether the
// home VM may have received the exchange, and spilled whether parts of the answer
// have been sent to the caller. If ctx ends, the exchange is canceled.
func (w *Forwarder) exchange(ctx context.Context, fs *forwardStream, x *pollendoor.Exchange, sink pollendoor.Sink) (a pollendoor.Answer, sent, spilled bool, err error) {
	id := uuid.NewString()
	stop := context.AfterFunc(ctx, func() {
		c, cancel := context.WithTimeout(context.Background(), callTimeout)
		defer cancel()
		if w.Fleet.dialer.invoke(c, fs.addr, rpcCancel, &cancelRequest{ID: id}, &emptyMessage{}) != nil {
			fs.cancel()
		}
	})
	defer stop()
	limit := time.AfterFunc(x.Timeout+answerGrace, fs.close)
	defer limit.Stop()
	if err := fs.stream.MsgSend(&forwardRequest{ID: id, Exchange: *x}, encoding); err != nil {
		return a, true, false, errors.Wrap(err, "send exchange to home VM")
	}
	var buffered []byte // frames not yet sent to the caller, so that the exchange can be retried if the home VM is lost
	for {
		var m forwardAnswer
		if err := fs.stream.MsgRecv(&m, encoding); err != nil {
			return a, true, spilled, errors.Wrap(err, "receive answer from home VM")
		}
		if len(buffered) > 0 && (m.Final != nil || len(buffered)+len(m.Frames) > maxBufferedBytes) {
			spilled = true
			if err := sink(buffered); err != nil {
				return a, true, true, errors.Wrap(err, "send to caller")
			}
			buffered = buffered[:0]
		}
		if m.Final != nil {
			return *m.Final, true, spilled, nil
		}
		buffered = append(buffered, m.Frames...)
	}
}

// maxBufferedBytes is how much of an answer is buffered until the home VM reports
// that it is complete.
const maxBufferedBytes = 128 << 10
