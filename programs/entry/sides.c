/* Connections to the sides: targets, streams and orders come over them. */

#include <string.h>

#include "entry/entry.h"

#define RETRY_FIRST_MS 100
#define RETRY_MOST_MS 3000

static void dial(struct entry_side *side);

/* ------------------------------------------------------------------ */
/* Targets                                                             */
/* ------------------------------------------------------------------ */

static struct rt_target *
find_target(struct entry_side *side, const char *name)
{
	struct rt_target *t;

	TAILQ_FOREACH (t, &side->entry->targets, link) {
		if (t->owner == side && strcmp(t->name, name) == 0)
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

/* A host leaves by its own word, by membership or by the settings; whichever
 * is heard first stops new work. */
static bool
is_leaving(const struct entry_side *side)
{
	const struct cfg *root = side->entry->root;

	return side->leaving || cfg_list_has(root, "drain.hosts", side->id) ||
	    cfg_list_has(root, "drain.domains", side->domain);
}

static void
take_target(struct entry_side *side, const struct msg *m)
{
	struct rt_target_msg told;
	struct rt_target *t;
	char name[RT_NAME_MAX + 1];

	if (!msg_read(m, &rt_target_desc, &told, NULL))
		return;
	copy_slice(name, sizeof(name), told.name);
	t = find_target(side, name);
	if (t == NULL) {
		t = g_new0(struct rt_target, 1);
		t->owner = side;
		g_strlcpy(t->sidecar, side->id, sizeof(t->sidecar));
		g_strlcpy(t->domain, side->domain, sizeof(t->domain));
		g_strlcpy(t->name, name, sizeof(t->name));
		TAILQ_INSERT_TAIL(&side->entry->targets, t, link);
	}
	t->kind = (enum rt_target_kind)told.kind;
	copy_slice(t->workspace, sizeof(t->workspace), told.workspace);
	copy_slice(t->pool, sizeof(t->pool), told.pool);
	copy_slice(t->service, sizeof(t->service), told.service);
	t->loaded = told.loaded;
	t->slots = (unsigned int)told.slots;
	t->reachable = true;
	t->reported_accepting = told.accepting != 0;
	t->drain_ordered = told.drain_ordered != 0;
	t->accepting = t->reported_accepting && !is_leaving(side);
	rt_fleet_update(side->entry->fleet, t);
	rt_target_reported(
	    t, (unsigned int)told.running, clk_now_us(clk_system()));
	gatekeeper_target_changed(side->entry, t);
	lead_wake(side->entry);
}

void
sides_apply_drain(struct entry *entry)
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
forget_targets(struct entry_side *side)
{
	struct rt_target *t, *next;

	for (t = TAILQ_FIRST(&side->entry->targets); t != NULL; t = next) {
		next = TAILQ_NEXT(t, link);
		if (t->owner != side)
			continue;
		/* Requests hold pointers to the targets they tried, so a
		 * target stays and is only out of reach. */
		rt_target_disconnected(side->entry->fleet, t);
		gatekeeper_target_changed(side->entry, t);
	}
}

/* ------------------------------------------------------------------ */
/* Messages                                                            */
/* ------------------------------------------------------------------ */

static struct request *
find_stream(struct entry_side *side, uint64_t number)
{
	int64_t key = (int64_t)number;
	struct request *r = g_hash_table_lookup(side->streams, &key);

	/* A late message of an attempt that was given up: dropped, or its
	 * bytes would end up in another attempt's answer. */
	if (r == NULL)
		ctr_add(ctr_get(side->entry->proc.counters,
			    "request_late_messages"),
		    1);
	return r;
}

static void
take_end(struct entry_side *side, const struct rt_end *end)
{
	struct request *r = find_stream(side, end->stream);
	struct err err = { 0 };
	char message[ERR_MESSAGE_MAX];
	struct rt_target *target;

	if (r == NULL)
		return;
	copy_slice(message, sizeof(message), end->message);
	err_set(&err, (enum err_code)end->code, (enum verdict)end->verdict,
	    "%s", message);
	err.retry_after_ms = (unsigned int)end->retry_after_ms;
	target = request_target(r);
	/* Told is the load without this request. */
	rt_target_reported(
	    target, (unsigned int)end->running + 1, clk_now_us(clk_system()));
	request_end(r, &err);
	gatekeeper_target_changed(side->entry, target);
}

static void
take_status(struct entry_side *side, const struct rt_status *told)
{
	struct side_status *s = g_new0(struct side_status, 1);

	s->root = told->root;
	s->phase = (enum wts_phase)MIN(told->phase, WTS_NO_ROOM);
	s->have = told->have;
	s->total = told->total;
	copy_slice(s->why, sizeof(s->why), told->why);
	g_hash_table_replace(side->statuses, &s->root, s);
	lead_wake(side->entry);
}

static void
on_message(struct conn *c, const struct msg *m, void *ctx)
{
	struct entry_side *side = ctx;
	struct request *r;
	union {
		struct rt_head head;
		struct rt_data data;
		struct rt_end end;
		struct rt_order_done done;
		struct rt_status status;
	} u;

	switch (m->type) {
	case RT_HEAD:
		if (msg_read(m, &rt_head_desc, &u.head, NULL) &&
		    (r = find_stream(side, u.head.stream)) != NULL)
			request_head(r, &u.head);
		return;
	case RT_DATA:
		if (msg_read(m, &rt_data_desc, &u.data, NULL) &&
		    (r = find_stream(side, u.data.stream)) != NULL)
			request_data(r, u.data.bytes.data, u.data.bytes.len);
		return;
	case RT_END:
		if (msg_read(m, &rt_end_desc, &u.end, NULL))
			take_end(side, &u.end);
		return;
	case RT_TARGET:
		take_target(side, m);
		return;
	case RT_ORDER_DONE:
		if (msg_read(m, &rt_order_done_desc, &u.done, NULL))
			lead_order_done(side->entry, side, &u.done);
		return;
	case RT_STATUS:
		if (msg_read(m, &rt_status_desc, &u.status, NULL))
			take_status(side, &u.status);
		return;
	}
	if (!agr_message(side->entry->proc.agr, c, m))
		ctr_add(ctr_get(side->entry->proc.counters,
			    "entry_unknown_messages"),
		    1);
}

/* ------------------------------------------------------------------ */
/* The link                                                            */
/* ------------------------------------------------------------------ */

static void
on_opened(struct conn *c, void *ctx)
{
	struct entry_side *side = ctx;
	struct rt_watch watch = { 0 };

	side->open = true;
	side->retry_ms = RETRY_FIRST_MS;
	conn_send(c, &rt_watch_desc, &watch);
	lead_wake(side->entry);
}

static gboolean
on_retry(gpointer data)
{
	struct entry_side *side = data;

	side->retry_timer = 0;
	dial(side);
	return G_SOURCE_REMOVE;
}

static void
fail_streams(struct entry_side *side, const struct err *why)
{
	GList *requests = g_hash_table_get_values(side->streams), *at;
	struct err err = *why;

	/* The link is gone, not the work: it may go on at the target. */
	err.verdict = VERDICT_MAY_HAVE_RUN;
	err.code = ERR_UNAVAILABLE;
	for (at = requests; at != NULL; at = at->next)
		request_end(at->data, &err);
	g_list_free(requests);
}

static void
on_closed(struct conn *c, const struct err *why, void *ctx)
{
	struct entry_side *side = ctx;

	side->conn = NULL;
	side->open = false;
	forget_targets(side);
	fail_streams(side, why);
	g_hash_table_remove_all(side->statuses);
	g_hash_table_remove_all(side->asked);
	if (side->address[0] != '\0') {
		side->retry_timer =
		    g_timeout_add(side->retry_ms, on_retry, side);
		side->retry_ms = MIN(2 * side->retry_ms, RETRY_MOST_MS);
	}
}

static const struct conn_ops side_ops = {
	.opened = on_opened,
	.message = on_message,
	.closed = on_closed,
};

static void
dial(struct entry_side *side)
{
	side->conn =
	    conn_dial(&side->entry->proc.node, side->address, &side_ops, side);
}

/* ------------------------------------------------------------------ */
/* Membership                                                          */
/* ------------------------------------------------------------------ */

struct entry_side *
sides_find(struct entry *entry, const char *id)
{
	struct entry_side *side;

	TAILQ_FOREACH (side, &entry->sides, link) {
		if (strcmp(side->id, id) == 0)
			return side;
	}
	return NULL;
}

static struct entry_side *
add_side(struct entry *entry, const char *id)
{
	struct entry_side *side = g_new0(struct entry_side, 1);

	side->entry = entry;
	g_strlcpy(side->id, id, sizeof(side->id));
	side->retry_ms = RETRY_FIRST_MS;
	side->streams = g_hash_table_new(g_int64_hash, g_int64_equal);
	side->statuses =
	    g_hash_table_new_full(digest_hash, digest_equal_ptr, NULL, g_free);
	side->asked = g_hash_table_new_full(
	    digest_hash, digest_equal_ptr, g_free, g_free);
	TAILQ_INSERT_TAIL(&entry->sides, side, link);
	return side;
}

/* A dead member is dialled no more; an open link is left to its streams,
 * since a suspicion may be wrong and a broken link ends by itself. */
static void
stop_dialling(struct entry_side *side)
{
	side->address[0] = '\0';
	if (side->retry_timer != 0)
		g_source_remove(side->retry_timer);
	side->retry_timer = 0;
	if (side->conn != NULL && !side->open)
		conn_close(side->conn);
}

void
sides_member(struct entry *entry, const struct mem_member *member)
{
	const struct mem_node *node = &member->node;
	struct entry_side *side = sides_find(entry, node->id);
	bool moved;

	if (member->state == MEM_DEAD) {
		if (side != NULL)
			stop_dialling(side);
		return;
	}
	if (side == NULL)
		side = add_side(entry, node->id);
	moved = strcmp(side->address, node->address) != 0;
	g_strlcpy(side->address, node->address, sizeof(side->address));
	g_strlcpy(side->domain, node->domain, sizeof(side->domain));
	g_strlcpy(side->info, node->info, sizeof(side->info));
	side->leaving = member->state == MEM_LEAVING;
	sides_apply_drain(entry);
	if (side->conn == NULL && side->retry_timer == 0)
		dial(side);
	else if (moved && side->conn != NULL)
		conn_close(side->conn); /* dials the new address */
}
