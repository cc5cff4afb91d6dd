package limit

import (
	"math"
	"sort"
	"time"
)

// Transfer is a message that moves units of a team from one VM to another.
type Transfer struct {
	From   string  `cbor:"f"` // identity of the sender
	To     string  `cbor:"t"` // identity of the receiver
	Epoch  uint64  `cbor:"e"` // epoch of the sender; receivers discard transfers of earlier epochs
	Seq    uint64  `cbor:"s"` // sequence number of the sender for this receiver
	Team   string  `cbor:"m"`
	Units  uint64  `cbor:"u"` // units that the receiver gets
	Tokens float64 `cbor:"k"` // tokens that the receiver gets
}

// Demand is what a VM reports to its peers about one team, so that units can be moved
// to the VMs that receive the team's requests.
type Demand struct {
	Units uint64  `cbor:"u"` // units that the VM holds
	Rate  float64 `cbor:"r"` // moving average of the requested statements per second
}

// Ledger holds one VM's units and token buckets of all teams. A zero Ledger with
// Self set holds no units. A Ledger is not safe for concurrent use.
type Ledger struct {
	Self  string // identity of this process, never reused after the process ends
	Epoch uint64 // epoch that the VM has entered; zero until the VM is a member

	accounts     map[string]*account
	grantedEpoch uint64            // newest epoch whose grant was added
	lastSent     map[string]uint64 // sequence number of the newest transfer sent, by receiver
	lastReceived map[string]uint64 // sequence number of the newest transfer accepted, by sender
}

// account returns the account of a team, which it creates if necessary.
func (l *Ledger) account(team string) *account {
	a := l.accounts[team]
	if a == nil {
		a = &account{}
		if l.accounts == nil {
			l.accounts = make(map[string]*account)
		}
		l.accounts[team] = a
	}
	return a
}

// Set sets a team's rate (statements per second) and burst (statements), over all
// VMs, from the settings in force.
func (l *Ledger) Set(team string, rate, burst float64, now time.Time) {
	a := l.account(team)
	a.refill(now)
	a.rate, a.burst = rate, burst
	a.refill(now)
}

// Take takes n tokens of a team, one per statement. It returns how long to wait
// before the statements may run. It takes nothing and returns false if the wait
// would exceed maxWait.
func (l *Ledger) Take(team string, n int, maxWait time.Duration, now time.Time) (time.Duration, bool) {
	return l.account(team).take(float64(n), maxWait, now)
}

// Units returns the units that the VM holds of a team.
func (l *Ledger) Units(team string) uint64 {
	if a := l.accounts[team]; a != nil {
		return a.units
	}
	return 0
}

// Tokens returns the number of tokens in a team's bucket.
func (l *Ledger) Tokens(team string) float64 {
	if a := l.accounts[team]; a != nil {
		return a.tokens
	}
	return 0
}

// Holdings returns the units that the VM holds, by team.
func (l *Ledger) Holdings() map[string]uint64 {
	m := make(map[string]uint64, len(l.accounts))
	for t, a := range l.accounts {
		m[t] = a.units
	}
	return m
}

// Demands updates the demand of every team and returns it, by team, as reported to
// peers.
func (l *Ledger) Demands(now time.Time) map[string]Demand {
	m := make(map[string]Demand, len(l.accounts))
	for t, a := range l.accounts {
		a.updateDemand(now)
		m[t] = Demand{Units: a.units, Rate: a.demand}
	}
	return m
}

// Give subtracts units and their share of the tokens and returns the transfer that
// carries them. It returns false if the VM holds too few units or is not a member.
func (l *Ledger) Give(team, to string, units uint64, now time.Time) (Transfer, bool) {
	a := l.account(team)
	if units == 0 || units > a.units || l.Epoch == 0 || to == l.Self {
		return Transfer{}, false
	}
	a.refill(now)
	tokens := math.Max(a.tokens, 0) * float64(units) / float64(a.units)
	a.units -= units
	a.tokens -= tokens
	a.refill(now)
	if l.lastSent == nil {
		l.lastSent = make(map[string]uint64)
	}
	l.lastSent[to]++
	return Transfer{From: l.Self, To: to, Epoch: l.Epoch, Seq: l.lastSent[to], Team: team, Units: units, Tokens: tokens}, true
}

