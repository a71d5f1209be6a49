/* Callers' requests: accepting and ending them. */

#include <string.h>

#include "serve/fwd_internal.h"

#define DEFAULT_TIMEOUT_US 60000000 /* neither caller nor route sets one */
/* Deadlines that callers set themselves are below their route's timeout by up
 * to this share. A caller with less has spent the difference on an earlier
 * attempt. */
#define CALLER_MARGIN_SHARE 0.15
#define DEADLINE_MAX_MS (24 * 3600 * INT64_C(1000))
#define PROMPT_MAX 1000000000 /* tokens */

int64_t
fwd_now(const struct fwd_req *r)
{
	return evl_now_us(r->fwd->conf.loop);
}

/* ------------------------------------------------------------------ */
/* Ending requests                                                     */
/* ------------------------------------------------------------------ */

int64_t
fwd_silent_ms(const struct fwd_req *r)
{
	if (r->sent_us == 0)
		return -1;
	return (fwd_now(r) - MAX(r->sent_us, r->heard_us)) / 1000;
}

void
fwd_log_end(const struct fwd_req *r, enum evt_name ev, unsigned int status,
    const char *why)
{
	const struct fwd_attempt *a = TAILQ_LAST(&r->attempts, fwd_attempts);
	int64_t now_us = fwd_now(r);
	char parts[FWD_PARTS_TEXT] = "-", blocked_by[FWD_BLOCKED_BY_TEXT];

	if (ev != EVT_DONE)
		fwd_parts_text(r, parts);
	fwd_blocked_by_text(r, blocked_by);
	evt(ev,
	    "req=%s route=%s service=%s status=%u why=%s tries=%u runs=%u "
	    "events=%" G_GUINT64_FORMAT " ms=%" G_GINT64_FORMAT
	    " first_ms=%" G_GINT64_FORMAT " wait_ms=%" G_GINT64_FORMAT
	    " back=%d"
	    " framing=%s end=%s rest=%zu silent_ms=%" G_GINT64_FORMAT
	    " target=%s version=%" G_GINT64_FORMAT
	    " content=%016" G_GINT64_MODIFIER
	    "x parts=%s by=%s denied=%d config=%" G_GINT64_FORMAT,
	    r->id, r->route->name, r->service->targets->name, status, why,
	    r->flow.attempts, r->flow.runs, r->events,
	    (now_us - r->started_us) / 1000,
	    r->first_event_us == 0 ? -1
				   : (r->first_event_us - r->started_us) / 1000,
	    r->sent_us == 0 ? -1 : (r->sent_us - r->started_us) / 1000,
	    r->is_client_retry,
	    a == NULL ? r->last_framing : fwd_framing_name(a),
	    a == NULL ? r->last_end : a->end,
	    a == NULL ? r->last_rest : fwd_event_rest(a), fwd_silent_ms(r),
	    a == NULL ? r->last_target : a->target->record.id,
	    a == NULL ? r->last_version : a->sent_version, r->content, parts,
	    blocked_by, r->is_denied, rtab_config(r->routes)->version);
}

void
fwd_finish(struct fwd_req *r)
{
	struct fwd *f = r->fwd;

	TAILQ_REMOVE(&f->open, r, open);
	fwd_dequeue(r);
	fwd_drop_attempts(r);
	evl_timer_stop(f->conf.loop, &r->deadline);
	evl_timer_stop(f->conf.loop, &r->wait_timer);
	rtab_unref(r->routes);
	g_free(r->model);
	g_free(r->parts);
	f->active--;
	g_free(r);
}

static void
append_retry_after(GString *headers, double seconds)
{
	char number[G_ASCII_DTOSTR_BUF_SIZE];

	g_ascii_formatd(number, sizeof(number), "%.2f", seconds);
	g_string_append_printf(headers, "Retry-After: %s\r\n", number);
}

