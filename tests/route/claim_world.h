#ifndef CLAIM_WORLD_H
#define CLAIM_WORLD_H

/* Simulation for the tests of claims: bucket owners, an object with faults and
 * claimants. Time and the API advance only by calls of these functions. */

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <cmocka.h>
#include <string.h>

#include "route/claim.h"

#define MS 1000
#define OWNERS 3
#define PENDING (-1)

/* The object, and the owners' reads and writes that are in progress. */
struct sim {
	int64_t now_us;
	uint64_t version;
	char *value;
	bool down;
	struct owner {
		struct sim *sim;
		char id[4];
		struct clm *clm;
		struct clm_write_limit write_limit;
		bool live;
		bool reading;
		char *write_value; /* value of the write in progress, or NULL */
		uint64_t if_version;
		unsigned int forwarded;
	} owner[OWNERS];
};

struct request {
	struct clm_request base; /* first: the callback casts its address */
	int result;
	struct clm_outcome outcome;
	char answer[64];
	char owner[8];
};

static void
on_read(struct clm *clm, void *ctx)
{
	struct owner *o = ctx;

	assert_false(o->reading);
	o->reading = true;
}

static void
on_write(struct clm *clm, const char *value, uint64_t if_version, void *ctx)
{
	struct owner *o = ctx;

	assert_null(o->write_value);
	assert_true(strlen(value) <= CLM_VALUE_MAX);
	o->write_value = g_strdup(value);
	o->if_version = if_version;
}

static void
on_answer(struct clm_request *request, enum clm_result result,
    const struct clm_outcome *outcome, const char *owner, void *ctx)
{
	struct request *t = (struct request *)request;

	assert_int_equal(t->result, PENDING);
	t->result = (int)result;
	g_strlcpy(t->owner, owner, sizeof(t->owner));
	if (outcome == NULL)
		return;
	t->outcome = *outcome;
	g_strlcpy(t->answer, outcome->answer == NULL ? "" : outcome->answer,
	    sizeof(t->answer));
}

static bool
on_is_live(const char *gateway, void *ctx)
{
	struct owner *o = ctx;
	size_t i;

	for (i = 0; i < OWNERS; i++) {
		if (strcmp(o->sim->owner[i].id, gateway) == 0)
			return o->sim->owner[i].live;
	}
	return false;
}

static void
on_forward(const char *key, const char *claimant,
    const struct clm_outcome *outcome, const char *owner, void *ctx)
{
	struct owner *o = ctx;

	o->forwarded++;
}

static const struct clm_ops ops = {
	.read = on_read,
	.write = on_write,
	.answer = on_answer,
	.is_live = on_is_live,
	.forward = on_forward,
};

G_GNUC_UNUSED static void
start_owner(struct sim *sim, unsigned int i)
{
	struct owner *o = &sim->owner[i];

	o->sim = sim;
	o->live = true;
	o->write_limit.writes_s = 1000;
	g_snprintf(o->id, sizeof(o->id), "e%u", i);
	o->clm = clm_new(o->id, &o->write_limit, &ops, o);
}

G_GNUC_UNUSED static void
stop_owner(struct sim *sim, unsigned int i)
{
	struct owner *o = &sim->owner[i];

	clm_free(o->clm);
	g_clear_pointer(&o->write_value, g_free);
	o->reading = false;
	o->live = false;
	o->clm = NULL;
}

G_GNUC_UNUSED static void
sim_init(struct sim *sim)
{
	unsigned int i;

	memset(sim, 0, sizeof(*sim));
	sim->now_us = 50000 * MS;
	for (i = 0; i < OWNERS; i++)
		start_owner(sim, i);
}

G_GNUC_UNUSED static void
sim_free(struct sim *sim)
{
	unsigned int i;

	for (i = 0; i < OWNERS; i++)
		stop_owner(sim, i);
	g_free(sim->value);
}

/* Applies the write if its version matches; returns whether it did. */
G_GNUC_UNUSED static bool
apply_write(struct sim *sim, const char *value, uint64_t if_version)
{
	if (sim->version != if_version)
		return false;
	g_free(sim->value);
	sim->value = g_strdup(value);
	sim->version++;
	return true;
}

G_GNUC_UNUSED static void
complete_read(struct owner *o)
{
	struct sim *sim = o->sim;

	if (!o->reading)
		return;
	o->reading = false;
	clm_read_done(o->clm, sim->down, sim->version, sim->value, sim->now_us);
}

G_GNUC_UNUSED static void
complete_write(struct owner *o)
{
	struct sim *sim = o->sim;
	char *value = g_steal_pointer(&o->write_value);
	bool applied;

	if (value == NULL)
		return;
	applied = !sim->down && apply_write(sim, value, o->if_version);
	clm_write_done(o->clm,
	    sim->down     ? CLM_WRITE_UNKNOWN
		: applied ? CLM_WRITE_APPLIED
			  : CLM_WRITE_CONFLICT,
	    sim->version, sim->now_us);
	g_free(value);
}

/* Loses the answer to a write; `applied`: the write took effect. */
G_GNUC_UNUSED static void
lose_answer(struct owner *o, bool applied)
{
	char *value = g_steal_pointer(&o->write_value);

	assert_non_null(value);
	if (applied)
		assert_true(apply_write(o->sim, value, o->if_version));
	clm_write_done(o->clm, CLM_WRITE_UNKNOWN, 0, o->sim->now_us);
	g_free(value);
}

G_GNUC_UNUSED static void
advance(struct sim *sim, int64_t ms)
{
	unsigned int i;

	sim->now_us += ms * MS;
	for (i = 0; i < OWNERS; i++) {
		if (sim->owner[i].clm != NULL)
			clm_tick(sim->owner[i].clm, sim->now_us);
	}
}

/* Runs time and the API for `ms`. */
G_GNUC_UNUSED static void
run_for(struct sim *sim, unsigned int ms)
{
	unsigned int i;

	for (; ms > 0; ms -= MIN(ms, 10)) {
		for (i = 0; i < OWNERS; i++) {
			complete_read(&sim->owner[i]);
			complete_write(&sim->owner[i]);
		}
		advance(sim, MIN(ms, 10));
	}
}

G_GNUC_UNUSED static void
request_claim(struct sim *sim, unsigned int at, struct request *t,
    const char *key, const char *claimant, const char *body)
{
	memset(t, 0, sizeof(*t));
	t->result = PENDING;
	t->base.key = key;
	t->base.claimant = claimant;
	t->base.keep_ms = 30000;
	t->base.until_us = sim->now_us + 5000 * MS;
	digest_of(body, strlen(body), &t->base.body);
	clm_request(sim->owner[at].clm, &t->base, sim->now_us);
}

G_GNUC_UNUSED static void
settle(struct sim *sim, unsigned int at, const char *key, const char *claimant,
    enum verdict verdict)
{
	const struct clm_outcome outcome = {
		.verdict = verdict,
		.status = 200,
		.type = "text/plain",
		.answer = "booked \"run\" 7\n",
	};

	clm_settle(sim->owner[at].clm, key, claimant, &outcome, sim->now_us);
}

G_GNUC_UNUSED static unsigned int
write_count(const struct sim *sim, unsigned int at)
{
	struct clm_stats stats;

	clm_stats(sim->owner[at].clm, &stats);
	return (unsigned int)stats.writes;
}

#endif
