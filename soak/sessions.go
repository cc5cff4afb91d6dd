package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strconv"
	"strings"
	"time"

	"github.com/pollendoor/pollendoor"
)

// roamRoute is the route that moves between the groups.
const roamRoute = "roam"

// maxStatements is the largest number of statements of a transaction.
const maxStatements = 12

// reader reads other callers' items on the route of bounded staleness.
type reader struct{ caller }

// run reads repeatedly until ctx is done.
func (c *reader) run(ctx context.Context) {
	defer c.close()
	for ctx.Err() == nil {
		if c.conn == nil && !c.connect() {
			pollendoor.Pause(ctx, retryPause)
			continue
		}
		var id string
		_, code := c.query(&id, "FETCH "+c.item)
		c.soak.checks.countCode(code)
		c.soak.checks.recordUnanswered(c.vm, c.group, id, code, c.sent)
		if code != "OK" {
			pollendoor.Pause(ctx, retryPause)
		}
		pollendoor.Pause(ctx, c.soak.Deployment.pause(c.group))
	}
}

// transactor runs transactions that write its item, with pauses between the statements.
type transactor struct {
	caller
	readOnly bool
	pause    time.Duration // mean pause
}

// run runs transactions until ctx is done.
func (c *transactor) run(ctx context.Context) {
	defer c.close()
	for ctx.Err() == nil {
		if c.conn == nil && !c.connect() || !c.transaction(ctx) {
			pollendoor.Pause(ctx, retryPause)
		}
		pollendoor.Pause(ctx, c.soak.Deployment.pause(c.group))
	}
}

// transaction runs one transaction and reports whether it was committed.
func (c *transactor) transaction(ctx context.Context) bool {
	n := 1 + rand.IntN(maxStatements)
	var id string
	open := "BEGIN"
	if c.readOnly {
		open = "BEGIN FETCH"
	}
	if _, code := c.query(&id, open); code != "OK" {
		return false
	}
	var writes []write
	for range n {
		pollendoor.Pause(ctx, time.Duration((0.5+rand.Float64())*float64(c.pause)))
		text := "FETCH " + c.item
		isWrite := !c.readOnly && rand.IntN(2) == 0
		if isWrite {
			c.number++
			text = fmt.Sprintf("STORE %s %s/%d", c.item, c.item, c.number)
		}
		_, code := c.query(&id, text)
		if isWrite {
			writes = append(writes, write{id: id, group: c.group, value: c.number, sent: c.sent})
		} else {
			c.soak.checks.countCode(code)
			c.soak.checks.recordUnanswered(c.vm, c.group, id, code, c.sent)
		}
		if code != "OK" {
			if c.conn != nil {
				c.query(&id, "ROLLBACK")
			}
			// A transaction without COMMIT leaves no effect.
			c.recordWrites(writes, "ABORTED")
			return false
		}
	}
	_, code := c.query(&id, "COMMIT")
	c.soak.checks.recordUnanswered(c.vm, c.group, id, code, c.sent)
	c.recordWrites(writes, code)
	if code == "OK" {
		c.served.Store(time.Now().UnixNano())
	}
	return code == "OK"
}

// recordWrites records the writes of a transaction with the code of its end.
func (c *transactor) recordWrites(list []write, code string) {
	for _, w := range list {
		w.code, w.answered = code, time.Now()
		c.soak.checks.recordWrite(c.item, w)
	}
}

// roamer writes and reads its item on the route that moves between groups. It keeps its
// session while the route moves.
type roamer struct {
	caller
	acked map[string]write // last acknowledged write of the session by group
}

// run writes and reads until ctx is done.
func (c *roamer) run(ctx context.Context) {
	defer c.close()
	for ctx.Err() == nil {
		if c.conn == nil {
			c.acked = make(map[string]write)
			if !c.connect() {
				pollendoor.Pause(ctx, retryPause)
				continue
			}
		}
		if rand.IntN(3) == 0 {
			c.write()
		} else {
			c.read()
		}
		pollendoor.Pause(ctx, 10*thinkTime)
	}
}

// write writes the next value and records it under the group that has answered.
func (c *roamer) write() {
	c.number++
	w := write{value: c.number, sent: time.Now()}
	_, w.code = c.query(&w.id, fmt.Sprintf("STORE %s %s/%d", c.item, c.item, w.value))
	w.answered = time.Now()
	c.soak.checks.countCode(w.code)
	if w.code == "OK" {
		w.group = groupOf(c.signature)
		c.acked[w.group] = w
		c.soak.checks.recordWrite(c.item, w)
	}
}

// read checks that the session sees its last commit in the group that answers.
func (c *roamer) read() {
	begin := time.Now()
	var id string
	row, code := c.query(&id, "FETCH "+c.item)
	c.soak.checks.countCode(code)
	if code != "OK" {
		return
	}
	c.served.Store(time.Now().UnixNano())
	group := groupOf(c.signature)
	got, _ := strconv.Atoi(strings.TrimPrefix(row, c.item+"/"))
	last := c.acked[group]
	if got < last.value && !c.soak.mayBeRolledBack(group, last.sent) {
		c.soak.checks.addViolation("STALE: read %s of %s in %s shows %d, its write %d (%s) was acknowledged %v before",
			c.signature, c.item, group, got, last.value, last.id, begin.Sub(last.answered))
	}
}

// groupOf returns the group whose target has signed an answer.
func groupOf(signature string) string {
	target, _, _ := strings.Cut(signature, ".")
	return target[:max(0, strings.LastIndexByte(target, '-'))]
}

// extraCallers returns the callers that only drawn deployments have.
func (r *Run) extraCallers() []interface{ run(context.Context) } {
	var list []interface{ run(context.Context) }
	for _, p := range r.procs {
		for i := range r.Deployment.Readers {
			g := r.groups[i%len(r.groups)].Group
			list = append(list, &reader{caller{soak: r, vm: p, group: g, route: g + "-bounded_staleness", item: p.name + "-" + g + "-primary"}})
		}
		for _, g := range r.groups {
			list = append(list,
				&transactor{caller: caller{soak: r, vm: p, group: g.Group, route: g.Group + "-primary", item: p.name + "-" + g.Group + "-tx"}, pause: r.Deployment.TxPause},
				&transactor{caller: caller{soak: r, vm: p, group: g.Group, route: g.Group + "-bounded_staleness", item: p.name + "-" + g.Group + "-tx"}, readOnly: true, pause: r.Deployment.TxPause})
		}
		home := r.groups[0].Group
		list = append(list, &homeCaller{caller{soak: r, vm: p, group: home, route: homeRoute, item: p.name + "-home"}})
		list = append(list, &roamer{caller: caller{soak: r, vm: p, route: roamRoute, item: p.name + "-roam"}})
	}
	return list
}
