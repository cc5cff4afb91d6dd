package bench

import (
	"context"
	"fmt"
	"net/url"
	"runtime"
	"syscall"
	"time"

	"github.com/jackc/pgx/v5"

	"github.com/pollendoor/pollendoor/peers"
	"github.com/pollendoor/pollendoor/pgwire"
	"github.com/pollendoor/pollendoor/tree"
)

func edit(path, text string, based uint64) tree.Edit {
	return tree.Edit{Path: path, YAML: text, Based: based, By: "bench"}
}

// cpuTime returns the user and system CPU time that this process has used.
func cpuTime() time.Duration {
	var u syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &u) != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// overhead compares a prepared read through one VM with the same read sent
// directly to the target, one at a time. CPU time and allocations are those of
// the whole process; the caller's and the target's share cancels out in the
// difference.
func overhead(ctx context.Context, c Config) (*Result, error) {
	r := newResult("overhead")
	r.Targets["addedP50Us"] = "<= 150"
	l, err := StartLab(ctx, LabOptions{Log: c.Log})
	if err != nil {
		return nil, err
	}
	defer l.Stop()
	client := &caller{lab: l, team: "festa", route: firstGroup}
	defer client.close(ctx)
	if err := client.exec(ctx, "CREATE TABLE pot (id BIGINT PRIMARY KEY, n BIGINT)"); err != nil {
		return nil, err
	}
	if err := client.exec(ctx, "INSERT INTO pot VALUES (1, 1)"); err != nil {
		return nil, err
	}
	time.Sleep(100 * time.Millisecond)
	target := l.Group(firstGroup).Targets[1]
	u := url.URL{Scheme: "postgres", User: url.UserPassword(targetUser, targetPassword), Host: target.Addr(), Path: "/" + firstGroup, RawQuery: "sslmode=disable"}
	direct, err := pgx.Connect(ctx, u.String())
	if err != nil {
		return nil, err
	}
	defer direct.Close(ctx)
	viaVM, err := l.connectHomeVM(ctx)
	if err != nil {
		return nil, err
	}
	defer viaVM.Close(ctx)
	d := c.duration(3 * time.Second)
	directCost, err := measureReads(ctx, direct, d)
	if err != nil {
		return nil, err
	}
	vmCost, err := measureReads(ctx, viaVM, d)
	if err != nil {
		return nil, err
	}
	r.Figures["directP50Us"], r.Figures["throughP50Us"] = directCost.latency.ms(50)*1000, vmCost.latency.ms(50)*1000
	r.Figures["addedP50Us"] = r.Figures["throughP50Us"] - r.Figures["directP50Us"]
	r.Figures["directP99Us"], r.Figures["throughP99Us"] = directCost.latency.ms(99)*1000, vmCost.latency.ms(99)*1000
	r.Figures["addedAllocations"] = vmCost.allocations - directCost.allocations
	added := vmCost.cpu - directCost.cpu
	r.Figures["addedCPUUs"] = float64(added.Microseconds())
	if added > 0 {
		r.Figures["statementsPerCore"] = float64(time.Second) / float64(added)
	}
	return r, nil
}

// connectHomeVM connects to a home VM of the first group, or to the first VM if
// there is none.
func (l *Lab) connectHomeVM(ctx context.Context) (*pgx.Conn, error) {
	for i, n := range l.Nodes() {
		if n.IsHome(firstGroup) {
			return pgx.Connect(ctx, l.URL(i, "festa", firstGroup))
		}
	}
	return pgx.Connect(ctx, l.URL(0, "festa", firstGroup))
}

// statementCost is the cost of a statement of one kind.
type statementCost struct {
	latency     latencies
	allocations float64       // per statement
	cpu         time.Duration // of the whole process, per statement
}

// measureReads runs prepared reads one at a time for the duration d.
func measureReads(ctx context.Context, c *pgx.Conn, d time.Duration) (statementCost, error) {
	k := statementCost{latency: newLatencies()}
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	cpu := cpuTime()
	count := 0
	for end := time.Now().Add(d); time.Now().Before(end); count++ {
		start := time.Now()
		var n int64
		if err := c.QueryRow(ctx, "SELECT n FROM pot WHERE id = $1", 1).Scan(&n); err != nil {
			return k, err
		}
		k.latency.add(time.Since(start))
	}
	runtime.ReadMemStats(&after)
	k.allocations = float64(after.Mallocs-before.Mallocs) / float64(count)
	k.cpu = (cpuTime() - cpu) / time.Duration(count)
	return k, nil
}

