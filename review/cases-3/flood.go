package main

import (
	"net"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases["flood"] = playFlood }

// playFlood opens connections that send one message of nearly the greatest length but not its
// end, before any key is known. Rule Fault, as in rows.
func playFlood(f *fleet, trouble bool) (bool, error) {
	const maxConns, timeoutMs = 22, 1000
	const conns, floods = 420, 20
	size := 1_000_000
	if !trouble {
		size = 600
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
	time.Sleep(2 * time.Second)
	for i := range floods {
		v := b.pick(nil)
		sent := flood(v, conns, size)
		f.note("flood %d: %d connections to %s sent %d MB", i+1, conns, v.name, sent>>20)
		time.Sleep(500 * time.Millisecond)
	}
	close(stop)
	return f.endedAlone(3, 2), nil
}

// floodTime is how long a flood takes: its bytes fill no link of 1,000 Mbit/s.
const floodTime = 3500 * time.Millisecond

// flood opens connections to a VM, sends on each an unfinished message in slices, and closes
// them after some seconds. It returns the number of bytes that were sent.
func flood(v *vm, conns, size int) int64 {
	const slices = 50
	var sent atomic.Int64
	var wg sync.WaitGroup
	message := []byte("STARTUP " + filler[:size])
	for range conns {
		wg.Add(1)
		go func() {
			defer wg.Done()
			c, err := net.DialTimeout("tcp4", v.addr(0), time.Second)
			if err != nil {
				return
			}
			defer c.Close()
			c.SetDeadline(time.Now().Add(floodTime + time.Second))
			tick := time.NewTicker(floodTime / slices)
			defer tick.Stop()
			for i := range slices {
				<-tick.C
				n, err := c.Write(message[i*len(message)/slices : (i+1)*len(message)/slices])
				sent.Add(int64(n))
				if err != nil {
					return
				}
			}
			_, _ = c.Read(make([]byte, 1)) // until the VM closes the connection
		}()
	}
	wg.Wait()
	return sent.Load()
}
