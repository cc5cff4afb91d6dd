package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"syscall"
	"time"

	"github.com/pollendoor/pollendoor"
	"github.com/pollendoor/pollendoor/platform/fake"
)

const (
	// lateApply is how late replicas apply commits while they lag.
	lateApply = 2 * time.Second
	// quickMove is the time between two changes of a route that moves and returns before
	// lagging replicas have applied what came before.
	quickMove = 300 * time.Millisecond
)

// injectFaults injects random faults, which may overlap, for the duration of the run.
// It returns their descriptions after all faults have ended.
func (r *Run) injectFaults(ctx context.Context) []string {
	var list []string
	var wg sync.WaitGroup
	begin := time.Now()
	if r.Restores {
		wg.Add(1)
		go func() {
			defer wg.Done()
			r.injectRestores(ctx, begin.Add(r.Duration))
		}()
	}
	for time.Since(begin) < r.Duration && ctx.Err() == nil {
		name, inject := r.drawFault()
		length := time.Duration((0.2 + 1.6*r.rand.Float64()) * float64(meanFaultTime))
		list = append(list, fmt.Sprintf("%.1f s: %s for %v", time.Since(begin).Seconds(), name, length.Round(time.Millisecond)))
		wg.Add(1)
		go func() {
			defer wg.Done()
			inject(length)
		}()
		pollendoor.Pause(ctx, time.Duration(r.rand.ExpFloat64()*float64(meanFaultGap)))
	}
	wg.Wait()
	return list
}

// injectRestores makes the store come back from older copies until the given time, every second
// time twice in a row.
func (r *Run) injectRestores(ctx context.Context, until time.Time) {
	random := rand.New(rand.NewPCG(r.Seed, 1))
	between := func(from, to time.Duration) time.Duration {
		return from + time.Duration(random.Int64N(int64(to-from)))
	}
	for ctx.Err() == nil {
		pollendoor.Pause(ctx, between(time.Second, 4*time.Second))
		if time.Now().After(until) {
			return
		}
		for range 1 + random.IntN(2) {
			from := time.Now()
			r.store.Restore(between(500*time.Millisecond, 4*time.Second), between(100*time.Millisecond, 800*time.Millisecond), between(200*time.Millisecond, 2*time.Second))
			r.checks.excuse("", from, r.Deployment.EvacuateTime)
			pollendoor.Pause(ctx, between(300*time.Millisecond, 2*time.Second))
		}
	}
}

// drawFault chooses a random fault. It returns a description and a function that
// injects the fault for a given duration.
func (r *Run) drawFault() (string, func(time.Duration)) {
	p := r.procs[r.rand.IntN(len(r.procs))]
	g := r.groups[r.rand.IntN(len(r.groups))]
	m := g.Members()[r.rand.IntN(len(g.Members()))]
	onProxy := func(name string, f proxyFault) (string, func(time.Duration)) {
		id := p.name
		if r.rand.IntN(2) == 0 {
			id = m.ID
		}
		return name + " " + id, func(d time.Duration) {
			from := time.Now()
			r.proxies[id].setFault(f)
			time.Sleep(d)
			r.proxies[id].setFault(proxyFault{})
			if id == m.ID {
				r.checks.excuse(id, from, proxyTime)
			}
		}
	}
	if r.Draw {
		if name, inject := r.drawMore(p, g, m); inject != nil {
			return name, inject
		}
	}
	switch r.rand.IntN(16) {
	case 0:
		return onProxy("delayed", proxyFault{delay: 150 * time.Millisecond})
	case 1:
		return onProxy("silent", proxyFault{blocked: true})
	case 2:
		return onProxy("cut one way", proxyFault{answersBlocked: true})
	case 3:
		return "connections reset " + m.ID, func(time.Duration) { r.proxies[m.ID].reset(); r.proxies[p.name].reset() }
	case 4:
		return "store down", func(d time.Duration) {
			from := time.Now()
			r.store.SetDown(true)
			time.Sleep(d)
			r.store.SetDown(false)
			r.checks.excuse("", from, r.Deployment.EvacuateTime)
		}
	case 5:
		return "store loses answers", func(time.Duration) { r.store.LoseAnswers(3) }
	case 6:
		return "store forgets its history", func(time.Duration) { r.store.DropHistory() }
	case 7, 8:
		return "suspended " + m.ID, func(d time.Duration) {
			m.Suspend()
			time.Sleep(d)
			m.Resume()
		}
	case 9:
		return "answers lost " + m.ID, func(time.Duration) { m.LoseReplies(2) }
	case 10:
		return "configuration", func(time.Duration) { r.configure() }
	case 11:
		return "reload " + p.name, func(time.Duration) { p.signal(syscall.SIGHUP) }
	case 12:
		return "paused " + p.name, func(d time.Duration) {
			from := time.Now()
			p.pause(d)
			r.checks.excuse("", from, resumeTime)
		}
	case 13:
		return "stopped " + p.name, func(time.Duration) { r.restart(p, syscall.SIGTERM, 0) }
	case 14:
		return "killed " + p.name, func(d time.Duration) { r.restart(p, syscall.SIGKILL, d/4) }
	}
	return "many killed", func(d time.Duration) {
		var wg sync.WaitGroup
		for _, p := range r.procs {
			if rand.IntN(3) > 0 {
				wg.Add(1)
				go func() {
					defer wg.Done()
					r.restart(p, syscall.SIGKILL, d/4)
				}()
			}
		}
		wg.Wait()
	}
}

