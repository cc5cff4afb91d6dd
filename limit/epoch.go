package limit

import (
	"slices"
	"sort"
)

// State is the escrow state that all members agree on. It is stored in the
// platform's store as escrow/state. Each member records the units it holds in
// escrow/held/IDENTITY.
type State struct {
	Epoch      uint64                       `json:"epoch"`            // number of the epoch, starting at 1
	Members    []string                     `json:"members"`          // identities of the member VMs, sorted
	Collecting bool                         `json:"collecting"`       // the members are still recording the units they hold
	Cause      string                       `json:"cause"`            // why the epoch was started
	Grants     map[string]map[string]uint64 `json:"grants,omitempty"` // units granted at the end of the collecting phase, by member and team
	Teams      []string                     `json:"teams"`            // teams whose units this epoch has granted, sorted
}

// Held records the units of each team that a member held when it entered an epoch.
type Held struct {
	Epoch uint64            `json:"epoch"` // the epoch that the member entered
	Units map[string]uint64 `json:"units"` // units by team
}

// Join returns the state of a new epoch that has id as an additional member. The
// other members keep the units they hold. It returns s unchanged if id is a member
// already.
func (s State) Join(id string) State {
	if slices.Contains(s.Members, id) {
		return s
	}
	return s.nextEpoch(append(slices.Clone(s.Members), id), id+" joined")
}

// Drop returns the state of a new epoch without the members for which gone returns
// true. gone must return true only for processes that have certainly ended.
func (s State) Drop(gone func(id string) bool, cause string) State {
	remaining := slices.DeleteFunc(slices.Clone(s.Members), gone)
	return s.nextEpoch(remaining, cause)
}

// nextEpoch returns the state at the start of the next epoch, in which the holdings
// of the members are collected.
func (s State) nextEpoch(members []string, cause string) State {
	sort.Strings(members)
	return State{Epoch: s.Epoch + 1, Members: members, Collecting: true, Cause: cause, Teams: s.Teams}
}

// Close ends the collecting phase of an epoch: for each team, the units missing
// from TotalUnits are granted to the members in equal parts. It returns false while
// the epoch is not collecting, has no members, or lacks the holdings of a member.
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
