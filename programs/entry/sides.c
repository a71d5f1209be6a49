/* Connections to the sidecars, which carry target reports, requests and
 * orders. */

#include <string.h>

#include "entry/entry.h"

#define RETRY_FIRST_MS 100
#define RETRY_MAX_MS 3000

static void dial(struct entry_sidecar *sidecar);

/* ------------------------------------------------------------------ */
/* Targets                                                             */
/* ------------------------------------------------------------------ */

static struct rt_target *
find_target(struct entry_sidecar *sidecar, const char *name)
{
	struct rt_target *t;

	TAILQ_FOREACH (t, &sidecar->entry->targets, link) {
		if (t->owner == sidecar && strcmp(t->name, name) == 0)
			return t;
	}
	return NULL;
}

static void
copy_slice(char *out, size_t size, struct slice s)
{
	size_t n = MIN(s.len, size - 1);

	if (n > 0)
		memcpy(out, s.data, n);
	out[n] = '\0';
}

/* A host leaves by its own reports (not accepting), by its membership state or
 * by the drain settings; whichever arrives first stops new requests. */
static bool
is_leaving(const struct entry_sidecar *sidecar)
{
	const struct cfg *root = sidecar->entry->root;

	return sidecar->leaving ||
	    cfg_list_has(root, "drain.hosts", sidecar->id) ||
	    cfg_list_has(root, "drain.domains", sidecar->domain);
}

static void
handle_target(struct entry_sidecar *sidecar, const struct msg *m)
{
	struct rt_target_msg report;
	struct rt_target *t;
	char name[RT_NAME_MAX + 1];
	bool has_terminated;

	if (!msg_read(m, &rt_target_desc, &report, NULL))
		return;
	copy_slice(name, sizeof(name), report.name);
	t = find_target(sidecar, name);
	if (t == NULL) {
		t = g_new0(struct rt_target, 1);
		t->owner = sidecar;
		g_strlcpy(t->sidecar, sidecar->id, sizeof(t->sidecar));
		g_strlcpy(t->domain, sidecar->domain, sizeof(t->domain));
		g_strlcpy(t->name, name, sizeof(t->name));
		TAILQ_INSERT_TAIL(&sidecar->entry->targets, t, link);
	}
	t->kind = (enum rt_target_kind)report.kind;
	copy_slice(t->workspace, sizeof(t->workspace), report.workspace);
	copy_slice(t->pool, sizeof(t->pool), report.pool);
	copy_slice(t->service, sizeof(t->service), report.service);
	/* An engine that answers has weights, or an order loads them. */
	has_terminated = t->kind == RT_ENGINE && t->reachable &&
	    !digest_is_none(&t->loaded) && digest_is_none(&report.loaded);
	t->loaded = report.loaded;
	t->slots = (unsigned int)report.slots;
	t->reachable = true;
	t->reported_accepting = report.accepting != 0;
	t->drain_ordered = report.drain_ordered != 0;
	t->accepting = t->reported_accepting && !is_leaving(sidecar);
	rt_fleet_update(sidecar->entry->fleet, t);
	rt_target_reported(
	    t, (unsigned int)report.running, clk_now_us(clk_system()));
	if (has_terminated)
		suspects_target_terminated(sidecar->entry, t);
	gatekeeper_target_changed(sidecar->entry, t);
	leader_wake(sidecar->entry);
}

void
sidecars_apply_drain(struct entry *entry)
{
	struct rt_target *t;
	bool accepting;

	TAILQ_FOREACH (t, &entry->targets, link) {
		accepting = t->reported_accepting && !is_leaving(t->owner);
		if (accepting == t->accepting)
			continue;
		t->accepting = accepting;
		rt_fleet_update(entry->fleet, t);
		gatekeeper_target_changed(entry, t);
	}
}

static void
disconnect_targets(struct entry_sidecar *sidecar)
{
	struct rt_target *t, *next;

	for (t = TAILQ_FIRST(&sidecar->entry->targets); t != NULL; t = next) {
		next = TAILQ_NEXT(t, link);
		if (t->owner != sidecar)
			continue;
		/* Requests have pointers to the targets they tried, so a
		 * target is marked unreachable and never freed. */
		rt_target_disconnected(sidecar->entry->fleet, t);
		gatekeeper_target_changed(sidecar->entry, t);
	}
}

/* ------------------------------------------------------------------ */
/* Messages                                                            */
/* ------------------------------------------------------------------ */

