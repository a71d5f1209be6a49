/* Clients of engines, the origin and the host list: requests sent, and the
 * result for each response. */

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <cmocka.h>
#include <inttypes.h>

#include "server.h"

#define HEX                                \
	"0102030405060708090a0b0c0d0e0f10" \
	"0102030405060708090a0b0c0d0e0f10"

struct fixture {
	struct server server;
	struct ctr_set *counters;
	struct plat *plat;
	/* Response of the server. */
	unsigned int status;
	const char *headers;
	const char *body; /* NULL: do not respond */
	char requested[64], sent[1024], range[64];
	bool done, cancelled;
	struct err err;
	struct digest digest;
	uint64_t number;
	size_t n;
	char text[256];
};

static void
serve(struct peer *peer, void *ctx)
{
	struct fixture *f = ctx;
	const char *range = strstr(peer->head, "Range: ");

	g_snprintf(f->requested, sizeof(f->requested), "%s %s", peer->method,
	    peer->path);
	f->cancelled = strcmp(peer->path, "/v1/cancel") == 0;
	g_strlcpy(f->sent, peer->body, sizeof(f->sent));
	f->range[0] = '\0';
	if (range != NULL)
		g_strlcpy(f->range, range + 7,
		    MIN(strcspn(range + 7, "\r") + 1, sizeof(f->range)));
	if (f->body != NULL)
		peer_answer(peer, f->status, f->headers, f->body);
}

static int
setup(void **state)
{
	struct fixture *f = g_new0(struct fixture, 1);

	f->counters = ctr_set_new();
	f->plat = plat_new(clk_system(), f->counters, NULL);
	server_start(&f->server, serve, f);
	*state = f;
	return 0;
}

static int
teardown(void **state)
{
	struct fixture *f = *state;

	plat_free(f->plat);
	run_for(10);
	server_stop(&f->server);
	ctr_set_free(f->counters);
	g_free(f);
	return 0;
}

static void
set_response(struct fixture *f, unsigned int status, const char *body)
{
	f->status = status;
	f->headers = "";
	f->body = body;
	f->done = false;
	f->text[0] = '\0';
}

static void
record_result(struct fixture *f, const struct err *err)
{
	assert_false(f->done);
	f->done = true;
	f->err = err != NULL ? *err : (struct err){ .code = ERR_NONE };
}

static void
assert_result(const struct fixture *f, enum err_code code, enum verdict verdict)
{
	assert_string_equal(err_code_name(f->err.code), err_code_name(code));
	if (code != ERR_NONE)
		assert_string_equal(
		    verdict_name(f->err.verdict), verdict_name(verdict));
}

/* ------------------------------------------------------------------ */
/* Engines                                                             */
/* ------------------------------------------------------------------ */

static void
on_load(const struct digest *loaded, const struct err *err, void *ctx)
{
	struct fixture *f = ctx;

	if (loaded != NULL)
		f->digest = *loaded;
	record_result(f, err);
}

static void
load(struct fixture *f, unsigned int deadline_ms)
{
	struct engine_load order = { .model = "a/m",
		.version = "v1",
		.bytes = 200,
		.chunk_bytes = 10,
		.chunks_url = "http://127.0.0.1:1/chunks",
		.source = "http://127.0.0.1:1/bytes",
		.fence = 7,
		.order_id = "o1" };

	assert_true(digest_from_hex(HEX, &order.root));
	engine_load(f->plat, f->server.base, &order, deadline_ms, on_load, f);
	run_until(&f->done);
}

static void
test_load(void **state)
{
	struct fixture *f = *state;
	char hex[DIGEST_HEX];

	set_response(f, 200, "{\"digest\":\"" HEX "\"}");
	load(f, 5000);
	assert_result(f, ERR_NONE, 0);
	digest_to_hex(&f->digest, hex);
	assert_string_equal(hex, HEX);
	assert_string_equal(f->requested, "POST /v1/load");
	assert_string_equal(f->sent,
	    "{\"model\":\"a/m\",\"version\":\"v1\",\"digest\":\"" HEX
	    "\",\"bytes\":200,\"chunk_bytes\":10,"
	    "\"chunks_url\":\"http://127.0.0.1:1/chunks\","
	    "\"source\":\"http://127.0.0.1:1/bytes\",\"fence\":7,"
	    "\"order_id\":\"o1\"}");
}

