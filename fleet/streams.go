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
	// laneDial bounds the connection to another VM: some round trips between
	// regions.
	streamDialTimeout = 250 * time.Millisecond
	// laneSlack is how much later than the target's answer that of its home may
	// come.
	streamAnswerSlack = 100 * time.Millisecond
	// askTimeout bounds a question to another VM.
	queryTimeout = time.Second
	// idleLanes bounds the idle lanes to one VM.
	maxIdleStreams = 24
	// laneBuffer is the buffer of a lane, in bytes.
	streamBufferSize = 1024
	// laneIdle is how long the home keeps a lane that carries nothing.
	streamIdleTimeout = time.Minute
)

// call is one request on a lane: work, the end of a turn, or a question for the
// configuration, the targets or the record.
type streamRequest struct {
	Work          *pollendoor.Work `cbor:"1,keyasint,omitempty"`
	Config        bool             `cbor:"2,keyasint,omitempty"`
	Targets       bool             `cbor:"3,keyasint,omitempty"`
	SinceRevision uint64           `cbor:"5,keyasint,omitempty"` // revision of the targets that the VM knows
	Record        bool             `cbor:"4,keyasint,omitempty"`
}

// result is the answer to a call.
type streamResponse struct {
	Reply   *pollendoor.Reply `cbor:"1,keyasint,omitempty"`
	Config  []byte            `cbor:"2,keyasint,omitempty"` // compressed
	Targets []byte            `cbor:"6,keyasint,omitempty"` // roster.Delta, compressed
	Full    bool              `cbor:"7,keyasint,omitempty"` // it has all of them
	Record  *storedRecord     `cbor:"4,keyasint,omitempty"` // the newest that the VM knows
}

// lanes are the TCP connections between VMs. Each carries one turn at a time.
type streams struct {
	vm             *VM
	listener       net.Listener
	remoteSessions atomic.Int64 // of other VMs

	mu       sync.Mutex
	idle     map[string][]*stream // by VM name
	accepted map[net.Conn]struct{}
	closed   bool
}

// lane is a turn at another VM.
type stream struct {
	streams     *streams
	peer        string
	ip          string
	conn        net.Conn
	sendBuffer  bytes.Buffer
	enc         *cbor.Encoder
	dec         *cbor.Decoder
	sessionOpen bool // the home holds a connection for this turn
	closed      bool
}

func newStream(s *streams, c net.Conn) *stream {
	l := &stream{streams: s, conn: c, dec: cbor.NewDecoder(bufio.NewReaderSize(c, streamBufferSize))}
	l.enc = cbor.NewEncoder(&l.sendBuffer)
	l.ip, _, _ = net.SplitHostPort(c.RemoteAddr().String()) // an address of TCP always has a port
	return l
}

func (l *stream) send(f trafficKind, v any) error {
	l.sendBuffer.Reset()
	if err := l.enc.Encode(v); err != nil {
		return err
	}
	l.streams.vm.stats.traffic.countSent(f, l.ip, l.sendBuffer.Len())
	_, err := l.conn.Write(l.sendBuffer.Bytes())
	if l.sendBuffer.Cap() > streamBufferSize {
		l.sendBuffer = bytes.Buffer{} // lanes are many, and most carry little
	}
	return err
}

// take returns a lane to another VM.
func (s *streams) acquire(p vmlist.Peer) (*stream, error) {
	for l := s.popIdle(p.Name); l != nil; l = s.popIdle(p.Name) {
		if dial.Alive(l.conn) {
			return l, nil
		}
		l.conn.Close()
	}
	ctx, cancel := context.WithTimeout(context.Background(), streamDialTimeout)
	defer cancel()
	c, err := dial.TCP(ctx, s.vm.peerAddr(p.IP))
	if err != nil {
		return nil, errors.Wrap(err, "dial VM")
	}
	l := newStream(s, c)
	l.peer = p.Name
	return l, nil
}

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

// drop closes the idle lanes to a VM: where one is silent, the others are too.
func (s *streams) closeIdle(name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, l := range s.idle[name] {
		l.conn.Close()
	}
	delete(s.idle, name)
}

