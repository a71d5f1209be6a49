/*
 * The order gate of a side: lib/agree/gate.c.
 *
 * Holders come one after the other, each with a higher fencing number that
 * is in the object before its first order (lease.pml, own_fence). Orders
 * arrive late, twice and in any order. The engine ignores fencing numbers.
 * The side may restart and forget everything but its engine's state; the
 * object API may be away, and then members stand in for it.
 *
 * What must hold
 *   no_stale  the engine never takes an order with a lower fencing number
 *             than one that it took before
 *
 * Safeguards, each with a switch (0 turns it off):
 *   GATE      the side refuses lower numbers than it has seen
 *   RESTORE   after a restart nothing passes until the floor is known, from
 *             the object or, while the API is away, from the members
 *
 * Assumption, which the code does not ensure:
 *   SPREAD    a holder's number is known to the members that a restarted
 *             side asks before its first order arrives anywhere. With 0 it
 *             may reach them later.
 */

#ifndef GATE
#define GATE 1
#endif
#ifndef RESTORE
#define RESTORE 1
#endif
#ifndef SPREAD
#define SPREAD 1
#endif

#define LAST_FENCE 4
#define RESTARTS 2

byte in_object = 0;
byte noted = 0; /* highest number known to the members */
bool api_up = true;

active proctype holders()
{
	do
	:: d_step { api_up && in_object < LAST_FENCE ->
		in_object++;
		noted = (SPREAD -> in_object : noted)
	   }
	:: d_step { !SPREAD && noted < in_object -> noted++ }
	:: api_up = !api_up
	od
}

active proctype side()
{
	byte floor = 0;
	byte taken = 0; /* highest number that the engine took */
	bool known = false;
	byte restarts = 0;
	byte f;

	do
	:: d_step { restarts < RESTARTS ->
		restarts++;
		floor = 0;
		known = false
	   }
	:: d_step { RESTORE && !known && api_up ->
		known = true;
		floor = (in_object > floor -> in_object : floor)
	   }
	:: d_step { RESTORE && !known && !api_up ->
		known = true;
		floor = (noted > floor -> noted : floor)
	   }
	/* Any order that a holder may have sent by now arrives. */
	:: atomic {
		in_object > 0 && (known || !RESTORE);
		select (f : 1 .. LAST_FENCE);
		if
		:: f > in_object -> skip
		:: GATE && f < floor -> skip
		:: f <= in_object && (!GATE || f >= floor) ->
			floor = f;
			assert(f >= taken); /* no_stale */
			taken = f
		fi;
		f = 0
	   }
	od
}
