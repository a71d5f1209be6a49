/*
 * Buckets of claims at this gateway: the I/O of clm_*. A bucket is stored in
 * the object `claims/NN`. Claim requests come from callers' requests here and
 * from other gateways; an answer carries the number of its claim request.
 */

#include <string.h>

#include "entry/entry.h"

#define KEY_SIZE 32
#define READ_DEADLINE_MS 1000
/* Shorter than the lease, so that a successful write can still grant. */
#define WRITE_DEADLINE_MS 1000

struct bucket {
	struct claims *claims;
	unsigned int number;
	struct clm *clm; /* NULL: not used yet */
	char op[OBJ_OP_MAX];
};

struct claims {
	struct entry *entry;
	struct obj *obj;
	struct clm_write_limit write_limit;
	struct bucket bucket[CLM_BUCKETS];
	GHashTable *requests; /* "GATEWAY/NUMBER" -> struct claim_request */
	unsigned int first_ticked; /* where on_tick starts; rotates */
	guint timer;
	guint members_idle;
};

/* A claim request that the bucket has not answered. */
struct claim_request {
	/* First: the answer callback casts its address. */
	struct clm_request base;
	struct claims *claims;
	char *id;
	char *key;
	char *claimant;
	char from[RT_NAME_MAX + 1];
	uint64_t number;
};

static int64_t
now_us(void)
{
	return clk_now_us(clk_system());
}

static void
count(struct entry *entry, const char *name)
{
	ctr_add(ctr_get(entry->proc.counters, name), 1);
}

/* ------------------------------------------------------------------ */
/* Answers                                                             */
/* ------------------------------------------------------------------ */

static void
free_request(gpointer data)
{
	struct claim_request *request = data;

	clm_cancel(&request->base);
	g_free(request->id);
	g_free(request->key);
	g_free(request->claimant);
	g_free(request);
}

static const char *const result_counters[CLM_RESULTS] = {
	[CLM_GRANTED] = "claims_granted",
	[CLM_RECORDED] = "claims_recorded",
	[CLM_IN_DOUBT] = "claims_in_doubt",
	[CLM_OTHER_BODY] = "claims_other_body",
	[CLM_FULL] = "claims_full",
	[CLM_DOWN] = "claims_down",
	[CLM_MOVED] = "claims_moved",
	[CLM_BAD_KEY] = "claims_bad_key",
};

static void
on_answer(struct clm_request *base, enum clm_result result,
    const struct clm_outcome *outcome, const char *owner, void *ctx)
{
	struct claim_request *request = (struct claim_request *)base;
	struct entry *entry = request->claims->entry;
	struct rt_claim_answer answer = {
		.number = request->number,
		.result = result,
		.owner = slice_str(owner),
	};

	count(entry, result_counters[result]);
	if (outcome != NULL) {
		answer.status = outcome->status;
		answer.type = slice_str(outcome->type);
		answer.answer = slice_str(outcome->answer);
		answer.has_answer = outcome->answer != NULL;
		answer.digest = outcome->digest;
	}
	if (strcmp(request->from, entry->proc.node.id) == 0)
		claim_answered(entry, &answer);
	else
		peers_send(
		    entry, request->from, &rt_claim_answer_desc, &answer);
	g_hash_table_remove(request->claims->requests, request->id);
}

/* ------------------------------------------------------------------ */
/* The object                                                          */
/* ------------------------------------------------------------------ */

static void
object_key(char out[KEY_SIZE], const struct bucket *b)
{
	g_snprintf(out, KEY_SIZE, "claims/%02u", b->number);
}

static void
on_read_done(const struct obj_object *object, const struct err *err, void *ctx)
{
	struct bucket *b = ctx;

	if (err == NULL)
		clm_read_done(
		    b->clm, false, object->version, object->value, now_us());
	else
		clm_read_done(
		    b->clm, err->code != ERR_NOT_FOUND, 0, NULL, now_us());
}

static void
on_read(struct clm *clm, void *ctx)
{
	struct bucket *b = ctx;
	char key[KEY_SIZE];

	object_key(key, b);
	count(b->claims->entry, "claims_reads");
	obj_get(b->claims->obj, key, READ_DEADLINE_MS, on_read_done, b);
}

