package bench

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/pollendoor/pollendoor/fakes"
	"github.com/pollendoor/pollendoor/token"
)

// firstGroup is the default group of a lab, which most experiments use.
const firstGroup = "potes/potes-1"

// recoveryTimeout limits the time until all targets of a group have caught up
// after a trial.
const recoveryTimeout = 15 * time.Second

// failover makes primaries fail under writes with request ids from all zones. The
// trials alternate between a killed, a frozen and a partitioned primary. In every
// second trial the store also loses responses.
func failover(ctx context.Context, c Config) (*Result, error) {
	r := newResult("failover")
	r.Targets["gapP99Ms"] = "<= 2000"
	l, err := StartLab(ctx, LabOptions{VMsPerZone: 3, Target: fakes.TargetOptions{Slots: 3, Connections: 20, ConnectDelay: 10 * time.Millisecond}, Log: c.Log})
	if err != nil {
		return nil, err
	}
	defer l.Stop()
	trials := c.trials(30)
	r.Settings["trials"], r.Settings["vms"], r.Settings["callers"] = trials, len(l.Nodes()), 6
	first, err := l.setUpGiftTable(ctx)
	if err != nil {
		return nil, err
	}
	defer first.close(ctx)
	gaps, ledger := newLatencies(), newWriteLedger()
	for i := range trials {
		l.Platform.LoseEveryOtherAnswer(i%2 == 1)
		gap, err := failoverTrial(ctx, l, i, ledger)
		if err != nil {
			return nil, errors.Wrapf(err, "trial %d", i)
		}
		gaps.add(gap)
	}
	l.Platform.LoseEveryOtherAnswer(false)
	r.Figures["gapP50Ms"], r.Figures["gapP99Ms"], r.Figures["gapMaxMs"] = gaps.ms(50), gaps.ms(99), gaps.ms(100)
	g, _ := l.Nodes()[0].Host().Group(firstGroup)
	rec, _ := g.Record()
	return r, ledger.audit(ctx, first, r, rec.Lineage, rec.Term)
}

// failoverTrial makes the primary fail once and returns the longest time that a
// caller waited for a write.
func failoverTrial(ctx context.Context, l *Lab, trial int, ledger *writeLedger) (time.Duration, error) {
	run, cancel := context.WithCancel(ctx)
	defer cancel()
	var worst atomic.Int64
	var wg sync.WaitGroup
	for i := range 6 {
		wg.Go(func() { writeSteadily(run, l, i, trial, ledger, &worst) })
	}
	time.Sleep(300 * time.Millisecond)
	worst.Store(0)
	p := l.Group(firstGroup).Primary()
	if p == nil {
		return 0, errors.New("the group has no primary")
	}
	term := p.Status().Term
	restore := failPrimary(l, p, trial)
	err := l.waitTerm(ctx, uint64(term)+1)
	time.Sleep(300 * time.Millisecond)
	cancel()
	wg.Wait()
	gap := time.Duration(worst.Load())
	restore()
	if err == nil {
		err = l.waitReplicated(ctx)
	}
	return gap, err
}

// failPrimary makes the primary p fail in the way that the trial's number selects
// (kill, freeze or partition) and returns a function that restores it.
func failPrimary(l *Lab, p *fakes.Target, trial int) func() {
	switch trial % 3 {
	case 0:
		p.Kill()
		return func() { p.Start() }
	case 1:
		p.Freeze()
		return p.Unfreeze
	default:
		// Partitioned from all peers, also those in its own zone; its
		// connections stay open.
		p.SetCut(func(string) bool { return true })
		p.CutOwnZone(true)
		return func() {
			p.CutOwnZone(false)
			p.SetCut(func(z string) bool { return (*l.cutZones.Load())[z] })
		}
	}
}

// writeSteadily writes every 10 ms until ctx ends and updates worst, the longest time
// of a write in nanoseconds.
func writeSteadily(ctx context.Context, l *Lab, worker, trial int, ledger *writeLedger, worst *atomic.Int64) {
	w := &caller{lab: l, team: "festa", route: firstGroup, vm: worker}
	defer w.close(context.Background())
	n := 0
	runAtRate(ctx, 10*time.Millisecond, func(time.Time) {
		n++
		id := fmt.Sprintf("%d-%d-%d", trial, worker, n)
		start := time.Now()
		// The statement isn't canceled when the trial ends, so that its outcome
		// is known.
		err := w.exec(context.Background(), "INSERT INTO gift VALUES ('"+id+"', 1) /*pollendoor.requestId='"+id+"'*/")
		t, _ := token.Parse(w.token)
		ledger.record(id, err, t.At(firstGroup))
		for d := time.Since(start); ; {
			old := worst.Load()
			if int64(d) <= old || worst.CompareAndSwap(old, int64(d)) {
				return
			}
		}
	})
}

