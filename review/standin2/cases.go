package main

import (
	"errors"
	"fmt"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	// warmUp is how long clients are served before the disruption.
	warmUp = 3 * time.Second
	// failingTime and failingShare are the longest time and the largest share of requests
	// of srv_grey on the pages.
	failingTime  = 7 * time.Second
	failingShare = 0.45
)

// acked is an acknowledged write.
type acked struct {
	id, client string
	at         time.Time
}

// refusedSetup lets one database of nine fail a share of its requests, and checks that
// statements run in their own transactions and that acknowledged writes are kept.
func refusedSetup(rec *record, trouble bool) ([]string, error) {
	w, err := newWorld(rec, []string{"potes1", "potes2", "potes3"}, threeVMs, 0)
	defer w.stop()
	if err != nil {
		return nil, err
	}
	g := w.groups[0]
	stop := make(chan struct{})
	var mu sync.Mutex
	var writes []acked
	keep := func(a acked) {
		mu.Lock()
		defer mu.Unlock()
		writes = append(writes, a)
	}
	var wg sync.WaitGroup
	for i := range 12 {
		c := &client{name: fmt.Sprintf("client%d", i), vm: w.vms[i%len(w.vms)], ops: w.ops, rec: rec}
		wg.Add(1)
		go func() {
			defer wg.Done()
			defer c.close()
			for n := 0; !isDone(stop); n++ {
				if c.conn == nil && !c.openWithValues() {
					time.Sleep(100 * time.Millisecond)
					continue
				}
				item := fmt.Sprintf("%s-%d", c.name, n)
				if i%2 == 0 {
					if id, a := c.single("STORE " + item + " v"); a.code == "OK" {
						keep(acked{id, c.name, time.Now()})
					}
				} else {
					ids, a := c.transaction(5*time.Millisecond, "STORE "+item+" v", "FETCH "+item)
					if a.code == "OK" {
						keep(acked{ids[0], c.name, time.Now()})
					}
				}
				time.Sleep(40 * time.Millisecond)
			}
		}()
	}
	time.Sleep(warmUp)
	if trouble {
		g.setFailing(g.leading(), failingShare)
		time.Sleep(failingTime)
		g.setFailing(g.leading(), 0)
	} else {
		time.Sleep(failingTime)
	}
	time.Sleep(2 * time.Second)
	close(stop)
	wg.Wait()
	broken := g.result(rec)
	if n := g.promotions(); n > 0 {
		return broken, nil // a promotion may have rolled acknowledged writes back
	}
	committed := g.committed()
	for _, a := range writes {
		if committed[a.id] == 0 {
			broken = append(broken, fmt.Sprintf("write %s of %s was acknowledged and is not in the log of the primary, though no other database was promoted", a.id, a.client))
		}
	}
	return broken, nil
}

// openWithValues opens a session on the primary route and sets its values.
func (c *client) openWithValues() bool {
	return c.openWith("potes1-primary", []string{"lang pt", "shop " + c.name})
}

// openWith opens a session on a route and sets its values, each given as name and value.
func (c *client) openWith(host string, values []string) bool {
	if !c.connect(host, "k1") {
		return false
	}
	for _, v := range values {
		if _, a := c.single("SET " + v); a.code != "OK" {
			c.close()
			return false
		}
		c.values = strings.TrimSpace(c.values + " " + strings.Replace(v, " ", "=", 1))
	}
	return true
}

func isDone(c <-chan struct{}) bool {
	select {
	case <-c:
		return true
	default:
		return false
	}
}

// setFailing lets a database fail a share of its requests.
func (g *group) setFailing(d *database, share float64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	d.failing = share
	g.noteLocked("%s fails %g of its requests", d.id, share)
}

// promotions returns how many promotions have taken effect.
func (g *group) promotions() uint64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	var term uint64
	for _, d := range g.members {
		term = max(term, d.term)
	}
	return term - 1
}

// result writes the group's events to the record and returns the broken rules.
func (g *group) result(rec *record) []string {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, e := range g.events {
		rec.line("database: %s", e)
	}
	return g.breaches
}

