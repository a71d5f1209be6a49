/* Answers from targets, and how they are relayed. */

#include <stdlib.h>
#include <string.h>

#include "serve/fwd_internal.h"

/* Largest answer that is buffered, and largest event of a stream. */
#define ANSWER_MAX (8u << 20)
#define EVENT_MAX (1u << 20)
/* An answer up to this size is buffered however many others are. */
#define ANSWER_SHORT (64u << 10)
/* Bytes of the body of an answer that is not relayed. */
#define UNUSED_MAX (64u << 10)
/* Moving average of the time to the first event: a new value counts 1/16. */
#define FIRST_EVENT_WEIGHT 16

/* ------------------------------------------------------------------ */
/* Head                                                                */
/* ------------------------------------------------------------------ */

const struct hheader *
fwd_find_header(const struct fwd_req *r, const struct hmsg *m, enum sv_field f)
{
	return hmsg_find(m, r->fwd->conf.dialect->header[f]);
}

/* Parses "running,waiting,slots". */
static void
apply_load(struct fwd_attempt *a, const struct hmsg *m)
{
	const struct hheader *h = fwd_find_header(a->req, m, SV_F_LOAD);
	unsigned long running, waiting;
	char text[48], *end;

	if (h == NULL || h->value.n >= sizeof(text))
		return;
	memcpy(text, h->value.p, h->value.n);
	text[h->value.n] = '\0';
	running = strtoul(text, &end, 10);
	if (*end != ',')
		return;
	waiting = strtoul(end + 1, &end, 10);
	tgt_set_load(
	    a->target, (unsigned int)(running + waiting), fwd_now(a->req));
}

static bool
is_success(const struct fwd_attempt *a)
{
	return a->status >= 200 && a->status < 300;
}

/* Whether the answer is relayed as it arrives. */
static bool
is_stream(const struct fwd_attempt *a)
{
	return a->req->route->kind == SV_STREAM && is_success(a);
}

/* Reads the rate limit that an answer states, in requests per second; 0: it
 * states none. Returns false if the header is malformed. */
static bool
parse_limit(const struct fwd_req *r, const struct hmsg *m, double *out)
{
	const struct hheader *h = fwd_find_header(r, m, SV_F_LIMIT);

	*out = 0;
	if (h == NULL)
		return true;
	if (!hslice_double(h->value, out) || *out < 0)
		return false;
	/* Rounded as it is sent to other processes; otherwise their reports
	 * would look like a different limit. */
	*out = rate_of_milli(rate_to_milli(MAX(*out, RATE_MIN)));
	return true;
}

static void
apply_limit(struct fwd_attempt *a, const struct hmsg *m)
{
	struct fwd_req *r = a->req;
	double limit, before = a->target->rate.limit;

	if (!parse_limit(r, m, &limit))
		return;
	/* A refusal need not come from the engine itself, so a refusal without
	 * a limit does not remove the current one. */
	if (limit == 0 && !(is_success(a) && a->sealed))
		return;
	if (tgt_rate_answered(
		r->fwd->conf.targets, a->target, limit, a->sent_us, fwd_now(r)))
		evt(EVT_LIMIT,
		    "target=%s address=%s limit=%.2f before=%.2f from=answer",
		    a->target->record.id, a->target->record.address, limit,
		    before);
}

/* Statuses that tell callers that a request did not run. Only a target that
 * sends the not-run header may state that; otherwise they are not relayed. */
static bool
implies_not_run(unsigned int status)
{
	return status == 429 || status == 503 || status == 408;
}

static bool
is_not_run(const struct fwd_attempt *a, const struct hmsg *m)
{
	return a->status == 421 ||
	    fwd_find_header(a->req, m, SV_F_NOT_RUN) != NULL;
}

static bool
is_relayable(const struct fwd_attempt *a, const struct hmsg *m)
{
	if (is_success(a))
		return a->sealed && hmsg_find(m, "Content-Encoding") == NULL;
	return a->sealed && !implies_not_run(a->status);
}

