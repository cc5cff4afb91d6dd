package bench

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/pollendoor/pollendoor"
	"github.com/pollendoor/pollendoor/fakes"
	"github.com/pollendoor/pollendoor/node"
	"github.com/pollendoor/pollendoor/tree"
)

// reads measures the share of reads that replicas serve, and counts reads that
// do not show the session's own write, at a replica lag of 50 ms and of 2 s.
func reads(ctx context.Context, c Config) (*Result, error) {
	r := newResult("reads")
	r.Targets["replicaShare50ms"] = ">= 0.95"
	r.Settings["callers"], r.Settings["readsPerWrite"] = 24, 50
	for _, lag := range []time.Duration{50 * time.Millisecond, 2 * time.Second} {
		share, stale, done, err := readPhase(ctx, c, lag)
		if err != nil {
			return nil, err
		}
		name := lag.String()
		r.Figures["replicaShare"+name], r.Figures["stale"+name], r.Figures["reads"+name] = share, float64(stale), float64(done)
		r.addViolations(stale, fmt.Sprintf("%d reads at a lag of %s did not show the session's own write", stale, name))
	}
	return r, nil
}

// readPhase runs the load of reads at one replica lag. It returns the share of reads
// that replicas served, and the numbers of stale reads and of all reads.
func readPhase(ctx context.Context, c Config, lag time.Duration) (share float64, stale, done int, err error) {
	l, err := StartLab(ctx, LabOptions{Target: fakes.TargetOptions{Slots: 3, Connections: 20, Lag: lag}, Log: c.Log})
	if err != nil {
		return 0, 0, 0, err
	}
	defer l.Stop()
	first := &caller{lab: l, team: "festa", route: firstGroup}
	defer first.close(ctx)
	if err := first.exec(ctx, "CREATE TABLE pot (id BIGINT PRIMARY KEY, n BIGINT)"); err != nil {
		return 0, 0, 0, err
	}
	for i := range 24 {
		if err := first.exec(ctx, "INSERT INTO pot VALUES ($1, 0)", i); err != nil {
			return 0, 0, 0, err
		}
	}
	time.Sleep(lag + 100*time.Millisecond)
	before := l.readCounts()
	run, cancel := context.WithTimeout(ctx, c.duration(5*time.Second))
	defer cancel()
	var badReads, all atomic.Int64
	var failed atomic.Value
	var wg sync.WaitGroup
	for i := range 24 {
		wg.Go(func() {
			if err := readAndWrite(run, l, i, first.token, &badReads, &all); err != nil {
				failed.Store(err.Error())
			}
		})
	}
	wg.Wait()
	if text := failed.Load(); text != nil {
		return 0, 0, 0, errors.Newf("caller: %s", text)
	}
	after := l.readCounts()
	share = float64(after[1]-before[1]) / float64(max(1, after[0]-before[0]))
	return share, int(badReads.Load()), int(all.Load()), nil
}

// readAndWrite runs one session with 50 reads per write. After each write the
// session moves to another VM and reads its own write there.
func readAndWrite(ctx context.Context, l *Lab, i int, token string, stale, all *atomic.Int64) error {
	client := &caller{lab: l, team: "festa", route: firstGroup, vm: i, token: token}
	defer client.close(context.Background())
	written := int64(0)
	var failed error
	step := i * 2
	runAtRate(ctx, 10*time.Millisecond, func(time.Time) {
		step++
		if step%51 == 0 {
			if err := client.exec(context.Background(), "UPDATE pot SET n = n + 1 WHERE id = $1", i); err != nil {
				failed = err
				return
			}
			written++
			client.moveTo(context.Background(), client.vm+1)
			return
		}
		n, err := client.queryInt(context.Background(), "SELECT n FROM pot WHERE id = $1", i)
		if err != nil {
			failed = err
			return
		}
		all.Add(1)
		if n < written {
			stale.Add(1)
		}
	})
	return failed
}

