package main

import (
	"bytes"
	"net/http"
	"strconv"
	"sync"
	"time"
)

func init() { cases["promote"] = playPromote }

// cutTime is how long the leader is cut off from the platform. It is shorter than the time
// after which the VM's own sockets give up (3 s).
const cutTime = 2900 * time.Millisecond

// tokens checks the fencing tokens of the promotion calls in the order of their arrival.
type tokens struct {
	mu     sync.Mutex
	newest uint64
	broken int
	calls  int
}

func (t *tokens) note(f *fleet, group, target, leader, token string) {
	n, err := strconv.ParseUint(token, 10, 64)
	t.mu.Lock()
	defer t.mu.Unlock()
	t.calls++
	f.note("promotion call arrives: service %s, database %s, holder %s, token %s, newest token before %d", group, target, leader, token, t.newest)
	if err != nil || n < t.newest {
		t.broken++
		f.note("ONE: token %s after %d", token, t.newest)
	}
	t.newest = max(t.newest, n)
}

// playPromote replaces the primary some times, as planned work. While the promotion call is
// on its way, the VM that sends it is cut off from the platform. Rule ONE: no promotion with a
// lower token than one that the platform has seen.
func playPromote(f *fleet, trouble bool) (bool, error) {
	const maxConns, timeoutMs, rounds = 22, 1000, 3
	databases, group, err := f.addService("potes", maxConns, 20*time.Millisecond, 10*time.Millisecond)
	if err != nil {
		return false, err
	}
	address := f.startStore(databases...)
	f.configure(timeoutMs, maxConns)
	var seen tokens
	f.store.Promote = func(service, target, leader, token string) int {
		seen.note(f, service, target, leader, token)
		if group.Promote(target) {
			return http.StatusOK
		}
		return http.StatusConflict
	}
	var mu sync.Mutex
	armed := false
	f.addVMs(3, "", "")
	for _, v := range f.vms {
		store, err := newLink(address, nil)
		if err != nil {
			return false, err
		}
		var cloud *link
		cloud, err = newLink(address, func(data []byte) {
			mu.Lock()
			defer mu.Unlock()
			if armed && bytes.HasPrefix(data, []byte("POST /promote")) {
				armed = false
				if trouble {
					f.note("%s sends a promotion call and is cut off from the platform for %v", v.name, cutTime)
					store.cutFor(cutTime)
					cloud.cutFor(cutTime)
				}
			}
		})
		if err != nil {
			return false, err
		}
		v.store, v.cloud = store.addr(), cloud.addr()
		if err := v.start(true); err != nil {
			return false, err
		}
	}
	if err := f.awaitReady(15 * time.Second); err != nil {
		return false, err
	}
	time.Sleep(6 * time.Second)
	for i := range rounds {
		old := group.Primary()
		mu.Lock()
		armed = true
		mu.Unlock()
		f.note("round %d: %s, the primary, is about to leave", i+1, old.ID)
		f.setEntry(databases, old.ID, "draining", 1)
		for until := time.Now().Add(9 * time.Second); group.Primary() == old && time.Now().Before(until); {
			time.Sleep(10 * time.Millisecond)
		}
		f.note("round %d: the primary is %s", i+1, group.Primary().ID)
		time.Sleep(3 * time.Second)
		f.store.Remove("servers", old.ID)
		time.Sleep(3 * time.Second)
		f.setEntry(databases, old.ID, "ready", int64(i+2))
		time.Sleep(6 * time.Second)
	}
	f.note("%d promotion calls, %d with a lower token than one before", seen.calls, seen.broken)
	return seen.broken > 0, nil
}
