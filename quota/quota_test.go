package quota_test

import (
	"fmt"
	"math"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/pollendoor/pollendoor"
	"github.com/pollendoor/pollendoor/quota"
)

var limit = pollendoor.TeamLimit{Rate: 50, Burst: 50}

var tolerance = quota.Tolerance{Window: 5 * time.Second, Excess: 0.1, Margin: 20}

// used is a share that a VM uses until it expires.
type used struct {
	amount float64
	until  time.Duration
}

// inUse returns the sum of the shares that are in use at the time now.
func inUse[T any](vms []T, of func(*T) used, now time.Duration) float64 {
	sum := 0.0
	for i := range vms {
		if u := of(&vms[i]); u.until > now {
			sum += u.amount
		}
	}
	return sum
}

// patient is a token request with the longest wait.
var patient = quota.TokenRequest{MaxWait: quota.MaxWait}

// held returns a VM's report for the single team of the tests.
func held(amount float64, left time.Duration, demand float64) map[string]quota.HeldShare {
	return map[string]quota.HeldShare{"t": {Amount: amount, Left: left, Demand: demand}}
}

// A load balancer with skew sends nearly all callers of a team to one VM.
func TestSharesFollowDemand(t *testing.T) {
	var p quota.Pool
	now := time.Duration(0)
	amounts := make(map[string]float64)
	seq := make(map[string]uint64)
	for range 40 {
		now += 100 * time.Millisecond
		for vm, demand := range map[string]float64{"a": 40, "b": 1, "c": 0} {
			got := p.Renew(quota.Report{VM: vm, HeldShares: quota.HeldShares{Seq: seq[vm], Teams: held(amounts[vm], quota.GrantTTL, demand)}}, quota.Conditions{Zones: 3, Division: quota.DivideWhole}, now)
			amounts[vm], seq[vm] = got.Amounts["t"], got.Seq
		}
	}
	if got, least := amounts["a"], 0.75; got < least {
		t.Errorf("busy VM: got share %.2f, want at least %.2f", got, least)
	}
	if got := amounts["c"]; got <= 0 {
		t.Errorf("idle VM: got share %.2f, want more than 0 for its first callers", got)
	}
}

// A new leader does not know the shares of the VMs that have not reported to it yet,
// so it may divide only the shares that were reported.
func TestNewLeaderDividesOnlyReportedShares(t *testing.T) {
	var p quota.Pool
	a := p.Renew(quota.Report{VM: "a", HeldShares: quota.HeldShares{Teams: held(0.3, 0, 10)}}, quota.Conditions{Zones: 3, Division: quota.DivideReported}, time.Second)
	b := p.Renew(quota.Report{VM: "b", HeldShares: quota.HeldShares{Teams: held(0.2, time.Second, 10)}}, quota.Conditions{Zones: 3, Division: quota.DivideReported}, time.Second)
	if got, most := a.Amounts["t"]+b.Amounts["t"], 0.5; got > most+1e-9 || got < 0.3 {
		t.Errorf("got shares with the sum %.2f, want at least 0.30 and at most %.2f", got, most)
	}
	c := p.Renew(quota.Report{VM: "c", Run: 2, HeldShares: quota.HeldShares{Teams: held(0, 0, 10)}}, quota.Conditions{Zones: 3, Division: quota.DivideReported}, time.Second)
	if got := a.Amounts["t"] + b.Amounts["t"] + c.Amounts["t"]; got > 0.5+1e-9 {
		t.Errorf("got shares with the sum %.2f including a VM that held none, want at most 0.5", got)
	}
}

// The share of a killed process is free as soon as the VM's next process reports.
func TestRestartFreesShares(t *testing.T) {
	var p quota.Pool
	p.Renew(quota.Report{VM: "a", Run: 1, HeldShares: quota.HeldShares{Teams: held(0, 0, 10)}}, quota.Conditions{Zones: 1, Division: quota.DivideWhole}, time.Second)
	p.Renew(quota.Report{VM: "a", Run: 2, HeldShares: quota.HeldShares{Teams: held(0, 0, 0)}}, quota.Conditions{Zones: 2, Division: quota.DivideWhole}, time.Second)
	got := p.Renew(quota.Report{VM: "b", Run: 3, HeldShares: quota.HeldShares{Teams: held(0, 0, 10)}}, quota.Conditions{Zones: 2, Division: quota.DivideWhole}, time.Second)
	if least := 0.3; got.Amounts["t"] < least {
		t.Errorf("got share %.2f, want at least %.2f", got.Amounts["t"], least)
	}
}

