/* Client of the object store: caches of its kinds. */

#include <string.h>

#include "common/evt.h"
#include "http/fetch.h"
#include "store/store.h"

/*
 * A connection can stall for good while the socket's keepalive probes are still
 * answered: updates then stop without an error, and settings become stale
 * unnoticed. Only a missing answer at its deadline shows it. A watch waits at
 * most for the time within which changes must be known, less this time for its
 * timeout, the backoff and the next call; each watch is paid for as one call, so
 * shorter ones cost more.
 */
#define WATCH_ANSWER_US 800000
/* The part of an explicit bound that is left to a busy process or link. */
#define CHANGE_BOUND_MARGIN_US 300000
#define WATCH_WAIT_MIN_US 500000
/*
 * The store answers within milliseconds, or some hundred when it is slow. A
 * call that it accepted while it was stalled hangs for good, and the time until
 * the call is given up is time without settings after the store's return. This
 * many failures double the timeout, for a store that is slower still. The time
 * until a return is noticed stays below a short timeout and a backoff, as a second
 * cache probes with these then.
 */
#define CALL_TIMEOUT_ATTEMPTS 3
#define CALL_TIMEOUT_US 600000
#define CALL_TIMEOUT_MAX_US 2500000
/* Answers that arrive may take longer: settings of 1 MB over a thin link. */
#define ARRIVAL_TIMEOUT_US CALL_TIMEOUT_US
#define ARRIVAL_MAX_US 10000000
/*
 * The store may end a watch at any time, so an early end does not show whether it
 * answers other calls. A watch without a wait shows it, as it must be answered at
 * once. Processes whose watches were cut off together spread these calls over this
 * time.
 */
#define CUT_SPREAD_US 50000
/* Calls to a store that does not answer cost as much as others: only one
 * or two caches retry soon, and their first answer wakes the others. */
#define BACKOFF_FIRST_US 150000
#define BACKOFF_MAX_US 400000
#define BACKOFF_FOLLOWER_US 2000000
/* Consecutive answers missing from which the store counts as down. A process that
 * stalled finds that all its calls have timed out at once, and the next ones
 * are answered. */
#define DOWN_MISSING 2
/* An answer with this many values that a later one in it replaces is a replay of
 * history: the cache is behind. */
#define SUPERSEDED_BEHIND 4
/* A list that cannot be read to its end is tried again after this time. */
#define LIST_AGAIN_US 5000000
#define NAME_CHARACTERS G_CSET_a_2_z G_CSET_A_2_Z G_CSET_DIGITS "-._:/"
#define BODY_MAX (8u << 20) /* a page is about 1 MB */

struct store {
	struct store_conf conf;
	char *address;
	struct rng rng;
	LIST_HEAD(caches, store_cache) caches;
	int64_t history; /* newest known number; 0: not known */
	struct ctr *calls, *failed, *unreadable, *cuts;
	struct ctr *bytes, *items, *superseded; /* of answers */
};

enum store_cache_state {
	CACHE_LIST,
	CACHE_WATCH,
	CACHE_BACKOFF, /* until the timer fires */
};

struct cached_object {
	int64_t revision;
	unsigned int listing; /* the last listing that contained it */
	unsigned int page; /* the last answer that contained it */
	bool reported; /* its value was readable and was reported */
};

