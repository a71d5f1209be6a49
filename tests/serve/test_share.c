/*
 * Free places shared by many entries without a message between them: five
 * regions with seven entries and 41 targets each, of 8 slots and one place more.
 */

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

#include <stdio.h>

#include "serve/tgt.h"

#define SECOND 1000000
#define REGIONS 5
#define NEAR_TARGETS 41
#define NEAR_ENTRIES 7
#define ENTRIES (REGIONS * NEAR_ENTRIES)
#define SLOTS 8
#define WORDS 400 /* rounds of words about the load */

struct fleet {
	struct tgt_set *set;
	struct tgt *target[REGIONS * NEAR_TARGETS];
};

static void
open_fleet(struct fleet *f, uint64_t seed)
{
	struct tgt_policy policy = { .beyond_slots = 1,
		.remote_cost = 6,
		.gateways = ENTRIES,
		.seed = seed };
	size_t i;

	f->set = tgt_set_new("r0", &policy);
	for (i = 0; i < REGIONS; i++) {
		char name[8];

		snprintf(name, sizeof(name), "r%zu", i);
		tgt_set_domain(f->set, name, name);
	}
	for (i = 0; i < G_N_ELEMENTS(f->target); i++) {
		struct sv_target says = { .service = "engines",
			.slots = SLOTS };

		snprintf(says.id, sizeof(says.id), "e%zu", i);
		snprintf(says.address, sizeof(says.address), "10.0.%zu.%zu:80",
		    i / 200, i % 200);
		snprintf(says.domain, sizeof(says.domain), "r%zu", i % REGIONS);
		f->target[i] = tgt_put(f->set, &says, 0);
		f->target[i]->region_gateways = NEAR_ENTRIES;
	}
}

/* Every side says at `now_us` that `room` places are free. */
static void
say_free(struct fleet *f, unsigned int room, int64_t now_us)
{
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(f->target); i++) {
		tgt_side_reported(f->target[i], 1, now_us);
		tgt_set_load(f->target[i], SLOTS + 1 - room, now_us);
	}
}

static struct tgt *
choose(struct fleet *f, int64_t now_us)
{
	struct tgt_criteria wish = { .random = (uint64_t)now_us };
	enum tgt_reason why;

	return tgt_choose(
	    f->set, tgt_service(f->set, "engines"), &wish, now_us, &why);
}

/*
 * A caller's request crosses regions although a target beside its entry has a
 * free place. With every entry counted as one that sends there, an entry found
 * none of 41 places its own in three of ten moments, and went over thin links.
 */
static void
test_places_of_the_own_region_are_found(void **state)
{
	struct fleet f;
	struct tgt *t;
	unsigned int near = 0;
	int64_t i;

	open_fleet(&f, 1);
	for (i = 1; i <= WORDS; i++) {
		say_free(&f, 1, i * SECOND);
		t = choose(&f, i * SECOND);
		near += t != NULL && t->local;
	}
	assert_true(near >= WORDS * 95 / 100);
	tgt_set_free(f.set);
}

/*
 * One place is free at a target, and all entries are told at once. On average
 * one of them may take it: the region's own seven and the 28 others together.
 */
static void
test_a_free_place_is_given_once(void **state)
{
	struct fleet f[ENTRIES];
	unsigned int taken = 0;
	int64_t i;
	size_t e;

	for (e = 0; e < ENTRIES; e++)
		open_fleet(&f[e], 100 + e);
	for (i = 1; i <= WORDS; i++) {
		for (e = 0; e < ENTRIES; e++) {
			/* The target is near to the first seven. */
			size_t at = e < NEAR_ENTRIES ? 0 : 1;

			say_free(&f[e], 0, i * SECOND);
			tgt_set_load(f[e].target[at], SLOTS, i * SECOND);
			taken += choose(&f[e], i * SECOND) != NULL;
		}
	}
	assert_in_range(taken, WORDS * 7 / 10, WORDS * 13 / 10);
	for (e = 0; e < ENTRIES; e++)
		tgt_set_free(f[e].set);
}

/* Callers move to another region: an entry's own targets have no place left,
 * and it finds one elsewhere. */
static void
test_other_regions_take_what_is_over(void **state)
{
	struct fleet f;
	unsigned int far = 0;
	int64_t i;
	size_t at;

	open_fleet(&f, 1);
	for (i = 1; i <= WORDS; i++) {
		say_free(&f, 3, i * SECOND);
		for (at = 0; at < G_N_ELEMENTS(f.target); at += REGIONS)
			tgt_set_load(f.target[at], SLOTS + 1, i * SECOND);
		far += choose(&f, i * SECOND) != NULL;
	}
	assert_true(far >= WORDS * 90 / 100);
	tgt_set_free(f.set);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_places_of_the_own_region_are_found),
		cmocka_unit_test(test_a_free_place_is_given_once),
		cmocka_unit_test(test_other_regions_take_what_is_over),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
