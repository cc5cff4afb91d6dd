package load

import (
	"sort"

	"github.com/cockroachdb/errors"
)

// Kind is what one operation does.
type Kind string

// The kinds of operations.
const (
	Add     Kind = "add"     // a write with a request id
	Confirm Kind = "confirm" // a transaction with a request id
	Page    Kind = "page"    // a read that may be old
	Fresh   Kind = "fresh"   // a read that shows the session's own writes
	Total   Kind = "total"   // a read at the primary
)

// Step is one operation of a mix.
type Step struct {
	Name   string // in the words of the service
	Kind   Kind
	Weight int
}

// profiles are the users' mixes.
var profiles = map[string][]Step{
	"bolo": {
		{"contribution", Add, 4},
		{"confirmation", Confirm, 2},
		{"potPage", Page, 84},
		{"ownPot", Fresh, 8},
		{"reconciliation", Total, 2},
	},
	"clyde": {
		{"surveyUpload", Add, 5},
		{"clarityReport", Confirm, 2},
		{"impulseResponse", Fresh, 40},
		{"modelPage", Page, 50},
		{"batchRender", Total, 3},
	},
}

// Profile returns the mix called name.
func Profile(name string) ([]Step, error) {
	if p, ok := profiles[name]; ok {
		return p, nil
	}
	var names []string
	for n := range profiles {
		names = append(names, n)
	}
	sort.Strings(names)
	return nil, errors.Newf("profile %q is not known, there are %v", name, names)
}

// choose returns the step at a point from 0 to the sum of the weights.
func choose(mix []Step, point int) Step {
	for _, s := range mix {
		if point < s.Weight {
			return s
		}
		point -= s.Weight
	}
	return mix[0]
}

func weights(mix []Step) int {
	n := 0
	for _, s := range mix {
		n += s.Weight
	}
	return n
}