// The shares in use never sum to more than 1, whichever answers are lost or late and
// whichever VMs restart.
func TestSharesNeverExceedTheWhole(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var p quota.Pool
		type vm struct {
			amount float64
			until  time.Duration
			seq    uint64
			run    uint64
		}
		vms := make([]vm, 3)
		now := time.Duration(0)
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 1500).Draw(t, "ms")) * time.Millisecond
			i := rapid.IntRange(0, 2).Draw(t, "vm")
			v := &vms[i]
			if rapid.IntRange(0, 9).Draw(t, "restart") == 0 {
				*v = vm{run: v.run + 1}
			}
			r := quota.Report{VM: fmt.Sprint(i), Run: v.run, HeldShares: quota.HeldShares{Seq: v.seq, Teams: held(v.amount, max(0, v.until-now), rapid.Float64Range(0, 100).Draw(t, "demand"))}}
			got := p.Renew(r, quota.Conditions{Zones: 3, Division: quota.DivideWhole}, now)
			if rapid.IntRange(0, 2).Draw(t, "lost") > 0 {
				v.amount, v.until, v.seq = got.Amounts["t"], now+quota.GrantTTL, got.Seq
			}
			sum := inUse(vms, func(v *vm) used { return used{v.amount, v.until} }, now)
			if sum > 1+1e-9 {
				t.Fatalf("got %.3f of the allowance in use at %v, want at most 1", sum, now)
			}
		}
	})
}

// No window admits more operations than the limit and its tolerance allow, for any
// arrival of callers and any change of shares.
func TestWindowHolds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const vms = 4
		var p quota.Pool
		buckets := make([]quota.Buckets, vms)
		for i := range buckets {
			buckets[i].Configure(tolerance, vms)
			buckets[i].SetKeptTeams(map[string]pollendoor.TeamLimit{"t": limit}, 0)
		}
		var admitted []time.Duration
		limits := map[string]pollendoor.TeamLimit{"t": limit}
		for now := time.Duration(0); now < 12*time.Second; now += 20 * time.Millisecond {
			if now%(400*time.Millisecond) == 0 {
				for i := range buckets {
					h, seq := buckets[i].Report(now)
					got := p.Renew(quota.Report{VM: fmt.Sprint(i), HeldShares: quota.HeldShares{Teams: h, Seq: seq}}, quota.Conditions{Zones: vms, Division: quota.DivideWhole}, now)
					if rapid.IntRange(0, 4).Draw(t, "lost") > 0 {
						buckets[i].ApplyGrants(got, limits, 0, now, now)
					}
				}
			}
			i := rapid.IntRange(0, vms-1).Draw(t, "vm")
			for range rapid.IntRange(0, 8).Draw(t, "callers") {
				if wait, decision := buckets[i].Admit("t", limit, patient, now); decision == quota.Granted {
					admitted = append(admitted, now+wait)
				}
			}
		}
		most := int((limit.Rate*tolerance.Window.Seconds()+limit.Burst)*(1+tolerance.Excess) + tolerance.Margin)
		for i, at := range admitted {
			n := 0
			for _, b := range admitted[i:] {
				if b-at < tolerance.Window && b >= at {
					n++
				}
			}
			if n > most {
				t.Fatalf("got %d operations in a window, want at most %d", n, most)
			}
		}
	})
}

