package caller

import (
	"fmt"
	"io"
	"sync/atomic"

	"github.com/pollendoor/pollendoor"
)

// Memory bounds what sessions keep for their callers: session values and prepared
// statements. Without it, one caller could use up the memory of the VM. The zero value has
// no limits. It is safe for concurrent use.
type Memory struct {
	Session int64 // bytes that one session may keep, zero for no limit
	Total   int64 // bytes that all sessions together may keep, zero for no limit

	used    atomic.Int64
	refused atomic.Int64
}

// entryOverhead is what a value or a prepared statement takes besides its text, in bytes.
const entryOverhead = 96

// NewMemory returns the limits for a VM with a number of bytes of memory, zero for no limits.
// All sessions together may keep an eighth of it, and one session an eighth of that.
func NewMemory(bytes int64) *Memory { return &Memory{Session: bytes / 64, Total: bytes / 8} }

// Used returns the number of bytes that all sessions keep.
func (m *Memory) Used() int64 { return m.used.Load() }

// reserve adds the growth of a session to what is used. It returns a text, and adds nothing,
// if a limit would be exceeded. Session is what the session keeps already.
func (m *Memory) reserve(session, growth int64) string {
	if growth > 0 && m.Session > 0 && session+growth > m.Session {
		m.refused.Add(1)
		return fmt.Sprintf("values and prepared statements of the session would take more than %d bytes", m.Session)
	}
	if used := m.used.Add(growth); growth > 0 && m.Total > 0 && used > m.Total {
		m.used.Add(-growth)
		m.refused.Add(1)
		return fmt.Sprintf("values and prepared statements of all sessions would take more than %d bytes", m.Total)
	}
	return ""
}

// WriteMetrics writes gauges and counters as text, one name and value per line.
func (m *Memory) WriteMetrics(w io.Writer) error {
	_, err := fmt.Fprintf(w, "pollendoor_session_state_bytes %d\npollendoor_session_state_refused_total %d\n", m.used.Load(), m.refused.Load())
	return err
}

// resize changes what the session keeps from before to after bytes. It reports false with a
// refusal if that is too much.
func (s *Session) resize(q *pollendoor.Statement, before, after int64) (pollendoor.Reply, bool) {
	if s.memory == nil {
		return pollendoor.Reply{}, true
	}
	if text := s.memory.reserve(s.kept, after-before); text != "" {
		s.cluster.Decided(&pollendoor.Decision{ID: q.ID, Database: s.database, Verb: q.Verb, Outcome: pollendoor.ErrBusy, Cause: text})
		return s.refuse(pollendoor.ErrBusy, text), false
	}
	s.kept += after - before
	return pollendoor.Reply{}, true
}

// releaseMemory gives back what the session keeps.
func (s *Session) releaseMemory() {
	if s.memory != nil {
		s.memory.reserve(0, -s.kept)
		s.kept = 0
	}
}

// entrySize returns what a value or a prepared statement takes, zero if it is not there.
func entrySize(name, value string, exists bool) int64 {
	if !exists {
		return 0
	}
	return int64(len(name)+len(value)) + entryOverhead
}
