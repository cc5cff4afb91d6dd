package lease

import "time"

// Lease is a VM's right to use the primaries of a record. The zero value is
// none.
type Lease struct {
	Record Record
	Until  time.Duration // on the VM's boot clock
}

// Holds reports whether the primary of a group may be used in the given epoch.
// It is asked before a request is sent and again when its answer is there.
func (l *Lease) Holds(group string, epoch uint64, now time.Duration) bool {
	g, ok := l.Record.Groups[group]
	return ok && now < l.Until && !g.Moving && g.Epoch == epoch
}

// Adopt takes a lease on a record that a request sent at sent has brought. Older
// records, and those of earlier holders, are ignored.
func (l *Lease) Adopt(r Record, sent, length time.Duration) bool {
	if r.Token < l.Record.Token || r.Token == l.Record.Token && r.Version < l.Record.Version {
		return false
	}
	if r.Token > l.Record.Token || r.Version > l.Record.Version {
		// What the old version allowed is not carried over.
		l.Record, l.Until = r, 0
	}
	l.Until = max(l.Until, sent+length)
	return true
}

// Learn takes a newer record without a lease on it. The lease goes on for what the
// newer record allows, also under the next holder: that one replaces a primary once
// this VM has learned of it, or once leases of the holder before have run out.
func (l *Lease) Learn(r Record) bool {
	if r.Token < l.Record.Token || r.Token == l.Record.Token && r.Version <= l.Record.Version {
		return false
	}
	l.Record = r
	return true
}

// MayAdopt reports whether a VM may take a lease from a holder. An earlier process
// of the VM may have confirmed the next holder's record: a process that has not read
// the record waits until the one before can't grant leases any longer.
func MayAdopt(recordRead bool, age time.Duration) bool { return recordRead || age > LeaseTime }

// TakeoverAfter is how long the holder is silent before another VM considers to
// take the duty over: three heartbeats.
const TakeoverAfter = 1300 * time.Millisecond

// lostSign is how long the holder gives no sign at the store before a VM that hears
// from less than half of the others takes the duty over: two of those signs, and a
// call.
const storeSignTimeout = 1800 * time.Millisecond

// returnTime is how long a VM that was cut off from the store leaves it to a holder that
// has given signs there meanwhile to be heard again: some heartbeats.
const reconnectGrace = time.Second

// strangerDelay is how much longer a VM waits that is no member: a takeover by it
// has to wait longer, too, before it replaces a primary.
const nonMemberDelay = 4 * time.Second

// withoutStore is how long the holder is without the store before a VM that
// reaches it takes the duty over.
const noStoreTimeout = 500 * time.Millisecond

// weakDelay is how long a VM without any power leaves it to others to be the first
// holder.
const lowPowerDelay = 500 * time.Millisecond

// rankDelay spreads the claims of the first members, and farSpread those of all the
// others together: it doesn't grow with the fleet.
const (
	rankDelay  = 100 * time.Millisecond
	firstRanks = 12
	restSpread = 1500 * time.Millisecond
)

// turn returns how long a VM leaves a claim to members that come before it in the
// record, without those that are known to be silent.
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

// Sight is what a VM knows when it considers to take the duty over.
type Sight struct {
	Self      string
	Power     float64 // share of a core that this VM has
	Record    Record
	Silent    time.Duration   // since the holder last answered this VM
	NoClaim   time.Duration   // boot clock: until then this VM has promised not to claim
	Others    int             // other VMs that were asked
	Answered  int             // of them, those that answered
	Mute      map[string]bool // of them, those that had time to answer and did not
	HeardByAt int             // of them, those that heard the holder lately
	Without   time.Duration   // since the holder says that it does not reach the store
	Store     bool            // this VM has reached the store just now
	Back      time.Duration   // since it answered again after calls had failed, zero if none has
	StoreFor  time.Duration   // since when it does
	Sign      time.Duration   // since this VM learned of the holder's last sign at the store
}

// MayClaim decides whether a VM claims the duty now.
func MayClaim(s Sight, now time.Duration) bool {
	if s.Record.Holder == s.Self {
		return true // an earlier process of this VM holds it
	}
	if s.Record.Holder == "" {
		return s.Silent >= time.Duration((1-min(1, s.Power))*float64(lowPowerDelay))
	}
	if now < s.NoClaim {
		return false
	}
	delay := claimDelay(s.Self, s.Record.Members, s.Mute)
	if s.Store && s.StoreFor < delay {
		// The store has just come back, and all have waited long enough: the most
		// powerful go first then, too.
		return false
	}
	if s.Back > 0 && s.Back < reconnectGrace && s.Sign < storeSignTimeout {
		return false // it was this VM that was cut off
	}
	if s.Without > 0 && s.Store {
		// It can neither promote nor learn of changes. Its leases end, as this VM
		// has not promised anything.
		return s.Without >= noStoreTimeout+delay
	}
	if s.HeardByAt > 0 {
		return false
	}
	wait := TakeoverAfter + delay
	if !s.Record.Member(s.Self) {
		wait += nonMemberDelay
	}
	if 2*s.Answered < s.Others && (!s.Store || s.Sign < storeSignTimeout) {
		// Most likely this VM is the one that is cut off.
		return false
	}
	return s.Silent >= wait
}
