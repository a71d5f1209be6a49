/* The origin of weights: serves the files below a directory, with one rate
 * limit for all connections. */

#include <string.h>

#include "standin/standin.h"

/* A short period makes the rate even at the scale of a chunk. */
#define TICK_MS 10
/* Limit on the time credited for a late tick; more would cause a burst. */
#define CATCH_UP_US 50000
#define SLICE_MAX (256u << 10)
#define PERMILLE 1000

struct transfer {
	TAILQ_ENTRY(transfer) entry;
	struct origin *origin;
	struct deferred *deferred;
	GBytes *bytes; /* requested range, memory-mapped */
	size_t sent;
	size_t corrupt_at; /* offset of the byte to corrupt; the size: none */
	size_t stall_at; /* offset to stop sending at; the size: never */
	int64_t *byte_count; /* byte counter in `origin->by_name` */
	bool writing; /* the last slice is not written yet */
};
TAILQ_HEAD(transfer_list, transfer);

struct origin {
	char *dir;
	const struct clk *clock;
	int64_t bytes_s;
	int64_t filled_us; /* time of the last refill of `tokens` */
	double tokens; /* token bucket: bytes that may be sent now */
	guint ticker; /* active while there are transfers */
	struct transfer_list transfers;
	GHashTable *by_name; /* char * -> int64_t * */
	int64_t requests;
	int64_t bytes_sent;
	struct rng rng;
	/* Injected faults. */
	int64_t corrupt_next, corrupt_permille, stall_next;
	bool down;
};

/* ------------------------------------------------------------------ */
/* Sending                                                             */
/* ------------------------------------------------------------------ */

static void
transfer_free(struct transfer *t)
{
	TAILQ_REMOVE(&t->origin->transfers, t, entry);
	g_signal_handlers_disconnect_by_data(deferred_msg(t->deferred), t);
	deferred_free(t->deferred);
	g_bytes_unref(t->bytes);
	g_free(t);
}

static void
on_transfer_closed(void *ctx)
{
	transfer_free(ctx);
}

static GBytes *
next_slice(struct transfer *t, size_t len)
{
	GBytes *slice = g_bytes_new_from_bytes(t->bytes, t->sent, len);
	uint8_t *copy;

	if (t->corrupt_at < t->sent || t->corrupt_at >= t->sent + len)
		return slice;
	copy = g_memdup2(g_bytes_get_data(slice, NULL), len);
	copy[t->corrupt_at - t->sent] ^= 1;
	g_bytes_unref(slice);
	return g_bytes_new_take(copy, len);
}

static size_t
transfer_end(const struct transfer *t)
{
	return MIN(t->stall_at, g_bytes_get_size(t->bytes));
}

static bool
transfer_ready(const struct transfer *t)
{
	return !t->writing && t->sent < transfer_end(t);
}

static void
send_slice(struct transfer *t, size_t max)
{
	size_t len = MIN(transfer_end(t) - t->sent, MIN(max, SLICE_MAX));
	SoupServerMessage *msg = deferred_msg(t->deferred);
	GBytes *slice;

	if (len == 0)
		return;
	slice = next_slice(t, len);
	soup_message_body_append_bytes(
	    soup_server_message_get_response_body(msg), slice);
	g_bytes_unref(slice);
	t->sent += len;
	t->writing = true;
	if (t->sent == g_bytes_get_size(t->bytes)) {
		soup_message_body_complete(
		    soup_server_message_get_response_body(msg));
	}
	deferred_write(t->deferred);
}

static void
refill(struct origin *o)
{
	int64_t now = clk_now_us(o->clock);
	int64_t passed = MIN(now - o->filled_us, CATCH_UP_US);

	o->filled_us = now;
	o->tokens += (double)passed * (double)o->bytes_s / 1e6;
	o->tokens = MIN(o->tokens, (double)o->bytes_s * CATCH_UP_US / 1e6);
}

/* Divides the available tokens evenly among the transfers that can send. */
static gboolean
on_tick(void *ctx)
{
	struct origin *o = ctx;
	struct transfer *t, *next;
	size_t before, ready = 0;

	if (TAILQ_EMPTY(&o->transfers)) {
		o->ticker = 0;
		return G_SOURCE_REMOVE;
	}
	refill(o);
	TAILQ_FOREACH (t, &o->transfers, entry)
		ready += transfer_ready(t) ? 1 : 0;
	for (t = TAILQ_FIRST(&o->transfers); t != NULL && ready > 0; t = next) {
		next = TAILQ_NEXT(t, entry);
		if (!transfer_ready(t))
			continue;
		before = t->sent;
		send_slice(t, (size_t)(o->tokens / (double)ready));
		o->tokens -= (double)(t->sent - before);
		ready--;
	}
	return G_SOURCE_CONTINUE;
}

static void
on_wrote_data(SoupServerMessage *msg, guint len, void *ctx)
{
	struct transfer *t = ctx;

	t->origin->bytes_sent += len;
	*t->byte_count += len;
}

