// Package caller implements the sessions of callers: their session values, prepared
// statements and transactions, and the choice of the target that runs each
// statement. Statements that need no target are answered by the session itself.
package caller

import (
	"cmp"
	"fmt"
	"slices"
	"sync/atomic"
	"time"

	"github.com/pollendoor/pollendoor"
	"github.com/pollendoor/pollendoor/clock"
)

// configWait is how long a new session waits for the first configuration of a VM
// that has just started. It is below the 2 s after which callers give up.
const configWait = 1500 * time.Millisecond

// none is the signature of answers that do not come from a target, and the team of
// sessions without a known key.
const none = "-"

// Sessions opens sessions on a cluster. It implements pollendoor.Sessions.
type Sessions struct {
	Cluster pollendoor.Cluster
	Memory  *Memory // nil for no limits
}

var _ pollendoor.Sessions = Sessions{}

// Open opens a session for a database and an access key. A non-empty code is the
// reason for a refusal.
func (s Sessions) Open(database, key string) (pollendoor.Session, pollendoor.ErrorCode) {
	n := &Session{cluster: s.Cluster, memory: s.Memory, database: database, key: key}
	for begin := clock.Now(); s.Cluster.Config() == nil && clock.Now()-begin < configWait; {
		time.Sleep(pollInterval)
	}
	_, _, code := n.access()
	cause := "session refused"
	if _, stopping := s.Cluster.TimeLeft(); stopping && code == "" {
		code, cause = pollendoor.ErrBusy, "session refused: the VM is about to stop"
	}
	if code != "" {
		s.Cluster.Decided(&pollendoor.Decision{Database: database, Outcome: code, Cause: cause})
		return nil, code
	}
	return n, ""
}

// Session is one caller's session. It implements pollendoor.Session.
type Session struct {
	cluster  pollendoor.Cluster
	memory   *Memory // nil for no limits
	kept     int64   // bytes of memory that values and prepared take
	database string
	key      string
	values   []pollendoor.Setting // session values, sorted by name
	prepared map[string]pollendoor.Shape
	commits  []groupCommit // last commit in each group that the session has committed in

	open atomic.Bool // whether a transaction is open, including a failed one
	tx   transaction
}

// groupCommit is the position of a session's last commit in one group. A session commits
// in another group after its route has changed, and its route may change back.
type groupCommit struct {
	group    string
	position pollendoor.Position
	at       time.Duration // time of its acknowledgement on the boot clock
}

// transaction is an open transaction of the caller.
type transaction struct {
	readOnly      bool
	failed        bool          // only ROLLBACK and COMMIT are accepted
	wrote         bool          // a write was sent
	startedAt     time.Duration // start on the boot clock
	route         pollendoor.Route
	team          string
	regions       pollendoor.Regions       // regions whose targets may run the statements
	configVersion uint64                   // version of the configuration at the start
	targetSession pollendoor.TargetSession // nil before the first statement and after a failure
	destination   destination
	needsLease    bool   // the transaction needs this VM's lease on epoch
	epoch         uint64 // epoch of the primary
}

// access returns the session's route and team according to the current
// configuration. A non-empty code is the reason for a refusal.
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

// Expired reports whether the session's key or route has been removed from the
// configuration.
func (s *Session) Expired() bool {
	_, _, code := s.access()
	return code != ""
}

// InTransaction reports whether a transaction is open, including a failed one.
func (s *Session) InTransaction() bool { return s.open.Load() }

// Abandon rolls an idle transaction back. The transaction stays open as a failed
// one until the caller ends it.
func (s *Session) Abandon() {
	if !s.open.Load() || s.tx.failed {
		return
	}
	s.release()
	s.tx.failed = true
	s.cluster.Decided(&pollendoor.Decision{
		Database: s.database, Team: s.tx.team, Group: s.tx.route.Group, Verb: pollendoor.VerbRollback,
		Outcome: pollendoor.ErrAborted, Cause: "transaction was idle for too long",
	})
}

// Close ends the session and rolls an open transaction back.
func (s *Session) Close() {
	s.release()
	s.releaseMemory()
	s.open.Store(false)
}

