package fleet

import (
	"time"

	"github.com/pollendoor/pollendoor"
	"github.com/pollendoor/pollendoor/lease"
	"github.com/pollendoor/pollendoor/quota"
	"github.com/pollendoor/pollendoor/vmlist"
)

// packetKind tells the datagrams between VMs apart.
type packetKind uint8

const (
	packetHeartbeat      packetKind = iota + 1 // a VM to the duty holder
	packetAnswer                               // its answer
	packetRecordChanged                        // the holder has a new record and asks for a heartbeat now
	packetLeaderQuery                          // a VM asks another whether it hears the holder
	packetLeaderReport                         // its answer
	packetUpdate                               // a zone's watcher has learned something
	packetQuotaQuestion                        // a VM asks the keeper of a team's rate for an operation
	packetQuotaVerdict                         // its answer
	packetRecordCheck                          // a VM asks a lead of its zone whether the record stands
	packetRecordStatus                         // its answer
	packetRecordRequest                        // a VM that has started without the store asks for the record
	packetRecordResponse                       // its answer
	packetBatch                                // heartbeats, or their answers, through the lead of a zone
	packetKindCount                            // their number
)

// position is a sample in a datagram. Since is counted from the echoed stamp's
// arrival in a heartbeat, and from the heartbeat's arrival in an answer: both
// take the sample for older than it is.
type position struct {
	Since time.Duration   `cbor:"1,keyasint"`
	Term  pollendoor.Term `cbor:"2,keyasint"`
	Index uint64          `cbor:"3,keyasint"`
}

// packet is a datagram between VMs.
type packet struct {
	Kind  packetKind    `cbor:"1,keyasint"`
	From  vmlist.Peer   `cbor:"2,keyasint"`
	Token uint64        `cbor:"3,keyasint,omitempty"`
	Stamp time.Duration `cbor:"4,keyasint,omitempty"` // sender's clock
	Echo  time.Duration `cbor:"5,keyasint,omitempty"` // Stamp of the packet answered, or last received

	// Of a heartbeat.
	RecordVersion uint64                  `cbor:"6,keyasint,omitempty"` // of the record adopted
	Promise       time.Duration           `cbor:"7,keyasint,omitempty"` // no claim for so long after Echo
	Reports       map[string]lease.Report `cbor:"8,keyasint,omitempty"`
	QuotaHeld     []quota.Holdings        `cbor:"36,keyasint,omitempty"` // by source
	ViewVersion   uint64                  `cbor:"11,keyasint,omitempty"`
	CPUShare      float64                 `cbor:"25,keyasint,omitempty"` // share of a core
	WantedGroups  []string                `cbor:"31,keyasint,omitempty"` // groups whose positions its reads need
	Urgent        bool                    `cbor:"41,keyasint,omitempty"` // the holder waits for it
	PromiseLeft   time.Duration           `cbor:"29,keyasint,omitempty"` // left of a promise that may have been given
	ProcessID     uint64                  `cbor:"21,keyasint,omitempty"` // identifies the process

	// Of an answer.
	Lease           time.Duration  `cbor:"12,keyasint,omitempty"`
	Record          *storedRecord  `cbor:"13,keyasint,omitempty"` // if Version is not the newest, there is no step, and it is small
	RecordDelta     *lease.Delta   `cbor:"38,keyasint,omitempty"` // from Version to the newest
	View            *vmlist.View   `cbor:"14,keyasint,omitempty"` // if ViewSeen is not the newest and there is no delta
	ViewDelta       *vmlist.Delta  `cbor:"39,keyasint,omitempty"` // from ViewSeen to the newest
	QuotaGrants     []quota.Grants `cbor:"37,keyasint,omitempty"` // by source
	TargetsDigest   uint64         `cbor:"20,keyasint,omitempty"` // of the sender's targets
	TargetsRevision uint64         `cbor:"32,keyasint,omitempty"` // revision up to which it knows them
	Liveness        uint64         `cbor:"30,keyasint,omitempty"` // the holder's last one at the store
	WantPromise     bool           `cbor:"19,keyasint,omitempty"` // the holder needs promises: it does not reach the store

	ConfigVersion uint64              `cbor:"16,keyasint,omitempty"` // version in force at the sender
	Positions     map[string]position `cbor:"17,keyasint,omitempty"` // of primaries, by group
	RelayIP       string              `cbor:"22,keyasint,omitempty"` // VM's IP through which a heartbeat came
	AnswerIP      string              `cbor:"23,keyasint,omitempty"` // VM's IP that an answer is for
	Batch         []byte              `cbor:"42,keyasint,omitempty"` // of a bundle: packets, compressed
	RecordRead    bool                `cbor:"40,keyasint,omitempty"` // the record has been read, and is Version
	Age           time.Duration       `cbor:"18,keyasint,omitempty"` // of a tell: since the holder answered

	// Of a question to the keeper of a team's rate, and its answer.
	Team       string          `cbor:"24,keyasint,omitempty"`
	QuestionID uint64          `cbor:"26,keyasint,omitempty"` // of the question
	Question   *quota.Question `cbor:"33,keyasint,omitempty"`
	Verdict    quota.Verdict   `cbor:"27,keyasint,omitempty"`
	Wait       time.Duration   `cbor:"28,keyasint,omitempty"` // before the operation may begin
}
