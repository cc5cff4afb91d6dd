package bench

import (
	"context"
	"encoding/json"
	"fmt"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/pollendoor/pollendoor"
	"github.com/pollendoor/pollendoor/fakes"
	"github.com/pollendoor/pollendoor/runner"
	"github.com/pollendoor/pollendoor/store"
)

// drain runs planned stops of VMs under load and then marks the primary as
// leaving.
func drain(ctx context.Context, c Config) (*Result, error) {
	r := newResult("drain")
	r.Targets["cut"], r.Targets["workAtLeaving"] = "0", "0"
	l, err := StartLab(ctx, LabOptions{VMsPerZone: 3, Log: c.Log})
	if err != nil {
		return nil, err
	}
	defer l.Stop()
	first, err := l.setUpGiftTable(ctx)
	if err != nil {
		return nil, err
	}
	defer first.close(ctx)
	run, cancel := context.WithCancel(ctx)
	defer cancel()
	var cut, done, reconnects atomic.Int64
	var example atomic.Value
	var wg sync.WaitGroup
	for i := range 18 {
		wg.Go(func() { writeThroughStops(run, l, i, &cut, &done, &reconnects, &example) })
	}
	time.Sleep(500 * time.Millisecond)
	stops := c.trials(3)
	for range stops {
		nodes := l.Nodes()
		n := nodes[len(nodes)/2]
		drainCtx, end := context.WithTimeout(ctx, 5*time.Second)
		l.markVMLeaving(n) // the load balancer stops sending new callers to it
		n.Drain(drainCtx)
		end()
		l.Remove(n)
		time.Sleep(300 * time.Millisecond)
	}
	leaving, work, err := markPrimaryLeaving(ctx, l)
	cancel()
	wg.Wait()
	if err != nil {
		return nil, err
	}
	r.Settings["stops"], r.Settings["callers"], r.Settings["leavingTarget"] = stops, 18, leaving
	r.Figures["cut"], r.Figures["done"], r.Figures["reconnects"] = float64(cut.Load()), float64(done.Load()), float64(reconnects.Load())
	r.Figures["workAtLeaving"] = float64(work)
	note := ""
	if t := example.Load(); t != nil {
		note = t.(string)
	}
	r.addViolations(int(cut.Load()), "requests cut: "+note)
	r.addViolations(int(work), "work was sent to a leaving target")
	return r, nil
}

// writeThroughStops writes single statements until ctx ends. When a VM closes
// the idle session or refuses the login because it stops, the caller moves to
// the next VM. Any other error counts as a cut request.
func writeThroughStops(ctx context.Context, l *Lab, i int, cut, done, reconnects *atomic.Int64, example *atomic.Value) {
	client := &caller{lab: l, team: "festa", route: firstGroup, vm: i}
	defer func() { client.close(context.Background()) }()
	n := 0
	for ctx.Err() == nil {
		n++
		// Between requests the session is idle for 5 to 425 ms, as sessions of
		// real callers are.
		time.Sleep(time.Duration(5+(n%8)*60) * time.Millisecond)
		if client.conn != nil && closedWhileIdle(client) {
			reconnects.Add(1)
			client.moveTo(context.Background(), client.vm+1)
		}
		err := client.exec(context.Background(), fmt.Sprintf("INSERT INTO gift VALUES ('%d-%d', 1)", i, n))
		switch {
		case err == nil:
			done.Add(1)
		case sqlState(err) == pollendoor.CodeShutdown && client.conn == nil:
			// The login was refused, so no request was cut.
			reconnects.Add(1)
			client.moveTo(context.Background(), client.vm+1)
		default:
			cut.Add(1)
			example.Store(describeError(err))
			client.moveTo(context.Background(), client.vm+1)
		}
	}
}

// closedWhileIdle reports whether the connection is closed, which it checks
// before a request is sent, as connection pools do.
func closedWhileIdle(c *caller) bool {
	if c.conn.IsClosed() {
		return true
	}
	return c.conn.Ping(context.Background()) != nil
}