// control measures the control traffic, CPU time and memory per VM and the store
// calls of an idle fleet at growing fleet sizes.
func control(ctx context.Context, c Config) (*Result, error) {
	r := newResult("control")
	for _, n := range []int{8, 32, 128} {
		k, err := controlAt(ctx, c, n)
		if err != nil {
			return nil, err
		}
		tag := fmt.Sprintf("At%d", n)
		r.Figures["bytesPerSecond"+tag] = k.bytes
		r.Figures["corePercent"+tag] = k.core
		r.Figures["memoryMB"+tag] = k.memory
		r.Figures["storeCallsPerSecond"+tag] = k.calls
		r.Targets["bytesPerSecond"+tag], r.Targets["corePercent"+tag], r.Targets["memoryMB"+tag] = "<= 11000", "<= 4", "<= 64"
	}
	r.Settings["seconds"] = c.duration(5 * time.Second).Seconds()
	return r, nil
}

// controlCost is the cost per VM of an idle fleet: bytes sent and received per second,
// percent of a core and MiB of memory. calls is the number of store calls per second
// of the whole fleet.
type controlCost struct{ bytes, core, memory, calls float64 }

// controlAt measures the cost at a fleet of at least the given number of VMs.
func controlAt(ctx context.Context, c Config, vms int) (controlCost, error) {
	var k controlCost
	before := memoryInUse()
	l, err := StartLab(ctx, LabOptions{VMsPerZone: (vms + 2) / 3, Log: c.Log})
	if err != nil {
		return k, err
	}
	defer l.Stop()
	n := float64(len(l.Nodes()))
	time.Sleep(3 * time.Second) // the fleet's startup traffic ends
	d := c.duration(5 * time.Second)
	calls, bytes, cpu := sumCounts(l.Platform.Calls()), peers.Bytes(), cpuTime()
	time.Sleep(d)
	k.calls = float64(sumCounts(l.Platform.Calls())-calls) / d.Seconds()
	// Each byte counts twice: one VM sends it and another receives it.
	k.bytes = 2 * float64(peers.Bytes()-bytes) / d.Seconds() / n
	k.core = float64(cpuTime()-cpu) / float64(d) * 100 / n
	k.memory = (float64(memoryInUse()) - float64(before)) / n / (1 << 20)
	return k, nil
}

func sumCounts(m map[string]int) int {
	n := 0
	for _, v := range m {
		n += v
	}
	return n
}

// sessionCost measures the memory per idle connection of callers at one VM. Both
// ends are in this process, so the figures include the caller's small part.
func sessionCost(ctx context.Context, c Config) (*Result, error) {
	r := newResult("sessions")
	l, err := StartLab(ctx, LabOptions{Log: c.Log})
	if err != nil {
		return nil, err
	}
	defer l.Stop()
	login := pgwire.Login{Addr: l.Nodes()[0].Addr(), User: "festa.k1", Password: l.Secrets["festa"], Database: firstGroup}
	var conns []*pgwire.Conn
	defer func() {
		for _, k := range conns {
			k.Close()
		}
	}()
	lastMemory := memoryInUse()
	previous := 0
	for _, n := range []int{500, 2000, 4000} {
		for len(conns) < n {
			k, err := pgwire.Dial(ctx, login)
			if err != nil {
				return nil, err
			}
			conns = append(conns, k)
		}
		memory := memoryInUse()
		r.Figures[fmt.Sprintf("kilobytesEachTo%d", n)] = float64(memory-lastMemory) / float64(n-previous) / 1024
		lastMemory, previous = memory, n
	}
	r.Settings["sessions"] = 4000
	return r, nil
}

// memoryInUse returns the bytes of heap and stack in use after a garbage
// collection.
func memoryInUse() uint64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&m)
	return m.HeapInuse + m.StackInuse
}
