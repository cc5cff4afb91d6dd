package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/pollendoor/pollendoor"
	"github.com/pollendoor/pollendoor/platform/fake"
)

const (
	// coldExcess and coldMargin are the tolerances for cold targets in the settings of the
	// VMs, as on the platform.
	coldExcess = 1.5
	coldMargin = 5
	// resumeTime is how long after it has been paused a VM may need to learn what it has
	// missed, and proxyTime how long a proxy of a target may hold bytes back after its
	// fault has ended.
	resumeTime = time.Second
	proxyTime  = 300 * time.Millisecond
)

// evacuation is one evacuation of a zone, from the store's response to the entry until the
// call that deletes it.
type evacuation struct {
	zone       string
	begin, end time.Time
}

// coldTime is the time in which a target was cold and its zone not evacuated.
type coldTime struct {
	target     string
	perS       float64
	begin, end time.Time
}

// window is a time in which requests to evacuated targets are excused. Target is empty if
// the window excuses those to all targets.
type window struct {
	target   string
	from, to time.Time
}

// excuse records a window from a time until a while from now.
func (k *checks) excuse(target string, from time.Time, after time.Duration) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.excused = append(k.excused, window{target, from, time.Now().Add(after)})
}

// isExcused reports whether a request to a target at a time is excused.
func (k *checks) isExcused(target string, at time.Time) bool {
	return slices.ContainsFunc(k.excused, func(w window) bool {
		return (w.target == "" || w.target == target) && !at.Before(w.from) && !at.After(w.to)
	})
}

// checkEvacuation checks that no request has reached a target of an evacuated zone later
// than limit after the evacuation began.
func (k *checks) checkEvacuation(target string, requests []fake.Request, e evacuation, limit time.Duration) {
	var late []fake.Request
	for _, r := range requests {
		if r.At.After(e.begin.Add(limit)) && r.At.Before(e.end) && !k.isExcused(target, r.At) {
			late = append(late, r)
		}
	}
	if len(late) > 0 {
		k.addViolation("EVAC: %s in %s got %d requests later than %v after the zone's evacuation began, the first one after %v: %.60q",
			target, e.zone, len(late), limit, late[0].At.Sub(e.begin).Round(time.Millisecond), late[0].Text)
	}
}

// checkCold checks that a cold target did not get more requests in any second than its
// limit allows.
func (k *checks) checkCold(requests []fake.Request, c coldTime) {
	limit := c.perS*coldExcess + coldMargin
	var list []time.Time
	for _, r := range requests {
		if r.At.Before(c.begin) || r.At.After(c.end) {
			continue
		}
		list = append(list, r.At)
		for !list[0].After(r.At.Add(-time.Second)) {
			list = list[1:]
		}
		if float64(len(list)) > limit {
			k.addViolation("FAILBACK: %s got %d requests in one second while it was cold, %v after its zone's return, want %g at most",
				c.target, len(list), r.At.Sub(c.begin).Round(time.Millisecond), limit)
			return
		}
	}
}

// checkHome checks that statements of a route that allows one region ran only there. Ids are
// those of the statements.
func (k *checks) checkHome(target, zone string, requests []fake.Request, region string, ids map[string]bool) {
	for _, r := range requests {
		id, text, _ := strings.Cut(r.Text, " ")
		if ids[id] && zone != region {
			k.addViolation("HOME: %s in %s got statement %s (%.40q), whose route allows only %s", target, zone, id, text, region)
		}
	}
}

// checkPlaces runs the checks of where and when requests reached targets.
func (k *checks) checkPlaces(r *Run) {
	for _, g := range r.groups {
		for _, m := range g.Members() {
			requests := m.Requests()
			for _, e := range r.evacuations {
				if e.zone == m.Zone {
					k.checkEvacuation(m.ID, requests, e, r.Deployment.EvacuateTime)
				}
			}
			for _, c := range r.coldTimes {
				if c.target == m.ID {
					k.checkCold(requests, c)
				}
			}
			k.checkHome(m.ID, m.Zone, requests, zones[0], k.homeIDs)
		}
	}
}

// lastRequests describes the evacuations and when the last request reached a target of the
// zone, of those that were not deleted early.
func (r *Run) lastRequests() []string {
	var list []string
	for _, e := range r.evacuations {
		if e.end.Sub(e.begin) < r.Deployment.EvacuateTime {
			continue
		}
		var last time.Duration
		for _, g := range r.groups {
			for _, m := range g.Members() {
				for _, q := range m.Requests() {
					if m.Zone == e.zone && q.At.After(e.begin) && q.At.Before(e.end) {
						last = max(last, q.At.Sub(e.begin))
					}
				}
			}
		}
		list = append(list, fmt.Sprintf("%s: %v of %v", e.zone, last.Round(time.Millisecond), r.Deployment.EvacuateTime))
	}
	return list
}

