/* Targets by group, and the estimated load of each. */

#include <string.h>

#include "route/fleet_internal.h"

/* While no status report arrives, the requests of other gateways at a target
 * are assumed to halve in this time, which is about the time of a response. */
#define OTHERS_HALF_LIFE_US (500 * 1000)
#define OTHERS_HALVINGS_MAX 16

/* Initial backoff after a refusal, when a slot may be free again soon, and
 * after a failure; doubled with each consecutive one. */
#define BACKOFF_REFUSED_US (20 * 1000)
#define BACKOFF_FAILED_US (100 * 1000)
/* Bounds how long a target that has recovered is not used. */
#define BACKOFF_MAX_US (2 * G_USEC_PER_SEC)
#define BACKOFF_DOUBLINGS_MAX 16

#define KEY_MAX (4 * (RT_NAME_MAX + 1) + DIGEST_HEX + 2)

/* ------------------------------------------------------------------ */
/* Groups                                                              */
/* ------------------------------------------------------------------ */

static void
free_group(gpointer data)
{
	struct rt_group *group = data;

	g_ptr_array_unref(group->targets);
	g_free(group->key);
	g_free(group);
}

struct rt_fleet *
rt_fleet_new(void)
{
	struct rt_fleet *fleet = g_new0(struct rt_fleet, 1);

	fleet->groups =
	    g_hash_table_new_full(g_str_hash, g_str_equal, NULL, free_group);
	fleet->prefixes = prefix_map_new();
	return fleet;
}

void
rt_fleet_free(struct rt_fleet *fleet)
{
	if (fleet == NULL)
		return;
	prefix_map_free(fleet->prefixes);
	g_hash_table_unref(fleet->groups);
	g_free(fleet);
}

static void
append_field(char **at, const char *field)
{
	size_t n = strlen(field);

	memcpy(*at, field, n);
	(*at)[n] = '\n';
	*at += n + 1;
}

static void
make_key(char out[KEY_MAX], enum rt_target_kind kind, const char *workspace,
    const char *pool, const char *service, const struct digest *root)
{
	char hex[DIGEST_HEX] = "", *at = out;

	if (kind == RT_ENGINE)
		digest_to_hex(root, hex);
	*at++ = kind == RT_ENGINE ? 'e' : 's';
	append_field(&at, workspace);
	append_field(&at, pool);
	append_field(&at, service);
	strcpy(at, hex);
}

struct rt_group *
rt_group_find(struct rt_fleet *fleet, const struct rt_criteria *criteria,
    const struct digest *root)
{
	char key[KEY_MAX];

	if (strlen(criteria->workspace) > RT_NAME_MAX ||
	    strlen(criteria->pool) > RT_NAME_MAX ||
	    strlen(criteria->service) > RT_NAME_MAX)
		return NULL;
	make_key(key, criteria->kind, criteria->workspace, criteria->pool,
	    criteria->service, root);
	return g_hash_table_lookup(fleet->groups, key);
}

static struct rt_group *
group_of(struct rt_fleet *fleet, const struct rt_target *target)
{
	struct rt_group *group;
	char key[KEY_MAX];

	make_key(key, target->kind, target->workspace, target->pool,
	    target->service, &target->loaded);
	group = g_hash_table_lookup(fleet->groups, key);
	if (group != NULL)
		return group;
	group = g_new0(struct rt_group, 1);
	group->key = g_strdup(key);
	group->targets = g_ptr_array_new();
	g_hash_table_insert(fleet->groups, group->key, group);
	return group;
}

/* Updates the contribution of the target to the sums of its group. */
static void
update_sums(struct rt_target *target, int64_t now_us)
{
	struct rt_group *group = target->group;
	bool usable = target->reachable && target->accepting;

	group->slots -= target->counted_slots;
	group->running -= target->counted_running;
	target->counted_slots = usable ? target->slots : 0;
	target->counted_running =
	    usable ? rt_target_running(target, now_us) : 0;
	group->slots += target->counted_slots;
	group->running += target->counted_running;
}

static void
leave_group(struct rt_fleet *fleet, struct rt_target *target)
{
	struct rt_group *group = target->group;
	struct rt_target *last;

	group->slots -= target->counted_slots;
	group->running -= target->counted_running;
	target->counted_slots = 0;
	target->counted_running = 0;
	last = g_ptr_array_index(group->targets, group->targets->len - 1);
	group->targets->pdata[target->group_index] = last;
	last->group_index = target->group_index;
	g_ptr_array_set_size(group->targets, (gint)group->targets->len - 1);
	target->group = NULL;
	target->cache_epoch++;
	if (group->targets->len == 0)
		g_hash_table_remove(fleet->groups, group->key);
}

void
rt_fleet_update(struct rt_fleet *fleet, struct rt_target *target)
{
	struct rt_group *group = group_of(fleet, target);

	if (target->group != group) {
		if (target->group != NULL)
			leave_group(fleet, target);
		target->group = group;
		target->group_index = group->targets->len;
		g_ptr_array_add(group->targets, target);
	}
	update_sums(target, target->reported_us);
}

