/*
 * The order of a promotion, its delayed effect, and a change of the leader between
 * the two.
 *
 * The store keeps the leader's token, whether the group is moving, whether a
 * promotion may have been ordered, and which primary the fleet uses. Every write
 * is conditional on the token. A leader that finds that the old primary still leads
 * may settle on it, as the failure was reported falsely. An order takes effect at
 * any later time, even when another VM leads by then. Leases are left out (see
 * lease.pml): the fleet follows the record at once.
 *
 * Checked: the fleet never uses the old primary once another one leads.
 *
 * Mutants that must be rejected:
 *   UNRECORDED  orders without recording the order first.
 *   ANYTIME     settles on the old primary although an order is recorded.
 */
#define H 2 /* VMs that may lead */
#define TOKENS 4

/* the record */
byte token;
bool moving;
bool ordered; /* a promotion may have been ordered */
byte used = 1; /* primary that the fleet uses: 1 the old one, 2 the next one */

byte lead = 1;  /* primary that leads */
bool inFlight;    /* an order is in inFlight */

#define SAFE (moving || used == lead || lead == 1)

#ifdef UNRECORDED
#define RECORDORDER skip
#else
#define RECORDORDER ordered = true
#endif
#ifdef ANYTIME
#define MAYSETTLE true
#else
#define MAYSETTLE (!ordered)
#endif

active [H] proctype leader() {
	byte mine; /* token of this VM's last claim */
	byte seen; /* primary that was found to lead */
end:	do
	:: atomic { token < TOKENS && mine != token || token == 0 -> token++; mine = token }
	:: atomic { mine > 0 && mine == token && !moving && used == 1 -> moving = true }
	:: mine > 0 && moving ->
		seen = lead; /* queries the targets */
		if
		:: atomic { mine == token && moving && seen == 2 -> used = 2; moving = false }
		:: atomic { mine == token && moving && seen == 1 && MAYSETTLE -> used = 1; moving = false; assert(SAFE) }
		:: atomic { mine == token && moving && seen == 1 -> RECORDORDER };
			inFlight = true /* may be sent long after the write */
		:: else -> skip
		fi;
		seen = 0
	:: mine > 0 && token == TOKENS && mine != token -> break
	od
}

active proctype effect() {
end:	do
	:: atomic { inFlight -> inFlight = false; lead = 2; assert(SAFE) }
	od
}
