/* Lease decisions: guards and actions of charts/lease.yaml. */

#include <string.h>

#include "agree/lse_internal.h"

/*
 * Covers the different rates of the clocks and the time from the check of the
 * deadline until the order is sent.
 */
#define MARGIN_MAX_MS 300
/* upper limit of the delay until the first in rank reads a renewal */
#define POLL_MAX_MS 400
#define BACKUP_POLL_MS 1000
/*
 * The second in rank claims only a lease that the first has left unclaimed for
 * this long; otherwise their writes would collide and one be refused.
 */
#define BACKUP_WAIT_MS 1500
/*
 * Member tables differ while members join: a node claims only after its rank
 * was stable for this time.
 */
#define SETTLE_MS 1000
#define RETRY_MS 200 /* after a failed renewal */
#define CLAIM_RETRY_MS 500 /* after a failed claim */
#define RELEASE_TIMEOUT_MS 2000
#define CANDIDATES 2 /* number of ranks that read the object */
#define NO_RANK UINT_MAX

enum lse_event {
	EVENT_TICK,
	EVENT_WRITTEN,
	EVENT_REFUSED,
	EVENT_FAILED,
	EVENT_LEAVE,
	EVENTS,
};
static const char *const event_names[EVENTS] = {
	[EVENT_TICK] = "tick",
	[EVENT_WRITTEN] = "written",
	[EVENT_REFUSED] = "refused",
	[EVENT_FAILED] = "failed",
	[EVENT_LEAVE] = "leave",
};

struct lse {
	const struct chart *chart;
	int state;
	int events[EVENTS];
	int held, renewing;
	struct lse_conf conf;
	const struct lse_ops *ops;
	void *ctx;
	int64_t now_us; /* time of the event being handled */

	unsigned int rank;
	int64_t rank_since_us; /* when the rank last changed */

	bool known; /* the fields below come from a read or a write */
	uint64_t version; /* 0: absent */
	struct lse_value value;
	int64_t first_seen_us; /* when this version was first seen */
	int64_t seen_read_us; /* when the read that returned it was started */
	uint64_t highest_fence; /* highest fencing number read or reported */
	int64_t next_claim_us; /* earliest time of the next claim */
	bool reading;
	int64_t last_read_us; /* when the last successful read was started */
	int64_t read_started_us;
	int64_t next_read_us;

	int64_t write_sent_us; /* just before the last write was sent */
	struct lse_value written;
	uint64_t fence; /* while held, else 0 */
	int64_t deadline_us;
	int64_t next_renew_us;
	unsigned int refused;
};

static int64_t
margin_us(const struct lse *lse)
{
	return (int64_t)MIN(lse->conf.lease_ms / 10, MARGIN_MAX_MS) * 1000;
}

/* ------------------------------------------------------------------ */
/* Known state of the object                                           */
/* ------------------------------------------------------------------ */

static bool
names_self(const struct lse *lse)
{
	return lse->value.incarnation == lse->conf.incarnation &&
	    strcmp(lse->value.holder, lse->conf.self) == 0;
}

/*
 * Returns when the role became free as far as is known; INT64_MAX: it is not
 * known to be free.
 */
static int64_t
free_since_us(const struct lse *lse)
{
	if (!lse->known)
		return INT64_MAX;
	if (lse->version == 0 || lse->value.handed_over || names_self(lse))
		return lse->seen_read_us;
	return lse->first_seen_us + (int64_t)lse->value.lease_ms * 1000 +
	    margin_us(lse);
}

