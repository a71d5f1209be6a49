/* Status reports of sidecars: the load of engines and their weights. */

#include <string.h>

#include "entry/gateway.h"

static void
note_gateways(struct gateway *g, unsigned int n)
{
	if (n == 0)
		return;
	g->gateways = n;
	tgt_set_policy(g->set)->gateways = n;
}

/* Stores the root digest that the sidecar reported; true if it is new. */
static bool
note_root(struct tgt *t, const struct side_report *report)
{
	struct digest root;

	if (report->root.len != DIGEST_BYTES)
		return false;
	memcpy(root.bytes, report->root.data, DIGEST_BYTES);
	if (t->root_version == (int64_t)report->wanted &&
	    digest_equal(&t->root, &root))
		return false;
	t->root = root;
	t->root_version = (int64_t)report->wanted;
	return true;
}

/* True if the latest report completes the votes for a root: the desired state
 * is then sent at once. */
static bool
completes_votes(struct gateway *g, const struct tgt *t)
{
	struct digest root = gateway_agreed_root(t->service, t->root_version);
	const struct tgt *other;
	unsigned int votes = 0;

	if (digest_is_none(&root))
		return false;
	TAILQ_FOREACH (other, &t->service->targets, link)
		votes += other->root_version == t->root_version;
	return votes == GATEWAY_ROOT_VOTES;
}

static const char *
engine_name(const struct side_report *report)
{
	if (report->engine == SIDE_ENGINE_LOADING)
		return "loading";
	if (report->engine != SIDE_ENGINE_UP)
		return "down";
	return report->silent ? "silent" : "up";
}

/* The engine left its sidecar's reports unanswered, or answers them again. */
static void
note_silence(struct gateway *g, struct tgt *t, bool silent)
{
	int64_t now_us = evl_now_us(g->st.loop);

	if (t->side_silent_us != 0 && !silent)
		tgt_heard(t, now_us);
	tgt_set_side_silent(t, silent, now_us);
}

static void
note_engine(struct gateway *g, struct tgt *t, const struct side_report *report)
{
	int64_t now_us = evl_now_us(g->st.loop);
	bool down = report->engine != SIDE_ENGINE_UP;
	bool was_terminated = t->terminated;
	bool had_settled = t->service->side_settled;
	int64_t version = t->version;

	tgt_side_version(t, report);
	/* Sidecars that are starting wait longer then. */
	if (!had_settled && t->service->side_settled)
		gateway_desired_changed(g);
	if (down != t->side_down ||
	    (report->silent != 0) != (t->side_silent_us != 0) ||
	    version != t->version)
		evt(EVT_SIDE,
		    "target=%s engine=%s version=%" G_GINT64_FORMAT
		    " running=%" G_GUINT64_FORMAT,
		    t->record.id, engine_name(report), t->version,
		    report->running);
	tgt_set_side_down(t, down, now_us);
	note_silence(g, t, report->silent != 0);
	t->terminated = report->engine == SIDE_ENGINE_DOWN;
	if (t->terminated && !was_terminated)
		fwd_target_terminated(g->fwd, t);
	tgt_set_slowdown(t, report->slowdown_permille);
}

/* Notes a version that a sidecar learned of `age_ms` ago. The first version is
 * never announced: engines have it from the start. */
static void
note_announced(
    struct gateway *g, const char *model, uint64_t version, uint64_t age_ms)
{
	int64_t announced_us =
	    evl_heard_us(g->st.loop) - (int64_t)age_ms * 1000;

	if (version <= VERS_FIRST)
		return;
	if (!vers_reported(g->announced, model, (int64_t)version, announced_us))
		return;
	fwd_versions_changed(g->fwd);
	evt(EVT_VERSION,
	    "model=%s version=%" G_GUINT64_FORMAT
	    " from=keeper age_ms=%" G_GUINT64_FORMAT,
	    model, version, age_ms);
}

/*
 * A gateway that starts after a version was announced does not know when, and
 * would refuse engines that may still serve. Of two pending versions it knows
 * only the newest, and would use engines that may no longer serve. A gateway
 * whose watch is stalled knows of neither. Sidecars have received the
 * announcements from other gateways.
 */
static void
note_announcements(struct gateway *g, const struct tgt_service *service,
    const struct side_report *report)
{
	const char *model = service->engine.model;

	note_announced(g, model, report->wanted, report->wanted_age_ms);
	note_announced(g, model, report->older, report->older_age_ms);
}

static void
take_report(struct gateway *g, const struct side_report *report)
{
	char address[SV_ADDRESS_MAX];
	int64_t now_us = evl_now_us(g->st.loop);
	struct tgt *t;

	slice_copy(report->address, address, sizeof(address));
	t = tgt_by_address(g->set, address);
	if (t == NULL || tgt_side_is_outdated(t, (uint32_t)report->seq, now_us))
		return;
	t = gateway_target_replaced(
	    g, t, tgt_side_started(g->set, t, (int64_t)report->start_ms));
	note_engine(g, t, report);
	tgt_side_reported(t, (uint32_t)report->seq, now_us);
	tgt_set_load(
	    t, (unsigned int)(report->running + report->waiting), now_us);
	gateway_rate_reported(g, t, report);
	note_gateways(g, (unsigned int)report->gateways);
	gateway_account_reported(g, t, report);
	t->region_gateways = (unsigned int)report->local_gateways;
	t->slow_link = report->slow_link != 0;
	t->inbound_us = (int64_t)report->inbound_ms * 1000;
	if (t->local) {
		g->local_gateways = (unsigned int)report->local_gateways;
		gateway_relay_add_gateway(g, report);
	}
	gateway_outage_reported(g, report);
	note_announcements(g, t->service, report);
	if (note_root(t, report) && completes_votes(g, t))
		gateway_desired_changed(g);
}

static void
on_message(const char *from, const struct msg *m, void *ctx)
{
	struct gateway *g = ctx;
	struct side_report report;
	struct side_relay relay;
	struct side_roster_request request;
	struct side_permit permit;
	struct side_terminations terminations;
	struct side_rate rate;
	struct side_account account;

	if (msg_read(m, &side_report_desc, &report, NULL))
		take_report(g, &report);
	else if (msg_read(m, &side_relay_desc, &relay, NULL))
		gateway_relay_received(g, &relay);
	else if (msg_read(m, &side_permit_desc, &permit, NULL))
		gateway_rate_permit(g, &permit);
	else if (msg_read(m, &side_rate_desc, &rate, NULL))
		gateway_rate_relayed(g, &rate);
	else if (msg_read(m, &side_terminations_desc, &terminations, NULL))
		gateway_terminations_received(g, &terminations);
	else if (msg_read(m, &side_account_desc, &account, NULL))
		gateway_account_received(g, from, &account);
	else if (msg_read(m, &side_roster_request_desc, &request, NULL))
		gateway_roster_requested(g, from, &request);
	fwd_pump(g->fwd);
}

bool
gateway_peers_open(struct gateway *g, struct err *err)
{
	g->peers = dgram_open(&g->st.node, cfg_str(g->st.cfg, "listen.peers"),
	    on_message, g, err);
	gateway_desired_open(g);
	gateway_relay_open(g);
	gateway_rate_open(g);
	gateway_terminations_open(g);
	gateway_account_open(g);
	return g->peers != NULL;
}
