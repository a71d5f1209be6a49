/* Permits by a target's rate limit, for many entries, in simulated time. */

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

#include <string.h>

#include "common/common.h"
#include "serve/permit.h"
#include "serve/rate.h"

#define SECOND INT64_C(1000000)
#define MS INT64_C(1000)

static bool
heard(
    struct permits *p, double limit, int64_t since_us, bool own, int64_t at_us)
{
	return permits_reported(p,
	    &(struct permit_report){
		.limit = limit, .since_us = since_us, .direct = own },
	    at_us);
}

/* ------------------------------------------------------------------ */
/* The pool                                                            */
/* ------------------------------------------------------------------ */

static void
test_in_the_order_of_asking(void **state)
{
	char entry[PERMIT_GATEWAY_MAX];
	struct permits p;

	permits_init(&p);
	heard(&p, 1, SECOND, true, SECOND);
	permits_ask(&p, "a", SECOND);
	permits_ask(&p, "b", SECOND);
	permits_ask(&p, "a", SECOND + 900 * MS);
	permits_ask(&p, "b", SECOND + 900 * MS);
	assert_false(permits_next(&p, entry, SECOND + 900 * MS));
	assert_true(permits_next(&p, entry, 2 * SECOND));
	assert_string_equal(entry, "a");
	assert_false(permits_next(&p, entry, 2 * SECOND));
	/* Who asked no more has no use for it. */
	permits_ask(&p, "c", 3 * SECOND);
	assert_true(permits_next(&p, entry, 3 * SECOND));
	assert_string_equal(entry, "c");
	permits_clear(&p);
}

/* An answer that was begun before the limit was named, or word of it by an entry
 * that stood still, does not end the limit. */
static void
test_older_words_change_nothing(void **state)
{
	struct permits p;

	permits_init(&p);
	assert_true(heard(&p, 2, 5 * SECOND, true, 5 * SECOND));
	assert_false(heard(&p, 0, 4 * SECOND, true, 5 * SECOND + 100 * MS));
	assert_false(permits_advance(&p, 9 * SECOND));
	/* What others heard here is no news. */
	assert_false(heard(&p, 7, 6 * SECOND, false, 6 * SECOND));
	assert_true(p.limit == 2);
	permits_clear(&p);
}

/* The side starts again and knows nothing: any entry's belief will do. */
static void
test_a_fresh_pool_believes_what_others_heard(void **state)
{
	struct permits p;

	permits_init(&p);
	assert_true(heard(&p, 3, SECOND, false, SECOND));
	assert_true(p.limit == 3);
	assert_true(heard(&p, 1, 2 * SECOND, true, 2 * SECOND));
	permits_clear(&p);
}

static void
test_an_ended_limit_is_lifted_by_steps(void **state)
{
	struct permits p;

	permits_init(&p);
	heard(&p, 2, SECOND, true, SECOND);
	assert_false(heard(&p, 0, 2 * SECOND, true, 3 * SECOND));
	assert_false(permits_advance(&p, 3 * SECOND + 400 * MS));
	assert_true(p.limit == 2);
	/* It was none: the next answer names it again. */
	assert_false(heard(&p, 2, 4 * SECOND, true, 4 * SECOND));
	assert_false(permits_advance(&p, 20 * SECOND));
	heard(&p, 0, 21 * SECOND, true, 21 * SECOND);
	assert_true(permits_advance(&p, 24 * SECOND));
	assert_true(p.limit == 0);
	permits_clear(&p);
}

/* ------------------------------------------------------------------ */
/* Entries that share one target                                       */
/* ------------------------------------------------------------------ */

#define ENTRIES_MAX 35
#define STEP 5 * MS
#define DELAY 2 * MS
#define ANSWER 150 * MS
#define TICK 30 * MS
#define LOAD 250 * MS
#define SILENT 900 * MS

enum note_kind {
	NOTE_ANSWER,
	NOTE_WORD,
	NOTE_LOAD,
	NOTE_PERMIT
};

struct note { /* on its way */
	int64_t at_us;
	enum note_kind kind;
	unsigned int entry;
	int64_t asked_us;
	double limit;
	bool knows, ask;
	struct permit_report word;
};

struct sim_entry {
	struct rate rate;
	double phase, demand; /* requests a second */
	int64_t load_us; /* the side was last heard */
	int64_t still_until_us;
	int64_t told_us; /* an answer named the limit first; 0: none did */
};

struct sim {
	int64_t now_us;
	unsigned int n;
	struct sim_entry entry[ENTRIES_MAX];
	struct permits permits;
	bool side_away;
	double limit, told_limit;
	int64_t first_us; /* the limit was first named */
	GArray *notes, *arrivals;
	unsigned int sent, over, most;
	struct rng rng;
};

static struct sim s;

