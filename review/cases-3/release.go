package main

import (
	"fmt"
	"sync"
	"time"

	"github.com/pollendoor/pollendoor/platform/fake"
)

func init() { cases["release"] = playRelease }

const (
	// stepDownTime is how long an old primary continues after it can reach the new one.
	stepDownTime = time.Second
	// crashAfter is how long after its promotion the new primary crashes, and crashTime for
	// how long.
	crashAfter, crashTime = 300 * time.Millisecond, 6 * time.Second
	// deafTime is how long a replica receives nothing.
	deafTime = 6500 * time.Millisecond
)

// acknowledged are the writes that clients were told are committed.
type acknowledged struct {
	mu   sync.Mutex
	ids  map[string]time.Duration
	lost int
}

// playRelease replaces the primary as planned work while one replica receives nothing, and the
// new primary crashes shortly after its promotion. Rule LOST: with syncReplicas, each
// acknowledged commit is in the log of the database that is promoted.
func playRelease(f *fleet, trouble bool) (bool, error) {
	const maxConns, timeoutMs = 22, 1000
	databases, group, err := f.addService("potes", maxConns, 20*time.Millisecond, 5*time.Millisecond)
	if err != nil {
		return false, err
	}
	group.SyncReplicas = 1
	acked := acknowledged{ids: make(map[string]time.Duration)}
	members := group.Members()
	d1, d2, d3 := members[0], members[1], members[2]
	var promotions int
	group.OnPromote = func(p fake.Promotion) { // the group's lock is held
		promotions++
		acked.mu.Lock()
		var missing []string
		for id := range acked.ids {
			if !p.Committed[id] {
				missing = append(missing, id)
			}
		}
		acked.lost += len(missing)
		acked.mu.Unlock()
		f.note("%s leads from now on; %d acknowledged writes, %d of them are not in its log", p.Target, len(acked.ids), len(missing))
		if trouble && promotions == 1 {
			time.AfterFunc(crashAfter, func() {
				f.note("%s, the new primary, crashes", p.Target)
				for _, m := range members {
					if m.ID == p.Target {
						m.Suspend()
						time.Sleep(crashTime)
						m.Resume()
						f.note("%s is back with its log", m.ID)
					}
				}
			})
		}
		// The old primary becomes a replica a second after it can reach the new one.
		time.AfterFunc(stepDownTime, func() {
			if p := group.Primary(); p != d1 && !(trouble && promotions == 1) {
				d1.SetDeaf(false)
			}
		})
	}
	address := f.startStore(databases...)
	f.configure(timeoutMs, maxConns)
	f.addVMs(3, address, address)
	for _, v := range f.vms {
		if err := v.start(true); err != nil {
			return false, err
		}
	}
	if err := f.awaitReady(15 * time.Second); err != nil {
		return false, err
	}
	b := &balancer{fleet: f, miss: make(map[string]int)}
	stop := make(chan struct{})
	go b.probe(stop)
	var wg sync.WaitGroup
	for i := range 4 {
		wg.Add(1)
		go func() {
			defer wg.Done()
			writeItems(f, b, i, &acked, stop)
		}()
	}
	time.Sleep(4 * time.Second)
	d1.SetDeaf(true) // as a primary it has nothing to receive
	if trouble {
		f.note("%s receives nothing for %v", d3.ID, deafTime)
		d3.SetDeaf(true)
		time.AfterFunc(deafTime, func() { d3.SetDeaf(false) })
	}
	time.Sleep(time.Second)
	f.note("%s, the primary, is about to leave", d1.ID)
	f.setEntry(databases, d1.ID, "draining", 0)
	time.Sleep(12 * time.Second)
	close(stop)
	wg.Wait()
	for _, m := range []*fake.LineMember{d1, d2, d3} {
		f.note("%s: %d statements in its log, leads %t", m.ID, len(m.LogIDs()), m == group.Primary())
	}
	acked.mu.Lock()
	defer acked.mu.Unlock()
	f.note("%d writes were acknowledged; promoted databases lacked %d", len(acked.ids), acked.lost)
	return acked.lost > 0, nil
}

// writeItems writes items one after the other until stop is closed.
func writeItems(f *fleet, b *balancer, who int, acked *acknowledged, stop <-chan struct{}) {
	var c *client
	var v *vm
	for n := 0; ; n++ {
		select {
		case <-stop:
			return
		case <-time.After(50 * time.Millisecond):
		}
		if c == nil {
			v = b.pick(v)
			var err error
			if c, err = connect(v.addr(0), "potes-primary"); err != nil {
				c = nil
				continue
			}
		}
		a, err := c.query(fmt.Sprintf("STORE item%d-%d %d", who, n, n), 4*time.Second)
		f.note("client %d at %s: STORE item%d-%d: id %s, answer %q, error %v", who, v.name, who, n, a.id, a.code, err)
		if a.code == "OK" && err == nil {
			acked.mu.Lock()
			acked.ids[a.id] = time.Since(f.began)
			acked.mu.Unlock()
		}
		if err != nil {
			c.close()
			c = nil
		}
	}
}