/*
 * The rollout needs the outcome of its load order. A stale fencing number and a
 * digest mismatch are reported as other errors than an engine that is down. A
 * response without a valid digest never counts as a successful load.
 */
static void
test_load_errors(void **state)
{
	static const struct {
		unsigned int status;
		const char *body;
		enum err_code code;
		enum verdict verdict;
	} rows[] = {
		{ 409, "{\"fence\":9}", ERR_STALE_FENCE, VERDICT_NOT_RUN },
		{ 502, "{}", ERR_CORRUPT, VERDICT_RAN },
		{ 503, "{}", ERR_UNAVAILABLE, VERDICT_RAN },
		{ 200, "{\"digest\":\"12\"}", ERR_UNAVAILABLE,
		    VERDICT_MAY_HAVE_RUN },
		{ 200, "[]", ERR_UNAVAILABLE, VERDICT_MAY_HAVE_RUN },
		{ 200, "", ERR_UNAVAILABLE, VERDICT_MAY_HAVE_RUN },
		{ 200, NULL, ERR_DEADLINE, VERDICT_MAY_HAVE_RUN },
	};
	struct fixture *f = *state;
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(rows); i++) {
		set_response(f, rows[i].status, rows[i].body);
		load(f, rows[i].body == NULL ? 50 : 5000);
		assert_result(f, rows[i].code, rows[i].verdict);
	}
	set_response(f, 503, "{}");
	f->headers = "X-Not-Run: 1\r\n";
	load(f, 5000);
	assert_result(f, ERR_UNAVAILABLE, VERDICT_NOT_RUN);
}

static void
on_loaded(const char *version, const struct digest *loaded, uint64_t fence,
    const struct err *err, void *ctx)
{
	struct fixture *f = ctx;

	if (err == NULL) {
		g_strlcpy(f->text, version, sizeof(f->text));
		f->digest = *loaded;
		f->number = fence;
	}
	record_result(f, err);
}

static void
test_loaded(void **state)
{
	struct fixture *f = *state;

	set_response(f, 200,
	    "{\"model\":\"a/m\",\"version\":\"v1\",\"digest\":\"" HEX
	    "\",\"fence\":7}");
	engine_loaded(f->plat, f->server.base, 5000, on_loaded, f);
	run_until(&f->done);
	assert_result(f, ERR_NONE, 0);
	assert_string_equal(f->text, "v1");
	assert_int_equal(f->number, 7);
	assert_false(digest_is_none(&f->digest));
	set_response(f, 200, "{\"version\":\"\",\"digest\":\"\",\"fence\":0}");
	engine_loaded(f->plat, f->server.base, 5000, on_loaded, f);
	run_until(&f->done);
	assert_result(f, ERR_NONE, 0);
	assert_true(digest_is_none(&f->digest));
	set_response(f, 200, "{\"version\":1,\"digest\":\"\",\"fence\":0}");
	engine_loaded(f->plat, f->server.base, 5000, on_loaded, f);
	run_until(&f->done);
	assert_result(f, ERR_UNAVAILABLE, VERDICT_MAY_HAVE_RUN);
}

static void
on_report(const struct engine_report *report, const struct err *err, void *ctx)
{
	struct fixture *f = ctx;

	if (report != NULL)
		g_snprintf(f->text, sizeof(f->text), "%u %u %u %u %u",
		    report->running, report->waiting, report->slots,
		    report->step_ms, (unsigned int)report->cache_tokens);
	record_result(f, err);
}

static void
test_report_and_cancel(void **state)
{
	struct fixture *f = *state;

	set_response(f, 200,
	    "{\"running\":1,\"waiting\":2,\"slots\":3,\"cache_tokens\":5,"
	    "\"step_ms\":4}");
	engine_report(f->plat, f->server.base, 5000, on_report, f);
	run_until(&f->done);
	assert_string_equal(f->text, "1 2 3 4 5");
	set_response(f, 200, "{\"running\":-1}");
	engine_report(f->plat, f->server.base, 5000, on_report, f);
	run_until(&f->done);
	assert_result(f, ERR_UNAVAILABLE, VERDICT_MAY_HAVE_RUN);
	engine_cancel(f->plat, f->server.base, "r\"1");
	run_until(&f->cancelled);
	assert_string_equal(f->requested, "POST /v1/cancel");
	assert_string_equal(f->sent, "{\"request_id\":\"r\\\"1\"}");
}

/* Guards against a report of an engine that is read as another one: the parser
 * wraps integers that do not fit around. */