// The quota keeper of a team in a zone changes. The share of the old keeper is free
// for the new one as soon as the old one has reported.
func TestReleasedShareIsFree(t *testing.T) {
	var p quota.Pool
	var old quota.Buckets
	limits := map[string]pollendoor.TeamLimit{"t": limit}
	old.Configure(tolerance, 2)
	old.SetKeptTeams(limits, 0)
	renew := func(now time.Duration) float64 {
		h, seq := old.Report(now)
		got := p.Renew(quota.Report{VM: "old", HeldShares: quota.HeldShares{Teams: h, Seq: seq}}, quota.Conditions{Zones: 1, Division: quota.DivideWhole}, now)
		old.ApplyGrants(got, limits, 0, now, now)
		return got.Amounts["t"]
	}
	if got := renew(time.Second); got < 0.99 {
		t.Fatalf("got share %.2f for the only keeper, want at least 0.99", got)
	}
	old.SetKeptTeams(nil, 2*time.Second)
	renew(2 * time.Second)
	got := p.Renew(quota.Report{VM: "new", HeldShares: quota.HeldShares{Teams: held(0, 0, 10)}}, quota.Conditions{Zones: 1, Division: quota.DivideWhole}, 2*time.Second)
	if got.Amounts["t"] < 0.99 {
		t.Errorf("got share %.2f for the next keeper, want at least 0.99", got.Amounts["t"])
	}
	n := 0
	for {
		if wait, decision := old.Admit("t", limit, patient, 2*time.Second); decision != quota.Granted || wait > 0 {
			break
		}
		n++
	}
	if most := 1 + int(tolerance.Margin); n > most {
		t.Errorf("got %d operations at the old keeper, want at most %d", n, most)
	}
}

// The keeper of a busy team changes. Guards against a share that the next keeper uses while
// operations still wait for tokens of the former one, and against tokens that are waited
// for beyond the end of the share.
func TestShareIsInUseWhileOperationsWaitForIt(t *testing.T) {
	var p quota.Pool
	var old quota.Buckets
	limits := map[string]pollendoor.TeamLimit{"t": limit}
	old.Configure(tolerance, 2)
	old.SetKeptTeams(limits, 0)
	conditions := quota.Conditions{Zones: 1, Division: quota.DivideWhole}
	renew := func(now time.Duration) {
		h, seq := old.Report(now)
		got := p.Renew(quota.Report{VM: "old", HeldShares: quota.HeldShares{Teams: h, Seq: seq}}, conditions, now)
		old.ApplyGrants(got, limits, 0, now, now)
	}
	now := time.Second
	renew(now)
	longest := time.Duration(0)
	for range 200 {
		if wait, decision := old.Admit("t", limit, patient, now); decision == quota.Granted {
			longest = max(longest, wait)
		}
	}
	old.SetKeptTeams(nil, now)
	renew(now)
	next := func(now time.Duration) float64 {
		return p.Renew(quota.Report{VM: "new", HeldShares: quota.HeldShares{Teams: held(0, 0, 10)}}, conditions, now).Amounts["t"]
	}
	if got := next(now + longest/2); longest == 0 || got > 1e-9 {
		t.Errorf("got share %.2f while operations wait for %v, want 0", got, longest)
	}
	if got := next(now + longest); got < 0.99 {
		t.Errorf("got share %.2f after the last operation has begun, want at least 0.99", got)
	}

	old.SetKeptTeams(limits, now)
	old.ApplyGrants(quota.Grants{Amounts: map[string]float64{"t": 0.1}, Seq: 9}, limits, 0, now, now)
	late := now + quota.GrantTTL - 20*time.Millisecond
	for range 200 {
		if wait, decision := old.Admit("t", limit, patient, late); decision == quota.Granted && late+wait > now+quota.GrantTTL {
			t.Fatalf("got a wait of %v beyond the end of the share in 20 ms", wait)
		}
	}
}

func TestTokenIsWaitedForBriefly(t *testing.T) {
	var b quota.Buckets
	b.Configure(tolerance, 1)
	limits := map[string]pollendoor.TeamLimit{"t": limit}
	b.SetKeptTeams(limits, 0)
	b.ApplyGrants(quota.Grants{Amounts: map[string]float64{"t": 1}, Seq: 1}, limits, 0, 0, 0)
	for {
		wait, decision := b.Admit("t", limit, patient, 0)
		if decision != quota.Granted {
			t.Fatal("got a refusal, want a wait for a token first")
		}
		if wait > 0 {
			if wait > quota.MaxWait {
				t.Errorf("got a wait of %v, want at most %v", wait, quota.MaxWait)
			}
			break
		}
	}
	for range 1000 {
		if _, decision := b.Admit("t", limit, patient, 0); decision == quota.OverRate {
			return
		}
	}
	t.Error("got no refusal in 1000 operations at the same time, want at least one")
}