// injectEvacuations evacuates zones at random for the duration of the run. It returns
// descriptions of the evacuations.
func (r *Run) injectEvacuations(ctx context.Context) []string {
	draws := rand.New(rand.NewPCG(r.Seed, 3))
	between := func(from, to time.Duration) time.Duration { return from + time.Duration(draws.Int64N(int64(to-from))) }
	var list []string
	limit := r.Deployment.EvacuateTime
	start := time.Now()
	for time.Since(start) < r.Duration && ctx.Err() == nil {
		pollendoor.Pause(ctx, between(0, time.Second))
		names := []string{zones[draws.IntN(r.Deployment.Zones)]}
		length, cold := between(limit, limit+4*time.Second), draws.IntN(2) == 0
		switch draws.IntN(8) {
		case 0:
			length, cold = between(0, limit), false // deleted early
		case 1:
			names = append(names, zones[draws.IntN(r.Deployment.Zones)])
		case 2:
			names = append(names, "nowhere")
		}
		slices.Sort(names)
		names = slices.Compact(names)
		list = append(list, fmt.Sprintf("%.1f s: evacuation of %v for %v, cold %t", time.Since(start).Seconds(), names, length.Round(time.Millisecond), cold))
		r.evacuate(names, length, cold, between(2*time.Second, 6*time.Second))
	}
	return list
}

// evacuate evacuates zones for some time. If cold is true, their targets start anew
// meanwhile and are cold for coldFor after the zone's return.
func (r *Run) evacuate(names []string, length time.Duration, cold bool, coldFor time.Duration) {
	begins := make([]time.Time, len(names))
	for i, name := range names {
		r.store.Set("evacuations", name, map[string]any{})
		begins[i] = time.Now()
	}
	time.Sleep(length)
	if cold {
		r.setCold(names, true)
		time.Sleep(length / 2) // the entries reach the VMs
	}
	for i, name := range names {
		end := time.Now()
		r.store.Remove("evacuations", name)
		r.evacuations = append(r.evacuations, evacuation{name, begins[i], end})
	}
	if !cold {
		return
	}
	begin := time.Now()
	time.Sleep(coldFor)
	for _, g := range r.groups {
		for _, m := range g.Members() {
			if slices.Contains(names, m.Zone) {
				r.coldTimes = append(r.coldTimes, coldTime{m.ID, r.coldPerS(g.Group), begin, time.Now()})
			}
		}
	}
	r.setCold(names, false)
}

// setCold changes the entries of the targets of some zones.
func (r *Run) setCold(names []string, cold bool) {
	for _, g := range r.groups {
		for _, m := range g.Members() {
			if slices.Contains(names, m.Zone) {
				r.mu.Lock()
				r.cold[m.ID] = cold
				r.mu.Unlock()
				r.register(g, m, "")
			}
		}
	}
}

// coldPerS returns how many requests a cold target of a group takes in a second.
func (r *Run) coldPerS(group string) float64 {
	for _, g := range r.Deployment.Groups {
		if g.Name == group {
			return g.ColdPerS
		}
	}
	return 0
}

// homeRoute is the route of statements that may run in the first zone's region only.
const homeRoute = "home"

// homeCaller reads and writes on the route that allows one region.
type homeCaller struct{ caller }

// run runs statements until ctx is done.
func (c *homeCaller) run(ctx context.Context) {
	defer c.close()
	for n := 0; ctx.Err() == nil; n++ {
		pollendoor.Pause(ctx, c.soak.Deployment.pause(c.group))
		if c.conn == nil && !c.connect() {
			pollendoor.Pause(ctx, retryPause)
			continue
		}
		text := "FETCH " + c.item
		if n%4 == 0 {
			text = fmt.Sprintf("STORE %s %s/%d", c.item, c.item, n)
		}
		var id string
		_, code := c.query(&id, text)
		c.soak.checks.countCode(code)
		c.soak.checks.recordHome(id)
		c.soak.checks.recordUnanswered(c.vm, c.group, id, code, c.sent)
		if code != "OK" {
			pollendoor.Pause(ctx, retryPause)
		}
	}
}

// recordHome records a statement that may run in one region only.
func (k *checks) recordHome(id string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.homeIDs == nil {
		k.homeIDs = make(map[string]bool)
	}
	k.homeIDs[id] = true
}

// withEvacuations runs the evacuations of a run beside its faults.
func (r *Run) withEvacuations(ctx context.Context, faults func() []string) []string {
	if r.Deployment.EvacuateTime == 0 {
		return faults()
	}
	var evacuations []string
	var wg sync.WaitGroup
	wg.Go(func() { evacuations = r.injectEvacuations(ctx) })
	list := faults()
	wg.Wait()
	return append(list, evacuations...)
}