struct store_cache {
	LIST_ENTRY(store_cache) link;
	/* Slowest pace of reading an answer, with what follows from it. */
	double read_us_per_byte;
	struct store *store;
	const struct store_kind *kind;
	struct store_cache_ops ops;
	void *ctx;
	enum store_cache_state state;
	struct hfetch *call;
	struct evl_timer timer;
	GHashTable *known; /* name -> struct cached_object */
	unsigned int listing;
	unsigned int page; /* answers read so far */
	unsigned int superseded; /* values that the last answer replaced */
	/* Objects of the last answer that no page of its listing had before. */
	unsigned int newly_listed;
	char *after; /* last name of the pages received so far */
	int64_t list_revision; /* revision of the first page */
	int64_t revision;
	int64_t answered_us;
	int64_t called_us; /* begin of the last call */
	int64_t wait_ms; /* that the store was to hold it; 0: none */
	int64_t batch_delay_us;
	int64_t change_bound_us;
	int64_t backoff_us;
	unsigned int failures; /* consecutive */
	/* Consecutive calls that the store had to answer and did not. */
	unsigned int missing;
	int64_t missing_us; /* when the first of them was due */
	/* Watches that ended early since the last one that was answered after
	 * a wait, and the time of the first. */
	unsigned int cuts;
	int64_t cut_us;
	bool check; /* the next watch must be answered at once */
	bool synced;
	bool partial; /* the last list was not read to its end */
	int64_t list_again_us; /* with `partial` */
	bool watching; /* `revision` is valid to watch from */
	bool down; /* as last reported by the `link` operation */
	/* The last call failed for a reason that all kinds share: the store does
	 * not answer, or takes no more calls. */
	bool common;
	/* The last call got no answer in its time, and when a call was last
	 * given up for that; 0: none since the last answer. */
	bool unanswered;
	int64_t lost_us;
	bool stale; /* the last answer was older than what is known */
};

static void next_call(struct store_cache *c);

static int64_t
now_us(const struct store_cache *c)
{
	return evl_now_us(c->store->conf.loop);
}

/* ------------------------------------------------------------------ */
/* Outages of the store                                                */
/* ------------------------------------------------------------------ */

static void
set_link(struct store_cache *c, bool up, const char *why)
{
	if (c->down == !up)
		return;
	c->down = !up;
	if (c->ops.link != NULL)
		c->ops.link(up, why, c->ctx);
}

int64_t
store_history(const struct store *s)
{
	return s->history;
}

int64_t
store_down_since_us(const struct store *s)
{
	const struct store_cache *c;
	int64_t answered_us = 0, due_us = INT64_MAX;
	unsigned int missing = 0;

	LIST_FOREACH (c, &s->caches, link) {
		if (c->missing == 0)
			return 0;
		answered_us = MAX(answered_us, c->answered_us);
		due_us = MIN(due_us, c->missing_us);
		missing = MAX(missing, c->missing);
	}
	return missing < DOWN_MISSING ? 0 : MAX(due_us, answered_us);
}

/* The cache after `c`, or the first one of the store, whose last call failed for a
 * reason that all kinds share. */
static const struct store_cache *
next_failing(const struct store *s, const struct store_cache *c)
{
	c = c == NULL ? LIST_FIRST(&s->caches) : LIST_NEXT(c, link);
	while (c != NULL && !c->common)
		c = LIST_NEXT(c, link);
	return c;
}

/*
 * Whether this cache, the second one without an answer, probes the store beside
 * the first one. It does once that waits for longer, as for a slow store, and
 * keeps to the shortest timeout: a call that the store took just before it
 * returned would otherwise hide the return for the longer one.
 */
static bool
is_second_prober(const struct store_cache *c)
{
	const struct store_cache *first = next_failing(c->store, NULL);

	return first != NULL && first != c && first->unanswered &&
	    first->failures >= CALL_TIMEOUT_ATTEMPTS &&
	    next_failing(c->store, first) == c;
}

/* Whether this cache, among those, probes for all. */
static bool
is_prober(const struct store_cache *c)
{
	return next_failing(c->store, NULL) == c || is_second_prober(c);
}

static int64_t
call_timeout_us(const struct store_cache *c)
{
	if (is_second_prober(c))
		return CALL_TIMEOUT_US;
	return MIN((int64_t)CALL_TIMEOUT_US
		<< MIN(c->failures / CALL_TIMEOUT_ATTEMPTS, 8),
	    CALL_TIMEOUT_MAX_US);
}

