package fleet

import (
	"cmp"
	"fmt"
	"io"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/pollendoor/pollendoor"
)

const (
	// maxCountedTeams bounds the teams that are counted, and reportedTeams those in the
	// metrics. A team that is counted for the first time when there are as many takes the
	// place of the one with the fewest statements.
	maxCountedTeams = 64
	reportedTeams   = 10
	// maxCountedPriority bounds the label values of priorities.
	maxCountedPriority = 9
)

// queueStats counts what became of statements in the queues of adaptive groups' targets
// whose home VM this VM is. The zero value is ready for use.
type queueStats struct {
	mu      sync.Mutex
	results map[queueResult]int64
	waits   map[int]time.Duration // by priority
	teams   map[string]*teamQueue
}

// queueResult is what became of a statement. Reason is empty if it got a slot.
type queueResult struct {
	reason   string
	priority int
}

// teamQueue counts the statements of one team.
type teamQueue struct {
	team            string
	served, refused int64
	waited          time.Duration
}

// total returns the number of the team's statements.
func (t *teamQueue) total() int64 { return t.served + t.refused }

// add counts a statement that has left a queue.
func (s *queueStats) add(team string, priority int, q pollendoor.QueueState) {
	priority = max(0, min(priority, maxCountedPriority))
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.results == nil {
		s.results, s.waits, s.teams = make(map[queueResult]int64), make(map[int]time.Duration), make(map[string]*teamQueue)
	}
	s.results[queueResult{q.Reason, priority}]++
	s.waits[priority] += q.Waited
	t := s.teams[team]
	if t == nil {
		if len(s.teams) >= maxCountedTeams {
			delete(s.teams, slices.MinFunc(slices.Collect(maps.Values(s.teams)), largerTeam).team)
		}
		t = &teamQueue{team: team}
		s.teams[team] = t
	}
	t.waited += q.Waited
	if q.Reason == "" {
		t.served++
	} else {
		t.refused++
	}
}

// largerTeam orders teams by their number of statements, then by name.
func largerTeam(a, b *teamQueue) int {
	return cmp.Or(cmp.Compare(a.total(), b.total()), cmp.Compare(a.team, b.team))
}

// largest returns the teams with the most statements. The caller holds mu.
func (s *queueStats) largest() []*teamQueue {
	list := slices.SortedFunc(maps.Values(s.teams), func(a, b *teamQueue) int { return largerTeam(b, a) })
	return list[:min(len(list), reportedTeams)]
}

// write writes the counters as text, one name and value per line.
func (s *queueStats) write(w io.Writer) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	var err error
	line := func(format string, args ...any) {
		if err == nil {
			_, err = fmt.Fprintf(w, format, args...)
		}
	}
	for r, n := range s.results {
		line("pollendoor_queue_statements_total{result=%q,priority=\"%d\"} %d\n", cmp.Or(r.reason, "served"), r.priority, n)
	}
	for priority, d := range s.waits {
		line("pollendoor_queue_wait_seconds_total{priority=\"%d\"} %.3f\n", priority, d.Seconds())
	}
	for _, t := range s.largest() {
		line("pollendoor_queue_team_statements_total{team=%q,result=\"served\"} %d\n", t.team, t.served)
		line("pollendoor_queue_team_statements_total{team=%q,result=\"refused\"} %d\n", t.team, t.refused)
		line("pollendoor_queue_team_wait_seconds_total{team=%q} %.3f\n", t.team, t.waited.Seconds())
	}
	return err
}
