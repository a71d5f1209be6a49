/*
 * One agree node: performs the I/O for the decisions of the membership,
 * settings and lease modules.
 */

#include <string.h>

#include "agree/agr_internal.h"

#define HOSTS_PAUSE_US (INT64_C(30) * G_USEC_PER_SEC)
#define HOSTS_DEADLINE_MS 3000

int64_t
agr_now_us(const struct agr *agr)
{
	return clk_now_us(agr->clock);
}

/* ------------------------------------------------------------------ */
/* Membership                                                          */
/* ------------------------------------------------------------------ */

static void
on_send(const char *to, enum mem_type type, const struct mem_msg *m, void *ctx)
{
	struct agr *agr = ctx;

	/* agr_new() creates mem before it opens the socket. */
	if (agr->dgram != NULL)
		dgram_send(agr->dgram, to, mem_msg_desc(type), m);
}

static void
on_changed(const struct mem_member *member, void *ctx)
{
	struct agr *agr = ctx;

	agr->members_changed = true;
	if (agr->ops->member_changed != NULL)
		agr->ops->member_changed(member, agr->ctx);
}

static void
on_note(const struct mem_note *note, const char *from, void *ctx)
{
	struct agr *agr = ctx;

	if (note->kind == MEM_NOTE_BRANCH)
		agr_settings_on_note(agr, note, from);
	else
		agr_roles_on_note(agr, note);
}

static void
on_settings_differ(const char *address, uint64_t settings, void *ctx)
{
	agr_settings_digest_differs(ctx, address);
}

static void
on_sync(const char *address, void *ctx)
{
	agr_pull(ctx, PULL_MEMBERS, address);
}

static const struct mem_ops mem_ops = {
	.send = on_send,
	.changed = on_changed,
	.note_received = on_note,
	.settings_differ = on_settings_differ,
	.sync = on_sync,
};

static void
on_datagram(const char *from, const struct msg *m, void *ctx)
{
	struct agr *agr = ctx;
	const struct msg_desc *desc = mem_msg_desc(m->type);
	struct mem_msg message;

	if (desc != NULL && msg_read(m, desc, &message, NULL))
		mem_receive(agr->mem, agr_now_us(agr), from, m->type, &message);
}

/*
 * The host list may be out of date, so an address from it is only probed, not
 * added as a member.
 */
static void
on_host_list(
    const struct hosts_entry *hosts, size_t n, const struct err *err, void *ctx)
{
	struct agr **call = ctx, *agr = *call;

	g_free(call);
	if (agr == NULL)
		return;
	agr->hosts_call = NULL;
	if (err == NULL && n > 0)
		mem_hint(agr->mem, hosts[rng_below(&agr->rng, n)].address);
}

static void
request_host_list(struct agr *agr, int64_t now_us)
{
	if (agr->conf.hosts == NULL || now_us < agr->next_hosts_us ||
	    agr->hosts_call != NULL)
		return;
	/*
	 * Each node asks with probability 1/n, so that all nodes together make
	 * about one call per pause.
	 */
	agr->next_hosts_us = now_us + HOSTS_PAUSE_US;
	if (rng_below(&agr->rng, mem_count(agr->mem)) > 0)
		return;
	agr->hosts_call = g_new(struct agr *, 1);
	*agr->hosts_call = agr;
	hosts_get(agr->conf.plat, agr->conf.hosts, HOSTS_DEADLINE_MS,
	    on_host_list, agr->hosts_call);
}

/* ------------------------------------------------------------------ */
/* Creation and shutdown                                               */
/* ------------------------------------------------------------------ */

static gboolean
on_tick(gpointer data)
{
	struct agr *agr = data;
	int64_t now_us = agr_now_us(agr);

	if (agr->watch_works)
		mem_set_fresh(agr->mem, now_us);
	mem_tick(agr->mem, now_us);
	if (agr->members_changed) {
		agr->members_changed = false;
		agr_settings_members_changed(agr);
		agr_roles_members_changed(agr);
		ctr_put(agr->members, mem_count(agr->mem));
	}
	agr_settings_tick(agr, now_us);
	agr_roles_tick(agr, now_us);
	request_host_list(agr, now_us);
	ctr_put(agr->age_ms, mem_age_ms(agr->mem, now_us));
	return G_SOURCE_CONTINUE;
}

