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

// TestPrepareAgainAfterFailure prepares a statement under the same name until it
// succeeds, as drivers do. A statement whose Parse failed must leave its name
// free.
func TestPrepareAgainAfterFailure(t *testing.T) {
	cluster := newTestCluster(t, 1, fakes.TargetOptions{})
	ctx := context.Background()
	conn := connect(t, cluster.url(0))
	for range 2 {
		if _, err := conn.PgConn().Prepare(ctx, "s1", "SELECT id FROM gift", nil); sqlState(err) != "42P01" {
			t.Errorf("got error %v, want 42P01 while the table does not exist", err)
		}
	}
	exec(t, conn, "CREATE TABLE gift (id BIGINT)")
	if _, err := conn.PgConn().Prepare(ctx, "s1", "SELECT id FROM gift", nil); err != nil {
		t.Errorf("got error %v, want the name to be free", err)
	}
	if _, err := conn.PgConn().Prepare(ctx, "s1", "SELECT id FROM gift", nil); sqlState(err) != "42P05" {
		t.Errorf("got error %v, want 42P05 for a name in use", err)
	}
}

// TestRefusedCommands sends commands that pooled connections do not support. Each
// must be refused with 0A000, and the session must remain usable.
func TestRefusedCommands(t *testing.T) {
	cluster := newTestCluster(t, 1, fakes.TargetOptions{})
	conn := connect(t, cluster.url(0))
	for _, sql := range []string{"LISTEN x", "COPY t FROM STDIN", "CREATE TEMP TABLE x (y INT)", "SET search_path = x", "SELECT 1; SHOW pollendoor.session"} {
		if _, err := conn.Exec(context.Background(), sql); sqlState(err) != "0A000" {
			t.Errorf("%s: got error %v, want 0A000", sql, err)
		}
		exec(t, conn, "SELECT 1")
	}
}

// TestCancel cancels a running statement with a cancel request over a separate
// connection.
func TestCancel(t *testing.T) {
	cluster := newTestCluster(t, 1, fakes.TargetOptions{})
	conn := connect(t, cluster.url(0))
	done := make(chan error)
	go func() {
		_, err := conn.Exec(context.Background(), "SELECT pg_sleep(30)")
		done <- err
	}()
	for range 100 {
		if err := conn.PgConn().CancelRequest(context.Background()); err != nil {
			t.Fatal(err)
		}
		select {
		case err := <-done:
			if sqlState(err) != "57014" {
				t.Errorf("got error %v, want 57014", err)
			}
			exec(t, conn, "SELECT 1")
			return
		default:
		}
	}
	t.Error("got a statement that still runs after 100 cancel requests, want it canceled")
}

// TestOverlongMessage sends a message header with a length of 2 GiB. The server
// must close the connection and not allocate that memory.
func TestOverlongMessage(t *testing.T) {
	cluster := newTestCluster(t, 1, fakes.TargetOptions{})
	conn, err := net.Dial("tcp", cluster.servers[0].Addr())
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	startup, err := (&pgproto3.StartupMessage{ProtocolVersion: pgproto3.ProtocolVersion30, Parameters: map[string]string{"user": "u", "database": "potes-1"}}).Encode(nil)
	if err != nil {
		t.Fatal(err)
	}
	conn.Write(append(startup, 'Q', 0x7f, 0xff, 0xff, 0xff))
	conn.SetReadDeadline(time.Now().Add(20 * time.Second))
	answer, err := io.ReadAll(conn)
	if err != nil || !bytes.Contains(answer, []byte("08P01")) {
		t.Errorf("got %q and error %v, want error 08P01 and the end of the connection", answer, err)
	}
}
