//go:build review

package main

import (
	"errors"
	"fmt"
	"sync"
	"time"
)

// routeFlip moves a route to another service and back while replicas fall behind. The
// rule STALE is broken if a read of a session lacks a commit of that session.
func routeFlip(r *record, trouble bool) (bool, error) {
	const (
		lag      = 1500 * time.Millisecond // within 60 times the usual 60 ms
		sessions = 9
		rounds   = 8
	)
	a := &service{name: "potes1", slots: 3, maxConns: 22, workTime: 8 * time.Millisecond}
	b := &service{name: "potes2", slots: 3, maxConns: 22, workTime: 8 * time.Millisecond}
	own := route("reconciliacao", "read_your_writes", "potes1", time.Second, time.Second, 2500*time.Millisecond)
	d, err := startDeployment(r, []*service{a, b}, []map[string]any{
		own,
		route("potes1-own", "read_your_writes", "potes1", time.Second, time.Second, 2500*time.Millisecond),
		route("potes2-own", "read_your_writes", "potes2", time.Second, time.Second, 2500*time.Millisecond),
	}, 9)
	if err != nil {
		return false, err
	}
	for _, host := range []string{"potes1-own", "potes2-own"} {
		if err := d.awaitServed(host, host); err != nil {
			return false, err
		}
	}
	stop := make(chan struct{})
	var background, wg sync.WaitGroup
	defer background.Wait()
	defer close(stop)
	// Other sessions keep both services busy. Each only writes or only reads.
	for i, v := range d.vms {
		for _, host := range []string{"potes1-own", "potes2-own"} {
			for _, text := range []string{"STORE other%d new", "FETCH other%d"} {
				background.Go(func() {
					c := &client{record: r, vm: v, host: host}
					defer c.close()
					for {
						select {
						case <-stop:
							return
						case <-time.After(150 * time.Millisecond):
						}
						if c.conn != nil || c.connect() == nil {
							c.do(fmt.Sprintf(text, i))
						}
					}
				})
			}
		}
	}
	if trouble {
		r.say("the replicas of %s apply %v late", a.name, lag)
		a.members[1].set(false, lag)
		a.members[2].set(false, lag)
	}
	time.Sleep(4 * time.Second)
	// move points the route to a service.
	move := func(s *service) { d.configure(func() { own["service"] = s.name }) }
	var mu sync.Mutex
	stale, checked := 0, 0
	for round := range rounds {
		clients := make([]*client, 0, sessions)
		for _, v := range d.vms {
			c := &client{record: r, vm: v, host: "reconciliacao"}
			if err := c.connect(); err != nil {
				return false, err
			}
			clients = append(clients, c)
		}
		first := make([]reply, len(clients))
		each := func(f func(i int, c *client)) {
			for i, c := range clients {
				wg.Go(func() { f(i, c) })
			}
			wg.Wait()
		}
		each(func(i int, c *client) { first[i] = c.do(fmt.Sprintf("STORE order%d-%d new", round, i)) })
		if trouble {
			move(b)
			time.Sleep(450 * time.Millisecond)
		}
		each(func(i int, c *client) { c.do(fmt.Sprintf("STORE second%d-%d new", round, i)) })
		if trouble {
			move(a)
			time.Sleep(450 * time.Millisecond)
		}
		each(func(i int, c *client) {
			want := fmt.Sprintf("order%d-%d=new", round, i)
			got := c.do(fmt.Sprintf("FETCH order%d-%d", round, i))
			mu.Lock()
			defer mu.Unlock()
			if !first[i].ok() || !got.ok() || first[i].sig[:len("i-potes1")] != got.sig[:len("i-potes1")] {
				return
			}
			checked++
			if got.row != want {
				stale++
				r.add("broken", "STALE: id=%s at %s got %q, want %q, %v after the session's own commit %s was acknowledged",
					got.id, got.sig, got.row, want, got.sent.Sub(first[i].answered), first[i].id)
			}
		})
		for _, c := range clients {
			c.close()
		}
		time.Sleep(3 * time.Second)
	}
	r.say("reads that lack an own commit: %d of %d", stale, checked)
	if checked == 0 {
		return false, errors.New("no read could be checked")
	}
	return stale == 0, nil
}
