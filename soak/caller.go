package soak

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pollendoor/pollendoor"
)

const (
	// answerTime is how long a caller waits for an answer: longer than its route's
	// time, and than what a paused VM may hold it up.
	answerTime = 8 * time.Second
	// thinkTime is the pause between two statements.
	thinkTime = 4 * time.Millisecond
	// retryTime is the pause after a session was refused or lost.
	retryTime = 60 * time.Millisecond
)

// caller writes and reads one item of its own through one VM, whose open connection
// it uses until the VM is gone.
type caller struct {
	soak  *Run
	vm    *process
	group string
	route string
	item  string

	conn   net.Conn
	in     *bufio.Reader
	number int
	// signature is that of the last answer: the target and the statement.
	signature string
	served    atomic.Int64 // Unix ns of the last success
}

// ids numbers all statements of this process.
var ids atomic.Uint64

// callers returns callers for each VM and group: some that need the primary, some
// that read their own writes.
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

func (c *caller) servedAt() time.Time { return time.Unix(0, c.served.Load()) }

// run writes and reads until ctx ends.
func (c *caller) run(ctx context.Context) {
	defer func() {
		if c.conn != nil {
			c.conn.Close()
		}
	}()
	for ctx.Err() == nil {
		if !c.try() {
			pollendoor.Pause(ctx, retryTime)
		}
		pollendoor.Pause(ctx, thinkTime)
	}
}

// try writes the next value and reads it. It reports whether both were served.
func (c *caller) try() bool {
	if c.conn == nil && !c.open() {
		return false
	}
	c.number++
	w := write{group: c.group, value: c.number, sent: time.Now()}
	_, w.code = c.query(&w.id, fmt.Sprintf("STORE %s %s/%d", c.item, c.item, w.value))
	w.answered = time.Now()
	c.soak.checks.wrote(c.item, w)
	if c.conn == nil {
		return false
	}
	begin := time.Now()
	var id string
	row, code := c.query(&id, "FETCH "+c.item)
	c.soak.checks.count(code)
	if code == "OK" {
		value, ok := strings.CutPrefix(row, c.item+"/")
		n, err := strconv.Atoi(value)
		if row != "" && (!ok || err != nil) {
			c.soak.checks.fail("MIXED: read %s of %s got the row %q", c.signature, c.item, row)
		}
		c.soak.checks.read(c.soak, c.signature, c.item, n, begin)
	}
	if w.code == "OK" && code == "OK" {
		c.served.Store(time.Now().UnixNano())
		return true
	}
	return false
}

func (c *caller) open() bool {
	conn, err := net.DialTimeout("tcp4", c.vm.addr, time.Second)
	if err != nil {
		return false
	}
	c.conn, c.in = conn, bufio.NewReader(conn)
	fmt.Fprintf(conn, "STARTUP %s k1\r\n", c.route)
	conn.SetReadDeadline(time.Now().Add(answerTime))
	if l, err := c.in.ReadString('\n'); err != nil || !strings.HasPrefix(l, "READY") {
		c.lose()
		return false
	}
	return true
}

func (c *caller) lose() {
	c.conn.Close()
	c.conn = nil
}

// query runs a statement. The code is OK, an error of the protocol, or LOST.
func (c *caller) query(id *string, text string) (row, code string) {
	*id = fmt.Sprintf("%016x", ids.Add(1))
	c.conn.SetDeadline(time.Now().Add(answerTime))
	fmt.Fprintf(c.conn, "QUERY %s %s\r\n", *id, text)
	for {
		l, err := c.in.ReadString('\n')
		if err != nil {
			c.lose()
			return row, "LOST"
		}
		word, rest, _ := strings.Cut(strings.TrimSuffix(l, "\r\n"), " ")
		switch word {
		case "DATAROW":
			row = rest
		case "COMPLETE":
			code, c.signature = "OK", rest
			if !strings.HasSuffix(rest, "."+*id) {
				c.soak.checks.fail("MIXED: statement %s of %s got the answer %s", *id, c.item, rest)
			}
		case "ERROR":
			code, _, _ = strings.Cut(rest, " ")
		case "READY":
			return row, code
		}
	}
}

// write is one write of a caller and its answer.
type write struct {
	id       string
	group    string
	value    int
	code     string
	sent     time.Time
	answered time.Time
}

// checks holds what callers were told, and the promises found broken.
type checks struct {
	mu         sync.Mutex
	writes     map[string][]write // by item, in order
	counts     map[string]int     // of statements by code
	rolledBack int
	broken     []string
}

func (k *checks) fail(format string, args ...any) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.broken = append(k.broken, fmt.Sprintf(format, args...))
}

func (k *checks) count(code string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.counts == nil {
		k.counts = make(map[string]int)
	}
	k.counts[code]++
}

func (k *checks) wrote(item string, w write) {
	k.count(w.code)
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.writes == nil {
		k.writes = make(map[string][]write)
	}
	k.writes[item] = append(k.writes[item], w)
}

// read checks that a read shows the caller's last acknowledged write, unless a
// promotion may have rolled it back, or a write of uncertain outcome that came later:
// a VM that was paused carries out what it had received before.
func (k *checks) read(r *Run, signature, item string, got int, begin time.Time) {
	k.mu.Lock()
	list := k.writes[item]
	var last write
	unsure := false
	for _, w := range list {
		if w.code == "OK" && w.answered.Before(begin) {
			last = w
		}
		unsure = unsure || w.value == got && w.code != "OK" && !promises[w.code]
	}
	k.mu.Unlock()
	if got < last.value && !unsure && !r.promotedSince(last.group, last.sent) {
		k.fail("STALE: read %s of %s shows %d, its write %d (%s) was acknowledged %v before", signature, item, got, last.value, last.id, begin.Sub(last.answered))
	}
}

// promises are the codes that say that nothing is kept.
var promises = map[string]bool{"BUSY": true, "ABORTED": true, "LAGGING": true, "READONLY": true, "MISROUTED": true, "CONNLIMIT": true}

// finish compares what callers were told with the logs of the targets.
func (k *checks) finish(r *Run) {
	for _, g := range r.groups {
		for _, p := range g.Violations() {
			k.fail("misuse of a target: %s", p)
		}
		committed := g.Committed()
		k.mu.Lock()
		writes := k.writes
		k.mu.Unlock()
		for item, list := range writes {
			for _, w := range list {
				if w.group != g.Group {
					continue
				}
				switch n := committed[w.id]; {
				case n > 1:
					k.fail("TWICE: write %s of %s was committed %d times", w.id, item, n)
				case n == 1 && promises[w.code]:
					k.fail("REFUSED: write %s of %s was answered with %s and committed", w.id, item, w.code)
				case n == 0 && w.code == "OK" && !r.promotedSince(g.Group, w.sent):
					k.fail("LOST: write %s of %s was acknowledged and is gone without a promotion", w.id, item)
				case n == 0 && w.code == "OK":
					k.rolledBack++
				}
			}
		}
	}
}
