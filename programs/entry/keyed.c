/* Requests with an idempotency key: claimed before they are sent; their
 * outcome is recorded. */

#include <string.h>

#include "entry/request.h"

/* Limit on the wait for the claim, or for the outcome of an earlier request
 * with the same key. */
#define CLAIM_TIMEOUT_MS 10000

void
keyed_init(struct request *r, const char *key)
{
	bool model = r->model[0] != '\0';

	r->key = g_strdup_printf("%s/%s%s/%s", r->workspace,
	    model ? "model:" : "service:", model ? r->model : r->service, key);
	r->claimant = g_strdup_printf("%s/%s", r->entry->proc.node.id, r->id);
}

static void
on_claim(enum clm_result result, const struct clm_outcome *outcome, void *ctx)
{
	struct request *r = ctx;

	r->claim = NULL;
	switch (result) {
	case CLM_GRANTED:
		err_set(&r->last_err, ERR_DEADLINE, VERDICT_NOT_RUN,
		    "the deadline expired while the key was being claimed");
		request_step(r, ATT_CLAIMED);
		return;
	case CLM_RECORDED:
		r->recorded = outcome;
		request_step(r, ATT_DONE);
		return;
	default:
		clm_error(result, &r->last_err);
		request_step(
		    r, result == CLM_IN_DOUBT ? ATT_LOST : ATT_REFUSED);
		return;
	}
}

void
keyed_claim(void *ctx)
{
	struct request *r = ctx;
	int64_t now_us = clk_now_us(clk_system());
	struct claim_params params = {
		.key = r->key,
		.claimant = r->claimant,
		.keep_ms = (unsigned int)MAX(request_remaining_ms(r), 0),
		.until_us =
		    MIN(r->deadline_us, now_us + CLAIM_TIMEOUT_MS * 1000LL),
	};
	struct digest_stream *body = digest_stream_new();

	digest_stream_add(body, r->method, strlen(r->method) + 1);
	digest_stream_add(body, r->path, strlen(r->path) + 1);
	if (r->body != NULL)
		digest_stream_add(body, g_bytes_get_data(r->body, NULL),
		    g_bytes_get_size(r->body));
	digest_stream_end(body, &params.body);
	r->claim = claim_start(r->entry, &params, on_claim, r);
}

void
keyed_detach(void *ctx)
{
	request_count(ctx, "request_detached");
}

static bool
is_recordable(const GByteArray *bytes)
{
	return bytes->len <= CLM_ANSWER_MAX &&
	    g_utf8_validate((const char *)bytes->data, bytes->len, NULL);
}

void
keyed_settle(void *ctx)
{
	struct request *r = ctx;
	struct clm_outcome outcome = { .verdict = VERDICT_NOT_RUN };
	char *answer = NULL;

	if (r->claim != NULL)
		claim_cancel(r->claim);
	r->claim = NULL;
	if (r->complete) {
		if (!r->head_sent && is_recordable(r->buffer))
			answer = g_strndup(
			    (const char *)r->buffer->data, r->buffer->len);
		outcome = (struct clm_outcome){
			.verdict = VERDICT_RAN,
			.status = (unsigned int)r->head.status,
			.type = r->type,
			.answer = answer,
		};
		if (r->answer_hash != NULL)
			digest_stream_end(
			    g_steal_pointer(&r->answer_hash), &outcome.digest);
	} else if (r->att.may_have_run || r->head_sent) {
		outcome.verdict = VERDICT_MAY_HAVE_RUN;
	}
	claim_settle(r->entry, r->key, r->claimant, &outcome);
	g_free(answer);
}
