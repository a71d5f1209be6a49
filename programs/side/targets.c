/* The targets of this host: loaded versions, orders, reports to gateways. */

#include <string.h>

#include "side/side.h"

#define POLL_DEADLINE_MS 5000
#define LOAD_DEADLINE_MS 600000 /* an engine may read hundreds of GB */
#define SLOTS_UNKNOWN 16 /* until the target reports its number */

/* A load order at the engine; the last one to request it gets the reply. */
struct side_order {
	struct side_target *target;
	struct side_peer *peer; /* NULL once the requester disconnected */
	char *order_id;
	struct digest root;
};

/* ------------------------------------------------------------------ */
/* Reading and finding                                                 */
/* ------------------------------------------------------------------ */

static void
read_text(
    char *out, size_t size, const struct cfg *cfg, size_t i, const char *key)
{
	g_strlcpy(out, cfg_str(cfg, "side.targets.%zu.%s", i, key), size);
}

bool
targets_read(struct side *side, struct err *err)
{
	const struct cfg *cfg = side->proc.cfg;
	size_t n = cfg_count(cfg, "side.targets"), i;
	struct side_target *t;

	if (n == 0) {
		return err_set(err, ERR_INVALID, VERDICT_NOT_RUN,
		    "key 'side.targets': at least one target is needed");
	}
	for (i = 0; i < n; i++) {
		t = g_new0(struct side_target, 1);
		t->side = side;
		read_text(t->info.name, sizeof(t->info.name), cfg, i, "name");
		read_text(t->info.workspace, sizeof(t->info.workspace), cfg, i,
		    "team");
		read_text(t->info.pool, sizeof(t->info.pool), cfg, i, "pool");
		read_text(t->info.service, sizeof(t->info.service), cfg, i,
		    "service");
		t->info.kind = strcmp(cfg_str(cfg, "side.targets.%zu.kind", i),
				   "service") == 0
		    ? RT_SERVICE
		    : RT_ENGINE;
		t->url = cfg_str(cfg, "side.targets.%zu.url", i);
		t->slots = SLOTS_UNKNOWN;
		t->reported_accepting = true;
		TAILQ_INSERT_TAIL(&side->targets, t, link);
	}
	return true;
}

struct side_target *
targets_find(struct side *side, struct slice name)
{
	struct side_target *t;

	TAILQ_FOREACH (t, &side->targets, link) {
		if (strlen(t->info.name) == name.len &&
		    memcmp(t->info.name, name.data, name.len) == 0)
			return t;
	}
	return NULL;
}

bool
targets_accepting(const struct side_target *target)
{
	return !target->side->leaving && !target->side->draining &&
	    !target->drain_ordered;
}

unsigned int
targets_running(const struct side *side)
{
	const struct side_target *t;
	unsigned int running = 0;

	TAILQ_FOREACH (t, &side->targets, link) {
		running += t->running;
	}
	return running;
}

/* ------------------------------------------------------------------ */
/* Reports to gateways                                                 */
/* ------------------------------------------------------------------ */

static unsigned int
count_targets(const struct side *side)
{
	const struct side_target *t;
	unsigned int n = 0;

	TAILQ_FOREACH (t, &side->targets, link) {
		n++;
	}
	return n;
}

static void
send_target(struct side_peer *peer, const struct side_target *t)
{
	struct rt_target_msg message = {
		.name = slice_str(t->info.name),
		.kind = t->info.kind,
		.workspace = slice_str(t->info.workspace),
		.pool = slice_str(t->info.pool),
		.service = slice_str(t->info.service),
		.loaded = t->loaded,
		.accepting = targets_accepting(t),
		.running = t->running,
		.slots = t->slots,
		.count = count_targets(peer->side),
		.drain_ordered = t->drain_ordered,
	};

	conn_send(peer->conn, &rt_target_desc, &message);
}

static void
notify_watchers(const struct side_target *t)
{
	struct side_peer *peer;

	TAILQ_FOREACH (peer, &t->side->peers, link) {
		if (peer->watching)
			send_target(peer, t);
	}
}

void
targets_request_ended(struct side_target *target)
{
	/* The leader waits for this before it loads another version. */
	if (target->drain_ordered && target->running == 0)
		notify_watchers(target);
}

void
targets_watch(struct side_peer *peer)
{
	const struct side_target *t;

	peer->watching = true;
	TAILQ_FOREACH (t, &peer->side->targets, link) {
		send_target(peer, t);
	}
}

