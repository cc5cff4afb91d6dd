/*
 * The record, the tokens and the proofs of leadership over a store that comes back from an
 * older copy, in its next era.
 *
 * A claim takes a token above all that the VM knows and above those of earlier eras. A leader
 * that finds a new era writes its record again, and has proved its leadership once most
 * members have confirmed that record, with processes that it had heard from before its last
 * proof. An order needs a proof and the confirmation of most members. One VM may restart and
 * forget what it knew.
 *
 * Checked: the tokens of orders never go back, and no two VMs use the same one.
 *
 * Mutants that must be rejected:
 *   RECORDTOKEN  takes the token after the one in the record.
 *   ATONCE       counts a record that was written again as a proof.
 *   LATE         accepts an answer of an older era as a proof.
 *   ANYPROCESS   counts confirmations of processes that have started since.
 */
#define V 3
#define ERAS 2
#define CLAIMS 3       /* claims in all */
#define FIRST(e) ((e) * 8) /* tokens of an era are larger than this */

/* the store */
byte era;
byte rec;              /* token in the record */
byte owner;            /* VM that has written it */
byte copyRec, copyOwner;

byte known[V];         /* newest token that a VM has adopted */
byte lead[V];          /* token with which a VM leads, zero if it does not */
byte provedIn[V];      /* era of its last proof */
bool unproved[V];      /* the store has come back since */
bool rewritten[V];     /* the record was written again since */
bool confirmed[V * V]; /* VM m has confirmed the record of VM v: confirmed[v * V + m] */
bool heard[V * V];     /* VM v has heard from the present process of VM m: heard[v * V + m] */
bool before[V * V];    /* and had before its last proof */
byte restarts, claims;

byte lastToken, lastHolder = V; /* of the last order */

inline forget(v) {
	confirmed[v * V] = false; confirmed[v * V + 1] = false; confirmed[v * V + 2] = false;
	confirmed[v * V + v] = true
}

#ifdef ANYPROCESS
#define COUNTS(l, v) true
#else
#define COUNTS(l, v) (!unproved[l] || before[(l) * V + (v)])
#endif
#define MOST(v) (confirmed[(v) * V] + confirmed[(v) * V + 1] + confirmed[(v) * V + 2] >= 2)

#ifdef LATE
#define CURRENT(v) true
#else
#define CURRENT(v) (era == provedIn[v] && rec == lead[v] && owner == (v))
#endif

active [V] proctype vm() {
	byte v = _pid;
	byte m, t;
end:	do
	/* Claims the leadership. */
	:: atomic {
		rec <= known[v] && lead[v] != known[v] || rec == 0 && known[v] == 0 ->
#ifdef RECORDTOKEN
		t = rec;
#else
		t = (known[v] > rec -> known[v] : rec);
		t = (FIRST(era) > t -> FIRST(era) : t);
#endif
		if
		:: claims < CLAIMS ->
			claims++; t++; rec = t; owner = v; known[v] = t; lead[v] = t;
			provedIn[v] = era; unproved[v] = false; rewritten[v] = false;
			forget(v)
		:: else -> skip
		fi;
		t = 0
	}
	/* Adopts the record in the store, to claim the leadership from it. */
	:: atomic { rec > known[v] && lead[v] == 0 && claims < CLAIMS -> known[v] = rec }
	/* Finds that another VM leads. */
	:: atomic { lead[v] != 0 && rec > lead[v] -> known[v] = (rec > known[v] -> rec : known[v]); lead[v] = 0 }
	/* Confirms the record of a leader. */
	:: atomic {
		select(m : 0 .. 2);
		if
		:: m != v && lead[m] != 0 && lead[m] >= known[v] && (!unproved[m] || rewritten[m]) ->
			if
			:: lead[m] > known[v] -> lead[v] = 0
			:: else -> skip
			fi;
			known[v] = lead[m];
			if
			:: COUNTS(m, v) -> confirmed[m * V + v] = true
			:: else -> skip
			fi;
			heard[m * V + v] = true
		:: else -> skip
		fi;
		m = 0
	}
	/* Proves its leadership by a read of the record. */
	:: atomic { lead[v] != 0 && !unproved[v] && era == provedIn[v] && rec == lead[v] && owner == v ->
		before[v * V] = heard[v * V]; before[v * V + 1] = heard[v * V + 1]; before[v * V + 2] = heard[v * V + 2] }
	/* Finds that the store has come back. */
	:: atomic { lead[v] != 0 && era > provedIn[v] && rec <= lead[v] ->
		unproved[v] = true; rewritten[v] = false; provedIn[v] = era }
	/* Writes its record again. */
	:: atomic { lead[v] != 0 && unproved[v] && !rewritten[v] && rec <= lead[v] && provedIn[v] == era ->
		rec = lead[v]; owner = v; rewritten[v] = true; forget(v) }
#ifdef ATONCE
	:: atomic { unproved[v] && rewritten[v] -> unproved[v] = false; confirmed[v * V] = true; confirmed[v * V + 1] = true }
#else
	:: atomic { unproved[v] && rewritten[v] && MOST(v) -> unproved[v] = false }
#endif
	/* Orders a promotion. */
	:: atomic { lead[v] != 0 && !unproved[v] && MOST(v) && CURRENT(v) ->
		assert(lead[v] > lastToken || lead[v] == lastToken && lastHolder == v);
		lastToken = lead[v]; lastHolder = v }
	/* Restarts. */
	:: atomic { restarts < 1 -> restarts++; known[v] = 0; lead[v] = 0; unproved[v] = false; rewritten[v] = false;
		heard[v] = false; heard[V + v] = false; heard[2 * V + v] = false;
		before[v] = false; before[V + v] = false; before[2 * V + v] = false }
	od
}

active proctype restore() {
end:	do
	:: atomic { era < ERAS - 1 && (copyRec != rec || copyOwner != owner) -> copyRec = rec; copyOwner = owner }
	:: atomic { era < ERAS - 1 -> era++; rec = copyRec; owner = copyOwner }
	od
}
