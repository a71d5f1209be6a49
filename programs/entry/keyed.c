/* Keyed requests: claimed before they are sent, their outcome recorded. */

#include <string.h>

#include "entry/request.h"

/* For the claim, or for the outcome of another try with the same key. */
#define CLAIM_MOST_MS 10000

void
keyed_init(struct request *r, const char *key)
{
	bool model = r->model[0] != '\0';

	r->key = g_strdup_printf("%s/%s%s/%s", r->team,
	    model ? "model:" : "service:", model ? r->model : r->service, key);
	r->asker = g_strdup_printf("%s/%s", r->entry->proc.node.id, r->id);
}

/* The key was granted, or why not. */
static void
on_claim(enum clm_result result, const struct clm_outcome *outcome, void *ctx)
{
	struct request *r = ctx;

	r->claim = NULL;
	switch (result) {
	case CLM_GRANTED:
		err_set(&r->last, ERR_DEADLINE, VERDICT_NOT_RUN,
		    "the deadline passed while the key was claimed");
		request_take(r, ATT_CLAIMED);
		return;
	case CLM_RECORDED:
		r->recorded = outcome;
		request_take(r, ATT_DONE);
		return;
	default:
		clm_error(result, &r->last);
		request_take(
		    r, result == CLM_IN_DOUBT ? ATT_LOST : ATT_REFUSED);
		return;
	}
}

void
keyed_claim(void *ctx)
{
	struct request *r = ctx;
	int64_t now_us = clk_now_us(clk_system());
	struct claim_wish wish = {
		.key = r->key,
		.asker = r->asker,
		.keep_ms = (unsigned int)MAX(request_left_ms(r), 0),
		.until_us =
		    MIN(r->deadline_us, now_us + CLAIM_MOST_MS * 1000LL),
	};
	struct digest_stream *body = digest_stream_new();

	digest_stream_add(body, r->method, strlen(r->method) + 1);
	digest_stream_add(body, r->path, strlen(r->path) + 1);
	if (r->body != NULL)
		digest_stream_add(body, g_bytes_get_data(r->body, NULL),
		    g_bytes_get_size(r->body));
	digest_stream_end(body, &wish.body);
	r->claim = claim_start(r->entry, &wish, on_claim, r);
}

void
keyed_detach(void *ctx)
{
	request_count(ctx, "request_detached");
}

static bool
is_short_text(const GByteArray *bytes)
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
		claim_drop(r->claim);
	r->claim = NULL;
	if (r->answered) {
		if (!r->begun && is_short_text(r->held))
			answer = g_strndup(
			    (const char *)r->held->data, r->held->len);
		outcome = (struct clm_outcome){
			.verdict = VERDICT_RAN,
			.status = (unsigned int)r->head.status,
			.type = r->type,
			.answer = answer,
		};
		if (r->hash != NULL)
			digest_stream_end(
			    g_steal_pointer(&r->hash), &outcome.digest);
	} else if (r->att.may_have_run || r->begun) {
		outcome.verdict = VERDICT_MAY_HAVE_RUN;
	}
	claim_settle(r->entry, r->key, r->asker, &outcome);
	g_free(answer);
}
