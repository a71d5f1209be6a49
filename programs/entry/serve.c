/* The entry process: start, active settings, graceful stop. */

#include <stdio.h>
#include <string.h>

#include "entry/entry.h"
#include "serve/side.h"
#include "shared/http.h"

/* Connections that may wait for accept. GLib's default of 10 overflows when a
 * batch of callers connects while the main loop is busy; TCP retries the
 * others only after a second, which looks like a slow answer. The kernel caps
 * this number. */
#define LISTEN_BACKLOG 4096
#define STOP_CHECK_MS 50
#define STOP_TIMEOUT_MS 60000 /* limit on the wait for open streams */
/* Requests that come later in a planned stop are refused: what was taken then could
 * be cut when the wait ends. */
#define STOP_BEGIN_MS 30000
/* The callers' load balancer polls /healthz. It gets this long to see
 * "draining" before requests are refused, so that a planned stop refuses
 * none. */
#define STOP_NOTICE_MS 1000
/* After the last answer, limit on the wait for callers that go on sending. */
#define STOP_QUIET_MS 1000

bool
entry_is_ready(const struct entry *entry)
{
	return agr_is_ready(entry->proc.agr);
}

const struct rt_workspace *
entry_workspace(const struct entry *entry, const char *name)
{
	return g_hash_table_lookup(entry->workspaces, name);
}

/* ------------------------------------------------------------------ */
/* Connections from other processes                                    */
/* ------------------------------------------------------------------ */

static void
send_events(struct entry *entry, struct conn *c, const struct msg *m)
{
	struct rt_events_get get;
	struct rt_events events = { 0 };
	char *json;

	if (!msg_read(m, &rt_events_get_desc, &get, NULL))
		return;
	json = proc_events_json(entry->proc.timeline, get.since, &events.next);
	events.json = slice_str(json);
	conn_send(c, &rt_events_desc, &events);
	g_free(json);
}

static void
on_message(struct conn *c, const struct msg *m, void *ctx)
{
	struct entry *entry = ctx;

	if (m->type == RT_EVENTS_GET)
		send_events(entry, c, m);
	else if (m->type == RT_DEMAND)
		gatekeeper_demand_received(entry, conn_peer(c), m);
	else if (m->type == RT_CLAIM || m->type == RT_CLAIM_SETTLE)
		claims_message(entry, conn_peer(c), m);
	else if (m->type == RT_CLAIM_ANSWER)
		claim_answer_message(entry, m);
	else if (m->type == SIDE_TERMINATIONS)
		suspects_message(entry, m);
	else if (!agr_message(entry->proc.agr, c, m))
		ctr_add(
		    ctr_get(entry->proc.counters, "entry_unknown_messages"), 1);
}

static void
on_closed(struct conn *c, const struct err *why, void *ctx)
{
}

static const struct conn_ops accepted_ops = {
	.message = on_message,
	.closed = on_closed,
};

static const struct conn_ops *
on_accepted(struct conn *c, void **ctx_out, void *ctx)
{
	*ctx_out = ctx;
	return &accepted_ops;
}

/* ------------------------------------------------------------------ */
/* Settings and members                                                */
/* ------------------------------------------------------------------ */

static void
count_gateway(const struct mem_member *member, void *ctx)
{
	unsigned int *n = ctx;

	if (member->node.kind == MEM_GATEWAY && member->state != MEM_LEAVING)
		(*n)++;
}

static void
on_member(const struct mem_member *member, void *ctx)
{
	struct entry *entry = ctx;
	unsigned int n = 0;

	proc_record_member(&entry->proc, member);
	if (member->node.kind == MEM_SIDECAR) {
		sidecars_member_changed(entry, member);
		return;
	}
	peers_member_changed(entry, member);
	if (member->state == MEM_DEAD || member->state == MEM_LEAVING)
		gatekeeper_gateway_removed(entry, member->node.id);
	if (member->state == MEM_DEAD)
		claims_gateway_removed(entry, member->node.id);
	if (entry->proc.agr == NULL)
		return; /* still joining; counted at the next change */
	agr_each_member(entry->proc.agr, count_gateway, &n);
	if (n == entry->live_gateways)
		return;
	entry->live_gateways = n;
	gatekeeper_members_changed(entry);
	claims_members_changed(entry);
}

