//go:build review

package main

import (
	"bufio"
	"errors"
	"fmt"
	"net"
	"strings"
	"sync/atomic"
	"time"
)

// answerTimeout is how long a client waits for an answer.
const answerTimeout = 10 * time.Second

var lastID atomic.Uint64

// client is one session of a client.
type client struct {
	record *record
	vm     *vm
	host   string
	conn   net.Conn
	in     *bufio.Reader
}

// reply is the answer to one statement. The code is empty for a success and LOST if
// the connection ended before the answer was complete.
type reply struct {
	id, text       string
	code, row, sig string
	state          string
	sent, answered time.Time
}

func (r reply) ok() bool { return r.code == "" }

// connect opens the session.
func (c *client) connect() error {
	conn, err := net.DialTimeout("tcp4", c.vm.callers(), time.Second)
	if err != nil {
		return err
	}
	c.conn, c.in = conn, bufio.NewReader(conn)
	fmt.Fprintf(conn, "STARTUP %s %s\r\n", c.host, clientKey)
	conn.SetReadDeadline(time.Now().Add(2 * time.Second))
	l, err := c.in.ReadString('\n')
	if err == nil && !strings.HasPrefix(l, "READY") {
		err = errors.New(strings.TrimSpace(l))
	}
	if err != nil {
		c.close()
	}
	return err
}

func (c *client) close() {
	if c.conn != nil {
		c.conn.Close()
		c.conn = nil
	}
}

// do sends one statement and reads its answer.
func (c *client) do(text string) reply {
	r := reply{id: fmt.Sprintf("%016x", lastID.Add(1)), text: text, sent: time.Now()}
	c.record.add("sent", "vm=%s host=%s id=%s %.60s", c.vm.name, c.host, r.id, text)
	defer func() {
		r.answered = time.Now()
	}()
	c.conn.SetDeadline(time.Now().Add(answerTimeout))
	_, err := fmt.Fprintf(c.conn, "QUERY %s %s\r\n", r.id, text)
	for err == nil {
		var l string
		if l, err = c.in.ReadString('\n'); err != nil {
			break
		}
		word, rest, _ := strings.Cut(strings.TrimSuffix(l, "\r\n"), " ")
		switch word {
		case "DATAROW":
			r.row = rest
		case "COMPLETE":
			r.sig = rest
		case "ERROR":
			r.code, _, _ = strings.Cut(rest, " ")
		case "READY":
			r.state, _, _ = strings.Cut(rest, " ")
			r.answered = time.Now()
			c.record.add("answer", "id=%s code=%s row=%.60s signature=%s", r.id, r.code, r.row, r.sig)
			return r
		}
	}
	r.code, r.answered = "LOST", time.Now()
	c.record.add("lost", "id=%s %.60s: %v", r.id, text, err)
	c.close()
	return r
}
