/* Rate limits, and permits for gateways: of this keeper's engine, and of
 * targets that have no keeper. */

#include <string.h>

#include "serve/rate.h"
#include "serve/side.h"
#include "side/keeper.h"

/* A pool of another target is dropped after this time without a report. */
#define POOL_IDLE_US 10000000
/* Targets without a keeper that state a limit; few services have such
 * targets. */
#define POOLS_MAX 1024

/* Permits for one of the other targets. */
struct keeper_pool {
	struct permits permits;
	int64_t reported_us;
};

static void
pool_free(gpointer data)
{
	struct keeper_pool *pool = data;

	permits_clear(&pool->permits);
	g_free(pool);
}

static bool
is_own_engine(const struct keeper *k, const char *address)
{
	return strcmp(address, cfg_str(k->st.cfg, "engine.address")) == 0;
}

/* NULL: POOLS_MAX is reached. */
static struct permits *
permits_of(struct keeper *k, const char *address)
{
	struct keeper_pool *pool;

	if (is_own_engine(k, address))
		return &k->permits;
	pool = g_hash_table_lookup(k->pools, address);
	if (pool == NULL) {
		if (g_hash_table_size(k->pools) == POOLS_MAX)
			return NULL;
		pool = g_new0(struct keeper_pool, 1);
		permits_init(&pool->permits);
		g_hash_table_insert(k->pools, g_strdup(address), pool);
	}
	pool->reported_us = keeper_now(k);
	return &pool->permits;
}

static void
log_limit(const char *address, const struct permits *p, double before)
{
	evt(EVT_LIMIT, "address=%s limit=%.2f before=%.2f from=gateway",
	    address, p->limit, before);
}

static void
issue_permits(struct keeper *k, const char *address, struct permits *p)
{
	struct side_permit permit = { .address = slice_str(address) };
	char gateway[PERMIT_GATEWAY_MAX];

	while (permits_next(p, gateway, keeper_now(k))) {
		ctr_add(ctr_get(k->st.counters, "permits_given"), 1);
		dgram_send(k->dgram, gateway, &side_permit_desc, &permit);
	}
}

void
keeper_take_rate(
    struct keeper *k, const char *from, const struct side_rate *rate)
{
	struct permit_report report = {
		.limit = rate_of_milli(rate->limit_milli),
		.since_us = keeper_now(k) - (int64_t)rate->age_ms * 1000,
		.direct = rate->direct != 0,
	};
	char address[KEEPER_ADDRESS_MAX];
	struct permits *p;
	double before;

	slice_copy(rate->address, address, sizeof(address));
	p = permits_of(k, address);
	if (p == NULL)
		return;
	before = p->limit;
	if (permits_reported(p, &report, keeper_now(k))) {
		log_limit(address, p, before);
		keeper_send_status(k);
	}
	if (rate->want_permit)
		permits_ask(p, from, keeper_now(k));
	issue_permits(k, address, p);
}

static void
tick_pool(struct keeper *k, const char *address, struct permits *p)
{
	double before = p->limit;

	if (permits_advance(p, keeper_now(k)))
		log_limit(address, p, before);
	issue_permits(k, address, p);
}

void
keeper_rate_tick(struct keeper *k)
{
	struct keeper_pool *pool;
	gpointer address, value;
	GHashTableIter iter;

	tick_pool(k, cfg_str(k->st.cfg, "engine.address"), &k->permits);
	g_hash_table_iter_init(&iter, k->pools);
	while (g_hash_table_iter_next(&iter, &address, &value)) {
		pool = value;
		if (keeper_now(k) - pool->reported_us > POOL_IDLE_US)
			g_hash_table_iter_remove(&iter);
		else
			tick_pool(k, address, &pool->permits);
	}
}

void
keeper_send_rates(struct keeper *k, const char *gateway)
{
	struct side_rate rate = { 0 };
	const struct keeper_pool *pool;
	gpointer address, value;
	GHashTableIter iter;

	g_hash_table_iter_init(&iter, k->pools);
	while (g_hash_table_iter_next(&iter, &address, &value)) {
		pool = value;
		if (pool->permits.limit == 0)
			continue;
		rate.address = slice_str(address);
		rate.limit_milli = rate_to_milli(pool->permits.limit);
		dgram_send(k->dgram, gateway, &side_rate_desc, &rate);
	}
}

void
keeper_rate_open(struct keeper *k)
{
	permits_init(&k->permits);
	k->pools =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, pool_free);
}
