/*
 * Settings: the watch of the object API by a few nodes, the pulls from members
 * by all others, the start of a node, and writes.
 */

#include <string.h>

#include "agree/agr_internal.h"

/*
 * The deadline of the first list is short, so that members can stand in for the
 * API soon; each failed list doubles the deadline, for an API that is slow for
 * minutes.
 */
#define LIST_DEADLINE_MS 1500
#define LIST_DEADLINE_MAX_MS 24000
#define LIST_PAUSE_US G_USEC_PER_SEC /* after a failure */
#define WRITE_DEADLINE_MS 5000
#define PULLS_MAX 2 /* a third response would bring the same branches */
#define DIGEST_PULL_PAUSE_US (G_USEC_PER_SEC / 2)
/*
 * A sidecar first waits up to this long for responses from members: after a
 * restart of all hosts, a thousand simultaneous lists and reads would overload
 * the object API again.
 */
#define SIDECAR_LIST_WAIT_MS 1000

/* ------------------------------------------------------------------ */
/* Accepting a branch                                                  */
/* ------------------------------------------------------------------ */

void
agr_offer_branch(struct agr *agr, const char *name, uint64_t version,
    const char *yaml, const char *source)
{
	struct mem_note note = {
		.kind = MEM_NOTE_BRANCH,
		.number = version,
	};
	struct err err = { 0 };

	switch (inf_offer(agr->inf, name, version, yaml, &err)) {
	case INF_STALE:
		return;
	case INF_REFUSED:
		ctr_add(agr->refused_branches, 1);
		log_warn("settings %s version %" G_GUINT64_FORMAT
			 " from %s refused: %s",
		    name, version, source, err.message);
		return;
	case INF_ACCEPTED:
		break;
	}
	if (agr->conf.node->timeline != NULL) {
		tl_add(agr->conf.node->timeline, "settings_in_force", name,
		    "version=%" G_GUINT64_FORMAT " from=%s", version, source);
	}
	mem_set_settings(agr->mem, inf_digest(agr->inf));
	g_strlcpy(note.name, name, sizeof(note.name));
	mem_note(agr->mem, agr_now_us(agr), &note);
	if (agr->ops->branch_changed != NULL)
		agr->ops->branch_changed(inf_find(agr->inf, name), agr->ctx);
}

/* Returns NULL if the key is not that of a settings branch. */
static const char *
branch_name(const char *key)
{
	if (!g_str_has_prefix(key, INF_KEY_PREFIX))
		return NULL;
	return key + strlen(INF_KEY_PREFIX);
}

/* ------------------------------------------------------------------ */
/* Watching                                                            */
/* ------------------------------------------------------------------ */

static void
on_watch_changed(
    uint64_t revision, const struct obj_object *objects, size_t n, void *ctx)
{
	struct agr *agr = ctx;
	const char *name;
	size_t i;

	agr->watch_works = true;
	agr->revision = MAX(agr->revision, revision);
	for (i = 0; i < n; i++) {
		name = branch_name(objects[i].key);
		if (name != NULL && objects[i].value != NULL)
			agr_offer_branch(agr, name, objects[i].version,
			    objects[i].value, "watch");
	}
}

static void
on_watch_lost(const struct err *err, void *ctx)
{
	struct agr *agr = ctx;

	agr->watch_works = false;
	log_warn("settings watch failed: %s", err->message);
}

static void
on_watch_restored(void *ctx)
{
	struct agr *agr = ctx;

	agr->watch_works = true;
	log_info("settings watch restored");
}

static const struct obj_watch_ops watch_ops = {
	.changed = on_watch_changed,
	.lost = on_watch_lost,
	.recovered = on_watch_restored,
};

static void
stop_watch(struct agr *agr)
{
	if (agr->watch == NULL)
		return;
	obj_watch_stop(agr->watch);
	agr->watch = NULL;
	agr->watch_works = false;
}

void
agr_settings_members_changed(struct agr *agr)
{
	bool watcher = rank_is_watcher(agr->mem, agr->conf.self.id);

	agr->start.peers_known = mem_count(agr->mem) - 1;
	if (!watcher) {
		stop_watch(agr);
	} else if (agr->watch == NULL && agr->start.api_read) {
		agr->watch = obj_watch_start(
		    agr->obj, INF_KEY_PREFIX, agr->revision, &watch_ops, agr);
		agr->watch_works = true; /* until on_watch_lost() is called */
	}
}

/* ------------------------------------------------------------------ */
/* Updates from members                                                */
/* ------------------------------------------------------------------ */

