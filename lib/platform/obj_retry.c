/*
 * Retry decisions of the object API client: when to retry, and how to determine
 * the outcome of a write whose response was lost. Pure functions of state,
 * event and clock.
 *
 * The response can be lost after the write was applied. A client that merely
 * repeats a conditional write then gets a conflict with its own write and
 * concludes that another writer won. Therefore each write carries an operation
 * id, and the client reads the object back:
 *
 *  - the object has this operation id: the write was applied;
 *  - the object is still at `if_version`: no copy has been applied yet, and
 *    sending another copy is safe, because the condition lets only one of the
 *    copies succeed, even if an earlier one arrives late;
 *  - the object is at `if_version` + 1 with another id: the only version that
 *    this write could create is taken, so the write will never be applied;
 *  - any other version: the write may have been applied and overwritten since.
 */

#include <string.h>

#include "platform/platform_internal.h"

unsigned int
obj_backoff_ms(struct rng *rng, unsigned int failures)
{
	unsigned int limit = OBJ_BACKOFF_FIRST_MS;

	for (; failures > 1 && limit < OBJ_BACKOFF_MAX_MS; failures--)
		limit *= 2;
	/* Full jitter spreads the retries of callers that failed together. */
	return (unsigned int)rng_below(rng, MIN(limit, OBJ_BACKOFF_MAX_MS) + 1);
}

unsigned int
obj_attempt_ms(const struct obj_budget *budget, int64_t now_ms)
{
	int64_t left = budget->deadline_ms - now_ms;

	if (left < OBJ_ATTEMPT_MIN_MS)
		return 0;
	return (unsigned int)CLAMP(
	    left / 2, OBJ_ATTEMPT_MIN_MS, OBJ_ATTEMPT_MAX_MS);
}

bool
obj_retry_wait(struct obj_budget *budget, int64_t now_ms, struct rng *rng,
    unsigned int *wait_ms)
{
	int64_t left = budget->deadline_ms - now_ms;

	if (left < OBJ_ATTEMPT_MIN_MS)
		return false;
	budget->failures++;
	/* Leave at least half of the remaining time for the next attempt. */
	*wait_ms = MIN(obj_backoff_ms(rng, budget->failures),
	    (unsigned int)MIN(left / 2, OBJ_BACKOFF_MAX_MS));
	return true;
}

static struct obj_action
finish_ok(uint64_t version, bool settled)
{
	return (struct obj_action){
		.step = OBJ_DO_END,
		.version = version,
		.settled = settled,
	};
}

static struct obj_action
finish_timeout(const struct obj_write *write)
{
	struct obj_action action = { .step = OBJ_DO_END };

	err_set(&action.err, ERR_UNAVAILABLE,
	    write->in_doubt ? VERDICT_MAY_HAVE_RUN : VERDICT_NOT_RUN,
	    write->in_doubt
		? "the outcome of a write is unknown at the deadline"
		: "a write could not be sent before the deadline");
	return action;
}

static struct obj_action
attempt(const struct obj_write *write, enum obj_step step, int64_t now_ms)
{
	unsigned int ms = obj_attempt_ms(&write->budget, now_ms);

	if (ms == 0)
		return finish_timeout(write);
	return (struct obj_action){ .step = step, .ms = ms };
}

static struct obj_action
wait_for_retry(struct obj_write *write, int64_t now_ms, struct rng *rng)
{
	struct obj_action action = { .step = OBJ_DO_WAIT };

	if (!obj_retry_wait(&write->budget, now_ms, rng, &action.ms))
		return finish_timeout(write);
	return action;
}

/* Another writer changed the object, which is no longer at `if_version`. */
static struct obj_action
finish_conflict(const struct obj_write *write, uint64_t version)
{
	struct obj_action action = { .step = OBJ_DO_END };
	bool excluded = !write->in_doubt ||
	    (write->conditional && version == write->if_version + 1);

	err_set(&action.err, ERR_CONFLICT,
	    excluded ? VERDICT_NOT_RUN : VERDICT_MAY_HAVE_RUN,
	    "the object is at version %" G_GUINT64_FORMAT, version);
	action.settled = write->in_doubt && excluded;
	return action;
}

static bool
is_own_write(const struct obj_write *write, const struct obj_event *event)
{
	return event->version != 0 && g_strcmp0(event->op, write->op) == 0;
}

static struct obj_action
after_read_back(
    struct obj_write *write, const struct obj_event *event, int64_t now_ms)
{
	if (is_own_write(write, event))
		return finish_ok(event->version, true);
	if (write->conditional && event->version != write->if_version)
		return finish_conflict(write, event->version);
	return attempt(write, OBJ_DO_WRITE, now_ms);
}

static struct obj_action
finish_rejected(const struct obj_write *write, const struct err *err)
{
	struct obj_action action = { .step = OBJ_DO_END, .err = *err };

	action.err.verdict =
	    write->in_doubt ? VERDICT_MAY_HAVE_RUN : VERDICT_NOT_RUN;
	return action;
}

struct obj_action
obj_write_next(struct obj_write *write, const struct obj_event *event,
    int64_t now_ms, struct rng *rng)
{
	switch (event->kind) {
	case OBJ_BEGIN:
		return attempt(write, OBJ_DO_WRITE, now_ms);
	case OBJ_WRITTEN:
		return finish_ok(event->version, false);
	case OBJ_CONFLICT:
		if (is_own_write(write, event))
			return finish_ok(event->version, true);
		return finish_conflict(write, event->version);
	case OBJ_NO_RESPONSE:
		write->in_doubt = true;
		return wait_for_retry(write, now_ms, rng);
	case OBJ_NOT_SENT:
	case OBJ_READ_FAILED:
		return wait_for_retry(write, now_ms, rng);
	case OBJ_WAITED:
		return attempt(write,
		    write->in_doubt ? OBJ_DO_READ : OBJ_DO_WRITE, now_ms);
	case OBJ_READ_BACK:
		return after_read_back(write, event, now_ms);
	case OBJ_REJECTED:
		return finish_rejected(write, event->err);
	}
	g_assert_not_reached();
}
