package fleet

import (
	"sync"
	"time"

	"github.com/pollendoor/pollendoor"
)

const (
	// linesPerSecond bounds the log lines on statements that were served. Those
	// on others have a bound of their own.
	servedLinesPerSecond = 10
	// refusalsPerSecond bounds the lines on statements that were not served.
	refusedLinesPerSecond = 50
)

// lineLimit bounds lines a second and counts those left out.
type logLimiter struct {
	mu      sync.Mutex
	second  int64
	written int
	omitted int
}

// allow reports whether a line may be written, and how many were left out since
// the last one.
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

// Decided counts and logs the outcome of a statement.
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
	if d.Outcome != "" {
		event = event.Str("outcome", string(d.Outcome)).Str("cause", d.Cause)
	} else {
		event = event.Str("outcome", "OK")
	}
	event.Msg("statement")
}
