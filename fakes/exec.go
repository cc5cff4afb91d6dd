package fakes

import (
	"strings"
	"time"

	"github.com/pollendoor/pollendoor"
	"github.com/pollendoor/pollendoor/pgwire"
	"github.com/pollendoor/pollendoor/route"
)

var errCanceled = &pgwire.ServerError{Code: pollendoor.CodeDeadline, Message: "canceling statement due to user request"}

// exec runs one statement of a session. Reads and writes occupy one of the
// target's slots.
func (s *session) exec(st statement) (*result, error) {
	c, err := route.Classify(st.SQL)
	if err != nil {
		return nil, err
	}
	if s.txFailed && c.Kind != route.Rollback && c.Kind != route.Commit {
		return nil, &pgwire.ServerError{Code: pollendoor.CodeFailedTx, Message: "current transaction is aborted"}
	}
	switch c.Kind {
	case route.Begin:
		s.inTx, s.readOnly = true, c.ReadOnly
		return &result{tag: "BEGIN"}, nil
	case route.Commit:
		return s.commit()
	case route.Rollback:
		s.rollback()
		return &result{tag: "ROLLBACK"}, nil
	case route.Set:
		return &result{tag: "SET"}, nil
	case route.Empty:
		return &result{}, nil
	}
	if c.Kind == route.Write && c.Verb != "SET" {
		// The write lock is taken before a slot. A session that waited for the
		// lock in a slot could deadlock with the lock's holder, which needs a
		// slot for its next statement.
		if err := s.begin(); err != nil {
			return nil, err
		}
	}
	if err := s.acquireSlot(); err != nil {
		return nil, err
	}
	defer s.releaseSlot()
	if !s.control.Load() {
		s.target.statements.Add(1)
	}
	if c.Kind == route.Read {
		return s.read(st)
	}
	return s.write(st, c)
}

// acquireSlot waits for one of the target's slots and for the configured service
// time, which the slot is occupied for.
func (s *session) acquireSlot() error {
	select {
	case <-s.cancel: // discard a cancel request of an earlier statement
	default:
	}
	if s.target.slots != nil {
		select {
		case s.target.slots <- struct{}{}:
		case <-s.cancel:
			return errCanceled
		}
	}
	if d := s.target.opt.ServiceTime; d > 0 {
		if err := s.pause(d); err != nil {
			s.releaseSlot()
			return err
		}
	}
	return nil
}

func (s *session) pause(d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-s.cancel:
		return errCanceled
	}
}

func (s *session) releaseSlot() {
	if s.target.slots != nil {
		<-s.target.slots
	}
}

func (s *session) read(st statement) (*result, error) {
	if d, ok := parseSleep(st); ok {
		if err := s.pause(d); err != nil {
			return nil, err
		}
		return &result{columns: []column{{name: "pg_sleep", oid: 25}}, rows: [][]any{{""}}, tag: "SELECT 1"}, nil
	}
	return s.target.readEngine(s.hasWriteLock).run(st)
}

// parseSleep returns the duration of a statement SELECT pg_sleep(SECONDS), and
// false for all other statements.
func parseSleep(st statement) (time.Duration, bool) {
	text := strings.ToLower(strings.TrimSpace(st.SQL))
	arg, ok := strings.CutPrefix(text, "select pg_sleep(")
	if !ok {
		return 0, false
	}
	n, _, _ := strings.Cut(arg, ")")
	d, err := time.ParseDuration(n + "s")
	return d, err == nil
}

// readEngine returns the engine that serves a session's reads: that of the open
// write transaction for the session that holds the write lock, and that of the
// committed data for all others.
func (t *Target) readEngine(ownWrites bool) *engine {
	t.mu.Lock()
	defer t.mu.Unlock()
	if ownWrites {
		return t.pending
	}
	return t.committed
}

func (s *session) write(st statement, c route.Statement) (*result, error) {
	if c.Verb == "SET" {
		return &result{tag: "SET"}, nil
	}
	t := s.target
	t.mu.Lock()
	defer t.mu.Unlock()
	if err := t.writable(s.epoch); err != nil {
		return nil, err
	}
	res, err := t.pending.run(st)
	if err != nil {
		return nil, err
	}
	s.pendingWrites = append(s.pendingWrites, st)
	return res, nil
}

// begin acquires the target's write lock and opens a transaction in the engine
// of the open write transaction. It does nothing if the session has the lock.
func (s *session) begin() error {
	if s.readOnly {
		return errReadOnly
	}
	if s.hasWriteLock {
		return nil
	}
	t := s.target
	t.mu.Lock()
	err := t.writable(t.epoch.Load())
	t.mu.Unlock()
	if err != nil {
		return err
	}
	select {
	case t.writeLock <- struct{}{}:
	case <-s.cancel:
		return errCanceled
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	s.epoch = t.epoch.Load()
	if err := t.writable(s.epoch); err != nil {
		<-t.writeLock
		return err
	}
	if _, err := t.pending.run(statement{SQL: "BEGIN"}); err != nil {
		<-t.writeLock
		return err
	}
	s.hasWriteLock = true
	return nil
}

func (s *session) commit() (*result, error) {
	if s.txFailed {
		s.rollback()
		return &result{tag: "ROLLBACK"}, nil
	}
	err := s.commitWrites()
	s.inTx, s.readOnly = false, false
	if err != nil {
		return nil, err
	}
	return &result{tag: "COMMIT"}, nil
}

// commitWrites commits the session's open write transaction, if it has one, and
// releases the write lock.
func (s *session) commitWrites() error {
	if !s.hasWriteLock {
		return nil
	}
	if len(s.pendingWrites) == 0 {
		s.abortWrites()
		return nil
	}
	p, err := s.target.commit(s.pendingWrites, s.epoch)
	if err != nil {
		s.abortWrites()
		return err
	}
	s.lastCommit = p
	s.hasWriteLock, s.pendingWrites = false, nil
	<-s.target.writeLock
	return nil
}

// commitImplicit commits a batch that ran outside of a transaction block.
func (s *session) commitImplicit() {
	if s.inTx || !s.hasWriteLock {
		return
	}
	if err := s.commitWrites(); err != nil {
		s.sendError(err)
	}
}

// releaseDescribeLock releases the write lock if only describing a statement
// acquired it.
func (s *session) releaseDescribeLock() {
	if len(s.pendingWrites) == 0 {
		s.abortWrites()
	}
}

func (s *session) rollback() {
	s.abortWrites()
	s.inTx, s.txFailed, s.readOnly = false, false, false
}

// abortWrites rolls back the open write transaction, unless a change of role has
// rolled it back already, and releases the write lock.
func (s *session) abortWrites() {
	if !s.hasWriteLock {
		return
	}
	t := s.target
	t.mu.Lock()
	if s.epoch == t.epoch.Load() {
		t.pending.run(statement{SQL: "ROLLBACK"})
	}
	t.mu.Unlock()
	s.hasWriteLock, s.pendingWrites = false, nil
	<-t.writeLock
}