// release closes the transaction's target session, which returns its connection.
func (s *Session) release() {
	if s.tx.targetSession != nil {
		s.tx.targetSession.Close()
		s.tx.targetSession = nil
	}
}

// state returns the transaction state that is reported to the caller: I (idle), T
// (in a transaction) or E (in a failed transaction).
func (s *Session) state() byte {
	switch {
	case !s.open.Load():
		return 'I'
	case s.tx.failed:
		return 'E'
	}
	return 'T'
}

// success returns the reply to a statement that needs no target.
func (s *Session) success() pollendoor.Reply {
	return pollendoor.Reply{Signature: none, State: s.state()}
}

// refuse returns a refusal. An open transaction fails with it.
func (s *Session) refuse(code pollendoor.ErrorCode, text string) pollendoor.Reply {
	if s.open.Load() {
		s.release()
		s.tx.failed = true
	}
	return pollendoor.Reply{Code: code, Text: text, State: s.state()}
}

// Handle runs one statement and returns the reply to the caller.
func (s *Session) Handle(q *pollendoor.Statement) pollendoor.Reply {
	if s.open.Load() && s.tx.failed {
		return s.handleFailed(q)
	}
	switch q.Verb {
	case pollendoor.VerbNone:
		return s.refuse(pollendoor.ErrMalformed, "statement is malformed")
	case pollendoor.VerbSet:
		return s.set(q)
	case pollendoor.VerbPrepare:
		return s.prepare(q)
	case pollendoor.VerbDealloc:
		old, ok := s.prepared[q.Name]
		if !ok {
			return s.refuse(pollendoor.ErrNoStmt, "prepared statement does not exist")
		}
		s.resize(q, entrySize(q.Name, old.Text, true), 0)
		delete(s.prepared, q.Name)
		return s.success()
	case pollendoor.VerbBegin, pollendoor.VerbBeginRead:
		return s.begin(q)
	case pollendoor.VerbRollback:
		if !s.open.Load() {
			return s.refuse(pollendoor.ErrMalformed, "no transaction is open")
		}
		s.end()
		return s.success()
	}
	return s.run(q)
}

// handleFailed runs a statement in a failed transaction, where only ROLLBACK and
// COMMIT are accepted.
func (s *Session) handleFailed(q *pollendoor.Statement) pollendoor.Reply {
	switch q.Verb {
	case pollendoor.VerbRollback:
		s.end()
		return s.success()
	case pollendoor.VerbCommit:
		s.end()
		return s.refuse(pollendoor.ErrAborted, "the transaction had failed and was rolled back")
	}
	return s.refuse(pollendoor.ErrMalformed, "the transaction has failed")
}

// end closes the transaction.
func (s *Session) end() {
	s.release()
	s.tx = transaction{}
	s.open.Store(false)
}

// prepare keeps a prepared statement.
func (s *Session) prepare(q *pollendoor.Statement) pollendoor.Reply {
	old, exists := s.prepared[q.Name]
	if r, ok := s.resize(q, entrySize(q.Name, old.Text, exists), entrySize(q.Name, q.Shape.Text, true)); !ok {
		return r
	}
	if s.prepared == nil {
		s.prepared = make(map[string]pollendoor.Shape)
	}
	s.prepared[q.Name] = q.Shape
	return s.success()
}

// set sets a session value. It copies the list, because work that was sent before
// still refers to the old one.
func (s *Session) set(q *pollendoor.Statement) pollendoor.Reply {
	v := pollendoor.Setting{Name: q.Name, Value: q.Value}
	i, found := slices.BinarySearchFunc(s.values, v, func(a, b pollendoor.Setting) int { return cmp.Compare(a.Name, b.Name) })
	before := int64(0)
	if found {
		before = entrySize(v.Name, s.values[i].Value, true)
	}
	if r, ok := s.resize(q, before, entrySize(v.Name, v.Value, true)); !ok {
		return r
	}
	list := slices.Clone(s.values)
	if found {
		list[i] = v
	} else {
		list = slices.Insert(list, i, v)
	}
	s.values = list
	return s.success()
}

