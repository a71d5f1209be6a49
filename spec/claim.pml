/*
 * Claim, dispatch and retry of a keyed request that must not run twice:
 * lib/route/claim.c, claim_io.c, charts/attempt.yaml.
 *
 * One caller sends a request with a key through entry 0 and, not hearing in
 * time, through entry 1. Each try is an asker; its ask may come to either
 * entry as owner of the bucket, also to both and more than once. An owner
 * keeps the record in memory and writes the object for it. That an owner's
 * lease has ended is not used here: a paused owner may go on with what it
 * remembers at any time, so that `once` rests on the other safeguards alone.
 * A write's answer may be lost, and a write given up may take effect later.
 * Entries may stop for ever at any step.
 *
 * What must hold
 *   once       the target runs the key at most once
 *   truly_not  a try that was told NOT_RUN has not run and never runs
 *
 * Safeguards, each with a switch (0 turns it off):
 *   CLAIM_FIRST  dispatch only when the claim was granted
 *   CONDITIONAL  a write needs the version that was read
 *   READ_BACK    after a write that was refused or whose answer was lost
 *                nothing is granted from memory
 *   IN_DOUBT     another asker's claim without outcome is not taken over
 *   ENDED        a try that was told NOT_RUN ignores a later grant
 *   NO_RERUN     after MAY_HAVE_RUN the same try does not dispatch again
 */

#ifndef CLAIM_FIRST
#define CLAIM_FIRST 1
#endif
#ifndef CONDITIONAL
#define CONDITIONAL 1
#endif
#ifndef READ_BACK
#define READ_BACK 1
#endif
#ifndef IN_DOUBT
#define IN_DOUBT 1
#endif
#ifndef ENDED
#define ENDED 1
#endif
#ifndef NO_RERUN
#define NO_RERUN 1
#endif

#define NOBODY 2
#define LAST_VERSION 4

mtype = { nothing, not_run, may_have_run, ran };

/* The bucket's object, for this key. */
byte version = 0;
byte rec = NOBODY; /* whose claim is in */
bool done = false; /* with the outcome: it ran */

/* Between askers and owners. */
bool asked[2];
bool granted[2]; /* on its way, or arrived */
bool in_doubt[2];
bool told_ran[2];
mtype word[2] = nothing; /* what the asker says in the end */

/* A write that was given up and may still take effect; one at a time. */
bool late = false;
byte late_if = 0;
byte late_rec = NOBODY;
bool late_done = false;

byte runs = 0;

inline forget()
{
	held = false;
	written = false;
	mem_version = 0;
	mem_rec = NOBODY;
	mem_done = false
}

proctype asker(byte me)
{
	byte attempts = 0;
	mtype verdict = nothing;

	asked[me] = true;
	if
	:: granted[me] || !CLAIM_FIRST -> skip
	:: told_ran[me] -> goto end
	:: in_doubt[me] -> goto end
	:: verdict = not_run; /* refused, deadline or caller gone */
		word[me] = not_run;
		if
		:: ENDED -> goto end
		:: !ENDED -> granted[me] /* the grant came late */
		fi
	fi;
again:
	attempts++;
	if
	:: d_step { /* it runs; the answer may come or be lost */
		runs++;
		assert(runs <= 1); /* once */
		assert(verdict != not_run) /* truly_not */
	   };
		if
		:: verdict = ran
		:: verdict = may_have_run
		fi
	:: verdict = may_have_run /* lost on the way */
	:: attempts < 2 -> goto again /* refused by the target */
	:: verdict = not_run
	fi;
	if
	:: !NO_RERUN && verdict == may_have_run && attempts < 2 -> goto again
	:: else -> skip
	fi;
	word[me] = verdict;
end:
	skip
}

proctype owner(byte me)
{
	byte mem_version = 0;
	byte mem_rec = NOBODY;
	bool mem_done = false;
	bool held = false;
	bool written = false; /* the record is in for certain */
	bool writing = false;
	byte a;

	do
	:: d_step { !held && !writing ->
		held = true;
		mem_version = version;
		mem_rec = rec;
		mem_done = done
	   }
	/* The lease ended, or the bucket was given up. */
	:: d_step { held && !writing -> forget() }

	/* An ask. */
	:: atomic { held && !writing ->
		if
		:: asked[0] -> a = 0
		:: asked[1] -> a = 1
		fi;
		if
		:: mem_rec == NOBODY ->
			mem_rec = a;
			written = false;
			writing = true
		:: mem_rec != NOBODY && mem_done -> told_ran[a] = true
		:: mem_rec == a && !mem_done && written -> granted[a] = true
		:: mem_rec == a && !mem_done && !written -> writing = true
		:: mem_rec == 1 - a && !mem_done ->
			if
			:: IN_DOUBT -> in_doubt[a] = true
			:: !IN_DOUBT ->
				mem_rec = a;
				written = false;
				writing = true
			fi
		fi;
		a = 0
	   }

	/* An asker's word. */
	:: atomic { held && !writing && mem_rec != NOBODY && !mem_done ->
		if
		:: word[0] != nothing && mem_rec == 0 -> a = 0
		:: word[1] != nothing && mem_rec == 1 -> a = 1
		fi;
		if
		:: word[a] == not_run -> mem_rec = NOBODY; writing = true
		:: word[a] == ran -> mem_done = true; writing = true
		:: else -> skip
		fi;
		written = false;
		a = 0
	   }

	/* The write, and what is heard of it. */
	:: atomic { writing && version < LAST_VERSION ->
		writing = false;
		if
		:: !CONDITIONAL || version == mem_version -> /* in */
			version++;
			rec = mem_rec;
			done = mem_done;
			if
			:: mem_version = version; written = true
			:: held = false /* the answer is lost */
			fi
		:: CONDITIONAL && version != mem_version -> held = false
		:: !late -> /* not in yet */
			late = true;
			late_if = mem_version;
			late_rec = mem_rec;
			late_done = mem_done;
			held = false
		:: held = false /* never in */
		fi;
		if
		:: held -> skip
		:: !held && READ_BACK -> forget()
		:: !held && !READ_BACK -> held = true; written = true
		fi
	   }
	od
}

active proctype network()
{
	do
	:: d_step { late ->
		if
		:: (!CONDITIONAL || version == late_if) &&
		    version < LAST_VERSION ->
			version++;
			rec = late_rec;
			done = late_done
		:: else -> skip
		fi;
		late = false;
		late_if = 0;
		late_rec = NOBODY;
		late_done = false
	   }
	od
}

init
{
	atomic {
		run owner(0);
		run owner(1);
		run asker(0);
		run asker(1)
	}
}
