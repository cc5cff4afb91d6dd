package main

import (
	"fmt"
	"sync"
	"time"
)

func init() { cases["rows"] = playRows }

// playRows lets clients read a table of many rows. Rule Fault: at two machines or more the
// processes end by themselves three times.
func playRows(f *fleet, trouble bool) (bool, error) {
	const maxConns, timeoutMs, readers, rows = 22, 2000, 4, 80
	size := 1_000_000
	if !trouble {
		size = 250
	}
	databases, _, err := f.addService("potes", maxConns, 60*time.Millisecond, 24*time.Millisecond)
	if err != nil {
		return false, err
	}
	address := f.startStore(databases...)
	f.configure(timeoutMs, maxConns)
	f.addVMs(6, address, address)
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
	if err := writeItem(f, b, "relatorio", fmt.Sprintf("table/%d/%d", rows, size)); err != nil {
		return false, err
	}
	time.Sleep(2 * time.Second)
	var wg sync.WaitGroup
	until := time.Now().Add(40 * time.Second)
	for i := range readers {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for n := 0; time.Now().Before(until); n++ {
				readTable(f, b, i, n)
				time.Sleep(time.Second)
			}
		}()
	}
	wg.Wait()
	close(stop)
	return f.endedAlone(3, 2), nil
}

// readTable is one operation of a client: a read, with two retries on other VMs.
func readTable(f *fleet, b *balancer, who, n int) {
	var last *vm
	for try := range 3 {
		v := b.pick(last)
		last = v
		c, err := connect(v.addr(0), "potes-bounded_staleness")
		if err != nil {
			f.note("client %d, operation %d, attempt %d at %s: no session: %v", who, n, try+1, v.name, err)
			time.Sleep(100 * time.Millisecond)
			continue
		}
		sent := time.Now()
		a, err := c.query("FETCH relatorio", 6*time.Second)
		c.close()
		f.note("client %d, operation %d, attempt %d at %s: id %s, answer %q, %d rows, %d bytes after %d ms, error %v",
			who, n, try+1, v.name, a.id, a.code, a.rows, a.bytes, time.Since(sent).Milliseconds(), err)
		if a.code == "OK" && err == nil {
			return
		}
		time.Sleep(100 * time.Millisecond)
	}
}

// endedAlone notes the ends of the processes and reports whether at least machines VMs had
// at least ends of them.
func (f *fleet) endedAlone(ends, machines int) bool {
	n := 0
	for _, v := range f.vms {
		v.mu.Lock()
		f.note("%s: peak memory %d MB, %d ends of its own %v", v.name, v.peakKB>>10, len(v.ends), v.ends)
		if len(v.ends) >= ends {
			n++
		}
		v.mu.Unlock()
	}
	return n >= machines
}
