package fleet

import (
	"maps"
	"slices"
	"time"

	"github.com/pollendoor/pollendoor"
	"github.com/pollendoor/pollendoor/clock"
	"github.com/pollendoor/pollendoor/lease"
	"github.com/pollendoor/pollendoor/quota"
	"github.com/pollendoor/pollendoor/sample"
	"github.com/pollendoor/pollendoor/vmlist"
)

// renewSelf renews the lease, the quota shares and the view of this VM, which is the
// leader. Other VMs get them in answers to heartbeats.
func (ld *leader) renewSelf(now time.Duration) {
	v := ld.vm
	ld.mu.Lock()
	defer ld.mu.Unlock()
	if !ld.isLeading() {
		return // the leadership was lost or handed over meanwhile
	}
	reports := make(map[string]lease.Report)
	for name, g := range ld.state.Record.Groups {
		if r, _, ok := v.primaryHealth(name).report(g.Epoch, now); ok {
			reports[name] = r
		}
	}
	ld.state.ReceiveHeartbeat(lease.Heartbeat{VM: v.Settings.VM, Version: ld.state.Record.Version, Power: v.Settings.CPU, Zone: v.Settings.Zone, Reports: reports}, now)
	length := ld.state.Lease(v.Settings.VM, now)
	if length > 0 {
		v.updateLease(func(own *lease.Lease) bool { return own.Adopt(ld.state.Record, now, length) })
	}
	token := ld.state.Record.Token
	v.admission.applyGrants(token, ld.renewQuota(v.selfPeer(), v.processID, v.admission.heldShares(token, now), v.admission.idleTime(now), length, now), length, now, now)
	ld.refreshView(now, false)
	if ld.viewReady(now) {
		w := ld.viewHistory.View()
		v.adoptView(&w)
	}
	v.messenger.noteLeaderContact(now)
	v.messenger.noteProof(ld.state.Confirmed)
}

// quotaDivision returns by which rule rates may be divided now.
func (ld *leader) quotaDivision(now time.Duration) quota.Division {
	sharesUnknown := ld.state.SharesUnknown(quota.GrantTTL, now)
	switch {
	case sharesUnknown && ld.state.EarlierLeasesEnded(now):
		return quota.DivideReported
	case sharesUnknown:
		return quota.DivideUnexpired
	case !ld.state.Proved(now):
		return quota.DivideFrozen // another VM may have claimed the leadership
	}
	return quota.DivideWhole
}

// renewQuota renews the quota shares that a VM reports. A VM that is not a keeper
// can only release shares: the next leader would not receive a report of shares
// granted to it. Idle is the time since the VM's process started or last admitted an
// operation. LeaseTime is the lease that the VM is granted with its shares.
func (ld *leader) renewQuota(from vmlist.Peer, processID uint64, held []quota.HeldShares, idle, leaseTime, now time.Duration) []quota.Grants {
	conditions := quota.Conditions{
		Zones: ld.quotaZones(now), Division: ld.quotaDivision(now), Lease: leaseTime,
		Members: ld.state.Record.Members, Tolerance: ld.vm.Settings.tolerance(),
		Claimed: ld.state.Claimed,
		Peers:   max(ld.vm.admission.peers(), len(ld.state.Record.Members)), Spare: ld.spareAvailable && now < ld.state.Claimed+spareTime,
	}
	conditions.VMs, conditions.Unreported = ld.state.QuotaHolders()
	if c := ld.vm.Config(); c != nil {
		conditions.Limits = c.Teams
	}
	out := make([]quota.Grants, quota.NumSources)
	isKeeper := ld.state.Record.IsKeeper(from.Name)
	if slices.ContainsFunc(held, quota.HeldShares.InUse) {
		idle = min(idle, 0)
	}
	ld.quotaPool.Observe(from.Name, idle, isKeeper, now)
	for s, h := range held {
		if !isKeeper {
			maps.DeleteFunc(h.Teams, func(_ string, h quota.HeldShare) bool { return !h.Released })
		}
		if s < len(out) {
			r := quota.Report{VM: from.Name, Source: quota.Source(s), Zone: from.Zone, Run: processID, HeldShares: h}
			out[s] = ld.quotaPool.Renew(r, conditions, now)
		}
	}
	return out
}

