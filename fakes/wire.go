package fakes

import (
	"context"
	"crypto/rand"
	"encoding/binary"
	"encoding/json"
	"io"
	"net"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/sourcegraph/conc"

	"github.com/pollendoor/pollendoor"
	"github.com/pollendoor/pollendoor/pgwire"
	"github.com/pollendoor/pollendoor/route"
)

var (
	errReadOnly = &pgwire.ServerError{Code: pollendoor.CodeReadOnly, Message: "cannot execute a write in a read-only transaction"}
	errFenced   = &pgwire.ServerError{Code: pollendoor.CodeReadOnly, Message: "the target's term is fenced"}
)

// prepared is a prepared statement of a session.
type prepared struct {
	sql    string
	params []uint32
}

// portal is a prepared statement with its arguments.
type portal struct {
	stmt    prepared
	args    []any
	formats []int16
}

// session is one connection to a target.
type session struct {
	target  *Target
	conn    net.Conn
	backend *pgproto3.Backend
	pid     uint32
	secret  []byte
	control atomic.Bool   // the connection is a control connection, by its application name at login
	zone    string        // zone that the peer named at login; empty before that
	cancel  chan struct{} // receives a value for a cancel request

	statements map[string]prepared
	portals    map[string]portal

	inTx          bool                // a transaction block is open
	txFailed      bool                // a statement of the transaction block has failed
	readOnly      bool                // the transaction block is read-only
	hasWriteLock  bool                // the session holds the target's write lock
	epoch         int64               // the target's epoch when the write lock was acquired
	pendingWrites []statement         // writes of the open write transaction
	lastCommit    pollendoor.Position // position of the last commit, until it is reported to the client
	skipToSync    bool                // after an error in the extended protocol, messages are ignored until Sync
}

func (t *Target) accept(l net.Listener, wg *conc.WaitGroup) {
	for {
		n, err := l.Accept()
		if err != nil {
			return
		}
		t.mu.Lock()
		if t.listener != l {
			t.mu.Unlock()
			n.Close()
			return
		}
		t.sessionByConn[n] = nil
		t.mu.Unlock()
		wg.Go(func() { t.serve(n) })
	}
}

func (t *Target) serve(n net.Conn) {
	s := &session{
		target:     t,
		conn:       n,
		backend:    pgproto3.NewBackend(n, n),
		cancel:     make(chan struct{}, 1),
		statements: make(map[string]prepared),
		portals:    make(map[string]portal),
	}
	t.mu.Lock()
	t.sessionByConn[n] = s
	t.mu.Unlock()
	defer func() {
		s.rollback()
		n.Close()
		t.mu.Lock()
		delete(t.sessionByConn, n)
		delete(t.sessionByPID, s.pid)
		t.mu.Unlock()
	}()
	ok, err := s.startup()
	if !s.control.Load() && ok {
		defer t.connCount.Add(-1)
	}
	if err != nil || !ok {
		return
	}
	for {
		m, err := s.backend.Receive()
		if err != nil {
			return
		}
		s.waitReachable()
		if s.target.killed.Load() || s.handle(m) != nil {
			return
		}
	}
}

// waitReachable blocks while the target is frozen or cut off from the session's
// zone, and returns at once when the target is killed.
func (s *session) waitReachable() {
	for (s.target.frozen.Load() || s.isCutOff()) && !s.target.killed.Load() {
		time.Sleep(5 * time.Millisecond)
	}
}

// isCutOff reports whether the partition set by SetCut applies to the session's peer.
func (s *session) isCutOff() bool {
	f := s.target.isCut.Load()
	own := s.zone == s.target.opt.Zone && !s.target.cutOwnZone.Load()
	known := s.zone != "" || s.target.cutOwnZone.Load() // the zone is not known before login
	return f != nil && known && !own && ((*f)(s.zone) || (*f)(s.target.opt.Zone))
}

func (s *session) startup() (bool, error) {
	m, err := s.backend.ReceiveStartupMessage()
	if err != nil {
		return false, err
	}
	s.waitReachable()
	switch m := m.(type) {
	case *pgproto3.CancelRequest:
		s.target.cancelSession(m)
		return false, nil
	case *pgproto3.StartupMessage:
		return s.login(m)
	}
	return false, errors.New("unexpected startup message")
}