static void
test_report_numbers_out_of_range(void **state)
{
	static const char *const odd[] = { "-1", "4294967296",
		"18446744073709551617", "-99999999999999999999", "1e400", "1.5",
		"\"1\"", "[1]", "null" };
	struct fixture *f = *state;
	char *body;
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(odd); i++) {
		body =
		    g_strdup_printf("{\"running\":%s,\"waiting\":2,\"slots\":3,"
				    "\"cache_tokens\":5,\"step_ms\":4}",
			odd[i]);
		set_response(f, 200, body);
		engine_report(f->plat, f->server.base, 5000, on_report, f);
		run_until(&f->done);
		assert_result(f, ERR_UNAVAILABLE, VERDICT_MAY_HAVE_RUN);
		g_free(body);
	}
}

static void
on_cache(uint64_t next, const struct engine_cache_event *events, size_t n,
    const struct err *err, void *ctx)
{
	struct fixture *f = ctx;

	f->number = next;
	f->n = n;
	if (n > 0)
		g_snprintf(f->text, sizeof(f->text), "%u %" PRIx64 " %d",
		    (unsigned int)events[0].seq, events[0].prefix,
		    events[0].present);
	record_result(f, err);
}

static void
test_cache_events(void **state)
{
	struct fixture *f = *state;

	set_response(f, 200,
	    "{\"next\":9,\"events\":[{\"seq\":8,"
	    "\"prefix\":\"fedcba9876543210\",\"present\":true}]}");
	engine_cache_events(f->plat, f->server.base, 7, 5000, on_cache, f);
	run_until(&f->done);
	assert_result(f, ERR_NONE, 0);
	assert_string_equal(f->requested, "GET /v1/cache_events?since=7");
	assert_string_equal(f->text, "8 fedcba9876543210 1");
	assert_int_equal(f->number, 9);
	set_response(f, 200, "{\"next\":9,\"events\":[3]}");
	engine_cache_events(f->plat, f->server.base, 7, 5000, on_cache, f);
	run_until(&f->done);
	assert_result(f, ERR_UNAVAILABLE, VERDICT_MAY_HAVE_RUN);
}

/* ------------------------------------------------------------------ */
/* Host list                                                           */
/* ------------------------------------------------------------------ */

static void
on_hosts(
    const struct hosts_entry *hosts, size_t n, const struct err *err, void *ctx)
{
	struct fixture *f = ctx;
	size_t i;

	for (i = 0; i < n; i++) {
		g_strlcat(f->text, hosts[i].host, sizeof(f->text));
		g_strlcat(
		    f->text, hosts[i].leaving ? "- " : "+ ", sizeof(f->text));
	}
	record_result(f, err);
}

static void
get_hosts(struct fixture *f, unsigned int status, const char *body)
{
	set_response(f, status, body);
	hosts_get(f->plat, f->server.base, 5000, on_hosts, f);
	run_until(&f->done);
}

/* A host in an unknown state gets no new work. */
static void
test_hosts(void **state)
{
	struct fixture *f = *state;

	get_hosts(f, 200,
	    "{\"hosts\":["
	    "{\"host\":\"h1\",\"address\":\"a\",\"domain\":\"d\","
	    "\"state\":\"live\"},"
	    "{\"host\":\"h2\",\"address\":\"a\",\"domain\":\"d\","
	    "\"state\":\"leaving\"},"
	    "{\"host\":\"h3\",\"address\":\"a\",\"domain\":\"d\","
	    "\"state\":\"new\"}]}");
	assert_result(f, ERR_NONE, 0);
	assert_string_equal(f->text, "h1+ h2- h3- ");
	get_hosts(f, 200, "{\"hosts\":[{\"host\":\"h1\"}]}");
	assert_result(f, ERR_UNAVAILABLE, VERDICT_MAY_HAVE_RUN);
	get_hosts(f, 500, "{}");
	assert_result(f, ERR_UNAVAILABLE, VERDICT_RAN);
}

/* Guards against a list that is refused for one entry that another writer made:
 * a process that is cut off finds no member then. */
