package pollendoor

import "time"

// Lead is a group's primary in one epoch.
type Lead struct {
	Target TargetInfo
	Epoch  uint64
}

// LeadState says whether a group's primary may be used.
type LeadState uint8

// The states of a group's primary.
const (
	LeadNone    LeadState = iota // unknown, or this VM holds no lease on it
	LeadMoving                   // it is being replaced
	LeadServing                  // it may be used
)

// Distance is how far away a target is.
type Distance uint8

// The distances.
const (
	SameZone Distance = iota
	SameRegion
	OtherRegion
)

// ReadTarget is a target as a place for reads.
type ReadTarget struct {
	Target   TargetInfo
	Distance Distance
	Delay    time.Duration // expected wait at its home
	Behind   bool          // it lately lacked a position that it should hold
	Failing  float64       // part of its answers lately that were failures
}

// Cluster is what a VM knows of groups and targets, and its way to them. Its
// methods are on the path of every statement.
type Cluster interface {
	// Config returns the configuration in force, nil for none yet.
	Config() *Config
	// Admit takes one operation out of a team's rate and returns how long it has
	// to wait. It reports false if the team is over its rate.
	Admit(team string) (time.Duration, bool)
	// Lead returns a group's primary.
	Lead(group string) (Lead, LeadState)
	// Leads reports whether this VM's lease covers the group's epoch.
	Leads(group string, epoch uint64) bool
	// PositionSince returns a position that the primary's log had reached at or
	// after a time of the boot clock, and the age of that knowledge.
	PositionSince(group string, since time.Duration) (Position, time.Duration, bool)
	// Replicas returns the targets of a group that take new work.
	Replicas(group string) []ReadTarget
	// Answered notes how a target answered, for the choice of the next one.
	Answered(target string, r *Reply)
	// Open returns a turn at a target.
	Open(t TargetInfo, team string) Turn
	// Decided is told of each statement's outcome.
	Decided(d *Decision)
}

// Decision is the outcome of a caller's statement, with what decided it.
type Decision struct {
	ID        string
	Database  string
	Group     string
	Team      string
	Verb      Verb
	Target    string // that answered last
	Outcome   ErrorCode
	Cause     string
	Version   uint64        // of the configuration
	Epoch     uint64        // of the primary
	After     Position      // that the log had to hold
	SampleAge time.Duration // of that position
	Attempts  int
	Tried     []string // targets that were offered the statement before, with their codes
	Took      time.Duration
	Replica   bool
}