// readCounts returns the total number of reads so far, and how many of them
// replicas served.
func (l *Lab) readCounts() [2]int64 {
	var sum [2]int64
	for _, n := range l.Nodes() {
		s, err := n.Summary()
		if err != nil {
			continue
		}
		for _, slots := range s.Slots {
			for _, k := range slots {
				sum[0] += k.Reads
				sum[1] += k.Replica
			}
		}
	}
	return sum
}

// fairness measures the share of its statements that each team is served while
// one team sends five times its due share and the targets can't serve the whole
// load.
func fairness(ctx context.Context, c Config) (*Result, error) {
	const due = 100.0 // statements per second of each team
	r := newResult("fairness")
	r.Targets["worstShare"] = ">= 0.98"
	teams := []Team{{Name: "heavy", Rate: 1e6, Burst: 1e6}}
	for i := range 7 {
		teams = append(teams, Team{Name: fmt.Sprintf("team%d", i), Rate: 1e6, Burst: 1e6})
	}
	// Two replicas with 3 slots and 6 ms per statement serve 1,000 statements per
	// second. The load is 1,200 per second, 500 of it from the heavy team.
	l, err := StartLab(ctx, LabOptions{Teams: teams, Target: fakes.TargetOptions{Slots: 3, Connections: 20, ServiceTime: 6 * time.Millisecond}, Log: c.Log})
	if err != nil {
		return nil, err
	}
	defer l.Stop()
	r.Settings["due"], r.Settings["teams"], r.Settings["capacity"] = due, len(teams), 1000
	duration := c.duration(6 * time.Second)
	served, offered := make([]atomic.Int64, len(teams)), make([]atomic.Int64, len(teams))
	latency, codes := newLatencies(), make(map[string]int)
	var mu sync.Mutex
	var wg sync.WaitGroup
	start := time.Now().Add(2 * time.Second) // all callers are connected by then
	run, cancel := context.WithDeadline(ctx, start.Add(duration))
	defer cancel()
	for t := range teams {
		callers, rate := 30, due
		if t == 0 {
			callers, rate = 150, 5*due
		}
		interval := time.Duration(float64(callers) / rate * float64(time.Second))
		for i := range callers {
			wg.Go(func() {
				client := &caller{lab: l, team: teams[t].Name, route: firstGroup, vm: i, urlParams: "&statement_timeout=2000"}
				defer client.close(context.Background())
				_, _ = client.queryInt(context.Background(), "SELECT 1")
				rng := c.random(t*1000 + i)
				time.Sleep(time.Until(start) + time.Duration(rng.Int64N(int64(interval))))
				runAtRate(run, interval, func(at time.Time) {
					offered[t].Add(1)
					_, err := client.queryInt(context.Background(), "SELECT 1")
					if err == nil {
						served[t].Add(1)
					}
					mu.Lock()
					defer mu.Unlock()
					if err != nil {
						codes[teams[t].Name+" "+sqlState(err)]++
					}
					if t > 0 {
						latency.add(time.Since(at))
					}
				})
			})
		}
	}
	wg.Wait()
	worst, least := 1.0, 1.0
	for t := 1; t < len(teams); t++ {
		worst = min(worst, float64(served[t].Load())/float64(max(1, offered[t].Load())))
		least = min(least, float64(offered[t].Load())/(due*duration.Seconds()))
	}
	r.Figures["worstShare"], r.Figures["leastOffered"] = worst*least, least
	r.Figures["heavyShare"] = float64(served[0].Load()) / (due * duration.Seconds())
	r.Figures["othersP50Ms"], r.Figures["othersP99Ms"] = latency.ms(50), latency.ms(99)
	for k, n := range codes {
		r.Figures["refused "+k] = float64(n)
	}
	return r, nil
}

