package pgwire

import (
	"context"
	"net"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/pollendoor/pollendoor"
)

// PositionParam is the run-time parameter in which a target reports the log
// position of the last write of a connection, as term/index.
const PositionParam = "pollendoor.position"

// SessionParam is the run-time parameter that carries the session token.
const SessionParam = "pollendoor.session"

// ControlApp is the application name of control and replication connections,
// which targets do not count against their connection limit. It is followed by
// "@" and the zone.
const ControlApp = "pollendoor-control"

// MaxMessage is the maximum size of an accepted protocol message, in bytes.
const MaxMessage = 16 << 20

// Login holds the address and the credentials for connecting to a server.
type Login struct {
	Addr     string
	User     string
	Password string
	Database string
	App      string // application_name
}

// Conn is an authenticated connection to a server. It is not safe for
// concurrent use.
type Conn struct {
	Net      net.Conn
	Frontend *pgproto3.Frontend

	PID    uint32 // process ID that the server assigned, for Cancel
	Secret []byte // secret key of the connection, for Cancel
	Addr   string // address of the server

	// Position is the position of the last write by SimpleQuery, zero for none.
	// TxStatus is the transaction status after that query.
	Position pollendoor.Position
	TxStatus byte
}

// ServerError is an ErrorResponse of a server.
type ServerError struct {
	Code    string // SQLSTATE
	Message string
	Detail  string
	Hint    string
}

// Error returns the message with its code.
func (e *ServerError) Error() string { return e.Message + " (SQLSTATE " + e.Code + ")" }

// AsServerError returns the error of an ErrorResponse message.
func AsServerError(m *pgproto3.ErrorResponse) *ServerError {
	return &ServerError{Code: m.Code, Message: m.Message, Detail: m.Detail, Hint: m.Hint}
}

// Dial connects and authenticates. An error means that nothing was run.
func Dial(ctx context.Context, l Login) (*Conn, error) {
	var d net.Dialer
	n, err := d.DialContext(ctx, "tcp", l.Addr)
	if err != nil {
		return nil, errors.Wrap(err, "dial")
	}
	c := &Conn{Net: n, Frontend: pgproto3.NewFrontend(n, n), Addr: l.Addr}
	stop := context.AfterFunc(ctx, func() { n.SetDeadline(time.Unix(1, 0)) })
	if err := c.startup(l); err != nil {
		n.Close()
		stop()
		return nil, errors.Wrapf(err, "log in at %s", l.Addr)
	}
	if !stop() {
		n.Close()
		return nil, ctx.Err()
	}
	return c, nil
}

func (c *Conn) startup(l Login) error {
	c.Frontend.SetMaxBodyLen(MaxMessage)
	params := map[string]string{"user": l.User, "database": l.Database}
	if l.App != "" {
		params["application_name"] = l.App
	}
	c.Frontend.Send(&pgproto3.StartupMessage{ProtocolVersion: pgproto3.ProtocolVersion30, Parameters: params})
	if err := c.Frontend.Flush(); err != nil {
		return err
	}
	for {
		m, err := c.Frontend.Receive()
		if err != nil {
			return err
		}
		switch m := m.(type) {
		case *pgproto3.AuthenticationCleartextPassword:
			c.Frontend.Send(&pgproto3.PasswordMessage{Password: l.Password})
			if err := c.Frontend.Flush(); err != nil {
				return err
			}
		case *pgproto3.BackendKeyData:
			c.PID = m.ProcessID
			c.Secret = append([]byte(nil), m.SecretKey...)
		case *pgproto3.ErrorResponse:
			return AsServerError(m)
		case *pgproto3.ReadyForQuery:
			return nil
		}
	}
}

// SimpleQuery runs one simple query and returns the rows as text. After an
// error other than *ServerError the connection can no longer be used.
func (c *Conn) SimpleQuery(ctx context.Context, sql string) ([][]string, error) {
	stop := context.AfterFunc(ctx, func() { c.Net.SetDeadline(time.Unix(1, 0)) })
	rows, err := c.runSimpleQuery(sql)
	if !stop() {
		c.Net.Close()
		return nil, errors.Wrap(ctx.Err(), "query aborted")
	}
	return rows, err
}

func (c *Conn) runSimpleQuery(sql string) ([][]string, error) {
	c.Frontend.Send(&pgproto3.Query{String: sql})
	if err := c.Frontend.Flush(); err != nil {
		return nil, errors.Wrap(err, "send query")
	}
	var rows [][]string
	var queryErr error
	c.Position = pollendoor.Position{}
	for {
		m, err := c.Frontend.Receive()
		if err != nil {
			return nil, errors.Wrap(err, "read answer")
		}
		switch m := m.(type) {
		case *pgproto3.DataRow:
			rows = append(rows, rowText(m))
		case *pgproto3.ErrorResponse:
			queryErr = AsServerError(m)
		case *pgproto3.ParameterStatus:
			if m.Name == PositionParam {
				c.Position, _ = ParsePosition(m.Value)
			}
		case *pgproto3.ReadyForQuery:
			c.TxStatus = m.TxStatus
			return rows, queryErr
		}
	}
}

func rowText(message *pgproto3.DataRow) []string {
	row := make([]string, len(message.Values))
	for i, v := range message.Values {
		row[i] = string(v)
	}
	return row
}

// Close closes the connection.
func (c *Conn) Close() { c.Net.Close() }

// Cancel asks the server at addr to cancel the statement that runs on the
// connection with the given key. It waits until the server has handled the
// request, or until ctx's deadline.
func Cancel(ctx context.Context, addr string, pid uint32, secret []byte) error {
	var d net.Dialer
	n, err := d.DialContext(ctx, "tcp", addr)
	if err != nil {
		return errors.Wrap(err, "dial")
	}
	defer n.Close()
	buf, err := (&pgproto3.CancelRequest{ProcessID: pid, SecretKey: secret}).Encode(nil)
	if err != nil {
		return err
	}
	if _, err := n.Write(buf); err != nil {
		return err
	}
	if t, ok := ctx.Deadline(); ok {
		n.SetReadDeadline(t)
	}
	n.Read(make([]byte, 1)) // the server closes the connection once it has handled the request
	return nil
}

// ParsePosition parses the value of PositionParam.
func ParsePosition(text string) (pollendoor.Position, error) {
	termText, indexText, ok := strings.Cut(text, "/")
	term, termErr := strconv.ParseUint(termText, 10, 64)
	index, indexErr := strconv.ParseUint(indexText, 10, 64)
	if !ok || termErr != nil || indexErr != nil {
		return pollendoor.Position{}, errors.Newf("position %q does not have the form term/index", text)
	}
	return pollendoor.Position{Term: pollendoor.Term(term), Index: index}, nil
}

// Quote returns text as an SQL string literal.
func Quote(text string) string { return "'" + strings.ReplaceAll(text, "'", "''") + "'" }