static void
apply_root(struct entry *entry, struct cfg *cfg)
{
	cfg_free(entry->root);
	entry->root = cfg;
	entry->draining =
	    cfg_list_has(cfg, "drain.entries", entry->proc.node.id);
	sidecars_apply_drain(entry);
}

static void
on_branch(const struct inf_branch *branch, void *ctx)
{
	struct entry *entry = ctx;
	bool root = strcmp(branch->name, INF_ROOT_BRANCH) == 0;
	struct err err = { 0 };
	struct cfg *cfg =
	    cfg_parse(branch->name, branch->yaml, strlen(branch->yaml),
		root ? &cfg_root_schema : &cfg_branch_schema, &err);

	if (cfg == NULL) {
		log_warn("branch %s: %s", branch->name, err.message);
		return;
	}
	if (root) {
		apply_root(entry, cfg);
		return;
	}
	g_hash_table_replace(entry->workspaces, g_strdup(branch->name),
	    rt_workspace_read(cfg, branch->version));
	gatekeeper_set_workspace(entry, entry_workspace(entry, branch->name));
	leader_workspaces_changed(entry);
}

static void
on_ready(void *ctx)
{
	struct entry *entry = ctx;

	tl_add(entry->proc.timeline, "ready", entry->proc.node.id,
	    "settings are active");
	log_info("entry %s is ready", entry->proc.node.id);
}

/* ------------------------------------------------------------------ */
/* Start and stop                                                      */
/* ------------------------------------------------------------------ */

static bool
listen_on(SoupServer *server, GSocketAddress *at, GError **error)
{
	GSocket *socket = g_socket_new(g_socket_address_get_family(at),
	    G_SOCKET_TYPE_STREAM, G_SOCKET_PROTOCOL_TCP, error);
	bool ok;

	if (socket == NULL)
		return false;
	g_socket_set_listen_backlog(socket, LISTEN_BACKLOG);
	ok = g_socket_bind(socket, at, TRUE, error) &&
	    g_socket_listen(socket, error) &&
	    soup_server_listen_socket(server, socket, 0, error);
	g_object_unref(socket);
	return ok;
}

static bool
listen_http(struct entry *entry, struct err *err)
{
	const char *address = cfg_str(entry->proc.cfg, "node.http");
	const char *colon = strrchr(address, ':');
	GSocketAddress *at = NULL;
	GError *error = NULL;
	char *ip;

	if (colon != NULL) {
		ip = g_strndup(address, (gsize)(colon - address));
		at = g_inet_socket_address_new_from_string(
		    ip, (guint)atoi(colon + 1));
		g_free(ip);
	}
	if (at == NULL) {
		return err_set(err, ERR_INVALID, VERDICT_NOT_RUN,
		    "key 'node.http': '%s' is not like 192.0.2.1:8080",
		    address);
	}
	entry->http = soup_server_new("server-header", "currantchute", NULL);
	http_close_disconnected(entry->http);
	http_track_requests(entry->http, &entry->http_requests);
	http_count_malformed(
	    entry->http, ctr_get(entry->proc.counters, "caller_malformed"));
	caller_open(entry);
	ops_open(entry);
	if (!listen_on(entry->http, at, &error)) {
		err_set(err, ERR_UNAVAILABLE, VERDICT_NOT_RUN,
		    "cannot listen on %s: %s", address, error->message);
		g_error_free(error);
	}
	g_object_unref(at);
	return !err_is(err);
}

