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
func (d *leader) renewSelf(now time.Duration) {
	v := d.vm
	d.mu.Lock()
	defer d.mu.Unlock()
	reports := make(map[string]lease.Report)
	for name, g := range d.state.Record.Groups {
		if r, _, ok := v.primaryHealth(name).report(g.Epoch, now); ok {
			reports[name] = r
		}
	}
	d.state.Heard(lease.Heartbeat{VM: v.Settings.VM, Version: d.state.Record.Version, Power: v.Settings.CPU, Zone: v.Settings.Zone, Reports: reports}, now)
	if l := d.state.Lease(v.Settings.VM, now); l > 0 {
		v.updateLease(func(own *lease.Lease) bool { return own.Adopt(d.state.Record, now, l) })
	}
	token := d.state.Record.Token
	v.admission.adoptGrants(token, d.renewQuota(v.selfPeer(), v.processID, v.admission.reportHoldings(token, now), now), now, now)
	d.refreshView(now, false)
	w := d.viewHistory.View()
	v.adoptView(&w)
	v.messenger.noteLeaderContact(now)
}

// division returns how rates may be divided now.
func (d *leader) quotaDivision(now time.Duration) quota.Division {
	settling := d.state.Settling(quota.Life, now)
	switch {
	case settling && d.state.Clear(now):
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
func (d *leader) renewQuota(from vmlist.Peer, run uint64, holdings []quota.Holdings, now time.Duration) []quota.Grants {
	terms := quota.Terms{Zones: d.quotaZones(now), Division: d.quotaDivision(now)}
	terms.VMs, terms.Unheard = d.state.Sharers()
	out := make([]quota.Grants, quota.Sources)
	isKeeper := d.state.Record.Keeps(from.Name)
	for s, h := range holdings {
		if !isKeeper {
			maps.DeleteFunc(h.Teams, func(_ string, h quota.Holding) bool { return !h.Released })
		}
		if s < len(out) {
			r := quota.Report{VM: from.Name, Source: quota.Source(s), Zone: from.Zone, Run: run, Holdings: h}
			out[s] = d.quotaPool.Renew(r, terms, now)
		}
	}
	return out
}

// sharingZones returns how many zones share a team's rate.
func (d *leader) quotaZones(now time.Duration) int {
	if d.state.Claimed+settleTime > now {
		return max(d.zoneCount, len(d.vm.Settings.Zones)) // just after a claim not all VMs have been heard
	}
	return max(1, d.zoneCount)
}

// countZones counts the zones that have VMs in the view.
func (d *leader) countZones() {
	zones := make(map[string]bool)
	for _, p := range d.viewHistory.View().Peers {
		zones[p.Zone] = true
	}
	d.zoneCount = len(zones)
}

// refreshView follows the VMs that are heard and stay. A new holder keeps the view
// that it has until the others had time to report; left says that one of them has
// told that it leaves. Others come and go together, as one change.
func (d *leader) refreshView(now time.Duration, peerLeft bool) {
	if !peerLeft && now-d.viewRefreshed < viewPeriod {
		return
	}
	d.viewRefreshed = now
	live := d.state.Live(now)
	list := make([]vmlist.Peer, 0, len(live))
	for _, name := range live {
		if d.isStaying(name) {
			list = append(list, d.peers[name])
		}
	}
	if !peerLeft && now <= d.state.Claimed+2*heartbeatPeriod && len(list) <= len(d.viewHistory.View().Peers) {
		return
	}
	if d.viewHistory.Set(list) {
		d.countZones()
	}
}

// beat takes a heartbeat and returns the answer, nil if this VM is not the
// holder.
func (d *leader) handleHeartbeat(p *packet, now time.Duration) *packet {
	v := d.vm
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.isLeading() {
		return nil
	}
	r := d.state.Record
	version, known := p.RecordVersion, lease.Edition{Token: p.Token, Version: p.RecordVersion}
	if p.Token != r.Token {
		// It speaks of an earlier holder's record, clock and shares.
		version, p.Echo, p.Positions = 0, 0, nil
		for i := range p.QuotaHeld {
			p.QuotaHeld[i].Seq = 0
		}
	}
	d.state.Heard(lease.Heartbeat{VM: p.From.Name, Version: version, Echo: p.Echo, Promise: p.Promise, Bound: p.PromiseLeft, Power: p.CPUShare, Zone: p.From.Zone, Reports: p.Reports}, now)
	listed := d.viewHistory.View()
	peerLeft := p.From.Leaving && listed.Has(p.From.Name)
	d.peers[p.From.Name] = p.From
	d.refreshView(now, peerLeft)
	if peerLeft {
		go d.broadcastRecord() // all learn at once who takes its part
	}
	a := &packet{
		Kind: packetAnswer, Token: r.Token, Stamp: now, Echo: p.Stamp, RecordVersion: r.Version,
		Lease: d.state.Lease(p.From.Name, now), Positions: make(map[string]position),
		Liveness: d.livenessCounter, RelayIP: p.RelayIP, AnswerIP: p.From.IP, WantPromise: now-d.state.Confirmed > promiseWantedAfter,
	}
	v.setKnownVersions(a)
	if version != r.Version {
		if a.RecordDelta = d.recordHistory.Since(known); a.RecordDelta == nil && fitsDatagram(&r) {
			a.Record = &storedRecord{Record: r, ProcessID: v.processID}
		}
	}
	a.ViewDelta, a.View = d.viewHistory.Since(p.ViewVersion)
	for name, s := range p.Positions {
		if p.Echo > 0 {
			v.positionRing(name).Add(sample.Sample{Since: p.Echo + s.Since, Position: pollendoor.Position{Term: s.Term, Index: s.Index}})
		}
	}
	for _, name := range p.WantedGroups {
		if s, ok := v.positionRing(name).Newest(); ok {
			a.Positions[name] = position{Since: s.Since - now, Term: s.Position.Term, Index: s.Position.Index}
		}
	}
	if d.state.Lease(v.Settings.VM, now) == 0 {
		return a // nobody uses primaries any longer by this holder's word
	}
	a.QuotaGrants = d.renewQuota(p.From, p.ProcessID, p.QuotaHeld, now)
	return a
}

// smallRecord is the number of groups and members up to which a record travels in a
// datagram; a larger one is fetched over a lane.
const maxDatagramRecord = 160

func fitsDatagram(r *lease.Record) bool { return len(r.Groups)+len(r.Members) <= maxDatagramRecord }

// shareToken returns the token of the holder whose shares are in use.
func (v *VM) quotaToken() uint64 {
	v.leaseMu.Lock()
	defer v.leaseMu.Unlock()
	return v.grantToken
}

func (v *VM) setQuotaToken(t uint64) {
	v.leaseMu.Lock()
	defer v.leaseMu.Unlock()
	v.grantToken = t
}

// applyDelta follows a change of the holder's view. One that starts from another
// version is left: the next heartbeat tells the holder what this VM has.
func (v *VM) applyViewDelta(d *vmlist.Delta) {
	if next, ok := v.view.Load().Apply(d); ok {
		v.adoptView(&next)
	}
}

// takeView follows the holder's view of the VMs.
func (v *VM) adoptView(w *vmlist.View) {
	old := v.view.Load()
	if old.Version == w.Version {
		return
	}
	n := *w
	wasWatcher := v.isWatcher()
	coordinators := n.Leads(v.Settings.Zone, coordinatorsPerZone)
	v.view.Store(&n)
	v.coordinators.Store(&coordinators)
	v.stats.traffic.setDistances(n.Peers, v.distance)
	if wasWatcher && !v.isWatcher() {
		// Another VM watches the store for this zone from now on.
		v.configFollower.relist()
		v.targetFollower.relist()
	}
	v.admission.configure(max(len(n.Peers), 1))
	v.admission.updateTeams(v.Config())
	v.homeVMs.refresh()
	v.messenger.noteListed(n.Has(v.Settings.VM), clock.Now())
	v.messenger.wake() // shares have to follow their keepers
	v.logViewChange(old, &n)
}

// namesLogged bounds the VMs that one log line names.
const maxNamesLogged = 12

// logView logs what a new view changes.
func (v *VM) logViewChange(old, w *vmlist.View) {
	var joined, gone []string
	for _, p := range w.Peers {
		if !old.Has(p.Name) && len(joined) < maxNamesLogged {
			joined = append(joined, p.Name)
		}
	}
	for _, p := range old.Peers {
		if !w.Has(p.Name) && len(gone) < maxNamesLogged {
			gone = append(gone, p.Name)
		}
	}
	v.Log.Info().Int("vms", len(w.Peers)).Strs("joined", joined).Strs("gone", gone).
		Uint64("version", w.Version).Uint64("before", old.Version).Msg("live VMs changed")
}
