package lease

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/pollendoor/pollendoor"
)

const (
	// memberSilence is how long a member is silent before it is struck off: its
	// lease and its shares of rates have run out by then.
	memberSilence = 3500 * time.Millisecond
	// fresh is how old a member's report may be to count.
	fresh = 1200 * time.Millisecond
	// doubtTime is how long nobody has reached a primary before it is replaced:
	// longer than its longest statement, and three of its probes.
	doubtTime = 700 * time.Millisecond
	// provedTime is how long after its last proof a holder divides rates anew:
	// longer than two of its proofs take to come.
	provedTime = 1500 * time.Millisecond
	// missingTime is how long a primary's entry is missing before it is taken to
	// have left: entries that lapsed in an outage of the store come back.
	missingTime = 2500 * time.Millisecond
	// refusedTime is the same for a primary that refuses connections.
	refusedTime = 350 * time.Millisecond
)

// Report is what a VM tells of a group's primary.
type Report struct {
	Epoch   uint64        `cbor:"1,keyasint"`
	OKAge   time.Duration `cbor:"2,keyasint"` // since it last answered; negative for never
	Failing time.Duration `cbor:"3,keyasint"` // since attempts fail; zero if they don't
	Refused bool          `cbor:"4,keyasint,omitempty"`
	Demoted bool          `cbor:"5,keyasint,omitempty"` // it answered that it does not lead
}

type member struct {
	heard    time.Duration // zero for not since the claim
	version  uint64        // of the record that it has adopted
	promised time.Duration // until then it claims nothing
	bound    time.Duration // until then it may have promised that to an earlier holder
	power    float64
	zone     string
	reports  map[string]Report
}

// Duty is the state of the VM that holds the duty. Times are of its boot clock.
type Duty struct {
	Self      string
	Record    Record
	Claimed   time.Duration // when the claim was known to be written
	Confirmed time.Duration // start of the last call that proved the hold
	struck    time.Duration // when a member was last struck off
	base      []string      // members when the duty was claimed
	proposed  []string      // members that a write names whose outcome is not known yet
	former    string        // the only earlier holder whose leases may be in use, if that is so
	relieved  time.Duration // when it was known to grant none any longer, zero if it is not
	cleared   time.Duration // when no lease of an earlier holder was left, zero while one may be
	members   map[string]*member
	reporters map[string]map[string]bool // VMs that report on a group's primary
	bounds    map[*string]bounds         // of the lists of members that count, by their first element
	intents   map[string]time.Duration   // when a group's move was written
	changed   map[string]uint64          // version of the record that moved it
}

// Heartbeat is what a VM tells the holder.
type Heartbeat struct {
	VM      string
	Version uint64            // of the record that it has adopted
	Echo    time.Duration     // the holder's time that it repeats, from an earlier answer
	Promise time.Duration     // how long after Echo it claims nothing
	Bound   time.Duration     // how long it may still be bound by a promise to an earlier holder
	Power   float64           // share of a core that it has
	Zone    string            // availability zone
	Reports map[string]Report // by group
}

// Heard takes a heartbeat.
func (d *Duty) Heard(b Heartbeat, now time.Duration) {
	if d.members == nil {
		d.members = make(map[string]*member)
	}
	m := d.members[b.VM]
	if m == nil {
		m = &member{}
		d.members[b.VM] = m
	}
	for group := range m.reports {
		if _, ok := b.Reports[group]; !ok {
			delete(d.reporters[group], b.VM)
		}
	}
	for group := range b.Reports {
		if d.reporters == nil {
			d.reporters = make(map[string]map[string]bool)
		}
		if d.reporters[group] == nil {
			d.reporters[group] = make(map[string]bool)
		}
		d.reporters[group][b.VM] = true
	}
	m.heard, m.version, m.reports, m.power, m.zone = now, b.Version, b.Reports, b.Power, b.Zone
	m.bound = now + b.Bound
	if b.VM == d.former && b.Version > 0 && d.relieved == 0 {
		d.relieved = now
	}
	if until := b.Echo + b.Promise; b.Promise > 0 && b.Echo > 0 && b.Echo <= now && until > m.promised {
		m.promised, d.bounds = until, nil
	}
}

