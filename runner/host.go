package runner

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"
	"github.com/sourcegraph/conc"

	"github.com/pollendoor/pollendoor"
	"github.com/pollendoor/pollendoor/group"
)

// GroupPrefix is the name prefix of group records in the store.
const GroupPrefix = "groups/"

// storeRetryDelay is the average delay, with jitter, after a failed call of the
// store.
const storeRetryDelay = 200 * time.Millisecond

// defaultSlots is how many statements of this VM run at a target at the same
// time if Options.Slots is zero.
const defaultSlots = 3

// Options configures a Host.
type Options struct {
	VM       string           // name of this VM
	Zone     string           // zone of this VM
	Store    pollendoor.Store // store of the group records
	User     string           // user name of the system at targets, with Password
	Password string
	// Connections is the maximum number of connections of this VM to one
	// target.
	Connections int
	// Slots is the maximum number of statements of this VM that run at one
	// target at the same time. Further statements wait in the fair queue of the
	// VM and not at the target. Zero means three.
	Slots int
	// Rank returns the position of this VM among the home VMs of a group, or
	// false if this VM is not one of them. Nil means the first position for
	// every group.
	Rank func(group string) (int, bool)
	// HealthVotes returns the fresh votes of other VMs on the health of a
	// group's primary.
	HealthVotes func(group string) []group.HealthVote
	// OnSuspicionChange is called when this VM starts or stops suspecting that
	// a group's primary has failed.
	OnSuspicionChange func(group string)
	Log               zerolog.Logger
}

// Host runs the groups of one VM. It is safe for concurrent use.
type Host struct {
	options  Options
	groups   atomic.Pointer[map[string]*Group] // immutable map, replaced as a whole
	mu       sync.Mutex                        // serializes replacement of groups
	wg       *conc.WaitGroup
	ctx      context.Context
	cancel   context.CancelFunc
	eventLog eventLog
}

var _ pollendoor.Runner = (*Host)(nil)

// NewHost returns a host without groups. Call Start to make it watch the store.
func NewHost(options Options) *Host {
	h := &Host{options: options, wg: conc.NewWaitGroup()}
	if h.options.Slots == 0 {
		h.options.Slots = defaultSlots
	}
	if h.options.Rank == nil {
		h.options.Rank = func(string) (int, bool) { return 0, true }
	}
	if h.options.HealthVotes == nil {
		h.options.HealthVotes = func(string) []group.HealthVote { return nil }
	}
	if h.options.OnSuspicionChange == nil {
		h.options.OnSuspicionChange = func(string) {}
	}
	h.ctx, h.cancel = context.WithCancel(context.Background())
	h.groups.Store(&map[string]*Group{})
	return h
}

// Start makes the host follow the group records of the store until Stop.
func (h *Host) Start() { h.wg.Go(h.watchRecords) }

// Stop stops the host and closes all connections to targets.
func (h *Host) Stop() {
	h.cancel()
	h.wg.Wait()
	for _, g := range *h.groups.Load() {
		g.close()
	}
}

// watchRecords applies the group records as they change. While the store is
// unavailable, the current records stay in use.
func (h *Host) watchRecords() {
	var revision uint64
	for h.ctx.Err() == nil {
		var objects []pollendoor.Object
		var err error
		if revision == 0 {
			objects, revision, err = h.options.Store.List(h.ctx, GroupPrefix)
		} else {
			objects, revision, err = h.options.Store.Watch(h.ctx, GroupPrefix, revision)
		}
		if err != nil {
			revision = 0
			pollendoor.Pause(h.ctx, storeRetryDelay/2+rand.N(storeRetryDelay))
			continue
		}
		for _, obj := range objects {
			h.ApplyObject(obj)
		}
	}
}

// ApplyObject applies a group record that was read from the store or received
// from another VM.
func (h *Host) ApplyObject(obj pollendoor.Object) {
	var rec pollendoor.GroupRecord
	if err := json.Unmarshal(obj.Value, &rec); err != nil {
		h.options.Log.Error().Err(err).Str("object", obj.Name).Msg("group record could not be decoded")
		return
	}
	rec.Group = strings.TrimPrefix(obj.Name, GroupPrefix)
	h.applyRecord(rec, obj.Version)
}

func (h *Host) applyRecord(rec pollendoor.GroupRecord, version uint64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	old := *h.groups.Load()
	g := old[rec.Group]
	if g == nil {
		g = newGroup(h, rec.Group)
		next := make(map[string]*Group, len(old)+1)
		for k, v := range old {
			next[k] = v
		}
		next[rec.Group] = g
		h.groups.Store(&next)
	}
	g.applyRecord(rec, version)
}

// Group returns the group called name.
func (h *Host) Group(name string) (*Group, bool) {
	g, ok := (*h.groups.Load())[name]
	return g, ok
}

// Zones returns the zone of each target of a group, or nil if this VM has no
// record of the group. A zone with several targets is listed several times.
func (h *Host) Zones(name string) []string {
	g, ok := h.Group(name)
	if !ok {
		return nil
	}
	var list []string
	for _, m := range g.view.Load().members {
		list = append(list, m.addr.Zone)
	}
	return list
}

// Groups returns the names of the groups whose records this VM has read.
func (h *Host) Groups() []string {
	var list []string
	for n := range *h.groups.Load() {
		list = append(list, n)
	}
	return list
}

// Open opens a link to a group.
func (h *Host) Open(name string) (pollendoor.Link, *pollendoor.Refusal) {
	g, ok := h.Group(name)
	if !ok {
		return nil, pollendoor.Refuse(pollendoor.CodeNoRoute, "database group "+name+" is not known", "no record of it was read from the platform")
	}
	return &Link{group: g}, nil
}

// Ready returns an error unless this VM has the record of at least one group and
// every group serves.
func (h *Host) Ready() error {
	groups := *h.groups.Load()
	if len(groups) == 0 {
		return errors.New("no group is known yet")
	}
	for n, g := range groups {
		if v := g.view.Load(); v.record.Phase != pollendoor.Serving {
			return errors.Newf("group %s does not serve yet", n)
		}
	}
	return nil
}