void
targets_announce(struct side *side)
{
	struct side_target *t;
	bool accepting;

	TAILQ_FOREACH (t, &side->targets, link) {
		accepting = targets_accepting(t);
		if (accepting == t->reported_accepting)
			continue;
		t->reported_accepting = accepting;
		tl_add(side->proc.timeline,
		    accepting ? "target_accepting" : "target_draining",
		    t->info.name, "%u running", t->running);
		notify_watchers(t);
	}
}

/* ------------------------------------------------------------------ */
/* Loaded versions                                                     */
/* ------------------------------------------------------------------ */

static void
set_loaded(struct side_target *t, const struct digest *loaded)
{
	char hex[DIGEST_HEX];

	if (digest_equal(&t->loaded, loaded))
		return;
	t->loaded = *loaded;
	digest_to_hex(loaded, hex);
	tl_add(t->side->proc.timeline, "version_loaded", t->info.name, "%s",
	    digest_is_none(loaded) ? "none" : hex);
	notify_watchers(t);
	place_schedule(t->side);
}

static void
on_loaded(const char *version, const struct digest *loaded, uint64_t fence,
    const struct err *err, void *ctx)
{
	struct side_target *t = ctx;
	static const struct digest none;

	t->polling = false;
	if (t->loading != NULL)
		return; /* the response to the load decides */
	if (err == NULL)
		set_loaded(t, loaded);
	else if (err->code == ERR_UNAVAILABLE)
		set_loaded(t, &none);
}

static void
on_report(const struct engine_report *report, const struct err *err, void *ctx)
{
	struct side_target *t = ctx;

	if (err != NULL || report->slots == 0 || report->slots == t->slots)
		return;
	t->slots = report->slots;
	notify_watchers(t);
}

void
targets_poll(struct side *side)
{
	struct side_target *t;

	TAILQ_FOREACH (t, &side->targets, link) {
		if (t->info.kind != RT_ENGINE || t->polling)
			continue;
		t->polling = true;
		engine_loaded(
		    side->proc.plat, t->url, POLL_DEADLINE_MS, on_loaded, t);
		engine_report(
		    side->proc.plat, t->url, POLL_DEADLINE_MS, on_report, t);
	}
}

/* ------------------------------------------------------------------ */
/* Orders                                                              */
/* ------------------------------------------------------------------ */

static void
send_order_done(struct side_peer *peer, const char *order_id,
    const struct digest *loaded, const struct err *err)
{
	struct rt_order_done done = {
		.order_id = slice_str(order_id),
		.code = err == NULL ? ERR_NONE : err->code,
		.verdict = err == NULL ? VERDICT_RAN : err->verdict,
		.message = slice_str(err == NULL ? "" : err->message),
	};

	if (loaded != NULL)
		done.loaded = *loaded;
	if (peer != NULL)
		conn_send(peer->conn, &rt_order_done_desc, &done);
}

static void
finish_order(struct side_order *order, const struct err *err)
{
	struct side_target *t = order->target;

	send_order_done(order->peer, order->order_id, &t->loaded, err);
	t->loading = NULL;
	g_free(order->order_id);
	g_free(order);
}

static void
on_load_done(const struct digest *loaded, const struct err *err, void *ctx)
{
	struct side_order *order = ctx;
	struct err wrong = { 0 };

	if (err != NULL) {
		tl_add(order->target->side->proc.timeline, "load_failed",
		    order->target->info.name, "%s", err->message);
		finish_order(order, err);
		return;
	}
	/* Even if it is not the ordered one: requests are checked against the
	 * version that the engine has loaded. */
	set_loaded(order->target, loaded);
	if (!digest_equal(loaded, &order->root)) {
		err_set(&wrong, ERR_CORRUPT, VERDICT_RAN,
		    "the engine loaded another digest");
		finish_order(order, &wrong);
		return;
	}
	finish_order(order, NULL);
}

static void
start_load(
    struct side_target *t, struct side_peer *peer, const struct rt_order *order)
{
	struct side *side = t->side;
	char hex[DIGEST_HEX];
	char *model = slice_dup(order->model);
	char *version = slice_dup(order->version);
	char *chunks, *source;
	struct engine_load load = {
		.model = model,
		.version = version,
		.root = order->root,
		.bytes = order->bytes,
		.chunk_bytes = order->chunk_bytes,
		.fence = order->fence,
	};