/* What a call without a result shows. */
enum call_failure {
	CALL_CUT, /* nothing: a watch ended before its time */
	CALL_MISSING, /* the store had to answer and did not */
	CALL_LIMITED, /* the store takes no more calls */
	CALL_USELESS, /* the store answered, with nothing of use for this kind */
};

/* `wait_ms`: how long the store was to hold the call without an answer. */
static enum call_failure
failure_of(const struct hfetch_answer *a, int64_t wait_ms)
{
	if (a->status == 429)
		return CALL_LIMITED;
	if (a->status != 0 && a->status < 500)
		return CALL_USELESS;
	if (a->status == 0 && a->timed_out)
		return CALL_MISSING;
	if (a->status == 0 && a->failure == HCALL_UNREACHABLE)
		return CALL_MISSING;
	if (a->status == 0 &&
	    (a->failure == HCALL_MALFORMED || a->failure == HCALL_TOO_LONG))
		return CALL_USELESS;
	return wait_ms > 0 ? CALL_CUT : CALL_MISSING;
}

static void
back_off(struct store_cache *c, const char *why, enum call_failure failure)
{
	int64_t jitter;

	ctr_add(c->store->failed, 1);
	c->failures++;
	if (failure != CALL_MISSING)
		c->missing = 0;
	else if (c->missing++ == 0)
		c->missing_us = c->unanswered ? c->called_us + c->wait_ms * 1000
					      : now_us(c);
	c->common = failure != CALL_USELESS;
	set_link(c, false, why);
	if (c->common && !is_prober(c))
		c->backoff_us = BACKOFF_FOLLOWER_US;
	else if (c->backoff_us == 0)
		c->backoff_us = BACKOFF_FIRST_US;
	else
		c->backoff_us = MIN(2 * c->backoff_us, BACKOFF_MAX_US);
	jitter =
	    (int64_t)rng_below(&c->store->rng, (uint64_t)c->backoff_us / 4 + 1);
	c->state = CACHE_BACKOFF;
	evl_timer_set(
	    c->store->conf.loop, &c->timer, now_us(c) + c->backoff_us - jitter);
}

/* Asks the store at once whether it answers. */
static void
handle_cut(struct store_cache *c, const char *why)
{
	int64_t now = now_us(c);

	ctr_add(c->store->cuts, 1);
	if (c->cuts++ == 0) {
		c->cut_us = now;
		evt(EVT_STORE_WATCH,
		    "kind=%s state=cut why=%s ms=%" G_GINT64_FORMAT
		    " wait_ms=%" G_GINT64_FORMAT,
		    c->kind->name, why, (now - c->called_us) / 1000,
		    c->wait_ms);
	}
	c->check = true;
	evl_timer_set(c->store->conf.loop, &c->timer,
	    now + (int64_t)rng_below(&c->store->rng, CUT_SPREAD_US));
}

/* A watch was answered, at once or after a wait. */
static void
note_watch_answered(struct store_cache *c)
{
	c->check = false;
	if (c->cuts == 0 || c->wait_ms == 0)
		return;
	evt(EVT_STORE_WATCH, "kind=%s state=kept cuts=%u ms=%" G_GINT64_FORMAT,
	    c->kind->name, c->cuts, (now_us(c) - c->cut_us) / 1000);
	c->cuts = 0;
}

/* Time to the next watch, of which the store may end each one at once. */
static int64_t
cut_pause_us(const struct store_cache *c)
{
	if (c->cuts < 2)
		return 0;
	return MIN(
	    (int64_t)BACKOFF_FIRST_US << MIN(c->cuts - 2, 8), BACKOFF_MAX_US);
}

static void
begin_list(struct store_cache *c)
{
	c->state = CACHE_LIST;
	c->watching = false;
	c->check = false;
	c->listing++;
	c->list_revision = 0;
	g_clear_pointer(&c->after, g_free);
}

