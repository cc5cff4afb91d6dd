// Package node assembles one VM: the mirror of the platform's objects, the
// membership in the fleet, the groups that have their home on this VM, the teams'
// allowances, the listener for callers and the listener for operators.
package node

import (
	"context"
	"crypto/tls"
	"encoding/json"
	"maps"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"
	"github.com/rs/zerolog"
	"github.com/sourcegraph/conc"

	"github.com/pollendoor/pollendoor"
	"github.com/pollendoor/pollendoor/access"
	"github.com/pollendoor/pollendoor/budget"
	"github.com/pollendoor/pollendoor/escrow"
	"github.com/pollendoor/pollendoor/front"
	"github.com/pollendoor/pollendoor/group"
	"github.com/pollendoor/pollendoor/keys"
	"github.com/pollendoor/pollendoor/limit"
	"github.com/pollendoor/pollendoor/mirror"
	"github.com/pollendoor/pollendoor/peers"
	"github.com/pollendoor/pollendoor/runner"
	"github.com/pollendoor/pollendoor/tree"
)

const (
	// summaryInterval is the mean time between writes of the burn summary to the
	// platform's store.
	summaryInterval = 15 * time.Second
	// minRefreshInterval is the minimum time between two refreshes of the guard's
	// compiled snapshot of settings and keys.
	minRefreshInterval = 10 * time.Millisecond
	// handoverTimeout bounds the handover of allowances to other VMs at a planned
	// stop.
	handoverTimeout = 2 * time.Second
)

// Options configures a Node.
type Options struct {
	VM          pollendoor.VM    // name and zone
	Listen      string           // address of the listener for callers
	PeerListen  string           // address of the listener for peers
	AdminListen string           // address of the listener for operators, empty for none
	Store       pollendoor.Store // store of the platform
	PeerSecret  string           // secret shared by all VMs, at least 16 bytes
	AdminToken  string           // token that operators must send, empty for none
	User        string           // user name of the system at targets, with Password
	Password    string
	Connections int                    // maximum number of connections of this VM to one target
	TLS         *tls.Config            // of the listener for callers, nil for none
	RequireTLS  bool                   // whether callers without TLS are refused
	Cut         func(addr string) bool // reports whether a peer is to be treated as unreachable; for tests
	Log         zerolog.Logger
}

// Node is one VM. It is safe for concurrent use.
type Node struct {
	options        Options
	id             string // ID of this process: VM name, "#" and a random part
	mirror         mirror.Mirror
	budget         budget.Recorder // burn counts of this VM
	fleet          *peers.Fleet
	host           *runner.Host     // groups that have their home on this VM
	forward        *peers.Forwarder // runs exchanges on home VMs
	guard          *access.Guard    // settings and keys in force
	keeper         *escrow.Keeper   // units held of the teams' allowances
	server         *front.Server    // listener for callers
	admin          *http.Server     // listener for operators, nil for none
	adminAddr      string           // address of the listener for operators
	pendingWrites  atomic.Int64     // number of this VM's writes of settings or keys in progress
	uncertainUntil atomic.Int64     // Unix time in ns until which a write of unknown outcome may still take effect
	ctx            context.Context
	cancel         context.CancelFunc
	wg             *conc.WaitGroup
	summaryVersion uint64 // version of this VM's burn summary in the store
}

// Start starts a VM. If it returns an error, nothing is left running.
func Start(options Options) (*Node, error) {
	n := &Node{options: options, id: options.VM.Name + "#" + uuid.NewString()[:8], wg: conc.NewWaitGroup()}
	n.ctx, n.cancel = context.WithCancel(context.Background())
	secure, err := peers.Secure(options.PeerSecret)
	if err != nil {
		return nil, err
	}
	n.host = runner.NewHost(runner.Options{
		VM: options.VM.Name, Zone: options.VM.Zone, Store: options.Store, User: options.User, Password: options.Password,
		Connections: options.Connections, Log: options.Log,
		OnSuspicionChange: func(g string) { n.fleet.RequestHeartbeat(g) },
		Rank:              func(g string) (int, bool) { return n.fleet.Rank(g) },
		HealthVotes:       func(g string) []group.HealthVote { return n.fleet.HealthVotes(g) },
	})
	n.fleet = peers.New(peers.Options{
		Self: options.VM, ID: n.id, TLS: secure, Store: options.Store, Mirror: &n.mirror, Runner: n.host,
		Fill: n.fillHeartbeat, Transfer: func(t limit.Transfer) bool { return n.keeper.Receive(t) }, Cut: options.Cut, Log: options.Log,
		ZonesOf: n.host.Zones,
		Asked:   func(a peers.Ask) { n.keeper.HandleAsk(a) },
	})
	n.forward = &peers.Forwarder{Fleet: n.fleet, Local: n.host}
	n.guard = &access.Guard{
		Mirror: &n.mirror, Zones: n.zoneStates, CatchingUp: n.fleet.CatchingUp, Budget: &n.budget, Log: options.Log,
		Take: func(team string, c int) bool { return n.keeper.Admit(team, c) },
	}
	n.keeper = escrow.New(escrow.Options{
		ID: n.id, Store: options.Store, Mirror: &n.mirror, View: n.fleet.View,
		Send: n.fleet.Send, Ask: n.fleet.Ask, Teams: n.guard.Allowances, Log: options.Log,
	})
	n.server = front.NewServer(front.Options{Runner: n.forward, Access: n.guard, TLS: options.TLS, RequireTLS: options.RequireTLS, Log: options.Log})
	return n, n.listen()
}

