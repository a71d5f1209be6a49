/*
 * Free slots shared by many gateways without messages between them: five
 * regions of seven gateways and 41 targets each, with 8 slots and one request
 * beyond them at each target.
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
#define LOCAL_TARGETS 41
#define LOCAL_GATEWAYS 7
#define GATEWAYS (REGIONS * LOCAL_GATEWAYS)
#define SLOTS 8
#define ROUNDS 400 /* rounds of load reports */

struct fleet {
	struct tgt_set *set;
	struct tgt *target[REGIONS * LOCAL_TARGETS];
};

static void
open_fleet(struct fleet *f, uint64_t seed)
{
	struct tgt_policy policy = { .beyond_slots = 1,
		.remote_cost = 6,
		.gateways = GATEWAYS,
		.seed = seed };
	size_t i;

	f->set = tgt_set_new("r0", &policy);
	for (i = 0; i < REGIONS; i++) {
		char name[8];

		snprintf(name, sizeof(name), "r%zu", i);
		tgt_set_domain(f->set, name, name);
	}
	for (i = 0; i < G_N_ELEMENTS(f->target); i++) {
		struct sv_target record = { .service = "engines",
			.slots = SLOTS };

		snprintf(record.id, sizeof(record.id), "e%zu", i);
		snprintf(record.address, sizeof(record.address),
		    "10.0.%zu.%zu:80", i / 200, i % 200);
		snprintf(
		    record.domain, sizeof(record.domain), "r%zu", i % REGIONS);
		f->target[i] = tgt_put(f->set, &record, 0);
		f->target[i]->region_gateways = LOCAL_GATEWAYS;
	}
}

/* Every sidecar reports at `now_us` that `room` slots are free. */
static void
report_free(struct fleet *f, unsigned int room, int64_t now_us)
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
	struct tgt_criteria criteria = { .random = (uint64_t)now_us };
	enum tgt_reason why;

	return tgt_choose(
	    f->set, tgt_service(f->set, "engines"), &criteria, now_us, &why);
}

/*
 * Guards against requests that cross regions although a target in the gateway's
 * region has a free slot. When every gateway counted as one that sends to each
 * target, a gateway found none of 41 slots its own in three of ten moments, and
 * used the narrow links between regions.
 */
static void
test_local_slots_are_found_first(void **state)
{
	struct fleet f;
	struct tgt *t;
	unsigned int local = 0;
	int64_t i;

	open_fleet(&f, 1);
	for (i = 1; i <= ROUNDS; i++) {
		report_free(&f, 1, i * SECOND);
		t = choose(&f, i * SECOND);
		local += t != NULL && t->local;
	}
	assert_true(local >= ROUNDS * 95 / 100);
	tgt_set_free(f.set);
}

/*
 * One slot is free at a target, and all gateways learn it at once. On average
 * one of them may take it: of the seven in its region and the 28 others
 * together.
 */
static void
test_free_slot_is_taken_once(void **state)
{
	struct fleet f[GATEWAYS];
	unsigned int taken = 0;
	int64_t i;
	size_t e;

	for (e = 0; e < GATEWAYS; e++)
		open_fleet(&f[e], 100 + e);
	for (i = 1; i <= ROUNDS; i++) {
		for (e = 0; e < GATEWAYS; e++) {
			/* The target is local to the first seven gateways. */
			size_t at = e < LOCAL_GATEWAYS ? 0 : 1;

			report_free(&f[e], 0, i * SECOND);
			tgt_set_load(f[e].target[at], SLOTS, i * SECOND);
			taken += choose(&f[e], i * SECOND) != NULL;
		}
	}
	assert_in_range(taken, ROUNDS * 7 / 10, ROUNDS * 13 / 10);
	for (e = 0; e < GATEWAYS; e++)
		tgt_set_free(f[e].set);
}

/* The load moves to one region: a gateway's local targets have no free slot,
 * and it finds one in another region. */
static void
test_other_regions_take_overflow(void **state)
{
	struct fleet f;
	unsigned int remote = 0;
	int64_t i;
	size_t at;

	open_fleet(&f, 1);
	for (i = 1; i <= ROUNDS; i++) {
		report_free(&f, 3, i * SECOND);
		for (at = 0; at < G_N_ELEMENTS(f.target); at += REGIONS)
			tgt_set_load(f.target[at], SLOTS + 1, i * SECOND);
		remote += choose(&f, i * SECOND) != NULL;
	}
	assert_true(remote >= ROUNDS * 90 / 100);
	tgt_set_free(f.set);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_local_slots_are_found_first),
		cmocka_unit_test(test_free_slot_is_taken_once),
		cmocka_unit_test(test_other_regions_take_overflow),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