// All VMs start at the same time, for example after a power failure. Guards against
// the first zone to report getting the shares that the other zones need one heartbeat
// later. In presente-comum trouble-2 the zones got 0.83, 0.17 and 0.01 of a rate.
func TestFirstSharesAreEven(t *testing.T) {
	var p quota.Pool
	for i, demand := range []float64{30, 0, 20} {
		got := p.Renew(quota.Report{VM: fmt.Sprint(i), Run: uint64(i), HeldShares: quota.HeldShares{Teams: held(0, 0, demand)}}, quota.Conditions{Zones: 3, Division: quota.DivideWhole}, time.Second)
		if got.Amounts["t"] < 0.3 {
			t.Errorf("VM %d: got first share %.2f, want at least 0.30", i, got.Amounts["t"])
		}
	}
}

// All VMs start at the same time and callers arrive before the first shares. Their
// operations must stay undecided for some time instead of being refused.
func TestNewKeeperWaitsForItsShare(t *testing.T) {
	limits := map[string]pollendoor.TeamLimit{"t": limit}
	start := 5 * time.Second
	ask := func(b *quota.Buckets, now time.Duration) quota.Decision {
		for range 100 {
			if _, decision := b.Admit("t", limit, patient, now); decision != quota.Granted {
				return decision
			}
		}
		return quota.Granted
	}
	for _, tc := range []struct {
		name  string
		kept  bool
		share float64
		after time.Duration
		want  quota.Decision
	}{
		{"share is pending", true, 0, 100 * time.Millisecond, quota.SharePending},
		{"no share for a long time", true, 0, 3 * time.Second, quota.OverRate},
		{"another VM keeps the rate", false, 0, 100 * time.Millisecond, quota.OverRate},
		{"share used up", true, 0.5, 100 * time.Millisecond, quota.OverRate},
	} {
		var b quota.Buckets
		b.Configure(tolerance, 9)
		if tc.kept {
			b.SetKeptTeams(limits, start)
		}
		b.ApplyGrants(quota.Grants{Amounts: map[string]float64{"t": tc.share}, Seq: 1}, limits, 0, start, start)
		if got := ask(&b, start+tc.after); got != tc.want {
			t.Errorf("%s: got decision %d, want %d", tc.name, got, tc.want)
		}
	}
}

// The leader changes at a planned stop. Shares stay as they are until all VMs have
// reported to the next leader, and the share that a keeper releases is available to
// the keeper that replaces it.
func TestSharesRemainUnderNextLeader(t *testing.T) {
	var p quota.Pool
	for i, tc := range []struct {
		name   string
		vm     string
		amount float64
		left   time.Duration
		least  float64
	}{
		{"first to report", "a", 0.5, quota.GrantTTL, 0.5},
		{"previous keeper", "b", 0.4, 0, 0.1},
		{"next keeper", "c", 0, 0, 0},
	} {
		got := p.Renew(quota.Report{VM: tc.vm, Run: uint64(i + 1), HeldShares: quota.HeldShares{Teams: held(tc.amount, tc.left, 10)}}, quota.Conditions{Zones: 3, Division: quota.DivideReported}, time.Second)
		if got.Amounts["t"] < tc.least {
			t.Errorf("%s: got share %.2f, want at least %.2f", tc.name, got.Amounts["t"], tc.least)
		}
	}
	p.Renew(quota.Report{VM: "b", Run: 2, HeldShares: quota.HeldShares{Teams: map[string]quota.HeldShare{"t": {Released: true}}}}, quota.Conditions{Zones: 3, Division: quota.DivideReported}, time.Second)
	got := p.Renew(quota.Report{VM: "c", Run: 3, HeldShares: quota.HeldShares{Teams: held(0, 0, 10)}}, quota.Conditions{Zones: 3, Division: quota.DivideReported}, time.Second)
	if got.Amounts["t"] < 0.3-1e-9 {
		t.Errorf("got share %.2f after 0.4 was released, want at least 0.30, a third of the reported shares", got.Amounts["t"])
	}
}

