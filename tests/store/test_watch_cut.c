/*
 * A store that ends watches before their time, as it may at any moment and in any
 * way, beside outages in which it answers no call. Each client has a store of its
 * own and draws its own times, so that all phases of its calls occur.
 */

#include "bed.h"

#include <stdlib.h>

#define CLIENTS 24
/* From the moment at which all connections fail until the store counts as down,
 * and from its return until all changes are known. */
#define NOTICE_BOUND_US 1000000
/* Silence shows at the time by which a stalled connection is to be detected; one
 * more call must go unanswered after that. */
#define SILENCE_BOUND_US (BED_STALL_TIMEOUT_US + NOTICE_BOUND_US)
/* A call may be on its way for this long. */
#define ON_THE_WAY_US 100000
/* Calls of one cache within a second that cut watches may cost. */
#define CALLS_PER_S 10

/* What the store does with each call. */
enum mode {
	MODE_ANSWER,
	MODE_SILENT, /* no call is answered, connections stay open */
	MODE_BUSY, /* 503 */
	MODE_RESET, /* each connection ends instead of an answer */
	MODE_REFUSE, /* nothing listens */
	MODE_LIMIT, /* 429 */
	MODE_UNREADABLE, /* 200, but no page */
	MODE_OLD, /* a revision before the known one */
	MODE_INVALID, /* 400 */
};

enum form {
	FORM_CLOSED, /* before any byte */
	FORM_IN_BODY, /* within the events */
	FORM_BUSY, /* with 503 */
	FORMS
};

struct client;

struct watch {
	LIST_ENTRY(watch) link;
	struct client *client;
	struct hreq *r;
	struct evl_timer end; /* of its wait */
	int kind;
	int64_t since;
};

struct client {
	struct hpool *pool;
	struct hserver *server;
	struct store *store;
	char address[32];
	enum mode mode;
	bool unreadable; /* versions are */
	LIST_HEAD(, watch) watches;
	struct rng rng;
	int64_t revision;
	int64_t changed[BED_KINDS]; /* revision of the newest value */
	int64_t known[BED_KINDS]; /* the same, as its cache knows it */
	int64_t due_us[BED_KINDS]; /* by when it must; 0: it does */
	unsigned int calls[BED_KINDS];
	struct evl_timer cut, change;
	unsigned int cuts_left;
	bool regular; /* cuts take all kinds, always this long apart */
	int64_t cut_gap_us; /* longest time between two cuts */
	int64_t late_us; /* longest time by which a change was late */
	unsigned int outages; /* times at which the store counted as down */
	int64_t down_us; /* since when it counts as down; 0: it does not */
};

static struct evl *loop;
static struct ctr_set *counters;
static struct hlimits limits = { 8192, 8192, 60000000, 60000000 };
static struct client clients[CLIENTS];

/* The body is "REVISION" or "REVISION VALUE", with an end that shows that it is
 * whole. */
static bool
read_page(const struct store_kind *kind, const void *body, size_t len,
    struct store_page *out, struct err *err)
{
	char *text = g_strndup(body, len), *end;

	if (!g_str_has_suffix(text, ".")) {
		g_free(text);
		return err_set(
		    err, ERR_INVALID, VERDICT_MAY_HAVE_RUN, "no page");
	}
	out->revision = strtoll(text, &end, 10);
	if (*end == ' ')
		bed_add_object(out, strtoll(end, NULL, 10));
	g_free(text);
	return true;
}

static const struct store_dialect dialect = {
	.list_path = bed_list_path,
	.watch_path = bed_watch_path,
	.read_page = read_page,
};

/* ------------------------------------------------------------------ */
/* The store                                                           */
/* ------------------------------------------------------------------ */

static int64_t
draw_us(struct client *c, int64_t below_us)
{
	return (int64_t)rng_below(&c->rng, (uint64_t)below_us);
}

static void
page_text(const struct client *c, int kind, int64_t since, char out[64])
{
	if (c->changed[kind] > since)
		g_snprintf(out, 64,
		    "%" G_GINT64_FORMAT " %" G_GINT64_FORMAT ".", c->revision,
		    c->changed[kind]);
	else
		g_snprintf(out, 64, "%" G_GINT64_FORMAT ".", c->revision);
}

static void
answer(struct client *c, struct hreq *r, int kind, int64_t since)
{
	char body[64];

	page_text(c, kind, since, body);
	hreq_answer(r, 200, "", body, strlen(body));
}