/* A watch that began before another cache's call was found lost may be lost as
 * well: without an answer it looks like one of a kind that does not change. */
static bool
may_be_lost(const struct store_cache *c, int64_t lost_us)
{
	return c->state == CACHE_WATCH && c->call != NULL &&
	    c->called_us < lost_us;
}

/* Ends the call and makes the next one. */
static void
repeat_call(struct store_cache *c)
{
	hfetch_cancel(c->call);
	if (c->kind->newest_only)
		begin_list(c);
	next_call(c);
}

/* One cache got an answer: those in backoff retry at once, and so do those whose
 * calls may have been lost with its own. */
static void
handle_success(struct store_cache *c)
{
	struct store_cache *other;
	int64_t lost_us = c->lost_us;
	bool was_down = c->down;

	set_link(c, true, "answered");
	c->answered_us = now_us(c);
	c->backoff_us = 0;
	c->failures = 0;
	c->missing = 0;
	c->common = false;
	c->lost_us = 0;
	if (!was_down)
		return;
	LIST_FOREACH (other, &c->store->caches, link) {
		if (other->state == CACHE_BACKOFF)
			evl_timer_set(
			    c->store->conf.loop, &other->timer, now_us(c));
		else if (other != c && may_be_lost(other, lost_us))
			repeat_call(other);
	}
}

/* ------------------------------------------------------------------ */
/* Contents of answers                                                 */
/* ------------------------------------------------------------------ */

static void
report_removed(struct store_cache *c, struct cached_object *k, const char *name,
    bool expired)
{
	if (k->reported)
		c->ops.removed(name, expired, c->ctx);
	k->reported = false;
}

/* A malformed object, or one of an unrelated writer. Its previous value, if
 * it had a valid one, no longer counts; other objects are unaffected. */
static void
handle_unreadable(struct store_cache *c, struct cached_object *k,
    const struct store_item *item)
{
	/* Another writer may have chosen the name. */
	char *name = g_strcanon(g_strdup(item->name), NAME_CHARACTERS, '_');

	ctr_add(c->store->unreadable, 1);
	evt(EVT_STORE_ENTRY, "kind=%s name=%s why=%s", c->kind->name, name,
	    item->why);
	g_free(name);
	report_removed(c, k, item->name, false);
}

static void
set_listed(struct store_cache *c, struct cached_object *k)
{
	c->newly_listed += k->listing != c->listing;
	k->listing = c->listing;
}

static void
handle_item(struct store_cache *c, struct store_item *item)
{
	struct cached_object *k = g_hash_table_lookup(c->known, item->name);

	if (item->replaced) {
		c->superseded++;
		return;
	}
	if (k != NULL && item->revision < k->revision) {
		/* An update older than one in another answer. */
		if (item->value != NULL)
			c->kind->free(item->value);
		return;
	}
	if (item->removed) {
		if (k != NULL)
			report_removed(c, k, item->name, false);
		g_hash_table_remove(c->known, item->name);
		return;
	}
	if (k != NULL && item->revision == k->revision) {
		set_listed(c, k);
		if (item->value != NULL)
			c->kind->free(item->value);
		return;
	}
	if (k == NULL) {
		k = g_new0(struct cached_object, 1);
		g_hash_table_insert(c->known, g_strdup(item->name), k);
	}
	if (k->page == c->page)
		c->superseded++;
	k->page = c->page;
	k->revision = item->revision;
	set_listed(c, k);
	if (item->value == NULL) {
		handle_unreadable(c, k, item);
		return;
	}
	k->reported = true;
	c->ops.put(item->name, item->value, c->ctx);
}