static void
on_wrote_chunk(SoupServerMessage *msg, void *ctx)
{
	struct transfer *t = ctx;

	t->writing = false;
	if (t->origin->bytes_s == 0 && transfer_ready(t))
		send_slice(t, SLICE_MAX);
}

/* ------------------------------------------------------------------ */
/* Requests                                                            */
/* ------------------------------------------------------------------ */

static int64_t *
byte_count_of(struct origin *o, const char *name)
{
	int64_t *count = g_hash_table_lookup(o->by_name, name);

	if (count == NULL) {
		count = g_new0(int64_t, 1);
		g_hash_table_insert(o->by_name, g_strdup(name), count);
	}
	return count;
}

static bool
safe_name(const char *name)
{
	char **parts = g_strsplit(name, "/", -1);
	bool safe = *name != '\0' && *name != '/';
	size_t i;

	for (i = 0; parts[i] != NULL; i++)
		safe = safe && strcmp(parts[i], "..") != 0;
	g_strfreev(parts);
	return safe;
}

static GBytes *
map_file(struct origin *o, const char *name)
{
	char *path = g_build_filename(o->dir, name, NULL);
	GMappedFile *file = NULL;
	GBytes *bytes = NULL;

	if (safe_name(name) && g_file_test(path, G_FILE_TEST_IS_REGULAR))
		file = g_mapped_file_new(path, FALSE, NULL);
	if (file != NULL) {
		bytes = g_mapped_file_get_bytes(file);
		g_mapped_file_unref(file);
	}
	g_free(path);
	return bytes;
}

/* Returns the requested range of `file` and sets status and headers; answers
 * 416 and returns NULL if the range is invalid. */
static GBytes *
select_range(SoupServerMessage *msg, GBytes *file)
{
	SoupMessageHeaders *in, *out;
	goffset size = (goffset)g_bytes_get_size(file);
	goffset start = 0, end = size - 1;
	SoupRange *ranges;
	int n;

	in = soup_server_message_get_request_headers(msg);
	out = soup_server_message_get_response_headers(msg);
	soup_message_headers_append(out, "Accept-Ranges", "bytes");
	if (soup_message_headers_get_one(in, "Range") == NULL) {
		soup_server_message_set_status(msg, 200, NULL);
		return g_bytes_ref(file);
	}
	if (!soup_message_headers_get_ranges(in, size, &ranges, &n)) {
		reply_error(msg, 416, "no such range");
		return NULL;
	}
	start = ranges[0].start;
	end = MIN(ranges[0].end, size - 1);
	soup_message_headers_free_ranges(in, ranges);
	if (n != 1 || start < 0 || start > end) {
		reply_error(msg, 416, "no such range");
		return NULL;
	}
	soup_message_headers_set_content_range(out, start, end, size);
	soup_server_message_set_status(msg, 206, NULL);
	return g_bytes_new_from_bytes(
	    file, (gsize)start, (gsize)(end - start + 1));
}

static void
choose_faults(struct origin *o, struct transfer *t)
{
	size_t size = g_bytes_get_size(t->bytes);

	t->corrupt_at = t->stall_at = size;
	if (size == 0)
		return;
	if (o->corrupt_next > 0) {
		o->corrupt_next--;
		t->corrupt_at = rng_below(&o->rng, size);
	} else if ((int64_t)rng_below(&o->rng, PERMILLE) <
	    o->corrupt_permille) {
		t->corrupt_at = rng_below(&o->rng, size);
	}
	if (o->stall_next > 0) {
		o->stall_next--;
		t->stall_at = size / 2;
	}
}

static void
transfer_start(
    struct origin *o, SoupServerMessage *msg, const char *name, GBytes *bytes)
{
	struct transfer *t = g_new0(struct transfer, 1);
	SoupMessageHeaders *out = soup_server_message_get_response_headers(msg);
	SoupMessageBody *body = soup_server_message_get_response_body(msg);

	t->origin = o;
	t->bytes = bytes;
	t->byte_count = byte_count_of(o, name);
	choose_faults(o, t);
	soup_message_headers_set_content_type(
	    out, "application/octet-stream", NULL);
	soup_message_headers_set_encoding(out, SOUP_ENCODING_CONTENT_LENGTH);
	soup_message_headers_set_content_length(
	    out, (goffset)g_bytes_get_size(bytes));
	soup_message_body_set_accumulate(body, FALSE);
	g_signal_connect(msg, "wrote-body-data", G_CALLBACK(on_wrote_data), t);
	g_signal_connect(msg, "wrote-chunk", G_CALLBACK(on_wrote_chunk), t);
	t->deferred = deferred_new(msg, on_transfer_closed, t);
	TAILQ_INSERT_TAIL(&o->transfers, t, entry);
	if (g_bytes_get_size(bytes) == 0) {
		soup_message_body_complete(body);
		deferred_write(t->deferred);
	} else if (o->bytes_s == 0) {
		send_slice(t, SLICE_MAX);
	} else if (o->ticker == 0) {
		o->tokens = 0; /* idle time earns no tokens */
		o->filled_us = clk_now_us(o->clock);
		o->ticker = g_timeout_add(TICK_MS, on_tick, o);
	}
}

