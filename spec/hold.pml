/*
 * A leader that has lost the store continues on promises of the members.
 *
 * Leader 1 grants leases for LEASE after its last proof of leadership, for HOLD
 * after it while most members promise, and for FAR after it while all members do. A
 * lease lasts as long as these promises, so it may outlast leader 1.
 * A member that has promised doesn't claim leadership for a short time and doesn't
 * confirm the record of another leader until its promise has expired. VM 2, which may
 * be a member or not, claims leadership at the store and becomes leader 2. It may
 * replace a primary LEASE after its claim if most members have confirmed its
 * record, and otherwise HOLD after its claim. If it is not a member, and so can't
 * have promised, it waits for FAR instead of HOLD. Leader 1 may replace a primary
 * itself LEASE after it has recorded that, once the leases that it granted have ended.
 * Members may restart and forget their promise; a member that has just started counts
 * as one that has promised. The store may apply a change of the members by leader 1,
 * from all three to the third alone, without leader 1 knowing of it. Leader 1 evicts
 * only members whose leases have ended.
 *
 * Checked: no lease of leader 1 is in use when a primary is replaced.
 *
 * Mutants that must be rejected:
 *   ONEPROMISE  takes the promise of one member for those of most members.
 *   UNBOUND     confirms a record in spite of a promise.
 *   CLAIMBOUND  is bound only as long as it may not claim leadership.
 *   OWNVOICE    counts the claimant as confirming in spite of its own promise.
 *   NOHOLD      replaces a primary without waiting.
 *   FORGET      starts a member without a promise.
 *   MEMBERWAIT  lets a claimant that is not a member wait for HOLD only.
 *   ONELIST     counts promises by the member list that leader 1 knows, even if
 *               leader 1 may have written another one.
 *   EVICT       evicts members whose leases have not ended.
 *   OWNLEASES   lets leader 1 replace a primary LEASE after it has recorded that.
 */
/*
 * Times are in ticks. A variable holds either the remaining time of a span or the
 * time since an event.
 */
#define M 3 /* members */
#define LEASE 1
#define NOCLAIM 1 /* a promise to claim no leadership */
#define PROMISE 3 /* a promise to confirm no other leader's record */
#define HOLD 4 /* limit with the promises of most members */
#define FAR 6  /* limit with the promises of all members */

byte token = 1;     /* the leader in the record: 1 or 2 */
byte proof;         /* time since leader 1 last proved its leadership */
byte claim;         /* time since leader 2 claimed leadership */
bool outside;       /* leader 2 is not a member */
byte quiet;         /* remaining time of the third member's promise not to claim */
byte promised[M];   /* remaining time of the member's promise */
byte known[M];      /* the same, as far as leader 1 knows */
bool confirmed[M];  /* the member has confirmed the record of leader 2 */
byte lease[2];      /* remaining time of the longest lease of the first two members, and of the third */
bool moving;        /* leader 1 has recorded that it replaces the primary */
byte moved;         /* time since then */
bool proposed;      /* leader 1 has sent a change of the members */
bool shrunk;        /* the store has applied it: only member 2 is left */

/* scratch variables, zero between steps */
byte most; byte all; byte till; byte n;

inline smaller(a, b, r) { if :: a < b -> r = a :: else -> r = b fi }
inline larger(a, b, r) { if :: a > b -> r = a :: else -> r = b fi }
#define LEFT(span) (proof < span -> span - proof : 0)

/* sets most and all to the time for which most and all members have promised */
inline promisedTimes() {
	/* the median of the three is the time for which two have promised */
	smaller(known[0], known[1], n);
	smaller(known[1], known[2], till); larger(n, till, most);
	smaller(known[0], known[2], till); larger(most, till, most);
#ifdef ONEPROMISE
	larger(known[0], known[1], most); larger(most, known[2], most);
#endif
	smaller(n, known[2], all);
#ifndef ONELIST
	if
	:: proposed -> smaller(most, known[2], most)
	:: else
	fi;
#endif
	till = 0; n = 0
}

/* leader 1 grants the longest leases that it may grant */
inline grant() {
	promisedTimes();
	till = LEFT(LEASE);
	smaller(most, LEFT(HOLD), most); larger(till, most, till);
	smaller(all, LEFT(FAR), all); larger(till, all, till);
	if
	:: !proposed -> larger(lease[0], till, lease[0])
	:: else
	fi;
	larger(lease[1], till, lease[1]);
	till = 0; most = 0; all = 0; n = 0
}