/* Removes what the listing did not contain. */
static void
remove_unlisted(struct store_cache *c)
{
	GHashTableIter iter;
	gpointer name, value;
	GPtrArray *removed = g_ptr_array_new_with_free_func(g_free);
	guint i;

	g_hash_table_iter_init(&iter, c->known);
	while (g_hash_table_iter_next(&iter, &name, &value)) {
		if (((struct cached_object *)value)->listing != c->listing)
			g_ptr_array_add(removed, g_strdup(name));
	}
	for (i = 0; i < removed->len; i++) {
		report_removed(c,
		    g_hash_table_lookup(c->known, removed->pdata[i]),
		    removed->pdata[i], true);
		g_hash_table_remove(c->known, removed->pdata[i]);
	}
	g_ptr_array_unref(removed);
}

static gint
by_revision(gconstpointer a, gconstpointer b)
{
	const struct store_item *x = a, *y = b;

	return (x->revision > y->revision) - (x->revision < y->revision);
}

/* Handles a listing, which has the order of names, in the order of changes as a
 * watch reports them: of two records of one thing the newer one comes last. */
static void
handle_items(struct store_cache *c, struct store_page *page)
{
	guint i, n = page->items->len;
	struct store_item *item;

	if (n > 0 && page->more) {
		item = &g_array_index(page->items, struct store_item, n - 1);
		g_free(c->after);
		c->after = g_strdup(item->name);
	}
	if (c->state == CACHE_LIST)
		g_array_sort(page->items, by_revision);
	for (i = 0; i < n; i++) {
		item = &g_array_index(page->items, struct store_item, i);
		handle_item(c, item);
		g_free(item->name);
	}
	g_array_set_size(page->items, 0);
}

static void
drop_items(struct store_cache *c, struct store_page *page)
{
	struct store_item *item;
	guint i;

	for (i = 0; i < page->items->len; i++) {
		item = &g_array_index(page->items, struct store_item, i);
		if (item->value != NULL)
			c->kind->free(item->value);
		g_free(item->name);
	}
}

/* Starts the next call after the batch delay, or a longer one while watches are
 * cut off. */
static void
schedule_call(struct store_cache *c)
{
	int64_t delay_us = MAX(c->batch_delay_us, cut_pause_us(c));

	if (delay_us == 0)
		next_call(c);
	else
		evl_timer_set(
		    c->store->conf.loop, &c->timer, now_us(c) + delay_us);
}

/* Logs the first of a row of answers that are older than what is known. */
static void
log_stale(struct store_cache *c, const char *number, int64_t got, int64_t known)
{
	if (!c->stale)
		evt(EVT_STORE_STALE,
		    "kind=%s %s=%" G_GINT64_FORMAT " known=%" G_GINT64_FORMAT,
		    c->kind->name, number, got, known);
	c->stale = true;
}

static void
set_partial(struct store_cache *c, bool partial)
{
	if (partial != c->partial)
		evt(EVT_STORE_LIST, "kind=%s outcome=%s objects=%u",
		    c->kind->name, partial ? "partial" : "complete",
		    g_hash_table_size(c->known));
	c->partial = partial;
	c->list_again_us = now_us(c) + LIST_AGAIN_US;
}

/* Changes made while the pages were read are in the watch's events. */
static void
begin_watch(struct store_cache *c)
{
	c->revision = c->list_revision;
	c->watching = true;
	c->state = CACHE_WATCH;
}

static void
handle_complete_list(struct store_cache *c)
{
	begin_watch(c);
	set_partial(c, false);
	remove_unlisted(c);
	c->synced = true;
	if (c->ops.synced != NULL)
		c->ops.synced(c->ctx);
}

/*
 * A page that brings no further object leads nowhere: it ended with an object
 * without a name, or the store does not continue after the last name. What was
 * read is used, and nothing counts as removed.
 */
static void
handle_partial_list(struct store_cache *c)
{
	begin_watch(c);
	set_partial(c, true);
}

static bool
must_list_again(const struct store_cache *c)
{
	if (c->partial && now_us(c) >= c->list_again_us)
		return true;
	return c->kind->newest_only && c->superseded >= SUPERSEDED_BEHIND;
}