// startAgain ends the process of a primary and starts it again at once, and checks that
// reads see what was acknowledged. Each client writes once, before that.
func startAgain(rec *record, trouble bool) ([]string, error) {
	w, err := newWorld(rec, []string{"potes1", "potes2", "potes3"}, threeVMs, 0)
	defer w.stop()
	if err != nil {
		return nil, err
	}
	g := w.groups[0]
	stop := make(chan struct{})
	var mu sync.Mutex
	var broken []string
	var wg sync.WaitGroup
	for i := range 9 {
		c := &client{name: fmt.Sprintf("client%d", i), vm: w.vms[i%len(w.vms)], ops: w.ops, rec: rec}
		wg.Add(1)
		go func() {
			defer wg.Done()
			defer c.close()
			var last acked
			for n := 0; !isDone(stop); n++ {
				if c.conn == nil && !c.connect("potes1-primary", "k1") {
					time.Sleep(100 * time.Millisecond)
					continue
				}
				if last.id == "" {
					id, a := c.single(fmt.Sprintf("STORE %s %d", c.name, n+1))
					if a.code == "OK" {
						last = acked{id, c.name, time.Now()}
					}
				}
				if c.conn == nil || last.id == "" {
					continue
				}
				begin := time.Now()
				id, a := c.single("FETCH " + c.name)
				if a.code == "OK" && a.row == "" && g.promotions() == 0 {
					mu.Lock()
					broken = append(broken, fmt.Sprintf("STALE: read %s of %s got an empty row, %v after its write %s was acknowledged; no database had been promoted",
						id, c.name, begin.Sub(last.at).Round(time.Millisecond), last.id))
					mu.Unlock()
				}
				time.Sleep(40 * time.Millisecond)
			}
		}()
	}
	time.Sleep(warmUp)
	if trouble {
		g.leading().startAgain()
	}
	time.Sleep(12 * time.Second)
	close(stop)
	wg.Wait()
	return append(g.result(rec), broken...), nil
}

const (
	// configApply is configApplyMs of the smaller deployments.
	configApply = 3 * time.Second
	// freezeTime is the longest time that a machine is frozen on the pages.
	freezeTime = 4 * time.Second
)

// frozenNeighbor freezes, one after the other, the VMs from which the others of their zones
// get the configuration. It takes a key away each time, and checks that the other VMs of
// the zone refuse it once configApply has passed. The leader is not frozen: the others then
// read the store themselves for a while.
func frozenNeighbor(rec *record, trouble bool) ([]string, error) {
	services := []string{"potes1", "potes2", "potes3"}
	keys := []string{"k2", "k3", "k4"}
	w, err := newWorld(rec, services, nineVMs, 0, keys...)
	defer w.stop()
	if err != nil {
		return nil, err
	}
	stop := make(chan struct{})
	var load sync.WaitGroup
	defer load.Wait()
	defer close(stop)
	for i, v := range w.vms {
		for n := range 6 {
			c := &client{name: fmt.Sprintf("load%d-%d", i, n), vm: v, ops: w.ops, rec: rec}
			load.Add(1)
			go func() {
				defer load.Done()
				c.readAll(services[n%len(services)]+"-read_your_writes", "k1", stop, func(string, time.Time) {})
			}()
		}
	}
	time.Sleep(warmUp)
	w.configure()
	time.Sleep(2 * time.Second)
	var sources []*vm
	for _, v := range w.vms {
		if v.logged(logLine{Message: "configuration in force", Version: w.version, Source: "store"}) && !v.logged(logLine{Message: "leadership claimed"}) {
			sources = append(sources, v)
		}
	}
	if len(sources) == 0 {
		return nil, fmt.Errorf("no VM but the leader has the configuration from the store")
	}
	var broken []string
	for i, frozen := range sources[:min(len(sources), len(keys))] {
		neighbors := slices.DeleteFunc(slices.Clone(w.vms), func(v *vm) bool { return v.zone != frozen.zone || v == frozen })
		broken = append(broken, w.withoutKey(keys[i], frozen, neighbors, trouble)...)
	}
	return broken, nil
}

// withoutKey takes a key away while a VM stands still, and returns a breach for each
// request with the key that was sent to one of the neighbors after configApply and ran.
func (w *world) withoutKey(key string, frozen *vm, neighbors []*vm, trouble bool) []string {
	var mu sync.Mutex
	var broken []string
	var taken time.Time // when the store had accepted the version without the key
	stop := make(chan struct{})
	var users sync.WaitGroup
	for _, v := range neighbors {
		for n := range 2 {
			c := &client{name: fmt.Sprintf("user-%s-%s-%d", key, v.name, n), vm: v, ops: w.ops, rec: w.rec}
			users.Add(1)
			go func() {
				defer users.Done()
				c.readAll("potes1-primary", key, stop, func(id string, sent time.Time) {
					mu.Lock()
					defer mu.Unlock()
					if late := sent.Sub(taken); !taken.IsZero() && late > configApply {
						broken = append(broken, fmt.Sprintf("CONFIG: request %s with the key %s was sent to %s %v after the store had accepted the version without the key, and was run",
							id, key, v.name, late.Round(time.Millisecond)))
					}
				})
			}()
		}
	}
	time.Sleep(time.Second)
	if trouble {
		w.rec.line("%s stands still", frozen.name)
		frozen.signal(syscall.SIGSTOP)
		time.Sleep(100 * time.Millisecond)
	}
	w.keys = slices.DeleteFunc(w.keys, func(k string) bool { return k == key })
	w.configure()
	mu.Lock()
	taken = time.Now()
	mu.Unlock()
	w.rec.line("version %d without the key %s is in the store", w.version, key)
	time.Sleep(freezeTime)
	if trouble {
		frozen.signal(syscall.SIGCONT)
		w.rec.line("%s goes on", frozen.name)
	}
	time.Sleep(500 * time.Millisecond)
	close(stop)
	users.Wait()
	return broken
}

