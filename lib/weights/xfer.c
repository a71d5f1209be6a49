/* The transfer of one version to this host: phases, decisions, verified
 * bytes. */

#include <stdio.h>

#include "weights/bits.h"
#include "weights/xfer.h"

#define SECOND_US 1000000
/* Interval between updates: a hundredth of the shortest possible transfer,
 * within bounds. This is frequent enough not to delay transfers, and keeps the
 * control traffic in proportion to the weights. */
#define UPDATE_INTERVAL_MIN_US 50000
#define UPDATE_INTERVAL_MAX_US SECOND_US
#define UPDATES_PER_TRANSFER 100
/* Debt of the download budget, in chunk times, up to which fetches are started:
 * a response arrives only after a round trip and queueing. */
#define FETCH_DEBT_MAX_CHUNKS 1
#define CORRUPT_READS_REPORTED 2

static void
on_pump(void *ctx)
{
	xfer_pump(ctx);
}

static void
on_dial(void *ctx)
{
	peers_dial(ctx);
}

static void
free_member(gpointer data)
{
	struct member *m = data;

	g_free(m->id);
	g_free(m->address);
	g_free(m->domain);
	g_free(m);
}

/* ------------------------------------------------------------------ */
/* Phases                                                              */
/* ------------------------------------------------------------------ */

static gboolean
on_notify(gpointer data)
{
	struct xfer *x = data;
	struct wts *wts = x->wts;
	struct wts_version version = x->want.version;
	struct wts_progress progress;

	x->notify_idle = 0;
	wts_progress(wts, &version.root, &progress);
	if (wts->ops.phase != NULL)
		wts->ops.phase(&version, &progress, wts->ctx);
	return G_SOURCE_REMOVE;
}

static void
record_phase(const struct xfer *x)
{
	static const char *const names[] = {
		[WTS_UNKNOWN] = "unknown",
		[WTS_LIST] = "list",
		[WTS_FETCHING] = "fetching",
		[WTS_COMPLETE] = "whole",
		[WTS_NO_ROOM] = "no room",
	};
	struct tl *timeline = x->wts->conf.node->timeline;
	char root[DIGEST_HEX];

	if (timeline == NULL)
		return;
	digest_to_hex(&x->want.version.root, root);
	tl_add(timeline, "weights_phase", root,
	    "%s, %" G_GUINT64_FORMAT " of %" G_GUINT64_FORMAT " chunks",
	    names[x->phase], x->pick->have, x->pick->conf.chunks);
}

/* The owner is notified from the main loop, because it may drop the version in
 * the callback. */
static void
set_phase(struct xfer *x, enum wts_phase phase)
{
	if (x->phase == phase)
		return;
	x->phase = phase;
	record_phase(x);
	if (x->notify_idle == 0)
		x->notify_idle = g_idle_add(on_notify, x);
}

static void
set_why(struct xfer *x, const char *why)
{
	g_strlcpy(x->why, why, sizeof(x->why));
}

static void
on_filled(struct hold_version *version, uint64_t index, void *ctx)
{
	struct xfer *x = ctx;

	pick_complete(x->pick, index);
	mismatches_remove(x->mismatches, index);
	peers_queue_gained(x, index);
	/* The chunk may have been stored by another version's transfer. */
	xfer_pump_soon(x);
}

/*
 * A host that joins late, or continues with a next version, would read chunks
 * from the origin that other hosts of the rollout already have, if it read
 * before they had reported their chunks and claims. If all hosts start empty
 * there is nothing to wait for, which only the reports of all peers tell: the
 * first one may come from another host that has just started.
 */
static void
update_settling(struct xfer *x)
{
	struct peer *peer;

	if (x->pick->settle_until_us == 0 || x->pick->have > 0)
		return;
	TAILQ_FOREACH (peer, &x->peers, link) {
		if (peer->for_chunks.have > 0)
			return;
	}
	if (peers_all_announced(x))
		pick_settle(x->pick, 0);
}

