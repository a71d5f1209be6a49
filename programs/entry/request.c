/* One caller's request and its attempts: the I/O of the state machine in
 * charts/attempt. */

#include <errno.h>
#include <string.h>
#include <sys/socket.h>

#include "entry/request.h"

#define VERSIONS_MAX 256 /* of one model; the limit in the settings */
#define MIN_ATTEMPT_MS 20 /* no attempt with less time than this left */
/* The users' limit for the first token of an admitted request: a stream
 * that is expected to miss it is refused. */
#define FIRST_TOKEN_LIMIT_US (1500 * 1000)
#define RETRY_AFTER_MS 1000 /* Retry-After when no target is in backoff */

static void free_request(struct request *r);

/* ------------------------------------------------------------------ */
/* Attempts                                                            */
/* ------------------------------------------------------------------ */

void
request_count(const struct request *r, const char *name)
{
	ctr_add(ctr_get(r->entry->proc.counters, name), 1);
}

/* Ends the attempt; `err` is its result, for the estimates of its target. */
static void
end_attempt(struct request *r, const struct err *err)
{
	if (r->sidecar == NULL)
		return;
	g_hash_table_remove(r->sidecar->streams, &r->stream);
	rt_target_ended(r->target, err, clk_now_us(clk_system()));
	r->sidecar = NULL;
}

static void
note_response(struct request *r)
{
	rt_target_responded(
	    r->target, !r->responded, r->sent_us, clk_now_us(clk_system()));
	r->responded = true;
}

int64_t
request_remaining_ms(const struct request *r)
{
	return (r->deadline_us - clk_now_us(clk_system())) / 1000;
}

void
request_step(struct request *r, enum att_event event)
{
	r->att.facts.time_left = request_remaining_ms(r) >= MIN_ATTEMPT_MS;
	r->att.facts.nothing_sent = r->sidecar == NULL;
	r->att.facts.budget = gatekeeper_may_retry(r->entry, r->workspace);
	att_step(&r->att, event);
	if (att_is_over(&r->att))
		free_request(r);
}

static gboolean
step_later(gpointer data)
{
	struct request *r = data;

	r->event_idle = 0;
	request_step(r, r->event);
	return G_SOURCE_REMOVE;
}

static void
set_no_target(struct request *r, int64_t backoff_ends_us)
{
	int64_t backoff_us = backoff_ends_us - clk_now_us(clk_system());

	err_set(&r->last_err, ERR_UNAVAILABLE, VERDICT_NOT_RUN,
	    "no target can accept the request now");
	r->last_err.retry_after_ms = RETRY_AFTER_MS;
	if (backoff_us > 0)
		r->last_err.retry_after_ms =
		    (unsigned int)(backoff_us / 1000 + 1);
}

/* Refuses the attempt with `last_err` from the main loop, because the state
 * machine takes no event within a step. */
static void
refuse_later(struct request *r)
{
	r->att.facts.max_attempts = r->att.facts.attempts;
	r->event = ATT_REFUSED;
	r->event_idle =
	    g_idle_add_full(G_PRIORITY_DEFAULT, step_later, r, NULL);
}

static int64_t
stall_us(const struct request *r)
{
	return (int64_t)r->stall_ms * 1000;
}

/* Returns NULL when there is no target; `backoff_ends_us` is then when the
 * first target in backoff may be used again, or 0 when none is in backoff. */
static struct rt_target *
choose_target(
    struct request *r, int64_t silent_limit_us, int64_t *backoff_ends_us)
{
	const struct rt_workspace *workspace =
	    entry_workspace(r->entry, r->workspace);
	const struct rt_model *model =
	    workspace == NULL ? NULL : rt_workspace_model(workspace, r->model);
	const struct rt_service *service = workspace == NULL
	    ? NULL
	    : rt_workspace_service(workspace, r->service);
	struct digest roots[VERSIONS_MAX];
	struct rt_criteria criteria = {
		.kind = r->model[0] != '\0' ? RT_ENGINE : RT_SERVICE,
		.workspace = r->workspace,
		.service = r->service,
		.roots = roots,
		.domain = cfg_str(r->entry->proc.cfg, "node.domain"),
		.prefix = r->prefix,
		.tried = r->tried,
		.ntried = r->att.facts.attempts,
		.silent_limit_us = silent_limit_us,
	};
	int64_t now_us = clk_now_us(clk_system());
	struct rt_target *target;

