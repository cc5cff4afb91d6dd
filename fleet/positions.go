package fleet

import (
	"time"

	"github.com/pollendoor/pollendoor/clock"
)

const (
	// positionsUsedLife is how long after the last read of a group its positions are
	// requested from the leader.
	positionsUsedLife = 10 * time.Second
	// positionsUsedStep is the minimum time between two updates of a group's last
	// use, which are on the path of every read.
	positionsUsedStep = time.Second
	// maxWantedGroups bounds the groups that one heartbeat requests, so that their
	// positions fit into a datagram without fragments. With more groups each
	// heartbeat requests the next ones in turn.
	maxWantedGroups = 48
)

// notePositionsUsed records that a read needs a group's positions. The first such
// read finds none and goes to the primary.
func (v *VM) notePositionsUsed(group string) {
	now := clock.Now()
	if at, ok := v.positionsUsed.Load(group); ok && now-at.(time.Duration) < positionsUsedStep {
		return
	}
	v.positionsUsed.Store(group, now)
}

// wantedGroups returns the groups whose positions the next heartbeat requests.
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

// rotate returns up to limit elements of list, continuing where the previous call
// with the same cursor stopped.
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