static void
open_counters(struct agr *agr)
{
	struct ctr_set *set = agr->conf.node->counters;

	agr->pulls_count = ctr_get(set, "agree_settings_pulls");
	agr->refused_branches = ctr_get(set, "agree_refused_branches");
	agr->sync_count = ctr_get(set, "agree_table_syncs");
	agr->members = ctr_get(set, "agree_members");
	agr->age_ms = ctr_get(set, "agree_settings_age_ms");
	agr->lease_refused = ctr_get(set, "agree_refused_claims");
}

struct agr *
agr_new(const struct agr_conf *conf, const struct agr_ops *ops, void *ctx,
    struct err *err)
{
	struct agr *agr = g_new0(struct agr, 1);
	struct mem_conf mem_conf;

	agr->conf = *conf;
	agr->seeds = g_strdupv((char **)conf->seeds);
	agr->conf.objects = g_strdup(conf->objects);
	agr->conf.hosts = g_strdup(conf->hosts);
	agr->conf.charts = NULL;
	agr->ops = ops;
	agr->ctx = ctx;
	agr->clock = conf->node->clock;
	rng_seed(&agr->rng, conf->seed);
	agr->conf.self.incarnation = (uint64_t)clk_wall_us(agr->clock) / 1000;
	agr->started_us = agr_now_us(agr);
	agr->answered_peers =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	open_counters(agr);
	agr->inf = inf_new();
	agr->obj = obj_new(conf->plat, conf->objects);
	agr->lease_chart = lse_chart(
	    conf->charts == NULL ? SOURCE_DIR "/charts" : conf->charts, err);
	mem_conf = (struct mem_conf){
		.self = agr->conf.self,
		.gossip_ms = conf->gossip_ms,
		.suspect_ms = conf->suspect_ms,
		.seeds = (const char *const *)agr->seeds,
		.seed = conf->seed,
	};
	agr->mem = mem_new(&mem_conf, &mem_ops, agr, agr->started_us);
	agr->members_changed = true;
	if (agr->lease_chart != NULL) {
		agr->dgram = dgram_open(
		    conf->node, conf->self.address, on_datagram, agr, err);
	}
	if (agr->dgram == NULL) {
		agr_free(agr);
		return NULL;
	}
	agr->timer = g_timeout_add(MEM_TICK_MS, on_tick, agr);
	return agr;
}

void
agr_free(struct agr *agr)
{
	if (agr == NULL)
		return;
	agr->closing = true;
	if (agr->hosts_call != NULL)
		*agr->hosts_call = NULL; /* on_host_list() then ignores it */
	if (agr->timer != 0)
		g_source_remove(agr->timer);
	agr_settings_stop(agr);
	agr_pulls_drop(agr);
	agr_fencing_stop(agr);
	/* also ends the calls of roles and fencing checks */
	obj_free(agr->obj);
	agr_roles_free(agr);
	dgram_free(agr->dgram);
	mem_free(agr->mem);
	inf_free(agr->inf);
	chart_free(agr->lease_chart);
	g_hash_table_unref(agr->answered_peers);
	g_strfreev(agr->seeds);
	g_free((char *)agr->conf.objects);
	g_free((char *)agr->conf.hosts);
	g_free(agr);
}

void
agr_leave(struct agr *agr)
{
	agr_roles_leave(agr);
	mem_leave(agr->mem, agr_now_us(agr));
}

/* ------------------------------------------------------------------ */
/* Accessors                                                           */
/* ------------------------------------------------------------------ */

int64_t
agr_settings_age_ms(const struct agr *agr)
{
	return mem_age_ms(agr->mem, agr_now_us(agr));
}

bool
agr_is_ready(const struct agr *agr)
{
	return agr->ready;
}

void
agr_each_member(struct agr *agr, mem_each_cb *each, void *ctx)
{
	mem_each(agr->mem, each, ctx);
}

const struct mem_member *
agr_member(struct agr *agr, const char *id)
{
	return mem_find(agr->mem, id);
}
