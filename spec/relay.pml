/*
 * A lease by a read of the record that another VM makes: the lead of a zone reads the
 * store for its VMs while the holder of the duty is silent.
 *
 * Time passes in ticks, at any moment between two steps. The VM asks its lead at any
 * time, the lead reads after that, once for all questions that it has, and repeats the
 * time of the question in its answer. The record says in version 1 that the old primary
 * may be used, and in version 2 that the group is moving. The holder, which does not
 * reach the VM, promotes another target a lease after it has written version 2.
 * Questions and answers take any time and get lost.
 *
 * Checked: the VM does not use the old primary after the promotion.
 *
 * Mutants that must be rejected: CACHED answers with a read from before the question,
 * FROMANSWER counts the lease from the arrival of the answer, LASTQUESTION counts it
 * from the last question, whichever one is answered.
 */
#define LEASE 2
#define END 8

byte now;
byte version = 1;
byte moved; /* time of the write of version 2 */
bool promoted;

byte until;     /* of the VM's lease */
byte asked = 0; /* time of its last question */

chan question = [2] of { byte };       /* time by the VM's clock */
chan answer = [2] of { byte, byte };   /* that time, version */

active proctype clock() {
	do
	:: atomic { now < END -> now++ }
	:: now == END -> break
	od
}

active proctype holder() {
	atomic { version = 2; moved = now }
end:	atomic { now >= moved + LEASE -> promoted = true }
}

active proctype lead() {
	byte stamp;
	byte read = 1;
end:	do
	:: question ? stamp ->
#ifndef CACHED
		read = version;
#endif
		if
		:: nfull(answer) -> answer ! stamp, read
		:: skip /* lost */
		fi
#ifdef CACHED
		; read = version /* for the next one */
#endif
	od
}

active proctype vm() {
	byte stamp;
	byte got;
end:	do
	:: atomic { nfull(question) && asked < now -> asked = now; question ! now }
	:: answer ? stamp, got ->
		atomic {
			if
			:: got == 1 ->
#ifdef FROMANSWER
				until = now + LEASE
#else
#ifdef LASTQUESTION
				until = asked + LEASE
#else
				if
				:: stamp + LEASE > until -> until = stamp + LEASE
				:: else -> skip
				fi
#endif
#endif
			:: got == 2 -> until = 0 /* learned, not used any more */
			fi
		}
	:: atomic { now < until -> assert(!promoted) } /* uses the old primary */
	:: now == END -> break
	od
}
