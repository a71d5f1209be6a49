/* Watch of the object API. */

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <cmocka.h>

#include "api.h"

static void
on_changed(
    uint64_t revision, const struct obj_object *objects, size_t n, void *ctx)
{
	struct api *api = ctx;
	size_t i;

	for (i = 0; i < n; i++) {
		assert_non_null(objects[i].value);
		g_string_append_printf(api->changes, "%s=%u@%u ",
		    objects[i].key, (unsigned int)objects[i].version,
		    (unsigned int)revision);
	}
	api->changed = true;
}

static void
on_lost(const struct err *err, void *ctx)
{
	struct api *api = ctx;

	api->lost++;
}

static void
on_recovered(void *ctx)
{
	struct api *api = ctx;

	api->recovered++;
}

static const struct obj_watch_ops watch_ops = {
	.changed = on_changed,
	.lost = on_lost,
	.recovered = on_recovered,
};

static void
await_change(struct api *api)
{
	api->changed = false;
	run_until(&api->changed);
}

static void
await_poll(struct api *api)
{
	unsigned int i;

	for (i = 0; i < 1000 && api->held_poll == NULL; i++)
		run_for(10);
	assert_non_null(api->held_poll);
}

static void
test_watch(void **state)
{
	struct api *api = *state;
	struct obj_watch *watch;

	store(api, "teams/a", "op", "1");
	watch = obj_watch_start(api->obj, "teams/", 0, &watch_ops, api);
	await_change(api);
	assert_string_equal(api->changes->str, "teams/a=1@1 ");
	await_poll(api);
	assert_non_null(strstr(api->last_poll, "prefix=teams%2F&since=1"));
	store(api, "teams/b", "op", "1");
	respond_changes(api->held_poll, api, 1, true);
	await_change(api);
	assert_string_equal(api->changes->str, "teams/a=1@1 teams/b=1@2 ");
	obj_watch_stop(watch);
	run_for(150);
	assert_int_equal(api->polls, 2);
}

/* Changes must be in force everywhere within 14 s; 2 s of that are for their way
 * from a watcher to all processes, and 1 s for a busy one. */
#define LOSS_NOTICED_MAX_MS 11000

/* Guards against a poll on a dead connection that is waited for until its long
 * hold time is over: a change that was lost with it is in force too late. */
static void
test_lost_poll_is_repeated_in_time(void **state)
{
	struct api *api = *state;
	struct obj_watch *watch;
	int64_t end_us;

	store(api, "teams/a", "op", "1");
	watch = obj_watch_start(api->obj, "teams/", 0, &watch_ops, api);
	await_change(api);
	await_poll(api);
	/* Neither this poll nor the change is ever answered. */
	store(api, "teams/b", "op", "1");
	api->changed = false;
	end_us = g_get_monotonic_time() + LOSS_NOTICED_MAX_MS * 1000;
	while (!api->changed && g_get_monotonic_time() < end_us)
		run_for(10);
	obj_watch_stop(watch);
	assert_true(api->changed);
}

/*
 * The API is down for a while. The owner gets one call of `lost` and one of
 * `recovered`, and then the changes made during the outage.
 */
static void
test_watch_through_an_outage(void **state)
{
	struct api *api = *state;
	struct obj_watch *watch;

	store(api, "teams/a", "op", "1");
	api->unavailable = 2;
	api->drop_requests = 2;
	watch = obj_watch_start(api->obj, "teams/", 0, &watch_ops, api);
	await_change(api);
	assert_string_equal(api->changes->str, "teams/a=1@1 ");
	assert_int_equal(api->lost, 1);
	assert_int_equal(api->recovered, 1);
	obj_watch_stop(watch);
}

/*
 * The API restarts with a revision below that of the watch. New changes would
 * be below the polled revision and would be reported late or never. So the
 * first poll of a watch and the first poll after a failure are not held, all
 * objects are reported again, and the watch continues from the new revision.
 */
static void
test_watch_after_a_restart_of_the_api(void **state)
{
	struct api *api = *state;
	struct obj_watch *watch;

	store(api, "teams/a", "op", "1");
	store(api, "teams/b", "op", "1");
	watch = obj_watch_start(api->obj, "teams/", 900, &watch_ops, api);
	await_poll(api);
	assert_string_equal(api->changes->str, "teams/a=1@2 teams/b=1@2 ");
	assert_non_null(strstr(api->last_poll, "since=2&"));
	g_string_truncate(api->changes, 0);
	g_ptr_array_set_size(api->objects, 0);
	api->revision = 0;
	store(api, "teams/c", "op", "1");
	peer_close(api->held_poll);
	api->held_poll = NULL;
	await_poll(api);
	assert_string_equal(api->changes->str, "teams/c=1@1 ");
	assert_non_null(strstr(api->last_poll, "since=1&"));
	assert_int_equal(api->lost, 1);
	assert_int_equal(api->recovered, 1);
	obj_watch_stop(watch);
}

