/*
 * A holder of the duty that has lost the store goes on by promises of the members.
 *
 * Holder 1 grants leases for LEASE after its last proof; for HOLD after it while
 * most members promise, and for FAR while all do. A member that has promised
 * neither claims the duty nor confirms the record of another holder until its
 * promise is over. Holder 2, a member or not, claims the duty at the store. It may
 * replace a primary LEASE after its claim, once most members have confirmed its
 * record, or else after HOLD (after FAR, if it is no member itself and can't have
 * promised). Members restart and forget; a member that has just started counts as
 * one that has promised. A change of the members by holder 1, from three to the
 * third alone, may be carried out by the store without its knowledge.
 *
 * Checked: no lease of holder 1 is in use when holder 2 replaces a primary.
 *
 * Mutants that must be rejected: ONEPROMISE takes one promise for most, UNBOUND
 * confirms in spite of a promise, NOHOLD does not wait, FORGET starts a member
 * without a promise, MEMBERWAIT lets a claimant that is no member wait for HOLD
 * only, ONELIST counts promises by the list that holder 1 knows, whatever it may
 * have written.
 */
#define M 3
#define LEASE 2
#define PROMISE 2
#define HOLD 4
#define FAR 6
/* Times are what is left of a span, or how long ago something was. */

byte token = 1;
byte proof;         /* how long ago holder 1 proved its hold */
byte claim;         /* how long ago holder 2 claimed the duty */
bool outside;       /* holder 2 is no member */
byte promised[M];   /* left of a promise, as the member knows */
byte known[M];      /* the same, as holder 1 knows */
bool confirmed[M];  /* the record of holder 2 */
byte lease;         /* left of the longest lease that holder 1 has granted */
bool proposed;      /* holder 1 has sent a change of the members */
bool shrunk;        /* the store has carried it out: member 2 is left */

byte most; byte all; byte till; byte n;

inline smaller(a, b, r) { if :: a < b -> r = a :: else -> r = b fi }
inline larger(a, b, r) { if :: a > b -> r = a :: else -> r = b fi }
#define LEFT(span) (proof < span -> span - proof : 0)

/* for how long holder 1 may go on by promises: of most members, and of all */
inline quorum() {
	/* the middle of three is the time for which two have promised */
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

/* holder 1 grants the longest lease that it may */
inline grant() {
	quorum();
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
#define PASS(left) left = (left > 0 -> left - 1 : 0)

inline some() { if :: n = 0 :: n = 1 :: n = 2 fi }

active proctype world() {
	atomic { if :: outside = true :: outside = false fi; lease = LEASE }
end:	do
	/* time passes */
	:: atomic {
		PASS(promised[0]); PASS(promised[1]); PASS(promised[2]);
		PASS(known[0]); PASS(known[1]); PASS(known[2]);
		PASS(lease);
		proof = (proof < FAR -> proof + 1 : FAR);
		claim = (token == 2 && claim < FAR -> claim + 1 : claim);
		grant() }
	/* holder 1 proves its hold */
	:: atomic { token == 1 && proof > 0 -> proof = 0; grant() }
	/* it sends a change of the members; the store may carry it out at any time */
	:: atomic { token == 1 && !proposed -> proposed = true }
	:: atomic { token == 1 && proposed && !shrunk -> shrunk = true }
	/* a member promises; the heartbeat may be lost */
	:: atomic { some();
		if
		:: !confirmed[n] -> promised[n] = PROMISE; if :: known[n] = PROMISE :: true fi
		:: else
		fi; n = 0; grant() }
	/* a member restarts */
	:: atomic { some(); promised[n] = FIRST; n = 0 }
	/* holder 2 claims; as a member it is the third, and keeps its promise */
	:: atomic { token == 1 && (outside || promised[2] == 0) -> token = 2; confirmed[2] = !outside }
	/* a member confirms its record */
	:: atomic { some(); if :: token == 2 && !confirmed[n] && FREE(n) -> confirmed[n] = true :: else fi; n = 0 }
	/* holder 2 replaces a primary */
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
