/*
 * Choice of the next primary in a group whose commits are acknowledged once one
 * replica has received them (syncReplicas 1). Each target may stop receiving, may
 * drain and may not answer; the leader may be replaced at any moment and the primary
 * may be suspected falsely.
 *
 * Checked: an acknowledged commit is in the log of the target that is promoted.
 *
 * Mutants that must be rejected:
 *   ANSWERED   chooses with one answer too few.
 *   PASSOVER   prefers a target that stays to a draining one with a newer log.
 *   INDEXONLY  compares logs by their length only.
 *   EARLYASK   asks while VMs still use the old primary.
 *   OTHERLOG   accepts the answer of an old primary that has restarted without its
 *              log as proof of what was acknowledged.
 *   CATCHUP    promotes in a planned change although the replica lacks commits of
 *              the old primary.
 *   LISTED     waits only for replicas that the store lists now.
 *   FORGETS    a new leader waits only for replicas that it has seen listed.
 *   REBORN     counts a replica as answered that has started again without its log.
 *   NOSTART    promotes a target without the log with which the term began, or that the
 *              primary had when a holder was given up.
 *   FORMER     counts a target as answered that still leads an older term, but does not
 *              compare its log.
 */
#define N 3 /* targets */
#ifndef MAXI
#define MAXI 2 /* log entries */
#endif
#ifndef MAXT
#define MAXT 3 /* terms */
#endif
#define L(t, i) log[(t) * (MAXI + 1) + (i)] /* term of the entry at index i */

byte log[N * (MAXI + 1)];
byte size[N];
byte fol[N];       /* term that the target leads or follows */
bool lead[N];      /* the target leads that term, until it follows a later one */
bool drains[N];
bool deaf[N];      /* the target receives nothing */
bool emptied[N];   /* the target leads a term but has restarted without its log */
bool reborn[N];    /* the replica has started again without its log in this term */
bool left[N];      /* the target has left for good, and is given up */
bool lostReplica = false; /* a replica has lost its log or has left */
byte startSize = 0, startTerm = 0; /* start of the term in the record */
bool lost = false; /* a log was lost: another failure could take the last copy of a commit */
byte acked[MAXI + 1]; /* term of the entry acknowledged at an index */

byte prim = 0;
byte term = 1;
bool released = false; /* no VM uses the primary any more */
bool asking = false;   /* the leader asks for the targets' status */
bool answered[N];
byte seen[N];          /* size of the log in the answer */
byte seenTerm[N];      /* term of its last entry */

byte t, i, best, missing;
bool proof;

/* Whether the leader waits for a replica that has not answered. Which entries the store
 * has makes no difference but for the mutants. */
#if defined(LISTED) || defined(FORGETS)
#define ENTRIES
bool listed[N]; /* the store lists the target */
bool known[N];  /* the leader that asks has seen the target listed */
#endif
#ifdef LISTED
#define AWAITED(t) (listed[t] && !left[t])
#else
#ifdef FORGETS
#define AWAITED(t) (known[t] && !left[t])
#else
#define AWAITED(t) (!left[t]) /* the record names all replicas of the term */
#endif
#endif
#ifdef REBORN
#define HASANSWERED(t) answered[t]
#else
#define HASANSWERED(t) (answered[t] && !reborn[t])
#endif

/* Whether the log of a target is compared. Only then does the target count as one that has
 * no acknowledged commit beyond those of the target that is promoted. */
#ifdef FORMER
#define COMPARED(t) (answered[t] && !lead[t])
#else
#define COMPARED(t) answered[t]
#endif

/* Whether the chosen target has the log from which on the holders count. The primary may
 * have it otherwise, unless it has lost it. */
#ifdef NOSTART
#define ATSTART true
#else
#define ATSTART (emptied[prim] || seenTerm[best] > startTerm || (seenTerm[best] == startTerm && seen[best] >= startSize))
#endif

inline reset() {
	t = 0;
	do
	:: t == N -> break
	:: else -> answered[t] = false; seen[t] = 0; seenTerm[t] = 0; t++
	od;
	t = 0
}

inline pick() {
	best = 255; t = 0;
	do
	:: t == N -> break
	:: else ->
		if
		:: t == prim || !COMPARED(t) -> skip
		:: else ->
			if
			:: best == 255 -> best = t
#ifdef PASSOVER
			:: best != 255 && drains[best] && !drains[t] -> best = t
			:: best != 255 && !drains[best] && drains[t] -> skip
#endif
#ifdef INDEXONLY
			:: best != 255 && seen[t] > seen[best] -> best = t
#else
			:: best != 255 && (seenTerm[t] > seenTerm[best] || (seenTerm[t] == seenTerm[best] && seen[t] > seen[best])) -> best = t
#endif
			:: else -> skip
			fi
		fi;
		t++
	od;
	t = 0
}

