// Package access authenticates callers and limits their rates, from the VM's copies
// of settings and keys and its units of the teams' allowances.
//
// The data needed per statement is compiled into an immutable snapshot when settings
// or keys change, and is read without locks.
package access

import (
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/rs/zerolog"

	"github.com/pollendoor/pollendoor"
	"github.com/pollendoor/pollendoor/budget"
	"github.com/pollendoor/pollendoor/escrow"
	"github.com/pollendoor/pollendoor/keys"
	"github.com/pollendoor/pollendoor/mirror"
	"github.com/pollendoor/pollendoor/tree"
)

// Prefixes of the settings branches of routes and teams.
const (
	servicesPrefix = "/services/"
	teamsPrefix    = "/teams/"
)

// Guard implements pollendoor.Access from the VM's copies of settings and keys. It is
// safe for concurrent use.
type Guard struct {
	Mirror *mirror.Mirror                // this VM's copy of settings and keys
	Take   func(team string, n int) bool // takes tokens for n statements of a team; false if the team is over its rate
	Zones  func() []keys.Zone            // state of the other zones' key data, to decide whether old key data is reliable
	// CatchingUp returns a channel that is closed when the result of Zones may have
	// changed, if this VM has paused and other zones may not have answered since; else
	// nil. A nil function stands for a VM that never pauses.
	CatchingUp func() <-chan struct{}
	Budget     *budget.Recorder // counts statements towards the teams' error budgets
	Log        zerolog.Logger

	snap    atomic.Pointer[snapshot]
	mu      sync.Mutex
	changed chan struct{} // closed at the next change; nil if Changed was not called since the last one
}

var _ pollendoor.Access = (*Guard)(nil)

// snapshot holds the compiled settings and keys that are needed per statement. It is
// immutable; a change of settings or keys replaces it.
type snapshot struct {
	tree                *tree.Tree
	routes              map[string]route
	teams               map[string]team
	keysFingerprint     uint64 // hash of the versions of the key objects
	settingsFingerprint uint64 // hash of the versions of the settings branches
	allowances          map[string]escrow.Allowance
}

// route is the compiled form of a branch below /services.
type route struct {
	policy    pollendoor.Policy
	open      bool          // callers need no key
	maxKeyAge time.Duration // age up to which key data is used without confirmation by other zones
}

// team is the compiled form of a branch below /teams, with the team's keys.
type team struct {
	ring   keys.Ring
	routes []string
	weight float64
	batch  bool
}

// Refresh compiles a new snapshot. It must be called whenever the copies change.
func (g *Guard) Refresh() {
	old := g.snap.Load()
	var base *tree.Tree
	if old != nil {
		base = old.tree
	}
	t, err := base.With(g.Mirror.WithPrefix(tree.Prefix + "/"))
	if err != nil {
		g.Log.Error().Err(err).Msg("cannot read settings branch, keeping its previous settings")
	}
	s := &snapshot{tree: t, routes: make(map[string]route), teams: make(map[string]team), allowances: make(map[string]escrow.Allowance)}
	keysHash, settingsHash := xxhash.New(), xxhash.New()
	for _, p := range t.Paths() {
		resolved, _ := t.At(p)
		if name, ok := strings.CutPrefix(p, servicesPrefix); ok && strings.Contains(name, "/") {
			s.routes[name] = compileRoute(name, resolved)
		}
		if name, ok := strings.CutPrefix(p, teamsPrefix); ok {
			s.teams[name] = g.compileTeam(name, resolved, keysHash)
			s.allowances[name] = escrow.Allowance{Rate: *resolved.Rate, Burst: *resolved.Burst}
			g.Budget.SetObjective(name, *resolved.Objective, time.Duration(*resolved.Late))
		}
		_, v := t.Branch(p)
		hashVersion(settingsHash, p, v)
	}
	s.keysFingerprint, s.settingsFingerprint = keysHash.Sum64(), settingsHash.Sum64()
	g.snap.Store(s)
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.changed != nil {
		close(g.changed)
		g.changed = nil
	}
}

// hashVersion adds an object's name and version to a hash.
func hashVersion(h *xxhash.Digest, name string, v uint64) {
	h.WriteString(name)
	var b [8]byte
	for i := range b {
		b[i] = byte(v >> (8 * i))
	}
	h.Write(b[:])
}

// compileRoute returns the route with the given resolved settings.
func compileRoute(name string, resolved tree.Settings) route {
	r := route{
		policy: pollendoor.Policy{
			Group:   name,
			Timeout: time.Duration(*resolved.Timeout),
			MaxAge:  time.Duration(*resolved.MaxAge),
			Ack:     *resolved.Ack,
		},
		open:      *resolved.Open,
		maxKeyAge: time.Duration(*resolved.KeyStaleness),
	}
	if resolved.Group != nil {
		r.policy.Group = *resolved.Group
	}
	return r
}

// compileTeam returns the team with the given resolved settings and its keys, and adds
// the version of its key object to the hash.
func (g *Guard) compileTeam(name string, resolved tree.Settings, h *xxhash.Digest) team {
	o := g.Mirror.Get(keys.Prefix + name)
	ring, err := keys.Decode(o)
	if err != nil {
		g.Log.Error().Err(err).Str("team", name).Msg("cannot read keys, treating the team as having none")
	}
	hashVersion(h, name, o.Version)
	return team{ring: ring, routes: *resolved.Routes, weight: *resolved.Weight, batch: *resolved.Batch}
}