// Claim takes a record in which this VM has just become the holder. Base is the one
// that it found, start when the write began.
func Claim(self string, base, r Record, start, now time.Duration) Duty {
	d := Duty{Self: self, Record: base, Claimed: now, base: base.Members}
	if base.Settled {
		d.former = base.Holder
	}
	if d.former == self {
		d.relieved = now // an earlier process, or one that has handed the duty over
	}
	d.Clear(now)
	if len(base.Evicted) > 0 {
		d.struck = now // by the holder before, not long ago
	}
	d.Written(r, start, now)
	return d
}

// Lease returns how long a lease may be granted now, counted from when its
// request was sent; zero for none.
func (d *Duty) Lease(vm string, now time.Duration) time.Duration {
	if !d.bound(d.Record.Members).names[vm] || d.proposed != nil && !d.bound(d.proposed).names[vm] {
		return 0
	}
	until := max(d.Confirmed+LeaseTime, d.promisedUntil()) - ClockSlack
	return max(0, min(LeaseTime, until-now))
}

// promisedUntil returns until when promises let the holder go on.
func (d *Duty) promisedUntil() time.Duration {
	b := d.bound(d.Record.Members)
	most, all := b.most, b.all
	if d.proposed != nil {
		p := d.bound(d.proposed)
		most, all = min(most, p.most), min(all, p.all)
	}
	return max(min(most, d.Confirmed+HoldTime), min(all, d.Confirmed+FarTime))
}

// bounds is what the promises of a list of members come to.
type bounds struct {
	names     map[string]bool
	most, all time.Duration
}

// bound returns the bounds of a list of members. They are worked out anew only after
// a promise: this is asked at each heartbeat.
func (d *Duty) bound(members []string) bounds {
	if len(members) == 0 {
		return bounds{}
	}
	key := &members[0]
	if b, ok := d.bounds[key]; ok && len(b.names) == len(members) {
		return b
	}
	if d.bounds == nil {
		d.bounds = make(map[*string]bounds)
	}
	b := bounds{names: set(members)}
	b.most, b.all = d.promises(members)
	d.bounds[key] = b
	return b
}

// promises returns the time until which most of the members have promised to claim
// nothing, and that for all of them. This VM counts as one that has.
func (d *Duty) promises(members []string) (most, all time.Duration) {
	list := make([]time.Duration, 0, len(members))
	for _, name := range members {
		switch m := d.members[name]; {
		case name == d.Self:
			list = append(list, math.MaxInt64)
		case m == nil:
			list = append(list, 0)
		default:
			list = append(list, m.promised)
		}
	}
	slices.Sort(list)
	return list[(len(list)-1)/2], list[0]
}

// Proved reports whether the holder has lately proved its hold, so that no other VM
// can have promoted or granted anything since.
func (d *Duty) Proved(now time.Duration) bool {
	return now < d.Confirmed+provedTime || now < min(d.bound(d.Record.Members).all, d.Confirmed+FarTime)
}

// Clear reports whether leases that an earlier holder granted by promises have
// ended: most members that were found at the claim have confirmed this holder's
// record, or that holder itself has, a lease ago, or no promise can last any longer.
func (d *Duty) Clear(now time.Duration) bool {
	if d.cleared > 0 {
		return true
	}
	n, wait := 0, FarTime
	for _, name := range d.base {
		if name == d.Self {
			n, wait = n+1, HoldTime
			continue
		}
		if m := d.members[name]; m != nil && m.version > 0 && now >= m.bound {
			n++
		}
	}
	relieved := d.relieved > 0 && now >= d.relieved+LeaseTime+ClockSlack
	if 2*n > len(d.base) || len(d.base) == 0 || relieved || now >= d.Claimed+wait+ClockSlack {
		d.cleared = max(now, 1)
		return true
	}
	return false
}

// Settling reports whether shares of rates that an earlier holder granted may be in
// use unknown to this one. They last for life.
func (d *Duty) Settling(life, now time.Duration) bool {
	return (!d.Clear(now) || now < max(d.Claimed, d.cleared)+life) && !d.Complete()
}