// limits runs one team at 0.9 of its rate and one at three times its rate, while
// the load balancer prefers one VM and a VM is lost. It checks that neither team
// gets more than its rate and burst, and measures how many of the first team's
// statements are refused for its rate.
func limits(ctx context.Context, c Config) (*Result, error) {
	const rate, burst = 300.0, 150.0
	r := newResult("limits")
	r.Targets["mostAdmitted"], r.Targets["wrongfulRefusals"] = "<= 1.0", "<= 0.001"
	teams := []Team{{Name: "within", Rate: rate, Burst: burst}, {Name: "over", Rate: rate, Burst: burst}}
	l, err := StartLab(ctx, LabOptions{VMsPerZone: 3, Teams: teams, Target: fakes.TargetOptions{Connections: 60}, Log: c.Log})
	if err != nil {
		return nil, err
	}
	defer l.Stop()
	duration := c.duration(16 * time.Second)
	r.Settings["rate"], r.Settings["burst"], r.Settings["vms"], r.Settings["offered"] = rate, burst, 9, 0.9
	time.Sleep(2 * time.Second)
	run, cancel := context.WithTimeout(ctx, duration)
	defer cancel()
	var favoriteVM atomic.Int64 // index of the VM that gets most of the traffic
	var mu sync.Mutex
	admitted := map[string][]time.Time{}
	var refused, total atomic.Int64
	var wg sync.WaitGroup
	send := func(team string, callers int, interval time.Duration) {
		for i := range callers {
			wg.Go(func() {
				// One session at the preferred VM, which changes, and one at a
				// fixed VM.
				favorite, other := &caller{lab: l, team: team, route: firstGroup, vm: i}, &caller{lab: l, team: team, route: firstGroup, vm: i}
				defer favorite.close(context.Background())
				defer other.close(context.Background())
				rng := c.random(i)
				time.Sleep(time.Duration(rng.Int64N(int64(interval))))
				runAtRate(run, interval, func(time.Time) {
					client := other
					if rng.IntN(10) < 7 {
						client = favorite
						if f := int(favoriteVM.Load()); client.vm != f {
							client.moveTo(context.Background(), f)
						}
					}
					_, err := client.queryInt(context.Background(), "SELECT 1")
					if team == "within" {
						total.Add(1)
					}
					if err == nil {
						mu.Lock()
						admitted[team] = append(admitted[team], time.Now())
						mu.Unlock()
					} else if team == "within" && sqlState(err) == pollendoor.CodeRateExceeded {
						refused.Add(1)
					}
				})
			})
		}
	}
	const callers = 27
	send("within", callers, time.Duration(callers/(0.9*rate)*float64(time.Second)))
	send("over", callers, time.Duration(callers/(3*rate)*float64(time.Second)))
	nodes := l.Nodes()
	for step := range 4 {
		time.Sleep(duration / 5)
		favoriteVM.Store(int64(step + 1))
		if step == 1 {
			// The VM stops at once, and the platform's list follows 1 s later.
			lost := nodes[len(nodes)-1]
			lost.Stop()
			time.AfterFunc(time.Second, func() { l.Remove(lost) })
		}
	}
	wg.Wait()
	worstRatio := max(maxWindowRatio(admitted["over"], rate, burst), maxWindowRatio(admitted["within"], rate, burst))
	r.Figures["mostAdmitted"] = worstRatio
	r.Figures["wrongfulRefusals"] = float64(refused.Load()) / float64(max(1, total.Load()))
	r.Figures["statements"] = float64(total.Load())
	r.Figures["overServed"] = float64(len(admitted["over"])) / (rate * duration.Seconds())
	if worstRatio > 1 {
		r.addViolations(1, "a team got more than its rate and burst")
	}
	return r, nil
}

