/* The gateways that send this keeper their desired state, and the status
 * reports to them. */

#include <string.h>

#include "serve/rate.h"
#include "serve/side.h"
#include "side/keeper.h"

/* A gateway that has sent nothing for this long gets no more reports. */
#define GATEWAY_TIMEOUT_US 3000000
/* An unchanged status is reported again at this interval, so that gateways can
 * judge a status by its age and detect a keeper that does not respond. */
#define REPORT_REPEAT_US 250000
/* Minimum time between two reports of a changed load to a local gateway. */
#define REPORT_LOCAL_US 25000
/*
 * Gateways of remote regions learn the engine's load from those of the local
 * region, which relay it for all engines of the region together. The keeper
 * itself reports to them at once if a change decides whether requests can go to
 * the engine at all, and otherwise at this interval, in case that report was
 * lost.
 */
#define REPORT_REMOTE_US 1000000
/* The minimum for a changed load while the local region has no gateway that
 * could relay it. */
#define REPORT_REMOTE_ALONE_US 150000

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

/* Sends the current state to a gateway that is new or has restarted. Its next
 * status report is due at once. */
static void
send_initial_state(struct keeper *k, struct keeper_gateway *gateway)
{
	gateway->reported_us = 0;
	keeper_send_terminations(k, gateway->address);
	keeper_send_rates(k, gateway->address);
}

/* Sends a gateway's process the account of the one before, if it wants it. */
static void
note_account(
    struct keeper *k, const char *from, const struct side_desired *desired)
{
	struct side_account copy;

	acct_copies_heard(&k->accounts, from, desired->start, keeper_now(k));
	if (desired->wants_account &&
	    acct_copies_get(
		&k->accounts, from, desired->start, keeper_now(k), &copy))
		dgram_send(k->dgram, from, &side_account_desc, &copy);
}

static void
note_gateway(
    struct keeper *k, const char *from, const struct side_desired *desired)
{
	struct keeper_gateway fresh = { .start = desired->start,
		.received_us = keeper_now(k),
		.store_down = desired->store_down != 0 };
	struct keeper_gateway *known = find_gateway(k, from);
	char region[KEEPER_NAME_MAX];

	note_account(k, from, desired);
	if (known != NULL) {
		known->received_us = keeper_now(k);
		known->store_down = desired->store_down != 0;
		if (known->start != desired->start)
			send_initial_state(k, known);
		known->start = desired->start;
		return;
	}
	if (k->gateways->len == KEEPER_GATEWAYS_MAX) {
		ctr_add(ctr_get(k->st.counters, "gateways_left_out"), 1);
		return;
	}
	slice_copy(desired->region, region, sizeof(region));
	fresh.local = strcmp(region, cfg_str(k->st.cfg, "node.region")) == 0;
	g_strlcpy(fresh.address, from, sizeof(fresh.address));
	g_array_append_val(k->gateways, fresh);
	send_initial_state(k, gateway_at(k, k->gateways->len - 1));
}

static void
drop_timed_out(struct keeper *k)
{
	guint i = 0;

	while (i < k->gateways->len) {
		if (keeper_now(k) - gateway_at(k, i)->received_us >
		    GATEWAY_TIMEOUT_US)
			g_array_remove_index_fast(k->gateways, i);
		else
			i++;
	}
}

unsigned int
keeper_local_gateways(const struct keeper *k)
{
	unsigned int local = 0;
	guint i;

	for (i = 0; i < k->gateways->len; i++)
		local +=
		    g_array_index(k->gateways, struct keeper_gateway, i).local;
	return local;
}

bool
keeper_has_gateways(const struct keeper *k)
{
	return k->gateways->len > 0;
}

/* ------------------------------------------------------------------ */
/* Status reports                                                      */
/* ------------------------------------------------------------------ */

static enum side_engine
engine_state(const struct keeper *k)
{
	if (!k->up)
		return SIDE_ENGINE_DOWN;
	if (k->engine.busy || k->ordered_us != 0 || k->drain_us != 0 ||
	    k->proof.unproved)
		return SIDE_ENGINE_LOADING;
	return SIDE_ENGINE_UP;
}

static struct digest
own_root(const struct keeper *k)
{
	struct digest none = { 0 };

	if (k->newest == NULL || !k->newest->origin_root)
		return none;
	return k->newest->wts.root;
}