// quotaZones returns how many zones share a team's rate.
func (ld *leader) quotaZones(now time.Duration) int {
	if ld.state.Claimed+settleTime > now {
		return max(ld.zoneCount, len(ld.vm.Settings.Zones)) // just after a claim some VMs have not sent a heartbeat yet
	}
	return max(1, ld.zoneCount)
}

// countZones counts the zones that have VMs in the view.
func (ld *leader) countZones() {
	zones := make(map[string]bool)
	for _, p := range ld.viewHistory.View().Peers {
		zones[p.Zone] = true
	}
	ld.zoneCount = len(zones)
}

// refreshView sets the view to the VMs that send heartbeats and are not leaving. A
// new leader keeps the view that it has until the others had time to send
// heartbeats. peerLeft says that a VM has announced that it leaves, which takes
// effect immediately; other changes of the view are made together, once per
// viewPeriod.
func (ld *leader) refreshView(now time.Duration, peerLeft bool) {
	if !peerLeft && now-ld.viewRefreshed < viewPeriod {
		return
	}
	ld.viewRefreshed = now
	live := ld.state.Live(now)
	list := make([]vmlist.Peer, 0, len(live))
	for _, name := range live {
		if ld.isStaying(name) {
			list = append(list, ld.peers[name])
		}
	}
	if !peerLeft && now <= ld.state.Claimed+2*heartbeatPeriod && len(list) <= len(ld.viewHistory.View().Peers) {
		return
	}
	if ld.viewHistory.Set(list) {
		ld.countZones()
	}
}

// viewReady reports whether the view may be sent to VMs. When it becomes ready, all VMs
// are asked for a heartbeat.
func (ld *leader) viewReady(now time.Duration) bool {
	if ld.viewHeld && (ld.state.AllMembersReported() || now >= ld.state.Claimed+viewSettleTime) {
		ld.viewHeld = false
		ld.refreshView(now, true)
		go ld.broadcastRecord()
	}
	return !ld.viewHeld
}

// addKeptTeams adds to the report of a VM without a view the teams whose keeper it is
// according to the view in the answer, so that the answer has its first shares.
func (ld *leader) addKeptTeams(p *packet) {
	c := ld.vm.Config()
	if c == nil || len(p.HeldShares) != int(quota.NumSources) {
		return
	}
	w, r := ld.viewHistory.View(), ld.state.Record
	ld.keptTeams.update(&w, &r)
	for team := range c.Teams {
		k := ld.keptTeams.keepersOf(p.From.Zone, team, ld.vm.Settings.Zones)
		for s := range p.HeldShares {
			if _, ok := p.HeldShares[s].Teams[team]; ok || k.first(quota.Source(s)) != p.From.Name {
				continue
			}
			if p.HeldShares[s].Teams == nil {
				p.HeldShares[s].Teams = make(map[string]quota.HeldShare)
			}
			p.HeldShares[s].Teams[team] = quota.HeldShare{}
		}
	}
}

