package pollendoor

import "time"

// GroupPrimary is the primary of a group in one epoch.
type GroupPrimary struct {
	Target TargetInfo
	Epoch  uint64
	// TakeoverIn is the expected time until a planned change out of an evacuated zone
	// ends. It is zero if the primary is not being replaced for that reason.
	TakeoverIn time.Duration
}

// PrimaryState reports whether this VM may send statements to a group's primary.
type PrimaryState uint8

// The states of a group's primary, as one VM sees them.
const (
	PrimaryUnavailable PrimaryState = iota // the primary is unknown, or this VM holds no lease on it
	PrimaryMoving                          // a failover replaces the primary
	PrimaryServing                         // the primary may be used
	PrimaryEvacuated                       // the primary is in an evacuated zone and is not used any more
)

// Texts of refusals, which are also their causes in the log.
const (
	EvacuatedText = "zone is being evacuated"
	RegionText    = "no target in an allowed region"
	ColdText      = "the target has just started and takes few requests"
)

// Distance is the network distance from this VM to a target, in steps of zone and
// region.
type Distance uint8

// The distances, nearest first.
const (
	SameZone Distance = iota
	SameRegion
	OtherRegion
)

// ReadTarget is a target that is a candidate for reads, with the data by which
// candidates are ranked.
type ReadTarget struct {
	Target      TargetInfo
	Distance    Distance
	Delay       time.Duration // expected time in the queue at the target's home VM
	Behind      bool          // the target recently lacked a position that it was expected to hold
	FailureRate float64       // fraction of the target's recent answers that were failures, 0 to 1
	// Lag is how far a replica's log was behind that of the primary at LagSeen on the boot
	// clock, when the replica last answered. LagSeen is zero if that is not known. Only
	// targets of adaptive groups have them.
	Lag     time.Duration
	LagSeen time.Duration
	// Expected is the expected time until the answer, without the network. It is set for
	// the targets of adaptive groups, and zero otherwise.
	Expected time.Duration
	// Ejected is how much longer the target is to be avoided because of its answers, zero
	// if it is not. Only targets of adaptive groups are ejected.
	Ejected time.Duration
}

// Cluster gives access to the state of groups and targets as this VM has it, and
// to the targets themselves. Its methods are on the path of every statement, so
// they must be fast.
type Cluster interface {
	// Config returns the configuration in force, or nil if none was loaded yet.
	Config() *Config
	// Admit charges one operation, which should be answered within goal, to a team's
	// rate and returns how long the operation has to wait. It returns false if the
	// team exceeds its rate, and then after which time the caller should retry, or
	// zero if that is not known.
	Admit(team string, goal time.Duration) (time.Duration, bool)
	// Primary returns the primary of a group and whether it may be used.
	Primary(group string) (GroupPrimary, PrimaryState)
	// HoldsLease reports whether this VM's lease covers the group's epoch.
	HoldsLease(group string, epoch uint64) bool
	// PositionSince returns a position that the primary's log had reached at or
	// after since, which is a time of the boot clock, and the age of the sample
	// that contained the position. It returns false if there is no such sample.
	PositionSince(group string, since time.Duration) (Position, time.Duration, bool)
	// ReadTargets returns the targets of a group that are not draining and not in an
	// evacuated zone, including the primary.
	ReadTargets(group string) []ReadTarget
	// RegionOf returns the region of a zone, which is empty if it is not known.
	RegionOf(zone string) string
	// Answered records how a target answered. The choice of targets for later
	// statements uses it.
	Answered(target string, r *Reply)
	// Attempt counts attempt number n, from 1, at a statement for a group. It reports
	// false if the attempt must not be made.
	Attempt(group string, n int) bool
	// Open returns a session at a target.
	Open(t TargetInfo, team string) TargetSession
	// TimeLeft returns how long this VM still answers statements. It reports false
	// unless the VM is about to stop.
	TimeLeft() (time.Duration, bool)
	// Decided is called with the outcome of each statement.
	Decided(d *Decision)
}

// Decision is the outcome of a caller's statement with the inputs of the routing
// decision, for logs and explain.
type Decision struct {
	ID        string
	Database  string
	Group     string
	Team      string
	Verb      Verb
	Target    string        // target of the last attempt
	Outcome   ErrorCode     // empty on success
	Cause     string        // why the statement was refused or failed
	Version   uint64        // version of the configuration that was used
	Epoch     uint64        // epoch of the primary that was used
	After     Position      // position that the target's log had to hold
	SampleAge time.Duration // age of the sample that After was taken from
	Attempts  int
	Tried     []string      // targets that did not run the statement before, with their codes
	Took      time.Duration // from the request to the answer
	Replica   bool          // a replica answered
	// ReplicaWait is how long the statement has waited for a replica's log.
	ReplicaWait time.Duration
	Queue       *QueueState // queue at the target of the last attempt, nil unless the group is adaptive
}
