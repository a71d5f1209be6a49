/* currantchute-side: start, connections from other processes, stop. */

#include <popt.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "side/keeper.h"
#include "side/side.h"

#define POLL_MS 1000 /* delay until the loss of an engine's model is detected */
#define STOP_CHECK_MS 50
#define STOP_TIMEOUT_MS 60000 /* an endless stream must not prevent the stop */

/* ------------------------------------------------------------------ */
/* Connections                                                         */
/* ------------------------------------------------------------------ */

static void
send_events(struct side_peer *peer, const struct msg *m)
{
	struct rt_events_get get;
	struct rt_events events = { 0 };
	char *json;

	if (!msg_read(m, &rt_events_get_desc, &get, NULL))
		return;
	json = proc_events_json(
	    peer->side->proc.timeline, get.since, &events.next);
	events.json = slice_str(json);
	conn_send(peer->conn, &rt_events_desc, &events);
	g_free(json);
}

static void
on_message(struct conn *c, const struct msg *m, void *ctx)
{
	struct side_peer *peer = ctx;
	struct side *side = peer->side;

	switch (m->type) {
	case RT_REQUEST:
		proxy_request(peer, m);
		return;
	case RT_CANCEL:
		proxy_cancel(peer, m);
		return;
	case RT_WINDOW_UPDATE:
		proxy_window_update(peer, m);
		return;
	case RT_WATCH:
		targets_watch(peer);
		return;
	case RT_ORDER:
		targets_order(peer, m);
		return;
	case RT_STATUS_GET:
		place_status(peer, m);
		return;
	case RT_EVENTS_GET:
		send_events(peer, m);
		return;
	}
	if (agr_message(side->proc.agr, c, m) || wts_message(side->wts, c, m))
		return;
	ctr_add(ctr_get(side->proc.counters, "side_unknown_messages"), 1);
}

static void
on_drained(struct conn *c, void *ctx)
{
	struct side_peer *peer = ctx;

	wts_drained(peer->side->wts, c);
}

static void
on_closed(struct conn *c, const struct err *why, void *ctx)
{
	struct side_peer *peer = ctx;

	wts_closed(peer->side->wts, c);
	proxy_peer_closed(peer);
	targets_peer_closed(peer);
	TAILQ_REMOVE(&peer->side->peers, peer, link);
	g_hash_table_unref(peer->streams);
	g_free(peer);
}

static const struct conn_ops peer_ops = {
	.message = on_message,
	.drained = on_drained,
	.closed = on_closed,
};

static const struct conn_ops *
on_accepted(struct conn *c, void **ctx_out, void *ctx)
{
	struct side_peer *peer = g_new0(struct side_peer, 1);

	peer->side = ctx;
	peer->conn = c;
	peer->streams = g_hash_table_new(g_int64_hash, g_int64_equal);
	TAILQ_INSERT_TAIL(&peer->side->peers, peer, link);
	*ctx_out = peer;
	return &peer_ops;
}

/* ------------------------------------------------------------------ */
/* Changes of members and settings                                     */
/* ------------------------------------------------------------------ */

static void
on_member(const struct mem_member *member, void *ctx)
{
	proc_record_member(&((struct side *)ctx)->proc, member);
	if (member->node.kind == MEM_SIDECAR)
		place_schedule(ctx);
}

static void
on_branch(const struct inf_branch *branch, void *ctx)
{
	place_branch(ctx, branch);
}

static void
on_phase(const struct wts_version *version, const struct wts_progress *progress,
    void *ctx)
{
	struct side *side = ctx;
	char hex[DIGEST_HEX];

	digest_to_hex(&version->root, hex);
	if (progress->phase == WTS_COMPLETE)
		tl_add(side->proc.timeline, "version_whole", hex,
		    "%" G_GUINT64_FORMAT " chunks verified", progress->total);
	else if (progress->phase == WTS_NO_ROOM)
		tl_add(side->proc.timeline, "version_no_room", hex, "%s",
		    progress->why);
	place_notify(side, &version->root);
	place_schedule(side);
}

static gboolean
on_poll(gpointer data)
{
	targets_poll(data);
	return G_SOURCE_CONTINUE;
}

/* ------------------------------------------------------------------ */
/* Start and stop                                                      */
/* ------------------------------------------------------------------ */

static struct wts *
open_weights(struct side *side)
{
	static const struct wts_ops ops = { .phase = on_phase };
	const struct cfg *cfg = side->proc.cfg;
	struct wts_conf conf = {
		.id = side->proc.node.id,
		.domain = cfg_str(cfg, "node.domain"),
		.origin = cfg_str(cfg, "platform.origin"),
		.download_bytes_s =
		    (uint64_t)cfg_int(cfg, "side.download_bytes_s"),
		.upload_bytes_s = (uint64_t)cfg_int(cfg, "side.upload_bytes_s"),
		.memory_bytes = (uint64_t)cfg_int(cfg, "side.memory_bytes"),
		.node = &side->proc.node,
		.plat = side->proc.plat,
	};

	random_bytes(&conf.seed, sizeof(conf.seed));
	return wts_new(&conf, &ops, side);
}

