package main

import (
	"fmt"
	"os"
	"strings"
	"sync"
	"time"
)

func init() { cases["reborn"] = playReborn }

// playReborn lets all VMs lose power, and the primary with them, which starts again under its
// id without what it held. Rule STALE: a read on a primary route sees each commit that was
// acknowledged before it. PART=vms and PART=database leave out the other half.
func playReborn(f *fleet, trouble bool) (bool, error) {
	const maxConns, timeoutMs, items, clients = 22, 1000, 40, 6
	part := os.Getenv("PART")
	vmsLost, databaseLost := trouble && part != "database", trouble && part != "vms"
	databases, group, err := f.addService("potes", maxConns, 20*time.Millisecond, 10*time.Millisecond)
	if err != nil {
		return false, err
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
	defer close(stop)
	go b.probe(stop)
	time.Sleep(2 * time.Second)
	for i := range items {
		if err := writeItem(f, b, fmt.Sprintf("item%d", i), fmt.Sprintf("item%d/first", i)); err != nil {
			return false, err
		}
	}
	time.Sleep(2 * time.Second)
	if vmsLost {
		f.note("all VMs lose power")
		for _, v := range f.vms {
			v.powerOff()
		}
	}
	if databaseLost {
		p := group.Primary()
		f.note("%s, the primary, starts again under its id", p.ID)
		p.Restart()
		f.setEntry(databases, p.ID, "ready", time.Since(f.began).Milliseconds())
	}
	time.Sleep(1500 * time.Millisecond)
	back := time.Since(f.began)
	if vmsLost {
		for _, v := range f.vms {
			if err := v.powerOn(); err != nil {
				return false, err
			}
		}
	}
	var reads reborn
	var wg sync.WaitGroup
	until := time.Now().Add(25 * time.Second)
	for range clients {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for time.Now().Before(until) {
				reads.next(f, b, items)
				time.Sleep(50 * time.Millisecond)
			}
		}()
	}
	wg.Wait()
	f.note("%d reads without an acknowledged commit, the last one %v after the VMs' return, %d with it, %d not served; %d of %d writes served",
		reads.stale, (reads.last - back).Round(time.Millisecond), reads.good, reads.other, reads.written, reads.writes)
	for _, m := range group.Members() {
		f.note("%s: %d statements in its log, primary %t", m.ID, len(m.LogIDs()), m == group.Primary())
	}
	return reads.stale > 0, nil
}

// powerOff ends the VM's process without a start of the next one.
func (v *vm) powerOff() {
	v.mu.Lock()
	v.stopping = true
	_ = v.cmd.Process.Kill()
	v.mu.Unlock()
}

// powerOn starts the VM again.
func (v *vm) powerOn() error {
	v.mu.Lock()
	v.stopping = false
	v.mu.Unlock()
	return v.start(false)
}

// reborn counts what clients got after the loss of power.
type reborn struct {
	mu                    sync.Mutex
	n, stale, good, other int
	last                  time.Duration // time of the last read without an acknowledged commit
	writes, written       int
}

// next makes one operation of a client: one in five is a write, of an item of its own.
func (r *reborn) next(f *fleet, b *balancer, items int) {
	r.mu.Lock()
	r.n++
	n := r.n
	r.mu.Unlock()
	item, v := fmt.Sprintf("item%d", n%items), b.pick(nil)
	text := "FETCH " + item
	if n%5 == 0 {
		text = fmt.Sprintf("STORE later%d %d", n, n)
	}
	var a answer
	c, err := connect(v.addr(0), "potes-primary")
	if err == nil {
		a, err = c.query(text, 3*time.Second)
		c.close()
	}
	f.note("%s at %s: id %s, answer %q, row %q, error %v", text, v.name, a.id, a.code, a.first, err)
	served := err == nil && a.code == "OK"
	r.mu.Lock()
	defer r.mu.Unlock()
	switch {
	case n%5 == 0:
		r.writes++
		if served {
			r.written++
		}
	case !served:
		r.other++
	case strings.HasPrefix(a.first, item+"/"):
		r.good++
	default:
		r.stale++
		r.last = time.Since(f.began)
	}
}

// writeItem writes an item on the primary route.
func writeItem(f *fleet, b *balancer, item, value string) error {
	var err error
	for range 20 {
		var c *client
		if c, err = connect(b.pick(nil).addr(0), "potes-primary"); err == nil {
			var a answer
			a, err = c.query("STORE "+item+" "+value, 3*time.Second)
			c.close()
			f.note("STORE %s %s: id %s, answer %s", item, value, a.id, a.code)
			if a.code == "OK" {
				return nil
			}
		}
		time.Sleep(300 * time.Millisecond)
	}
	return fmt.Errorf("item %s not written: %v", item, err)
}
