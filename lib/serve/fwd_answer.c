/* Answers from targets, and how they are relayed. */

#include <stdlib.h>
#include <string.h>

#include "serve/fwd_internal.h"

/* Largest answer that is buffered, and largest event of a stream. */
#define ANSWER_MAX (8u << 20)
#define EVENT_MAX (1u << 20)
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
apply_load(struct fwd_req *r, const struct hmsg *m)
{
	const struct hheader *h = fwd_find_header(r, m, SV_F_LOAD);
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
	tgt_set_load(r->target, (unsigned int)(running + waiting), fwd_now(r));
}

static bool
is_success(const struct fwd_req *r)
{
	return r->status >= 200 && r->status < 300;
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
apply_limit(struct fwd_req *r, const struct hmsg *m)
{
	double limit, before = r->target->rate.limit;

	if (!parse_limit(r, m, &limit))
		return;
	/* A refusal need not come from the engine itself, so a refusal without
	 * a limit does not remove the current one. */
	if (limit == 0 && !(is_success(r) && r->sealed))
		return;
	if (tgt_rate_answered(
		r->fwd->conf.targets, r->target, limit, r->sent_us, fwd_now(r)))
		evt(EVT_LIMIT,
		    "target=%s address=%s limit=%.2f before=%.2f from=answer",
		    r->target->record.id, r->target->record.address, limit,
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
is_not_run(const struct fwd_req *r, const struct hmsg *m)
{
	return r->status == 421 || fwd_find_header(r, m, SV_F_NOT_RUN) != NULL;
}

static bool
is_relayable(const struct fwd_req *r, const struct hmsg *m)
{
	if (is_success(r))
		return r->sealed && hmsg_find(m, "Content-Encoding") == NULL;
	return r->sealed && !implies_not_run(r->status);
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
may_continue_stream(const struct fwd_req *r)
{
	return is_success(r) && r->has_events;
}

void
fwd_read_head(struct fwd_req *r, const struct hmsg *m)
{
	const struct hheader *id = fwd_find_header(r, m, SV_F_REQUEST_ID);

	fwd_read_notices(r, m);
	/* This answers an earlier request: it is late or a duplicate. */
	if (id != NULL &&
	    (id->value.n != strlen(r->id) ||
		memcmp(id->value.p, r->id, id->value.n) != 0)) {
		ctr_add(r->fwd->unexpected, 1);
		evt(EVT_UNEXPECTED, "req=%s target=%s got=%.*s", r->id,
		    r->target->record.id, (int)MIN(id->value.n, FWD_ID_MAX),
		    id->value.p);
		hcall_skip(r->call);
		return;
	}
	r->is_matched = true;
	r->framing = m->framing;
	r->has_events = has_event_type(m);
	r->status = m->status;
	r->sealed = fwd_find_header(r, m, SV_F_SEAL) != NULL;
	apply_load(r, m);
	apply_limit(r, m);
	fwd_prompt_read(r);
	r->not_run = is_not_run(r, m);
	r->unusable = !r->not_run &&
	    (!is_relayable(r, m) || (is_success(r) && id == NULL) ||
		(r->flow.begun && !may_continue_stream(r)));
	if (r->headers == NULL)
		r->headers = g_string_sized_new(256);
	g_string_truncate(r->headers, 0);
	fwd_answer_headers(m, r->headers);
	if (r->not_run || r->unusable)
		hcall_no_reuse(r->call);
}

bool
fwd_is_stream(const struct fwd_req *r)
{
	return r->route->kind == SV_STREAM && is_success(r);
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
note_event(struct fwd_req *r, int64_t id)
{
	int64_t now_us = fwd_now(r);

	if (r->events == 0) {
		update_first_event_us(r->service, now_us - r->sent_us);
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
begin_answer(struct fwd_req *r)
{
	if (hreq_begun(r->caller))
		return;
	hreq_begin(r->caller, r->status, r->headers->str);
	r->flow.begun = true;
	r->state = FWD_STREAMING;
}

static void
relay_block(struct fwd_req *r, const void *block, size_t len)
{
	begin_answer(r);
	hreq_write(r->caller, block, len);
}

static void
relay_event(struct fwd_req *r, const void *event, size_t len)
{
	int64_t id = sse_id(event, len);

	r->has_begun = true;
	if (id >= 0 && r->has_event && id <= r->last_event) {
		/* relayed already, from an earlier target */
		ctr_add(r->fwd->unexpected, 1);
		return;
	}
	relay_block(r, event, len);
	note_event(r, id);
}

static void
relay_events(struct fwd_req *r)
{
	size_t len;

	while ((len = sse_next(&r->sse, hbuf_front(&r->answer),
		    hbuf_left(&r->answer))) > 0) {
		if (sse_is_event(&r->sse))
			relay_event(r, hbuf_front(&r->answer), len);
		else
			relay_block(r, hbuf_front(&r->answer), len);
		hbuf_consume(&r->answer, len);
	}
	if (hreq_congested(r->caller))
		hcall_pause(r->call, true);
}

void
fwd_read_body(struct fwd_req *r, const void *data, size_t len)
{
	size_t most = fwd_is_stream(r) ? EVENT_MAX : ANSWER_MAX;

	if (r->not_run || r->unusable)
		return;
	if (hbuf_left(&r->answer) + len > most) {
		r->unusable = true;
		hcall_no_reuse(r->call);
		return;
	}
	hbuf_add(&r->answer, data, len);
	if (!fwd_is_stream(r))
		return;
	relay_events(r);
	fwd_note_progress(r);
}

size_t
fwd_event_rest(const struct fwd_req *r)
{
	return fwd_is_stream(r) ? hbuf_left(&r->answer) : 0;
}

const char *
fwd_framing_name(const struct fwd_req *r)
{
	return r->is_matched ? hframing_name(r->framing) : "-";
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
fwd_answer_is_complete(const struct fwd_req *r)
{
	if (!fwd_is_stream(r) || !r->has_events)
		return true;
	/* Without framing, a stream that was broken off at once looks like an
	 * empty one. */
	if (r->framing == HFRAMING_CLOSE && !r->has_begun)
		return false;
	return sse_may_end(&r->sse);
}

/* The target's answer is complete: relays the part not sent yet. */
void
fwd_answer_complete(struct fwd_req *r)
{
	struct hreq *caller = r->caller;
	struct hbuf answer = r->answer;
	GString *headers = r->headers;
	unsigned int status = r->status;
	bool begun = r->flow.begun;

	ctr_add(r->fwd->done, 1);
	hist_add(&r->fwd->total, fwd_now(r) - r->started_us);
	fwd_log_end(r, EVT_DONE, status, status < 500 ? "ok" : "target_failed");
	r->answer = (struct hbuf){ 0 };
	r->headers = NULL;
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
