package escrow

import (
	"sort"
	"time"

	"github.com/pollendoor/pollendoor/limit"
	"github.com/pollendoor/pollendoor/peers"
)

// Admit takes tokens for n statements of a team and reports whether they may run.
// It waits up to limit.MaxWait for tokens to accrue or for units from peers.
func (k *Keeper) Admit(team string, n int) bool {
	deadline := time.Now().Add(limit.MaxWait)
	for {
		now := time.Now()
		k.mu.Lock()
		// While peers may give units, accept only a short wait for tokens at this
		// VM's own rate.
		maxWait := min(askInterval, time.Until(deadline))
		if !k.canAsk() {
			maxWait = time.Until(deadline)
		}
		wait, ok := k.ledger.Take(team, n, maxWait, now)
		unitsArrived := k.unitsArrived
		k.mu.Unlock()
		if ok {
			time.Sleep(wait)
			return true
		}
		remaining := time.Until(deadline)
		if remaining <= 0 {
			return false
		}
		k.ask(team, now)
		t := time.NewTimer(min(remaining, askInterval))
		select {
		case <-unitsArrived:
		case <-t.C:
		}
		t.Stop()
	}
}

// canAsk reports whether there are peers that could give units. The caller holds
// mu.
func (k *Keeper) canAsk() bool { return k.ledger.Epoch > 0 && len(k.opt.View().Members) > 0 }

// askInterval is the minimum time between two rounds of requests for units of one
// team.
const askInterval = 20 * time.Millisecond

// peersPerAsk is how many peers are asked in a round: those with the most units.
const peersPerAsk = 3

// ask requests units of a team from the peers that hold the most of them.
func (k *Keeper) ask(team string, now time.Time) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if now.Sub(k.lastAsked[team]) < askInterval || k.ctx.Err() != nil {
		return
	}
	k.lastAsked[team] = now
	var list []peers.Member
	for _, m := range k.opt.View().Members {
		if k.canTransfer(m, now) && m.Heartbeat.Demands[team].Units > 0 {
			list = append(list, m)
		}
	}
	sort.Slice(list, func(i, j int) bool {
		return list[i].Heartbeat.Demands[team].Units > list[j].Heartbeat.Demands[team].Units
	})
	for _, m := range list[:min(peersPerAsk, len(list))] {
		a := peers.Ask{ID: k.opt.ID, Team: team, Epoch: k.ledger.Epoch}
		k.wg.Go(func() { k.opt.Ask(a, m.Peer) })
	}
}

// HandleAsk answers a peer's request for units of a team: it gives the units that this
// VM does not use.
func (k *Keeper) HandleAsk(a peers.Ask) {
	var to peers.Member
	for _, m := range k.opt.View().Members {
		if m.ID == a.ID {
			to = m
		}
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	now := time.Now()
	if to.ID == "" || a.Epoch != k.ledger.Epoch || k.ctx.Err() != nil {
		return
	}
	k.give(limit.Move{Team: a.Team, To: to.ID, Units: k.ledger.SpareUnits(a.Team, now)}, to.Peer, now)
}
