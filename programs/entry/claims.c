/*
 * Buckets of claims at this entry: the I/O behind clm_*. Objects
 * `claims/NN` hold them; asks come from requests here and from other
 * entries, and their answers go back by number.
 */

#include <string.h>

#include "entry/entry.h"

#define KEY_SIZE 32
#define READ_DEADLINE_MS 1000
/* Within the lease, so that a write that ends well can still grant. */
#define WRITE_DEADLINE_MS 1000

struct bucket {
	struct claims *claims;
	unsigned int number;
	struct clm *clm; /* NULL: never asked for */
	char op[OBJ_OP_MAX];
};

struct claims {
	struct entry *entry;
	struct obj *obj;
	struct clm_write_limit pace;
	struct bucket bucket[CLM_BUCKETS];
	GHashTable *asks; /* "ENTRY/NUMBER" -> struct ask */
	unsigned int first; /* bucket that is ticked first, in turns */
	guint timer;
	guint move_idle;
};

/* An ask that the bucket has not answered. */
struct ask {
	struct clm_request ask; /* first: clm hands back its address */
	struct claims *claims;
	char *id;
	char *key;
	char *asker;
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
free_ask(gpointer data)
{
	struct ask *ask = data;

	clm_cancel(&ask->ask);
	g_free(ask->id);
	g_free(ask->key);
	g_free(ask->asker);
	g_free(ask);
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
on_answer(struct clm_request *clm_request, enum clm_result result,
    const struct clm_outcome *outcome, const char *owner, void *ctx)
{
	struct ask *ask = (struct ask *)clm_request;
	struct entry *entry = ask->claims->entry;
	struct rt_claim_answer answer = {
		.number = ask->number,
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
	if (strcmp(ask->from, entry->proc.node.id) == 0)
		claim_take_answer(entry, &answer);
	else
		peers_send(entry, ask->from, &rt_claim_answer_desc, &answer);
	g_hash_table_remove(ask->claims->asks, ask->id);
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
	/* One that leaves still ends what it runs. */
	return member != NULL && member->state != MEM_DEAD;
}

static void
on_pass_on(const char *key, const char *asker,
    const struct clm_outcome *outcome, const char *owner, void *ctx)
{
	struct entry *entry = ((struct bucket *)ctx)->claims->entry;
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

	/* Lost, the claim stays without an outcome: in doubt, which is safe. */
	if (!peers_send(entry, owner, &rt_claim_settle_desc, &settle))
		count(entry, "claims_lost_outcomes");
}

static const struct clm_ops ops = {
	.read = on_read,
	.write = on_write,
	.answer = on_answer,
	.is_live = on_is_live,
	.forward = on_pass_on,
};

static struct bucket *
bucket_of(struct claims *claims, const char *key)
{
	struct bucket *b = &claims->bucket[clm_bucket_of(key)];

	if (b->clm == NULL)
		b->clm = clm_new(
		    claims->entry->proc.node.id, &claims->pace, &ops, b);
	return b;
}

/* ------------------------------------------------------------------ */
/* Asks and outcomes                                                   */
/* ------------------------------------------------------------------ */

void
claims_ask(struct entry *entry, const char *from, const struct rt_claim *claim)
{
	struct claims *claims = entry->claims;
	char *id =
	    g_strdup_printf("%s/%" G_GUINT64_FORMAT, from, claim->number);
	struct ask *ask;

	if (g_hash_table_contains(claims->asks, id)) {
		g_free(id); /* asked again, and still to be answered */
		return;
	}
	ask = g_new0(struct ask, 1);
	ask->claims = claims;
	ask->id = id;
	ask->key = slice_dup(claim->key);
	ask->asker = slice_dup(claim->claimant);
	g_strlcpy(ask->from, from, sizeof(ask->from));
	ask->number = claim->number;
	ask->ask.key = ask->key;
	ask->ask.claimant = ask->asker;
	ask->ask.body = claim->body;
	ask->ask.keep_ms = (unsigned int)claim->keep_ms;
	ask->ask.until_us = now_us() + (int64_t)claim->wait_ms * 1000;
	g_hash_table_insert(claims->asks, ask->id, ask);
	clm_request(bucket_of(claims, ask->key)->clm, &ask->ask, now_us());
}

void
claims_settle(struct entry *entry, const struct rt_claim_settle *settle)
{
	char *key = slice_dup(settle->key);
	char *asker = slice_dup(settle->claimant);
	char *type = slice_dup(settle->type);
	char *answer = slice_dup(settle->answer);
	const struct clm_outcome outcome = {
		.verdict = (enum verdict)settle->verdict,
		.status = (unsigned int)settle->status,
		.type = type,
		.answer = settle->has_answer ? answer : NULL,
		.digest = settle->digest,
	};

	clm_settle(
	    bucket_of(entry->claims, key)->clm, key, asker, &outcome, now_us());
	g_free(answer);
	g_free(type);
	g_free(asker);
	g_free(key);
}

void
claims_message(struct entry *entry, const char *from, const struct msg *m)
{
	struct rt_claim claim;
	struct rt_claim_settle settle;

	if (m->type == RT_CLAIM && msg_read(m, &rt_claim_desc, &claim, NULL))
		claims_ask(entry, from, &claim);
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
give_up(struct claims *claims, bool all)
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
on_moved(gpointer data)
{
	struct claims *claims = data;

	claims->move_idle = 0;
	give_up(claims, false);
	return G_SOURCE_REMOVE;
}

/* The entries changed. Many changes come together when a node starts. */
void
claims_members(struct entry *entry)
{
	struct claims *claims = entry->claims;

	claims->pace.writes_s =
	    MAX(CLM_WRITES_S / MAX(entry->live_entries, 1), 1);
	if (claims->move_idle == 0)
		claims->move_idle = g_idle_add(on_moved, claims);
}

static gboolean
is_from(gpointer key, gpointer value, gpointer data)
{
	return strcmp(((const struct ask *)value)->from, data) == 0;
}

void
claims_entry_gone(struct entry *entry, const char *id)
{
	g_hash_table_foreach_remove(entry->claims->asks, is_from, (gpointer)id);
}

void
claims_leave(struct entry *entry)
{
	give_up(entry->claims, true);
}

static gboolean
on_tick(gpointer data)
{
	struct claims *claims = data;
	unsigned int i, n;

	claims->first++;
	for (i = 0; i < CLM_BUCKETS; i++) {
		n = (claims->first + i) % CLM_BUCKETS;
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
	claims->pace.writes_s = CLM_WRITES_S;
	claims->asks =
	    g_hash_table_new_full(g_str_hash, g_str_equal, NULL, free_ask);
	for (i = 0; i < CLM_BUCKETS; i++) {
		claims->bucket[i].claims = claims;
		claims->bucket[i].number = i;
	}
	claims->timer = g_timeout_add(CLM_TICK_MS, on_tick, claims);
	entry->claims = claims;
}
