/*
 * A leader that has lost the store continues on promises of the members.
 *
 * Leader 1 grants leases for LEASE after its last proof of leadership, for HOLD
 * after it while most members promise, and for FAR after it while all members do.
 * A member that has promised doesn't claim leadership and doesn't confirm the
 * record of another leader until its promise has expired. VM 2, which may be a
 * member or not, claims leadership at the store and becomes leader 2. It may
 * replace a primary LEASE after its claim if most members have confirmed its
 * record, and otherwise HOLD after its claim. If it is not a member, and so can't
 * have promised, it waits for FAR instead of HOLD. Members may restart and forget
 * their promise; a member that has just started counts as one that has promised.
 * The store may apply a change of the members by leader 1, from all three to the
 * third alone, without leader 1 knowing of it.
 *
 * Checked: no lease of leader 1 is in use when leader 2 replaces a primary.
 *
 * Mutants that must be rejected:
 *   ONEPROMISE  takes the promise of one member for those of most members.
 *   UNBOUND     confirms a record in spite of a promise.
 *   NOHOLD      replaces a primary without waiting.
 *   FORGET      starts a member without a promise.
 *   MEMBERWAIT  lets a claimant that is not a member wait for HOLD only.
 *   ONELIST     counts promises by the member list that leader 1 knows, even if
 *               leader 1 may have written another one.
 */
/*
 * Times are in ticks. A variable holds either the remaining time of a span or the
 * time since an event.
 */
#define M 3 /* members */
#define LEASE 2
#define PROMISE 2
#define HOLD 4 /* limit with the promises of most members */
#define FAR 6  /* limit with the promises of all members */

byte token = 1;     /* the leader in the record: 1 or 2 */
byte proof;         /* time since leader 1 last proved its leadership */
byte claim;         /* time since leader 2 claimed leadership */
bool outside;       /* leader 2 is not a member */
byte promised[M];   /* remaining time of the member's promise */
byte known[M];      /* the same, as far as leader 1 knows */
bool confirmed[M];  /* the member has confirmed the record of leader 2 */
byte lease;         /* remaining time of the longest lease that leader 1 has granted */
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

/* leader 1 grants the longest lease that it may grant */
inline grant() {
	promisedTimes();
	till = LEFT(LEASE);
	smaller(most, LEFT(HOLD), most); larger(till, most, till);
	smaller(all, LEFT(FAR), all); larger(till, all, till);
	smaller(till, LEASE, till);
	larger(lease, till, lease);
	till = 0; most = 0; all = 0; n = 0
}

#ifdef UNBOUND
#define FREE(m) true
#else
#define FREE(m) (promised[m] == 0)
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
#define ELAPSE(left) left = (left > 0 -> left - 1 : 0)

/* sets n to one of the members */
inline chooseMember() { if :: n = 0 :: n = 1 :: n = 2 fi }

active proctype protocol() {
	atomic { if :: outside = true :: outside = false fi; lease = LEASE }
end:	do
	/* time passes */
	:: atomic {
		ELAPSE(promised[0]); ELAPSE(promised[1]); ELAPSE(promised[2]);
		ELAPSE(known[0]); ELAPSE(known[1]); ELAPSE(known[2]);
		ELAPSE(lease);
		proof = (proof < FAR -> proof + 1 : FAR);
		claim = (token == 2 && claim < FAR -> claim + 1 : claim);
		grant() }
	/* leader 1 proves its leadership */
	:: atomic { token == 1 && proof > 0 -> proof = 0; grant() }
	/* leader 1 sends a change of the members, which the store may apply at any time */
	:: atomic { token == 1 && !proposed -> proposed = true }
	:: atomic { token == 1 && proposed && !shrunk -> shrunk = true }
	/* a member promises by a heartbeat, which may be lost */
	:: atomic { chooseMember();
		if
		:: !confirmed[n] -> promised[n] = PROMISE; if :: known[n] = PROMISE :: true fi
		:: else
		fi; n = 0; grant() }
	/* a member restarts */
	:: atomic { chooseMember(); promised[n] = FIRST; n = 0 }
	/* VM 2 claims leadership; if it is a member, it is member 2 and its promise binds it */
	:: atomic { token == 1 && (outside || promised[2] == 0) -> token = 2; confirmed[2] = !outside }
	/* a member confirms the record of leader 2 */
	:: atomic { chooseMember(); if :: token == 2 && !confirmed[n] && FREE(n) -> confirmed[n] = true :: else fi; n = 0 }
	/* leader 2 replaces a primary */
	:: atomic { token == 2 && claim >= LEASE ->
		n = (shrunk -> 2 * confirmed[2] : confirmed[0] + confirmed[1] + confirmed[2]);
		if
#ifdef NOHOLD
		:: true -> assert(lease == 0)
#endif
		:: n >= 2 || claim >= WAIT -> assert(lease == 0)
		:: else
		fi; n = 0 }
	od
}