static struct request *
find_stream(struct entry_sidecar *sidecar, uint64_t number)
{
	int64_t key = (int64_t)number;
	struct request *r = g_hash_table_lookup(sidecar->streams, &key);

	/* A late message of an abandoned attempt is dropped, or its bytes
	 * would end up in the answer of another attempt. */
	if (r == NULL)
		ctr_add(ctr_get(sidecar->entry->proc.counters,
			    "request_late_messages"),
		    1);
	return r;
}

static void
handle_end(struct entry_sidecar *sidecar, const struct rt_end *end)
{
	struct request *r = find_stream(sidecar, end->stream);
	struct err err = { 0 };
	char message[ERR_MESSAGE_MAX];
	struct rt_target *target;

	if (r == NULL)
		return;
	copy_slice(message, sizeof(message), end->message);
	err_set(&err, (enum err_code)end->code, (enum verdict)end->verdict,
	    "%s", message);
	err.retry_after_ms = (unsigned int)end->retry_after_ms;
	target = request_target(r, (int64_t)end->stream);
	/* The reported number excludes this request. */
	rt_target_reported(
	    target, (unsigned int)end->running + 1, clk_now_us(clk_system()));
	request_end(r, (int64_t)end->stream, &err);
	gatekeeper_target_changed(sidecar->entry, target);
}

static void
handle_status(struct entry_sidecar *sidecar, const struct rt_status *report)
{
	struct version_status *s = g_new0(struct version_status, 1);

	s->root = report->root;
	s->phase = (enum wts_phase)MIN(report->phase, WTS_NO_ROOM);
	s->have = report->have;
	s->total = report->total;
	copy_slice(s->why, sizeof(s->why), report->why);
	g_hash_table_replace(sidecar->statuses, &s->root, s);
	leader_wake(sidecar->entry);
}

static void
on_message(struct conn *c, const struct msg *m, void *ctx)
{
	struct entry_sidecar *sidecar = ctx;
	struct request *r;
	union {
		struct rt_head head;
		struct rt_data data;
		struct rt_end end;
		struct rt_stalled stalled;
		struct rt_order_done done;
		struct rt_status status;
	} u;

	switch (m->type) {
	case RT_HEAD:
		if (msg_read(m, &rt_head_desc, &u.head, NULL) &&
		    (r = find_stream(sidecar, u.head.stream)) != NULL)
			request_head(r, &u.head);
		return;
	case RT_DATA:
		if (msg_read(m, &rt_data_desc, &u.data, NULL) &&
		    (r = find_stream(sidecar, u.data.stream)) != NULL)
			request_data(r, u.data.bytes.data, u.data.bytes.len);
		return;
	case RT_END:
		if (msg_read(m, &rt_end_desc, &u.end, NULL))
			handle_end(sidecar, &u.end);
		return;
	case RT_STALLED:
		if (msg_read(m, &rt_stalled_desc, &u.stalled, NULL) &&
		    (r = find_stream(sidecar, u.stalled.stream)) != NULL)
			request_stalled(r, (int64_t)u.stalled.stream);
		return;
	case RT_TARGET:
		handle_target(sidecar, m);
		return;
	case RT_ORDER_DONE:
		if (msg_read(m, &rt_order_done_desc, &u.done, NULL))
			leader_order_done(sidecar->entry, sidecar, &u.done);
		return;
	case RT_STATUS:
		if (msg_read(m, &rt_status_desc, &u.status, NULL))
			handle_status(sidecar, &u.status);
		return;
	}
	if (!agr_message(sidecar->entry->proc.agr, c, m))
		ctr_add(ctr_get(sidecar->entry->proc.counters,
			    "entry_unknown_messages"),
		    1);
}

/* ------------------------------------------------------------------ */
/* The connection                                                      */
/* ------------------------------------------------------------------ */

static void
on_opened(struct conn *c, void *ctx)
{
	struct entry_sidecar *sidecar = ctx;
	struct rt_watch watch = { 0 };

	sidecar->open = true;
	sidecar->retry_ms = RETRY_FIRST_MS;
	conn_send(c, &rt_watch_desc, &watch);
	leader_wake(sidecar->entry);
}

static gboolean
on_retry(gpointer data)
{
	struct entry_sidecar *sidecar = data;

	sidecar->retry_timer = 0;
	dial(sidecar);
	return G_SOURCE_REMOVE;
}