// Do runs one statement at the home.
func (l *stream) Do(w *pollendoor.Work) pollendoor.Reply {
	if l.closed {
		return pollendoor.Reply{Lost: true, Sent: true, Text: "the lane to the target's home is closed"}
	}
	l.conn.SetDeadline(time.Now().Add(w.Timeout + streamAnswerSlack))
	err := l.send(trafficWork, streamRequest{Work: w})
	var r streamResponse
	if err == nil {
		err = l.dec.Decode(&r)
	}
	if err == nil && r.Reply == nil {
		err = errors.New("answer without a reply")
	}
	if err != nil {
		l.closed = true
		l.conn.Close()
		l.streams.closeIdle(l.peer)
		l.streams.vm.homeVMs.avoidPeer(l.peer)
		return pollendoor.Reply{Lost: true, Sent: true, Text: "the target's home was lost: " + err.Error()}
	}
	l.sessionOpen = r.Reply.State == 'T' && r.Reply.Code == ""
	return *r.Reply
}

// Close ends the turn and keeps the lane for another.
func (l *stream) Close() {
	if l.closed {
		return
	}
	if l.sessionOpen {
		l.sessionOpen = false
		l.conn.SetDeadline(time.Now().Add(streamAnswerSlack))
		if err := l.send(trafficWork, streamRequest{}); err != nil {
			l.closed = true
			l.conn.Close() // which the home takes for the end of the turn, too
			return
		}
	}
	s := l.streams
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed || len(s.idle[l.peer]) >= maxIdleStreams {
		l.conn.Close()
		return
	}
	if s.idle == nil {
		s.idle = make(map[string][]*stream)
	}
	s.idle[l.peer] = append(s.idle[l.peer], l)
}

func (s *streams) listen(ctx context.Context) error {
	lc := dial.Listener()
	n, err := lc.Listen(ctx, "tcp4", s.vm.peerAddr(s.vm.Settings.IP))
	s.listener = n
	return errors.Wrap(err, "listener for VMs")
}

// serve accepts lanes of other VMs.
func (s *streams) serve() {
	dial.Accept(s.listener, func(err error) { s.vm.Log.Warn().Err(err).Msg("lane not accepted") }, s.serveStream)
}

// serveLane runs the work of another VM. The end of the connection ends its
// turn.
func (s *streams) serveStream(c net.Conn) {
	s.mu.Lock()
	if s.accepted == nil {
		s.accepted = make(map[net.Conn]struct{})
	}
	s.accepted[c] = struct{}{}
	s.mu.Unlock()
	l := newStream(s, c)
	defer logs.Guard(&s.vm.Log, "lane")
	var current pollendoor.Turn
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
		if err := l.dec.Decode(&in); err != nil {
			return
		}
		var out streamResponse
		var answer trafficKind
		switch {
		case in.Work != nil && current == nil && !dial.Alive(c):
			// The other VM has given it up: this one was frozen, most likely.
			s.vm.Log.Info().Str("id", in.Work.ID).Str("target", in.Work.Target).Msg("work given up by the other VM not run")
			return
		case in.Work != nil:
			r := s.runWork(&current, in.Work)
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
			s.closeSession(&current)
			continue
		}
		c.SetWriteDeadline(time.Now().Add(streamIdleTimeout))
		if err := l.send(answer, out); err != nil {
			return
		}
	}
}

func (s *streams) runWork(current *pollendoor.Turn, w *pollendoor.Work) pollendoor.Reply {
	if *current == nil {
		t, ok := s.vm.targets.Get(w.Target)
		if !ok || t.Group != w.Group {
			return pollendoor.Reply{Code: pollendoor.ErrMisrouted, Text: "the home does not know the target", State: 'I'}
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

// finish ends the turn that a lane has under way, if any.
func (s *streams) closeSession(current *pollendoor.Turn) {
	if *current == nil {
		return
	}
	(*current).Close()
	*current = nil
	s.remoteSessions.Add(-1)
}

// ask asks another VM a question beside the work.
func (s *streams) query(p vmlist.Peer, c streamRequest) (streamResponse, error) {
	l, err := s.acquire(p)
	if err != nil {
		return streamResponse{}, err
	}
	l.conn.SetDeadline(time.Now().Add(queryTimeout))
	var r streamResponse
	if err = l.send(trafficQuery, c); err == nil {
		err = l.dec.Decode(&r)
	}
	if err != nil {
		l.conn.Close()
		return streamResponse{}, errors.Wrap(err, "question to another VM")
	}
	l.Close()
	return r, nil
}

// close ends all lanes.
func (s *streams) close() {
	s.listener.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	for _, list := range s.idle {
		for _, l := range list {
			l.conn.Close()
		}
	}
	s.idle = nil
	for c := range s.accepted {
		c.Close()
	}
}
