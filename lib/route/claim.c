/* One bucket of claims: answers to requests, and scheduling of writes. */

#include <string.h>

#include "route/claim_internal.h"

#define REPORTS_MAX 4096 /* queued while the API is down; drops the oldest */
#define DOWN_RETRY_MS 1000
#define DOUBT_RETRY_MS 1000

/* ------------------------------------------------------------------ */
/* Pending requests and their lists                                    */
/* ------------------------------------------------------------------ */

unsigned int
clm_bucket_of(const char *key)
{
	return (unsigned int)(hash64(0, key, strlen(key)) % CLM_BUCKETS);
}

void
clm_enqueue(struct clm_requests *list, struct clm_request *request)
{
	g_assert(request->list == NULL);
	TAILQ_INSERT_TAIL(list, request, link);
	request->list = list;
}

void
clm_cancel(struct clm_request *request)
{
	if (request->list == NULL)
		return;
	TAILQ_REMOVE(request->list, request, link);
	request->list = NULL;
}

void
clm_move_all(struct clm_requests *from, struct clm_requests *to)
{
	struct clm_request *request;

	while ((request = TAILQ_FIRST(from)) != NULL) {
		clm_cancel(request);
		clm_enqueue(to, request);
	}
}

void
clm_answer(struct clm *clm, struct clm_request *request, enum clm_result result)
{
	clm_cancel(request);
	clm->stats.granted += result == CLM_GRANTED ? 1 : 0;
	clm->ops->answer(request, result, NULL,
	    clm->owner == NULL ? "" : clm->owner, clm->ctx);
}

void
clm_answer_all(
    struct clm *clm, struct clm_requests *list, enum clm_result result)
{
	struct clm_request *request;

	while ((request = TAILQ_FIRST(list)) != NULL)
		clm_answer(clm, request, result);
}

static void
answer_with_outcome(struct clm *clm, struct clm_request *request,
    const struct clm_record *record)
{
	const struct clm_outcome outcome = {
		.verdict = VERDICT_RAN,
		.status = record->status,
		.type = record->type,
		.answer = record->answer,
		.digest = record->digest,
	};

	clm_cancel(request);
	clm->ops->answer(request, CLM_RECORDED, &outcome, "", clm->ctx);
}

void
clm_schedule_write(struct clm *clm, int64_t at_us)
{
	clm->due_us = MIN(clm->due_us, at_us);
}

/* ------------------------------------------------------------------ */
/* Reported outcomes                                                   */
/* ------------------------------------------------------------------ */

void
clm_free_report(struct clm *clm, struct report *report)
{
	TAILQ_REMOVE(&clm->reports, report, link);
	clm->nreports--;
	g_free(report->key);
	g_free(report->claimant);
	g_free(report->type);
	g_free(report->answer);
	g_free(report);
}

static void
add_report(struct clm *clm, const char *key, const char *claimant,
    const struct clm_outcome *outcome)
{
	struct report *report = g_new0(struct report, 1);

	if (clm->nreports >= REPORTS_MAX)
		clm_free_report(clm, TAILQ_FIRST(&clm->reports));
	report->key = g_strdup(key);
	report->claimant = g_strdup(claimant);
	report->type = g_strdup(outcome->type);
	report->answer = g_strdup(outcome->answer);
	report->outcome = *outcome;
	report->outcome.type = report->type;
	report->outcome.answer = report->answer;
	TAILQ_INSERT_TAIL(&clm->reports, report, link);
	clm->nreports++;
}

/* A record in state CLM_RAN is final. Only its claimant changes a record. */
static void
apply(struct clm *clm, const struct report *report)
{
	struct clm_record *record =
	    g_hash_table_lookup(clm->records, report->key);

	if (record == NULL || record->state == CLM_RAN ||
	    strcmp(record->claimant, report->claimant) != 0)
		return;
	if (report->outcome.verdict == VERDICT_NOT_RUN)
		g_hash_table_remove(clm->records, report->key);
	else
		clm_record_settle(record, &report->outcome);
}

static void
report_outcome(struct clm *clm, const char *key, const char *claimant,
    const struct clm_outcome *outcome, int64_t now_us)
{
	add_report(clm, key, claimant, outcome);
	if (clm->phase != PHASE_OWNED)
		return;
	apply(clm, TAILQ_LAST(&clm->reports, reports));
	clm_schedule_write(clm, now_us + CLM_OUTCOME_DELAY_MS * 1000);
}

/* Answers CLM_DOWN, hence NOT_RUN, although the claim may be stored, or be
 * stored later: queues its removal. */
void
clm_refuse_unavailable(
    struct clm *clm, struct clm_request *request, int64_t now_us)
{
	const struct clm_outcome nothing = { .verdict = VERDICT_NOT_RUN };

