package fleet

import (
	"time"

	"github.com/pollendoor/pollendoor"
	"github.com/pollendoor/pollendoor/clock"
)

// replicaLag is how far a replica's log was behind that of its primary.
type replicaLag struct {
	lag  time.Duration
	seen time.Duration // time of the answer that showed it, on the boot clock
}

// noteLag records how far a replica of an adaptive group is behind, from the position in
// its answer: the time since the primary's log reached that position.
func (v *VM) noteLag(target string, r *pollendoor.Reply) {
	if r.Lost || r.Position.IsZero() {
		return
	}
	c := v.Config()
	t, ok := v.targets.Get(target)
	if c == nil || !ok || !c.Groups[t.Group].Adaptive || v.lease.Load().Record.Groups[t.Group].Primary == target {
		return
	}
	now := clock.Now()
	if lag, ok := v.positionRing(t.Group).Lag(r.Position, now); ok {
		v.replicaLags.Store(target, replicaLag{lag, now})
	}
}

// forgetLags removes the lags of targets that are gone.
func (v *VM) forgetLags(gone []string) {
	for _, id := range gone {
		v.replicaLags.Delete(id)
	}
}
