package front

import (
	"context"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/pollendoor/pollendoor"
	"github.com/pollendoor/pollendoor/route"
)

// unlimited stands for a statement without a time limit of its own.
const unlimited = 24 * time.Hour

// work is a batch or simple query that needs a target.
type work struct {
	statements []route.Statement
	frames     []byte
	uses       []pollendoor.Prepared
	shape      string
	digest     *digest
	flush      bool
	flushed    bool // goes on with a batch of which part was sent
	describes  bool // runs nothing
}

// query serves one simple query.
func (s *session) query(text string) {
	if r := s.simple(text); r != nil {
		s.refuse(r)
		s.abandonTx()
	}
	s.afterExchange()
	s.ready()
}

func (s *session) simple(text string) *pollendoor.Refusal {
	list := route.Split(text)
	if len(list) == 0 {
		s.send(&pgproto3.EmptyQueryResponse{})
		return nil
	}
	w := work{shape: "Q", digest: newDigest()}
	for _, sql := range list {
		st, err := route.Classify(sql)
		if err != nil {
			return pollendoor.Refuse(pollendoor.CodeBadSetting, err.Error(), "")
		}
		if st.Kind == route.Refused {
			return notCarried(st)
		}
		if isLocal(st) && len(list) > 1 {
			return mixed(st)
		}
		w.statements = append(w.statements, st)
		w.digest.statement(sql)
	}
	first := w.statements[0]
	if s.failed {
		if len(list) > 1 || first.Kind != route.Rollback && first.Kind != route.Commit {
			return txFailed()
		}
		s.endFailed()
		return nil
	}
	if isLocal(first) {
		return s.simpleLocal(first)
	}
	frames, err := (&pgproto3.Query{String: text}).Encode(nil)
	if err != nil {
		return pollendoor.Refuse(pollendoor.CodeProtocol, err.Error(), "")
	}
	w.frames = frames
	return s.run(&w)
}

func (s *session) simpleLocal(st route.Statement) *pollendoor.Refusal {
	a, r := s.runLocal(st)
	if r != nil {
		return r
	}
	if a.rows {
		s.send(textColumn(a.column))
	}
	s.sendAnswer(a)
	return nil
}

// run has a target run the work, and takes the answer into the session.
func (s *session) run(w *work) *pollendoor.Refusal {
	access := s.server.opt.Access
	policy, refusal := access.Check(s.grant)
	if refusal != nil {
		return s.withdrawn(refusal)
	}
	x, refusal := s.exchange(w, policy)
	if refusal != nil {
		return refusal
	}
	start := time.Now()
	o := pollendoor.Observation{Read: x.Class == pollendoor.AnyRead}
	if refusal = s.admit(w); refusal == nil {
		refusal = s.runAdmitted(x, &o)
	}
	if !w.describes {
		o.Latency = time.Since(start)
		if refusal != nil {
			o.Code, o.Fate = refusal.Code, refusal.Fate
		}
		access.Report(s.grant, o)
	}
	return refusal
}

func (s *session) runAdmitted(x *pollendoor.Exchange, o *pollendoor.Observation) *pollendoor.Refusal {
	ctx, cancel := context.WithTimeout(context.Background(), x.Timeout)
	s.mu.Lock()
	s.cancelFn = cancel
	s.mu.Unlock()
	a := s.link.Run(ctx, x, s.sink)
	s.mu.Lock()
	s.cancelFn = nil
	s.mu.Unlock()
	cancel()
	o.Replica = a.Replica
	if a.Refusal != nil {
		if a.TxStatus == 'E' {
			s.failed = true
		}
		if a.TxStatus == 'I' {
			s.status = 'I'
		}
		return a.Refusal
	}
	s.status = a.TxStatus
	s.token.Advance(s.group, a.Position)
	return nil
}

// withdrawn ends the session once the refusal is out if the key no longer
// holds.
func (s *session) withdrawn(r *pollendoor.Refusal) *pollendoor.Refusal {
	if r.Code == pollendoor.CodeBadKey {
		s.end(r)
	}
	return r
}

