package pollendoor

import (
	"context"
	"time"
)

// Role is what a target does in its group.
type Role string

// The roles of a target.
const (
	Primary Role = "primary"
	Replica Role = "replica"
)

// TargetAddr tells where a target of a group is.
type TargetAddr struct {
	Name    string `json:"name"`
	Addr    string `json:"addr"` // IP and port
	Zone    string `json:"zone"`
	Leaving bool   `json:"leaving,omitempty"`
}

// TargetStatus is what a target says of itself.
type TargetStatus struct {
	Name    string `json:"name"`
	Role    Role   `json:"role"`
	Term    Term   `json:"term"`    // term it leads or follows
	Index   uint64 `json:"index"`   // last log entry received
	Applied uint64 `json:"applied"` // last log entry visible to reads
	Fenced  Term   `json:"fenced"`  // smaller terms are refused for good
	// LastTerm is the term of the last log entry, where the target tells it.
	LastTerm Term  `json:"lastTerm,omitempty"`
	AgeMS    int64 `json:"ageMs"` // ms since its reads were level with the primary
}

// Age returns how old the target's reads were when it answered.
func (s TargetStatus) Age() time.Duration { return time.Duration(s.AgeMS) * time.Millisecond }

// Target is the control side of one member of a database group.
//
// Every method returns the target's status after the step. An error means the
// step may or may not have taken effect; each step is idempotent.
type Target interface {
	// Status asks for the current status.
	Status(ctx context.Context) (TargetStatus, error)
	// Fence makes the target durably refuse writes and replication of terms
	// smaller than t.
	Fence(ctx context.Context, t Term) (TargetStatus, error)
	// Promote makes the target the primary of term t.
	Promote(ctx context.Context, t Term) (TargetStatus, error)
	// Follow makes the target a replica in term t of the primary at addr and
	// drops its entries behind the index after that are of an older lineage.
	Follow(ctx context.Context, t Term, addr string, after uint64) (TargetStatus, error)
}

// Phase is how far a group record's term has come.
type Phase string

// The phases of a term, in their order.
const (
	Claimed  Phase = "claimed"  // the term belongs to the claimant
	Branched Phase = "branched" // the new primary and the branch are recorded
	Serving  Phase = "serving"  // writes may be sent
)

// AckRule says when a write is acknowledged to its caller.
type AckRule string

// The acknowledgement rules.
const (
	// AckReplicated waits until a replica of the same term has the entry.
	AckReplicated AckRule = "replicated"
	// AckBlind acknowledges what the primary acknowledged. It loses writes and
	// exists as the baseline of measurements only.
	AckBlind AckRule = "blind"
)

// GroupRecord is the agreed state of one database group, kept in the platform's
// store under groups/NAME. The store's conditional update on it is the only way
// a term is claimed.
type GroupRecord struct {
	Group   string       `json:"group"`
	Term    Term         `json:"term"`
	Phase   Phase        `json:"phase"`
	Nonce   string       `json:"nonce"`   // of the claim, resolves lost answers
	Holder  string       `json:"holder"`  // VM that claimed the term
	Primary string       `json:"primary"` // target name
	Lineage Lineage      `json:"lineage"`
	Targets []TargetAddr `json:"targets"`
	Events  []Event      `json:"events,omitempty"` // newest last, bounded
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

// Event is one decision with its cause, for explain.
type Event struct {
	At    time.Time `json:"at"`
	VM    string    `json:"vm"`
	Kind  string    `json:"kind"`
	Cause string    `json:"cause"`
}