	if (request->maybe_written)
		report_outcome(
		    clm, request->key, request->claimant, &nothing, now_us);
	clm_answer(clm, request, CLM_DOWN);
}

void
clm_apply_all(struct clm *clm)
{
	const struct report *report;

	TAILQ_FOREACH (report, &clm->reports, link)
		apply(clm, report);
}

/* ------------------------------------------------------------------ */
/* Answers to requests                                                 */
/* ------------------------------------------------------------------ */

static bool
claimant_is_live(const struct clm *clm, const char *claimant)
{
	char gateway[CLM_CLAIMANT_MAX + 1];
	size_t n = strcspn(claimant, "/");

	g_strlcpy(gateway, claimant, MIN(n + 1, sizeof(gateway)));
	return clm->ops->is_live(gateway, clm->ctx);
}

/* The record is of another claimant and has no outcome. */
static void
evaluate_other(struct clm *clm, struct clm_request *request,
    const struct clm_record *record, int64_t now_us)
{
	/* Without the lease another owner may have changed the object. */
	if (now_us >= clm->lease_until_us && !clm->writing &&
	    !request->reread) {
		request->reread = true;
		clm_enqueue(&clm->pending, request);
		clm_step_down(clm, now_us);
		return;
	}
	if (record->state == CLM_RUNNING && request->until_us > now_us &&
	    claimant_is_live(clm, record->claimant))
		clm_enqueue(&clm->waiting, request);
	else
		clm_answer(clm, request, CLM_IN_DOUBT);
}

/*
 * The record is of the same claimant. Grants the claim if it is confirmed in
 * the object and the lease is valid. Otherwise a write decides: an owner that
 * was paused beyond its lease may have been replaced, and then its write is
 * refused.
 */
static void
evaluate_own(struct clm *clm, struct clm_request *request,
    const struct clm_record *record, int64_t now_us)
{
	if (record->state == CLM_UNSURE) {
		clm_answer(clm, request, CLM_IN_DOUBT);
	} else if (record->written && now_us < clm->lease_until_us) {
		clm_answer(clm, request, CLM_GRANTED);
	} else if (clm->writing && !record->written) {
		clm_enqueue(&clm->inflight, request);
	} else {
		clm_enqueue(&clm->pending, request);
		clm_schedule_write(clm, now_us);
	}
}

void
clm_evaluate(struct clm *clm, struct clm_request *request, int64_t now_us)
{
	const struct clm_record *record =
	    g_hash_table_lookup(clm->records, request->key);

	if (record == NULL) {
		clm_enqueue(&clm->pending, request);
		clm_schedule_write(clm, now_us + CLM_BATCH_MS * 1000);
	} else if (!digest_equal(&record->body, &request->body)) {
		clm_answer(clm, request, CLM_OTHER_BODY);
	} else if (record->state == CLM_RAN) {
		answer_with_outcome(clm, request, record);
	} else if (strcmp(record->claimant, request->claimant) == 0) {
		evaluate_own(clm, request, record, now_us);
	} else {
		evaluate_other(clm, request, record, now_us);
	}
}

void
clm_evaluate_all(struct clm *clm, struct clm_requests *list, int64_t now_us)
{
	struct clm_requests requests = TAILQ_HEAD_INITIALIZER(requests);
	struct clm_request *request;

	clm_move_all(list, &requests);
	while ((request = TAILQ_FIRST(&requests)) != NULL) {
		clm_cancel(request);
		if (clm->phase == PHASE_OWNED)
			clm_evaluate(clm, request, now_us);
		else
			clm_enqueue(&clm->pending, request);
	}
}

/* ------------------------------------------------------------------ */
/* Events                                                              */
/* ------------------------------------------------------------------ */

struct clm *
clm_new(const char *self, struct clm_write_limit *limit,
    const struct clm_ops *ops, void *ctx)
{
	struct clm *clm = g_new0(struct clm, 1);

	clm->self = g_strdup(self);
	clm->write_limit = limit;
	clm->ops = ops;
	clm->ctx = ctx;
	clm->records = clm_records_new();
	clm->due_us = NEVER;
	TAILQ_INIT(&clm->pending);
	TAILQ_INIT(&clm->inflight);
	TAILQ_INIT(&clm->waiting);
	TAILQ_INIT(&clm->reports);
	return clm;
}

void
clm_free(struct clm *clm)
{
	struct clm_requests dropped = TAILQ_HEAD_INITIALIZER(dropped);

	if (clm == NULL)
		return;
	clm_move_all(&clm->pending, &dropped);
	clm_move_all(&clm->inflight, &dropped);
	clm_move_all(&clm->waiting, &dropped);
	while (!TAILQ_EMPTY(&dropped))
		clm_cancel(TAILQ_FIRST(&dropped));
	while (!TAILQ_EMPTY(&clm->reports))
		clm_free_report(clm, TAILQ_FIRST(&clm->reports));
	g_hash_table_unref(clm->records);
	g_free(clm->owner);
	g_free(clm->self);
	g_free(clm);
}

