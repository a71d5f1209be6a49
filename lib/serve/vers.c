/* Minimum versions of the weights. */

#include <string.h>

#include "serve/vers.h"

struct vers_announcement {
	int64_t version;
	int64_t announced_us;
	/* Announced before this process started, at an unknown time. */
	bool estimated;
};

/* Announced versions of a model, oldest first: all before their deadlines, the
 * newest one after it, and the one before the newest. */
struct vers_model {
	char model[SV_ID_MAX];
	GArray *announced; /* struct vers_announcement */
};

struct vers {
	int64_t grace_us, enforce_us;
	GHashTable *models; /* name -> struct vers_model */
};

static struct vers_announcement *
at(const struct vers_model *m, guint i)
{
	return &g_array_index(m->announced, struct vers_announcement, i);
}

static void
model_free(gpointer data)
{
	struct vers_model *m = data;

	g_array_unref(m->announced);
	g_free(m);
}

struct vers *
vers_new(int64_t grace_us, int64_t enforce_us)
{
	struct vers *v = g_new0(struct vers, 1);

	v->grace_us = grace_us;
	v->enforce_us = enforce_us;
	v->models =
	    g_hash_table_new_full(g_str_hash, g_str_equal, NULL, model_free);
	return v;
}

void
vers_free(struct vers *v)
{
	g_hash_table_unref(v->models);
	g_free(v);
}

static struct vers_model *
model_of(struct vers *v, const char *name)
{
	struct vers_model *m = g_hash_table_lookup(v->models, name);

	if (m != NULL)
		return m;
	m = g_new0(struct vers_model, 1);
	m->announced =
	    g_array_new(FALSE, FALSE, sizeof(struct vers_announcement));
	g_strlcpy(m->model, name, sizeof(m->model));
	g_hash_table_insert(v->models, m->model, m);
	return m;
}

/* Drops versions whose successor has passed its deadline, too: what is loaded
 * may then serve no longer by either of them. */
static void
drop_passed(const struct vers *v, struct vers_model *m, int64_t now_us)
{
	while (m->announced->len > 2 &&
	    (v->grace_us == 0 ||
		at(m, 1)->announced_us + v->grace_us <= now_us))
		g_array_remove_index(m->announced, 0);
}

bool
vers_announced(struct vers *v, const struct sv_version *announced, bool old,
    int64_t announced_us)
{
	struct vers_model *m = model_of(v, announced->model);
	guint n = m->announced->len;
	struct vers_announcement fresh = {
		.version = announced->version,
		.announced_us = announced_us,
		.estimated = old,
	};

	if (n > 0 && at(m, n - 1)->version >= announced->version)
		return false;
	if (old)
		fresh.announced_us =
		    MAX(announced_us, v->enforce_us) - v->grace_us;
	g_array_append_val(m->announced, fresh);
	drop_passed(v, m, announced_us);
	return true;
}

/*
 * Inserts a version older than the newest known one. A process that lists the
 * store after two announcements sees only the last, but what is loaded may have
 * to stop serving at the deadline of the first. A version whose deadline is not
 * before the next one's adds nothing.
 */
static bool
insert_older(const struct vers *v, struct vers_model *m, int64_t version,
    int64_t reported_us)
{
	struct vers_announcement older = {
		.version = version,
		.announced_us = MAX(reported_us, v->enforce_us - v->grace_us),
	};
	guint i = 0;

	while (i < m->announced->len && at(m, i)->version < version)
		i++;
	if (i == m->announced->len ||
	    older.announced_us >= at(m, i)->announced_us)
		return false;
	g_array_insert_val(m->announced, i, older);
	return true;
}

bool
vers_reported(
    struct vers *v, const char *model, int64_t version, int64_t announced_us)
{
	struct sv_version announced = { .version = version };
	struct vers_model *m = model_of(v, model);
	guint i;

	for (i = 0; i < m->announced->len; i++) {
		if (at(m, i)->version != version)
			continue;
		if (!at(m, i)->estimated ||
		    announced_us <= at(m, i)->announced_us)
			return false;
		at(m, i)->announced_us = announced_us;
		at(m, i)->estimated = false;
		return true;
	}
	if (m->announced->len > 0 &&
	    at(m, m->announced->len - 1)->version > version)
		return insert_older(v, m, version, announced_us);
	g_strlcpy(announced.model, model, sizeof(announced.model));
	return vers_announced(v, &announced, false, announced_us);
}

int64_t
vers_extend(struct vers *v, int64_t from_us, int64_t until_us)
{
	GHashTableIter iter;
	gpointer model;
	struct vers_model *m;
	int64_t longest_us = 0;
	guint i;

	g_hash_table_iter_init(&iter, v->models);
	while (g_hash_table_iter_next(&iter, NULL, &model)) {
		m = model;
		for (i = 0; i < m->announced->len; i++) {
			if (at(m, i)->estimated ||
			    at(m, i)->announced_us + v->grace_us <= from_us)
				continue;
			longest_us =
			    MAX(longest_us, until_us - at(m, i)->announced_us);
			at(m, i)->announced_us =
			    MAX(at(m, i)->announced_us, until_us);
		}
	}
	return longest_us;
}

int64_t
vers_min(const struct vers *v, const char *model, int64_t at_us)
{
	const struct vers_model *m =
	    model == NULL ? NULL : g_hash_table_lookup(v->models, model);
	int64_t least = 0;
	guint i;

	for (i = 0; m != NULL && v->grace_us > 0 && i < m->announced->len;
	     i++) {
		if (at(m, i)->announced_us + v->grace_us <= at_us)
			least = at(m, i)->version;
	}
	return least;
}

int64_t
vers_deadline_us(const struct vers *v, const char *model, int64_t loaded)
{
	const struct vers_model *m =
	    model == NULL ? NULL : g_hash_table_lookup(v->models, model);
	guint i;

	for (i = 0; m != NULL && v->grace_us > 0 && i < m->announced->len;
	     i++) {
		if (at(m, i)->version > loaded)
			return at(m, i)->announced_us + v->grace_us;
	}
	return 0;
}

int64_t
vers_newest(const struct vers *v, const char *model)
{
	const struct vers_model *m = g_hash_table_lookup(v->models, model);

	return m == NULL || m->announced->len == 0
	    ? 0
	    : at(m, m->announced->len - 1)->version;
}

int64_t
vers_desired(const struct vers *v, const char *model, bool read, int64_t loaded)
{
	int64_t newest = vers_newest(v, model);

	if (newest == 0 && !read)
		newest = loaded;
	return MAX(newest, VERS_FIRST);
}

int64_t
vers_pending(const struct vers *v, const char *model, int64_t now_us,
    int64_t *announced_us)
{
	const struct vers_model *m = g_hash_table_lookup(v->models, model);
	const struct vers_announcement *older;

	if (m == NULL || m->announced->len < 2)
		return 0;
	older = at(m, m->announced->len - 2);
	if (v->grace_us > 0 && older->announced_us + v->grace_us <= now_us)
		return 0;
	*announced_us = older->announced_us;
	return older->version;
}

int64_t
vers_announced_us(const struct vers *v, const char *model)
{
	const struct vers_model *m = g_hash_table_lookup(v->models, model);

	return m == NULL || m->announced->len == 0
	    ? 0
	    : at(m, m->announced->len - 1)->announced_us;
}
