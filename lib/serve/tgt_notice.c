/* What targets announced about themselves, their removal, and that their weights
 * are uncertain. It holds for one start of a target, also while the store does not
 * list it for a moment. */

#include <string.h>

#include "serve/tgt_internal.h"

/* Dropped targets whose announcements are kept, oldest first out. */
#define KEPT_MAX 512
/* After the store was restored from an older copy, what was written since is
 * written again within about two seconds. */
#define RESTORED_SETTLE_US 2500000

struct tgt_kept {
	TAILQ_ENTRY(tgt_kept) link;
	char id[SV_ID_MAX];
	int64_t start_ms;
	bool leaving;
	bool recorded_leaving; /* as its last record said */
	int64_t retry_after_us;
	int64_t removed_us;
	bool uncertain;
	/* While uncertain: what it served, as its sidecar reported. */
	char model[SV_ID_MAX];
	int64_t version;
};

static struct tgt_kept *
find(struct tgt_set *s, const char *id)
{
	struct tgt_kept *k;

	TAILQ_FOREACH (k, &s->kept, link) {
		if (strcmp(k->id, id) == 0)
			return k;
	}
	return NULL;
}

static void
discard(struct tgt_set *s, struct tgt_kept *k)
{
	if (k == NULL)
		return;
	TAILQ_REMOVE(&s->kept, k, link);
	s->nkept--;
	g_free(k);
}

/* The doubt of `t`, or else the one that is kept for it. */
static void
keep_doubt(struct tgt_kept *k, const struct tgt *t, const struct tgt_kept *kept)
{
	if (t->uncertain) {
		k->uncertain = true;
		g_strlcpy(k->model, t->model, sizeof(k->model));
		k->version = t->version;
	} else if (kept != NULL && kept->start_ms == t->record.start_ms) {
		k->uncertain = kept->uncertain;
		g_strlcpy(k->model, kept->model, sizeof(k->model));
		k->version = kept->version;
	}
}

void
tgt_notice_keep(struct tgt_set *s, const struct tgt *t)
{
	struct tgt_kept *k;

	if (!t->leaving && t->retry_after_us == 0 && t->removed_us == 0 &&
	    !t->uncertain)
		return;
	k = g_new0(struct tgt_kept, 1);
	keep_doubt(k, t, find(s, t->record.id));
	tgt_notice_discard(s, t->record.id);
	if (s->nkept == KEPT_MAX)
		discard(s, TAILQ_FIRST(&s->kept));
	g_strlcpy(k->id, t->record.id, sizeof(k->id));
	k->start_ms = t->record.start_ms;
	k->leaving = t->announced_leaving;
	k->recorded_leaving = t->record.leaving;
	k->retry_after_us = t->retry_after_us;
	k->removed_us = t->removed_us;
	TAILQ_INSERT_TAIL(&s->kept, k, link);
	s->nkept++;
}

/* Whether a record that comes now may only be older than the removal. */
static bool
may_be_gone(const struct tgt_set *s, const struct tgt_kept *k, int64_t now_us)
{
	return k->removed_us != 0 && s->restored_us >= k->removed_us &&
	    now_us < s->restored_us + RESTORED_SETTLE_US;
}

static void
restore_doubt(struct tgt *t, const struct tgt_kept *k)
{
	if (!k->uncertain)
		return;
	t->uncertain = true;
	g_strlcpy(t->model, k->model, sizeof(t->model));
	t->version = k->version;
}

void
tgt_notice_restore(struct tgt_set *s, struct tgt *t, int64_t now_us)
{
	struct tgt_kept *k = find(s, t->record.id);

	if (k == NULL)
		return;
	if (k->start_ms == 0 || t->record.start_ms <= k->start_ms) {
		t->announced_leaving = t->announced_leaving || k->leaving;
		t->leaving = t->leaving || t->announced_leaving;
		t->retry_after_us = MAX(t->retry_after_us, k->retry_after_us);
		if (may_be_gone(s, k, now_us))
			t->retry_after_us = MAX(t->retry_after_us,
			    s->restored_us + RESTORED_SETTLE_US);
		restore_doubt(t, k);
		t->record.start_ms = k->start_ms;
	}
	discard(s, k);
}

void
tgt_notice_restored(struct tgt_set *s)
{
	struct tgt_kept *k;

	TAILQ_FOREACH (k, &s->kept, link)
		k->leaving = k->leaving || k->recorded_leaving;
}

void
tgt_notice_discard(struct tgt_set *s, const char *id)
{
	discard(s, find(s, id));
}

void
tgt_notice_free(struct tgt_set *s)
{
	while (!TAILQ_EMPTY(&s->kept))
		discard(s, TAILQ_FIRST(&s->kept));
}

/* A request may still refer to a target that was dropped and listed again since;
 * what its answer says is for that one. */
static void
pass_on(struct tgt_set *s, const struct tgt *t, int64_t now_us)
{
	struct tgt *listed;

	if (!t->dropped)
		return;
	tgt_notice_keep(s, t);
	listed = tgt_find(s, t->record.id);
	if (listed != NULL)
		tgt_notice_restore(s, listed, now_us);
}

bool
tgt_announced_leaving(struct tgt_set *s, struct tgt *t, int64_t now_us)
{
	if (t->announced_leaving)
		return false;
	t->announced_leaving = true;
	t->leaving = true;
	pass_on(s, t, now_us);
	return true;
}

bool
tgt_asked_retry_after(
    struct tgt_set *s, struct tgt *t, int64_t until_us, int64_t now_us)
{
	bool is_new = t->retry_after_us <= now_us;

	if (until_us <= now_us)
		return false;
	t->retry_after_us = MAX(t->retry_after_us, until_us);
	pass_on(s, t, now_us);
	return is_new;
}
