package fleet

import (
	"context"
	"time"

	"github.com/pollendoor/pollendoor/clock"
	"github.com/pollendoor/pollendoor/reign"
)

// tell is another VM's word on the holder.
type tell struct {
	at    time.Duration
	token uint64
	age   time.Duration
}

// ask asks the other VMs whether they hear the holder.
func (b *beat) ask(r *reign.Record, now time.Duration) {
	b.write(&packet{Kind: packetAsk, Token: r.Token, Stamp: now}, addresses(b.others(r.Holder))...)
}

// sight is what the decision on a takeover needs.
func (b *beat) sight(r *reign.Record, silent, now time.Duration) reign.Sight {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := reign.Sight{Self: b.vm.Settings.VM, Power: b.vm.Settings.CPU, Record: *r, Silent: silent, NoClaim: b.noClaim}
	s.Store, s.StoreFor = b.storeOK && now-b.storeRead < tellAge, now-b.storeFrom
	s.Sign = now - b.signAt
	if w := b.wanted.Echo(r.Token); w > 0 {
		s.Without = now - w
	}
	for _, p := range b.others(r.Holder) {
		s.Others++
		t, ok := b.told[p.Name]
		if !ok || now-t.at > tellAge {
			continue
		}
		s.Answered++
		if t.token >= r.Token && t.age < heardLately {
			s.HeardByAt++
		}
	}
	return s
}

// renew asks the store whether the record still stands, which is as good as a
// lease from the holder.
func (b *beat) renew(ctx context.Context) {
	b.mu.Lock()
	busy := b.renewing || clock.Now()-b.storeRead < renewPause
	b.renewing = b.renewing || !busy
	b.mu.Unlock()
	if busy {
		return
	}
	go func() {
		v := b.vm
		sent := clock.Now()
		b.mu.Lock()
		b.storeRead, b.storeOK = sent, false
		b.mu.Unlock()
		o, err := v.Platform.Store.Get(ctx, recordName)
		b.mu.Lock()
		b.renewing, b.storeOK = false, err == nil
		if err != nil {
			b.storeFrom = 0
		} else if b.storeFrom == 0 || sent-b.storeFrom > storeSeries {
			b.storeFrom = sent
		}
		b.mu.Unlock()
		if err != nil {
			v.stats.StoreErrors.Add(1)
			v.Log.Debug().Err(err).Msg("lease not renewed at the store")
			return
		}
		r, err := decodeRecord(o)
		if err != nil {
			v.Log.Error().Err(err).Msg("record ignored")
			return
		}
		b.mu.Lock()
		b.signed(r.Sign, clock.Now())
		b.mu.Unlock()
		v.learn(r, "own read")
		if r.Member(v.Settings.VM) {
			v.changeLease(func(l *reign.Lease) bool { return l.Adopt(r.Record, sent, reign.LeaseTime-reign.ClockSlack) })
		}
	}()
}

// newHolder notes that another VM holds the duty. Its silence counts from now.
func (b *beat) newHolder(now time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.answered, b.changed = now, now
}

// contact notes that the holder is there.
func (b *beat) contact(now time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.answered = now
}

// silent reports whether the holder has not answered for a while.
func (b *beat) silent() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return clock.Now()-max(b.answered, b.started) > selfLeaseAfter
}