static void
on_weights(SoupServer *server, SoupServerMessage *msg, const char *path,
    GHashTable *query, void *ctx)
{
	struct origin *o = ctx;
	const char *name = path + strlen("/v1/weights/");
	GBytes *file, *range;

	o->requests++;
	if (o->down) {
		reply_error(msg, 503, "down");
		return;
	}
	file =
	    g_str_has_prefix(path, "/v1/weights/") ? map_file(o, name) : NULL;
	if (file == NULL) {
		reply_error(msg, 404, "no such weights");
		return;
	}
	range = select_range(msg, file);
	if (range != NULL)
		transfer_start(o, msg, name, range);
	g_bytes_unref(file);
}

/* ------------------------------------------------------------------ */
/* Faults and counts                                                   */
/* ------------------------------------------------------------------ */

static void
on_faults(SoupServer *server, SoupServerMessage *msg, const char *path,
    GHashTable *query, void *ctx)
{
	struct origin *o = ctx;
	JsonObject *body = body_object(msg);

	if (body == NULL)
		return;
	member_int_into(body, "corrupt_next", &o->corrupt_next);
	member_int_into(body, "corrupt_permille", &o->corrupt_permille);
	member_int_into(body, "stall_next", &o->stall_next);
	o->down = member_bool(body, "down", o->down);
	json_object_unref(body);
	reply_json(msg, 200, json_begin());
}

static void
on_counts(SoupServer *server, SoupServerMessage *msg, const char *path,
    GHashTable *query, void *ctx)
{
	struct origin *o = ctx;
	JsonBuilder *b = json_begin();
	GHashTableIter iter;
	void *name, *bytes;

	put_int(b, "requests", o->requests);
	put_int(b, "bytes_sent", o->bytes_sent);
	json_builder_set_member_name(b, "by_name");
	json_builder_begin_object(b);
	g_hash_table_iter_init(&iter, o->by_name);
	while (g_hash_table_iter_next(&iter, &name, &bytes))
		put_int(b, name, *(int64_t *)bytes);
	json_builder_end_object(b);
	reply_json(msg, 200, b);
}

/* ------------------------------------------------------------------ */
/* Setup and teardown                                                  */
/* ------------------------------------------------------------------ */

static void
origin_free(void *ctx)
{
	struct origin *o = ctx;

	while (!TAILQ_EMPTY(&o->transfers))
		transfer_free(TAILQ_FIRST(&o->transfers));
	if (o->ticker != 0)
		g_source_remove(o->ticker);
	g_hash_table_destroy(o->by_name);
	g_free(o->dir);
	g_free(o);
}

struct standin *
origin_start(const struct origin_options *options, struct err *err)
{
	struct origin *o = g_new0(struct origin, 1);
	SoupServer *server = soup_server_new(NULL, NULL);

	o->dir = g_strdup(options->dir);
	o->clock = options->clock == NULL ? clk_system() : options->clock;
	o->bytes_s = options->bytes_s;
	o->filled_us = clk_now_us(o->clock);
	o->by_name =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	rng_seed(&o->rng, options->seed);
	TAILQ_INIT(&o->transfers);
	soup_server_add_handler(server, "/v1/weights", on_weights, o, NULL);
	soup_server_add_handler(server, "/admin/faults", on_faults, o, NULL);
	soup_server_add_handler(server, "/admin/counts", on_counts, o, NULL);
	return standin_new(server, options->port, o, origin_free, err);
}

int
origin_main(int argc, const char **argv)
{
	struct origin_options options = { 0 };
	struct err err = { 0 };
	char *dir = NULL;
	long long bytes_s = 0, seed = 1;
	int port = 0, status;
	const struct poptOption table[] = {
		{ "port", 0, POPT_ARG_INT, &port, 0, "port, 0 picks one", "P" },
		{ "dir", 0, POPT_ARG_STRING, &dir, 0, "folder served", "DIR" },
		{ "bytes-s", 0, POPT_ARG_LONGLONG, &bytes_s, 0,
		    "bytes per second over all connections, 0 for no limit",
		    "N" },
		{ "seed", 0, POPT_ARG_LONGLONG, &seed, 0,
		    "seed of the choice of corrupted answers", "N" },
		POPT_AUTOHELP POPT_TABLEEND,
	};

	if (!standin_options(argc, argv, table))
		return 2;
	options.port = (unsigned int)port;
	options.dir = dir == NULL ? "." : dir;
	options.bytes_s = bytes_s;
	options.seed = (uint64_t)seed;
	status = standin_serve(origin_start(&options, &err), &err);
	free(dir);
	return status;
}
