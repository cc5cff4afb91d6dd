package fleet

import (
	"time"

	"github.com/pollendoor/pollendoor"
)

// leastTime is the time below which work is not offered to another home.
const leastTime = 30 * time.Millisecond

// turn runs work at a target through its home, or through another VM that
// reaches it.
type turn struct {
	vm     *VM
	target pollendoor.TargetInfo
	team   string
	inner  pollendoor.Turn // once the work has been taken
}

// Do runs one statement. Homes that can't be reached, or don't reach the target,
// are passed over as long as nothing was sent to it.
func (t *turn) Do(w *pollendoor.Work) pollendoor.Reply {
	if t.inner != nil {
		return t.note(t.inner.Do(w))
	}
	r := pollendoor.Reply{Code: pollendoor.ErrMisrouted, Text: "no VM reaches the target", State: 'I'}
	deadline := time.Now().Add(w.Timeout)
	for i, p := range t.vm.homes.choose(t.target) {
		// What earlier homes have used up is gone.
		w.Timeout = time.Until(deadline)
		if i == homesTried || w.Timeout < leastTime {
			break
		}
		var inner pollendoor.Turn
		if p.Name == t.vm.Settings.VM {
			inner = t.vm.homes.broker(t.target).Open(t.team)
		} else {
			l, err := t.vm.lanes.take(p)
			if err != nil {
				t.vm.homes.shun(p.Name)
				t.vm.Log.Warn().Err(err).Str("peer", p.Name).Str("target", t.target.ID).Str("id", w.ID).Msg("home not reached, trying another VM")
				r = pollendoor.Reply{Code: pollendoor.ErrMisrouted, Text: "the target's home was not reached", State: 'I'}
				continue
			}
			inner = l
		}
		r = inner.Do(w)
		if r.Code == pollendoor.ErrMisrouted && !r.Sent {
			inner.Close()
			continue
		}
		t.inner = inner
		return t.note(r)
	}
	return r
}

func (t *turn) note(r pollendoor.Reply) pollendoor.Reply {
	t.vm.homes.noteDelay(t.target.ID, r.Delay)
	return r
}

// Close ends the turn.
func (t *turn) Close() {
	if t.inner != nil {
		t.inner.Close()
		t.inner = nil
	}
}