static void
record_value(
    struct lse *lse, uint64_t version, const char *text, int64_t read_us)
{
	if (lse->known && version == lse->version)
		return;
	lse->known = true;
	lse->version = version;
	lse->first_seen_us = lse->now_us;
	lse->seen_read_us = read_us;
	lse->value = (struct lse_value){ 0 };
	if (version != 0 && !lse_value_parse(text, &lse->value)) {
		/*
		 * The value is not a lease but unrelated text. Treat it as a
		 * lease that must expire first, and continue above the object's
		 * version, which no fencing number exceeds.
		 */
		lse->value.lease_ms = lse->conf.lease_ms;
		lse->value.fence = version;
	}
	lse->highest_fence = MAX(lse->highest_fence, lse->value.fence);
}

/* ------------------------------------------------------------------ */
/* Guards                                                              */
/* ------------------------------------------------------------------ */

static bool
may_claim(void *ctx, const void *event_data)
{
	const struct lse *lse = ctx;
	int64_t free_us = free_since_us(lse);
	int64_t wait_us = 0;

	if (lse->rank >= CANDIDATES || lse->now_us < free_us)
		return false;
	if (lse->now_us < lse->next_claim_us ||
	    lse->now_us - lse->rank_since_us < SETTLE_MS * 1000)
		return false;
	if (lse->rank > 0)
		wait_us = BACKUP_WAIT_MS * 1000;
	/*
	 * Requires a read that was started after the lease became free and
	 * found it unchanged: after a pause or an outage the last value may be
	 * long out of date.
	 */
	return lse->now_us >= free_us + wait_us &&
	    lse->last_read_us >= free_us + wait_us;
}

static bool
read_due(void *ctx, const void *event_data)
{
	const struct lse *lse = ctx;
	int64_t free_us = free_since_us(lse);

	if (lse->rank >= CANDIDATES || lse->reading)
		return false;
	if (lse->now_us >= lse->next_read_us)
		return true;
	return lse->rank == 0 && lse->now_us >= free_us &&
	    lse->last_read_us < free_us && lse->read_started_us < free_us;
}

static bool
within_lease(void *ctx, const void *event_data)
{
	const struct lse *lse = ctx;

	return lse->now_us < lse->write_sent_us +
	    (int64_t)lse->conf.lease_ms * 1000 - margin_us(lse);
}

static bool
lease_expired(void *ctx, const void *event_data)
{
	const struct lse *lse = ctx;

	return lse->now_us >= lse->deadline_us;
}

static bool
renew_due(void *ctx, const void *event_data)
{
	const struct lse *lse = ctx;

	return lse->now_us >= lse->next_renew_us;
}

/* ------------------------------------------------------------------ */
/* Actions                                                             */
/* ------------------------------------------------------------------ */

static void
do_read(void *ctx, const void *event_data)
{
	struct lse *lse = ctx;
	int64_t pause_ms = MIN(lse->conf.lease_ms / 6, POLL_MAX_MS);

	if (lse->rank > 0)
		pause_ms = BACKUP_POLL_MS;
	lse->next_read_us = lse->now_us + pause_ms * 1000;
	if (lse->reading)
		return;
	lse->reading = true;
	lse->read_started_us = lse->now_us;
	lse->ops->read(lse->ctx);
}

static void
write_value(struct lse *lse, uint64_t fence, bool handed_over)
{
	unsigned int limit_ms = handed_over
	    ? RELEASE_TIMEOUT_MS
	    : lse->conf.lease_ms - (unsigned int)(margin_us(lse) / 1000);
	char *text;

	lse->written = (struct lse_value){
		.incarnation = lse->conf.incarnation,
		.fence = fence,
		.lease_ms = lse->conf.lease_ms,
		.handed_over = handed_over,
	};
	g_strlcpy(
	    lse->written.holder, lse->conf.self, sizeof(lse->written.holder));
	/*
	 * The lease starts before the write is sent: the write may have taken
	 * effect at any time since, and candidates count from when they read
	 * it. Counting from the response would add its delay to the holder's
	 * time.
	 */
	lse->write_sent_us = lse->now_us;
	text = lse_value_format(&lse->written);
	lse->ops->write(text, lse->version, limit_ms, lse->ctx);
	g_free(text);
}

