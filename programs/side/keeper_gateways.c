/* The gateways that speak to this keeper, and the engine's load for them. */

#include <string.h>

#include "serve/rate.h"
#include "serve/side.h"
#include "side/keeper.h"

/* A gateway that has said nothing for so long is told nothing more. */
#define GATEWAY_SILENT_US 3000000
/* A load that has not changed is told again this often, so that its age and
 * the keeper's silence mean something. */
#define TELL_AGAIN_US 250000
/* Least time between two loads for a gateway. */
#define TELL_NEAR_US 25000
/*
 * Gateways of other regions hear how full the engine is from those of this
 * region, for all engines here at once. They hear from the keeper itself when
 * that changes whether requests can go here at all, and this often, so that a
 * change that was lost is made up for.
 */
#define TELL_FAR_US 1000000
/* The same while no gateway of this region is there to tell them. */
#define TELL_ALONE_US 150000

/* ------------------------------------------------------------------ */
/* Gateways                                                            */
/* ------------------------------------------------------------------ */

static struct keeper_gateway *
gateway_at(struct keeper *k, guint i)
{
	return &g_array_index(k->gateways, struct keeper_gateway, i);
}

static struct keeper_gateway *
find_gateway(struct keeper *k, const char *address)
{
	guint i;

	for (i = 0; i < k->gateways->len; i++) {
		if (strcmp(gateway_at(k, i)->address, address) == 0)
			return gateway_at(k, i);
	}
	return NULL;
}

/* A gateway that knows nothing yet. Its next load is due at once. */
static void
greet(struct keeper *k, struct keeper_gateway *gateway)
{
	gateway->reported_us = 0;
	keeper_send_terminations(k, gateway->address);
	keeper_send_rates(k, gateway->address);
}

static void
note_gateway(
    struct keeper *k, const char *from, const struct side_desired *view)
{
	struct keeper_gateway fresh = { .start = view->start,
		.received_us = keeper_now(k),
		.store_down = view->store_down != 0 };
	struct keeper_gateway *known = find_gateway(k, from);
	char region[KEEPER_NAME_MAX];

	if (known != NULL) {
		known->received_us = keeper_now(k);
		known->store_down = view->store_down != 0;
		if (known->start != view->start)
			greet(k, known);
		known->start = view->start;
		return;
	}
	if (k->gateways->len == KEEPER_GATEWAYS_MAX) {
		ctr_add(ctr_get(k->st.counters, "gateways_left_out"), 1);
		return;
	}
	slice_copy(view->region, region, sizeof(region));
	fresh.local = strcmp(region, cfg_str(k->st.cfg, "node.region")) == 0;
	g_strlcpy(fresh.address, from, sizeof(fresh.address));
	g_array_append_val(k->gateways, fresh);
	greet(k, gateway_at(k, k->gateways->len - 1));
}

static void
drop_silent(struct keeper *k)
{
	guint i = 0;

	while (i < k->gateways->len) {
		if (keeper_now(k) - gateway_at(k, i)->received_us >
		    GATEWAY_SILENT_US)
			g_array_remove_index_fast(k->gateways, i);
		else
			i++;
	}
}

unsigned int
keeper_local_gateways(const struct keeper *k)
{
	unsigned int near = 0;
	guint i;

	for (i = 0; i < k->gateways->len; i++)
		near +=
		    g_array_index(k->gateways, struct keeper_gateway, i).local;
	return near;
}

bool
keeper_has_gateways(const struct keeper *k)
{
	return k->gateways->len > 0;
}

/* ------------------------------------------------------------------ */
/* Loads                                                               */
/* ------------------------------------------------------------------ */

static enum side_engine
engine_state(const struct keeper *k)
{
	if (!k->up)
		return SIDE_ENGINE_DOWN;
	if (k->engine.busy || k->ordered_us != 0 || k->drain_us != 0)
		return SIDE_ENGINE_LOADING;
	return SIDE_ENGINE_UP;
}

