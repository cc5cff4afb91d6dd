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
	memberTimeout = 3500 * time.Millisecond
	// fresh is how old a member's report may be to count.
	heartbeatMaxAge = 1200 * time.Millisecond
	// doubtTime is how long nobody has reached a primary before it is replaced:
	// longer than its longest statement, and three of its probes.
	unreachableTimeout = 700 * time.Millisecond
	// provedTime is how long after its last proof a holder divides rates anew:
	// longer than two of its proofs take to come.
	proofMaxAge = 1500 * time.Millisecond
	// missingTime is how long a primary's entry is missing before it is taken to
	// have left: entries that lapsed in an outage of the store come back.
	missingEntryTimeout = 2500 * time.Millisecond
	// refusedTime is the same for a primary that refuses connections.
	refusedTimeout = 350 * time.Millisecond
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
	lastHeartbeat  time.Duration // zero for not since the claim
	adoptedVersion uint64        // of the record that it has adopted
	promisedUntil  time.Duration // until then it claims nothing
	boundUntil     time.Duration // until then it may have promised that to an earlier holder
	power          float64
	zone           string
	reports        map[string]Report
}

// Duty is the state of the VM that holds the duty. Times are of its boot clock.
type Duty struct {
	Self            string
	Record          Record
	Claimed         time.Duration // when the claim was known to be written
	Confirmed       time.Duration // start of the last call that proved the hold
	lastEviction    time.Duration // when a member was last struck off
	claimMembers    []string      // members when the duty was claimed
	proposedMembers []string      // members that a write names whose outcome is not known yet
	formerLeader    string        // the only earlier holder whose leases may be in use, if that is so
	formerReleased  time.Duration // when it was known to grant none any longer, zero if it is not
	clearSince      time.Duration // when no lease of an earlier holder was left, zero while one may be
	members         map[string]*member
	reporters       map[string]map[string]bool // VMs that report on a group's primary
	promiseCache    map[*string]promiseEnds    // of the lists of members that count, by their first element
	movingSince     map[string]time.Duration   // when a group's move was written
	movingVersion   map[string]uint64          // version of the record that moved it
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
func (l *Duty) Heard(b Heartbeat, now time.Duration) {
	if l.members == nil {
		l.members = make(map[string]*member)
	}
	m := l.members[b.VM]
	if m == nil {
		m = &member{}
		l.members[b.VM] = m
	}
	for group := range m.reports {
		if _, ok := b.Reports[group]; !ok {
			delete(l.reporters[group], b.VM)
		}
	}
	for group := range b.Reports {
		if l.reporters == nil {
			l.reporters = make(map[string]map[string]bool)
		}
		if l.reporters[group] == nil {
			l.reporters[group] = make(map[string]bool)
		}
		l.reporters[group][b.VM] = true
	}
	m.lastHeartbeat, m.adoptedVersion, m.reports, m.power, m.zone = now, b.Version, b.Reports, b.Power, b.Zone
	m.boundUntil = now + b.Bound
	if b.VM == l.formerLeader && b.Version > 0 && l.formerReleased == 0 {
		l.formerReleased = now
	}
	if until := b.Echo + b.Promise; b.Promise > 0 && b.Echo > 0 && b.Echo <= now && until > m.promisedUntil {
		m.promisedUntil, l.promiseCache = until, nil
	}
}

// Claim takes a record in which this VM has just become the holder. Base is the one
// that it found, start when the write began.
func Claim(self string, base, r Record, start, now time.Duration) Duty {
	l := Duty{Self: self, Record: base, Claimed: now, claimMembers: base.Members}
	if base.Settled {
		l.formerLeader = base.Holder
	}
	if l.formerLeader == self {
		l.formerReleased = now // an earlier process, or one that has handed the duty over
	}
	l.Clear(now)
	if len(base.Evicted) > 0 {
		l.lastEviction = now // by the holder before, not long ago
	}
	l.Written(r, start, now)
	return l
}

// Lease returns how long a lease may be granted now, counted from when its
// request was sent; zero for none.
func (l *Duty) Lease(vm string, now time.Duration) time.Duration {
	if !l.promiseEnds(l.Record.Members).members[vm] || l.proposedMembers != nil && !l.promiseEnds(l.proposedMembers).members[vm] {
		return 0
	}
	until := max(l.Confirmed+LeaseTime, l.promiseLimit()) - ClockSlack
	return max(0, min(LeaseTime, until-now))
}

// promisedUntil returns until when promises let the holder go on.
func (l *Duty) promiseLimit() time.Duration {
	b := l.promiseEnds(l.Record.Members)
	majority, all := b.majority, b.all
	if l.proposedMembers != nil {
		p := l.promiseEnds(l.proposedMembers)
		majority, all = min(majority, p.majority), min(all, p.all)
	}
	return max(min(majority, l.Confirmed+HoldTime), min(all, l.Confirmed+FarTime))
}

// bounds is what the promises of a list of members come to.
type promiseEnds struct {
	members       map[string]bool
	majority, all time.Duration
}

// bound returns the bounds of a list of members. They are worked out anew only after
// a promise: this is asked at each heartbeat.
func (l *Duty) promiseEnds(members []string) promiseEnds {
	if len(members) == 0 {
		return promiseEnds{}
	}
	key := &members[0]
	if b, ok := l.promiseCache[key]; ok && len(b.members) == len(members) {
		return b
	}
	if l.promiseCache == nil {
		l.promiseCache = make(map[*string]promiseEnds)
	}
	b := promiseEnds{members: toSet(members)}
	b.majority, b.all = l.computePromiseEnds(members)
	l.promiseCache[key] = b
	return b
}

// promises returns the time until which most of the members have promised to claim
// nothing, and that for all of them. This VM counts as one that has.
func (l *Duty) computePromiseEnds(members []string) (majority, all time.Duration) {
	list := make([]time.Duration, 0, len(members))
	for _, name := range members {
		switch m := l.members[name]; {
		case name == l.Self:
			list = append(list, math.MaxInt64)
		case m == nil:
			list = append(list, 0)
		default:
			list = append(list, m.promisedUntil)
		}
	}
	slices.Sort(list)
	return list[(len(list)-1)/2], list[0]
}

// Proved reports whether the holder has lately proved its hold, so that no other VM
// can have promoted or granted anything since.
func (l *Duty) Proved(now time.Duration) bool {
	return now < l.Confirmed+proofMaxAge || now < min(l.promiseEnds(l.Record.Members).all, l.Confirmed+FarTime)
}

// Clear reports whether leases that an earlier holder granted by promises have
// ended: most members that were found at the claim have confirmed this holder's
// record, or that holder itself has, a lease ago, or no promise can last any longer.
func (l *Duty) Clear(now time.Duration) bool {
	if l.clearSince > 0 {
		return true
	}
	n, wait := 0, FarTime
	for _, name := range l.claimMembers {
		if name == l.Self {
			n, wait = n+1, HoldTime
			continue
		}
		if m := l.members[name]; m != nil && m.adoptedVersion > 0 && now >= m.boundUntil {
			n++
		}
	}
	formerReleased := l.formerReleased > 0 && now >= l.formerReleased+LeaseTime+ClockSlack
	if 2*n > len(l.claimMembers) || len(l.claimMembers) == 0 || formerReleased || now >= l.Claimed+wait+ClockSlack {
		l.clearSince = max(now, 1)
		return true
	}
	return false
}

// Settling reports whether shares of rates that an earlier holder granted may be in
// use unknown to this one. They last for life.
func (l *Duty) Settling(life, now time.Duration) bool {
	return (!l.Clear(now) || now < max(l.Claimed, l.clearSince)+life) && !l.Complete()
}

// Propose notes the members that a write names, before it is sent. Until the outcome
// is known, promises have to suffice by the old list and by the new one.
func (l *Duty) Propose(members []string) {
	if !slices.Equal(members, l.Record.Members) {
		l.proposedMembers, l.promiseCache = members, nil
	}
}

// KeepEvicted reports whether a member that was struck off may still hold a lease.
func (l *Duty) KeepEvicted(now time.Duration) bool {
	return l.lastEviction > 0 && now < l.lastEviction+LeaseTime+ClockSlack
}

// Written takes a record that this VM has written, with the start of the call.
func (l *Duty) Written(r Record, start, now time.Duration) {
	for name, g := range r.Groups {
		if g.Moving && !l.Record.Groups[name].Moving || g.Moving && l.movingVersion[name] == 0 {
			if l.movingSince == nil {
				l.movingSince, l.movingVersion = make(map[string]time.Duration), make(map[string]uint64)
			}
			l.movingSince[name], l.movingVersion[name] = now, r.Version
		}
		if !g.Moving {
			delete(l.movingSince, name)
			delete(l.movingVersion, name)
		}
	}
	for _, m := range l.Record.Members {
		if !r.Member(m) {
			l.lastEviction = now
		}
	}
	if r.Version > l.Record.Version {
		l.proposedMembers = nil
	}
	l.Record, l.Confirmed, l.promiseCache = r, max(l.Confirmed, start), nil
}

// Dropped reports whether no VM can use the old primary of a moving group any
// longer.
func (l *Duty) Dropped(group string, now time.Duration) bool {
	if !l.Record.Groups[group].Moving {
		return false
	}
	since := max(l.movingSince[group], l.Claimed)
	if now >= since+LeaseTime+ClockSlack && l.Clear(now) {
		return true
	}
	if l.KeepEvicted(now) {
		return false
	}
	for _, name := range l.Record.Members {
		if name == l.Self {
			continue // its own lease follows the record at once
		}
		if m := l.members[name]; m == nil || m.adoptedVersion < l.movingVersion[group] {
			return false
		}
	}
	return true
}

// Settled reports whether calls of an earlier holder can't be on their way any
// more.
func (l *Duty) Settled(callTime, now time.Duration) bool {
	return l.Record.Token <= 1 || now >= l.Claimed+callTime
}

// Members returns the record's members as they should be, and whether that is a
// change: VMs that were heard come in, and those silent for long go. The most
// powerful come first, as they are the first to take the duty over: the holder's
// work grows with the fleet.
func (l *Duty) Members(now time.Duration) ([]string, bool) {
	if !l.Clear(now) {
		return l.Record.Members, false // what an earlier holder may count on
	}
	list := make([]string, 0, len(l.Record.Members))
	for _, name := range l.Record.Members {
		m := l.members[name]
		if name == l.Self || m != nil && now-m.lastHeartbeat < memberTimeout || m == nil && now-l.Claimed < memberTimeout {
			list = append(list, name)
		}
	}
	included := toSet(list)
	for name, m := range l.members {
		if !included[name] && now-m.lastHeartbeat > FarTime {
			delete(l.members, name) // nothing that it was granted or has promised lasts so long
			continue
		}
		if !included[name] && now-m.lastHeartbeat < heartbeatMaxAge {
			list = append(list, name)
		}
	}
	slices.SortFunc(list, func(a, b string) int {
		if c := cmp.Compare(l.power(b), l.power(a)); c != 0 {
			return c
		}
		return cmp.Compare(a, b)
	})
	sorted, old := slices.Sorted(slices.Values(list)), slices.Sorted(slices.Values(l.Record.Members))
	return list, !slices.Equal(sorted, old)
}

func (l *Duty) power(vm string) float64 {
	if m := l.members[vm]; m != nil {
		return m.power
	}
	return 0
}

// Live returns the VMs that were heard lately, this one included.
func (l *Duty) Live(now time.Duration) []string {
	list := []string{l.Self}
	for name, m := range l.members {
		if name != l.Self && now-m.lastHeartbeat < heartbeatMaxAge {
			list = append(list, name)
		}
	}
	slices.Sort(list)
	return list
}

// Successor returns the member that the duty is handed to when this VM leaves: the
// first of the record's that was heard lately and stays.
func (l *Duty) Successor(self string, stays func(vm string) bool, now time.Duration) (string, bool) {
	live := toSet(l.Live(now))
	for _, name := range l.Record.Members {
		if name != self && live[name] && stays(name) {
			return name, true
		}
	}
	return "", false
}

// Complete reports whether every VM that may hold shares of rates has been heard since
// the claim.
func (l *Duty) Complete() bool {
	_, unheard := l.Sharers()
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
func (l *Duty) Suspect(group string, entry Entry, now time.Duration) Cause {
	g, ok := l.Record.Groups[group]
	if !ok || g.Moving {
		return CauseNone
	}
	if entry.Missing == 0 && entry.Target.Draining {
		return CauseDraining
	}
	var lastOK time.Duration
	failing, refused, demoted := false, false, false
	for name := range l.reporters[group] {
		m := l.members[name]
		r, ok := m.reports[group]
		if !ok || r.Epoch != g.Epoch || now-m.lastHeartbeat > heartbeatMaxAge {
			continue
		}
		if r.OKAge >= 0 {
			lastOK = max(lastOK, m.lastHeartbeat-r.OKAge)
		}
		failing = failing || r.Failing > 0
		refused = refused || r.Refused
		demoted = demoted || r.Demoted
	}
	silent := now - lastOK
	switch {
	case demoted && silent > refusedTimeout:
		return CauseDemoted
	case refused && silent > refusedTimeout:
		return CauseRefused
	case failing && silent > unreachableTimeout:
		return CauseSilent
	case entry.Missing > missingEntryTimeout && silent > unreachableTimeout:
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
	var leading *Candidate
	var replicas, staying []Candidate
	for _, c := range list {
		switch {
		case c.Status.Role != pollendoor.Primary:
			replicas = append(replicas, c)
			if !c.Target.Draining {
				staying = append(staying, c)
			}
		case c.Status.Term < g.Term || c.Status.Term == g.Term && g.Ordered != "":
			// It has lost its log, or another one may lead the next term.
		case leading == nil || c.Status.Term > leading.Status.Term:
			leading = &c
		}
	}
	if leading != nil && (!leading.Target.Draining || len(replicas) == 0) {
		return *leading, false, true
	}
	if len(staying) == 0 {
		staying = replicas
	}
	next, ok = Newest(staying)
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
