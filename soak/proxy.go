package soak

import (
	"io"
	"math/rand/v2"
	"net"
	"sync"
	"time"
)

// link is a TCP proxy on loopback that harms what passes through it.
type link struct {
	listener net.Listener
	target   string

	mu    sync.Mutex
	fault linkFault
	conns map[net.Conn]struct{}
}

// linkFault is what happens to bytes on a link.
type linkFault struct {
	delay  time.Duration
	silent bool // both ways
	oneWay bool // answers are held back
}

// newLink opens a proxy in front of an address.
func newLink(target string) (*link, error) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	k := &link{listener: l, target: target, conns: make(map[net.Conn]struct{})}
	go k.accept()
	return k, nil
}

func (k *link) addr() string { return k.listener.Addr().String() }

// set changes the fault. The end of a silence resets what was silenced, as the bytes
// of a partition are lost.
func (k *link) set(f linkFault) {
	k.mu.Lock()
	was := k.fault
	k.fault = f
	k.mu.Unlock()
	if (was.silent || was.oneWay) && !f.silent && !f.oneWay {
		k.reset()
	}
}

func (k *link) current() linkFault {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.fault
}

// reset resets all connections.
func (k *link) reset() {
	k.mu.Lock()
	defer k.mu.Unlock()
	for c := range k.conns {
		if t, ok := c.(*net.TCPConn); ok {
			_ = t.SetLinger(0) // so that the close below is a reset
		}
		c.Close()
	}
}

func (k *link) close() {
	k.listener.Close()
	k.reset()
}

func (k *link) accept() {
	for {
		c, err := k.listener.Accept()
		if err != nil {
			return
		}
		go k.serve(c)
	}
}

func (k *link) serve(c net.Conn) {
	defer c.Close()
	out, err := net.Dial("tcp4", k.target)
	if err != nil {
		return
	}
	defer out.Close()
	k.mu.Lock()
	k.conns[c], k.conns[out] = struct{}{}, struct{}{}
	k.mu.Unlock()
	defer func() {
		k.mu.Lock()
		defer k.mu.Unlock()
		delete(k.conns, c)
		delete(k.conns, out)
	}()
	done := make(chan struct{}, 2)
	go func() { k.pass(out, c, false); done <- struct{}{} }()
	go func() { k.pass(c, out, true); done <- struct{}{} }()
	<-done
}

// pass carries bytes one way.
func (k *link) pass(to io.Writer, from io.Reader, answers bool) {
	buf := make([]byte, 16<<10)
	for {
		n, err := from.Read(buf)
		if err != nil {
			return
		}
		f := k.current()
		for f.silent || f.oneWay && answers {
			time.Sleep(20 * time.Millisecond) // until reset
			f = k.current()
		}
		if f.delay > 0 {
			time.Sleep(f.delay/2 + rand.N(f.delay))
		}
		if _, err := to.Write(buf[:n]); err != nil {
			return
		}
	}
}