func (s *session) login(m *pgproto3.StartupMessage) (bool, error) {
	t := s.target
	app, zone, _ := strings.Cut(m.Parameters["application_name"], "@")
	s.control.Store(app == pgwire.ControlApp)
	s.zone = zone
	s.waitReachable()
	s.backend.Send(&pgproto3.AuthenticationCleartextPassword{})
	if err := s.backend.Flush(); err != nil {
		return false, err
	}
	s.backend.SetAuthType(pgproto3.AuthTypeCleartextPassword)
	p, err := s.backend.Receive()
	if err != nil {
		return false, err
	}
	pw, ok := p.(*pgproto3.PasswordMessage)
	if !ok || pw.Password != t.opt.Password || m.Parameters["user"] != t.opt.User {
		s.sendError(&pgwire.ServerError{Code: "28P01", Message: "password authentication failed"})
		return false, s.backend.Flush()
	}
	if !s.control.Load() {
		if n := t.connCount.Add(1); t.opt.Connections > 0 && int(n) > t.opt.Connections {
			t.connCount.Add(-1)
			s.control.Store(true) // keeps serve from decrementing connCount again
			s.sendError(&pgwire.ServerError{Code: "53300", Message: "too many connections"})
			return false, s.backend.Flush()
		}
		time.Sleep(t.opt.ConnectDelay)
	}
	s.secret = make([]byte, 8)
	rand.Read(s.secret)
	s.pid = binary.BigEndian.Uint32(s.secret)
	s.secret = s.secret[4:]
	t.mu.Lock()
	t.sessionByPID[s.pid] = s
	t.mu.Unlock()
	s.backend.Send(&pgproto3.AuthenticationOk{})
	s.backend.Send(&pgproto3.ParameterStatus{Name: "server_version", Value: "16.0"})
	s.backend.Send(&pgproto3.ParameterStatus{Name: "client_encoding", Value: "UTF8"})
	s.backend.Send(&pgproto3.BackendKeyData{ProcessID: s.pid, SecretKey: s.secret})
	s.sendReady()
	return true, s.backend.Flush()
}

// cancelSession cancels the running statement of the session that a cancel request
// names, if the request has its secret.
func (t *Target) cancelSession(m *pgproto3.CancelRequest) {
	t.mu.Lock()
	s := t.sessionByPID[m.ProcessID]
	t.mu.Unlock()
	if s == nil || string(s.secret) != string(m.SecretKey) {
		return
	}
	select {
	case s.cancel <- struct{}{}:
	default:
	}
}

func (s *session) handle(m pgproto3.FrontendMessage) error {
	if s.skipToSync {
		if _, ok := m.(*pgproto3.Sync); !ok {
			return nil
		}
	}
	var err error
	switch m := m.(type) {
	case *pgproto3.Query:
		s.simpleQuery(m.String)
		s.sendReady()
		return s.backend.Flush()
	case *pgproto3.Parse:
		err = s.parse(m)
	case *pgproto3.Bind:
		err = s.bind(m)
	case *pgproto3.Describe:
		err = s.describe(m)
	case *pgproto3.Execute:
		err = s.execute(m)
	case *pgproto3.Close:
		if m.ObjectType == 'S' {
			delete(s.statements, m.Name)
		} else {
			delete(s.portals, m.Name)
		}
		s.backend.Send(&pgproto3.CloseComplete{})
	case *pgproto3.Flush:
		return s.backend.Flush()
	case *pgproto3.Sync:
		s.skipToSync = false
		s.commitImplicit()
		s.sendReady()
		return s.backend.Flush()
	case *pgproto3.Terminate:
		return io.EOF
	default:
		err = &pgwire.ServerError{Code: "08P01", Message: "unexpected message"}
	}
	if err != nil {
		s.fail(err)
		s.skipToSync = true
	}
	return nil
}

