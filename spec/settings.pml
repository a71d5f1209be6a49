/*
 * Active settings: lib/agree/inf.c, agr_settings.c.
 *
 * The object API stores one branch; its version grows with each accepted
 * write. Node 1 watches the branch; the nodes compare versions and pull higher
 * ones; a response may arrive when the requester already has a newer version.
 * Node 0 may restart without state; it starts from the API's list or, while
 * the API is unavailable, from the reports of both peers, one after the other.
 *
 * Properties
 *   only_grows  the active version of a node never decreases while it runs
 *   no_revert   after its restart a node does not start with a version lower
 *               than one that was active on every node before
 *   reached     when writes, outages and restarts end, every node reaches the
 *               newest version
 *   own_highest (only with the API up at the restart) a node does not start
 *               with a version lower than one that was active on it before
 *
 * Safeguards, each with a switch (0 turns it off):
 *   ONLY_HIGHER    a node accepts a version only if it is higher than its own
 *   ASK_AT_START   a node starts only after it asked the API or the peers
 *   ANTI_ENTROPY   nodes compare versions and the lower one pulls the higher
 *
 * Assumption, which the code does not ensure:
 *   SPREAD   the version active on a node when it stops is active on the peers
 *            that it asks if the API is unavailable when it starts. With 0
 *            own_highest is checked without this.
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
byte everywhere = 1; /* highest version that was active on all nodes */
byte own = 1; /* highest version that was active on node 0 */
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

/* Operators write; the API becomes unavailable and returns. */
active proctype platform()
{
	do
	:: d_step { api_up && accepted < WRITES -> accepted++ }
	:: d_step { api_up && outages < OUTAGES -> api_up = false; outages++ }
	:: d_step { !api_up -> api_up = true }
	od
}

/* The API accepts a write of node 0, the node that restarts; the version is
 * active on this node at once. */
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
		/* two writes observed as one */
		:: d_step { v < accepted -> v++; take(1, v); v = 0 }
		fi
	od
}

/* Anti-entropy: a response is created, and received later. */
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
		:: !ASK_AT_START -> v = 1 /* the version of its files on disk */
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
	timeout; /* all processes are blocked */
	assert(in_force[0] == accepted && in_force[1] == accepted &&
	    in_force[2] == accepted) /* reached */
}
