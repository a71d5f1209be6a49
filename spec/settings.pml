/*
 * Settings in force: one branch, NODES nodes that restart from empty, an API
 * that goes away. The code is lib/agree/inf.c and agr_settings.c.
 *
 * Every answer is taken some time after it was made: a slow API, a paused
 * watcher that wakes and a peer's late answer are all an answer that waits.
 * Notes to other members may be lost.
 *
 * Size: NODES nodes, WRITES accepted changes, RESTARTS restarts of one node
 * and one of all at once, one outage of the API at any time, for any time.
 *
 * Shown: on a node the version never falls; a node that begins to answer has
 * at least what was in force on all when its life began; when nothing more
 * happens all have the last accepted change.
 *
 * Safeguards, each with the switch that takes it out:
 * SWITCH NO_GROW    a node takes what it is offered, also a lower version
 * SWITCH NO_WAIT    a node begins without the API's list or peers
 * SWITCH NO_BEGUN   peers that have not begun themselves stand in too
 * SWITCH NO_DIGEST  no anti-entropy: who missed the note stays behind
 */

#define NODES 3
#define WATCHER 0 /* after the start */
#ifndef WRITES
#define WRITES 1
#endif
#ifndef RESTARTS
#define RESTARTS 1
#endif
#define NONE 255

byte stored; /* accepted by the API */
bool down;
byte restarts;

byte has[NODES];
bool begun[NODES];
byte owed[NODES]; /* in force on all when this life began */
byte everywhere;

/* What each node has been told and not yet taken, NONE if nothing. */
byte from_api[NODES], from_peer[NODES];
bool listed[NODES]; /* the API's list was taken in this life */
byte told[NODES]; /* bits of the peers that told in this life */

#define ALL 7
#define others(i) (ALL - (1 << (i)))
#ifdef NO_GROW
#define is_news(i, v) (v != has[i])
#else
#define is_news(i, v) (v > has[i])
#endif
#ifdef NO_WAIT
#define may_begin true
#else
#define may_begin (listed[me] || (down && told[me] == others(me)))
#endif
#ifdef NO_BEGUN
#define may_tell(j) true
#else
#define may_tell(j) begun[j]
#endif

#define next(i) ((i + 1) % NODES)
#define may_ask(j) (!begun[me] && from_peer[me] == NONE && may_tell(j) && (told[me] >> (j) & 1) == 0)
#ifdef NO_DIGEST
#define ahead(j) false
#else
#define ahead(j) (from_peer[me] == NONE && has[j] > has[me])
#endif

inline ask(j) {
	from_peer[me] = has[j];
	told[me] = told[me] | (1 << (j))
}

inline see_everywhere() {
	if
	:: begun[0] && begun[1] && begun[2] &&
	   has[0] > everywhere && has[1] > everywhere &&
	   has[2] > everywhere ->
		everywhere++
	:: else
	fi
}

inline take(i, v) {
	if
	:: is_news(i, v) ->
		assert(v >= has[i]);
		has[i] = v;
		see_everywhere()
	:: else
	fi
}

/* Replaced by an empty one; answers under way are lost. */
inline restart(i) {
	has[i] = 0;
	begun[i] = false;
	owed[i] = everywhere;
	from_api[i] = NONE;
	from_peer[i] = NONE;
	listed[i] = false;
	told[i] = 0
}

proctype node(byte me) {
end:	do
	/* The API's list or watch. */
	:: d_step { !down && from_api[me] == NONE &&
	       (!listed[me] || (me == WATCHER && stored > has[me])) ->
		from_api[me] = stored }
	:: atomic { from_api[me] != NONE ->
		take(me, from_api[me]);
		from_api[me] = NONE;
		listed[me] = true }

	/* A peer's answer: asked at the start, or as its digest is higher. */
	:: d_step { may_ask(next(me)) -> ask(next(me)) }
	:: d_step { may_ask(next(next(me))) -> ask(next(next(me))) }
	:: d_step { ahead(next(me)) -> from_peer[me] = has[next(me)] }
	:: d_step { ahead(next(next(me))) ->
		from_peer[me] = has[next(next(me))] }
	:: atomic { from_peer[me] != NONE ->
		take(me, from_peer[me]);
		from_peer[me] = NONE }

	:: atomic { !begun[me] && from_peer[me] == NONE && may_begin ->
		begun[me] = true;
		assert(has[me] >= owed[me]);
		see_everywhere() }

	:: d_step { restarts < RESTARTS ->
		restarts++;
		restart(me) }
	od
}

/* Changes are accepted through any node, which has them in force at once,
 * and passes the note on; here to one other, or to nobody when it is lost. */
proctype writer() {
	byte by, to;

	do
	:: atomic { stored < WRITES && !down ->
		stored++;
		if
		:: by = 0
		:: by = 1
		:: by = 2
		fi;
		take(by, stored);
		to = (by + 1) % NODES;
		if
		:: from_peer[to] == NONE -> from_peer[to] = stored
		:: true
		fi }
	:: stored == WRITES -> break
	od
}

/* Once, the API goes away, and all nodes may be restarted meanwhile. */
proctype outage() {
	if
	:: down = true
	:: true
	fi;
	if
	:: d_step { restart(0); restart(1); restart(2) }
	:: true
	fi;
	down = false
}

/* When nothing else can move. */
proctype quiet() {
	timeout ->
	assert(has[0] == stored && has[1] == stored && has[2] == stored)
}

init {
	atomic {
		byte i;

		for (i : 0 .. NODES - 1) {
			from_api[i] = NONE;
			from_peer[i] = NONE;
			begun[i] = true;
			listed[i] = true
		}
		run node(0);
		run node(1);
		run node(2);
		run writer();
		run outage();
		run quiet()
	}
}
