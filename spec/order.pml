/*
 * The order of a promotion, its late effect, and a takeover of the duty between
 * the two.
 *
 * The store keeps the holder's token, whether the group is moving, whether a
 * promotion may have been ordered, and which primary the fleet uses. Every write
 * is conditional on the token. A holder that finds the old primary still leading
 * may settle on it: the alarm was false. An order takes effect at any later time,
 * also when its holder has been relieved. Leases are left out (lease.pml): the
 * fleet follows the record at once.
 *
 * Checked: the fleet never uses the old primary once another one leads.
 *
 * Mutants that must be rejected: UNRECORDED orders without writing it down first,
 * ANYTIME settles on the old primary although an order is written down.
 */
#define H 2
#define TOKENS 4

byte token;
bool moving;
bool ordered; /* in the record */
byte used = 1; /* primary that the fleet uses: 1 the old one, 2 the next */

byte lead = 1;  /* primary that leads */
bool flight;    /* an order is on its way */

#define SAFE (moving || used == lead || lead == 1)

#ifdef UNRECORDED
#define WRITEDOWN skip
#else
#define WRITEDOWN ordered = true
#endif
#ifdef ANYTIME
#define FREE true
#else
#define FREE (!ordered)
#endif

active [H] proctype holder() {
	byte mine;
	byte seen;
end:	do
	:: atomic { token < TOKENS && mine != token || token == 0 -> token++; mine = token }
	:: atomic { mine > 0 && mine == token && !moving && used == 1 -> moving = true }
	:: mine > 0 && moving ->
		seen = lead; /* asks the targets */
		if
		:: atomic { mine == token && moving && seen == 2 -> used = 2; moving = false }
		:: atomic { mine == token && moving && seen == 1 && FREE -> used = 1; moving = false; assert(SAFE) }
		:: atomic { mine == token && moving && seen == 1 -> WRITEDOWN };
			flight = true /* may come long after the write */
		:: else -> skip
		fi;
		seen = 0
	:: mine > 0 && token == TOKENS && mine != token -> break
	od
}

active proctype effect() {
end:	do
	:: atomic { flight -> flight = false; lead = 2; assert(SAFE) }
	od
}