// A zone's quota keeper of a busy team stops as planned. The zone's next keeper must
// get the share that the zone needs although it has not measured any demand yet. In
// cca-pollendoor trouble-2 it got the share of an idle zone and the other zones got
// the rest.
func TestNextKeeperTakesOverTheZonesDemand(t *testing.T) {
	var p quota.Pool
	now := time.Second
	renew := func(vm, zone string, run uint64, amount, demand float64, released bool) float64 {
		got := p.Renew(quota.Report{VM: vm, Zone: zone, Run: run, HeldShares: quota.HeldShares{Teams: map[string]quota.HeldShare{
			"t": {Amount: amount, Left: quota.GrantTTL, Demand: demand, Released: released},
		}}}, quota.Conditions{Zones: 2, Division: quota.DivideWhole}, now)
		return got.Amounts["t"]
	}
	renew("a", "north", 1, 0, 30, false)
	renew("b", "south", 2, 0, 10, false)
	now += 4 * time.Second
	before := renew("a", "north", 1, 0, 30, false)
	idle := renew("b", "south", 2, 0, 10, false)
	renew("a", "north", 1, 0, 0, true)
	now += 50 * time.Millisecond
	if got := renew("b", "south", 2, idle, 10, false); got > idle+0.05 {
		t.Errorf("other zone: got share %.2f, want at most about the %.2f before", got, idle)
	}
	now += 50 * time.Millisecond
	if got := renew("c", "north", 3, 0, 0, false); got < before-0.1 {
		t.Errorf("next keeper: got share %.2f, want about the previous keeper's %.2f", got, before)
	}
	now += 50 * time.Millisecond
	if got := renew("c", "north", 4, 0, 0, false); got < before-0.15 {
		t.Errorf("next process of the same VM: got share %.2f, want about %.2f", got, before)
	}
}

// A network partition with a leader on either side. The earlier leader may have
// granted expired shares to other VMs, so the next leader must not divide them, and
// each leader leaves shares as they are that the other one may divide. Expired shares
// count again as soon as the earlier leader is known to be gone: otherwise, in
// cca-pollendoor trouble-3, operations were refused for 3 s that no other VM could
// have admitted.
func TestTwoHoldersDivideOneAllowance(t *testing.T) {
	renew := func(p *quota.Pool, vm string, h quota.HeldShare, division quota.Division) float64 {
		got := p.Renew(quota.Report{VM: vm, Zone: vm, HeldShares: quota.HeldShares{Teams: map[string]quota.HeldShare{"t": h}}}, quota.Conditions{Zones: 2, Division: division}, time.Second)
		return got.Amounts["t"]
	}
	for _, tc := range []struct {
		name     string
		h        quota.HeldShare
		division quota.Division
		want     float64
	}{
		{"valid share, earlier leader may be active", quota.HeldShare{Amount: 0.4, Left: time.Second}, quota.DivideUnexpired, 0.4},
		{"expired share, earlier leader may be active", quota.HeldShare{Amount: 0.4}, quota.DivideUnexpired, 0},
		{"expired share, earlier leader is gone", quota.HeldShare{Amount: 0.4}, quota.DivideReported, 0.2},
		{"valid share, next leader may be active", quota.HeldShare{Amount: 0.4, Left: time.Second}, quota.DivideFrozen, 0.4},
		{"no share, next leader may be active", quota.HeldShare{Demand: 9}, quota.DivideFrozen, 0},
	} {
		if got := renew(&quota.Pool{}, "a", tc.h, tc.division); got < tc.want-1e-9 || got > tc.want+1e-9 {
			t.Errorf("%s: got share %.2f, want %.2f", tc.name, got, tc.want)
		}
	}
	var p quota.Pool
	renew(&p, "a", quota.HeldShare{Amount: 0.4}, quota.DivideUnexpired)
	if got := renew(&p, "a", quota.HeldShare{}, quota.DivideReported); got < 0.2-1e-9 {
		t.Errorf("after the earlier leader is known to be gone: got share %.2f, want at least 0.20", got)
	}
}