func (s *session) sendReady() {
	if !s.lastCommit.IsZero() {
		s.backend.Send(&pgproto3.ParameterStatus{Name: pgwire.PositionParam, Value: s.lastCommit.String()})
		s.lastCommit = pollendoor.Position{}
	}
	status := byte('I')
	if s.inTx {
		status = 'T'
	}
	if s.txFailed {
		status = 'E'
	}
	s.backend.Send(&pgproto3.ReadyForQuery{TxStatus: status})
}

// fail sends an error. It marks an open transaction block as failed; outside of
// one it rolls back.
func (s *session) fail(err error) {
	s.sendError(err)
	if s.inTx {
		s.txFailed = true
		return
	}
	s.rollback()
}

func (s *session) sendError(err error) {
	var se *pgwire.ServerError
	if !errors.As(err, &se) {
		se = &pgwire.ServerError{Code: sqlState(err), Message: err.Error()}
	}
	s.backend.Send(&pgproto3.ErrorResponse{Severity: "ERROR", SeverityUnlocalized: "ERROR", Code: se.Code, Message: se.Message, Detail: se.Detail})
}

// sqlState maps the engine's error messages to SQLSTATE codes.
func sqlState(err error) string {
	m := err.Error()
	switch {
	case strings.Contains(m, "UNIQUE constraint"):
		return "23505"
	case strings.Contains(m, "NOT NULL constraint"):
		return "23502"
	case strings.Contains(m, "CHECK constraint"):
		return "23514"
	case strings.Contains(m, "no such table"):
		return "42P01"
	case strings.Contains(m, "no such column"):
		return "42703"
	case strings.Contains(m, "syntax error"):
		return "42601"
	}
	return "XX000"
}

func (s *session) simpleQuery(text string) {
	if rows, ok, err := s.controlQuery(text); ok {
		if err != nil {
			s.sendError(err)
			return
		}
		s.sendControl(rows)
		return
	}
	list := route.Split(text)
	if len(list) == 0 {
		s.backend.Send(&pgproto3.EmptyQueryResponse{})
		return
	}
	for _, sql := range list {
		res, err := s.exec(statement{SQL: sql})
		if err == nil {
			if res.columns != nil {
				s.backend.Send(rowDescription(res.columns, nil))
			}
			err = s.sendRows(res, nil)
		}
		if err != nil {
			s.fail(err)
			return
		}
	}
	s.commitImplicit()
}

// controlQuery runs a command of the control protocol. It returns false if text
// is not such a command.
func (s *session) controlQuery(text string) ([][]string, bool, error) {
	word, rest, _ := strings.Cut(text, " ")
	f := strings.Fields(rest)
	num := func(i int) uint64 {
		if i >= len(f) {
			return 0
		}
		n, _ := strconv.ParseUint(f[i], 10, 64)
		return n
	}
	t := s.target
	term := pollendoor.Term(num(0))
	var st pollendoor.TargetStatus
	var err error
	switch word {
	case "STATUS":
		st = t.Status()
	case "FENCE":
		st = t.Fence(term)
	case "PROMOTE":
		st, err = t.Promote(term)
	case "FOLLOW":
		if len(f) != 3 {
			return nil, true, errors.New("FOLLOW requires a term, an address and an index")
		}
		st, err = t.Follow(term, f[1], num(2))
	case "REPLICATE":
		rows, err := t.serveReplication(context.Background(), term, num(1))
		return rows, true, err
	default:
		return nil, false, nil
	}
	if !s.control.Load() {
		return nil, true, errors.New("control commands require a control connection")
	}
	raw, _ := json.Marshal(st)
	return [][]string{{string(raw)}}, true, err
}

// sendControl sends the result of a command of the control protocol, whose rows have
// one column.
func (s *session) sendControl(rows [][]string) {
	s.backend.Send(rowDescription([]column{{name: "value", oid: 25}}, nil))
	for _, r := range rows {
		s.backend.Send(&pgproto3.DataRow{Values: [][]byte{[]byte(r[0])}})
	}
	s.backend.Send(&pgproto3.CommandComplete{CommandTag: []byte("SELECT")})
}
