package route

import (
	"net/url"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
)

// Kind is what a statement asks of the place it runs at.
type Kind int

// The kinds of statements.
const (
	Empty    Kind = iota
	Read          // may run at a replica
	Write         // must run at the primary
	Begin         // opens a transaction
	Commit        // ends a transaction
	Rollback      // gives a transaction up
	Set           // SET of a wish of this system or of the session
	Show          // SHOW of a wish of this system or of the session
	Refused       // cannot be carried over pooled connections
)

// Hints are what a caller asks for beside the statement itself. The zero value
// asks for nothing.
type Hints struct {
	Session   string        // session token to be covered
	MaxAge    time.Duration // a read may be this old; zero for no such wish
	RequestID string        // idempotency key
}

// Statement is one classified statement.
type Statement struct {
	Text     string
	Kind     Kind
	ReadOnly bool   // BEGIN READ ONLY
	Local    bool   // SET LOCAL
	Name     string // setting of SET and SHOW, lower case
	Value    string // value of SET
	Verb     string // first word, upper case
	Hints    Hints  // from a SQLCommenter comment
}

// refused names the commands that need a connection of their own.
var sessionCommands = map[string]bool{
	"COPY": true, "LISTEN": true, "UNLISTEN": true, "NOTIFY": true, "DECLARE": true,
	"FETCH": true, "MOVE": true, "PREPARE": true, "EXECUTE": true, "DEALLOCATE": true,
	"LOCK": true, "LOAD": true, "DISCARD": true, "REINDEX": true, "VACUUM": true,
	"CLUSTER": true, "CHECKPOINT": true, "PRAGMA": true, "ATTACH": true, "DETACH": true,
}

// writes are the words that make a statement that starts like a read a write.
var writeKeywords = map[string]bool{
	"INSERT": true, "UPDATE": true, "DELETE": true, "MERGE": true, "INTO": true,
	"NEXTVAL": true, "SETVAL": true,
}

// Classify looks at one statement. It returns an error for a damaged
// SQLCommenter comment of this system.
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
	w, err := hintsFromComments(s.comments)
	st.Hints = w
	return st, err
}

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

// rollback tells ROLLBACK TO SAVEPOINT, which stays in its transaction.
func classifyRollback(s *scanner) Kind {
	for w := s.next(); w != ""; w = s.next() {
		if strings.EqualFold(w, "to") {
			return Write
		}
	}
	return Rollback
}

// create refuses objects that live in one connection.
func classifyCreate(s *scanner) Kind {
	if w := strings.ToUpper(s.next()); w == "TEMP" || w == "TEMPORARY" {
		return Refused
	}
	return Write
}

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

// Unquote takes the quotes off a quoted word.
func Unquote(w string) string {
	if len(w) >= 2 && (w[0] == '\'' || w[0] == '"') && w[len(w)-1] == w[0] {
		q := w[:1]
		return strings.ReplaceAll(w[1:len(w)-1], q+q, q)
	}
	return w
}

// fromComments reads wishes from SQLCommenter comments (key='value' pairs,
// URL-encoded). Keys of others are passed over.
func hintsFromComments(comments []string) (Hints, error) {
	var w Hints
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
				return w, errors.Wrapf(err, "comment value of %s", key)
			}
			if err := w.Set(key, value); err != nil {
				return w, err
			}
		}
	}
	return w, nil
}

// MaxRequestID is the longest idempotency key taken, in bytes.
const MaxRequestID = 200

// Set sets the wish called name (pollendoor.session, pollendoor.maxAge or
// pollendoor.requestId, in any case). It returns an error for another name or a
// value that does not fit.
func (w *Hints) Set(name, value string) error {
	switch strings.ToLower(name) {
	case "pollendoor.session":
		w.Session = value
	case "pollendoor.maxage":
		if value == "" {
			w.MaxAge = 0
			return nil
		}
		d, err := time.ParseDuration(value)
		if err != nil || d < 0 {
			return errors.Newf("pollendoor.maxAge wants a duration such as 500ms or 2s, got %q", value)
		}
		w.MaxAge = d
	case "pollendoor.requestid":
		if len(value) > MaxRequestID {
			return errors.Newf("pollendoor.requestId is %d bytes long, at most %d are taken", len(value), MaxRequestID)
		}
		w.RequestID = value
	default:
		return errors.Newf("unknown setting %s; known are pollendoor.session, pollendoor.maxAge, pollendoor.requestId", name)
	}
	return nil
}

// OverriddenBy returns w with the wishes that o states put over it.
func (w Hints) OverriddenBy(o Hints) Hints {
	if o.Session != "" {
		w.Session = o.Session
	}
	if o.MaxAge != 0 {
		w.MaxAge = o.MaxAge
	}
	if o.RequestID != "" {
		w.RequestID = o.RequestID
	}
	return w
}