// drawMore chooses a fault or planned work of a drawn deployment, or none, so that one of
// the faults of all runs is chosen.
func (r *Run) drawMore(p *process, g *fake.LineGroup, m *fake.LineMember) (string, func(time.Duration)) {
	n := 12
	if r.Deployment.PlannedOnly {
		n = 5
	}
	switch r.rand.IntN(n) {
	case 0, 1:
		return "route moved and back", r.moveRoute
	case 2:
		return "stopped " + p.name, func(time.Duration) { r.restart(p, syscall.SIGTERM, 0) }
	case 3:
		return "reload " + p.name, func(time.Duration) { p.signal(syscall.SIGHUP) }
	case 4:
		return "configuration", func(time.Duration) { r.configure() }
	case 5:
		return "receives nothing " + m.ID, func(d time.Duration) {
			m.SetDeaf(true)
			time.Sleep(d)
			m.SetDeaf(false)
		}
	case 6, 7:
		return "receives nothing " + m.ID + ", then the primary crashes", func(d time.Duration) {
			m.SetDeaf(true)
			time.Sleep(d / 3)
			old := g.Primary()
			old.Suspend()
			time.Sleep(d)
			m.SetDeaf(false)
			old.Resume()
		}
	case 8:
		return "drains " + m.ID, func(d time.Duration) {
			r.register(g, m, "draining")
			time.Sleep(d)
			r.register(g, m, "ready")
		}
	case 9:
		other := g.Members()[r.rand.IntN(len(g.Members()))]
		return "drains " + other.ID + ", receives nothing " + m.ID + ", then the primary crashes", func(d time.Duration) {
			r.register(g, other, "draining")
			m.SetDeaf(true)
			time.Sleep(d / 3)
			old := g.Primary()
			old.Suspend()
			time.Sleep(d)
			old.Resume()
			m.SetDeaf(false)
			r.register(g, other, "ready")
		}
	case 10:
		return "replicas apply late, route moved and back twice", func(d time.Duration) {
			for _, group := range r.groups {
				defer group.SetReplicationLag(group.SetReplicationLag(lateApply))
			}
			r.moveRoute(quickMove)
			r.moveRoute(quickMove)
			time.Sleep(d)
		}
	}
	return "", nil
}

// pause suspends the process with SIGSTOP for the duration d.
func (p *process) pause(d time.Duration) {
	p.signalMu.Lock()
	defer p.signalMu.Unlock()
	p.signal(syscall.SIGSTOP)
	time.Sleep(d)
	p.signal(syscall.SIGCONT)
}

// restart stops a process with signal s and starts it again after the time down. A
// process that does not exit within gracePeriod is killed.
func (r *Run) restart(p *process, s syscall.Signal, down time.Duration) {
	p.signalMu.Lock()
	defer p.signalMu.Unlock()
	if s == syscall.SIGTERM {
		p.mu.Lock()
		p.stops = append(p.stops, time.Now())
		p.mu.Unlock()
	}
	p.signal(s)
	killTimer := time.AfterFunc(r.Deployment.Grace, func() {
		if !r.stalls.isLong() {
			r.checks.addViolation("%s outlives its grace period of %v", p.name, r.Deployment.Grace)
		}
		p.signal(syscall.SIGKILL)
	})
	p.wait()
	killTimer.Stop()
	time.Sleep(down)
	if err := p.start(r.Binary); err != nil {
		r.checks.addViolation("%s does not start: %v", p.name, err)
	}
}