static bool
has_own_root(const struct keeper *k)
{
	return k->newest != NULL && k->newest->origin_root;
}

static struct keeper_status
what_to_tell(const struct keeper *k)
{
	return (struct keeper_status){
		.engine = engine_state(k),
		.loaded = k->loaded,
		.wanted = k->newest == NULL ? 0 : k->newest->version,
		.origin_root = has_own_root(k),
		.running = k->engine.running,
		.waiting = k->engine.waiting,
		.slow_link = wts_is_narrow(k->wts),
		.limit_known = k->permits.known,
		.limit = k->permits.limit,
	};
}

/* What a gateway must hear at once: whether requests can go there at all. */
static bool
state_differs(const struct keeper_status *a, const struct keeper_status *b)
{
	return a->engine != b->engine || a->loaded != b->loaded ||
	    a->wanted != b->wanted || a->origin_root != b->origin_root ||
	    a->slow_link != b->slow_link || a->limit_known != b->limit_known ||
	    a->limit != b->limit;
}

static bool
load_differs(const struct keeper_status *a, const struct keeper_status *b)
{
	return a->running != b->running || a->waiting != b->waiting;
}

/* Which gateways hear a load at this moment. */
struct tell_plan {
	bool at_once; /* all of them */
	int64_t near_us, far_us; /* those that heard nothing for so long */
};

static struct tell_plan
plan_telling(const struct keeper *k, const struct keeper_status *now)
{
	bool changed = load_differs(now, &k->reported);
	struct tell_plan plan = {
		.at_once = state_differs(now, &k->reported),
		.near_us = changed ? TELL_NEAR_US : TELL_AGAIN_US,
		.far_us = TELL_FAR_US,
	};

	if (keeper_local_gateways(k) == 0)
		plan.far_us = changed ? TELL_ALONE_US : TELL_AGAIN_US;
	return plan;
}

static bool
is_due(const struct keeper *k, const struct tell_plan *plan,
    const struct keeper_gateway *g)
{
	return plan->at_once ||
	    keeper_now(k) - g->reported_us >=
	    (g->local ? plan->near_us : plan->far_us);
}

static uint64_t
age_ms(const struct keeper *k, int64_t since_us)
{
	return (uint64_t)MAX(0, keeper_now(k) - since_us) / 1000;
}

/* The versions that are wanted, and how long they are. */
static void
fill_wanted(const struct keeper *k, struct side_report *load)
{
	const struct keeper_copy *newest = k->newest;
	int64_t older_due_us = 0;

	if (newest == NULL)
		return;
	load->wanted = (uint64_t)newest->version;
	load->wanted_age_ms = age_ms(k, newest->announced_us);
	if (newest->deadline_us == 0)
		return;
	load->older = (uint64_t)stg_deadlines_before(
	    &k->deadlines, newest->version, &older_due_us);
	if (load->older != 0)
		load->older_age_ms = age_ms(k,
		    older_due_us -
			(newest->deadline_us - newest->announced_us));
}

static void
fill_load(
    struct keeper *k, const struct keeper_status *now, struct side_report *load)
{
	guint i;

	*load = (struct side_report){
		.address = slice_str(cfg_str(k->st.cfg, "engine.address")),
		.engine = now->engine,
		.start_ms = (uint64_t)MAX(0, k->engine.start_ms),
		.running = now->running,
		.waiting = now->waiting,
		.version = (uint64_t)now->loaded,
		.slowdown_permille = (uint64_t)(k->engine.slowdown * 1000),
		.gateways = k->gateways->len,
		.local_gateways = keeper_local_gateways(k),
		.seq = k->report_seq,
		.slow_link = now->slow_link,
		.limit_known = now->limit_known,
		.limit_milli = rate_to_milli(now->limit),
	};
	for (i = 0; i < k->gateways->len; i++)
		load->without_store += gateway_at(k, i)->store_down;
	fill_wanted(k, load);
	if (now->origin_root)
		load->root =
		    (struct slice){ k->newest->wts.root.bytes, DIGEST_BYTES };
}

