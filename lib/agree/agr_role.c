/* Leased roles: makes the object API calls that the lease decisions ask for. */

#include <string.h>

#include "agree/agr_internal.h"

static void
free_when_idle(struct agr_role *role)
{
	if (!role->closed || role->calls > 0)
		return;
	LIST_REMOVE(role, link);
	lse_free(role->lse);
	g_free(role->name);
	g_free(role->key);
	g_free(role);
}

/* ------------------------------------------------------------------ */
/* Callbacks of the lease                                              */
/* ------------------------------------------------------------------ */

static void
on_read_done(const struct obj_object *object, const struct err *err, void *ctx)
{
	struct agr_role *role = ctx;
	int64_t now_us = agr_now_us(role->agr);

	role->calls--;
	if (err != NULL && err->code == ERR_NOT_FOUND)
		lse_read_done(role->lse, now_us, true, 0, NULL);
	else if (err != NULL)
		lse_read_done(role->lse, now_us, false, 0, NULL);
	else
		lse_read_done(
		    role->lse, now_us, true, object->version, object->value);
	free_when_idle(role);
}

static void
lease_read(void *ctx)
{
	struct agr_role *role = ctx;

	if (role->agr->closing)
		return;
	role->calls++;
	obj_get(role->agr->obj, role->key, role->agr->conf.lease_ms,
	    on_read_done, role);
}

static void
on_write_done(uint64_t version, const struct obj_object *now,
    const struct err *err, void *ctx)
{
	struct agr_role *role = ctx;
	int64_t now_us = agr_now_us(role->agr);

	role->calls--;
	if (err == NULL) {
		lse_write_done(role->lse, now_us, LSE_WRITTEN, version, NULL);
	} else if (err->code == ERR_CONFLICT && now != NULL) {
		ctr_add(role->agr->lease_refused, 1);
		lse_write_done(
		    role->lse, now_us, LSE_REFUSED, now->version, now->value);
	} else {
		lse_write_done(role->lse, now_us, LSE_FAILED, 0, NULL);
	}
	free_when_idle(role);
}

static void
lease_write(
    const char *value, uint64_t if_version, unsigned int limit_ms, void *ctx)
{
	struct agr_role *role = ctx;
	struct agr *agr = role->agr;
	struct obj_put put = {
		.key = role->key,
		.op = role->op,
		.value = value,
		.conditional = true,
		.if_version = if_version,
		.deadline_ms = limit_ms,
	};

	if (agr->closing)
		return;
	role->calls++;
	obj_new_op(agr->obj, agr->conf.self.id, role->op);
	obj_put(agr->obj, &put, on_write_done, role);
}

static void
add_event(struct agr_role *role, const char *kind, uint64_t fence)
{
	struct tl *tl = role->agr->conf.node->timeline;

	if (tl != NULL)
		tl_add(tl, kind, role->name, "fence=%" G_GUINT64_FORMAT, fence);
}

static void
lease_gained(uint64_t fence, void *ctx)
{
	struct agr_role *role = ctx;

	add_event(role, "role_gained", fence);
	log_info("role %s gained with fencing number %" G_GUINT64_FORMAT,
	    role->name, fence);
	if (role->ops->gained != NULL && !role->closed)
		role->ops->gained(role, fence, role->ctx);
}

static void
lease_lost(void *ctx)
{
	struct agr_role *role = ctx;

	add_event(role, "role_lost", 0);
	log_info("role %s lost", role->name);
	if (role->ops->lost != NULL && !role->closed)
		role->ops->lost(role, role->ctx);
}

static void
lease_publish(uint64_t fence, const char *holder, void *ctx)
{
	struct agr_role *role = ctx;
	struct mem_note note = {
		.kind = MEM_NOTE_ROLE,
		.number = fence,
	};

	if (role->agr->closing)
		return;
	g_strlcpy(note.name, role->name, sizeof(note.name));
	g_strlcpy(note.text, holder, sizeof(note.text));
	mem_note(role->agr->mem, agr_now_us(role->agr), &note);
	/* The ranks of the candidates leave out the holder, which is new. */
	role->agr->members_changed = true;
}

