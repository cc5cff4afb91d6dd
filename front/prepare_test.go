package front_test

import (
	"bytes"
	"context"
	"io"
	"net"
	"testing"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/pollendoor/pollendoor/fakes"
)

// TestPrepareAgainAfterFailure prepares under one name until it succeeds, as
// drivers do: a statement that was not parsed must not take its name.
func TestPrepareAgainAfterFailure(t *testing.T) {
	r := newRig(t, 1, fakes.TargetOptions{})
	ctx := context.Background()
	c := connect(t, r.url(0))
	for range 2 {
		if _, err := c.PgConn().Prepare(ctx, "s1", "SELECT id FROM gift", nil); code(err) != "42P01" {
			t.Errorf("got %v, want 42P01 while the table is missing", err)
		}
	}
	exec(t, c, "CREATE TABLE gift (id BIGINT)")
	if _, err := c.PgConn().Prepare(ctx, "s1", "SELECT id FROM gift", nil); err != nil {
		t.Errorf("got %v, want the name to be free", err)
	}
	if _, err := c.PgConn().Prepare(ctx, "s1", "SELECT id FROM gift", nil); code(err) != "42P05" {
		t.Errorf("got %v, want 42P05 for a name in use", err)
	}
}

// TestRefusedCommands sends what can't be carried: each is refused with 0A000
// and the session goes on.
func TestRefusedCommands(t *testing.T) {
	r := newRig(t, 1, fakes.TargetOptions{})
	c := connect(t, r.url(0))
	for _, sql := range []string{"LISTEN x", "COPY t FROM STDIN", "CREATE TEMP TABLE x (y INT)", "SET search_path = x", "SELECT 1; SHOW pollendoor.session"} {
		if _, err := c.Exec(context.Background(), sql); code(err) != "0A000" {
			t.Errorf("%s: got %v, want 0A000", sql, err)
		}
		exec(t, c, "SELECT 1")
	}
}

// TestCancel cancels a running statement over a connection of its own.
func TestCancel(t *testing.T) {
	r := newRig(t, 1, fakes.TargetOptions{})
	c := connect(t, r.url(0))
	done := make(chan error)
	go func() {
		_, err := c.Exec(context.Background(), "SELECT pg_sleep(30)")
		done <- err
	}()
	for range 100 {
		if err := c.PgConn().CancelRequest(context.Background()); err != nil {
			t.Fatal(err)
		}
		select {
		case err := <-done:
			if code(err) != "57014" {
				t.Errorf("got %v, want 57014", err)
			}
			exec(t, c, "SELECT 1")
			return
		default:
		}
	}
	t.Error("got no end of the statement, want it cancelled")
}

// TestOverlongMessage sends a message that claims to be huge: the
// connection ends without the memory being taken.
func TestOverlongMessage(t *testing.T) {
	r := newRig(t, 1, fakes.TargetOptions{})
	n, err := net.Dial("tcp", r.servers[0].Addr())
	if err != nil {
		t.Fatal(err)
	}
	defer n.Close()
	start, err := (&pgproto3.StartupMessage{ProtocolVersion: pgproto3.ProtocolVersion30, Parameters: map[string]string{"user": "u", "database": "potes-1"}}).Encode(nil)
	if err != nil {
		t.Fatal(err)
	}
	n.Write(append(start, 'Q', 0x7f, 0xff, 0xff, 0xff))
	n.SetReadDeadline(time.Now().Add(20 * time.Second))
	all, err := io.ReadAll(n)
	if err != nil || !bytes.Contains(all, []byte("08P01")) {
		t.Errorf("got %q and %v, want a protocol error and the end", all, err)
	}
}
