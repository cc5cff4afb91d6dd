package lease

import (
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/pollendoor/pollendoor"
)

// Holder is a process of a replica that may hold acknowledged commits.
type Holder struct {
	ID   string
	Born int64  // start of the process in Unix milliseconds, zero if it is not known
	Addr string // IP and port
}

// holderOf returns the holder that a target's entry describes.
func holderOf(t pollendoor.TargetInfo) Holder { return Holder{t.ID, t.Born, t.Addr} }

// isProcess reports whether the entry of a target is that of the holder's process, as far as
// that is known.
func (h Holder) isProcess(t pollendoor.TargetInfo) bool {
	return t.ID == h.ID && (t.Born == h.Born || t.Born == 0 || h.Born == 0)
}

// Holders are the replicas of a group that may hold acknowledged commits of the present
// epoch, if commits are acknowledged once replicas have received them. They are kept as text,
// ID@BORN@ADDR separated by blanks and in order, so that a Group stays comparable.
type Holders string

// NewHolders returns the text of a list of holders.
func NewHolders(list []Holder) Holders {
	words := make([]string, 0, len(list))
	for _, h := range list {
		words = append(words, h.ID+"@"+strconv.FormatInt(h.Born, 10)+"@"+h.Addr)
	}
	slices.Sort(words)
	return Holders(strings.Join(slices.Compact(words), " "))
}

// List returns the holders. Words that are not understood are left out.
func (s Holders) List() []Holder {
	var list []Holder
	for word := range strings.FieldsSeq(string(s)) {
		id, rest, _ := strings.Cut(word, "@")
		born, addr, ok := strings.Cut(rest, "@")
		n, err := strconv.ParseInt(born, 10, 64)
		if ok && err == nil {
			list = append(list, Holder{id, n, addr})
		}
	}
	return list
}

// HolderWatch decides which replicas of a group the record names as holders. The zero value
// is ready for use.
type HolderWatch struct {
	lastListed map[string]map[Holder]time.Duration // by group, when a holder was last listed
}

// Next returns a group with the holders that it should have: those that are listed, and those
// that were listed within lostTargetTimeout. Only the leader's own time counts, so that a new
// leader keeps each holder at least as long. Reached is a position that the log of the primary
// has reached lately, zero if none is known. A holder that is left out may be the only replica
// with commits up to it, so it becomes the start that others have to reach.
func (w *HolderWatch) Next(group string, g Group, listed []pollendoor.TargetInfo, reached pollendoor.Position, now time.Duration) Group {
	if w.lastListed == nil {
		w.lastListed = make(map[string]map[Holder]time.Duration)
	}
	seen := w.lastListed[group]
	if seen == nil {
		seen = make(map[Holder]time.Duration)
		w.lastListed[group] = seen
	}
	recorded := g.Holders.List()
	for _, h := range recorded {
		if _, ok := seen[h]; !ok {
			seen[h] = now
		}
	}
	for _, t := range listed {
		seen[holderOf(t)] = now
	}
	var list []Holder
	for h, at := range seen {
		isRecorded := slices.Contains(recorded, h)
		if now-at >= lostTargetTimeout && !(isRecorded && reached.IsZero()) {
			delete(seen, h)
			if isRecorded && reached.Newer(g.Start) {
				g.Start = reached
			}
		} else if h.ID != g.Primary {
			list = append(list, h)
		}
	}
	return g.WithHolders(NewHolders(list))
}

// Settle returns the state of a moving group whose primary from now on is the target of c, in
// term t. It names the primary's process and, if commits are acknowledged once replicas have
// received them, the holders and the start of the term.
func (w *HolderWatch) Settle(group string, g Group, c Candidate, t pollendoor.Term, syncReplicas int, listed []pollendoor.TargetInfo, now time.Duration) Group {
	settled := g.Settle(c.Target.ID, t)
	settled.Born = c.Target.Born
	if syncReplicas == 0 {
		return settled
	}
	settled.Start = c.position()
	if c.Target.ID == g.Primary && t == g.Term {
		settled.Start = g.Start
	}
	// Replicas that are not listed now may hold commits of a primary that stays, and may
	// receive those of another one. So may the former primary, whichever process it is.
	holders := g.Holders.List()
	if g.Primary != "" && !slices.ContainsFunc(listed, func(t pollendoor.TargetInfo) bool { return t.ID == g.Primary }) {
		holders = append(holders, Holder{ID: g.Primary})
	}
	return w.Next(group, settled.WithHolders(NewHolders(holders)), listed, c.position(), now)
}
