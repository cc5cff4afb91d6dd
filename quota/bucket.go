package quota

import (
	"math"
	"sync"
	"time"

	"github.com/pollendoor/pollendoor"
	"github.com/pollendoor/pollendoor/clock"
)

// demandTimeConstant is the time constant of the moving average of demand.
const demandTimeConstant = 1500 * time.Millisecond

// idleBucketTTL is how long an unused bucket of a team is retained whose rate is kept
// by another VM. Until then the leader is informed that the share was
// released.
const idleBucketTTL = 5 * time.Second

// Tolerance is what all VMs together may admit beyond rate and burst within Window
// without exceeding the limit: a fraction of the window's allowance plus a fixed
// number of operations.
type Tolerance struct {
	Window time.Duration
	Excess float64 // fraction of a window's allowance
	Margin float64 // number of operations
	// Buckets is the number of buckets with a share of the same team. Each of them may
	// hold one token whatever its share.
	Buckets int
}

// MaxWait is the longest time that an operation waits for its token before it is
// refused. It allows for small shares, which refill slowly, and for callers that
// arrive in bursts.
const MaxWait = 400 * time.Millisecond

// LongestWait replaces MaxWait for an operation that has waited for the share of its
// keeper, if its goal allows for it: after a restart of all VMs the callers of the time
// before return together, and the buckets are nearly empty.
const LongestWait = time.Second

// longestRefill bounds the reported time until a bucket has a token. A share near zero
// changes much sooner.
const longestRefill = time.Hour

// standingWait replaces MaxWait once operations have been waiting for longer than
// standingTime without a pause: a queue that stands admits no more operations than a
// short one, and makes all of them late.
const (
	standingWait = 100 * time.Millisecond
	standingTime = time.Second
)

// zoneWait is the longest time that an operation waits for a token of its zone
// before it requests one of the reserve. It is about a round trip between regions.
const zoneWait = 50 * time.Millisecond

const (
	// unsharedTolerance is the part of the tolerance that VMs without a share use.
	unsharedTolerance = 0.1
	// immediateBurst is the part of a team's burst that may be used at once. The rest
	// is spread over the window.
	immediateBurst = 0.3
	// burstTolerance is the part of the tolerance that enlarges the burst, which is
	// divided among many VMs.
	burstTolerance = 0.55
	// tokenTolerance is the rest of the tolerance. It covers the one token that each
	// bucket may hold regardless of its share. What is left of it is spare.
	tokenTolerance = 1 - unsharedTolerance - burstTolerance
)

// Source is the part of a team's allowance from which an operation requests a token.
type Source uint8

// The sources.
const (
	ZoneShare     Source = iota // the share of the operation's zone
	FirstReserve                // the first reserve of the team's allowance for all zones
	SecondReserve               // the second reserve, kept by another VM
	NumSources                  // the number of sources
)

// TokenRequest is one attempt to get a token for an operation.
type TokenRequest struct {
	Source        Source        `cbor:"1,keyasint,omitempty"`
	MaxWait       time.Duration `cbor:"2,keyasint,omitempty"` // longest wait for the token
	Counted       bool          `cbor:"3,keyasint,omitempty"` // the operation has already been counted as demand
	ReservesEmpty bool          `cbor:"4,keyasint,omitempty"` // the reserves had no token for the operation
	Skipped       int           `cbor:"5,keyasint,omitempty"` // operations that were refused without a request and count as demand
}

// LateTokenRequests returns the requests of an operation that has waited for a share and
// can wait for its token for left at most.
func LateTokenRequests(left time.Duration) []TokenRequest {
	requests := TokenRequests()
	for i := range requests {
		if q := &requests[i]; q.MaxWait == MaxWait {
			q.MaxWait = min(max(0, left), LongestWait)
		}
	}
	return requests
}

// TokenRequests returns the requests that an operation makes, in this order, until
// one is granted.
func TokenRequests() []TokenRequest {
	return []TokenRequest{
		{Source: ZoneShare, MaxWait: zoneWait},
		{Source: FirstReserve, MaxWait: 2 * zoneWait},
		{Source: SecondReserve, MaxWait: MaxWait},
		{Source: ZoneShare, MaxWait: MaxWait, Counted: true, ReservesEmpty: true},
	}
}