	*backoff_ends_us = 0;
	if (model == NULL && service == NULL)
		return NULL; /* removed from the settings meanwhile */
	criteria.pool = model != NULL ? model->pool : service->pool;
	if (model != NULL && model->nversions <= VERSIONS_MAX)
		criteria.nroots = rt_model_roots(model,
		    hash64(0, r->id, strlen(r->id)), roots, &criteria.ranked);
	target = rt_choose(r->entry->fleet, &criteria, now_us, &r->entry->rng);
	if (target == NULL)
		*backoff_ends_us =
		    rt_backoff_ends_us(r->entry->fleet, &criteria, now_us);
	return target;
}

static void
send_request(struct request *r)
{
	gsize len = 0;
	const uint8_t *body =
	    r->body == NULL ? NULL : g_bytes_get_data(r->body, &len);
	struct rt_request message = {
		.stream = (uint64_t)r->stream,
		.request_id = slice_str(r->id),
		.attempt = r->att.facts.attempts,
		.deadline_ms = (uint64_t)MAX(request_remaining_ms(r), 0),
		.target = slice_str(r->target->name),
		.method = slice_str(r->method),
		.path = slice_str(r->path),
		.headers = slice_str(r->headers),
		.body = { body, len },
		.expect = r->target->loaded,
		.idempotent = r->att.facts.idempotent,
		.priority = r->priority,
		.stall_ms = r->stall_ms,
		/* If it may run once only, no other attempt can follow. */
		.stall_notice = r->att.facts.idempotent,
	};

	conn_send(r->sidecar->conn, &rt_request_desc, &message);
}

static void
op_dispatch(void *ctx)
{
	struct request *r = ctx;
	int64_t backoff_ends_us;
	struct rt_target *target = NULL;

	if (suspects_block(r, &r->last_err)) {
		refuse_later(r);
		return;
	}
	if (parked_any(r))
		target = choose_target(r, stall_us(r), &backoff_ends_us);
	if (target == NULL)
		target = choose_target(r, 0, &backoff_ends_us);
	if (target == NULL) {
		set_no_target(r, backoff_ends_us);
		refuse_later(r);
		return;
	}
	r->tried[r->att.facts.attempts++] = target;
	r->target = target;
	r->sidecar = target->owner;
	r->stream = (int64_t)++r->entry->next_stream;
	r->sent_us = clk_now_us(clk_system());
	r->responded = false;
	r->answering = false;
	rt_target_sent(target, r->sent_us);
	suspects_note_sent(r);
	rt_fleet_prefix_sent(r->entry->fleet, target, r->prefix, r->sent_us);
	g_hash_table_insert(r->sidecar->streams, &r->stream, r);
	if (r->att.facts.attempts > 1) {
		request_count(r, "request_retries");
		gatekeeper_retried(r->entry, r->workspace);
	}
	send_request(r);
}

static void
op_cancel(void *ctx)
{
	struct request *r = ctx;
	struct rt_cancel cancel = { .stream = (uint64_t)r->stream };
	const struct err cancelled = { .code = ERR_CANCELLED };

	parked_cancel(r);
	if (r->sidecar == NULL)
		return;
	if (r->sidecar->open && r->att.facts.idempotent)
		conn_send(r->sidecar->conn, &rt_cancel_desc, &cancel);
	end_attempt(r, &cancelled);
}

static void
op_pass_head(void *ctx)
{
	struct request *r = ctx;

	if (!r->head_sent)
		answer_begin(r);
}

static void
op_finish(void *ctx)
{
	struct request *r = ctx;

	r->complete = true;
	if (r->recorded != NULL)
		answer_recorded(r);
	else
		answer_finish(r);
}

static void
op_fail(void *ctx)
{
	answer_fail(ctx);
}

static void
op_cut(void *ctx)
{
	answer_abort(ctx);
}

static const struct att_ops ops = {
	.dispatch = op_dispatch,
	.pass_head = op_pass_head,
	.finish = op_finish,
	.fail = op_fail,
	.cut = op_cut,
	.cancel = op_cancel,
	.claim = keyed_claim,
	.detach = keyed_detach,
	.settle = keyed_settle,
};

/* ------------------------------------------------------------------ */
/* Messages of the sidecar                                             */
/* ------------------------------------------------------------------ */

void
request_head(struct request *r, const struct rt_head *head)
{
	char *headers = slice_dup(head->headers);

	parked_responded(r, (int64_t)head->stream);
	note_response(r);
	if (r->key != NULL) {
		digest_stream_free(r->answer_hash);
		r->answer_hash = digest_stream_new();
	}
	r->head = *head;
	r->head.headers = (struct slice){ NULL, 0 };
	g_free(r->type);
	r->type = g_str_has_prefix(headers, "Content-Type: ")
	    ? g_strndup(headers + 14, strcspn(headers + 14, "\n"))
	    : g_strdup("application/octet-stream");
	g_free(headers);
	body_begin(r);
	adm_first_byte(&r->ticket, clk_now_us(clk_system()));
	if (r->streamed)
		request_step(r, ATT_HEAD);
}

