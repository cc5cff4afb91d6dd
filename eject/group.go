package eject

import (
	"slices"
	"time"
)

// Candidate is a database of a group as one VM sees it.
type Candidate struct {
	Ejected time.Duration // how much longer the database is ejected, zero if it is not
	Usable  bool          // the database could run the statement
}

// LeftOut reports which candidates are left out: the ejected ones, as long as at least one
// candidate stays, and a third of them in a larger group. Where too many are ejected, those
// whose ejection ends first stay. A database that fails a part of its statements serves
// more than none, and the others would not bear the load of the whole group.
func LeftOut(list []Candidate) []bool {
	out := make([]bool, len(list))
	var usable int
	var ejected []int
	for i, c := range list {
		switch {
		case !c.Usable:
		case c.Ejected > 0:
			usable++
			ejected = append(ejected, i)
		default:
			usable++
		}
	}
	spare := usable - max(1, (usable+2)/3)
	slices.SortStableFunc(ejected, func(a, b int) int { return int(list[b].Ejected - list[a].Ejected) })
	for _, i := range ejected[:max(0, min(len(ejected), spare))] {
		out[i] = true
	}
	return out
}
