package node_test

import (
	"bytes"
	"context"
	"errors"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgconn"
	"github.com/rs/zerolog"

	"github.com/pollendoor/pollendoor/bench"
	"github.com/pollendoor/pollendoor/node"
	"github.com/pollendoor/pollendoor/tree"
)

// sqlState returns the SQLSTATE of an error, empty if it has none.
func sqlState(err error) string {
	var pe *pgconn.PgError
	if errors.As(err, &pe) {
		return pe.Code
	}
	return ""
}

// startLab starts a lab that is stopped when the test ends.
func startLab(t *testing.T, o bench.LabOptions) *bench.Lab {
	t.Helper()
	l, err := bench.StartLab(context.Background(), o)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(l.Stop)
	return l
}

// TestKeysAndRoutes checks that a key admits only its own team, only to the routes
// of that team, and that two keys of a team can be live at the same time.
func TestKeysAndRoutes(t *testing.T) {
	ctx := context.Background()
	l := startLab(t, bench.LabOptions{Groups: []string{"potes/potes-1", "outro/outro-1"}})
	n := l.Nodes()[0]
	_, v := n.Branch("/teams/festa")
	edit := tree.Edit{Path: "/teams/festa", YAML: "rate: 1000\nburst: 1000\nroutes: [potes/]", Based: v, By: "test"}
	if _, err := n.Edit(ctx, edit); err != nil {
		t.Fatal(err)
	}
	second, err := n.CreateKey(ctx, node.KeyRequest{Team: "festa", ID: "k2", By: "test"})
	if err != nil {
		t.Fatal(err)
	}
	for n.SettingsVersion("/teams/festa") <= v {
		time.Sleep(time.Millisecond)
	}
	good := l.URL(0, "festa", "potes/potes-1")
	tests := []struct {
		name, url, want string
	}{
		{"own key", good, ""},
		{"second key", strings.Replace(strings.Replace(good, "festa.k1", "festa.k2", 1), l.Secrets["festa"], second.Secret, 1), ""},
		{"wrong secret", strings.Replace(good, l.Secrets["festa"], "guess", 1), "28P01"},
		{"other team's name", strings.Replace(good, "festa.k1", "loja.k1", 1), "28P01"},
		{"secret of another key", strings.Replace(good, "festa.k1", "festa.k2", 1), "28P01"},
		{"route of another team", l.URL(0, "festa", "outro/outro-1"), "42501"},
		{"no such route", l.URL(0, "festa", "potes/none"), "3D000"},
	}
	for _, tc := range tests {
		var c *pgx.Conn
		var err error
		for range 200 { // the second key is in force only after it has reached this VM
			if c, err = pgx.Connect(ctx, tc.url); sqlState(err) == tc.want {
				break
			}
			time.Sleep(5 * time.Millisecond)
		}
		if sqlState(err) != tc.want {
			t.Errorf("%s: got %v, want code %q", tc.name, err, tc.want)
		}
		if c != nil {
			c.Close(ctx)
		}
	}
}

// syncBuffer is a bytes.Buffer that is safe for concurrent writes.
type syncBuffer struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (b *syncBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.b.Write(p)
}

// TestSecretsStayInside checks that a key's secret does not appear in logs, in
// errors, or in the data of targets and the platform.
func TestSecretsStayInside(t *testing.T) {
	ctx := context.Background()
	var log syncBuffer
	l := startLab(t, bench.LabOptions{Log: zerolog.New(&log)})
	secret := l.Secrets["festa"]
	url := l.URL(0, "festa", "potes/potes-1")
	c, err := pgx.Connect(ctx, url)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close(ctx)
	if _, err := c.Exec(ctx, "CREATE TABLE gift (id TEXT)"); err != nil {
		t.Fatal(err)
	}
	if _, err := c.Exec(ctx, "INSERT INTO gift VALUES ('a') /*pollendoor.requestId='r'*/"); err != nil {
		t.Fatal(err)
	}
	_, err = pgx.Connect(ctx, strings.Replace(url, "festa.k1", "festa.k9", 1))
	var pe *pgconn.PgError
	if !errors.As(err, &pe) || strings.Contains(pe.Message+pe.Detail+pe.Hint, secret) {
		t.Errorf("got %v, want a refusal that does not contain the secret", err)
	}
	log.mu.Lock()
	defer log.mu.Unlock()
	places := map[string]string{"log": log.b.String(), "platform": l.Platform.Dump()}
	for _, tg := range l.Group("potes/potes-1").Targets {
		places["target "+tg.Name()] = tg.Dump()
	}
	for name, text := range places {
		if text == "" {
			t.Errorf("got no text from the %s, want some to search", name)
		}
		if strings.Contains(text, secret) {
			t.Errorf("got the secret in the %s, want no occurrence", name)
		}
	}
}

// TestStoreOutageLongerThanKeyStaleness checks that keys are still accepted while
// the store is unreachable from all zones for longer than keyStaleness, and are
// refused in a zone that is cut off from the others.
func TestStoreOutageLongerThanKeyStaleness(t *testing.T) {
	ctx := context.Background()
	l := startLab(t, bench.LabOptions{Settings: "keyStaleness: 1s"})
	time.Sleep(time.Second) // long enough for the watches to be answered
	l.Platform.SetDown(true)
	time.Sleep(2500 * time.Millisecond)
	for i := range l.Nodes() {
		c, err := pgx.Connect(ctx, l.URL(i, "festa", "potes/potes-1"))
		if err != nil {
			t.Errorf("VM %d: got %v while the store is unreachable, want a connection", i, err)
			continue
		}
		c.Close(ctx)
	}
	l.CutZone(l.Nodes()[0].PeerVM().Zone, true)
	time.Sleep(2500 * time.Millisecond)
	if _, err := pgx.Connect(ctx, l.URL(0, "festa", "potes/potes-1")); sqlState(err) != "57P03" {
		t.Errorf("got %v in a zone that is cut off, want 57P03", err)
	}
}
