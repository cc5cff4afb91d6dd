package peers

import (
	"github.com/pollendoor/pollendoor"
	"github.com/pollendoor/pollendoor/limit"
)

// Heartbeat is the message that VMs periodically send each other. Ages in it are
// relative to the time of sending, because the clocks of VMs differ.
type Heartbeat struct {
	Name                string                  `cbor:"n"`           // name of the sending VM
	Zone                string                  `cbor:"z"`           // zone of the sending VM
	Peer                string                  `cbor:"p"`           // address of the sender's listener for peers
	ID                  string                  `cbor:"i"`           // ID of the sending process
	Draining            bool                    `cbor:"d,omitempty"` // whether the sender takes no more work
	KeysFingerprint     uint64                  `cbor:"f"`           // fingerprint of the sender's copies of the key objects
	WritePending        bool                    `cbor:"w,omitempty"` // whether a write of settings or keys by the sender is in progress or of unknown outcome
	HealthVotes         map[string]HealthVote   `cbor:"o,omitempty"` // health votes on the primaries, by group
	Epoch               uint64                  `cbor:"e"`           // epoch of the sender's escrow
	Demands             map[string]limit.Demand `cbor:"t,omitempty"` // demand for units of the allowances, by team
	SettingsFingerprint uint64                  `cbor:"v"`           // fingerprint of the settings versions in force at the sender
}

// HealthVote is a home VM's vote on the health of a group's primary.
type HealthVote struct {
	Term pollendoor.Term `cbor:"t"` // term of the primary that the vote is about
	Down bool            `cbor:"d"` // whether the primary appears to be down
}

// pullRequest requests the objects that were added to a VM's mirror after
// sequence number Seq.
type pullRequest struct {
	Seq    uint64 `cbor:"s"`
	Digest uint64 `cbor:"d,omitempty"` // digest of the requester's mirror
	WaitMS int64  `cbor:"w"`           // how long the answer may be delayed until there are updates, in ms
}

// pullAnswer holds the requested objects and the state of the mirror that they
// come from.
type pullAnswer struct {
	Seq     uint64              `cbor:"s"` // sequence number of the newest object
	Process string              `cbor:"r"` // ID of the process that owns the mirror; Seq is valid only within it
	AgeMS   int64               `cbor:"a"` // time since the mirror was up to date with the store, in ms, -1 for never
	Objects []pollendoor.Object `cbor:"o,omitempty"`
}

// transferAnswer is the answer to a transfer of units.
type transferAnswer struct {
	Settled bool `cbor:"s"` // whether the receiver has recorded the transfer, so that it need not be repeated
}

// Ask is a request for units of a team's allowance, sent by a VM that has run
// short of them.
type Ask struct {
	ID    string `cbor:"i"` // ID of the requesting process
	Team  string `cbor:"t"`
	Epoch uint64 `cbor:"e"` // epoch of the requester's escrow
}

// cancelRequest cancels a forwarded exchange.
type cancelRequest struct {
	ID string `cbor:"i"` // ID of the exchange, as in its forwardRequest
}

// emptyMessage is the answer to calls that return nothing.
type emptyMessage struct{}

// forwardRequest is one exchange on a forwarding stream.
type forwardRequest struct {
	ID       string              `cbor:"i"` // random ID, by which the exchange can be canceled
	Exchange pollendoor.Exchange `cbor:"x"`
}

// forwardAnswer is a part of the answer to an exchange. Only the last part
// carries Final.
type forwardAnswer struct {
	Frames []byte             `cbor:"f,omitempty"`
	Final  *pollendoor.Answer `cbor:"a,omitempty"`
}

// Names of the drpc calls.
const (
	rpcBeat     = "/pollendoor/Beat"
	rpcPull     = "/pollendoor/Pull"
	rpcTransfer = "/pollendoor/Transfer"
	rpcAsk      = "/pollendoor/Ask"
	rpcForward  = "/pollendoor/Forward"
	rpcCancel   = "/pollendoor/Cancel"
)