static void
append_id(GString *headers, const struct fwd_req *r)
{
	if (r->id[0] != '\0')
		g_string_append_printf(headers, "%s: %s\r\n",
		    r->fwd->conf.dialect->header[SV_F_REQUEST_ID], r->id);
}

static void
refuse(struct fwd_req *r, const char *why, double retry_after_s)
{
	GString *headers = g_string_new(NULL);
	struct hreq *caller = r->caller;

	append_id(headers, r);
	append_retry_after(headers, retry_after_s);
	ctr_add(r->fwd->refused, 1);
	fwd_log_end(r, EVT_REFUSED, 503, why);
	fwd_finish(r);
	hreq_answer(caller, 503, headers->str, "", 0);
	g_string_free(headers, TRUE);
}

void
fwd_refuse(struct fwd_req *r, const char *why)
{
	refuse(r, why, fwd_retry_after(r));
}

void
fwd_refuse_until(struct fwd_req *r, const char *why, int64_t until_us)
{
	refuse(r, why, (double)MAX(0, until_us - fwd_now(r)) / G_USEC_PER_SEC);
}

bool
fwd_refuse_if_draining(struct fwd_req *r)
{
	if (!r->fwd->draining || r->flow.begun || r->flow.may_have_run)
		return false;
	/* Other gateways take it at once. */
	fwd_refuse_until(r, "stopping", fwd_now(r));
	return true;
}

void
fwd_fail(struct fwd_req *r, unsigned int status, const char *why)
{
	GString *headers;
	struct hreq *caller = r->caller;

	if (r->failure != NULL) {
		fwd_answer_complete(r->failure);
		return;
	}
	headers = g_string_new(NULL);
	append_id(headers, r);
	ctr_add(r->fwd->failed, 1);
	fwd_log_end(r, EVT_FAILED, status, why);
	fwd_finish(r);
	hreq_answer(caller, status, headers->str, "", 0);
	g_string_free(headers, TRUE);
}

void
fwd_abort(struct fwd_req *r, const char *why)
{
	struct hreq *caller = r->caller;

	ctr_add(r->fwd->failed, 1);
	fwd_log_end(r, EVT_FAILED, 0, why);
	fwd_finish(r);
	hreq_abort(caller);
}

/* The timeout of the route or the deadline of the caller has passed. */
static void
on_deadline(struct evl_timer *timer)
{
	struct fwd_req *r = CONTAINER_OF(timer, struct fwd_req, deadline);

	if (fwd_is_receiving_whole(r) &&
	    clk_catch_up(&r->catch_up, fwd_now(r), r->deadline_us,
		(uint64_t)r->heard_us)) {
		evl_timer_set(
		    r->fwd->conf.loop, timer, fwd_now(r) + CLK_READ_MS * 1000);
		return;
	}
	if (r->flow.begun)
		fwd_abort(r, "timeout");
	else if (r->flow.attempts == 0)
		fwd_refuse(r, "timeout_waiting");
	else
		fwd_fail(r, 504, "timeout");
}

/* ------------------------------------------------------------------ */
/* Accepting requests                                                  */
/* ------------------------------------------------------------------ */

struct fwd_service *
fwd_service(struct fwd *f, const char *name)
{
	struct fwd_service *service = g_hash_table_lookup(f->services, name);

	if (service != NULL)
		return service;
	service = g_new0(struct fwd_service, 1);
	service->fwd = f;
	service->targets = tgt_service(f->conf.targets, name);
	TAILQ_INIT(&service->waiting);
	g_hash_table_insert(f->services, service->targets->name, service);
	return service;
}

/* Refuses a request before a struct fwd_req is made for it. */
static void
answer_early(
    struct fwd *f, struct hreq *caller, unsigned int status, const char *why)
{
	const struct hheader *id = hmsg_find(
	    hreq_msg(caller), f->conf.dialect->header[SV_F_REQUEST_ID]);

