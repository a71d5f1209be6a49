/* Client of the object store: mirrors of its kinds. */

#include <string.h>

#include "http/fetch.h"
#include "store/store.h"

/*
 * A connection can fall silent for good while the socket's probes are still
 * answered: news then stop without an error, and settings grow old unnoticed.
 * Only an answer that is due and does not come shows it. A watch waits at most
 * for what the silence may last, less this for its answer and the next call;
 * each is paid for as one call, so shorter ones cost more.
 */
#define WATCH_ANSWER_US 800000
#define WATCH_WAIT_MIN_US 500000
/*
 * The store answers within milliseconds, or some hundred when it is slow. A
 * call that it took in while it was silent hangs for good; the time until it
 * is given up is time without settings after its return. So many failures double
 * it, for a store that is slower still.
 */
#define CALL_TIMEOUT_TRIES 3
#define CALL_TIMEOUT_US 600000
#define CALL_TIMEOUT_MAX_US 2500000
/* Watches that find out whether the store is back do not wait for changes. */
#define PROBE_WAIT_MS 100
/* Calls to a store that does not answer cost as much as others: one mirror
 * tries again soon, and its first answer wakes the others. */
#define REST_FIRST_US 150000
#define REST_MAX_US 400000
#define REST_FOLLOWER_US 2000000
/* Calls that fail in a row before the store counts as away. A process that
 * stood still finds all its calls timed out at once, and the next answered. */
#define AWAY_FAILURES 2
#define BODY_MAX (8u << 20) /* a page is about 1 MB */

struct store {
	struct store_conf conf;
	char *address;
	struct rng rng;
	LIST_HEAD(mirrors, store_cache) mirrors;
	struct ctr *calls, *failed, *unreadable;
};

enum store_cache_state {
	MIRROR_LIST,
	MIRROR_WATCH,
	MIRROR_REST, /* until the timer */
};

struct known {
	int64_t revision;
	unsigned int listing; /* the listing that last had it */
	bool told; /* its value was readable, and passed on */
};

struct store_cache {
	LIST_ENTRY(store_cache) link;
	struct store *store;
	const struct store_kind *kind;
	struct store_cache_ops ops;
	void *ctx;
	enum store_cache_state state;
	struct hfetch *call;
	struct evl_timer timer;
	GHashTable *known; /* name -> struct known */
	unsigned int listing;
	char *after; /* last name of the pages so far */
	int64_t list_at; /* revision of the first page */
	int64_t at;
	int64_t made_us;
	int64_t heard_us;
	int64_t gather_us;
	int64_t rest_us;
	unsigned int failures; /* in a row */
	bool synced;
	bool watching; /* `at` is good to watch from */
	bool down;
};

static void next_call(struct store_cache *m);

static int64_t
now_us(const struct store_cache *m)
{
	return evl_now_us(m->store->conf.loop);
}

/* ------------------------------------------------------------------ */
/* The store's silence and return                                      */
/* ------------------------------------------------------------------ */

static void
set_link(struct store_cache *m, bool up, const char *why)
{
	if (m->down == !up)
		return;
	m->down = !up;
	if (m->ops.link != NULL)
		m->ops.link(up, why, m->ctx);
}

int64_t
store_down_since_us(const struct store *s)
{
	const struct store_cache *m;
	int64_t heard_us = 0;
	unsigned int failures = 0;

	LIST_FOREACH (m, &s->mirrors, link) {
		if (!m->down)
			return 0;
		heard_us = MAX(heard_us, MAX(m->heard_us, m->made_us));
		failures = MAX(failures, m->failures);
	}
	return failures < AWAY_FAILURES ? 0 : heard_us;
}

/* The one of the mirrors without an answer that tries for all. */
static bool
is_prober(const struct store_cache *m)
{
	const struct store_cache *other;

	LIST_FOREACH (other, &m->store->mirrors, link) {
		if (other->down)
			return other == m;
	}
	return true;
}

static int64_t
call_timeout_us(const struct store_cache *m)
{
	return MIN((int64_t)CALL_TIMEOUT_US
		<< MIN(m->failures / CALL_TIMEOUT_TRIES, 8),
	    CALL_TIMEOUT_MAX_US);
}

static void
rest(struct store_cache *m, const char *why)
{
	int64_t jitter;

	ctr_add(m->store->failed, 1);
	m->failures++;
	set_link(m, false, why);
	if (!is_prober(m))
		m->rest_us = REST_FOLLOWER_US;
	else if (m->rest_us == 0)
		m->rest_us = REST_FIRST_US;
	else
		m->rest_us = MIN(2 * m->rest_us, REST_MAX_US);
	jitter =
	    (int64_t)rng_below(&m->store->rng, (uint64_t)m->rest_us / 4 + 1);
	m->state = MIRROR_REST;
	evl_timer_set(
	    m->store->conf.loop, &m->timer, now_us(m) + m->rest_us - jitter);
}

