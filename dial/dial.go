// Package dial opens TCP connections that detect an unreachable peer.
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
	// keepAlive is how long a connection is idle before the first keep-alive probe,
	// and the interval between probes.
	keepAlive = time.Second
	// maxProbes is the number of unanswered probes after which a connection ends.
	maxProbes = 3
	// userTimeout is how long sent bytes may stay unacknowledged before the connection
	// ends, in milliseconds. A target drops the connections of an unreachable peer
	// after 3 s; with this value the connection ends on both sides at about the same
	// time.
	userTimeout = 3000
)

// dialer opens connections that end soon after the peer has become unreachable.
var dialer = net.Dialer{
	KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: keepAlive, Interval: keepAlive, Count: maxProbes},
	Control: func(_, _ string, c syscall.RawConn) error {
		var sockErr error
		if err := c.Control(func(fd uintptr) {
			sockErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, userTimeout)
		}); err != nil {
			return err
		}
		return sockErr
	},
}

// TCP connects to addr, an IPv4 address and port.
func TCP(ctx context.Context, addr string) (net.Conn, error) {
	return dialer.DialContext(ctx, "tcp4", addr)
}

// Listener returns the configuration of listeners whose connections detect unreachable
// peers.
func Listener() net.ListenConfig {
	return net.ListenConfig{KeepAliveConfig: dialer.KeepAliveConfig, Control: dialer.Control}
}

// acceptPause is how long Accept pauses after an error. The most likely cause is a lack
// of file descriptors, which soon become free as other connections end.
const acceptPause = 20 * time.Millisecond

// Accept calls serve for each connection, in its own goroutine, until the listener is
// closed. For other errors it calls onError, pauses and goes on.
func Accept(l net.Listener, onError func(error), serve func(net.Conn)) {
	for {
		c, err := l.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			onError(err)
			time.Sleep(acceptPause)
			continue
		}
		go serve(c)
	}
}

// Alive reports whether an idle connection is still usable: its peer has neither closed
// it nor sent unexpected bytes. Connections without a file descriptor count as usable.
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