// operations returns the number of operations beyond rate and burst that may be
// admitted within a window.
func (s Tolerance) operations(l pollendoor.TeamLimit) float64 {
	return s.Excess*(l.Rate*s.Window.Seconds()+l.Burst) + s.Margin
}

// unshared reports whether each of n VMs may admit operations without a share: the
// tolerance has to cover one token of each VM besides one of each bucket with a share.
// With 24 VMs and a small team it did not, and the limit was exceeded when the team's
// keepers were frozen. It reports false if the number of VMs is not known.
func (s Tolerance) unshared(l pollendoor.TeamLimit, n int) bool {
	return n > 0 && float64(n+s.Buckets) <= tokenTolerance*s.operations(l)
}

// unsharedRate returns the operations per second that each of n VMs may admit
// without a share.
func (s Tolerance) unsharedRate(l pollendoor.TeamLimit, n int) float64 {
	w := s.Window.Seconds()
	if w <= 0 || !s.unshared(l, n) {
		return 0
	}
	return unsharedTolerance * s.operations(l) / w / float64(n)
}

// spare returns the number of operations that neither shares nor the n VMs without a
// share use of the tolerance. They may be admitted once in a window.
func (s Tolerance) spare(l pollendoor.TeamLimit, n int) float64 {
	left := tokenTolerance*s.operations(l) - float64(s.Buckets)
	switch {
	case n <= 0:
		return 0
	case s.unshared(l, n):
		left -= float64(n)
	default:
		left += unsharedTolerance * s.operations(l)
	}
	return max(0, left)
}

// burst returns the number of operations that a share of 1 may admit at once.
func (s Tolerance) burst(l pollendoor.TeamLimit) float64 {
	immediate := immediateBurst
	if s.Window <= 0 {
		immediate = 1
	}
	return immediate*l.Burst + burstTolerance*s.operations(l)
}

// sustainedRate returns the operations per second that a share of 1 may admit
// indefinitely. The limit applies to rate and burst together in each window: a
// bucket that reserved the whole burst would refuse operations of a team with
// steady demand although the window allows them.
func (s Tolerance) sustainedRate(l pollendoor.TeamLimit) float64 {
	if s.Window <= 0 {
		return l.Rate
	}
	return l.Rate + (1-immediateBurst)*l.Burst/s.Window.Seconds()
}

// newKeeperGrace is how long a VM that has become the keeper of a team's rate waits
// for its first share. It covers some heartbeats.
const newKeeperGrace = time.Second

// startGrace is how long a process waits for its first shares, also those of teams whose
// keeper it is not yet. After a loss of power of all VMs, the last process starts half
// a second after the first, and the leadership is claimed a quarter of a second later.
const startGrace = 2 * time.Second

// Decision is the result of a token request.
type Decision uint8

// The decisions.
const (
	OverRate      Decision = iota // the team is over its rate
	Granted                       // the operation may run after the returned wait
	SharePending                  // undecided, because this VM still waits for its share
	ReservesEmpty                 // the team is over its rate, and the reserves lately had no token
)

// emptyReserveTime is how long the reserves count as empty after they had no token
// for an operation. It bounds the requests to other regions for a team that is far
// over its rate.
const emptyReserveTime = 200 * time.Millisecond

// bucket is the token bucket of one team at a VM.
type bucket struct {
	share              float64       // granted part of the team's allowance
	expires            time.Duration // time at which the share expires
	tokens             float64
	queuedSince        time.Duration // since when operations have had to wait, zero if there was a token for the last one
	filledAt           time.Duration // time up to which tokens were added
	requested          float64       // operations counted since demand was last averaged
	demand             float64       // moving average of operations per second
	averagedAt         time.Duration // time at which demand was last averaged
	usedAt             time.Duration // time of the last token request, or of the release of the share
	kept               bool          // this VM is a keeper of the team's rate
	keptSince          time.Duration // time at which this VM became the keeper
	busyUntil          time.Duration // latest time at which an operation may begin that got a token
	released           float64       // share that was released last
	reservesEmptyUntil time.Duration // time until which the reserves count as empty
}

