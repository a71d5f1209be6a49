/* Which version of the weights may serve. */

#include <string.h>

#include "serve/vers.h"

struct vers {
	int64_t due_us, bound_us;
	GHashTable *models; /* name -> struct vers_model */
};

struct vers *
vers_new(int64_t due_us, int64_t bound_us)
{
	struct vers *v = g_new0(struct vers, 1);

	v->due_us = due_us;
	v->bound_us = bound_us;
	v->models =
	    g_hash_table_new_full(g_str_hash, g_str_equal, NULL, g_free);
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
	g_strlcpy(m->model, name, sizeof(m->model));
	g_hash_table_insert(v->models, m->model, m);
	return m;
}

bool
vers_named(
    struct vers *v, const struct sv_version *named, bool old, int64_t heard_us)
{
	struct vers_model *m = model_of(v, named->model);
	unsigned int n = m->nnamed;

	if (n > 0 && m->named[n - 1].version >= named->version)
		return false;
	if (n == VERS_KEPT) {
		memmove(&m->named[0], &m->named[1],
		    (VERS_KEPT - 1) * sizeof(m->named[0]));
		n--;
	}
	m->named[n].version = named->version;
	m->named[n].heard_us = heard_us;
	m->named[n].guessed = old;
	if (old)
		m->named[n].heard_us = MAX(heard_us, v->bound_us) - v->due_us;
	m->nnamed = n + 1;
	return true;
}

/*
 * A version from between those known. Whoever lists the store after two were
 * named is told only the last; what is loaded may have to end with the first.
 * One that is due no sooner than the next says nothing that this does not.
 */
static bool
insert_older(const struct vers *v, struct vers_model *m, int64_t version,
    int64_t told_us)
{
	int64_t heard_us = MAX(told_us, v->bound_us - v->due_us);
	unsigned int at = 0;

	while (at < m->nnamed && m->named[at].version < version)
		at++;
	if (at == m->nnamed || m->nnamed == VERS_KEPT ||
	    heard_us >= m->named[at].heard_us)
		return false;
	memmove(&m->named[at + 1], &m->named[at],
	    (m->nnamed - at) * sizeof(m->named[0]));
	m->named[at].version = version;
	m->named[at].heard_us = heard_us;
	m->named[at].guessed = false;
	m->nnamed++;
	return true;
}

bool
vers_told(struct vers *v, const char *model, int64_t version, int64_t heard_us)
{
	struct sv_version named = { .version = version };
	struct vers_model *m = model_of(v, model);
	unsigned int i;

	for (i = 0; i < m->nnamed; i++) {
		if (m->named[i].version != version)
			continue;
		if (!m->named[i].guessed || heard_us <= m->named[i].heard_us)
			return false;
		m->named[i].heard_us = heard_us;
		m->named[i].guessed = false;
		return true;
	}
	if (m->nnamed > 0 && m->named[m->nnamed - 1].version > version)
		return insert_older(v, m, version, heard_us);
	g_strlcpy(named.model, model, sizeof(named.model));
	return vers_named(v, &named, false, heard_us);
}

void
vers_hold(struct vers *v, int64_t from_us, int64_t until_us)
{
	GHashTableIter iter;
	gpointer model;
	struct vers_model *m;
	unsigned int i;

	g_hash_table_iter_init(&iter, v->models);
	while (g_hash_table_iter_next(&iter, NULL, &model)) {
		m = model;
		for (i = 0; i < m->nnamed; i++) {
			if (m->named[i].guessed ||
			    m->named[i].heard_us + v->due_us <= from_us)
				continue;
			m->named[i].heard_us =
			    MAX(m->named[i].heard_us, until_us);
		}
	}
}

int64_t
vers_least(const struct vers *v, const char *model, int64_t at_us)
{
	const struct vers_model *m =
	    model == NULL ? NULL : g_hash_table_lookup(v->models, model);
	int64_t least = 0;
	unsigned int i;

	for (i = 0; m != NULL && v->due_us > 0 && i < m->nnamed; i++) {
		if (m->named[i].heard_us + v->due_us <= at_us)
			least = m->named[i].version;
	}
	return least;
}

int64_t
vers_end_us(const struct vers *v, const char *model, int64_t loaded)
{
	const struct vers_model *m =
	    model == NULL ? NULL : g_hash_table_lookup(v->models, model);
	unsigned int i;

	for (i = 0; m != NULL && v->due_us > 0 && i < m->nnamed; i++) {
		if (m->named[i].version > loaded)
			return m->named[i].heard_us + v->due_us;
	}
	return 0;
}

int64_t
vers_newest(const struct vers *v, const char *model)
{
	const struct vers_model *m = g_hash_table_lookup(v->models, model);

	return m == NULL || m->nnamed == 0 ? 0
					   : m->named[m->nnamed - 1].version;
}

int64_t
vers_pending(
    const struct vers *v, const char *model, int64_t now_us, int64_t *heard_us)
{
	const struct vers_model *m = g_hash_table_lookup(v->models, model);
	unsigned int at;

	if (m == NULL || m->nnamed < 2)
		return 0;
	at = m->nnamed - 2;
	if (v->due_us > 0 && m->named[at].heard_us + v->due_us <= now_us)
		return 0;
	*heard_us = m->named[at].heard_us;
	return m->named[at].version;
}

int64_t
vers_heard_us(const struct vers *v, const char *model)
{
	const struct vers_model *m = g_hash_table_lookup(v->models, model);

	return m == NULL || m->nnamed == 0 ? 0
					   : m->named[m->nnamed - 1].heard_us;
}
