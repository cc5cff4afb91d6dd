package bench_test

import (
	"context"
	"testing"

	"github.com/jackc/pgx/v5"

	"github.com/pollendoor/pollendoor/bench"
)

// TestLab writes through every VM of a fleet, homes or not, and reads it back
// through the next one by token.
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
			t.Errorf("VM %d: got %d rows and %v, want %d", i, n, err, i+1)
		}
		token = c.PgConn().ParameterStatus("pollendoor.session")
	}
}
