package lease

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/pollendoor/pollendoor"
)

const (
	// memberTimeout is how long a member may be silent before it is evicted. By
	// then its lease and its quota shares have expired.
	memberTimeout = 3500 * time.Millisecond
	// heartbeatMaxAge is the age up to which a member's last heartbeat, and the
	// reports in it, still count.
	heartbeatMaxAge = 1200 * time.Millisecond
	// unreachableTimeout is how long no VM has reached a primary before it is
	// replaced. It is longer than the primary's longest statement, and longer
	// than three of its probes.
	unreachableTimeout = 700 * time.Millisecond
	// proofMaxAge is how long after its last proof of leadership a leader still
	// redistributes rate quotas. It is longer than two proofs take to arrive.
	proofMaxAge = 1500 * time.Millisecond
	// missingEntryTimeout is how long a primary's entry must be missing from the
	// platform's store before the primary counts as gone. Entries that expired
	// during a store outage come back earlier than that.
	missingEntryTimeout = 2500 * time.Millisecond
	// longLeaseAfter is the age of the last proof of leadership from which on leases
	// may last as long as most members have promised.
	longLeaseAfter = time.Second
	// firstReportsTime is how long after a claim the first reports of members on the
	// primaries may take: some round trips, as members report once they learn of the
	// new leader.
	firstReportsTime = 300 * time.Millisecond
	// refusedTimeout is how long a primary that refuses connections, or that
	// answers that it does not lead, must have been without a successful answer
	// before it is replaced.
	refusedTimeout = 350 * time.Millisecond
)

// Report is one VM's view of a group's primary.
type Report struct {
	Epoch   uint64        `cbor:"1,keyasint"`
	OKAge   time.Duration `cbor:"2,keyasint"`           // time since the primary last answered; negative if it never did
	Failing time.Duration `cbor:"3,keyasint"`           // how long attempts have been failing; zero if they succeed
	Refused bool          `cbor:"4,keyasint,omitempty"` // the primary refused a connection
	Demoted bool          `cbor:"5,keyasint,omitempty"` // the primary answered that it does not lead
	LostLog bool          `cbor:"6,keyasint,omitempty"` // the primary lacks a position that it had in this epoch
}

type member struct {
	process        uint64        // identifies the process that sent the last heartbeat
	processSince   time.Duration // time of the first heartbeat of that process
	lastHeartbeat  time.Duration // time of its last heartbeat; zero if none has come since the claim
	adoptedVersion uint64        // version of the record that the member has adopted
	noClaimUntil   time.Duration // until then the member has promised not to claim leadership
	promisedUntil  time.Duration // until then the member has promised to confirm no other leader's record
	boundUntil     time.Duration // until then it may be bound by such a promise to an earlier leader
	grantedUntil   time.Duration // until then leases that it granted for more than LeaseTime may last
	power          float64
	zone           string
	reports        map[string]Report
}

// Leader is the state of the VM that leads the fleet. All times are on that VM's
// boot clock.
type Leader struct {
	Self            string
	Record          Record
	Claimed         time.Duration // when the write of the claim was known to have succeeded
	Confirmed       time.Duration // start of the last store call that proved that this VM still leads
	lastEviction    time.Duration // when a member was last evicted
	own             Bounds        // bounds of this VM at the claim
	longLeaseUntil  time.Duration // end of the last lease that was granted for more than LeaseTime
	claimMembers    []string      // members at the time of the claim
	proposedMembers []string      // members named in a write whose outcome is not known yet; nil if there is none
	formerLeader    string        // the only earlier leader whose leases may be in use; empty if there may be others
	formerReleased  time.Duration // when the former leader was known to grant no more leases; zero if that is not known
	clearSince      time.Duration // since when no lease of an earlier leader is in use; zero while one may be
	members         map[string]*member
	reporters       map[string]map[string]bool // by group, the VMs that report on its primary
	promiseCache    map[*string]promiseEnds    // promise ends of the member lists in force, keyed by the address of the list's first element
	movingSince     map[string]time.Duration   // by group, when the record that marks it as moving was written
	movingVersion   map[string]uint64          // by group, the version of that record
}

