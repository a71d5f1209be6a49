/*
 * Lease, fencing and activation: two entries compete for the lead's role and
 * order versions from one side, whose engine ignores fencing numbers. The
 * code is lib/agree/lse.c with charts/lease.yaml, and lib/agree/gate.c.
 *
 * Time is one counter. Between two steps of a process anything may happen,
 * also that time passes: a pause, a slow call and a late datagram are all a
 * process that is not scheduled for a while. A call to the object API takes
 * effect at one moment and is answered at a later one, or never.
 *
 * Size: two entries, one order of each generation under way, one restart of
 * the side, a lease of LEASE, WRITES writes, an end after END units of time.
 *
 * Shown: by the clocks never two holders; no order is given under a number
 * that was taken over; the engine never goes back to an older version; no
 * version is routed before the engine has named it.
 *
 * Safeguards, each with the switch that takes it out:
 * SWITCH NO_CONDITION  a write goes through whatever the version is
 * SWITCH NO_SIGHT      a candidate does not wait a lease from the sight
 * SWITCH NO_BEFORE     the holder counts from the answer, not the sending
 * SWITCH NO_CLOCK      the holder does not look at the clock before an order
 * SWITCH NO_GATE       the side lets every order through
 * SWITCH NO_FLOOR      after its restart the side begins with a floor of 0
 * SWITCH NO_NAMED      a version is routed when ordered, not when loaded
 */

#ifndef LEASE
#define LEASE 2
#endif
#ifndef END
#define END 4
#endif
#ifndef WRITES
#define WRITES 3
#endif
#define NONE 255

byte now;

/* The lease object: its version and the fencing number in its value. */
byte version, fence;

bool held[2];
byte deadline[2];
#define believes(i) (held[i] && now < deadline[i])

#ifdef NO_SIGHT
#define waited true
#else
#define waited (known == 0 || now >= seen_at + LEASE)
#endif
#ifdef NO_CLOCK
#define in_time true
#else
#define in_time (now < deadline[me])
#endif

/* An order's fencing number is also the version that it asks for. */
chan orders[2] = [1] of { byte };
byte loaded; /* by the engine */
byte routed; /* version that requests are sent for */

/* Forgets what no longer matters, so that fewer states differ. */
inline lose() {
	held[me] = false;
	deadline[me] = 0;
	own = 0;
	ordered = false;
	known = NONE
}

inline route(v) {
	routed = v;
	assert(loaded >= routed) /* a request may come at once */
}

inline write() { /* one moment at the object API */
	atomic {
#ifdef NO_CONDITION
		written = (version < WRITES);
#else
		written = (version == known);
#endif
		if
		:: written ->
			version++;
			known = version;
			fence = own
		:: else
		fi
	}
}

proctype clock() {
	do
	:: now < END -> now++
	:: now == END -> break
	od
}

proctype entry(byte me) {
	byte known = NONE; /* version of the object, seen or written */
	byte known_fence, seen_at;
	byte read_version, read_fence; /* on the way here */
	byte own, sent_at;
	bool written, ordered;

	do
	:: !held[me] && now < END -> /* look */
		d_step { read_version = version; read_fence = fence }
		d_step {
			if
			:: read_version != known ->
				known = read_version;
				known_fence = read_fence;
				seen_at = now
			:: else
			fi;
			read_version = 0;
			read_fence = 0
		}

	:: atomic {
		!held[me] && known != NONE && now < END && version < WRITES && waited ->
		sent_at = now;
		own = known_fence + 1;
	   }
		write();
		atomic {
			if
#ifdef NO_BEFORE
			:: written ->
				deadline[me] = now + LEASE;
#else
			:: written && now < sent_at + LEASE ->
				deadline[me] = sent_at + LEASE;
#endif
				assert(!believes(1 - me));
				held[me] = true;
				ordered = false
			:: known = NONE; own = 0 /* refused, too late, no answer */
			fi;
			written = false;
			sent_at = 0;
			known_fence = 0;
			seen_at = 0
		}

	:: /* renew */
	   atomic { believes(me) && now < END && version < WRITES -> sent_at = now }
		write();
		atomic {
			if
#ifdef NO_BEFORE
			:: written -> deadline[me] = now + LEASE;
#else
			:: written && now < deadline[me] ->
				deadline[me] = sent_at + LEASE;
#endif
				assert(!believes(1 - me))
			:: lose() /* refused, too late or no answer */
			fi;
			written = false;
			sent_at = 0
		}

	:: atomic {
		held[me] && !ordered && nfull(orders[me]) && in_time ->
		assert(own == fence);
		orders[me]!own;
		ordered = true;
#ifdef NO_NAMED
		route(own)
#endif
	   }

	:: atomic {
		held[me] && now >= deadline[me] -> lose()
	   }

	:: now == END -> break
	od
}

proctype side() {
	byte order, lowest;
	bool learned, restarted;

end:	do
	:: orders[0]?order -> goto gate
	:: orders[1]?order -> goto gate
	:: !restarted -> /* the engine goes on with what it has loaded */
		d_step { restarted = true; learned = false; lowest = 0 }
	od;
gate:
#ifndef NO_FLOOR
	if
	:: !learned -> d_step { lowest = fence; learned = true }
	:: learned
	fi;
#endif
	atomic {
		if
#ifndef NO_GATE
		:: order < lowest
#endif
		:: order >= lowest ->
			lowest = order;
			assert(order >= loaded);
			loaded = order;
#ifndef NO_NAMED
			route(loaded)
#endif
#ifdef NO_GATE
		:: order < lowest ->
			assert(order >= loaded)
#endif
		fi;
		order = 0
	};
	goto end
}

init {
	atomic {
		run clock();
		run entry(0);
		run entry(1);
		run side()
	}
}
