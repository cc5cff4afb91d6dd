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
	laneDial = 250 * time.Millisecond
	// laneSlack is how much later than the target's answer that of its home may
	// come.
	laneSlack = 100 * time.Millisecond
	// askTimeout bounds a question to another VM.
	askTimeout = time.Second
	// idleLanes bounds the idle lanes to one VM.
	idleLanes = 24
	// laneBuffer is the buffer of a lane, in bytes.
	laneBuffer = 1024
	// laneIdle is how long the home keeps a lane that carries nothing.
	laneIdle = time.Minute
)

// call is one request on a lane: work, the end of a turn, or a question for the
// configuration, the targets or the record.
type call struct {
	Work    *pollendoor.Work `cbor:"1,keyasint,omitempty"`
	Config  bool             `cbor:"2,keyasint,omitempty"`
	Targets bool             `cbor:"3,keyasint,omitempty"`
	Since   uint64           `cbor:"5,keyasint,omitempty"` // revision of the targets that the VM knows
	Record  bool             `cbor:"4,keyasint,omitempty"`
}

// result is the answer to a call.
type result struct {
	Reply   *pollendoor.Reply `cbor:"1,keyasint,omitempty"`
	Config  []byte            `cbor:"2,keyasint,omitempty"` // compressed
	Targets []byte            `cbor:"6,keyasint,omitempty"` // roster.Delta, compressed
	Whole   bool              `cbor:"7,keyasint,omitempty"` // it has all of them
	Record  *storedRecord     `cbor:"4,keyasint,omitempty"` // the newest that the VM knows
}

// lanes are the TCP connections between VMs. Each carries one turn at a time.
type lanes struct {
	vm       *VM
	listener net.Listener
	turns    atomic.Int64 // of other VMs

	mu     sync.Mutex
	idle   map[string][]*lane // by VM name
	serves map[net.Conn]struct{}
	closed bool
}

// lane is a turn at another VM.
type lane struct {
	lanes *lanes
	peer  string
	ip    string
	conn  net.Conn
	sent  bytes.Buffer
	enc   *cbor.Encoder
	dec   *cbor.Decoder
	open  bool // the home holds a connection for this turn
	dead  bool
}

func newLane(s *lanes, c net.Conn) *lane {
	l := &lane{lanes: s, conn: c, dec: cbor.NewDecoder(bufio.NewReaderSize(c, laneBuffer))}
	l.enc = cbor.NewEncoder(&l.sent)
	l.ip, _, _ = net.SplitHostPort(c.RemoteAddr().String()) // an address of TCP always has a port
	return l
}

func (l *lane) send(f flow, v any) error {
	l.sent.Reset()
	if err := l.enc.Encode(v); err != nil {
		return err
	}
	l.lanes.vm.stats.traffic.sent(f, l.ip, l.sent.Len())
	_, err := l.conn.Write(l.sent.Bytes())
	if l.sent.Cap() > laneBuffer {
		l.sent = bytes.Buffer{} // lanes are many, and most carry little
	}
	return err
}

// take returns a lane to another VM.
func (s *lanes) take(p vmlist.Peer) (*lane, error) {
	for l := s.pop(p.Name); l != nil; l = s.pop(p.Name) {
		if dial.Alive(l.conn) {
			return l, nil
		}
		l.conn.Close()
	}
	ctx, cancel := context.WithTimeout(context.Background(), laneDial)
	defer cancel()
	c, err := dial.TCP(ctx, s.vm.addr(p.IP))
	if err != nil {
		return nil, errors.Wrap(err, "dial VM")
	}
	l := newLane(s, c)
	l.peer = p.Name
	return l, nil
}

