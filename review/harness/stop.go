//go:build review

package main

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"syscall"
	"time"
)

// plannedStop sends SIGTERM to one machine while clients are in transactions. The rule
// LOST is broken if the machine has passed a statement on to a database and the
// connection ends without an answer.
func plannedStop(r *record, trouble bool) (bool, error) {
	const (
		sessions   = 30
		statements = 12
		workTime   = 250 // ms
	)
	s := &service{name: "potes", slots: 3, maxConns: 22, workTime: 8 * time.Millisecond}
	d, err := startDeployment(r, []*service{s}, []map[string]any{
		route("contribuicao", "primary", "potes", time.Second, 600*time.Millisecond, 0),
		route("consulta-pote", "bounded_staleness", "potes", 2*time.Second, 1200*time.Millisecond, 1500*time.Millisecond),
	}, 9)
	if err != nil {
		return false, err
	}
	if err := d.awaitServed("contribuicao", "consulta-pote"); err != nil {
		return false, err
	}
	v := d.vms[4]
	var wg sync.WaitGroup
	var mu sync.Mutex
	var unanswered []reply
	counts := make(map[string]int)
	var ready sync.WaitGroup
	ready.Add(sessions)
	for i := range sessions {
		wg.Go(func() {
			c := &client{record: r, vm: v, host: "consulta-pote"}
			if c.connect() != nil || !c.do("BEGIN FETCH").ok() {
				ready.Done()
				return
			}
			ready.Done()
			for n := range statements {
				time.Sleep(200*time.Millisecond + rand.N(200*time.Millisecond))
				a := c.do(fmt.Sprintf("FETCH w%d-pot%d-%d", workTime, i, n))
				mu.Lock()
				counts[a.code]++
				if a.code == "LOST" {
					unanswered = append(unanswered, a)
				}
				mu.Unlock()
				if c.conn == nil {
					return
				}
				if !a.ok() {
					c.do("ROLLBACK")
					return
				}
			}
			a := c.do("COMMIT")
			mu.Lock()
			counts["commit "+a.code]++
			mu.Unlock()
		})
	}
	ready.Wait()
	stopAt := time.Now()
	if trouble {
		r.say("SIGTERM to %s", v.name)
		if err := v.signal(syscall.SIGTERM); err != nil {
			return false, err
		}
		kill := time.AfterFunc(grace, func() { _ = v.signal(syscall.SIGKILL) }) // it may have exited
		select {
		case <-v.exited:
			kill.Stop()
			r.say("%s exited %.2f s after SIGTERM", v.name, time.Since(stopAt).Seconds())
		case <-time.After(grace + time.Second):
			return false, errors.New("the process did not end")
		}
	}
	wg.Wait()
	s.mu.Lock()
	defer s.mu.Unlock()
	r.say("statements by answer: %v", counts)
	lost := 0
	for _, a := range unanswered {
		ranAt, ran := s.ran[a.id]
		sent, ended := a.sent.Sub(stopAt), a.answered.Sub(stopAt)
		// A statement on which the database works in the last sixth of graceS is excused
		// if it was sent no later than 3 s after the SIGTERM.
		excused := sent <= 3*time.Second && ended >= grace*5/6
		r.say("unanswered: id=%s sent %.3f s after SIGTERM, connection ended at %.3f s, at a database: %v, excused: %v", a.id, sent.Seconds(), ended.Seconds(), ran, excused)
		if ran && !excused && ended <= grace+time.Second {
			lost++
			r.add("broken", "LOST: id=%s %s ran at %.3f s", a.id, a.text, ranAt.Sub(stopAt).Seconds())
		}
	}
	r.say("statements passed on and never answered: %d", lost)
	return lost == 0, nil
}
