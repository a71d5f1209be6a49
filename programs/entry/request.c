/* One caller's request over its attempts: the I/O behind charts/attempt. */

#include <errno.h>
#include <string.h>
#include <sys/socket.h>

#include "entry/request.h"

/* An answer that is not streamed is held up to this size until it is whole,
 * so that a broken one can be run again and the caller sees no trace. */
#define HOLD_MAX RT_WINDOW_BYTES
#define VERSIONS_MAX 256 /* of a model; the settings allow no more */
#define MIN_TRY_MS 20 /* less time left than this is not worth a try */
/* The users' measure: the first token of an admitted request. */
#define FIRST_TOKEN_GOAL_US (1500 * 1000)
#define RETRY_AFTER_MS 1000 /* advice when no target is there at all */

static void free_request(struct request *r);

/* ------------------------------------------------------------------ */
/* Attempts                                                            */
/* ------------------------------------------------------------------ */

void
request_count(const struct request *r, const char *name)
{
	ctr_add(ctr_get(r->entry->proc.counters, name), 1);
}

/* `err` says how the attempt ended, for what is believed of its target. */
static void
leave_stream(struct request *r, const struct err *err)
{
	if (r->side == NULL)
		return;
	g_hash_table_remove(r->side->streams, &r->stream);
	rt_target_ended(r->target, err, clk_now_us(clk_system()));
	r->side = NULL;
}

static void
heard(struct request *r)
{
	rt_target_responded(
	    r->target, !r->heard, r->sent_us, clk_now_us(clk_system()));
	r->heard = true;
}

int64_t
request_left_ms(const struct request *r)
{
	return (r->deadline_us - clk_now_us(clk_system())) / 1000;
}

void
request_take(struct request *r, enum att_event event)
{
	r->att.facts.time_left = request_left_ms(r) >= MIN_TRY_MS;
	r->att.facts.nothing_sent = r->side == NULL;
	r->att.facts.budget = gatekeeper_may_retry(r->entry, r->team);
	att_step(&r->att, event);
	if (att_is_over(&r->att))
		free_request(r);
}

static gboolean
take_later(gpointer data)
{
	struct request *r = data;

	r->event_idle = 0;
	request_take(r, r->event);
	return G_SOURCE_REMOVE;
}

/* No target: the attempt is refused, but not from within this step. */
static void
refuse_later(struct request *r, int64_t rest_ends_us)
{
	int64_t rest_us = rest_ends_us - clk_now_us(clk_system());

	err_set(&r->last, ERR_UNAVAILABLE, VERDICT_NOT_RUN,
	    "no target can take it now");
	r->last.retry_after_ms = RETRY_AFTER_MS;
	if (rest_us > 0)
		r->last.retry_after_ms = (unsigned int)(rest_us / 1000 + 1);
	r->att.facts.max_attempts = r->att.facts.attempts;
	r->event = ATT_REFUSED;
	r->event_idle =
	    g_idle_add_full(G_PRIORITY_DEFAULT, take_later, r, NULL);
}

/* NULL when there is none; `rest_ends_us` then says when one that rests may
 * be used again, if any does. */