static void
do_claim(void *ctx, const void *event_data)
{
	struct lse *lse = ctx;

	/*
	 * Also above the numbers that members reported: an object that was lost
	 * and created again must not restart at a number that sidecars have
	 * already passed.
	 */
	write_value(lse, lse->highest_fence + 1, false);
}

static void
do_renew(void *ctx, const void *event_data)
{
	struct lse *lse = ctx;

	write_value(lse, lse->fence, false);
}

static void
do_release(void *ctx, const void *event_data)
{
	struct lse *lse = ctx;

	write_value(lse, lse->value.fence, true);
}

static void
do_extend(void *ctx, const void *event_data)
{
	struct lse *lse = ctx;
	int64_t lease_us = (int64_t)lse->conf.lease_ms * 1000;

	lse->deadline_us = lse->write_sent_us + lease_us - margin_us(lse);
	lse->next_renew_us = lse->write_sent_us + lease_us / 3;
}

static void
do_gain(void *ctx, const void *event_data)
{
	struct lse *lse = ctx;

	lse->fence = lse->written.fence;
	lse->highest_fence = lse->fence;
	do_extend(lse, NULL);
	/*
	 * Announce the number before acting: a sidecar that restarts while the
	 * object API is unavailable takes its floor from the members.
	 */
	lse->ops->publish(lse->fence, lse->conf.self, lse->ctx);
	lse->ops->gained(lse->fence, lse->ctx);
}

static void
do_lose(void *ctx, const void *event_data)
{
	struct lse *lse = ctx;

	lse->fence = 0;
	/*
	 * The last value still names this node; another may hold the lease by
	 * now.
	 */
	lse->known = false;
	lse->ops->lost(lse->ctx);
}

static void
do_retry_soon(void *ctx, const void *event_data)
{
	struct lse *lse = ctx;

	lse->next_renew_us = lse->now_us + RETRY_MS * 1000;
}

static void
do_count_refused(void *ctx, const void *event_data)
{
	struct lse *lse = ctx;

	lse->refused++;
}

static void
do_publish_free(void *ctx, const void *event_data)
{
	struct lse *lse = ctx;

	lse->ops->publish(lse->written.fence, "", lse->ctx);
}

static const struct chart_guard guards[] = {
	{ "may_claim", may_claim },
	{ "read_due", read_due },
	{ "in_time", within_lease },
	{ "lapsed", lease_expired },
	{ "renew_due", renew_due },
	{ NULL, NULL },
};

static const struct chart_action actions[] = {
	{ "read", do_read },
	{ "claim", do_claim },
	{ "renew", do_renew },
	{ "release", do_release },
	{ "extend", do_extend },
	{ "gain", do_gain },
	{ "lose", do_lose },
	{ "retry_soon", do_retry_soon },
	{ "count_refused", do_count_refused },
	{ "tell_free", do_publish_free },
	{ NULL, NULL },
};

static const struct chart_binding binding = { guards, actions };

/* ------------------------------------------------------------------ */
/* Events                                                              */
/* ------------------------------------------------------------------ */

static void
step(struct lse *lse, int64_t now_us, enum lse_event event)
{
	if (chart_is_final(lse->chart, lse->state))
		return;
	lse->now_us = now_us;
	lse->state =
	    chart_step(lse->chart, lse->state, lse->events[event], lse, NULL);
	if (chart_is_final(lse->chart, lse->state))
		lse->ops->left(lse->ctx);
}

struct chart *
lse_chart(const char *dir, struct err *err)
{
	return chart_load(dir, "lease", &binding, err);
}