// Buckets admits operations at one VM, with a token bucket for each team. The zero
// value has no shares and no tolerance. It is safe for concurrent use.
type Buckets struct {
	mu        sync.Mutex
	teams     map[string]*bucket
	seq       uint64 // sequence number of the grants applied last
	peers     int    // number of VMs that share the tolerance
	tolerance Tolerance
	startedAt time.Duration // time at which the process started
	lastToken time.Duration // latest time at which a granted operation may begin
	creditor  uint64        // leader that granted the credits in credited
	// credited is the credit of each team that was added to its bucket since the
	// leader began. It outlives the buckets, so that no credit is added twice.
	credited map[string]time.Duration
}

// Start sets the time at which the process started.
func (b *Buckets) Start(now time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.startedAt = now
}

// LastToken returns the latest time at which an operation may begin that got a token
// of these buckets, or the start of the process if that is later.
func (b *Buckets) LastToken() time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	return max(b.startedAt, b.lastToken)
}

// Configure sets the tolerance and the number of VMs that share it. The largest number
// counts: a view of a part of the fleet must not enlarge what each of its VMs may admit.
func (b *Buckets) Configure(s Tolerance, peers int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tolerance, b.peers = s, max(b.peers, peers)
}

// Peers returns the number of VMs that share the tolerance.
func (b *Buckets) Peers() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.peers
}

// bucket returns a team's bucket, which it creates if necessary. A new bucket has
// what the process may admit without a share since its start, and one token at most:
// with a token for each new process, VMs that restart together would admit a second
// burst. The caller holds mu.
func (b *Buckets) bucket(name string, l pollendoor.TeamLimit, now time.Duration) *bucket {
	if b.teams == nil {
		b.teams = make(map[string]*bucket)
	}
	t := b.teams[name]
	if t == nil {
		t = &bucket{filledAt: now, averagedAt: now, tokens: 1}
		if b.tolerance.Window > 0 {
			t.tokens = min(1, b.tolerance.unsharedRate(l, b.peers)*(now-b.startedAt).Seconds())
		}
		b.teams[name] = t
	}
	return t
}

// fill adds the tokens for the time since the last fill: at the rate of the share
// until it expired, and at the rate without a share after that.
func (t *bucket) fill(l pollendoor.TeamLimit, tolerance Tolerance, n int, now time.Duration) {
	unsharedRate := tolerance.unsharedRate(l, n)
	sharedTime := max(0, min(now, t.expires)-t.filledAt)
	unsharedTime := max(0, now-max(t.filledAt, t.expires))
	t.tokens += sharedTime.Seconds()*max(tolerance.sustainedRate(l)*t.share, unsharedRate) + unsharedTime.Seconds()*unsharedRate
	maxTokens := max(1, unsharedRate)
	if unsharedRate <= 0 && tolerance.Window > 0 {
		maxTokens = 0
	}
	if now < t.expires && t.share > 0 {
		maxTokens = max(1, maxTokens, tolerance.burst(l)*t.share)
	}
	t.tokens = math.Min(t.tokens, maxTokens)
	t.filledAt = now
}

