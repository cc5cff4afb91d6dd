// Package token implements the session token: the newest log position that a session
// has written or read in each database group. A VM that receives the token serves
// the session's reads only from targets that have applied these positions, which
// gives read-your-writes on any VM.
package token

import (
	"encoding/base64"
	"sort"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"

	"github.com/pollendoor/pollendoor"
)

// MaxLen is the maximum length of a token text that Parse accepts, in bytes.
const MaxLen = 4096

// prefix identifies the version of the encoding.
const prefix = "p1."

// Token maps a group's name to the newest position the session depends on. The
// zero value is an empty token, ready to use. A Token is not safe for concurrent use.
type Token struct {
	positions map[string]pollendoor.Position // by group
}

// entry is the encoded position of one group.
type entry struct {
	_     struct{} `cbor:",toarray"`
	Group string
	Term  uint64
	Index uint64
}

// Parse decodes the text form. The empty string is the empty token.
func Parse(text string) (Token, error) {
	var t Token
	if text == "" {
		return t, nil
	}
	if len(text) > MaxLen {
		return t, errors.Newf("session token is %d bytes long, the maximum is %d", len(text), MaxLen)
	}
	encoded, ok := strings.CutPrefix(text, prefix)
	if !ok {
		return t, errors.Newf("session token does not start with %q", prefix)
	}
	raw, err := base64.RawURLEncoding.DecodeString(encoded)
	if err != nil {
		return t, errors.Wrap(err, "malformed session token")
	}
	var list []entry
	if err := cbor.Unmarshal(raw, &list); err != nil {
		return t, errors.Wrap(err, "malformed session token")
	}
	for _, e := range list {
		t.Advance(e.Group, pollendoor.Position{Term: pollendoor.Term(e.Term), Index: e.Index})
	}
	return t, nil
}

// At returns the position that the session depends on in group, or the zero position
// if there is none.
func (t *Token) At(group string) pollendoor.Position { return t.positions[group] }

// Advance moves the token's position in group forward to p. It does nothing if p is
// not newer.
func (t *Token) Advance(group string, p pollendoor.Position) {
	if p.IsZero() || !p.Newer(t.positions[group]) {
		return
	}
	if t.positions == nil {
		t.positions = make(map[string]pollendoor.Position)
	}
	t.positions[group] = p
}

// Merge advances t to the newer of both tokens' positions in every group of o.
func (t *Token) Merge(o Token) {
	for g, p := range o.positions {
		t.Advance(g, p)
	}
}

// String returns the text form, which Parse decodes. Equal tokens have equal texts.
func (t *Token) String() string {
	if len(t.positions) == 0 {
		return ""
	}
	list := make([]entry, 0, len(t.positions))
	for g, p := range t.positions {
		list = append(list, entry{Group: g, Term: uint64(p.Term), Index: p.Index})
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Group < list[j].Group })
	raw, err := cbor.Marshal(list)
	if err != nil {
		panic(errors.NewAssertionErrorWithWrappedErrf(err, "encode session token"))
	}
	return prefix + base64.RawURLEncoding.EncodeToString(raw)
}