static void
post(struct note note, int64_t delay_us)
{
	note.at_us = s.now_us + delay_us;
	/* One datagram in twenty is lost. */
	if (note.kind == NOTE_ANSWER || rng_below(&s.rng, 20) > 0)
		g_array_append_val(s.notes, note);
}

static bool
side_is_heard(const struct sim_entry *e)
{
	return e->load_us != 0 && s.now_us - e->load_us <= SILENT;
}

static void
tell(unsigned int i, bool ask)
{
	const struct rate *r = &s.entry[i].rate;
	bool own = r->local_us != 0 && (r->local_limit > 0 || !ask);

	post((struct note){ .kind = NOTE_WORD,
		 .entry = i,
		 .ask = ask,
		 .word = { .limit = own ? r->local_limit : r->limit,
		     .direct = own,
		     .since_us = own ? r->local_us : s.now_us } },
	    DELAY);
}

/* By the rule: at most one and a half times the limit and five, of entries that
 * were told half a second ago, from three seconds after the first naming. */
static void
judge(const struct sim_entry *e)
{
	s.sent++;
	if (e->told_us == 0 || s.now_us - e->told_us < SECOND / 2 ||
	    s.now_us - s.first_us < 3 * SECOND || s.limit == 0)
		return;
	g_array_append_val(s.arrivals, s.now_us);
	while (s.now_us - g_array_index(s.arrivals, int64_t, 0) > 4 * SECOND)
		g_array_remove_index(s.arrivals, 0);
	s.most = MAX(s.most, s.arrivals->len);
	s.over += s.arrivals->len > 1.5 * 4 * s.limit + 5;
}

static void
request(unsigned int i)
{
	struct sim_entry *e = &s.entry[i];
	struct rate_share share = { .gateways = s.n, .phase = e->phase };

	if (rate_allows(&e->rate, side_is_heard(e) ? NULL : &share, s.now_us)) {
		rate_sent(&e->rate, s.now_us);
		judge(e);
		post((struct note){ .kind = NOTE_ANSWER,
			 .entry = i,
			 .limit = s.limit,
			 .asked_us = s.now_us },
		    ANSWER);
	}
	if (side_is_heard(e) && rate_ask(&e->rate, s.now_us))
		tell(i, true);
}

static void
take_answer(const struct note *m)
{
	struct sim_entry *e = &s.entry[m->entry];

	if (m->limit > 0 && e->told_us == 0)
		e->told_us = s.now_us;
	if (m->limit > 0 && s.first_us == 0)
		s.first_us = s.now_us;
	rate_answered(
	    &e->rate, m->limit, m->asked_us, side_is_heard(e), s.now_us);
	if (rate_needs_report(&e->rate))
		tell(m->entry, false);
}

static void
take_word(const struct note *m)
{
	char text[PERMIT_GATEWAY_MAX];

	if (s.side_away)
		return;
	permits_reported(&s.permits, &m->word, s.now_us);
	g_snprintf(text, sizeof(text), "%u", m->entry);
	if (m->ask)
		permits_ask(&s.permits, text, s.now_us);
}

static void
take(const struct note *m)
{
	struct sim_entry *e = &s.entry[m->entry];

	switch (m->kind) {
	case NOTE_ANSWER:
		take_answer(m);
		break;
	case NOTE_WORD:
		take_word(m);
		break;
	case NOTE_LOAD:
		e->load_us = s.now_us;
		if (m->knows)
			rate_side_reported(&e->rate, m->limit, s.now_us);
		break;
	case NOTE_PERMIT:
		rate_permit(&e->rate, s.now_us);
		break;
	}
}

static void
deliver(void)
{
	struct note m;
	guint i = 0;

	while (i < s.notes->len) {
		m = g_array_index(s.notes, struct note, i);
		if (m.at_us > s.now_us ||
		    (m.kind != NOTE_WORD &&
			s.entry[m.entry].still_until_us > s.now_us)) {
			i++;
			continue;
		}
		g_array_remove_index(s.notes, i);
		take(&m);
	}
}

static void
side_turn(void)
{
	char text[PERMIT_GATEWAY_MAX];
	bool told = s.now_us % LOAD < STEP;
	unsigned int i;

	if (s.side_away || s.now_us % TICK >= STEP)
		return;
	permits_advance(&s.permits, s.now_us);
	while (permits_next(&s.permits, text, s.now_us))
		post((struct note){ .kind = NOTE_PERMIT,
			 .entry = (unsigned int)atoi(text) },
		    DELAY);
	if (!told && s.permits.limit == s.told_limit)
		return;
	s.told_limit = s.permits.limit;
	for (i = 0; i < s.n; i++)
		post((struct note){ .kind = NOTE_LOAD,
			 .entry = i,
			 .knows = s.permits.known,
			 .limit = s.permits.limit },
		    DELAY);
}