static void
test_odd_host(void **state)
{
	static const char *const odd[] = { "{}", "7", "null", "[]", "\"h\"",
		"{\"host\":7,\"address\":\"a\",\"domain\":\"d\","
		"\"state\":\"live\"}",
		"{\"host\":\"h\",\"address\":{},\"domain\":\"d\","
		"\"state\":\"live\"}",
		"{\"host\":\"h\",\"address\":\"a\",\"domain\":\"d\","
		"\"state\":1e400}" };
	struct fixture *f = *state;
	char *body;
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(odd); i++) {
		body = g_strdup_printf(
		    "{\"hosts\":[%s,{\"host\":\"h1\",\"address\":\"a\","
		    "\"domain\":\"d\",\"state\":\"live\"},%s]}",
		    odd[i], odd[i]);
		f->text[0] = '\0';
		get_hosts(f, 200, body);
		g_free(body);
		assert_result(f, ERR_NONE, 0);
		assert_string_equal(f->text, "h1+ ");
	}
}

/* ------------------------------------------------------------------ */
/* Origin                                                              */
/* ------------------------------------------------------------------ */

static void
on_bytes(GBytes *bytes, const struct err *err, void *ctx)
{
	struct fixture *f = ctx;
	gsize len;
	const char *data;

	if (bytes != NULL) {
		data = g_bytes_get_data(bytes, &len);
		g_strlcpy(f->text, data, MIN(len + 1, sizeof(f->text)));
	}
	record_result(f, err);
}

static struct origin_read *
read_start(
    struct fixture *f, uint64_t offset, const char *range, const char *body)
{
	set_response(f, range != NULL ? 206 : 200, body);
	f->headers = range != NULL ? range : "";
	return origin_read_start(f->plat, f->server.base, "team/m v1/chunks",
	    offset, 4, 50, on_bytes, f);
}

static void
test_origin_read(void **state)
{
	struct fixture *f = *state;

	read_start(f, 8, "Content-Range: bytes 8-11/100\r\n", "abcd");
	run_until(&f->done);
	assert_result(f, ERR_NONE, 0);
	assert_string_equal(f->text, "abcd");
	assert_string_equal(f->requested, "GET /v1/weights/team/m%20v1/chunks");
	assert_string_equal(f->range, "bytes=8-11");
	read_start(f, 0, NULL, "abcd");
	run_until(&f->done);
	assert_result(f, ERR_NONE, 0);
	assert_int_equal(ctr_read(f->counters, "origin_reads"), 2);
	assert_int_equal(ctr_read(f->counters, "origin_bytes"), 8);
}

/*
 * The origin responds with another range or with more bytes than requested. If
 * such bytes were accepted, they would be counted as corruption, and a complete
 * file instead of a range could exhaust memory.
 */
static void
test_origin_wrong_range(void **state)
{
	struct fixture *f = *state;

	read_start(f, 8, "Content-Range: bytes 0-3/100\r\n", "abcd");
	run_until(&f->done);
	assert_result(f, ERR_INVALID, VERDICT_RAN);
	read_start(f, 8, NULL, "abcd");
	run_until(&f->done);
	assert_result(f, ERR_INVALID, VERDICT_RAN);
	read_start(f, 8, "Content-Range: bytes 8-11/100\r\n", "abc");
	run_until(&f->done);
	assert_result(f, ERR_INVALID, VERDICT_RAN);
	read_start(f, 0, NULL, "abcde");
	run_until(&f->done);
	assert_result(f, ERR_TOO_LARGE, VERDICT_MAY_HAVE_RUN);
	assert_int_equal(ctr_read(f->counters, "origin_errors"), 4);
}

/* The connection stalls without closing. The read ends and the stall is
 * counted, so that the chunk is requested from another source. */
static void
test_origin_stall_and_cancel(void **state)
{
	struct fixture *f = *state;
	struct origin_read *read;

	read_start(f, 0, NULL, NULL);
	run_until(&f->done);
	assert_result(f, ERR_UNAVAILABLE, VERDICT_MAY_HAVE_RUN);
	assert_int_equal(ctr_read(f->counters, "origin_stalls"), 1);
	read = read_start(f, 0, NULL, NULL);
	origin_read_cancel(read);
	run_for(100);
	assert_false(f->done);
}

#define SERVED(test) cmocka_unit_test_setup_teardown(test, setup, teardown)

int
main(void)
{
	const struct CMUnitTest tests[] = {
		SERVED(test_load),
		SERVED(test_load_errors),
		SERVED(test_loaded),
		SERVED(test_report_and_cancel),
		SERVED(test_report_numbers_out_of_range),
		SERVED(test_cache_events),
		SERVED(test_hosts),
		SERVED(test_odd_host),
		SERVED(test_origin_read),
		SERVED(test_origin_wrong_range),
		SERVED(test_origin_stall_and_cancel),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
