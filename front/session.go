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
	// maxStatements is the limit of prepared statements in one session.
	maxStatements = 1000
	// maxBatch is the limit of the messages of one batch, in bytes.
	maxBatch = 32 << 20
	// lingerTimeout is how long the caller has to read the last answer before the
	// connection is closed.
	lingerTimeout = 200 * time.Millisecond
)

// preparedStatement is a statement that the caller sent in a Parse message, with
// its classification.
type preparedStatement struct {
	pollendoor.Prepared
	statement route.Statement
}

// session is the connection of one caller with its settings, prepared statements
// and transaction state.
type session struct {
	server    *Server
	conn      net.Conn
	backend   *pgproto3.Backend
	processID uint32
	cancelKey []byte // secret key of cancel requests
	grant     pollendoor.Grant
	link      pollendoor.Link // nil until the caller is logged in
	group     string          // database group of the caller's route
	output    []byte          // backend messages not yet written to conn

	hints            route.Hints   // hints set for the session
	txHints          route.Hints   // hints set for the current transaction; they override the session's
	statementTimeout time.Duration // zero if the caller set none
	applicationName  string
	token            token.Token // positions that the session's reads must cover
	reportedToken    string      // token as last sent to the caller

	statements map[string]*preparedStatement // prepared statements by the caller's name
	portals    map[string]*preparedStatement // statements bound to portals, by portal name
	batch      batch
	skipToSync bool // after an error, messages are skipped until Sync

	txStatus    byte    // transaction status last reported to the caller: I, T or E
	txFailed    bool    // the transaction was aborted and the caller has not ended it yet
	txRequestID string  // request ID of the open transaction, empty if none
	txDigest    *digest // digest of the statements of the open transaction, nil if none is open

	idleSince atomic.Int64 // Unix time of the last answer in ns, zero while busy
	inTx      atomic.Bool  // whether a transaction is open

	mu             sync.Mutex          // guards the fields below
	cancelExchange context.CancelFunc  // cancels the running exchange, nil if there is none
	closeReason    *pollendoor.Refusal // sent as last message before the close; nil while the session stays open
	busy           bool                // whether a message is being handled
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

// close closes the link, which rolls an open transaction back, and the
// connection.
func (s *session) close() {
	if s.link != nil {
		s.link.Close()
	}
	s.conn.Close()
}

// cancelExchangeInProgress cancels the running exchange, if there is one.
func (s *session) cancelExchangeInProgress() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.cancelExchange != nil {
		s.cancelExchange()
	}
}

// requestClose makes the session send refusal as its last message and close: at
// once if it is idle, otherwise after the running exchange. A read deadline in
// the past wakes an idle session.
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

// idleTime returns how long the session has been idle outside of a transaction,
// zero if it is busy or in a transaction.
func (s *session) idleTime() time.Duration {
	since := s.idleSince.Load()
	if since == 0 || s.inTx.Load() {
		return 0
	}
	return time.Since(time.Unix(0, since))
}

// setBusy marks the session as busy or idle. It returns the reason why the
// session must be closed, or nil.
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

// serveMessages handles the caller's messages until either side closes the
// connection.
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
			// The transaction may continue, so its next message must be read.
			s.conn.SetReadDeadline(time.Time{})
		}
	}
}

// endsBatch reports whether a message ends a batch and so is followed by an
// answer.
func (s *session) endsBatch(msg pgproto3.FrontendMessage) bool {
	switch msg.(type) {
	case *pgproto3.Query, *pgproto3.Sync, *pgproto3.Flush:
		return true
	}
	return false
}

// awaitMessage marks the session as waiting for the next message of a batch. If
// the session must be closed, the wait ends at once.
func (s *session) awaitMessage() {
	s.mu.Lock()
	s.busy = false
	if s.closeReason != nil {
		s.conn.SetReadDeadline(time.Unix(1, 0))
	}
	s.mu.Unlock()
}

// drainExpired reports whether the drain time of the VM's planned stop is over,
// which is when Server.Stop is called.
func (s *session) drainExpired() bool { return s.server.ctx.Err() != nil }

// sendCloseReason sends the caller the reason why the connection is closed: the
// given reason, or a protocol error. It sends nothing if the caller closed the
// connection.
func (s *session) sendCloseReason(err error, closeReason *pollendoor.Refusal) {
	var netErr net.Error
	switch {
	case closeReason != nil && (err == nil || errors.As(err, &netErr) && netErr.Timeout()):
		s.sendFatal(closeReason)
	case err != nil && isProtocolError(err):
		s.sendFatal(pollendoor.Refuse(pollendoor.CodeProtocol, "invalid protocol message", err.Error()))
	default:
		return
	}
	s.flush()
	s.linger()
}

// isProtocolError reports whether err is caused by an invalid message and not by
// the end of the connection.
func isProtocolError(err error) bool {
	var netErr net.Error
	return !errors.As(err, &netErr) && !errors.Is(err, net.ErrClosed) && !isEOF(err)
}

// linger waits up to lingerTimeout for the caller to close the connection, so
// that the caller can read the last message. A close with unread input would
// reset the connection.
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

// handleMessage handles one message of the caller. After an error it skips all
// messages up to Sync.
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
		// These messages belong to a COPY that was refused.
	default:
		s.sendError(pollendoor.Refuse(pollendoor.CodeNotSupported, "message type is not supported", ""))
		s.sendReady()
	}
	return nil
}

// send appends a message to the output. It is written by flush.
func (s *session) send(msg pgproto3.BackendMessage) {
	encoded, err := msg.Encode(s.output)
	if err != nil {
		panic(errors.NewAssertionErrorWithWrappedErrf(err, "failed to encode a backend message"))
	}
	s.output = encoded
}

// flush writes the output to the connection.
func (s *session) flush() error {
	if len(s.output) == 0 {
		return nil
	}
	_, err := s.conn.Write(s.output)
	s.output = s.output[:0]
	return err
}

// writeFrames receives frames of an answer from the group's home VM. It is the
// session's pollendoor.Sink.
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

// parseComplete is the type of the message that confirms a Parse.
const parseComplete = '1'

// countFrames returns the number of messages of the given type in frames.
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

// flushThreshold is the number of bytes of an answer that are buffered before
// they are written.
const flushThreshold = 32 << 10

// sendError sends a refusal as an error that leaves the session open.
func (s *session) sendError(refusal *pollendoor.Refusal) {
	s.send(&pgproto3.ErrorResponse{
		Severity: "ERROR", SeverityUnlocalized: "ERROR",
		Code: refusal.Code, Message: refusal.Message, Detail: refusal.Detail(), Hint: refusal.Cause,
	})
}

// sendFatal sends a refusal as an error that ends the session.
func (s *session) sendFatal(refusal *pollendoor.Refusal) {
	s.send(&pgproto3.ErrorResponse{
		Severity: "FATAL", SeverityUnlocalized: "FATAL",
		Code: refusal.Code, Message: refusal.Message, Detail: refusal.Detail(), Hint: refusal.Cause,
	})
}

// sendReady ends an answer with ReadyForQuery, preceded by the session's token if
// the token has changed.
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