// Admit requests a token for one operation of a team at the time now. If the
// decision is Granted it takes the token and returns how long the operation has to
// wait for it, at most the wait of the request. Otherwise it takes no token, and returns
// when there will be one, or zero if that is not known.
func (b *Buckets) Admit(team string, l pollendoor.TeamLimit, q TokenRequest, now time.Duration) (time.Duration, Decision) {
	b.mu.Lock()
	defer b.mu.Unlock()
	t := b.bucket(team, l, now)
	t.usedAt = now
	t.fill(l, b.tolerance, b.peers, now)
	rate := b.tolerance.unsharedRate(l, b.peers)
	shared := now < t.expires && t.share > 0
	if shared {
		rate = max(rate, b.tolerance.sustainedRate(l)*t.share)
	}
	wait, ok := time.Duration(0), t.tokens >= 1
	if ok {
		t.queuedSince = 0
	} else if t.queuedSince == 0 {
		t.queuedSince = now
	}
	if !ok && rate > 0 {
		maxWait := q.MaxWait
		if now-t.queuedSince > standingTime {
			maxWait = min(maxWait, standingWait)
		}
		if shared {
			// Once the share has expired, another VM may have it.
			maxWait = min(maxWait, t.expires-now)
		}
		wait = min(clock.Seconds((1-t.tokens)/rate), longestRefill)
		ok = wait <= maxWait
	}
	pending := t.kept && now < t.keptSince+newKeeperGrace || b.startedAt > 0 && now < b.startedAt+startGrace
	if !ok && !shared && pending {
		t.queuedSince = 0      // the time without a share is no standing queue
		return 0, SharePending // the request is repeated, so it is not counted as demand yet
	}
	if !q.Counted {
		t.requested += 1 + float64(max(0, q.Skipped))
	}
	if q.ReservesEmpty && !ok {
		t.reservesEmptyUntil = now + emptyReserveTime
	}
	switch {
	case !ok && now < t.reservesEmptyUntil:
		return wait, ReservesEmpty
	case !ok:
		return wait, OverRate
	}
	t.tokens--
	t.busyUntil = max(t.busyUntil, now+wait)
	b.lastToken = max(b.lastToken, t.busyUntil)
	return wait, Granted
}

// Report returns the share and demand of each team for the leader, and the sequence
// number of the grants applied last.
func (b *Buckets) Report(now time.Duration) (map[string]HeldShare, uint64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	out := make(map[string]HeldShare, len(b.teams))
	for name, t := range b.teams {
		if !t.kept && now-t.usedAt > idleBucketTTL {
			delete(b.teams, name)
			continue
		}
		if d := (now - t.averagedAt).Seconds(); d > 0 {
			k := 1 - math.Exp(-d/demandTimeConstant.Seconds())
			t.demand += (t.requested/d - t.demand) * k
			t.requested, t.averagedAt = 0, now
		}
		if t.kept || t.usedAt > now-idleBucketTTL {
			h := HeldShare{Amount: t.share, Left: max(0, t.expires-now), Demand: t.demand, Released: !t.kept}
			if t.share > 0 && now > t.expires {
				h.Expired = now - t.expires
			}
			if h.Released && now < t.busyUntil {
				h.Amount, h.Left = t.released, t.busyUntil-now
			}
			out[name] = h
		}
	}
	return out, b.seq
}

// ApplyGrants sets the shares that the leader granted in answer to a report that was
// sent at the time sent, together with a lease, and adds the credits that it has not
// added yet. Limits are the limits of the teams. Shares of teams whose rate this VM
// does not keep are ignored.
func (b *Buckets) ApplyGrants(g Grants, limits map[string]pollendoor.TeamLimit, lease, sent, now time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.seq = g.Seq
	if b.credited == nil || b.creditor != g.Leader {
		b.creditor, b.credited = g.Leader, make(map[string]time.Duration)
	}
	for name, s := range g.Amounts {
		l := limits[name]
		t := b.bucket(name, l, now)
		if !t.kept {
			continue
		}
		t.fill(l, b.tolerance, b.peers, now)
		t.share, t.expires = s, sent+validity(lease)
		if added := g.Credits[name] - b.credited[name]; added > 0 {
			b.credited[name] += added
			t.tokens += added.Seconds() * b.tolerance.sustainedRate(l)
			t.fill(l, b.tolerance, b.peers, now)
		}
	}
}

// SetKeptTeams sets the teams for which this VM is a quota keeper. A share is
// requested for each of them, so that it is available before the team's first
// caller, and the shares of all other teams are released.
func (b *Buckets) SetKeptTeams(kept map[string]pollendoor.TeamLimit, now time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for name, l := range kept {
		if t := b.bucket(name, l, now); !t.kept {
			t.kept, t.keptSince = true, now
		}
	}
	for name, t := range b.teams {
		if _, ok := kept[name]; !ok && t.kept {
			t.kept, t.released, t.share, t.expires, t.usedAt = false, t.share, 0, 0, now
		}
	}
}