void
request_data(struct request *r, const uint8_t *bytes, size_t len)
{
	note_response(r);
	r->answering = true;
	if (r->answer_hash != NULL)
		digest_stream_add(r->answer_hash, bytes, len);
	if (body_add(r, bytes, len))
		return;
	err_set(&r->last_err, ERR_UNAVAILABLE, VERDICT_MAY_HAVE_RUN,
	    "an event of the answer is too large");
	op_cancel(r);
	request_step(r, ATT_LOST);
}

void
request_recall(struct request *r)
{
	if (r->answering || !r->att.facts.idempotent)
		return;
	err_set(&r->last_err, ERR_UNAVAILABLE, VERDICT_MAY_HAVE_RUN,
	    "recalled: engines terminated under this request");
	r->att.facts.max_attempts = r->att.facts.attempts;
	op_cancel(r);
	request_step(r, ATT_LOST);
}

/* The end of an attempt is evidence for or against the request. A connection to
 * a sidecar that closes says nothing of the engine. */
static void
note_evidence(struct request *r, const struct err *err)
{
	if (r->sidecar == NULL || !r->sidecar->open)
		return;
	if (err_is(err)) {
		if (err->verdict == VERDICT_NOT_RUN)
			suspects_void_probe(r);
		else if (err->code == ERR_UNAVAILABLE &&
		    err->verdict == VERDICT_MAY_HAVE_RUN)
			suspects_note_cut(r);
	} else if (r->head.status >= 200 && r->head.status < 300)
		suspects_note_answered(r);
}

/* Whether another attempt can begin now, at a target that is not silent as
 * well: more attempts at silent ones would only use up the retry budget. */
static bool
may_try_another(struct request *r)
{
	int64_t backoff_ends_us;

	return r->att.facts.attempts < r->att.facts.max_attempts &&
	    request_remaining_ms(r) >= MIN_ATTEMPT_MS &&
	    gatekeeper_may_retry(r->entry, r->workspace) &&
	    choose_target(r, stall_us(r), &backoff_ends_us) != NULL;
}

/* Ends the request's attempts, all of them silent for too long. */
static void
give_up_silent(struct request *r)
{
	struct rt_cancel cancel = { .stream = (uint64_t)r->stream };
	struct err err;

	err_set(
	    &err, ERR_UNAVAILABLE, VERDICT_MAY_HAVE_RUN, "the target stalled");
	parked_cancel(r);
	conn_send(r->sidecar->conn, &rt_cancel_desc, &cancel);
	request_end(r, r->stream, &err);
}

void
request_stalled(struct request *r, int64_t stream)
{
	int64_t now_us = clk_now_us(clk_system());

	if (stream != r->stream)
		return; /* parked already */
	if (r->responded) {
		give_up_silent(r);
		return;
	}
	rt_target_silent(r->target, now_us);
	if (may_try_another(r)) {
		parked_add(r);
		request_step(r, ATT_LOST);
	} else if (now_us - parked_since_us(r) >= RT_SILENT_MAX_US) {
		r->att.facts.max_attempts = r->att.facts.attempts;
		give_up_silent(r);
	}
}

/* The current attempt has failed. Returns true if the request waits for a
 * parked one, as no other can begin. */
static bool
wait_for_parked(struct request *r, const struct err *err)
{
	if (!err_is(err) || !parked_any(r) || may_try_another(r))
		return false;
	if (err->verdict != VERDICT_NOT_RUN)
		r->att.may_have_run = true;
	parked_resume(r);
	return true;
}

void
request_end(struct request *r, int64_t stream, const struct err *result)
{
	struct err err = *result;

	if (parked_ended(r, stream, result))
		return;
	/* The end of the message does not tell that the answer is complete. */
	if (!err_is(result) && !body_is_complete(r))
		err_set(&err, ERR_UNAVAILABLE, VERDICT_MAY_HAVE_RUN,
		    "the answer broke off");
	note_evidence(r, &err);
	end_attempt(r, &err);
	if (wait_for_parked(r, &err))
		return;
	if (!err_is(&err) && err.verdict == VERDICT_RAN) {
		r->outcome = ADM_ANSWERED;
		request_step(r, ATT_DONE);
		return;
	}
	r->last_err = err;
	r->outcome = ADM_OTHER;
	if (err.code == ERR_OVERLOADED) {
		r->outcome = ADM_OVERLOADED;
		adm_overloaded(&r->ticket, clk_now_us(clk_system()));
	}
	request_step(
	    r, err.verdict == VERDICT_NOT_RUN ? ATT_REFUSED : ATT_LOST);
}

