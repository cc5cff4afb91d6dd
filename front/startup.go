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

// isEOF reports whether err means that the caller closed the connection, also in
// the middle of a message.
func isEOF(err error) bool { return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) }

// maxLoginMessage is the largest message, in bytes, that is accepted from a
// caller that has not logged in.
const maxLoginMessage = 16 << 10

// serverParams are the names and values of the parameters that are reported to
// every caller at login.
var serverParams = [][2]string{
	{"server_version", "16.0"},
	{"server_encoding", "UTF8"},
	{"client_encoding", "UTF8"},
	{"DateStyle", "ISO, MDY"},
	{"TimeZone", "UTC"},
	{"integer_datetimes", "on"},
	{"standard_conforming_strings", "on"},
}

// startup negotiates encryption and logs the caller in. full means that the VM
// has too many connections and the caller must be refused. It returns true if
// the caller is logged in, and false if the connection must be closed: after a
// cancel request, a refusal or an error.
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

// startTLS accepts the caller's request for encryption and continues the session
// over TLS.
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

// checkConnection returns a refusal if the VM accepts no further connection, or
// only encrypted ones; nil means that the caller may log in.
func (s *session) checkConnection(full, encrypted bool) *pollendoor.Refusal {
	switch {
	case full:
		return pollendoor.Refuse(pollendoor.CodeQueueFull, "too many connections to this VM", "")
	case s.server.draining.Load():
		return pollendoor.Refuse(pollendoor.CodeShutdown, "this VM is shutting down, reconnect", "planned stop")
	case s.server.options.RequireTLS && !encrypted:
		return pollendoor.Refuse("28000", "this server accepts only encrypted connections", "")
	}
	return nil
}

// login applies the startup parameters, checks the caller's key and opens the
// link to the database group. The caller is asked for its key, as a password,
// only if the route requires one.
func (s *session) login(msg *pgproto3.StartupMessage) *pollendoor.Refusal {
	if invalid := s.applyStartupParams(msg.Parameters); invalid != nil {
		return invalid
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
			return pollendoor.Refuse(pollendoor.CodeProtocol, "no password message received", err.Error())
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

// requestPassword asks the caller for a clear-text password and returns it.
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
		return "", errors.New("expected a password message")
	}
	return p.Password, nil
}

// applyStartupParams applies the settings in the startup parameters, including
// those given as -c or -- options in the parameter "options".
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
			return pollendoor.Refuse(pollendoor.CodeBadSetting, "startup option "+word+" does not have the form name=value", "")
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

// completeLogin registers the session and sends the messages that end the login:
// the parameters, the session token, the cancel key and ReadyForQuery.
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
