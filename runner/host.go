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

// GroupPrefix is where group records are kept in the store.
const GroupPrefix = "groups/"

// storeRetry is the wait after a failed call of the store.
const storeRetryDelay = 200 * time.Millisecond

// defaultSlots is how many statements a target runs at a time if the settings
// do not tell.
const defaultSlots = 3

// Options says what a Host serves and with what.
type Options struct {
	VM       string
	Zone     string
	Store    pollendoor.Store
	User     string // credentials of the system at the targets
	Password string
	// Connections bounds the connections of this VM to one target.
	Connections int
	// Slots bounds the statements of this VM under way at one target, so that
	// the others wait in the VM's fair queue and not at the target. Zero means
	// three.
	Slots int
	// Rank returns this VM's place among the homes of a group, or false if the
	// group has its home elsewhere. Nil means first for every group.
	Rank func(group string) (int, bool)
	// Vantages returns other VMs' fresh opinions on a group's primary.
	HealthVotes func(group string) []group.HealthVote
	// Doubt is called when this VM's opinion on a group's primary changes.
	OnSuspicionChange func(group string)
	Log               zerolog.Logger
}

// Host runs the groups of one VM. It is safe for use by several goroutines.
type Host struct {
	options  Options
	groups   atomic.Pointer[map[string]*Group] // replaced, never changed
	mu       sync.Mutex                        // serializes replacement
	wg       *conc.WaitGroup
	ctx      context.Context
	cancel   context.CancelFunc
	eventLog eventLog
}

var _ pollendoor.Runner = (*Host)(nil)

// NewHost returns a host without groups. Start has it watch the store.
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

// Start has the host follow the group records of the store until Stop.
func (h *Host) Start() { h.wg.Go(h.watchRecords) }

// Stop ends the host and closes all connections to targets.
func (h *Host) Stop() {
	h.cancel()
	h.wg.Wait()
	for _, g := range *h.groups.Load() {
		g.close()
	}
}

// watch applies the group records as they change. A store that is away leaves
// the records as they are.
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

// ApplyObject takes a group record as read from the store or heard from a peer.
func (h *Host) ApplyObject(obj pollendoor.Object) {
	var rec pollendoor.GroupRecord
	if err := json.Unmarshal(obj.Value, &rec); err != nil {
		h.options.Log.Error().Err(err).Str("object", obj.Name).Msg("group record can't be read")
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

// Zones returns the zones in which a group has targets, none if it is not known.
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

// Groups returns the names of the groups known.
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

// Ready returns an error until every group serves.
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