static void
watch_free(struct watch *w)
{
	LIST_REMOVE(w, link);
	evl_timer_stop(loop, &w->end);
	g_free(w);
}

static struct hreq *
watch_take(struct watch *w)
{
	struct hreq *r = w->r;

	hreq_set_ctx(r, NULL);
	watch_free(w);
	return r;
}

static void
end_early(struct watch *w, enum form form)
{
	struct client *c = w->client;
	int kind = w->kind;
	struct hreq *r = watch_take(w);
	char body[64];

	switch (form) {
	case FORM_CLOSED:
		hreq_abort(r);
		break;
	case FORM_IN_BODY:
		page_text(c, kind, 0, body);
		hreq_begin(r, 200, "");
		hreq_write(r, body, strlen(body) - 1);
		hreq_abort(r);
		break;
	default:
		hreq_answer(r, 503, "", "", 0);
	}
}

static void
on_wait_end(struct evl_timer *t)
{
	struct watch *w = CONTAINER_OF(t, struct watch, end);
	struct client *c = w->client;
	int kind = w->kind;
	int64_t since = w->since;

	if (c->mode == MODE_RESET)
		end_early(w, FORM_CLOSED);
	else
		answer(c, watch_take(w), kind, since);
}

static void
begin_watch(struct client *c, struct hreq *r, const struct bed_call *call,
    int64_t wait_us)
{
	struct watch *w = g_new0(struct watch, 1);

	*w = (struct watch){
		.client = c, .r = r, .kind = call->kind, .since = call->since
	};
	w->end.fire = on_wait_end;
	hreq_set_ctx(r, w);
	LIST_INSERT_HEAD(&c->watches, w, link);
	if (c->mode != MODE_SILENT)
		evl_timer_set(loop, &w->end, evl_now_us(loop) + wait_us);
}

/* Answers in the modes in which a call brings nothing. False: it is to be
 * answered. */
static bool
refuse(struct client *c, struct hreq *r)
{
	switch (c->mode) {
	case MODE_BUSY:
		hreq_answer(r, 503, "", "", 0);
		return true;
	case MODE_LIMIT:
		hreq_answer(r, 429, "", "", 0);
		return true;
	case MODE_UNREADABLE:
		hreq_answer(r, 200, "", "{", 1);
		return true;
	case MODE_OLD:
		hreq_answer(r, 200, "", "1.", 2);
		return true;
	case MODE_INVALID:
		hreq_answer(r, 400, "", "", 0);
		return true;
	default:
		return false;
	}
}

static void
on_request(struct hreq *r, void *ctx)
{
	struct client *c = ctx;
	struct bed_call call = bed_call_of(r);

	c->calls[call.kind]++;
	hreq_set_ctx(r, NULL);
	if (refuse(c, r))
		return;
	if (c->unreadable && call.kind == BED_VERSIONS) {
		hreq_answer(r, 200, "", "{", 1);
		return;
	}
	/* A connection is not ended within the callback of its request. */
	if (c->mode == MODE_RESET)
		begin_watch(c, r, &call, 0);
	else if (c->mode == MODE_SILENT ||
	    (call.wait_us > 0 && c->changed[call.kind] <= call.since))
		begin_watch(c, r, &call, call.wait_us);
	else
		answer(c, r, call.kind, call.since);
}

static void
on_disconnected(struct hreq *r, void *ctx)
{
	if (hreq_ctx(r) != NULL)
		watch_free(hreq_ctx(r));
}

static const struct hserver_ops server_ops = {
	.request = on_request,
	.disconnected = on_disconnected,
	.drained = bed_ignore_drained,
	.refused = bed_ignore_refused,
};

static void
cut(struct client *c, int kind, enum form form)
{
	struct watch *w = LIST_FIRST(&c->watches), *next;

	for (; w != NULL; w = next) {
		next = LIST_NEXT(w, link);
		if (w->kind == kind)
			end_early(w, form);
	}
}

static void
write_change(struct client *c, int kind)
{
	struct watch *w = LIST_FIRST(&c->watches), *next;

	c->changed[kind] = ++c->revision;
	if (c->due_us[kind] == 0)
		c->due_us[kind] = evl_now_us(loop) + BED_CHANGE_BOUND_US;
	for (; w != NULL && c->mode == MODE_ANSWER; w = next) {
		next = LIST_NEXT(w, link);
		if (w->kind == kind)
			on_wait_end(&w->end);
	}
}

