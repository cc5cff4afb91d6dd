package route

import (
	"net/url"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
)

// Kind classifies statements by where and how they may run.
type Kind int

// Kinds of statements.
const (
	Empty    Kind = iota // no words
	Read                 // may run at a replica
	Write                // must run at the primary
	Begin                // opens a transaction
	Commit               // ends a transaction
	Rollback             // aborts a transaction
	Set                  // SET or RESET of a pollendoor hint or of a session setting
	Show                 // SHOW of a pollendoor hint or of a session setting
	Refused              // not supported over pooled connections
)

// Hints are execution options that a caller gives besides the statement itself. The
// zero value gives none.
type Hints struct {
	Session   string        // session token whose positions a read must cover
	MaxAge    time.Duration // maximum age of the data of a read; zero if not given
	RequestID string        // idempotency key
}

// Statement is one statement as classified by Classify.
type Statement struct {
	Text     string // the statement as given to Classify
	Kind     Kind
	ReadOnly bool   // the statement is BEGIN READ ONLY
	Local    bool   // the statement is SET LOCAL
	Name     string // name of the setting in SET and SHOW, in lower case
	Value    string // value that SET assigns, without quotes
	Verb     string // first word, in upper case
	Hints    Hints  // hints from SQLCommenter comments
}

// sessionCommands are the commands that need a dedicated connection.
var sessionCommands = map[string]bool{
	"COPY": true, "LISTEN": true, "UNLISTEN": true, "NOTIFY": true, "DECLARE": true,
	"FETCH": true, "MOVE": true, "PREPARE": true, "EXECUTE": true, "DEALLOCATE": true,
	"LOCK": true, "LOAD": true, "DISCARD": true, "REINDEX": true, "VACUUM": true,
	"CLUSTER": true, "CHECKPOINT": true, "PRAGMA": true, "ATTACH": true, "DETACH": true,
}

// writeKeywords are the words that turn a statement that starts like a read into a
// write.
var writeKeywords = map[string]bool{
	"INSERT": true, "UPDATE": true, "DELETE": true, "MERGE": true, "INTO": true,
	"NEXTVAL": true, "SETVAL": true,
}

// Classify classifies one statement. It returns an error if a SQLCommenter comment
// has a malformed or unknown pollendoor hint.
func Classify(text string) (Statement, error) {
	s := scanner{text: text}
	st := Statement{Text: text}
	first := s.next()
	st.Verb = strings.ToUpper(first)
	switch st.Verb {
	case "":
		st.Kind = Empty
	case "SELECT", "VALUES", "WITH", "TABLE", "(":
		st.Kind = classifyReadOrWrite(&s)
	case "EXPLAIN":
		st.Kind = classifyReadOrWrite(&s)
	case "BEGIN", "START":
		st.Kind = Begin
		st.ReadOnly = hasReadOnly(&s)
	case "COMMIT", "END":
		st.Kind = Commit
	case "ROLLBACK", "ABORT":
		st.Kind = classifyRollback(&s)
	case "SET", "RESET":
		classifySet(&s, &st)
	case "SHOW":
		st.Kind = Show
		st.Name = strings.ToLower(s.next())
	case "CREATE":
		st.Kind = classifyCreate(&s)
	default:
		st.Kind = Write
		if sessionCommands[st.Verb] {
			st.Kind = Refused
		}
	}
	for s.next() != "" {
	}
	h, err := hintsFromComments(s.comments)
	st.Hints = h
	return st, err
}

// classifyReadOrWrite returns Write if the remaining words have a write keyword or a
// locking clause such as FOR UPDATE, and otherwise Read.
func classifyReadOrWrite(s *scanner) Kind {
	kind, locking := Read, false
	for w := s.next(); w != ""; w = s.next() {
		u := strings.ToUpper(w)
		if writeKeywords[u] || locking && (u == "UPDATE" || u == "SHARE" || u == "NO" || u == "KEY") {
			kind = Write
		}
		locking = u == "FOR"
	}
	return kind
}

// classifyRollback returns Rollback, or Write for ROLLBACK TO SAVEPOINT, which does
// not end the transaction.
func classifyRollback(s *scanner) Kind {
	for w := s.next(); w != ""; w = s.next() {
		if strings.EqualFold(w, "to") {
			return Write
		}
	}
	return Rollback
}