void
xfer_try_reserve(struct xfer *x)
{
	uint64_t missing;
	struct peer *peer;
	uint64_t i;

	if (x->list == NULL || x->stored != NULL)
		return;
	x->stored = hold_open(
	    x->wts->hold, &x->want.version, x->list, on_filled, x, &missing);
	if (x->stored == NULL) {
		snprintf(x->why, sizeof(x->why),
		    "memory budget is %" G_GUINT64_FORMAT " bytes too small",
		    missing);
		set_phase(x, WTS_NO_ROOM);
		wts_release_retired(x->wts);
		return;
	}
	for (i = 0; i < x->pick->conf.chunks; i++) {
		if (hold_has(x->stored, i))
			pick_complete(x->pick, i);
	}
	set_phase(x, WTS_FETCHING);
	pick_settle(x->pick,
	    clk_now_us(x->wts->clock) +
		PICK_UPDATE_HOPS * x->update_interval_us);
	wts_release_retired(x->wts);
	TAILQ_FOREACH (peer, &x->peers, link) {
		if (peer->open)
			peer_send_have(peer);
	}
	xfer_pump_soon(x);
}

static struct pick *
new_pick(const struct xfer *x, uint64_t chunks, uint64_t chunk_bytes)
{
	struct wts *wts = x->wts;
	struct pick_conf conf = {
		.chunks = chunks,
		.chunk_bytes = chunk_bytes,
		.rate = wts->conf.download_bytes_s,
		.update_interval_us = x->update_interval_us,
		.origin_copies = 1,
		.members = 1,
	};

	return pick_new(&conf, clk_now_us(wts->clock));
}

struct xfer *
xfer_new(struct wts *wts, const struct wts_want *want)
{
	struct xfer *x = g_new0(struct xfer, 1);
	const struct wts_version *v = &want->version;
	double shortest_us =
	    (double)v->bytes * SECOND_US / (double)wts->conf.download_bytes_s;

	x->wts = wts;
	x->want = *want;
	x->phase = WTS_LIST;
	x->update_interval_us =
	    (int64_t)CLAMP(shortest_us / UPDATES_PER_TRANSFER,
		UPDATE_INTERVAL_MIN_US, UPDATE_INTERVAL_MAX_US);
	TAILQ_INIT(&x->peers);
	TAILQ_INIT(&x->reads);
	x->members = g_ptr_array_new_with_free_func(free_member);
	x->mismatches = mismatches_new();
	x->list_pick = new_pick(x, 1, version_list_len(v));
	x->pick = new_pick(x, wts_chunk_count(v), v->chunk_bytes);
	timer_init(&x->pump_timer, wts->clock, on_pump, x);
	timer_init(&x->dial_timer, wts->clock, on_dial, x);
	return x;
}

void
xfer_free(struct xfer *x)
{
	struct read *r;
	struct peer *peer;

	while ((r = TAILQ_FIRST(&x->reads)) != NULL)
		read_free(r);
	while ((peer = TAILQ_FIRST(&x->peers)) != NULL)
		peer_drop(peer);
	if (x->stored != NULL)
		hold_retire(x->stored);
	pick_free(x->list_pick);
	pick_free(x->pick);
	timer_stop(&x->pump_timer);
	timer_stop(&x->dial_timer);
	if (x->notify_idle != 0)
		g_source_remove(x->notify_idle);
	g_clear_pointer(&x->list, g_bytes_unref);
	mismatches_free(x->mismatches);
	g_ptr_array_unref(x->members);
	g_free(x);
}

void
xfer_set_want(struct xfer *x, const struct wts_want *want)
{
	unsigned int copies = 1;

	x->want.policy = want->policy;
	x->want.origin_copies = want->origin_copies;
	x->want.cross_domain_step_ms = want->cross_domain_step_ms;
	g_strlcpy(x->want.origin_domain, want->origin_domain,
	    sizeof(x->want.origin_domain));
	pick_set_claim_timeout(x->pick, (int64_t)want->claim_timeout_ms * 1000);
	pick_set_claim_timeout(
	    x->list_pick, (int64_t)want->claim_timeout_ms * 1000);
	if (want->policy == WTS_PEERS_ONLY)
		copies = 0;
	else if (want->policy == WTS_TIME_FIRST)
		copies = MAX(want->origin_copies, 1);
	pick_set_copies(x->list_pick, MIN(copies, 1));
	pick_set_copies(x->pick, copies);
	pick_set_reads(x->pick, want->max_reads);
	xfer_pump_soon(x);
}

/* ------------------------------------------------------------------ */
/* Members                                                             */
/* ------------------------------------------------------------------ */

static struct member *
new_member(const struct xfer *x, const struct wts_peer *from)
{
	struct member *m = g_new0(struct member, 1);
	uint64_t seed = x->wts->conf.seed ^
	    hash64(0, x->wts->conf.id, strlen(x->wts->conf.id));

	m->id = g_strdup(from->id);
	m->address = g_strdup(from->address);
	m->domain = g_strdup(from->domain);
	m->score = hash64(seed, m->id, strlen(m->id));
	return m;
}

