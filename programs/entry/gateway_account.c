/*
 * The retry accounts of this gateway, which outlive its process: copies to a few
 * sidecars, and the copy of the process before it, which they send back.
 */

#include <string.h>

#include "entry/gateway.h"

#define COPIES 3
/* Sidecars among which those of this region are preferred. */
#define CANDIDATES 8

/* ------------------------------------------------------------------ */
/* The share of the slack                                              */
/* ------------------------------------------------------------------ */

static int64_t
window_us(const struct gateway *g)
{
	return fwd_budget(g->fwd)->window_us;
}

/* Whether some target has a sidecar by the operators' settings. */
static bool
expects_sidecars(const struct gateway *g)
{
	const struct sv_config *config;
	const struct sv_service *service;
	size_t i;

	if (fwd_routes(g->fwd) == NULL)
		return true;
	config = rtab_config(fwd_routes(g->fwd));
	for (i = 0; i < config->nservices; i++) {
		service = &config->services[i];
		if (service->has_engine && service->engine.chunks > 0)
			return true;
	}
	return false;
}

static enum acct_state
state_now(struct gateway *g)
{
	int64_t now_us = evl_now_us(g->st.loop);

	return acct_state(&g->acct, window_us(g),
	    !expects_sidecars(g) || tgt_has_sides(g->set, now_us), now_us);
}

void
gateway_account_update(struct gateway *g)
{
	enum acct_state state;

	if (!expects_sidecars(g))
		(void)acct_reported(&g->acct,
		    (unsigned int)cfg_int(g->st.cfg, "policy.gateways"),
		    evl_now_us(g->st.loop));
	tgt_set_policy(g->set)->sharers = g->acct.sharers;
	state = state_now(g);
	fwd_budget(g->fwd)->processes =
	    state == ACCT_USABLE ? g->acct.sharers : 0;
	if (state == g->acct_state)
		return;
	g->acct_state = state;
	evt(EVT_ACCOUNT, "state=%s sharers=%u", acct_state_name(state),
	    g->acct.sharers);
}

static void
note_sharers(struct gateway *g, unsigned int before, const char *from)
{
	evt(EVT_SHARERS, "gateways=%u before=%u from=%s", g->acct.sharers,
	    before, from);
	gateway_account_update(g);
}

void
gateway_account_reported(
    struct gateway *g, const struct tgt *t, const struct side_report *report)
{
	unsigned int before = g->acct.sharers;
	unsigned int sharers =
	    (unsigned int)MAX(report->sharers, report->gateways);

	if (sharers > 0 &&
	    acct_reported(&g->acct, sharers, evl_now_us(g->st.loop)))
		note_sharers(g, before, t->record.address);
	else if (g->acct_state == ACCT_ALONE)
		gateway_account_update(g);
}

/* ------------------------------------------------------------------ */
/* Copies to sidecars                                                  */
/* ------------------------------------------------------------------ */

struct entries {
	GByteArray *bytes;
	bool complete; /* all services with retries are in it */
};

static void
add_account(const char *service, const struct spend_copy *copy, void *ctx)
{
	struct entries *entries = ctx;
	int i;

	if (side_account_put(entries->bytes, service, copy))
		return;
	for (i = 0; i < SPEND_SLOTS; i++) {
		if (copy->counts.extra[i] > 0)
			entries->complete = false;
	}
}

/* Moves the sidecars of this region to the front, in order. */
static void
prefer_local(const struct tgt *sides[], size_t n)
{
	const struct tgt *local;
	size_t i, at = 0;

	for (i = 0; i < n; i++) {
		if (!sides[i]->local)
			continue;
		local = sides[i];
		memmove(&sides[at + 1], &sides[at], (i - at) * sizeof(*sides));
		sides[at++] = local;
	}
}

/* The same sidecars each time, as far as they respond. */
static void
send_account(struct gateway *g, const struct side_account *message)
{
	const char *own = cfg_str(g->st.cfg, "listen.peers");
	const struct tgt *sides[CANDIDATES];
	char to[SV_ADDRESS_MAX];
	size_t n, i;

	n = tgt_sides(g->set, hash64(0, own, strlen(own)),
	    evl_now_us(g->st.loop), sides, CANDIDATES);
	prefer_local(sides, n);
	for (i = 0; i < MIN(n, COPIES); i++) {
		if (gateway_sidecar_address(g, sides[i], to))
			dgram_send(g->peers, to, &side_account_desc, message);
	}
}

