/*
 * Ranks by rendezvous hashing: nodes with the same member table compute the
 * same order of the candidates for a free role, so that only the first in rank
 * writes and no conditional write is refused. A different table costs a refused
 * write, but never leads to two holders.
 */

#include <string.h>

#include "agree/agr_internal.h"

/*
 * Minimum number of watchers of the settings over all domains, so that a paused
 * watcher does not delay updates. With three or more domains, one per domain.
 */
#define WATCHERS 3

static uint64_t
score(const char *role, const char *id)
{
	return hash64(hash64(0, role, strlen(role)), id, strlen(id));
}

struct role_rank {
	const char *role;
	const char *holder;
	const char *self;
	uint64_t own_score;
	unsigned int ahead;
};

static void
count_ahead(const struct mem_member *member, void *ctx)
{
	struct role_rank *r = ctx;
	uint64_t theirs;

	/*
	 * A suspect member keeps its rank: the cause may be a stalled link, and
	 * ranks that change with each suspicion make writes collide.
	 */
	if (member->node.kind != MEM_GATEWAY || member->state == MEM_LEAVING ||
	    strcmp(member->node.id, r->holder) == 0 ||
	    strcmp(member->node.id, r->self) == 0)
		return;
	theirs = score(r->role, member->node.id);
	r->ahead += theirs > r->own_score;
}

unsigned int
rank_for_role(
    struct mem *mem, const char *role, const char *holder, const char *self)
{
	struct role_rank r = {
		.role = role,
		.holder = holder,
		.self = self,
		.own_score = score(role, self),
	};

	if (strcmp(holder, self) == 0)
		return 0;
	if (mem_self(mem)->state == MEM_LEAVING)
		return UINT_MAX;
	mem_each(mem, count_ahead, &r);
	return r.ahead;
}

struct watch_rank {
	const struct mem_member *self;
	GHashTable *domains;
	uint64_t own_score;
	unsigned int ahead;
	bool has_gateway; /* a gateway runs in the domain of `self` */
};

static bool
is_candidate(const struct mem_member *member)
{
	return member->state == MEM_ALIVE || member->state == MEM_SUSPECT;
}

static void
collect_domain(const struct mem_member *member, void *ctx)
{
	struct watch_rank *w = ctx;

	if (!is_candidate(member))
		return;
	g_hash_table_add(w->domains, (gpointer)member->node.domain);
	if (member->node.kind == MEM_GATEWAY &&
	    strcmp(member->node.domain, w->self->node.domain) == 0)
		w->has_gateway = true;
}

static void
count_watchers_ahead(const struct mem_member *member, void *ctx)
{
	struct watch_rank *w = ctx;

	if (!is_candidate(member) ||
	    strcmp(member->node.domain, w->self->node.domain) != 0 ||
	    (w->has_gateway && member->node.kind != MEM_GATEWAY))
		return;
	w->ahead += score("settings", member->node.id) > w->own_score;
}

bool
rank_is_watcher(struct mem *mem, const char *self)
{
	struct watch_rank w = {
		.self = mem_self(mem),
		.own_score = score("settings", self),
	};
	unsigned int domains;

	if (!is_candidate(w.self))
		return false;
	w.domains = g_hash_table_new(g_str_hash, g_str_equal);
	mem_each(mem, collect_domain, &w);
	domains = g_hash_table_size(w.domains);
	g_hash_table_unref(w.domains);
	if (w.has_gateway && w.self->node.kind != MEM_GATEWAY)
		return false;
	mem_each(mem, count_watchers_ahead, &w);
	return w.ahead < MAX(1, (WATCHERS + domains - 1) / domains);
}