// Propose notes the members that a write names, before it is sent. Until the outcome
// is known, promises have to suffice by the old list and by the new one.
func (d *Duty) Propose(members []string) {
	if !slices.Equal(members, d.Record.Members) {
		d.proposed, d.bounds = members, nil
	}
}

// KeepEvicted reports whether a member that was struck off may still hold a lease.
func (d *Duty) KeepEvicted(now time.Duration) bool {
	return d.struck > 0 && now < d.struck+LeaseTime+ClockSlack
}

// Written takes a record that this VM has written, with the start of the call.
func (d *Duty) Written(r Record, start, now time.Duration) {
	for name, g := range r.Groups {
		if g.Moving && !d.Record.Groups[name].Moving || g.Moving && d.changed[name] == 0 {
			if d.intents == nil {
				d.intents, d.changed = make(map[string]time.Duration), make(map[string]uint64)
			}
			d.intents[name], d.changed[name] = now, r.Version
		}
		if !g.Moving {
			delete(d.intents, name)
			delete(d.changed, name)
		}
	}
	for _, m := range d.Record.Members {
		if !r.Member(m) {
			d.struck = now
		}
	}
	if r.Version > d.Record.Version {
		d.proposed = nil
	}
	d.Record, d.Confirmed, d.bounds = r, max(d.Confirmed, start), nil
}

// Dropped reports whether no VM can use the old primary of a moving group any
// longer.
func (d *Duty) Dropped(group string, now time.Duration) bool {
	if !d.Record.Groups[group].Moving {
		return false
	}
	since := max(d.intents[group], d.Claimed)
	if now >= since+LeaseTime+ClockSlack && d.Clear(now) {
		return true
	}
	if d.KeepEvicted(now) {
		return false
	}
	for _, name := range d.Record.Members {
		if name == d.Self {
			continue // its own lease follows the record at once
		}
		if m := d.members[name]; m == nil || m.version < d.changed[group] {
			return false
		}
	}
	return true
}

// Settled reports whether calls of an earlier holder can't be on their way any
// more.
func (d *Duty) Settled(callTime, now time.Duration) bool {
	return d.Record.Token <= 1 || now >= d.Claimed+callTime
}

// Members returns the record's members as they should be, and whether that is a
// change: VMs that were heard come in, and those silent for long go. The most
// powerful come first, as they are the first to take the duty over: the holder's
// work grows with the fleet.
func (d *Duty) Members(now time.Duration) ([]string, bool) {
	if !d.Clear(now) {
		return d.Record.Members, false // what an earlier holder may count on
	}
	list := make([]string, 0, len(d.Record.Members))
	for _, name := range d.Record.Members {
		m := d.members[name]
		if name == d.Self || m != nil && now-m.heard < memberSilence || m == nil && now-d.Claimed < memberSilence {
			list = append(list, name)
		}
	}
	in := set(list)
	for name, m := range d.members {
		if !in[name] && now-m.heard > FarTime {
			delete(d.members, name) // nothing that it was granted or has promised lasts so long
			continue
		}
		if !in[name] && now-m.heard < fresh {
			list = append(list, name)
		}
	}
	slices.SortFunc(list, func(a, b string) int {
		if c := cmp.Compare(d.power(b), d.power(a)); c != 0 {
			return c
		}
		return cmp.Compare(a, b)
	})
	sorted, old := slices.Sorted(slices.Values(list)), slices.Sorted(slices.Values(d.Record.Members))
	return list, !slices.Equal(sorted, old)
}

func (d *Duty) power(vm string) float64 {
	if m := d.members[vm]; m != nil {
		return m.power
	}
	return 0
}

// Live returns the VMs that were heard lately, this one included.
func (d *Duty) Live(now time.Duration) []string {
	list := []string{d.Self}
	for name, m := range d.members {
		if name != d.Self && now-m.heard < fresh {
			list = append(list, name)
		}
	}
	slices.Sort(list)
	return list
}