static void
handle_page(struct store_cache *c, struct store_page *page)
{
	if (page->revision < c->revision) {
		/* A stale answer: the local state is newer. */
		log_stale(c, "revision", page->revision, c->revision);
		drop_items(c, page);
		begin_list(c);
		back_off(c, "stale answer", CALL_USELESS);
		return;
	}
	c->stale = false;
	handle_success(c);
	handle_items(c, page);
	if (c->state == CACHE_WATCH) {
		note_watch_answered(c);
		c->revision = page->revision;
		if (must_list_again(c))
			begin_list(c);
		schedule_call(c);
		return;
	}
	if (c->list_revision == 0)
		c->list_revision = page->revision;
	if (page->more && c->newly_listed > 0) {
		next_call(c);
		return;
	}
	if (page->more)
		handle_partial_list(c);
	else
		handle_complete_list(c);
	schedule_call(c);
}

/* ------------------------------------------------------------------ */
/* Histories                                                           */
/* ------------------------------------------------------------------ */

static void
forget_revision(gpointer name, gpointer value, gpointer ctx)
{
	((struct cached_object *)value)->revision = 0;
}

/* Forgets all revisions and begins a list; objects stay until the list shows
 * what has become of them. */
static void
begin_history(struct store_cache *c)
{
	g_hash_table_foreach(c->known, forget_revision, NULL);
	c->revision = 0;
	if (c->ops.restored != NULL)
		c->ops.restored(c->ctx);
	begin_list(c);
}

static int64_t
history_of(const struct hfetch_answer *a)
{
	gint64 history;

	if (!g_ascii_string_to_signed(
		a->header, 10, 1, INT64_MAX, &history, NULL))
		return 0;
	return history;
}

/*
 * Notes the history that an answer belongs to. Returns false if the answer is
 * of no use: it belongs to a history before the newest, or continues a list or a
 * watch of the one before it.
 */
static bool
note_history(struct store_cache *c, const struct hfetch_answer *a)
{
	int64_t history = history_of(a), before = c->store->history;
	bool is_first_page = c->state == CACHE_LIST && c->after == NULL;
	struct store_cache *other;

	if (history == 0 || history == before)
		return true;
	if (history < before) {
		log_stale(c, "history", history, before);
		back_off(c, "answer of an older history", CALL_USELESS);
		return false;
	}
	c->store->history = history;
	if (before == 0)
		return true;
	evt(EVT_STORE_HISTORY,
	    "history=%" G_GINT64_FORMAT " before=%" G_GINT64_FORMAT
	    " kind=%s revision=%" G_GINT64_FORMAT,
	    history, before, c->kind->name, c->revision);
	LIST_FOREACH (other, &c->store->caches, link) {
		begin_history(other);
		if (other == c)
			continue;
		if (other->call != NULL)
			hfetch_cancel(other->call);
		evl_timer_stop(c->store->conf.loop, &other->timer);
		next_call(other);
	}
	if (a->status == 410 || (a->status == 200 && !is_first_page)) {
		next_call(c);
		return false;
	}
	return true;
}

/* ------------------------------------------------------------------ */
/* Calls                                                               */
/* ------------------------------------------------------------------ */

/* `ms`: since the begin of the call. */
static void
count_items(struct store_cache *c, size_t len, guint items, int64_t ms)
{
	ctr_add(c->store->bytes, len);
	ctr_add(c->store->items, items);
	ctr_add(c->store->superseded, c->superseded);
	if (c->superseded >= SUPERSEDED_BEHIND)
		evt(EVT_STORE_READ,
		    "kind=%s items=%u superseded=%u bytes=%zu ms=%" G_GINT64_FORMAT,
		    c->kind->name, items, c->superseded, len, ms);
}

