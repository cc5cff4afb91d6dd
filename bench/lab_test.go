package bench_test

import (
	"context"
	"testing"

	"github.com/jackc/pgx/v5"

	"github.com/pollendoor/pollendoor/bench"
)

// TestLab writes through each VM of a fleet in turn, whether it is a home VM of
// the group or not, and checks that each read there shows all writes so far,
// also those through other VMs, by the session token.
func TestLab(t *testing.T) {
	ctx := context.Background()
	l, err := bench.StartLab(ctx, bench.LabOptions{VMsPerZone: 3})
	if err != nil {
		t.Fatal(err)
	}
	defer l.Stop()
	token := ""
	for i := range l.Nodes() {
		c, err := pgx.Connect(ctx, l.URL(i, "festa", "potes/potes-1")+"&pollendoor.session="+token)
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close(ctx)
		if i == 0 {
			if _, err := c.Exec(ctx, "CREATE TABLE gift (id BIGINT)"); err != nil {
				t.Fatal(err)
			}
		}
		if _, err := c.Exec(ctx, "INSERT INTO gift VALUES ($1)", i); err != nil {
			t.Fatalf("VM %d: %v", i, err)
		}
		var n int
		if err := c.QueryRow(ctx, "SELECT count(*) FROM gift").Scan(&n); err != nil || n != i+1 {
			t.Errorf("VM %d: got %d rows and error %v, want %d rows", i, n, err, i+1)
		}
		token = c.PgConn().ParameterStatus("pollendoor.session")
	}
}
