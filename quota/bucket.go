package quota

import (
	"math"
	"sync"
	"time"

	"github.com/pollendoor/pollendoor"
)

// demandTime is the time constant of the moving average of demand.
const demandTime = 1500 * time.Millisecond

// forgetTime is how long a team's bucket is kept that is neither used nor kept for
// the zone. Until then the holder hears that its share was given up.
const forgetTime = 5 * time.Second

// Slack is what may be admitted beyond rate and burst, over all VMs, without
// breaking the limit: a part of the allowance of a window, and a number.
type Tolerance struct {
	Window time.Duration
	Excess float64 // part of the allowance of a window
	Margin float64 // operations
}

// MaxWait is the longest that an operation waits for its token instead of being
// refused. Small shares fill slowly, and callers come in clusters.
const MaxWait = 400 * time.Millisecond

// nearWait is the longest that an operation waits for a token of its zone before it
// asks for one of the reserve: about a round trip between regions.
const nearWait = 50 * time.Millisecond

const (
	// bareSlack is the part of the slack that VMs without a share use.
	bareSlack = 0.1
	// burstKept is the part of a team's burst that may come at once; the rest is
	// spread over the window.
	burstKept = 0.3
	// burstSlack is the part of the slack that enlarges the burst, which is
	// divided among many VMs. What is left of the slack is for the one token that
	// a bucket holds however small its share is.
	burstSlack = 0.55
)

// Source says whose tokens an operation asks for.
type Source uint8

// The sources.
const (
	ZoneShare     Source = iota // the share of its zone
	FirstReserve                // the part of the team's allowance that is kept for all zones
	SecondReserve               // another such part, kept by another VM
	NumSources                  // their number
)

// Question is one attempt to get a token.
type TokenRequest struct {
	Source        Source        `cbor:"1,keyasint,omitempty"`
	MaxWait       time.Duration `cbor:"2,keyasint,omitempty"` // the longest wait for the token
	Counted       bool          `cbor:"3,keyasint,omitempty"` // the operation has been counted as demand before
	ReservesEmpty bool          `cbor:"4,keyasint,omitempty"` // the reserves had no token for it
}

// Questions returns what an operation asks, in this order, until one is granted.
func TokenRequests() []TokenRequest {
	return []TokenRequest{
		{Source: ZoneShare, MaxWait: nearWait},
		{Source: FirstReserve, MaxWait: 2 * nearWait},
		{Source: SecondReserve, MaxWait: MaxWait},
		{Source: ZoneShare, MaxWait: MaxWait, Counted: true, ReservesEmpty: true},
	}
}

// whole returns the operations beyond rate and burst that fit into a window.
func (s Tolerance) whole(l pollendoor.TeamLimit) float64 {
	return s.Excess*(l.Rate*s.Window.Seconds()+l.Burst) + s.Margin
}

// rate returns the operations a second that one of n VMs may admit without a
// share.
func (s Tolerance) rate(l pollendoor.TeamLimit, n int) float64 {
	w := s.Window.Seconds()
	if w <= 0 {
		return 0
	}
	return bareSlack * s.whole(l) / w / float64(max(1, n))
}

// burst returns the operations that a whole share may admit at once.
func (s Tolerance) burst(l pollendoor.TeamLimit) float64 {
	kept := burstKept
	if s.Window <= 0 {
		kept = 1
	}
	return kept*l.Burst + burstSlack*s.whole(l)
}

// steady returns the operations a second that a whole share admits for good. The
// limit is one on each window, rate and burst together: a bucket that kept the
// whole burst back would refuse a steady team what the window has room for.
func (s Tolerance) steady(l pollendoor.TeamLimit) float64 {
	if s.Window <= 0 {
		return l.Rate
	}
	return l.Rate + (1-burstKept)*l.Burst/s.Window.Seconds()
}

// newKeeper is how long a VM that has come to keep a team's rate may expect its
// share: some heartbeats of a fleet that has just started.
const newKeeper = time.Second

// Verdict is the decision on one operation.
type Decision uint8

// The verdicts.
const (
	OverRate      Decision = iota // the team is over its rate
	Granted                       // the operation may run
	SharePending                  // undecided: this VM's share is on its way
	ReservesEmpty                 // over, and the reserves had no token a moment ago
)

// dryTime is how long reserves count as empty after an operation found them so: it
// bounds what a team far beyond its rate asks for in other regions.
const dryTime = 200 * time.Millisecond

// bucket is one team's tokens at a VM.
type bucket struct {
	share  float64
	until  time.Duration
	tokens float64
	filled time.Duration
	asked  float64
	demand float64
	since  time.Duration // when demand was last averaged
	used   time.Duration
	kept   bool          // this VM asks for a share
	keeps  time.Duration // since when
	dry    time.Duration // until then the reserves count as empty
}