static void
fail_streams(struct entry_sidecar *sidecar, const struct err *why)
{
	GArray *streams = g_array_new(FALSE, FALSE, sizeof(int64_t));
	struct err err = *why;
	struct request *r;
	GHashTableIter iter;
	gpointer stream;
	guint i;

	/* The connection is closed, but the target may go on with the work. */
	err.verdict = VERDICT_MAY_HAVE_RUN;
	err.code = ERR_UNAVAILABLE;
	/* The end of one attempt may end others here, of the same request. */
	g_hash_table_iter_init(&iter, sidecar->streams);
	while (g_hash_table_iter_next(&iter, &stream, NULL))
		g_array_append_vals(streams, stream, 1);
	for (i = 0; i < streams->len; i++) {
		stream = &g_array_index(streams, int64_t, i);
		r = g_hash_table_lookup(sidecar->streams, stream);
		if (r != NULL)
			request_end(r, *(int64_t *)stream, &err);
	}
	g_array_unref(streams);
}

static void
on_closed(struct conn *c, const struct err *why, void *ctx)
{
	struct entry_sidecar *sidecar = ctx;

	sidecar->conn = NULL;
	sidecar->open = false;
	disconnect_targets(sidecar);
	fail_streams(sidecar, why);
	g_hash_table_remove_all(sidecar->statuses);
	g_hash_table_remove_all(sidecar->status_requested_us);
	if (sidecar->address[0] != '\0') {
		sidecar->retry_timer =
		    g_timeout_add(sidecar->retry_ms, on_retry, sidecar);
		sidecar->retry_ms = MIN(2 * sidecar->retry_ms, RETRY_MAX_MS);
	}
}

static const struct conn_ops sidecar_ops = {
	.opened = on_opened,
	.message = on_message,
	.closed = on_closed,
};

static void
dial(struct entry_sidecar *sidecar)
{
	sidecar->conn = conn_dial(&sidecar->entry->proc.node, sidecar->address,
	    &sidecar_ops, sidecar);
}

/* ------------------------------------------------------------------ */
/* Membership                                                          */
/* ------------------------------------------------------------------ */

struct entry_sidecar *
sidecars_find(struct entry *entry, const char *id)
{
	struct entry_sidecar *sidecar;

	TAILQ_FOREACH (sidecar, &entry->sidecars, link) {
		if (strcmp(sidecar->id, id) == 0)
			return sidecar;
	}
	return NULL;
}

static struct entry_sidecar *
add_sidecar(struct entry *entry, const char *id)
{
	struct entry_sidecar *sidecar = g_new0(struct entry_sidecar, 1);

	sidecar->entry = entry;
	g_strlcpy(sidecar->id, id, sizeof(sidecar->id));
	sidecar->retry_ms = RETRY_FIRST_MS;
	sidecar->streams = g_hash_table_new(g_int64_hash, g_int64_equal);
	sidecar->statuses =
	    g_hash_table_new_full(digest_hash, digest_equal_ptr, NULL, g_free);
	sidecar->status_requested_us = g_hash_table_new_full(
	    digest_hash, digest_equal_ptr, g_free, g_free);
	TAILQ_INSERT_TAIL(&entry->sidecars, sidecar, link);
	return sidecar;
}

/* A dead member is no longer dialled. An open connection is kept for its
 * streams, because the member may be suspected wrongly and a broken connection
 * is closed anyway. */
static void
stop_dialling(struct entry_sidecar *sidecar)
{
	sidecar->address[0] = '\0';
	if (sidecar->retry_timer != 0)
		g_source_remove(sidecar->retry_timer);
	sidecar->retry_timer = 0;
	if (sidecar->conn != NULL && !sidecar->open)
		conn_close(sidecar->conn);
}

void
sidecars_member_changed(struct entry *entry, const struct mem_member *member)
{
	const struct mem_node *node = &member->node;
	struct entry_sidecar *sidecar = sidecars_find(entry, node->id);
	bool moved;

	if (member->state == MEM_DEAD) {
		if (sidecar != NULL)
			stop_dialling(sidecar);
		return;
	}
	if (sidecar == NULL)
		sidecar = add_sidecar(entry, node->id);
	moved = strcmp(sidecar->address, node->address) != 0;
	g_strlcpy(sidecar->address, node->address, sizeof(sidecar->address));
	g_strlcpy(sidecar->domain, node->domain, sizeof(sidecar->domain));
	g_strlcpy(sidecar->info, node->info, sizeof(sidecar->info));
	sidecar->leaving = member->state == MEM_LEAVING;
	sidecars_apply_drain(entry);
	if (sidecar->conn == NULL && sidecar->retry_timer == 0)
		dial(sidecar);
	else if (moved && sidecar->conn != NULL)
		conn_close(sidecar->conn); /* on_closed dials the new address */
}
