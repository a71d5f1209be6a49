/* Next step of a sidecar for its engine. */

#include <string.h>

#include "stage/stage.h"

/* Time in which a version's chunks reach all hosts: a host's link carries
 * one copy in two seconds. */
#define DISTRIBUTE_US 3000000
/* The last engine begins to switch this long before the deadline. Gateways
 * send requests to what it has loaded until some 0.3 s before the deadline,
 * so each engine is out of service for the same time, however late it
 * begins. */
#define DEADLINE_MARGIN_US 500000
/* Time for the remaining chunks once transfers make progress. */
#define DISTRIBUTE_REMAINING_US 2300000
/* Idle time that a switch of version costs an engine: running requests end,
 * and their slots stay empty meanwhile. */
#define SWITCH_COST_US 800000
/* Most chunks of a version announced this long before the next are in
 * transfer when the next one is announced. */
#define OLDER_LEAD_US 1000000
#define DEADLINES_INITIAL 4 /* initial capacity */
/* Time between engines where there is no deadline. */
#define SWITCH_INTERVAL_US 1000000

static const char *const names[STG_STEPS] = {
	[STG_IDLE] = "idle",
	[STG_MANIFEST] = "manifest",
	[STG_SCAN] = "look",
	[STG_FETCH] = "fetch",
	[STG_PUT] = "put",
	[STG_WAIT_SWITCH] = "turn",
	[STG_DRAIN] = "close",
	[STG_CHECK] = "check",
	[STG_ORDER] = "order",
	[STG_LOADING] = "loading",
	[STG_PROVE] = "prove",
	[STG_DONE] = "done",
};

const char *
stg_step_name(enum stg_step step)
{
	return names[step];
}

bool
stg_leads_to_order(enum stg_step step)
{
	return step == STG_DRAIN || step == STG_PUT || step == STG_CHECK ||
	    step == STG_ORDER || step == STG_LOADING;
}

/* The engine has loaded it: what remains is to store the chunks for others. */
static enum stg_step
next_loaded(const struct stg_state *s)
{
	if (!s->manifest)
		return STG_MANIFEST;
	return s->complete || s->scanned ? STG_DONE : STG_SCAN;
}

static bool
is_drained(const struct stg_state *s, int64_t now_us)
{
	if (!s->may_cut || s->loaded == 0 || s->running == 0)
		return true;
	if (s->drain_us == 0)
		return false;
	return now_us - s->drain_us >= STG_DRAIN_US ||
	    s->running <= (double)s->slots * STG_DRAIN_SHARE;
}

static enum stg_step
next_order(const struct stg_state *s, int64_t now_us)
{
	if (s->busy)
		return STG_LOADING;
	if (s->ordered_us != 0 && now_us - s->ordered_us < STG_ORDER_TIMEOUT_US)
		return STG_LOADING;
	if (!s->staged)
		return STG_PUT;
	/* An engine that serves waits for its scheduled time; one that has
	 * nothing loaded or no requests loses nothing by switching at once. */
	if (s->loaded != 0 && s->running > 0 && now_us < s->switch_us)
		return STG_WAIT_SWITCH;
	if (!is_drained(s, now_us))
		return STG_DRAIN;
	if (s->checked_us == 0 || now_us - s->checked_us > STG_CHECK_VALID_US)
		return STG_CHECK;
	if (s->refused_us != 0 && now_us - s->refused_us < STG_ORDER_BACKOFF_US)
		return STG_LOADING;
	return STG_ORDER;
}

enum stg_step
stg_next(const struct stg_state *s, int64_t now_us)
{
	if (s->wanted == 0 || !s->up)
		return STG_IDLE;
	if (s->unproved)
		return s->manifest ? STG_PROVE : STG_MANIFEST;
	if (s->loaded >= s->wanted)
		return next_loaded(s);
	if (!s->manifest)
		return STG_MANIFEST;
	/* The staging area of an engine that restarted may still have the
	 * chunks. */
	if (!s->complete && !s->scanned && s->loaded == 0)
		return STG_SCAN;
	if (!s->complete)
		return STG_FETCH;
	return next_order(s, now_us);
}

/* ------------------------------------------------------------------ */
/* Deadlines                                                           */
/* ------------------------------------------------------------------ */

static void
drop_passed(struct stg_deadlines *d, int64_t now_us)
{
	while (d->n > 2 && d->at[1].deadline_us <= now_us) {
		d->n--;
		memmove(&d->at[0], &d->at[1], d->n * sizeof(d->at[0]));
	}
}

void
stg_deadlines_add(struct stg_deadlines *d, int64_t version, int64_t deadline_us,
    int64_t now_us)
{
	if (deadline_us == 0 ||
	    (d->n > 0 && d->at[d->n - 1].version >= version))
		return;
	if (d->n == d->size) {
		d->size = MAX(DEADLINES_INITIAL, 2 * d->size);
		d->at = g_renew(struct stg_deadline, d->at, d->size);
	}
	d->at[d->n].version = version;
	d->at[d->n].deadline_us = deadline_us;
	d->n++;
	drop_passed(d, now_us);
}

