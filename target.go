package pollendoor

import (
	"context"
	"time"
)

// Role is the role of a target in its group.
type Role string

// The target roles.
const (
	Primary Role = "primary"
	Replica Role = "replica"
)

// TargetAddr is the location of a target of a group.
type TargetAddr struct {
	Name    string `json:"name"`
	Addr    string `json:"addr"` // IP and port
	Zone    string `json:"zone"`
	Leaving bool   `json:"leaving,omitempty"` // whether the target is about to leave the group
}

// TargetStatus is the status that a target reports.
type TargetStatus struct {
	Name    string `json:"name"`
	Role    Role   `json:"role"`
	Term    Term   `json:"term"`    // term in which the target is the primary or a replica
	Index   uint64 `json:"index"`   // index of the last log entry received
	Applied uint64 `json:"applied"` // index of the last log entry that is visible to reads
	Fenced  Term   `json:"fenced"`  // the target durably refuses terms smaller than this
	// LastTerm is the term of the last log entry; zero if the target does not
	// report it.
	LastTerm Term  `json:"lastTerm,omitempty"`
	AgeMS    int64 `json:"ageMs"` // milliseconds since the target's reads were up to date with the primary
}

// Age returns the age of the data that the target served to reads when it
// answered.
func (s TargetStatus) Age() time.Duration { return time.Duration(s.AgeMS) * time.Millisecond }

// Target is the control interface of one member of a database group.
//
// Every method returns the target's status after the command. After an error, the
// command may or may not have taken effect; every command is idempotent.
type Target interface {
	// Status returns the current status.
	Status(ctx context.Context) (TargetStatus, error)
	// Fence makes the target durably refuse writes and replication of terms
	// smaller than t.
	Fence(ctx context.Context, t Term) (TargetStatus, error)
	// Promote makes the target the primary of term t.
	Promote(ctx context.Context, t Term) (TargetStatus, error)
	// Follow makes the target a replica, in term t, of the primary at addr. The
	// target drops its entries of an older lineage after the index after.
	Follow(ctx context.Context, t Term, addr string, after uint64) (TargetStatus, error)
}

// Phase is the progress of the promotion for the term of a group record.
type Phase string

// The phases of a term, in order.
const (
	Claimed  Phase = "claimed"  // a VM has claimed the term and promotes a primary
	Branched Phase = "branched" // the new primary and its branch are recorded
	Serving  Phase = "serving"  // the primary accepts writes
)

// AckRule is the condition under which a write is acknowledged to its caller.
type AckRule string

// The acknowledgement rules.
const (
	// AckReplicated waits until a replica of the same term holds the entry.
	AckReplicated AckRule = "replicated"
	// AckBlind acknowledges a write as soon as the primary does. A failover can
	// lose such writes; the rule exists only as the baseline of measurements.
	AckBlind AckRule = "blind"
)

// GroupRecord is the agreed state of one database group, stored in the platform's
// store under groups/NAME. A term is claimed only by a conditional update of this
// record.
type GroupRecord struct {
	Group     string       `json:"group"`
	Term      Term         `json:"term"`
	Phase     Phase        `json:"phase"`
	Nonce     string       `json:"nonce"`   // random value of the claim; shows whether a claim without an answer succeeded
	ClaimedBy string       `json:"holder"`  // name of the VM that claimed the term
	Primary   string       `json:"primary"` // name of the primary target
	Lineage   Lineage      `json:"lineage"`
	Targets   []TargetAddr `json:"targets"`
	Events    []Event      `json:"events,omitempty"` // recent events, newest last; the number is bounded
}

// Target returns the address of the target called name.
func (r *GroupRecord) Target(name string) (TargetAddr, bool) {
	for _, t := range r.Targets {
		if t.Name == name {
			return t, true
		}
	}
	return TargetAddr{}, false
}

// Event is one recorded decision with its cause, shown by explain.
type Event struct {
	At    time.Time `json:"at"`
	VM    string    `json:"vm"`
	Kind  string    `json:"kind"`
	Cause string    `json:"cause"`
}
