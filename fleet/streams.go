package fleet

import (
	"bufio"
	"bytes"
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"

	"github.com/pollendoor/pollendoor"
	"github.com/pollendoor/pollendoor/dial"
	"github.com/pollendoor/pollendoor/logs"
	"github.com/pollendoor/pollendoor/vmlist"
)

const (
	// streamDialTimeout bounds the connection setup to another VM: some round trips
	// between regions.
	streamDialTimeout = 250 * time.Millisecond
	// streamAnswerMargin is how much later than the target's answer the answer of its
	// home VM may arrive.
	streamAnswerMargin = 100 * time.Millisecond
	// queryTimeout bounds a query to another VM.
	queryTimeout = time.Second
	// maxIdleStreams bounds the idle streams to one VM.
	maxIdleStreams = 24
	// streamBufferSize is the size of a stream's buffers in bytes.
	streamBufferSize = 1024
	// streamIdleTimeout is how long the home VM keeps an idle stream.
	streamIdleTimeout = time.Minute
)

// streamRequest is one request on a stream: work for a target, or a query for the
// configuration, the targets or the record. An empty request ends the session at the
// target.
type streamRequest struct {
	Work          *pollendoor.Work `cbor:"1,keyasint,omitempty"`
	Config        bool             `cbor:"2,keyasint,omitempty"`
	Targets       bool             `cbor:"3,keyasint,omitempty"`
	SinceRevision uint64           `cbor:"5,keyasint,omitempty"` // revision of the targets that the sender has
	Record        bool             `cbor:"4,keyasint,omitempty"`
}

// streamResponse is the response to a streamRequest.
type streamResponse struct {
	Reply   *pollendoor.Reply `cbor:"1,keyasint,omitempty"`
	Config  []byte            `cbor:"2,keyasint,omitempty"` // compressed text of the configuration
	Targets []byte            `cbor:"6,keyasint,omitempty"` // compressed roster.Delta
	Full    bool              `cbor:"7,keyasint,omitempty"` // Targets holds all targets, not only changes
	Record  *storedRecord     `cbor:"4,keyasint,omitempty"` // newest record that the sender has
}

// streams holds the TCP connections between VMs. Each carries one session at a
// target at a time.
type streams struct {
	vm             *VM
	listener       net.Listener
	remoteSessions atomic.Int64 // number of open sessions of other VMs

	remoteStatements atomic.Int64 // number of statements of other VMs that are being run or answered
	ending           atomic.Bool  // no further statement of other VMs is run

	mu       sync.Mutex
	idle     map[string][]*stream // idle streams by VM name
	accepted map[net.Conn]struct{}
	closed   bool
}

// stream is a session at a target through another VM.
type stream struct {
	streams     *streams
	peer        string // name of the other VM, empty for an accepted stream
	ip          string // IP of the other VM
	conn        net.Conn
	sendBuffer  bytes.Buffer // reused for each message; enc writes to it
	enc         *cbor.Encoder
	dec         *cbor.Decoder
	sessionOpen bool // the home VM holds a connection for this session
	closed      bool
}

// streamDecoding accepts texts that are not UTF-8: statements and rows cross between VMs
// unchanged.
var streamDecoding = func() cbor.DecMode {
	m, err := cbor.DecOptions{UTF8: cbor.UTF8DecodeInvalid}.DecMode()
	if err != nil {
		panic(err) // the options are constant
	}
	return m
}()

// newStream returns a stream over the connection c.
func newStream(s *streams, c net.Conn) *stream {
	st := &stream{streams: s, conn: c, dec: streamDecoding.NewDecoder(bufio.NewReaderSize(c, streamBufferSize))}
	st.enc = cbor.NewEncoder(&st.sendBuffer)
	st.ip, _, _ = net.SplitHostPort(c.RemoteAddr().String()) // a TCP address always has a port
	return st
}

// send encodes v, sends it and counts the bytes under kind.
func (st *stream) send(kind trafficKind, v any) error {
	st.sendBuffer.Reset()
	if err := st.enc.Encode(v); err != nil {
		return err
	}
	st.streams.vm.stats.traffic.countSent(kind, st.ip, st.sendBuffer.Len())
	_, err := st.conn.Write(st.sendBuffer.Bytes())
	if st.sendBuffer.Cap() > streamBufferSize {
		st.sendBuffer = bytes.Buffer{} // there are many streams, and most carry little
	}
	return err
}

