/*
 * The lease of a role: lib/agree/lse.c, charts/lease.yaml.
 *
 * Two entries compete for one role, kept as an object {holder, fence,
 * handed over, version}. Each has its own clock; the clocks run at different
 * rates, up to SKEW ticks apart. An entry is paused by not being scheduled
 * while the clocks go on. A write's answer may be late or lost, and a write
 * that was given up may still take effect later.
 *
 * What must hold
 *   one_holder  never do two entries believe at one time to hold the role
 *   given_held  no order is given while the other believes to hold it
 *   own_fence   no two holdings have the same fencing number, and an order's
 *               number was in the object before the order (see gate.pml)
 *
 * Safeguards, each with a switch (0 turns it off):
 *   CONDITIONAL   a write needs the version that was read
 *   BEFORE_SEND   the holder counts its lease from before it sent the write
 *   MARGIN        ticks that the holder ends early and that others wait longer
 *   OWN_DEADLINE  the holder asks its own clock before each order
 *
 * A write's sending and taking effect are one step here: the holder counts
 * from the sending, so that a later effect only makes others wait longer. A
 * late effect of a write that was given up is a step of its own.
 */

#ifndef CONDITIONAL
#define CONDITIONAL 1
#endif
#ifndef BEFORE_SEND
#define BEFORE_SEND 1
#endif
#ifndef MARGIN
#define MARGIN 1
#endif
#ifndef OWN_DEADLINE
#define OWN_DEADLINE 1
#endif

#define LEASE 3 /* ticks */
#define LAST_TICK 5
#define SKEW 1
#define NONE 2 /* no holder */
#define LAST_FENCE 3
#define LAST_VERSION 4
#define UNSEEN 15

byte clk[2];

/* The object. */
byte holder = NONE;
byte fence = 0;
byte version = 0;
bool handed = false;

/* What each entry believes. */
bool holds[2];
byte until[2];
byte my_fence[2];

/* A write that was given up and may still take effect. */
bool late[2];
byte late_if[2];
byte late_fence[2];

byte gained_by[4] = NONE; /* by fencing number */

#define BELIEVES(i) (holds[i] && clk[i] < until[i])
#define MATCHES(v) (!CONDITIONAL || version == (v))

active proctype clocks()
{
	do
	:: atomic { clk[0] < LAST_TICK && clk[1] < LAST_TICK ->
		clk[0]++; clk[1]++ }
	:: atomic { clk[0] < LAST_TICK && clk[0] < clk[1] + SKEW -> clk[0]++ }
	:: atomic { clk[1] < LAST_TICK && clk[1] < clk[0] + SKEW -> clk[1]++ }
	od
}

inline put(who, number)
{
	holder = who;
	fence = number;
	handed = false;
	version++
}

inline believe(me)
{
	holds[me] = true;
	until[me] = (BEFORE_SEND -> sent : clk[me]) + LEASE - MARGIN;
	assert(!BELIEVES(me) || !BELIEVES(1 - me)) /* one_holder */
}

proctype entry(byte me)
{
	byte seen = UNSEEN; /* version */
	byte seen_fence = 0;
	byte seen_at = 0;
	bool is_free = false;
	byte sent = 0;

	do
	/* Look. What is unchanged for long enough, or known to be free, may
	 * be claimed; free after a wait only by a look after the wait. */
	:: d_step { !holds[me] && !is_free &&
	    (seen != version || clk[me] >= seen_at + LEASE + MARGIN) ->
		if
		:: seen != version ->
			seen = version;
			seen_fence = fence;
			seen_at = clk[me];
			is_free = (holder == NONE || holder == me || handed)
		:: else -> is_free = true
		fi
	   }

	/* Claim: in, with an answer later; given up; or refused. */
	:: atomic { !holds[me] && is_free && seen_fence < LAST_FENCE &&
	    version < LAST_VERSION ->
		sent = clk[me];
		is_free = false;
		if
		:: MATCHES(seen) ->
			put(me, seen_fence + 1);
			seen = version
		:: MATCHES(seen) -> /* in, the answer is lost */
			put(me, seen_fence + 1);
			sent = UNSEEN
		:: !late[me] -> /* not in yet */
			late[me] = true;
			late_if[me] = seen;
			late_fence[me] = seen_fence + 1;
			sent = UNSEEN
		:: !MATCHES(seen) -> sent = UNSEEN
		fi;
		if
		:: sent == UNSEEN -> seen = UNSEEN; sent = 0; goto on
		:: else -> skip
		fi
	   };
	   /* Here time may pass, then the answer comes. */
	   atomic {
		my_fence[me] = seen_fence + 1;
		if
		:: (BEFORE_SEND -> sent : clk[me]) + LEASE - MARGIN > clk[me] ->
			assert(gained_by[my_fence[me]] == NONE); /* own_fence */
			gained_by[my_fence[me]] = me;
			believe(me)
		:: else -> seen = UNSEEN
		fi;
		seen_at = 0;
		seen_fence = 0;
		sent = 0
	   }

	/* Renew. */
	:: atomic { BELIEVES(me) && version < LAST_VERSION ->
		sent = clk[me];
		if
		:: MATCHES(seen) ->
			put(me, my_fence[me]);
			seen = version
		:: MATCHES(seen) -> /* in, the answer is lost */
			put(me, my_fence[me]);
			sent = 0;
			goto on
		:: !late[me] -> /* not in yet */
			late[me] = true;
			late_if[me] = seen;
			late_fence[me] = my_fence[me];
			sent = 0;
			goto on
		:: !MATCHES(seen) ->
			sent = 0;
			if
			:: holder == me && fence == my_fence[me] && !handed ->
				seen = version /* an earlier one was in */
			:: else ->
				holds[me] = false;
				seen = UNSEEN;
				until[me] = 0
			fi;
			goto on
		fi
	   };
	   atomic { /* the answer */
		if
		:: clk[me] < until[me] &&
		    (BEFORE_SEND -> sent : clk[me]) + LEASE - MARGIN >
			clk[me] ->
			believe(me)
		:: else ->
			holds[me] = false;
			seen = UNSEEN;
			until[me] = 0
		fi;
		sent = 0
	   }

	/* The lease ran out by the own clock, and the entry came to see it. */
	:: d_step { holds[me] && clk[me] >= until[me] ->
		holds[me] = false;
		until[me] = 0;
		seen = UNSEEN
	   }

	/* Planned handover. */
	:: d_step { holds[me] && version < LAST_VERSION ->
		holds[me] = false;
		until[me] = 0;
		if
		:: MATCHES(seen) -> put(me, my_fence[me]); handed = true
		:: else -> skip
		fi;
		seen = UNSEEN
	   }

	/* An order. */
	:: d_step { holds[me] && (!OWN_DEADLINE || clk[me] < until[me]) ->
		assert(!BELIEVES(1 - me)); /* given_held */
		assert(my_fence[me] <= fence) /* own_fence */
	   }
on:	   skip
	od
}

/* What was given up takes effect, or is found not to. */
active proctype network()
{
	byte i;

	do
	:: atomic {
		if
		:: late[0] -> i = 0
		:: late[1] -> i = 1
		fi;
		if
		:: MATCHES(late_if[i]) && version < LAST_VERSION ->
			put(i, late_fence[i])
		:: else -> skip
		fi;
		late[i] = false;
		late_if[i] = 0;
		late_fence[i] = 0;
		i = 0
	   }
	od
}

init
{
	atomic {
		run entry(0);
		run entry(1)
	}
}
