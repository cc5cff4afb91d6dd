package pollendoor

import "time"

// RouteKind is the consistency that a route promises for its reads.
type RouteKind string

// The kinds of routes.
const (
	KindPrimary        RouteKind = "primary"          // sees every acknowledged commit
	KindBounded        RouteKind = "boundedStaleness" // may lack the commits of the last MaxStaleness
	KindReadYourWrites RouteKind = "readYourWrites"   // bounded, and sees the session's own commits
)

// Route leads callers of one database name to a group.
type Route struct {
	Database     string
	Group        string
	Kind         RouteKind
	Timeout      time.Duration // of one statement
	Goal         time.Duration // within which an operation should be answered
	Priority     int           // zero is the highest
	MaxStaleness time.Duration
	Open         bool // needs no key
}

// TeamLimit is a team's allowance over the whole fleet.
type TeamLimit struct {
	Rate  float64 // operations a second
	Burst float64 // operations
}

// GroupLimit is what the operator says of one database group.
type GroupLimit struct {
	MaxConnections int // to one target, over all VMs
	SyncReplicas   int // that hold a commit before it is acknowledged
}

// Config is one version of the operator's configuration. It is immutable.
type Config struct {
	Version uint64
	Routes  map[string]Route      // by database name
	Keys    map[string]string     // team by key
	Teams   map[string]TeamLimit  // by name
	Groups  map[string]GroupLimit // by name
	TxIdle  time.Duration         // a transaction may be idle that long
}

// TargetInfo is what a target says of itself in the platform's store.
type TargetInfo struct {
	ID       string
	Group    string
	Addr     string
	Zone     string
	Slots    int
	Draining bool
	Primary  bool  // by its own account
	Born     int64 // Unix ms of its start
}