struct lse *
lse_new(const struct chart *chart, const struct lse_conf *conf,
    const struct lse_ops *ops, void *ctx)
{
	struct lse *lse = g_new0(struct lse, 1);
	int i;

	lse->chart = chart;
	lse->state = chart_start(chart);
	for (i = 0; i < EVENTS; i++)
		lse->events[i] = chart_event(chart, event_names[i]);
	lse->held = chart_state(chart, "held");
	lse->renewing = chart_state(chart, "renewing");
	lse->conf = *conf;
	lse->ops = ops;
	lse->ctx = ctx;
	lse->rank = NO_RANK;
	lse->read_started_us = INT64_MIN;
	lse->last_read_us = INT64_MIN;
	return lse;
}

void
lse_free(struct lse *lse)
{
	g_free(lse);
}

void
lse_tick(struct lse *lse, int64_t now_us)
{
	step(lse, now_us, EVENT_TICK);
}

void
lse_set_rank(struct lse *lse, int64_t now_us, unsigned int rank)
{
	if (rank == lse->rank)
		return;
	if (rank >= CANDIDATES && lse->fence == 0)
		lse->known = false; /* this node reads the object no more */
	if (lse->rank >= CANDIDATES || rank >= CANDIDATES)
		lse->next_read_us = now_us;
	lse->rank = rank;
	lse->rank_since_us = now_us;
}

void
lse_hint(struct lse *lse, int64_t now_us, uint64_t fence)
{
	lse->highest_fence = MAX(lse->highest_fence, fence);
	if (!lse->known || fence >= lse->value.fence)
		lse->next_read_us = now_us;
	lse_tick(lse, now_us);
}

void
lse_read_done(struct lse *lse, int64_t now_us, bool ok, uint64_t version,
    const char *value)
{
	bool no_write_since;

	lse->reading = false;
	lse->now_us = now_us;
	/*
	 * A response is discarded if a write was sent after the read: it may
	 * show the object before or after the write.
	 */
	no_write_since = lse->read_started_us >= lse->write_sent_us;
	if (ok && no_write_since && lse->fence == 0) {
		record_value(lse, version, value, lse->read_started_us);
		lse->last_read_us = lse->read_started_us;
	}
	lse_tick(lse, now_us);
}

void
lse_write_done(struct lse *lse, int64_t now_us, enum lse_outcome outcome,
    uint64_t version, const char *value)
{
	bool own_renewal;

	lse->now_us = now_us;
	switch (outcome) {
	case LSE_WRITTEN:
		lse->known = true;
		lse->version = version;
		lse->value = lse->written;
		lse->first_seen_us = now_us;
		step(lse, now_us, EVENT_WRITTEN);
		break;
	case LSE_REFUSED:
		record_value(lse, version, value, now_us);
		/*
		 * An earlier renewal whose response was lost did take effect.
		 */
		own_renewal = names_self(lse) && lse->fence != 0 &&
		    lse->value.fence == lse->fence && !lse->value.handed_over;
		step(lse, now_us, own_renewal ? EVENT_FAILED : EVENT_REFUSED);
		break;
	case LSE_FAILED:
		/*
		 * The object's state is unknown: read it before another claim.
		 * Also delay the claim, as both calls may fail at once while
		 * the object API is unavailable.
		 */
		if (lse->fence == 0)
			lse->known = false;
		lse->next_claim_us = now_us + CLAIM_RETRY_MS * 1000;
		step(lse, now_us, EVENT_FAILED);
		break;
	}
}

void
lse_leave(struct lse *lse, int64_t now_us)
{
	step(lse, now_us, EVENT_LEAVE);
}

uint64_t
lse_fence(const struct lse *lse, int64_t now_us)
{
	if (lse->state != lse->held && lse->state != lse->renewing)
		return 0;
	/*
	 * Called before every order: after a pause, the event loop may get here
	 * before the tick that would detect that the lease has expired.
	 */
	return now_us < lse->deadline_us ? lse->fence : 0;
}

const char *
lse_state_name(const struct lse *lse)
{
	return chart_state_name(lse->chart, lse->state);
}

unsigned int
lse_refused(const struct lse *lse)
{
	return lse->refused;
}