void
agr_settings_on_note(
    struct agr *agr, const struct mem_note *note, const char *from)
{
	if (from == NULL || !inf_is_newer(agr->inf, note->name, note->number))
		return;
	if (agr_pulls(agr, PULL_SETTINGS) < PULLS_MAX) {
		agr_pull(agr, PULL_SETTINGS, from);
		return;
	}
	g_strlcpy(
	    agr->queued_note.address, from, sizeof(agr->queued_note.address));
	g_strlcpy(agr->queued_note.branch, note->name,
	    sizeof(agr->queued_note.branch));
	agr->queued_note.version = note->number;
}

void
agr_settings_pull_ended(struct agr *agr)
{
	if (agr->queued_note.version == 0)
		return;
	if (inf_is_newer(
		agr->inf, agr->queued_note.branch, agr->queued_note.version))
		agr_pull(agr, PULL_SETTINGS, agr->queued_note.address);
	agr->queued_note.version = 0;
}

/*
 * Anti-entropy: the urgent note was lost, or this node was paused or cut off.
 */
void
agr_settings_digest_differs(struct agr *agr, const char *from)
{
	int64_t now_us = agr_now_us(agr);

	if (now_us < agr->next_digest_pull_us ||
	    agr_pulls(agr, PULL_SETTINGS) >= PULLS_MAX)
		return;
	agr->next_digest_pull_us = now_us + DIGEST_PULL_PAUSE_US;
	agr_pull(agr, PULL_SETTINGS, from);
}

/* ------------------------------------------------------------------ */
/* Start                                                               */
/* ------------------------------------------------------------------ */

static void
finish_reading(struct agr *agr)
{
	if (agr->pending_reads > 0)
		return;
	agr->listing = false;
	if (agr->read_failed)
		agr->list_deadline_ms =
		    MIN(2 * agr->list_deadline_ms, LIST_DEADLINE_MAX_MS);
	agr->start.api_read = !agr->read_failed;
	agr->start.api_failed = agr->read_failed;
	agr->members_changed = true; /* a watch may start */
}

static void
on_read(const struct obj_object *object, const struct err *err, void *ctx)
{
	struct agr *agr = ctx;
	const char *name;

	if (agr->closing)
		return;
	agr->pending_reads--;
	if (err == NULL) {
		name = branch_name(object->key);
		agr_offer_branch(
		    agr, name, object->version, object->value, "api");
	} else if (err->code != ERR_NOT_FOUND && err->code != ERR_CORRUPT) {
		agr->read_failed = true;
	}
	finish_reading(agr);
}

static void
on_list(uint64_t revision, const struct obj_object *objects, size_t n,
    const struct err *err, void *ctx)
{
	struct agr *agr = ctx;
	const char *name;
	size_t i;

	if (agr->closing)
		return;
	agr->read_failed = err != NULL;
	agr->next_list_us = agr_now_us(agr) + LIST_PAUSE_US;
	if (err == NULL)
		agr->revision = MAX(agr->revision, revision);
	for (i = 0; i < n; i++) {
		name = branch_name(objects[i].key);
		if (name == NULL ||
		    !inf_is_newer(agr->inf, name, objects[i].version))
			continue;
		agr->pending_reads++;
		obj_get(agr->obj, objects[i].key, agr->list_deadline_ms,
		    on_read, agr);
	}
	finish_reading(agr);
}

static void
list_if_due(struct agr *agr, int64_t now_us)
{
	if (agr->listing || agr->start.api_read || now_us < agr->next_list_us)
		return;
	if (agr->next_list_us == 0 && agr->conf.self.kind == MEM_SIDECAR) {
		agr->next_list_us = agr->started_us +
		    (int64_t)rng_below(&agr->rng, SIDECAR_LIST_WAIT_MS) * 1000;
		return;
	}
	agr->listing = true;
	if (agr->list_deadline_ms == 0)
		agr->list_deadline_ms = LIST_DEADLINE_MS;
	obj_list(agr->obj, INF_KEY_PREFIX, agr->list_deadline_ms, on_list, agr);
}

void
agr_settings_peer_answered(struct agr *agr, const char *address, bool ready)
{
	if (!ready)
		return; /* the peer may be missing accepted versions */
	g_hash_table_add(agr->answered_peers, g_strdup(address));
	agr->start.peers_answered = g_hash_table_size(agr->answered_peers);
	agr_fencing_peers_answered(agr);
}