/* ------------------------------------------------------------------ */
/* Caller and deadline                                                 */
/* ------------------------------------------------------------------ */

static void
on_wrote(SoupServerMessage *message, guint size, gpointer data)
{
	body_written(data, size);
}

static void
caller_disconnected(struct request *r)
{
	request_count(r, "request_caller_gone");
	request_step(r, ATT_CALLER_GONE);
}

static void
on_finished(SoupServerMessage *message, gpointer data)
{
	struct request *r = data;

	r->exchange_over = true;
	caller_disconnected(r);
}

/* While the message is paused libsoup doesn't read the caller's socket; a peek
 * at it detects a disconnected caller, so that the work can stop. */
static gboolean
on_caller_readable(GSocket *socket, GIOCondition cond, gpointer data)
{
	struct request *r = data;
	char byte;
	ssize_t n =
	    recv(g_socket_get_fd(socket), &byte, 1, MSG_PEEK | MSG_DONTWAIT);

	g_source_unref(r->hangup_source);
	r->hangup_source = NULL;
	/* A caller that exits with unread bytes resets the connection. */
	if (n == 0 || (n < 0 && errno != EAGAIN))
		caller_disconnected(r);
	return G_SOURCE_REMOVE;
}

/* Input on the connection that brings the answer, which may be queued there
 * behind other answers. */
static uint64_t
received_by(const struct request *r)
{
	if (r->sidecar == NULL || !r->sidecar->open)
		return 0;
	return conn_received(r->sidecar->conn);
}

static gboolean
on_deadline(gpointer data)
{
	struct request *r = data;

	r->deadline_timer = 0;
	/* The answer may have arrived while the process was held up. */
	if (clk_catch_up(&r->catch_up, clk_now_us(clk_system()), r->deadline_us,
		received_by(r))) {
		r->deadline_timer = g_timeout_add(CLK_READ_MS, on_deadline, r);
		return G_SOURCE_REMOVE;
	}
	err_set(&r->last_err, ERR_DEADLINE,
	    r->sidecar == NULL ? VERDICT_NOT_RUN : VERDICT_MAY_HAVE_RUN,
	    "the deadline expired");
	request_count(r, "request_deadlines");
	request_step(r, ATT_DEADLINE);
	return G_SOURCE_REMOVE;
}

/* ------------------------------------------------------------------ */
/* Admission                                                           */
/* ------------------------------------------------------------------ */

static struct request *
request_of_ticket(struct adm_ticket *ticket)
{
	return CONTAINER_OF(ticket, struct request, ticket);
}

static void
on_admitted(struct adm_ticket *ticket, void *ctx)
{
	request_step(request_of_ticket(ticket), ATT_START);
}

static void
on_not_admitted(struct adm_ticket *ticket, const struct err *err, void *ctx)
{
	struct request *r = request_of_ticket(ticket);

	r->last_err = *err;
	request_count(r, "request_not_admitted");
	request_step(r, ATT_REFUSED);
}

const struct adm_ops *
request_adm_ops(void)
{
	static const struct adm_ops adm_ops = {
		.start = on_admitted,
		.refuse = on_not_admitted,
	};

	return &adm_ops;
}

static void
submit(struct request *r, unsigned int tokens)
{
	struct adm_queue *queue =
	    gatekeeper_queue(r->entry, r->workspace, r->model, r->service);
	int64_t now_us = clk_now_us(clk_system());

	if (suspects_block(r, &r->last_err)) {
		request_step(r, ATT_REFUSED);
		return;
	}

	r->ticket.priority = r->priority;
	r->ticket.cost = tokens;
	r->ticket.deadline_us = r->deadline_us;
	if (r->streamed)
		r->ticket.first_byte_by_us = now_us + FIRST_TOKEN_LIMIT_US;
	switch (adm_submit(queue, &r->ticket, now_us, &r->last_err)) {
	case ADM_STARTED:
		request_step(r, ATT_START);
		break;
	case ADM_REFUSED:
		request_count(r, "request_not_admitted");
		request_step(r, ATT_REFUSED);
		break;
	default:
		break;
	}
}

