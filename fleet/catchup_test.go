package fleet_test

import (
	"net"
	"sync/atomic"
	"testing"

	"github.com/pollendoor/pollendoor/fleet"
)

// silentVM accepts connections at an IP and never answers. It returns the port and the number
// of connections that have sent a request.
func silentVM(t *testing.T, ip, port string) (net.Addr, *atomic.Int64) {
	t.Helper()
	l, err := net.Listen("tcp4", net.JoinHostPort(ip, port))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	var requests atomic.Int64
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			t.Cleanup(func() { c.Close() })
			go func() {
				if n, _ := c.Read(make([]byte, 1)); n > 0 {
					requests.Add(1)
				}
			}()
		}
	}()
	return l.Addr(), &requests
}

// Guards against withdrawn keys that work on: a VM asked the coordinator of its zone, which
// stood still, three times for a second each before it asked the VM with the new version.
func TestCoordinatorThatStandsStillIsAskedOnce(t *testing.T) {
	addr, coordinator := silentVM(t, "127.0.0.71", "0")
	_, port, _ := net.SplitHostPort(addr.String())
	_, announcer := silentVM(t, "127.0.0.72", port)
	fleet.FetchConfig(addr.(*net.TCPAddr).Port, "127.0.0.71", "127.0.0.72")
	if got := coordinator.Load(); got != 1 {
		t.Errorf("got %d requests to the coordinator, want 1", got)
	}
	if got := announcer.Load(); got != 1 {
		t.Errorf("got %d requests to the VM that has announced the version, want 1", got)
	}
}
