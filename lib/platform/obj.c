/* Client of the object API: creation, release, reads and lists. Writes are in
 * obj_put.c. */

#include <string.h>

#include "platform/platform_internal.h"

struct obj *
obj_new(struct plat *plat, const char *base)
{
	struct obj *obj = g_new0(struct obj, 1);
	uint64_t seed;

	random_bytes(&seed, sizeof(seed));
	rng_seed(&obj->rng, seed);
	obj->plat = plat;
	obj->base = g_strdup(base);
	TAILQ_INIT(&obj->calls);
	obj->reads = plat_counter(plat, "obj_reads");
	obj->writes = plat_counter(plat, "obj_writes");
	obj->refused_writes = plat_counter(plat, "obj_refused_writes");
	obj->watch_calls = plat_counter(plat, "obj_watches");
	obj->retries = plat_counter(plat, "obj_retries");
	obj->settled_writes = plat_counter(plat, "obj_settled_writes");
	obj->errors = plat_counter(plat, "obj_errors");
	obj->unreadable = plat_counter(plat, "obj_unreadable");
	return obj;
}

void
obj_free(struct obj *obj)
{
	struct obj_call *call;
	struct err err;

	if (obj == NULL)
		return;
	g_assert(obj->watches == 0);
	err_set(&err, ERR_CANCELLED, VERDICT_MAY_HAVE_RUN,
	    "the client of the object API was closed");
	while ((call = TAILQ_FIRST(&obj->calls)) != NULL)
		call->fail(call, &err);
	g_free(obj->base);
	g_free(obj);
}

void
obj_new_op(struct obj *obj, const char *node, char out[OBJ_OP_MAX])
{
	uint64_t random;

	random_bytes(&random, sizeof(random));
	g_snprintf(out, OBJ_OP_MAX,
	    "%.24s-%" G_GINT64_MODIFIER "x-%016" G_GINT64_MODIFIER "x", node,
	    (guint64)clk_wall_us(obj->plat->clock), (guint64)random);
}

int64_t
obj_now_ms(const struct obj *obj)
{
	return clk_now_ms(obj->plat->clock);
}

void
obj_call_init(struct obj_call *call, struct obj *obj,
    void (*fail)(struct obj_call *call, const struct err *err))
{
	call->obj = obj;
	call->fail = fail;
	TAILQ_INSERT_TAIL(&obj->calls, call, link);
}

void
obj_call_end(struct obj_call *call)
{
	if (call->timer != 0)
		g_source_remove(call->timer);
	fetch_cancel(call->fetch);
	TAILQ_REMOVE(&call->obj->calls, call, link);
}

void
obj_call_wait(struct obj_call *call, unsigned int ms, GSourceFunc resume)
{
	call->timer = g_timeout_add(ms, resume, call);
}

char *
obj_key_path(const char *key)
{
	char *escaped = g_uri_escape_string(key, "/", FALSE);
	char *path = g_strconcat("/v1/objects/", escaped, NULL);

	g_free(escaped);
	return path;
}

bool
obj_parse(JsonObject *json, const char *key, struct obj_object *out)
{
	memset(out, 0, sizeof(*out));
	out->key = key;
	return (key != NULL || reply_str(json, "key", &out->key)) &&
	    reply_u64(json, "version", &out->version) &&
	    reply_str(json, "op", &out->op) &&
	    reply_str(json, "value", &out->value);
}

/* ------------------------------------------------------------------ */
/* Reads and lists, retried within the deadline                        */
/* ------------------------------------------------------------------ */

struct read_call {
	struct obj_call call; /* first member */
	struct obj_budget budget;
	char *path;
	char *key; /* NULL for a list */
	obj_get_cb *got;
	obj_list_cb *listed;
	void *ctx;
	struct err last; /* error of the last attempt */
};

static void
read_free(struct read_call *read)
{
	obj_call_end(&read->call);
	g_free(read->path);
	g_free(read->key);
	g_free(read);
}

/* Frees the call before it runs the callback, because the callback may free the
 * client. */
static void
read_fail(struct obj_call *call, const struct err *err)
{
	struct read_call *read = (struct read_call *)call;
	struct read_call copy = *read;
	struct err why = *err;

	why.verdict = VERDICT_NOT_RUN;
	if (why.code != ERR_NOT_FOUND && why.code != ERR_CANCELLED)
		ctr_add(call->obj->errors, 1);
	read_free(read);
	if (copy.got != NULL)
		copy.got(NULL, &why, copy.ctx);
	else
		copy.listed(0, NULL, 0, &why, copy.ctx);
}

static void
deliver_object(struct read_call *read, JsonObject *json, struct err *err)
{
	struct obj_object object;
	struct read_call copy = *read;

	if (!obj_parse(json, read->key, &object)) {
		err_set(err, ERR_CORRUPT, VERDICT_NOT_RUN,
		    "the object is malformed");
		return;
	}
	object.key = copy.key;
	read->key = NULL;
	read_free(read);
	copy.got(&object, NULL, copy.ctx);
	g_free(copy.key);
}

static bool
parse_listed(JsonObject *json, struct obj_object *out)
{
	return reply_str(json, "key", &out->key) &&
	    reply_u64(json, "version", &out->version);
}