// current returns the snapshot in force, or an empty one before the first Refresh.
func (g *Guard) current() *snapshot {
	if s := g.snap.Load(); s != nil {
		return s
	}
	return &snapshot{}
}

// Tree returns the settings in force on this VM.
func (g *Guard) Tree() *tree.Tree { return g.current().tree }

// Fingerprints returns hashes of the versions of the key objects and of the settings
// branches in force.
func (g *Guard) Fingerprints() (keyObjects, settings uint64) {
	s := g.current()
	return s.keysFingerprint, s.settingsFingerprint
}

// Allowances returns the rates and bursts in force, by team.
func (g *Guard) Allowances() map[string]escrow.Allowance { return g.current().allowances }

// Changed returns a channel that is closed at the next change of settings or keys.
func (g *Guard) Changed() <-chan struct{} {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.changed == nil {
		g.changed = make(chan struct{})
	}
	return g.changed
}

func refuseBadKey(cause string) *pollendoor.Refusal {
	return pollendoor.Refuse(pollendoor.CodeBadKey, "key authentication failed", cause)
}

// Login authenticates a caller for a route and returns its grant. Open routes need
// no user and no key, so an empty user succeeds only if the route is open.
func (g *Guard) Login(name, user, secret string) (pollendoor.Grant, *pollendoor.Refusal) {
	s := g.current()
	r, ok := s.routes[name]
	if !ok {
		return pollendoor.Grant{}, pollendoor.Refuse(pollendoor.CodeNoRoute, "route "+name+" does not exist", "")
	}
	if r.open {
		return pollendoor.Grant{Route: name}, nil
	}
	teamName, id, ok := keys.SplitUser(user)
	if !ok {
		return pollendoor.Grant{}, refuseBadKey("the user must be the team and the key's id, separated by a dot")
	}
	t, ok := s.teams[teamName]
	if !ok || !t.ring.Matches(id, secret) {
		return pollendoor.Grant{}, refuseBadKey("")
	}
	grant := pollendoor.Grant{Team: teamName, KeyID: id, Route: name}
	_, refusal := g.Check(grant)
	return grant, refusal
}

// Check returns the policy in force for a grant, or a refusal if the grant is no
// longer valid.
func (g *Guard) Check(grant pollendoor.Grant) (pollendoor.Policy, *pollendoor.Refusal) {
	s := g.current()
	r, ok := s.routes[grant.Route]
	if !ok {
		return pollendoor.Policy{}, pollendoor.Refuse(pollendoor.CodeNoRoute, "route "+grant.Route+" does not exist", "")
	}
	p := r.policy
	if grant.Team == "" {
		if !r.open {
			return p, refuseBadKey("the route is no longer open")
		}
		return p, nil
	}
	t, ok := s.teams[grant.Team]
	if !ok || !t.ring.Live(grant.KeyID) {
		return p, refuseBadKey("the key was withdrawn")
	}
	if !routeAllowed(t.routes, grant.Route) {
		return p, pollendoor.Refuse(pollendoor.CodeDenied, "team "+grant.Team+" may not use route "+grant.Route, "")
	}
	if !g.keysReliable(r.maxKeyAge) {
		return p, pollendoor.Refuse(pollendoor.CodeNoPrimary, "key data on this VM is too old", "the platform and other zones do not answer")
	}
	p.Weight, p.Batch = t.weight, t.batch
	return p, nil
}

// keysReliable reports whether the key data may be used on a route with the given
// maximum age. If other zones have to confirm it and this VM has just paused, it waits
// for their answers: without, all callers would be refused that come before the first
// heartbeats after a pause.
func (g *Guard) keysReliable(maxAge time.Duration) bool {
	if keys.Reliable(g.Mirror.AsOf(), maxAge, nil, time.Now()) {
		return true
	}
	for {
		var progress <-chan struct{}
		if g.CatchingUp != nil {
			progress = g.CatchingUp() // before Zones, so that no change is missed
		}
		if keys.Reliable(g.Mirror.AsOf(), maxAge, g.Zones(), time.Now()) {
			return true
		}
		if progress == nil {
			return false
		}
		<-progress
	}
}

// routeAllowed reports whether a team's routes include name, either exactly or by a
// prefix that ends in a slash.
func routeAllowed(list []string, name string) bool {
	for _, r := range list {
		if r == name || strings.HasSuffix(r, "/") && strings.HasPrefix(name, r) {
			return true
		}
	}
	return false
}

// Admit takes tokens for n statements from the team's allowance and may wait briefly
// for them. It returns a refusal if the team is over its rate. Open routes have no
// rate.
func (g *Guard) Admit(grant pollendoor.Grant, n int) *pollendoor.Refusal {
	if grant.Team == "" {
		return nil
	}
	if !g.Take(grant.Team, n) {
		return pollendoor.Refuse(pollendoor.CodeRateExceeded, "team "+grant.Team+" is over its rate", "")
	}
	return nil
}

// Report counts the outcome of a statement towards the team's error budget.
func (g *Guard) Report(grant pollendoor.Grant, o pollendoor.Observation) {
	if grant.Team != "" {
		g.Budget.Record(grant.Team, o, time.Now())
	}
}