// Buckets admits operations at one VM. The zero value admits by the slack only.
// It is safe for use by several goroutines.
type Buckets struct {
	mu    sync.Mutex
	teams map[string]*bucket
	seq   uint64
	peers int
	slack Tolerance
}

// Configure sets the slack and the number of VMs that share it.
func (b *Buckets) Configure(s Tolerance, peers int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.slack, b.peers = s, peers
}

func (b *Buckets) team(name string, now time.Duration) *bucket {
	if b.teams == nil {
		b.teams = make(map[string]*bucket)
	}
	t := b.teams[name]
	if t == nil {
		t = &bucket{filled: now, since: now, tokens: 1}
		b.teams[name] = t
	}
	return t
}

// fill adds the tokens of the time since the last fill, by the share while it
// lasted and by the slack behind it.
func (t *bucket) fill(l pollendoor.TeamLimit, k Tolerance, n int, now time.Duration) {
	bareRate := k.rate(l, n)
	shared := max(0, min(now, t.until)-t.filled)
	bare := max(0, now-max(t.filled, t.until))
	t.tokens += shared.Seconds()*max(k.steady(l)*t.share, bareRate) + bare.Seconds()*bareRate
	most := max(1, bareRate)
	if now < t.until {
		most = max(most, k.burst(l)*t.share)
	}
	t.tokens = math.Min(t.tokens, most)
	t.filled = now
}

// Admit takes one operation of a team and returns how long it has to wait for
// its token. Nothing is taken unless the verdict is Granted; no token is further
// away than the question's patience.
func (b *Buckets) Admit(team string, l pollendoor.TeamLimit, q TokenRequest, now time.Duration) (time.Duration, Decision) {
	b.mu.Lock()
	defer b.mu.Unlock()
	t := b.team(team, now)
	t.used = now
	t.fill(l, b.slack, b.peers, now)
	rate := b.slack.rate(l, b.peers)
	shared := now < t.until && t.share > 0
	if shared {
		rate = max(rate, b.slack.steady(l)*t.share)
	}
	wait, ok := time.Duration(0), t.tokens >= 1
	if !ok && rate > 0 {
		wait = time.Duration((1 - t.tokens) / rate * float64(time.Second))
		ok = wait <= q.MaxWait
	}
	if !ok && !shared && t.kept && now < t.keeps+newKeeper {
		return 0, SharePending // asked again, so it does not count as demand yet
	}
	if !q.Counted {
		t.asked++
	}
	if q.ReservesEmpty && !ok {
		t.dry = now + dryTime
	}
	switch {
	case !ok && now < t.dry:
		return 0, ReservesEmpty
	case !ok:
		return 0, OverRate
	}
	t.tokens--
	return wait, Granted
}

// Report returns the shares held and the demand of each team, for the holder.
func (b *Buckets) Report(now time.Duration) (map[string]HeldShare, uint64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	out := make(map[string]HeldShare, len(b.teams))
	for name, t := range b.teams {
		if !t.kept && now-t.used > forgetTime {
			delete(b.teams, name)
			continue
		}
		if d := (now - t.since).Seconds(); d > 0 {
			k := 1 - math.Exp(-d/demandTime.Seconds())
			t.demand += (t.asked/d - t.demand) * k
			t.asked, t.since = 0, now
		}
		if t.kept || t.used > now-forgetTime {
			out[name] = HeldShare{Amount: t.share, Left: max(0, t.until-now), Demand: t.demand, Released: !t.kept}
		}
	}
	return out, b.seq
}

// Adopt takes the shares that a request sent at sent has brought.
func (b *Buckets) ApplyGrants(shares map[string]float64, seq uint64, limits map[string]pollendoor.TeamLimit, sent, now time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.seq = seq
	for name, s := range shares {
		t := b.team(name, now)
		if !t.kept {
			continue
		}
		l := limits[name]
		t.fill(l, b.slack, b.peers, now)
		t.share, t.until = s, sent+GrantTTL
	}
}

// Know makes sure that a share is asked for each team that this VM keeps, so that
// it is there before the team's first caller, and gives up those of others.
func (b *Buckets) SetKeptTeams(kept map[string]pollendoor.TeamLimit, now time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for name := range kept {
		if t := b.team(name, now); !t.kept {
			t.kept, t.keeps = true, now
		}
	}
	for name, t := range b.teams {
		if _, ok := kept[name]; !ok && t.kept {
			t.kept, t.share, t.until, t.used = false, 0, 0, now
		}
	}
}
