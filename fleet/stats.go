package fleet

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/pollendoor/pollendoor"
	"github.com/pollendoor/pollendoor/clock"
	"github.com/pollendoor/pollendoor/eject"
	"github.com/pollendoor/pollendoor/lease"
)

// Stats holds the counters of a VM. The zero value is ready for use.
type Stats struct {
	Dials       atomic.Int64 // connections opened to targets
	Lagging     atomic.Int64 // reads refused because the target's log lacked the required position
	OverRate    atomic.Int64 // operations refused because a team was over its rate
	StoreErrors atomic.Int64 // failed calls to the platform's store
	Replica     atomic.Int64 // reads answered by replicas
	Retries     atomic.Int64 // attempts beyond a statement's first

	InvalidEntries atomic.Int64 // target entries in the platform's store that were ignored
	RemoteRefused  atomic.Int64 // statements of other VMs that were refused because this VM was about to stop
	PlannedDelayed atomic.Int64 // planned changes of a primary that were put off
	RestartClaims  atomic.Int64 // claims of the leadership because the fleet has restarted without its leader

	ReplicaWaits atomic.Int64 // reads that have waited for a replica's log

	OverRateKnown atomic.Int64 // operations refused over the rate without a request to a quota keeper
	ShareMissing  atomic.Int64 // operations refused because a quota share had not arrived in time
	KeepersSilent atomic.Int64 // times that a quota keeper began not to answer this VM
	// StoreRestores counts the times that the record was lost with an older copy of the store.
	StoreRestores    atomic.Int64
	RecordsRewritten atomic.Int64 // records that were written again after that

	KeeperProbes atomic.Int64 // probes of quota keepers that did not answer

	Evacuations        atomic.Int64 // zones whose evacuation began
	RefusedEvacuated   atomic.Int64 // callers' statements refused or ended because a zone is being evacuated
	RefusedRegion      atomic.Int64 // callers' statements refused because the primary is in a region that is not allowed
	RefusedCold        atomic.Int64 // callers' statements refused because a target has just started
	EvacuationRefused  atomic.Int64 // queued statements refused at a target because its zone is being evacuated
	EvacuationEnded    atomic.Int64 // open transactions ended at a target because its zone is being evacuated
	ColdRefused        atomic.Int64 // requests that a cold target was not sent
	InvalidEvacuations atomic.Int64 // evacuation entries in the platform's store that were ignored
	Pauses             atomic.Int64 // pauses of this process, which had no processor time or was frozen
	PausedMS           atomic.Int64 // their sum in milliseconds
	RetriesRefused     atomic.Int64 // second attempts that the budget did not allow
	EjectedRefused     atomic.Int64 // statements that an ejected target's home VM refused, for another target
	LimitChanges       atomic.Int64 // changes of the learned limit of concurrent statements at a target

	traffic traffic
	queues  queueStats

	mu       sync.Mutex
	ejected  map[eject.Outcome]int64 // ejections of targets by reason
	outcomes map[pollendoor.ErrorCode]int64
	waits    map[lease.Wait]int64    // waits for a successor by cause
	latency  *hdrhistogram.Histogram // latency of statements that succeeded, in microseconds
}

const (
	// maxLatency is the longest latency that the histogram distinguishes, in
	// microseconds.
	maxLatency = 60_000_000
	// latencyPrecision is the histogram's precision in significant decimal digits.
	// One digit keeps the histogram small.
	latencyPrecision = 1
)

// add counts the outcome of a statement.
func (s *Stats) add(d *pollendoor.Decision) {
	if d.Replica && d.Outcome == "" {
		s.Replica.Add(1)
	}
	switch d.Cause {
	case pollendoor.EvacuatedText:
		s.RefusedEvacuated.Add(1)
	case pollendoor.RegionText:
		s.RefusedRegion.Add(1)
	case pollendoor.ColdText:
		s.RefusedCold.Add(1)
	}
	if d.Attempts > 1 {
		s.Retries.Add(int64(d.Attempts - 1))
	}
	if d.ReplicaWait > 0 {
		s.ReplicaWaits.Add(1)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.outcomes == nil {
		s.outcomes = make(map[pollendoor.ErrorCode]int64)
		s.latency = hdrhistogram.New(1, maxLatency, latencyPrecision)
	}
	s.outcomes[d.Outcome]++
	if d.Outcome == "" {
		// A latency beyond the histogram's range counts as maxLatency.
		_ = s.latency.RecordValue(min(d.Took.Microseconds(), maxLatency))
	}
}

// countWait counts a wait before the next primary of a group is chosen.
func (s *Stats) countWait(w lease.Wait) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.waits == nil {
		s.waits = make(map[lease.Wait]int64)
	}
	s.waits[w]++
}