func (s *lanes) pop(name string) *lane {
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
func (s *lanes) drop(name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, l := range s.idle[name] {
		l.conn.Close()
	}
	delete(s.idle, name)
}

// Do runs one statement at the home.
func (l *lane) Do(w *pollendoor.Work) pollendoor.Reply {
	if l.dead {
		return pollendoor.Reply{Lost: true, Sent: true, Text: "the lane to the target's home is closed"}
	}
	l.conn.SetDeadline(time.Now().Add(w.Timeout + laneSlack))
	err := l.send(flowWork, call{Work: w})
	var r result
	if err == nil {
		err = l.dec.Decode(&r)
	}
	if err == nil && r.Reply == nil {
		err = errors.New("answer without a reply")
	}
	if err != nil {
		l.dead = true
		l.conn.Close()
		l.lanes.drop(l.peer)
		l.lanes.vm.homes.shun(l.peer)
		return pollendoor.Reply{Lost: true, Sent: true, Text: "the target's home was lost: " + err.Error()}
	}
	l.open = r.Reply.State == 'T' && r.Reply.Code == ""
	return *r.Reply
}

// Close ends the turn and keeps the lane for another.
func (l *lane) Close() {
	if l.dead {
		return
	}
	if l.open {
		l.open = false
		l.conn.SetDeadline(time.Now().Add(laneSlack))
		if err := l.send(flowWork, call{}); err != nil {
			l.dead = true
			l.conn.Close() // which the home takes for the end of the turn, too
			return
		}
	}
	s := l.lanes
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed || len(s.idle[l.peer]) >= idleLanes {
		l.conn.Close()
		return
	}
	if s.idle == nil {
		s.idle = make(map[string][]*lane)
	}
	s.idle[l.peer] = append(s.idle[l.peer], l)
}

func (s *lanes) listen(ctx context.Context) error {
	lc := dial.Listener()
	n, err := lc.Listen(ctx, "tcp4", s.vm.addr(s.vm.Settings.IP))
	s.listener = n
	return errors.Wrap(err, "listener for VMs")
}

// serve accepts lanes of other VMs.
func (s *lanes) serve() {
	dial.Accept(s.listener, func(err error) { s.vm.Log.Warn().Err(err).Msg("lane not accepted") }, s.serveLane)
}

// serveLane runs the work of another VM. The end of the connection ends its
// turn.
func (s *lanes) serveLane(c net.Conn) {
	s.mu.Lock()
	if s.serves == nil {
		s.serves = make(map[net.Conn]struct{})
	}
	s.serves[c] = struct{}{}
	s.mu.Unlock()
	l := newLane(s, c)
	defer logs.RecoverPanic(&s.vm.Log, "lane")
	var current pollendoor.Turn
	defer func() {
		s.finish(&current)
		c.Close()
		s.mu.Lock()
		delete(s.serves, c)
		s.mu.Unlock()
	}()
	for {
		c.SetReadDeadline(time.Now().Add(laneIdle))
		var in call
		if err := l.dec.Decode(&in); err != nil {
			return
		}
		var out result
		var answer flow
		switch {
		case in.Work != nil && current == nil && !dial.Alive(c):
			// The other VM has given it up: this one was frozen, most likely.
			s.vm.Log.Info().Str("id", in.Work.ID).Str("target", in.Work.Target).Msg("work given up by the other VM not run")
			return
		case in.Work != nil:
			r := s.work(&current, in.Work)
			out.Reply, answer = &r, flowReply
		case in.Config:
			if v := s.vm.config.Load(); v != nil {
				var err error
				if out.Config, err = v.packed(); err != nil {
					s.vm.Log.Error().Err(err).Msg("configuration not sent to another VM")
				}
			}
			answer = flowConfig
		case in.Targets:
			out.Targets, out.Whole = s.vm.packTargets(in.Since)
			answer = flowTargets
		case in.Record:
			out.Record, answer = &storedRecord{Record: s.vm.lease.Load().Record}, flowRecord
		default:
			s.finish(&current)
			continue
		}
		c.SetWriteDeadline(time.Now().Add(laneIdle))
		if err := l.send(answer, out); err != nil {
			return
		}
	}
}

func (s *lanes) work(current *pollendoor.Turn, w *pollendoor.Work) pollendoor.Reply {
	if *current == nil {
		t, ok := s.vm.targets.Get(w.Target)
		if !ok || t.Group != w.Group {
			return pollendoor.Reply{Code: pollendoor.ErrMisrouted, Text: "the home does not know the target", State: 'I'}
		}
		*current = s.vm.homes.broker(t).Open(w.Team)
		s.turns.Add(1)
	}
	r := (*current).Do(w)
	if r.State != 'T' || r.Code != "" {
		s.finish(current)
	}
	return r
}

// finish ends the turn that a lane has under way, if any.
func (s *lanes) finish(current *pollendoor.Turn) {
	if *current == nil {
		return
	}
	(*current).Close()
	*current = nil
	s.turns.Add(-1)
}

// ask asks another VM a question beside the work.
func (s *lanes) ask(p vmlist.Peer, c call) (result, error) {
	l, err := s.take(p)
	if err != nil {
		return result{}, err
	}
	l.conn.SetDeadline(time.Now().Add(askTimeout))
	var r result
	if err = l.send(flowAsk, c); err == nil {
		err = l.dec.Decode(&r)
	}
	if err != nil {
		l.conn.Close()
		return result{}, errors.Wrap(err, "question to another VM")
	}
	l.Close()
	return r, nil
}

// close ends all lanes.
func (s *lanes) close() {
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
	for c := range s.serves {
		c.Close()
	}
}
