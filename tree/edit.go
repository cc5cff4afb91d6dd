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

// Conflict says that a branch changed since the version an operator started
// from. It carries both texts.
type Conflict struct {
	Path    string
	Based   uint64 // version that the operator started from
	Current uint64
	By      string // who changed it
	Theirs  string
	Yours   string
}

// Error returns the conflict with both texts.
func (c *Conflict) Error() string {
	return fmt.Sprintf("branch %s is at version %d, not %d: %s changed it meanwhile\n--- theirs\n%s\n+++ yours\n%s",
		c.Path, c.Current, c.Based, c.By, c.Theirs, c.Yours)
}

// Edit is one operator's change of a branch.
type Edit struct {
	Path   string
	YAML   string
	Delete bool
	Based  uint64 // version that the change was made on, zero for a new branch
	By     string
}

const (
	acceptAttempts   = 5
	acceptRetryDelay = 50 * time.Millisecond
)

// Accept writes a change that Check has passed, on condition of the version it
// was based on. A lost answer is resolved by reading back. It returns the object
// as it is in the store then, or a *Conflict. Any other error means that nobody
// knows yet whether the change was accepted.
func Accept(ctx context.Context, s pollendoor.Store, e Edit) (pollendoor.Object, error) {
	name := ObjectName(e.Path)
	nonce := uuid.NewString()
	var err error
	for range acceptAttempts {
		var o pollendoor.Object
		var old Branch
		o, old, err = readBranch(ctx, s, name)
		if err == nil && old.Nonce == nonce {
			return o, nil // an earlier try took effect
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
			return o, errors.Wrap(err, "the store does not answer")
		case <-time.After(acceptRetryDelay):
		}
	}
	return pollendoor.Object{}, errors.Wrap(err, "the store does not answer")
}

func readBranch(ctx context.Context, s pollendoor.Store, name string) (pollendoor.Object, Branch, error) {
	var b Branch
	o, err := s.Get(ctx, name)
	if errors.Is(err, pollendoor.ErrNotFound) {
		return pollendoor.Object{Name: name}, b, nil
	}
	if err != nil {
		return o, b, err
	}
	return o, b, errors.Wrap(json.Unmarshal(o.Value, &b), "branch object")
}

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
		return pollendoor.Object{}, errors.Wrap(err, "branch object")
	}
	v, err := s.Put(ctx, name, version, raw)
	return pollendoor.Object{Name: name, Version: v, Value: raw}, err
}