// admit takes the work out of the team's rate. Transaction control is free.
func (s *session) admit(w *work) *pollendoor.Refusal {
	n := 0
	for _, st := range w.statements {
		if st.Kind == route.Read || st.Kind == route.Write {
			n++
		}
	}
	if n == 0 {
		return nil
	}
	return s.server.opt.Access.Admit(s.grant, n)
}

// exchange describes the work to the group's home.
func (s *session) exchange(w *work, policy pollendoor.Policy) (*pollendoor.Exchange, *pollendoor.Refusal) {
	wishes := s.wishes.OverriddenBy(s.local)
	x := &pollendoor.Exchange{
		Group:   s.group,
		Team:    s.grant.Team,
		Weight:  policy.Weight,
		Batch:   policy.Batch,
		Class:   pollendoor.AnyRead,
		MaxAge:  policy.MaxAge,
		Timeout: policy.Timeout,
		Ack:     policy.Ack,
		Flush:   w.flush,
		Frames:  w.frames,
		Uses:    w.uses,
		Shape:   w.shape,
	}
	for _, st := range w.statements {
		wishes = wishes.OverriddenBy(st.Hints)
		x.Begin = x.Begin || st.Kind == route.Begin
		x.Commit = x.Commit || st.Kind == route.Commit
		if st.Kind != route.Read && !(st.Kind == route.Begin && st.ReadOnly) {
			x.Class = pollendoor.MustWrite
		}
	}
	if wishes.Session != "" {
		if r := s.set("pollendoor.session", wishes.Session, false); r != nil {
			return nil, r
		}
	}
	if wishes.MaxAge > 0 {
		x.MaxAge = wishes.MaxAge
	}
	if s.timeout > 0 && (x.Timeout == 0 || s.timeout < x.Timeout) {
		x.Timeout = s.timeout
	}
	if x.Timeout == 0 {
		x.Timeout = unlimited
	}
	x.Position = s.token.At(s.group)
	return x, s.key(w, x, wishes)
}

// key gives the exchange its idempotency key: a single write at once, a
// transaction at its commit.
func (s *session) key(w *work, x *pollendoor.Exchange, wishes route.Hints) *pollendoor.Refusal {
	id := wishes.RequestID
	if s.grant.Team == "" && id != "" {
		return pollendoor.Refuse(pollendoor.CodeNotSupported, "a request id wants a team's key", "")
	}
	if s.status == 'I' && !x.Begin {
		if id == "" || x.Class == pollendoor.AnyRead || w.describes {
			return nil
		}
		if len(w.statements) != 1 || w.flush || w.flushed || w.statements[0].Kind != route.Write {
			return pollendoor.Refuse(pollendoor.CodeNotSupported, "a request id wants a single statement or a transaction", "")
		}
		if w.digest == nil {
			return pollendoor.Refuse(pollendoor.CodeNotSupported, "a request id must be set before its statement is bound", "")
		}
		x.RequestID, x.Digest = id, w.digest.text()
		s.wishes.RequestID = ""
		return nil
	}
	if x.Begin && s.status == 'I' {
		s.txKey, s.txHash = "", newDigest()
		if x.Class == pollendoor.AnyRead {
			return nil
		}
	}
	if id != "" {
		s.txKey = id
	}
	if x.Begin && x.Commit && s.txKey != "" {
		return pollendoor.Refuse(pollendoor.CodeNotSupported, "a request id wants the commit in a message of its own", "")
	}
	if w.digest != nil && !w.describes && !x.Commit && s.txHash != nil {
		s.txHash.part([]byte(w.digest.text()))
	}
	if x.Commit && s.txKey != "" && s.txHash != nil {
		x.RequestID, x.Digest = s.txKey, s.txHash.text()
		s.wishes.RequestID = ""
	}
	return nil
}

// abandonTx gives the open transaction up after a refusal within it, so that
// the caller can't commit only part of it.
func (s *session) abandonTx() {
	if s.status == 'I' && !s.batch.flushed {
		return
	}
	s.link.Close()
	if s.status != 'I' {
		s.failed = true
		s.status = 'E'
	}
}

// afterExchange forgets what belonged to a transaction that has ended.
func (s *session) afterExchange() {
	if s.status != 'I' || s.failed {
		return
	}
	s.local = route.Hints{}
	s.txKey, s.txHash = "", nil
	clear(s.portals)
}
