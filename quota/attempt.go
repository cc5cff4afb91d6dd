package quota

import (
	"math/rand/v2"
	"time"
)

// Attempt is the sequence of token requests of one operation, until one is granted.
type Attempt struct {
	Requests []TokenRequest // requests of an operation that reaches all keepers
	Counted  bool           // whether the operation has been counted as demand of its zone
	Skipped  int            // earlier operations that were refused without a request, to be counted as demand

	made       []Ask
	next       int           // index of the next one in Requests
	repeated   bool          // whether the next request is made once more, as a keeper did not answer
	unanswered bool          // whether a request was not answered
	pending    bool          // whether a keeper's share is on its way
	far        bool          // whether the reserves have no token, so that only the zone's share is left
	retry      time.Duration // shortest time until a keeper has a token, zero if unknown
	zoneWait   time.Duration // the same of the keeper that was asked last for the zone
}

// Next returns the next request of the operation at the VM self, or false if there is
// none.
func (a *Attempt) Next(k *Keepers, self string, silent func(vm string) bool) (Ask, bool) {
	for ; a.next < len(a.Requests); a.next++ {
		q := a.Requests[a.next]
		// A request tells that the reserves are empty only if this operation has asked
		// them. Otherwise the reserves of a team over its rate would never be asked again.
		q.ReservesEmpty = q.ReservesEmpty && !a.pending && !a.far && a.reservesAsked(k)
		q.Counted = q.Counted || a.Counted
		ask, ok := k.Target(self, q, a.made, silent)
		if !ok {
			continue
		}
		if ask.Source == ZoneShare && !q.Counted {
			ask.Skipped = a.Skipped
		}
		a.made = append(a.made, ask)
		return ask, true
	}
	return Ask{}, false
}

// reservesAsked reports whether all reserves have answered this operation.
func (a *Attempt) reservesAsked(k *Keepers) bool {
	asked := 0
	for _, m := range a.made {
		if m.Source != ZoneShare {
			asked++
		}
	}
	return asked >= len(k.Reserves) && !a.unanswered
}

// Unanswered records that the last request was not answered. It is made once more, as
// another VM may replace the one that did not answer.
func (a *Attempt) Unanswered() {
	a.unanswered = true
	if a.repeated = !a.repeated; !a.repeated {
		a.next++
	}
}

// Refused records the decision on the last request, which is not Granted, with the
// returned wait.
func (a *Attempt) Refused(d Decision, wait time.Duration) {
	last := a.made[len(a.made)-1]
	a.repeated = false
	if d == SharePending {
		a.pending = true
		a.next++
		return
	}
	if wait > 0 && (a.retry == 0 || wait < a.retry) {
		a.retry = wait
	}
	if last.Source == ZoneShare {
		a.Counted, a.zoneWait = true, wait
	}
	if d == ReservesEmpty {
		a.next = max(a.next, len(a.Requests)-2) // skip to the last request
	}
	a.far = a.far || d == ReservesEmpty || last.ReservesEmpty
	a.next++
}

// Pending reports whether the operation may still get a token of a share that is on its
// way.
func (a *Attempt) Pending() bool { return a.pending }

// RefusedTeam is what a VM knows of a team that is over its rate, from the last operation
// that was refused. The zero value knows nothing.
type RefusedTeam struct {
	until   time.Duration // until when operations are refused without a request
	retryAt time.Duration // when a token is expected
	skipped int           // operations that were refused without a request
}

// Refusal returns what a refused attempt shows of its team at the time now. While the
// zone's keeper has no token for any operation and the reserves are empty, the VM refuses
// operations itself, emptyReserveTime at most.
func (a *Attempt) Refusal(now time.Duration) RefusedTeam {
	o := RefusedTeam{retryAt: now + a.retry}
	if a.far && !a.pending {
		o.until = now + min(emptyReserveTime, max(0, a.zoneWait-standingWait))
	}
	return o
}

// Fresh reports whether the VM may refuse an operation at the time now, and counts the
// operation if so.
func (o *RefusedTeam) Fresh(now time.Duration) bool {
	if now >= o.until {
		return false
	}
	o.skipped++
	return true
}

// TakeSkipped returns the number of operations that Fresh has counted since the last
// call.
func (o *RefusedTeam) TakeSkipped() int {
	n := o.skipped
	o.skipped = 0
	return n
}

// Merge takes over what an earlier refusal has counted.
func (o *RefusedTeam) Merge(earlier *RefusedTeam) { o.skipped += earlier.TakeSkipped() }

// minRetry is the shortest time after which a refused caller is told to return.
const minRetry = 20 * time.Millisecond

// RetryAfter returns when a refused caller should return: when a token is expected, and
// up to half as long again at random, so that callers do not return together. It is zero
// if that is not known.
func (o *RefusedTeam) RetryAfter(now time.Duration) time.Duration {
	if o.retryAt <= 0 || o.retryAt == now {
		return 0
	}
	d := max(minRetry, o.retryAt-now)
	return d + rand.N(d/2+1)
}