// acquire returns an idle stream to another VM, or opens one.
func (s *streams) acquire(p vmlist.Peer) (*stream, error) {
	for st := s.popIdle(p.Name); st != nil; st = s.popIdle(p.Name) {
		if dial.Alive(st.conn) {
			return st, nil
		}
		st.conn.Close()
	}
	ctx, cancel := context.WithTimeout(context.Background(), streamDialTimeout)
	defer cancel()
	c, err := dial.TCP(ctx, s.vm.peerAddr(p.IP))
	if err != nil {
		return nil, errors.Wrap(err, "dial VM")
	}
	st := newStream(s, c)
	st.peer = p.Name
	return st, nil
}

// popIdle removes an idle stream to a VM from the pool, and returns nil if there is
// none.
func (s *streams) popIdle(name string) *stream {
	s.mu.Lock()
	defer s.mu.Unlock()
	list := s.idle[name]
	if len(list) == 0 {
		return nil
	}
	s.idle[name] = list[:len(list)-1]
	return list[len(list)-1]
}

// closeIdle closes the idle streams to a VM: where one does not answer, the others
// don't either.
func (s *streams) closeIdle(name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, st := range s.idle[name] {
		st.conn.Close()
	}
	delete(s.idle, name)
}

// Do runs one statement at the home VM.
func (st *stream) Do(w *pollendoor.Work) pollendoor.Reply {
	if st.closed {
		return pollendoor.Reply{Lost: true, Sent: true, Text: "the stream to the target's home VM is closed"}
	}
	if st.sessionOpen && !dial.Alive(st.conn) {
		// The home VM has stopped and rolled the transaction back.
		st.closed = true
		st.conn.Close()
		return pollendoor.Reply{Code: pollendoor.ErrAborted, Text: "the target's home VM has ended the transaction", State: 'E'}
	}
	st.conn.SetDeadline(time.Now().Add(w.Timeout + streamAnswerMargin))
	err := st.send(trafficWork, streamRequest{Work: w})
	var r streamResponse
	if err == nil {
		err = st.dec.Decode(&r)
	}
	if err == nil && r.Reply == nil {
		err = errors.New("response without a reply")
	}
	if err != nil {
		st.closed = true
		st.conn.Close()
		st.streams.closeIdle(st.peer)
		st.streams.vm.homeVMs.avoidPeer(st.peer)
		return pollendoor.Reply{Lost: true, Sent: true, Text: "the target's home VM was lost: " + err.Error()}
	}
	st.sessionOpen = r.Reply.State == 'T' && r.Reply.Code == ""
	return *r.Reply
}

// Close ends the session and keeps the stream for another one.
func (st *stream) Close() {
	if st.closed {
		return
	}
	if st.sessionOpen {
		st.sessionOpen = false
		st.conn.SetDeadline(time.Now().Add(streamAnswerMargin))
		if err := st.send(trafficWork, streamRequest{}); err != nil {
			st.closed = true
			st.conn.Close() // the home VM ends the session when the connection ends
			return
		}
	}
	s := st.streams
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed || len(s.idle[st.peer]) >= maxIdleStreams {
		st.conn.Close()
		return
	}
	if s.idle == nil {
		s.idle = make(map[string][]*stream)
	}
	s.idle[st.peer] = append(s.idle[st.peer], st)
}

// listen opens the listener for streams of other VMs.
func (s *streams) listen(ctx context.Context) error {
	lc := dial.Listener()
	n, err := lc.Listen(ctx, "tcp4", s.vm.peerAddr(s.vm.Settings.IP))
	s.listener = n
	return errors.Wrap(err, "listener for VMs")
}

// serve accepts streams of other VMs.
func (s *streams) serve() {
	dial.Accept(s.listener, func(err error) { s.vm.Log.Warn().Err(err).Msg("stream not accepted") }, s.serveStream)
}

// serveStream runs the work of another VM. Its session ends with the connection.
func (s *streams) serveStream(c net.Conn) {
	s.mu.Lock()
	if s.accepted == nil {
		s.accepted = make(map[net.Conn]struct{})
	}
	s.accepted[c] = struct{}{}
	s.mu.Unlock()
	st := newStream(s, c)
	defer logs.RecoverPanic(&s.vm.Log, "lane")
	var current pollendoor.TargetSession
	defer func() {
		s.closeSession(&current)
		c.Close()
		s.mu.Lock()
		delete(s.accepted, c)
		s.mu.Unlock()
	}()
	for {
		c.SetReadDeadline(time.Now().Add(streamIdleTimeout))
		var in streamRequest
		if err := st.dec.Decode(&in); err != nil {
			return
		}
		if !s.answerRequest(st, &current, &in) {
			return
		}
	}
}