static gint
by_score(gconstpointer a, gconstpointer b)
{
	const struct member *x = *(const struct member *const *)a;
	const struct member *y = *(const struct member *const *)b;

	return (x->score > y->score) - (x->score < y->score);
}

/* Copies the dial state of members that were present before. */
static void
copy_dial_state(struct xfer *x, GPtrArray *fresh)
{
	guint i;

	for (i = 0; i < fresh->len; i++) {
		struct member *m = fresh->pdata[i];
		const struct member *old = peers_member(x, m->id);

		if (old == NULL || strcmp(old->address, m->address) != 0)
			continue;
		m->redial_at_us = old->redial_at_us;
		m->refuse_until_us = old->refuse_until_us;
		m->failures = old->failures;
	}
}

static void
rank_chunks_cross_domain(
    struct xfer *x, const struct rank_member *all, size_t self)
{
	const struct digest *root = &x->want.version.root;
	int64_t step_us = (int64_t)x->want.cross_domain_step_ms * 1000;
	uint64_t i;

	if (step_us == 0)
		return;
	for (i = 0; i < x->pick->conf.chunks; i++)
		pick_set_cross_domain(x->pick, i,
		    rank_cross_domain(root, all, self + 1, self, i), step_us);
}

static void
rank_members(struct xfer *x)
{
	size_t n = x->members->len;
	struct rank_member *all = g_new0(struct rank_member, n + 1);
	const struct digest *root = &x->want.version.root;
	int64_t now_us = clk_now_us(x->wts->clock);
	struct rank rank;
	size_t i;

	for (i = 0; i < n; i++) {
		const struct member *m = x->members->pdata[i];

		all[i] = (struct rank_member){ m->id, m->domain };
	}
	all[n] = (struct rank_member){ x->wts->conf.id, x->wts->conf.domain };
	rank_build_in(&rank, root, all, n + 1, n,
	    x->want.origin_domain[0] == '\0' ? NULL : x->want.origin_domain);
	rank_chunks_cross_domain(x, all, n);
	for (i = 0; i < n; i++) {
		struct member *m = x->members->pdata[i];

		m->reader = rank_is_reader(&rank, root, m->id);
	}
	pick_set_rank(x->list_pick, &rank, n + 1, now_us);
	pick_set_rank(x->pick, &rank, n + 1, now_us);
	g_free(all);
}

void
xfer_set_members(struct xfer *x, const struct wts_peer *peers, size_t n)
{
	GPtrArray *fresh = g_ptr_array_new_with_free_func(free_member);
	size_t i;

	for (i = 0; i < n; i++) {
		if (strcmp(peers[i].id, x->wts->conf.id) != 0)
			g_ptr_array_add(fresh, new_member(x, &peers[i]));
	}
	g_ptr_array_sort(fresh, by_score);
	copy_dial_state(x, fresh);
	g_ptr_array_unref(x->members);
	x->members = fresh;
	peers_drop_removed(x);
	rank_members(x);
	peers_dial(x);
	xfer_pump_soon(x);
}

/* ------------------------------------------------------------------ */
/* Objects: the list and the chunks                                    */
/* ------------------------------------------------------------------ */

struct pick *
xfer_pick_of(struct xfer *x, uint64_t index)
{
	if (index == PROTO_LIST)
		return x->list_pick;
	return index < x->pick->conf.chunks ? x->pick : NULL;
}

uint64_t
xfer_pick_index(uint64_t index)
{
	return index == PROTO_LIST ? 0 : index;
}

uint64_t
xfer_len_of(const struct xfer *x, uint64_t index)
{
	if (index == PROTO_LIST)
		return version_list_len(&x->want.version);
	return version_chunk_len(&x->want.version, index);
}

struct digest_stream *
xfer_stream_of(const struct xfer *x, uint64_t index)
{
	const struct wts_version *v = &x->want.version;

	if (index == PROTO_LIST)
		return version_root_stream(v->bytes, v->chunk_bytes);
	return digest_stream_new();
}