// Heartbeat is what a VM periodically reports to the leader.
type Heartbeat struct {
	VM      string
	Process uint64            // identifies the VM's process
	Version uint64            // version of the record that the VM has adopted
	Echo    time.Duration     // leader's timestamp from an earlier answer, sent back unchanged
	Promise time.Duration     // how long after Echo the VM will not claim leadership
	Hold    time.Duration     // how long after Echo the VM will not confirm another leader's record
	Bound   time.Duration     // how long the VM may still be bound by a promise to an earlier leader
	Granted time.Duration     // how long leases that the VM granted as the leader for more than LeaseTime may last
	Power   float64           // share of a CPU core that the VM has
	Zone    string            // availability zone of the VM
	Reports map[string]Report // reports on primaries, by group
}

// ReceiveHeartbeat records a heartbeat that arrived at now.
func (l *Leader) ReceiveHeartbeat(b Heartbeat, now time.Duration) {
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
	if m.lastHeartbeat == 0 || m.process != b.Process {
		m.process, m.processSince = b.Process, now
	}
	m.lastHeartbeat, m.adoptedVersion, m.reports, m.power, m.zone = now, b.Version, b.Reports, b.Power, b.Zone
	m.boundUntil, m.grantedUntil = now+b.Bound, now+b.Granted
	if b.VM == l.formerLeader && b.Version > 0 && l.formerReleased == 0 {
		l.formerReleased = now
	}
	if b.Promise > 0 && b.Echo > 0 && b.Echo <= now {
		m.noClaimUntil = max(m.noClaimUntil, b.Echo+b.Promise)
		m.promisedUntil = max(m.promisedUntil, b.Echo+max(b.Promise, b.Hold))
		l.promiseCache = nil
	}
}

// Bounds are the times until which the decisions of a VM as an earlier leader's
// member, or as an earlier leader, have to be respected.
type Bounds struct {
	Promised time.Duration // end of its promise to confirm no other leader's record
	Granted  time.Duration // end of the leases that it granted for more than LeaseTime
}

// Claim returns the state of a VM that has just become the leader. Base is the
// record that the VM found and r the one that it wrote; start is when the write
// began and now when it was known to have succeeded. Own are the bounds of the VM
// itself.
func Claim(self string, base, r Record, own Bounds, start, now time.Duration) Leader {
	l := Leader{Self: self, Record: base, Claimed: now, claimMembers: base.Members, own: own}
	if base.Settled {
		l.formerLeader = base.Leader
	}
	if l.formerLeader == self {
		l.formerReleased = now // the former leader is an earlier process of this VM, or has handed leadership over to it
	}
	l.EarlierLeasesEnded(now)
	if len(base.Evicted) > 0 {
		l.lastEviction = now // evicted by the former leader, not long ago
	}
	l.Written(r, start, now)
	return l
}

// Lease returns how long a lease may be granted to a VM now, counted from when
// the VM sent its request. Zero means that no lease may be granted.
func (l *Leader) Lease(vm string, now time.Duration) time.Duration {
	if !l.promiseEnds(l.Record.Members).members[vm] || l.proposedMembers != nil && !l.promiseEnds(l.proposedMembers).members[vm] {
		return 0
	}
	until := max(l.Confirmed+LeaseTime, l.promiseLimit()) - ClockSlack
	if now < l.Confirmed+longLeaseAfter {
		return max(0, min(LeaseTime, until-now))
	}
	length := max(0, min(HoldTime, until-now))
	if length > LeaseTime {
		l.longLeaseUntil = max(l.longLeaseUntil, now+length)
	}
	return length
}

// LongLeaseUntil returns the end of the last lease that this VM granted for more
// than LeaseTime, now or as an earlier leader. It is zero if there is none.
func (l *Leader) LongLeaseUntil() time.Duration { return max(l.longLeaseUntil, l.own.Granted) }

// LongLeasesEnded reports whether no lease of more than LeaseTime that this leader
// granted is in use.
func (l *Leader) LongLeasesEnded(now time.Duration) bool {
	return l.longLeaseUntil == 0 || now >= l.longLeaseUntil+ClockSlack
}

