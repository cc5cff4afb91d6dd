package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/pollendoor/pollendoor/platform/fake"
)

// database is what stands in front of a member of a group. VMs connect to it.
type database struct {
	member   *fake.LineMember
	listener net.Listener
	group    string
}

// addService starts a service of three databases, one in each zone, with 3 slots each.
func (f *fleet) addService(name string, maxConns int, lag, statement time.Duration) ([]*database, *fake.LineGroup, error) {
	g := &fake.LineGroup{
		Group: name, Zones: zones, ReplicationLag: lag, StatementTime: statement,
		MaxConns: maxConns, Slots: 3, PromoteTime: 300 * time.Millisecond,
	}
	if err := g.Start(); err != nil {
		return nil, nil, err
	}
	f.groups = append(f.groups, g)
	var list []*database
	for _, m := range g.Members() {
		l, err := net.Listen("tcp4", "127.0.0.1:0")
		if err != nil {
			return nil, nil, err
		}
		d := &database{member: m, listener: l, group: name}
		go d.accept()
		list = append(list, d)
	}
	return list, g, nil
}

func (d *database) accept() {
	for {
		c, err := d.listener.Accept()
		if err != nil {
			return
		}
		go d.serve(c)
	}
}

// serve forwards a connection. A row that names a table is replaced by the table's rows.
func (d *database) serve(c net.Conn) {
	defer c.Close()
	out, err := net.Dial("tcp4", d.member.Addr)
	if err != nil {
		return
	}
	defer out.Close()
	go func() {
		_, _ = io.Copy(out, c)
		out.(*net.TCPConn).CloseWrite()
	}()
	in, w := bufio.NewReaderSize(out, 64<<10), bufio.NewWriterSize(c, 64<<10)
	for {
		l, err := in.ReadString('\n')
		if err != nil {
			return
		}
		if table, ok := strings.CutPrefix(l, "DATAROW table/"); ok {
			if !writeTable(w, strings.TrimSpace(table)) {
				return
			}
		} else if _, err := w.WriteString(l); err != nil {
			return
		}
		if in.Buffered() == 0 && w.Flush() != nil {
			return
		}
	}
}

var filler = strings.Repeat("qhzkwmtrbelo", 100_000)

// writeTable writes the rows of a table that is described as ROWS/BYTES.
func writeTable(w *bufio.Writer, table string) bool {
	n, size, _ := strings.Cut(table, "/")
	rows, _ := strconv.Atoi(n)
	bytes, _ := strconv.Atoi(size)
	for range rows {
		if _, err := fmt.Fprintf(w, "DATAROW %s\r\n", filler[:min(bytes, len(filler))]); err != nil {
			return false
		}
	}
	return true
}

// startStore starts the platform's store and the promotion call with the entries of the
// databases.
func (f *fleet) startStore(databases ...*database) string {
	f.store.Promote = func(group, target, leader, token string) int {
		f.note("promotion call: %s to %s, by %s with token %s", group, target, leader, token)
		for _, g := range f.groups {
			if g.Group == group && g.Promote(target) {
				return http.StatusOK
			}
		}
		return http.StatusConflict
	}
	address := f.store.Start()
	f.register(databases...)
	return address
}

// register writes the entries of databases.
func (f *fleet) register(databases ...*database) {
	for _, d := range databases {
		role := "replica"
		if d.member == f.groupOf(d).Primary() {
			role = "primary"
		}
		f.store.Set("servers", d.member.ID, map[string]any{
			"service": d.group, "address": d.listener.Addr().String(), "zone": d.member.Zone, "version": "v1", "slots": 3,
			"state": "ready", "coldLeftMs": 0, "dbRole": role, "seq": 1, "born": f.began.UnixMilli(),
		})
	}
}

// setEntry writes the entry of a database.
func (f *fleet) setEntry(databases []*database, id, state string, start int64) {
	for _, d := range databases {
		if d.member.ID == id {
			f.store.Set("servers", id, map[string]any{
				"service": d.group, "address": d.listener.Addr().String(), "zone": d.member.Zone, "version": "v1", "slots": 3,
				"state": state, "coldLeftMs": 0, "dbRole": "replica", "seq": 1, "born": f.began.UnixMilli() + start,
			})
		}
	}
}

func (f *fleet) groupOf(d *database) *fake.LineGroup {
	for _, g := range f.groups {
		if g.Group == d.group {
			return g
		}
	}
	return nil
}

// configure writes the first configuration: for each service a route of each kind.
func (f *fleet) configure(timeoutMs int, maxConns int) {
	var routes, services []any
	for _, g := range f.groups {
		services = append(services, map[string]any{"name": g.Group, "maxConns": maxConns, "syncReplicas": g.SyncReplicas})
		for _, kind := range []string{"primary", "bounded_staleness", "read_your_writes"} {
			host := g.Group + "-" + kind
			routes = append(routes, map[string]any{
				"name": host, "host": host, "kind": kind, "timeoutMs": timeoutMs, "goalMs": 1000, "priority": 1,
				"service": g.Group, "maxStalenessMs": 1500, "public": false,
			})
		}
	}
	f.store.Set("config", "main", map[string]any{
		"version": 7, "routes": routes, "services": services, "limits": map[string]any{"txIdleMs": 5000},
		"tenants": []any{map[string]any{"name": tenant, "apiKeys": []string{accessKey}, "ratePerS": 500, "burst": 500}},
	})
}

// balancer chooses the VM for a new connection among those that are in rotation, as the
// platform does.
type balancer struct {
	fleet *fleet
	mu    sync.Mutex
	next  int
	miss  map[string]int
}

// probe asks each VM once per second for its readiness until stop is closed.
func (b *balancer) probe(stop <-chan struct{}) {
	tick := time.NewTicker(time.Second)
	defer tick.Stop()
	for {
		for _, v := range b.fleet.vms {
			ok := v.ready()
			b.mu.Lock()
			if b.miss[v.name]++; ok {
				b.miss[v.name] = 0
			}
			b.mu.Unlock()
		}
		select {
		case <-stop:
			return
		case <-tick.C:
		}
	}
}

// pick returns the VM for the next connection, never the one to avoid: retries reach other
// VMs.
func (b *balancer) pick(avoid *vm) *vm {
	b.mu.Lock()
	defer b.mu.Unlock()
	for range 2 * len(b.fleet.vms) {
		b.next++
		v := b.fleet.vms[b.next%len(b.fleet.vms)]
		if b.miss[v.name] < 2 && v != avoid {
			return v
		}
	}
	b.next++
	return b.fleet.vms[b.next%len(b.fleet.vms)]
}
