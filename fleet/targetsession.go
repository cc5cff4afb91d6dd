package fleet

import (
	"time"

	"github.com/pollendoor/pollendoor"
	"github.com/pollendoor/pollendoor/vmlist"
)

// minWorkTime is the remaining time below which work is not offered to another home
// VM.
const minWorkTime = 30 * time.Millisecond

// targetSession runs work at a target through its home VM, or through another VM
// that reaches the target.
type targetSession struct {
	vm       *VM
	target   pollendoor.TargetInfo
	team     string
	accepted pollendoor.TargetSession // session that has accepted the work, nil before that
}

// Do runs one statement. VMs that can't be reached, or that don't reach the target,
// are skipped as long as nothing has been sent to the target.
func (t *targetSession) Do(w *pollendoor.Work) pollendoor.Reply {
	if t.vm.adaptive(t.target.Group) {
		t.vm.homeVMs.notePending(t.target.ID, 1)
		defer t.vm.homeVMs.notePending(t.target.ID, -1)
	}
	if t.accepted != nil {
		return t.noteReply(w, t.accepted.Do(w))
	}
	r := pollendoor.Reply{Code: pollendoor.ErrMisrouted, Text: "no VM reaches the target", State: 'I'}
	deadline := time.Now().Add(w.Timeout)
	for i, p := range t.vm.homeVMs.choosePeers(t.target) {
		if !t.mayForward(w, p) {
			continue
		}
		// Earlier attempts have used up part of the time.
		w.Timeout = time.Until(deadline)
		if i == maxHomesTried || w.Timeout < minWorkTime {
			break
		}
		var session pollendoor.TargetSession
		if p.Name == t.vm.Settings.VM {
			session = t.vm.homeVMs.broker(t.target).Open(t.team)
		} else {
			st, err := t.vm.streams.acquire(p)
			if err != nil {
				t.vm.homeVMs.avoidPeer(p.Name)
				t.vm.Log.Warn().Err(err).Str("peer", p.Name).Str("target", t.target.ID).Str("id", w.ID).Msg("home VM not reached, trying another VM")
				r = pollendoor.Reply{Code: pollendoor.ErrMisrouted, Text: "the target's home VM was not reached", State: 'I'}
				continue
			}
			session = st
		}
		r = session.Do(w)
		if r.Code == pollendoor.ErrMisrouted && !r.Sent {
			session.Close()
			continue
		}
		t.accepted = session
		return t.noteReply(w, r)
	}
	return r
}

// mayForward reports whether a statement may be sent to a VM: its text stays in the regions
// whose targets may run it, and in this VM's own region.
func (t *targetSession) mayForward(w *pollendoor.Work, p vmlist.Peer) bool {
	region := t.vm.RegionOf(p.Zone)
	return p.Name == t.vm.Settings.VM || region == t.vm.Settings.Region || w.Regions.Allow(region)
}

// noteReply records the load of the target that a reply reports.
func (t *targetSession) noteReply(w *pollendoor.Work, r pollendoor.Reply) pollendoor.Reply {
	if w.Elsewhere && r.Avoid > 0 && r.Code == pollendoor.ErrBusy && !r.Sent {
		t.vm.stats.EjectedRefused.Add(1)
	}
	t.vm.homeVMs.noteLoad(t.target.ID, &r)
	return r
}

// Close ends the session.
func (t *targetSession) Close() {
	if t.accepted != nil {
		t.accepted.Close()
		t.accepted = nil
	}
}