	ctr_add(f->refused, 1);
	evt(EVT_REFUSED, "req=%.*s status=%u why=%s config=%" G_GINT64_FORMAT,
	    id == NULL ? 1 : (int)MIN(id->value.n, FWD_ID_MAX),
	    id == NULL ? "-" : id->value.p, status, why,
	    f->routes == NULL ? 0 : rtab_config(f->routes)->version);
	hreq_answer(
	    caller, status, status == 503 ? "Retry-After: 1.2\r\n" : "", "", 0);
}

/* Returns false if it has answered the request with 401. */
static bool
authorise(struct fwd *f, struct hreq *caller, const struct sv_route *route,
    const struct sv_workspace **workspace)
{
	const struct sv_dialect *d = f->conf.dialect;
	const struct hheader *h =
	    hmsg_find(hreq_msg(caller), d->header[SV_F_KEY]);
	size_t scheme = strlen(d->key_scheme);
	struct hslice key;

	*workspace = NULL;
	if (h != NULL && h->value.n > scheme &&
	    g_ascii_strncasecmp(h->value.p, d->key_scheme, scheme) == 0) {
		key =
		    (struct hslice){ h->value.p + scheme, h->value.n - scheme };
		*workspace = rtab_workspace(f->routes, key);
	}
	if (*workspace != NULL || route->anonymous ||
	    !rtab_has_workspaces(f->routes))
		return true;
	answer_early(f, caller, 401, "unknown_key");
	return false;
}

static void
read_id(struct fwd_req *r, const struct hmsg *m)
{
	const struct hheader *h =
	    hmsg_find(m, r->fwd->conf.dialect->header[SV_F_REQUEST_ID]);

	if (h == NULL)
		return;
	memcpy(r->id, h->value.p, MIN(h->value.n, sizeof(r->id) - 1));
}

/* Numbers of callers are added and multiplied: larger ones count as `max`. */
static int64_t
bounded(const struct fwd_req *r, int64_t number, int64_t max)
{
	if (number <= max)
		return number;
	ctr_add(r->fwd->excessive, 1);
	return max;
}

/* Parses "PROMPT,ANSWER", both in tokens. */
static void
read_prompt(struct fwd_req *r, const struct hmsg *m)
{
	const struct hheader *h =
	    hmsg_find(m, r->fwd->conf.dialect->header[SV_F_TOKENS]);
	const char *comma;
	struct hslice number;
	int64_t tokens;

	if (h == NULL)
		return;
	comma = memchr(h->value.p, ',', h->value.n);
	number.p = h->value.p;
	number.n = comma == NULL ? h->value.n : (size_t)(comma - number.p);
	if (hslice_number(number, &tokens))
		r->prompt = (uint64_t)bounded(r, tokens, PROMPT_MAX);
}

static void
read_deadline(struct fwd_req *r, const struct hmsg *m)
{
	const struct hheader *h =
	    hmsg_find(m, r->fwd->conf.dialect->header[SV_F_DEADLINE_MS]);
	int64_t ms;

	r->started_us = hreq_started_us(r->caller);
	r->deadline_us = r->started_us +
	    (r->route->timeout_us > 0 ? r->route->timeout_us
				      : DEFAULT_TIMEOUT_US);
	if (h == NULL || !hslice_number(h->value, &ms))
		return;
	ms = bounded(r, ms, DEADLINE_MAX_MS);
	r->deadline_us = MIN(r->deadline_us, r->started_us + ms * 1000);
	r->is_client_retry = (double)(ms * 1000) <
	    (double)r->route->timeout_us * (1 - CALLER_MARGIN_SHARE);
}

static bool
is_repeatable(const struct sv_route *route)
{
	return route->kind == SV_SAFE ||
	    (route->kind == SV_STREAM && route->resumable);
}

