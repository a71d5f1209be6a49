/* What a keeper does next for its engine. */

#include <string.h>

#include "stage/stage.h"

/* Pieces of a version take about so long to reach all hosts: a host's link
 * carries one copy in two seconds. */
#define SPREAD_US 3000000
/* Before the due time the last engine has begun to change. Gateways send
 * requests to what it holds until some 0.3 s before that, so each engine is out
 * of service for the same time, however late it begins. */
#define MARGIN_US 500000
/* Pieces that are left take so long once they come at all. */
#define SPREAD_LEFT_US 2300000
/* Idle time that a change of version costs an engine: running requests end,
 * and their places stay empty meanwhile. */
#define IDLE_WORTH_US 800000
/* A version that was named so long before the next has most of its pieces on
 * the way when the next one comes. */
#define OLDER_LEAD_US 1000000
/* Between engines, where nothing is due. */
#define PACE_US 1000000

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

/* The engine has it: what is left is to hold the pieces for others. */
static enum stg_step
next_loaded(const struct stg_state *s)
{
	if (!s->manifest)
		return STG_MANIFEST;
	return s->complete || s->scanned ? STG_DONE : STG_SCAN;
}

static bool
is_closed(const struct stg_state *s, int64_t now_us)
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
	/* An engine that serves waits for its turn; one that holds nothing or
	 * has nothing to do loses nothing by changing at once. */
	if (s->loaded != 0 && s->running > 0 && now_us < s->switch_us)
		return STG_WAIT_SWITCH;
	if (!is_closed(s, now_us))
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
	if (s->loaded >= s->wanted)
		return next_loaded(s);
	if (!s->manifest)
		return STG_MANIFEST;
	/* An engine that restarted may still have the pieces beside it. */
	if (!s->complete && !s->scanned && s->loaded == 0)
		return STG_SCAN;
	if (!s->complete)
		return STG_FETCH;
	return next_order(s, now_us);
}

/* ------------------------------------------------------------------ */
/* Due times                                                           */
/* ------------------------------------------------------------------ */

void
stg_deadlines_add(struct stg_deadlines *d, int64_t version, int64_t due_us)
{
	if (due_us == 0 || (d->n > 0 && d->at[d->n - 1].version >= version))
		return;
	if (d->n == STG_DEADLINES_MAX) {
		memmove(&d->at[0], &d->at[1],
		    (STG_DEADLINES_MAX - 1) * sizeof(d->at[0]));
		d->n--;
	}
	d->at[d->n].version = version;
	d->at[d->n].due_us = due_us;
	d->n++;
}

int64_t
stg_deadlines_expiry(const struct stg_deadlines *d, int64_t loaded)
{
	unsigned int i;

	for (i = 0; i < d->n; i++) {
		if (d->at[i].version > loaded)
			return d->at[i].due_us;
	}
	return 0;
}

int64_t
stg_deadlines_of(const struct stg_deadlines *d, int64_t loaded)
{
	unsigned int i;

	for (i = 0; i < d->n; i++) {
		if (d->at[i].version == loaded)
			return d->at[i].due_us;
	}
	return 0;
}

int64_t
stg_deadlines_before(
    const struct stg_deadlines *d, int64_t version, int64_t *due_us)
{
	unsigned int i = d->n;

	while (i > 0 && d->at[i - 1].version >= version)
		i--;
	if (i == 0)
		return 0;
	*due_us = d->at[i - 1].due_us;
	return d->at[i - 1].version;
}

/* ------------------------------------------------------------------ */
/* Digests                                                             */
/* ------------------------------------------------------------------ */

/*
 * The origin takes few connections and is slow: this many keepers read a
 * version's digests there; the others wait for these to agree and take them
 * from peers, and ask the origin only when that has not come about. One that
 * does not know the others yet, as just after its start, is none of the few:
 * after a start of everything all would ask, and the origin's link be taken
 * for a second by what one of them needs to read.
 */
#define DIGEST_READERS 4
#define DIGEST_ALONE_US 700000
#define DIGEST_STEP_US 50000
#define DIGEST_SPREAD_US 2000000

int64_t
stg_digests_read_us(const struct stg_digests *d)
{
	int64_t wait_us = DIGEST_ALONE_US;

	if (d->members > 0 && d->ahead < DIGEST_READERS)
		return d->backoff_until_us;
	wait_us += MIN((int64_t)d->ahead * DIGEST_STEP_US, DIGEST_SPREAD_US);
	return MAX(d->backoff_until_us, d->asked_us + wait_us);
}

/* ------------------------------------------------------------------ */
/* Two versions                                                        */
/* ------------------------------------------------------------------ */

/* When the newest will be whole here, from its progress. */
static int64_t
whole_at_us(const struct stg_overlap *r, int64_t now_us)
{
	double left = 1;

	if (r->total > 0)
		left = 1 - (double)r->have / (double)r->total;
	return MAX(r->newest_announced_us + SPREAD_US,
	    now_us + (int64_t)(left * SPREAD_LEFT_US));
}

bool
stg_keeps_older(int64_t older_heard_us, int64_t newest_heard_us)
{
	return newest_heard_us - older_heard_us >= OLDER_LEAD_US;
}

bool
stg_fetches_older(const struct stg_overlap *r, int64_t now_us)
{
	int64_t fetch_us, serve_us;

	if (r->older_complete || r->older_left == 0 ||
	    r->older_deadline_us == 0)
		return false;
	if (now_us < r->older_deadline_us)
		return true;
	if (r->older_total == 0 || r->newest_deadline_us == 0)
		return false;
	fetch_us = (int64_t)((double)MIN(r->older_left, r->older_total) /
	    (double)r->older_total * SPREAD_LEFT_US);
	serve_us = r->newest_deadline_us - now_us - fetch_us - IDLE_WORTH_US;
	return serve_us > fetch_us;
}

bool
stg_prefers_older(const struct stg_overlap *r, int64_t now_us)
{
	if (!r->older_complete)
		return false;
	if (r->loaded != 0 && now_us < r->older_switch_us)
		return false;
	return whole_at_us(r, now_us) > now_us + IDLE_WORTH_US;
}

/* ------------------------------------------------------------------ */
/* Turns                                                               */
/* ------------------------------------------------------------------ */

int64_t
stg_switch_us(const struct stg_schedule *q)
{
	int64_t from_us = q->announced_us + SPREAD_US;
	int64_t span_us;

	if (q->deadline_us == 0)
		return from_us + (int64_t)q->rank * PACE_US;
	if (q->others_us != 0)
		from_us = MAX(from_us, q->others_us - MARGIN_US);
	span_us = q->deadline_us - MARGIN_US - from_us;
	if (span_us <= 0 || q->n == 0)
		return q->announced_us;
	return from_us + span_us * (int64_t)q->rank / (int64_t)q->n;
}
