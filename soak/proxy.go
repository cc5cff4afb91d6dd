package soak

import (
	"io"
	"math/rand/v2"
	"net"
	"sync"
	"time"
)

// tcpProxy is a TCP proxy on loopback that injects faults into its connections.
type tcpProxy struct {
	listener net.Listener
	target   string // address that connections are forwarded to

	mu    sync.Mutex
	fault proxyFault
	conns map[net.Conn]struct{}
}

// proxyFault is the fault that a proxy applies to the bytes it forwards.
type proxyFault struct {
	delay          time.Duration // mean delay; each read is delayed by 0.5 to 1.5 times this
	blocked        bool          // no bytes are forwarded in either direction
	answersBlocked bool          // no bytes are forwarded from the target to the client
}

// newProxy starts a proxy that forwards to the address target.
func newProxy(target string) (*tcpProxy, error) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &tcpProxy{listener: l, target: target, conns: make(map[net.Conn]struct{})}
	go p.accept()
	return p, nil
}

func (p *tcpProxy) addr() string { return p.listener.Addr().String() }

// setFault changes the fault. When blocking ends, the connections are reset, because
// bytes sent during a network partition are lost.
func (p *tcpProxy) setFault(f proxyFault) {
	p.mu.Lock()
	was := p.fault
	p.fault = f
	p.mu.Unlock()
	if (was.blocked || was.answersBlocked) && !f.blocked && !f.answersBlocked {
		p.reset()
	}
}

func (p *tcpProxy) currentFault() proxyFault {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.fault
}

// reset closes all connections with a TCP reset.
func (p *tcpProxy) reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		if t, ok := c.(*net.TCPConn); ok {
			_ = t.SetLinger(0) // makes Close send a TCP reset
		}
		c.Close()
	}
}

func (p *tcpProxy) close() {
	p.listener.Close()
	p.reset()
}

func (p *tcpProxy) accept() {
	for {
		c, err := p.listener.Accept()
		if err != nil {
			return
		}
		go p.serve(c)
	}
}

func (p *tcpProxy) serve(c net.Conn) {
	defer c.Close()
	out, err := net.Dial("tcp4", p.target)
	if err != nil {
		return
	}
	defer out.Close()
	p.mu.Lock()
	p.conns[c], p.conns[out] = struct{}{}, struct{}{}
	p.mu.Unlock()
	defer func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		delete(p.conns, c)
		delete(p.conns, out)
	}()
	done := make(chan struct{}, 2)
	go func() { p.forward(out, c, false); done <- struct{}{} }()
	go func() { p.forward(c, out, true); done <- struct{}{} }()
	<-done
}

// forward copies bytes in one direction. The flag answers is true for the direction
// from the target to the client.
func (p *tcpProxy) forward(to io.Writer, from io.Reader, answers bool) {
	buf := make([]byte, 16<<10)
	for {
		n, err := from.Read(buf)
		if err != nil {
			return
		}
		f := p.currentFault()
		for f.blocked || f.answersBlocked && answers {
			time.Sleep(20 * time.Millisecond) // until the connection is reset or the fault ends
			f = p.currentFault()
		}
		if f.delay > 0 {
			time.Sleep(f.delay/2 + rand.N(f.delay))
		}
		if _, err := to.Write(buf[:n]); err != nil {
			return
		}
	}
}