// markVMLeaving marks a VM as leaving in the platform's list of VMs.
func (l *Lab) markVMLeaving(leaving interface{ PeerVM() pollendoor.VM }) {
	var list []pollendoor.VM
	for _, n := range l.Nodes() {
		vm := n.PeerVM()
		vm.Leaving = vm.Name == leaving.PeerVM().Name
		list = append(list, vm)
	}
	l.Platform.SetVMs(list)
}

// markPrimaryLeaving marks the primary as leaving in the group's record. It
// returns the primary's name and the number of statements that it ran within one
// second, counted from 2.5 s after the change.
func markPrimaryLeaving(ctx context.Context, l *Lab) (string, int64, error) {
	p := l.Group(firstGroup).Primary()
	s := &store.Client{Base: l.Platform.Addr()}
	for range 20 {
		o, err := s.Get(ctx, "groups/"+firstGroup)
		if err != nil {
			return "", 0, err
		}
		var rec pollendoor.GroupRecord
		if err := json.Unmarshal(o.Value, &rec); err != nil {
			return "", 0, err
		}
		for i := range rec.Targets {
			rec.Targets[i].Leaving = rec.Targets[i].Name == p.Name()
		}
		raw, err := json.Marshal(rec)
		if err != nil {
			return "", 0, err
		}
		if _, err = s.Put(ctx, o.Name, o.Version, raw); err == nil {
			break
		}
	}
	time.Sleep(2500 * time.Millisecond) // the 2 s that work may still arrive, and the time until VMs see the change
	before := p.Statements()
	time.Sleep(time.Second)
	return p.Name(), p.Statements() - before, nil
}

// outage runs teams within their rates while the store is down, for longer than
// the maximum age of key data.
func outage(ctx context.Context, c Config) (*Result, error) {
	r := newResult("outage")
	r.Targets["served"] = ">= 0.99"
	teams := []Team{{Name: "festa", Rate: 400, Burst: 200}, {Name: "loja", Rate: 400, Burst: 200}}
	l, err := StartLab(ctx, LabOptions{VMsPerZone: 3, Teams: teams, Log: c.Log})
	if err != nil {
		return nil, err
	}
	defer l.Stop()
	first, err := l.setUpGiftTable(ctx)
	if err != nil {
		return nil, err
	}
	defer first.close(ctx)
	time.Sleep(1500 * time.Millisecond)
	l.Platform.SetDown(true)
	defer l.Platform.SetDown(false)
	duration := c.duration(20 * time.Second)
	run, cancel := context.WithTimeout(ctx, duration)
	defer cancel()
	ledger := newWriteLedger()
	var served, all atomic.Int64
	var example atomic.Value
	var wg sync.WaitGroup
	for i := range 36 {
		team := teams[i%2].Name
		wg.Go(func() {
			client := &caller{lab: l, team: team, route: firstGroup, vm: i}
			defer client.close(context.Background())
			n := 0
			runAtRate(run, 60*time.Millisecond, func(time.Time) {
				n++
				id := fmt.Sprintf("%d-%d", i, n)
				var err error
				if n%4 == 0 {
					err = client.exec(context.Background(), "INSERT INTO gift VALUES ('"+id+"', 1)")
					ledger.record(id, err, pollendoor.Position{})
				} else {
					_, err = client.queryInt(context.Background(), "SELECT count(*) FROM gift WHERE id = $1", id)
				}
				all.Add(1)
				if err == nil {
					served.Add(1)
				} else {
					example.Store(describeError(err))
				}
			})
		})
	}
	wg.Wait()
	r.Settings["seconds"], r.Settings["vms"] = duration.Seconds(), 9
	r.Figures["served"] = float64(served.Load()) / float64(max(1, all.Load()))
	if t := example.Load(); t != nil {
		r.Notes = append(r.Notes, "example of a refusal: "+t.(string))
	}
	l.Platform.SetDown(false)
	return r, ledger.audit(ctx, first, r, nil, 0)
}

