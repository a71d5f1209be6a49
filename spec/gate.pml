/*
 * The fencing check of a sidecar: lib/agree/gate.c.
 *
 * Lease holders follow one another, each with a higher fencing number that is
 * stored in the object before its first order (lease.pml, own_fence). Orders
 * arrive late, twice and in any order. The engine ignores fencing numbers.
 * The sidecar may restart and lose everything but its engine's state; while
 * the object API is unavailable, the members' knowledge is used instead of the
 * object.
 *
 * Properties
 *   no_stale  the engine never accepts an order with a lower fencing number
 *             than that of an order it accepted before
 *
 * Safeguards, each with a switch (0 turns it off):
 *   GATE      the sidecar rejects fencing numbers below the highest it has
 *             seen
 *   RESTORE   after a restart no order passes until the floor is known, from
 *             the object or, while the API is unavailable, from the members
 *
 * Assumption, which the code does not ensure:
 *   SPREAD    a holder's fencing number is known to the members that a
 *             restarted sidecar asks before the holder's first order arrives
 *             anywhere. With 0 the number may reach these members later.
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
byte noted = 0; /* highest fencing number known to the members */
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
	byte taken = 0; /* highest fencing number that the engine accepted */
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
	/* Any order that a holder may have sent so far arrives. */
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
