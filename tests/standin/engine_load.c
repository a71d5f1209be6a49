/*
 * The engine's load orders, executed one at a time: fetches the list of chunk
 * digests and the bytes from the sidecar, hashes the bytes as they arrive, and
 * replaces the loaded weights once the root digest matches.
 */

#include <string.h>

#include "standin/engine.h"

#define READ_BYTES (256u << 10)
#define STALL_TIMEOUT_S \
	30 /* a load fails after the source stalls for this long */

struct load_entry { /* one order in the log */
	STAILQ_ENTRY(load_entry) entry;
	char *order_id;
	char *digest;
	int64_t fence;
	bool accepted;
};
STAILQ_HEAD(load_log, load_entry);

struct order {
	STAILQ_ENTRY(order) entry;
	struct loader *loader;
	struct deferred *deferred; /* NULL: the client disconnected */
	struct load_entry *logged;
	struct weights weights;
	int64_t bytes;
	int64_t chunk_bytes;
	char *chunks_url;
	char *source;
	GBytes *chunks; /* chunk digests, 32 bytes each */
	GInputStream *stream;
	struct digest_stream *root;
	struct digest_stream *chunk;
	int64_t chunk_left; /* bytes left in the current chunk */
	int64_t done; /* bytes read */
	bool hung;
};
STAILQ_HEAD(order_list, order);

struct loader {
	bool check_fence;
	struct weights *loaded;
	int64_t highest_fence;
	SoupSession *session;
	GCancellable *cancel;
	struct order_list orders; /* the first is being executed */
	struct load_log log;
	int64_t load_fail, load_hang;
};

static void start_next(struct loader *l);

/* ------------------------------------------------------------------ */
/* Orders                                                              */
/* ------------------------------------------------------------------ */

static void
order_free(struct order *o)
{
	deferred_free(o->deferred);
	if (o->chunks != NULL)
		g_bytes_unref(o->chunks);
	g_clear_object(&o->stream);
	digest_stream_free(o->root);
	digest_stream_free(o->chunk);
	g_free(o->weights.model);
	g_free(o->weights.version);
	g_free(o->chunks_url);
	g_free(o->source);
	g_free(o);
}

static void
answer_digest(SoupServerMessage *msg, const char *digest)
{
	JsonBuilder *b = json_begin();

	put_str(b, "digest", digest);
	reply_json(msg, 200, b);
}

static void
answer_stale(struct loader *l, SoupServerMessage *msg)
{
	JsonBuilder *b = json_begin();

	put_int(b, "fence", l->highest_fence);
	reply_json(msg, 409, b);
}

static bool
is_stale(struct loader *l, int64_t fence)
{
	return l->check_fence && fence < l->highest_fence;
}

static void
next_order(struct loader *l)
{
	struct order *o = STAILQ_FIRST(&l->orders);

	STAILQ_REMOVE_HEAD(&l->orders, entry);
	order_free(o);
	start_next(l);
}

static void
order_fail(struct order *o, const char *why)
{
	if (o->deferred != NULL) {
		reply_error(deferred_msg(o->deferred), 502, why);
		deferred_write(o->deferred);
	}
	next_order(o->loader);
}

static void
replace_weights(struct weights *loaded, const struct weights *fresh)
{
	g_free(loaded->model);
	g_free(loaded->version);
	*loaded = *fresh;
	loaded->model = g_strdup(fresh->model);
	loaded->version = g_strdup(fresh->version);
}

/* Checks the fencing number again: an order with a higher one may have arrived
 * during the load. */
static void
order_done(struct order *o)
{
	struct loader *l = o->loader;
	bool stale = is_stale(l, o->weights.fence);

	if (!stale) {
		replace_weights(l->loaded, &o->weights);
		o->logged->accepted = true;
	}
	if (o->deferred != NULL) {
		if (stale)
			answer_stale(l, deferred_msg(o->deferred));
		else
			answer_digest(
			    deferred_msg(o->deferred), o->weights.digest);
		deferred_write(o->deferred);
	}
	next_order(l);
}

