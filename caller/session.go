// Package caller holds the sessions of callers: their values and prepared
// statements, their transactions, and where each statement runs. Statements that
// need no target are answered here.
package caller

import (
	"cmp"
	"slices"
	"sync/atomic"
	"time"

	"github.com/pollendoor/pollendoor"
	"github.com/pollendoor/pollendoor/clock"
)

// configWait is how long a new session waits for the configuration of a VM that
// has just started. Callers give up after 2 s.
const configWait = 1500 * time.Millisecond

// none is the signature of answers that no target gave.
const none = "-"

// Sessions opens sessions on a cluster.
type Sessions struct{ Cluster pollendoor.Cluster }

var _ pollendoor.Sessions = Sessions{}

// Open opens a session for a database and a key.
func (s Sessions) Open(database, key string) (pollendoor.Session, pollendoor.ErrorCode) {
	n := &Session{cluster: s.Cluster, database: database, key: key}
	for begin := clock.Now(); s.Cluster.Config() == nil && clock.Now()-begin < configWait; {
		time.Sleep(poll)
	}
	if _, _, code := n.access(); code != "" {
		s.Cluster.Decided(&pollendoor.Decision{Database: database, Outcome: code, Cause: "session refused"})
		return nil, code
	}
	return n, ""
}

// Session is one caller's session.
type Session struct {
	cluster  pollendoor.Cluster
	database string
	key      string
	values   []pollendoor.Setting // by name
	prepared map[string]pollendoor.Shape
	group    string              // of the last commit
	commit   pollendoor.Position // the session's last, or later

	open atomic.Bool // a transaction is open
	tx   transaction
}

// transaction is an open transaction of the caller.
type transaction struct {
	reads   bool // read-only
	failed  bool
	wrote   bool // a write was sent
	began   time.Duration
	route   pollendoor.Route
	team    string
	version uint64
	turn    pollendoor.Turn // nil before the first statement
	place   place
	leased  bool // needs a lease on epoch
	epoch   uint64
}

// access returns the session's route and team by the configuration in force.
func (s *Session) access() (pollendoor.Route, string, pollendoor.ErrorCode) {
	c := s.cluster.Config()
	if c == nil {
		return pollendoor.Route{}, "", pollendoor.ErrBusy
	}
	r, ok := c.Routes[s.database]
	if !ok {
		return r, "", pollendoor.ErrNoDatabase
	}
	team, ok := c.Keys[s.key]
	if !ok && !r.Open {
		return r, "", pollendoor.ErrUnauth
	}
	return r, cmp.Or(team, none), ""
}

// Expired reports whether the session's key or route is gone.
func (s *Session) Expired() bool {
	_, _, code := s.access()
	return code != ""
}

// InTransaction reports whether a transaction is open.
func (s *Session) InTransaction() bool { return s.open.Load() }

// Abandon rolls an idle transaction back.
func (s *Session) Abandon() {
	if !s.open.Load() || s.tx.failed {
		return
	}
	s.release()
	s.tx.failed = true
	s.cluster.Decided(&pollendoor.Decision{
		Database: s.database, Team: s.tx.team, Group: s.tx.route.Group, Verb: pollendoor.VerbRollback,
		Outcome: pollendoor.ErrAborted, Cause: "transaction idle for too long",
	})
}

// Close ends the session.
func (s *Session) Close() {
	s.release()
	s.open.Store(false)
}

// release gives the transaction's connection up.
func (s *Session) release() {
	if s.tx.turn != nil {
		s.tx.turn.Close()
		s.tx.turn = nil
	}
}

// state is the transaction state that the caller sees.
func (s *Session) state() byte {
	switch {
	case !s.open.Load():
		return 'I'
	case s.tx.failed:
		return 'E'
	}
	return 'T'
}

func (s *Session) done() pollendoor.Reply {
	return pollendoor.Reply{Signature: none, State: s.state()}
}

func (s *Session) refuse(code pollendoor.ErrorCode, text string) pollendoor.Reply {
	if s.open.Load() {
		s.release()
		s.tx.failed = true
	}
	return pollendoor.Reply{Code: code, Text: text, State: s.state()}
}

// Handle runs one statement.
func (s *Session) Handle(q *pollendoor.Statement) pollendoor.Reply {
	if s.open.Load() && s.tx.failed {
		return s.inFailed(q)
	}
	switch q.Verb {
	case pollendoor.VerbNone:
		return s.refuse(pollendoor.ErrMalformed, "statement not understood")
	case pollendoor.VerbSet:
		s.set(pollendoor.Setting{Name: q.Name, Value: q.Value})
		return s.done()
	case pollendoor.VerbPrepare:
		if s.prepared == nil {
			s.prepared = make(map[string]pollendoor.Shape)
		}
		s.prepared[q.Name] = q.Shape
		return s.done()
	case pollendoor.VerbDealloc:
		if _, ok := s.prepared[q.Name]; !ok {
			return s.refuse(pollendoor.ErrNoStmt, "no prepared statement of that name")
		}
		delete(s.prepared, q.Name)
		return s.done()
	case pollendoor.VerbBegin, pollendoor.VerbBeginRead:
		return s.begin(q)
	case pollendoor.VerbRollback:
		if !s.open.Load() {
			return s.refuse(pollendoor.ErrMalformed, "no transaction is open")
		}
		s.end()
		return s.done()
	}
	return s.run(q)
}

