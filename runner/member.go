package runner

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/pollendoor/pollendoor"
	"github.com/pollendoor/pollendoor/group"
	"github.com/pollendoor/pollendoor/pgwire"
	"github.com/pollendoor/pollendoor/pool"
	"github.com/pollendoor/pollendoor/queue"
)

const (
	// statusInterval is the time between status requests while no request waits
	// for a status.
	statusInterval = 100 * time.Millisecond
	// minStatusInterval is the minimum time between status requests while
	// writes wait for their acknowledgement.
	minStatusInterval = 200 * time.Microsecond
	// statusTimeout is the maximum duration of one status request.
	statusTimeout = 300 * time.Millisecond
	// statusBackoff is the delay after a failed status request.
	statusBackoff = 40 * time.Millisecond
)

// member is one target of a group as seen by this VM.
type member struct {
	group        *Group
	addr         pollendoor.TargetAddr
	control      pool.Control // connection for status requests
	admin        pool.Control // connection for promotion steps and internal queries
	pool         pool.Pool
	gate         queue.Gate // limits connections
	slots        queue.Gate // limits statements that run at the same time
	observed     atomic.Pointer[group.Observed]
	lag          atomic.Int64 // recent maximum age of unapplied log entries, in nanoseconds
	reachability atomic.Pointer[reachability]
	cancel       context.CancelFunc
}

// reachability holds a context that ends when a target becomes unreachable or
// is no longer the primary. Statements that run there are then aborted, because
// their answers may never arrive.
type reachability struct {
	ctx context.Context
	end context.CancelFunc
}

func (m *member) resetReachability() {
	ctx, cancel := context.WithCancel(context.Background())
	if old := m.reachability.Swap(&reachability{ctx: ctx, end: cancel}); old != nil {
		old.end()
	}
}

func newMember(g *Group, addr pollendoor.TargetAddr) *member {
	options := g.host.options
	login := pgwire.Login{Addr: addr.Addr, User: options.User, Password: options.Password, Database: g.name, App: "pollendoor@" + options.Zone}
	m := &member{group: g, addr: addr}
	m.pool.Login = login
	login.App = pgwire.ControlApp + "@" + options.Zone
	m.control.Login = login
	m.admin.Login = login
	m.gate.SetLimit(options.Connections)
	m.slots.SetLimit(options.Slots)
	m.resetReachability()
	return m
}

func (m *member) start(ctx context.Context) {
	ctx, m.cancel = context.WithCancel(ctx)
	m.group.host.wg.Go(func() { m.poll(ctx) })
}

// poll requests the target's status in a loop: rarely while no request waits,
// back to back while writes wait. Only one status request is outstanding at a
// time, so all waiting writes share each answer.
func (m *member) poll(ctx context.Context) {
	lastTrim, lastAnswer := time.Now(), time.Now()
	for ctx.Err() == nil {
		requestedAt := time.Now()
		if !m.group.active(requestedAt) {
			m.disconnect(ctx)
			lastAnswer = time.Now()
			continue
		}
		if m.requestStatus(ctx, requestedAt) != nil {
			m.pool.Drop()
			if time.Since(lastAnswer) > group.SuspectAfter {
				m.resetReachability()
				lastAnswer = time.Now()
			}
			m.group.notifyUpdate()
			pollendoor.Pause(ctx, statusBackoff)
			continue
		}
		lastAnswer = requestedAt
		if requestedAt.Sub(lastTrim) > time.Second {
			m.pool.Trim(requestedAt)
			lastTrim = requestedAt
		}
		m.waitForNextPoll(ctx)
	}
	m.control.Close()
	m.admin.Close()
}

// disconnect closes all connections, then waits for statusInterval or until a
// request starts to wait.
func (m *member) disconnect(ctx context.Context) {
	m.pool.Drop()
	m.control.Close()
	m.admin.Close()
	t := time.NewTimer(statusInterval)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	case <-m.group.waiterArrivals():
	}
}

func (m *member) requestStatus(ctx context.Context, requestedAt time.Time) error {
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	status, err := m.control.Status(ctx)
	if err != nil {
		return err
	}
	status.Name = m.addr.Name
	m.measureLag(status, requestedAt)
	m.observed.Store(&group.Observed{Status: status, RequestedAt: requestedAt})
	m.group.notifyUpdate()
	return nil
}

// lagDecay is the time in which an earlier, larger lag decays.
const lagDecay = 10 * time.Second

// measureLag keeps the recent maximum age of unapplied entries.
func (m *member) measureLag(status pollendoor.TargetStatus, requestedAt time.Time) {
	lag := m.lag.Load()
	if previous := m.observed.Load(); previous != nil {
		lag -= int64(float64(lag) * requestedAt.Sub(previous.RequestedAt).Seconds() / lagDecay.Seconds())
	}
	if status.Applied < status.Index {
		lag = max(lag, int64(status.Age()))
	}
	m.lag.Store(lag)
}

// waitForNextPoll waits until the next status request is due.
func (m *member) waitForNextPoll(ctx context.Context) {
	if m.group.waiters.Load() > 0 {
		pollendoor.Pause(ctx, minStatusInterval)
		return
	}
	t := time.NewTimer(statusInterval)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	case <-m.group.waiterArrivals():
	}
}

func (m *member) close() {
	m.cancel()
	m.reachability.Load().end()
	m.pool.Close()
}
