package pool

import (
	"bytes"
	"encoding/binary"
	"slices"

	"github.com/cockroachdb/errors"
	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/pollendoor/pollendoor"
)

// op is one answer that a batch still expects.
type op struct {
	kind byte   // P, B, D, E, C or Q after the message that asks for it
	name string // statement of a P
	mode opMode
}

// opMode says how an expected answer reaches the caller.
type opMode int

const (
	forward opMode = iota // as it comes from the target
	swallow               // the system asked, not the caller
	invent                // the target was not asked, the answer is known
)

// plan is a batch made ready for one connection: the bytes to send and the
// answers to expect.
type plan struct {
	out []byte
	ops []op // still expected

	all    []op // the memory of ops
	frames []frame
	sent   []string // statements that the batch itself parses
}

// frame is one frontend message within a batch.
type frame struct {
	kind byte
	body []byte
	raw  []byte
}

// cutFrames appends the messages of a batch to list.
func cutFrames(list []frame, batch []byte) ([]frame, error) {
	for len(batch) > 0 {
		if len(batch) < 5 {
			return nil, errors.New("batch ends within a message")
		}
		n := int(binary.BigEndian.Uint32(batch[1:])) + 1
		if n < 5 || n > len(batch) {
			return nil, errors.New("batch holds a message of a wrong length")
		}
		list = append(list, frame{kind: batch[0], body: batch[5:n], raw: batch[:n]})
		batch = batch[n:]
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

// make leaves out the parsing of statements that the connection has, adds that
// of statements it lacks, and lists the answers to expect. The plan's earlier
// memory is used again.
func (p *plan) make(x *pollendoor.Exchange, has func(name string) bool) error {
	p.out, p.all, p.sent = p.out[:0], p.all[:0], p.sent[:0]
	p.ops = p.all
	frames, err := cutFrames(p.frames[:0], x.Frames)
	if err != nil {
		return err
	}
	p.frames = frames
	for _, u := range x.Uses {
		if parses(frames, u.Name) || u.Name != "" && has(u.Name) {
			continue
		}
		m := pgproto3.Parse{Name: u.Name, Query: u.SQL, ParameterOIDs: u.OIDs}
		if p.out, err = m.Encode(p.out); err != nil {
			return err
		}
		p.ops = append(p.ops, op{kind: 'P', name: u.Name, mode: swallow})
	}
	for _, f := range frames {
		p.add(f, has)
	}
	p.all = p.ops
	return nil
}

// parses reports whether a batch itself parses the statement called name.
func parses(frames []frame, name string) bool {
	for _, f := range frames {
		if f.kind == 'P' && cstring(f.body) == name {
			return true
		}
	}
	return false
}

func (p *plan) add(f frame, has func(string) bool) {
	switch f.kind {
	case 'P':
		name := cstring(f.body)
		if name != "" && (has(name) || slices.Contains(p.sent, name)) {
			p.ops = append(p.ops, op{kind: 'P', name: name, mode: invent})
			return
		}
		p.sent = append(p.sent, name)
		p.ops = append(p.ops, op{kind: 'P', name: name})
	case 'C':
		if len(f.body) > 0 && f.body[0] == 'S' {
			// Statements are shared; the session has forgotten its name.
			p.ops = append(p.ops, op{kind: 'C', mode: invent})
			return
		}
		p.ops = append(p.ops, op{kind: 'C'})
	case 'B', 'D', 'E', 'Q':
		p.ops = append(p.ops, op{kind: f.kind})
	}
	p.out = append(p.out, f.raw...)
}

// ends reports whether a message of the target completes the answer kind.
func ends(kind byte, m pgproto3.BackendMessage) bool {
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
