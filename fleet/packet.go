package fleet

import (
	"time"

	"github.com/pollendoor/pollendoor"
	"github.com/pollendoor/pollendoor/evac"
	"github.com/pollendoor/pollendoor/lease"
	"github.com/pollendoor/pollendoor/quota"
	"github.com/pollendoor/pollendoor/vmlist"
)

// packetKind distinguishes the datagrams between VMs.
type packetKind uint8

const (
	packetHeartbeat      packetKind = iota + 1 // heartbeat of a VM to the leader
	packetAnswer                               // answer to a heartbeat
	packetRecordChanged                        // the leader has a new record and asks for a heartbeat now
	packetLeaderQuery                          // a VM asks another one when the leader last answered it
	packetLeaderReport                         // answer to packetLeaderQuery
	packetUpdate                               // the watcher of a zone has a new configuration or new targets
	packetTokenRequest                         // a VM requests a token for an operation from a team's quota keeper
	packetTokenDecision                        // answer to packetTokenRequest
	packetRecordCheck                          // a VM asks a coordinator of its zone whether the record is current
	packetRecordStatus                         // answer to packetRecordCheck
	packetRecordRequest                        // a VM that has started without the store asks for the record
	packetRecordResponse                       // answer to packetRecordRequest
	packetBatch                                // several packets, such as heartbeats sent through a coordinator, or their answers
	packetKindCount                            // number of kinds, not a kind itself
)

// position is a sample of a log position in a datagram. Since is relative to the
// arrival of the echoed stamp in a heartbeat, and to the arrival of the heartbeat in
// an answer. Both make the sample look older than it is, never younger.
type position struct {
	Since time.Duration   `cbor:"1,keyasint"`
	Term  pollendoor.Term `cbor:"2,keyasint"`
	Index uint64          `cbor:"3,keyasint"`
}

// packet is a datagram between VMs. Which fields are set depends on Kind.
type packet struct {
	Kind  packetKind    `cbor:"1,keyasint"`
	From  vmlist.Peer   `cbor:"2,keyasint"`
	Token uint64        `cbor:"3,keyasint,omitempty"` // fencing token in the sender's record
	Stamp time.Duration `cbor:"4,keyasint,omitempty"` // sender's clock when the packet was sent
	Echo  time.Duration `cbor:"5,keyasint,omitempty"` // Stamp of the packet that this one answers, or of the last answer received

	// The following fields are set in heartbeats.
	RecordVersion uint64                  `cbor:"6,keyasint,omitempty"`  // version of the sender's record
	Promise       time.Duration           `cbor:"7,keyasint,omitempty"`  // the sender will not claim the leadership for this long after Echo
	Reports       map[string]lease.Report `cbor:"8,keyasint,omitempty"`  // what the sender has observed of the primaries, by group
	HeldShares    []quota.HeldShares      `cbor:"36,keyasint,omitempty"` // quota shares that the sender holds, by source
	ViewVersion   uint64                  `cbor:"11,keyasint,omitempty"` // version of the sender's view of the VMs
	CPUShare      float64                 `cbor:"25,keyasint,omitempty"` // number of CPU cores, may be a fraction
	WantedGroups  []string                `cbor:"31,keyasint,omitempty"` // groups whose positions the sender's reads need
	Urgent        bool                    `cbor:"41,keyasint,omitempty"` // the leader waits for this heartbeat
	Hold          time.Duration           `cbor:"43,keyasint,omitempty"` // how long after Echo the sender will not confirm another leader's record
	PromiseLeft   time.Duration           `cbor:"29,keyasint,omitempty"` // remaining time of a promise to confirm no other leader's record that the sender may have given
	GrantedLeft   time.Duration           `cbor:"44,keyasint,omitempty"` // remaining time of long leases that the sender may have granted as the leader
	ProcessID     uint64                  `cbor:"21,keyasint,omitempty"` // identifies the sender's process
	Idle          time.Duration           `cbor:"46,keyasint,omitempty"` // time since the sender's process started or last admitted an operation

	// The following fields are set in answers to heartbeats.
	Lease           time.Duration  `cbor:"12,keyasint,omitempty"` // duration of the granted lease, counted from Echo
	ProofAge        time.Duration  `cbor:"45,keyasint,omitempty"` // age of the leader's last proof of leadership
	Record          *storedRecord  `cbor:"13,keyasint,omitempty"` // the record, if the sender's version is outdated, no delta is available, and the record is small
	RecordDelta     *lease.Delta   `cbor:"38,keyasint,omitempty"` // changes from RecordVersion to the newest version
	View            *vmlist.View   `cbor:"14,keyasint,omitempty"` // the view, if ViewVersion is outdated and no delta is available
	ViewDelta       *vmlist.Delta  `cbor:"39,keyasint,omitempty"` // changes from ViewVersion to the newest version
	QuotaGrants     []quota.Grants `cbor:"37,keyasint,omitempty"` // quota shares granted to the receiver, by source
	TargetsDigest   uint64         `cbor:"20,keyasint,omitempty"` // hash of the sender's targets
	TargetsRevision uint64         `cbor:"32,keyasint,omitempty"` // store revision of the sender's targets
	Liveness        uint64         `cbor:"30,keyasint,omitempty"` // the leader's last liveness counter in the store
	WantPromise     bool           `cbor:"19,keyasint,omitempty"` // the leader does not reach the store and needs promises not to claim

	Evacuations *evac.Set `cbor:"50,keyasint,omitempty"` // evacuated zones, in heartbeats, answers, notices and reports on the leader

	ConfigVersion uint64              `cbor:"16,keyasint,omitempty"` // version of the configuration in force at the sender
	Positions     map[string]position `cbor:"17,keyasint,omitempty"` // log positions of primaries, by group
	RelayIP       string              `cbor:"22,keyasint,omitempty"` // IP of the VM that relayed the heartbeat
	AnswerIP      string              `cbor:"23,keyasint,omitempty"` // IP of the VM that a relayed answer is for
	Batch         []byte              `cbor:"42,keyasint,omitempty"` // compressed packets of a batch
	RecordRead    bool                `cbor:"40,keyasint,omitempty"` // the record has been read, and has the version RecordVersion
	Age           time.Duration       `cbor:"18,keyasint,omitempty"` // in a leader report: time since the leader last answered the sender

	// The following fields are set in leader queries and leader reports of a VM that has
	// started lately and has had no answer from the leader since.
	Unanswered bool          `cbor:"48,keyasint,omitempty"`
	ProcessAge time.Duration `cbor:"49,keyasint,omitempty"` // time since the sender's process started

	// The following fields are set in token requests to a team's quota keeper and in
	// its answers.
	Team         string              `cbor:"24,keyasint,omitempty"` // team that the request is for
	RequestID    uint64              `cbor:"26,keyasint,omitempty"` // number of the request, repeated in the answer
	TokenRequest *quota.TokenRequest `cbor:"33,keyasint,omitempty"` // the request itself
	Decision     quota.Decision      `cbor:"27,keyasint,omitempty"` // the keeper's decision on the request
	Wait         time.Duration       `cbor:"28,keyasint,omitempty"` // time to wait before the operation may begin
	RetryAfter   time.Duration       `cbor:"47,keyasint,omitempty"` // time until there is a token, of a refused request
}
