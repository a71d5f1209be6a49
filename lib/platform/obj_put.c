/* Writes to the object API. Performs the steps that obj_retry.c chooses. */

#include <string.h>

#include "platform/platform_internal.h"

/* An object with larger JSON could not be read back. The margin leaves room for
 * the other members of the response. */
#define PUT_JSON_MAX (FETCH_JSON_MAX - 4096)

struct put_call {
	struct obj_call call; /* first member */
	struct obj_write write;
	char *key;
	char *path;
	GBytes *json;
	obj_put_cb *done;
	void *ctx;
	struct err invalid; /* error of the arguments, reported unsent */
};

static void
put_free(struct put_call *put)
{
	obj_call_end(&put->call);
	g_free(put->key);
	g_free(put->path);
	if (put->json != NULL)
		g_bytes_unref(put->json);
	g_free(put);
}

/* `now` may be NULL; otherwise it borrows from a response that outlives the
 * call. */
static void
put_finish(struct put_call *put, const struct obj_action *action,
    const struct obj_object *now)
{
	struct obj *obj = put->call.obj;
	struct put_call copy = *put;
	const struct err *err = err_is(&action->err) ? &action->err : NULL;

	if (action->settled)
		ctr_add(obj->settled_writes, 1);
	if (err != NULL && err->code == ERR_CONFLICT)
		ctr_add(obj->refused_writes, 1);
	else if (err != NULL && err->code != ERR_CANCELLED)
		ctr_add(obj->errors, 1);
	put->key = NULL;
	put_free(put);
	copy.done(action->version, now, err, copy.ctx);
	g_free(copy.key);
}

static void
put_fail(struct obj_call *call, const struct err *err)
{
	struct put_call *put = (struct put_call *)call;
	struct obj_action action = { .step = OBJ_DO_END, .err = *err };
	bool sending = call->fetch != NULL;

	if (!put->write.in_doubt && !sending)
		action.err.verdict = VERDICT_NOT_RUN;
	put_finish(put, &action, NULL);
}

static void put_step(struct put_call *put, const struct obj_event *event,
    const struct obj_object *now);

static gboolean
on_retry_timer(gpointer data)
{
	struct put_call *put = data;

	put->call.timer = 0;
	ctr_add(put->call.obj->retries, 1);
	put_step(put, &(struct obj_event){ .kind = OBJ_WAITED }, NULL);
	return G_SOURCE_REMOVE;
}

static bool
is_transient(const struct fetch_response *response)
{
	return response->status >= 500 ||
	    response->status == HTTP_TOO_MANY_REQUESTS;
}

/* Parses the JSON of a 200 or 409 response to a write. False if malformed. */
static bool
parse_write_response(JsonObject *json, unsigned int status, const char *key,
    struct obj_event *event, struct obj_object *now)
{
	if (status == SOUP_STATUS_OK) {
		event->kind = OBJ_WRITTEN;
		return reply_u64(json, "version", &event->version);
	}
	event->kind = OBJ_CONFLICT;
	if (!reply_u64(json, "version", &event->version))
		return false;
	now->key = key;
	now->version = event->version;
	/* The object is absent: it has no operation id and no value. */
	if (event->version == 0)
		return true;
	if (!obj_parse(json, key, now))
		return false;
	event->op = now->op;
	return true;
}

static void
handle_write_response(
    struct put_call *put, const struct fetch_response *response)
{
	struct obj_event event = { .kind = OBJ_NO_RESPONSE };
	struct obj_object now = { .key = NULL };
	struct reply reply = { .json = NULL };

	if (!reply_open(&reply, response->body, NULL) ||
	    !parse_write_response(
		reply.json, response->status, put->key, &event, &now)) {
		event = (struct obj_event){ .kind = OBJ_NO_RESPONSE };
		now.key = NULL;
	}
	put_step(put, &event, now.key != NULL ? &now : NULL);
	reply_close(&reply);
}

static void
on_write_response(
    const struct fetch_response *response, const struct err *err, void *ctx)
{
	struct put_call *put = ctx;
	struct obj_event event = { .kind = OBJ_NO_RESPONSE };
	struct err why;

	put->call.fetch = NULL;
	if (err == NULL &&
	    (response->status == SOUP_STATUS_OK ||
		response->status == SOUP_STATUS_CONFLICT)) {
		handle_write_response(put, response);
		return;
	}
	if (err != NULL) {
		if (err->verdict == VERDICT_NOT_RUN)
			event.kind = OBJ_NOT_SENT;
	} else if (response->not_run ||
	    response->status == HTTP_TOO_MANY_REQUESTS) {
		event.kind = OBJ_NOT_SENT;
	} else if (!is_transient(response)) {
		fetch_status_error(response, &why);
		event.kind = OBJ_REJECTED;
		event.err = &why;
	}
	put_step(put, &event, NULL);
}

