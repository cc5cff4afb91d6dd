package main

import (
	"net"
	"sync"
	"time"
)

// link is the network path from one VM to an address of the platform: a TCP proxy that can cut
// the path for a while. As in a partition, bytes that are on their way are held and arrive
// after it unless their sender has reset the connection, and a connection that is opened
// during it never reaches the other side.
type link struct {
	listener net.Listener
	target   string
	// onSend is called with what the VM sends, before it is passed on. It may be nil.
	onSend func(data []byte)

	mu     sync.Mutex
	opened *sync.Cond
	cut    bool
	cuts   int
}

// newLink returns a link to an address.
func newLink(target string, onSend func(data []byte)) (*link, error) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	l := &link{listener: listener, target: target, onSend: onSend}
	l.opened = sync.NewCond(&l.mu)
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			go l.serve(c.(*net.TCPConn))
		}
	}()
	return l, nil
}

func (l *link) addr() string { return l.listener.Addr().String() }

// cutFor cuts the path for a time.
func (l *link) cutFor(d time.Duration) {
	l.mu.Lock()
	l.cut = true
	l.cuts++
	l.mu.Unlock()
	time.AfterFunc(d, func() {
		l.mu.Lock()
		l.cut = false
		l.mu.Unlock()
		l.opened.Broadcast()
	})
}

// pass waits until the path is open. It reports whether it was cut.
func (l *link) pass() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	was := l.cut
	for l.cut {
		l.opened.Wait()
	}
	return was
}

func (l *link) serve(c *net.TCPConn) {
	defer c.Close()
	if l.pass() {
		_ = c.SetLinger(0)
		return // a connection opened during the cut
	}
	out, err := net.Dial("tcp4", l.target)
	if err != nil {
		return
	}
	defer out.Close()
	done := make(chan struct{})
	go func() {
		l.forward(out.(*net.TCPConn), c, l.onSend)
		close(done)
	}()
	l.forward(c, out.(*net.TCPConn), nil)
	<-done
}

// forward passes on what one side sends. The end of the stream is passed on as such, and a
// reset as a reset: what was held is lost then.
func (l *link) forward(to, from *net.TCPConn, onSend func([]byte)) {
	buf := make([]byte, 32<<10)
	for {
		n, err := from.Read(buf)
		if n > 0 {
			if onSend != nil {
				onSend(buf[:n])
			}
			if l.pass() && isReset(from) {
				_ = to.SetLinger(0)
				to.Close()
				return
			}
			if _, err := to.Write(buf[:n]); err != nil {
				return
			}
		}
		if err != nil {
			l.pass()
			_ = to.CloseWrite()
			return
		}
	}
}

// isReset reports whether the peer of a connection has reset it.
func isReset(c *net.TCPConn) bool {
	raw, err := c.SyscallConn()
	if err != nil {
		return true
	}
	reset := false
	if err := raw.Control(func(fd uintptr) { reset = socketError(int(fd)) }); err != nil {
		return true
	}
	return reset
}