// promiseLimit returns the time until which the members' promises allow the
// leader to continue without a new proof.
func (l *Leader) promiseLimit() time.Duration {
	b := l.promiseEnds(l.Record.Members)
	majority, all := b.majority, b.all
	if l.proposedMembers != nil {
		p := l.promiseEnds(l.proposedMembers)
		majority, all = min(majority, p.majority), min(all, p.all)
	}
	return max(min(majority, l.Confirmed+MajorityHoldTime), min(all, l.Confirmed+UnanimousHoldTime))
}

// promiseEnds holds the times at which the promises of a list of members end.
type promiseEnds struct {
	members       map[string]bool
	majority, all time.Duration
	noClaim       time.Duration // until then all members have promised not to claim leadership
}

// promiseEnds returns when the promises of a list of members end. The result is
// cached until the next promise arrives, because it is needed at each heartbeat.
func (l *Leader) promiseEnds(members []string) promiseEnds {
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
	b.majority, b.all = l.computePromiseEnds(members, func(m *member) time.Duration { return m.promisedUntil })
	_, b.noClaim = l.computePromiseEnds(members, func(m *member) time.Duration { return m.noClaimUntil })
	l.promiseCache[key] = b
	return b
}

// computePromiseEnds returns the times until which a majority of the members, and
// all of them, have given the promise that ends at end. This VM counts as a member
// that has promised.
func (l *Leader) computePromiseEnds(members []string, end func(*member) time.Duration) (majority, all time.Duration) {
	list := make([]time.Duration, 0, len(members))
	for _, name := range members {
		switch m := l.members[name]; {
		case name == l.Self:
			list = append(list, math.MaxInt64)
		case m == nil:
			list = append(list, 0)
		default:
			list = append(list, end(m))
		}
	}
	slices.Sort(list)
	return list[(len(list)-1)/2], list[0]
}

// Proved reports whether the leader has proved its leadership recently enough
// that no other VM can have ordered a promotion or granted a lease or a share since.
func (l *Leader) Proved(now time.Duration) bool {
	return now < l.Confirmed+proofMaxAge || now < min(l.promiseEnds(l.Record.Members).noClaim, l.Confirmed+UnanimousHoldTime)
}

// MostAdopted reports whether most members have adopted the record in a version, or a later
// one, of this leader. Only processes that this leader had heard from before its last proof
// count: one that has started since may have forgotten another leader.
func (l *Leader) MostAdopted(version uint64) bool {
	n := 0
	for _, name := range l.Record.Members {
		m := l.members[name]
		if name == l.Self || m != nil && m.adoptedVersion >= version && m.processSince <= l.Confirmed {
			n++
		}
	}
	return 2*n > len(l.Record.Members)
}

// Rewritten adopts a record that this VM has written to a store that came back from an older
// copy. It proves nothing: another leader may have written one that the store has lost.
func (l *Leader) Rewritten(r Record) { l.Record, l.promiseCache = r, nil }

// EarlierLeasesEnded reports whether all leases that an earlier leader granted on
// the strength of promises have ended. This is so once most members found at the
// claim have confirmed this leader's record, once the former leader confirmed it
// at least a lease ago, or once no promise can last any longer.
func (l *Leader) EarlierLeasesEnded(now time.Duration) bool {
	if l.clearSince > 0 {
		return true
	}
	n, wait := 0, UnanimousHoldTime
	for _, name := range l.claimMembers {
		if name == l.Self {
			wait = MajorityHoldTime
			if now >= l.own.Promised {
				n++
			}
			continue
		}
		if m := l.members[name]; m != nil && m.adoptedVersion > 0 && now >= m.boundUntil {
			n++
		}
	}
	formerReleased := l.formerReleased > 0 && now >= max(l.formerReleased+LeaseTime, l.formerGrantedUntil())+ClockSlack
	if 2*n > len(l.claimMembers) || len(l.claimMembers) == 0 || formerReleased || now >= l.Claimed+wait+ClockSlack {
		l.clearSince = max(now, 1)
		return true
	}
	return false
}

