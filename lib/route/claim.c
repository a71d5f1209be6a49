/* One bucket of claims: answers to requests, and scheduling of writes. */

#include <string.h>

#include "route/claim_internal.h"

#define SETTLES_MAX 4096 /* queued while the API is down; drops the oldest */
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
clm_enqueue(struct clm_requests *list, struct clm_request *ask)
{
	g_assert(ask->list == NULL);
	TAILQ_INSERT_TAIL(list, ask, link);
	ask->list = list;
}

void
clm_cancel(struct clm_request *ask)
{
	if (ask->list == NULL)
		return;
	TAILQ_REMOVE(ask->list, ask, link);
	ask->list = NULL;
}

void
clm_move_all(struct clm_requests *from, struct clm_requests *to)
{
	struct clm_request *ask;

	while ((ask = TAILQ_FIRST(from)) != NULL) {
		clm_cancel(ask);
		clm_enqueue(to, ask);
	}
}

void
clm_answer(struct clm *clm, struct clm_request *ask, enum clm_result result)
{
	clm_cancel(ask);
	clm->stats.granted += result == CLM_GRANTED ? 1 : 0;
	clm->ops->answer(
	    ask, result, NULL, clm->owner == NULL ? "" : clm->owner, clm->ctx);
}

void
clm_answer_all(
    struct clm *clm, struct clm_requests *list, enum clm_result result)
{
	struct clm_request *ask;

	while ((ask = TAILQ_FIRST(list)) != NULL)
		clm_answer(clm, ask, result);
}

static void
answer_with_outcome(
    struct clm *clm, struct clm_request *ask, const struct clm_record *record)
{
	const struct clm_outcome outcome = {
		.verdict = VERDICT_RAN,
		.status = record->status,
		.type = record->type,
		.answer = record->answer,
		.digest = record->digest,
	};

