#ifndef TESTS_SERVE_BUDGET_WORLD_H
#define TESTS_SERVE_BUDGET_WORLD_H

/*
 * Gateways that retry as much as their accounts allow, sidecars that hear them,
 * and messages between them, on a fake clock and without a network. All engines
 * fail all requests. The invariant is checked over every window.
 */

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>
#include <glib.h>
#include <string.h>

#include "common/common.h"
#include "common/spend.h"
#include "serve/acct.h"

#define SECOND ((int64_t)1000000)
#define STEP_US 50000
#define WINDOW_US (10 * SECOND)
#define RATIO 0.2
#define SLACK 100
/* As gateways use them. */
#define RATIO_USED 0.8
#define SLACK_USED 0.9
#define GATEWAYS_MAX 8
#define SIDES_MAX 6
/* As gateways and sidecars do. */
#define DESIRED_US 400000
#define REPORT_US 250000
#define SIDE_TIMEOUT_US 900000
#define COPIES 3

struct side {
	int64_t paused_us; /* until then it handles nothing */
	int64_t reported_us;
	struct acct_copies copies;
};

struct gateway {
	bool up;
	int64_t paused_us, down_us; /* until then */
	int64_t desired_us; /* last sent */
	unsigned int requests_s;
	double pending; /* part of a request */
	struct spend_conf conf;
	struct spend spend;
	struct acct acct;
	uint64_t start, seq;
	int64_t copied_us; /* last copies sent */
	int64_t reported_us[SIDES_MAX]; /* last report of each sidecar */
	unsigned int retries; /* in all */
};

struct budget_world {
	int64_t now_us;
	unsigned int ngateways, nsides;
	struct gateway gateway[GATEWAYS_MAX];
	struct side side[SIDES_MAX];
	bool cut[GATEWAYS_MAX][SIDES_MAX];
	uint64_t starts;
	GArray *requests, *retries; /* int64_t, ascending */
};

/* ------------------------------------------------------------------ */
/* The shipped code                                                    */
/* ------------------------------------------------------------------ */

static inline void
gateway_start(struct budget_world *w, unsigned int i)
{
	struct gateway *g = &w->gateway[i];

	g->up = true;
	g->desired_us = g->copied_us = 0;
	g->start = ++w->starts;
	g->seq = 0;
	memset(g->reported_us, 0, sizeof(g->reported_us));
	memset(&g->spend, 0, sizeof(g->spend));
	acct_start(&g->acct, w->now_us);
	g->conf = (struct spend_conf){ .ratio = RATIO_USED * RATIO,
		.slack = SLACK_USED * SLACK,
		.window_us = WINDOW_US };
}

static inline const char *
gateway_name(unsigned int i)
{
	static char name[ACCT_GATEWAY_MAX];

	g_snprintf(name, sizeof(name), "gateway-%u", i);
	return name;
}

static inline bool
is_connected(const struct budget_world *w, unsigned int g, unsigned int s)
{
	return !w->cut[g][s] && w->gateway[g].up &&
	    w->now_us >= w->gateway[g].paused_us &&
	    w->now_us >= w->side[s].paused_us;
}

/* Whether the gateway takes the sidecar for alive. */
static inline bool
hears_side(const struct budget_world *w, unsigned int g, unsigned int s)
{
	return w->gateway[g].reported_us[s] != 0 &&
	    w->now_us - w->gateway[g].reported_us[s] <= SIDE_TIMEOUT_US;
}

static inline void
update_share(struct budget_world *w, unsigned int i)
{
	struct gateway *g = &w->gateway[i];
	bool has_sidecar = false;
	unsigned int s;

	for (s = 0; s < w->nsides; s++)
		has_sidecar |= hears_side(w, i, s);
	g->conf.processes = acct_state(&g->acct, WINDOW_US, has_sidecar,
				w->now_us) == ACCT_USABLE
	    ? g->acct.sharers
	    : 0;
}

/* Sends copies of the account to the first sidecars that are alive, beginning
 * with another one for each gateway. */
