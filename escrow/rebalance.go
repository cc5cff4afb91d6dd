package escrow

import (
	"context"
	"time"

	"github.com/pollendoor/pollendoor"
	"github.com/pollendoor/pollendoor/limit"
	"github.com/pollendoor/pollendoor/peers"
)

// rebalance gives units to peers whose demand exceeds their units.
func (k *Keeper) rebalance() {
	v := k.opt.View()
	now := time.Now()
	demands := make(map[string]map[string]limit.Demand)
	addrs := make(map[string]string)
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, m := range v.Members {
		if !k.canTransfer(m, now) || m.Heartbeat.Draining {
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

// canTransfer reports whether units may be moved between this VM and the member:
// the member is in the same epoch and its last heartbeat is recent. The caller holds
// mu.
func (k *Keeper) canTransfer(m peers.Member, now time.Time) bool {
	return m.Heartbeat.Epoch == k.ledger.Epoch && now.Sub(m.HeartbeatAt) <= peers.MaxHeartbeatAge
}

// give starts the transfer of a move, unless another transfer to the same VM is in
// flight. The caller holds mu.
func (k *Keeper) give(m limit.Move, peer string, now time.Time) {
	if k.transferring[m.To] {
		return
	}
	if t, ok := k.ledger.Give(m.Team, m.To, m.Units, now); ok {
		k.transferring[m.To] = true
		k.wg.Go(func() { k.deliver(t, peer) })
	}
}

// deliver sends a transfer until the receiver has settled it, its epoch has ended or
// the keeper stops.
func (k *Keeper) deliver(t limit.Transfer, peer string) {
	defer func() {
		k.mu.Lock()
		delete(k.transferring, t.To)
		k.mu.Unlock()
	}()
	for k.ctx.Err() == nil {
		if k.opt.Send(t, peer) {
			return
		}
		k.mu.Lock()
		epochEnded := k.ledger.Epoch != t.Epoch
		k.mu.Unlock()
		if epochEnded {
			return
		}
		pollendoor.Pause(k.ctx, tickInterval)
	}
}

// HandOver gives all units to peers that keep running, before a planned stop. It
// returns when all transfers are settled, when no peer can take units, or when ctx
// ends.
func (k *Keeper) HandOver(ctx context.Context) {
	for ctx.Err() == nil {
		if k.giveAll() {
			return
		}
		time.Sleep(tickInterval / 4)
	}
}

// giveAll gives the remaining units to the last peer in the view that can take them.
// It reports true when no units are left or in flight, or no peer can take them.
func (k *Keeper) giveAll() bool {
	v := k.opt.View()
	k.mu.Lock()
	defer k.mu.Unlock()
	var to peers.Member
	now := time.Now()
	for _, m := range v.Members {
		if k.canTransfer(m, now) && !m.Heartbeat.Draining && !m.Leaving {
			to = m
		}
	}
	if to.ID == "" {
		return true // no peer can take the units
	}
	pending := len(k.transferring) > 0
	for team, units := range k.ledger.Holdings() {
		if units == 0 {
			continue
		}
		pending = true
		k.give(limit.Move{Team: team, To: to.ID, Units: units}, to.Peer, now)
	}
	return !pending
}
