// Package dial opens TCP connections that notice a peer which has gone dark.
package dial

import (
	"context"
	"net"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"
)

const (
	// keepAlive is how long a connection is idle before its peer is probed, and
	// the time between probes.
	keepAlive = time.Second
	// probes is how many probes may go unanswered.
	probes = 3
	// userTimeout ends a connection whose sent bytes are not acknowledged, in
	// milliseconds. A target drops the connections of a dark peer after 3 s; ours
	// end about then too.
	userTimeout = 3000
)

var dialer = net.Dialer{
	KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: keepAlive, Interval: keepAlive, Count: probes},
	Control: func(_, _ string, c syscall.RawConn) error {
		var set error
		if err := c.Control(func(fd uintptr) {
			set = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, userTimeout)
		}); err != nil {
			return err
		}
		return set
	},
}

// TCP connects to addr.
func TCP(ctx context.Context, addr string) (net.Conn, error) {
	return dialer.DialContext(ctx, "tcp4", addr)
}

// Listener returns the configuration of listeners whose connections notice dark
// peers.
func Listener() net.ListenConfig {
	return net.ListenConfig{KeepAliveConfig: dialer.KeepAliveConfig, Control: dialer.Control}
}

// acceptPause is the pause after a failed accept: out of descriptors, most likely,
// and others end soon.
const acceptPause = 20 * time.Millisecond

// Accept hands each connection to serve, in a goroutine of its own, until the
// listener is closed. Failed is told of errors.
func Accept(l net.Listener, failed func(error), serve func(net.Conn)) {
	for {
		c, err := l.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			failed(err)
			time.Sleep(acceptPause)
			continue
		}
		go serve(c)
	}
}

// Alive reports whether an idle connection is still open: its peer has neither
// closed it nor sent anything that nobody asked for.
func Alive(c net.Conn) bool {
	s, ok := c.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := s.SyscallConn()
	if err != nil {
		return false
	}
	alive := false
	err = raw.Control(func(fd uintptr) {
		var b [1]byte
		_, _, err := unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		alive = err == unix.EAGAIN
	})
	return err == nil && alive
}
