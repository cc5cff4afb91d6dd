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

// allowAll is a pollendoor.Access that accepts all callers without limits. The
// route is used as the name of the database group.
type allowAll struct{}

func (allowAll) Login(route, _, _ string) (pollendoor.Grant, *pollendoor.Refusal) {
	return pollendoor.Grant{Team: "team", Route: route}, nil
}

func (allowAll) Check(g pollendoor.Grant) (pollendoor.Policy, *pollendoor.Refusal) {
	return pollendoor.Policy{Group: g.Route, Timeout: 10 * time.Second}, nil
}
func (allowAll) Admit(pollendoor.Grant, int) *pollendoor.Refusal { return nil }
func (allowAll) Changed() <-chan struct{}                        { return nil }
func (allowAll) Report(pollendoor.Grant, pollendoor.Observation) {}

// testCluster is a database group of three targets, served by several VMs.
type testCluster struct {
	platform *fakes.Platform
	group    *fakes.Group
	servers  []*front.Server
	hosts    []*runner.Host
}

// newTestCluster starts a platform, a group and the given number of VMs, and waits
// until all VMs are ready.
func newTestCluster(t *testing.T, vms int, options fakes.TargetOptions) *testCluster {
	t.Helper()
	ctx := context.Background()
	cluster := &testCluster{platform: &fakes.Platform{}}
	if err := cluster.platform.Start(""); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(cluster.platform.Stop)
	options.User, options.Password = "system", "secret"
	group, err := fakes.StartGroup("potes-1", []string{"a", "b", "c"}, options)
	if err != nil {
		t.Fatal(err)
	}
	cluster.group = group
	t.Cleanup(group.Stop)
	if err := group.Register(ctx, &store.Client{Base: cluster.platform.Addr()}); err != nil {
		t.Fatal(err)
	}
	for i := range vms {
		name := fmt.Sprintf("vm%d", i)
		host := runner.NewHost(runner.Options{
			VM: name, Zone: []string{"a", "b", "c"}[i%3], User: "system", Password: "secret", Connections: 4,
			Store: &store.Client{Base: cluster.platform.Addr(), VM: name},
			Rank:  func(string) (int, bool) { return i, true },
		})
		host.Start()
		t.Cleanup(host.Stop)
		server := front.NewServer(front.Options{Runner: host, Access: allowAll{}})
		if err := server.Listen("127.0.0.1:0"); err != nil {
			t.Fatal(err)
		}
		t.Cleanup(server.Stop)
		cluster.servers = append(cluster.servers, server)
		cluster.hosts = append(cluster.hosts, host)
		for host.Ready() != nil {
			time.Sleep(5 * time.Millisecond)
		}
	}
	return cluster
}

// url returns the connection URL of a VM.
func (tc *testCluster) url(vm int) string {
	return "postgres://u:p@" + tc.servers[vm].Addr() + "/potes-1?sslmode=disable"
}

func connect(t *testing.T, url string) *pgx.Conn {
	t.Helper()
	conn, err := pgx.Connect(context.Background(), url)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close(context.Background()) })
	return conn
}

func exec(t *testing.T, conn *pgx.Conn, sql string, args ...any) {
	t.Helper()
	if _, err := conn.Exec(context.Background(), sql, args...); err != nil {
		t.Fatalf("%s: %v", sql, err)
	}
}

// TestMixedTraffic runs reads, writes and transactions through two VMs in the
// query modes of drivers, and checks that every change was stored.
func TestMixedTraffic(t *testing.T) {
	cluster := newTestCluster(t, 2, fakes.TargetOptions{Slots: 3, Connections: 20, Lag: 5 * time.Millisecond})
	conn := connect(t, cluster.url(0))
	exec(t, conn, "CREATE TABLE gift (id BIGINT PRIMARY KEY, amount BIGINT NOT NULL, who TEXT)")
	for _, mode := range []string{"cache_statement", "simple_protocol", "exec"} {
		t.Run(mode, func(t *testing.T) {
			exec(t, conn, "DELETE FROM gift")
			runMixedTraffic(t, cluster, mode, conn.PgConn().ParameterStatus("pollendoor.session"))
		})
	}
}