// cutoff partitions the primary's zone from all other zones and from the
// platform.
func cutoff(ctx context.Context, c Config) (*Result, error) {
	r := newResult("cutoff")
	r.Targets["mainWrites"], r.Targets["zoneReadsYoung"], r.Targets["zoneOpenReadsOld"] = ">= 0.9", ">= 0.99", ">= 0.99"
	l, err := StartLab(ctx, LabOptions{VMsPerZone: 3, Groups: []string{firstGroup, "potes/aberto"}, Log: c.Log})
	if err != nil {
		return nil, err
	}
	defer l.Stop()
	first, err := l.setUpGiftTable(ctx)
	if err != nil {
		return nil, err
	}
	defer first.close(ctx)
	if err := l.openRoute(ctx, "potes/aberto"); err != nil {
		return nil, err
	}
	zone := l.Group(firstGroup).Primary().Zone()
	var inside, outside []int
	for i, n := range l.Nodes() {
		if n.PeerVM().Zone == zone {
			inside = append(inside, i)
		} else {
			outside = append(outside, i)
		}
	}
	first.moveTo(ctx, outside[0])
	l.CutZone(zone, true)
	ledger := newWriteLedger()
	freshDuration := c.duration(8 * time.Second)
	result := l.runCutPhase(ctx, inside, outside, freshDuration, "young", ledger)
	staleDuration := 6 * time.Second
	r.noteExampleError(l)
	openShare := l.measureOpenReads(ctx, inside, staleDuration)
	r.noteExampleError(l)
	l.CutZone(zone, false)
	if err := l.waitReplicated(ctx); err != nil {
		return nil, errors.Wrap(err, "after the end of the partition")
	}
	r.Settings["youngSeconds"], r.Settings["oldSeconds"] = freshDuration.Seconds(), staleDuration.Seconds()
	r.Figures["zoneReadsYoung"], r.Figures["mainWrites"], r.Figures["zoneOpenReadsOld"] = result.reads, result.writes, openShare
	r.Figures["zoneReadsUnproven"] = result.unproven
	g, _ := l.Nodes()[outside[0]].Host().Group(firstGroup)
	rec, _ := g.Record()
	return r, ledger.audit(ctx, first, r, rec.Lineage, rec.Term)
}

// openRoute makes a route accept callers without keys.
func (l *Lab) openRoute(ctx context.Context, name string) error {
	_, v := l.Nodes()[0].Branch("/services/" + name)
	if _, err := l.Nodes()[0].Edit(ctx, edit("/services/"+name, "open: true", v)); err != nil {
		return err
	}
	time.Sleep(time.Second)
	return nil
}

// cutResult holds the shares of statements that were served during a partition,
// from 0 to 1.
type cutResult struct {
	reads    float64 // served share of the zone's reads, not counting unproven ones
	unproven float64 // share of the zone's reads refused because nothing proves their result
	writes   float64 // served share of the writes outside the zone
}

