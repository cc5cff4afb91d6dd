// Package access decides who may come in and how much they may do, from the
// VM's copies of settings and keys and its shares of the teams' allowances.
//
// What a statement needs is compiled into an immutable snapshot when settings
// or keys change, and read without locks.
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

// The branches below which routes and teams are.
const (
	servicesPrefix = "/services/"
	teamsPrefix    = "/teams/"
)

// Guard is a pollendoor.Access over the VM's copies. It is safe for use by
// several goroutines.
type Guard struct {
	Mirror *mirror.Mirror
	Take   func(team string, n int) bool // takes statements out of the rate
	Zones  func() []keys.Zone            // what other zones know, for old key data
	Budget *budget.Recorder
	Log    zerolog.Logger

	snap    atomic.Pointer[snapshot]
	mu      sync.Mutex
	changed chan struct{}
}

var _ pollendoor.Access = (*Guard)(nil)

// snapshot is all that a statement needs to know. It is replaced, never
// changed.
type snapshot struct {
	tree                *tree.Tree
	routes              map[string]route
	teams               map[string]team
	keysFingerprint     uint64 // of the key objects
	settingsFingerprint uint64 // of the branch versions
	allowances          map[string]escrow.Allowance
}

type route struct {
	policy    pollendoor.Policy
	open      bool
	maxKeyAge time.Duration
}

type team struct {
	ring   keys.Ring
	routes []string
	weight float64
	batch  bool
}

// Refresh compiles the snapshot anew. It is called whenever the copies change.
func (g *Guard) Refresh() {
	old := g.snap.Load()
	var base *tree.Tree
	if old != nil {
		base = old.tree
	}
	t, err := base.With(g.Mirror.WithPrefix(tree.Prefix + "/"))
	if err != nil {
		g.Log.Error().Err(err).Msg("a branch can't be read, it stays as it was")
	}
	s := &snapshot{tree: t, routes: make(map[string]route), teams: make(map[string]team), allowances: make(map[string]escrow.Allowance)}
	h, settingsHash := xxhash.New(), xxhash.New()
	for _, p := range t.Paths() {
		resolved, _ := t.At(p)
		if name, ok := strings.CutPrefix(p, servicesPrefix); ok && strings.Contains(name, "/") {
			s.routes[name] = compileRoute(name, resolved)
		}
		if name, ok := strings.CutPrefix(p, teamsPrefix); ok {
			s.teams[name] = g.compileTeam(name, resolved, h)
			s.allowances[name] = escrow.Allowance{Rate: *resolved.Rate, Burst: *resolved.Burst}
			g.Budget.SetObjective(name, *resolved.Objective, time.Duration(*resolved.Late))
		}
		_, v := t.Branch(p)
		hashVersion(settingsHash, p, v)
	}
	s.keysFingerprint, s.settingsFingerprint = h.Sum64(), settingsHash.Sum64()
	g.snap.Store(s)
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.changed != nil {
		close(g.changed)
		g.changed = nil
	}
}

func hashVersion(h *xxhash.Digest, name string, v uint64) {
	h.WriteString(name)
	var b [8]byte
	for i := range b {
		b[i] = byte(v >> (8 * i))
	}
	h.Write(b[:])
}

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

func (g *Guard) compileTeam(name string, resolved tree.Settings, h *xxhash.Digest) team {
	o := g.Mirror.Get(keys.Prefix + name)
	ring, err := keys.Decode(o)
	if err != nil {
		g.Log.Error().Err(err).Str("team", name).Msg("keys can't be read, the team has none")
	}
	hashVersion(h, name, o.Version)
	return team{ring: ring, routes: *resolved.Routes, weight: *resolved.Weight, batch: *resolved.Batch}
}

func (g *Guard) current() *snapshot {
	if s := g.snap.Load(); s != nil {
		return s
	}
	return &snapshot{}
}

// Tree returns the settings in force on this VM.
func (g *Guard) Tree() *tree.Tree { return g.current().tree }

// Fingerprints returns those of the key objects and of the settings in force.
func (g *Guard) Fingerprints() (keyObjects, settingsFingerprint uint64) {
	s := g.current()
	return s.keysFingerprint, s.settingsFingerprint
}

// Allowances returns the teams' rates and bursts in force.
func (g *Guard) Allowances() map[string]escrow.Allowance { return g.current().allowances }

// Changed returns a channel that is closed when settings or keys change.
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

// Login checks a caller's key for a route. An empty user asks whether the route
// needs one.
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
		return pollendoor.Grant{}, refuseBadKey("the user is the team and the key's id, with a point between them")
	}
	t, ok := s.teams[teamName]
	if !ok || !t.ring.Matches(id, secret) {
		return pollendoor.Grant{}, refuseBadKey("")
	}
	grant := pollendoor.Grant{Team: teamName, KeyID: id, Route: name}
	_, refusal := g.Check(grant)
	return grant, refusal
}

// Check tells whether a grant still holds, and the policy in force.
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
	if !keys.Reliable(g.Mirror.AsOf(), r.maxKeyAge, nil, time.Now()) && !keys.Reliable(g.Mirror.AsOf(), r.maxKeyAge, g.Zones(), time.Now()) {
		return p, pollendoor.Refuse(pollendoor.CodeNoPrimary, "key data on this VM is too old", "the platform and other zones do not answer")
	}
	p.Weight, p.Batch = t.weight, t.batch
	return p, nil
}

// allows reports whether a team's routes include one: by name, or by a prefix
// that ends in a slash.
func routeAllowed(list []string, name string) bool {
	for _, r := range list {
		if r == name || strings.HasSuffix(r, "/") && strings.HasPrefix(name, r) {
			return true
		}
	}
	return false
}

// Admit takes n statements out of the team's rate, waiting for a moment if they
// are about to be free. Open routes have no rate.
func (g *Guard) Admit(grant pollendoor.Grant, n int) *pollendoor.Refusal {
	if grant.Team == "" {
		return nil
	}
	if !g.Take(grant.Team, n) {
		return pollendoor.Refuse(pollendoor.CodeRateExceeded, "team "+grant.Team+" is over its rate", "")
	}
	return nil
}

// Report notes the outcome of a statement.
func (g *Guard) Report(grant pollendoor.Grant, o pollendoor.Observation) {
	if grant.Team != "" {
		g.Budget.Record(grant.Team, o, time.Now())
	}
}
