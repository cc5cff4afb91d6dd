package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"syscall"
	"time"

	"github.com/pollendoor/pollendoor"
)

// harm injects faults for the run's duration and returns them in words, once all
// have ended. They come in series and overlap.
func (r *Run) harm(ctx context.Context) []string {
	var list []string
	var wg sync.WaitGroup
	begin := time.Now()
	for time.Since(begin) < r.Duration && ctx.Err() == nil {
		name, inflict := r.fault()
		length := time.Duration((0.2 + 1.6*r.rand.Float64()) * float64(faultTime))
		list = append(list, fmt.Sprintf("%.1f s: %s for %v", time.Since(begin).Seconds(), name, length.Round(time.Millisecond)))
		wg.Add(1)
		go func() {
			defer wg.Done()
			inflict(length)
		}()
		pollendoor.Pause(ctx, time.Duration(r.rand.ExpFloat64()*float64(faultGap)))
	}
	wg.Wait()
	return list
}

// fault draws a fault: its name, and what inflicts it for a while.
func (r *Run) fault() (string, func(time.Duration)) {
	p := r.procs[r.rand.IntN(len(r.procs))]
	g := r.groups[r.rand.IntN(len(r.groups))]
	m := g.Members()[r.rand.IntN(len(g.Members()))]
	onLink := func(name string, f linkFault) (string, func(time.Duration)) {
		id := p.name
		if r.rand.IntN(2) == 0 {
			id = m.ID
		}
		return name + " " + id, func(d time.Duration) {
			r.links[id].set(f)
			time.Sleep(d)
			r.links[id].set(linkFault{})
		}
	}
	switch r.rand.IntN(16) {
	case 0:
		return onLink("delayed", linkFault{delay: 150 * time.Millisecond})
	case 1:
		return onLink("silent", linkFault{silent: true})
	case 2:
		return onLink("cut one way", linkFault{oneWay: true})
	case 3:
		return "connections reset " + m.ID, func(time.Duration) { r.links[m.ID].reset(); r.links[p.name].reset() }
	case 4:
		return "store down", func(d time.Duration) {
			r.store.SetDown(true)
			time.Sleep(d)
			r.store.SetDown(false)
		}
	case 5:
		return "store loses answers", func(time.Duration) { r.store.LoseAnswers(3) }
	case 6:
		return "store forgets its history", func(time.Duration) { r.store.DropHistory() }
	case 7, 8:
		return "dark " + m.ID, func(d time.Duration) {
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
		return "paused " + p.name, func(d time.Duration) { p.pause(d) }
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

func (p *process) pause(d time.Duration) {
	p.hold.Lock()
	defer p.hold.Unlock()
	p.signal(syscall.SIGSTOP)
	time.Sleep(d)
	p.signal(syscall.SIGCONT)
}

// restart ends a process and starts it again after a while. One that does not end
// by itself within its grace period is killed.
func (r *Run) restart(p *process, s syscall.Signal, down time.Duration) {
	p.hold.Lock()
	defer p.hold.Unlock()
	p.signal(s)
	late := time.AfterFunc(graceTime, func() { p.signal(syscall.SIGKILL) })
	p.wait()
	late.Stop()
	time.Sleep(down)
	if err := p.start(r.Binary); err != nil {
		r.checks.fail("%s does not start: %v", p.name, err)
	}
}