/* ------------------------------------------------------------------ */
/* Reading and hashing                                                 */
/* ------------------------------------------------------------------ */

static void read_more(struct order *o);

static bool
verify_chunk(struct order *o)
{
	const uint8_t *list = g_bytes_get_data(o->chunks, NULL);
	int64_t index = (o->done - 1) / o->chunk_bytes;
	struct digest digest;

	digest_stream_end(o->chunk, &digest);
	o->chunk = digest_stream_new();
	o->chunk_left = MIN(o->chunk_bytes, o->bytes - o->done);
	digest_stream_add(o->root, digest.bytes, DIGEST_BYTES);
	return memcmp(list + index * DIGEST_BYTES, digest.bytes,
		   DIGEST_BYTES) == 0;
}

/* False if the source sends too many bytes or a chunk does not match its
 * digest in the list. */
static bool
hash_bytes(struct order *o, const uint8_t *data, size_t len)
{
	size_t n;

	while (len > 0) {
		if (o->chunk_left == 0)
			return false;
		n = MIN(len, (size_t)o->chunk_left);
		digest_stream_add(o->chunk, data, n);
		data += n;
		len -= n;
		o->done += (int64_t)n;
		o->chunk_left -= (int64_t)n;
		if (o->chunk_left == 0 && !verify_chunk(o))
			return false;
	}
	return true;
}

static void
source_ended(struct order *o)
{
	char hex[DIGEST_HEX];
	struct digest root;

	if (o->done != o->bytes) {
		order_fail(o, "the source is too short");
		return;
	}
	digest_stream_end(o->root, &root);
	o->root = NULL;
	digest_to_hex(&root, hex);
	if (strcmp(hex, o->weights.digest) == 0)
		order_done(o);
	else
		order_fail(o, "the root digest does not match");
}

static void
on_read(GObject *stream, GAsyncResult *result, void *ctx)
{
	struct order *o = ctx;
	GError *error = NULL;
	GBytes *bytes;
	size_t len;
	const uint8_t *data;
	bool ok;

	bytes = g_input_stream_read_bytes_finish(
	    G_INPUT_STREAM(stream), result, &error);
	if (g_error_matches(error, G_IO_ERROR, G_IO_ERROR_CANCELLED)) {
		g_error_free(error); /* the engine is being freed */
		return;
	}
	if (bytes == NULL) {
		g_error_free(error);
		order_fail(o, "the source broke off");
		return;
	}
	data = g_bytes_get_data(bytes, &len);
	ok = hash_bytes(o, data, len);
	g_bytes_unref(bytes);
	if (!ok)
		order_fail(o, "the bytes do not match");
	else if (len == 0)
		source_ended(o);
	else
		read_more(o);
}

static void
read_more(struct order *o)
{
	g_input_stream_read_bytes_async(o->stream, READ_BYTES,
	    G_PRIORITY_DEFAULT, o->loader->cancel, on_read, o);
}

static void
begin_hashing(struct order *o)
{
	char *head = g_strdup_printf("currantchute-version-1\n%" G_GINT64_FORMAT
				     "\n%" G_GINT64_FORMAT "\n",
	    o->bytes, o->chunk_bytes);

	o->root = digest_stream_new();
	o->chunk = digest_stream_new();
	o->chunk_left = MIN(o->chunk_bytes, o->bytes);
	digest_stream_add(o->root, head, strlen(head));
	g_free(head);
}

static void
on_source(GObject *session, GAsyncResult *result, void *ctx)
{
	SoupMessage *msg = soup_session_get_async_result_message(
	    SOUP_SESSION(session), result);
	bool found = soup_message_get_status(msg) == 200;
	GError *error = NULL;
	GInputStream *stream;
	struct order *o = ctx;

	stream =
	    soup_session_send_finish(SOUP_SESSION(session), result, &error);
	if (g_error_matches(error, G_IO_ERROR, G_IO_ERROR_CANCELLED)) {
		g_error_free(error);
		return;
	}
	g_clear_error(&error);
	o->stream = stream;
	if (stream == NULL || !found) {
		order_fail(o, "no source");
		return;
	}
	begin_hashing(o);
	read_more(o);
}

