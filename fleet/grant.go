package fleet

import (
	"maps"
	"time"

	"github.com/pollendoor/pollendoor"
	"github.com/pollendoor/pollendoor/clock"
	"github.com/pollendoor/pollendoor/lease"
	"github.com/pollendoor/pollendoor/quota"
	"github.com/pollendoor/pollendoor/sample"
	"github.com/pollendoor/pollendoor/vmlist"
)

// serveSelf gives this VM what others get by heartbeats.
func (d *duty) serveSelf(now time.Duration) {
	v := d.vm
	d.mu.Lock()
	defer d.mu.Unlock()
	reports := make(map[string]lease.Report)
	for name, g := range d.state.Record.Groups {
		if r, _, ok := v.fate(name).report(g.Epoch, now); ok {
			reports[name] = r
		}
	}
	d.state.ReceiveHeartbeat(lease.Heartbeat{VM: v.Settings.VM, Version: d.state.Record.Version, Power: v.Settings.CPU, Zone: v.Settings.Zone, Reports: reports}, now)
	if l := d.state.Lease(v.Settings.VM, now); l > 0 {
		v.changeLease(func(own *lease.Lease) bool { return own.Adopt(d.state.Record, now, l) })
	}
	token := d.state.Record.Token
	v.rates.adopt(token, d.renew(v.self(), v.run, v.rates.report(token, now), now), now, now)
	d.refreshView(now, false)
	w := d.book.View()
	v.takeView(&w)
	v.beat.contact(now)
}

// division returns how rates may be divided now.
func (d *duty) division(now time.Duration) quota.Division {
	settling := d.state.SharesUnknown(quota.Life, now)
	switch {
	case settling && d.state.EarlierLeasesEnded(now):
		return quota.Known
	case settling:
		return quota.Held
	case !d.state.Proved(now):
		return quota.Frozen // another VM may have taken the duty over
	}
	return quota.Whole
}

// renew renews the shares that a VM reports. One that is no keeper can only give some
// up: the next holder would not know of what it is granted.
func (d *duty) renew(from vmlist.Peer, run uint64, held []quota.Holdings, now time.Duration) []quota.Grants {
	terms := quota.Terms{Zones: d.sharingZones(now), Division: d.division(now)}
	terms.VMs, terms.Unheard = d.state.QuotaHolders()
	out := make([]quota.Grants, quota.Sources)
	keeps := d.state.Record.Keeps(from.Name)
	for s, h := range held {
		if !keeps {
			maps.DeleteFunc(h.Teams, func(_ string, h quota.Holding) bool { return !h.Released })
		}
		if s < len(out) {
			r := quota.Report{VM: from.Name, Source: quota.Source(s), Zone: from.Zone, Run: run, Holdings: h}
			out[s] = d.pool.Renew(r, terms, now)
		}
	}
	return out
}

// sharingZones returns how many zones share a team's rate.
func (d *duty) sharingZones(now time.Duration) int {
	if d.state.Claimed+settleTime > now {
		return max(d.zones, len(d.vm.Settings.Zones)) // just after a claim not all VMs have been heard
	}
	return max(1, d.zones)
}

// countZones counts the zones that have VMs in the view.
func (d *duty) countZones() {
	zones := make(map[string]bool)
	for _, p := range d.book.View().Peers {
		zones[p.Zone] = true
	}
	d.zones = len(zones)
}

// refreshView follows the VMs that are heard and stay. A new holder keeps the view
// that it has until the others had time to report; left says that one of them has
// told that it leaves. Others come and go together, as one change.
func (d *duty) refreshView(now time.Duration, left bool) {
	if !left && now-d.viewed < viewPeriod {
		return
	}
	d.viewed = now
	live := d.state.Live(now)
	list := make([]vmlist.Peer, 0, len(live))
	for _, name := range live {
		if d.stays(name) {
			list = append(list, d.peers[name])
		}
	}
	if !left && now <= d.state.Claimed+2*beatPeriod && len(list) <= len(d.book.View().Peers) {
		return
	}
	if d.book.Set(list) {
		d.countZones()
	}
}

