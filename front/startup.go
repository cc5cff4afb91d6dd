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
const maxLogin = 16 << 10

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
	s.back = pgproto3.NewBackend(s.net, s.net)
	s.back.SetMaxBodyLen(maxLogin)
	secure := false
	for {
		m, err := s.back.ReceiveStartupMessage()
		if err != nil {
			return false, err
		}
		switch m := m.(type) {
		case *pgproto3.SSLRequest:
			if secure || s.server.opt.TLS == nil {
				if _, err := s.net.Write([]byte{'N'}); err != nil {
					return false, err
				}
				continue
			}
			if err := s.encrypt(); err != nil {
				return false, err
			}
			secure = true
		case *pgproto3.GSSEncRequest:
			if _, err := s.net.Write([]byte{'N'}); err != nil {
				return false, err
			}
		case *pgproto3.CancelRequest:
			s.server.cancel(m)
			return false, nil
		case *pgproto3.StartupMessage:
			r := s.mayLogin(full, secure)
			if r == nil {
				r = s.login(m)
			}
			if r != nil {
				s.fatal(r)
				err := s.flush()
				s.linger()
				return false, err
			}
			return true, s.welcome()
		}
	}
}

func (s *session) encrypt() error {
	if _, err := s.net.Write([]byte{'S'}); err != nil {
		return err
	}
	c := tls.Server(s.net, s.server.opt.TLS)
	if err := c.Handshake(); err != nil {
		return errors.Wrap(err, "handshake")
	}
	s.net = c
	s.back = pgproto3.NewBackend(c, c)
	s.back.SetMaxBodyLen(maxLogin)
	return nil
}

func (s *session) mayLogin(full, secure bool) *pollendoor.Refusal {
	switch {
	case full:
		return pollendoor.Refuse(pollendoor.CodeQueueFull, "too many connections to this VM", "")
	case s.server.draining.Load():
		return pollendoor.Refuse(pollendoor.CodeShutdown, "this VM is stopping, connect again", "planned stop")
	case s.server.opt.RequireTLS && !secure:
		return pollendoor.Refuse("28000", "this server takes encrypted connections only", "")
	}
	return nil
}

// login checks the caller's key. It is asked for only if the route needs one.
func (s *session) login(m *pgproto3.StartupMessage) *pollendoor.Refusal {
	if r := s.startupParams(m.Parameters); r != nil {
		return r
	}
	name := m.Parameters["database"]
	access := s.server.opt.Access
	g, refusal := access.Login(name, "", "")
	if refusal != nil && refusal.Code != pollendoor.CodeBadKey {
		return refusal
	}
	if refusal != nil {
		secret, err := s.askPassword()
		if err != nil {
			return pollendoor.Refuse(pollendoor.CodeProtocol, "no password message came", err.Error())
		}
		g, refusal = access.Login(name, m.Parameters["user"], secret)
	}
	if refusal != nil {
		return refusal
	}
	s.grant = g
	policy, refusal := access.Check(g)
	if refusal != nil {
		return refusal
	}
	s.group = policy.Group
	s.link, refusal = s.server.opt.Runner.Open(policy.Group)
	return refusal
}

func (s *session) askPassword() (string, error) {
	s.send(&pgproto3.AuthenticationCleartextPassword{})
	if err := s.flush(); err != nil {
		return "", err
	}
	if err := s.back.SetAuthType(pgproto3.AuthTypeCleartextPassword); err != nil {
		return "", err
	}
	m, err := s.back.Receive()
	if err != nil {
		return "", err
	}
	p, ok := m.(*pgproto3.PasswordMessage)
	if !ok {
		return "", errors.New("another message came")
	}
	return p.Password, nil
}

// startupParams takes the session's wishes from the startup parameters and from
// -c options.
func (s *session) startupParams(params map[string]string) *pollendoor.Refusal {
	words := strings.Fields(params["options"])
	for i := 0; i < len(words); i++ {
		w := words[i]
		if w == "-c" && i+1 < len(words) {
			i++
			w = words[i]
		} else {
			w = strings.TrimPrefix(strings.TrimPrefix(w, "-c"), "--")
		}
		name, value, ok := strings.Cut(w, "=")
		if !ok {
			return pollendoor.Refuse(pollendoor.CodeBadSetting, "startup option "+w+" is not name=value", "")
		}
		if r := s.set(name, value, false); r != nil {
			return r
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
		if r := s.set(name, value, false); r != nil {
			return r
		}
	}
	return nil
}

func (s *session) welcome() error {
	s.server.register(s)
	s.send(&pgproto3.AuthenticationOk{})
	for _, p := range serverParams {
		s.send(&pgproto3.ParameterStatus{Name: p[0], Value: p[1]})
	}
	s.send(&pgproto3.ParameterStatus{Name: "application_name", Value: s.app})
	s.reported = s.token.String()
	s.send(&pgproto3.ParameterStatus{Name: pgwire.SessionParam, Value: s.reported})
	s.send(&pgproto3.BackendKeyData{ProcessID: s.pid, SecretKey: s.secret})
	s.ready()
	return s.flush()
}