/* Pulls from random members until enough of them have answered. */
static void
pull_from_members(struct agr *agr)
{
	const char *address;

	if (inf_enough_peers(&agr->start) || agr->start.peers_known == 0 ||
	    agr_pulls(agr, PULL_SETTINGS) >= PULLS_MAX)
		return;
	address = mem_random_address(agr->mem);
	if (address != NULL &&
	    !g_hash_table_contains(agr->answered_peers, address))
		agr_pull(agr, PULL_SETTINGS, address);
}

void
agr_settings_tick(struct agr *agr, int64_t now_us)
{
	list_if_due(agr, now_us);
	pull_from_members(agr);
	if (agr->ready)
		return;
	agr->start.waited_us = now_us - agr->started_us;
	if (!inf_may_serve(&agr->start))
		return;
	agr->ready = true;
	if (agr->conf.node->timeline != NULL) {
		tl_add(agr->conf.node->timeline, "settings_ready",
		    agr->conf.self.id, "branches=%u api=%s peers=%u",
		    inf_count(agr->inf), agr->start.api_read ? "yes" : "no",
		    agr->start.peers_answered);
	}
	if (agr->ops->ready != NULL)
		agr->ops->ready(agr->ctx);
}

void
agr_settings_stop(struct agr *agr)
{
	stop_watch(agr);
}

/* ------------------------------------------------------------------ */
/* Writing                                                             */
/* ------------------------------------------------------------------ */

struct write {
	struct agr *agr;
	char *name;
	char *key;
	char *yaml;
	struct err refused;
	agr_set_cb *done;
	void *ctx;
};

static void
write_free(struct write *w)
{
	g_free(w->name);
	g_free(w->key);
	g_free(w->yaml);
	g_free(w);
}

static void
on_written(uint64_t version, const struct obj_object *now,
    const struct err *err, void *ctx)
{
	struct write *w = ctx;

	/*
	 * The version becomes active here before the caller gets its response,
	 * so that a caller who then reads from this node finds what was
	 * accepted.
	 */
	if (err == NULL && !w->agr->closing)
		agr_offer_branch(w->agr, w->name, version, w->yaml, "write");
	w->done(version, now, err, w->ctx);
	write_free(w);
}

static gboolean
on_invalid(gpointer data)
{
	struct write *w = data;

	w->done(0, NULL, &w->refused, w->ctx);
	write_free(w);
	return G_SOURCE_REMOVE;
}

void
agr_set_branch(struct agr *agr, const char *name, const char *yaml,
    uint64_t if_version, const char *op, agr_set_cb *done, void *ctx)
{
	struct write *w = g_new0(struct write, 1);
	struct obj_put put;

	w->agr = agr;
	w->name = g_strdup(name);
	w->key = g_strconcat(INF_KEY_PREFIX, name, NULL);
	w->yaml = g_strdup(yaml);
	w->done = done;
	w->ctx = ctx;
	if (!inf_check_write(agr->inf, name, yaml, &w->refused)) {
		g_idle_add(on_invalid, w);
		return;
	}
	put = (struct obj_put){
		.key = w->key,
		.op = op,
		.value = w->yaml,
		.conditional = true,
		.if_version = if_version,
		.deadline_ms = WRITE_DEADLINE_MS,
	};
	obj_put(agr->obj, &put, on_written, w);
}

/* ------------------------------------------------------------------ */
/* Accessors                                                           */
/* ------------------------------------------------------------------ */

const struct inf_branch *
agr_branch(struct agr *agr, const char *name)
{
	return inf_find(agr->inf, name);
}

void
agr_each_branch(struct agr *agr,
    void (*each)(const struct inf_branch *branch, void *ctx), void *ctx)
{
	inf_each(agr->inf, each, ctx);
}

struct active_count {
	uint64_t digest;
	struct agr_active_count *out;
	const char **overdue;
	size_t max, n;
};

static void
count_active(const struct mem_member *member, void *ctx)
{
	struct active_count *f = ctx;

	f->out->nodes++;
	if (member->settings >= f->digest)
		f->out->active++;
	else if (f->n < f->max)
		f->overdue[f->n++] = member->node.id;
}

void
agr_active_count(struct agr *agr, struct agr_active_count *out,
    const char **overdue, size_t max, size_t *n_overdue)
{
	struct active_count f = {
		.digest = inf_digest(agr->inf),
		.out = out,
		.overdue = overdue,
		.max = max,
	};

	*out = (struct agr_active_count){ 0 };
	mem_each(agr->mem, count_active, &f);
	*n_overdue = f.n;
}