// listen opens the listeners and starts the background work.
func (n *Node) listen() error {
	if _, err := n.fleet.Listen(n.options.PeerListen); err != nil {
		return err
	}
	if n.options.AdminListen != "" {
		l, err := net.Listen("tcp", n.options.AdminListen)
		if err != nil {
			n.fleet.Stop()
			return errors.Wrap(err, "listen for operators")
		}
		n.adminAddr = l.Addr().String()
		n.admin = &http.Server{Handler: n.adminHandler(), ReadHeaderTimeout: 5 * time.Second}
		n.wg.Go(func() { n.admin.Serve(l) })
	}
	if err := n.server.Listen(n.options.Listen); err != nil {
		n.fleet.Stop()
		if n.admin != nil {
			n.admin.Close()
		}
		return err
	}
	n.fleet.Start()
	n.keeper.Start()
	n.wg.Go(n.applyUpdates)
	n.wg.Go(n.summaryLoop)
	return nil
}

// Addr returns the address of the listener for callers.
func (n *Node) Addr() string { return n.server.Addr() }

// AdminAddr returns the address of the listener for operators, empty if there is
// none.
func (n *Node) AdminAddr() string { return n.adminAddr }

// PeerVM returns this VM's name and zone, and the address of its listener for
// peers.
func (n *Node) PeerVM() pollendoor.VM { return n.fleet.View().Self }

// Ready returns nil if the VM can serve, else an error with the reason.
func (n *Node) Ready() error {
	if n.mirror.AsOf().IsZero() {
		return errors.New("no objects have been read from the platform yet")
	}
	return n.host.Ready()
}

// applyUpdates applies updates of the mirror: group records to the host, and
// settings and keys to the guard.
func (n *Node) applyUpdates() {
	var seq uint64
	for n.ctx.Err() == nil {
		changed := n.mirror.Changed()
		list, next, _ := n.mirror.Since(seq)
		seq = next
		guardChanged := false
		for _, o := range list {
			if strings.HasPrefix(o.Name, runner.GroupPrefix) {
				n.host.ApplyObject(o)
			}
			guardChanged = guardChanged || strings.HasPrefix(o.Name, "settings/") || strings.HasPrefix(o.Name, keys.Prefix)
		}
		if guardChanged {
			n.guard.Refresh()
		}
		select {
		case <-changed:
			pollendoor.Pause(n.ctx, minRefreshInterval)
		case <-n.ctx.Done():
		}
	}
}

// fillHeartbeat adds this VM's fingerprints, escrow state and health votes to a
// heartbeat.
func (n *Node) fillHeartbeat(b *peers.Heartbeat) {
	b.KeysFingerprint, b.SettingsFingerprint = n.guard.Fingerprints()
	b.WritePending = n.hasUncertainWrites()
	n.keeper.FillHeartbeat(b)
	for _, name := range n.host.Groups() {
		if _, home := n.fleet.Rank(name); !home {
			continue
		}
		if g, ok := n.host.Group(name); ok {
			term, down := g.PrimaryDown()
			if b.HealthVotes == nil {
				b.HealthVotes = make(map[string]peers.HealthVote)
			}
			b.HealthVotes[name] = peers.HealthVote{Term: term, Down: down}
		}
	}
}

// uncertainWriteWindow is how long a write whose answer was lost may still take
// effect.
const uncertainWriteWindow = 5 * time.Second

// hasUncertainWrites reports whether a write of this VM may have taken effect
// without being in its mirror yet.
func (n *Node) hasUncertainWrites() bool {
	return n.pendingWrites.Load() > 0 || n.mirror.AsOf().UnixNano() < n.uncertainUntil.Load()
}

