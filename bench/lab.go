package bench

import (
	"context"
	"fmt"
	"net/url"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jackc/pgx/v5"
	"github.com/rs/zerolog"

	"github.com/pollendoor/pollendoor"
	"github.com/pollendoor/pollendoor/fakes"
	"github.com/pollendoor/pollendoor/node"
	"github.com/pollendoor/pollendoor/store"
	"github.com/pollendoor/pollendoor/tree"
)

// Credentials of the fake targets and of the VMs among each other.
const (
	targetUser     = "system"
	targetPassword = "target-password"
	peerSecret     = "a secret of the stand-in fleet"
)

// readyTimeout limits the time until all VMs of a lab are ready, and the time
// until a team can log in at a VM.
const readyTimeout = 30 * time.Second

// Team is one tenant of a lab, with its quota.
type Team struct {
	Name   string
	Rate   float64 // statements per second over all VMs
	Burst  float64 // burst of statements over all VMs
	Weight float64 // share of service relative to other teams; values below 1 mean 1
	Batch  bool    // statements run with batch priority
}

// LabOptions configures a lab. The zero value gives three zones with one VM each,
// one group with a target in each zone, and one team.
type LabOptions struct {
	Zones       []string            // names of the availability zones
	VMsPerZone  int                 // number of VMs in each zone; zero means 1
	Groups      []string            // names of the database groups and their routes, such as potes/potes-1
	Teams       []Team              // each team gets a key and may use all routes
	Target      fakes.TargetOptions // options of every target; User and Password are overwritten
	Connections int                 // connections of one VM to one target; zero means 6
	Settings    string              // YAML settings of the root branch
	OpenRoutes  bool                // routes accept callers without keys
	Log         zerolog.Logger      // log of the VMs
}

func (o *LabOptions) setDefaults() {
	if len(o.Zones) == 0 {
		o.Zones = []string{"lisboa-a", "porto-a", "faro-a"}
	}
	if o.VMsPerZone == 0 {
		o.VMsPerZone = 1
	}
	if len(o.Groups) == 0 {
		o.Groups = []string{"potes/potes-1"}
	}
	if len(o.Teams) == 0 {
		o.Teams = []Team{{Name: "festa", Rate: 1e6, Burst: 1e6}}
	}
	if o.Connections == 0 {
		o.Connections = 6
	}
	o.Target.User, o.Target.Password = targetUser, targetPassword
}

// Lab is a platform, database groups and a fleet of VMs in one process.
type Lab struct {
	Options  LabOptions // with the defaults filled in
	Platform *fakes.Platform
	Groups   map[string]*fakes.Group // by name
	Secrets  map[string]string       // key secrets by team; the id of each key is k1

	mu         sync.Mutex
	nodes      []*node.Node // an entry is nil after its VM was removed
	vmsCreated int
	cutZones   atomic.Pointer[map[string]bool] // zones that are partitioned from the others
	zoneByPeer sync.Map                        // zone (string) by peer address

	exampleError atomic.Value // text of an error that a caller got in the current phase, for the notes
}

// StartLab starts a lab and waits until it serves all teams.
func StartLab(ctx context.Context, o LabOptions) (*Lab, error) {
	o.setDefaults()
	l := &Lab{Options: o, Platform: &fakes.Platform{}, Groups: make(map[string]*fakes.Group), Secrets: make(map[string]string)}
	l.cutZones.Store(&map[string]bool{})
	if err := l.Platform.Start(""); err != nil {
		return nil, err
	}
	if err := l.setUp(ctx); err != nil {
		return l, err
	}
	return l, nil
}

// setUp starts the targets and VMs, writes the settings and creates the teams' keys.
func (l *Lab) setUp(ctx context.Context) error {
	s := &store.Client{Base: l.Platform.Addr()}
	edits := []tree.Edit{{Path: "/", YAML: l.Options.Settings}}
	for _, name := range l.Options.Groups {
		g, err := fakes.StartGroup(name, l.Options.Zones, l.Options.Target)
		if err != nil {
			return err
		}
		l.Groups[name] = g
		g.Each(func(t *fakes.Target) { t.SetCut(func(zone string) bool { return (*l.cutZones.Load())[zone] }) })
		if err := g.Register(ctx, s); err != nil {
			return err
		}
		edits = append(edits, tree.Edit{Path: "/services/" + name, YAML: fmt.Sprintf("open: %v", l.Options.OpenRoutes)})
	}
	for _, t := range l.Options.Teams {
		text := fmt.Sprintf("rate: %v\nburst: %v\nweight: %v\nbatch: %v\nroutes: [%s]\n", t.Rate, t.Burst, max(t.Weight, 1), t.Batch, l.routePrefixes())
		edits = append(edits, tree.Edit{Path: "/teams/" + t.Name, YAML: text})
	}
	for _, e := range edits {
		e.By = "lab"
		if _, err := tree.Accept(ctx, s, e); err != nil {
			return errors.Wrapf(err, "branch %s", e.Path)
		}
	}
	for range l.Options.VMsPerZone {
		for _, z := range l.Options.Zones {
			if _, err := l.AddVM(z); err != nil {
				return err
			}
		}
	}
	if err := l.WaitReady(ctx); err != nil {
		return err
	}
	return l.createKeys(ctx)
}

// routePrefixes returns the prefixes of all routes as a list in YAML, without brackets.
func (l *Lab) routePrefixes() string {
	set := map[string]bool{}
	var list []string
	for _, g := range l.Options.Groups {
		p, _, _ := strings.Cut(g, "/")
		if !set[p] {
			set[p] = true
			list = append(list, p+"/")
		}
	}
	return strings.Join(list, ", ")
}

