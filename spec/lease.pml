/*
 * The lease of a role: lib/agree/lse.c, charts/lease.yaml.
 *
 * Two gateways compete for one role, stored as an object {holder, fence,
 * handed over, version}. Each has its own clock; the clocks run at different
 * rates, up to SKEW ticks apart. A paused gateway is one that is not scheduled
 * while the clocks advance. The response to a write may be late or lost, and
 * an abandoned write may still take effect later.
 *
 * Properties
 *   one_holder  two gateways never both consider themselves the holder of the
 *               role at the same time
 *   given_held  no order is given while the other gateway considers itself the
 *               holder
 *   own_fence   no two terms of a holder have the same fencing number, and an
 *               order's number was in the object before the order (see
 *               gate.pml)
 *
 * Safeguards, each with a switch (0 turns it off):
 *   CONDITIONAL   a write requires the version that was read
 *   BEFORE_SEND   the holder counts its lease from before it sent the write
 *   MARGIN        ticks by which the holder stops early and others wait longer
 *   OWN_DEADLINE  the holder checks its own clock before each order
 *
 * Sending a write and its taking effect are one step here: the holder counts
 * its lease from the sending, so that a later effect only makes others wait
 * longer. The late effect of an abandoned write is a separate step.
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

/* Local state of each gateway. */
bool holds[2];
byte until[2];
byte my_fence[2];

/* An abandoned write that may still take effect. */
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
	/* Poll. A role that is unchanged for long enough, or known to be free,
	 * may be claimed; after a wait, only a poll made after the wait can
	 * find it free. */
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

	/* Claim: stored, with a later response; abandoned; or refused. */
	:: atomic { !holds[me] && is_free && seen_fence < LAST_FENCE &&
	    version < LAST_VERSION ->
		sent = clk[me];
		is_free = false;
		if
		:: MATCHES(seen) ->
			put(me, seen_fence + 1);
			seen = version
		:: MATCHES(seen) -> /* stored, the response is lost */
			put(me, seen_fence + 1);
			sent = UNSEEN
		:: !late[me] -> /* takes effect later */
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
	   /* Time may pass here before the response arrives. */
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
		:: MATCHES(seen) -> /* stored, the response is lost */
			put(me, my_fence[me]);
			sent = 0;
			goto on
		:: !late[me] -> /* takes effect later */
			late[me] = true;
			late_if[me] = seen;
			late_fence[me] = my_fence[me];
			sent = 0;
			goto on
		:: !MATCHES(seen) ->
			sent = 0;
			if
			:: holder == me && fence == my_fence[me] && !handed ->
				seen = version /* an earlier renewal was stored */
			:: else ->
				holds[me] = false;
				seen = UNSEEN;
				until[me] = 0
			fi;
			goto on
		fi
	   };
	   atomic { /* the response arrives */
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

	/* The gateway notices that its lease expired on its clock. */
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

	/* The holder gives an order. */
	:: d_step { holds[me] && (!OWN_DEADLINE || clk[me] < until[me]) ->
		assert(!BELIEVES(1 - me)); /* given_held */
		assert(my_fence[me] <= fence) /* own_fence */
	   }
on:	   skip
	od
}

/* An abandoned write takes effect, or fails its condition. */
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