// admit checks the key, the route and the team's rate at the start of an operation,
// and waits for the team's token. It reports false with a refusal if the operation
// may not run.
func (s *Session) admit(q *pollendoor.Statement) (pollendoor.Route, string, pollendoor.Reply, bool) {
	route, team, code := s.access()
	cause := "key or route is gone"
	text := cause
	if code == "" {
		wait, ok := s.cluster.Admit(team, cmp.Or(route.Goal, route.Timeout))
		if ok {
			time.Sleep(wait)
		} else {
			code, cause = pollendoor.ErrBusy, "over the team's rate"
			if text = cause; wait > 0 {
				text = fmt.Sprintf("%s; retry after %d ms", cause, wait.Milliseconds())
			}
		}
	}
	if code == "" {
		return route, team, pollendoor.Reply{}, true
	}
	s.cluster.Decided(&pollendoor.Decision{
		ID: q.ID, Database: s.database, Group: route.Group, Team: team, Verb: q.Verb, Outcome: code, Cause: cause,
	})
	return route, team, s.refuse(code, text), false
}

// begin opens a transaction. No target is involved before its first statement.
func (s *Session) begin(q *pollendoor.Statement) pollendoor.Reply {
	if s.open.Load() {
		return s.refuse(pollendoor.ErrMalformed, "a transaction is already open")
	}
	route, team, refusal, ok := s.admit(q)
	if !ok {
		return refusal
	}
	s.tx = transaction{readOnly: q.Verb == pollendoor.VerbBeginRead, startedAt: clock.Now(), route: route, team: team}
	config := s.cluster.Config()
	s.tx.configVersion, s.tx.regions = config.Version, config.AllowedRegions(route, team)
	s.open.Store(true)
	return s.success()
}

// run runs a statement that needs a target.
func (s *Session) run(q *pollendoor.Statement) pollendoor.Reply {
	w := pollendoor.Work{ID: q.ID, Text: q.Text, Values: s.values, Write: q.Verb == pollendoor.VerbWrite, Commit: q.Verb == pollendoor.VerbCommit}
	if q.Verb == pollendoor.VerbExecute {
		shape, ok := s.prepared[q.Name]
		if !ok {
			return s.refuse(pollendoor.ErrNoStmt, "prepared statement does not exist")
		}
		w.Prepared, w.Text, w.Write = &shape, q.Args, shape.Verb == pollendoor.VerbWrite
	}
	o := &operation{session: s, work: &w, start: clock.Now()}
	o.decision = pollendoor.Decision{ID: q.ID, Database: s.database, Verb: q.Verb}
	var r pollendoor.Reply
	if s.open.Load() {
		r = o.inTransaction()
	} else if w.Commit {
		return s.refuse(pollendoor.ErrMalformed, "no transaction is open")
	} else {
		route, team, refusal, ok := s.admit(q)
		if !ok {
			return refusal
		}
		o.route, o.team = route, team
		config := s.cluster.Config()
		o.decision.Version, w.Regions = config.Version, config.AllowedRegions(route, team)
		r = o.runSingle()
	}
	d := &o.decision
	d.Group, d.Team, d.Outcome, d.Took = o.route.Group, o.team, r.Code, clock.Now()-o.start
	if r.Code != "" {
		d.Cause = r.Text
	}
	s.cluster.Decided(d)
	return r
}

// recordCommit stores the position of the session's own commit in a group.
func (s *Session) recordCommit(group string, p pollendoor.Position) {
	for i := range s.commits {
		c := &s.commits[i]
		if c.group == group {
			if p.Newer(c.position) {
				c.position, c.at = p, clock.Now()
			}
			return
		}
	}
	s.commits = append(s.commits, groupCommit{group, p, clock.Now()})
}

// lastCommitAt returns the time of the session's last commit in a group on the boot clock.
func (s *Session) lastCommitAt(group string) time.Duration {
	for _, c := range s.commits {
		if c.group == group {
			return c.at
		}
	}
	return 0
}

// lastCommit returns the position of the session's last commit in a group, or zero if
// there is none.
func (s *Session) lastCommit(group string) pollendoor.Position {
	for _, c := range s.commits {
		if c.group == group {
			return c.position
		}
	}
	return pollendoor.Position{}
}