/* Closes the admission ticket, whatever the state of the request. */
static void
close_ticket(struct request *r)
{
	int64_t now_us = clk_now_us(clk_system());

	if (r->ticket.state == ADM_STARTED && r->outcome != ADM_OVERLOADED)
		adm_done(&r->ticket, r->outcome, now_us);
	else if (r->ticket.state == ADM_STARTED)
		adm_done(&r->ticket, ADM_OTHER, now_us);
	else if (r->ticket.state == ADM_WAITING)
		adm_cancel(&r->ticket, now_us);
}

/* ------------------------------------------------------------------ */
/* Creation and release                                                */
/* ------------------------------------------------------------------ */

static void
free_request(struct request *r)
{
	const struct err cancelled = { .code = ERR_CANCELLED };

	parked_cancel(r);
	end_attempt(r, &cancelled);
	if (r->claim != NULL)
		claim_cancel(r->claim);
	digest_stream_free(r->answer_hash);
	g_signal_handler_disconnect(r->message, r->finished_signal);
	g_signal_handler_disconnect(r->message, r->wrote_signal);
	answer_release(r);
	if (r->hangup_source != NULL) {
		g_source_destroy(r->hangup_source);
		g_source_unref(r->hangup_source);
	}
	if (r->deadline_timer != 0)
		g_source_remove(r->deadline_timer);
	if (r->event_idle != 0)
		g_source_remove(r->event_idle);
	r->entry->open_requests--;
	close_ticket(r);
	g_object_unref(r->message);
	if (r->body != NULL)
		g_bytes_unref(r->body);
	g_byte_array_unref(r->buffer);
	g_byte_array_unref(r->held_back);
	g_free(r->type);
	g_free(r->method);
	g_free(r->path);
	g_free(r->headers);
	g_free(r->key);
	g_free(r->claimant);
	g_free(r->parts);
	g_free(r);
}

static void
watch_caller(struct request *r)
{
	GSocket *socket = soup_server_message_get_socket(r->message);

	r->finished_signal = g_signal_connect(
	    r->message, "finished", G_CALLBACK(on_finished), r);
	r->wrote_signal = g_signal_connect(
	    r->message, "wrote-body-data", G_CALLBACK(on_wrote), r);
	if (socket == NULL)
		return;
	r->hangup_source = g_socket_create_source(socket, G_IO_IN, NULL);
	g_source_set_callback(
	    r->hangup_source, G_SOURCE_FUNC(on_caller_readable), r, NULL);
	g_source_attach(r->hangup_source, NULL);
}

struct rt_target *
request_target(struct request *r, int64_t stream)
{
	return parked_target(r, stream);
}

bool
request_start(
    struct entry *entry, const struct request_params *params, struct err *err)
{
	struct request *r;

	if (!gatekeeper_take(entry, params->workspace->name, err))
		return false;
	r = g_new0(struct request, 1);
	r->entry = entry;
	r->message = g_object_ref(params->message);
	g_snprintf(r->id, sizeof(r->id), "%.12s-%08x-%" G_GUINT64_FORMAT,
	    entry->proc.node.id, entry->run_id, ++entry->next_request);
	g_strlcpy(r->workspace, params->workspace->name, sizeof(r->workspace));
	if (params->model != NULL)
		g_strlcpy(r->model, params->model->name, sizeof(r->model));
	if (params->service != NULL) {
		g_strlcpy(
		    r->service, params->service->name, sizeof(r->service));
		r->stall_ms = params->service->stall_ms;
	}
	r->method = g_strdup(params->method);
	r->path = g_strdup(params->path);
	r->headers = g_strdup("Content-Type: application/json\n");
	r->body = params->body == NULL ? NULL : g_bytes_ref(params->body);
	r->streamed = params->streamed;
	r->priority = params->priority;
	r->prefix = params->prefix;
	r->parts =
	    g_memdup2(params->parts, params->nparts * sizeof(params->parts[0]));
	r->nparts = params->nparts;
	r->buffer = g_byte_array_new();
	r->held_back = g_byte_array_new();
	r->outcome = ADM_OTHER;
	if (params->key != NULL && !params->idempotent)
		keyed_init(r, params->key);
	r->deadline_us =
	    clk_now_us(clk_system()) + params->deadline_ms * 1000LL;
	r->deadline_timer = g_timeout_add(params->deadline_ms, on_deadline, r);
	entry->open_requests++;
	soup_server_message_pause(r->message);
	watch_caller(r);
	att_init(&r->att, entry->attempts, &ops, r);
	r->att.facts = (struct att_facts){
		.idempotent = params->idempotent,
		.keyed = r->key != NULL,
		.max_attempts = MAX_ATTEMPTS,
	};
	submit(r, params->tokens);
	return true;
}
