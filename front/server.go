package front

import (
	"context"
	"crypto/rand"
	"crypto/subtle"
	"crypto/tls"
	"encoding/binary"
	"expvar"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/rs/zerolog"
	"github.com/sourcegraph/conc"

	"github.com/pollendoor/pollendoor"
)

const (
	// startupTimeout is the longest time that a caller may take to log in.
	startupTimeout = 10 * time.Second
	// drainIdleTime is how long a session must have been idle for Drain to close
	// it before the drain time is over.
	drainIdleTime = 250 * time.Millisecond
	// drainPollInterval is the interval at which Drain looks for idle sessions,
	// and the delay after an error of Accept.
	drainPollInterval = 20 * time.Millisecond
	// defaultMaxSessions is the default limit of callers' connections to one VM.
	defaultMaxSessions = 20000
)

// Options configures a Server.
type Options struct {
	Runner      pollendoor.Runner // opens links to database groups
	Access      pollendoor.Access // checks keys, rates and policies
	TLS         *tls.Config       // nil disables encryption
	RequireTLS  bool              // refuses callers that do not use encryption
	MaxSessions int               // limit of callers' connections; zero means 20,000
	Log         zerolog.Logger
}

// Server accepts and serves callers' connections. It is safe for use by several goroutines.
type Server struct {
	options  Options
	listener net.Listener
	wg       *conc.WaitGroup
	ctx      context.Context // ends when Stop is called
	stop     context.CancelFunc
	draining atomic.Bool // whether Drain was called, after which new sessions are refused

	mu          sync.Mutex          // guards the fields below
	sessions    map[uint32]*session // logged-in sessions by process ID
	connections int                 // open connections, including those not logged in
}

// sessionCount is the metric of open callers' connections.
var sessionCount = expvar.NewInt("pollendoorSessions")

// NewServer returns a server that does not listen until Listen is called.
func NewServer(options Options) *Server {
	if options.MaxSessions == 0 {
		options.MaxSessions = defaultMaxSessions
	}
	s := &Server{options: options, wg: conc.NewWaitGroup(), sessions: make(map[uint32]*session)}
	s.ctx, s.stop = context.WithCancel(context.Background())
	return s
}

// Listen starts to accept connections on addr, an IP address and port.
func (s *Server) Listen(addr string) error {
	listener, err := net.Listen("tcp", addr)
	if err != nil {
		return errors.Wrap(err, "listen for callers")
	}
	s.listener = listener
	s.wg.Go(s.acceptLoop)
	s.wg.Go(s.closeRevokedSessions)
	return nil
}

// Addr returns the address that the server listens on.
func (s *Server) Addr() string { return s.listener.Addr().String() }

// Sessions returns the number of connected callers.
func (s *Server) Sessions() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.connections
}

// acceptLoop accepts connections until the listener is closed.
func (s *Server) acceptLoop() {
	for {
		conn, err := s.listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			s.options.Log.Warn().Err(err).Msg("accept")
			time.Sleep(drainPollInterval)
			continue
		}
		s.wg.Go(func() { s.serveConn(conn) })
	}
}

// serveConn logs a caller in and serves its messages until the connection ends.
func (s *Server) serveConn(conn net.Conn) {
	s.mu.Lock()
	s.connections++
	full := s.connections > s.options.MaxSessions
	s.mu.Unlock()
	sessionCount.Add(1)
	sess := newSession(s, conn)
	defer func() {
		sess.close()
		s.mu.Lock()
		s.connections--
		delete(s.sessions, sess.processID)
		s.mu.Unlock()
		sessionCount.Add(-1)
	}()
	conn.SetDeadline(time.Now().Add(startupTimeout))
	ok, err := sess.startup(full)
	if err != nil || !ok {
		return
	}
	conn.SetDeadline(time.Time{})
	sess.serveMessages()
}

// register assigns a process ID and a random cancel key to a session, and adds
// it to the sessions that can be canceled.
func (s *Server) register(sess *session) {
	var random [8]byte
	s.mu.Lock()
	defer s.mu.Unlock()
	for sess.processID == 0 || s.sessions[sess.processID] != nil {
		rand.Read(random[:])
		sess.processID = binary.BigEndian.Uint32(random[:])
	}
	sess.cancelKey = append([]byte(nil), random[4:]...)
	s.sessions[sess.processID] = sess
}

// cancelSession cancels the statement that runs in the session with the process
// ID of the request. A request with a wrong cancel key is ignored.
func (s *Server) cancelSession(msg *pgproto3.CancelRequest) {
	s.mu.Lock()
	sess := s.sessions[msg.ProcessID]
	s.mu.Unlock()
	if sess == nil || subtle.ConstantTimeCompare(sess.cancelKey, msg.SecretKey) != 1 {
		return
	}
	sess.cancelExchangeInProgress()
}

// allSessions returns a copy of the list of logged-in sessions.
func (s *Server) allSessions() []*session {
	s.mu.Lock()
	defer s.mu.Unlock()
	sessions := make([]*session, 0, len(s.sessions))
	for _, sess := range s.sessions {
		sessions = append(sessions, sess)
	}
	return sessions
}

// closeRevokedSessions closes the sessions whose keys are no longer valid, each
// time that grants may have changed: idle sessions at once, others after the
// running statement. It returns when Stop is called.
func (s *Server) closeRevokedSessions() {
	for {
		changed := s.options.Access.Changed()
		for _, sess := range s.allSessions() {
			if _, refusal := s.options.Access.Check(sess.grant); refusal != nil && refusal.Code == pollendoor.CodeBadKey {
				sess.requestClose(refusal)
			}
		}
		select {
		case <-changed:
		case <-s.ctx.Done():
			return
		}
	}
}

// Drain prepares a planned stop. It accepts no new connections, closes idle
// sessions, and closes the others after their open transaction. It returns when
// all callers are disconnected or ctx ends; at the end of ctx the remaining
// sessions are closed after the running statement.
func (s *Server) Drain(ctx context.Context) {
	s.draining.Store(true)
	s.listener.Close()
	refusal := pollendoor.Refuse(pollendoor.CodeShutdown, "this VM is shutting down, reconnect", "planned stop")
	ticker := time.NewTicker(drainPollInterval)
	defer ticker.Stop()
	for s.Sessions() > 0 && ctx.Err() == nil {
		for _, sess := range s.allSessions() {
			if sess.idleTime() > drainIdleTime {
				sess.requestClose(refusal)
			}
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
		}
	}
	for _, sess := range s.allSessions() {
		sess.requestClose(refusal)
	}
}

// Stop cancels all running statements, closes all connections at once and waits
// until every session has ended.
func (s *Server) Stop() {
	s.stop()
	s.listener.Close()
	for _, sess := range s.allSessions() {
		sess.cancelExchangeInProgress()
		sess.conn.Close()
	}
	s.wg.Wait()
}
