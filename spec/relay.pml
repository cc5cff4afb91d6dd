/*
 * A lease by a read of the record that another VM makes: the coordinator of a zone
 * reads the store for the VMs of its zone while the leader is silent.
 *
 * Time passes in ticks, at any moment between two steps. The VM may send a request
 * to its coordinator at any time. The coordinator then reads the record, once for
 * all requests that it has, and its answer repeats the timestamp of the request.
 * Version 1 of the record says that the old primary may be used, version 2 that the
 * group is moving. The leader, which can't reach the VM, promotes another target a
 * lease after it has written version 2. Requests and answers may be delayed for any
 * time or lost.
 *
 * Checked: the VM does not use the old primary after the promotion.
 *
 * Mutants that must be rejected:
 *   CACHED        answers with a read from before the request.
 *   FROMANSWER    counts the lease from the arrival of the answer.
 *   LASTQUESTION  counts the lease from the last request, whichever one is answered.
 */
#define LEASE 2
#define END 8

byte now;
byte version = 1;
byte moved; /* time of the write of version 2 */
bool promoted;

byte until;     /* end of the VM's lease */
byte asked = 0; /* time of the VM's last request */

chan request = [2] of { byte };       /* timestamp by the VM's clock */
chan answer = [2] of { byte, byte };   /* timestamp of the request, version of the record */

active proctype clock() {
	do
	:: atomic { now < END -> now++ }
	:: now == END -> break
	od
}

active proctype leader() {
	atomic { version = 2; moved = now }
end:	atomic { now >= moved + LEASE -> promoted = true }
}

active proctype coordinator() {
	byte stamp;
	byte read = 1;
end:	do
	:: request ? stamp ->
#ifndef CACHED
		read = version;
#endif
		if
		:: nfull(answer) -> answer ! stamp, read
		:: skip /* lost */
		fi
#ifdef CACHED
		; read = version /* for the next request */
#endif
	od
}

active proctype vm() {
	byte stamp;
	byte got;
end:	do
	:: atomic { nfull(request) && asked < now -> asked = now; request ! now }
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
			:: got == 2 -> until = 0 /* the group is moving: the primary may not be used any more */
			fi
		}
	:: atomic { now < until -> assert(!promoted) } /* the VM uses the old primary */
	:: now == END -> break
	od
}
