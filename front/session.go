package front

import (
	"context"
	"encoding/binary"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/pollendoor/pollendoor"
	"github.com/pollendoor/pollendoor/pgwire"
	"github.com/pollendoor/pollendoor/route"
	"github.com/pollendoor/pollendoor/token"
)

const (
	// maxStatements bounds the prepared statements of one session.
	maxStatements = 1000
	// maxBatch bounds the messages of one batch, in bytes.
	maxBatch = 32 << 20
	// lingerTime is how long the last answer may take to be read before the
	// connection is closed.
	lingerTime = 200 * time.Millisecond
)

// prepared is one statement that the caller has parsed.
type prepared struct {
	pollendoor.Prepared
	statement route.Statement
}

// session is one caller's connection.
type session struct {
	server *Server
	net    net.Conn
	back   *pgproto3.Backend
	pid    uint32
	secret []byte
	grant  pollendoor.Grant
	link   pollendoor.Link
	group  string
	out    []byte // answer not yet written

	wishes   route.Hints // of the session
	local    route.Hints // of the transaction
	timeout  time.Duration
	app      string
	token    token.Token
	reported string // token as the caller last heard it

	stmts   map[string]*prepared
	portals map[string]*prepared
	batch   batch
	skip    bool // after an error, until Sync

	status byte // transaction status as the caller knows it
	failed bool // the transaction was lost, the caller has yet to end it
	txKey  string
	txHash *digest

	lastActive atomic.Int64 // unix ns of the last answer, zero while busy
	inTx       atomic.Bool

	mu       sync.Mutex
	cancelFn context.CancelFunc // of the running exchange
	ending   *pollendoor.Refusal
	busy     bool
}

func newSession(s *Server, n net.Conn) *session {
	return &session{
		server:  s,
		net:     n,
		status:  'I',
		stmts:   make(map[string]*prepared),
		portals: make(map[string]*prepared),
	}
}

func (s *session) close() {
	if s.link != nil {
		s.link.Close()
	}
	s.net.Close()
}

// cancelRunning ends the running exchange, if there is one.
func (s *session) cancelRunning() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.cancelFn != nil {
		s.cancelFn()
	}
}

// end closes the session with a last message: at once if it is idle, else after
// the running exchange.
func (s *session) end(r *pollendoor.Refusal) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ending == nil {
		s.ending = r
	}
	if !s.busy {
		s.net.SetReadDeadline(time.Unix(1, 0))
	}
}

// idleFor returns how long the session has been idle outside of a transaction.
func (s *session) idleFor() time.Duration {
	t := s.lastActive.Load()
	if t == 0 || s.inTx.Load() {
		return 0
	}
	return time.Since(time.Unix(0, t))
}