// finishWrite records the end of a write and whether its outcome is known.
func (n *Node) finishWrite(outcomeKnown bool) {
	if !outcomeKnown {
		n.uncertainUntil.Store(time.Now().Add(uncertainWriteWindow).UnixNano())
	}
	n.pendingWrites.Add(-1)
}

// zoneStates returns for each zone whether heartbeats of its VMs are fresh,
// whether these VMs have the same key objects as this one, and whether any has an
// uncertain write. The guard uses these states to decide whether old key data may be
// used. They come from the heartbeats themselves: the view is up to an interval behind,
// too much for a VM that has just paused.
func (n *Node) zoneStates() []keys.Zone {
	own, _ := n.guard.Fingerprints()
	now := time.Now()
	reports := []keys.Report{{Zone: n.options.VM.Zone, At: now, Same: true, Pending: n.hasUncertainWrites()}}
	n.fleet.EachMember(func(m peers.Member) {
		reports = append(reports, keys.Report{
			Zone: m.Zone, At: m.HeartbeatAt, Same: m.Heartbeat.KeysFingerprint == own, Pending: m.Heartbeat.WritePending,
		})
	})
	return slices.Collect(maps.Values(keys.Summarize(reports, peers.MaxHeartbeatAge, now)))
}

// summaryLoop periodically writes this VM's burn summary to the platform's store.
func (n *Node) summaryLoop() {
	for n.ctx.Err() == nil {
		pollendoor.Pause(n.ctx, summaryInterval/2+rand.N(summaryInterval))
		n.writeSummary(n.ctx)
	}
}

// writeSummary writes this VM's burn summary to the store once. A failed write is
// left to the next one.
func (n *Node) writeSummary(ctx context.Context) {
	raw, err := n.budget.Summary(n.options.VM.Name)
	if err != nil {
		return
	}
	name := burnPrefix + n.options.VM.Name
	if v, err := n.options.Store.Put(ctx, name, n.summaryVersion, raw); err == nil {
		n.summaryVersion = v
		return
	}
	// Another process of this VM has written, or the answer was lost: the next
	// write is based on the stored version.
	if o, err := n.options.Store.Get(ctx, name); err == nil {
		n.summaryVersion = o.Version
	}
}

// burnPrefix is the name prefix of the burn summaries in the store.
const burnPrefix = "burn/"

// Drain performs a planned stop: the VM takes no new work, running work may finish
// until ctx ends, and allowances are handed over to the remaining VMs.
func (n *Node) Drain(ctx context.Context) {
	n.fleet.Drain()
	n.server.Drain(ctx)
	c, cancel := context.WithTimeout(context.WithoutCancel(ctx), handoverTimeout)
	defer cancel()
	n.keeper.HandOver(c)
	n.writeSummary(c)
	n.Stop()
}

// Stop stops the VM without waiting for running work.
func (n *Node) Stop() {
	n.cancel()
	n.server.Stop()
	n.keeper.Stop()
	n.forward.Close()
	if n.admin != nil {
		n.admin.Close()
	}
	n.fleet.Stop()
	n.host.Stop()
	n.wg.Wait()
}

// SettingsVersion returns the version of a settings branch in force on this VM.
func (n *Node) SettingsVersion(path string) uint64 {
	_, v := n.guard.Tree().Branch(path)
	return v
}

// Branch returns a settings branch in force on this VM, and its version.
func (n *Node) Branch(path string) (tree.Branch, uint64) { return n.guard.Tree().Branch(path) }

// IsHome reports whether this VM is a home VM of a group.
func (n *Node) IsHome(group string) bool {
	_, ok := n.fleet.Rank(group)
	return ok
}

// Watches reports whether this VM watches the platform's store, on behalf of its
// zone or because it is draining.
func (n *Node) Watches() bool { return n.fleet.View().Watches() }

// Holdings returns the units this VM holds of each team's allowance.
func (n *Node) Holdings() map[string]uint64 { return n.keeper.Holdings() }

// Host returns the host that runs the groups of this VM.
func (n *Node) Host() *runner.Host { return n.host }

// Summary returns the VM's burn summary as of now.
func (n *Node) Summary() (budget.Summary, error) {
	var s budget.Summary
	raw, err := n.budget.Summary(n.options.VM.Name)
	if err != nil {
		return s, err
	}
	return s, errors.Wrap(json.Unmarshal(raw, &s), "decode burn summary")
}
