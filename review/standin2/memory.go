package main

import (
	"bytes"
	"fmt"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	// memoryLimit is memoryMb of the smaller deployments. A process that exceeds it is
	// killed.
	memoryLimit = 284 << 20
	// floodTime is the longest time of rude on the pages.
	floodTime = 6500 * time.Millisecond
	// floodPause is the time between two floods.
	floodPause = 8 * time.Second
	// restartDelay is the time from the end of a process to its next start.
	restartDelay = 500 * time.Millisecond
	// shapeSize leaves room for the rest of a message of 1 MiB.
	shapeSize = 1<<20 - 100
	// endsAllowed is how often a process may end by itself in a day, on a machine that
	// counts for the rule.
	endsAllowed = 2
)

// preparedFlood lets one client at each of two VMs prepare statements of the longest
// allowed text, and ends processes that exceed their memory, as the platform does.
func preparedFlood(rec *record, trouble bool) ([]string, error) {
	w, err := newWorld(rec, []string{"potes1", "potes2", "potes3"}, threeVMs, 0)
	defer w.stop()
	if err != nil {
		return nil, err
	}
	stop := make(chan struct{})
	var load sync.WaitGroup
	for i := range 9 {
		c := &client{name: fmt.Sprintf("client%d", i), vm: w.vms[i%len(w.vms)], ops: w.ops, rec: rec}
		load.Add(1)
		go func() {
			defer load.Done()
			c.readAll("potes1-primary", "k1", stop, func(string, time.Time) {})
		}()
	}
	time.Sleep(warmUp)
	ends := make(map[*vm]int)
	for round := range endsAllowed + 1 {
		var floods sync.WaitGroup
		for _, v := range w.vms[:2] {
			if !trouble {
				continue
			}
			c := &client{name: fmt.Sprintf("rude-%s-%d", v.name, round), vm: v, ops: w.ops, rec: rec}
			floods.Add(1)
			go func() {
				defer floods.Done()
				c.flood(floodTime)
			}()
		}
		w.limitMemory(floodTime+floodPause, ends)
		floods.Wait()
	}
	close(stop)
	load.Wait()
	var broken []string
	over := 0
	for v, n := range ends {
		if n > endsAllowed {
			over++
			broken = append(broken, fmt.Sprintf("FAULT: the process of %s ended %d times for its memory", v.name, n))
		}
	}
	if over < 2 {
		broken = nil // a tenth of the machines, two at least
	}
	return append(w.groups[0].result(rec), broken...), nil
}

// flood prepares statements of the longest allowed text for some time.
func (c *client) flood(d time.Duration) {
	if !c.connect("potes1-primary", "k1") {
		return
	}
	defer c.close()
	c.rec.line("%s begins to prepare statements", c.name)
	shape := strings.Repeat("x", shapeSize)
	sent := 0
	for deadline := time.Now().Add(d); time.Now().Before(deadline); sent++ {
		c.conn.SetDeadline(deadline.Add(time.Second))
		if _, err := fmt.Fprintf(c.conn, "QUERY %s PREPARE n%d FETCH %s\r\n", c.ops.add(sentStatement{}), sent, shape); err != nil {
			break
		}
		if l, err := c.in.ReadString('\n'); err != nil || !strings.HasPrefix(l, "COMPLETE") {
			break
		}
		if _, err := c.in.ReadString('\n'); err != nil {
			break
		}
	}
	c.rec.line("%s has prepared %d statements", c.name, sent)
}

// limitMemory ends the processes that exceed their memory during d, starts them again, and
// counts these ends.
func (w *world) limitMemory(d time.Duration, ends map[*vm]int) {
	for deadline := time.Now().Add(d); time.Now().Before(deadline); time.Sleep(20 * time.Millisecond) {
		for _, v := range w.vms {
			if n := v.memory(); n > memoryLimit {
				w.rec.line("%s uses %d MiB and is killed", v.name, n>>20)
				v.signal(syscall.SIGKILL)
				<-v.done
				ends[v]++
				time.Sleep(restartDelay)
				if err := v.start(); err != nil {
					w.rec.line("%s not started: %v", v.name, err)
				}
			}
		}
	}
}

// memory returns the process's own memory in bytes, without that of files, or zero if it
// has ended.
func (v *vm) memory() int64 {
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", v.cmd.Process.Pid))
	if err != nil {
		return 0
	}
	for l := range bytes.Lines(raw) {
		f := bytes.Fields(l)
		if len(f) >= 2 && string(f[0]) == "RssAnon:" {
			n, _ := strconv.ParseInt(string(f[1]), 10, 64)
			return n << 10
		}
	}
	return 0
}