static void
lease_left(void *ctx)
{
}

static const struct lse_ops lease_ops = {
	.read = lease_read,
	.write = lease_write,
	.gained = lease_gained,
	.lost = lease_lost,
	.publish = lease_publish,
	.left = lease_left,
};

/* ------------------------------------------------------------------ */
/* Ranks and ticks                                                     */
/* ------------------------------------------------------------------ */

static const char *
holder_of(const struct agr_role *role)
{
	const struct mem_note *note =
	    mem_find_note(role->agr->mem, MEM_NOTE_ROLE, role->name);

	return note == NULL ? "" : note->text;
}

static void
set_rank(struct agr_role *role)
{
	struct agr *agr = role->agr;
	unsigned int rank = UINT_MAX;

	/* A holder without active settings has nothing to act on. */
	if (agr->ready)
		rank = rank_for_role(
		    agr->mem, role->name, holder_of(role), agr->conf.self.id);
	lse_set_rank(role->lse, agr_now_us(agr), rank);
}

void
agr_roles_members_changed(struct agr *agr)
{
	struct agr_role *role;

	LIST_FOREACH (role, &agr->roles, link)
		set_rank(role);
}

void
agr_roles_tick(struct agr *agr, int64_t now_us)
{
	struct agr_role *role, *next;

	for (role = LIST_FIRST(&agr->roles); role != NULL; role = next) {
		next = LIST_NEXT(role, link);
		lse_tick(role->lse, now_us);
	}
}

void
agr_roles_on_note(struct agr *agr, const struct mem_note *note)
{
	struct agr_role *role;

	LIST_FOREACH (role, &agr->roles, link) {
		if (strcmp(role->name, note->name) != 0)
			continue;
		set_rank(role);
		lse_hint(role->lse, agr_now_us(agr), note->number);
	}
}

/* ------------------------------------------------------------------ */
/* Public                                                              */
/* ------------------------------------------------------------------ */

struct agr_role *
agr_role_join(struct agr *agr, const char *name, const struct agr_role_ops *ops,
    void *ctx)
{
	struct agr_role *role = g_new0(struct agr_role, 1);
	struct lse_conf conf = {
		.self = agr->conf.self.id,
		.incarnation = agr->conf.self.incarnation,
		.lease_ms = agr->conf.lease_ms,
	};

	role->agr = agr;
	role->name = g_strdup(name);
	role->key = g_strconcat(LSE_KEY_PREFIX, name, NULL);
	role->ops = ops;
	role->ctx = ctx;
	role->lse = lse_new(agr->lease_chart, &conf, &lease_ops, role);
	LIST_INSERT_HEAD(&agr->roles, role, link);
	agr->members_changed = true;
	return role;
}

void
agr_role_leave(struct agr_role *role)
{
	struct agr *agr = role->agr;

	if (!role->closed)
		lse_leave(role->lse, agr_now_us(agr));
	role->closed = true;
	free_when_idle(role);
}

uint64_t
agr_role_fence(struct agr_role *role)
{
	return lse_fence(role->lse, agr_now_us(role->agr));
}

const char *
agr_role_holder(struct agr_role *role)
{
	return holder_of(role);
}

/* Does not free the roles: the program still calls agr_role_leave(). */
void
agr_roles_leave(struct agr *agr)
{
	struct agr_role *role;

	LIST_FOREACH (role, &agr->roles, link)
		lse_leave(role->lse, agr_now_us(agr));
}

void
agr_roles_free(struct agr *agr)
{
	struct agr_role *role;

	while ((role = LIST_FIRST(&agr->roles)) != NULL) {
		role->closed = true;
		role->calls = 0;
		free_when_idle(role);
	}
}
