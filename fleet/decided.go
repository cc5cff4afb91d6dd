package fleet

import (
	"sync"
	"time"

	"github.com/pollendoor/pollendoor"
)

const (
	// linesPerSecond bounds the log lines on statements that were served. Those
	// on others have a bound of their own.
	linesPerSecond = 10
	// refusalsPerSecond bounds the lines on statements that were not served.
	refusalsPerSecond = 50
)

// lineLimit bounds lines a second and counts those left out.
type lineLimit struct {
	mu     sync.Mutex
	second int64
	n      int
	left   int
}

// allow reports whether a line may be written, and how many were left out since
// the last one.
func (l *lineLimit) allow(now time.Time, most int) (bool, int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if s := now.Unix(); s != l.second {
		l.second, l.n = s, 0
	}
	if l.n >= most {
		l.left++
		return false, 0
	}
	l.n++
	left := l.left
	l.left = 0
	return true, left
}

// Decided counts and logs the outcome of a statement.
func (v *VM) Decided(d *pollendoor.Decision) {
	v.stats.add(d)
	limit, most, e := &v.served, linesPerSecond, v.Log.Info()
	if d.Outcome != "" {
		limit, most, e = &v.refused, refusalsPerSecond, v.Log.Warn()
	}
	ok, left := limit.allow(time.Now(), most)
	if !ok {
		return
	}
	if left > 0 {
		e = e.Int("linesLeftOut", left)
	}
	e = e.Str("id", d.ID).Str("database", d.Database).Str("group", d.Group).Str("team", d.Team).
		Str("verb", d.Verb.String()).Str("target", d.Target).Bool("replica", d.Replica).
		Int("attempts", d.Attempts).Dur("took", d.Took).Uint64("config", d.Version).Uint64("epoch", d.Epoch)
	if !d.After.IsZero() {
		e = e.Stringer("after", d.After).Dur("sampleAge", d.SampleAge)
	}
	if len(d.Tried) > 0 {
		e = e.Strs("tried", d.Tried)
	}
	if d.Outcome != "" {
		e = e.Str("outcome", string(d.Outcome)).Str("cause", d.Cause)
	} else {
		e = e.Str("outcome", "OK")
	}
	e.Msg("statement")
}