// keysExperiment withdraws keys while callers use them at every VM, and measures
// the time from the withdrawal until their last use.
func keysExperiment(ctx context.Context, c Config) (*Result, error) {
	r := newResult("keys")
	r.Targets["lastUseP99Ms"] = "<= 2000"
	l, err := StartLab(ctx, LabOptions{VMsPerZone: 3, Log: c.Log})
	if err != nil {
		return nil, err
	}
	defer l.Stop()
	uses, trials := newLatencies(), c.trials(8)
	r.Settings["trials"], r.Settings["vms"] = trials, 9
	for i := range trials {
		id := fmt.Sprintf("t%d", i)
		a, err := l.Nodes()[0].CreateKey(ctx, node.KeyRequest{Team: "festa", ID: id, By: "bench"})
		if err != nil {
			return nil, err
		}
		surviving, err := useUntilRefused(ctx, l, i, id, a, uses)
		if err != nil {
			return nil, err
		}
		r.addViolations(surviving, fmt.Sprintf("%d connections outlived their key by 10 s", surviving))
	}
	r.Figures["lastUseP50Ms"], r.Figures["lastUseP99Ms"] = uses.ms(50), uses.ms(99)
	return r, nil
}

// useUntilRefused uses a key at every VM, withdraws it and adds the time until the last
// use at each VM to uses. It returns the number of connections that outlived the key.
func useUntilRefused(ctx context.Context, l *Lab, trial int, id string, a node.KeyAnswer, uses latencies) (int, error) {
	time.Sleep(700 * time.Millisecond) // until every VM has the new key
	var accepted atomic.Int64
	var mu sync.Mutex
	var wg sync.WaitGroup
	surviving := 0
	for vm := range l.Nodes() {
		wg.Go(func() {
			url := l.URL(vm, "festa", firstGroup)
			last, alive := useKey(ctx, url, a, &accepted)
			mu.Lock()
			defer mu.Unlock()
			if alive {
				surviving++
			}
			if t := accepted.Load(); !last.IsZero() && t > 0 {
				uses.add(max(time.Microsecond, last.Sub(time.Unix(0, t))))
			}
		})
	}
	time.Sleep(500 * time.Millisecond)
	err := l.Nodes()[trial%9].WithdrawKey(ctx, node.KeyRequest{Team: "festa", ID: id})
	accepted.Store(time.Now().UnixNano())
	wg.Wait()
	return surviving, err
}

// settingsExperiment changes a branch of the settings and measures the time until
// the change is in force at each VM. It counts VMs that go back to an older
// version.
func settingsExperiment(ctx context.Context, c Config) (*Result, error) {
	r := newResult("settings")
	r.Targets["inForceP99Ms"], r.Targets["reversions"] = "<= 2000", "0"
	l, err := StartLab(ctx, LabOptions{VMsPerZone: 3, Log: c.Log})
	if err != nil {
		return nil, err
	}
	defer l.Stop()
	latency, trials := newLatencies(), c.trials(20)
	r.Settings["trials"], r.Settings["vms"] = trials, 9
	reversions := 0
	seen := make(map[string]uint64)
	for i := range trials {
		l.Platform.LoseEveryOtherAnswer(i%2 == 1)
		e := tree.Edit{Path: "/teams", YAML: fmt.Sprintf("weight: %d", i+1), By: "bench", Based: uint64(i)}
		if _, err := l.Nodes()[i%9].Edit(ctx, e); err != nil {
			return nil, err
		}
		accepted := time.Now()
		for waiting := true; waiting; time.Sleep(2 * time.Millisecond) {
			waiting = false
			for _, n := range l.Nodes() {
				v := n.SettingsVersion("/teams")
				name := n.PeerVM().Name
				if v < seen[name] {
					reversions++
				}
				seen[name] = v
				waiting = waiting || v <= uint64(i)
			}
			if time.Since(accepted) > 30*time.Second {
				return nil, errors.New("a settings change is not in force at every VM after 30 s")
			}
		}
		latency.add(time.Since(accepted))
	}
	r.Figures["inForceP50Ms"], r.Figures["inForceP99Ms"], r.Figures["reversions"] = latency.ms(50), latency.ms(99), float64(reversions)
	r.addViolations(reversions, "a VM went back to an older version")
	return r, nil
}