// work marks the session busy, or idle again. It reports whether the session is
// to end.
func (s *session) work(busy bool) *pollendoor.Refusal {
	if busy {
		s.lastActive.Store(0)
	} else {
		s.inTx.Store(s.status != 'I')
		s.lastActive.Store(time.Now().UnixNano())
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.busy = busy
	return s.ending
}

// loop serves the caller's messages until one side ends the connection.
func (s *session) loop() {
	s.back.SetMaxBodyLen(pgwire.MaxMessage)
	s.work(false)
	for {
		m, err := s.back.Receive()
		ending := s.work(true)
		if err != nil {
			s.farewell(err, ending)
			return
		}
		if _, ok := m.(*pgproto3.Terminate); ok {
			return
		}
		if err := s.handle(m); err != nil {
			return
		}
		if len(s.out) == 0 && !s.answered(m) {
			s.rest()
			continue
		}
		if s.flush() != nil {
			return
		}
		if ending := s.work(false); ending != nil && (ending.Code == pollendoor.CodeBadKey || s.status == 'I' || s.pastDrain()) {
			s.farewell(nil, ending)
			return
		} else if ending != nil {
			// A transaction goes on: its next message must be read.
			s.net.SetReadDeadline(time.Time{})
		}
	}
}

// answered reports whether a message ends a batch.
func (s *session) answered(m pgproto3.FrontendMessage) bool {
	switch m.(type) {
	case *pgproto3.Query, *pgproto3.Sync, *pgproto3.Flush:
		return true
	}
	return false
}

// rest marks the session as waiting for the next message of a batch.
func (s *session) rest() {
	s.mu.Lock()
	s.busy = false
	if s.ending != nil {
		s.net.SetReadDeadline(time.Unix(1, 0))
	}
	s.mu.Unlock()
}

// pastDrain reports whether the VM's planned stop has run out of time.
func (s *session) pastDrain() bool { return s.server.ctx.Err() != nil }

// farewell tells the caller why the connection ends.
func (s *session) farewell(err error, ending *pollendoor.Refusal) {
	var timeout net.Error
	switch {
	case ending != nil && (err == nil || errors.As(err, &timeout) && timeout.Timeout()):
		s.fatal(ending)
	case err != nil && isProtocolError(err):
		s.fatal(pollendoor.Refuse(pollendoor.CodeProtocol, "message can't be read", err.Error()))
	default:
		return
	}
	s.flush()
	s.linger()
}

// isProtocolError tells a message that can't be read from a connection that
// ended.
func isProtocolError(err error) bool {
	var n net.Error
	return !errors.As(err, &n) && !errors.Is(err, net.ErrClosed) && !isEOF(err)
}

// linger lets the caller read the last message before the close.
func (s *session) linger() {
	if t, ok := s.net.(*net.TCPConn); ok {
		t.CloseWrite()
	}
	s.net.SetReadDeadline(time.Now().Add(lingerTime))
	buf := make([]byte, 4096)
	for {
		if _, err := s.net.Read(buf); err != nil {
			return
		}
	}
}

func (s *session) handle(m pgproto3.FrontendMessage) error {
	if s.skip {
		if _, ok := m.(*pgproto3.Sync); !ok {
			return nil
		}
	}
	switch m := m.(type) {
	case *pgproto3.Query:
		s.query(m.String)
	case *pgproto3.Parse:
		s.parse(m)
	case *pgproto3.Bind:
		s.bind(m)
	case *pgproto3.Describe:
		s.describe(m)
	case *pgproto3.Execute:
		s.execute(m)
	case *pgproto3.Close:
		s.closeObject(m)
	case *pgproto3.Flush:
		s.runBatch(true)
	case *pgproto3.Sync:
		s.skip = false
		s.runBatch(false)
	case *pgproto3.CopyData, *pgproto3.CopyDone, *pgproto3.CopyFail:
		// Belongs to a COPY that was refused.
	default:
		s.refuse(pollendoor.Refuse(pollendoor.CodeNotSupported, "this message is not carried", ""))
		s.ready()
	}
	return nil
}

// send appends a message to the answer.
func (s *session) send(m pgproto3.BackendMessage) {
	out, err := m.Encode(s.out)
	if err != nil {
		panic(errors.NewAssertionErrorWithWrappedErrf(err, "an answer did not encode"))
	}
	s.out = out
}

func (s *session) flush() error {
	if len(s.out) == 0 {
		return nil
	}
	_, err := s.net.Write(s.out)
	s.out = s.out[:0]
	return err
}

// sink takes frames of an answer from the group's home.
func (s *session) sink(frames []byte) error {
	if len(s.batch.fresh) > 0 {
		s.batch.parses += countFrames(frames, parseComplete)
	}
	s.out = append(s.out, frames...)
	if len(s.out) < sinkFlush {
		return nil
	}
	return s.flush()
}

// parseComplete is the type of the message that answers a Parse.
const parseComplete = '1'

// countFrames counts the messages of one type.
func countFrames(frames []byte, kind byte) int {
	n := 0
	for len(frames) >= 5 {
		if frames[0] == kind {
			n++
		}
		size := int(binary.BigEndian.Uint32(frames[1:])) + 1
		if size > len(frames) {
			break
		}
		frames = frames[size:]
	}
	return n
}

// sinkFlush is how many bytes of an answer are gathered before they are
// written.
const sinkFlush = 32 << 10

func (s *session) refuse(r *pollendoor.Refusal) {
	s.send(&pgproto3.ErrorResponse{
		Severity: "ERROR", SeverityUnlocalized: "ERROR",
		Code: r.Code, Message: r.Message, Detail: r.Detail(), Hint: r.Cause,
	})
}

func (s *session) fatal(r *pollendoor.Refusal) {
	s.send(&pgproto3.ErrorResponse{
		Severity: "FATAL", SeverityUnlocalized: "FATAL",
		Code: r.Code, Message: r.Message, Detail: r.Detail(), Hint: r.Cause,
	})
}

// ready ends an answer. The session's token goes with it when it has changed.
func (s *session) ready() {
	if t := s.token.String(); t != s.reported {
		s.send(&pgproto3.ParameterStatus{Name: pgwire.SessionParam, Value: t})
		s.reported = t
	}
	status := s.status
	if s.failed {
		status = 'E'
	}
	s.send(&pgproto3.ReadyForQuery{TxStatus: status})
}
