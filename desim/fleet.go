package desim

import (
	"fmt"
	"time"

	"github.com/pollendoor/pollendoor/broker"
	"github.com/pollendoor/pollendoor/lease"
	"github.com/pollendoor/pollendoor/quota"
)

// vm is a VM with what it decides from.
type vm struct {
	model   *model
	name    string
	zone    int
	process uint64
	up      bool
	gone    bool // lost for good
	started time.Duration
	lease   lease.Lease
	stamp   lease.Stamp
	bound   time.Duration // until when it has promised to confirm no other leader's record
	noClaim time.Duration // until when it has promised to claim no leadership
	heard   time.Duration // when the leader last answered
	buckets [quota.NumSources]quota.Buckets
	lead    lease.Leader // used while the VM leads
	pool    quota.Pool
	spare   bool // whether v may grant the spare tolerance
}

// startFleet creates VMs and targets and starts them.
func (m *model) startFleet() {
	for z := range m.Zones {
		m.vms = append(m.vms, &vm{model: m, name: fmt.Sprintf("vm%d", z), zone: z})
	}
	for g := range m.Groups {
		list := make([]*target, m.Zones)
		for z := range list {
			list[z] = &target{home: m.vms[z], primary: z == g%m.Zones, freeAt: make([]time.Duration, m.Slots)}
		}
		m.targets = append(m.targets, list)
	}
	names := make([]string, m.Zones)
	for i, v := range m.vms {
		names[i] = v.name
	}
	m.store = lease.Record{Version: 1, Members: names, Groups: map[string]lease.Group{group: {Epoch: 1, Primary: "p", Term: 1}}}
	m.startVMs()
}

// losePower stops all VMs. Their connections stay open at the targets for lingerTime.
func (m *model) losePower() {
	m.leader = nil
	for _, v := range m.vms {
		v.up = false
	}
	for _, list := range m.targets {
		for _, t := range list {
			open := t.scheduler.Open()
			t.lingering += open
			t.outages++
			t.scheduler = broker.Scheduler{}
			m.after(lingerTime, func() { t.lingering -= open })
		}
	}
}

// loseLeader removes the leader's VM. The VM of the next zone becomes the home VM of
// its targets.
func (m *model) loseLeader() {
	lost := m.leader
	if lost == nil {
		return
	}
	lost.gone, m.leader = true, nil
	for _, list := range m.targets {
		for _, t := range list {
			if t.home == lost {
				t.home = m.vms[(lost.zone+1)%m.Zones]
			}
		}
	}
}

// startVMs starts the VMs that do not run.
func (m *model) startVMs() {
	for _, v := range m.vms {
		if v.up || v.gone {
			continue
		}
		v.process++
		v.up, v.started, v.heard = true, m.now, m.now
		v.lease, v.stamp, v.bound, v.noClaim = lease.Lease{}, lease.Stamp{}, 0, 0
		v.buckets = [quota.NumSources]quota.Buckets{}
		for s := range v.buckets {
			v.buckets[s].Start(m.now)
			v.buckets[s].Configure(tolerance, len(m.vms))
			if s == int(quota.ZoneShare) || v.zone == s%m.Zones {
				v.buckets[s].SetKeptTeams(m.limits, m.now)
			}
		}
		v.lease.Learn(m.store)
		process := v.process
		var beat func()
		beat = func() {
			if v.up && !v.gone && v.process == process {
				v.heartbeat()
				m.after(heartbeatPeriod, beat)
			}
		}
		m.after(time.Duration(v.zone)*m.RoundTrip, beat)
	}
	for _, list := range m.targets {
		for _, t := range list {
			t.scheduler.Configure(max(2, int(homeShare*float64(m.Conns))), m.Slots+1, m.clock())
		}
	}
}

// storeAway reports whether the store does not answer.
func (m *model) storeAway() bool {
	_, away := m.active(StoreAway, "")
	return away
}