static bool
start(struct entry *entry, struct err *err)
{
	static const struct agr_ops ops = {
		.member_changed = on_member,
		.branch_changed = on_branch,
		.ready = on_ready,
	};
	uint64_t seed;

	TAILQ_INIT(&entry->sidecars);
	TAILQ_INIT(&entry->targets);
	entry->fleet = rt_fleet_new();
	TAILQ_INIT(&entry->peers);
	gatekeeper_open(entry);
	claims_open(entry);
	entry->workspaces = g_hash_table_new_full(
	    g_str_hash, g_str_equal, g_free, (GDestroyNotify)rt_workspace_free);
	entry->leaders = g_hash_table_new(g_str_hash, g_str_equal);
	random_bytes(&seed, sizeof(seed));
	rng_seed(&entry->rng, seed);
	suspects_open(entry);
	entry->run_id = (uint32_t)rng_next(&entry->rng);
	entry->attempts =
	    att_chart_load(cfg_str(entry->proc.cfg, "node.charts"), err);
	if (entry->attempts == NULL)
		return false;
	if (!proc_join(&entry->proc, MEM_GATEWAY, "", &ops, entry, err))
		return false;
	entry->server = conn_listen(&entry->proc.node,
	    cfg_str(entry->proc.cfg, "node.peer"), on_accepted, entry, err);
	if (entry->server == NULL || !listen_http(entry, err))
		return false;
	tl_add(entry->proc.timeline, "started", entry->proc.node.id, "entry");
	log_info("entry %s started", entry->proc.node.id);
	return true;
}

/* A planned stop, from the signal on. */
struct stop {
	int waited_ms;
	int idle_ms; /* of it after the notice, without an open request */
	unsigned int read; /* requests read until the last check */
	int64_t checked_us;
};

/*
 * Whether nothing is lost when the process ends now: each answer is sent, and no
 * request has arrived since the last check. If the process was held up since,
 * requests may have arrived that are not read yet.
 */
static bool
is_quiet(const struct entry *entry, struct stop *stop)
{
	bool is_late =
	    clk_is_late(clk_system(), stop->checked_us + STOP_CHECK_MS * 1000);
	bool is_same = entry->http_requests.read == stop->read;

	stop->checked_us = clk_now_us(clk_system());
	stop->read = entry->http_requests.read;
	if (entry->open_requests > 0 || entry->http_requests.open > 0)
		return false;
	if (stop->waited_ms > STOP_NOTICE_MS)
		stop->idle_ms += STOP_CHECK_MS;
	return (is_same && !is_late) || stop->idle_ms >= STOP_QUIET_MS;
}

static gboolean
on_stop_tick(gpointer data)
{
	static struct stop stop;
	struct entry *entry = data;
	bool quiet;

	stop.waited_ms += STOP_CHECK_MS;
	entry->refusing = stop.waited_ms >= STOP_BEGIN_MS;
	quiet = is_quiet(entry, &stop);
	if (stop.waited_ms < STOP_NOTICE_MS ||
	    (!quiet && stop.waited_ms < STOP_TIMEOUT_MS))
		return G_SOURCE_CONTINUE;
	entry->stop_timer = 0;
	proc_quit(&entry->proc);
	return G_SOURCE_REMOVE;
}

static void
resign_role(gpointer workspace, gpointer leader, gpointer data)
{
	leader_resign(leader);
}

static void
on_stop(void *ctx)
{
	struct entry *entry = ctx;

	if (entry->leaving)
		return;
	entry->leaving = true;
	entry->http_requests.closing = true;
	tl_add(entry->proc.timeline, "leaving", entry->proc.node.id,
	    "%u requests open", entry->open_requests);
	log_info("entry %s is leaving", entry->proc.node.id);
	g_hash_table_foreach(entry->leaders, resign_role, NULL);
	agr_leave(entry->proc.agr);
	claims_leave(entry);
	entry->stop_timer = g_timeout_add(STOP_CHECK_MS, on_stop_tick, entry);
}

int
serve_main(const char *settings)
{
	struct entry *entry = g_new0(struct entry, 1);
	struct err err = { 0 };

	log_open("currantchute");
	if (!proc_load(&entry->proc, settings, &err) || !start(entry, &err)) {
		fprintf(stderr, "currantchute: %s\n", err.message);
		return EXIT_USAGE;
	}
	proc_run(&entry->proc, on_stop, entry);
	log_info("entry %s stopped", entry->proc.node.id);
	log_close();
	return EXIT_OK;
}