/* Rounded up to steps, as each rise is reported at once. */
static unsigned int
inbound_ms(const struct keeper *k)
{
	int64_t step_us = SIDE_INBOUND_STEP_MS * 1000;

	return (unsigned int)((k->inbound.us + step_us - 1) / step_us) *
	    SIDE_INBOUND_STEP_MS;
}

static struct keeper_status
current_status(const struct keeper *k)
{
	return (struct keeper_status){
		.engine = engine_state(k),
		.loaded = k->loaded,
		.wanted = k->newest == NULL ? 0 : k->newest->version,
		.root = own_root(k),
		.running = k->engine.running,
		.waiting = k->engine.waiting,
		.slow_link = wts_is_link_slow(k->wts),
		.inbound_ms = inbound_ms(k),
		.limit_known = k->permits.known,
		.limit = k->permits.limit,
		.silent = k->silent,
		.uncertain = prf_is_uncertain(&k->proof),
		.starting = keeper_is_starting(k),
	};
}

/* Whether a change is reported at once: it decides whether requests can go to
 * the engine at all. */
static bool
state_differs(const struct keeper_status *a, const struct keeper_status *b)
{
	return a->engine != b->engine || a->loaded != b->loaded ||
	    a->wanted != b->wanted || !digest_equal(&a->root, &b->root) ||
	    a->slow_link != b->slow_link || a->limit_known != b->limit_known ||
	    a->limit != b->limit || a->silent != b->silent ||
	    a->uncertain != b->uncertain || a->starting != b->starting;
}

/* Whether `a` has a changed load since `b`. */
static bool
load_differs(const struct keeper_status *a, const struct keeper_status *b)
{
	return a->running != b->running || a->waiting != b->waiting ||
	    a->inbound_ms > b->inbound_ms;
}

/* Which gateways get a status report now. */
struct report_plan {
	bool at_once; /* all gateways */
	/* Those whose last report is at least this old. */
	int64_t local_us, remote_us;
};

static struct report_plan
plan_reports(const struct keeper *k, const struct keeper_status *status)
{
	bool changed = load_differs(status, &k->reported);
	struct report_plan plan = {
		.at_once = state_differs(status, &k->reported),
		.local_us = changed ? REPORT_LOCAL_US : REPORT_REPEAT_US,
		.remote_us = REPORT_REMOTE_US,
	};

	if (keeper_local_gateways(k) == 0)
		plan.remote_us =
		    changed ? REPORT_REMOTE_ALONE_US : REPORT_REPEAT_US;
	return plan;
}

static bool
is_due(const struct keeper *k, const struct report_plan *plan,
    const struct keeper_gateway *g)
{
	return plan->at_once ||
	    keeper_now(k) - g->reported_us >=
	    (g->local ? plan->local_us : plan->remote_us);
}

static uint64_t
age_ms(const struct keeper *k, int64_t since_us)
{
	return (uint64_t)MAX(0, keeper_now(k) - since_us) / 1000;
}

/* Fills in the wanted versions and the time since their announcement. */
static void
fill_wanted(const struct keeper *k, struct side_report *report)
{
	const struct keeper_copy *newest = k->newest;
	int64_t older_due_us = 0;

	if (newest == NULL)
		return;
	report->wanted = (uint64_t)newest->version;
	report->wanted_age_ms = age_ms(k, newest->announced_us);
	if (newest->deadline_us == 0)
		return;
	report->older = (uint64_t)stg_deadlines_before(
	    &k->deadlines, newest->version, &older_due_us);
	if (report->older != 0)
		report->older_age_ms = age_ms(k,
		    older_due_us -
			(newest->deadline_us - newest->announced_us));
}

static void
fill_report(struct keeper *k, const struct keeper_status *status,
    struct side_report *report)
{
	guint i;

	*report = (struct side_report){
		.address = slice_str(cfg_str(k->st.cfg, "engine.address")),
		.engine = status->engine,
		.start_ms = (uint64_t)MAX(0, k->engine.start_ms),
		.running = status->running,
		.waiting = status->waiting,
		.version = (uint64_t)status->loaded,
		.slowdown_permille = (uint64_t)(k->engine.slowdown * 1000),
		.gateways = k->gateways->len,
		.local_gateways = keeper_local_gateways(k),
		.seq = k->report_seq,
		.slow_link = status->slow_link,
		.inbound_ms = status->inbound_ms,
		.limit_known = status->limit_known,
		.limit_milli = rate_to_milli(status->limit),
		.silent = status->silent,
		.uncertain = status->uncertain,
		.starting = status->starting,
		.sharers = acct_copies_sharers(&k->accounts, keeper_now(k)),
	};
	for (i = 0; i < k->gateways->len; i++)
		report->without_store += gateway_at(k, i)->store_down;
	fill_wanted(k, report);
	if (!digest_is_none(&status->root))
		report->root =
		    (struct slice){ status->root.bytes, DIGEST_BYTES };
}

