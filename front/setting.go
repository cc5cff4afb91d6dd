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

// fixed are settings of targets that callers may name but not change.
var fixed = map[string][]string{
	"client_encoding":             {"utf8", "utf-8", "unicode"},
	"standard_conforming_strings": {"on", "true"},
	"datestyle":                   {"iso", "iso, mdy"},
	"timezone":                    {"utc", "gmt"},
	"extra_float_digits":          {"1", "2", "3"},
	"intervalstyle":               {"postgres"},
	"client_min_messages":         {"notice", "warning", "error"},
}

// set takes one setting of the session, or of the transaction if local.
func (s *session) set(name, value string, local bool) *pollendoor.Refusal {
	name = strings.ToLower(name)
	switch {
	case name == "statement_timeout":
		return s.setTimeout(value)
	case name == "application_name":
		s.app = value
		return nil
	case name == pgwire.SessionParam:
		t, err := token.Parse(value)
		if err != nil {
			return pollendoor.Refuse(pollendoor.CodeBadSetting, err.Error(), "")
		}
		s.token.Merge(t)
		return nil
	case strings.HasPrefix(name, "pollendoor."):
		w := &s.wishes
		if local {
			w = &s.local
		}
		if err := w.Set(name, value); err != nil {
			return pollendoor.Refuse(pollendoor.CodeBadSetting, err.Error(), "")
		}
		return nil
	}
	for _, v := range fixed[name] {
		if strings.EqualFold(v, value) {
			return nil
		}
	}
	return pollendoor.Refuse(pollendoor.CodeNotSupported, "setting "+name+" to "+strconv.Quote(value)+" is not carried over pooled connections", "use SET LOCAL within a transaction")
}

// setTimeout takes milliseconds or a duration with a unit, zero for none.
func (s *session) setTimeout(value string) *pollendoor.Refusal {
	if ms, err := strconv.ParseInt(value, 10, 64); err == nil && ms >= 0 {
		s.timeout = time.Duration(ms) * time.Millisecond
		return nil
	}
	d, err := time.ParseDuration(strings.ReplaceAll(value, "min", "m"))
	if err != nil || d < 0 {
		return pollendoor.Refuse(pollendoor.CodeBadSetting, "statement_timeout wants milliseconds or a duration such as 2s, got "+strconv.Quote(value), "")
	}
	s.timeout = d
	return nil
}

// isLocal reports whether a statement is answered by the session itself.
func isLocal(st route.Statement) bool {
	switch st.Kind {
	case route.Show, route.Empty:
		return true
	case route.Set:
		return !st.Local || strings.HasPrefix(st.Name, "pollendoor.")
	}
	return false
}

// answer is the outcome of a statement that the session answers itself.
type answer struct {
	tag    string
	column string
	value  string
	rows   bool
}

// runLocal runs a statement that the session answers itself.
func (s *session) runLocal(st route.Statement) (answer, *pollendoor.Refusal) {
	switch st.Kind {
	case route.Set:
		if st.Verb == "RESET" {
			return answer{tag: "RESET"}, s.reset(st.Name)
		}
		return answer{tag: "SET"}, s.set(st.Name, st.Value, st.Local && s.status != 'I')
	case route.Show:
		v, r := s.show(st.Name)
		return answer{tag: "SHOW", column: st.Name, value: v, rows: true}, r
	}
	return answer{}, nil
}

func (s *session) reset(name string) *pollendoor.Refusal {
	switch name {
	case "statement_timeout":
		s.timeout = 0
	case "all":
		s.timeout = 0
		s.wishes = route.Hints{}
	default:
		if strings.HasPrefix(name, "pollendoor.") && name != pgwire.SessionParam {
			if err := s.wishes.Set(name, ""); err != nil {
				return pollendoor.Refuse(pollendoor.CodeBadSetting, err.Error(), "")
			}
		}
	}
	return nil
}

func (s *session) show(name string) (string, *pollendoor.Refusal) {
	w := s.wishes.OverriddenBy(s.local)
	switch name {
	case pgwire.SessionParam:
		return s.token.String(), nil
	case "pollendoor.maxage":
		return w.MaxAge.String(), nil
	case "pollendoor.requestid":
		return w.RequestID, nil
	case "pollendoor.team":
		return s.grant.Team, nil
	case "statement_timeout":
		return s.timeout.String(), nil
	case "application_name":
		return s.app, nil
	case "transaction_read_only":
		return "off", nil
	}
	for _, p := range serverParams {
		if strings.EqualFold(p[0], name) {
			return p[1], nil
		}
	}
	return "", pollendoor.Refuse("42704", "setting "+name+" is not known here", "")
}
