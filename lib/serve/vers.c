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
vers_announced(
    struct vers *v, const struct sv_version *named, bool old, int64_t heard_us)
{
	struct vers_model *m = model_of(v, named->model);
	unsigned int n = m->nannounced;

	if (n > 0 && m->announced[n - 1].version >= named->version)
		return false;
	if (n == VERS_PENDING_MAX) {
		memmove(&m->announced[0], &m->announced[1],
		    (VERS_PENDING_MAX - 1) * sizeof(m->announced[0]));
		n--;
	}
	m->announced[n].version = named->version;
	m->announced[n].heard_us = heard_us;
	m->announced[n].guessed = old;
	if (old)
		m->announced[n].heard_us =
		    MAX(heard_us, v->bound_us) - v->due_us;
	m->nannounced = n + 1;
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

	while (at < m->nannounced && m->announced[at].version < version)
		at++;
	if (at == m->nannounced || m->nannounced == VERS_PENDING_MAX ||
	    heard_us >= m->announced[at].heard_us)
		return false;
	memmove(&m->announced[at + 1], &m->announced[at],
	    (m->nannounced - at) * sizeof(m->announced[0]));
	m->announced[at].version = version;
	m->announced[at].heard_us = heard_us;
	m->announced[at].guessed = false;
	m->nannounced++;
	return true;
}

bool
vers_reported(
    struct vers *v, const char *model, int64_t version, int64_t heard_us)
{
	struct sv_version named = { .version = version };
	struct vers_model *m = model_of(v, model);
	unsigned int i;

	for (i = 0; i < m->nannounced; i++) {
		if (m->announced[i].version != version)
			continue;
		if (!m->announced[i].guessed ||
		    heard_us <= m->announced[i].heard_us)
			return false;
		m->announced[i].heard_us = heard_us;
		m->announced[i].guessed = false;
		return true;
	}
	if (m->nannounced > 0 &&
	    m->announced[m->nannounced - 1].version > version)
		return insert_older(v, m, version, heard_us);
	g_strlcpy(named.model, model, sizeof(named.model));
	return vers_announced(v, &named, false, heard_us);
}

void
vers_extend(struct vers *v, int64_t from_us, int64_t until_us)
{
	GHashTableIter iter;
	gpointer model;
	struct vers_model *m;
	unsigned int i;

	g_hash_table_iter_init(&iter, v->models);
	while (g_hash_table_iter_next(&iter, NULL, &model)) {
		m = model;
		for (i = 0; i < m->nannounced; i++) {
			if (m->announced[i].guessed ||
			    m->announced[i].heard_us + v->due_us <= from_us)
				continue;
			m->announced[i].heard_us =
			    MAX(m->announced[i].heard_us, until_us);
		}
	}
}

int64_t
vers_min(const struct vers *v, const char *model, int64_t at_us)
{
	const struct vers_model *m =
	    model == NULL ? NULL : g_hash_table_lookup(v->models, model);
	int64_t least = 0;
	unsigned int i;

	for (i = 0; m != NULL && v->due_us > 0 && i < m->nannounced; i++) {
		if (m->announced[i].heard_us + v->due_us <= at_us)
			least = m->announced[i].version;
	}
	return least;
}

int64_t
vers_deadline_us(const struct vers *v, const char *model, int64_t loaded)
{
	const struct vers_model *m =
	    model == NULL ? NULL : g_hash_table_lookup(v->models, model);
	unsigned int i;

	for (i = 0; m != NULL && v->due_us > 0 && i < m->nannounced; i++) {
		if (m->announced[i].version > loaded)
			return m->announced[i].heard_us + v->due_us;
	}
	return 0;
}

int64_t
vers_newest(const struct vers *v, const char *model)
{
	const struct vers_model *m = g_hash_table_lookup(v->models, model);

	return m == NULL || m->nannounced == 0
	    ? 0
	    : m->announced[m->nannounced - 1].version;
}

int64_t
vers_pending(
    const struct vers *v, const char *model, int64_t now_us, int64_t *heard_us)
{
	const struct vers_model *m = g_hash_table_lookup(v->models, model);
	unsigned int at;

	if (m == NULL || m->nannounced < 2)
		return 0;
	at = m->nannounced - 2;
	if (v->due_us > 0 && m->announced[at].heard_us + v->due_us <= now_us)
		return 0;
	*heard_us = m->announced[at].heard_us;
	return m->announced[at].version;
}

int64_t
vers_announced_us(const struct vers *v, const char *model)
{
	const struct vers_model *m = g_hash_table_lookup(v->models, model);

	return m == NULL || m->nannounced == 0
	    ? 0
	    : m->announced[m->nannounced - 1].heard_us;
}
