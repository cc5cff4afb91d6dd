package escrow

import (
	"sort"
	"time"

	"github.com/pollendoor/pollendoor/limit"
	"github.com/pollendoor/pollendoor/peers"
)

// Admit takes n statements of a team, waiting for a moment if they are about to
// be free or if peers may have some to give. It reports whether they may run.
func (k *Keeper) Admit(team string, n int) bool {
	end := time.Now().Add(limit.MaxWait)
	for {
		now := time.Now()
		k.mu.Lock()
		// While others may give, only a short wait is taken at this VM's own
		// rate.
		most := min(askPause, time.Until(end))
		if !k.mayAsk() {
			most = time.Until(end)
		}
		wait, ok := k.ledger.Take(team, n, most, now)
		came := k.came
		k.mu.Unlock()
		if ok {
			time.Sleep(wait)
			return true
		}
		left := time.Until(end)
		if left <= 0 {
			return false
		}
		k.ask(team, now)
		t := time.NewTimer(min(left, askPause))
		select {
		case <-came:
		case <-t.C:
		}
		t.Stop()
	}
}

// mayAsk reports whether there are peers that could give. The caller holds mu.
func (k *Keeper) mayAsk() bool { return k.ledger.Epoch > 0 && len(k.opt.View().Members) > 0 }

// askPause is the time between two rounds of asking for one team.
const askPause = 20 * time.Millisecond

// askPeers is how many peers are asked in a round: those with most units.
const askPeers = 3

// ask tells the peers with most units of a team that this VM has run short.
func (k *Keeper) ask(team string, now time.Time) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if now.Sub(k.asked[team]) < askPause || k.ctx.Err() != nil {
		return
	}
	k.asked[team] = now
	var list []peers.Member
	for _, m := range k.opt.View().Members {
		if k.partner(m, now) && m.Heartbeat.Demands[team].Units > 0 {
			list = append(list, m)
		}
	}
	sort.Slice(list, func(i, j int) bool {
		return list[i].Heartbeat.Demands[team].Units > list[j].Heartbeat.Demands[team].Units
	})
	for _, m := range list[:min(askPeers, len(list))] {
		a := peers.Ask{ID: k.opt.ID, Team: team, Epoch: k.ledger.Epoch}
		k.wg.Go(func() { k.opt.Ask(a, m.Peer) })
	}
}

// Asked hears that a peer has run short, and gives what is not used here.
func (k *Keeper) Asked(a peers.Ask) {
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
	k.give(limit.Move{Team: a.Team, To: to.ID, Units: k.ledger.Answer(a.Team, now)}, to.Peer, now)
}
