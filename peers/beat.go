package peers

import (
	"github.com/pollendoor/pollendoor"
	"github.com/pollendoor/pollendoor/limit"
)

// Beat is a heartbeat. Ages are relative, for clocks differ.
type Beat struct {
	Name        string                  `cbor:"n"`
	Zone        string                  `cbor:"z"`
	Peer        string                  `cbor:"p"`
	ID          string                  `cbor:"i"` // of the process
	Draining    bool                    `cbor:"d,omitempty"`
	Fingerprint uint64                  `cbor:"f"`           // of the key objects known
	Pending     bool                    `cbor:"w,omitempty"` // own write of unknown outcome
	Opinions    map[string]Opinion      `cbor:"o,omitempty"` // by group
	Epoch       uint64                  `cbor:"e"`           // of the escrow
	Demands     map[string]limit.Demand `cbor:"t,omitempty"` // by team
	Versions    uint64                  `cbor:"v"`           // fingerprint of all settings known
}

// Opinion is what a home thinks of a group's primary.
type Opinion struct {
	Term pollendoor.Term `cbor:"t"`
	Down bool            `cbor:"d"`
}

// pullRequest asks for the objects that came to a VM's copy after Seq.
type pullRequest struct {
	Seq    uint64 `cbor:"s"`
	WaitMS int64  `cbor:"w"`
}

type pullAnswer struct {
	Seq     uint64              `cbor:"s"`
	Process string              `cbor:"r"` // of the copy; Seq counts within it
	AgeMS   int64               `cbor:"a"` // since it was level with the store, -1 for never
	Objects []pollendoor.Object `cbor:"o,omitempty"`
}

type transferAnswer struct {
	Settled bool `cbor:"s"`
}

// Ask says that a VM has run short of a team's units.
type Ask struct {
	ID    string `cbor:"i"` // of the process that asks
	Team  string `cbor:"t"`
	Epoch uint64 `cbor:"e"`
}

type cancelRequest struct {
	ID string `cbor:"i"`
}

type emptyMessage struct{}

// forwardRequest is one exchange on a lane.
type forwardRequest struct {
	ID       string              `cbor:"i"`
	Exchange pollendoor.Exchange `cbor:"x"`
}

// forwardAnswer is a part of the answer; the last one carries Final.
type forwardAnswer struct {
	Frames []byte             `cbor:"f,omitempty"`
	Final  *pollendoor.Answer `cbor:"a,omitempty"`
}

// The names of the calls.
const (
	rpcBeat     = "/pollendoor/Beat"
	rpcPull     = "/pollendoor/Pull"
	rpcTransfer = "/pollendoor/Transfer"
	rpcAsk      = "/pollendoor/Ask"
	rpcForward  = "/pollendoor/Forward"
	rpcCancel   = "/pollendoor/Cancel"
)
