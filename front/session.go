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
	lingerTimeout = 200 * time.Millisecond
)

// prepared is one statement that the caller has parsed.
type preparedStatement struct {
	pollendoor.Prepared
	statement route.Statement
}

// session is one caller's connection.
type session struct {
	server    *Server
	conn      net.Conn
	backend   *pgproto3.Backend
	processID uint32
	cancelKey []byte
	grant     pollendoor.Grant
	link      pollendoor.Link
	group     string
	output    []byte // answer not yet written

	hints            route.Wishes // of the session
	txHints          route.Wishes // of the transaction
	statementTimeout time.Duration
	applicationName  string
	token            token.Token
	reportedToken    string // token as the caller last heard it

	statements map[string]*preparedStatement
	portals    map[string]*preparedStatement
	batch      batch
	skipToSync bool // after an error, until Sync

	txStatus    byte // transaction status as the caller knows it
	txFailed    bool // the transaction was lost, the caller has yet to end it
	txRequestID string
	txDigest    *digest

	idleSince atomic.Int64 // unix ns of the last answer, zero while busy
	inTx      atomic.Bool

	mu             sync.Mutex
	cancelExchange context.CancelFunc // of the running exchange
	closeReason    *pollendoor.Refusal
	busy           bool
}

func newSession(s *Server, conn net.Conn) *session {
	return &session{
		server:     s,
		conn:       conn,
		txStatus:   'I',
		statements: make(map[string]*preparedStatement),
		portals:    make(map[string]*preparedStatement),
	}
}

func (s *session) close() {
	if s.link != nil {
		s.link.Close()
	}
	s.conn.Close()
}

// cancelRunning ends the running exchange, if there is one.
func (s *session) cancelExchangeInProgress() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.cancelExchange != nil {
		s.cancelExchange()
	}
}

// end closes the session with a last message: at once if it is idle, else after
// the running exchange.
func (s *session) requestClose(refusal *pollendoor.Refusal) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closeReason == nil {
		s.closeReason = refusal
	}
	if !s.busy {
		s.conn.SetReadDeadline(time.Unix(1, 0))
	}
}

// idleFor returns how long the session has been idle outside of a transaction.
func (s *session) idleTime() time.Duration {
	since := s.idleSince.Load()
	if since == 0 || s.inTx.Load() {
		return 0
	}
	return time.Since(time.Unix(0, since))
}

