/*
 * A team's allowance that is divided among several VMs. VMs transfer units to each
 * other and may die at any time. Messages may be lost, repeated or delayed. Units
 * that are missing are granted again when a new epoch begins in the agreed state.
 *
 * Checked: the units held by live VMs never sum to more than WHOLE, including
 * those in messages that may still be accepted. Units are transferred one at a time.
 *
 * Mutants that must be rejected:
 *   LATESUBTRACT  sends a unit before it is subtracted from the sender.
 *   NODEDUP       accepts each copy of a repeated message.
 *   ANYEPOCH      accepts messages of an epoch that has ended.
 *   EARLYDROP     removes a member that may still be alive.
 *   GRANTTWICE    takes the grant of an epoch each time it is seen.
 */
#define N 3 /* VMs */
#define WHOLE 2
#ifndef MAXE
#define MAXE 4 /* epochs */
#endif
#define M 2 /* messages */

#ifdef ANYEPOCH
#define INEPOCH true
#else
#define INEPOCH (msgE[msg] == at[to[msg]])
#endif
#ifdef NODEDUP
#define FIRST true
#else
#define FIRST (!taken[msg])
#endif

/* the agreed state */
byte epoch = 1;
bool collecting = true; /* members of the epoch still report their units */
bool member[N];
byte grant[N]; /* units granted to each VM in this epoch */

/* the VMs */
bool alive[N];
byte units[N];
byte at[N];      /* epoch that the VM has entered */
byte granted[N]; /* last epoch whose grant the VM took */
byte heldE[N];   /* epoch of the VM's last report */
byte heldU[N];   /* units in the VM's last report */

/* the messages; a sent message may arrive at any later time, and more than once */
bool sent[M];
byte from[M];
byte to[M];
byte msgE[M];
bool taken[M];
bool owed[M]; /* LATESUBTRACT only: not yet subtracted from the sender */

byte v, w, msg, sum, n, left;
bool ready;

/* checks the sum of the units that live VMs hold */
inline checkTotal() {
	sum = 0; n = 0;
	do
	:: n == N -> break
	:: else ->
		if
		:: alive[n] -> sum = sum + units[n]
		:: else
		fi;
		n++
	od;
	n = 0;
	assert(sum <= WHOLE);
	sum = 0
}

init {
	d_step {
		member[0] = true; member[1] = true;
		alive[0] = true; alive[1] = true; alive[2] = true
	}
	do
	/* A VM joins. */
	:: atomic {
		epoch < MAXE && alive[2] && !member[2] ->
		member[2] = true; epoch++; collecting = true
	}
	/* A VM dies. */
	:: atomic {
		alive[0] && alive[1] ->
		select(v : 0 .. 1);
		alive[v] = false; v = 0
	}
	/* A dead member is removed. */
	:: atomic {
		epoch < MAXE ->
		select(v : 0 .. 2);
		if
#ifdef EARLYDROP
		:: member[v] && v != 2 ->
#else
		:: member[v] && !alive[v] ->
#endif
			member[v] = false; epoch++; collecting = true
		:: else
		fi;
		v = 0
	}
	/* A VM enters the epoch and reports the units that it holds. */
	:: atomic {
		select(v : 0 .. 2);
		if
		:: alive[v] && member[v] && at[v] < epoch ->
			at[v] = epoch; heldE[v] = epoch; heldU[v] = units[v]
		:: else
		fi;
		v = 0
	}
	/* All members have reported: the missing units are granted. */
	:: atomic {
		collecting ->
		ready = true; left = WHOLE; n = 0;
		do
		:: n == N -> break
		:: else ->
			if
			:: member[n] && heldE[n] != epoch -> ready = false
			:: member[n] && heldE[n] == epoch ->
				if
				:: left >= heldU[n] -> left = left - heldU[n]
				:: else -> left = 0
				fi
			:: else
			fi;
			n++
		od;
		n = 0;
		if
		:: ready ->
			grant[0] = 0; grant[1] = 0; grant[2] = 0;
			if
			:: member[0] -> grant[0] = left
			:: member[1] -> grant[1] = left
			:: member[2] -> grant[2] = left
			:: !member[0] && !member[1] && !member[2] -> skip
			fi;
			collecting = false
		:: else
		fi;
		ready = false; left = 0
	}
	/* A VM takes its grant. */
	:: atomic {
		!collecting ->
		select(v : 0 .. 2);
		if
#ifdef GRANTTWICE
		:: alive[v] && member[v] && at[v] == epoch && units[v] < 4 ->
#else
		:: alive[v] && member[v] && at[v] == epoch && granted[v] < epoch ->
#endif
			granted[v] = epoch; units[v] = units[v] + grant[v]
		:: else
		fi;
		v = 0;
		checkTotal()
	}
	/* A VM sends a unit to another VM. */
	:: atomic {
		select(v : 0 .. 2); select(w : 0 .. 2); select(msg : 0 .. 1);
		if
		:: v != w && !sent[msg] && alive[v] && at[v] > 0 && units[v] > 0 ->
			sent[msg] = true; from[msg] = v; to[msg] = w; msgE[msg] = at[v];
#ifdef LATESUBTRACT
			owed[msg] = true
#else
			units[v] = units[v] - 1
#endif
		:: else
		fi;
		v = 0; w = 0; msg = 0
	}
#ifdef LATESUBTRACT
	:: atomic {
		select(msg : 0 .. 1);
		if
		:: owed[msg] && alive[from[msg]] && units[from[msg]] > 0 -> owed[msg] = false; units[from[msg]] = units[from[msg]] - 1
		:: else
		fi;
		msg = 0
	}
#endif
	/* A message arrives, for the first time or again. */
	:: atomic {
		select(msg : 0 .. 1);
		if
		:: sent[msg] && alive[to[msg]] && units[to[msg]] < 4 && INEPOCH && FIRST ->
			taken[msg] = true; units[to[msg]] = units[to[msg]] + 1
		:: else
		fi;
		msg = 0;
		checkTotal()
	}
	od
}