static inline void
send_copies(struct budget_world *w, unsigned int i)
{
	struct gateway *g = &w->gateway[i];
	struct side_account message = { .start = g->start,
		.seq = ++g->seq,
		.sharers = g->acct.sharers,
		.known_ms = (uint64_t)(w->now_us - g->acct.known_us) / 1000 };
	GByteArray *entries = g_byte_array_new();
	struct spend_copy copy;
	unsigned int n, s, sent = 0;

	spend_export(&g->spend, &g->conf, w->now_us, &copy);
	assert_true(side_account_put(entries, "service", &copy));
	message.entries = (struct slice){ entries->data, entries->len };
	for (n = 0; n < w->nsides && sent < COPIES; n++) {
		s = (i + n) % w->nsides;
		if (!hears_side(w, i, s))
			continue;
		sent++;
		if (is_connected(w, i, s))
			acct_copies_put(&w->side[s].copies, gateway_name(i),
			    &message, w->now_us);
	}
	g_byte_array_unref(entries);
	g->copied_us = w->now_us;
}

static inline void
take_copy(
    struct budget_world *w, unsigned int i, const struct side_account *message)
{
	struct gateway *g = &w->gateway[i];
	int64_t age_us = (int64_t)message->age_ms * 1000;
	struct acct_origin origin = { .start = message->start,
		.seq = message->seq,
		.made_us = w->now_us - age_us,
		.known_us =
		    w->now_us - age_us - (int64_t)message->known_ms * 1000,
		.sharers = (unsigned int)message->sharers };
	char service[SV_ID_MAX];
	struct spend_copy copy;
	size_t at = 0;

	if (!acct_offered(&g->acct, &origin, message->current != 0, w->now_us))
		return;
	while (side_account_get(message, &at, service, &copy))
		spend_inherit(&g->spend, &g->conf, w->now_us, &copy, age_us);
}

static inline void
side_start(struct side *s)
{
	if (s->copies.gateways != NULL)
		acct_copies_clear(&s->copies);
	acct_copies_init(&s->copies);
}

static inline void
side_hears(struct budget_world *w, unsigned int s, unsigned int i)
{
	struct gateway *g = &w->gateway[i];
	struct side_account message;

	if (acct_wants_copy(&g->acct, WINDOW_US, w->now_us) &&
	    acct_copies_get(&w->side[s].copies, gateway_name(i), g->start,
		w->now_us, &message))
		take_copy(w, i, &message);
	acct_copies_heard(
	    &w->side[s].copies, gateway_name(i), g->start, w->now_us);
}

static inline void
gateway_hears(struct budget_world *w, unsigned int i, unsigned int s)
{
	unsigned int sharers =
	    acct_copies_sharers(&w->side[s].copies, w->now_us);

	w->gateway[i].reported_us[s] = w->now_us;
	if (sharers > 0)
		(void)acct_reported(&w->gateway[i].acct, sharers, w->now_us);
}

static inline bool
gateway_retries(struct budget_world *w, unsigned int i)
{
	struct gateway *g = &w->gateway[i];

	update_share(w, i);
	if (!spend_take(&g->spend, &g->conf, w->now_us))
		return false;
	if (acct_may_copy(&g->acct, WINDOW_US, w->now_us))
		send_copies(w, i);
	return true;
}

/* ------------------------------------------------------------------ */
/* Time                                                                */
/* ------------------------------------------------------------------ */

static inline bool
gateway_runs(const struct budget_world *w, unsigned int i)
{
	return w->gateway[i].up && w->now_us >= w->gateway[i].paused_us;
}

/* Every request fails at its first target and is retried once if it may. */
static inline void
take_requests(struct budget_world *w, unsigned int i)
{
	struct gateway *g = &w->gateway[i];

	g->pending += (double)g->requests_s * STEP_US / SECOND;
	for (; g->pending >= 1; g->pending--) {
		/* The platform counts requests also while it is down. */
		g_array_append_val(w->requests, w->now_us);
		if (!gateway_runs(w, i))
			continue;
		spend_request(&g->spend, &g->conf, w->now_us);
		if (!gateway_retries(w, i))
			continue;
		g->retries++;
		g_array_append_val(w->retries, w->now_us);
	}
}

static inline void
exchange(struct budget_world *w, unsigned int g, unsigned int s)
{
	if (!is_connected(w, g, s))
		return;
	if (w->gateway[g].desired_us == w->now_us)
		side_hears(w, s, g);
	if (w->side[s].reported_us == w->now_us)
		gateway_hears(w, g, s);
}