void
stg_deadlines_clear(struct stg_deadlines *d)
{
	g_free(d->at);
	*d = (struct stg_deadlines){ 0 };
}

int64_t
stg_deadlines_expiry(const struct stg_deadlines *d, int64_t loaded)
{
	unsigned int i;

	for (i = 0; i < d->n; i++) {
		if (d->at[i].version > loaded)
			return d->at[i].deadline_us;
	}
	return 0;
}

int64_t
stg_deadlines_of(const struct stg_deadlines *d, int64_t loaded)
{
	unsigned int i;

	for (i = 0; i < d->n; i++) {
		if (d->at[i].version == loaded)
			return d->at[i].deadline_us;
	}
	return 0;
}

int64_t
stg_deadlines_before(
    const struct stg_deadlines *d, int64_t version, int64_t *deadline_us)
{
	unsigned int i = d->n;

	while (i > 0 && d->at[i - 1].version >= version)
		i--;
	if (i == 0)
		return 0;
	*deadline_us = d->at[i - 1].deadline_us;
	return d->at[i - 1].version;
}

/* ------------------------------------------------------------------ */
/* Inbound traffic                                                     */
/* ------------------------------------------------------------------ */

void
stg_inbound_note(struct stg_inbound *in, int64_t us, int64_t now_us)
{
	if (us < in->us && now_us - in->at_us <= STG_INBOUND_HOLD_US)
		return;
	in->us = us;
	in->at_us = now_us;
}

/* ------------------------------------------------------------------ */
/* Digests                                                             */
/* ------------------------------------------------------------------ */

/*
 * The origin accepts few connections and is slow: this many sidecars read a
 * version's digests there. The others wait until these agree, take the digests
 * from peers, and ask the origin only if that does not happen. A sidecar that
 * does not know the others yet, as just after its start, is not one of the few:
 * after a restart of all processes each would ask, and the origin's link would
 * be busy for a second with what one of them needs to read.
 */
#define DIGEST_READERS 4
#define DIGEST_WAIT_US 700000
#define DIGEST_STAGGER_US 50000
#define DIGEST_STAGGER_MAX_US 2000000

int64_t
stg_digests_read_us(const struct stg_digests *d)
{
	int64_t wait_us = DIGEST_WAIT_US;

	if (d->members > 0 && d->ahead < DIGEST_READERS)
		return d->backoff_until_us;
	wait_us +=
	    MIN((int64_t)d->ahead * DIGEST_STAGGER_US, DIGEST_STAGGER_MAX_US);
	return MAX(d->backoff_until_us, d->asked_us + wait_us);
}

/* ------------------------------------------------------------------ */
/* Two versions                                                        */
/* ------------------------------------------------------------------ */

/* Estimated time at which the newest is complete here, from its progress. */
static int64_t
complete_at_us(const struct stg_overlap *o, int64_t now_us)
{
	double left = 1;

	if (o->total > 0)
		left = 1 - (double)o->have / (double)o->total;
	return MAX(o->newest_announced_us + DISTRIBUTE_US,
	    now_us + (int64_t)(left * DISTRIBUTE_REMAINING_US));
}

bool
stg_keeps_older(int64_t older_announced_us, int64_t newest_announced_us)
{
	return newest_announced_us - older_announced_us >= OLDER_LEAD_US;
}

bool
stg_fetches_older(const struct stg_overlap *o, int64_t now_us)
{
	int64_t fetch_us, serve_us;

	if (o->older_complete || o->older_left == 0 ||
	    o->older_deadline_us == 0)
		return false;
	if (now_us < o->older_deadline_us)
		return true;
	if (o->older_total == 0 || o->newest_deadline_us == 0)
		return false;
	fetch_us = (int64_t)((double)MIN(o->older_left, o->older_total) /
	    (double)o->older_total * DISTRIBUTE_REMAINING_US);
	serve_us = o->newest_deadline_us - now_us - fetch_us - SWITCH_COST_US;
	return serve_us > fetch_us;
}

bool
stg_prefers_older(const struct stg_overlap *o, int64_t now_us)
{
	if (!o->older_complete)
		return false;
	if (o->loaded != 0 && now_us < o->older_switch_us)
		return false;
	return complete_at_us(o, now_us) > now_us + SWITCH_COST_US;
}

/* ------------------------------------------------------------------ */
/* Switch times                                                        */
/* ------------------------------------------------------------------ */

int64_t
stg_switch_us(const struct stg_schedule *s)
{
	int64_t from_us = s->announced_us + DISTRIBUTE_US;
	int64_t span_us;

	if (s->deadline_us == 0)
		return from_us + (int64_t)s->rank * SWITCH_INTERVAL_US;
	if (s->others_us != 0)
		from_us = MAX(from_us, s->others_us - DEADLINE_MARGIN_US);
	span_us = s->deadline_us - DEADLINE_MARGIN_US - from_us;
	if (span_us <= 0 || s->n == 0)
		return s->announced_us;
	return from_us + span_us * (int64_t)s->rank / (int64_t)s->n;
}