/* Shorter answers take no time worth announcing, and show no pace. */
#define READ_LONG_BYTES 4096
/* What is left of the pace after a faster answer: a process on a share of a CPU
 * reads slowly now and then. */
#define READ_PACE_KEPT 0.9

static void
announce_read(const struct store_cache *c, size_t len)
{
	const struct store *s = c->store;

	if (s->conf.before_read != NULL && len >= READ_LONG_BYTES)
		s->conf.before_read(
		    (int64_t)(c->read_us_per_byte * (double)len), s->conf.ctx);
}

static void
note_read(struct store_cache *c, size_t len, int64_t us)
{
	if (len >= READ_LONG_BYTES)
		c->read_us_per_byte = MAX((double)us / (double)len,
		    c->read_us_per_byte * READ_PACE_KEPT);
}

static void
read_page(struct store_cache *c, const struct hfetch_answer *a)
{
	struct store_page page = { 0 };
	struct err err = { 0 };
	int64_t ms = (now_us(c) - c->called_us) / 1000;
	guint items;

	c->page++;
	c->superseded = 0;
	c->newly_listed = 0;
	page.items = g_array_new(FALSE, FALSE, sizeof(struct store_item));
	if (c->store->conf.dialect->read_page(
		c->kind, a->body, a->len, &page, &err)) {
		items = page.items->len;
		handle_page(c, &page);
		count_items(c, a->len, items, ms);
	} else {
		drop_items(c, &page);
		log_warn("store: malformed answer about %s: %s", c->kind->name,
		    err.message);
		back_off(c, "unreadable answer", CALL_USELESS);
	}
	g_array_unref(page.items);
}

static void
read_answer(struct store_cache *c, const struct hfetch_answer *a)
{
	const struct evl *loop = c->store->conf.loop;
	int64_t begun_us;

	announce_read(c, a->len);
	begun_us = evl_clock_us(loop);
	read_page(c, a);
	note_read(c, a->len, evl_clock_us(loop) - begun_us);
}

static void
on_answer(const struct hfetch_answer *a, void *ctx)
{
	struct store_cache *c = ctx;
	enum call_failure failure;
	char status[32];
	const char *why = a->error;

	c->call = NULL;
	if (a->status != 0 && !note_history(c, a))
		return;
	c->unanswered = a->status == 0 && a->timed_out;
	if (c->unanswered)
		c->lost_us = now_us(c);
	/* Pooled connections may have stalled as well. */
	if (a->status == 0)
		hpool_remove_address(c->store->conf.pool, c->store->address);
	if (a->status == 200) {
		read_answer(c, a);
	} else if (a->status == 410 && c->state == CACHE_WATCH) {
		begin_list(c); /* the history from there on is gone */
		next_call(c);
	} else {
		if (a->status != 0) {
			g_snprintf(
			    status, sizeof(status), "status_%u", a->status);
			why = status;
		}
		failure = failure_of(a, c->wait_ms);
		if (failure == CALL_CUT)
			handle_cut(c, why);
		else
			back_off(c, why, failure);
	}
}

static int64_t
watch_wait_ms(const struct store_cache *c)
{
	int64_t wait_us = c->store->conf.stall_timeout_us - WATCH_ANSWER_US;

	if (c->down || c->check)
		return 0;
	if (c->change_bound_us != 0)
		wait_us = MIN(wait_us,
		    c->change_bound_us - WATCH_ANSWER_US -
			CHANGE_BOUND_MARGIN_US);
	return MAX(wait_us, WATCH_WAIT_MIN_US) / 1000;
}