/* Starts a GET; false if the URL is invalid. */
static bool
fetch(struct order *o, const char *url, bool read_all, GAsyncReadyCallback done)
{
	SoupMessage *msg = soup_message_new("GET", url);
	struct loader *l = o->loader;

	if (msg == NULL)
		return false;
	if (read_all) {
		soup_session_send_and_read_async(
		    l->session, msg, G_PRIORITY_DEFAULT, l->cancel, done, o);
	} else {
		soup_session_send_async(
		    l->session, msg, G_PRIORITY_DEFAULT, l->cancel, done, o);
	}
	g_object_unref(msg);
	return true;
}

static bool
chunk_list_size_ok(const struct order *o)
{
	int64_t n = (o->bytes + o->chunk_bytes - 1) / o->chunk_bytes;

	return (int64_t)g_bytes_get_size(o->chunks) == n * DIGEST_BYTES;
}

static void
on_chunks(GObject *session, GAsyncResult *result, void *ctx)
{
	GError *error = NULL;
	GBytes *list;
	struct order *o = ctx;

	list = soup_session_send_and_read_finish(
	    SOUP_SESSION(session), result, &error);
	if (g_error_matches(error, G_IO_ERROR, G_IO_ERROR_CANCELLED)) {
		g_error_free(error);
		return;
	}
	g_clear_error(&error);
	o->chunks = list;
	if (list == NULL || !chunk_list_size_ok(o))
		order_fail(o, "no list of chunks, or one of another size");
	else if (!fetch(o, o->source, false, on_source))
		order_fail(o, "a bad source URL");
}

static void
start_order(struct order *o)
{
	struct loader *l = o->loader;

	if (is_stale(l, o->weights.fence) ||
	    strcmp(l->loaded->digest, o->weights.digest) == 0) {
		order_done(o);
	} else if (l->load_fail > 0) {
		l->load_fail--;
		order_fail(o, "told to fail");
	} else if (l->load_hang > 0) {
		l->load_hang--;
		o->hung = true; /* until the client disconnects */
		if (o->deferred == NULL)
			next_order(l);
	} else if (!fetch(o, o->chunks_url, true, on_chunks)) {
		order_fail(o, "a bad chunks URL");
	}
}

static void
start_next(struct loader *l)
{
	if (!STAILQ_EMPTY(&l->orders))
		start_order(STAILQ_FIRST(&l->orders));
}

/* ------------------------------------------------------------------ */
/* HTTP handlers                                                       */
/* ------------------------------------------------------------------ */

/* A load continues after its client has disconnected: an engine may complete
 * an order that its sender has given up. A load that hangs by an injected
 * fault ends here. */
static void
on_order_closed(void *ctx)
{
	struct order *o = ctx;

	deferred_free(o->deferred);
	o->deferred = NULL;
	if (o->hung)
		next_order(o->loader);
}

static struct load_entry *
log_order(struct loader *l, JsonObject *body)
{
	struct load_entry *e = g_new0(struct load_entry, 1);

	e->order_id = g_strdup(member_str(body, "order_id", ""));
	e->digest = g_strdup(member_str(body, "digest", ""));
	e->fence = member_int(body, "fence", 0);
	STAILQ_INSERT_TAIL(&l->log, e, entry);
	return e;
}

static struct order *
order_parse(JsonObject *body)
{
	const char *digest = member_str(body, "digest", "");
	struct order *o = g_new0(struct order, 1);
	struct digest parsed;

	o->bytes = member_int(body, "bytes", 0);
	o->chunk_bytes = member_int(body, "chunk_bytes", 0);
	if (!digest_from_hex(digest, &parsed) || o->bytes <= 0 ||
	    o->chunk_bytes <= 0) {
		g_free(o);
		return NULL;
	}
	digest_to_hex(&parsed, o->weights.digest);
	o->weights.model = g_strdup(member_str(body, "model", ""));
	o->weights.version = g_strdup(member_str(body, "version", ""));
	o->weights.fence = member_int(body, "fence", 0);
	o->chunks_url = g_strdup(member_str(body, "chunks_url", ""));
	o->source = g_strdup(member_str(body, "source", ""));
	return o;
}

