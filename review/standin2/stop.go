package main

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"sync"
	"syscall"
	"time"
)

const (
	// releaseGap is the time between the releases of two databases.
	releaseGap = time.Second
	// releaseStart is how long a database has been there when the one that it replaces
	// reports that it is about to leave.
	releaseStart = time.Second
	// leaveTime is how long a database serves after it has reported that it is about to
	// leave: drainMs, and a little longer.
	leaveTime = 7500 * time.Millisecond
	// stopAfter is the time from the first such report to the SIGTERM of the leader.
	stopAfter = 700 * time.Millisecond
	// grace is graceS, after which a process that has got SIGTERM is killed.
	grace = 6 * time.Second
	// stopRounds is how often the leader is stopped during a release, at most.
	stopRounds = 6
	// farPromoteTime, farAnswerTime and connectTime are the times of cca-pollendoor for a
	// promotion, for the way between regions and back, and for a new connection; storeTime
	// is that of an answer of the store.
	farPromoteTime = time.Second
	farAnswerTime  = 24 * time.Millisecond
	connectTime    = 12 * time.Millisecond
	storeTime      = 4 * time.Millisecond
)

// sentWrite is an acknowledged write with the time at which it was sent.
type sentWrite struct {
	id, client, vm string
	sent           time.Time
}

// stoppingLeader releases the primaries of three groups one after the other, and stops the
// leader of the fleet with SIGTERM meanwhile, as in a rolling restart. It checks that no
// write is committed and acknowledged at a primary after the promotion of another one has
// taken effect.
func stoppingLeader(rec *record, trouble bool) ([]string, error) {
	w, err := newWorld(rec, []string{"potes1", "potes2", "potes3", "potes4"}, threeVMs, 0)
	defer w.stop()
	if err != nil {
		return nil, err
	}
	w.store.SetDelay(storeTime)
	for _, g := range w.groups {
		g.mu.Lock()
		g.promoteTime, g.answerTime, g.connectTime = farPromoteTime, farAnswerTime, connectTime
		g.mu.Unlock()
	}
	stop := make(chan struct{})
	var mu sync.Mutex
	writes := make(map[string]sentWrite)
	var load sync.WaitGroup
	for i := range 9 {
		host := fmt.Sprintf("potes%d-primary", i%3+1)
		c := &client{name: fmt.Sprintf("writer%d", i), ops: w.ops, rec: rec}
		load.Add(1)
		go func() {
			defer load.Done()
			defer c.close()
			for n := 0; !isDone(stop); n++ {
				if c.conn == nil && !c.connectAny(w, i+n, host) {
					time.Sleep(50 * time.Millisecond)
					continue
				}
				sent := time.Now()
				if id, a := c.single(fmt.Sprintf("STORE %s-%d v", c.name, n)); a.code == "OK" {
					mu.Lock()
					writes[id] = sentWrite{id, c.name, c.vm.name, sent}
					mu.Unlock()
				}
				time.Sleep(20 * time.Millisecond)
			}
		}()
	}
	// Long transactions, each in a session of its own, which a VM that is about to stop
	// lets go on.
	for i := range 6 {
		c := &client{name: fmt.Sprintf("shopper%d", i), ops: w.ops, rec: rec}
		load.Add(1)
		go func() {
			defer load.Done()
			defer c.close()
			var texts []string
			for n := range 11 {
				texts = append(texts, fmt.Sprintf("FETCH item%d", n))
			}
			for n := 0; !isDone(stop); n++ {
				if c.conn == nil && !c.connectAny(w, i+n, "potes4-primary") {
					time.Sleep(50 * time.Millisecond)
					continue
				}
				c.transaction(250*time.Millisecond, texts...)
				c.close()
			}
		}()
	}
	time.Sleep(warmUp)
	for range stopRounds {
		if err = w.releaseAndStop(trouble); err != nil || w.anyLate() {
			break
		}
	}
	close(stop)
	load.Wait()
	if err != nil {
		return nil, err
	}
	var broken []string
	for _, g := range w.groups {
		broken = append(broken, g.result(rec)...)
		broken = append(broken, g.lateWrites(rec, writes)...)
	}
	return broken, nil
}

