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

// statementID numbers the statements of all clients.
var statementID atomic.Uint64

// client is one session.
type client struct {
	conn net.Conn
	in   *bufio.Reader
}

// answer is the answer to one statement.
type answer struct {
	id    string
	code  string // OK, or the code of the ERROR
	rows  int
	bytes int
	first string // first row
}

// connect opens a session at an address.
func connect(addr, database string) (*client, error) {
	conn, err := net.DialTimeout("tcp4", addr, time.Second)
	if err != nil {
		return nil, err
	}
	c := &client{conn: conn, in: bufio.NewReaderSize(conn, 64<<10)}
	fmt.Fprintf(conn, "STARTUP %s %s\r\n", database, accessKey)
	conn.SetReadDeadline(time.Now().Add(2 * time.Second))
	l, err := c.in.ReadString('\n')
	if err == nil && !strings.HasPrefix(l, "READY") {
		err = errors.New(strings.TrimSpace(l))
	}
	if err != nil {
		conn.Close()
		return nil, err
	}
	return c, nil
}

// query sends a statement and reads its answer until the limit.
func (c *client) query(text string, limit time.Duration) (answer, error) {
	a := answer{id: fmt.Sprintf("%016x", 0x5c0e7a2100000000+statementID.Add(1))}
	c.conn.SetDeadline(time.Now().Add(limit))
	if _, err := fmt.Fprintf(c.conn, "QUERY %s %s\r\n", a.id, text); err != nil {
		return a, err
	}
	for {
		l, err := c.in.ReadString('\n')
		if err != nil {
			return a, err
		}
		word, rest, _ := strings.Cut(strings.TrimSuffix(l, "\r\n"), " ")
		switch word {
		case "DATAROW":
			if a.rows == 0 {
				a.first = rest
			}
			a.rows++
			a.bytes += len(rest)
		case "COMPLETE":
			a.code = "OK"
		case "ERROR":
			a.code, _, _ = strings.Cut(rest, " ")
		case "READY":
			return a, nil
		}
	}
}

func (c *client) close() { c.conn.Close() }