/* Without a minimum spacing, a busy prefix or an API that does not hold polls
 * would be polled as fast as it responds, and each poll counts as a call. */
static void
test_polls_are_spaced(void **state)
{
	struct api *api = *state;
	int64_t began_us = g_get_monotonic_time();
	struct obj_watch *watch;
	unsigned int max;

	api->never_hold_polls = true;
	watch = obj_watch_start(api->obj, "teams/", 0, &watch_ops, api);
	run_for(350);
	max = 2 + (unsigned int)(g_get_monotonic_time() - began_us) / 100000;
	assert_in_range(api->polls, 2, max);
	obj_watch_stop(watch);
}

/*
 * The changes exceed the size limit of one response, so repeating the poll
 * would always fail. The objects are read one by one, and the watch continues.
 */
static void
test_watch_with_oversized_changes(void **state)
{
	struct api *api = *state;
	struct obj_watch *watch;

	store(api, "teams/a", "op", "1");
	api->oversized_polls = true;
	watch = obj_watch_start(api->obj, "teams/", 0, &watch_ops, api);
	await_change(api);
	api->oversized_polls = false;
	await_poll(api);
	assert_non_null(strstr(api->last_poll, "since=1&"));
	assert_int_equal(api->lost, 0);
	obj_watch_stop(watch);
}

/* The owner may stop the watch from within any of its callbacks. */
static void
stop_in_changed(
    uint64_t revision, const struct obj_object *objects, size_t n, void *ctx)
{
	obj_watch_stop(*(struct obj_watch **)ctx);
	*(struct obj_watch **)ctx = NULL;
}

static void
stop_in_lost(const struct err *err, void *ctx)
{
	stop_in_changed(0, NULL, 0, ctx);
}

static void
test_watch_stopped_in_callback(void **state)
{
	const struct obj_watch_ops stopping_ops = {
		.changed = stop_in_changed,
		.lost = stop_in_lost,
	};
	struct api *api = *state;
	struct obj_watch *watch;
	uint64_t since;
	unsigned int i;

	store(api, "teams/a", "op", "1");
	for (since = 0; since < 3; since++) {
		api->unavailable = since == 1;
		watch = obj_watch_start(
		    api->obj, "teams/", since * 100, &stopping_ops, &watch);
		for (i = 0; i < 1000 && watch != NULL; i++)
			run_for(10);
		assert_null(watch);
	}
	watch = obj_watch_start(api->obj, "teams/", 900, &watch_ops, api);
	obj_watch_stop(watch);
	run_for(50);
	assert_int_equal(api->changes->len, 0);
}

#define SERVED(test) cmocka_unit_test_setup_teardown(test, setup, teardown)

/* Guards against one object of another writer that ends the watch of a prefix, in
 * a poll and when the prefix is listed again. */
static void
test_watch_beside_an_odd_object(void **state)
{
	struct api *api = *state;
	struct obj_watch *watch;

	api->odd_key = "teams/odd";
	store(api, "teams/a", "op", "1");
	store(api, "teams/odd", "op", "1");
	store(api, "teams/b", "op", "1");
	watch = obj_watch_start(api->obj, "teams/", 0, &watch_ops, api);
	await_change(api);
	assert_string_equal(api->changes->str, "teams/a=1@3 teams/b=1@3 ");
	/* The API restarts with a lower revision: all is read again. */
	await_poll(api);
	api->revision = 1;
	g_string_truncate(api->changes, 0);
	respond_changes(api->held_poll, api, 3, true);
	await_change(api);
	await_change(api);
	assert_string_equal(api->changes->str, "teams/a=1@1 teams/b=1@1 ");
	assert_int_equal(api->lost, 0);
	obj_watch_stop(watch);
}

/* The other direction: an object that could not be read for a while is no odd one,
 * and is read again. */
static void
test_object_that_is_refused_once(void **state)
{
	struct api *api = *state;
	struct obj_watch *watch;

	store(api, "teams/a", "op", "1");
	watch = obj_watch_start(api->obj, "teams/", 0, &watch_ops, api);
	await_change(api);
	await_poll(api);
	api->revision = 0;
	api->early_gets = 1;
	g_string_truncate(api->changes, 0);
	respond_changes(api->held_poll, api, 1, true);
	await_change(api);
	assert_string_equal(api->changes->str, "teams/a=1@0 ");
	assert_int_equal(api->lost, 1);
	obj_watch_stop(watch);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
		SERVED(test_watch),
		SERVED(test_lost_poll_is_repeated_in_time),
		SERVED(test_watch_through_an_outage),
		SERVED(test_watch_after_a_restart_of_the_api),
		SERVED(test_polls_are_spaced),
		SERVED(test_watch_with_oversized_changes),
		SERVED(test_watch_beside_an_odd_object),
		SERVED(test_object_that_is_refused_once),
		SERVED(test_watch_stopped_in_callback),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
