package front_test

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgconn"
	"github.com/jackc/pgx/v5/pgxpool"

	"github.com/pollendoor/pollendoor"
	"github.com/pollendoor/pollendoor/fakes"
	"github.com/pollendoor/pollendoor/front"
	"github.com/pollendoor/pollendoor/runner"
	"github.com/pollendoor/pollendoor/store"
)

// open lets everybody in without limits.
type open struct{}

func (open) Login(route, _, _ string) (pollendoor.Grant, *pollendoor.Refusal) {
	return pollendoor.Grant{Team: "team", Route: route}, nil
}

func (open) Check(g pollendoor.Grant) (pollendoor.Policy, *pollendoor.Refusal) {
	return pollendoor.Policy{Group: g.Route, Timeout: 10 * time.Second}, nil
}
func (open) Admit(pollendoor.Grant, int) *pollendoor.Refusal { return nil }
func (open) Changed() <-chan struct{}                        { return nil }
func (open) Report(pollendoor.Grant, pollendoor.Observation) {}

// rig is one group of three targets behind a number of VMs.
type rig struct {
	platform *fakes.Platform
	group    *fakes.Group
	servers  []*front.Server
	hosts    []*runner.Host
}

func newRig(t *testing.T, vms int, opt fakes.TargetOptions) *rig {
	t.Helper()
	ctx := context.Background()
	r := &rig{platform: &fakes.Platform{}}
	if err := r.platform.Start(""); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(r.platform.Stop)
	opt.User, opt.Password = "system", "secret"
	g, err := fakes.StartGroup("potes-1", []string{"a", "b", "c"}, opt)
	if err != nil {
		t.Fatal(err)
	}
	r.group = g
	t.Cleanup(g.Stop)
	if err := g.Register(ctx, &store.Client{Base: r.platform.Addr()}); err != nil {
		t.Fatal(err)
	}
	for i := range vms {
		name := fmt.Sprintf("vm%d", i)
		h := runner.NewHost(runner.Options{
			VM: name, Zone: []string{"a", "b", "c"}[i%3], User: "system", Password: "secret", Connections: 4,
			Store: &store.Client{Base: r.platform.Addr(), VM: name},
			Rank:  func(string) (int, bool) { return i, true },
		})
		h.Start()
		t.Cleanup(h.Stop)
		s := front.NewServer(front.Options{Runner: h, Access: open{}})
		if err := s.Listen("127.0.0.1:0"); err != nil {
			t.Fatal(err)
		}
		t.Cleanup(s.Stop)
		r.servers = append(r.servers, s)
		r.hosts = append(r.hosts, h)
		for h.Ready() != nil {
			time.Sleep(5 * time.Millisecond)
		}
	}
	return r
}

func (r *rig) url(vm int) string {
	return "postgres://u:p@" + r.servers[vm].Addr() + "/potes-1?sslmode=disable"
}

func connect(t *testing.T, url string) *pgx.Conn {
	t.Helper()
	c, err := pgx.Connect(context.Background(), url)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close(context.Background()) })
	return c
}

func exec(t *testing.T, c *pgx.Conn, sql string, args ...any) {
	t.Helper()
	if _, err := c.Exec(context.Background(), sql, args...); err != nil {
		t.Fatalf("%s: %v", sql, err)
	}
}

// TestMixedTraffic runs reads, writes and transactions through two VMs in the
// modes that drivers use, and counts what arrived.
func TestMixedTraffic(t *testing.T) {
	r := newRig(t, 2, fakes.TargetOptions{Slots: 3, Connections: 20, Lag: 5 * time.Millisecond})
	c := connect(t, r.url(0))
	exec(t, c, "CREATE TABLE gift (id BIGINT PRIMARY KEY, amount BIGINT NOT NULL, who TEXT)")
	for _, mode := range []string{"cache_statement", "simple_protocol", "exec"} {
		t.Run(mode, func(t *testing.T) {
			exec(t, c, "DELETE FROM gift")
			mixed(t, r, mode, c.PgConn().ParameterStatus("pollendoor.session"))
		})
	}
}

func mixed(t *testing.T, r *rig, mode, token string) {
	const workers, rounds = 50, 4
	ctx := context.Background()
	var pools []*pgxpool.Pool
	for vm := range r.servers {
		p, err := pgxpool.New(ctx, r.url(vm)+"&pool_max_conns=25&default_query_exec_mode="+mode+"&pollendoor.session="+token)
		if err != nil {
			t.Fatal(err)
		}
		defer p.Close()
		pools = append(pools, p)
	}
	var wg sync.WaitGroup
	for w := range workers {
		wg.Go(func() {
			for i := range rounds {
				if err := mixedRound(ctx, pools[(w+i)%len(pools)], int64(w*rounds+i)); err != nil {
					t.Errorf("worker %d: %v", w, err)
					return
				}
			}
		})
	}
	wg.Wait()
	// A transaction that may write reads at the primary, which has all of it.
	var n, sum int64
	err := pgx.BeginFunc(ctx, pools[0], func(tx pgx.Tx) error {
		return tx.QueryRow(ctx, "SELECT count(*), sum(amount) FROM gift").Scan(&n, &sum)
	})
	if want := int64(workers * rounds); err != nil || n != want || sum != want*7 {
		t.Errorf("got %d rows, sum %d and %v, want %d rows, sum %d", n, sum, err, want, want*7)
	}
}

// mixedRound writes a row, reads it back in the same session and changes it in
// a transaction.
func mixedRound(ctx context.Context, p *pgxpool.Pool, id int64) error {
	c, err := p.Acquire(ctx)
	if err != nil {
		return err
	}
	defer c.Release()
	if _, err := c.Exec(ctx, "INSERT INTO gift (id, amount, who) VALUES ($1, $2, $3)", id, int64(5), "o'neill"); err != nil {
		return err
	}
	var amount int64
	if err := c.QueryRow(ctx, "SELECT amount FROM gift WHERE id = $1", id).Scan(&amount); err != nil || amount != 5 {
		return fmt.Errorf("read back %d: %w", amount, err)
	}
	return pgx.BeginFunc(ctx, c, func(tx pgx.Tx) error {
		if _, err := tx.Exec(ctx, "UPDATE gift SET amount = amount + 2 WHERE id = $1", id); err != nil {
			return err
		}
		if err := tx.QueryRow(ctx, "SELECT amount FROM gift WHERE id = $1", id).Scan(&amount); err != nil || amount != 7 {
			return fmt.Errorf("read %d within the transaction: %w", amount, err)
		}
		return nil
	})
}

// TestReadYourWritesWhileRoaming hands a session's token to another VM.
func TestReadYourWritesWhileRoaming(t *testing.T) {
	r := newRig(t, 2, fakes.TargetOptions{Lag: 30 * time.Millisecond})
	ctx := context.Background()
	a, b := connect(t, r.url(0)), connect(t, r.url(1))
	exec(t, a, "CREATE TABLE gift (id BIGINT)")
	for i := range int64(20) {
		exec(t, a, "INSERT INTO gift VALUES ($1)", i)
		exec(t, b, "SET pollendoor.session = '"+a.PgConn().ParameterStatus("pollendoor.session")+"'")
		var n int64
		if err := b.QueryRow(ctx, "SELECT count(*) FROM gift").Scan(&n); err != nil || n != i+1 {
			t.Fatalf("got %d rows and %v after write %d, want %d", n, err, i, i+1)
		}
	}
}

// code returns the SQLSTATE of an error.
func code(err error) string {
	var pe *pgconn.PgError
	if errors.As(err, &pe) {
		return pe.Code
	}
	return ""
}
