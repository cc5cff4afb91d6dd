/*
 * Promotion and acknowledgement in one database group: the logs of the targets,
 * the record that VMs claim by compare-and-set, fencing, branch points, log
 * shipping and acknowledgement. A failure may be suspected falsely at any time,
 * every step may be delayed or never happen, and a VM may die between any two steps
 * of a promotion, which the next claim then supersedes.
 *
 * Checked:
 *   - An acknowledged entry is in the log of every later serving primary, and
 *     no two entries are acknowledged at one index.
 *   - An entry that a serving primary was found to lack never reappears in the log
 *     of a serving primary (gone), so that an absent row proves that a write did
 *     not run.
 *
 * Mutants that must be rejected:
 *   BLIND      acknowledges without a replica.
 *   MINORITY   promotes after fencing a single target.
 *   NOCLAIM    promotes twice in one term.
 *   FOLLOWED   compares logs by the term that the target follows instead of the
 *              term of its last entry.
 *   NOBARRIER  serves before a replica has an entry of the new term.
 *   FORMER     counts a target that still leads an older term as fenced, but does not
 *              compare its log.
 */
#ifndef MAXT
#define MAXT 3 /* terms */
#endif
#ifndef MAXI
#define MAXI 3 /* log entries */
#endif
#define N 3 /* targets */
#define L(t, i) log[(t) * (MAXI + 1) + (i)] /* term of the entry at index i */
#define G(T, i) gone[(T) * (MAXI + 1) + (i)]
#define W(T, i) wrote[(T) * (MAXI + 1) + (i)]

/* the targets */
byte log[N * (MAXI + 1)];
byte size[N]; /* entries in the log */
byte fen[N];  /* fenced: requests of smaller terms are refused */
byte fol[N];  /* term that the target leads or follows */
bool lead[N]; /* the target leads the term in fol */

/* the outcomes of writes */
bool wrote[(MAXT + 1) * (MAXI + 1)]; /* answered by the primary of the term */
byte acked[MAXI + 1];                /* term of the entry acknowledged at an index */
bool gone[(MAXT + 1) * (MAXI + 1)];  /* entries of a term that were found absent */

/* the record */
byte term = 0;
byte phase = 2; /* 0 claimed, 1 branched, 2 serving */
byte prim = 0;
byte branch[MAXT + 1]; /* size of the log at the start of the term */
bool inset[N]; /* fenced for the record's term */
bool up = false; /* the primary of the record's term was promoted */

/* scratch variables */
byte t, r, i, k, best, common, count;
byte bt, tt;

/* Whether the log of a target is compared. Only then does the target count as one that has
 * no acknowledged entry beyond those of the target that is promoted. */
#ifdef FORMER
#define COMPARED(t) (inset[t] && !lead[t])
#else
#define COMPARED(t) inset[t]
#endif

/* sets out to the term of the last entry of target x */
inline lastterm(x, out) {
	if
	:: size[x] == 0 -> out = 0
	:: else -> out = L(x, size[x])
	fi;
#ifdef FOLLOWED
	out = fol[x]
#endif
}

/* checks the log of the serving primary */
inline check() {
	i = 1;
	do
	:: i > MAXI -> break
	:: else ->
		assert(acked[i] == 0 || (i <= size[prim] && L(prim, i) == acked[i]));
		assert(i > size[prim] || !G(L(prim, i), i));
		i++
	od
}