/* Names a gateway of a remote region in the report, the next one each time. */
static void
name_remote_gateway(struct keeper *k, struct side_report *report)
{
	const struct keeper_gateway *g;
	guint i;

	for (i = 0; i < k->gateways->len; i++) {
		k->remote_gateway = (k->remote_gateway + 1) % k->gateways->len;
		g = gateway_at(k, k->remote_gateway);
		if (g->local)
			continue;
		report->remote_gateway = slice_str(g->address);
		return;
	}
}

/* Sends `report` to the gateways of the local region, or of the remote ones,
 * to which one is due. True: at least one was sent. */
static bool
send_report(struct keeper *k, const struct report_plan *plan, bool local,
    const struct side_report *report)
{
	GByteArray *packed = NULL;
	struct keeper_gateway *g;
	bool sent = false;
	guint i;

	for (i = 0; i < k->gateways->len; i++) {
		g = gateway_at(k, i);
		if (g->local != local || !is_due(k, plan, g))
			continue;
		if (packed == NULL)
			packed =
			    dgram_pack(k->dgram, &side_report_desc, report);
		if (packed == NULL)
			break;
		dgram_send_packed(
		    k->dgram, g->address, &side_report_desc, packed);
		g->reported_us = keeper_now(k);
		sent = true;
	}
	if (packed != NULL)
		g_byte_array_unref(packed);
	return sent;
}

void
keeper_send_status(struct keeper *k)
{
	struct keeper_status status;
	struct report_plan plan;
	struct side_report report;
	bool sent_remote;

	drop_timed_out(k);
	if (!k->had_engine)
		return;
	stg_inbound_note(&k->inbound, wts_inbound_us(k->wts), keeper_now(k));
	status = current_status(k);
	if (status.slow_link != k->reported.slow_link)
		evt(EVT_WEIGHTS, "step=link slow=%d", status.slow_link);
	/* From now on gateways mean a doubt of this process. */
	k->has_doubted = k->has_doubted || status.uncertain;
	if (status.uncertain && status.starting) {
		k->settled_us = keeper_now(k);
		status.starting = false;
	}
	plan = plan_reports(k, &status);
	k->report_seq++;
	fill_report(k, &status, &report);
	sent_remote = send_report(k, &plan, false, &report);
	name_remote_gateway(k, &report);
	/* A change that is not due yet stays pending until it is reported. */
	if (send_report(k, &plan, true, &report) || plan.at_once ||
	    (sent_remote && keeper_local_gateways(k) == 0))
		k->reported = status;
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
	struct side_desired desired;
	struct side_roster_page page;
	struct side_rate rate;
	struct side_terminations terminations;
	struct side_account account;

	if (msg_read(m, &side_desired_desc, &desired, NULL)) {
		note_gateway(k, from, &desired);
		keeper_take_desired(k, from, &desired);
	} else if (msg_read(m, &side_roster_page_desc, &page, NULL))
		keeper_take_page(k, &page);
	else if (msg_read(m, &side_rate_desc, &rate, NULL))
		keeper_take_rate(k, from, &rate);
	else if (msg_read(m, &side_account_desc, &account, NULL))
		acct_copies_put(&k->accounts, from, &account, keeper_now(k));
	else if (msg_read(m, &side_terminations_desc, &terminations, NULL))
		keeper_take_terminations(k, &terminations);
}

bool
keeper_gateways_open(struct keeper *k, struct err *err)
{
	k->gateways = g_array_new(FALSE, FALSE, sizeof(struct keeper_gateway));
	k->roster = roster_new();
	acct_copies_init(&k->accounts);
	keeper_rate_open(k);
	keeper_terminations_open(k);
	k->peers = g_array_new(FALSE, TRUE, sizeof(struct keeper_peer));
	k->dgram = dgram_open(&k->st.node, cfg_str(k->st.cfg, "listen.peers"),
	    on_message, k, err);
	return k->dgram != NULL;
}
