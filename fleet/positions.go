package fleet

import (
	"time"

	"github.com/pollendoor/pollendoor/clock"
)

const (
	// wantLife is how long after its last read a group's positions are asked for.
	positionsUsedLife = 10 * time.Second
	// wantStep is the least time between two notes of a group's use, which are on
	// the path of every read.
	positionsUsedStep = time.Second
	// wantMost bounds the groups that one heartbeat asks for: their positions fit
	// into a datagram without fragments. With more of them each heartbeat asks for
	// the next ones.
	maxWantedGroups = 48
)

// wantsPositions notes that a read needs a group's positions. The first one does not
// find any, and goes to the primary.
func (v *VM) notePositionsUsed(group string) {
	now := clock.Now()
	if at, ok := v.positionsUsed.Load(group); ok && now-at.(time.Duration) < positionsUsedStep {
		return
	}
	v.positionsUsed.Store(group, now)
}

// wants returns the groups to ask the holder for.
func (v *VM) wantedGroups(now time.Duration) []string {
	var list []string
	v.positionsUsed.Range(func(group, at any) bool {
		if now-at.(time.Duration) > positionsUsedLife {
			v.positionsUsed.Delete(group)
		} else {
			list = append(list, group.(string))
		}
		return true
	})
	return rotate(list, maxWantedGroups, &v.wantedCursor)
}

// turns returns up to most of the list, going on where it stopped the last time.
func rotate(list []string, limit int, cursor *int) []string {
	if len(list) <= limit {
		return list
	}
	out := make([]string, 0, limit)
	for range limit {
		*cursor = (*cursor + 1) % len(list)
		out = append(out, list[*cursor])
	}
	return out
}