static void
copy_account(struct gateway *g)
{
	struct entries entries = { .bytes = g_byte_array_new(),
		.complete = true };
	int64_t window = window_us(g);
	struct side_account message = {
		.start = g->seed,
		.seq = ++g->account_seq,
		.sharers = g->acct.sharers,
		.window_ms = (uint64_t)window / 1000,
	};

	fwd_each_account(g->fwd, add_account, &entries);
	message.entries =
	    (struct slice){ entries.bytes->data, entries.bytes->len };
	if (entries.complete)
		message.known_ms =
		    (uint64_t)(evl_now_us(g->st.loop) - g->acct.known_us) /
		    1000;
	send_account(g, &message);
	g_byte_array_unref(entries.bytes);
}

bool
gateway_account_is_wanted(const struct gateway *g)
{
	return acct_wants_copy(&g->acct, window_us(g), evl_now_us(g->st.loop));
}

static void
on_changed(struct evl_task *task)
{
	struct gateway *g = CONTAINER_OF(task, struct gateway, account_task);

	if (acct_may_copy(&g->acct, window_us(g), evl_now_us(g->st.loop)))
		copy_account(g);
}

void
gateway_account_changed(void *ctx)
{
	struct gateway *g = ctx;

	g->account_task.run = on_changed;
	evl_defer(g->st.loop, &g->account_task);
}

static void
on_refresh(struct evl_timer *timer)
{
	struct gateway *g = CONTAINER_OF(timer, struct gateway, account_timer);

	gateway_account_changed(g);
	evl_timer_set(
	    g->st.loop, timer, evl_now_us(g->st.loop) + ACCT_REFRESH_US);
}

/* ------------------------------------------------------------------ */
/* The copy of the process before                                      */
/* ------------------------------------------------------------------ */

static void
inherit(struct gateway *g, const struct side_account *copy, int64_t age_us)
{
	char service[SV_ID_MAX];
	struct spend_copy account;
	size_t at = 0;

	while (side_account_get(copy, &at, service, &account))
		fwd_inherit_account(g->fwd, service, &account, age_us);
}

void
gateway_account_received(
    struct gateway *g, const char *from, const struct side_account *copy)
{
	int64_t now_us = evl_now_us(g->st.loop);
	int64_t age_us = (int64_t)copy->age_ms * 1000;
	unsigned int before = g->acct.sharers;
	struct acct_origin origin = { .start = copy->start,
		.seq = copy->seq,
		.made_us = now_us - age_us,
		.known_us = now_us - age_us - (int64_t)copy->known_ms * 1000,
		.sharers = (unsigned int)copy->sharers };

	if (copy->start == g->seed ||
	    now_us - g->acct.started_us > window_us(g) ||
	    (int64_t)copy->window_ms * 1000 != window_us(g))
		return;
	if (acct_offered(&g->acct, &origin, copy->current != 0, now_us)) {
		inherit(g, copy, age_us);
		evt(EVT_ACCOUNT,
		    "from=%s start=%016" G_GINT64_MODIFIER
		    "x seq=%" G_GUINT64_FORMAT " age_ms=%" G_GUINT64_FORMAT
		    " known_ms=%" G_GUINT64_FORMAT " current=%d",
		    from, copy->start, copy->seq, copy->age_ms, copy->known_ms,
		    copy->current != 0);
	}
	if (g->acct.sharers != before)
		note_sharers(g, before, from);
	gateway_account_update(g);
}

void
gateway_account_open(struct gateway *g)
{
	acct_start(&g->acct, evl_now_us(g->st.loop));
	g->acct_state = ACCT_UNKNOWN;
	g->account_timer.fire = on_refresh;
	evl_timer_set(g->st.loop, &g->account_timer,
	    evl_now_us(g->st.loop) + ACCT_REFRESH_US);
}