// beat takes a heartbeat and returns the answer, nil if this VM is not the
// holder.
func (d *duty) beat(p *packet, now time.Duration) *packet {
	v := d.vm
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.holding() {
		return nil
	}
	r := d.state.Record
	version, has := p.Version, lease.RecordVersion{Token: p.Token, Version: p.Version}
	if p.Token != r.Token {
		// It speaks of an earlier holder's record, clock and shares.
		version, p.Echo, p.Positions = 0, 0, nil
		for i := range p.Held {
			p.Held[i].Seq = 0
		}
	}
	d.state.ReceiveHeartbeat(lease.Heartbeat{VM: p.From.Name, Version: version, Echo: p.Echo, Promise: p.Promise, Bound: p.Bound, Power: p.Power, Zone: p.From.Zone, Reports: p.Reports}, now)
	listed := d.book.View()
	left := p.From.Leaving && listed.Has(p.From.Name)
	d.peers[p.From.Name] = p.From
	d.refreshView(now, left)
	if left {
		go d.poke() // all learn at once who takes its part
	}
	a := &packet{
		Kind: packetAnswer, Token: r.Token, Stamp: now, Echo: p.Stamp, Version: r.Version,
		Lease: d.state.Lease(p.From.Name, now), Positions: make(map[string]position),
		Sign: d.signs, Relay: p.Relay, To: p.From.IP, Want: now-d.state.Confirmed > wantAfter,
	}
	v.tellKnown(a)
	if version != r.Version {
		if a.Step = d.records.Since(has); a.Step == nil && small(&r) {
			a.Record = &storedRecord{Record: r, Run: v.run}
		}
	}
	a.Delta, a.View = d.book.Since(p.ViewSeen)
	for name, s := range p.Positions {
		if p.Echo > 0 {
			v.ring(name).Add(sample.Sample{Since: p.Echo + s.Since, Position: pollendoor.Position{Term: s.Term, Index: s.Index}})
		}
	}
	for _, name := range p.Wants {
		if s, ok := v.ring(name).Newest(); ok {
			a.Positions[name] = position{Since: s.Since - now, Term: s.Position.Term, Index: s.Position.Index}
		}
	}
	if d.state.Lease(v.Settings.VM, now) == 0 {
		return a // nobody uses primaries any longer by this holder's word
	}
	a.Shares = d.renew(p.From, p.Run, p.Held, now)
	return a
}

// smallRecord is the number of groups and members up to which a record travels in a
// datagram; a larger one is fetched over a lane.
const smallRecord = 160

func small(r *lease.Record) bool { return len(r.Groups)+len(r.Members) <= smallRecord }

// shareToken returns the token of the holder whose shares are in use.
func (v *VM) shareToken() uint64 {
	v.leaseMu.Lock()
	defer v.leaseMu.Unlock()
	return v.shareSeen
}

func (v *VM) setShareToken(t uint64) {
	v.leaseMu.Lock()
	defer v.leaseMu.Unlock()
	v.shareSeen = t
}

// applyDelta follows a change of the holder's view. One that starts from another
// version is left: the next heartbeat tells the holder what this VM has.
func (v *VM) applyDelta(d *vmlist.Delta) {
	if next, ok := v.view.Load().Apply(d); ok {
		v.takeView(&next)
	}
}

// takeView follows the holder's view of the VMs.
func (v *VM) takeView(w *vmlist.View) {
	old := v.view.Load()
	if old.Version == w.Version {
		return
	}
	n := *w
	watched := v.watches()
	leads := n.Coordinators(v.Settings.Zone, zoneLeads)
	v.view.Store(&n)
	v.leads.Store(&leads)
	v.stats.traffic.follow(n.Peers, v.distance)
	if watched && !v.watches() {
		// Another VM watches the store for this zone from now on.
		v.configs.nudge()
		v.entries.nudge()
	}
	v.rates.configure(max(len(n.Peers), 1))
	v.rates.know(v.Config())
	v.homes.refresh()
	v.beat.viewed(n.Has(v.Settings.VM), clock.Now())
	v.beat.wake() // shares have to follow their keepers
	v.logView(old, &n)
}

// namesLogged bounds the VMs that one log line names.
const namesLogged = 12

// logView logs what a new view changes.
func (v *VM) logView(old, w *vmlist.View) {
	var joined, gone []string
	for _, p := range w.Peers {
		if !old.Has(p.Name) && len(joined) < namesLogged {
			joined = append(joined, p.Name)
		}
	}
	for _, p := range old.Peers {
		if !w.Has(p.Name) && len(gone) < namesLogged {
			gone = append(gone, p.Name)
		}
	}
	v.Log.Info().Int("vms", len(w.Peers)).Strs("joined", joined).Strs("gone", gone).
		Uint64("version", w.Version).Uint64("before", old.Version).Msg("live VMs changed")
}