static void
accept_order(struct loader *l, SoupServerMessage *msg, JsonObject *body)
{
	struct load_entry *logged = log_order(l, body);
	struct order *o;

	if (is_stale(l, logged->fence)) {
		answer_stale(l, msg);
		return;
	}
	o = order_parse(body);
	if (o == NULL) {
		reply_error(msg, 400, "digest, bytes or chunk_bytes is wrong");
		return;
	}
	l->highest_fence = MAX(l->highest_fence, logged->fence);
	o->loader = l;
	o->logged = logged;
	o->deferred = deferred_new(msg, on_order_closed, o);
	STAILQ_INSERT_TAIL(&l->orders, o, entry);
	if (STAILQ_FIRST(&l->orders) == o)
		start_order(o);
}

static void
answer_loaded(struct loader *l, SoupServerMessage *msg)
{
	JsonBuilder *b = json_begin();

	put_str(b, "model", l->loaded->model);
	put_str(b, "version", l->loaded->version);
	put_str(b, "digest", l->loaded->digest);
	put_int(b, "fence", l->loaded->fence);
	reply_json(msg, 200, b);
}

void
loader_on_load(SoupServer *server, SoupServerMessage *msg, const char *path,
    GHashTable *query, void *ctx)
{
	struct loader *l = ctx;
	JsonObject *body;

	if (is_method(msg, "GET")) {
		answer_loaded(l, msg);
		return;
	}
	body = body_object(msg);
	if (body == NULL)
		return;
	accept_order(l, msg, body);
	json_object_unref(body);
}

void
loader_faults(struct loader *l, JsonObject *body)
{
	member_int_into(body, "load_fail", &l->load_fail);
	member_int_into(body, "load_hang", &l->load_hang);
}

void
loader_put_log(const struct loader *l, JsonBuilder *b)
{
	const struct load_entry *e;

	json_builder_set_member_name(b, "loads");
	json_builder_begin_array(b);
	STAILQ_FOREACH (e, &l->log, entry) {
		json_builder_begin_object(b);
		put_str(b, "order_id", e->order_id);
		put_str(b, "digest", e->digest);
		put_int(b, "fence", e->fence);
		put_bool(b, "accepted", e->accepted);
		json_builder_end_object(b);
	}
	json_builder_end_array(b);
}

/* ------------------------------------------------------------------ */
/* Setup and teardown                                                  */
/* ------------------------------------------------------------------ */

struct loader *
loader_new(const struct engine_options *options, struct weights *loaded)
{
	struct loader *l = g_new0(struct loader, 1);

	l->check_fence = options->check_fence;
	l->loaded = loaded;
	l->session =
	    soup_session_new_with_options("timeout", STALL_TIMEOUT_S, NULL);
	soup_session_set_proxy_resolver(l->session, NULL);
	l->cancel = g_cancellable_new();
	STAILQ_INIT(&l->orders);
	STAILQ_INIT(&l->log);
	return l;
}

void
loader_free(struct loader *l)
{
	struct load_entry *e;
	struct order *o;

	g_cancellable_cancel(l->cancel);
	soup_session_abort(l->session);
	while ((o = STAILQ_FIRST(&l->orders)) != NULL) {
		STAILQ_REMOVE_HEAD(&l->orders, entry);
		order_free(o);
	}
	while ((e = STAILQ_FIRST(&l->log)) != NULL) {
		STAILQ_REMOVE_HEAD(&l->log, entry);
		g_free(e->order_id);
		g_free(e->digest);
		g_free(e);
	}
	g_object_unref(l->session);
	g_object_unref(l->cancel);
	g_free(l);
}