#ifdef UNBOUND
#define FREE(m) true
#else
#define FREE(m) (promised[m] == 0)
#endif
#ifdef CLAIMBOUND
#define BOUND NOCLAIM
#else
#define BOUND PROMISE
#endif
#ifdef OWNVOICE
#define OWN true
#else
#define OWN (promised[2] == 0)
#endif
#ifdef MEMBERWAIT
#define WAIT HOLD
#else
#define WAIT (outside -> FAR : HOLD)
#endif
#ifdef FORGET
#define FIRST 0
#else
#define FIRST PROMISE
#endif
#ifdef EVICT
#define MAYEVICT true
#else
#define MAYEVICT (lease[0] == 0)
#endif
#ifdef OWNLEASES
#define ENDED true
#else
#define ENDED (lease[0] == 0 && lease[1] == 0)
#endif
/* VM 2 gives leader 1 no more promises after its own claim */
#define CLAIMANT(m) (m == 2 && token == 2 && !outside)
#define ELAPSE(left) left = (left > 0 -> left - 1 : 0)
#define UNUSED (lease[0] == 0 && lease[1] == 0)

/* sets n to one of the members */
inline chooseMember() { if :: n = 0 :: n = 1 :: n = 2 fi }

active proctype protocol() {
	atomic { if :: outside = true :: outside = false fi; lease[0] = LEASE; lease[1] = LEASE }
end:	do
	/* time passes */
	:: atomic {
		ELAPSE(promised[0]); ELAPSE(promised[1]); ELAPSE(promised[2]);
		ELAPSE(known[0]); ELAPSE(known[1]); ELAPSE(known[2]);
		ELAPSE(lease[0]); ELAPSE(lease[1]); ELAPSE(quiet);
		proof = (proof < FAR -> proof + 1 : FAR);
		claim = (token == 2 && claim < FAR -> claim + 1 : claim);
		moved = (moving && moved < LEASE -> moved + 1 : moved) }
	/* leader 1 grants leases */
	:: atomic { !moving -> grant() }
	/* leader 1 proves its leadership */
	:: atomic { token == 1 && proof > 0 -> proof = 0 }
	/* leader 1 sends a change of the members, which the store may apply at any time */
	:: atomic { token == 1 && !proposed && MAYEVICT -> proposed = true }
	:: atomic { token == 1 && proposed && !shrunk -> shrunk = true }
	/* leader 1 records that the primary is being replaced; no leases on it follow */
	:: atomic { token == 1 && !moving -> moving = true; proof = 0 }
	/* leader 1 replaces the primary */
	:: atomic { token == 1 && moving && moved >= LEASE && ENDED -> assert(UNUSED) }
	/* a member promises by a heartbeat, which may be lost */
	:: atomic { chooseMember();
		if
		:: !confirmed[n] && !CLAIMANT(n) -> promised[n] = BOUND; quiet = (n == 2 -> NOCLAIM : quiet); if :: known[n] = PROMISE :: true fi
		:: else
		fi; n = 0 }
	/* a member restarts */
	:: atomic { chooseMember(); promised[n] = FIRST; quiet = (n == 2 -> 0 : quiet); n = 0 }
	/* VM 2 claims leadership; if it is a member, it is member 2 */
	:: atomic { token == 1 && (outside || quiet == 0) -> token = 2; confirmed[2] = !outside && OWN }
	/* a member confirms the record of leader 2, which itself does so once its promise has expired */
	:: atomic { chooseMember(); if :: token == 2 && !confirmed[n] && FREE(n) -> confirmed[n] = true :: else fi; n = 0 }
	/* leader 2 replaces a primary */
	:: atomic { token == 2 && claim >= LEASE ->
		n = (shrunk -> 2 * confirmed[2] : confirmed[0] + confirmed[1] + confirmed[2]);
		if
#ifdef NOHOLD
		:: true -> assert(UNUSED)
#endif
		:: n >= 2 || claim >= WAIT -> assert(UNUSED)
		:: else
		fi; n = 0 }
	od
}