static struct fwd_req *
req_new(struct fwd *f, struct hreq *caller, const struct sv_route *route,
    const struct sv_workspace *workspace)
{
	const struct hmsg *m = hreq_msg(caller);
	const struct hheader *model =
	    hmsg_find(m, f->conf.dialect->header[SV_F_MODEL]);
	struct fwd_req *r = g_new0(struct fwd_req, 1);

	r->fwd = f;
	r->caller = caller;
	r->routes = rtab_ref(f->routes);
	r->route = route;
	r->workspace = workspace;
	r->service =
	    fwd_service(f, rtab_pick_service(route, rng_next(&f->rng)));
	r->deadline.fire = on_deadline;
	TAILQ_INIT(&r->attempts);
	g_strlcpy(r->last_target, "-", sizeof(r->last_target));
	r->last_end = r->last_framing = "-";
	r->priority = workspace != NULL && workspace->priority != INT_MAX
	    ? workspace->priority
	    : route->priority;
	if (model != NULL)
		r->model = hslice_dup(model->value);
	read_id(r, m);
	read_deadline(r, m);
	read_prompt(r, m);
	r->flow.repeatable = is_repeatable(route);
	r->flow.max_attempts = route->attempts;
	hreq_set_ctx(caller, r);
	TAILQ_INSERT_TAIL(&f->open, r, open);
	f->active++;
	evl_timer_set(f->conf.loop, &r->deadline, r->deadline_us);
	return r;
}

static void
on_request(struct hreq *caller, void *ctx)
{
	static const struct hslice none = { "", 0 };
	struct fwd *f = ctx;
	const struct hmsg *m = hreq_msg(caller);
	const struct hheader *host = hmsg_find(m, "Host");
	const struct sv_workspace *workspace;
	const struct sv_route *route;
	struct fwd_req *r;
	int64_t until_us;

	hreq_set_ctx(caller, NULL);
	if (f->routes == NULL) {
		answer_early(f, caller, 503, "no_settings_yet");
		return;
	}
	route =
	    rtab_route(f->routes, host == NULL ? none : host->value, m->target);
	if (route == NULL) {
		answer_early(f, caller, 404, "no_route");
		return;
	}
	if (!authorise(f, caller, route, &workspace))
		return;
	r = req_new(f, caller, route, workspace);
	if (fwd_refuse_if_draining(r))
		return;
	fwd_note_client_retry(r);
	spend_request(&r->service->budget, &f->conf.budget, fwd_now(r));
	if (fwd_is_blocked(r, &until_us))
		fwd_refuse_until(r, "held", until_us);
	else
		fwd_dispatch(r);
}

static void
on_disconnected(struct hreq *caller, void *ctx)
{
	struct fwd_req *r = hreq_ctx(caller);

	if (r == NULL)
		return;
	ctr_add(r->fwd->disconnected, 1);
	fwd_log_end(r, EVT_DISCONNECTED, 0,
	    TAILQ_EMPTY(&r->attempts) ? "waiting" : "running");
	fwd_finish(r);
}

static void
on_drained(struct hreq *caller, void *ctx)
{
	struct fwd_req *r = hreq_ctx(caller);

	if (r != NULL)
		fwd_resume_reading(r);
}

static void
on_refused(unsigned int status, void *ctx)
{
	struct fwd *f = ctx;

	ctr_add(f->refused, 1);
	evt(EVT_REFUSED, "req=- status=%u why=malformed", status);
}

static void
on_dropped(const char *why, size_t unread, size_t unsent, void *ctx)
{
	struct fwd *f = ctx;

	ctr_add(f->dropped, 1);
	evt(EVT_CLOSED, "why=%s unread=%zu unsent=%zu", why, unread, unsent);
}

const struct hserver_ops fwd_server_ops = {
	.request = on_request,
	.disconnected = on_disconnected,
	.drained = on_drained,
	.refused = on_refused,
	.dropped = on_dropped,
};

/* ------------------------------------------------------------------ */
/* The forwarder                                                       */
/* ------------------------------------------------------------------ */