static void
run_until(int64_t end_us)
{
	unsigned int i;

	for (; s.now_us < end_us; s.now_us += STEP) {
		deliver();
		side_turn();
		for (i = 0; i < s.n; i++) {
			if (s.entry[i].still_until_us <= s.now_us &&
			    (double)rng_below(&s.rng, 1000000) <
				s.entry[i].demand * STEP)
				request(i);
		}
	}
}

/* Half of the demand comes by the first entry, a quarter by the second. */
static void
sim_open(unsigned int n, double demand, uint64_t seed)
{
	unsigned int i;

	memset(&s, 0, sizeof(s));
	rng_seed(&s.rng, seed);
	permits_init(&s.permits);
	s.notes = g_array_new(FALSE, FALSE, sizeof(struct note));
	s.arrivals = g_array_new(FALSE, FALSE, sizeof(int64_t));
	s.n = n;
	s.now_us = 1000 * SECOND;
	for (i = 0; i < n; i++) {
		s.entry[i].phase = (double)rng_below(&s.rng, 1000) / 1000;
		s.entry[i].demand =
		    i < 2 ? demand / (2 << i) : demand / 4 / (n - 2);
	}
}

static void
sim_close(void)
{
	permits_clear(&s.permits);
	g_array_unref(s.notes);
	g_array_unref(s.arrivals);
}

static void
restart_entry(unsigned int i)
{
	s.entry[i].rate = (struct rate){ 0 };
	s.entry[i].load_us = 0;
	s.entry[i].told_us = 0;
}

/*
 * An engine in need names a limit and gets several times as much: many entries
 * send to it, unevenly, and each knows only its own requests. With one pool they
 * hold to it together, and what the engine takes is used.
 */
static void
test_many_entries_one_limit(void **state)
{
	static const unsigned int entries[] = { 3, 5, 35 };
	static const double limits[] = { 0.25, 1, 2.2, 10, 50 };
	unsigned int before;
	size_t i, j;

	for (i = 0; i < G_N_ELEMENTS(entries); i++) {
		for (j = 0; j < G_N_ELEMENTS(limits); j++) {
			sim_open(entries[i], 400, i * 10 + j);
			run_until(s.now_us + 2 * SECOND);
			s.limit = limits[j];
			run_until(s.now_us + 4 * SECOND);
			before = s.sent;
			run_until(s.now_us + 40 * SECOND);
			assert_int_equal(s.over, 0);
			/* Four fifths of what it takes are used. */
			assert_true(
			    s.sent - before + 1 >= 0.8 * 40 * limits[j]);
			sim_close();
		}
	}
}

/*
 * Meanwhile entries start again and know nothing, stand still and wake with old
 * words, the side stops and starts again, and the limit changes and ends.
 */
static void
test_under_trouble(void **state)
{
	unsigned int seed, i;
	double limit;

	for (seed = 1; seed <= 60; seed++) {
		sim_open(seed % 2 == 0 ? 5 : 35, 200, seed);
		run_until(s.now_us + SECOND);
		limit = s.limit = 0.5 + (double)rng_below(&s.rng, 60) / 10;
		run_until(s.now_us + 4 * SECOND);
		for (i = 0; i < 20; i++) {
			unsigned int one = (unsigned int)rng_below(&s.rng, s.n);

			switch (rng_below(&s.rng, 4)) {
			case 0:
				restart_entry(one);
				break;
			case 1:
				s.entry[one].still_until_us = s.now_us +
				    (int64_t)rng_below(&s.rng, 3000) * MS;
				break;
			case 2:
				s.side_away = !s.side_away;
				break;
			case 3:
				permits_reset(&s.permits);
				break;
			}
			run_until(
			    s.now_us + (int64_t)rng_below(&s.rng, 2000) * MS);
		}
		assert_int_equal(s.over, 0);
		/* It ends, and the target gets its traffic back. */
		s.side_away = false;
		s.limit = 0;
		run_until(s.now_us + 15 * SECOND);
		i = s.sent;
		run_until(s.now_us + 2 * SECOND);
		assert_true(s.sent - i > 200);
		/* A lower one than before. */
		s.first_us = 0;
		g_array_set_size(s.arrivals, 0);
		for (i = 0; i < s.n; i++)
			s.entry[i].told_us = 0;
		s.limit = limit / 4;
		run_until(s.now_us + 10 * SECOND);
		assert_int_equal(s.over, 0);
		sim_close();
	}
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_in_the_order_of_asking),
		cmocka_unit_test(test_older_words_change_nothing),
		cmocka_unit_test(test_a_fresh_pool_believes_what_others_heard),
		cmocka_unit_test(test_an_ended_limit_is_lifted_by_steps),
		cmocka_unit_test(test_many_entries_one_limit),
		cmocka_unit_test(test_under_trouble),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
