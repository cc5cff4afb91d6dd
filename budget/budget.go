// Package budget counts good and bad statements by team and computes the burn rate of
// each team's error budget. A statement is bad if the system refused it although the
// team was within its rate, if its outcome is unknown, or if it took longer than the
// team's objective allows.
package budget

import (
	"encoding/json"
	"sort"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/pollendoor/pollendoor"
)

const (
	// Slot is the period that one Count of a Summary covers.
	Slot = 10 * time.Second
	// maxSlots is the number of slots that a VM keeps per team.
	maxSlots = 360
)

// Windows are the periods over which the burn rate is computed.
var Windows = []time.Duration{time.Minute, 5 * time.Minute, time.Hour}

// Count holds the numbers of one team's statements by result, in one slot or summed
// over several.
type Count struct {
	Good     int64 `json:"good"`
	Late     int64 `json:"late,omitempty"`     // slower than the team's objective allows
	Refused  int64 `json:"refused,omitempty"`  // refused by the system although the team was within its rate
	Unknown  int64 `json:"unknown,omitempty"`  // statements with unknown outcome
	OverRate int64 `json:"overRate,omitempty"` // refused because the team was over its rate; neither good nor bad
	Reads    int64 `json:"reads,omitempty"`    // reads, whatever their result, without those over the rate
	Replica  int64 `json:"replica,omitempty"`  // reads served by replicas
}

func (c *Count) add(o Count) {
	c.Good += o.Good
	c.Late += o.Late
	c.Refused += o.Refused
	c.Unknown += o.Unknown
	c.OverRate += o.OverRate
	c.Reads += o.Reads
	c.Replica += o.Replica
}

// Bad returns the number of bad statements.
func (c Count) Bad() int64 { return c.Late + c.Refused + c.Unknown }

// objective is a team's service-level objective: the fraction of statements that must
// be good, and the latency above which a statement is late.
type objective struct {
	Share float64       `json:"share"`
	Late  time.Duration `json:"late"`
}

// Summary holds the counts that one VM stores on the platform.
type Summary struct {
	VM         string                     `json:"vm"`         // name of the VM
	Objectives map[string]objective       `json:"objectives"` // by team
	Slots      map[string]map[int64]Count `json:"slots"`      // by team and slot number, which is the Unix time divided by Slot
}

// Recorder counts the statements of one VM. The zero value is ready to use. It is safe
// for concurrent use.
type Recorder struct {
	mu         sync.Mutex
	slots      map[string]map[int64]Count // by team and slot number
	objectives map[string]objective       // by team
}

// SetObjective sets a team's service-level objective: share is the fraction of
// statements that must be good, late the latency above which a statement is late.
func (b *Recorder) SetObjective(team string, share float64, late time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.objectives == nil {
		b.objectives = make(map[string]objective)
	}
	b.objectives[team] = objective{Share: share, Late: late}
}

// Record counts one statement of a team at time now.
func (b *Recorder) Record(team string, o pollendoor.Observation, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.slots == nil {
		b.slots = make(map[string]map[int64]Count)
	}
	m := b.slots[team]
	if m == nil {
		m = make(map[int64]Count)
		b.slots[team] = m
	}
	n := now.Unix() / int64(Slot.Seconds())
	c, exists := m[n]
	c.add(classify(o, b.objectives[team]))
	m[n] = c
	if !exists {
		for k := range m {
			if k <= n-maxSlots {
				delete(m, k)
			}
		}
	}
}

// classify returns the count of a single statement.
func classify(o pollendoor.Observation, goal objective) Count {
	var c Count
	if o.Read {
		c.Reads = 1
		if o.Replica {
			c.Replica = 1
		}
	}
	switch {
	case o.Code == pollendoor.CodeRateExceeded:
		return Count{OverRate: 1}
	case o.Outcome == pollendoor.Unknown:
		c.Unknown = 1
	case o.Code == pollendoor.CodeNoPrimary || o.Code == pollendoor.CodeQueueFull || o.Code == pollendoor.CodeDeadline || o.Code == pollendoor.CodeShutdown:
		c.Refused = 1
	case goal.Late > 0 && o.Latency > goal.Late:
		c.Late = 1
	default:
		c.Good = 1
	}
	return c
}

// Summary returns the encoded Summary to store on the platform.
func (b *Recorder) Summary(vm string) ([]byte, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	raw, err := json.Marshal(Summary{VM: vm, Objectives: b.objectives, Slots: b.slots})
	return raw, errors.Wrap(err, "encode burn summary")
}

// Row is one team's burn rate over one window.
type Row struct {
	Team      string        `json:"team"`
	Window    time.Duration `json:"window"`
	Objective float64       `json:"objective"` // fraction of statements that must be good
	Count     Count         `json:"count"`     // statements in the window
	// Burn is the fraction of bad statements divided by the fraction that the
	// objective allows: at 1 the budget is used up exactly.
	Burn float64 `json:"burn"`
}

// Report adds up the summaries of all VMs and returns a row per team and window,
// sorted by team and window.
func Report(list []Summary, now time.Time) []Row {
	objectives := make(map[string]objective)
	for _, s := range list {
		for t, o := range s.Objectives {
			objectives[t] = o
		}
	}
	var rows []Row
	for t, goal := range objectives {
		for _, w := range Windows {
			r := Row{Team: t, Window: w, Objective: goal.Share}
			from := now.Add(-w).Unix() / int64(Slot.Seconds())
			for _, s := range list {
				for n, c := range s.Slots[t] {
					if n > from {
						r.Count.add(c)
					}
				}
			}
			if total := r.Count.Good + r.Count.Bad(); total > 0 && goal.Share < 1 {
				r.Burn = float64(r.Count.Bad()) / float64(total) / (1 - goal.Share)
			}
			rows = append(rows, r)
		}
	}
	sort.Slice(rows, func(i, j int) bool {
		if rows[i].Team != rows[j].Team {
			return rows[i].Team < rows[j].Team
		}
		return rows[i].Window < rows[j].Window
	})
	return rows
}

// Series returns a team's counts in each slot of the last window, oldest first.
func Series(list []Summary, team string, window time.Duration, now time.Time) []Count {
	last := now.Unix() / int64(Slot.Seconds())
	counts := make([]Count, int(window/Slot))
	for _, s := range list {
		for n, c := range s.Slots[team] {
			if i := len(counts) - 1 - int(last-n); i >= 0 && i < len(counts) {
				counts[i].add(c)
			}
		}
	}
	return counts
}