struct fwd *
fwd_new(const struct fwd_conf *conf)
{
	struct fwd *f = g_new0(struct fwd, 1);
	struct ctr_set *set = conf->counters;

	f->conf = *conf;
	f->services =
	    g_hash_table_new_full(g_str_hash, g_str_equal, NULL, g_free);
	rng_seed(&f->rng, conf->seed);
	f->suspects = sus_new(conf->seed);
	TAILQ_INIT(&f->open);
	f->done = ctr_get(set, "requests_done");
	f->refused = ctr_get(set, "requests_refused");
	f->failed = ctr_get(set, "requests_failed");
	f->disconnected = ctr_get(set, "requests_left");
	f->retries = ctr_get(set, "requests_sent_again");
	f->resumes = ctr_get(set, "streams_resumed");
	f->unexpected = ctr_get(set, "answers_not_ours");
	f->charged = ctr_get(set, "retries_charged");
	f->denied = ctr_get(set, "retries_denied");
	f->limited = ctr_get(set, "requests_to_limited");
	f->limited_again = ctr_get(set, "requests_to_limited_again");
	f->excessive = ctr_get(set, "excessive_numbers");
	f->choices = ctr_get(set, "target_choices");
	f->blocked[FPR_CONTENT] = ctr_get(set, "contents_held");
	f->blocked[FPR_PART] = ctr_get(set, "parts_held");
	f->recalled = ctr_get(set, "requests_withdrawn_held");
	f->cut_before_answer = ctr_get(set, "requests_cut_before_answer");
	f->cut_midway = ctr_get(set, "requests_cut_midway");
	f->dropped = ctr_get(set, "connections_closed_with_bytes");
	return f;
}

void
fwd_free(struct fwd *f)
{
	evl_task_cancel(f->conf.loop, &f->pump);
	evl_timer_stop(f->conf.loop, &f->pump_timer);
	g_hash_table_unref(f->services);
	sus_free(f->suspects);
	rtab_unref(f->routes);
	g_free(f);
}

void
fwd_set_routes(struct fwd *f, struct rtab *routes)
{
	rtab_unref(f->routes);
	f->routes = routes;
}

struct rtab *
fwd_routes(struct fwd *f)
{
	return f->routes;
}

struct spend_conf *
fwd_budget(struct fwd *f)
{
	return &f->conf.budget;
}

void
fwd_drain(struct fwd *f)
{
	struct fwd_req *r, *next;

	if (f->draining)
		return;
	f->draining = true;
	for (r = TAILQ_FIRST(&f->open); r != NULL; r = next) {
		next = TAILQ_NEXT(r, open);
		if (TAILQ_EMPTY(&r->attempts))
			(void)fwd_refuse_if_draining(r);
	}
}

void
fwd_end_all(struct fwd *f)
{
	struct fwd_req *r;

	while ((r = TAILQ_FIRST(&f->open)) != NULL) {
		if (r->flow.begun)
			fwd_abort(r, "stopping");
		else if (!r->flow.may_have_run && TAILQ_EMPTY(&r->attempts))
			fwd_refuse_until(r, "stopping", fwd_now(r));
		else
			fwd_fail(r, 502, "stopping");
	}
}

unsigned int
fwd_active(const struct fwd *f)
{
	return f->active;
}

unsigned int
fwd_waiting(const struct fwd *f)
{
	return f->waiting;
}

void
fwd_print(const struct fwd *f, GString *out)
{
	g_string_append_printf(out,
	    "requests_active %u\nrequests_waiting %u\ncontents_held_now %u\n"
	    "parts_held_now %u\nanswers_buffered_bytes %zu\n",
	    f->active, f->waiting, sus_count_blocked(f->suspects, FPR_CONTENT),
	    sus_count_blocked(f->suspects, FPR_PART), f->buffered);
	hist_print(&f->wait, "request_wait_seconds", out);
	hist_print(&f->first_event, "stream_first_event_seconds", out);
	hist_print(&f->gap, "stream_event_gap_seconds", out);
	hist_print(&f->total, "request_seconds", out);
}
