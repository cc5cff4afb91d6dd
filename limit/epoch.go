package limit

import (
	"slices"
	"sort"
)

// State is the agreed state of the escrow, kept in the platform's store under
// escrow/state. Members write what they hold under escrow/held/IDENTITY.
type State struct {
	Epoch      uint64                       `json:"epoch"`
	Members    []string                     `json:"members"` // identities, sorted
	Collecting bool                         `json:"collecting"`
	Cause      string                       `json:"cause"`
	Grants     map[string]map[string]uint64 `json:"grants,omitempty"` // by member and team
	Teams      []string                     `json:"teams"`            // that this epoch has granted
}

// Held is what one member held when it entered an epoch.
type Held struct {
	Epoch uint64            `json:"epoch"`
	Units map[string]uint64 `json:"units"`
}

// Join returns the state with a new member in it, in a new epoch. The others
// keep what they hold.
func (s State) Join(id string) State {
	if slices.Contains(s.Members, id) {
		return s
	}
	return s.nextEpoch(append(slices.Clone(s.Members), id), id+" joined")
}

// Drop returns the state in a new epoch without the members for which gone
// holds. It must hold for processes that have certainly ended only.
func (s State) Drop(gone func(id string) bool, cause string) State {
	remaining := slices.DeleteFunc(slices.Clone(s.Members), gone)
	return s.nextEpoch(remaining, cause)
}

func (s State) nextEpoch(members []string, cause string) State {
	sort.Strings(members)
	return State{Epoch: s.Epoch + 1, Members: members, Collecting: true, Cause: cause, Teams: s.Teams}
}

// Close ends the collecting of an epoch: what is missing from Whole of each
// team is granted to the members in equal parts. It reports false until every
// member has written down what it holds in this epoch.
func (s State) Close(held map[string]Held, teams []string) (State, bool) {
	if !s.Collecting || len(s.Members) == 0 {
		return s, false
	}
	for _, m := range s.Members {
		if held[m].Epoch != s.Epoch {
			return s, false
		}
	}
	next := s
	next.Collecting = false
	next.Teams = slices.Sorted(slices.Values(teams))
	next.Grants = make(map[string]map[string]uint64)
	for _, t := range next.Teams {
		remaining := uint64(TotalUnits)
		for _, m := range s.Members {
			remaining -= min(remaining, held[m].Units[t])
		}
		for i, m := range s.Members {
			share := remaining / uint64(len(s.Members)-i)
			remaining -= share
			if next.Grants[m] == nil {
				next.Grants[m] = make(map[string]uint64)
			}
			next.Grants[m][t] = share
		}
	}
	return next, true
}