struct obj_object *
obj_parse_list(const struct obj *obj, JsonObject *json,
    bool (*parse)(JsonObject *json, struct obj_object *out), uint64_t *revision,
    guint *n)
{
	JsonArray *array = reply_list(json, "objects");
	guint i, total;
	struct obj_object *objects;
	JsonNode *item;

	if (array == NULL || !reply_u64(json, "revision", revision))
		return NULL;
	total = json_array_get_length(array);
	objects = g_new0(struct obj_object, total + 1);
	*n = 0;
	for (i = 0; i < total; i++) {
		item = json_array_get_element(array, i);
		if (JSON_NODE_HOLDS_OBJECT(item) &&
		    parse(json_node_get_object(item), &objects[*n]))
			(*n)++;
		else
			ctr_add(obj->unreadable, 1);
	}
	return objects;
}

static void
deliver_list(struct read_call *read, JsonObject *json, struct err *err)
{
	struct read_call copy = *read;
	struct obj_object *objects;
	uint64_t revision;
	guint n;

	objects =
	    obj_parse_list(read->call.obj, json, parse_listed, &revision, &n);
	if (objects == NULL) {
		err_set(
		    err, ERR_UNAVAILABLE, VERDICT_NOT_RUN, "malformed list");
		return;
	}
	read_free(read);
	copy.listed(revision, objects, n, NULL, copy.ctx);
	g_free(objects);
}

/* Errors after which a retry can succeed. */
static bool
is_retryable(enum err_code code)
{
	return code == ERR_UNAVAILABLE || code == ERR_OVERLOADED ||
	    code == ERR_DEADLINE;
}

static void read_attempt(struct read_call *read);

static gboolean
on_retry_timer(gpointer data)
{
	struct read_call *read = data;

	read->call.timer = 0;
	ctr_add(read->call.obj->retries, 1);
	read_attempt(read);
	return G_SOURCE_REMOVE;
}

static void
read_retry(struct read_call *read, const struct err *err)
{
	struct obj *obj = read->call.obj;
	unsigned int wait_ms;

	read->last = *err;
	/* The deadline of this attempt has passed, not the caller's. */
	if (err->code == ERR_DEADLINE)
		read->last.code = ERR_UNAVAILABLE;
	if (is_retryable(err->code) &&
	    obj_retry_wait(&read->budget, obj_now_ms(obj), &obj->rng, &wait_ms))
		obj_call_wait(&read->call, wait_ms, on_retry_timer);
	else
		read_fail(&read->call, &read->last);
}

static void
on_read_response(
    const struct fetch_response *response, const struct err *err, void *ctx)
{
	struct read_call *read = ctx;
	struct reply reply;
	struct err why = { .code = ERR_NONE };

	read->call.fetch = NULL;
	if (!reply_from_fetch(&reply, response, err, &why)) {
		read_retry(read, &why);
		return;
	}
	if (read->got != NULL)
		deliver_object(read, reply.json, &why);
	else
		deliver_list(read, reply.json, &why);
	if (err_is(&why))
		read_retry(read, &why);
	reply_close(&reply);
}

static void
read_attempt(struct read_call *read)
{
	struct obj *obj = read->call.obj;
	unsigned int ms = obj_attempt_ms(&read->budget, obj_now_ms(obj));

	if (ms == 0) {
		read_fail(&read->call, &read->last);
		return;
	}
	ctr_add(obj->reads, 1);
	read->call.fetch = fetch_start(obj->plat,
	    &(struct fetch_request){
		.base = obj->base,
		.method = "GET",
		.path = read->path,
		.deadline_ms = ms,
		.max_bytes = FETCH_JSON_MAX,
	    },
	    on_read_response, read);
}

static gboolean
on_start_timer(gpointer data)
{
	struct read_call *read = data;

	read->call.timer = 0;
	read_attempt(read);
	return G_SOURCE_REMOVE;
}

static struct read_call *
read_new(struct obj *obj, unsigned int deadline_ms, void *ctx)
{
	struct read_call *read = g_new0(struct read_call, 1);

	obj_call_init(&read->call, obj, read_fail);
	read->budget.deadline_ms = obj_now_ms(obj) + deadline_ms;
	read->ctx = ctx;
	err_set(&read->last, ERR_UNAVAILABLE, VERDICT_NOT_RUN,
	    "no time left for a read");
	/* Start from the loop: a callback must not run within this call. */
	obj_call_wait(&read->call, 0, on_start_timer);
	return read;
}

void
obj_get(struct obj *obj, const char *key, unsigned int deadline_ms,
    obj_get_cb *done, void *ctx)
{
	struct read_call *read = read_new(obj, deadline_ms, ctx);

	read->path = obj_key_path(key);
	read->key = g_strdup(key);
	read->got = done;
}

void
obj_list(struct obj *obj, const char *prefix, unsigned int deadline_ms,
    obj_list_cb *done, void *ctx)
{
	struct read_call *read = read_new(obj, deadline_ms, ctx);
	char *escaped = g_uri_escape_string(prefix, NULL, FALSE);

	read->path = g_strconcat("/v1/list?prefix=", escaped, NULL);
	read->listed = done;
	g_free(escaped);
}