// waitTerm waits until a VM has a record of the first group that is serving in
// the given term or a newer one.
func (l *Lab) waitTerm(ctx context.Context, term uint64) error {
	for end := time.Now().Add(recoveryTimeout); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		for _, n := range l.Nodes() {
			if g, ok := n.Host().Group(firstGroup); ok {
				if rec, _ := g.Record(); uint64(rec.Term) >= term && rec.Phase == "serving" {
					return nil
				}
			}
		}
		if ctx.Err() != nil {
			return ctx.Err()
		}
	}
	return errors.Newf("no group record is serving in term %d or a newer one", term)
}

// waitReplicated waits until all targets of the first group have the same term
// and have applied the same entries.
func (l *Lab) waitReplicated(ctx context.Context) error {
	for end := time.Now().Add(recoveryTimeout); time.Now().Before(end) && ctx.Err() == nil; time.Sleep(5 * time.Millisecond) {
		same := true
		first := l.Group(firstGroup).Targets[0].Status()
		l.Group(firstGroup).Each(func(t *fakes.Target) {
			s := t.Status()
			same = same && s.Term == first.Term && s.Applied == first.Applied
		})
		if same {
			return nil
		}
	}
	return errors.New("the targets did not reach the same term and log position in time")
}

// dedupExperiment counts doubled and lost writes of callers that repeat every
// write without a response, with and without request ids, while primaries fail.
func dedupExperiment(ctx context.Context, c Config) (*Result, error) {
	r := newResult("dedup")
	r.Targets["doubledWithId"], r.Targets["lostWithId"] = "0", "0"
	trials := c.trials(6)
	r.Settings["trials"] = trials
	for _, withIDs := range []bool{false, true} {
		name := map[bool]string{false: "WithoutId", true: "WithId"}[withIDs]
		lost, doubled, err := runRetryTrials(ctx, c, trials, withIDs)
		if err != nil {
			return nil, err
		}
		r.Figures["lost"+name], r.Figures["doubled"+name] = float64(lost), float64(doubled)
		if withIDs {
			r.addViolations(lost+doubled, "a write with a request id was lost or doubled")
		}
	}
	r.Notes = append(r.Notes, "the caller repeats every write whose outcome it does not know; one in five loses its connection within 4 ms")
	return r, nil
}

// runRetryTrials runs the trials of dedupExperiment and returns how many acknowledged
// writes are missing and how many rows are duplicates.
func runRetryTrials(ctx context.Context, c Config, trials int, withIDs bool) (lost, doubled int, err error) {
	l, err := StartLab(ctx, LabOptions{Target: fakes.TargetOptions{Slots: 3, Connections: 20, ShipDelay: 2 * time.Millisecond}, Log: c.Log})
	if err != nil {
		return 0, 0, err
	}
	defer l.Stop()
	first, err := l.setUpGiftTable(ctx)
	if err != nil {
		return 0, 0, err
	}
	defer first.close(ctx)
	var mu sync.Mutex
	var ids []string
	for i := range trials {
		run, cancel := context.WithCancel(ctx)
		var wg sync.WaitGroup
		for w := range 12 {
			wg.Go(func() {
				client := &caller{lab: l, team: "festa", route: firstGroup, vm: w}
				defer client.close(context.Background())
				rng := c.random(i*100 + w)
				for n := 0; run.Err() == nil; n++ {
					id := fmt.Sprintf("%d-%d-%d", i, w, n)
					if retryUntilAcked(client, id, withIDs, rng) {
						mu.Lock()
						ids = append(ids, id)
						mu.Unlock()
					}
				}
			})
		}
		time.Sleep(200 * time.Millisecond)
		p := l.Group(firstGroup).Primary()
		restore := failPrimary(l, p, i)
		err := l.waitTerm(ctx, uint64(p.Status().Term)+1)
		time.Sleep(200 * time.Millisecond)
		cancel()
		wg.Wait()
		restore()
		if err == nil {
			err = l.waitReplicated(ctx)
		}
		if err != nil {
			return 0, 0, err
		}
	}
	n, err := first.queryInt(ctx, "SELECT count(distinct id) FROM gift")
	if err != nil {
		return 0, 0, err
	}
	duplicates, err := first.queryInt(ctx, "SELECT count(*) - count(distinct id) FROM gift")
	return max(0, len(ids)-int(n)), int(duplicates), err
}

// retryUntilAcked repeats a write until it is acknowledged, as a caller would,
// at most 50 times. It reports whether the write was acknowledged.
func retryUntilAcked(c *caller, id string, withIDs bool, rng *rand.Rand) bool {
	sql := "INSERT INTO gift VALUES ('" + id + "', 1)"
	if withIDs {
		sql += " /*pollendoor.requestId='" + id + "'*/"
	}
	for n := range 50 {
		ctx, cancel := context.Background(), func() {}
		if n == 0 && rng.IntN(5) == 0 {
			// In one of five writes the caller's connection may break before
			// the response.
			ctx, cancel = context.WithTimeout(ctx, time.Duration(rng.Int64N(int64(4*time.Millisecond))))
		}
		err := c.exec(ctx, sql)
		cancel()
		if err == nil {
			return true
		}
		time.Sleep(10 * time.Millisecond)
	}
	return false
}
