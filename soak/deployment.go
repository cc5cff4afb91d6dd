package soak

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"time"
)

// Deployment is the fleet, the groups, the routes and the load of a run. All durations
// are in nanoseconds in its JSON form.
type Deployment struct {
	VMs          int
	Zones        int
	Grace        time.Duration // grace period of a planned stop
	RouteTimeout time.Duration
	Staleness    time.Duration // maximum staleness of reads
	Groups       []Group
	Readers      int // callers for each VM that only read
	// Overload lets the callers send as much as they can, so that a part of it is refused.
	// Otherwise they pause as long as the slots of their group require.
	Overload bool
	TxPause  time.Duration // mean pause between the statements of a transaction
	// PlannedOnly restricts the faults to planned work: stops, reloads and changes of the
	// configuration. Every statement that a target runs must then be answered.
	PlannedOnly bool
	// EvacuateTime is the time within which an evacuation of a zone has to be effective,
	// zero if the VMs don't follow evacuations and none is drawn.
	EvacuateTime time.Duration
}

// Group is one database group of a deployment.
type Group struct {
	Name          string
	Targets       int
	Slots         int // zero for no limit
	MaxConns      int
	SyncReplicas  int
	Lag           time.Duration // of replicas
	PromoteTime   time.Duration
	StatementTime time.Duration
	ColdPerS      float64 // requests per second that a cold target takes, zero for no limit
}

// fixedDeployment returns the deployment of runs that do not draw one.
func fixedDeployment(vms int) Deployment {
	d := Deployment{VMs: vms, Zones: len(zones), Grace: gracePeriod, RouteTimeout: time.Second, Staleness: 1500 * time.Millisecond}
	for _, name := range []string{"pots", "halls"} {
		d.Groups = append(d.Groups, Group{Name: name, Targets: 3, MaxConns: 30, Lag: 20 * time.Millisecond, StatementTime: time.Millisecond})
	}
	return d
}

// MaxDrawnVMs is the largest number of VMs that is drawn.
const MaxDrawnVMs = 9

// drawDeployment returns a deployment that only the seed decides. Zero VMs means that
// their number is drawn as well.
func drawDeployment(seed uint64, vms int) Deployment {
	r := rand.New(rand.NewPCG(seed, 1))
	between := func(from, to int) int { return from + r.IntN(to-from+1) }
	ms := func(from, to int) time.Duration { return time.Duration(between(from, to)) * time.Millisecond }
	d := Deployment{
		VMs: between(3, MaxDrawnVMs), Zones: between(1, len(zones)), Grace: ms(3000, 7000),
		RouteTimeout: ms(600, 3000), Staleness: ms(800, 3000),
		Readers: between(0, 5), TxPause: ms(50, 500), PlannedOnly: r.IntN(4) == 0,
		Overload: r.IntN(3) == 0,
	}
	if vms > 0 {
		d.VMs = vms
	}
	for i := range between(1, 3) {
		g := Group{
			Name: fmt.Sprintf("group%d", i+1), Targets: between(2, 4), Slots: between(1, 6), MaxConns: between(16, 40),
			SyncReplicas: r.IntN(2), Lag: ms(1, 150), PromoteTime: ms(50, 900), StatementTime: ms(1, 40),
		}
		if g.Slots >= 3 && d.VMs <= 5 && r.IntN(2) == 0 {
			g.StatementTime = ms(80, 250) // statements are in progress at any moment of a stop
		}
		d.Groups = append(d.Groups, g)
	}
	d.drawEvacuations(seed)
	return d
}

// drawEvacuations draws whether zones are evacuated. It has draws of its own, so that what
// else a seed draws does not depend on it.
func (d *Deployment) drawEvacuations(seed uint64) {
	r := rand.New(rand.NewPCG(seed, 2))
	if d.Zones < 2 || r.IntN(2) == 0 {
		return
	}
	d.EvacuateTime = time.Duration(2500+r.IntN(2500)) * time.Millisecond
	for i := range d.Groups {
		d.Groups[i].ColdPerS = float64(2 + r.IntN(9))
	}
}

// utilization is the part of a target's slots that the callers of a drawn deployment use
// without overload.
const utilization = 0.4

// maxPause is the longest pause of a caller, well within the recovery timeout.
const maxPause = 2 * time.Second

// pause returns the pause of a group's callers between two statements.
func (d *Deployment) pause(group string) time.Duration {
	for _, g := range d.Groups {
		if g.Name == group && g.Slots > 0 && !d.Overload {
			callers := d.VMs * (len(d.Groups) + 4 + d.Readers)
			return min(maxPause, time.Duration(float64(callers)*float64(g.StatementTime)/float64(g.Slots)/utilization))
		}
	}
	return thinkTime
}

// write writes the deployment into the directory of the logs.
func (d *Deployment) write(dir string) error {
	raw, err := json.MarshalIndent(d, "", "\t")
	if err != nil {
		return err
	}
	return os.WriteFile(filepath.Join(dir, "deployment.json"), raw, 0o600)
}