/* ------------------------------------------------------------------ */
/* Series of cuts                                                      */
/* ------------------------------------------------------------------ */

#define REGULAR_GAP_US 170000

/* The watches of all kinds, before any byte of an answer. */
static void
cut_all(struct client *c)
{
	int i;

	for (i = BED_KINDS - 1; i >= 0; i--)
		cut(c, i, FORM_CLOSED);
}

/* The watches of all kinds or some, any of them first, in any form. */
static void
cut_at_random(struct client *c)
{
	int i, first = (int)rng_below(&c->rng, BED_KINDS);
	bool all = rng_below(&c->rng, 3) > 0;

	for (i = 0; i < BED_KINDS; i++) {
		if (all || rng_below(&c->rng, 2) > 0)
			cut(c, (first + i) % BED_KINDS,
			    (enum form)rng_below(&c->rng, FORMS));
	}
}

static void
on_cut(struct evl_timer *t)
{
	struct client *c = CONTAINER_OF(t, struct client, cut);
	int64_t gap_us = REGULAR_GAP_US;

	if (c->regular) {
		cut_all(c);
	} else {
		cut_at_random(c);
		gap_us = draw_us(c, c->cut_gap_us);
	}
	if (--c->cuts_left > 0)
		evl_timer_set(loop, t, evl_now_us(loop) + gap_us);
}

static void
begin_cuts(struct client *c, unsigned int n, int64_t gap_us)
{
	c->cuts_left = n;
	c->cut_gap_us = gap_us;
	c->cut.fire = on_cut;
	evl_timer_set(loop, &c->cut,
	    evl_now_us(loop) + draw_us(c, BED_STALL_TIMEOUT_US / 2));
}

static void
on_change(struct evl_timer *t)
{
	struct client *c = CONTAINER_OF(t, struct client, change);

	write_change(c, (int)rng_below(&c->rng, BED_KINDS));
	evl_timer_set(loop, t, evl_now_us(loop) + 20000 + draw_us(c, 1000000));
}

/* ------------------------------------------------------------------ */
/* Clients                                                             */
/* ------------------------------------------------------------------ */

static void
on_put(const char *name, void *value, void *ctx)
{
	int64_t *known = ctx;

	*known = *(int64_t *)value;
	g_free(value);
}

static const struct store_cache_ops cache_ops = {
	.put = on_put,
	.removed = bed_ignore_removed,
};

static void
open_server(struct client *c)
{
	c->server =
	    bed_server_at(loop, c->address, &limits, 30, &server_ops, c);
}

static void
open_client(struct client *c, unsigned int seed)
{
	struct store_cache *cache;
	int i;

	*c = (struct client){ .revision = 10 };
	rng_seed(&c->rng, seed);
	LIST_INIT(&c->watches);
	g_snprintf(c->address, sizeof(c->address), "127.0.0.1:%u", free_port());
	open_server(c);
	c->pool = bed_pool(loop, 700000, 60000000);
	c->store = store_new(&(struct store_conf){ .loop = loop,
	    .pool = c->pool,
	    .address = c->address,
	    .dialect = &dialect,
	    .counters = counters,
	    .seed = seed,
	    .stall_timeout_us = BED_STALL_TIMEOUT_US });
	for (i = 0; i < BED_KINDS; i++) {
		c->changed[i] = c->revision;
		cache = store_cache_new(
		    c->store, &bed_kinds[i], &cache_ops, &c->known[i]);
		if (bed_kinds[i].newest_only)
			store_cache_set_change_bound(
			    cache, BED_CHANGE_BOUND_US);
	}
	c->change.fire = on_change;
}

static int
set_up(void **state)
{
	unsigned int i;

	loop = evl_new(clk_system());
	counters = ctr_set_new();
	for (i = 0; i < CLIENTS; i++) {
		open_client(&clients[i], i + 1);
		run_ms(30);
	}
	return 0;
}

static int
tear_down(void **state)
{
	unsigned int i;

	for (i = 0; i < CLIENTS; i++) {
		evl_timer_stop(loop, &clients[i].cut);
		evl_timer_stop(loop, &clients[i].change);
		store_free(clients[i].store);
	}
	run_ms(2);
	for (i = 0; i < CLIENTS; i++) {
		if (clients[i].server != NULL)
			hserver_free(clients[i].server);
		hpool_free(clients[i].pool);
	}
	ctr_set_free(counters);
	evl_free(loop);
	return 0;
}