// Receive accepts a transfer. It reports whether the sender may stop sending it:
// the transfer was accepted, now or before, or it belongs to an earlier epoch and
// its units are lost.
func (l *Ledger) Receive(t Transfer, now time.Time) bool {
	if t.To != l.Self || t.Epoch > l.Epoch {
		return false
	}
	if t.Epoch < l.Epoch || t.Seq <= l.lastReceived[t.From] {
		return true
	}
	if l.lastReceived == nil {
		l.lastReceived = make(map[string]uint64)
	}
	l.lastReceived[t.From] = t.Seq
	a := l.account(t.Team)
	a.refill(now)
	a.units += t.Units
	a.tokens += t.Tokens
	a.refill(now)
	return true
}

// Enter moves the VM to a new epoch and returns the units it holds, which the
// caller must record. From then on transfers of earlier epochs are discarded.
func (l *Ledger) Enter(epoch uint64) map[string]uint64 {
	l.Epoch = max(l.Epoch, epoch)
	return l.Holdings()
}

// Grant adds the units that an epoch grants to this VM, once per epoch.
func (l *Ledger) Grant(epoch uint64, units map[string]uint64, now time.Time) {
	if epoch != l.Epoch || epoch <= l.grantedEpoch {
		return
	}
	l.grantedEpoch = epoch
	for t, u := range units {
		a := l.account(t)
		a.refill(now)
		a.units += u
	}
}

// SpareUnits returns how many units of a team to give to a peer that has too few:
// half of this VM's units if its bucket is at least half full, which shows that
// they are not used here, and otherwise none.
func (l *Ledger) SpareUnits(team string, now time.Time) uint64 {
	a := l.accounts[team]
	if a == nil || a.units < 2 {
		return 0
	}
	a.refill(now)
	if a.tokens*2 < a.burst*a.share() {
		return 0
	}
	return a.units / 2
}

// Parameters of Plan.
const (
	// minDemandFraction is the demand that Plan adds for every VM, also for one
	// without requests, as a fraction of the team's rate.
	minDemandFraction = 0.02
	// minSurplus is the number of units by which a VM may differ from its planned
	// share before units are transferred.
	minSurplus = TotalUnits / 128
)

// Move is a planned transfer of units of a team to a peer.
type Move struct {
	Team  string
	To    string // identity of the receiving VM
	Units uint64
}

// Plan returns the moves that bring this VM's units towards its share of the total
// demand. peers holds the demands of the VMs in the same epoch, by VM and team.
func (l *Ledger) Plan(peers map[string]map[string]Demand) []Move {
	var moves []Move
	for team, a := range l.accounts {
		moves = append(moves, a.plan(team, peers)...)
	}
	return moves
}

// plan returns the moves of one team; see Ledger.Plan.
func (a *account) plan(team string, peers map[string]map[string]Demand) []Move {
	minDemand := a.rate * minDemandFraction
	total := a.demand + minDemand
	heldUnits := a.units
	for _, d := range peers {
		total += d[team].Rate + minDemand
		heldUnits += d[team].Units
	}
	if total <= 0 || heldUnits == 0 {
		return nil
	}
	targetUnits := func(demand float64) uint64 {
		return uint64(float64(heldUnits) * (demand + minDemand) / total)
	}
	ownTarget := targetUnits(a.demand)
	if a.units <= ownTarget+minSurplus {
		return nil
	}
	surplus := a.units - ownTarget
	type shortage struct {
		peer  string
		units uint64
	}
	var shortages []shortage
	for p, d := range peers {
		if w := targetUnits(d[team].Rate); w > d[team].Units+minSurplus {
			shortages = append(shortages, shortage{p, w - d[team].Units})
		}
	}
	sort.Slice(shortages, func(i, j int) bool {
		if shortages[i].units != shortages[j].units {
			return shortages[i].units > shortages[j].units
		}
		return shortages[i].peer < shortages[j].peer
	})
	var totalShortage uint64
	for _, k := range shortages {
		totalShortage += k.units
	}
	var moves []Move
	for _, k := range shortages {
		// Other VMs with a surplus fill the same shortages, so this VM divides its
		// surplus in proportion to the shortages.
		units := min(k.units, uint64(float64(surplus)*float64(k.units)/float64(totalShortage)))
		if units > 0 {
			moves = append(moves, Move{Team: team, To: k.peer, Units: units})
		}
	}
	return moves
}
