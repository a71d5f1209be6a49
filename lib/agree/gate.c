/*
 * Fencing check of a sidecar: rejects orders with a lower fencing number than
 * the highest one seen, whether or not the target checks it too.
 */

#include <string.h>

#include "agree/agr_internal.h"

#define READ_DEADLINE_MS 1000
#define RETRY_AFTER_MS 200

struct floor { /* fencing floor of one role */
	struct agr_fencing *fencing; /* NULL after agr_fencing_free() */
	char *role;
	uint64_t fence;
	bool known;
	bool reading;
	/* the object API did not answer; wait for members instead */
	bool use_members;
};

static void
floor_free(gpointer data)
{
	struct floor *floor = data;

	g_free(floor->role);
	g_free(floor);
}

static uint64_t
reported_fence(const struct agr_fencing *fencing, const char *role)
{
	const struct mem_note *note =
	    mem_find_note(fencing->agr->mem, MEM_NOTE_ROLE, role);

	return note == NULL ? 0 : note->number;
}

/* ------------------------------------------------------------------ */
/* Reading the floor after a start                                     */
/* ------------------------------------------------------------------ */

static void
on_read(const struct obj_object *object, const struct err *err, void *ctx)
{
	struct floor *floor = ctx;
	struct lse_value value;

	if (floor->fencing == NULL) {
		floor_free(floor);
		return;
	}
	floor->reading = false;
	if (floor->fencing->agr == NULL)
		return;
	if (err != NULL && err->code != ERR_NOT_FOUND) {
		floor->use_members = true;
		agr_fencing_peers_answered(floor->fencing->agr);
		return;
	}
	floor->known = true;
	if (err == NULL && lse_value_parse(object->value, &value))
		floor->fence = MAX(floor->fence, value.fence);
}

/*
 * Hosts keep no state: a restart loses the floor, and a paused holder that
 * resumes could then get an old order accepted that undoes a newer one. Each
 * holder writes the object before its first order, so the object's number is at
 * least that of any order that this host accepted before the restart.
 */
static void
read_floor(struct agr_fencing *fencing, struct floor *floor)
{
	char *key;

	if (floor->reading)
		return;
	floor->reading = true;
	key = g_strconcat(LSE_KEY_PREFIX, floor->role, NULL);
	obj_get(fencing->agr->obj, key, READ_DEADLINE_MS, on_read, floor);
	g_free(key);
}

/*
 * While the object API is unavailable, several ready members stand in for it,
 * but only after a lease duration. A holder announces its number before it acts
 * and does not wait for acknowledgements. Members may therefore not know a
 * number yet that this host accepted before its restart, and an older order
 * still in flight would pass. One lease duration is far longer than gossip
 * needs to reach all members.
 */
static bool
gossip_has_spread(const struct agr_fencing *fencing)
{
	return agr_now_us(fencing->agr) - fencing->started_us >=
	    (int64_t)fencing->agr->conf.lease_ms * 1000;
}

void
agr_fencing_peers_answered(struct agr *agr)
{
	struct agr_fencing *fencing;
	GHashTableIter iter;
	gpointer value;

	LIST_FOREACH (fencing, &agr->fencings, link) {
		g_hash_table_iter_init(&iter, fencing->floors);
		while (g_hash_table_iter_next(&iter, NULL, &value)) {
			struct floor *floor = value;

			if (floor->use_members && gossip_has_spread(fencing) &&
			    inf_enough_peers(&agr->start))
				floor->known = true;
		}
	}
}

/* ------------------------------------------------------------------ */
/* Public                                                              */
/* ------------------------------------------------------------------ */

struct agr_fencing *
agr_fencing_new(struct agr *agr)
{
	struct agr_fencing *fencing = g_new0(struct agr_fencing, 1);

	fencing->agr = agr;
	fencing->started_us = agr_now_us(agr);
	fencing->floors = g_hash_table_new(g_str_hash, g_str_equal);
	LIST_INSERT_HEAD(&agr->fencings, fencing, link);
	return fencing;
}

void
agr_fencing_free(struct agr_fencing *fencing)
{
	GHashTableIter iter;
	gpointer value;

	if (fencing == NULL)
		return;
	g_hash_table_iter_init(&iter, fencing->floors);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct floor *floor = value;

		floor->fencing = NULL;
		if (!floor->reading)
			floor_free(floor);
	}
	g_hash_table_unref(fencing->floors);
	if (fencing->agr != NULL)
		LIST_REMOVE(fencing, link);
	g_free(fencing);
}

bool
agr_fencing_check(struct agr_fencing *fencing, const char *role, uint64_t fence,
    struct err *err)
{
	struct floor *floor = g_hash_table_lookup(fencing->floors, role);
	uint64_t lowest;

	if (fencing->agr == NULL)
		return err_set(err, ERR_CANCELLED, VERDICT_NOT_RUN, "stopping");
	if (floor == NULL) {
		floor = g_new0(struct floor, 1);
		floor->fencing = fencing;
		floor->role = g_strdup(role);
		g_hash_table_insert(fencing->floors, floor->role, floor);
	}
	lowest = MAX(floor->fence, reported_fence(fencing, role));
	if (fence == 0 || fence < lowest) {
		return err_set(err, ERR_STALE_FENCE, VERDICT_NOT_RUN,
		    "order of role %s has fencing number %" G_GUINT64_FORMAT
		    ", below the floor %" G_GUINT64_FORMAT,
		    role, fence, lowest);
	}
	if (!floor->known) {
		read_floor(fencing, floor);
		err_set(err, ERR_UNAVAILABLE, VERDICT_NOT_RUN,
		    "the fencing floor of role %s is not known yet", role);
		if (err != NULL)
			err->retry_after_ms = RETRY_AFTER_MS;
		return false;
	}
	floor->fence = fence;
	return true;
}

/* Fencing checks that the program has not freed yet reject every order. */
void
agr_fencing_stop(struct agr *agr)
{
	struct agr_fencing *fencing;

	while ((fencing = LIST_FIRST(&agr->fencings)) != NULL) {
		LIST_REMOVE(fencing, link);
		fencing->agr = NULL;
	}
}