static void
look(struct client *c)
{
	int64_t now_us = evl_now_us(loop);
	bool down = store_down_since_us(c->store) != 0;
	int i;

	if (down && c->down_us == 0) {
		c->outages++;
		c->down_us = now_us;
	} else if (!down)
		c->down_us = 0;
	for (i = 0; i < BED_KINDS; i++) {
		if (c->due_us[i] == 0)
			continue;
		c->late_us = MAX(c->late_us, now_us - c->due_us[i]);
		if (c->known[i] == c->changed[i])
			c->due_us[i] = 0;
	}
}

static void
run_and_look_ms(int ms)
{
	int64_t end_us = clk_now_us(clk_system()) + (int64_t)ms * 1000;
	unsigned int i;

	while (clk_now_us(clk_system()) < end_us) {
		run_ms(2);
		for (i = 0; i < CLIENTS; i++)
			look(&clients[i]);
	}
}

static void
assert_no_outage(void)
{
	unsigned int i, outages = 0, late = 0;

	for (i = 0; i < CLIENTS; i++) {
		outages += clients[i].outages;
		late += clients[i].late_us > 0;
	}
	print_message("%u outages of %u clients, %u have late changes\n",
	    outages, CLIENTS, late);
	assert_int_equal(outages, 0);
	assert_int_equal(late, 0);
}

/* ------------------------------------------------------------------ */
/* Watches that end early                                              */
/* ------------------------------------------------------------------ */

/* Guards against cut watches that count as an outage of a store that answers all
 * other calls, and against changes that are learned late after them. */
static void
test_cut_watches_are_no_outage(void **state)
{
	struct client *c;
	unsigned int i;

	run_ms(1000);
	for (i = 0; i < CLIENTS; i++) {
		c = &clients[i];
		c->regular = i == 0;
		begin_cuts(c, 2 + (unsigned int)rng_below(&c->rng, 12),
		    20000 + draw_us(c, 700000));
		if (i % 2 == 1)
			on_change(&c->change);
	}
	run_and_look_ms(8000);
	assert_no_outage();
}

/* Guards against a store that ends every watch at once: changes must still be
 * known in time, at a bounded number of calls. */
static void
test_every_watch_is_cut(void **state)
{
	unsigned int i;
	int kind;

	run_ms(500);
	for (i = 0; i < CLIENTS; i++) {
		memset(clients[i].calls, 0, sizeof(clients[i].calls));
		begin_cuts(&clients[i], 1000000, 1 + 4000 * (int64_t)i);
		on_change(&clients[i].change);
	}
	run_and_look_ms(6000);
	assert_no_outage();
	for (i = 0; i < CLIENTS; i++) {
		for (kind = 0; kind < BED_KINDS; kind++)
			assert_in_range(
			    clients[i].calls[kind], 1, 6 * CALLS_PER_S);
	}
}

/* Guards against a store that answers, but not with what was asked for, and counts
 * as one that does not answer: a limit on calls, pages that cannot be read. */
static void
test_useless_answers_are_no_outage(void **state)
{
	static const enum mode modes[] = { MODE_LIMIT, MODE_UNREADABLE,
		MODE_OLD, MODE_INVALID };
	unsigned int i;

	run_ms(1000);
	for (i = 0; i < CLIENTS; i++)
		clients[i].mode = modes[i % G_N_ELEMENTS(modes)];
	run_and_look_ms(6000);
	for (i = 0; i < CLIENTS; i++) {
		clients[i].mode = MODE_ANSWER;
		write_change(&clients[i], (int)(i % BED_KINDS));
	}
	run_and_look_ms(3000);
	assert_no_outage();
}

/* Guards against a kind that cannot be read and makes the others wait for it: after
 * one lost answer they retried as rarely as beside a store that is down. */
static void
test_unreadable_kind_holds_up_no_other(void **state)
{
	struct client *c;
	struct watch *w, *next;
	unsigned int i;

	run_ms(1500);
	for (i = 0; i < CLIENTS; i++)
		clients[i].unreadable = true;
	run_and_look_ms(3000);
	for (i = 0; i < CLIENTS; i++) {
		c = &clients[i];
		for (w = LIST_FIRST(&c->watches); w != NULL; w = next) {
			next = LIST_NEXT(w, link);
			if (w->kind == BED_CONFIG)
				(void)watch_take(w);
		}
		write_change(c, BED_CONFIG);
	}
	run_and_look_ms(3000);
	assert_no_outage();
}