/* On a route of streams, an answer without a type is one of events, too. */
static bool
has_event_type(const struct hmsg *m)
{
	static const char type[] = "text/event-stream";
	const struct hheader *h = hmsg_find(m, "Content-Type");

	return h == NULL ||
	    (h->value.n >= strlen(type) &&
		g_ascii_strncasecmp(h->value.p, type, strlen(type)) == 0);
}

/* The caller has the beginning of a stream from an earlier target: only events
 * can follow. */
static bool
may_continue_stream(const struct fwd_attempt *a)
{
	return is_success(a) && a->has_events;
}

/* An answer that is relayed whole wins as soon as it begins. */
static bool
is_plain_answer(const struct fwd_attempt *a)
{
	return !a->not_run && !a->unusable && a->status < 500 && !is_stream(a);
}

bool
fwd_is_receiving_whole(const struct fwd_req *r)
{
	const struct fwd_attempt *a;

	TAILQ_FOREACH (a, &r->attempts, link) {
		if (a->is_matched && is_plain_answer(a))
			return true;
	}
	return false;
}

void
fwd_read_head(struct fwd_attempt *a, const struct hmsg *m)
{
	struct fwd_req *r = a->req;
	const struct hheader *id = fwd_find_header(r, m, SV_F_REQUEST_ID);

	fwd_read_notices(a, m);
	/* This answers an earlier request: it is late or a duplicate. */
	if (id != NULL &&
	    (id->value.n != strlen(r->id) ||
		memcmp(id->value.p, r->id, id->value.n) != 0)) {
		ctr_add(r->fwd->unexpected, 1);
		evt(EVT_UNEXPECTED, "req=%s target=%s got=%.*s", r->id,
		    a->target->record.id, (int)MIN(id->value.n, FWD_ID_MAX),
		    id->value.p);
		hcall_skip(a->call);
		return;
	}
	a->is_matched = true;
	a->framing = m->framing;
	a->has_events = has_event_type(m);
	a->status = m->status;
	a->sealed = fwd_find_header(r, m, SV_F_SEAL) != NULL;
	apply_load(a, m);
	apply_limit(a, m);
	fwd_prompt_read(a);
	a->not_run = is_not_run(a, m);
	a->unusable = !a->not_run &&
	    (!is_relayable(a, m) || (is_success(a) && id == NULL) ||
		(r->flow.begun && !may_continue_stream(a)));
	if (a->headers == NULL)
		a->headers = g_string_sized_new(256);
	g_string_truncate(a->headers, 0);
	fwd_answer_headers(m, a->headers);
	if (a->not_run || a->unusable)
		hcall_limit_rest(a->call, UNUSED_MAX);
	if (is_plain_answer(a)) {
		fwd_choose_attempt(a);
		fwd_note_progress(a);
	}
}

/* ------------------------------------------------------------------ */
/* Events                                                              */
/* ------------------------------------------------------------------ */

static void
update_first_event_us(struct fwd_service *service, int64_t first_us)
{
	if (service->first_event_us == 0)
		service->first_event_us = first_us;
	service->first_event_us +=
	    (first_us - service->first_event_us) / FIRST_EVENT_WEIGHT;
}

static void
note_event(struct fwd_attempt *a, int64_t id)
{
	struct fwd_req *r = a->req;
	int64_t now_us = fwd_now(r);

	if (r->events == 0) {
		update_first_event_us(r->service, now_us - a->sent_us);
		r->first_event_us = now_us;
		hist_add(&r->fwd->first_event, now_us - r->started_us);
	} else
		hist_add(&r->fwd->gap, now_us - r->last_event_us);
	r->last_event_us = now_us;
	r->events++;
	if (id < 0)
		return;
	r->last_event = id;
	r->has_event = true;
}

static void
begin_answer(struct fwd_attempt *a)
{
	struct fwd_req *r = a->req;

	if (hreq_begun(r->caller))
		return;
	hreq_begin(r->caller, a->status, a->headers->str);
	r->flow.begun = true;
}

static void
relay_block(struct fwd_attempt *a, const void *block, size_t len)
{
	fwd_choose_attempt(a);
	begin_answer(a);
	hreq_write(a->req->caller, block, len);
}

