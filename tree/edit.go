package tree

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"

	"github.com/pollendoor/pollendoor"
)

// Conflict is the error for a branch that changed since the version on which an
// operator based an edit. It carries both texts.
type Conflict struct {
	Path    string // path of the branch
	Based   uint64 // version on which the operator based the edit
	Current uint64 // version in the store
	By      string // operator who made the stored change
	Theirs  string // text in the store
	Yours   string // text of the rejected edit
}

// Error returns the conflict with both texts.
func (c *Conflict) Error() string {
	return fmt.Sprintf("branch %s is at version %d, not %d: %s changed it in the meantime\n--- theirs\n%s\n+++ yours\n%s",
		c.Path, c.Current, c.Based, c.By, c.Theirs, c.Yours)
}

// Edit is one operator's change of a branch.
type Edit struct {
	Path   string // path of the branch
	YAML   string // new text of the branch
	Delete bool   // the branch is deleted
	Based  uint64 // version on which the edit is based, zero for a new branch
	By     string // name of the operator
}

// Attempts of Accept at the store, and the pause between two of them.
const (
	acceptAttempts   = 5
	acceptRetryDelay = 50 * time.Millisecond
)

// Accept writes an edit that Check has passed if the branch still has the version on
// which the edit is based. A lost response is resolved by reading the branch back. It
// returns the object as stored, or a *Conflict. Any other error means that it is
// unknown whether the edit was accepted.
func Accept(ctx context.Context, s pollendoor.Store, e Edit) (pollendoor.Object, error) {
	name := ObjectName(e.Path)
	nonce := uuid.NewString()
	var err error
	for range acceptAttempts {
		var o pollendoor.Object
		var old Branch
		o, old, err = readBranch(ctx, s, name)
		if err == nil && old.Nonce == nonce {
			return o, nil // an earlier attempt took effect
		}
		if err == nil && o.Version != e.Based {
			return o, &Conflict{Path: Clean(e.Path), Based: e.Based, Current: o.Version, By: old.By, Theirs: old.YAML, Yours: e.YAML}
		}
		if err == nil {
			o, err = writeBranch(ctx, s, e, name, nonce, o.Version, old)
		}
		if err == nil {
			return o, nil
		}
		select {
		case <-ctx.Done():
			return o, errors.Wrap(err, "store does not respond")
		case <-time.After(acceptRetryDelay):
		}
	}
	return pollendoor.Object{}, errors.Wrap(err, "store does not respond")
}

// readBranch reads a branch from the store. A branch that does not exist is not an
// error; its object has version 0.
func readBranch(ctx context.Context, s pollendoor.Store, name string) (pollendoor.Object, Branch, error) {
	var b Branch
	o, err := s.Get(ctx, name)
	if errors.Is(err, pollendoor.ErrNotFound) {
		return pollendoor.Object{Name: name}, b, nil
	}
	if err != nil {
		return o, b, err
	}
	return o, b, errors.Wrap(json.Unmarshal(o.Value, &b), "decode branch object")
}

// writeBranch writes the edited branch, with the old text in its history, if the
// stored object still has the given version.
func writeBranch(ctx context.Context, s pollendoor.Store, e Edit, name, nonce string, version uint64, old Branch) (pollendoor.Object, error) {
	next := Branch{YAML: e.YAML, Deleted: e.Delete, By: e.By, At: time.Now().UTC(), Nonce: nonce, History: old.History}
	if version > 0 {
		next.History = append(next.History, PastVersion{Version: version, YAML: old.YAML, Deleted: old.Deleted, By: old.By, At: old.At})
	}
	if n := len(next.History) - MaxHistory; n > 0 {
		next.History = next.History[n:]
	}
	raw, err := json.Marshal(next)
	if err != nil {
		return pollendoor.Object{}, errors.Wrap(err, "encode branch object")
	}
	v, err := s.Put(ctx, name, version, raw)
	return pollendoor.Object{Name: name, Version: v, Value: raw}, err
}