/* Names a gateway of another region, the next one each time. */
static void
name_gateway(struct keeper *k, struct side_report *load)
{
	const struct keeper_gateway *g;
	guint i;

	for (i = 0; i < k->gateways->len; i++) {
		k->remote_gateway = (k->remote_gateway + 1) % k->gateways->len;
		g = gateway_at(k, k->remote_gateway);
		if (g->local)
			continue;
		load->remote_gateway = slice_str(g->address);
		return;
	}
}

/* Sends `load` to those of one side (near or far) that are due. */
static bool
tell(struct keeper *k, const struct tell_plan *plan, bool near,
    const struct side_report *load)
{
	GByteArray *packed = NULL;
	struct keeper_gateway *g;
	bool told = false;
	guint i;

	for (i = 0; i < k->gateways->len; i++) {
		g = gateway_at(k, i);
		if (g->local != near || !is_due(k, plan, g))
			continue;
		if (packed == NULL)
			packed = dgram_pack(k->dgram, &side_report_desc, load);
		if (packed == NULL)
			break;
		dgram_send_packed(
		    k->dgram, g->address, &side_report_desc, packed);
		g->reported_us = keeper_now(k);
		told = true;
	}
	if (packed != NULL)
		g_byte_array_unref(packed);
	return told;
}

void
keeper_send_status(struct keeper *k)
{
	struct keeper_status now = what_to_tell(k);
	struct tell_plan plan;
	struct side_report load;
	bool told_far;

	drop_silent(k);
	if (!k->had_engine)
		return;
	if (now.slow_link != k->reported.slow_link)
		evt(EVT_WEIGHTS, "step=link slow=%d", now.slow_link);
	plan = plan_telling(k, &now);
	k->report_seq++;
	fill_load(k, &now, &load);
	told_far = tell(k, &plan, false, &load);
	name_gateway(k, &load);
	/* A change that was not due yet stays one until it is told. */
	if (tell(k, &plan, true, &load) || plan.at_once ||
	    (told_far && keeper_local_gateways(k) == 0))
		k->reported = now;
}

void
keeper_send_all(
    struct keeper *k, const struct msg_desc *desc, const void *message)
{
	GByteArray *packed = dgram_pack(k->dgram, desc, message);
	guint i;

	for (i = 0; packed != NULL && i < k->gateways->len; i++)
		dgram_send_packed(
		    k->dgram, gateway_at(k, i)->address, desc, packed);
	if (packed != NULL)
		g_byte_array_unref(packed);
}

/* ------------------------------------------------------------------ */
/* Messages                                                            */
/* ------------------------------------------------------------------ */

static void
on_message(const char *from, const struct msg *m, void *ctx)
{
	struct keeper *k = ctx;
	struct side_desired view;
	struct side_roster_page page;
	struct side_rate rate;
	struct side_terminations ends;

	if (msg_read(m, &side_desired_desc, &view, NULL)) {
		note_gateway(k, from, &view);
		keeper_take_desired(k, from, &view);
	} else if (msg_read(m, &side_roster_page_desc, &page, NULL))
		keeper_take_page(k, &page);
	else if (msg_read(m, &side_rate_desc, &rate, NULL))
		keeper_take_rate(k, from, &rate);
	else if (msg_read(m, &side_terminations_desc, &ends, NULL))
		keeper_take_terminations(k, &ends);
}

bool
keeper_gateways_open(struct keeper *k, struct err *err)
{
	k->gateways = g_array_new(FALSE, FALSE, sizeof(struct keeper_gateway));
	k->roster = roster_new();
	keeper_rate_open(k);
	keeper_terminations_open(k);
	k->peers = g_array_new(FALSE, TRUE, sizeof(struct keeper_peer));
	k->dgram = dgram_open(&k->st.node, cfg_str(k->st.cfg, "listen.peers"),
	    on_message, k, err);
	return k->dgram != NULL;
}
