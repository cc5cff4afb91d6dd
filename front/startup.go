package front

import (
	"crypto/tls"
	"io"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/pollendoor/pollendoor"
	"github.com/pollendoor/pollendoor/pgwire"
)

func isEOF(err error) bool { return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) }

// maxLogin bounds the messages of a caller that has not logged in, in bytes.
const maxLoginMessage = 16 << 10

// serverParams are reported to every caller at login.
var serverParams = [][2]string{
	{"server_version", "16.0"},
	{"server_encoding", "UTF8"},
	{"client_encoding", "UTF8"},
	{"DateStyle", "ISO, MDY"},
	{"TimeZone", "UTC"},
	{"integer_datetimes", "on"},
	{"standard_conforming_strings", "on"},
}

// startup takes the caller through encryption and login. It reports whether the
// session may go on.
func (s *session) startup(full bool) (bool, error) {
	s.backend = pgproto3.NewBackend(s.conn, s.conn)
	s.backend.SetMaxBodyLen(maxLoginMessage)
	encrypted := false
	for {
		msg, err := s.backend.ReceiveStartupMessage()
		if err != nil {
			return false, err
		}
		switch msg := msg.(type) {
		case *pgproto3.SSLRequest:
			if encrypted || s.server.options.TLS == nil {
				if _, err := s.conn.Write([]byte{'N'}); err != nil {
					return false, err
				}
				continue
			}
			if err := s.startTLS(); err != nil {
				return false, err
			}
			encrypted = true
		case *pgproto3.GSSEncRequest:
			if _, err := s.conn.Write([]byte{'N'}); err != nil {
				return false, err
			}
		case *pgproto3.CancelRequest:
			s.server.cancelSession(msg)
			return false, nil
		case *pgproto3.StartupMessage:
			refusal := s.checkConnection(full, encrypted)
			if refusal == nil {
				refusal = s.login(msg)
			}
			if refusal != nil {
				s.sendFatal(refusal)
				err := s.flush()
				s.linger()
				return false, err
			}
			return true, s.completeLogin()
		}
	}
}

func (s *session) startTLS() error {
	if _, err := s.conn.Write([]byte{'S'}); err != nil {
		return err
	}
	tlsConn := tls.Server(s.conn, s.server.options.TLS)
	if err := tlsConn.Handshake(); err != nil {
		return errors.Wrap(err, "handshake")
	}
	s.conn = tlsConn
	s.backend = pgproto3.NewBackend(tlsConn, tlsConn)
	s.backend.SetMaxBodyLen(maxLoginMessage)
	return nil
}

func (s *session) checkConnection(full, encrypted bool) *pollendoor.Refusal {
	switch {
	case full:
		return pollendoor.Refuse(pollendoor.CodeQueueFull, "too many connections to this VM", "")
	case s.server.draining.Load():
		return pollendoor.Refuse(pollendoor.CodeShutdown, "this VM is stopping, connect again", "planned stop")
	case s.server.options.RequireTLS && !encrypted:
		return pollendoor.Refuse("28000", "this server takes encrypted connections only", "")
	}
	return nil
}

// login checks the caller's key. It is asked for only if the route needs one.
func (s *session) login(msg *pgproto3.StartupMessage) *pollendoor.Refusal {
	if refusal := s.applyStartupParams(msg.Parameters); refusal != nil {
		return refusal
	}
	name := msg.Parameters["database"]
	access := s.server.options.Access
	granted, refusal := access.Login(name, "", "")
	if refusal != nil && refusal.Code != pollendoor.CodeBadKey {
		return refusal
	}
	if refusal != nil {
		password, err := s.requestPassword()
		if err != nil {
			return pollendoor.Refuse(pollendoor.CodeProtocol, "no password message came", err.Error())
		}
		granted, refusal = access.Login(name, msg.Parameters["user"], password)
	}
	if refusal != nil {
		return refusal
	}
	s.grant = granted
	policy, refusal := access.Check(granted)
	if refusal != nil {
		return refusal
	}
	s.group = policy.Group
	s.link, refusal = s.server.options.Runner.Open(policy.Group)
	return refusal
}

func (s *session) requestPassword() (string, error) {
	s.send(&pgproto3.AuthenticationCleartextPassword{})
	if err := s.flush(); err != nil {
		return "", err
	}
	if err := s.backend.SetAuthType(pgproto3.AuthTypeCleartextPassword); err != nil {
		return "", err
	}
	msg, err := s.backend.Receive()
	if err != nil {
		return "", err
	}
	p, ok := msg.(*pgproto3.PasswordMessage)
	if !ok {
		return "", errors.New("another message came")
	}
	return p.Password, nil
}

// startupParams takes the session's wishes from the startup parameters and from
// -c options.
func (s *session) applyStartupParams(params map[string]string) *pollendoor.Refusal {
	options := strings.Fields(params["options"])
	for i := 0; i < len(options); i++ {
		word := options[i]
		if word == "-c" && i+1 < len(options) {
			i++
			word = options[i]
		} else {
			word = strings.TrimPrefix(strings.TrimPrefix(word, "-c"), "--")
		}
		name, value, ok := strings.Cut(word, "=")
		if !ok {
			return pollendoor.Refuse(pollendoor.CodeBadSetting, "startup option "+word+" is not name=value", "")
		}
		if refusal := s.applySetting(name, value, false); refusal != nil {
			return refusal
		}
	}
	for name, value := range params {
		switch name {
		case "user", "database", "options", "replication":
			continue
		}
		if strings.HasPrefix(name, "_pq_.") {
			continue
		}
		if refusal := s.applySetting(name, value, false); refusal != nil {
			return refusal
		}
	}
	return nil
}

func (s *session) completeLogin() error {
	s.server.register(s)
	s.send(&pgproto3.AuthenticationOk{})
	for _, p := range serverParams {
		s.send(&pgproto3.ParameterStatus{Name: p[0], Value: p[1]})
	}
	s.send(&pgproto3.ParameterStatus{Name: "application_name", Value: s.applicationName})
	s.reportedToken = s.token.String()
	s.send(&pgproto3.ParameterStatus{Name: pgwire.SessionParam, Value: s.reportedToken})
	s.send(&pgproto3.BackendKeyData{ProcessID: s.processID, SecretKey: s.cancelKey})
	s.sendReady()
	return s.flush()
}