static struct rt_target *
choose(struct request *r, int64_t *rest_ends_us)
{
	const struct rt_workspace *team = entry_team(r->entry, r->team);
	const struct rt_model *model =
	    team == NULL ? NULL : rt_workspace_model(team, r->model);
	const struct rt_service *service =
	    team == NULL ? NULL : rt_workspace_service(team, r->service);
	struct digest roots[VERSIONS_MAX];
	struct rt_criteria wish = {
		.kind = r->model[0] != '\0' ? RT_ENGINE : RT_SERVICE,
		.workspace = r->team,
		.service = r->service,
		.roots = roots,
		.domain = cfg_str(r->entry->proc.cfg, "node.domain"),
		.prefix = r->prefix,
		.tried = r->tried,
		.ntried = r->att.facts.attempts,
	};
	int64_t now_us = clk_now_us(clk_system());
	struct rt_target *target;

	*rest_ends_us = 0;
	if (model == NULL && service == NULL)
		return NULL; /* taken out of the settings meanwhile */
	wish.pool = model != NULL ? model->pool : service->pool;
	if (model != NULL && model->nversions <= VERSIONS_MAX)
		wish.nroots = rt_model_roots(model,
		    hash64(0, r->id, strlen(r->id)), roots, &wish.ranked);
	target = rt_choose(r->entry->fleet, &wish, now_us, &r->entry->rng);
	if (target == NULL)
		*rest_ends_us =
		    rt_backoff_ends_us(r->entry->fleet, &wish, now_us);
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
		.deadline_ms = (uint64_t)MAX(request_left_ms(r), 0),
		.target = slice_str(r->target->name),
		.method = slice_str(r->method),
		.path = slice_str(r->path),
		.headers = slice_str(r->headers),
		.body = { body, len },
		.expect = r->target->loaded,
		.idempotent = r->att.facts.idempotent,
		.priority = r->priority,
		.stall_ms = r->stall_ms,
	};

	conn_send(r->side->conn, &rt_request_desc, &message);
}

static void
op_dispatch(void *ctx)
{
	struct request *r = ctx;
	int64_t rest_ends_us;
	struct rt_target *target = choose(r, &rest_ends_us);

	if (target == NULL) {
		refuse_later(r, rest_ends_us);
		return;
	}
	r->tried[r->att.facts.attempts++] = target;
	r->target = target;
	r->side = target->owner;
	r->stream = (int64_t)++r->entry->next_stream;
	r->sent_us = clk_now_us(clk_system());
	r->heard = false;
	rt_target_sent(target, r->sent_us);
	rt_fleet_prefix_sent(r->entry->fleet, target, r->prefix, r->sent_us);
	g_hash_table_insert(r->side->streams, &r->stream, r);
	if (r->att.facts.attempts > 1) {
		request_count(r, "request_retries");
		gatekeeper_retried(r->entry, r->team);
	}
	send_request(r);
}

static void
op_cancel(void *ctx)
{
	struct request *r = ctx;
	struct rt_cancel cancel = { .stream = (uint64_t)r->stream };
	const struct err cancelled = { .code = ERR_CANCELLED };

	if (r->side == NULL)
		return;
	if (r->side->open && r->att.facts.idempotent)
		conn_send(r->side->conn, &rt_cancel_desc, &cancel);
	leave_stream(r, &cancelled);
}

static void
op_pass_head(void *ctx)
{
	struct request *r = ctx;

	if (!r->begun)
		answer_begin(r);
}

