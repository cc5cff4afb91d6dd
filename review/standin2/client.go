package main

import (
	"bufio"
	"fmt"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// answerTimeout is how long a client waits for an answer.
const answerTimeout = 10 * time.Second

// lost is the code of a request that got no complete answer.
const lost = "LOST"

// registry knows which operation each statement that clients send belongs to.
type registry struct {
	mu         sync.Mutex
	statements map[string]sentStatement // by id
}

// sentStatement is a statement as its client sees it.
type sentStatement struct {
	op     string // operation
	inTx   bool   // whether the operation is a transaction
	values string // session values that were acknowledged, as NAME=VALUE in order
}

var lastID atomic.Uint64

func newRegistry() *registry { return &registry{statements: make(map[string]sentStatement)} }

// add registers a new statement and returns its id.
func (r *registry) add(s sentStatement) string {
	id := fmt.Sprintf("%016x", lastID.Add(1))
	r.mu.Lock()
	defer r.mu.Unlock()
	r.statements[id] = s
	return id
}

// of returns the statement with an id, and whether a client has sent it.
func (r *registry) of(id string) (sentStatement, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	s, ok := r.statements[id]
	return s, ok
}

// answer is the answer to one request.
type answer struct {
	code      string // OK, an error code, or LOST
	row       string
	signature string
	state     string
	text      string // of an error
}

// client is one session.
type client struct {
	name string
	vm   *vm
	ops  *registry
	rec  *record

	conn net.Conn
	in   *bufio.Reader
	n    int // operations so far
	// values are the session values that were acknowledged, as in sentStatement.
	values string
}

// connect opens the session and reports whether it is ready.
func (c *client) connect(host, key string) bool {
	conn, err := net.DialTimeout("tcp4", c.vm.callers, time.Second)
	if err != nil {
		return false
	}
	c.conn, c.in, c.values = conn, bufio.NewReader(conn), ""
	fmt.Fprintf(conn, "STARTUP %s %s\r\n", host, key)
	conn.SetReadDeadline(time.Now().Add(2 * time.Second))
	if l, err := c.in.ReadString('\n'); err != nil || !strings.HasPrefix(l, "READY") {
		c.close()
		return false
	}
	return true
}

func (c *client) close() {
	if c.conn != nil {
		c.conn.Close()
		c.conn = nil
	}
}

// query sends one request and waits for its answer. The connection is closed if there is
// none.
func (c *client) query(id, text string) answer {
	var a answer
	c.rec.line("%s sends %s %s", c.name, id, text)
	c.conn.SetDeadline(time.Now().Add(answerTimeout))
	if _, err := fmt.Fprintf(c.conn, "QUERY %s %s\r\n", id, text); err != nil {
		a.code = lost
	}
	for a.code != lost {
		l, err := c.in.ReadString('\n')
		if err != nil {
			a.code = lost
			break
		}
		word, rest, _ := strings.Cut(strings.TrimSuffix(l, "\r\n"), " ")
		switch word {
		case "DATAROW":
			a.row = rest
		case "COMPLETE":
			a.code, a.signature = "OK", rest
		case "ERROR":
			a.code, a.text, _ = strings.Cut(rest, " ")
		}
		if word == "READY" {
			a.state, _, _ = strings.Cut(rest, " ")
			break
		}
	}
	c.rec.line("%s gets %s %s row %q signature %s state %s %s", c.name, id, a.code, a.row, a.signature, a.state, a.text)
	if a.code == lost {
		c.close()
	}
	return a
}

// newOperation returns the first statement of a new operation.
func (c *client) newOperation(inTx bool) sentStatement {
	c.n++
	return sentStatement{fmt.Sprintf("%s/%d", c.name, c.n), inTx, c.values}
}

// single runs one statement outside a transaction.
func (c *client) single(text string) (id string, a answer) {
	id = c.ops.add(c.newOperation(false))
	return id, c.query(id, text)
}

// transaction runs statements in a transaction and returns the ids of these and the
// answer to COMMIT, or the first answer that is no success.
func (c *client) transaction(pause time.Duration, texts ...string) (ids []string, a answer) {
	s := c.newOperation(true)
	a = c.query(c.ops.add(s), "BEGIN")
	for _, text := range texts {
		if a.code != "OK" {
			break
		}
		time.Sleep(pause)
		id := c.ops.add(s)
		ids = append(ids, id)
		a = c.query(id, text)
	}
	if a.code == "OK" {
		time.Sleep(pause)
		return ids, c.query(c.ops.add(s), "COMMIT")
	}
	if c.conn != nil && a.state != "I" {
		c.query(c.ops.add(s), "ROLLBACK")
	}
	return ids, a
}