static char *
info_text(const struct side *side)
{
	GString *text = g_string_new(NULL);
	const struct side_target *t;

	TAILQ_FOREACH (t, &side->targets, link) {
		rt_info_append(text, &t->info);
	}
	return g_string_free(text, FALSE);
}

static bool
start_side(struct side *side, struct err *err)
{
	static const struct agr_ops ops = {
		.member_changed = on_member,
		.branch_changed = on_branch,
	};
	char *info;
	bool joined;

	TAILQ_INIT(&side->targets);
	TAILQ_INIT(&side->peers);
	side->workspaces = g_hash_table_new_full(
	    g_str_hash, g_str_equal, g_free, (GDestroyNotify)rt_workspace_free);
	side->requested =
	    g_hash_table_new_full(digest_hash, digest_equal_ptr, g_free, NULL);
	if (!targets_read(side, err) || !loopback_open(side, err))
		return false;
	side->wts = open_weights(side);
	info = info_text(side);
	joined = proc_join(&side->proc, MEM_SIDECAR, info, &ops, side, err);
	g_free(info);
	if (!joined)
		return false;
	side->fencing = agr_fencing_new(side->proc.agr);
	side->server = conn_listen(&side->proc.node,
	    cfg_str(side->proc.cfg, "node.peer"), on_accepted, side, err);
	if (side->server == NULL)
		return false;
	side->poll_timer = g_timeout_add(POLL_MS, on_poll, side);
	targets_poll(side);
	tl_add(side->proc.timeline, "started", side->proc.node.id, "side");
	log_info("side %s started", side->proc.node.id);
	return true;
}

static gboolean
check_stopped(gpointer data)
{
	struct side *side = data;
	static int waited_ms;

	waited_ms += STOP_CHECK_MS;
	if (targets_running(side) > 0 && waited_ms < STOP_TIMEOUT_MS)
		return G_SOURCE_CONTINUE;
	side->stop_timer = 0;
	proc_quit(&side->proc);
	return G_SOURCE_REMOVE;
}

/*
 * Graceful stop: the process accepts no new requests and reports this at once
 * to gateways, over their connections and through membership; running requests
 * finish.
 */
static void
on_stop(void *ctx)
{
	struct side *side = ctx;

	if (side->leaving)
		return;
	side->leaving = true;
	tl_add(side->proc.timeline, "leaving", side->proc.node.id,
	    "%u requests running", targets_running(side));
	log_info("side %s is leaving", side->proc.node.id);
	agr_leave(side->proc.agr);
	targets_announce(side);
	side->stop_timer = g_timeout_add(STOP_CHECK_MS, check_stopped, side);
}

static int
side_main(int argc, char **argv)
{
	char *settings = NULL;
	struct poptOption options[] = {
		{ "settings", 's', POPT_ARG_STRING, &settings, 0,
		    "settings file of this process", "FILE" },
		POPT_AUTOHELP POPT_TABLEEND
	};
	poptContext pc = poptGetContext(
	    "currantchute-side", argc, (const char **)argv, options, 0);
	struct side *side = g_new0(struct side, 1);
	struct err err = { 0 };
	int rc = poptGetNextOpt(pc);

	if (rc < -1 || settings == NULL || poptPeekArg(pc) != NULL) {
		fprintf(stderr,
		    "usage: currantchute-side --settings FILE\n"
		    "example: currantchute-side --settings side-1.yaml\n");
		g_free(side);
		return EXIT_USAGE;
	}
	log_open("currantchute-side");
	if (!proc_load(&side->proc, settings, &err) ||
	    !start_side(side, &err)) {
		fprintf(stderr, "currantchute-side: %s\n", err.message);
		return EXIT_USAGE;
	}
	proc_run(&side->proc, on_stop, side);
	log_info("side %s stopped", side->proc.node.id);
	log_close();
	poptFreeContext(pc);
	free(settings);
	return EXIT_OK;
}

/* With the subcommand `keeper` the process runs next to an engine that gateways
 * call directly; without it, all requests to its targets pass through it. */
int
main(int argc, char **argv)
{
	if (argc == 4 && strcmp(argv[1], "keeper") == 0 &&
	    (strcmp(argv[2], "--settings") == 0 || strcmp(argv[2], "-s") == 0))
		return keeper_main(argv[3]);
	if (argc >= 2 && strcmp(argv[1], "keeper") == 0) {
		fprintf(stderr,
		    "usage: currantchute-side keeper --settings FILE\n"
		    "example: currantchute-side keeper --settings keeper-1.yaml\n");
		return EXIT_USAGE;
	}
	return side_main(argc, argv);
}