// A network partition separates a zone's quota keeper from its zone. The zone's next
// keeper is on the side of a leader that stays in office by promises of the VMs. It
// must get the share that the other VMs on this side do not need, while their sum never
// exceeds the sum before. In inc-efd5 and inc-edfa it had no share until the partition
// healed and refused four fifths of a team's operations.
func TestNextKeeperInACutGetsAShare(t *testing.T) {
	for _, division := range []quota.Division{quota.DivideFrozen, quota.DivideUnexpired} {
		var p quota.Pool
		now := time.Second
		amounts, seqs := make(map[string]float64), make(map[string]uint64)
		renew := func(vm string, demand float64, division quota.Division) {
			r := quota.Report{VM: vm, Zone: vm, HeldShares: quota.HeldShares{Seq: seqs[vm], Teams: held(amounts[vm], quota.GrantTTL, demand)}}
			got := p.Renew(r, quota.Conditions{Zones: 3, Division: division}, now)
			amounts[vm], seqs[vm] = got.Amounts["t"], got.Seq
		}
		for range 10 {
			for _, vm := range []string{"a", "b", "lost"} {
				renew(vm, 10, quota.DivideWhole)
			}
			now += 400 * time.Millisecond
		}
		if division == quota.DivideUnexpired {
			p, seqs = quota.Pool{}, make(map[string]uint64) // state of the next leader
		}
		most := amounts["a"] + amounts["b"]
		for range 12 {
			for _, vm := range []string{"a", "b", "next"} {
				renew(vm, 10, division)
			}
			now += 400 * time.Millisecond
			if got := amounts["a"] + amounts["b"] + amounts["next"]; got > most+1e-9 {
				t.Fatalf("division %d: got shares with the sum %.3f, want at most the %.3f before", division, got, most)
			}
		}
		if got, least := amounts["next"], 0.8*most/3; got < least {
			t.Errorf("division %d: got share %.3f for the next keeper, want at least %.3f, nearly an even part of the rest", division, got, least)
		}
	}
}

// Two leaders divide one allowance on either side of a network partition, while VMs
// change sides, restart and lose answers. The shares in use never sum to more than 1.
func TestTwoSidesOfACutNeverExceedTheWhole(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		type vm struct {
			amount float64
			until  time.Duration
			seq    uint64
			run    uint64
			next   bool // the VM reports to the next leader
		}
		vms := make([]vm, 4)
		pools := [2]quota.Pool{{Reserves: true}, {Reserves: true}}
		now := time.Duration(0)
		partitionedAt := time.Duration(rapid.IntRange(2000, 6000).Draw(t, "cut")) * time.Millisecond
		step := func(i int) {
			v := &vms[i]
			if rapid.IntRange(0, 14).Draw(t, "restart") == 0 {
				*v = vm{run: v.run + 1, next: v.next}
			}
			if now > partitionedAt && !v.next && rapid.IntRange(0, 3).Draw(t, "turns") == 0 {
				v.next, v.seq = true, 0
			}
			side, division := 0, quota.DivideWhole
			if now > partitionedAt {
				division = quota.DivideFrozen
			}
			if v.next {
				side, division = 1, quota.DivideUnexpired
			}
			h := held(v.amount, max(0, v.until-now), rapid.Float64Range(0, 50).Draw(t, "demand"))
			source := quota.ZoneShare
			if i == 3 {
				source = quota.FirstReserve
			}
			r := quota.Report{VM: fmt.Sprint(i), Source: source, Zone: fmt.Sprint(i), Run: v.run, HeldShares: quota.HeldShares{Seq: v.seq, Teams: h}}
			got := pools[side].Renew(r, quota.Conditions{Zones: 3, Division: division}, now)
			if rapid.IntRange(0, 3).Draw(t, "lost") > 0 {
				v.amount, v.until, v.seq = got.Amounts["t"], now+quota.GrantTTL, got.Seq
			}
		}
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 700).Draw(t, "ms")) * time.Millisecond
			step(rapid.IntRange(0, len(vms)-1).Draw(t, "vm"))
			sum := inUse(vms, func(v *vm) used { return used{v.amount, v.until} }, now)
			if sum > 1+1e-9 {
				t.Fatalf("got %.3f of the allowance in use at %v, want at most 1", sum, now)
			}
		}
	})
}