// runMixedTraffic runs rounds of several workers through all VMs in one query
// mode. The sessions start with the given token.
func runMixedTraffic(t *testing.T, cluster *testCluster, mode, token string) {
	const workers, rounds = 50, 4
	ctx := context.Background()
	var pools []*pgxpool.Pool
	for vm := range cluster.servers {
		pool, err := pgxpool.New(ctx, cluster.url(vm)+"&pool_max_conns=25&default_query_exec_mode="+mode+"&pollendoor.session="+token)
		if err != nil {
			t.Fatal(err)
		}
		defer pool.Close()
		pools = append(pools, pool)
	}
	var wg sync.WaitGroup
	for worker := range workers {
		wg.Go(func() {
			for i := range rounds {
				if err := runMixedTrafficRound(ctx, pools[(worker+i)%len(pools)], int64(worker*rounds+i)); err != nil {
					t.Errorf("worker %d: %v", worker, err)
					return
				}
			}
		})
	}
	wg.Wait()
	// A transaction that may write reads at the primary, which has all changes.
	var count, sum int64
	err := pgx.BeginFunc(ctx, pools[0], func(tx pgx.Tx) error {
		return tx.QueryRow(ctx, "SELECT count(*), sum(amount) FROM gift").Scan(&count, &sum)
	})
	if want := int64(workers * rounds); err != nil || count != want || sum != want*7 {
		t.Errorf("got %d rows, sum %d and error %v, want %d rows, sum %d", count, sum, err, want, want*7)
	}
}

// runMixedTrafficRound writes a row, reads it back in the same session and changes
// it in a transaction.
func runMixedTrafficRound(ctx context.Context, pool *pgxpool.Pool, id int64) error {
	conn, err := pool.Acquire(ctx)
	if err != nil {
		return err
	}
	defer conn.Release()
	if _, err := conn.Exec(ctx, "INSERT INTO gift (id, amount, who) VALUES ($1, $2, $3)", id, int64(5), "o'neill"); err != nil {
		return err
	}
	var amount int64
	if err := conn.QueryRow(ctx, "SELECT amount FROM gift WHERE id = $1", id).Scan(&amount); err != nil || amount != 5 {
		return fmt.Errorf("got amount %d after the insert, want 5: %w", amount, err)
	}
	return pgx.BeginFunc(ctx, conn, func(tx pgx.Tx) error {
		if _, err := tx.Exec(ctx, "UPDATE gift SET amount = amount + 2 WHERE id = $1", id); err != nil {
			return err
		}
		if err := tx.QueryRow(ctx, "SELECT amount FROM gift WHERE id = $1", id).Scan(&amount); err != nil || amount != 7 {
			return fmt.Errorf("got amount %d within the transaction, want 7: %w", amount, err)
		}
		return nil
	})
}

// TestReadYourWritesWhileRoaming passes the session token after each write to a
// session at another VM, which must read the write.
func TestReadYourWritesWhileRoaming(t *testing.T) {
	cluster := newTestCluster(t, 2, fakes.TargetOptions{Lag: 30 * time.Millisecond})
	ctx := context.Background()
	writer, reader := connect(t, cluster.url(0)), connect(t, cluster.url(1))
	exec(t, writer, "CREATE TABLE gift (id BIGINT)")
	for i := range int64(20) {
		exec(t, writer, "INSERT INTO gift VALUES ($1)", i)
		exec(t, reader, "SET pollendoor.session = '"+writer.PgConn().ParameterStatus("pollendoor.session")+"'")
		var count int64
		if err := reader.QueryRow(ctx, "SELECT count(*) FROM gift").Scan(&count); err != nil || count != i+1 {
			t.Fatalf("got %d rows and error %v after write %d, want %d rows", count, err, i, i+1)
		}
	}
}

// sqlState returns the SQLSTATE of an error, empty if it has none.
func sqlState(err error) string {
	var pgErr *pgconn.PgError
	if errors.As(err, &pgErr) {
		return pgErr.Code
	}
	return ""
}