/* One mirror was answered: those that rest need not wait longer. */
static void
answered(struct store_cache *m)
{
	struct store_cache *other;

	m->heard_us = now_us(m);
	m->rest_us = 0;
	m->failures = 0;
	if (!m->down)
		return;
	set_link(m, true, "answered");
	LIST_FOREACH (other, &m->store->mirrors, link) {
		if (other->state == MIRROR_REST)
			evl_timer_set(
			    m->store->conf.loop, &other->timer, now_us(m));
	}
}

/* ------------------------------------------------------------------ */
/* What an answer says                                                 */
/* ------------------------------------------------------------------ */

static void
tell_removed(
    struct store_cache *m, struct known *k, const char *name, bool lapsed)
{
	if (k->told)
		m->ops.removed(name, lapsed, m->ctx);
	k->told = false;
}

/* Another writer's entry, or a spoilt one. What it said before, when it was
 * good, is not believed any longer; the others hold. */
static void
take_unreadable(
    struct store_cache *m, struct known *k, const struct store_item *item)
{
	ctr_add(m->store->unreadable, 1);
	log_warn("store: %s/%s: %s", m->kind->name, item->name, item->why);
	tell_removed(m, k, item->name, false);
}

static void
take_item(struct store_cache *m, struct store_item *item)
{
	struct known *k = g_hash_table_lookup(m->known, item->name);

	if (k != NULL && item->revision < k->revision) {
		/* News that another answer has overtaken. */
		if (item->value != NULL)
			m->kind->free(item->value);
		return;
	}
	if (item->removed) {
		if (k != NULL)
			tell_removed(m, k, item->name, false);
		g_hash_table_remove(m->known, item->name);
		return;
	}
	if (k != NULL && item->revision == k->revision) {
		k->listing = m->listing;
		if (item->value != NULL)
			m->kind->free(item->value);
		return;
	}
	if (k == NULL) {
		k = g_new0(struct known, 1);
		g_hash_table_insert(m->known, g_strdup(item->name), k);
	}
	k->revision = item->revision;
	k->listing = m->listing;
	if (item->value == NULL) {
		take_unreadable(m, k, item);
		return;
	}
	k->told = true;
	m->ops.put(item->name, item->value, m->ctx);
}

/* What the listing did not have is gone. */
static void
sweep(struct store_cache *m)
{
	GHashTableIter iter;
	gpointer name, value;
	GPtrArray *gone = g_ptr_array_new_with_free_func(g_free);
	guint i;

	g_hash_table_iter_init(&iter, m->known);
	while (g_hash_table_iter_next(&iter, &name, &value)) {
		if (((struct known *)value)->listing != m->listing)
			g_ptr_array_add(gone, g_strdup(name));
	}
	for (i = 0; i < gone->len; i++) {
		tell_removed(m, g_hash_table_lookup(m->known, gone->pdata[i]),
		    gone->pdata[i], true);
		g_hash_table_remove(m->known, gone->pdata[i]);
	}
	g_ptr_array_unref(gone);
}

static void
take_items(struct store_cache *m, struct store_page *page)
{
	struct store_item *item;
	guint i;

	for (i = 0; i < page->items->len; i++) {
		item = &g_array_index(page->items, struct store_item, i);
		if (i + 1 == page->items->len && page->more) {
			g_free(m->after);
			m->after = g_strdup(item->name);
		}
		take_item(m, item);
		g_free(item->name);
	}
	g_array_set_size(page->items, 0);
}

static void
drop_items(struct store_cache *m, struct store_page *page)
{
	struct store_item *item;
	guint i;

	for (i = 0; i < page->items->len; i++) {
		item = &g_array_index(page->items, struct store_item, i);
		if (item->value != NULL)
			m->kind->free(item->value);
		g_free(item->name);
	}
}

static void
begin_list(struct store_cache *m)
{
	m->state = MIRROR_LIST;
	m->watching = false;
	m->listing++;
	m->list_at = 0;
	g_clear_pointer(&m->after, g_free);
}

/* On to the next watch, when what comes meanwhile has gathered. */
static void
gather(struct store_cache *m)
{
	if (m->gather_us == 0)
		next_call(m);
	else
		evl_timer_set(
		    m->store->conf.loop, &m->timer, now_us(m) + m->gather_us);
}

static void
take_page(struct store_cache *m, struct store_page *page)
{
	if (page->revision < m->at) {
		/* An answer from the past: what is known here is newer. */
		drop_items(m, page);
		begin_list(m);
		rest(m, "stale answer");
		return;
	}
	answered(m);
	take_items(m, page);
	if (m->state == MIRROR_WATCH) {
		m->at = page->revision;
		gather(m);
		return;
	}
	if (m->list_at == 0)
		m->list_at = page->revision;
	if (page->more) {
		next_call(m);
		return;
	}
	/* Changes made while the pages came are in the watch's events. */
	m->at = m->list_at;
	sweep(m);
	m->synced = true;
	m->watching = true;
	m->state = MIRROR_WATCH;
	if (m->ops.synced != NULL)
		m->ops.synced(m->ctx);
	gather(m);
}

