package pollendoor

import (
	"slices"
	"time"
)

// RouteKind is the read consistency that a route guarantees.
type RouteKind string

// The kinds of routes.
const (
	KindPrimary        RouteKind = "primary"          // reads see every acknowledged commit
	KindBounded        RouteKind = "boundedStaleness" // reads may miss the commits of the last Route.MaxStaleness
	KindReadYourWrites RouteKind = "readYourWrites"   // like KindBounded, but reads also see the session's own commits
)

// Route maps a database name, as callers use it, to a group.
type Route struct {
	Database     string
	Group        string
	Kind         RouteKind
	Timeout      time.Duration // maximum duration of one statement
	Goal         time.Duration // target latency of an operation
	Priority     int           // priority in queues; zero is the highest
	MaxStaleness time.Duration // maximum age of the data that reads may return
	Open         bool          // callers need no key
	Regions      Regions       // regions whose targets may run the statements
}

// Regions is a list of regions. A nil list contains all regions.
type Regions []string

// Allow reports whether the list contains a region.
func (r Regions) Allow(region string) bool { return r == nil || slices.Contains(r, region) }

// Both returns the regions that two lists contain.
func (r Regions) Both(other Regions) Regions {
	if r == nil {
		return other
	}
	out := make(Regions, 0, len(r))
	for _, region := range r {
		if other.Allow(region) {
			out = append(out, region)
		}
	}
	return out
}

// TeamLimit is the rate limit of a team over the whole fleet.
type TeamLimit struct {
	Rate  float64 // operations per second
	Burst float64 // operations that may exceed the rate at one time
}

// GroupLimit holds the operator's settings for one database group.
type GroupLimit struct {
	MaxConnections int // maximum number of connections to one target, summed over all VMs
	SyncReplicas   int // number of replicas that must hold a commit before it is acknowledged
	// Adaptive is true if statements are scheduled and targets are chosen by what the
	// targets have been found to take well. See Config.SetAdaptive.
	Adaptive bool
	// ColdPerS is how many requests per second a target takes that has just started, zero
	// for no limit, and ColdStart how long that is so.
	ColdPerS  float64
	ColdStart time.Duration
}

// Config is one version of the operator's configuration. It is immutable.
type Config struct {
	Version uint64
	Routes  map[string]Route      // by database name
	Keys    map[string]string     // team by key
	Teams   map[string]TeamLimit  // by name
	Groups  map[string]GroupLimit // by name
	// TeamRegions lists the regions whose targets may run the statements of a team, by the
	// names of the teams that have such a list.
	TeamRegions map[string]Regions
	TxIdle      time.Duration // maximum idle time of an open transaction
}

// AllowedRegions returns the regions whose targets may run a team's statements on a route.
func (c *Config) AllowedRegions(r Route, team string) Regions {
	return r.Regions.Both(c.TeamRegions[team])
}

// SetAdaptive sets GroupLimit.Adaptive of each group. A group is adaptive if one of its
// routes has a goal that is longer than the timeout of its statements: a statement
// that fails at a slow target could then still be answered in time by another one. It
// must be called before the configuration is used.
func (c *Config) SetAdaptive() {
	for _, r := range c.Routes {
		if g, ok := c.Groups[r.Group]; ok && r.Timeout > 0 && r.Goal > r.Timeout {
			g.Adaptive = true
			c.Groups[r.Group] = g
		}
	}
}

// TargetInfo is the entry that a target publishes in the platform's store.
type TargetInfo struct {
	ID       string
	Group    string
	Addr     string
	Zone     string
	Slots    int   // statements that the target runs at the same time
	Draining bool  // the target is about to leave
	Primary  bool  // the target claims to be the primary, which may be outdated
	Born     int64 // start of the target's process, in Unix milliseconds
	Cold     bool  `cbor:",omitempty"` // the target has just started and is slow
}
