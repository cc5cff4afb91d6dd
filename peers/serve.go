package peers

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"storj.io/drpc"

	"github.com/pollendoor/pollendoor"
	"github.com/pollendoor/pollendoor/limit"
)

// HandleRPC serves one call of a peer.
func (f *Fleet) HandleRPC(stream drpc.Stream, rpc string) error {
	switch rpc {
	case rpcBeat:
		return serveUnary(stream, func(b *Heartbeat) (any, error) {
			if f.options.Cut != nil && f.options.Cut(b.Peer) {
				return nil, errors.New("peer is unreachable")
			}
			f.receiveHeartbeat(*b)
			a := f.heartbeat()
			return &a, nil
		})
	case rpcPull:
		return serveUnary(stream, func(r *pullRequest) (any, error) { return f.servePull(r), nil })
	case rpcTransfer:
		return serveUnary(stream, func(t *limit.Transfer) (any, error) {
			return &transferAnswer{Settled: f.options.Transfer != nil && f.options.Transfer(*t)}, nil
		})
	case rpcAsk:
		return serveUnary(stream, func(a *Ask) (any, error) {
			if f.options.Asked != nil {
				f.options.Asked(*a)
			}
			return &emptyMessage{}, nil
		})
	case rpcCancel:
		return serveUnary(stream, func(r *cancelRequest) (any, error) {
			if c, ok := f.runningExchanges.Load(r.ID); ok {
				c.(context.CancelFunc)()
			}
			return &emptyMessage{}, nil
		})
	case rpcForward:
		return f.serveForward(stream)
	}
	return errors.Newf("unknown call %q", rpc)
}

// serveUnary serves a call with one request and one answer.
func serveUnary[T any](stream drpc.Stream, serve func(*T) (any, error)) error {
	var in T
	if err := stream.MsgRecv(&in, encoding); err != nil {
		return err
	}
	out, err := serve(&in)
	if err != nil {
		return err
	}
	return stream.MsgSend(out, encoding)
}

// servePull returns the objects added to the mirror after r.Seq, unless the peer has the
// same objects from elsewhere. If there are none, it waits for one for up to the requested time, at most maxPullWait.
func (f *Fleet) servePull(r *pullRequest) *pullAnswer {
	changed := f.options.Mirror.Changed()
	list, seq, asOf := f.options.Mirror.Missing(r.Seq, r.Digest)
	if len(list) == 0 && r.WaitMS > 0 {
		t := time.NewTimer(min(time.Duration(r.WaitMS)*time.Millisecond, maxPullWait))
		select {
		case <-changed:
		case <-t.C:
		case <-f.ctx.Done():
		}
		t.Stop()
		list, seq, asOf = f.options.Mirror.Missing(r.Seq, r.Digest)
	}
	a := &pullAnswer{Seq: seq, Process: f.options.ID, AgeMS: -1, Objects: list}
	if !asOf.IsZero() {
		// Rounded up, so that the mirror is never older than reported.
		a.AgeMS = time.Since(asOf).Milliseconds() + 1
	}
	return a
}

// serveForward runs the exchanges that a peer forwards on one stream, one after
// the other.
func (f *Fleet) serveForward(stream drpc.Stream) error {
	var link pollendoor.Link
	defer func() {
		if link != nil {
			link.Close()
		}
	}()
	for {
		var r forwardRequest
		if err := stream.MsgRecv(&r, encoding); err != nil {
			return nil // the peer closed the stream
		}
		if link == nil {
			l, refusal := f.options.Runner.Open(r.Exchange.Group)
			if refusal != nil {
				if err := stream.MsgSend(&forwardAnswer{Final: &pollendoor.Answer{Refusal: refusal}}, encoding); err != nil {
					return err
				}
				continue
			}
			link = l
		}
		a := f.runForwarded(stream, link, &r)
		if err := stream.MsgSend(&forwardAnswer{Final: &a}, encoding); err != nil {
			return err
		}
		if a.TxStatus != 'T' && a.TxStatus != 'E' {
			link.Close()
			link = nil // the next exchange may belong to another group
		}
	}
}

// runForwarded runs one forwarded exchange, which a cancelRequest can cancel.
func (f *Fleet) runForwarded(stream drpc.Stream, link pollendoor.Link, r *forwardRequest) pollendoor.Answer {
	ctx, cancel := context.WithCancel(stream.Context())
	defer cancel()
	f.runningExchanges.Store(r.ID, cancel)
	defer f.runningExchanges.Delete(r.ID)
	return link.Run(ctx, &r.Exchange, func(frames []byte) error {
		return stream.MsgSend(&forwardAnswer{Frames: frames}, encoding)
	})
}
