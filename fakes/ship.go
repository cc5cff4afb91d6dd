package fakes

import (
	"context"
	"fmt"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"

	"github.com/pollendoor/pollendoor"
	"github.com/pollendoor/pollendoor/pgwire"
)

const (
	maxShipBatch    = 500                   // entries in one response
	shipPollTimeout = 50 * time.Millisecond // longest wait for a new entry before an empty response
	shipRetryDelay  = 20 * time.Millisecond
)

// replicate requests log entries from the primary while the target is a replica.
func (t *Target) replicate(ctx context.Context) {
	var conn *pgwire.Conn
	defer func() {
		if conn != nil {
			conn.Close()
		}
	}()
	for ctx.Err() == nil {
		t.mu.Lock()
		role, term, source, index, changed := t.role, t.term, t.source, uint64(len(t.log)), t.changed
		t.mu.Unlock()
		if role != pollendoor.Replica || source == "" || t.frozen.Load() {
			sleep(ctx, shipRetryDelay, changed)
			continue
		}
		if conn != nil && conn.Addr != source {
			conn.Close()
			conn = nil
		}
		pullCtx, cancel := context.WithCancel(ctx)
		stop := t.cancelOnSourceChange(pullCtx, changed, source, cancel)
		next, err := t.pull(pullCtx, conn, source, term, index)
		cancel()
		<-stop
		conn = next
		if err != nil {
			conn = nil
			sleep(ctx, shipRetryDelay, nil)
		}
	}
}

// cancelOnSourceChange calls cancel once the target is no longer a replica or
// follows another source. The returned channel is closed when the goroutine that
// watches for this has ended, which is after ctx or after the call.
func (t *Target) cancelOnSourceChange(ctx context.Context, changed chan struct{}, source string, cancel func()) chan struct{} {
	done := make(chan struct{})
	go func() {
		defer close(done)
		for ctx.Err() == nil {
			select {
			case <-ctx.Done():
				return
			case <-changed:
			}
			t.mu.Lock()
			moved := t.source != source || t.role != pollendoor.Replica
			changed = t.changed
			t.mu.Unlock()
			if moved {
				cancel()
				return
			}
		}
	}()
	return done
}

// pull sends one request for the entries after index and appends them to the
// log. It returns the connection for the next request, which it opens if conn is
// nil.
func (t *Target) pull(ctx context.Context, conn *pgwire.Conn, source string, term pollendoor.Term, index uint64) (*pgwire.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	if conn == nil {
		c, err := pgwire.Dial(ctx, pgwire.Login{Addr: source, User: t.opt.User, Password: t.opt.Password, App: pgwire.ControlApp + "@" + t.opt.Zone})
		if err != nil {
			return nil, err
		}
		conn = c
	}
	requestedAt := time.Now()
	rows, err := conn.SimpleQuery(ctx, fmt.Sprintf("REPLICATE %d %d", term, index))
	if err != nil {
		conn.Close()
		return nil, err
	}
	if t.opt.ShipDelay > 0 && len(rows) > 1 {
		time.Sleep(t.opt.ShipDelay)
	}
	return conn, t.receive(rows, term, index, requestedAt)
}

// receive appends received entries to the log, unless the target's term, role or
// log has changed since the request or the target is fenced or frozen.
func (t *Target) receive(rows [][]string, term pollendoor.Term, index uint64, requestedAt time.Time) error {
	if len(rows) == 0 {
		return errors.New("empty replication response")
	}
	primaryIndex, err := strconv.ParseUint(rows[0][0], 10, 64)
	if err != nil {
		return err
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.term != term || t.fenced > term || t.role != pollendoor.Replica || uint64(len(t.log)) != index || t.frozen.Load() {
		return nil
	}
	for _, r := range rows[1:] {
		var e entry
		if err := decodeEntry(r[0], &e); err != nil {
			return err
		}
		if e.Index != uint64(len(t.log))+1 {
			return errors.Newf("received log entry %d after entry %d", e.Index, len(t.log))
		}
		t.log = append(t.log, e)
	}
	if uint64(len(t.log)) >= primaryIndex {
		t.caughtUpAt = requestedAt
	}
	if len(rows) > 1 {
		t.notifyChange()
	}
	return nil
}

// serveReplication returns the entries after index to a replica of term. If
// there are none, it waits up to shipPollTimeout for one. The first row is the
// index of the primary's last entry.
func (t *Target) serveReplication(ctx context.Context, term pollendoor.Term, index uint64) ([][]string, error) {
	timeout := time.After(shipPollTimeout)
	for {
		t.mu.Lock()
		if t.role != pollendoor.Primary || t.term != term || t.fenced > term {
			t.mu.Unlock()
			return nil, errFenced
		}
		last := uint64(len(t.log))
		batch := t.log[min(index, last):min(index+maxShipBatch, last)]
		changed := t.changed
		t.mu.Unlock()
		if len(batch) > 0 {
			return encodeBatch(last, batch)
		}
		select {
		case <-changed:
		case <-timeout:
			return encodeBatch(last, nil)
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

// shipEncMode encodes times with nanoseconds; the default encoding of times
// drops fractions of a second.
var shipEncMode = func() cbor.EncMode {
	m, err := cbor.EncOptions{Time: cbor.TimeRFC3339Nano}.EncMode()
	if err != nil {
		panic(errors.NewAssertionErrorWithWrappedErrf(err, "encoding options of replicated log entries"))
	}
	return m
}()

func encodeBatch(last uint64, batch []entry) ([][]string, error) {
	rows := [][]string{{strconv.FormatUint(last, 10)}}
	for _, e := range batch {
		raw, err := shipEncMode.Marshal(e)
		if err != nil {
			return nil, err
		}
		rows = append(rows, []string{string(raw)})
	}
	return rows, nil
}

func decodeEntry(text string, e *entry) error {
	if err := cbor.Unmarshal([]byte(text), e); err != nil {
		return errors.Wrap(err, "decode a replicated log entry")
	}
	for _, s := range e.Stmts {
		for i, a := range s.Args {
			if n, ok := a.(uint64); ok {
				s.Args[i] = int64(n)
			}
		}
	}
	return nil
}