// inFailed answers in a failed transaction: only its end is possible.
func (s *Session) inFailed(q *pollendoor.Statement) pollendoor.Reply {
	switch q.Verb {
	case pollendoor.VerbRollback:
		s.end()
		return s.done()
	case pollendoor.VerbCommit:
		s.end()
		return s.refuse(pollendoor.ErrAborted, "the transaction had failed and was rolled back")
	}
	return s.refuse(pollendoor.ErrMalformed, "the transaction has failed")
}

func (s *Session) end() {
	s.release()
	s.tx = transaction{}
	s.open.Store(false)
}

// set replaces a session value. Work that was sent before keeps the old list.
func (s *Session) set(v pollendoor.Setting) {
	i, found := slices.BinarySearchFunc(s.values, v, func(a, b pollendoor.Setting) int { return cmp.Compare(a.Name, b.Name) })
	list := slices.Clone(s.values)
	if found {
		list[i] = v
	} else {
		list = slices.Insert(list, i, v)
	}
	s.values = list
}

// admit checks key, route and rate at the start of an operation.
func (s *Session) admit(q *pollendoor.Statement) (pollendoor.Route, string, pollendoor.Reply, bool) {
	route, team, code := s.access()
	text := "key or route is gone"
	if code == "" {
		wait, ok := s.cluster.Admit(team)
		if !ok {
			code, text = pollendoor.ErrBusy, "over the team's rate"
		}
		time.Sleep(wait)
	}
	if code == "" {
		return route, team, pollendoor.Reply{}, true
	}
	s.cluster.Decided(&pollendoor.Decision{
		ID: q.ID, Database: s.database, Group: route.Group, Team: team, Verb: q.Verb, Outcome: code, Cause: text,
	})
	return route, team, s.refuse(code, text), false
}

func (s *Session) begin(q *pollendoor.Statement) pollendoor.Reply {
	if s.open.Load() {
		return s.refuse(pollendoor.ErrMalformed, "a transaction is open")
	}
	route, team, refusal, ok := s.admit(q)
	if !ok {
		return refusal
	}
	s.tx = transaction{reads: q.Verb == pollendoor.VerbBeginRead, began: clock.Now(), route: route, team: team, version: s.cluster.Config().Version}
	s.open.Store(true)
	return s.done()
}

// run runs a statement that needs a target.
func (s *Session) run(q *pollendoor.Statement) pollendoor.Reply {
	w := pollendoor.Work{ID: q.ID, Text: q.Text, Values: s.values, Write: q.Verb == pollendoor.VerbWrite, Ends: q.Verb == pollendoor.VerbCommit}
	if q.Verb == pollendoor.VerbExecute {
		shape, ok := s.prepared[q.Name]
		if !ok {
			return s.refuse(pollendoor.ErrNoStmt, "no prepared statement of that name")
		}
		w.Prepared, w.Text, w.Write = &shape, q.Args, shape.Verb == pollendoor.VerbWrite
	}
	o := &operation{session: s, work: &w, start: clock.Now()}
	o.decision = pollendoor.Decision{ID: q.ID, Database: s.database, Verb: q.Verb}
	var r pollendoor.Reply
	if s.open.Load() {
		r = o.inTransaction()
	} else if w.Ends {
		return s.refuse(pollendoor.ErrMalformed, "no transaction is open")
	} else {
		route, team, refusal, ok := s.admit(q)
		if !ok {
			return refusal
		}
		o.route, o.team = route, team
		o.decision.Version = s.cluster.Config().Version
		r = o.single()
	}
	d := &o.decision
	d.Group, d.Team, d.Outcome, d.Took = o.route.Group, o.team, r.Code, clock.Now()-o.start
	if r.Code != "" {
		d.Cause = r.Text
	}
	s.cluster.Decided(d)
	return r
}

// committed remembers the position of the session's own commit.
func (s *Session) committed(group string, p pollendoor.Position) {
	if s.group != group {
		s.group, s.commit = group, pollendoor.Position{}
	}
	if p.Newer(s.commit) {
		s.commit = p
	}
}

// own returns the session's last commit in a group.
func (s *Session) own(group string) pollendoor.Position {
	if s.group != group {
		return pollendoor.Position{}
	}
	return s.commit
}
