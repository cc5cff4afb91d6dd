package desim

import (
	"slices"
	"time"

	"github.com/pollendoor/pollendoor"
)

// Patterns returns the patterns with the loads and faults that the system answers.
func Patterns() []Pattern {
	with := func(name, answers string, change func(*Pattern)) Pattern {
		p := usual()
		p.Name, p.Answers = name, answers
		change(&p)
		return p
	}
	return []Pattern{
		with("calm", "the load without any fault, to compare the others with", func(*Pattern) {}),
		with("hotTenant", "a team far over its rate is served up to it in time, and the others as before", func(p *Pattern) {
			p.Faults = []Fault{{At: 3 * time.Second, For: 8 * time.Second, Kind: HotTeam, Team: "a", Factor: 4.5}}
		}),
		with("slowReplica", "all replicas lag, so that the primaries alone serve", func(p *Pattern) {
			p.Service = 11 * time.Millisecond
			p.Faults = []Fault{{At: 3 * time.Second, For: 5 * time.Second, Kind: SlowCopies}}
		}),
		with("thunderingHerd", "all VMs lose power and their callers come back at once", func(p *Pattern) {
			p.Faults = []Fault{{At: 8 * time.Second, For: 1100 * time.Millisecond, Kind: PowerLoss}}
		}),
		with("lostLeader", "the leader is lost while the store is away, and leases and shares live on", func(p *Pattern) {
			p.Faults = []Fault{
				{At: 3 * time.Second, For: 6 * time.Second, Kind: StoreAway},
				{At: 5200 * time.Millisecond, Kind: LeaderLost},
			}
		}),
		with("slotStarvation", "targets with a single slot and few connections for many teams", func(p *Pattern) {
			p.Slots, p.Conns, p.Service = 1, 6, 12*time.Millisecond
		}),
		with("retryStorm", "callers that are refused come back at once, three times", func(p *Pattern) {
			p.Retries, p.Pause = 3, 10*time.Millisecond
			p.Faults = []Fault{{At: 3 * time.Second, For: 5 * time.Second, Kind: HotTeam, Team: "b", Factor: 8}}
		}),
	}
}

// Find returns the pattern with a name.
func Find(name string) (Pattern, bool) {
	list := Patterns()
	i := slices.IndexFunc(list, func(p Pattern) bool { return p.Name == name })
	if i < 0 {
		return Pattern{}, false
	}
	return list[i], true
}

// usual returns the load that the patterns begin with: eight teams of different size,
// at less than half of what the targets can do.
func usual() Pattern {
	p := Pattern{
		Seed: 1, Zones: 3, Groups: 3, Slots: 2, Conns: 16, Writes: 0.25, Length: 15 * time.Second,
		Service: 9 * time.Millisecond, Dial: 12 * time.Millisecond, RoundTrip: 16 * time.Millisecond,
		Goal: 500 * time.Millisecond, Deadline: 2 * time.Second, Retries: 2, Pause: 100 * time.Millisecond,
	}
	for i, rate := range []float64{150, 90, 60, 45, 30, 25, 20, 15} {
		limit := 1.6 * rate
		p.Teams = append(p.Teams, Team{Name: string(rune('a' + i)), Rate: rate, Limit: pollendoor.TeamLimit{Rate: limit, Burst: limit}})
	}
	return p
}
