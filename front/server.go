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
	idleBeforeClose = 250 * time.Millisecond
	// drainTick is how often a planned stop looks for idle connections.
	drainTick = 20 * time.Millisecond
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
	opt      Options
	listener net.Listener
	wg       *conc.WaitGroup
	ctx      context.Context
	stop     context.CancelFunc
	draining atomic.Bool

	mu       sync.Mutex
	sessions map[uint32]*session
	open     int
}

var sessionCount = expvar.NewInt("pollendoorSessions")

// NewServer returns a server that is not listening yet.
func NewServer(opt Options) *Server {
	if opt.MaxSessions == 0 {
		opt.MaxSessions = defaultMaxSessions
	}
	s := &Server{opt: opt, wg: conc.NewWaitGroup(), sessions: make(map[uint32]*session)}
	s.ctx, s.stop = context.WithCancel(context.Background())
	return s
}

// Listen starts to take connections on addr, an IP address and port.
func (s *Server) Listen(addr string) error {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return errors.Wrap(err, "listen for callers")
	}
	s.listener = l
	s.wg.Go(s.accept)
	s.wg.Go(s.sweep)
	return nil
}

// Addr returns the address listened on.
func (s *Server) Addr() string { return s.listener.Addr().String() }

// Sessions returns how many callers are connected.
func (s *Server) Sessions() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.open
}

func (s *Server) accept() {
	for {
		n, err := s.listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			s.opt.Log.Warn().Err(err).Msg("accept")
			time.Sleep(drainTick)
			continue
		}
		s.wg.Go(func() { s.serve(n) })
	}
}

func (s *Server) serve(n net.Conn) {
	s.mu.Lock()
	s.open++
	full := s.open > s.opt.MaxSessions
	s.mu.Unlock()
	sessionCount.Add(1)
	ses := newSession(s, n)
	defer func() {
		ses.close()
		s.mu.Lock()
		s.open--
		delete(s.sessions, ses.pid)
		s.mu.Unlock()
		sessionCount.Add(-1)
	}()
	n.SetDeadline(time.Now().Add(startupTimeout))
	ok, err := ses.startup(full)
	if err != nil || !ok {
		return
	}
	n.SetDeadline(time.Time{})
	ses.loop()
}

// register gives a session its cancel key.
func (s *Server) register(ses *session) {
	var raw [8]byte
	s.mu.Lock()
	defer s.mu.Unlock()
	for ses.pid == 0 || s.sessions[ses.pid] != nil {
		rand.Read(raw[:])
		ses.pid = binary.BigEndian.Uint32(raw[:])
	}
	ses.secret = append([]byte(nil), raw[4:]...)
	s.sessions[ses.pid] = ses
}

// cancel ends the statement that the session with the given key is running.
func (s *Server) cancel(m *pgproto3.CancelRequest) {
	s.mu.Lock()
	ses := s.sessions[m.ProcessID]
	s.mu.Unlock()
	if ses == nil || subtle.ConstantTimeCompare(ses.secret, m.SecretKey) != 1 {
		return
	}
	ses.cancelRunning()
}

func (s *Server) list() []*session {
	s.mu.Lock()
	defer s.mu.Unlock()
	list := make([]*session, 0, len(s.sessions))
	for _, ses := range s.sessions {
		list = append(list, ses)
	}
	return list
}

// sweep ends the sessions whose keys no longer hold: at once where they are
// idle, else after the statement that runs.
func (s *Server) sweep() {
	for {
		changed := s.opt.Access.Changed()
		for _, ses := range s.list() {
			if _, refusal := s.opt.Access.Check(ses.grant); refusal != nil && refusal.Code == pollendoor.CodeBadKey {
				ses.end(refusal)
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
	bye := pollendoor.Refuse(pollendoor.CodeShutdown, "this VM is stopping, connect again", "planned stop")
	tick := time.NewTicker(drainTick)
	defer tick.Stop()
	for s.Sessions() > 0 && ctx.Err() == nil {
		for _, ses := range s.list() {
			if ses.idleFor() > idleBeforeClose {
				ses.end(bye)
			}
		}
		select {
		case <-tick.C:
		case <-ctx.Done():
		}
	}
	for _, ses := range s.list() {
		ses.end(bye)
	}
}

// Stop closes everything at once.
func (s *Server) Stop() {
	s.stop()
	s.listener.Close()
	for _, ses := range s.list() {
		ses.cancelRunning()
		ses.net.Close()
	}
	s.wg.Wait()
}
