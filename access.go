package pollendoor

import "time"

// Grant is what a caller was let in with.
type Grant struct {
	Team  string // empty on an open route without a key
	KeyID string
	Route string
}

// Policy is what the settings in force say about a caller's statements.
type Policy struct {
	Group    string        // database group that the route leads to
	Timeout  time.Duration // longest time of a statement
	MaxAge   time.Duration // default age of reads; zero for any
	Ack      AckRule
	Weight   float64 // share in queues
	Batch    bool    // statements may wait behind others
	Sessions int     // connections of the team at one VM; zero for no limit
}

// Access decides who may come in and how much they may do. Its methods are on
// the path of every statement.
type Access interface {
	// Login checks a caller's key for a route.
	Login(route, user, secret string) (Grant, *Refusal)
	// Check tells whether the grant still holds, and the policy in force.
	Check(g Grant) (Policy, *Refusal)
	// Admit takes n statements out of the team's rate.
	Admit(g Grant, n int) *Refusal
	// Changed returns a channel that is closed when grants may have ended.
	Changed() <-chan struct{}
	// Report tells the outcome of a statement, for the service-level report.
	Report(g Grant, o Observation)
}

// Observation is the outcome of one exchange as its caller saw it.
type Observation struct {
	Read    bool
	Replica bool
	Latency time.Duration
	Code    string // SQLSTATE of a refusal or error, empty if none
	Fate    Fate   // of a refusal
}