// formerGrantedUntil returns the time until which leases that the former leader
// granted for more than LeaseTime may be in use, as far as it has reported.
func (l *Leader) formerGrantedUntil() time.Duration {
	if m := l.members[l.formerLeader]; m != nil && l.formerLeader != l.Self {
		return m.grantedUntil
	}
	return l.own.Granted
}

// SharesUnknown reports whether quota shares that an earlier leader granted may
// be in use although this leader has received no report of them. A share is valid
// for ttl.
func (l *Leader) SharesUnknown(ttl, now time.Duration) bool {
	return (!l.EarlierLeasesEnded(now) || now < max(l.Claimed, l.clearSince)+ttl) && !l.AllSharesReported()
}

// Propose records the members that a write names, before it is sent. Until the
// outcome is known, promises have to suffice under both the old and the new list.
func (l *Leader) Propose(members []string) {
	if !slices.Equal(members, l.Record.Members) {
		l.proposedMembers, l.promiseCache = members, nil
	}
}

// KeepEvicted reports whether an evicted member may still hold a lease, so that the
// record must keep the list of evicted members.
func (l *Leader) KeepEvicted(now time.Duration) bool {
	return l.lastEviction > 0 && now < l.lastEviction+LeaseTime+ClockSlack
}

// Written adopts a record that this VM has written to the store, or has read from
// it and still leads by. It proves this VM's leadership at start, the time at which
// the call began.
func (l *Leader) Written(r Record, start, now time.Duration) {
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
		if !r.IsMember(m) {
			l.lastEviction = now
		}
	}
	if r.Version > l.Record.Version {
		l.proposedMembers = nil
	}
	l.Record, l.Confirmed, l.promiseCache = r, max(l.Confirmed, start), nil
}

// OldPrimaryReleased reports whether no VM can use the old primary of a moving
// group any longer.
func (l *Leader) OldPrimaryReleased(group string, now time.Duration) bool {
	if !l.Record.Groups[group].Moving {
		return false
	}
	since := max(l.movingSince[group], l.Claimed)
	if now >= since+LeaseTime+ClockSlack && l.LongLeasesEnded(now) && l.EarlierLeasesEnded(now) {
		return true
	}
	if l.KeepEvicted(now) {
		return false
	}
	for _, name := range l.Record.Members {
		if name == l.Self {
			continue // this VM's own lease follows the record at once
		}
		if m := l.members[name]; m == nil || m.adoptedVersion < l.movingVersion[group] {
			return false
		}
	}
	return true
}

// EarlierCallsEnded reports whether no call of an earlier leader can still be in
// flight. A call takes at most callTime.
func (l *Leader) EarlierCallsEnded(callTime, now time.Duration) bool {
	return l.Record.Token <= 1 || now >= l.Claimed+callTime
}