void
rt_fleet_load(struct rt_fleet *fleet, const struct rt_criteria *criteria,
    unsigned int *slots, unsigned int *running)
{
	size_t n = criteria->kind == RT_ENGINE ? criteria->nroots : 1, i;
	const struct rt_group *group;

	*slots = 0;
	*running = 0;
	for (i = 0; i < n; i++) {
		group = rt_group_find(fleet, criteria,
		    criteria->kind == RT_ENGINE ? &criteria->roots[i] : NULL);
		if (group == NULL)
			continue;
		*slots += group->slots;
		*running += group->running;
	}
}

void
rt_fleet_refresh(struct rt_fleet *fleet, int64_t now_us)
{
	GHashTableIter iter;
	gpointer value;
	guint i;

	g_hash_table_iter_init(&iter, fleet->groups);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct rt_group *group = value;

		for (i = 0; i < group->targets->len; i++)
			update_sums(group->targets->pdata[i], now_us);
	}
}

/* ------------------------------------------------------------------ */
/* Estimated load and backoff                                          */
/* ------------------------------------------------------------------ */

unsigned int
rt_target_running(const struct rt_target *target, int64_t now_us)
{
	int64_t halvings =
	    MAX(now_us - target->reported_us, 0) / OTHERS_HALF_LIFE_US;
	unsigned int others = 0;

	if (target->reported_running > target->local_at_report)
		others = target->reported_running - target->local_at_report;
	return target->local_inflight +
	    (others >> MIN(halvings, OTHERS_HALVINGS_MAX));
}

void
rt_target_reported(
    struct rt_target *target, unsigned int running, int64_t now_us)
{
	target->reported_running = running;
	target->local_at_report = target->local_inflight;
	target->reported_us = now_us;
	update_sums(target, now_us);
}

void
rt_target_sent(struct rt_target *target, int64_t now_us)
{
	/* A target without requests is not silent. */
	if (target->local_inflight == 0 &&
	    now_us - target->sent_us > RT_SILENT_MAX_US)
		target->silent_since_us = 0;
	if (target->silent_since_us == 0)
		target->silent_since_us = now_us;
	target->sent_us = now_us;
	target->local_inflight++;
	if (target->unanswered++ == 0)
		target->unanswered_since_us = now_us;
	update_sums(target, now_us);
}

static void
note_heard(struct rt_target *target)
{
	target->silent_since_us = 0;
	target->found_silent_us = 0;
	if (target->backoff_is_silence)
		target->backoff_until_us = 0;
	target->backoff_is_silence = false;
}

void
rt_target_responded(
    struct rt_target *target, bool first, int64_t sent_us, int64_t now_us)
{
	target->unanswered = 0;
	note_heard(target);
	if (first)
		est_time_add(&target->group->first, now_us - sent_us, now_us);
}

static void
back_off(struct rt_target *target, int64_t first_us,
    unsigned int retry_after_ms, int64_t now_us)
{
	int64_t us = first_us
	    << MIN(target->consecutive_failures, BACKOFF_DOUBLINGS_MAX);

	/* Requests that fail together count as one failure. */
	if (target->backoff_until_us <= now_us) {
		target->backoff_is_silence = false;
		target->consecutive_failures++;
		target->backoff_until_us = now_us + MIN(us, BACKOFF_MAX_US);
	}
	target->backoff_until_us =
	    MAX(target->backoff_until_us, now_us + retry_after_ms * 1000LL);
}

void
rt_target_silent(struct rt_target *target, int64_t now_us)
{
	bool was_backing_off = target->backoff_until_us > now_us;

	target->found_silent_us = now_us;
	back_off(target, BACKOFF_FAILED_US, 0, now_us);
	if (!was_backing_off)
		target->backoff_is_silence = true;
}

static void
handle_result(struct rt_target *target, const struct err *err, int64_t now_us)
{
	switch (err->code) {
	case ERR_NONE:
		target->consecutive_failures = 0;
		note_heard(target);
		return;
	case ERR_DEADLINE:
		rt_target_silent(target, now_us);
		return;
	case ERR_CANCELLED: /* by this gateway: no sign of a fault of the target */
	case ERR_INVALID:
	case ERR_TOO_LARGE:
		return;
	case ERR_OVERLOADED:
	case ERR_LEAVING:
	case ERR_WRONG_VERSION:
	case ERR_NOT_FOUND:
		back_off(
		    target, BACKOFF_REFUSED_US, err->retry_after_ms, now_us);
		return;
	default:
		back_off(target, BACKOFF_FAILED_US, 0, now_us);
		return;
	}
}

void
rt_target_ended(struct rt_target *target, const struct err *err, int64_t now_us)
{
	if (target->local_inflight > 0)
		target->local_inflight--;
	/* Only running requests can still be answered. */
	target->unanswered = MIN(target->unanswered, target->local_inflight);
	handle_result(target, err, now_us);
	update_sums(target, now_us);
}

void
rt_target_disconnected(struct rt_fleet *fleet, struct rt_target *target)
{
	target->reachable = false;
	target->local_inflight = 0;
	target->reported_running = 0;
	target->local_at_report = 0;
	target->unanswered = 0;
	target->consecutive_failures = 0;
	target->backoff_until_us = 0;
	target->backoff_is_silence = false;
	target->silent_since_us = 0;
	target->found_silent_us = 0;
	target->cache_epoch++;
	rt_fleet_update(fleet, target);
}