/* ------------------------------------------------------------------ */
/* Outages                                                             */
/* ------------------------------------------------------------------ */

static void
begin_outage(struct client *c, enum mode mode)
{
	struct watch *w, *next;

	c->mode = mode;
	for (w = LIST_FIRST(&c->watches); w != NULL; w = next) {
		next = LIST_NEXT(w, link);
		if (mode == MODE_SILENT)
			evl_timer_stop(loop, &w->end);
		else
			end_early(
			    w, mode == MODE_BUSY ? FORM_BUSY : FORM_CLOSED);
	}
	if (mode == MODE_REFUSE) {
		hserver_free(c->server);
		c->server = NULL;
	}
}

static void
end_outage(struct client *c)
{
	c->mode = MODE_ANSWER;
	if (c->server == NULL)
		open_server(c);
	write_change(c, (int)rng_below(&c->rng, BED_KINDS));
}

/*
 * The other direction: an outage that begins as it cuts all watches is noticed at
 * once, a silent one as soon as watches go unanswered, and counts without a break
 * until the store returns. Guards against one that counts from the last answer on:
 * a deadline that passed after it, while the store was up, would be put off.
 */
static void
test_outage_is_noticed(void **state)
{
	static const enum mode modes[] = { MODE_SILENT, MODE_BUSY, MODE_RESET,
		MODE_REFUSE };
	struct client *c;
	int64_t begun_us, bound_us;
	unsigned int i;

	run_ms(2000);
	begun_us = clk_now_us(clk_system());
	for (i = 0; i < CLIENTS; i++)
		begin_outage(&clients[i], modes[i % G_N_ELEMENTS(modes)]);
	run_and_look_ms(6000);
	for (i = 0; i < CLIENTS; i++) {
		c = &clients[i];
		bound_us =
		    c->mode == MODE_SILENT ? SILENCE_BOUND_US : NOTICE_BOUND_US;
		assert_int_equal(c->outages, 1);
		assert_true(c->down_us != 0);
		assert_true(c->down_us - begun_us < bound_us);
		assert_true(
		    store_down_since_us(c->store) >= begun_us - ON_THE_WAY_US);
		end_outage(c);
	}
	run_and_look_ms(NOTICE_BOUND_US / 1000);
	for (i = 0; i < CLIENTS; i++) {
		assert_int_equal(clients[i].down_us, 0);
		assert_int_equal(clients[i].outages, 1);
	}
	run_and_look_ms(2000);
	for (i = 0; i < CLIENTS; i++)
		assert_true(clients[i].late_us <= 0);
}

/* An outage behind a series of cuts is noticed as soon as any other. */
static void
test_outage_after_cuts(void **state)
{
	struct client *c;
	unsigned int i;

	run_ms(1000);
	for (i = 0; i < CLIENTS; i++) {
		clients[i].regular = i == 0;
		begin_cuts(&clients[i], 1000000, 300000);
	}
	run_and_look_ms(3000);
	assert_no_outage();
	for (i = 0; i < CLIENTS; i++) {
		evl_timer_stop(loop, &clients[i].cut);
		begin_outage(&clients[i], i % 2 == 0 ? MODE_RESET : MODE_BUSY);
	}
	run_and_look_ms(NOTICE_BOUND_US / 1000);
	for (i = 0; i < CLIENTS; i++) {
		c = &clients[i];
		assert_true(c->down_us != 0);
		end_outage(c);
	}
	run_and_look_ms(NOTICE_BOUND_US / 1000);
	for (i = 0; i < CLIENTS; i++)
		assert_int_equal(clients[i].down_us, 0);
}

int
main(void)
{
#define T(f) cmocka_unit_test_setup_teardown(f, set_up, tear_down)
	const struct CMUnitTest tests[] = {
		T(test_cut_watches_are_no_outage),
		T(test_every_watch_is_cut),
		T(test_useless_answers_are_no_outage),
		T(test_unreadable_kind_holds_up_no_other),
		T(test_outage_is_noticed),
		T(test_outage_after_cuts),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