// Successor returns the member that the duty is handed to when this VM leaves: the
// first of the record's that was heard lately and stays.
func (d *Duty) Successor(self string, stays func(vm string) bool, now time.Duration) (string, bool) {
	live := set(d.Live(now))
	for _, name := range d.Record.Members {
		if name != self && live[name] && stays(name) {
			return name, true
		}
	}
	return "", false
}

// Complete reports whether every VM that may hold shares of rates has been heard since
// the claim.
func (d *Duty) Complete() bool {
	_, unheard := d.Sharers()
	return unheard == 0
}

// Cause says why a primary is replaced; empty for no cause.
type Cause string

// The causes of a replacement.
const (
	CauseNone     Cause = ""
	CauseSilent   Cause = "nobody reaches the primary"
	CauseRefused  Cause = "the primary refuses connections"
	CauseDemoted  Cause = "the primary says that it does not lead"
	CauseGone     Cause = "the primary has left"
	CauseDraining Cause = "the primary is about to leave"
	CauseReborn   Cause = "the primary started anew without its log"
)

// Entry is what the platform's store says of a target.
type Entry struct {
	Target  pollendoor.TargetInfo
	Missing time.Duration // how long the store that answers has had no entry
}

// Suspect decides whether a group's primary is to be replaced, from what the
// members report and from its entry in the platform's store.
func (d *Duty) Suspect(group string, entry Entry, now time.Duration) Cause {
	g, ok := d.Record.Groups[group]
	if !ok || g.Moving {
		return CauseNone
	}
	if entry.Missing == 0 && entry.Target.Draining {
		return CauseDraining
	}
	var lastOK time.Duration
	failing, refused, demoted := false, false, false
	for name := range d.reporters[group] {
		m := d.members[name]
		r, ok := m.reports[group]
		if !ok || r.Epoch != g.Epoch || now-m.heard > fresh {
			continue
		}
		if r.OKAge >= 0 {
			lastOK = max(lastOK, m.heard-r.OKAge)
		}
		failing = failing || r.Failing > 0
		refused = refused || r.Refused
		demoted = demoted || r.Demoted
	}
	silent := now - lastOK
	switch {
	case demoted && silent > refusedTime:
		return CauseDemoted
	case refused && silent > refusedTime:
		return CauseRefused
	case failing && silent > doubtTime:
		return CauseSilent
	case entry.Missing > missingTime && silent > doubtTime:
		return CauseGone
	}
	return CauseNone
}

// Candidate is a target that may be promoted, with its status.
type Candidate struct {
	Target pollendoor.TargetInfo
	Status pollendoor.TargetStatus
}

// Next decides who leads a moving group next: a target that already does, or one
// to promote. It reports false if no target can.
func Next(g Group, list []Candidate) (next Candidate, promote, ok bool) {
	var leader *Candidate
	var rest, stay []Candidate
	for _, c := range list {
		switch {
		case c.Status.Role != pollendoor.Primary:
			rest = append(rest, c)
			if !c.Target.Draining {
				stay = append(stay, c)
			}
		case c.Status.Term < g.Term || c.Status.Term == g.Term && g.Ordered != "":
			// It has lost its log, or another one may lead the next term.
		case leader == nil || c.Status.Term > leader.Status.Term:
			leader = &c
		}
	}
	if leader != nil && (!leader.Target.Draining || len(rest) == 0) {
		return *leader, false, true
	}
	if len(stay) == 0 {
		stay = rest
	}
	next, ok = Newest(stay)
	return next, true, ok
}

// Newest chooses the target to promote: the one whose log reaches furthest,
// and of equals one that stays.
func Newest(list []Candidate) (Candidate, bool) {
	if len(list) == 0 {
		return Candidate{}, false
	}
	best := list[0]
	for _, c := range list[1:] {
		p := pollendoor.Position{Term: c.Status.LastTerm, Index: c.Status.Index}
		q := pollendoor.Position{Term: best.Status.LastTerm, Index: best.Status.Index}
		if p.Newer(q) || p == q && best.Target.Draining && !c.Target.Draining {
			best = c
		}
	}
	return best, true
}
