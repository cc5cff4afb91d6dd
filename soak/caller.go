package soak

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/pollendoor/pollendoor"
)

const (
	// answerTimeout is how long a caller waits for an answer. It is longer than the
	// timeout of the route and than the delay that a paused VM can cause.
	answerTimeout = 8 * time.Second
	// thinkTime is the pause between two pairs of a write and a read.
	thinkTime = 4 * time.Millisecond
	// retryPause is the additional pause after a failure.
	retryPause = 60 * time.Millisecond
)

// caller writes and reads its own item through one VM. It keeps its connection until
// the connection fails.
type caller struct {
	soak  *Run
	vm    *process
	group string
	route string
	item  string

	conn   net.Conn
	in     *bufio.Reader
	number int // last value written
	// signature is the signature of the last answer; it names the target and the
	// statement.
	signature string
	sent      time.Time    // when the last statement was sent
	served    atomic.Int64 // time of the last success, in Unix nanoseconds
}

// lastID is the id of the last statement. Ids are unique within this process.
var lastID atomic.Uint64

// callers returns two callers for each VM and group: one on the route whose reads need
// the primary, and one on the route with read-your-writes consistency.
func (r *Run) callers() []*caller {
	var list []*caller
	for _, p := range r.procs {
		for _, g := range r.groups {
			for _, kind := range []string{"primary", "read_your_writes"} {
				list = append(list, &caller{soak: r, vm: p, group: g.Group, route: g.Group + "-" + kind, item: fmt.Sprintf("%s-%s-%s", p.name, g.Group, kind)})
			}
		}
	}
	return list
}

// servedAt returns the time of the last success.
func (c *caller) servedAt() time.Time { return time.Unix(0, c.served.Load()) }

// run writes and reads repeatedly until ctx is done.
func (c *caller) run(ctx context.Context) {
	defer c.close()
	for ctx.Err() == nil {
		if !c.writeAndRead() {
			pollendoor.Pause(ctx, retryPause)
		}
		pollendoor.Pause(ctx, c.soak.Deployment.pause(c.group))
	}
}

// writeAndRead writes the next value and reads it. It reports whether both succeeded.
func (c *caller) writeAndRead() bool {
	if c.conn == nil && !c.connect() {
		return false
	}
	c.number++
	w := write{group: c.group, value: c.number, sent: time.Now()}
	_, w.code = c.query(&w.id, fmt.Sprintf("STORE %s %s/%d", c.item, c.item, w.value))
	w.answered = time.Now()
	c.soak.checks.recordWrite(c.item, w)
	c.soak.checks.recordUnanswered(c.vm, c.group, w.id, w.code, w.sent)
	if c.conn == nil {
		return false
	}
	begin := time.Now()
	var id string
	row, code := c.query(&id, "FETCH "+c.item)
	c.soak.checks.countCode(code)
	c.soak.checks.recordUnanswered(c.vm, c.group, id, code, c.sent)
	if code == "OK" {
		value, ok := strings.CutPrefix(row, c.item+"/")
		n, err := strconv.Atoi(value)
		if row != "" && (!ok || err != nil) {
			c.soak.checks.addViolation("MIXED: read %s of %s got the row %q", c.signature, c.item, row)
		}
		c.soak.checks.checkRead(c.soak, c.signature, c.item, n, begin)
	}
	if w.code == "OK" && code == "OK" {
		c.served.Store(time.Now().UnixNano())
		return true
	}
	return false
}

// connect opens a connection on the caller's route and reports whether it is ready.
func (c *caller) connect() bool {
	conn, err := net.DialTimeout("tcp4", c.vm.addr, time.Second)
	if err != nil {
		return false
	}
	c.conn, c.in = conn, bufio.NewReader(conn)
	fmt.Fprintf(conn, "STARTUP %s k1\r\n", c.route)
	conn.SetReadDeadline(time.Now().Add(answerTimeout))
	if l, err := c.in.ReadString('\n'); err != nil || !strings.HasPrefix(l, "READY") {
		c.disconnect()
		return false
	}
	return true
}

// close ends the session, if one is open.
func (c *caller) close() {
	if c.conn != nil {
		c.conn.Close()
	}
}

func (c *caller) disconnect() {
	c.conn.Close()
	c.conn = nil
}

// query runs a statement and stores its id in id. The code is OK, an error code of
// the line protocol, or LOST if the connection failed before the answer was complete.
func (c *caller) query(id *string, text string) (row, code string) {
	*id = fmt.Sprintf("%016x", lastID.Add(1))
	c.sent = time.Now()
	c.conn.SetDeadline(c.sent.Add(answerTimeout))
	fmt.Fprintf(c.conn, "QUERY %s %s\r\n", *id, text)
	for {
		l, err := c.in.ReadString('\n')
		if err != nil {
			c.disconnect()
			return row, "LOST"
		}
		word, rest, _ := strings.Cut(strings.TrimSuffix(l, "\r\n"), " ")
		switch word {
		case "DATAROW":
			row = rest
		case "COMPLETE":
			code, c.signature = "OK", rest
			isLocal := strings.HasPrefix(text, "BEGIN") || text == "ROLLBACK" // may be answered by the VM itself
			if !strings.HasSuffix(rest, "."+*id) && !(isLocal && rest == "-") {
				c.soak.checks.addViolation("MIXED: statement %s of %s got the answer %s", *id, c.item, rest)
			}
		case "ERROR":
			code, _, _ = strings.Cut(rest, " ")
		case "READY":
			return row, code
		}
	}
}
