package peers_test

import (
	"crypto/tls"
	"fmt"
	"net"
	"testing"
	"time"

	"github.com/pollendoor/pollendoor"
	"github.com/pollendoor/pollendoor/peers"
)

// newView returns the view of the VM self in a fleet with "each" VMs per zone, all
// of them live.
func newView(self string, zones []string, each int) *peers.View {
	now := time.Now()
	v := &peers.View{Members: make(map[string]peers.Member), At: now, ListFirstReadAt: now}
	for i := range each {
		for _, z := range zones {
			vm := pollendoor.VM{Name: fmt.Sprintf("vm-%s-%d", z, i), Zone: z}
			if vm.Name == self {
				v.Self = vm
				continue
			}
			v.Members[vm.Name] = peers.Member{VM: vm, ID: vm.Name + "#1", HeartbeatAt: now, FirstSeen: now}
		}
	}
	return v
}

// TestAllVMsComputeSameHomes checks that every VM computes the same home VMs of a
// group, one in each zone, that zones without targets have none, and that a VM
// that leaves changes only the groups that it was a home of.
func TestAllVMsComputeSameHomes(t *testing.T) {
	zones := []string{"a", "b", "c"}
	want := newView("vm-a-0", zones, 3).Homes("potes/potes-1")
	if len(want) != len(zones) {
		t.Fatalf("got %d home VMs, want one in each zone", len(want))
	}
	for _, z := range zones {
		for i := range 3 {
			name := fmt.Sprintf("vm-%s-%d", z, i)
			got := newView(name, zones, 3).Homes("potes/potes-1")
			if fmt.Sprint(got) != fmt.Sprint(want) {
				t.Errorf("%s: got home VMs %v, want %v", name, got, want)
			}
		}
	}
	near := newView("vm-a-0", zones, 3)
	near.ZonesOf = func(string) []string { return []string{"b", "c", "z"} }
	for _, h := range near.Homes("potes/potes-1") {
		if h.Zone == "a" {
			t.Error("got a home VM in zone a, want none in a zone without targets")
		}
	}
	moved := 0
	left := newView("vm-a-0", zones, 3)
	m := left.Members["vm-b-1"]
	m.Leaving = true
	left.Members["vm-b-1"] = m
	for i := range 300 {
		group := fmt.Sprint("g", i)
		before, after := newView("vm-a-0", zones, 3).Homes(group), left.Homes(group)
		for _, h := range after {
			if h.Name == "vm-b-1" {
				t.Fatalf("got a leaving VM as a home VM of %s, want only VMs that stay", group)
			}
		}
		if fmt.Sprint(before) != fmt.Sprint(after) {
			moved++
		}
	}
	if moved < 60 || moved > 140 {
		t.Errorf("got changed home VMs in %d of 300 groups, want 60 to 140: those with the leaving VM as a home", moved)
	}
}

// TestGone checks when the process of a VM counts as ended.
func TestGone(t *testing.T) {
	now := time.Now()
	v := newView("vm-a-0", []string{"a"}, 2)
	v.SelfID = "vm-a-0#2"
	v.EverListed = map[string]bool{"vm-a-1": true, "vm-a-7": true}
	tests := []struct {
		id   string
		want bool
	}{
		{"vm-a-0#2", false}, // this process
		{"vm-a-0#1", true},  // an earlier process of this VM
		{"vm-a-1#1", false}, // sends heartbeats
		{"vm-a-1#0", true},  // its VM sends heartbeats as another process
		{"vm-a-7#1", true},  // was listed and no longer is
		{"vm-a-9#1", false}, // never listed: may be too new
	}
	for _, tc := range tests {
		if got := v.Gone(tc.id); got != tc.want {
			t.Errorf("%s: got %v, want %v", tc.id, got, tc.want)
		}
	}
	v.At = now.Add(time.Hour)
	if !v.Gone("vm-a-9#1") {
		t.Error("got Gone = false for a VM that was not listed for an hour, want true")
	}
}

// TestTLSRejectsOtherKeys checks that only a client with the shared secret
// completes the TLS handshake.
func TestTLSRejectsOtherKeys(t *testing.T) {
	own, err := peers.Secure("the secret of the fleet")
	if err != nil {
		t.Fatal(err)
	}
	other, err := peers.Secure("a guess of a stranger")
	if err != nil {
		t.Fatal(err)
	}
	tests := []struct {
		name   string
		client *tls.Config
		want   bool
	}{
		{"peer", own, true},
		{"client with another key", other, false},
		{"client without a certificate", &tls.Config{InsecureSkipVerify: true}, false},
	}
	for _, tc := range tests {
		a, b := net.Pipe()
		deadline := time.Now().Add(10 * time.Second)
		a.SetDeadline(deadline)
		b.SetDeadline(deadline)
		go func() {
			c := tls.Client(b, tc.client)
			if c.Handshake() == nil {
				c.Read(make([]byte, 1)) // wait for the server's alert
			}
			b.Close()
		}()
		err := tls.Server(a, own).Handshake()
		a.Close()
		if got := err == nil; got != tc.want {
			t.Errorf("%s: got handshake success %v (%v), want %v", tc.name, got, err, tc.want)
		}
	}
	if _, err := peers.Secure("short"); err == nil {
		t.Error("got no error for a secret that is too short, want one")
	}
}
