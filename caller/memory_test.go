package caller_test

import (
	"bytes"
	"fmt"
	"strings"
	"testing"

	"github.com/pollendoor/pollendoor"
	"github.com/pollendoor/pollendoor/caller"
)

// Guards against a VM that ends by its memory: one caller prepared statements without a
// bound. Other sessions keep what they have and may go on.
func TestSessionStateIsBounded(t *testing.T) {
	c := newCluster(pollendoor.KindPrimary)
	m := &caller.Memory{Session: 10_000, Total: 15_000}
	sessions := caller.Sessions{Cluster: c, Memory: m}
	open := func() pollendoor.Session {
		t.Helper()
		s, code := sessions.Open(database, key)
		if code != "" {
			t.Fatalf("got code %q, want a session", code)
		}
		return s
	}
	text := strings.Repeat("x", 2000)
	prepare := func(s pollendoor.Session, name, text string) pollendoor.ErrorCode {
		r := s.Handle(&pollendoor.Statement{ID: "1", Verb: pollendoor.VerbPrepare, Name: name, Shape: pollendoor.Shape{Verb: pollendoor.VerbRead, Text: text}})
		return r.Code
	}
	set := func(s pollendoor.Session, name, text string) pollendoor.ErrorCode {
		r := s.Handle(&pollendoor.Statement{ID: "1", Verb: pollendoor.VerbSet, Name: name, Value: text})
		return r.Code
	}
	flood := open()
	accepted := 0
	for i := range 100 {
		if prepare(flood, fmt.Sprint(i), text) == "" {
			accepted++
		}
	}
	if accepted != 4 {
		t.Errorf("got %d statements prepared, want the 4 that fit into the session's limit", accepted)
	}
	if code := set(flood, "big", text); code != pollendoor.ErrBusy {
		t.Errorf("value beyond the limit: got code %q, want BUSY", code)
	}
	if code := prepare(flood, "0", "short"); code != "" {
		t.Errorf("shorter text under the same name: got code %q, want success", code)
	}
	if code := set(flood, "big", text); code != "" {
		t.Errorf("value that fits again: got code %q, want success", code)
	}
	other := open()
	if code := set(other, "lang", "pt"); code != "" {
		t.Errorf("another session: got code %q, want success", code)
	}
	second := open()
	for i := range 4 {
		prepare(second, fmt.Sprint(i), text)
	}
	if got := m.Used(); got > m.Total {
		t.Errorf("got %d bytes kept, want at most %d", got, m.Total)
	}
	flood.Close()
	flood.Close()
	if code := prepare(second, "again", text); code != "" {
		t.Errorf("after the first session has ended: got code %q, want success", code)
	}
	second.Close()
	other.Close()
	if got := m.Used(); got != 0 {
		t.Errorf("got %d bytes kept without a session, want 0", got)
	}
	var out bytes.Buffer
	if err := m.WriteMetrics(&out); err != nil || !strings.Contains(out.String(), "pollendoor_session_state_refused_total 9") {
		t.Errorf("got metrics %q (%v), want the refusals", out.String(), err)
	}
}
