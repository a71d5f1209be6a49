/*
 * The claim of one request, asked of the entry that owns its bucket. The ask
 * is repeated under the same name until it is answered: an answer may be
 * lost, and the owner may change.
 */

#include <string.h>

#include "entry/entry.h"

#define ASK_AGAIN_MS 300
#define MOVED_FIRST_MS 5 /* before asking the next owner; doubled each time */
/* The owner stops waiting so much before the asker, so that "in doubt" is
 * heard and not guessed. */
#define OWNER_SOONER_MS 100

struct claim {
	struct entry *entry;
	uint64_t number;
	char *key;
	char *asker;
	struct digest body;
	unsigned int keep_ms;
	int64_t until_us;
	char owner[RT_NAME_MAX + 1]; /* as told by another; "": by the view */
	unsigned int moves;
	bool followed; /* `owner` was just told and not yet asked */
	guint timer;
	claim_cb *done;
	void *ctx;

	/* The answer, until it is handed over from the loop. */
	bool answered;
	enum clm_result result;
	struct clm_outcome outcome;
	char *type;
	char *answer;
};

static int64_t
left_ms(const struct claim *c)
{
	return (c->until_us - clk_now_us(clk_system())) / 1000;
}

static const char *
owner_of(struct entry *entry, const char *key)
{
	return claims_owner(entry, clm_bucket_of(key));
}

void
claim_drop(struct claim *c)
{
	if (c->timer != 0)
		g_source_remove(c->timer);
	g_hash_table_remove(c->entry->asking, &c->number);
	g_free(c->key);
	g_free(c->asker);
	g_free(c->type);
	g_free(c->answer);
	g_free(c);
}

static gboolean
hand_over(gpointer data)
{
	struct claim *c = data;

	c->timer = 0;
	c->done(c->result, &c->outcome, c->ctx);
	claim_drop(c);
	return G_SOURCE_REMOVE;
}

static void
end_with(struct claim *c, enum clm_result result)
{
	if (c->timer != 0)
		g_source_remove(c->timer);
	c->answered = true;
	c->result = result;
	c->timer = g_idle_add_full(G_PRIORITY_DEFAULT, hand_over, c, NULL);
}

/* ------------------------------------------------------------------ */
/* Asking                                                              */
/* ------------------------------------------------------------------ */

static gboolean on_again(gpointer data);

static void
ask(struct claim *c)
{
	const char *self = c->entry->proc.node.id;
	const char *owner =
	    c->owner[0] != '\0' ? c->owner : owner_of(c->entry, c->key);
	const struct rt_claim message = {
		.number = c->number,
		.key = slice_str(c->key),
		.claimant = slice_str(c->asker),
		.body = c->body,
		.keep_ms = c->keep_ms,
		.wait_ms = (uint64_t)MAX(left_ms(c) - OWNER_SOONER_MS, 0),
	};

	c->timer = g_timeout_add(ASK_AGAIN_MS, on_again, c);
	if (strcmp(owner, self) == 0)
		claims_ask(c->entry, self, &message);
	else
		peers_send(c->entry, owner, &rt_claim_desc, &message);
}

static gboolean
on_again(gpointer data)
{
	struct claim *c = data;

	c->timer = 0;
	if (left_ms(c) <= 0) {
		end_with(c, CLM_DOWN);
		return G_SOURCE_REMOVE;
	}
	if (!c->followed)
		c->owner[0] = '\0'; /* no answer from it: by the view again */
	c->followed = false;
	ask(c);
	return G_SOURCE_REMOVE;
}

struct claim *
claim_start(struct entry *entry, const struct claim_wish *wish, claim_cb *done,
    void *ctx)
{
	struct claim *c = g_new0(struct claim, 1);

	if (entry->asking == NULL)
		entry->asking = g_hash_table_new(g_int64_hash, g_int64_equal);
	c->entry = entry;
	c->number = ++entry->next_claim;
	c->key = g_strdup(wish->key);
	c->asker = g_strdup(wish->asker);
	c->body = wish->body;
	c->keep_ms = wish->keep_ms;
	c->until_us = wish->until_us;
	c->done = done;
	c->ctx = ctx;
	g_hash_table_insert(entry->asking, &c->number, c);
	ask(c);
	return c;
}

/* ------------------------------------------------------------------ */
/* Answers                                                             */
/* ------------------------------------------------------------------ */

static void
follow(struct claim *c, struct slice owner)
{
	char *id = slice_dup(owner);

	g_strlcpy(c->owner, id, sizeof(c->owner));
	g_free(id);
	g_source_remove(c->timer);
	c->timer = g_timeout_add(
	    MIN(MOVED_FIRST_MS << MIN(c->moves, 8), ASK_AGAIN_MS), on_again, c);
	c->moves++;
	c->followed = true;
}

void
claim_take_answer(struct entry *entry, const struct rt_claim_answer *answer)
{
	struct claim *c = entry->asking == NULL
	    ? NULL
	    : g_hash_table_lookup(entry->asking, &answer->number);

	/* None: a second answer, or one to a request that has ended; its
	 * claim was settled then. */
	if (c == NULL || c->answered)
		return;
	if (answer->result == CLM_MOVED) {
		follow(c, answer->owner);
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
	end_with(c, (enum clm_result)answer->result);
}

void
claim_message(struct entry *entry, const struct msg *m)
{
	struct rt_claim_answer answer;

	if (msg_read(m, &rt_claim_answer_desc, &answer, NULL))
		claim_take_answer(entry, &answer);
}

/* ------------------------------------------------------------------ */
/* Outcomes                                                            */
/* ------------------------------------------------------------------ */

/*
 * To the owner by the view, which passes it on where that has changed. With
 * no way to it, this entry acts for the bucket: if the owner is dead, it
 * takes over.
 */
void
claim_settle(struct entry *entry, const char *key, const char *asker,
    const struct clm_outcome *outcome)
{
	const char *owner = owner_of(entry, key);
	const struct rt_claim_settle settle = {
		.key = slice_str(key),
		.claimant = slice_str(asker),
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