// handleHeartbeat handles a heartbeat and returns the answer, or nil if this VM is
// not the leader.
func (ld *leader) handleHeartbeat(p *packet, now time.Duration) *packet {
	v := ld.vm
	ld.mu.Lock()
	defer ld.mu.Unlock()
	if !ld.isLeading() {
		if v.view.Load().Version == 0 && len(ld.earlyPeers) < maxEarlyPeers {
			if ld.earlyPeers == nil {
				ld.earlyPeers = make(map[string]vmlist.Peer)
			}
			ld.earlyPeers[p.From.Name] = p.From
		}
		return nil
	}
	r := ld.state.Record
	version, known := p.RecordVersion, lease.RecordVersion{Token: p.Token, Version: p.RecordVersion}
	if p.Token != r.Token {
		// The heartbeat refers to an earlier leader's record, clock and shares.
		version, p.Echo, p.Positions = 0, 0, nil
		for i := range p.HeldShares {
			p.HeldShares[i].Seq = 0
		}
	}
	ld.state.ReceiveHeartbeat(lease.Heartbeat{VM: p.From.Name, Process: p.ProcessID, Version: version, Echo: p.Echo, Promise: p.Promise, Hold: p.Hold, Bound: p.PromiseLeft, Granted: p.GrantedLeft, Power: p.CPUShare, Zone: p.From.Zone, Reports: p.Reports}, now)
	listed := ld.viewHistory.View()
	ld.noteProved()
	peerLeft := p.From.Leaving && listed.Has(p.From.Name)
	ld.peers[p.From.Name] = p.From
	ld.refreshView(now, peerLeft)
	if peerLeft {
		go ld.broadcastRecord() // so that all VMs immediately receive the change of its roles
	}
	a := &packet{
		Kind: packetAnswer, Token: r.Token, Stamp: now, Echo: p.Stamp, RecordVersion: r.Version,
		Lease: ld.state.Lease(p.From.Name, now), ProofAge: now - ld.state.Confirmed, Positions: make(map[string]position),
		Liveness: ld.livenessCounter, RelayIP: p.RelayIP, AnswerIP: p.From.IP, WantPromise: now-ld.state.Confirmed > promiseWantedAfter,
	}
	v.setKnownVersions(a)
	if version != r.Version {
		if a.RecordDelta = ld.recordHistory.Since(known); a.RecordDelta == nil && fitsDatagram(&r) {
			a.Record = &storedRecord{Record: r, ProcessID: v.processID}
		}
	}
	viewReady := ld.viewReady(now)
	if viewReady {
		a.ViewDelta, a.View = ld.viewHistory.Since(p.ViewVersion)
	}
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
	if ld.state.Lease(v.Settings.VM, now) == 0 {
		return a // no VM may use primaries any longer by leases of this leader
	}
	if viewReady && p.ViewVersion == 0 {
		ld.addKeptTeams(p)
	}
	a.QuotaGrants = ld.renewQuota(p.From, p.ProcessID, p.HeldShares, p.Idle, a.Lease, now)
	return a
}

// maxDatagramRecord is the number of groups and members up to which a record is sent
// in a datagram. A larger record is fetched over a stream.
const maxDatagramRecord = 160

// fitsDatagram reports whether a record is small enough for a datagram.
func fitsDatagram(r *lease.Record) bool { return len(r.Groups)+len(r.Members) <= maxDatagramRecord }

// quotaToken returns the token of the leader whose quota shares are in use.
func (v *VM) quotaToken() uint64 {
	v.leaseMu.Lock()
	defer v.leaseMu.Unlock()
	return v.grantToken
}

// setQuotaToken sets the token that quotaToken returns.
func (v *VM) setQuotaToken(t uint64) {
	v.leaseMu.Lock()
	defer v.leaseMu.Unlock()
	v.grantToken = t
}

// applyViewDelta applies a change of the leader's view. A delta that starts from
// another version is ignored: the next heartbeat reports this VM's version to the
// leader.
func (v *VM) applyViewDelta(d *vmlist.Delta) {
	if next, ok := v.view.Load().ApplyDelta(d); ok {
		v.adoptView(&next)
	}
}

// adoptView adopts the leader's view of the VMs.
func (v *VM) adoptView(w *vmlist.View) {
	old := v.view.Load()
	if old.Version == w.Version {
		return
	}
	n := *w
	wasWatcher := v.isWatcher()
	coordinators := n.Coordinators(v.Settings.Zone, coordinatorsPerZone)
	v.view.Store(&n)
	v.coordinators.Store(&coordinators)
	v.stats.traffic.setDistances(n.Peers, v.distance)
	if wasWatcher && !v.isWatcher() {
		// From now on another VM watches the store for this zone.
		v.configFollower.relist()
		v.targetFollower.relist()
		v.evacuationFollower.relist()
	}
	v.admission.configure(max(len(n.Peers), len(v.lease.Load().Record.Members)))
	v.admission.updateTeams(v.Config())
	v.homeVMs.refresh()
	v.messenger.noteListed(n.Has(v.Settings.VM), clock.Now())
	v.messenger.wake() // quota shares have to move to their new keepers
	v.logViewChange(old, &n)
}

// maxNamesLogged bounds the VM names in one log line.
const maxNamesLogged = 12

// logViewChange logs which VMs a new view adds and removes.
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
