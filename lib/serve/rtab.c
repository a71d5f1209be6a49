/* Index of routes by host and prefix, and of workspaces by key. */

#include <string.h>

#include "serve/rtab.h"

#define HOST_MAX 255

struct rtab {
	unsigned int refs;
	struct sv_config *config;
	GHashTable *by_host; /* host -> GPtrArray, longest prefix first */
	GHashTable *by_key; /* key -> workspace */
};

static gint
longer_first(gconstpointer a, gconstpointer b)
{
	const struct sv_route *x = *(const struct sv_route *const *)a;
	const struct sv_route *y = *(const struct sv_route *const *)b;
	size_t nx = strlen(x->prefix), ny = strlen(y->prefix);

	return nx > ny ? -1 : nx < ny;
}

static void
index_routes(struct rtab *t)
{
	struct sv_route *r;
	GHashTableIter iter;
	gpointer host, list;
	size_t i;

	for (i = 0; i < t->config->nroutes; i++) {
		r = &t->config->routes[i];
		list = g_hash_table_lookup(t->by_host, r->host);
		if (list == NULL) {
			list = g_ptr_array_new();
			g_hash_table_insert(t->by_host, r->host, list);
		}
		g_ptr_array_add(list, r);
	}
	g_hash_table_iter_init(&iter, t->by_host);
	while (g_hash_table_iter_next(&iter, &host, &list))
		g_ptr_array_sort(list, longer_first);
}

static void
index_keys(struct rtab *t)
{
	struct sv_workspace *w;
	size_t i, k;

	for (i = 0; i < t->config->nworkspaces; i++) {
		w = &t->config->workspaces[i];
		for (k = 0; w->keys[k] != NULL; k++)
			g_hash_table_insert(t->by_key, w->keys[k], w);
	}
}

struct rtab *
rtab_new(struct sv_config *config)
{
	struct rtab *t = g_new0(struct rtab, 1);

	t->refs = 1;
	t->config = config;
	t->by_host = g_hash_table_new_full(
	    g_str_hash, g_str_equal, NULL, (GDestroyNotify)g_ptr_array_unref);
	t->by_key = g_hash_table_new(g_str_hash, g_str_equal);
	index_routes(t);
	index_keys(t);
	return t;
}

struct rtab *
rtab_ref(struct rtab *t)
{
	t->refs++;
	return t;
}

void
rtab_unref(struct rtab *t)
{
	if (t == NULL || --t->refs > 0)
		return;
	g_hash_table_unref(t->by_host);
	g_hash_table_unref(t->by_key);
	sv_config_free(t->config);
	g_free(t);
}

const struct sv_config *
rtab_config(const struct rtab *t)
{
	return t->config;
}

const struct sv_route *
rtab_route(const struct rtab *t, struct hslice host, struct hslice target)
{
	char name[HOST_MAX + 1];
	const char *end = memchr(host.p, ':', host.n);
	size_t n = end == NULL ? host.n : (size_t)(end - host.p);
	const char *query = memchr(target.p, '?', target.n);
	size_t path = query == NULL ? target.n : (size_t)(query - target.p);
	const struct sv_route *r;
	GPtrArray *list;
	size_t i, len;

	if (n > HOST_MAX)
		return NULL;
	for (i = 0; i < n; i++)
		name[i] = g_ascii_tolower(host.p[i]);
	name[n] = '\0';
	list = g_hash_table_lookup(t->by_host, name);
	for (i = 0; list != NULL && i < list->len; i++) {
		r = g_ptr_array_index(list, i);
		len = strlen(r->prefix);
		if (len <= path && memcmp(r->prefix, target.p, len) == 0)
			return r;
	}
	return NULL;
}

const struct sv_workspace *
rtab_workspace(const struct rtab *t, struct hslice key)
{
	char *text = hslice_dup(key);
	const struct sv_workspace *w = g_hash_table_lookup(t->by_key, text);

	g_free(text);
	return w;
}

bool
rtab_has_workspaces(const struct rtab *t)
{
	return t->config->nworkspaces > 0;
}

const char *
rtab_pick_service(const struct sv_route *r, uint64_t random)
{
	uint64_t sum = 0, at;
	size_t i;

	for (i = 0; i < r->nshares; i++)
		sum += r->shares[i].weight;
	if (sum == 0)
		return r->shares[0].service;
	at = random % sum;
	for (i = 0; at >= r->shares[i].weight; i++)
		at -= r->shares[i].weight;
	return r->shares[i].service;
}
