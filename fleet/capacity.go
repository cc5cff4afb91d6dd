package fleet

import (
	"fmt"
	"io"
	"math"
	"sync"
	"time"

	"github.com/pollendoor/pollendoor"
	"github.com/pollendoor/pollendoor/adapt"
	"github.com/pollendoor/pollendoor/clock"
	"github.com/pollendoor/pollendoor/eject"
)

// stallPeriod is how often this process notes that it runs.
const stallPeriod = maintainPeriod

// targetLoad is what this VM knows of the load of a target.
type targetLoad struct {
	wait       time.Duration // time in the queue, as the home VM last reported
	service    time.Duration // time of a statement at the target, as the home VM last reported
	reportedAt time.Duration
	avoidUntil time.Duration // end of the target's ejection
	pending    int           // statements of this VM that have not been answered
}

// adaptive reports whether statements of a group are scheduled, and its targets chosen, by
// what the targets have been found to handle well.
func (v *VM) adaptive(group string) bool {
	c := v.Config()
	return c != nil && c.Groups[group].Adaptive
}

// noteLoad records what a reply reports about the load of its target.
func (h *homeVMs) noteLoad(target string, r *pollendoor.Reply) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.loads == nil {
		h.loads = make(map[string]targetLoad)
	}
	l := h.loads[target]
	l.wait, l.reportedAt = r.Delay, clock.Now()
	l.avoidUntil = l.reportedAt + r.Avoid
	if r.Service > 0 {
		l.service = r.Service
	}
	h.loads[target] = l
}

// notePending counts statements of this VM that are on their way to a target.
func (h *homeVMs) notePending(target string, n int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.loads == nil {
		h.loads = make(map[string]targetLoad)
	}
	l := h.loads[target]
	l.pending = max(0, l.pending+n)
	h.loads[target] = l
}

// queueDelayAt returns how long a statement would wait at a target, as its home VM
// last reported.
func (h *homeVMs) queueDelayAt(target string, now time.Duration) time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	l := h.loads[target]
	if now-l.reportedAt > queueDelayLife {
		return 0
	}
	return l.wait
}

// expectedAt returns how long a statement that is sent to a target now may take, and how
// much longer the target is ejected.
func (h *homeVMs) expectedAt(t pollendoor.TargetInfo, now time.Duration) (expected, ejected time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	l := h.loads[t.ID]
	report := adapt.Report{Wait: l.wait, Service: l.service, Age: now - l.reportedAt, Pending: l.pending, Slots: t.Slots}
	return report.Expected(), max(0, l.avoidUntil-now)
}

// forgetLoads forgets the loads of targets that are gone. The caller holds mu.
func (h *homeVMs) forgetLoads() {
	for id := range h.loads {
		if _, ok := h.vm.targets.Get(id); !ok {
			delete(h.loads, id)
		}
	}
}

// stallDetector detects stalls of this process.
type stallDetector struct {
	mu     sync.Mutex
	stalls adapt.Stalls
}

// tick notes that the process runs.
func (d *stallDetector) tick(now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.stalls.Period = stallPeriod
	d.stalls.Tick(now)
}

// since reports whether the process was stalled between from and now.
func (d *stallDetector) since(from, now time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.stalls.Since(from, now)
}

// limitChanged logs and counts a change of the learned limit of a target.
func (v *VM) limitChanged(t pollendoor.TargetInfo, c adapt.Change) {
	v.stats.LimitChanges.Add(1)
	v.Log.Info().Str("target", t.ID).Str("group", t.Group).Int("from", c.From).Int("to", c.To).Int("slots", t.Slots).
		Str("reason", string(c.Reason)).Msg("limit of concurrent statements changed")
}

// targetEjected logs and counts the ejection of a target.
func (v *VM) targetEjected(t pollendoor.TargetInfo, e eject.Ejection) {
	v.stats.countEjection(e.Reason)
	v.Log.Warn().Str("target", t.ID).Str("group", t.Group).Stringer("reason", e.Reason).
		Float64("failures", math.Round(e.Failures)).Float64("answers", math.Round(e.Answers)).
		Dur("for", e.For).Int("round", e.Round).Msg("target ejected")
}

// retryBudget bounds the second attempts of this VM.
type retryBudget struct {
	mu     sync.Mutex
	budget eject.Budget
}

// attempt counts attempt number n of a statement. It reports false if the attempt must
// not be made.
func (b *retryBudget) attempt(n int, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if n <= 1 {
		b.budget.First(now)
		return true
	}
	return b.budget.Retry(now)
}

// Attempt counts attempt number n at a statement for a group. It reports false if the
// attempt must not be made: second attempts have a budget in adaptive groups.
func (v *VM) Attempt(group string, n int) bool {
	if !v.adaptive(group) || v.retries.attempt(n, time.Now()) {
		return true
	}
	v.stats.RetriesRefused.Add(1)
	return false
}

// writeCapacity writes the figures of the learned limits of the targets whose home VM this
// is.
func (h *homeVMs) writeCapacity(w io.Writer) error {
	h.mu.Lock()
	var learned, configured, trials int
	for _, b := range h.brokers {
		if limit, most, tried, ok := b.Learned(); ok {
			learned, configured, trials = learned+limit, configured+most, trials+tried
		}
	}
	h.mu.Unlock()
	_, err := fmt.Fprintf(w, "pollendoor_learned_slots %d\npollendoor_learned_slots_max %d\npollendoor_limit_trials %d\n", learned, configured, trials)
	return err
}
