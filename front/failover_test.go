package front_test

import (
	"context"
	"errors"
	"strconv"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgconn"

	"github.com/pollendoor/pollendoor/fakes"
)

// TestWritesRideThroughFailover kills or freezes the primary during writes with
// request IDs, each of which is sent twice. Every write must be acknowledged and
// stored exactly once.
func TestWritesRideThroughFailover(t *testing.T) {
	failures := map[string]func(primary *fakes.Target) func(){
		"killed": func(primary *fakes.Target) func() { primary.Kill(); return func() { primary.Start() } },
		"frozen": func(primary *fakes.Target) func() { primary.Freeze(); return primary.Unfreeze },
	}
	for name, fail := range failures {
		t.Run(name, func(t *testing.T) {
			cluster := newTestCluster(t, 2, fakes.TargetOptions{})
			conn := connect(t, cluster.url(0))
			exec(t, conn, "CREATE TABLE gift (id BIGINT, amount BIGINT)")
			var restore func()
			for i := range 30 {
				if i == 10 {
					restore = fail(cluster.group.Primary())
				}
				exec(t, conn, "INSERT INTO gift VALUES ("+strconv.Itoa(i)+", 1) /*pollendoor.requestId='g"+strconv.Itoa(i)+"'*/")
				// A caller that did not receive the answer sends the write again.
				exec(t, conn, "INSERT INTO gift VALUES ("+strconv.Itoa(i)+", 1) /*pollendoor.requestId='g"+strconv.Itoa(i)+"'*/")
			}
			restore()
			var count, distinct int64
			reader := connect(t, cluster.url(1)+"&pollendoor.session="+conn.PgConn().ParameterStatus("pollendoor.session"))
			err := reader.QueryRow(context.Background(), "SELECT count(*), count(distinct id) FROM gift").Scan(&count, &distinct)
			if err != nil || count != 30 || distinct != 30 {
				t.Errorf("got %d rows, %d distinct ids and error %v, want 30 of both and no error", count, distinct, err)
			}
			waitForRejoin(t, cluster.group)
		})
	}
}

// waitForRejoin waits up to 5 s until all targets have the same term and have
// applied the same index.
func waitForRejoin(t *testing.T, group *fakes.Group) {
	t.Helper()
	var got []string
	for range 500 {
		got = nil
		same := true
		first := group.Targets[0].Status()
		for _, tg := range group.Targets {
			s := tg.Status()
			same = same && s.Term == first.Term && s.Applied == first.Applied
			got = append(got, s.Name+" "+strconv.Itoa(int(s.Term))+"/"+strconv.Itoa(int(s.Applied)))
		}
		if same {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Errorf("got target positions %v, want them all equal", got)
}

// TestTransactionLostInFailover kills the primary during a transaction. The caller
// must get outcome=notRun and must end the transaction before it can run other
// statements.
func TestTransactionLostInFailover(t *testing.T) {
	cluster := newTestCluster(t, 1, fakes.TargetOptions{})
	ctx := context.Background()
	conn := connect(t, cluster.url(0))
	exec(t, conn, "CREATE TABLE gift (id BIGINT)")
	tx, err := conn.Begin(ctx)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := tx.Exec(ctx, "INSERT INTO gift VALUES (1)"); err != nil {
		t.Fatal(err)
	}
	cluster.group.Primary().Kill()
	_, err = tx.Exec(ctx, "INSERT INTO gift VALUES (2)")
	var pgErr *pgconn.PgError
	if !errors.As(err, &pgErr) || pgErr.Detail != "outcome=notRun" {
		t.Errorf("got error %v, want a refusal with outcome=notRun", err)
	}
	if _, err := tx.Exec(ctx, "INSERT INTO gift VALUES (3)"); !errors.As(err, &pgErr) || pgErr.Code != "25P02" {
		t.Errorf("got error %v, want 25P02 until the transaction is ended", err)
	}
	if err := tx.Commit(ctx); !errors.Is(err, pgx.ErrTxCommitRollback) {
		t.Errorf("got error %v for the commit, want ErrTxCommitRollback", err)
	}
	exec(t, conn, "INSERT INTO gift VALUES (4)")
	var count int64
	if err := conn.QueryRow(ctx, "SELECT count(*) FROM gift").Scan(&count); err != nil || count != 1 {
		t.Errorf("got %d rows and error %v, want 1 row, of the last write", count, err)
	}
}

// TestStoreLosesAnswers drops the answer to every second Put at the store while a
// primary is replaced. The promotion must complete nevertheless.
func TestStoreLosesAnswers(t *testing.T) {
	cluster := newTestCluster(t, 2, fakes.TargetOptions{})
	conn := connect(t, cluster.url(0))
	exec(t, conn, "CREATE TABLE gift (id BIGINT)")
	cluster.platform.LoseEveryOtherAnswer(true)
	cluster.group.Primary().Kill()
	exec(t, conn, "INSERT INTO gift VALUES (1) /*pollendoor.requestId='a'*/")
}

// TestStoreDown makes the platform's store unavailable. Statements must still be
// served. When the primary is killed too, replicas must serve reads and writes
// must be refused, until the store is available again.
func TestStoreDown(t *testing.T) {
	cluster := newTestCluster(t, 1, fakes.TargetOptions{})
	ctx := context.Background()
	conn := connect(t, cluster.url(0))
	exec(t, conn, "CREATE TABLE gift (id BIGINT)")
	cluster.platform.SetDown(true)
	exec(t, conn, "INSERT INTO gift VALUES (1)")
	cluster.group.Primary().Kill()
	exec(t, conn, "SET statement_timeout = '700ms'")
	var count int64
	if err := conn.QueryRow(ctx, "SELECT count(*) FROM gift").Scan(&count); err != nil || count != 1 {
		t.Errorf("got %d rows and error %v from the replicas, want 1 row", count, err)
	}
	for range 2 {
		// The first write may have been sent to the primary before its end was
		// detected, so that its outcome is unknown (08007).
		_, err := conn.Exec(ctx, "INSERT INTO gift VALUES (2)")
		var pgErr *pgconn.PgError
		if !errors.As(err, &pgErr) || pgErr.Code != "57P03" && pgErr.Code != "08007" {
			t.Errorf("got error %v, want a refusal with 57P03 or 08007", err)
		}
	}
	cluster.platform.SetDown(false)
	exec(t, conn, "SET statement_timeout = '10s'")
	exec(t, conn, "INSERT INTO gift VALUES (3)")
}