static void
on_read_back(
    const struct fetch_response *response, const struct err *err, void *ctx)
{
	struct put_call *put = ctx;
	struct obj_event event = { .kind = OBJ_READ_FAILED };
	struct obj_object now = { .key = put->key };
	struct reply reply = { .json = NULL };

	put->call.fetch = NULL;
	if (err == NULL && response->status == SOUP_STATUS_NOT_FOUND)
		event.kind = OBJ_READ_BACK;
	else if (reply_from_fetch(&reply, response, err, NULL) &&
	    obj_parse(reply.json, put->key, &now)) {
		event.kind = OBJ_READ_BACK;
		event.version = now.version;
		event.op = now.op;
	}
	put_step(put, &event, event.kind == OBJ_READ_BACK ? &now : NULL);
	reply_close(&reply);
}

static void
put_send(struct put_call *put, const struct obj_action *action)
{
	struct obj *obj = put->call.obj;
	bool write = action->step == OBJ_DO_WRITE;

	ctr_add(write ? obj->writes : obj->reads, 1);
	put->call.fetch = fetch_start(obj->plat,
	    &(struct fetch_request){
		.base = obj->base,
		.method = write ? "PUT" : "GET",
		.path = put->path,
		.json = write ? put->json : NULL,
		.deadline_ms = action->ms,
		.max_bytes = FETCH_JSON_MAX,
	    },
	    write ? on_write_response : on_read_back, put);
}

static void
put_step(struct put_call *put, const struct obj_event *event,
    const struct obj_object *now)
{
	struct obj *obj = put->call.obj;
	struct obj_action action =
	    obj_write_next(&put->write, event, obj_now_ms(obj), &obj->rng);

	switch (action.step) {
	case OBJ_DO_WRITE:
	case OBJ_DO_READ:
		put_send(put, &action);
		break;
	case OBJ_DO_WAIT:
		obj_call_wait(&put->call, action.ms, on_retry_timer);
		break;
	case OBJ_DO_END:
		put_finish(put, &action, now);
		break;
	}
}

static gboolean
on_start_timer(gpointer data)
{
	struct put_call *put = data;

	put->call.timer = 0;
	if (err_is(&put->invalid))
		put_fail(&put->call, &put->invalid);
	else
		put_step(put, &(struct obj_event){ .kind = OBJ_BEGIN }, NULL);
	return G_SOURCE_REMOVE;
}

static GBytes *
put_json(const struct obj_put *put)
{
	JsonBuilder *b = json_builder_new();

	json_builder_begin_object(b);
	json_builder_set_member_name(b, "op");
	json_builder_add_string_value(b, put->op);
	if (put->conditional) {
		json_builder_set_member_name(b, "if_version");
		json_builder_add_int_value(b, (gint64)put->if_version);
	}
	json_builder_set_member_name(b, "value");
	json_builder_add_string_value(b, put->value);
	json_builder_end_object(b);
	return json_text(b);
}

static bool
check_put(const struct obj_put *put, struct err *err)
{
	size_t key_len = strlen(put->key);
	size_t op_len = strlen(put->op);

	if (key_len == 0 || key_len > OBJ_KEY_MAX)
		return err_set(err, ERR_INVALID, VERDICT_NOT_RUN,
		    "key length is out of bounds");
	if (op_len == 0 || op_len >= OBJ_OP_MAX)
		return err_set(err, ERR_INVALID, VERDICT_NOT_RUN,
		    "operation id length is out of bounds");
	if (!g_utf8_validate(put->value, -1, NULL))
		return err_set(
		    err, ERR_INVALID, VERDICT_NOT_RUN, "value is not UTF-8");
	if (strlen(put->value) > OBJ_VALUE_MAX)
		return err_set(err, ERR_TOO_LARGE, VERDICT_NOT_RUN,
		    "value is larger than %u bytes", OBJ_VALUE_MAX);
	return true;
}

static bool
check_json(GBytes *json, struct err *err)
{
	if (g_bytes_get_size(json) > PUT_JSON_MAX)
		return err_set(err, ERR_TOO_LARGE, VERDICT_NOT_RUN,
		    "value is larger than %u bytes in JSON", PUT_JSON_MAX);
	return true;
}

void
obj_put(struct obj *obj, const struct obj_put *put, obj_put_cb *done, void *ctx)
{
	struct put_call *call = g_new0(struct put_call, 1);

	obj_call_init(&call->call, obj, put_fail);
	call->done = done;
	call->ctx = ctx;
	call->key = g_strdup(put->key);
	call->path = obj_key_path(put->key);
	g_strlcpy(call->write.op, put->op, OBJ_OP_MAX);
	call->write.conditional = put->conditional;
	call->write.if_version = put->if_version;
	call->write.budget.deadline_ms = obj_now_ms(obj) + put->deadline_ms;
	if (check_put(put, &call->invalid)) {
		call->json = put_json(put);
		check_json(call->json, &call->invalid);
	}
	obj_call_wait(&call->call, 0, on_start_timer);
}