// Some or all VMs are lost together with the leader. The next leader must allow for the
// shares that VMs may hold which have not reported to it, and for no more than those.
// The shares in use never sum to more than 1.
func TestNextHolderReckonsWithWhatOneVMMayHold(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		type vm struct {
			amount   float64
			until    time.Duration
			seq      uint64
			run      uint64
			reported bool // the VM has reported to the next leader
			silent   bool // the VM reports no more
		}
		const zones, all = 4, 6
		vms := make([]vm, all)
		old, next := quota.Pool{Reserves: true}, quota.Pool{Reserves: true}
		lostAt := time.Duration(rapid.IntRange(1000, 5000).Draw(t, "lost")) * time.Millisecond
		now := time.Duration(0)
		for range rapid.IntRange(1, 120).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 300).Draw(t, "ms")) * time.Millisecond
			i := rapid.IntRange(0, all-1).Draw(t, "vm")
			v := &vms[i]
			if now > lostAt && !v.reported && !v.silent {
				v.silent = rapid.IntRange(0, 5).Draw(t, "silent") == 0
			}
			if v.silent {
				continue // the VM uses its share until it expires
			}
			if rapid.IntRange(0, 9).Draw(t, "restart") == 0 {
				*v = vm{run: v.run + 1, reported: v.reported}
			}
			p, conditions := &old, quota.Conditions{Zones: zones, VMs: all, Division: quota.DivideWhole}
			if now > lostAt {
				if !v.reported {
					v.reported, v.seq = true, 0
				}
				p, conditions.Division, conditions.Claimed = &next, quota.DivideReported, lostAt
				for _, o := range vms {
					if !o.reported {
						conditions.Unreported++
					}
				}
				if conditions.Unreported == 0 || now > lostAt+quota.GrantTTL {
					conditions.Division = quota.DivideWhole
				}
			}
			source := quota.ZoneShare
			if i >= zones {
				source = quota.FirstReserve + quota.Source(i-zones)
			}
			h := held(v.amount, max(0, v.until-now), rapid.Float64Range(0, 50).Draw(t, "demand"))
			if s := h["t"]; v.amount > 0 && now > v.until {
				s.Expired = now - v.until
				h["t"] = s
			}
			got := p.Renew(quota.Report{VM: fmt.Sprint(i), Source: source, Zone: fmt.Sprint(i), Run: v.run, HeldShares: quota.HeldShares{Seq: v.seq, Teams: h}}, conditions, now)
			if rapid.IntRange(0, 4).Draw(t, "answered") > 0 {
				v.amount, v.until, v.seq = got.Amounts["t"], now+quota.GrantTTL, got.Seq
			}
			sum := inUse(vms, func(v *vm) used { return used{v.amount, v.until} }, now)
			if sum > 1+1e-9 {
				t.Fatalf("got %.3f of the allowance in use at %v, %v after the loss, want at most 1", sum, now, now-lostAt)
			}
		}
	})
}

// Shares that were granted with a long lease last as long as the lease: the leader
// may be lost while the store is away, and nobody else can renew them. The leader
// does not grant them to others before.
func TestSharesLastAsLongAsTheLease(t *testing.T) {
	limits := map[string]pollendoor.TeamLimit{"t": {Rate: 100, Burst: 100}}
	const lease = 6 * time.Second
	report := func(vm, zone string) quota.Report {
		return quota.Report{VM: vm, Zone: zone, Run: 1, HeldShares: quota.HeldShares{Teams: map[string]quota.HeldShare{"t": {Demand: 50}}}}
	}
	var pool quota.Pool
	conditions := quota.Conditions{Zones: 1, VMs: 2, Lease: lease}
	g := pool.Renew(report("a", "z"), conditions, time.Second)
	var b quota.Buckets
	b.SetKeptTeams(limits, time.Second)
	b.ApplyGrants(g, limits, lease, time.Second, time.Second)
	for _, tc := range []struct {
		now  time.Duration
		want bool
	}{{quota.GrantTTL + 2*time.Second, true}, {lease + 2*time.Second, false}} {
		held, _ := b.Report(tc.now)
		if got := held["t"].Left > 0; got != tc.want {
			t.Errorf("at %v: got a valid share %v, want %v", tc.now, got, tc.want)
		}
		other := pool.Renew(report("b", "y"), conditions, tc.now).Amounts["t"]
		if got := other > 0; got == tc.want {
			t.Errorf("at %v: got a share of %v for another VM, want one only after the first has expired", tc.now, other)
		}
	}
}

