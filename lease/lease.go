package lease

import "time"

// Lease is a VM's right to use the primaries of a record. The zero value grants
// nothing.
type Lease struct {
	Record Record
	Until  time.Duration // end of the lease on the VM's boot clock
}

// Holds reports whether this lease allows the use of a group's primary in the given
// epoch. It is called before a request is sent and again when the answer has
// arrived.
func (l *Lease) Holds(group string, epoch uint64, now time.Duration) bool {
	g, ok := l.Record.Groups[group]
	return ok && now < l.Until && !g.Moving && g.Epoch == epoch
}

// Adopt takes a lease on a record that was received in answer to a request sent
// at sent. It ignores older records and records of earlier leaders, and reports
// whether it took the lease.
func (l *Lease) Adopt(r Record, sent, length time.Duration) bool {
	if r.Token < l.Record.Token || r.Token == l.Record.Token && r.Version < l.Record.Version {
		return false
	}
	if r.Token > l.Record.Token || r.Version > l.Record.Version {
		// Rights under the old version are not carried over.
		l.Record, l.Until = r, 0
	}
	l.Until = max(l.Until, sent+length)
	return true
}

// Learn takes a newer record without a lease on it, and reports whether it was
// newer. The current lease continues for whatever the newer record allows, also
// under the next leader: that leader replaces a primary only once this VM has
// learned of it, or once the leases of the former leader have expired.
func (l *Lease) Learn(r Record) bool {
	if r.Token < l.Record.Token || r.Token == l.Record.Token && r.Version <= l.Record.Version {
		return false
	}
	l.Record = r
	return true
}

// MayAdopt reports whether a VM may take a lease from a leader. An earlier
// process of the VM may have confirmed the next leader's record. A process that
// has not read the record since its start therefore waits for a proof of leadership
// that began after its start, or until the former leader can't grant leases any
// longer. Age is the time since the process started, and proofAge the age of the
// leader's last proof at the time of the VM's request.
func MayAdopt(recordRead bool, age, proofAge time.Duration) bool {
	return recordRead || proofAge+ClockSlack < age || age > HoldTime
}

// TakeoverAfter is how long the leader must be silent before another VM considers
// a takeover: three heartbeats.
const TakeoverAfter = 1300 * time.Millisecond

// storeSignTimeout is how long the leader must have left no sign of life in the
// store before a VM that reaches less than half of the others takes leadership
// over: the time of two such signs and one call.
const storeSignTimeout = 1800 * time.Millisecond

// reconnectGrace is how long a VM that was cut off from the store waits for an
// answer of a leader that has left signs of life there in the meantime: the time
// of some heartbeats.
const reconnectGrace = time.Second

// nonMemberDelay is how much longer a VM that is not a member waits before it
// claims leadership. After a takeover it also has to wait longer before it replaces
// a primary.
const nonMemberDelay = 4 * time.Second

// noStoreTimeout is how long the leader must have been without the store before a
// VM that reaches the store takes leadership over.
const noStoreTimeout = 500 * time.Millisecond

// lowPowerDelay is how long a VM with no CPU power waits for other VMs to become
// the first leader.
const lowPowerDelay = 500 * time.Millisecond

// rankDelay separates the claims of the first members of the record, of which there
// are firstRanks, and restSpread is the period over which the claims of all other
// members are spread. That period does not grow with the fleet.
const (
	rankDelay  = 100 * time.Millisecond
	firstRanks = 12
	restSpread = 1500 * time.Millisecond
)

// claimDelay returns how long a VM waits for the members that come before it in
// the record to claim leadership. Members known to be silent are not counted.
func claimDelay(self string, members []string, silent map[string]bool) time.Duration {
	rank, rest := 0, max(1, len(members)-firstRanks)
	for _, m := range members {
		if m == self {
			break
		}
		if !silent[m] {
			rank++
		}
	}
	restRank := min(max(0, rank-firstRanks), rest)
	return time.Duration(min(rank, firstRanks))*rankDelay + restSpread*time.Duration(restRank)/time.Duration(rest)
}