// readAll reads items on a route until stop is closed, and reports each read that was
// answered with success.
func (c *client) readAll(host, key string, stop <-chan struct{}, ran func(id string, sent time.Time)) {
	defer c.close()
	for !isDone(stop) {
		if c.conn == nil && !c.connect(host, key) {
			time.Sleep(50 * time.Millisecond)
			continue
		}
		sent := time.Now()
		if id, a := c.single("FETCH item"); a.code == "OK" {
			ran(id, sent)
		}
		time.Sleep(30 * time.Millisecond)
	}
}

const (
	// deafTime and crashTime are the longest times of replica_lag with "deaf crash" and of
	// a crash of a primary on the pages.
	deafTime  = 6500 * time.Millisecond
	crashTime = 7 * time.Second
)

// emptyReplica crashes a primary while one replica receives nothing, and lets the other
// replica start again at that time.
func emptyReplica(rec *record, trouble bool) ([]string, error) {
	return promoteBehind(rec, trouble, func(_ *world, current *database) error {
		current.startAgain()
		time.Sleep(crashTime)
		return nil
	})
}

// leaderKillDelay is how long after the crashes goneEntry kills the leader: the next one
// takes over about when the entries of the crashed databases leave the store.
const leaderKillDelay = 2600 * time.Millisecond

// goneEntry crashes a primary and a replica while the other replica receives nothing, and
// kills the leader. It is no case: it needs three disruptions.
func goneEntry(rec *record, trouble bool) ([]string, error) {
	return promoteBehind(rec, trouble, func(w *world, current *database) error {
		current.crash()
		time.Sleep(leaderKillDelay)
		i := slices.IndexFunc(w.vms, func(v *vm) bool { return v.logged(logLine{Message: "leadership claimed"}) })
		if i < 0 {
			return errors.New("no VM has claimed the leadership")
		}
		rec.line("%s is killed", w.vms[i].name)
		w.vms[i].signal(syscall.SIGKILL)
		time.Sleep(crashTime - leaderKillDelay)
		return current.restart()
	})
}

// promoteBehind crashes a primary for crashTime while one replica receives nothing, and
// calls disrupt meanwhile with the other replica. It checks that acknowledged commits are
// in the log of the database that is promoted.
func promoteBehind(rec *record, trouble bool, disrupt func(w *world, current *database) error) ([]string, error) {
	w, writes, stop, err := newWriters(rec)
	defer w.stop()
	if err != nil {
		return nil, err
	}
	g := w.groups[0]
	time.Sleep(warmUp)
	if trouble {
		primary, current, behind := g.members[0], g.members[1], g.members[2]
		behind.setDeaf(true)
		time.AfterFunc(deafTime, func() { behind.setDeaf(false) })
		time.Sleep(2 * time.Second)
		primary.crash()
		err = disrupt(w, current)
		err = errors.Join(err, primary.restart())
	} else {
		time.Sleep(2*time.Second + crashTime)
	}
	time.Sleep(8 * time.Second)
	stop()
	if err != nil {
		return nil, err
	}
	return append(g.result(rec), g.lostWrites(writes())...), nil
}

// newWriters starts a deployment whose commits need a replica, and clients that write to
// its first group. Stop ends the clients; writes then returns what was acknowledged.
func newWriters(rec *record) (w *world, writes func() []acked, stop func(), err error) {
	w, err = newWorld(rec, []string{"potes1", "potes2", "potes3"}, threeVMs, 1)
	if err != nil {
		return w, nil, nil, err
	}
	stopped := make(chan struct{})
	var mu sync.Mutex
	var list []acked
	var wg sync.WaitGroup
	for i := range 9 {
		c := &client{name: fmt.Sprintf("client%d", i), vm: w.vms[i%len(w.vms)], ops: w.ops, rec: rec}
		wg.Add(1)
		go func() {
			defer wg.Done()
			defer c.close()
			for n := 0; !isDone(stopped); n++ {
				if c.conn == nil && !c.connect("potes1-primary", "k1") {
					time.Sleep(100 * time.Millisecond)
					continue
				}
				if id, a := c.single(fmt.Sprintf("STORE %s-%d v", c.name, n)); a.code == "OK" {
					mu.Lock()
					list = append(list, acked{id, c.name, time.Now()})
					mu.Unlock()
				}
				time.Sleep(40 * time.Millisecond)
			}
		}()
	}
	stop = func() {
		close(stopped)
		wg.Wait()
	}
	return w, func() []acked { return list }, stop, nil
}

// lostWrites returns a breach for each acknowledged write that a promoted database lacks.
func (g *group) lostWrites(writes []acked) []string {
	g.mu.Lock()
	defer g.mu.Unlock()
	var broken []string
	for _, p := range g.promoted {
		if p.startedAgain {
			continue
		}
		for _, a := range writes {
			if a.at.Before(p.at) && !p.ids[a.id] {
				broken = append(broken, fmt.Sprintf("LOST: %s was promoted without write %s of %s, which was acknowledged %v before",
					p.target, a.id, a.client, p.at.Sub(a.at).Round(time.Millisecond)))
			}
		}
	}
	return broken
}
