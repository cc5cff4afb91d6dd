package escrow

import (
	"context"
	"time"

	"github.com/pollendoor/pollendoor"
	"github.com/pollendoor/pollendoor/limit"
	"github.com/pollendoor/pollendoor/peers"
)

// share hands units to peers that are asked for more than this VM.
func (k *Keeper) share() {
	v := k.opt.View()
	now := time.Now()
	demands := make(map[string]map[string]limit.Demand)
	addrs := make(map[string]string)
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, m := range v.Members {
		if !k.partner(m, now) || m.Heartbeat.Draining {
			continue
		}
		demands[m.ID] = m.Heartbeat.Demands
		addrs[m.ID] = m.Peer
	}
	k.ledger.Demands(now)
	for _, m := range k.ledger.Plan(demands) {
		k.give(m, addrs[m.To], now)
	}
}

// partner reports whether units may be moved between this VM and another one
// now: it answers, and is of the same epoch. The caller holds mu.
func (k *Keeper) partner(m peers.Member, now time.Time) bool {
	return m.Heartbeat.Epoch == k.ledger.Epoch && now.Sub(m.HeartbeatAt) <= peers.MaxHeartbeatAge
}

// give makes a move, unless another transfer to the same VM is under way. The
// caller holds mu.
func (k *Keeper) give(m limit.Move, peer string, now time.Time) {
	if k.busy[m.To] {
		return
	}
	if t, ok := k.ledger.Give(m.Team, m.To, m.Units, now); ok {
		k.busy[m.To] = true
		k.wg.Go(func() { k.deliver(t, peer) })
	}
}

// deliver sends a transfer until it is settled or its epoch has ended.
func (k *Keeper) deliver(t limit.Transfer, peer string) {
	defer func() {
		k.mu.Lock()
		delete(k.busy, t.To)
		k.mu.Unlock()
	}()
	for k.ctx.Err() == nil {
		if k.opt.Send(t, peer) {
			return
		}
		k.mu.Lock()
		old := k.ledger.Epoch != t.Epoch
		k.mu.Unlock()
		if old {
			return
		}
		pollendoor.Pause(k.ctx, tick)
	}
}

// HandOver gives all units to the peers that stay, before a planned stop. It
// returns when they are settled or ctx ends.
func (k *Keeper) HandOver(ctx context.Context) {
	for ctx.Err() == nil {
		if k.giveAll() {
			return
		}
		time.Sleep(tick / 4)
	}
}

// giveAll hands what is left to the first peer that can take it. It reports
// true when nothing is left or under way.
func (k *Keeper) giveAll() bool {
	v := k.opt.View()
	k.mu.Lock()
	defer k.mu.Unlock()
	var to peers.Member
	now := time.Now()
	for _, m := range v.Members {
		if k.partner(m, now) && !m.Heartbeat.Draining && !m.Leaving {
			to = m
		}
	}
	if to.ID == "" {
		return true // nobody to give to
	}
	left := len(k.busy) > 0
	for team, units := range k.ledger.Holdings() {
		if units == 0 {
			continue
		}
		left = true
		k.give(limit.Move{Team: team, To: to.ID, Units: units}, to.Peer, now)
	}
	return !left
}
