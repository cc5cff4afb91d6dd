/*
 * The order of a promotion, its delayed effect, and a change of the leader between
 * the two.
 *
 * The store keeps the leader's token, whether the group is moving, whether a
 * promotion may have been ordered, and which primary the fleet uses. Every write
 * is conditional on the token. A leader that finds that the old primary still leads
 * may settle on it, as the failure was reported falsely. An order takes effect at
 * any later time, even when another VM leads by then, but before the next leader
 * orders one. Leases are left out (see lease.pml): the fleet follows the record at
 * once.
 *
 * A VM may claim the leadership again, also while it leads. Each claim begins a
 * tenure with tasks of its own; those of an earlier tenure may still be running.
 *
 * Checked: the fleet never uses a primary once another one leads.
 *
 * Mutants that must be rejected:
 *   UNRECORDED  orders without recording the order first.
 *   ANYTIME     settles on the old primary although an order is recorded.
 *   OLDTASK     tasks go on while their VM leads, also in a later tenure.
 *   ANYLEADER   settles on any target that leads, although the order of another one
 *               may be about to take effect.
 */
#define H 2 /* VMs that may lead */
#define TOKENS 3

/* the record */
byte token;
bool moving;
byte ordered;  /* target whose promotion may have been ordered */
byte used = 1; /* primary that the fleet uses: 1 the old one, 2 and 3 the others */

byte lead = 1;  /* primary that leads */
byte inFlight;  /* target whose promotion has been ordered and has not taken effect */

byte mine[H];    /* token of each VM's last claim */
byte running[H]; /* token of the tenure that has started its task */

#define SAFE (moving || used == lead || lead == 1)

#ifdef UNRECORDED
#define RECORDORDER skip
#else
#define RECORDORDER ordered = next
#endif
#ifdef ANYTIME
#define MAYSETTLE true
#else
#define MAYSETTLE (ordered == 0)
#endif
#ifdef ANYLEADER
#define MAYUSE true
#else
#define MAYUSE (ended || seen == ordered)
#endif
#ifdef OLDTASK
#define MAYWRITE (mine[vm] == token)
#else
#define MAYWRITE (tenure == token)
#endif

active [H] proctype leader() {
	byte vm = _pid;
end:	do
	:: atomic { token < TOKENS -> token++; mine[vm] = token }
	:: atomic { mine[vm] > 0 && mine[vm] == token && !moving && used == 1 -> moving = true }
	:: token == TOKENS && mine[vm] != token -> break
	od
}

/* Two tasks a VM: one may be left from an earlier tenure. */
active [2 * H] proctype task() {
	byte vm = (_pid - H) / 2;
	byte tenure; /* token of the tenure that has started the task */
	byte seen;   /* primary that was found to lead */
	bool ended;  /* no order was in flight before that was found */
	byte next;   /* target to promote */
end:	do
	:: atomic { mine[vm] > 0 && mine[vm] == token && moving && running[vm] != mine[vm] ->
		tenure = mine[vm]; running[vm] = tenure }
		do
		:: !MAYWRITE || !moving -> break
		:: else ->
			ended = (inFlight == 0);
			seen = lead; /* queries the targets */
			if
			:: next = 2
			:: next = 3
			fi;
			if
			:: atomic { MAYWRITE && moving && seen != 1 && MAYUSE -> used = seen; moving = false; ordered = 0; assert(SAFE) }
			:: atomic { MAYWRITE && moving && seen == 1 && MAYSETTLE -> used = 1; moving = false; assert(SAFE) }
			:: atomic { MAYWRITE && moving && seen == 1 && inFlight == 0 -> RECORDORDER; inFlight = next };
				inFlight == 0 /* the order has taken effect, or its call has ended */
			:: atomic { !MAYWRITE || !moving } -> break
			:: inFlight != 0 || seen != 1 -> skip /* asks again */
			fi
		od;
		tenure = 0; seen = 0; ended = false; next = 0
	od
}

active proctype effect() {
end:	do
	:: atomic { inFlight != 0 -> lead = inFlight; inFlight = 0; assert(SAFE) }
	od
}
