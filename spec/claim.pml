/*
 * Claim, dispatch and retry of a keyed request that must not run twice:
 * lib/route/claim.c, claim_io.c, charts/attempt.yaml.
 *
 * One caller sends a request with an idempotency key through gateway 0 and,
 * after a timeout, through gateway 1. Each of the two sends is a process
 * `asker`; its claim request may reach either gateway as owner of the bucket,
 * also both and more than once. An owner caches the record in memory and
 * writes the bucket's object on the asker's behalf. The model does not use the
 * end of an owner's lease: a paused owner may continue with its cached record
 * at any time, so `once` rests on the other safeguards alone. The response to
 * a write may be lost, and an abandoned write may take effect later. Gateways
 * may stop permanently at any step.
 *
 * Properties
 *   once       the target runs the key at most once
 *   truly_not  an asker that ended with NOT_RUN has not run the request and
 *              never runs it
 *
 * Safeguards, each with a switch (0 turns it off):
 *   CLAIM_FIRST  an asker dispatches only after its claim was granted
 *   CONDITIONAL  a write requires the version that was read
 *   READ_BACK    after a write that was refused or whose response was lost,
 *                nothing is granted from memory
 *   IN_DOUBT     another asker's claim without an outcome is not taken over
 *   ENDED        an asker that ended with NOT_RUN ignores a later grant
 *   NO_RERUN     after MAY_HAVE_RUN the same asker does not dispatch again
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
byte rec = NOBODY; /* asker whose claim is stored */
bool done = false; /* the outcome is stored: the request ran */

/* Messages between askers and owners. */
bool asked[2];
bool granted[2]; /* in transit or received */
bool in_doubt[2];
bool told_ran[2];
mtype word[2] = nothing; /* outcome reported by the asker */

/* An abandoned write that may still take effect; one at a time. */
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
	:: verdict = not_run; /* refused, timed out or caller disconnected */
		word[me] = not_run;
		if
		:: ENDED -> goto end
		:: !ENDED -> granted[me] /* the grant arrived late */
		fi
	fi;
again:
	attempts++;
	if
	:: d_step { /* it runs; the response may arrive or be lost */
		runs++;
		assert(runs <= 1); /* once */
		assert(verdict != not_run) /* truly_not */
	   };
		if
		:: verdict = ran
		:: verdict = may_have_run
		fi
	:: verdict = may_have_run /* the request was lost in transit */
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
	bool written = false; /* the record is known to be stored */
	bool writing = false;
	byte a;

	do
	:: d_step { !held && !writing ->
		held = true;
		mem_version = version;
		mem_rec = rec;
		mem_done = done
	   }
	/* The lease expired, or the owner gave up the bucket. */
	:: d_step { held && !writing -> forget() }

	/* A claim request arrives. */
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

	/* An asker's reported outcome arrives. */
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

	/* The write and its result as seen by the owner. */
	:: atomic { writing && version < LAST_VERSION ->
		writing = false;
		if
		:: !CONDITIONAL || version == mem_version -> /* stored */
			version++;
			rec = mem_rec;
			done = mem_done;
			if
			:: mem_version = version; written = true
			:: held = false /* the response is lost */
			fi
		:: CONDITIONAL && version != mem_version -> held = false
		:: !late -> /* takes effect later */
			late = true;
			late_if = mem_version;
			late_rec = mem_rec;
			late_done = mem_done;
			held = false
		:: held = false /* never takes effect */
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