// claim makes v the leader.
func (v *vm) claim() {
	m := v.model
	base := m.store
	m.store = base.Claim(v.name, "")
	own := lease.Bounds{Promised: max(v.bound, v.started+lease.HoldTime), Granted: v.lead.LongLeaseUntil()}
	v.lead, v.pool = lease.Claim(v.name, base, m.store, own, m.now, m.now), quota.Pool{Reserves: true}
	v.spare, m.spareUntil = m.now >= m.spareUntil, m.now+spareTime+tolerance.Window
	v.lease.Learn(m.store)
	m.leader = v
}

// heartbeat renews the lease and the shares of v, or lets it claim the leadership.
func (v *vm) heartbeat() {
	m := v.model
	ld := m.leader
	if ld == nil {
		restarted := m.store.Leader == v.name || m.store.Leader == ""
		if !m.storeAway() && m.now >= v.noClaim && (restarted || m.now-v.heard > takeoverAfter) {
			v.claim()
			v.heartbeat()
		}
		return
	}
	if ld == v && !m.storeAway() && m.now >= v.lead.Confirmed+storePeriod {
		v.lead.Written(m.store, m.now, m.now)
	}
	b := lease.Heartbeat{VM: v.name, Power: 1, Zone: v.name, Version: v.lease.Record.Version, Bound: max(0, max(v.bound, v.started+lease.HoldTime)-m.now)}
	if b.Echo = v.stamp.Echo(ld.lead.Record.Token); b.Echo > 0 && m.storeAway() {
		b.Promise, b.Hold = lease.PromiseTime, lease.HoldTime
		v.noClaim, v.bound = m.now+lease.PromiseTime, m.now+lease.HoldTime
	}
	delay := m.RoundTrip
	if ld == v {
		delay = 0
	}
	ld.lead.ReceiveHeartbeat(b, m.now)
	length := ld.lead.Lease(v.name, m.now)
	v.lease.Adopt(ld.lead.Record, m.now, length)
	v.stamp, v.heard = lease.Stamp{Token: ld.lead.Record.Token, At: max(1, m.now)}, m.now
	if length == 0 {
		return
	}
	division := quota.DivideWhole
	if ld.lead.SharesUnknown(quota.GrantTTL, m.now) {
		division = quota.DivideReported
	} else if !ld.lead.Proved(m.now) {
		division = quota.DivideFrozen
	}
	all, unreported := ld.lead.QuotaHolders()
	conditions := quota.Conditions{
		Zones: m.Zones, VMs: all, Unreported: unreported, Division: division, Lease: length,
		Members: ld.lead.Record.Members, Limits: m.limits, Tolerance: tolerance,
		Peers: len(m.vms), Spare: ld.spare && m.now < ld.lead.Claimed+spareTime,
	}
	sent, process, token := m.now, v.process, ld.lead.Record.Token
	ld.pool.Observe(v.name, v.idleTime(), true, m.now)
	for s := range v.buckets {
		held, seq := v.buckets[s].Report(m.now)
		r := quota.Report{VM: v.name, Source: quota.Source(s), Zone: v.name, Run: v.process, HeldShares: quota.HeldShares{Teams: held, Seq: seq}}
		g := ld.pool.Renew(r, conditions, m.now)
		g.Leader = token
		m.after(delay, func() {
			if v.process == process {
				v.buckets[s].ApplyGrants(g, m.limits, length, sent, m.now)
			}
		})
	}
}

// idleTime returns the time since v started or last admitted an operation, or zero if
// it has a share.
func (v *vm) idleTime() time.Duration {
	last := v.started
	for s := range v.buckets {
		last = max(last, v.buckets[s].LastToken())
		if held, _ := v.buckets[s].Report(v.model.now); (quota.HeldShares{Teams: held}).InUse() {
			last = max(last, v.model.now)
		}
	}
	return v.model.now - last
}
