package fleet

import (
	"time"

	"github.com/pollendoor/pollendoor"
	"github.com/pollendoor/pollendoor/clock"
	"github.com/pollendoor/pollendoor/reign"
	"github.com/pollendoor/pollendoor/sample"
	"github.com/pollendoor/pollendoor/share"
)

// serveSelf gives this VM what others get by heartbeats.
func (d *duty) serveSelf(now time.Duration) {
	v := d.vm
	d.mu.Lock()
	defer d.mu.Unlock()
	reports := make(map[string]reign.Report)
	for name, g := range d.state.Record.Groups {
		if r, _, ok := v.fate(name).report(g.Epoch, now); ok {
			reports[name] = r
		}
	}
	d.state.Heard(reign.Heartbeat{VM: v.Settings.VM, Version: d.state.Record.Version, Power: v.Settings.CPU, Reports: reports}, now)
	if l := d.state.Lease(v.Settings.VM, now); l > 0 {
		v.changeLease(func(own *reign.Lease) bool { return own.Adopt(d.state.Record, now, l) })
	}
	token := d.state.Record.Token
	v.rates.adopt(token, d.renew(v.self(), v.run, v.rates.report(token, now), now), now, now)
	d.refreshView(now, false)
	v.takeView(&d.view)
	v.beat.contact(now)
}

// division returns how rates may be divided now.
func (d *duty) division(now time.Duration) share.Division {
	settling := d.state.Settling(share.Life, now)
	switch {
	case settling && d.state.Clear(now):
		return share.Known
	case settling:
		return share.Held
	case !d.state.Proved(now):
		return share.Frozen // another VM may have taken the duty over
	}
	return share.Whole
}

// sharers returns how many VMs share a team's rate: one keeper in each zone.
func (d *duty) sharers() int {
	zones := make(map[string]bool)
	for _, p := range d.view.Peers {
		zones[p.Zone] = true
	}
	if d.state.Claimed+settleTime > clock.Now() {
		// Just after a claim not all VMs have been heard.
		for zone := range d.vm.Settings.Zones {
			zones[zone] = true
		}
	}
	return len(zones)
}

// refreshView follows the VMs that are heard and stay. A new holder keeps the view
// that it has until the others had time to report; left says that one of them has
// told that it leaves.
func (d *duty) refreshView(now time.Duration, left bool) {
	list := make([]peer, 0, len(d.peers))
	for _, name := range d.state.Live(now) {
		if d.stays(name) {
			list = append(list, d.peers[name])
		}
	}
	same := len(list) == len(d.view.Peers)
	for i := 0; same && i < len(list); i++ {
		same = list[i] == d.view.Peers[i]
	}
	if !same && (left || now > d.state.Claimed+2*beatPeriod || len(list) > len(d.view.Peers)) {
		d.view = view{Version: d.view.Version + 1, Peers: list}
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
	version := p.Version
	if p.Token != r.Token {
		// It speaks of an earlier holder's record, clock and shares.
		version, p.Echo, p.Positions = 0, 0, nil
		for i := range p.Held {
			p.Held[i].Seq = 0
		}
	}
	d.state.Heard(reign.Heartbeat{VM: p.From.Name, Version: version, Echo: p.Echo, Promise: p.Promise, Bound: p.Bound, Power: p.Power, Reports: p.Reports}, now)
	left := p.From.Leaving && d.view.has(p.From.Name)
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
	a.Listed, a.Digest = v.targets.State()
	if version != r.Version && small(&r) {
		a.Record = &storedRecord{Record: r, Run: v.run}
	}
	if p.ViewSeen != d.view.Version {
		w := d.view
		a.View = &w
	}
	if c := v.config.Load(); c != nil {
		a.Config = c.Version
	}
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

func small(r *reign.Record) bool { return len(r.Groups)+len(r.Members) <= smallRecord }

// record returns the record if this VM holds the duty.
func (d *duty) record() *storedRecord {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.holding() {
		return nil
	}
	return &storedRecord{Record: d.state.Record, Run: d.vm.run}
}

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

// takeView follows the holder's view of the VMs.
func (v *VM) takeView(w *view) {
	old := v.view.Load()
	if old.Version == w.Version {
		return
	}
	n := *w
	watched := v.watches()
	v.view.Store(&n)
	v.stats.traffic.follow(n.Peers, v.distance)
	if watched && !v.watches() {
		// Another VM watches the store for this zone from now on.
		v.configs.nudge()
		v.entries.nudge()
	}
	v.rates.configure(max(len(n.Peers), 1))
	v.rates.know(v.Config())
	v.homes.refresh()
	v.beat.viewed(n.has(v.Settings.VM), clock.Now())
	v.beat.wake() // shares have to follow their keepers
	names := make([]string, 0, len(n.Peers))
	for _, p := range n.Peers {
		names = append(names, p.Name)
	}
	v.Log.Info().Strs("vms", names).Uint64("version", n.Version).Msg("live VMs changed")
}