// answerRequest answers one request of another VM. It reports false if the stream has
// to end.
func (s *streams) answerRequest(st *stream, current *pollendoor.TargetSession, in *streamRequest) bool {
	c := st.conn
	if in.Work != nil {
		s.remoteStatements.Add(1)
		defer s.remoteStatements.Add(-1)
	}
	var out streamResponse
	var answer trafficKind
	switch {
	case in.Work != nil && *current == nil && !dial.Alive(c):
		// The other VM has given up this work. Most likely this VM was suspended meanwhile.
		s.vm.Log.Info().Str("id", in.Work.ID).Str("target", in.Work.Target).Msg("abandoned statement not run")
		return false
	case in.Work != nil:
		r := s.runWork(current, in.Work)
		out.Reply, answer = &r, trafficReply
	case in.Config:
		if v := s.vm.config.Load(); v != nil {
			var err error
			if out.Config, err = v.compressed(); err != nil {
				s.vm.Log.Error().Err(err).Msg("configuration not sent to another VM")
			}
		}
		answer = trafficConfig
	case in.Targets:
		out.Targets, out.Full = s.vm.compressTargets(in.SinceRevision)
		answer = trafficTargets
	case in.Record:
		out.Record, answer = &storedRecord{Record: s.vm.lease.Load().Record}, trafficRecord
	default:
		s.closeSession(current)
		return true
	}
	c.SetWriteDeadline(time.Now().Add(streamIdleTimeout))
	return st.send(answer, out) == nil
}

// runWork runs one statement of another VM, and opens a session at the target first
// if none is open.
func (s *streams) runWork(current *pollendoor.TargetSession, w *pollendoor.Work) pollendoor.Reply {
	if s.ending.Load() {
		return s.refuseWork(current)
	}
	if *current == nil {
		t, ok := s.vm.targets.Get(w.Target)
		if !ok || t.Group != w.Group {
			return pollendoor.Reply{Code: pollendoor.ErrMisrouted, Text: "the target is not registered at its home VM", State: 'I'}
		}
		*current = s.vm.homeVMs.broker(t).Open(w.Team)
		s.remoteSessions.Add(1)
	}
	r := (*current).Do(w)
	if r.State != 'T' || r.Code != "" {
		s.closeSession(current)
	}
	return r
}

// refuseWork returns the refusal of a statement during the second half of a planned
// stop. An open transaction is rolled back; other work can run through another VM.
func (s *streams) refuseWork(current *pollendoor.TargetSession) pollendoor.Reply {
	s.vm.stats.RemoteRefused.Add(1)
	if *current == nil {
		return pollendoor.Reply{Code: pollendoor.ErrMisrouted, Text: "the target's home VM is about to stop", State: 'I'}
	}
	s.closeSession(current)
	return pollendoor.Reply{Code: pollendoor.ErrAborted, Text: "the target's home VM is about to stop", State: 'E'}
}

// closeSession ends the current session of a stream, if any.
func (s *streams) closeSession(current *pollendoor.TargetSession) {
	if *current == nil {
		return
	}
	(*current).Close()
	*current = nil
	s.remoteSessions.Add(-1)
}

// query sends a request other than work to another VM, and waits for the answer until the
// timeout.
func (s *streams) query(p vmlist.Peer, c streamRequest, timeout time.Duration) (streamResponse, error) {
	st, err := s.acquire(p)
	if err != nil {
		return streamResponse{}, err
	}
	st.conn.SetDeadline(time.Now().Add(timeout))
	var r streamResponse
	if err = st.send(trafficQuery, c); err == nil {
		err = st.dec.Decode(&r)
	}
	if err != nil {
		st.conn.Close()
		return streamResponse{}, errors.Wrap(err, "query to another VM")
	}
	st.Close()
	return r, nil
}

// close closes the listener and all streams.
func (s *streams) close() {
	s.listener.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	for _, list := range s.idle {
		for _, st := range list {
			st.conn.Close()
		}
	}
	s.idle = nil
	for c := range s.accepted {
		c.Close()
	}
}