// work marks the session busy, or idle again. It reports whether the session is
// to end.
func (s *session) setBusy(busy bool) *pollendoor.Refusal {
	if busy {
		s.idleSince.Store(0)
	} else {
		s.inTx.Store(s.txStatus != 'I')
		s.idleSince.Store(time.Now().UnixNano())
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.busy = busy
	return s.closeReason
}

// loop serves the caller's messages until one side ends the connection.
func (s *session) serveMessages() {
	s.backend.SetMaxBodyLen(pgwire.MaxMessage)
	s.setBusy(false)
	for {
		msg, err := s.backend.Receive()
		closeReason := s.setBusy(true)
		if err != nil {
			s.sendCloseReason(err, closeReason)
			return
		}
		if _, ok := msg.(*pgproto3.Terminate); ok {
			return
		}
		if err := s.handleMessage(msg); err != nil {
			return
		}
		if len(s.output) == 0 && !s.endsBatch(msg) {
			s.awaitMessage()
			continue
		}
		if s.flush() != nil {
			return
		}
		if closeReason := s.setBusy(false); closeReason != nil && (closeReason.Code == pollendoor.CodeBadKey || s.txStatus == 'I' || s.drainExpired()) {
			s.sendCloseReason(nil, closeReason)
			return
		} else if closeReason != nil {
			// A transaction goes on: its next message must be read.
			s.conn.SetReadDeadline(time.Time{})
		}
	}
}

// answered reports whether a message ends a batch.
func (s *session) endsBatch(msg pgproto3.FrontendMessage) bool {
	switch msg.(type) {
	case *pgproto3.Query, *pgproto3.Sync, *pgproto3.Flush:
		return true
	}
	return false
}

// rest marks the session as waiting for the next message of a batch.
func (s *session) awaitMessage() {
	s.mu.Lock()
	s.busy = false
	if s.closeReason != nil {
		s.conn.SetReadDeadline(time.Unix(1, 0))
	}
	s.mu.Unlock()
}

// pastDrain reports whether the VM's planned stop has run out of time.
func (s *session) drainExpired() bool { return s.server.ctx.Err() != nil }

// farewell tells the caller why the connection ends.
func (s *session) sendCloseReason(err error, closeReason *pollendoor.Refusal) {
	var netErr net.Error
	switch {
	case closeReason != nil && (err == nil || errors.As(err, &netErr) && netErr.Timeout()):
		s.sendFatal(closeReason)
	case err != nil && isProtocolError(err):
		s.sendFatal(pollendoor.Refuse(pollendoor.CodeProtocol, "message can't be read", err.Error()))
	default:
		return
	}
	s.flush()
	s.linger()
}

// isProtocolError tells a message that can't be read from a connection that
// ended.
func isProtocolError(err error) bool {
	var netErr net.Error
	return !errors.As(err, &netErr) && !errors.Is(err, net.ErrClosed) && !isEOF(err)
}

// linger lets the caller read the last message before the close.
func (s *session) linger() {
	if tcpConn, ok := s.conn.(*net.TCPConn); ok {
		tcpConn.CloseWrite()
	}
	s.conn.SetReadDeadline(time.Now().Add(lingerTimeout))
	buf := make([]byte, 4096)
	for {
		if _, err := s.conn.Read(buf); err != nil {
			return
		}
	}
}

func (s *session) handleMessage(msg pgproto3.FrontendMessage) error {
	if s.skipToSync {
		if _, ok := msg.(*pgproto3.Sync); !ok {
			return nil
		}
	}
	switch msg := msg.(type) {
	case *pgproto3.Query:
		s.handleQuery(msg.String)
	case *pgproto3.Parse:
		s.handleParse(msg)
	case *pgproto3.Bind:
		s.handleBind(msg)
	case *pgproto3.Describe:
		s.handleDescribe(msg)
	case *pgproto3.Execute:
		s.handleExecute(msg)
	case *pgproto3.Close:
		s.handleClose(msg)
	case *pgproto3.Flush:
		s.runBatch(true)
	case *pgproto3.Sync:
		s.skipToSync = false
		s.runBatch(false)
	case *pgproto3.CopyData, *pgproto3.CopyDone, *pgproto3.CopyFail:
		// Belongs to a COPY that was refused.
	default:
		s.sendError(pollendoor.Refuse(pollendoor.CodeNotSupported, "this message is not carried", ""))
		s.sendReady()
	}
	return nil
}

// send appends a message to the answer.
func (s *session) send(msg pgproto3.BackendMessage) {
	encoded, err := msg.Encode(s.output)
	if err != nil {
		panic(errors.NewAssertionErrorWithWrappedErrf(err, "an answer did not encode"))
	}
	s.output = encoded
}

func (s *session) flush() error {
	if len(s.output) == 0 {
		return nil
	}
	_, err := s.conn.Write(s.output)
	s.output = s.output[:0]
	return err
}

// sink takes frames of an answer from the group's home.
func (s *session) writeFrames(frames []byte) error {
	if len(s.batch.newNames) > 0 {
		s.batch.confirmedParses += countFrames(frames, parseComplete)
	}
	s.output = append(s.output, frames...)
	if len(s.output) < flushThreshold {
		return nil
	}
	return s.flush()
}

// parseComplete is the type of the message that answers a Parse.
const parseComplete = '1'

// countFrames counts the messages of one type.
func countFrames(frames []byte, messageType byte) int {
	count := 0
	for len(frames) >= 5 {
		if frames[0] == messageType {
			count++
		}
		size := int(binary.BigEndian.Uint32(frames[1:])) + 1
		if size > len(frames) {
			break
		}
		frames = frames[size:]
	}
	return count
}

// sinkFlush is how many bytes of an answer are gathered before they are
// written.
const flushThreshold = 32 << 10

func (s *session) sendError(refusal *pollendoor.Refusal) {
	s.send(&pgproto3.ErrorResponse{
		Severity: "ERROR", SeverityUnlocalized: "ERROR",
		Code: refusal.Code, Message: refusal.Message, Detail: refusal.Detail(), Hint: refusal.Cause,
	})
}

func (s *session) sendFatal(refusal *pollendoor.Refusal) {
	s.send(&pgproto3.ErrorResponse{
		Severity: "FATAL", SeverityUnlocalized: "FATAL",
		Code: refusal.Code, Message: refusal.Message, Detail: refusal.Detail(), Hint: refusal.Cause,
	})
}

// ready ends an answer. The session's token goes with it when it has changed.
func (s *session) sendReady() {
	if current := s.token.String(); current != s.reportedToken {
		s.send(&pgproto3.ParameterStatus{Name: pgwire.SessionParam, Value: current})
		s.reportedToken = current
	}
	status := s.txStatus
	if s.txFailed {
		status = 'E'
	}
	s.send(&pgproto3.ReadyForQuery{TxStatus: status})
}