// createKeys creates a key for each team and waits until every VM accepts it.
func (l *Lab) createKeys(ctx context.Context) error {
	for _, t := range l.Options.Teams {
		a, err := l.Nodes()[0].CreateKey(ctx, node.KeyRequest{Team: t.Name, ID: "k1", By: "lab"})
		if err != nil {
			return err
		}
		l.Secrets[t.Name] = a.Secret
	}
	// The keys have reached every VM once each team can log in there.
	for _, t := range l.Options.Teams {
		for i := range l.Nodes() {
			if err := l.waitLogin(ctx, i, t.Name); err != nil {
				return err
			}
		}
	}
	return nil
}

// waitLogin waits until a team can run a statement through a VM.
func (l *Lab) waitLogin(ctx context.Context, vm int, team string) error {
	var err error
	for end := time.Now().Add(readyTimeout); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		var c *pgx.Conn
		if c, err = pgx.Connect(ctx, l.URL(vm, team, l.Options.Groups[0])); err == nil {
			_, err = c.Exec(ctx, "SELECT 1")
			c.Close(ctx)
		}
		if err == nil {
			return nil
		}
	}
	return errors.Wrap(err, "a team can't log in to the lab in time")
}

// AddVM starts one more VM in a zone and adds it to the platform's list of VMs.
func (l *Lab) AddVM(zone string) (*node.Node, error) {
	l.mu.Lock()
	l.vmsCreated++
	name := fmt.Sprintf("vm-%d-%s", l.vmsCreated, zone)
	l.mu.Unlock()
	n, err := node.Start(node.Options{
		VM:     pollendoor.VM{Name: name, Zone: zone},
		Listen: "127.0.0.1:0", PeerListen: "127.0.0.1:0", AdminListen: "127.0.0.1:0",
		Store:      &store.Client{Base: l.Platform.Addr(), VM: name},
		PeerSecret: peerSecret, User: targetUser, Password: targetPassword,
		Connections: l.Options.Connections,
		Cut:         func(addr string) bool { return l.peerCutOff(zone, addr) },
		Log:         l.Options.Log,
	})
	if err != nil {
		return nil, err
	}
	l.zoneByPeer.Store(n.PeerVM().Peer, zone)
	l.mu.Lock()
	l.nodes = append(l.nodes, n)
	l.mu.Unlock()
	l.publishVMs()
	return n, nil
}

// peerCutOff reports whether a VM in zone is partitioned from the peer at addr.
func (l *Lab) peerCutOff(zone, addr string) bool {
	cuts := *l.cutZones.Load()
	other, ok := l.zoneByPeer.Load(addr)
	return ok && other != zone && (cuts[zone] || cuts[other.(string)])
}

// CutZone partitions a zone's VMs and targets from the platform and from all
// other zones, or ends the partition if cut is false.
func (l *Lab) CutZone(zone string, cut bool) {
	next := map[string]bool{zone: cut}
	l.cutZones.Store(&next)
	for _, n := range l.Nodes() {
		if vm := n.PeerVM(); vm.Zone == zone {
			l.Platform.Cut(vm.Name, cut)
		}
	}
}

// publishVMs sets the platform's list of VMs to the VMs of the lab.
func (l *Lab) publishVMs() {
	var list []pollendoor.VM
	for _, n := range l.Nodes() {
		list = append(list, n.PeerVM())
	}
	l.Platform.SetVMs(list)
}

// Nodes returns the VMs that have not been removed.
func (l *Lab) Nodes() []*node.Node {
	l.mu.Lock()
	defer l.mu.Unlock()
	var list []*node.Node
	for _, n := range l.nodes {
		if n != nil {
			list = append(list, n)
		}
	}
	return list
}

// Remove removes a VM from the lab and from the platform's list. The VM must
// have been stopped.
func (l *Lab) Remove(n *node.Node) {
	l.mu.Lock()
	for i := range l.nodes {
		if l.nodes[i] == n {
			l.nodes[i] = nil
		}
	}
	l.mu.Unlock()
	l.publishVMs()
}

// WaitReady waits until every VM is ready to serve.
func (l *Lab) WaitReady(ctx context.Context) error {
	end := time.Now().Add(readyTimeout)
	for _, n := range l.Nodes() {
		for err := n.Ready(); err != nil; err = n.Ready() {
			if time.Now().After(end) || ctx.Err() != nil {
				return errors.Wrap(err, "a VM of the lab is not ready in time")
			}
			time.Sleep(10 * time.Millisecond)
		}
	}
	return nil
}

// URL returns the connection URL of a route for a team, through the VM with the
// given index. Indexes past the last VM start again at the first.
func (l *Lab) URL(vm int, team, route string) string {
	nodes := l.Nodes()
	u := url.URL{Scheme: "postgres", Host: nodes[vm%len(nodes)].Addr(), Path: "/" + route, RawQuery: "sslmode=disable"}
	u.User = url.UserPassword(team+".k1", l.Secrets[team])
	return u.String()
}

// Group returns the database group of a route.
func (l *Lab) Group(name string) *fakes.Group { return l.Groups[name] }

// Stop stops all VMs, groups and the platform.
func (l *Lab) Stop() {
	var wg sync.WaitGroup
	for _, n := range l.Nodes() {
		wg.Go(n.Stop)
	}
	wg.Wait()
	for _, g := range l.Groups {
		g.Stop()
	}
	l.Platform.Stop()
}