// Pattern: hot tenant. A team asks for several times its rate. While operations wait
// for tokens without a pause, those that are admitted wait briefly, and as many are
// admitted as with long waits. A burst may still wait for its tokens.
func TestWaitsAreShortWhileATeamIsOverItsRate(t *testing.T) {
	limits := map[string]pollendoor.TeamLimit{"t": {Rate: 100}}
	request := quota.TokenRequest{MaxWait: quota.MaxWait}
	var b quota.Buckets
	b.SetKeptTeams(limits, 0)
	admitted, longest := 0, time.Duration(0)
	const settled, end = 2 * time.Second, 12 * time.Second
	for now := time.Duration(0); now < end; now += 2 * time.Millisecond { // five times the rate
		b.ApplyGrants(quota.Grants{Amounts: map[string]float64{"t": 1}}, limits, 0, now, now)
		wait, decision := b.Admit("t", limits["t"], request, now)
		if decision == quota.Granted && now >= settled {
			admitted++
			longest = max(longest, wait)
		}
	}
	if got, want := admitted, int(0.98*100*(end-settled).Seconds()); got < want {
		t.Errorf("got %d operations admitted, want %d or more", got, want)
	}
	if got, most := longest, 100*time.Millisecond; got > most {
		t.Errorf("got a wait of %v while the team is over its rate, want %v at most", got, most)
	}
	// Nothing is asked for a while, then many operations at once.
	now := end + time.Second
	b.Admit("t", limits["t"], request, now)
	longest = 0
	for range 60 {
		if wait, decision := b.Admit("t", limits["t"], request, now); decision == quota.Granted {
			longest = max(longest, wait)
		}
	}
	if got, least := longest, 300*time.Millisecond; got < least {
		t.Errorf("got a longest wait of %v in a burst, want %v or more", got, least)
	}
}

// Guards against operations without a token: the time until a bucket with a share near
// zero has one is out of the range of a duration, and x86-64 converts it to a negative one.
func TestShareNearZeroAdmitsNothing(t *testing.T) {
	for _, share := range []float64{1e-9, 1e-12, 1e-300, math.SmallestNonzeroFloat64} {
		var b quota.Buckets
		b.Configure(quota.Tolerance{Window: 5 * time.Second}, 1)
		l := pollendoor.TeamLimit{Rate: 1, Burst: 1}
		now := time.Hour
		b.SetKeptTeams(map[string]pollendoor.TeamLimit{"a": l}, now)
		b.ApplyGrants(quota.Grants{Amounts: map[string]float64{"a": share}}, map[string]pollendoor.TeamLimit{"a": l}, 2*time.Second, now, now)
		for range 3 {
			wait, d := b.Admit("a", l, quota.TokenRequest{MaxWait: quota.MaxWait}, now)
			if d == quota.Granted || wait < quota.MaxWait {
				t.Errorf("share %g: got %v with a wait of %v, want a refusal with a longer wait", share, d, wait)
			}
		}
	}
}

// Guards against shares beyond the whole after a change of the leader: a share that had
// expired was granted to another VM, and then renewed by the next leader.
func TestExpiredShareMayBeGrantedToOthers(t *testing.T) {
	const claimed = time.Minute
	for _, tc := range []struct {
		name    string
		expired time.Duration // before the report, which comes 100 ms after the claim
		want    float64
	}{
		{"long before the claim", 20 * time.Second, 0},
		{"just before the claim", 150 * time.Millisecond, 0},
		{"in use", 0, 0.2},
	} {
		p := quota.Pool{Reserves: true}
		h := quota.HeldShare{Amount: 0.2, Expired: tc.expired}
		if tc.expired == 0 {
			h.Left = time.Second
		}
		g := p.Renew(quota.Report{VM: "a", Zone: "a", Run: 1, HeldShares: quota.HeldShares{Teams: map[string]quota.HeldShare{"t": h}}},
			quota.Conditions{Zones: 1, VMs: 4, Division: quota.DivideReported, Unreported: 3, Claimed: claimed}, claimed+100*time.Millisecond)
		if got := g.Amounts["t"]; got > tc.want+1e-9 || got < tc.want-1e-9 {
			t.Errorf("%s: got a share of %v, want %v", tc.name, got, tc.want)
		}
	}
	var b quota.Buckets
	limits := map[string]pollendoor.TeamLimit{"t": {Rate: 10, Burst: 10}}
	b.SetKeptTeams(limits, 0)
	b.ApplyGrants(quota.Grants{Amounts: map[string]float64{"t": 0.2}}, limits, time.Second, time.Second, time.Second)
	held, _ := b.Report(time.Second + quota.GrantTTL + 700*time.Millisecond)
	if got, want := held["t"].Expired, 700*time.Millisecond; got != want {
		t.Errorf("got a share that has expired %v ago, want %v", got, want)
	}
}