// anyLate reports whether a database has committed after the promotion of another one.
func (w *world) anyLate() bool {
	for _, g := range w.groups {
		g.mu.Lock()
		n := len(g.late)
		g.mu.Unlock()
		if n > 0 {
			return true
		}
	}
	return false
}

// connectAny opens a session at the first VM that accepts it, beginning with the n-th one.
func (c *client) connectAny(w *world, n int, host string) bool {
	for i := range w.vms {
		c.vm = w.vms[(n+i)%len(w.vms)]
		if c.connect(host, "k1") {
			return true
		}
	}
	return false
}

// releaseAndStop replaces the primaries of the first three groups, and stops the VM that
// leads the fleet and starts it again.
func (w *world) releaseAndStop(trouble bool) error {
	began := time.Now()
	errs := make(chan error, 3)
	for i, g := range w.groups[:3] {
		go func() {
			time.Sleep(time.Duration(i) * releaseGap)
			errs <- g.release()
		}()
	}
	time.Sleep(releaseStart + stopAfter)
	var err error
	if leader := w.fleetLeader(); leader == nil {
		err = errors.New("no VM has claimed the leadership")
	} else if trouble {
		err = leader.stopAndStart(w.rec)
	}
	for range 3 {
		err = errors.Join(err, <-errs)
	}
	time.Sleep(time.Until(began.Add(3*releaseGap + releaseStart + leaveTime + 2*time.Second)))
	return err
}

// release starts a new database in the zone of the primary, which then reports that it is
// about to leave, and leaves after leaveTime.
func (g *group) release() error {
	old := g.leading()
	if err := g.add(old.zone); err != nil {
		return err
	}
	time.Sleep(releaseStart)
	g.mu.Lock()
	old.draining = true
	g.noteLocked("%s is about to leave", old.id)
	g.mu.Unlock()
	old.publish()
	time.Sleep(leaveTime)
	g.mu.Lock()
	old.down = true
	g.noteLocked("%s leaves", old.id)
	g.mu.Unlock()
	old.listener.Close()
	old.closeConns()
	g.store.Remove("servers", old.id)
	return nil
}

// stopAndStart stops a VM with SIGTERM as the platform does, and starts it again.
func (v *vm) stopAndStart(rec *record) error {
	rec.line("%s gets SIGTERM", v.name)
	v.signal(syscall.SIGTERM)
	select {
	case <-v.done:
	case <-time.After(grace):
		v.signal(syscall.SIGKILL)
		<-v.done
	}
	rec.line("%s has ended", v.name)
	time.Sleep(restartDelay)
	return v.start()
}

// fleetLeader returns the VM that has claimed the leadership with the highest token, by
// the logs, or nil.
func (w *world) fleetLeader() *vm {
	var leader *vm
	var newest uint64
	for _, v := range w.vms {
		raw, err := os.ReadFile(v.log.Name())
		if err != nil {
			continue
		}
		for text := range bytes.Lines(raw) {
			var l struct {
				Message string `json:"message"`
				Token   uint64 `json:"token"`
			}
			if json.Unmarshal(text, &l) == nil && l.Message == "leadership claimed" && l.Token > newest {
				leader, newest = v, l.Token
			}
		}
	}
	return leader
}

// lateWrites returns a breach for each acknowledged write that was sent after a promotion
// had taken effect and was committed at the primary before. It notes which acknowledged
// writes are in no log.
func (g *group) lateWrites(rec *record, writes map[string]sentWrite) []string {
	committed := g.committed()
	g.mu.Lock()
	defer g.mu.Unlock()
	var broken []string
	gone := 0
	for _, l := range g.late {
		a, ok := writes[l.statement]
		if !ok {
			continue
		}
		if committed[a.id] == 0 {
			gone++
		}
		if a.sent.After(l.since) {
			broken = append(broken, fmt.Sprintf("ONE: write %s of %s was sent to %s %v after the promotion of %s had taken effect, committed at %s and acknowledged",
				a.id, a.client, a.vm, a.sent.Sub(l.since).Round(time.Millisecond), l.successor, l.database))
		}
	}
	rec.line("%s: %d writes were acknowledged by a primary after the promotion of another one, %d of these are not in the primary's log", g.name, len(broken), gone)
	return broken
}