init {
	d_step {
		t = 0;
		do
		:: t == N -> break
		:: else ->
			fol[t] = 1;
#ifdef ENTRIES
			listed[t] = true; known[t] = true;
#endif
			t++
		od;
		lead[0] = true; t = 0
	}
	do
	/* The primary commits. */
	:: atomic { size[prim] < MAXI && !emptied[prim] -> size[prim]++; L(prim, size[prim]) = term }
	/* A replica receives the next entry, after it has dropped what the primary lacks. */
	:: atomic {
		select(t : 0 .. 2);
		if
		:: t != prim && !deaf[t] && !left[t] && !emptied[prim] ->
			if
			:: fol[t] < term ->
				fol[t] = term; lead[t] = false; i = 1;
				do
				:: i > MAXI -> break
				:: else ->
					if
					:: i <= size[t] && (i > size[prim] || L(t, i) != L(prim, i)) ->
						do
						:: size[t] >= i -> L(t, size[t]) = 0; size[t]--
						:: else -> break
						od
					:: else -> skip
					fi;
					i++
				od;
				i = 0
			:: fol[t] == term && size[t] < size[prim] -> size[t]++; L(t, size[t]) = L(prim, size[t])
			:: else -> skip
			fi
		:: else -> skip
		fi;
		t = 0
	}
	/* A replica has an entry of this term, and the VM that wrote it is told so. */
	:: atomic {
		!released ->
		select(t : 0 .. 2);
		if
		:: t != prim && !left[t] && fol[t] == term && size[t] > 0 && L(t, size[t]) == term && size[prim] >= size[t] ->
			i = 1;
			do
			:: i > size[t] -> break
			:: else -> acked[i] = L(t, i); i++
			od;
			i = 0
		:: else -> skip
		fi;
		t = 0
	}
	/* Targets stop and start to receive and to drain. */
	:: atomic { select(t : 0 .. 2); deaf[t] = !deaf[t]; t = 0 }
	:: atomic { select(t : 0 .. 2); drains[t] = !drains[t]; t = 0 }
#ifdef ENTRIES
	/* The entry of a replica lapses or returns. */
	:: atomic { select(t : 0 .. 2); listed[t] = !listed[t]; known[t] = known[t] || listed[t]; t = 0 }
#endif
	/* A replica starts again without its log. */
	:: atomic {
		select(t : 0 .. 2);
		if
		:: t != prim && !lost && !lostReplica ->
			lostReplica = true; fol[t] = 0; lead[t] = false; answered[t] = false;
			do
			:: size[t] > 0 -> L(t, size[t]) = 0; size[t]--
			:: else -> break
			od;
			/* Or it leaves for good, and the record names it no longer. */
			if
			:: reborn[t] = true
			:: !asking -> left[t] = true; startSize = size[prim]; startTerm = L(prim, size[prim])
			fi
		:: else -> skip
		fi;
		t = 0
	}
	/* The old primary restarts without its log. */
	:: atomic {
		asking && !lost && !lostReplica ->
		lost = true; emptied[prim] = true;
		do
		:: size[prim] > 0 -> L(prim, size[prim]) = 0; size[prim]--
		:: else -> break
		od
	}
	/* The primary is suspected, or drains: the leader has the VMs stop using it. */
	:: atomic {
		!asking && !lost && term < MAXT ->
#ifndef EARLYASK
		released = true;
#endif
		asking = true; reset()
	}
#ifdef EARLYASK
	:: atomic { asking && !released -> released = true }
#endif
	/* The leader is replaced, and the next one asks again. */
	:: atomic {
		asking -> reset();
#ifdef ENTRIES
		do
		:: t == N -> break
		:: else -> known[t] = listed[t]; t++
		od;
		t = 0
#endif
	}
	/* A target answers; others stay busy or out of reach. */
	:: atomic {
		asking ->
		select(t : 0 .. 2);
		if
		:: !left[t] -> answered[t] = true; seen[t] = size[t]; seenTerm[t] = L(t, size[t])
		:: else -> skip
		fi;
		t = 0
	}
	/* The leader chooses and the target leads the next term with what it has. */
	:: atomic {
		asking && released ->
		pick();
		missing = 0; t = 0;
		do
		:: t == N -> break
		:: else ->
			if
			:: t != prim && AWAITED(t) && !HASANSWERED(t) -> missing++
			:: else -> skip
			fi;
			t++
		od;
		t = 0;
		/* The old primary answers that it leads, with the whole log. */
#ifdef OTHERLOG
		proof = answered[prim];
#else
		proof = answered[prim] && !emptied[prim];
#endif
		if
		:: best == 255 -> skip
#ifdef ANSWERED
		:: best != 255 ->
#else
#ifdef CATCHUP
		:: best != 255 && (missing < 1 || proof) ->
#else
		:: best != 255 && ((missing < 1 && ATSTART) || (proof && (seenTerm[best] > seenTerm[prim] || (seenTerm[best] == seenTerm[prim] && seen[best] >= seen[prim])))) ->
#endif
#endif
			i = 1;
			do
			:: i > MAXI -> break
			:: else -> assert(acked[i] == 0 || (i <= size[best] && L(best, i) == acked[i])); i++
			od;
			i = 0;
			t = 0;
			do
			:: t == N -> break
			:: else -> reborn[t] = false; t++
			od;
			t = 0;
			emptied[prim] = false; prim = best; term++; fol[prim] = term; lead[prim] = true;
			startSize = seen[prim]; startTerm = seenTerm[prim];
			released = false; asking = false; reset()
		:: else -> skip
		fi;
		best = 0; missing = 0; proof = false
	}
	od
}