static void
next_call(struct store_cache *c)
{
	const struct store_conf *conf = &c->store->conf;
	bool watch = c->state == CACHE_WATCH;
	char *path;

	c->wait_ms = watch ? watch_wait_ms(c) : 0;
	if (watch)
		path =
		    conf->dialect->watch_path(c->kind, c->revision, c->wait_ms);
	else
		path = conf->dialect->list_path(c->kind, c->after);
	c->called_us = now_us(c);
	c->call = hfetch_start(conf->loop, conf->pool,
	    &(struct hfetch_conf){ .address = c->store->address,
		.method = "GET",
		.path = path,
		.timeout_us = c->wait_ms * 1000 + call_timeout_us(c),
		.arrival_timeout_us = ARRIVAL_TIMEOUT_US,
		.arrival_max_us = ARRIVAL_MAX_US,
		.header = conf->dialect->history_header,
		.answer_max = BODY_MAX,
		.done = on_answer,
		.ctx = c });
	ctr_add(c->store->calls, 1);
	g_free(path);
}

/* After a backoff: watches from the last revision, unless a listing failed, or
 * only the newest values count: a watch gets all changes since, the oldest first. */
static void
end_backoff(struct store_cache *c)
{
	if (c->watching && !c->kind->newest_only)
		c->state = CACHE_WATCH;
	else
		begin_list(c);
}

static void
on_timer(struct evl_timer *t)
{
	struct store_cache *c = CONTAINER_OF(t, struct store_cache, timer);

	if (c->state == CACHE_BACKOFF)
		end_backoff(c);
	next_call(c);
}

/* ------------------------------------------------------------------ */
/* Creation                                                            */
/* ------------------------------------------------------------------ */

struct store *
store_new(const struct store_conf *conf)
{
	struct store *s = g_new0(struct store, 1);

	s->conf = *conf;
	s->address = g_strdup(conf->address);
	rng_seed(&s->rng, conf->seed);
	LIST_INIT(&s->caches);
	s->calls = ctr_get(conf->counters, "store_calls");
	s->failed = ctr_get(conf->counters, "store_calls_failed");
	s->unreadable = ctr_get(conf->counters, "store_entries_unreadable");
	s->bytes = ctr_get(conf->counters, "store_bytes");
	s->cuts = ctr_get(conf->counters, "store_watches_cut");
	s->items = ctr_get(conf->counters, "store_items");
	s->superseded = ctr_get(conf->counters, "store_items_superseded");
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
	struct store_cache *c;

	while ((c = LIST_FIRST(&s->caches)) != NULL) {
		LIST_REMOVE(c, link);
		if (c->call != NULL)
			hfetch_cancel(c->call);
		evl_timer_stop(s->conf.loop, &c->timer);
		g_hash_table_unref(c->known);
		g_free(c->after);
		g_free(c);
	}
	g_free(s->address);
	g_free(s);
}

struct store_cache *
store_cache_new(struct store *s, const struct store_kind *kind,
    const struct store_cache_ops *ops, void *ctx)
{
	struct store_cache *c = g_new0(struct store_cache, 1);

	c->store = s;
	c->kind = kind;
	c->ops = *ops;
	c->ctx = ctx;
	c->timer.fire = on_timer;
	c->batch_delay_us = kind->batch_delay_us;
	c->known =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	LIST_INSERT_HEAD(&s->caches, c, link);
	begin_list(c);
	next_call(c);
	return c;
}

void
store_cache_set_batch_delay(struct store_cache *c, int64_t batch_delay_us)
{
	c->batch_delay_us = batch_delay_us;
}

void
store_cache_set_change_bound(struct store_cache *c, int64_t bound_us)
{
	c->change_bound_us = bound_us;
}

bool
store_cache_synced(const struct store_cache *c)
{
	return c->synced || (c->partial && g_hash_table_size(c->known) > 0);
}

int64_t
store_cache_answered_us(const struct store_cache *c)
{
	return c->answered_us;
}

int64_t
store_cache_called_us(const struct store_cache *c)
{
	return c->called_us;
}

int64_t
store_cache_wait_ms(const struct store_cache *c)
{
	return c->wait_ms;
}

int64_t
store_cache_revision(const struct store_cache *c)
{
	return c->revision;
}
