/* Client of the object API: writes, reads and lists under faults. */

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <cmocka.h>

#include "api.h"

static void
record_result(
    struct api *api, const struct obj_object *object, const struct err *err)
{
	assert_false(api->done);
	api->done = true;
	api->err = err != NULL ? *err : (struct err){ .code = ERR_NONE };
	api->now_op[0] = '\0';
	api->value[0] = '\0';
	if (object != NULL && object->op != NULL)
		g_strlcpy(api->now_op, object->op, sizeof(api->now_op));
	if (object != NULL && object->value != NULL)
		g_strlcpy(api->value, object->value, sizeof(api->value));
}

static void
on_put(uint64_t version, const struct obj_object *now, const struct err *err,
    void *ctx)
{
	struct api *api = ctx;

	api->version = version;
	record_result(api, now, err);
}

static void
on_get(const struct obj_object *object, const struct err *err, void *ctx)
{
	struct api *api = ctx;

	api->version = object != NULL ? object->version : 0;
	record_result(api, object, err);
}

static void
on_list(uint64_t revision, const struct obj_object *objects, size_t n,
    const struct err *err, void *ctx)
{
	struct api *api = ctx;

	api->version = revision;
	api->listed = n;
	record_result(api, NULL, err);
}

static void
put(struct api *api, bool conditional, uint64_t if_version,
    unsigned int deadline_ms)
{
	api->done = false;
	obj_put(api->obj,
	    &(struct obj_put){ .key = "teams/a",
		.op = "mine",
		.value = "v",
		.conditional = conditional,
		.if_version = if_version,
		.deadline_ms = deadline_ms },
	    on_put, api);
	assert_false(api->done);
	run_until(&api->done);
}

static void
get(struct api *api, const char *key, unsigned int deadline_ms)
{
	api->done = false;
	obj_get(api->obj, key, deadline_ms, on_get, api);
	run_until(&api->done);
}

static void
assert_result(const struct api *api, enum err_code code, enum verdict verdict)
{
	assert_string_equal(err_code_name(api->err.code), err_code_name(code));
	if (code != ERR_NONE)
		assert_int_equal(api->err.verdict, verdict);
}

static void
test_write_read_list(void **state)
{
	struct api *api = *state;

	get(api, "teams/a", 5000);
	assert_result(api, ERR_NOT_FOUND, VERDICT_NOT_RUN);
	put(api, true, 0, 5000);
	assert_result(api, ERR_NONE, 0);
	assert_int_equal(api->version, 1);
	get(api, "teams/a", 5000);
	assert_string_equal(api->value, "v");
	put(api, false, 0, 5000);
	assert_int_equal(api->version, 2);
	put(api, true, 1, 5000);
	assert_int_equal(api->version, 2); /* same operation id */
	store(api, "teams/a", "other", "theirs");
	put(api, true, 1, 5000);
	assert_result(api, ERR_CONFLICT, VERDICT_NOT_RUN);
	assert_string_equal(api->value, "theirs");
	api->done = false;
	obj_list(api->obj, "teams/", 5000, on_list, api);
	run_until(&api->done);
	assert_int_equal(api->listed, 1);
	assert_int_equal(api->version, 3);
	assert_int_equal(ctr_read(api->counters, "obj_writes"), 4);
	assert_int_equal(ctr_read(api->counters, "obj_refused_writes"), 1);
	assert_int_equal(ctr_read(api->counters, "obj_errors"), 0);
}

/*
 * The API applies a write and closes the connection without a response. The
 * object read back has the operation id, so the write succeeds, once.
 */
static void
test_applied_write_with_lost_response(void **state)
{
	struct api *api = *state;

	api->lose_responses = 1;
	put(api, true, 0, 8000);
	assert_result(api, ERR_NONE, 0);
	assert_int_equal(api->version, 1);
	assert_int_equal(api->puts, 1);
	assert_int_equal(ctr_read(api->counters, "obj_settled_writes"), 1);
}

/*
 * The response to a write is lost, and another writer overwrites the object
 * before it is read back. The operation id is gone, so the verdict is
 * MAY_HAVE_RUN.
 */
static void
test_overwritten_write_with_lost_response(void **state)
{
	struct api *api = *state;

	api->lose_responses = 1;
	api->other_writer = "other";
	put(api, true, 0, 8000);
	assert_result(api, ERR_CONFLICT, VERDICT_MAY_HAVE_RUN);
	assert_string_equal(api->now_op, "other");
	assert_int_equal(api->puts, 1);
}

/*
 * The API closes connections, responds with 503, sends a malformed response to
 * a write that it applied, or does not respond. The client retries within the
 * deadline, and the write is applied once.
 */