static void
op_finish(void *ctx)
{
	struct request *r = ctx;

	r->answered = true;
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
	answer_cut(ctx);
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
/* From the side                                                       */
/* ------------------------------------------------------------------ */

void
request_head(struct request *r, const struct rt_head *head)
{
	char *headers = slice_dup(head->headers);

	heard(r);
	if (r->key != NULL) {
		digest_stream_free(r->hash);
		r->hash = digest_stream_new();
	}
	r->head = *head;
	r->head.headers = (struct slice){ NULL, 0 };
	g_free(r->type);
	r->type = g_str_has_prefix(headers, "Content-Type: ")
	    ? g_strndup(headers + 14, strcspn(headers + 14, "\n"))
	    : g_strdup("application/octet-stream");
	g_free(headers);
	g_byte_array_set_size(r->held, 0);
	adm_first_byte(&r->ticket, clk_now_us(clk_system()));
	if (r->streamed)
		request_take(r, ATT_HEAD);
}

/* The side may overshoot the window by what it read last, and a message that
 * gives back more than a window is malformed: the side would drop it and the
 * stream would stand still until its deadline. */
static void
give_window(struct request *r, size_t len)
{
	struct rt_window window = { .stream = (uint64_t)r->stream };

	if (r->side == NULL || !r->side->open)
		return;
	for (; len > 0; len -= window.bytes) {
		window.bytes = MIN(len, RT_WINDOW_BYTES);
		conn_send(r->side->conn, &rt_window_desc, &window);
	}
}

void
request_data(struct request *r, const uint8_t *bytes, size_t len)
{
	heard(r);
	if (r->hash != NULL)
		digest_stream_add(r->hash, bytes, len);
	if (r->begun) {
		answer_append(r, bytes, len);
		if (r->gone) /* nobody else will say that they were taken */
			give_window(r, len);
		return;
	}
	g_byte_array_append(r->held, bytes, (guint)len);
	if (r->held->len < HOLD_MAX)
		return;
	/* Too large to hold back any longer. */
	answer_begin(r);
	answer_append(r, r->held->data, r->held->len);
	if (r->gone)
		give_window(r, r->held->len);
	g_byte_array_set_size(r->held, 0);
	request_take(r, ATT_HEAD);
}

void
request_end(struct request *r, const struct err *err)
{
	leave_stream(r, err);
	if (!err_is(err) && err->verdict == VERDICT_RAN) {
		r->outcome = ADM_ANSWERED;
		request_take(r, ATT_DONE);
		return;
	}
	r->last = *err;
	r->outcome = ADM_OTHER;
	if (err->code == ERR_OVERLOADED) {
		r->outcome = ADM_OVERLOADED;
		adm_overloaded(&r->ticket, clk_now_us(clk_system()));
	}
	request_take(
	    r, err->verdict == VERDICT_NOT_RUN ? ATT_REFUSED : ATT_LOST);
}

/* ------------------------------------------------------------------ */
/* From the caller and the clock                                       */
/* ------------------------------------------------------------------ */

static void
on_wrote(SoupServerMessage *message, guint size, gpointer data)
{
	give_window(data, size);
}

static void
caller_gone(struct request *r)
{
	request_count(r, "request_caller_gone");
	request_take(r, ATT_CALLER_GONE);
}

static void
on_finished(SoupServerMessage *message, gpointer data)
{
	struct request *r = data;

	r->gone = true;
	caller_gone(r);
}

/* While we wait nobody reads the caller's socket; a look at it tells a
 * caller that hung up, so that the work can stop. */
static gboolean
on_caller_readable(GSocket *socket, GIOCondition cond, gpointer data)
{
	struct request *r = data;
	char byte;
	ssize_t n =
	    recv(g_socket_get_fd(socket), &byte, 1, MSG_PEEK | MSG_DONTWAIT);

	g_source_unref(r->gone_source);
	r->gone_source = NULL;
	/* A caller that died with unread bytes resets the connection. */
	if (n == 0 || (n < 0 && errno != EAGAIN))
		caller_gone(r);
	return G_SOURCE_REMOVE;
}

static gboolean
on_deadline(gpointer data)
{
	struct request *r = data;

	r->deadline_timer = 0;
	err_set(&r->last, ERR_DEADLINE,
	    r->side == NULL ? VERDICT_NOT_RUN : VERDICT_MAY_HAVE_RUN,
	    "the deadline passed");
	request_count(r, "request_deadlines");
	request_take(r, ATT_DEADLINE);
	return G_SOURCE_REMOVE;
}

/* ------------------------------------------------------------------ */
/* Admission                                                           */
/* ------------------------------------------------------------------ */

static struct request *
of_ticket(struct adm_ticket *ticket)
{
	return CONTAINER_OF(ticket, struct request, ticket);
}

static void
on_admitted(struct adm_ticket *ticket, void *ctx)
{
	request_take(of_ticket(ticket), ATT_START);
}

static void
on_not_admitted(struct adm_ticket *ticket, const struct err *err, void *ctx)
{
	struct request *r = of_ticket(ticket);

	r->last = *err;
	request_count(r, "request_not_admitted");
	request_take(r, ATT_REFUSED);
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
offer(struct request *r, unsigned int tokens)
{
	struct adm_queue *lane =
	    gatekeeper_queue(r->entry, r->team, r->model, r->service);
	int64_t now_us = clk_now_us(clk_system());

	r->ticket.priority = r->priority;
	r->ticket.cost = tokens;
	r->ticket.deadline_us = r->deadline_us;
	if (r->streamed)
		r->ticket.first_byte_by_us = now_us + FIRST_TOKEN_GOAL_US;
	switch (adm_submit(lane, &r->ticket, now_us, &r->last)) {
	case ADM_STARTED:
		request_take(r, ATT_START);
		break;
	case ADM_REFUSED:
		request_count(r, "request_not_admitted");
		request_take(r, ATT_REFUSED);
		break;
	default:
		break;
	}
}

/* The ticket goes with the request, whatever became of it. */
static void
end_ticket(struct request *r)
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
/* Life of a request                                                   */
/* ------------------------------------------------------------------ */

static void
free_request(struct request *r)
{
	const struct err cancelled = { .code = ERR_CANCELLED };

	leave_stream(r, &cancelled);
	if (r->claim != NULL)
		claim_drop(r->claim);
	digest_stream_free(r->hash);
	g_signal_handler_disconnect(r->message, r->finished_signal);
	g_signal_handler_disconnect(r->message, r->wrote_signal);
	answer_let_go(r);
	if (r->gone_source != NULL) {
		g_source_destroy(r->gone_source);
		g_source_unref(r->gone_source);
	}
	if (r->deadline_timer != 0)
		g_source_remove(r->deadline_timer);
	if (r->event_idle != 0)
		g_source_remove(r->event_idle);
	r->entry->open_requests--;
	end_ticket(r);
	g_object_unref(r->message);
	if (r->body != NULL)
		g_bytes_unref(r->body);
	g_byte_array_unref(r->held);
	g_free(r->type);
	g_free(r->method);
	g_free(r->path);
	g_free(r->headers);
	g_free(r->key);
	g_free(r->asker);
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
	r->gone_source = g_socket_create_source(socket, G_IO_IN, NULL);
	g_source_set_callback(
	    r->gone_source, G_SOURCE_FUNC(on_caller_readable), r, NULL);
	g_source_attach(r->gone_source, NULL);
}

struct rt_target *
request_target(const struct request *r)
{
	return r->target;
}

bool
request_start(
    struct entry *entry, const struct request_ask *ask, struct err *err)
{
	struct request *r;

	if (!gatekeeper_take(entry, ask->team->name, err))
		return false;
	r = g_new0(struct request, 1);
	r->entry = entry;
	r->message = g_object_ref(ask->message);
	g_snprintf(r->id, sizeof(r->id), "%.12s-%08x-%" G_GUINT64_FORMAT,
	    entry->proc.node.id, entry->run_id, ++entry->next_request);
	g_strlcpy(r->team, ask->team->name, sizeof(r->team));
	if (ask->model != NULL)
		g_strlcpy(r->model, ask->model->name, sizeof(r->model));
	if (ask->service != NULL) {
		g_strlcpy(r->service, ask->service->name, sizeof(r->service));
		r->stall_ms = ask->service->stall_ms;
	}
	r->method = g_strdup(ask->method);
	r->path = g_strdup(ask->path);
	r->headers = g_strdup("Content-Type: application/json\n");
	r->body = ask->body == NULL ? NULL : g_bytes_ref(ask->body);
	r->streamed = ask->streamed;
	r->priority = ask->priority;
	r->prefix = ask->prefix;
	r->held = g_byte_array_new();
	r->outcome = ADM_OTHER;
	if (ask->key != NULL && !ask->idempotent)
		keyed_init(r, ask->key);
	r->deadline_us = clk_now_us(clk_system()) + ask->deadline_ms * 1000LL;
	r->deadline_timer = g_timeout_add(ask->deadline_ms, on_deadline, r);
	entry->open_requests++;
	soup_server_message_pause(r->message);
	watch_caller(r);
	att_init(&r->att, entry->attempts, &ops, r);
	r->att.facts = (struct att_facts){
		.idempotent = ask->idempotent,
		.keyed = r->key != NULL,
		.max_attempts = MAX_ATTEMPTS,
	};
	offer(r, ask->tokens);
	return true;
}