// Members returns the members that the record should have, and whether these
// differ from the ones it has. VMs that sent a heartbeat recently are added, and
// those that have been silent for memberTimeout are removed. The most powerful
// VMs come first, as they are the first to take leadership over: the leader's
// work grows with the fleet.
func (l *Leader) Members(now time.Duration) ([]string, bool) {
	if !l.EarlierLeasesEnded(now) {
		return l.Record.Members, false // an earlier leader may still count on these members
	}
	list := make([]string, 0, len(l.Record.Members))
	leasesMayLast := !l.LongLeasesEnded(now)
	for _, name := range l.Record.Members {
		m := l.members[name]
		if name == l.Self || leasesMayLast || m != nil && now-m.lastHeartbeat < memberTimeout || m == nil && now-l.Claimed < memberTimeout {
			list = append(list, name)
		}
	}
	included := toSet(list)
	for name, m := range l.members {
		if !included[name] && now-m.lastHeartbeat > UnanimousHoldTime {
			delete(l.members, name) // every lease granted to it and every promise it made have expired
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

func (l *Leader) power(vm string) float64 {
	if m := l.members[vm]; m != nil {
		return m.power
	}
	return 0
}

// Live returns the VMs that sent a heartbeat recently, including this VM, in
// order of their names.
func (l *Leader) Live(now time.Duration) []string {
	list := []string{l.Self}
	for name, m := range l.members {
		if name != l.Self && now-m.lastHeartbeat < heartbeatMaxAge {
			list = append(list, name)
		}
	}
	slices.Sort(list)
	return list
}

// Successor returns the member that takes over leadership when this VM leaves:
// the first member of the record that sent a heartbeat recently and for which
// stays reports true. It reports false if there is none.
func (l *Leader) Successor(self string, stays func(vm string) bool, now time.Duration) (string, bool) {
	live := toSet(l.Live(now))
	for _, name := range l.Record.Members {
		if name != self && live[name] && stays(name) {
			return name, true
		}
	}
	return "", false
}

// AllSharesReported reports whether every VM that may hold quota shares has sent a
// heartbeat since the claim.
func (l *Leader) AllSharesReported() bool {
	_, unreported := l.QuotaHolders()
	return unreported == 0
}

// AllMembersReported reports whether every member of the record has sent a heartbeat
// since the claim.
func (l *Leader) AllMembersReported() bool {
	return !slices.ContainsFunc(l.Record.Members, func(name string) bool { return name != l.Self && l.members[name] == nil })
}

// Cause is the reason why a primary is replaced. It is empty if there is no
// reason.
type Cause string

// Causes of a replacement.
const (
	CauseNone      Cause = ""
	CauseSilent    Cause = "nobody reaches the primary"
	CauseRefused   Cause = "the primary refuses connections"
	CauseDemoted   Cause = "the primary says that it does not lead"
	CauseGone      Cause = "the primary has left"
	CauseDraining  Cause = "the primary is about to leave"
	CauseReborn    Cause = "the primary started anew without its log"
	CauseRestarted Cause = "the primary has started again and may lack its log"
	CauseEvacuated Cause = "the primary's zone is being evacuated"
)

// Entry is a target's entry in the platform's store.
type Entry struct {
	Target  pollendoor.TargetInfo
	Missing time.Duration // how long the entry has been missing, zero if it is there; never counted before a store has answered
	// Evacuated is true if the target's zone is being evacuated and the group has a
	// target elsewhere.
	Evacuated bool
}

// Suspect returns why a group's primary is to be replaced, based on the reports
// of the members and on the primary's entry in the platform's store. It returns
// CauseNone if the primary is to stay.
func (l *Leader) Suspect(group string, entry Entry, now time.Duration) Cause {
	g, ok := l.Record.Groups[group]
	if !ok || g.Moving {
		return CauseNone
	}
	if entry.Missing == 0 && entry.Target.Draining {
		return CauseDraining
	}
	if entry.Missing == 0 && g.Restarted(entry.Target) {
		return CauseRestarted
	}
	var lastOK time.Duration
	failing, refused, demoted, lostLog := false, false, false, false
	for name := range l.reporters[group] {
		m := l.members[name]
		r, ok := m.reports[group]
		if !ok || r.Epoch != g.Epoch || now-m.lastHeartbeat > heartbeatMaxAge {
			continue
		}
		var succeeded time.Duration
		if r.OKAge >= 0 {
			succeeded = m.lastHeartbeat - r.OKAge
		}
		lastOK = max(lastOK, succeeded)
		failing = failing || r.Failing > 0
		refused = refused || r.Refused
		// Reads of other members may succeed all the while.
		demoted = demoted || r.Demoted && now-succeeded > refusedTimeout
		lostLog = lostLog || r.LostLog && now-succeeded > refusedTimeout
	}
	if now < l.Claimed+firstReportsTime && !l.AllMembersReported() {
		return CauseNone // some members may have reached the primary
	}
	silent := now - lastOK
	switch {
	case lostLog:
		return CauseReborn
	case demoted:
		return CauseDemoted
	case refused && silent > refusedTimeout:
		return CauseRefused
	case failing && silent > unreachableTimeout:
		return CauseSilent
	case entry.Missing > missingEntryTimeout && silent > unreachableTimeout:
		return CauseGone
	case entry.Evacuated:
		return CauseEvacuated
	}
	return CauseNone
}
