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
	lose := map[string]func(p *fakes.Target) func(){
		"killed": func(p *fakes.Target) func() { p.Kill(); return func() { p.Start() } },
		"frozen": func(p *fakes.Target) func() { p.Freeze(); return p.Unfreeze },
	}
	for name, cut := range lose {
		t.Run(name, func(t *testing.T) {
			r := newRig(t, 2, fakes.TargetOptions{})
			c := connect(t, r.url(0))
			exec(t, c, "CREATE TABLE gift (id BIGINT, amount BIGINT)")
			var back func()
			for i := range 30 {
				if i == 10 {
					back = cut(r.group.Primary())
				}
				exec(t, c, "INSERT INTO gift VALUES ("+strconv.Itoa(i)+", 1) /*pollendoor.requestId='g"+strconv.Itoa(i)+"'*/")
				// Repeated as by a caller that did not hear the answer.
				exec(t, c, "INSERT INTO gift VALUES ("+strconv.Itoa(i)+", 1) /*pollendoor.requestId='g"+strconv.Itoa(i)+"'*/")
			}
			back()
			var n, distinct int64
			d := connect(t, r.url(1)+"&pollendoor.session="+c.PgConn().ParameterStatus("pollendoor.session"))
			err := d.QueryRow(context.Background(), "SELECT count(*), count(distinct id) FROM gift").Scan(&n, &distinct)
			if err != nil || n != 30 || distinct != 30 {
				t.Errorf("got %d rows, %d distinct and %v, want 30", n, distinct, err)
			}
			waitRejoined(t, r.group)
		})
	}
}

// waitRejoined waits until all targets are of one term and index.
func waitRejoined(t *testing.T, g *fakes.Group) {
	t.Helper()
	var got []string
	for range 500 {
		got = nil
		same := true
		first := g.Targets[0].Status()
		for _, tg := range g.Targets {
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
func TestTransactionCutByFailover(t *testing.T) {
	r := newRig(t, 1, fakes.TargetOptions{})
	ctx := context.Background()
	c := connect(t, r.url(0))
	exec(t, c, "CREATE TABLE gift (id BIGINT)")
	tx, err := c.Begin(ctx)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := tx.Exec(ctx, "INSERT INTO gift VALUES (1)"); err != nil {
		t.Fatal(err)
	}
	r.group.Primary().Kill()
	_, err = tx.Exec(ctx, "INSERT INTO gift VALUES (2)")
	var pe *pgconn.PgError
	if !errors.As(err, &pe) || pe.Detail != "outcome=notRun" {
		t.Errorf("got %v, want a refusal with outcome=notRun", err)
	}
	if _, err := tx.Exec(ctx, "INSERT INTO gift VALUES (3)"); !errors.As(err, &pe) || pe.Code != "25P02" {
		t.Errorf("got %v, want 25P02 until the transaction is ended", err)
	}
	if err := tx.Commit(ctx); !errors.Is(err, pgx.ErrTxCommitRollback) {
		t.Errorf("got %v for the commit, want it rolled back", err)
	}
	exec(t, c, "INSERT INTO gift VALUES (4)")
	var n int64
	if err := c.QueryRow(ctx, "SELECT count(*) FROM gift").Scan(&n); err != nil || n != 1 {
		t.Errorf("got %d rows and %v, want only the last write", n, err)
	}
}

// TestStoreLosesAnswers loses the answer of every second put while a primary is
// replaced.
func TestStoreLosesAnswers(t *testing.T) {
	r := newRig(t, 2, fakes.TargetOptions{})
	c := connect(t, r.url(0))
	exec(t, c, "CREATE TABLE gift (id BIGINT)")
	r.platform.LoseEveryOtherAnswer(true)
	r.group.Primary().Kill()
	exec(t, c, "INSERT INTO gift VALUES (1) /*pollendoor.requestId='a'*/")
}

// TestStoreDown serves with the platform's store away, and refuses with a true
// notRun when the primary goes too.
func TestStoreDown(t *testing.T) {
	r := newRig(t, 1, fakes.TargetOptions{})
	ctx := context.Background()
	c := connect(t, r.url(0))
	exec(t, c, "CREATE TABLE gift (id BIGINT)")
	r.platform.SetDown(true)
	exec(t, c, "INSERT INTO gift VALUES (1)")
	r.group.Primary().Kill()
	exec(t, c, "SET statement_timeout = '700ms'")
	var n int64
	if err := c.QueryRow(ctx, "SELECT count(*) FROM gift").Scan(&n); err != nil || n != 1 {
		t.Errorf("got %d rows and %v from the replicas, want 1", n, err)
	}
	for range 2 {
		// The first may have been on its way to the dying primary.
		_, err := c.Exec(ctx, "INSERT INTO gift VALUES (2)")
		var pe *pgconn.PgError
		if !errors.As(err, &pe) || pe.Code != "57P03" && pe.Code != "08007" {
			t.Errorf("got %v, want a refusal", err)
		}
	}
	r.platform.SetDown(false)
	exec(t, c, "SET statement_timeout = '10s'")
	exec(t, c, "INSERT INTO gift VALUES (3)")
}
