/*
 * Fencing check of a sidecar: rejects orders with a lower fencing number than
 * the highest one seen, whether or not the target checks it too.
 */

#include <string.h>

#include "agree/agr_internal.h"

#define READ_DEADLINE_MS 1000
#define RETRY_AFTER_MS 200

struct floor { /* fencing floor of one role */
	struct agr_fencing *gate; /* NULL after agr_fencing_free() */
	char *role;
	uint64_t fence;
	bool known;
	bool reading;
	/* the object API did not answer; wait for members instead */
	bool by_members;
};

static void
floor_free(gpointer data)
{
	struct floor *floor = data;

	g_free(floor->role);
	g_free(floor);
}

static uint64_t
noted_fence(const struct agr_fencing *gate, const char *role)
{
	const struct mem_note *note =
	    mem_find_note(gate->agr->mem, MEM_NOTE_ROLE, role);

	return note == NULL ? 0 : note->number;
}

/* ------------------------------------------------------------------ */
/* Learning the floor after a start                                    */
/* ------------------------------------------------------------------ */

static void
on_read(const struct obj_object *object, const struct err *err, void *ctx)
{
	struct floor *floor = ctx;
	struct lse_value value;

	if (floor->gate == NULL) {
		floor_free(floor);
		return;
	}
	floor->reading = false;
	if (floor->gate->agr == NULL)
		return;
	if (err != NULL && err->code != ERR_NOT_FOUND) {
		floor->by_members = true;
		agr_gates_told(floor->gate->agr);
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
learn(struct agr_fencing *gate, struct floor *floor)
{
	char *key;

	if (floor->reading)
		return;
	floor->reading = true;
	key = g_strconcat(LSE_KEY_PREFIX, floor->role, NULL);
	obj_get(gate->agr->obj, key, READ_DEADLINE_MS, on_read, floor);
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
news_has_spread(const struct agr_fencing *gate)
{
	return agr_now_us(gate->agr) - gate->started_us >=
	    (int64_t)gate->agr->conf.lease_ms * 1000;
}

void
agr_gates_told(struct agr *agr)
{
	struct agr_fencing *gate;
	GHashTableIter iter;
	gpointer value;

	LIST_FOREACH (gate, &agr->gates, link) {
		g_hash_table_iter_init(&iter, gate->floors);
		while (g_hash_table_iter_next(&iter, NULL, &value)) {
			struct floor *floor = value;

			if (floor->by_members && news_has_spread(gate) &&
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
	struct agr_fencing *gate = g_new0(struct agr_fencing, 1);

	gate->agr = agr;
	gate->started_us = agr_now_us(agr);
	gate->floors = g_hash_table_new(g_str_hash, g_str_equal);
	LIST_INSERT_HEAD(&agr->gates, gate, link);
	return gate;
}

void
agr_fencing_free(struct agr_fencing *gate)
{
	GHashTableIter iter;
	gpointer value;

	if (gate == NULL)
		return;
	g_hash_table_iter_init(&iter, gate->floors);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct floor *floor = value;

		floor->gate = NULL;
		if (!floor->reading)
			floor_free(floor);
	}
	g_hash_table_unref(gate->floors);
	if (gate->agr != NULL)
		LIST_REMOVE(gate, link);
	g_free(gate);
}

bool
agr_fencing_check(
    struct agr_fencing *gate, const char *role, uint64_t fence, struct err *err)
{
	struct floor *floor = g_hash_table_lookup(gate->floors, role);
	uint64_t lowest;

	if (gate->agr == NULL)
		return err_set(err, ERR_CANCELLED, VERDICT_NOT_RUN, "stopping");
	if (floor == NULL) {
		floor = g_new0(struct floor, 1);
		floor->gate = gate;
		floor->role = g_strdup(role);
		g_hash_table_insert(gate->floors, floor->role, floor);
	}
	lowest = MAX(floor->fence, noted_fence(gate, role));
	if (fence == 0 || fence < lowest) {
		return err_set(err, ERR_STALE_FENCE, VERDICT_NOT_RUN,
		    "order of %s under %" G_GUINT64_FORMAT
		    ", the floor is %" G_GUINT64_FORMAT,
		    role, fence, lowest);
	}
	if (!floor->known) {
		learn(gate, floor);
		err_set(err, ERR_UNAVAILABLE, VERDICT_NOT_RUN,
		    "the fencing floor of %s is not known yet", role);
		if (err != NULL)
			err->retry_after_ms = RETRY_AFTER_MS;
		return false;
	}
	floor->fence = fence;
	return true;
}

/* Fencing checks that the program has not freed yet reject every order. */
void
agr_gates_stop(struct agr *agr)
{
	struct agr_fencing *gate;

	while ((gate = LIST_FIRST(&agr->gates)) != NULL) {
		LIST_REMOVE(gate, link);
		gate->agr = NULL;
	}
}