// countEjection counts the ejection of a target.
func (s *Stats) countEjection(reason eject.Outcome) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ejected == nil {
		s.ejected = make(map[eject.Outcome]int64)
	}
	s.ejected[reason]++
}

// WriteMetrics writes counters and histograms as text, one name and value per line.
func (v *VM) WriteMetrics(w io.Writer) error {
	s := &v.stats
	for _, c := range []struct {
		name  string
		value int64
	}{
		{"target_dials_total", s.Dials.Load()},
		{"target_lagging_total", s.Lagging.Load()},
		{"over_rate_total", s.OverRate.Load()},
		{"store_errors_total", s.StoreErrors.Load()},
		{"replica_reads_total", s.Replica.Load()},
		{"retries_total", s.Retries.Load()},
		{"target_entries_ignored_total", s.InvalidEntries.Load()},
		{"remote_refused_total", s.RemoteRefused.Load()},
		{"planned_delayed_total", s.PlannedDelayed.Load()},
		{"restart_claims_total", s.RestartClaims.Load()},
		{"replica_waits_total", s.ReplicaWaits.Load()},
		{"over_rate_known_total", s.OverRateKnown.Load()},
		{"quota_share_missing_total", s.ShareMissing.Load()},
		{"quota_keepers_silent_total", s.KeepersSilent.Load()},
		{"quota_keeper_probes_total", s.KeeperProbes.Load()},
		{"store_records_lost_total", s.StoreRestores.Load()},
		{"store_records_rewritten_total", s.RecordsRewritten.Load()},
		{"evacuations_total", s.Evacuations.Load()},
		{"evacuated_zones", int64(len(v.evacuations.Load().Zones()))},
		{"refused_evacuated_total", s.RefusedEvacuated.Load()},
		{"refused_region_total", s.RefusedRegion.Load()},
		{"refused_cold_total", s.RefusedCold.Load()},
		{"evacuation_queue_refused_total", s.EvacuationRefused.Load()},
		{"evacuation_transactions_ended_total", s.EvacuationEnded.Load()},
		{"cold_refused_total", s.ColdRefused.Load()},
		{"evacuation_entries_ignored_total", s.InvalidEvacuations.Load()},
		{"pauses_total", s.Pauses.Load()},
		{"paused_ms_total", s.PausedMS.Load()},
		{"limit_changes_total", s.LimitChanges.Load()},
		{"ejected_refused_total", s.EjectedRefused.Load()},
		{"retries_refused_total", s.RetriesRefused.Load()},
		{"lease_left_ms", (v.lease.Load().Until - clock.Now()).Milliseconds()},
		{"live_vms", int64(len(v.view.Load().Peers))},
		{"targets", int64(v.targets.Len())},
		{"cold_targets", int64(v.coldTargets())},
	} {
		if _, err := fmt.Fprintf(w, "pollendoor_%s %d\n", c.name, c.value); err != nil {
			return err
		}
	}
	if err := v.homeVMs.writeCapacity(w); err != nil {
		return err
	}
	if err := s.traffic.write(w); err != nil {
		return err
	}
	if err := s.queues.write(w); err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for code, n := range s.outcomes {
		if code == "" {
			code = "OK"
		}
		if _, err := fmt.Fprintf(w, "pollendoor_statements_total{outcome=%q} %d\n", code, n); err != nil {
			return err
		}
	}
	for reason, n := range s.ejected {
		if _, err := fmt.Fprintf(w, "pollendoor_ejections_total{reason=%q} %d\n", reason, n); err != nil {
			return err
		}
	}
	for cause, n := range s.waits {
		if _, err := fmt.Fprintf(w, "pollendoor_successor_waits_total{cause=%q} %d\n", cause, n); err != nil {
			return err
		}
	}
	if s.latency == nil {
		return nil
	}
	for _, q := range []float64{50, 90, 99, 100} {
		d := time.Duration(s.latency.ValueAtQuantile(q)) * time.Microsecond
		if _, err := fmt.Fprintf(w, "pollendoor_statement_seconds{quantile=\"%g\"} %.6f\n", q/100, d.Seconds()); err != nil {
			return err
		}
	}
	_, err := fmt.Fprintf(w, "pollendoor_statement_seconds_count %d\n", s.latency.TotalCount())
	return err
}