	t->loading = g_new0(struct side_order, 1);
	t->loading->target = t;
	t->loading->peer = peer;
	t->loading->order_id = slice_dup(order->order_id);
	t->loading->root = order->root;
	digest_to_hex(&order->root, hex);
	chunks = g_strdup_printf("http://127.0.0.1:%u/v1/versions/%s/chunks",
	    side->loopback_port, hex);
	source = g_strdup_printf("http://127.0.0.1:%u/v1/versions/%s/bytes",
	    side->loopback_port, hex);
	load.chunks_url = chunks;
	load.source = source;
	load.order_id = t->loading->order_id;
	tl_add(side->proc.timeline, "load_ordered", t->info.name,
	    "%s fence %" G_GUINT64_FORMAT, version, order->fence);
	engine_load(side->proc.plat, t->url, &load, LOAD_DEADLINE_MS,
	    on_load_done, t->loading);
	g_free(chunks);
	g_free(source);
	g_free(model);
	g_free(version);
}

static bool
check_load(
    const struct side_target *t, const struct rt_order *order, struct err *err)
{
	struct wts_progress progress;

	if (t->info.kind != RT_ENGINE) {
		return err_set(
		    err, ERR_INVALID, VERDICT_NOT_RUN, "not an engine");
	}
	if (t->loading != NULL) {
		return err_set(err, ERR_OVERLOADED, VERDICT_NOT_RUN,
		    "another load is in progress");
	}
	wts_progress(t->side->wts, &order->root, &progress);
	if (progress.phase != WTS_COMPLETE) {
		return err_set(err, ERR_UNAVAILABLE, VERDICT_NOT_RUN,
		    "the version is not complete on this host");
	}
	return true;
}

static void
handle_load(struct side_target *t, struct side_peer *peer, const char *order_id,
    const struct rt_order *order)
{
	struct err err = { 0 };

	if (digest_equal(&t->loaded, &order->root)) {
		send_order_done(
		    peer, order_id, &t->loaded, NULL); /* idempotent */
		return;
	}
	if (t->loading != NULL &&
	    digest_equal(&t->loading->root, &order->root)) {
		/* The same load is ordered again, e.g. by the next leader: it
		 * gets the result of the load in progress instead of the
		 * first requester. */
		err_set(&err, ERR_CANCELLED, VERDICT_MAY_HAVE_RUN,
		    "superseded by a later order of the same load");
		send_order_done(
		    t->loading->peer, t->loading->order_id, &t->loaded, &err);
		t->loading->peer = peer;
		g_free(t->loading->order_id);
		t->loading->order_id = g_strdup(order_id);
		return;
	}
	if (!check_load(t, order, &err)) {
		send_order_done(peer, order_id, &t->loaded, &err);
		return;
	}
	start_load(t, peer, order);
}

static void
handle_order(struct side_peer *peer, const char *role, const char *order_id,
    const struct rt_order *order)
{
	struct side *side = peer->side;
	struct side_target *t = targets_find(side, order->target);
	struct err err = { 0 };

	if (t == NULL) {
		err_set(&err, ERR_NOT_FOUND, VERDICT_NOT_RUN, "no such target");
		send_order_done(peer, order_id, NULL, &err);
		return;
	}
	/* A leader that was paused past its lease may still send orders; its
	 * fencing number is lower than that of its successor and is rejected
	 * here, also for engines that do not check it. */
	if (!agr_fencing_check(side->fencing, role, order->fence, &err)) {
		ctr_add(ctr_get(side->proc.counters, "gate_refused"), 1);
		tl_add(side->proc.timeline, "order_refused", t->info.name, "%s",
		    err.message);
		send_order_done(peer, order_id, &t->loaded, &err);
		return;
	}
	ctr_add(ctr_get(side->proc.counters, "gate_passed"), 1);
	if (order->kind == RT_ORDER_LOAD) {
		handle_load(t, peer, order_id, order);
		return;
	}
	t->drain_ordered = order->kind == RT_ORDER_DRAIN;
	targets_announce(side);
	send_order_done(peer, order_id, &t->loaded, NULL);
}

void
targets_order(struct side_peer *peer, const struct msg *m)
{
	struct rt_order order;
	char *role, *order_id;

	if (!msg_read(m, &rt_order_desc, &order, NULL)) {
		ctr_add(
		    ctr_get(peer->side->proc.counters, "gate_bad_messages"), 1);
		conn_close(peer->conn);
		return;
	}
	role = slice_dup(order.role);
	order_id = slice_dup(order.order_id);
	handle_order(peer, role, order_id, &order);
	g_free(role);
	g_free(order_id);
}

void
targets_peer_closed(struct side_peer *peer)
{
	struct side_target *t;

	TAILQ_FOREACH (t, &peer->side->targets, link) {
		if (t->loading != NULL && t->loading->peer == peer)
			t->loading->peer = NULL;
	}
}
