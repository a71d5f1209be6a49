/* Named counters, printed on /metrics. */

#include <string.h>

#include "common/common.h"

struct ctr {
	int64_t value;
	char name[];
};

struct ctr_set {
	GHashTable *by_name; /* key: `name` of the value, a struct ctr */
};

struct ctr_set *
ctr_set_new(void)
{
	struct ctr_set *set = g_new0(struct ctr_set, 1);

	set->by_name =
	    g_hash_table_new_full(g_str_hash, g_str_equal, NULL, g_free);
	return set;
}

void
ctr_set_free(struct ctr_set *set)
{
	if (set == NULL)
		return;
	g_hash_table_unref(set->by_name);
	g_free(set);
}

struct ctr *
ctr_get(struct ctr_set *set, const char *name)
{
	struct ctr *c = g_hash_table_lookup(set->by_name, name);
	size_t size = strlen(name) + 1;

	if (c != NULL)
		return c;
	c = g_malloc0(sizeof(*c) + size);
	memcpy(c->name, name, size);
	g_hash_table_insert(set->by_name, c->name, c);
	return c;
}

void
ctr_add(struct ctr *c, int64_t n)
{
	c->value += n;
}

void
ctr_put(struct ctr *c, int64_t value)
{
	c->value = value;
}

int64_t
ctr_value(const struct ctr *c)
{
	return c->value;
}

int64_t
ctr_read(struct ctr_set *set, const char *name)
{
	const struct ctr *c = g_hash_table_lookup(set->by_name, name);

	return c == NULL ? 0 : c->value;
}

static gint
by_name(gconstpointer a, gconstpointer b)
{
	return strcmp(*(const char *const *)a, *(const char *const *)b);
}

void
ctr_print(const struct ctr_set *set, GString *out)
{
	GPtrArray *names = g_ptr_array_new();
	GHashTableIter iter;
	gpointer name;
	guint i;

	g_hash_table_iter_init(&iter, set->by_name);
	while (g_hash_table_iter_next(&iter, &name, NULL))
		g_ptr_array_add(names, name);
	g_ptr_array_sort(names, by_name);
	for (i = 0; i < names->len; i++) {
		const struct ctr *c =
		    g_hash_table_lookup(set->by_name, names->pdata[i]);

		g_string_append_printf(
		    out, "%s %" G_GINT64_FORMAT "\n", c->name, c->value);
	}
	g_ptr_array_unref(names);
}