static inline void
advance_one(struct budget_world *w)
{
	unsigned int g, s;

	w->now_us += STEP_US;
	for (g = 0; g < w->ngateways; g++) {
		if (!w->gateway[g].up && w->now_us >= w->gateway[g].down_us)
			gateway_start(w, g);
		if (w->now_us - w->gateway[g].desired_us >= DESIRED_US)
			w->gateway[g].desired_us = w->now_us;
	}
	for (s = 0; s < w->nsides; s++) {
		if (w->now_us - w->side[s].reported_us >= REPORT_US)
			w->side[s].reported_us = w->now_us;
	}
	for (g = 0; g < w->ngateways; g++) {
		for (s = 0; s < w->nsides; s++)
			exchange(w, g, s);
	}
	for (g = 0; g < w->ngateways; g++) {
		take_requests(w, g);
		if (gateway_runs(w, g) &&
		    w->now_us - w->gateway[g].copied_us >= ACCT_REFRESH_US &&
		    acct_may_copy(&w->gateway[g].acct, WINDOW_US, w->now_us))
			send_copies(w, g);
	}
}

static inline void
run_for(struct budget_world *w, int64_t us)
{
	int64_t until_us = w->now_us + us;

	while (w->now_us < until_us)
		advance_one(w);
}

static inline void
kill_gateway(struct budget_world *w, unsigned int i, int64_t down_us)
{
	w->gateway[i].up = false;
	w->gateway[i].down_us = w->now_us + down_us;
}

static inline void
world_open(struct budget_world *w, unsigned int ngateways, unsigned int nsides,
    unsigned int requests_s)
{
	unsigned int i;

	*w = (struct budget_world){
		.now_us = 100 * SECOND, .ngateways = ngateways, .nsides = nsides
	};
	w->requests = g_array_new(FALSE, FALSE, sizeof(int64_t));
	w->retries = g_array_new(FALSE, FALSE, sizeof(int64_t));
	for (i = 0; i < ngateways; i++)
		gateway_start(w, i);
	for (i = 0; i < nsides; i++)
		side_start(&w->side[i]);
	/* Nothing fails in the first window. */
	run_for(w, WINDOW_US + SECOND);
	for (i = 0; i < ngateways; i++)
		w->gateway[i].requests_s = requests_s;
}

static inline void
world_close(struct budget_world *w)
{
	unsigned int s;

	for (s = 0; s < w->nsides; s++)
		acct_copies_clear(&w->side[s].copies);
	g_array_unref(w->requests);
	g_array_unref(w->retries);
}

/* ------------------------------------------------------------------ */
/* The invariant                                                       */
/* ------------------------------------------------------------------ */

/* Index of the first time at or after `at_us`. */
static inline guint
first_from(const GArray *times, int64_t at_us)
{
	guint low = 0, high = times->len, middle;

	while (low < high) {
		middle = (low + high) / 2;
		if (g_array_index(times, int64_t, middle) < at_us)
			low = middle + 1;
		else
			high = middle;
	}
	return low;
}

static inline guint
count_window(const GArray *times, int64_t from_us)
{
	return first_from(times, from_us + WINDOW_US) -
	    first_from(times, from_us);
}

/* Retries beyond what is allowed in the worst window; negative: within it. The
 * requests counted are those of the window, of the one before it or of the one
 * half a window before it, whichever has most. */
static inline double
worst_excess(const struct budget_world *w)
{
	double worst = -SLACK, excess;
	guint i, requests;

	for (i = 0; i < w->retries->len; i++) {
		int64_t from_us = g_array_index(w->retries, int64_t, i);

		requests = count_window(w->requests, from_us);
		requests = MAX(requests,
		    count_window(w->requests, from_us - WINDOW_US / 2));
		requests = MAX(
		    requests, count_window(w->requests, from_us - WINDOW_US));
		excess = count_window(w->retries, from_us) -
		    (RATIO * requests + SLACK);
		worst = MAX(worst, excess);
	}
	return worst;
}

static inline void
assert_within_budget(const struct budget_world *w)
{
	double excess = worst_excess(w);

	if (excess > 0)
		fail_msg("%.1f retries beyond the budget in a window", excess);
}

#endif
