/* Counters, latency histograms and summary of the load generator. */

#include <string.h>

#include "standin/caller.h"

#define ERRORS_MAX 50 /* distinct texts; limits the size of the summary */

/* ------------------------------------------------------------------ */
/* Histogram                                                           */
/* ------------------------------------------------------------------ */

static size_t
bucket_of(uint64_t value)
{
	unsigned int shift;
	size_t bucket;

	if (value < HIST_STEPS)
		return value;
	/* HIST_STEPS is 2^5; `value >> shift` is in [32, 64). */
	shift = 63 - (unsigned int)__builtin_clzll(value) - 5;
	bucket = (size_t)shift * HIST_STEPS + (size_t)(value >> shift);
	return MIN(bucket, HIST_BUCKETS - 1);
}

/* Returns the largest value that falls into a bucket. */
static uint64_t
bucket_top(size_t bucket)
{
	unsigned int shift;
	uint64_t steps;

	if (bucket < 2 * HIST_STEPS)
		return bucket;
	shift = (unsigned int)(bucket / HIST_STEPS) - 1;
	steps = bucket % HIST_STEPS + HIST_STEPS;
	return ((steps + 1) << shift) - 1;
}

void
hist_add(struct hist *h, int64_t value)
{
	uint64_t v = value < 0 ? 0 : (uint64_t)value;

	h->buckets[bucket_of(v)]++;
	h->count++;
	h->max = MAX(h->max, v);
}

uint64_t
hist_at(const struct hist *h, unsigned int permille)
{
	uint64_t rank = (h->count * permille + 999) / 1000, seen = 0;
	size_t i;

	for (i = 0; i < HIST_BUCKETS; i++) {
		seen += h->buckets[i];
		if (seen >= rank && seen > 0)
			return MIN(bucket_top(i), h->max);
	}
	return 0;
}

/* ------------------------------------------------------------------ */
/* Counting                                                            */
/* ------------------------------------------------------------------ */

void
stats_init(struct stats *s, bool list)
{
	*s = (struct stats){
		.digests = g_hash_table_new_full(
		    g_str_hash, g_str_equal, g_free, NULL),
		.errors = g_hash_table_new_full(
		    g_str_hash, g_str_equal, g_free, NULL),
		.ids = g_hash_table_new_full(
		    g_str_hash, g_str_equal, g_free, NULL),
		.list = list ? g_string_new(NULL) : NULL,
	};
}

void
stats_clear(struct stats *s)
{
	g_hash_table_destroy(s->digests);
	g_hash_table_destroy(s->errors);
	g_hash_table_destroy(s->ids);
	if (s->list != NULL)
		g_string_free(s->list, TRUE);
}

static void
count_text(GHashTable *counts, const char *text)
{
	gintptr n = (gintptr)g_hash_table_lookup(counts, text);

	g_hash_table_replace(counts, g_strdup(text), (gpointer)(n + 1));
}

void
stats_error(struct stats *s, const char *text)
{
	if (g_hash_table_size(s->errors) >= ERRORS_MAX &&
	    !g_hash_table_contains(s->errors, text))
		text = "others";
	count_text(s->errors, text);
}

static void
count_refusal(struct stats *s, const char *verdict)
{
	enum verdict v;

	if (verdict == NULL) {
		s->without_verdict++;
		return;
	}
	v = verdict_from_name(verdict);
	if (strcmp(verdict, verdict_name(v)) == 0)
		s->by_verdict[v]++;
	else
		s->without_verdict++;
}

static void
append_to_list(struct stats *s, const struct stats_result *result)
{
	const struct check *c = result->check;
	JsonBuilder *b = json_begin();
	size_t len;
	char *item;

	put_str(b, "request_id", c->request_id == NULL ? "" : c->request_id);
	put_str(b, "verdict", result->verdict == NULL ? "" : result->verdict);
	put_int(b, "tokens", c->next);
	put_str(b, "outcome", outcome_name(result->outcome));
	put_str(b, "digest", c->digest);
	put_str(
	    b, "attempts", result->attempts == NULL ? "" : result->attempts);
	item = json_end(b, &len);
	if (s->list->len > 0)
		g_string_append_c(s->list, ',');
	g_string_append_len(s->list, item, (gssize)len);
	g_free(item);
}