// runCutPhase reads within the partitioned zone and writes on both sides of the
// partition for the duration d.
func (l *Lab) runCutPhase(ctx context.Context, inside, outside []int, d time.Duration, tag string, ledger *writeLedger) cutResult {
	run, cancel := context.WithTimeout(ctx, d)
	defer cancel()
	var reads, readsOK, unproven, writes, writesOK atomic.Int64
	var wg sync.WaitGroup
	startCallers := func(vms []int, insideZone bool) {
		for _, vm := range vms {
			wg.Go(func() {
				reader := &caller{lab: l, team: "festa", route: firstGroup, vm: vm, urlParams: "&statement_timeout=3000"}
				writer := &caller{lab: l, team: "festa", route: firstGroup, vm: vm, urlParams: "&statement_timeout=3000"}
				defer reader.close(context.Background())
				defer writer.close(context.Background())
				n := 0
				runAtRate(run, 50*time.Millisecond, func(time.Time) {
					n++
					if insideZone {
						reads.Add(1)
						_, err := reader.queryInt(context.Background(), "SELECT count(*) FROM gift WHERE amount > 1")
						switch {
						case err == nil:
							readsOK.Add(1)
						case strings.Contains(describeError(err), runner.CauseUnreplicatedRead):
							unproven.Add(1)
							l.exampleError.Store(describeError(err))
						default:
							l.exampleError.Store(describeError(err))
						}
						if n%20 != 0 {
							return
						}
					}
					id := fmt.Sprintf("%s-%d-%d", tag, vm, n)
					err := writer.exec(context.Background(), "INSERT INTO gift VALUES ('"+id+"', 1)")
					ledger.record(id, err, pollendoor.Position{})
					if !insideZone {
						writes.Add(1)
						if err == nil {
							writesOK.Add(1)
						}
					}
				})
			})
		}
	}
	startCallers(inside, true)
	startCallers(outside, false)
	wg.Wait()
	return cutResult{
		reads:    float64(readsOK.Load()) / float64(max(1, reads.Load()-unproven.Load())),
		unproven: float64(unproven.Load()) / float64(max(1, reads.Load())),
		writes:   float64(writesOK.Load()) / float64(max(1, writes.Load())),
	}
}

// measureOpenReads reads an open route within the partitioned zone for the
// duration d, when key data there is too old, and returns the share served.
func (l *Lab) measureOpenReads(ctx context.Context, vms []int, d time.Duration) float64 {
	run, cancel := context.WithTimeout(ctx, d)
	defer cancel()
	var all, ok atomic.Int64
	var wg sync.WaitGroup
	for _, vm := range vms {
		wg.Go(func() {
			client := &caller{lab: l, team: "festa", route: "potes/aberto", vm: vm, urlParams: "&statement_timeout=3000"}
			defer client.close(context.Background())
			runAtRate(run, 50*time.Millisecond, func(time.Time) {
				all.Add(1)
				if _, err := client.queryInt(context.Background(), "SELECT 1"); err == nil {
					ok.Add(1)
				} else {
					l.exampleError.Store(describeError(err))
				}
			})
		})
	}
	wg.Wait()
	return float64(ok.Load()) / float64(max(1, all.Load()))
}

// ackCost measures the latency of writes under each acknowledgement rule.
func ackCost(ctx context.Context, c Config) (*Result, error) {
	r := newResult("ack")
	for _, rule := range []pollendoor.AckRule{pollendoor.AckBlind, pollendoor.AckReplicated} {
		l, err := StartLab(ctx, LabOptions{Settings: "ack: " + string(rule), Target: fakes.TargetOptions{ShipDelay: time.Millisecond}, Log: c.Log})
		if err != nil {
			return nil, err
		}
		h, err := writeLatency(ctx, l, c.duration(3*time.Second))
		l.Stop()
		if err != nil {
			return nil, err
		}
		r.Figures[string(rule)+"P50Ms"], r.Figures[string(rule)+"P99Ms"] = h.ms(50), h.ms(99)
	}
	r.Settings["shipDelayMs"] = 1
	return r, nil
}

// writeLatency writes for the duration d and returns the latencies.
func writeLatency(ctx context.Context, l *Lab, d time.Duration) (latencies, error) {
	h := newLatencies()
	client := &caller{lab: l, team: "festa", route: firstGroup}
	defer client.close(ctx)
	if err := client.exec(ctx, createGiftTable); err != nil {
		return h, err
	}
	for end := time.Now().Add(d); time.Now().Before(end); {
		start := time.Now()
		if err := client.exec(ctx, "INSERT INTO gift VALUES ('x', $1)", 1); err != nil {
			return h, err
		}
		h.add(time.Since(start))
	}
	return h, nil
}
