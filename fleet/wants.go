package fleet

import (
	"time"

	"github.com/pollendoor/pollendoor/clock"
)

const (
	// wantLife is how long after its last read a group's positions are asked for.
	wantLife = 10 * time.Second
	// wantStep is the least time between two notes of a group's use, which are on
	// the path of every read.
	wantStep = time.Second
	// wantMost bounds the groups that one heartbeat asks for: their positions fit
	// into a datagram without fragments. With more of them each heartbeat asks for
	// the next ones.
	wantMost = 48
)

// wantsPositions notes that a read needs a group's positions. The first one does not
// find any, and goes to the primary.
func (v *VM) wantsPositions(group string) {
	now := clock.Now()
	if at, ok := v.used.Load(group); ok && now-at.(time.Duration) < wantStep {
		return
	}
	v.used.Store(group, now)
}

// wants returns the groups to ask the holder for.
func (v *VM) wants(now time.Duration) []string {
	var list []string
	v.used.Range(func(group, at any) bool {
		if now-at.(time.Duration) > wantLife {
			v.used.Delete(group)
		} else {
			list = append(list, group.(string))
		}
		return true
	})
	return turns(list, wantMost, &v.asked)
}

// turns returns up to most of the list, going on where it stopped the last time.
func turns(list []string, most int, from *int) []string {
	if len(list) <= most {
		return list
	}
	out := make([]string, 0, most)
	for range most {
		*from = (*from + 1) % len(list)
		out = append(out, list[*from])
	}
	return out
}