/* ------------------------------------------------------------------ */
/* Calls                                                               */
/* ------------------------------------------------------------------ */

static void
read_answer(struct store_cache *m, const struct hfetch_answer *a)
{
	struct store_page page = { 0 };
	struct err err = { 0 };

	page.items = g_array_new(FALSE, FALSE, sizeof(struct store_item));
	if (m->store->conf.dialect->read_page(
		m->kind, a->body, a->len, &page, &err))
		take_page(m, &page);
	else {
		drop_items(m, &page);
		log_warn("store: answer about %s not readable: %s",
		    m->kind->name, err.message);
		rest(m, "unreadable answer");
	}
	g_array_unref(page.items);
}

static void
on_answer(const struct hfetch_answer *a, void *ctx)
{
	struct store_cache *m = ctx;
	char why[32];

	m->call = NULL;
	/* Kept connections may be as silent as the one that was used. */
	if (a->status == 0)
		hpool_forget(m->store->conf.pool, m->store->address);
	if (a->status == 200) {
		read_answer(m, a);
	} else if (a->status == 410 && m->state == MIRROR_WATCH) {
		begin_list(m); /* the history from there on is gone */
		next_call(m);
	} else if (a->status == 0) {
		rest(m, a->why);
	} else {
		g_snprintf(why, sizeof(why), "status_%u", a->status);
		rest(m, why);
	}
}

static int64_t
watch_wait_ms(const struct store_cache *m)
{
	int64_t wait_us = m->store->conf.stall_timeout_us - WATCH_ANSWER_US;

	if (m->down)
		return PROBE_WAIT_MS;
	return MAX(wait_us, WATCH_WAIT_MIN_US) / 1000;
}

static void
next_call(struct store_cache *m)
{
	const struct store_conf *conf = &m->store->conf;
	bool watch = m->state == MIRROR_WATCH;
	int64_t wait_ms = watch ? watch_wait_ms(m) : 0;
	char *path;

	if (watch)
		path = conf->dialect->watch_path(m->kind, m->at, wait_ms);
	else
		path = conf->dialect->list_path(m->kind, m->after);
	m->call = hfetch_start(conf->loop, conf->pool,
	    &(struct hfetch_conf){ .address = m->store->address,
		.method = "GET",
		.path = path,
		.timeout_us = wait_ms * 1000 + call_timeout_us(m),
		.answer_max = BODY_MAX,
		.done = on_answer,
		.ctx = m });
	ctr_add(m->store->calls, 1);
	g_free(path);
}

static void
on_timer(struct evl_timer *t)
{
	struct store_cache *m = CONTAINER_OF(t, struct store_cache, timer);

	/* After a rest: go on watching from where the news stopped, unless it
	 * was a listing that failed. */
	if (m->watching)
		m->state = MIRROR_WATCH;
	else
		begin_list(m);
	next_call(m);
}

/* ------------------------------------------------------------------ */
/* Making                                                              */
/* ------------------------------------------------------------------ */

struct store *
store_new(const struct store_conf *conf)
{
	struct store *s = g_new0(struct store, 1);

	s->conf = *conf;
	s->address = g_strdup(conf->address);
	rng_seed(&s->rng, conf->seed);
	LIST_INIT(&s->mirrors);
	s->calls = ctr_get(conf->counters, "store_calls");
	s->failed = ctr_get(conf->counters, "store_calls_failed");
	s->unreadable = ctr_get(conf->counters, "store_entries_unreadable");
	return s;
}

void
store_set_address(struct store *s, const char *address)
{
	g_free(s->address);
	s->address = g_strdup(address);
}

void
store_free(struct store *s)
{
	struct store_cache *m;

	while ((m = LIST_FIRST(&s->mirrors)) != NULL) {
		LIST_REMOVE(m, link);
		if (m->call != NULL)
			hfetch_cancel(m->call);
		evl_timer_stop(s->conf.loop, &m->timer);
		g_hash_table_unref(m->known);
		g_free(m->after);
		g_free(m);
	}
	g_free(s->address);
	g_free(s);
}

struct store_cache *
store_cache_new(struct store *s, const struct store_kind *kind,
    const struct store_cache_ops *ops, void *ctx)
{
	struct store_cache *m = g_new0(struct store_cache, 1);

	m->store = s;
	m->kind = kind;
	m->ops = *ops;
	m->ctx = ctx;
	m->timer.fire = on_timer;
	m->made_us = now_us(m);
	m->gather_us = kind->batch_delay_us;
	m->known =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	LIST_INSERT_HEAD(&s->mirrors, m, link);
	begin_list(m);
	next_call(m);
	return m;
}

void
store_cache_set_batch_delay(struct store_cache *m, int64_t gather_us)
{
	m->gather_us = gather_us;
}

bool
store_cache_synced(const struct store_cache *m)
{
	return m->synced;
}

int64_t
store_cache_answered_us(const struct store_cache *m)
{
	return m->heard_us;
}

int64_t
store_cache_revision(const struct store_cache *m)
{
	return m->at;
}