// classifyCreate returns Write, or Refused for temporary objects, which exist in one
// connection only.
func classifyCreate(s *scanner) Kind {
	if w := strings.ToUpper(s.next()); w == "TEMP" || w == "TEMPORARY" {
		return Refused
	}
	return Write
}

// hasReadOnly reports whether the remaining words of a BEGIN contain READ ONLY.
func hasReadOnly(s *scanner) bool {
	last := ""
	for w := s.next(); w != ""; w = s.next() {
		u := strings.ToUpper(w)
		if last == "READ" && u == "ONLY" {
			return true
		}
		last = u
	}
	return false
}

// classifySet fills in the fields of st for a SET or RESET statement.
func classifySet(s *scanner, st *Statement) {
	st.Kind = Set
	w := s.next()
	switch strings.ToUpper(w) {
	case "LOCAL":
		st.Local = true
		w = s.next()
	case "SESSION":
		w = s.next()
	}
	st.Name = strings.ToLower(w)
	if st.Name == "transaction" || st.Name == "constraints" {
		st.Kind = Write
		return
	}
	operator := s.next()
	if operator == "=" || strings.EqualFold(operator, "to") {
		st.Value = Unquote(s.next())
	}
}

// Unquote returns a quoted word without its quotes and other words unchanged.
func Unquote(w string) string {
	if len(w) >= 2 && (w[0] == '\'' || w[0] == '"') && w[len(w)-1] == w[0] {
		q := w[:1]
		return strings.ReplaceAll(w[1:len(w)-1], q+q, q)
	}
	return w
}

// hintsFromComments reads hints from SQLCommenter comments (key='value' pairs,
// URL-encoded). Keys without the pollendoor prefix are ignored.
func hintsFromComments(comments []string) (Hints, error) {
	var h Hints
	for _, c := range comments {
		if !strings.Contains(c, "pollendoor") {
			continue
		}
		for _, pair := range strings.Split(c, ",") {
			key, value, ok := strings.Cut(strings.TrimSpace(pair), "=")
			if !ok {
				continue
			}
			key, err := url.QueryUnescape(strings.TrimSpace(key))
			if err != nil || !strings.HasPrefix(strings.ToLower(key), "pollendoor.") {
				continue
			}
			value, err = url.QueryUnescape(Unquote(strings.TrimSpace(value)))
			if err != nil {
				return h, errors.Wrapf(err, "decode comment value of %s", key)
			}
			if err := h.Set(key, value); err != nil {
				return h, err
			}
		}
	}
	return h, nil
}

// MaxRequestID is the maximum length of an idempotency key, in bytes.
const MaxRequestID = 200

// Set sets the hint with the given name (pollendoor.session, pollendoor.maxAge or
// pollendoor.requestId, in any case). It returns an error for an unknown name or an
// invalid value.
func (h *Hints) Set(name, value string) error {
	switch strings.ToLower(name) {
	case "pollendoor.session":
		h.Session = value
	case "pollendoor.maxage":
		if value == "" {
			h.MaxAge = 0
			return nil
		}
		d, err := time.ParseDuration(value)
		if err != nil || d < 0 {
			return errors.Newf("pollendoor.maxAge must be a duration such as 500ms or 2s, got %q", value)
		}
		h.MaxAge = d
	case "pollendoor.requestid":
		if len(value) > MaxRequestID {
			return errors.Newf("pollendoor.requestId is %d bytes long, the maximum is %d", len(value), MaxRequestID)
		}
		h.RequestID = value
	default:
		return errors.Newf("unknown setting %s; valid settings are pollendoor.session, pollendoor.maxAge, pollendoor.requestId", name)
	}
	return nil
}

// OverriddenBy returns h with the hints that o sets replaced by those of o.
func (h Hints) OverriddenBy(o Hints) Hints {
	if o.Session != "" {
		h.Session = o.Session
	}
	if o.MaxAge != 0 {
		h.MaxAge = o.MaxAge
	}
	if o.RequestID != "" {
		h.RequestID = o.RequestID
	}
	return h
}
