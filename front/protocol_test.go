package front_test

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"math/big"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"

	"github.com/pollendoor/pollendoor/fakes"
	"github.com/pollendoor/pollendoor/front"
)

// TestPipelines sends several statements at once: as a driver's batch, and as a
// pipeline that requests answers with Flush before its Sync.
func TestPipelines(t *testing.T) {
	cluster := newTestCluster(t, 1, fakes.TargetOptions{})
	ctx := context.Background()
	conn := connect(t, cluster.url(0))
	exec(t, conn, "CREATE TABLE gift (id BIGINT)")
	var batch pgx.Batch
	for i := range 3 {
		batch.Queue("INSERT INTO gift VALUES ($1)", i)
	}
	batch.Queue("SELECT count(*) FROM gift")
	var count int
	results := conn.SendBatch(ctx, &batch)
	for range 3 {
		if _, err := results.Exec(); err != nil {
			t.Fatal(err)
		}
	}
	if err := results.QueryRow().Scan(&count); err != nil || count != 3 {
		t.Errorf("got %d rows and error %v in the batch, want 3 rows", count, err)
	}
	if err := results.Close(); err != nil {
		t.Fatal(err)
	}
	pipeline := conn.PgConn().StartPipeline(ctx)
	pipeline.SendQueryParams("INSERT INTO gift VALUES (9)", nil, nil, nil, nil)
	pipeline.SendFlushRequest()
	if err := pipeline.Flush(); err != nil {
		t.Fatal(err)
	}
	if _, err := pipeline.GetResults(); err != nil {
		t.Errorf("got error %v for the part sent with Flush, want its answer", err)
	}
	pipeline.SendQueryParams("INSERT INTO gift VALUES (10)", nil, nil, nil, nil)
	if err := pipeline.Sync(); err != nil {
		t.Fatal(err)
	}
	if err := pipeline.Close(); err != nil {
		t.Fatal(err)
	}
	if err := conn.QueryRow(ctx, "SELECT count(*) FROM gift").Scan(&count); err != nil || count != 5 {
		t.Errorf("got %d rows and error %v after the pipeline, want 5 rows", count, err)
	}
}

// TestLargeAnswer reads an answer that exceeds the session's output buffer and so
// is written in several parts.
func TestLargeAnswer(t *testing.T) {
	cluster := newTestCluster(t, 1, fakes.TargetOptions{})
	conn := connect(t, cluster.url(0))
	rows, err := conn.Query(context.Background(), "WITH RECURSIVE s(n) AS (SELECT 1 UNION ALL SELECT n + 1 FROM s WHERE n < 30000) SELECT n, 'some text to make it longer' FROM s")
	if err != nil {
		t.Fatal(err)
	}
	got := 0
	for rows.Next() {
		got++
	}
	if want := 30000; rows.Err() != nil || got != want {
		t.Errorf("got %d rows and error %v, want %d rows", got, rows.Err(), want)
	}
}

// TestRequiredTLS checks that a server with RequireTLS accepts encrypted
// connections only.
func TestRequiredTLS(t *testing.T) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	cert := &x509.Certificate{SerialNumber: big.NewInt(1), NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour)}
	der, err := x509.CreateCertificate(rand.Reader, cert, cert, key.Public(), key)
	if err != nil {
		t.Fatal(err)
	}
	cluster := newTestCluster(t, 1, fakes.TargetOptions{})
	server := front.NewServer(front.Options{
		Runner: cluster.hosts[0], Access: allowAll{}, RequireTLS: true,
		TLS: &tls.Config{Certificates: []tls.Certificate{{Certificate: [][]byte{der}, PrivateKey: key}}},
	})
	if err := server.Listen("127.0.0.1:0"); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(server.Stop)
	url := "postgres://u:p@" + server.Addr() + "/potes-1?sslmode="
	exec(t, connect(t, url+"require"), "SELECT 1")
	if _, err := pgx.Connect(context.Background(), url+"disable"); sqlState(err) != "28000" {
		t.Errorf("got error %v without encryption, want 28000", err)
	}
}
