/*
 * Settings in force: lib/agree/inf.c, agr_settings.c.
 *
 * The object API keeps one branch; its version grows with each accepted
 * write. Node 1 watches it; the nodes compare versions and pull what is
 * higher; answers come late, when the asker may have newer already. Node 0
 * may restart from empty; it begins by the API's list or, while the API is
 * away, by what both peers told, one after the other.
 *
 * What must hold
 *   only_grows  what is in force on a node never goes back while it runs
 *   no_revert   after its restart a node begins with no lower version than
 *               one that was in force on every node before
 *   reached     when writes, outages and restarts end, every node comes to
 *               the newest version
 *   own_highest (only with the API up at the restart) a node begins with no
 *               lower version than it had in force itself before
 *
 * Safeguards, each with a switch (0 turns it off):
 *   ONLY_HIGHER    a node takes a version only if it is higher than its own
 *   ASK_AT_START   a node begins only after it asked the API, or the peers
 *   ANTI_ENTROPY   nodes compare versions and the lower takes the higher
 *
 * Assumption, which the code does not ensure:
 *   SPREAD   what a node has in force when it stops is in force on the
 *            peers that it asks, if the API is away when it starts. With 0
 *            own_highest is checked without it.
 */

#ifndef ONLY_HIGHER
#define ONLY_HIGHER 1
#endif
#ifndef ASK_AT_START
#define ASK_AT_START 1
#endif
#ifndef ANTI_ENTROPY
#define ANTI_ENTROPY 1
#endif
#ifndef SPREAD
#define SPREAD 1
#endif

#define WRITES 3 /* the highest version */
#define OUTAGES 2

byte accepted = 1; /* version at the API */
byte in_force[3] = 1;
bool ready[3] = true;
byte everywhere = 1; /* highest version that was in force on all */
byte own = 1; /* highest that was in force on node 0 */
bool api_up = true;
byte outages = 0;

inline note()
{
	own = (in_force[0] > own -> in_force[0] : own);
	if
	:: ready[0] && in_force[0] > everywhere && in_force[1] > everywhere &&
	    in_force[2] > everywhere -> everywhere++
	:: else -> skip
	fi
}

inline take(n, v)
{
	if
	:: !ONLY_HIGHER || v > in_force[n] ->
		assert(v >= in_force[n]); /* only_grows */
		in_force[n] = v;
		note();
		note()
	:: else -> skip
	fi
}

/* Operators write; the API goes away and comes back. */
active proctype platform()
{
	do
	:: d_step { api_up && accepted < WRITES -> accepted++ }
	:: d_step { api_up && outages < OUTAGES -> api_up = false; outages++ }
	:: d_step { !api_up -> api_up = true }
	od
}

/* Node N has its write accepted: in force there at once. Node 0 only, the
 * one that restarts. */
active proctype writer()
{
	byte v;

	do
	:: d_step { api_up && ready[0] && accepted < WRITES ->
		accepted++;
		v = accepted
	   };
		d_step {
			if
			:: ready[0] -> take(0, v)
			:: else -> skip
			fi;
			v = 0
		}
	od
}

active proctype watch()
{
	byte v;

	do
	:: d_step { api_up && in_force[1] < accepted -> v = in_force[1] + 1 };
		if
		:: d_step { take(1, v); v = 0 }
		/* one write seen for two */
		:: d_step { v < accepted -> v++; take(1, v); v = 0 }
		fi
	od
}

/* Anti-entropy: an answer is made, and received later. */
proctype pull(byte to; byte from)
{
	byte v;

	do
	:: d_step { ANTI_ENTROPY && ready[from] && ready[to] &&
	    in_force[from] > in_force[to] -> v = in_force[from] };
		d_step {
			if
			:: ready[to] -> take(to, v)
			:: else -> skip
			fi;
			v = 0
		}
	od
}

active proctype restart()
{
	byte v;

	if
	:: d_step {
		ready[0] = false;
		in_force[0] = 0
	   };
		if
		:: !ASK_AT_START -> v = 1 /* what its files were made with */
		:: d_step { ASK_AT_START && api_up ->
			v = accepted;
			assert(v >= own) /* own_highest */
		   }
		:: ASK_AT_START && !api_up ->
			v = in_force[1];
			d_step {
				v = (in_force[2] > v -> in_force[2] : v);
				assert(SPREAD || v >= own) /* own_highest */
			}
		fi;
		d_step {
			assert(v >= everywhere); /* no_revert */
			in_force[0] = v;
			ready[0] = true;
			own = v;
			v = 0;
			note();
			note()
		}
	:: skip
	fi
}

init
{
	atomic {
		run pull(0, 1);
		run pull(1, 0);
		run pull(1, 2);
		run pull(2, 1);
		run pull(2, 0);
		run pull(0, 2)
	};
	timeout; /* everything has come to rest */
	assert(in_force[0] == accepted && in_force[1] == accepted &&
	    in_force[2] == accepted) /* reached */
}
