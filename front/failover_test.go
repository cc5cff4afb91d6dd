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

// TestWritesRideThroughFailover loses the primary in three ways while writes
// with request ids go on. Every write is acknowledged, and lands once.
func TestWritesRideThroughFailover(t *testing.T) {
	failures := map[string]func(primary *fakes.Target) func(){
		"killed": func(primary *fakes.Target) func() { primary.Kill(); return func() { primary.Start() } },
		"frozen": func(primary *fakes.Target) func() { primary.Freeze(); return primary.Thaw },
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
				// Repeated as by a caller that did not hear the answer.
				exec(t, conn, "INSERT INTO gift VALUES ("+strconv.Itoa(i)+", 1) /*pollendoor.requestId='g"+strconv.Itoa(i)+"'*/")
			}
			restore()
			var count, distinct int64
			reader := connect(t, cluster.url(1)+"&pollendoor.session="+conn.PgConn().ParameterStatus("pollendoor.session"))
			err := reader.QueryRow(context.Background(), "SELECT count(*), count(distinct id) FROM gift").Scan(&count, &distinct)
			if err != nil || count != 30 || distinct != 30 {
				t.Errorf("got %d rows, %d distinct and %v, want 30", count, distinct, err)
			}
			waitForRejoin(t, cluster.group)
		})
	}
}

// waitRejoined waits until all targets are of one term and index.
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
	t.Errorf("got targets at %v, want all at the same position", got)
}

// TestTransactionCutByFailover loses the primary within a transaction: the
// caller hears that it did not run, and must end it before it goes on.
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
		t.Errorf("got %v, want a refusal with outcome=notRun", err)
	}
	if _, err := tx.Exec(ctx, "INSERT INTO gift VALUES (3)"); !errors.As(err, &pgErr) || pgErr.Code != "25P02" {
		t.Errorf("got %v, want 25P02 until the transaction is ended", err)
	}
	if err := tx.Commit(ctx); !errors.Is(err, pgx.ErrTxCommitRollback) {
		t.Errorf("got %v for the commit, want it rolled back", err)
	}
	exec(t, conn, "INSERT INTO gift VALUES (4)")
	var count int64
	if err := conn.QueryRow(ctx, "SELECT count(*) FROM gift").Scan(&count); err != nil || count != 1 {
		t.Errorf("got %d rows and %v, want only the last write", count, err)
	}
}

// TestStoreLosesAnswers loses the answer of every second put while a primary is
// replaced.
func TestStoreLosesAnswers(t *testing.T) {
	cluster := newTestCluster(t, 2, fakes.TargetOptions{})
	conn := connect(t, cluster.url(0))
	exec(t, conn, "CREATE TABLE gift (id BIGINT)")
	cluster.platform.LoseEveryOther(true)
	cluster.group.Primary().Kill()
	exec(t, conn, "INSERT INTO gift VALUES (1) /*pollendoor.requestId='a'*/")
}

// TestStoreDown serves with the platform's store away, and refuses with a true
// notRun when the primary goes too.
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
		t.Errorf("got %d rows and %v from the replicas, want 1", count, err)
	}
	for range 2 {
		// The first may have been on its way to the dying primary.
		_, err := conn.Exec(ctx, "INSERT INTO gift VALUES (2)")
		var pgErr *pgconn.PgError
		if !errors.As(err, &pgErr) || pgErr.Code != "57P03" && pgErr.Code != "08007" {
			t.Errorf("got %v, want a refusal", err)
		}
	}
	cluster.platform.SetDown(false)
	exec(t, conn, "SET statement_timeout = '10s'")
	exec(t, conn, "INSERT INTO gift VALUES (3)")
}