void
stats_add(struct stats *s, const struct stats_result *result)
{
	const struct check *c = result->check;

	s->by_outcome[result->outcome]++;
	s->tokens += c->next;
	if (result->outcome == OUTCOME_REFUSED) {
		count_refusal(s, result->verdict);
		hist_add(&s->refusal, result->took_us);
	}
	if (result->outcome == OUTCOME_CUT && c->error)
		s->cut_with_error++;
	if (result->outcome == OUTCOME_ANSWERED) {
		count_text(s->digests, c->digest);
		hist_add(&s->complete, result->took_us);
	}
	if (result->outcome != OUTCOME_UNANSWERED && !result->has_id)
		s->without_id++;
	if (c->request_id != NULL &&
	    !g_hash_table_add(s->ids, g_strdup(c->request_id)))
		s->repeated_ids++;
	if (s->list != NULL)
		append_to_list(s, result);
}

/* ------------------------------------------------------------------ */
/* Summary                                                             */
/* ------------------------------------------------------------------ */

static void
put_hist(JsonBuilder *b, const char *name, const struct hist *h)
{
	static const struct {
		const char *name;
		unsigned int permille;
	} points[] = { { "p50", 500 }, { "p95", 950 }, { "p99", 990 },
		{ "max", 1000 } };
	size_t i;

	json_builder_set_member_name(b, name);
	json_builder_begin_object(b);
	put_int(b, "count", (int64_t)h->count);
	for (i = 0; i < G_N_ELEMENTS(points); i++) {
		put_int(
		    b, points[i].name, (int64_t)hist_at(h, points[i].permille));
	}
	json_builder_end_object(b);
}

static void
put_counts(JsonBuilder *b, const char *name, GHashTable *counts)
{
	GHashTableIter iter;
	void *text, *n;

	json_builder_set_member_name(b, name);
	json_builder_begin_object(b);
	g_hash_table_iter_init(&iter, counts);
	while (g_hash_table_iter_next(&iter, &text, &n))
		put_int(b, text, (int64_t)(gintptr)n);
	json_builder_end_object(b);
}

static void
put_verdicts(JsonBuilder *b, const struct stats *s)
{
	int v;

	json_builder_set_member_name(b, "refused_by_verdict");
	json_builder_begin_object(b);
	for (v = VERDICT_NOT_RUN; v <= VERDICT_RAN; v++)
		put_int(b, verdict_name(v), s->by_verdict[v]);
	put_int(b, "none", s->without_verdict);
	json_builder_end_object(b);
}

char *
stats_print(const struct stats *s, int64_t sending_ms)
{
	JsonBuilder *b = json_begin();
	GString *text;
	size_t len;
	char *head;
	int i;

	put_int(b, "sent", s->sent);
	for (i = 0; i < OUTCOMES; i++)
		put_int(b, outcome_name(i), s->by_outcome[i]);
	put_verdicts(b, s);
	put_int(b, "cut_with_error", s->cut_with_error);
	put_int(b, "repeated_ids", s->repeated_ids);
	put_int(b, "tokens", s->tokens);
	put_int(b, "without_id", s->without_id);
	put_int(b, "sending_ms", sending_ms);
	put_hist(b, "first_token_us", &s->first_token);
	put_hist(b, "between_tokens_us", &s->between_tokens);
	put_hist(b, "whole_us", &s->complete);
	put_hist(b, "refusal_us", &s->refusal);
	put_counts(b, "digests", s->digests);
	put_counts(b, "errors", s->errors);
	head = json_end(b, &len);
	if (s->list == NULL)
		return head;
	/* The list is already JSON text; insert it before the closing
	 * brace. */
	text = g_string_new_len(head, (gssize)len - 1);
	g_free(head);
	g_string_append_printf(text, ",\"list\":[%s]}", s->list->str);
	return g_string_free(text, FALSE);
}