static void
test_write_through_faults(void **state)
{
	struct api *api = *state;

	api->drop_requests = 1;
	api->unavailable = 1;
	put(api, true, 0, 8000);
	assert_result(api, ERR_NONE, 0);
	assert_int_equal(api->version, 1);
	store(api, "teams/a", "other", "x");
	api->malformed = 1;
	put(api, true, 2, 8000);
	assert_result(api, ERR_NONE, 0);
	assert_int_equal(api->version, 3);
	store(api, "teams/a", "other", "x");
	api->hang_requests = 1;
	put(api, true, 4, 1000);
	assert_result(api, ERR_NONE, 0);
	assert_int_equal(api->version, 5);
	assert_true(ctr_read(api->counters, "obj_retries") >= 4);
}

/* The API is down for longer than the deadline. A write that was sent may have
 * run; a write that could not be sent has not run. */
static void
test_write_without_api(void **state)
{
	struct api *api = *state;
	char base[40];

	api->unavailable = 1000;
	put(api, true, 0, 100);
	assert_result(api, ERR_UNAVAILABLE, VERDICT_MAY_HAVE_RUN);
	closed_base(base);
	obj_free(api->obj);
	api->obj = obj_new(api->plat, base);
	put(api, true, 0, 100);
	assert_result(api, ERR_UNAVAILABLE, VERDICT_NOT_RUN);
	get(api, "teams/a", 100);
	assert_result(api, ERR_UNAVAILABLE, VERDICT_NOT_RUN);
}

static void
test_read_through_faults(void **state)
{
	struct api *api = *state;

	store(api, "teams/a", "op", "v");
	api->drop_requests = 1;
	api->unavailable = 1;
	api->malformed = 1;
	get(api, "teams/a", 8000);
	assert_result(api, ERR_NONE, 0);
	assert_string_equal(api->value, "v");
}

static void
test_invalid_arguments(void **state)
{
	struct api *api = *state;
	struct obj_put request = { .key = "teams/a",
		.op = "mine",
		.conditional = true,
		.deadline_ms = 5000 };
	char *big = g_strnfill(OBJ_VALUE_MAX + 1, 'x');

	request.value = big;
	obj_put(api->obj, &request, on_put, api);
	run_until(&api->done);
	assert_result(api, ERR_TOO_LARGE, VERDICT_NOT_RUN);
	g_free(big);
	request.value = "\xff";
	api->done = false;
	obj_put(api->obj, &request, on_put, api);
	run_until(&api->done);
	assert_result(api, ERR_INVALID, VERDICT_NOT_RUN);
	assert_int_equal(api->server.requests, 0);
}

/*
 * An endless response would exhaust memory: the read ends as soon as the
 * response exceeds the limit, even if the connection stays open. Deeply nested
 * JSON would overflow the stack of the parser: it is treated as malformed.
 */
static void
serve_hostile(struct peer *peer, void *ctx)
{
	char *text;

	if (strstr(peer->path, "/endless") != NULL) {
		respond_endlessly(peer);
		return;
	}
	if (strstr(peer->path, "/announced") != NULL) {
		peer_text(
		    peer, "HTTP/1.1 200 OK\r\nContent-Length: 3000000\r\n\r\n");
		return;
	}
	text = g_strnfill(1u << 20, '[');
	peer_answer(peer, 200, "", text);
	g_free(text);
}

static void
test_hostile_responses(void **state)
{
	struct api *api = *state;

	api->server.serve = serve_hostile;
	get(api, "endless", 60000);
	assert_result(api, ERR_TOO_LARGE, VERDICT_NOT_RUN);
	get(api, "announced", 60000);
	assert_result(api, ERR_TOO_LARGE, VERDICT_NOT_RUN);
	get(api, "deep", 100);
	assert_result(api, ERR_UNAVAILABLE, VERDICT_NOT_RUN);
}

static void
test_client_freed(void **state)
{
	struct api *api = *state;

	api->hang_requests = 1;
	obj_put(api->obj,
	    &(struct obj_put){
		.key = "k", .op = "o", .value = "v", .deadline_ms = 5000 },
	    on_put, api);
	run_for(50);
	obj_free(api->obj);
	api->obj = NULL;
	assert_true(api->done);
	assert_result(api, ERR_CANCELLED, VERDICT_MAY_HAVE_RUN);
}

#define SERVED(test) cmocka_unit_test_setup_teardown(test, setup, teardown)

int
main(void)
{
	const struct CMUnitTest tests[] = {
		SERVED(test_write_read_list),
		SERVED(test_applied_write_with_lost_response),
		SERVED(test_overwritten_write_with_lost_response),
		SERVED(test_write_through_faults),
		SERVED(test_write_without_api),
		SERVED(test_read_through_faults),
		SERVED(test_invalid_arguments),
		SERVED(test_hostile_responses),
		SERVED(test_client_freed),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
