// Package keys holds the teams' keys. A key is a high-entropy secret that is
// kept as its hash only; a withdrawn key keeps its place as a tombstone. The
// package also decides whether key data of a given age may still be relied on.
package keys

import (
	"crypto/rand"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/base64"
	"encoding/hex"
	"encoding/json"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/pollendoor/pollendoor"
)

// Prefix is where the teams' keys are kept in the store, one object a team.
const Prefix = "keys/"

// secretLen is the length of a secret, in random bytes.
const secretBytes = 24

// Key is one key of a team as it is kept.
type Key struct {
	ID        string     `json:"id"`
	Hash      string     `json:"hash"` // SHA-256 of the secret, hexadecimal
	Created   time.Time  `json:"created"`
	Withdrawn *time.Time `json:"withdrawn,omitempty"`
	By        string     `json:"by"`
}

// Ring is the keys of one team.
type Ring struct {
	Keys []Key `json:"keys"`
}

// Decode reads the object of a team's keys.
func Decode(o pollendoor.Object) (Ring, error) {
	var r Ring
	if o.Version == 0 {
		return r, nil
	}
	return r, errors.Wrapf(json.Unmarshal(o.Value, &r), "object %s", o.Name)
}

// Create adds a key and returns its secret, which is kept nowhere.
func (r *Ring) Create(id, by string, now time.Time) (string, error) {
	for _, k := range r.Keys {
		if k.ID == id {
			return "", errors.Newf("key %s was created before; ids are not used twice", id)
		}
	}
	raw := make([]byte, secretBytes)
	rand.Read(raw)
	secret := base64.RawURLEncoding.EncodeToString(raw)
	r.Keys = append(r.Keys, Key{ID: id, Hash: hash(secret), Created: now.UTC(), By: by})
	return secret, nil
}

// Withdraw ends a key. It reports false if there is no such key.
func (r *Ring) Withdraw(id string, now time.Time) bool {
	for i := range r.Keys {
		if r.Keys[i].ID == id {
			if r.Keys[i].Withdrawn == nil {
				t := now.UTC()
				r.Keys[i].Withdrawn = &t
			}
			return true
		}
	}
	return false
}

// Live reports whether the key called id is one of the team's and not
// withdrawn.
func (r Ring) Live(id string) bool {
	for _, k := range r.Keys {
		if k.ID == id {
			return k.Withdrawn == nil
		}
	}
	return false
}

// Matches reports whether secret is that of the live key called id.
func (r Ring) Matches(id, secret string) bool {
	h := []byte(hash(secret))
	ok := 0
	for _, k := range r.Keys {
		if k.ID == id && k.Withdrawn == nil {
			ok |= subtle.ConstantTimeCompare(h, []byte(k.Hash))
		}
	}
	return ok == 1
}

func hash(secret string) string {
	sum := sha256.Sum256([]byte(secret))
	return hex.EncodeToString(sum[:])
}

// SplitUser cuts a caller's user name into team and key id.
func SplitUser(user string) (team, id string, ok bool) {
	i := strings.LastIndexByte(user, '.')
	if i <= 0 || i == len(user)-1 {
		return "", "", false
	}
	return user[:i], user[i+1:], true
}

// Zone is what is known of one availability zone's view of the store.
type Zone struct {
	Heard   bool // some VM there answered lately
	Same    bool // all that answered know the same key objects as this VM
	Pending bool // one of them does not know what became of its own write
}

// Reliable reports whether key data that was level with the store at asOf may
// be relied on now.
//
// Data younger than limit is. Older data is only if every zone answers and all
// know the same: then this VM has missed no withdrawal that any VM has seen
// accepted.
func Reliable(asOf time.Time, limit time.Duration, zones []Zone, now time.Time) bool {
	if asOf.IsZero() {
		return false
	}
	if now.Sub(asOf) <= limit {
		return true
	}
	for _, z := range zones {
		if !z.Heard || z.Pending || !z.Same {
			return false
		}
	}
	return len(zones) > 0
}