init {
	/* A term that was claimed but has no branch point truncates no log. */
	d_step {
		i = 0;
		do
		:: i > MAXT -> break
		:: else -> branch[i] = 255; i++
		od;
		i = 0
	}
	do
	/* A VM claims the next term. */
	:: atomic {
		term < MAXT ->
#ifdef NOCLAIM
		if
		:: term++
		:: term > 0 && up -> skip
		fi;
#else
		term++;
#endif
		phase = 0; up = false;
		inset[0] = false; inset[1] = false; inset[2] = false
	}
	/* A target is fenced. */
	:: atomic {
		phase == 0 ->
		select(t : 0 .. 2);
#ifdef NOCLAIM
		if :: fen[t] <= term && !inset[t] -> fen[t] = term; inset[t] = true :: else fi;
#else
		if :: fen[t] < term -> fen[t] = term; inset[t] = true :: else fi;
#endif
		t = 0
	}
	/* A majority is fenced: the target with the newest log is chosen and the branch point recorded. */
	:: atomic {
		phase == 0 ->
		count = inset[0] + inset[1] + inset[2];
		if
#ifdef MINORITY
		:: count >= 1 ->
#else
		:: count * 2 > N ->
#endif
			best = 255; t = 0;
			do
			:: t == N -> break
			:: else ->
				if
				:: !COMPARED(t) -> skip
				:: COMPARED(t) && best == 255 -> best = t
				:: COMPARED(t) && best != 255 ->
					lastterm(t, tt); lastterm(best, bt);
					if
					:: tt > bt || (tt == bt && size[t] > size[best]) -> best = t
					:: else
					fi
				fi;
				t++
			od;
			if
			:: best != 255 -> prim = best; branch[term] = size[best]; phase = 1
			:: else
			fi
		:: else
		fi;
		t = 0; best = 0; count = 0; tt = 0; bt = 0
	}
	/* The chosen target is promoted. */
	:: atomic {
		phase == 1 && !up && fen[prim] <= term ->
		fol[prim] = term; lead[prim] = true; fen[prim] = term; up = true
	}
	/* A target follows the record's term and truncates its log to the common part. */
	:: atomic {
		up ->
		select(t : 0 .. 2);
		if
		:: t != prim && fol[t] < term && fen[t] <= term ->
			common = 255; k = fol[t] + 1;
			do
			:: k > term -> break
			:: else ->
				if
				:: branch[k] < common -> common = branch[k]
				:: else
				fi;
				k++
			od;
			k = common; /* entries after it are cleared */
			do
			:: size[t] > k -> L(t, size[t]) = 0; size[t]--
			:: else -> break
			od;
			fol[t] = term; fen[t] = term; lead[t] = false
		:: else
		fi;
		t = 0; common = 0; k = 0
	}
	/* An entry is shipped from the primary of a term to a replica that follows the term. */
	:: atomic {
		select(t : 0 .. 2); select(r : 0 .. 2);
		if
		:: t != r && lead[t] && !lead[r] && fol[t] == fol[r] && fol[t] > 0 && fen[t] <= fol[t] && fen[r] <= fol[r] && size[r] < size[t] ->
			size[r]++; L(r, size[r]) = L(t, size[r])
		:: else
		fi;
		t = 0; r = 0
	}
	/* The new primary writes the first entry of its term as a barrier. */
	:: atomic {
		up && phase == 1 && fen[prim] <= term && size[prim] < MAXI && size[prim] == branch[term] ->
		size[prim]++; L(prim, size[prim]) = term
	}
	/* The record says that the term serves. */
	:: atomic {
		up && phase == 1 && fen[prim] <= term ->
		if
#ifdef NOBARRIER
		:: phase = 2
#else
		:: size[prim] > branch[term] ->
			if
			:: (prim != 0 && fol[0] == term && fen[0] <= term && size[0] > branch[term]) ||
			   (prim != 1 && fol[1] == term && fen[1] <= term && size[1] > branch[term]) ||
			   (prim != 2 && fol[2] == term && fen[2] <= term && size[2] > branch[term]) -> phase = 2
			:: else
			fi
		:: else
#endif
		fi;
		if
		:: phase == 2 -> check()
		:: else
		fi;
		i = 0
	}
	/* A VM sends a write, possibly to a superseded primary. */
	:: atomic {
		select(t : 0 .. 2);
		if
		:: lead[t] && fen[t] <= fol[t] && size[t] < MAXI && (fol[t] < term || phase == 2) && size[t] >= branch[fol[t]] ->
			size[t]++; L(t, size[t]) = fol[t]; W(fol[t], size[t]) = true
		:: else
		fi;
		t = 0
	}
	/* A VM acknowledges a write that a replica confirms. */
	:: atomic {
		select(r : 0 .. 2);
		if
		:: fol[r] > 0 && fol[r] <= MAXT ->
			i = 1;
			do
			:: i > MAXI -> break
			:: else ->
				if
#ifdef BLIND
				:: W(fol[r], i) && acked[i] != fol[r] ->
#else
				:: W(fol[r], i) && acked[i] != fol[r] && !lead[r] && fen[r] <= fol[r] && size[r] >= i ->
#endif
					assert(acked[i] == 0);
					acked[i] = fol[r];
					assert(!(phase == 2 && term > fol[r]) || (i <= size[prim] && L(prim, i) == fol[r]))
				:: else
				fi;
				i++
			od
		:: else
		fi;
		i = 0; r = 0
	}
	/* A VM finds a row absent at the serving primary, and reports that the write did not run. */
	:: atomic {
		phase == 2 && up && term > 1 && fen[prim] <= term ->
		i = 1;
		do
		:: i > MAXI -> break
		:: else ->
			k = 1;
			do
			:: k >= term -> break
			:: else ->
				if
				:: i > size[prim] || L(prim, i) != k -> G(k, i) = true
				:: else
				fi;
				k++
			od;
			i++
		od;
		i = 0; k = 0
	}
	od
}
