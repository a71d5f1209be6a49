/* One bucket of claims: reading and writing its object. */

#include <string.h>

#include "route/claim_internal.h"

#define RETRY_US G_USEC_PER_SEC /* between reads while the API is down */
#define WRITE_BURST 8 /* writes allowed at once after an idle period */

/* ------------------------------------------------------------------ */
/* Reading                                                             */
/* ------------------------------------------------------------------ */

void
clm_start_read(struct clm *clm, int64_t now_us)
{
	clm->phase = PHASE_READING;
	clm->read_us = now_us;
	clm->stats.reads++;
	clm->ops->read(clm, clm->ctx);
}

/*
 * The records in memory may differ from the object: a write was refused, its
 * answer was lost, or the lease expired. Returns to PHASE_IDLE, so that the
 * object is read back before any claim is granted; claims that were stored are
 * then found by their claimant.
 */
void
clm_step_down(struct clm *clm, int64_t now_us)
{
	clm_move_all(&clm->inflight, &clm->pending);
	clm->phase = PHASE_IDLE;
	clm->lease_until_us = 0;
	clm->due_us = NEVER;
	if (!TAILQ_EMPTY(&clm->pending) || !TAILQ_EMPTY(&clm->waiting) ||
	    !TAILQ_EMPTY(&clm->reports))
		clm_start_read(clm, now_us);
}

void
clm_forward_reports(struct clm *clm)
{
	struct report *report;

	while ((report = TAILQ_FIRST(&clm->reports)) != NULL) {
		clm->ops->forward(report->key, report->claimant,
		    &report->outcome, clm->owner, clm->ctx);
		clm_free_report(clm, report);
	}
}

static void
leave_to_owner(struct clm *clm)
{
	clm->phase = PHASE_NOT_OWNED;
	g_hash_table_remove_all(clm->records);
	clm_forward_reports(clm);
	clm_answer_all(clm, &clm->pending, CLM_MOVED);
	clm_answer_all(clm, &clm->waiting, CLM_MOVED);
}

static void
mark_reread(struct clm_requests *list)
{
	struct clm_request *request;

	TAILQ_FOREACH (request, list, link)
		request->reread = true;
}

static void
take_over(struct clm *clm, int64_t now_us)
{
	bool was_owner = strcmp(clm->owner, clm->self) == 0;

	clm->phase = PHASE_OWNED;
	clm->releasing = false;
	clm->stats.takeovers += was_owner ? 0 : 1;
	clm->fence += was_owner ? 0 : 1;
	clm->due_us = NEVER;
	clm_apply_all(clm);
	mark_reread(&clm->pending);
	clm_evaluate_all(clm, &clm->waiting, now_us);
	clm_evaluate_all(clm, &clm->pending, now_us);
	if (!TAILQ_EMPTY(&clm->pending))
		clm_schedule_write(clm, now_us);
	if (!TAILQ_EMPTY(&clm->reports))
		clm_schedule_write(clm, now_us + CLM_OUTCOME_DELAY_MS * 1000);
}

static void
read_failed(struct clm *clm, int64_t now_us)
{
	struct clm_request *request;

	clm->phase = PHASE_IDLE;
	clm->retry_us = now_us + RETRY_US;
	g_hash_table_remove_all(clm->records);
	while ((request = TAILQ_FIRST(&clm->pending)) != NULL)
		clm_refuse_unavailable(clm, request, now_us);
	/* The keys of these requests are claimed by other claimants. */
	clm_answer_all(clm, &clm->waiting, CLM_IN_DOUBT);
}

/*
 * Whether the object's owner is another live gateway whose lease may be valid.
 * Its lease has expired if the object did not change for TAKE_OVER_US from the
 * first read of this version to the start of this read: the write that made
 * the version was sent before the first read.
 */
static bool
owned_by_other(struct clm *clm, uint64_t version, int64_t now_us)
{
	bool same = clm->seen_us != 0 && clm->version == version;

	if (clm->owner[0] == '\0' || strcmp(clm->owner, clm->self) == 0 ||
	    !clm->ops->is_live(clm->owner, clm->ctx)) {
		clm->seen_us = 0;
		return false;
	}
	if (same && clm->read_us >= clm->seen_us + TAKE_OVER_US)
		return false;
	if (!same)
		clm->seen_us = now_us;
	return true;
}

void
clm_read_done(struct clm *clm, bool failed, uint64_t version, const char *value,
    int64_t now_us)
{
	char *owner = NULL;
	bool not_owned;

	g_hash_table_remove_all(clm->records);
	if (!failed && value == NULL) {
		owner = g_strdup("");
		clm->fence = 0;
	} else if (failed ||
	    !clm_records_parse(
		clm->records, value, now_us, &owner, &clm->fence)) {
		read_failed(clm, now_us);
		return;
	}
	g_free(clm->owner);
	clm->owner = owner;
	not_owned = owned_by_other(clm, version, now_us);
	clm->version = version;
	if (not_owned)
		leave_to_owner(clm);
	else
		take_over(clm, now_us);
}

/* ------------------------------------------------------------------ */
/* Writing                                                             */
/* ------------------------------------------------------------------ */

