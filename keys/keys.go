// Package keys manages the teams' keys. A key is a high-entropy secret of which only
// the hash is stored; a withdrawn key remains as a tombstone. The package also
// decides whether key data of a given age may still be used.
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

// Prefix is the prefix of the store objects with the teams' keys, one per team.
const Prefix = "keys/"

// secretBytes is the number of random bytes in a secret.
const secretBytes = 24

// Key is one key of a team as stored.
type Key struct {
	ID        string     `json:"id"`   // unique in the team and never reused
	Hash      string     `json:"hash"` // SHA-256 of the secret, in hexadecimal
	Created   time.Time  `json:"created"`
	Withdrawn *time.Time `json:"withdrawn,omitempty"` // time of the withdrawal; nil while the key is live
	By        string     `json:"by"`                  // name of the operator who created the key
}

// Ring holds the keys of one team, withdrawn ones included.
type Ring struct {
	Keys []Key `json:"keys"`
}

// Decode decodes the store object of a team's keys. An object that does not exist
// (version 0) gives an empty Ring.
func Decode(o pollendoor.Object) (Ring, error) {
	var r Ring
	if o.Version == 0 {
		return r, nil
	}
	return r, errors.Wrapf(json.Unmarshal(o.Value, &r), "object %s", o.Name)
}

// Create adds a key and returns its secret, which is not stored. It returns an error
// if the id was ever used, as ids are not reused. by is the operator's name.
func (r *Ring) Create(id, by string, now time.Time) (string, error) {
	for _, k := range r.Keys {
		if k.ID == id {
			return "", errors.Newf("key %s already exists; key ids cannot be reused", id)
		}
	}
	raw := make([]byte, secretBytes)
	rand.Read(raw)
	secret := base64.RawURLEncoding.EncodeToString(raw)
	r.Keys = append(r.Keys, Key{ID: id, Hash: hash(secret), Created: now.UTC(), By: by})
	return secret, nil
}

// Withdraw withdraws a key; a withdrawn key stays as it is. It returns false if
// there is no such key.
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

// Live reports whether the team has a key with this id that is not withdrawn.
func (r Ring) Live(id string) bool {
	for _, k := range r.Keys {
		if k.ID == id {
			return k.Withdrawn == nil
		}
	}
	return false
}

// Matches reports whether secret is the secret of the live key with this id. The
// comparison takes constant time.
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

// SplitUser splits a caller's user name into team and key id at the last dot. It
// returns false if one of them is empty.
func SplitUser(user string) (team, id string, ok bool) {
	i := strings.LastIndexByte(user, '.')
	if i <= 0 || i == len(user)-1 {
		return "", "", false
	}
	return user[:i], user[i+1:], true
}

// Zone summarizes the key data of the VMs in one availability zone.
type Zone struct {
	Heard   bool // a VM of the zone answered recently
	Same    bool // all VMs that answered have the same key objects as this VM
	Pending bool // one of them has a write of its own whose outcome is unknown
}

// Report is what one other VM has said about its key data.
type Report struct {
	Zone    string
	At      time.Time // when it was received, zero for never
	Same    bool      // the VM has the same key objects as this one
	Pending bool      // it has a write of its own whose outcome is unknown
}

// Summarize returns the summary of each zone from the reports of its VMs. A report
// older than maxAge only shows that its zone exists.
func Summarize(reports []Report, maxAge time.Duration, now time.Time) map[string]Zone {
	zones := make(map[string]Zone)
	for _, r := range reports {
		z, ok := zones[r.Zone]
		if !ok {
			z.Same = true
		}
		if now.Sub(r.At) <= maxAge {
			z.Heard = true
			z.Same = z.Same && r.Same
			z.Pending = z.Pending || r.Pending
		}
		zones[r.Zone] = z
	}
	return zones
}

// Reliable reports whether key data that was up to date with the store at asOf may
// be used now.
//
// Data no older than limit is reliable. Older data is reliable only if every zone
// answers and all have the same key objects: then this VM has missed no withdrawal
// that any VM has seen accepted.
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