bool
xfer_accept_object(struct xfer *x, uint64_t index, GBytes *bytes,
    const struct digest *got, struct peer *peer)
{
	bool list = index == PROTO_LIST;
	const struct digest *expected =
	    list ? &x->want.version.root : version_chunk_digest(x->list, index);
	struct pick_peer *from = NULL;

	if (peer != NULL)
		from = list ? &peer->for_list : &peer->for_chunks;
	if (!digest_equal(got, expected)) {
		/* Corrupt bytes are neither stored nor forwarded: this host
		 * only serves bytes whose digest it has verified itself. */
		pick_failed(xfer_pick_of(x, index), xfer_pick_index(index),
		    from, PICK_CORRUPT, clk_now_us(x->wts->clock));
		if (peer == NULL && !list)
			mismatches_add(x->mismatches, index, got);
		return false;
	}
	if (!list) {
		hold_put(x->stored, index, bytes);
		return true;
	}
	pick_complete(x->list_pick, 0);
	if (x->list == NULL)
		x->list = g_bytes_ref(bytes);
	xfer_try_reserve(x);
	return true;
}

/* ------------------------------------------------------------------ */
/* Decisions                                                           */
/* ------------------------------------------------------------------ */

static bool
may_fetch(
    struct xfer *x, const struct pick *pick, int64_t now_us, int64_t *until_us)
{
	int64_t allowed_debt_us =
	    (int64_t)(FETCH_DEBT_MAX_CHUNKS * (double)pick->conf.chunk_bytes *
		SECOND_US / (double)pick->conf.rate);

	*until_us = bucket_ready_us(&x->wts->down, now_us) - allowed_debt_us;
	if (*until_us > now_us)
		return false;
	*until_us = INT64_MAX;
	return true;
}

static void
expire(struct xfer *x, struct pick *pick, const struct pick_action *a,
    int64_t now_us)
{
	struct peer *peer = a->peer->owner;

	ctr_add(x->wts->counts.stalls, 1);
	pick_failed(pick, a->index, a->peer, PICK_STALLED, now_us);
	peer_drop_failing(peer);
}

static void
run_action(struct xfer *x, struct pick *pick, const struct pick_action *a,
    int64_t now_us)
{
	struct wts *wts = x->wts;
	uint64_t index = pick == x->list_pick ? PROTO_LIST : a->index;
	struct proto_get get = { .index = index, .have = x->pick->have };

	switch (a->kind) {
	case PICK_REQUEST:
		pick_begin(pick, a, now_us);
		conn_send(((struct peer *)a->peer->owner)->conn,
		    &proto_get_desc, &get);
		break;
	case PICK_READ:
		pick_begin(pick, a, now_us);
		ctr_add(wts->counts.out_of_turn, a->rank > 0 && !a->extra);
		ctr_add(wts->counts.extra_reads, a->extra);
		peers_queue_claim(x, index, a->rank, NULL);
		read_start(x, index);
		break;
	case PICK_EXPIRE:
		expire(x, pick, a, now_us);
		break;
	case PICK_WAIT:
	case PICK_DONE:
		break;
	}
}

static void
set_wait_reason(struct xfer *x, const struct pick *pick, const char *why)
{
	if (pick->corrupt_reads >= CORRUPT_READS_REPORTED) {
		snprintf(x->why, sizeof(x->why),
		    "origin: the copy of %s %" G_GUINT64_FORMAT
		    " does not match its digest (%u tries)",
		    pick == x->list_pick ? "the list" : "chunk",
		    pick->corrupt_read_index, pick->corrupt_reads);
		return;
	}
	set_why(x, why);
}

void
xfer_pump_soon(struct xfer *x)
{
	timer_set_earlier(&x->pump_timer, clk_now_us(x->wts->clock));
}

void
xfer_pump(struct xfer *x)
{
	struct pick *pick = x->phase == WTS_LIST ? x->list_pick : x->pick;
	int64_t now_us = clk_now_us(x->wts->clock);
	int64_t fetch_us;
	bool fetch;
	struct pick_action a;

	if (x->phase != WTS_LIST && x->phase != WTS_FETCHING)
		return;
	update_settling(x);
	for (;;) {
		fetch = may_fetch(x, pick, now_us, &fetch_us);
		pick_next(pick, fetch, now_us, &x->wts->rng, &a);
		if (a.kind == PICK_WAIT || a.kind == PICK_DONE)
			break;
		run_action(x, pick, &a, now_us);
	}
	if (a.kind == PICK_DONE) {
		set_why(x, "");
		if (pick == x->pick)
			set_phase(x, WTS_COMPLETE);
		return;
	}
	set_wait_reason(x, pick, a.why);
	if (MIN(a.until_us, fetch_us) != INT64_MAX)
		timer_set(&x->pump_timer, MIN(a.until_us, fetch_us));
}