static void
claim_pending(struct clm *clm, int64_t now_us)
{
	struct clm_requests requests = TAILQ_HEAD_INITIALIZER(requests);
	const struct clm_record *record;
	struct clm_request *request;

	clm_move_all(&clm->pending, &requests);
	/* The conditional write verifies the records as a read would. */
	mark_reread(&requests);
	while ((request = TAILQ_FIRST(&requests)) != NULL) {
		clm_cancel(request);
		record = g_hash_table_lookup(clm->records, request->key);
		if (record != NULL &&
		    strcmp(record->claimant, request->claimant) != 0) {
			clm_evaluate(clm, request, now_us);
			continue;
		}
		if (record == NULL)
			clm_record_add(clm->records, request, now_us);
		request->maybe_written = true;
		clm_enqueue(&clm->inflight, request);
	}
}

/* Removes the claims that are not yet stored, and answers CLM_FULL. */
static void
refuse_full(struct clm *clm)
{
	const struct clm_record *record;
	struct clm_request *request, *next;

	for (request = TAILQ_FIRST(&clm->inflight); request != NULL;
	     request = next) {
		next = TAILQ_NEXT(request, link);
		record = g_hash_table_lookup(clm->records, request->key);
		if (record != NULL && record->written)
			continue;
		g_hash_table_remove(clm->records, request->key);
		clm_answer(clm, request, CLM_FULL);
	}
}

/* Removes stored answers first and then refuses new claims, but never removes
 * an unexpired record: without it the request could run again. */
static char *
print_bounded(struct clm *clm, const char *owner, int64_t now_us)
{
	char *text = clm_records_print(clm->records, owner, clm->fence, now_us);

	if (strlen(text) > CLM_VALUE_MAX) {
		g_free(text);
		clm_records_strip(clm->records);
		text =
		    clm_records_print(clm->records, owner, clm->fence, now_us);
	}
	if (strlen(text) > CLM_VALUE_MAX) {
		g_free(text);
		refuse_full(clm);
		text =
		    clm_records_print(clm->records, owner, clm->fence, now_us);
	}
	return text;
}

static bool
write_allowed(struct clm_write_limit *limit, int64_t now_us)
{
	int64_t interval_us = G_USEC_PER_SEC / MAX(limit->writes_s, 1);

	if (limit->next_us > now_us)
		return false;
	limit->next_us =
	    MAX(limit->next_us, now_us - WRITE_BURST * interval_us) +
	    interval_us;
	return true;
}

static void
start_write(struct clm *clm, int64_t now_us)
{
	struct report *report;
	char *text;

	clm->due_us = NEVER;
	clm_records_prune(clm->records, now_us);
	claim_pending(clm, now_us);
	if (TAILQ_EMPTY(&clm->inflight) && TAILQ_EMPTY(&clm->reports) &&
	    !clm->releasing)
		return; /* the reason for the write was cancelled */
	text = print_bounded(clm, clm->releasing ? "" : clm->self, now_us);
	TAILQ_FOREACH (report, &clm->reports, link)
		report->in_write = true;
	clm->writing = true;
	clm->sent_us = now_us;
	clm->stats.writes++;
	clm->ops->write(clm, text, clm->version, clm->ctx);
	g_free(text);
}

void
clm_write_if_due(struct clm *clm, int64_t now_us)
{
	if (clm->phase == PHASE_OWNED && !clm->writing &&
	    now_us >= clm->due_us && write_allowed(clm->write_limit, now_us))
		start_write(clm, now_us);
}

static void
mark_written(struct clm *clm)
{
	struct report *report, *next;
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, clm->records);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		((struct clm_record *)value)->written = true;
	for (report = TAILQ_FIRST(&clm->reports); report != NULL;
	     report = next) {
		next = TAILQ_NEXT(report, link);
		if (report->in_write)
			clm_free_report(clm, report);
	}
}

static void
grant_written(struct clm *clm, int64_t now_us)
{
	struct clm_requests requests = TAILQ_HEAD_INITIALIZER(requests);
	struct clm_request *request;

	clm_move_all(&clm->inflight, &requests);
	while ((request = TAILQ_FIRST(&requests)) != NULL) {
		clm_cancel(request);
		if (clm->phase != PHASE_OWNED) {
			clm_enqueue(&clm->pending, request);
			continue;
		}
		/* No record: the claimant has reported NOT_RUN meanwhile. */
		if (g_hash_table_contains(clm->records, request->key))
			clm_evaluate(clm, request, now_us);
		else
			clm_answer(clm, request, CLM_DOWN);
	}
}

static void
write_applied(struct clm *clm, uint64_t version, int64_t now_us)
{
	clm->version = version;
	g_free(clm->owner);
	clm->owner = g_strdup(clm->releasing ? "" : clm->self);
	mark_written(clm);
	clm->lease_until_us = clm->sent_us + CLM_LEASE_MS * 1000;
	grant_written(clm, now_us);
	if (!clm->releasing)
		return;
	clm->releasing = false;
	clm_answer_all(clm, &clm->pending, CLM_MOVED);
	clm_answer_all(clm, &clm->waiting, CLM_MOVED);
	clm_step_down(clm, now_us);
}

void
clm_write_done(struct clm *clm, enum clm_write_result result, uint64_t version,
    int64_t now_us)
{
	clm->writing = false;
	if (result == CLM_WRITE_APPLIED)
		write_applied(clm, version, now_us);
	else
		clm_step_down(clm, now_us);
}