static void
relay_event(struct fwd_attempt *a, const void *event, size_t len)
{
	struct fwd_req *r = a->req;
	int64_t id = sse_id(event, len);

	a->has_begun = true;
	if (id >= 0 && r->has_event && id <= r->last_event) {
		/* relayed already, from another target */
		ctr_add(r->fwd->unexpected, 1);
		return;
	}
	relay_block(a, event, len);
	note_event(a, id);
}

static void
relay_events(struct fwd_attempt *a)
{
	size_t len;

	while ((len = sse_next(&a->sse, hbuf_front(&a->answer),
		    hbuf_left(&a->answer))) > 0) {
		if (sse_is_event(&a->sse))
			relay_event(a, hbuf_front(&a->answer), len);
		else
			relay_block(a, hbuf_front(&a->answer), len);
		hbuf_consume(&a->answer, len);
	}
	if (hreq_congested(a->req->caller))
		hcall_pause(a->call, true);
}

static void
count_buffered(struct fwd_attempt *a)
{
	size_t buffered = hbuf_left(&a->answer);

	a->req->fwd->buffered += buffered - a->buffered;
	a->buffered = buffered;
}

void
fwd_drop_answer(struct fwd_attempt *a)
{
	hbuf_free(&a->answer);
	count_buffered(a);
}

/* Bytes of its answer that the attempt may have in memory. */
static size_t
largest_answer(const struct fwd_attempt *a)
{
	const struct fwd *f = a->req->fwd;

	if (f->conf.answers_max != 0 && f->buffered > f->conf.answers_max)
		return ANSWER_SHORT;
	return is_stream(a) ? EVENT_MAX : ANSWER_MAX;
}

void
fwd_read_body(struct fwd_attempt *a, const void *data, size_t len)
{
	if (a->not_run || a->unusable)
		return;
	if (hbuf_left(&a->answer) + len > largest_answer(a)) {
		a->unusable = true;
		fwd_drop_answer(a);
		hcall_limit_rest(a->call, 0);
		return;
	}
	hbuf_add(&a->answer, data, len);
	if (is_stream(a)) {
		relay_events(a);
		fwd_note_progress(a);
	}
	count_buffered(a);
}

size_t
fwd_event_rest(const struct fwd_attempt *a)
{
	return is_stream(a) ? hbuf_left(&a->answer) : 0;
}

const char *
fwd_framing_name(const struct fwd_attempt *a)
{
	return a->is_matched ? hframing_name(a->framing) : "-";
}

/* ------------------------------------------------------------------ */
/* Completion                                                          */
/* ------------------------------------------------------------------ */

/*
 * A complete message does not imply a complete answer: a target that fails
 * midway may still end its message in order. A stream must also end between two
 * events.
 */
bool
fwd_answer_is_complete(const struct fwd_attempt *a)
{
	if (!is_stream(a) || !a->has_events)
		return true;
	/* Without framing, a stream that was broken off at once looks like an
	 * empty one. */
	if (a->framing == HFRAMING_CLOSE && !a->has_begun)
		return false;
	return sse_may_end(&a->sse);
}

/* The target's answer is complete: relays the part not sent yet. */
void
fwd_answer_complete(struct fwd_attempt *a)
{
	struct fwd_req *r = a->req;
	struct hreq *caller = r->caller;
	struct hbuf answer = a->answer;
	GString *headers = a->headers;
	unsigned int status = a->status;
	bool begun = r->flow.begun;

	fwd_choose_attempt(a);
	ctr_add(r->fwd->done, 1);
	hist_add(&r->fwd->total, fwd_now(r) - r->started_us);
	fwd_log_end(r, EVT_DONE, status, status < 500 ? "ok" : "target_failed");
	a->answer = (struct hbuf){ 0 };
	count_buffered(a);
	a->headers = NULL;
	fwd_finish(r);
	if (begun) {
		hreq_write(caller, hbuf_front(&answer), hbuf_left(&answer));
		hreq_end(caller);
	} else
		hreq_answer(caller, status, headers->str, hbuf_front(&answer),
		    hbuf_left(&answer));
	hbuf_free(&answer);
	g_string_free(headers, TRUE);
}
