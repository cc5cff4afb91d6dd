//go:build review

package main

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"
)

const (
	drainTime = 7 * time.Second         // drainMs
	deafTime  = 6500 * time.Millisecond // how long a replica receives nothing
	crashTime = 7 * time.Second         // how long a primary is down
)

// syncReplicas lets one replica receive nothing for a while, and the primary crash
// meanwhile. Clients press as usual.
func syncReplicas(r *record, trouble bool) (bool, error) {
	return loseCommits(r, trouble, 6, false)
}

// drainingReplica does the same under a light load, while the other replica is about
// to be replaced.
func drainingReplica(r *record, trouble bool) (bool, error) {
	return loseCommits(r, trouble, 1, true)
}

// loseCommits plays a service whose commits wait for one replica, with a number of
// readers at each machine. The rule LOST is broken if an acknowledged commit is not in
// the log of the database that is promoted.
func loseCommits(r *record, trouble bool, readers int, release bool) (bool, error) {
	s := &service{name: "potes", slots: 3, maxConns: 22, syncReplicas: 1, workTime: 8 * time.Millisecond}
	d, err := startDeployment(r, []*service{s}, []map[string]any{
		route("contribuicao", "primary", "potes", time.Second, 600*time.Millisecond, 0),
		route("consulta-pote", "bounded_staleness", "potes", 2*time.Second, 1200*time.Millisecond, 1500*time.Millisecond),
	}, 9)
	if err != nil {
		return false, err
	}
	if err := d.awaitServed("contribuicao", "consulta-pote"); err != nil {
		return false, err
	}
	stop := make(chan struct{})
	var wg sync.WaitGroup
	var mu sync.Mutex
	var acked []reply // writes that were acknowledged
	counts := make(map[string]int)
	// loop runs a client's statements with pauses until stop.
	loop := func(v *vm, host string, pause time.Duration, text func(n int) string, done func(reply)) {
		wg.Go(func() {
			c := &client{record: r, vm: v, host: host}
			defer c.close()
			for n := 0; ; n++ {
				select {
				case <-stop:
					return
				case <-time.After(pause/2 + rand.N(pause)):
				}
				if c.conn == nil && c.connect() != nil {
					continue
				}
				done(c.do(text(n)))
			}
		})
	}
	for i, v := range d.vms {
		for j := range readers {
			loop(v, "consulta-pote", 400*time.Millisecond, func(int) string { return fmt.Sprintf("FETCH w40-pot%d", i*readers+j) }, func(reply) {})
		}
		loop(v, "contribuicao", 250*time.Millisecond, func(n int) string { return fmt.Sprintf("STORE gift%d %d", i, n) }, func(a reply) {
			mu.Lock()
			defer mu.Unlock()
			counts[a.code]++
			if a.ok() {
				acked = append(acked, a)
			}
		})
	}
	time.Sleep(4 * time.Second)
	primary, deaf, current := s.members[0], s.members[1], s.members[2]
	if trouble {
		if release {
			r.say("%s is draining and goes on serving for %v", current.id, drainTime)
			d.drain(current)
			time.Sleep(time.Second)
		}
		r.say("%s receives nothing for %v, up-to-date replica is %s", deaf.id, deafTime, current.id)
		deaf.set(true, 60*time.Millisecond)
		time.AfterFunc(deafTime, func() { deaf.set(false, 60*time.Millisecond) })
		time.Sleep(2 * time.Second)
		r.say("the primary %s crashes for %v", primary.id, crashTime)
		d.crash(primary, crashTime)
	}
	if release {
		time.Sleep(drainTime - 4*time.Second) // the draining database still serves
	} else {
		time.Sleep(10 * time.Second)
	}
	close(stop)
	wg.Wait()
	s.mu.Lock()
	defer s.mu.Unlock()
	r.say("writes by answer: %v, promotions: %d", counts, len(s.promotions))
	if trouble && len(s.promotions) == 0 {
		return false, errors.New("no database was promoted")
	}
	lost := 0
	logs := append([]promotion{}, s.promotions...)
	if len(logs) == 0 {
		logs = append(logs, promotion{at: time.Now(), target: primary.id, log: primary.log})
	}
	for _, p := range logs {
		has := make(map[string]bool)
		for _, e := range p.log {
			for _, id := range e.ids {
				has[id] = true
			}
		}
		for _, a := range acked {
			if a.answered.Before(p.at) && !has[a.id] {
				lost++
				r.add("broken", "LOST: id=%s %s acknowledged by %s is not in the log of the promoted %s", a.id, a.text, a.sig, p.target)
			}
		}
	}
	r.say("acknowledged commits that the promoted database lacks: %d of %d", lost, len(acked))
	return lost == 0, nil
}