static void
on_write_done(uint64_t version, const struct obj_object *now,
    const struct err *err, void *ctx)
{
	struct bucket *b = ctx;
	enum clm_write_result end = CLM_WRITE_UNKNOWN;

	if (err == NULL)
		end = CLM_WRITE_APPLIED;
	else if (err->code == ERR_CONFLICT)
		end = CLM_WRITE_CONFLICT;
	clm_write_done(b->clm, end, version, now_us());
}

static void
on_write(struct clm *clm, const char *value, uint64_t if_version, void *ctx)
{
	struct bucket *b = ctx;
	char key[KEY_SIZE];
	const struct obj_put put = {
		.key = key,
		.op = b->op,
		.value = value,
		.conditional = true,
		.if_version = if_version,
		.deadline_ms = WRITE_DEADLINE_MS,
	};

	object_key(key, b);
	obj_new_op(b->claims->obj, b->claims->entry->proc.node.id, b->op);
	count(b->claims->entry, "claims_writes");
	obj_put(b->claims->obj, &put, on_write_done, b);
}

static bool
on_is_live(const char *id, void *ctx)
{
	struct entry *entry = ((struct bucket *)ctx)->claims->entry;
	const struct mem_member *member;

	if (strcmp(id, entry->proc.node.id) == 0)
		return true;
	member = agr_member(entry->proc.agr, id);
	/* A leaving gateway still completes its requests. */
	return member != NULL && member->state != MEM_DEAD;
}

static void
on_forward(const char *key, const char *claimant,
    const struct clm_outcome *outcome, const char *owner, void *ctx)
{
	struct entry *entry = ((struct bucket *)ctx)->claims->entry;
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

	/* If this is lost the claim has no outcome: in doubt, which is safe. */
	if (!peers_send(entry, owner, &rt_claim_settle_desc, &settle))
		count(entry, "claims_lost_outcomes");
}

static const struct clm_ops ops = {
	.read = on_read,
	.write = on_write,
	.answer = on_answer,
	.is_live = on_is_live,
	.forward = on_forward,
};

static struct bucket *
bucket_of(struct claims *claims, const char *key)
{
	struct bucket *b = &claims->bucket[clm_bucket_of(key)];

	if (b->clm == NULL)
		b->clm = clm_new(
		    claims->entry->proc.node.id, &claims->write_limit, &ops, b);
	return b;
}

/* ------------------------------------------------------------------ */
/* Claim requests and outcomes                                         */
/* ------------------------------------------------------------------ */

void
claims_request(
    struct entry *entry, const char *from, const struct rt_claim *claim)
{
	struct claims *claims = entry->claims;
	char *id =
	    g_strdup_printf("%s/%" G_GUINT64_FORMAT, from, claim->number);
	struct claim_request *request;

	if (g_hash_table_contains(claims->requests, id)) {
		g_free(id); /* a repeat; the first is still pending */
		return;
	}
	request = g_new0(struct claim_request, 1);
	request->claims = claims;
	request->id = id;
	request->key = slice_dup(claim->key);
	request->claimant = slice_dup(claim->claimant);
	g_strlcpy(request->from, from, sizeof(request->from));
	request->number = claim->number;
	request->base.key = request->key;
	request->base.claimant = request->claimant;
	request->base.body = claim->body;
	request->base.keep_ms = (unsigned int)claim->keep_ms;
	request->base.until_us = now_us() + (int64_t)claim->wait_ms * 1000;
	g_hash_table_insert(claims->requests, request->id, request);
	clm_request(
	    bucket_of(claims, request->key)->clm, &request->base, now_us());
}

void
claims_settle(struct entry *entry, const struct rt_claim_settle *settle)
{
	char *key = slice_dup(settle->key);
	char *claimant = slice_dup(settle->claimant);
	char *type = slice_dup(settle->type);
	char *answer = slice_dup(settle->answer);
	const struct clm_outcome outcome = {
		.verdict = (enum verdict)settle->verdict,
		.status = (unsigned int)settle->status,
		.type = type,
		.answer = settle->has_answer ? answer : NULL,
		.digest = settle->digest,
	};

	clm_settle(bucket_of(entry->claims, key)->clm, key, claimant, &outcome,
	    now_us());
	g_free(answer);
	g_free(type);
	g_free(claimant);
	g_free(key);
}