// ClaimEvidence is the information from which a VM decides whether to take
// leadership over.
type ClaimEvidence struct {
	Self              string
	Power             float64 // share of a CPU core that this VM has
	Record            Record
	Silent            time.Duration   // time since the leader last answered this VM
	NoClaim           time.Duration   // boot-clock time until which this VM has promised not to claim
	Others            int             // number of other VMs that were asked
	Answered          int             // number of the asked VMs that answered
	Unresponsive      map[string]bool // asked VMs that had time to answer and did not
	ReachedLeader     int             // number of the asked VMs that received an answer from the leader recently
	LeaderStoreOutage time.Duration   // how long the leader has reported that it can't reach the store; zero if it can
	StoreReachable    bool            // this VM has reached the store just now
	StoreBackFor      time.Duration   // time since the store answered again after calls had failed; zero if none had failed
	StoreReachableFor time.Duration   // how long this VM has been able to reach the store
	StoreSignAge      time.Duration   // time since this VM learned of the leader's last sign of life in the store
	Age               time.Duration   // time since this process started
	Unanswered        time.Duration   // how long this process has been sending heartbeats to the leader; zero once it has been answered
	Restarted         int             // number of other VMs that started within restartSpan as well and have had no answer since
}

const (
	// restartSpan is the time within which the VMs of a fleet start after a loss of
	// power of all of them.
	restartSpan = 2 * time.Second
	// restartAnswerTime is how long the leader may take for its answer to the first
	// heartbeat: some round trips between regions.
	restartAnswerTime = 150 * time.Millisecond
	// restartLowPowerDelay is how much longer a VM with no CPU power waits, so that the
	// more powerful ones claim first.
	restartLowPowerDelay = 200 * time.Millisecond
	// restartWitnesses is the number of other VMs that must have restarted too.
	restartWitnesses = 2
)

// FleetRestarted reports whether the leader has most likely been lost together with
// this VM and others, all of which have just started again. Waiting for the leader's
// silence would only delay the callers. A wrong guess costs a change of the leader, as
// a claim replaces no primary by itself.
func (s *ClaimEvidence) FleetRestarted() bool {
	wait := restartAnswerTime + time.Duration((1-min(1, s.Power))*float64(restartLowPowerDelay))
	return s.Age < restartSpan && s.Unanswered >= wait && s.Restarted >= restartWitnesses &&
		s.ReachedLeader == 0 && s.Record.IsMember(s.Self)
}

// MayClaim reports whether a VM may claim leadership now.
func MayClaim(s ClaimEvidence, now time.Duration) bool {
	if s.Record.Leader == s.Self {
		return true // an earlier process of this VM led, or the former leader has named this VM as its successor
	}
	if s.Record.Leader == "" {
		return s.Silent >= time.Duration((1-min(1, s.Power))*float64(lowPowerDelay))
	}
	if now < s.NoClaim {
		return false
	}
	if s.FleetRestarted() {
		return true
	}
	delay := claimDelay(s.Self, s.Record.Members, s.Unresponsive)
	if s.StoreReachable && s.StoreReachableFor < delay {
		// The store has just come back, and all VMs have waited long enough. The
		// most powerful ones still go first.
		return false
	}
	if s.StoreBackFor > 0 && s.StoreBackFor < reconnectGrace && s.StoreSignAge < storeSignTimeout {
		return false // this VM was the one that was cut off
	}
	if s.LeaderStoreOutage > 0 && s.StoreReachable {
		// The leader can neither promote nor learn of changes. Its leases end,
		// because this VM has not promised anything.
		return s.LeaderStoreOutage >= noStoreTimeout+delay
	}
	if s.ReachedLeader > 0 {
		return false
	}
	wait := TakeoverAfter + delay
	if !s.Record.IsMember(s.Self) {
		wait += nonMemberDelay
	}
	if 2*s.Answered < s.Others && (!s.StoreReachable || s.StoreSignAge < storeSignTimeout) {
		// Most likely this VM is the one that is cut off.
		return false
	}
	return s.Silent >= wait
}
