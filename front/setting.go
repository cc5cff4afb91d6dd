package front

import (
	"strconv"
	"strings"
	"time"

	"github.com/pollendoor/pollendoor"
	"github.com/pollendoor/pollendoor/pgwire"
	"github.com/pollendoor/pollendoor/route"
	"github.com/pollendoor/pollendoor/token"
)

// fixedSettings are settings of targets that callers may set, but only to one of
// the listed values, since all sessions share the targets' connections.
var fixedSettings = map[string][]string{
	"client_encoding":             {"utf8", "utf-8", "unicode"},
	"standard_conforming_strings": {"on", "true"},
	"datestyle":                   {"iso", "iso, mdy"},
	"timezone":                    {"utc", "gmt"},
	"extra_float_digits":          {"1", "2", "3"},
	"intervalstyle":               {"postgres"},
	"client_min_messages":         {"notice", "warning", "error"},
}

// applySetting sets a setting of the session. If local is true, a pollendoor
// setting other than the session token is set for the transaction only.
func (s *session) applySetting(name, value string, local bool) *pollendoor.Refusal {
	name = strings.ToLower(name)
	switch {
	case name == "statement_timeout":
		return s.setStatementTimeout(value)
	case name == "application_name":
		s.applicationName = value
		return nil
	case name == pgwire.SessionParam:
		parsed, err := token.Parse(value)
		if err != nil {
			return pollendoor.Refuse(pollendoor.CodeBadSetting, err.Error(), "")
		}
		s.token.Merge(parsed)
		return nil
	case strings.HasPrefix(name, "pollendoor."):
		hints := &s.hints
		if local {
			hints = &s.txHints
		}
		if err := hints.Set(name, value); err != nil {
			return pollendoor.Refuse(pollendoor.CodeBadSetting, err.Error(), "")
		}
		return nil
	}
	for _, v := range fixedSettings[name] {
		if strings.EqualFold(v, value) {
			return nil
		}
	}
	return pollendoor.Refuse(pollendoor.CodeNotSupported, "setting "+name+" to "+strconv.Quote(value)+" is not supported over pooled connections", "use SET LOCAL within a transaction")
}

// setStatementTimeout sets the statement timeout to value, which is a number of
// milliseconds or a duration with a unit. Zero means no timeout.
func (s *session) setStatementTimeout(value string) *pollendoor.Refusal {
	if ms, err := strconv.ParseInt(value, 10, 64); err == nil && ms >= 0 {
		s.statementTimeout = time.Duration(ms) * time.Millisecond
		return nil
	}
	duration, err := time.ParseDuration(strings.ReplaceAll(value, "min", "m"))
	if err != nil || duration < 0 {
		return pollendoor.Refuse(pollendoor.CodeBadSetting, "statement_timeout must be a number of milliseconds or a duration such as 2s, got "+strconv.Quote(value), "")
	}
	s.statementTimeout = duration
	return nil
}

// answeredBySession reports whether the session answers a statement itself,
// without a target.
func answeredBySession(statement route.Statement) bool {
	switch statement.Kind {
	case route.Show, route.Empty:
		return true
	case route.Set:
		return !statement.Local || strings.HasPrefix(statement.Name, "pollendoor.")
	}
	return false
}

// sessionAnswer is the result of a statement that the session answers itself.
type sessionAnswer struct {
	tag    string // command tag, empty for an empty statement
	column string // name of the column if there is a row
	value  string // value of the column
	hasRow bool
}

// runSessionStatement runs a statement that the session answers itself.
func (s *session) runSessionStatement(statement route.Statement) (sessionAnswer, *pollendoor.Refusal) {
	switch statement.Kind {
	case route.Set:
		if statement.Verb == "RESET" {
			return sessionAnswer{tag: "RESET"}, s.resetSetting(statement.Name)
		}
		return sessionAnswer{tag: "SET"}, s.applySetting(statement.Name, statement.Value, statement.Local && s.txStatus != 'I')
	case route.Show:
		value, refusal := s.showSetting(statement.Name)
		return sessionAnswer{tag: "SHOW", column: statement.Name, value: value, hasRow: true}, refusal
	}
	return sessionAnswer{}, nil
}

// resetSetting sets a setting back to its default. "all" stands for the statement
// timeout and the hints of the session. Settings of targets are ignored.
func (s *session) resetSetting(name string) *pollendoor.Refusal {
	switch name {
	case "statement_timeout":
		s.statementTimeout = 0
	case "all":
		s.statementTimeout = 0
		s.hints = route.Hints{}
	default:
		if strings.HasPrefix(name, "pollendoor.") && name != pgwire.SessionParam {
			if err := s.hints.Set(name, ""); err != nil {
				return pollendoor.Refuse(pollendoor.CodeBadSetting, err.Error(), "")
			}
		}
	}
	return nil
}

// showSetting returns the value of a setting of the session or of a parameter of
// the server.
func (s *session) showSetting(name string) (string, *pollendoor.Refusal) {
	hints := s.hints.OverriddenBy(s.txHints)
	switch name {
	case pgwire.SessionParam:
		return s.token.String(), nil
	case "pollendoor.maxage":
		return hints.MaxAge.String(), nil
	case "pollendoor.requestid":
		return hints.RequestID, nil
	case "pollendoor.team":
		return s.grant.Team, nil
	case "statement_timeout":
		return s.statementTimeout.String(), nil
	case "application_name":
		return s.applicationName, nil
	case "transaction_read_only":
		return "off", nil
	}
	for _, p := range serverParams {
		if strings.EqualFold(p[0], name) {
			return p[1], nil
		}
	}
	return "", pollendoor.Refuse("42704", "setting "+name+" does not exist", "")
}