void
claims_message(struct entry *entry, const char *from, const struct msg *m)
{
	struct rt_claim claim;
	struct rt_claim_settle settle;

	if (m->type == RT_CLAIM && msg_read(m, &rt_claim_desc, &claim, NULL))
		claims_request(entry, from, &claim);
	else if (m->type == RT_CLAIM_SETTLE &&
	    msg_read(m, &rt_claim_settle_desc, &settle, NULL))
		claims_settle(entry, &settle);
}

/* ------------------------------------------------------------------ */
/* Owners                                                              */
/* ------------------------------------------------------------------ */

struct ranking {
	uint64_t seed;
	uint64_t best;
	const char *id;
};

static void
rank_member(const struct mem_member *member, void *ctx)
{
	struct ranking *r = ctx;
	uint64_t rank;

	if (member->node.kind != MEM_GATEWAY || member->state == MEM_DEAD ||
	    member->state == MEM_LEAVING)
		return;
	rank = hash64(r->seed, member->node.id, strlen(member->node.id));
	if (r->id != NULL && rank <= r->best)
		return;
	r->best = rank;
	r->id = member->node.id;
}

const char *
claims_owner(struct entry *entry, unsigned int bucket)
{
	struct ranking r = { .seed = bucket };

	agr_each_member(entry->proc.agr, rank_member, &r);
	return r.id == NULL ? entry->proc.node.id : r.id;
}

static void
release_buckets(struct claims *claims, bool all)
{
	struct entry *entry = claims->entry;
	unsigned int i;

	for (i = 0; i < CLM_BUCKETS; i++) {
		if (claims->bucket[i].clm == NULL)
			continue;
		if (all ||
		    strcmp(claims_owner(entry, i), entry->proc.node.id) != 0)
			clm_release(claims->bucket[i].clm, now_us());
	}
}

static gboolean
on_members_idle(gpointer data)
{
	struct claims *claims = data;

	claims->members_idle = 0;
	release_buckets(claims, false);
	return G_SOURCE_REMOVE;
}

/* The set of gateways changed. When a node starts, many changes arrive at
 * once: they are handled together when the main loop is idle. */
void
claims_members_changed(struct entry *entry)
{
	struct claims *claims = entry->claims;

	claims->write_limit.writes_s =
	    MAX(CLM_WRITES_S / MAX(entry->live_gateways, 1), 1);
	if (claims->members_idle == 0)
		claims->members_idle = g_idle_add(on_members_idle, claims);
}

static gboolean
is_from(gpointer key, gpointer value, gpointer data)
{
	return strcmp(((const struct claim_request *)value)->from, data) == 0;
}

void
claims_gateway_removed(struct entry *entry, const char *id)
{
	g_hash_table_foreach_remove(
	    entry->claims->requests, is_from, (gpointer)id);
}

void
claims_leave(struct entry *entry)
{
	release_buckets(entry->claims, true);
}

static gboolean
on_tick(gpointer data)
{
	struct claims *claims = data;
	unsigned int i, n;

	claims->first_ticked++;
	for (i = 0; i < CLM_BUCKETS; i++) {
		n = (claims->first_ticked + i) % CLM_BUCKETS;
		if (claims->bucket[n].clm != NULL)
			clm_tick(claims->bucket[n].clm, now_us());
	}
	return G_SOURCE_CONTINUE;
}

void
claims_open(struct entry *entry)
{
	struct claims *claims = g_new0(struct claims, 1);
	unsigned int i;

	claims->entry = entry;
	claims->obj = obj_new(
	    entry->proc.plat, cfg_str(entry->proc.cfg, "platform.objects"));
	claims->write_limit.writes_s = CLM_WRITES_S;
	claims->requests =
	    g_hash_table_new_full(g_str_hash, g_str_equal, NULL, free_request);
	for (i = 0; i < CLM_BUCKETS; i++) {
		claims->bucket[i].claims = claims;
		claims->bucket[i].number = i;
	}
	claims->timer = g_timeout_add(CLM_TICK_MS, on_tick, claims);
	entry->claims = claims;
}
