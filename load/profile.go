package load

import (
	"sort"

	"github.com/cockroachdb/errors"
)

// Kind is the type of an operation.
type Kind string

// The kinds of operations.
const (
	Insert      Kind = "add"     // a single write with a request id
	InsertInTx  Kind = "confirm" // a write transaction with a request id
	StaleRead   Kind = "page"    // a read that allows stale data
	SessionRead Kind = "fresh"   // a read that must see the session's own writes
	PrimaryRead Kind = "total"   // a read at the primary
)

// MixEntry is one operation of a statement mix and its frequency.
type MixEntry struct {
	Name   string // name of the operation in the user's service
	Kind   Kind   // type of the operation
	Weight int    // relative frequency
}

// profiles holds the statement mixes of the users' services, by name.
var profiles = map[string][]MixEntry{
	"bolo": {
		{"contribution", Insert, 4},
		{"confirmation", InsertInTx, 2},
		{"potPage", StaleRead, 84},
		{"ownPot", SessionRead, 8},
		{"reconciliation", PrimaryRead, 2},
	},
	"clyde": {
		{"surveyUpload", Insert, 5},
		{"clarityReport", InsertInTx, 2},
		{"impulseResponse", SessionRead, 40},
		{"modelPage", StaleRead, 50},
		{"batchRender", PrimaryRead, 3},
	},
}

// Profile returns the statement mix with the given name.
func Profile(name string) ([]MixEntry, error) {
	if p, ok := profiles[name]; ok {
		return p, nil
	}
	var names []string
	for n := range profiles {
		names = append(names, n)
	}
	sort.Strings(names)
	return nil, errors.Newf("unknown profile %q, available profiles: %v", name, names)
}

// pick returns the entry at point, which is at least 0 and less than the total
// weight.
func pick(mix []MixEntry, point int) MixEntry {
	for _, s := range mix {
		if point < s.Weight {
			return s
		}
		point -= s.Weight
	}
	return mix[0]
}

func totalWeight(mix []MixEntry) int {
	n := 0
	for _, s := range mix {
		n += s.Weight
	}
	return n
}
