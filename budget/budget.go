// Package budget counts good and bad statements by team and works out how fast
// each team's error budget burns. A statement is bad if the system refused it
// though the team was within its rate, if its outcome is unknown, or if it took
// longer than the team's objective allows.
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
	// Slot is the time that one counter covers.
	Slot = 10 * time.Second
	// keepSlots is how many slots a VM keeps.
	maxSlots = 360
)

// Windows are the times over which burn is worked out.
var Windows = []time.Duration{time.Minute, 5 * time.Minute, time.Hour}

// Count is the statements of one team in one slot.
type Count struct {
	Good     int64 `json:"good"`
	Late     int64 `json:"late,omitempty"`
	Refused  int64 `json:"refused,omitempty"`  // by the system, within the rate
	Unknown  int64 `json:"unknown,omitempty"`  // outcome not known
	OverRate int64 `json:"overRate,omitempty"` // refused over the rate: nobody's fault
	Reads    int64 `json:"reads,omitempty"`
	Replica  int64 `json:"replica,omitempty"` // reads that replicas served
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

// Bad returns how many statements were not good.
func (c Count) Bad() int64 { return c.Late + c.Refused + c.Unknown }

// objective is what a team was promised.
type objective struct {
	Share float64       `json:"share"`
	Late  time.Duration `json:"late"`
}

// Summary is what one VM keeps on the platform.
type Summary struct {
	VM         string                     `json:"vm"`
	Objectives map[string]objective       `json:"objectives"`
	Slots      map[string]map[int64]Count `json:"slots"` // by team and slot number
}

// Recorder counts on one VM. The zero value is ready to use. It is safe for use by
// several goroutines.
type Recorder struct {
	mu         sync.Mutex
	slots      map[string]map[int64]Count
	objectives map[string]objective
}

// SetObjective sets what a team is promised.
func (b *Recorder) SetObjective(team string, share float64, late time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.objectives == nil {
		b.objectives = make(map[string]objective)
	}
	b.objectives[team] = objective{Share: share, Late: late}
}

// Record counts one statement.
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
	case o.Fate == pollendoor.Unknown:
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

// Summary returns what is to be kept on the platform.
func (b *Recorder) Summary(vm string) ([]byte, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	raw, err := json.Marshal(Summary{VM: vm, Objectives: b.objectives, Slots: b.slots})
	return raw, errors.Wrap(err, "burn summary")
}

// Row is one team's burn over one window.
type Row struct {
	Team      string        `json:"team"`
	Window    time.Duration `json:"window"`
	Objective float64       `json:"objective"`
	Count     Count         `json:"count"`
	// Burn is the share of bad statements over what the objective allows: 1
	// uses up the budget exactly.
	Burn float64 `json:"burn"`
}

// Report adds up summaries of all VMs.
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

// Series returns a team's burn in each slot of the last window, oldest first.
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
