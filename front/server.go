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
	// startupTimeout bounds the time until a caller is logged in.
	startupTimeout = 10 * time.Second
	// idleBeforeClose is how long a connection must have been idle to be closed
	// by a planned stop before its time is up.
	drainIdleTime = 250 * time.Millisecond
	// drainTick is how often a planned stop looks for idle connections.
	drainPollInterval = 20 * time.Millisecond
	// defaultMaxSessions bounds the connections of callers to one VM.
	defaultMaxSessions = 20000
)

// Options says how a Server meets its callers.
type Options struct {
	Runner      pollendoor.Runner
	Access      pollendoor.Access
	TLS         *tls.Config // nil for none
	RequireTLS  bool
	MaxSessions int // zero means 20,000
	Log         zerolog.Logger
}

// Server takes callers' connections. It is safe for use by several goroutines.
type Server struct {
	options  Options
	listener net.Listener
	wg       *conc.WaitGroup
	ctx      context.Context
	stop     context.CancelFunc
	draining atomic.Bool

	mu          sync.Mutex
	sessions    map[uint32]*session
	connections int
}

var sessionCount = expvar.NewInt("pollendoorSessions")

// NewServer returns a server that is not listening yet.
func NewServer(options Options) *Server {
	if options.MaxSessions == 0 {
		options.MaxSessions = defaultMaxSessions
	}
	s := &Server{options: options, wg: conc.NewWaitGroup(), sessions: make(map[uint32]*session)}
	s.ctx, s.stop = context.WithCancel(context.Background())
	return s
}

// Listen starts to take connections on addr, an IP address and port.
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

// Addr returns the address listened on.
func (s *Server) Addr() string { return s.listener.Addr().String() }

// Sessions returns how many callers are connected.
func (s *Server) Sessions() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.connections
}

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

// register gives a session its cancel key.
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

// cancel ends the statement that the session with the given key is running.
func (s *Server) cancelSession(msg *pgproto3.CancelRequest) {
	s.mu.Lock()
	sess := s.sessions[msg.ProcessID]
	s.mu.Unlock()
	if sess == nil || subtle.ConstantTimeCompare(sess.cancelKey, msg.SecretKey) != 1 {
		return
	}
	sess.cancelExchangeInProgress()
}

func (s *Server) allSessions() []*session {
	s.mu.Lock()
	defer s.mu.Unlock()
	sessions := make([]*session, 0, len(s.sessions))
	for _, sess := range s.sessions {
		sessions = append(sessions, sess)
	}
	return sessions
}

// sweep ends the sessions whose keys no longer hold: at once where they are
// idle, else after the statement that runs.
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

// Drain is a planned stop: no new connections, idle ones closed, and the others
// after the transaction they are in. It returns when all callers have gone or
// ctx ends; then those left are closed after the statement that runs.
func (s *Server) Drain(ctx context.Context) {
	s.draining.Store(true)
	s.listener.Close()
	refusal := pollendoor.Refuse(pollendoor.CodeShutdown, "this VM is stopping, connect again", "planned stop")
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

// Stop closes everything at once.
func (s *Server) Stop() {
	s.stop()
	s.listener.Close()
	for _, sess := range s.allSessions() {
		sess.cancelExchangeInProgress()
		sess.conn.Close()
	}
	s.wg.Wait()
}
