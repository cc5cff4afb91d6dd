package fleet

import (
	"sync"
	"time"

	"github.com/pollendoor/pollendoor"
)

const (
	// servedLinesPerSecond bounds the log lines on statements that were served.
	// Lines on other statements have a bound of their own.
	servedLinesPerSecond = 10
	// refusedLinesPerSecond bounds the log lines on statements that were not served.
	refusedLinesPerSecond = 50
)

// logLimiter bounds log lines per second and counts those that were omitted.
type logLimiter struct {
	mu      sync.Mutex
	second  int64 // Unix time that written refers to, in seconds
	written int   // lines allowed in that second
	omitted int   // lines refused since the last one allowed
}

// allow reports whether a line may be written, and how many lines have been omitted
// since the last one.
func (l *logLimiter) allow(now time.Time, perSecond int) (bool, int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if s := now.Unix(); s != l.second {
		l.second, l.written = s, 0
	}
	if l.written >= perSecond {
		l.omitted++
		return false, 0
	}
	l.written++
	omitted := l.omitted
	l.omitted = 0
	return true, omitted
}

// Decided counts a statement's outcome and logs it, unless too many statements have
// been logged in the same second.
func (v *VM) Decided(d *pollendoor.Decision) {
	v.stats.add(d)
	limiter, perSecond, event := &v.servedLog, servedLinesPerSecond, v.Log.Info()
	if d.Outcome != "" {
		limiter, perSecond, event = &v.refusedLog, refusedLinesPerSecond, v.Log.Warn()
	}
	ok, omitted := limiter.allow(time.Now(), perSecond)
	if !ok {
		return
	}
	if omitted > 0 {
		event = event.Int("linesLeftOut", omitted)
	}
	event = event.Str("id", d.ID).Str("database", d.Database).Str("group", d.Group).Str("team", d.Team).
		Str("verb", d.Verb.String()).Str("target", d.Target).Bool("replica", d.Replica).
		Int("attempts", d.Attempts).Dur("took", d.Took).Uint64("config", d.Version).Uint64("epoch", d.Epoch)
	if !d.After.IsZero() {
		event = event.Stringer("after", d.After).Dur("sampleAge", d.SampleAge)
	}
	if len(d.Tried) > 0 {
		event = event.Strs("tried", d.Tried)
	}
	if d.ReplicaWait > 0 {
		event = event.Dur("replicaWait", d.ReplicaWait)
	}
	if q := d.Queue; q != nil {
		event = event.Int("queued", q.Length).Dur("expectedWait", q.Expected).Dur("waited", q.Waited)
		if q.Reason != "" {
			event = event.Str("queueReason", q.Reason)
		}
	}
	if d.Outcome != "" {
		event = event.Str("outcome", string(d.Outcome)).Str("cause", d.Cause)
	} else {
		event = event.Str("outcome", "OK")
	}
	event.Msg("statement")
}
