/*
 * The claim of one request, requested from the gateway that owns its bucket.
 * The claim request is repeated with the same claimant and number until it is
 * answered, because the answer may be lost and the owner may change.
 */

#include <string.h>

#include "entry/entry.h"

#define RETRY_MS 300
#define MOVED_BACKOFF_MS 5 /* delay before asking a new owner; doubles */
/* The owner stops waiting this long before the claimant does, so that the
 * claimant receives "in doubt" and need not assume it. */
#define OWNER_MARGIN_MS 100

struct claim {
	struct entry *entry;
	uint64_t number;
	char *key;
	char *claimant;
	struct digest body;
	unsigned int keep_ms;
	int64_t deadline_us;
	/* As given by CLM_MOVED; "": the owner by the membership here. */
	char owner[RT_NAME_MAX + 1];
	unsigned int redirects;
	bool redirected; /* `owner` is new and was not asked yet */
	guint timer;
	claim_cb *done;
	void *ctx;

	/* The answer, until it is delivered from the main loop. */
	bool answered;
	enum clm_result result;
	struct clm_outcome outcome;
	char *type;
	char *answer;
};

static int64_t
remaining_ms(const struct claim *c)
{
	return (c->deadline_us - clk_now_us(clk_system())) / 1000;
}

static const char *
owner_of(struct entry *entry, const char *key)
{
	return claims_owner(entry, clm_bucket_of(key));
}

void
claim_cancel(struct claim *c)
{
	if (c->timer != 0)
		g_source_remove(c->timer);
	g_hash_table_remove(c->entry->pending_claims, &c->number);
	g_free(c->key);
	g_free(c->claimant);
	g_free(c->type);
	g_free(c->answer);
	g_free(c);
}

static gboolean
deliver(gpointer data)
{
	struct claim *c = data;

	c->timer = 0;
	c->done(c->result, &c->outcome, c->ctx);
	claim_cancel(c);
	return G_SOURCE_REMOVE;
}

static void
finish(struct claim *c, enum clm_result result)
{
	if (c->timer != 0)
		g_source_remove(c->timer);
	c->answered = true;
	c->result = result;
	c->timer = g_idle_add_full(G_PRIORITY_DEFAULT, deliver, c, NULL);
}

/* ------------------------------------------------------------------ */
/* Claim requests                                                      */
/* ------------------------------------------------------------------ */

static gboolean on_retry(gpointer data);

static void
send_request(struct claim *c)
{
	const char *self = c->entry->proc.node.id;
	const char *owner =
	    c->owner[0] != '\0' ? c->owner : owner_of(c->entry, c->key);
	const struct rt_claim message = {
		.number = c->number,
		.key = slice_str(c->key),
		.claimant = slice_str(c->claimant),
		.body = c->body,
		.keep_ms = c->keep_ms,
		.wait_ms = (uint64_t)MAX(remaining_ms(c) - OWNER_MARGIN_MS, 0),
	};

	c->timer = g_timeout_add(RETRY_MS, on_retry, c);
	if (strcmp(owner, self) == 0)
		claims_request(c->entry, self, &message);
	else
		peers_send(c->entry, owner, &rt_claim_desc, &message);
}

static gboolean
on_retry(gpointer data)
{
	struct claim *c = data;

	c->timer = 0;
	if (remaining_ms(c) <= 0) {
		finish(c, CLM_DOWN);
		return G_SOURCE_REMOVE;
	}
	if (!c->redirected)
		c->owner[0] = '\0'; /* no answer: the owner by the membership */
	c->redirected = false;
	send_request(c);
	return G_SOURCE_REMOVE;
}

struct claim *
claim_start(struct entry *entry, const struct claim_params *params,
    claim_cb *done, void *ctx)
{
	struct claim *c = g_new0(struct claim, 1);

	if (entry->pending_claims == NULL)
		entry->pending_claims =
		    g_hash_table_new(g_int64_hash, g_int64_equal);
	c->entry = entry;
	c->number = ++entry->next_claim;
	c->key = g_strdup(params->key);
	c->claimant = g_strdup(params->claimant);
	c->body = params->body;
	c->keep_ms = params->keep_ms;
	c->deadline_us = params->until_us;
	c->done = done;
	c->ctx = ctx;
	g_hash_table_insert(entry->pending_claims, &c->number, c);
	send_request(c);
	return c;
}

/* ------------------------------------------------------------------ */
/* Answers                                                             */
/* ------------------------------------------------------------------ */

static void
follow_redirect(struct claim *c, struct slice owner)
{
	char *id = slice_dup(owner);

	g_strlcpy(c->owner, id, sizeof(c->owner));
	g_free(id);
	g_source_remove(c->timer);
	c->timer = g_timeout_add(
	    MIN(MOVED_BACKOFF_MS << MIN(c->redirects, 8), RETRY_MS), on_retry,
	    c);
	c->redirects++;
	c->redirected = true;
}

void
claim_answered(struct entry *entry, const struct rt_claim_answer *answer)
{
	struct claim *c = entry->pending_claims == NULL
	    ? NULL
	    : g_hash_table_lookup(entry->pending_claims, &answer->number);

	/* Not found: a duplicate answer, or the request has ended and its
	 * claim was settled then. */
	if (c == NULL || c->answered)
		return;
	if (answer->result == CLM_MOVED) {
		follow_redirect(c, answer->owner);
		return;
	}
	c->type = slice_dup(answer->type);
	if (answer->has_answer)
		c->answer = slice_dup(answer->answer);
	c->outcome = (struct clm_outcome){
		.verdict = VERDICT_RAN,
		.status = (unsigned int)answer->status,
		.type = c->type,
		.answer = c->answer,
		.digest = answer->digest,
	};
	finish(c, (enum clm_result)answer->result);
}

void
claim_answer_message(struct entry *entry, const struct msg *m)
{
	struct rt_claim_answer answer;

	if (msg_read(m, &rt_claim_answer_desc, &answer, NULL))
		claim_answered(entry, &answer);
}

/* ------------------------------------------------------------------ */
/* Outcomes                                                            */
/* ------------------------------------------------------------------ */

/*
 * Sends the outcome to the owner by the membership here, which forwards it if
 * the owner has changed. Without a connection to the owner this gateway settles
 * the bucket itself: if the owner is dead, it takes over.
 */
void
claim_settle(struct entry *entry, const char *key, const char *claimant,
    const struct clm_outcome *outcome)
{
	const char *owner = owner_of(entry, key);
	const struct rt_claim_settle settle = {
		.key = slice_str(key),
		.claimant = slice_str(claimant),
		.verdict = outcome->verdict,
		.status = outcome->status,
		.type = slice_str(outcome->type),
		.answer = slice_str(outcome->answer),
		.has_answer = outcome->answer != NULL,
		.digest = outcome->digest,
	};

	if (strcmp(owner, entry->proc.node.id) == 0 ||
	    !peers_send(entry, owner, &rt_claim_settle_desc, &settle))
		claims_settle(entry, &settle);
}
