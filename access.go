package pollendoor

import "time"

// Grant is the result of a successful login: the team, key and route that a
// session was authenticated for.
type Grant struct {
	Team  string // empty on an open route without a key
	KeyID string
	Route string
}

// Policy holds the limits and defaults that the settings in force apply to the
// statements of a caller.
type Policy struct {
	Group    string        // database group that the route selects
	Timeout  time.Duration // maximum duration of one statement
	MaxAge   time.Duration // default maximum age of the data that reads return; zero for no limit
	Ack      AckRule       // when a write is acknowledged
	Weight   float64       // weight of the team in fair queueing
	Batch    bool          // batch work: statements may wait behind others
	Sessions int           // maximum number of connections of the team at one VM; zero for no limit
}

// Access authenticates callers and enforces the rate of their teams. Its methods
// are on the path of every statement, so they must be fast.
type Access interface {
	// Login authenticates a caller with its key and authorizes it for a route.
	Login(route, user, secret string) (Grant, *Refusal)
	// Check returns the policy in force, or a refusal if the grant is no longer
	// valid.
	Check(g Grant) (Policy, *Refusal)
	// Admit charges n statements to the team's rate. It returns a refusal if the
	// team exceeds its rate.
	Admit(g Grant, n int) *Refusal
	// Changed returns a channel that is closed when grants may have become
	// invalid, so that sessions check theirs again.
	Changed() <-chan struct{}
	// Report records the outcome of a statement for the service-level report.
	Report(g Grant, o Observation)
}

// Observation is the outcome of one exchange as observed by its caller.
type Observation struct {
	Read    bool          // the exchange could run at a replica
	Replica bool          // a replica answered
	Latency time.Duration // from the request to the answer
	Code    string        // SQLSTATE of the refusal or error; empty on success
	Outcome Outcome       // outcome that the refusal states; empty if nothing was refused
}
