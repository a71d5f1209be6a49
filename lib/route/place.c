/* Selection of the hosts that a model is placed on. */

#include <string.h>

#include "route/route.h"

struct rt_place {
	const char *workspace;
	const struct rt_model *model;
	GArray *hosts;
	/* State of the rt_place_add_host call in progress. */
	const char *domain;
	bool fits;
};

struct rt_place *
rt_place_new(const char *workspace, const struct rt_model *model)
{
	struct rt_place *place = g_new0(struct rt_place, 1);

	place->workspace = workspace;
	place->model = model;
	place->hosts = g_array_new(FALSE, TRUE, sizeof(struct rt_place_host));
	return place;
}

static void
check_target(const struct rt_target_info *target, void *ctx)
{
	struct rt_place *place = ctx;

	if (target->kind == RT_ENGINE &&
	    strcmp(target->workspace, place->workspace) == 0 &&
	    rt_model_placed(place->model, target->pool, place->domain))
		place->fits = true;
}

void
rt_place_add_host(struct rt_place *place, const char *id, const char *address,
    const char *domain, const char *info)
{
	struct rt_place_host host = { 0 };
	uint64_t seed;

	place->domain = domain;
	place->fits = false;
	rt_info_each(info, check_target, place);
	if (!place->fits)
		return;
	g_strlcpy(host.id, id, sizeof(host.id));
	g_strlcpy(host.address, address, sizeof(host.address));
	g_strlcpy(host.domain, domain, sizeof(host.domain));
	seed = hash64(0, place->model->name, strlen(place->model->name));
	host.rank = hash64(seed, id, strlen(id));
	g_array_append_val(place->hosts, host);
}

static gint
by_rank(gconstpointer a, gconstpointer b)
{
	const struct rt_place_host *x = a, *y = b;

	if (x->rank != y->rank)
		return x->rank < y->rank ? -1 : 1;
	return strcmp(x->id, y->id);
}

GArray *
rt_place_finish(struct rt_place *place)
{
	GArray *hosts = place->hosts;
	unsigned int max_hosts = place->model->hosts;

	g_array_sort(hosts, by_rank);
	if (max_hosts != 0 && hosts->len > max_hosts)
		g_array_set_size(hosts, max_hosts);
	g_free(place);
	return hosts;
}

bool
rt_place_has(const GArray *hosts, const char *id)
{
	guint i;

	for (i = 0; i < hosts->len; i++) {
		if (strcmp(g_array_index(hosts, struct rt_place_host, i).id,
			id) == 0)
			return true;
	}
	return false;
}
