package pool

import (
	"bytes"
	"encoding/binary"
	"slices"

	"github.com/cockroachdb/errors"
	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/pollendoor/pollendoor"
)

// expectedAnswer is one answer that a batch still expects.
type expectedAnswer struct {
	kind byte   // type of the message that requests the answer: P, B, D, E, C or Q
	name string // statement name of a P message
	mode answerMode
}

// answerMode determines how an expected answer is passed to the caller.
type answerMode int

const (
	forward    answerMode = iota // passed on from the target
	discard                      // requested by this package and not passed on
	synthesize                   // generated here, because the target is not asked
)

// plan is a batch prepared for one connection: the bytes to send and the
// answers to expect.
type plan struct {
	out     []byte
	pending []expectedAnswer // answers that have not arrived yet

	pendingBuffer []expectedAnswer // buffer of pending, reused by the next plan
	frameBuffer   []frame
	parsed        []string // names of the statements that the batch itself prepares
}

// frame is one frontend message of a batch.
type frame struct {
	kind byte
	body []byte
	raw  []byte
}

// splitFrames appends the messages of a batch to list.
func splitFrames(list []frame, batch []byte) ([]frame, error) {
	for len(batch) > 0 {
		if len(batch) < 5 {
			return nil, errors.New("batch ends with a truncated message")
		}
		length := int(binary.BigEndian.Uint32(batch[1:])) + 1
		if length < 5 || length > len(batch) {
			return nil, errors.New("batch contains a message with an invalid length")
		}
		list = append(list, frame{kind: batch[0], body: batch[5:length], raw: batch[:length]})
		batch = batch[length:]
	}
	return list, nil
}

func cstring(b []byte) string {
	n := bytes.IndexByte(b, 0)
	if n < 0 {
		return ""
	}
	return string(b[:n])
}

// build omits Parse messages for statements that the connection already has,
// adds those for statements that it lacks, and lists the answers to expect. It
// reuses the buffers of the previous plan.
func (p *plan) build(x *pollendoor.Exchange, hasPrepared func(name string) bool) error {
	p.out, p.pendingBuffer, p.parsed = p.out[:0], p.pendingBuffer[:0], p.parsed[:0]
	p.pending = p.pendingBuffer
	frames, err := splitFrames(p.frameBuffer[:0], x.Frames)
	if err != nil {
		return err
	}
	p.frameBuffer = frames
	for _, used := range x.Uses {
		if batchParses(frames, used.Name) || used.Name != "" && hasPrepared(used.Name) {
			continue
		}
		m := pgproto3.Parse{Name: used.Name, Query: used.SQL, ParameterOIDs: used.OIDs}
		if p.out, err = m.Encode(p.out); err != nil {
			return err
		}
		p.pending = append(p.pending, expectedAnswer{kind: 'P', name: used.Name, mode: discard})
	}
	for _, f := range frames {
		p.add(f, hasPrepared)
	}
	p.pendingBuffer = p.pending
	return nil
}

// batchParses reports whether the batch itself prepares the statement called
// name.
func batchParses(frames []frame, name string) bool {
	for _, f := range frames {
		if f.kind == 'P' && cstring(f.body) == name {
			return true
		}
	}
	return false
}

func (p *plan) add(f frame, hasPrepared func(string) bool) {
	switch f.kind {
	case 'P':
		name := cstring(f.body)
		if name != "" && (hasPrepared(name) || slices.Contains(p.parsed, name)) {
			p.pending = append(p.pending, expectedAnswer{kind: 'P', name: name, mode: synthesize})
			return
		}
		p.parsed = append(p.parsed, name)
		p.pending = append(p.pending, expectedAnswer{kind: 'P', name: name})
	case 'C':
		if len(f.body) > 0 && f.body[0] == 'S' {
			// Prepared statements are shared between sessions, so the target
			// keeps the statement that the session closes.
			p.pending = append(p.pending, expectedAnswer{kind: 'C', mode: synthesize})
			return
		}
		p.pending = append(p.pending, expectedAnswer{kind: 'C'})
	case 'B', 'D', 'E', 'Q':
		p.pending = append(p.pending, expectedAnswer{kind: f.kind})
	}
	p.out = append(p.out, f.raw...)
}

// completes reports whether a message of the target completes an answer of the
// given kind.
func completes(kind byte, m pgproto3.BackendMessage) bool {
	switch m.(type) {
	case *pgproto3.ParseComplete:
		return kind == 'P'
	case *pgproto3.BindComplete:
		return kind == 'B'
	case *pgproto3.RowDescription, *pgproto3.NoData:
		return kind == 'D'
	case *pgproto3.CommandComplete, *pgproto3.EmptyQueryResponse, *pgproto3.PortalSuspended:
		return kind == 'E'
	case *pgproto3.CloseComplete:
		return kind == 'C'
	}
	return false
}
