package main

import (
	"fmt"
	"sync"
	"time"
)

// failedReset lets one database of nine fail a share of its requests, DISCARD among them,
// and checks that statements run with the values of their own session. No client opens a
// transaction.
func failedReset(rec *record, trouble bool) ([]string, error) {
	w, err := newWorld(rec, []string{"potes1", "potes2", "potes3"}, threeVMs, 0)
	defer w.stop()
	if err != nil {
		return nil, err
	}
	g := w.groups[0]
	stop := make(chan struct{})
	var wg sync.WaitGroup
	for i := range 12 {
		c := &client{name: fmt.Sprintf("client%d", i), vm: w.vms[i%len(w.vms)], ops: w.ops, rec: rec}
		values := []string{"lang pt", "shop " + c.name}
		if i%4 < 2 {
			values = []string{"cart " + c.name}
		}
		wg.Add(1)
		go func() {
			defer wg.Done()
			defer c.close()
			for n := 0; !isDone(stop); n++ {
				if c.conn == nil && !c.openWith("potes1-primary", values) {
					time.Sleep(100 * time.Millisecond)
					continue
				}
				c.single(fmt.Sprintf("STORE %s-%d v", c.name, n))
				time.Sleep(40 * time.Millisecond)
			}
		}()
	}
	time.Sleep(warmUp)
	if trouble {
		primary := g.leading()
		g.mu.Lock()
		primary.failsReset = true
		g.mu.Unlock()
		g.setFailing(primary, failingShare)
		time.Sleep(failingTime)
		g.setFailing(primary, 0)
	} else {
		time.Sleep(failingTime)
	}
	time.Sleep(2 * time.Second)
	close(stop)
	wg.Wait()
	return g.result(rec), nil
}