	clm_cancel(ask);
	clm->ops->answer(ask, CLM_RECORDED, &outcome, "", clm->ctx);
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
clm_free_settle(struct clm *clm, struct settle *s)
{
	TAILQ_REMOVE(&clm->settles, s, link);
	clm->nsettles--;
	g_free(s->key);
	g_free(s->asker);
	g_free(s->type);
	g_free(s->answer);
	g_free(s);
}

static void
add_settle(struct clm *clm, const char *key, const char *asker,
    const struct clm_outcome *outcome)
{
	struct settle *s = g_new0(struct settle, 1);

	if (clm->nsettles >= SETTLES_MAX)
		clm_free_settle(clm, TAILQ_FIRST(&clm->settles));
	s->key = g_strdup(key);
	s->asker = g_strdup(asker);
	s->type = g_strdup(outcome->type);
	s->answer = g_strdup(outcome->answer);
	s->outcome = *outcome;
	s->outcome.type = s->type;
	s->outcome.answer = s->answer;
	TAILQ_INSERT_TAIL(&clm->settles, s, link);
	clm->nsettles++;
}

/* A record in state CLM_RAN is final. Only its claimant changes a record. */
static void
apply(struct clm *clm, const struct settle *s)
{
	struct clm_record *record = g_hash_table_lookup(clm->records, s->key);

	if (record == NULL || record->state == CLM_RAN ||
	    strcmp(record->asker, s->asker) != 0)
		return;
	if (s->outcome.verdict == VERDICT_NOT_RUN)
		g_hash_table_remove(clm->records, s->key);
	else
		clm_record_settle(record, &s->outcome);
}

static void
add_outcome(struct clm *clm, const char *key, const char *asker,
    const struct clm_outcome *outcome, int64_t now_us)
{
	add_settle(clm, key, asker, outcome);
	if (clm->phase != PHASE_OWNED)
		return;
	apply(clm, TAILQ_LAST(&clm->settles, settles));
	clm_schedule_write(clm, now_us + CLM_OUTCOME_DELAY_MS * 1000);
}

/* Answers CLM_DOWN, hence NOT_RUN, although the claim may be stored, or be
 * stored later: queues its removal. */
void
clm_refuse_unavailable(struct clm *clm, struct clm_request *ask, int64_t now_us)
{
	const struct clm_outcome nothing = { .verdict = VERDICT_NOT_RUN };

	if (ask->maybe_written)
		add_outcome(clm, ask->key, ask->claimant, &nothing, now_us);
	clm_answer(clm, ask, CLM_DOWN);
}

void
clm_apply_all(struct clm *clm)
{
	const struct settle *s;

	TAILQ_FOREACH (s, &clm->settles, link)
		apply(clm, s);
}

/* ------------------------------------------------------------------ */
/* Answers to requests                                                 */
/* ------------------------------------------------------------------ */

static bool
asker_is_live(const struct clm *clm, const char *asker)
{
	char entry[CLM_CLAIMANT_MAX + 1];
	size_t n = strcspn(asker, "/");

	g_strlcpy(entry, asker, MIN(n + 1, sizeof(entry)));
	return clm->ops->is_live(entry, clm->ctx);
}

/* The record is of another claimant and has no outcome. */
static void
evaluate_other(struct clm *clm, struct clm_request *ask,
    const struct clm_record *record, int64_t now_us)
{
	/* Without the lease another owner may have changed the object. */
	if (now_us >= clm->lease_until_us && !clm->writing && !ask->reread) {
		ask->reread = true;
		clm_enqueue(&clm->pending, ask);
		clm_step_down(clm, now_us);
		return;
	}
	if (record->state == CLM_RUNNING && ask->until_us > now_us &&
	    asker_is_live(clm, record->asker))
		clm_enqueue(&clm->waiting, ask);
	else
		clm_answer(clm, ask, CLM_IN_DOUBT);
}

/*
 * The record is of the same claimant. Grants the claim if it is confirmed in
 * the object and the lease is valid. Otherwise a write decides: an owner that
 * was paused beyond its lease may have been replaced, and then its write is
 * refused.
 */
static void
evaluate_own(struct clm *clm, struct clm_request *ask,
    const struct clm_record *record, int64_t now_us)
{
	if (record->state == CLM_UNSURE) {
		clm_answer(clm, ask, CLM_IN_DOUBT);
	} else if (record->written && now_us < clm->lease_until_us) {
		clm_answer(clm, ask, CLM_GRANTED);
	} else if (clm->writing && !record->written) {
		clm_enqueue(&clm->inflight, ask);
	} else {
		clm_enqueue(&clm->pending, ask);
		clm_schedule_write(clm, now_us);
	}
}

void
clm_evaluate(struct clm *clm, struct clm_request *ask, int64_t now_us)
{
	const struct clm_record *record =
	    g_hash_table_lookup(clm->records, ask->key);

	if (record == NULL) {
		clm_enqueue(&clm->pending, ask);
		clm_schedule_write(clm, now_us + CLM_BATCH_MS * 1000);
	} else if (!digest_equal(&record->body, &ask->body)) {
		clm_answer(clm, ask, CLM_OTHER_BODY);
	} else if (record->state == CLM_RAN) {
		answer_with_outcome(clm, ask, record);
	} else if (strcmp(record->asker, ask->claimant) == 0) {
		evaluate_own(clm, ask, record, now_us);
	} else {
		evaluate_other(clm, ask, record, now_us);
	}
}

void
clm_evaluate_all(struct clm *clm, struct clm_requests *list, int64_t now_us)
{
	struct clm_requests asks = TAILQ_HEAD_INITIALIZER(asks);
	struct clm_request *ask;

	clm_move_all(list, &asks);
	while ((ask = TAILQ_FIRST(&asks)) != NULL) {
		clm_cancel(ask);
		if (clm->phase == PHASE_OWNED)
			clm_evaluate(clm, ask, now_us);
		else
			clm_enqueue(&clm->pending, ask);
	}
}

/* ------------------------------------------------------------------ */
/* Events                                                              */
/* ------------------------------------------------------------------ */

struct clm *
clm_new(const char *self, struct clm_write_limit *pace,
    const struct clm_ops *ops, void *ctx)
{
	struct clm *clm = g_new0(struct clm, 1);

	clm->self = g_strdup(self);
	clm->pace = pace;
	clm->ops = ops;
	clm->ctx = ctx;
	clm->records = clm_records_new();
	clm->due_us = NEVER;
	TAILQ_INIT(&clm->pending);
	TAILQ_INIT(&clm->inflight);
	TAILQ_INIT(&clm->waiting);
	TAILQ_INIT(&clm->settles);
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
	while (!TAILQ_EMPTY(&clm->settles))
		clm_free_settle(clm, TAILQ_FIRST(&clm->settles));
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
clm_request(struct clm *clm, struct clm_request *ask, int64_t now_us)
{
	ask->maybe_written = false;
	ask->reread = false;
	if (!is_valid_text(ask->key, CLM_KEY_MAX) ||
	    !is_valid_text(ask->claimant, CLM_CLAIMANT_MAX)) {
		clm_answer(clm, ask, CLM_BAD_KEY);
		return;
	}
	switch (clm->phase) {
	case PHASE_OWNED:
		clm_evaluate(clm, ask, now_us);
		return;
	case PHASE_READING:
		clm_enqueue(&clm->pending, ask);
		return;
	case PHASE_NOT_OWNED:
		if (now_us < clm->seen_us + TAKE_OVER_US &&
		    clm->ops->is_live(clm->owner, clm->ctx)) {
			clm_answer(clm, ask, CLM_MOVED);
			return;
		}
		break;
	case PHASE_IDLE:
		break;
	}
	clm_enqueue(&clm->pending, ask);
	clm_start_read(clm, now_us);
}

void
clm_settle(struct clm *clm, const char *key, const char *asker,
    const struct clm_outcome *outcome, int64_t now_us)
{
	add_outcome(clm, key, asker, outcome, now_us);
	switch (clm->phase) {
	case PHASE_OWNED:
		clm_evaluate_all(clm, &clm->waiting, now_us);
		return;
	case PHASE_READING:
		return;
	case PHASE_NOT_OWNED:
		clm_forward_settles(clm);
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
	struct clm_request *ask, *next;

	for (ask = TAILQ_FIRST(list); ask != NULL; ask = next) {
		next = TAILQ_NEXT(ask, link);
		if (ask->until_us > now_us)
			continue;
		if (claimed)
			clm_answer(clm, ask, CLM_IN_DOUBT);
		else
			clm_refuse_unavailable(clm, ask, now_us);
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
	if (clm->phase == PHASE_IDLE && !TAILQ_EMPTY(&clm->settles) &&
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
	out->unwritten = clm->nsettles;
	out->owned = clm->phase == PHASE_OWNED;
}