static bool
is_valid_text(const char *text, size_t max)
{
	return strlen(text) <= max && g_utf8_validate(text, -1, NULL);
}

void
clm_request(struct clm *clm, struct clm_request *request, int64_t now_us)
{
	request->maybe_written = false;
	request->reread = false;
	if (!is_valid_text(request->key, CLM_KEY_MAX) ||
	    !is_valid_text(request->claimant, CLM_CLAIMANT_MAX)) {
		clm_answer(clm, request, CLM_BAD_KEY);
		return;
	}
	switch (clm->phase) {
	case PHASE_OWNED:
		clm_evaluate(clm, request, now_us);
		return;
	case PHASE_READING:
		clm_enqueue(&clm->pending, request);
		return;
	case PHASE_NOT_OWNED:
		if (now_us < clm->seen_us + TAKE_OVER_US &&
		    clm->ops->is_live(clm->owner, clm->ctx)) {
			clm_answer(clm, request, CLM_MOVED);
			return;
		}
		break;
	case PHASE_IDLE:
		break;
	}
	clm_enqueue(&clm->pending, request);
	clm_start_read(clm, now_us);
}

void
clm_settle(struct clm *clm, const char *key, const char *claimant,
    const struct clm_outcome *outcome, int64_t now_us)
{
	report_outcome(clm, key, claimant, outcome, now_us);
	switch (clm->phase) {
	case PHASE_OWNED:
		clm_evaluate_all(clm, &clm->waiting, now_us);
		return;
	case PHASE_READING:
		return;
	case PHASE_NOT_OWNED:
		clm_forward_reports(clm);
		return;
	case PHASE_IDLE:
		if (now_us >= clm->retry_us)
			clm_start_read(clm, now_us);
		return;
	}
}

void
clm_release(struct clm *clm, int64_t now_us)
{
	if (clm->phase != PHASE_OWNED)
		return;
	clm->releasing = true;
	clm_schedule_write(clm, now_us);
}

/* Answers requests past their `until_us`. `claimed`: by another claimant. */
static void
expire_waits(
    struct clm *clm, struct clm_requests *list, bool claimed, int64_t now_us)
{
	struct clm_request *request, *next;

	for (request = TAILQ_FIRST(list); request != NULL; request = next) {
		next = TAILQ_NEXT(request, link);
		if (request->until_us > now_us)
			continue;
		if (claimed)
			clm_answer(clm, request, CLM_IN_DOUBT);
		else
			clm_refuse_unavailable(clm, request, now_us);
	}
}

void
clm_tick(struct clm *clm, int64_t now_us)
{
	expire_waits(clm, &clm->waiting, true, now_us);
	expire_waits(clm, &clm->pending, false, now_us);
	expire_waits(clm, &clm->inflight, false, now_us);
	if (clm->phase == PHASE_OWNED)
		clm_evaluate_all(clm, &clm->waiting, now_us);
	if (clm->phase == PHASE_IDLE && !TAILQ_EMPTY(&clm->reports) &&
	    now_us >= clm->retry_us)
		clm_start_read(clm, now_us);
	clm_write_if_due(clm, now_us);
}

/* ------------------------------------------------------------------ */
/* Errors for callers                                                  */
/* ------------------------------------------------------------------ */

void
clm_error(enum clm_result result, struct err *out)
{
	switch (result) {
	case CLM_IN_DOUBT:
		err_set(out, ERR_IN_DOUBT, VERDICT_MAY_HAVE_RUN,
		    "an earlier request with this key may have run");
		out->retry_after_ms = DOUBT_RETRY_MS;
		return;
	case CLM_OTHER_BODY:
		err_set(out, ERR_CONFLICT, VERDICT_NOT_RUN,
		    "this key was used for another request");
		return;
	case CLM_BAD_KEY:
		err_set(out, ERR_INVALID, VERDICT_NOT_RUN,
		    "the key is not text or too long");
		return;
	case CLM_FULL:
		err_set(out, ERR_OVERLOADED, VERDICT_NOT_RUN,
		    "no room for further claims");
		break;
	default:
		err_set(out, ERR_UNAVAILABLE, VERDICT_NOT_RUN,
		    "the key cannot be claimed now");
		break;
	}
	out->retry_after_ms = DOWN_RETRY_MS;
}

void
clm_stats(const struct clm *clm, struct clm_stats *out)
{
	*out = clm->stats;
	out->records = g_hash_table_size(clm->records);
	out->unwritten = clm->nreports;
	out->owned = clm->phase == PHASE_OWNED;
}
