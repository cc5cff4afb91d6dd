package bench

import (
	"context"
	"math/rand/v2"
	"sort"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/rs/zerolog"
)

// Config configures the run of an experiment.
type Config struct {
	Seed     uint64         // seed of the random choices
	Duration time.Duration  // duration of each phase; zero means the experiment's default
	Trials   int            // number of trials; zero means the experiment's default
	Log      zerolog.Logger // log of the VMs
}

func (c Config) duration(defaultValue time.Duration) time.Duration {
	if c.Duration > 0 {
		return c.Duration
	}
	return defaultValue
}

// random returns the random source of a caller, which depends on the seed and
// the caller's number only.
func (c Config) random(caller int) *rand.Rand { return rand.New(rand.NewPCG(c.Seed, uint64(caller))) }

func (c Config) trials(defaultValue int) int {
	if c.Trials > 0 {
		return c.Trials
	}
	return defaultValue
}

// Result is the outcome of one experiment.
type Result struct {
	Experiment string             `json:"experiment"`      // name of the experiment
	Settings   map[string]any     `json:"settings"`        // parameters of the run, by name
	Figures    map[string]float64 `json:"figures"`         // measured values, by name
	Targets    map[string]string  `json:"targets"`         // bounds that figures have to meet, such as "<= 150", by the name of the figure
	Violations int                `json:"violations"`      // number of violated guarantees
	Notes      []string           `json:"notes,omitempty"` // remarks, such as an example of an error
}

func newResult(name string) *Result {
	return &Result{Experiment: name, Settings: make(map[string]any), Figures: make(map[string]float64), Targets: make(map[string]string)}
}

// addViolations counts n violated guarantees and adds the note to the result,
// which takes at most 10 notes from here.
func (r *Result) addViolations(n int, note string) {
	if n == 0 {
		return
	}
	r.Violations += n
	if len(r.Notes) < 10 {
		r.Notes = append(r.Notes, note)
	}
}

// noteExampleError adds a note with an error that a caller got in the last phase.
func (r *Result) noteExampleError(l *Lab) {
	if t, ok := l.exampleError.Load().(string); ok {
		r.Notes = append(r.Notes, "example of an error that a caller got: "+t)
	}
}

// Experiment is an experiment with its name and a help text.
type Experiment struct {
	Name string // name on the command line
	Help string // what the experiment measures
	Run  func(ctx context.Context, c Config) (*Result, error)
}

// Experiments returns all experiments, in the order in which the name "all" runs
// them.
func Experiments() []Experiment {
	return []Experiment{
		{"overhead", "latency and allocations of reads through one VM compared with direct ones", overhead},
		{"ack", "latency of writes acknowledged after replication and without waiting for it", ackCost},
		{"failover", "gap, lost, doubled and superseded writes when primaries are lost", failover},
		{"reads", "share of reads at replicas and their freshness", reads},
		{"fairness", "share of statements served to the worst-served team while another sends five times its due share", fairness},
		{"limits", "rate and burst over the fleet, and wrongful refusals", limits},
		{"keys", "time until a withdrawn key is refused everywhere", keysExperiment},
		{"settings", "time until a settings change is in force at every VM", settingsExperiment},
		{"drain", "requests cut by planned stops, work at leaving targets", drain},
		{"outage", "service while the platform's store is down", outage},
		{"cutoff", "service inside and outside of a zone that is partitioned from the others", cutoff},
		{"dedup", "doubled and lost writes with and without request ids", dedupExperiment},
		{"sessions", "memory of callers' connections", sessionCost},
		{"control", "control traffic, CPU and memory per VM by fleet size", control},
	}
}

// latencies is a histogram of durations in microseconds.
type latencies struct{ h *hdrhistogram.Histogram }

func newLatencies() latencies {
	return latencies{h: hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 3)}
}

func (l latencies) add(d time.Duration) {
	_ = l.h.RecordValue(max(1, d.Microseconds())) // durations beyond the range of one minute are not recorded
}

// ms returns the given percentile, 0 to 100, in milliseconds.
func (l latencies) ms(percentile float64) float64 {
	return float64(l.h.ValueAtQuantile(percentile)) / 1000
}

// maxWindowRatio returns the largest ratio of the events in a window to the
// number allowed there, burst + rate*w, over windows of w >= 1 s. It samples
// about 200 window ends for each start.
func maxWindowRatio(at []time.Time, rate, burst float64) float64 {
	sort.Slice(at, func(i, j int) bool { return at[i].Before(at[j]) })
	worst := 0.0
	for i := 0; i < len(at); i++ {
		for j := i; j < len(at); j += max(1, (len(at)-i)/200) {
			w := at[j].Sub(at[i])
			if w < time.Second {
				continue
			}
			worst = max(worst, float64(j-i+1)/(burst+rate*w.Seconds()))
		}
	}
	return worst
}
