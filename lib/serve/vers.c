/* Minimum versions of the weights. */

#include <string.h>

#include "serve/vers.h"

struct vers {
	int64_t grace_us, enforce_us;
	GHashTable *models; /* name -> struct vers_model */
};

struct vers *
vers_new(int64_t grace_us, int64_t enforce_us)
{
	struct vers *v = g_new0(struct vers, 1);

	v->grace_us = grace_us;
	v->enforce_us = enforce_us;
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
vers_announced(struct vers *v, const struct sv_version *announced, bool old,
    int64_t announced_us)
{
	struct vers_model *m = model_of(v, announced->model);
	unsigned int n = m->nannounced;

	if (n > 0 && m->announced[n - 1].version >= announced->version)
		return false;
	if (n == VERS_PENDING_MAX) {
		memmove(&m->announced[0], &m->announced[1],
		    (VERS_PENDING_MAX - 1) * sizeof(m->announced[0]));
		n--;
	}
	m->announced[n].version = announced->version;
	m->announced[n].announced_us = announced_us;
	m->announced[n].estimated = old;
	if (old)
		m->announced[n].announced_us =
		    MAX(announced_us, v->enforce_us) - v->grace_us;
	m->nannounced = n + 1;
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
	int64_t announced_us = MAX(reported_us, v->enforce_us - v->grace_us);
	unsigned int at = 0;

	while (at < m->nannounced && m->announced[at].version < version)
		at++;
	if (at == m->nannounced || m->nannounced == VERS_PENDING_MAX ||
	    announced_us >= m->announced[at].announced_us)
		return false;
	memmove(&m->announced[at + 1], &m->announced[at],
	    (m->nannounced - at) * sizeof(m->announced[0]));
	m->announced[at].version = version;
	m->announced[at].announced_us = announced_us;
	m->announced[at].estimated = false;
	m->nannounced++;
	return true;
}

bool
vers_reported(
    struct vers *v, const char *model, int64_t version, int64_t announced_us)
{
	struct sv_version announced = { .version = version };
	struct vers_model *m = model_of(v, model);
	unsigned int i;

	for (i = 0; i < m->nannounced; i++) {
		if (m->announced[i].version != version)
			continue;
		if (!m->announced[i].estimated ||
		    announced_us <= m->announced[i].announced_us)
			return false;
		m->announced[i].announced_us = announced_us;
		m->announced[i].estimated = false;
		return true;
	}
	if (m->nannounced > 0 &&
	    m->announced[m->nannounced - 1].version > version)
		return insert_older(v, m, version, announced_us);
	g_strlcpy(announced.model, model, sizeof(announced.model));
	return vers_announced(v, &announced, false, announced_us);
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
			if (m->announced[i].estimated ||
			    m->announced[i].announced_us + v->grace_us <=
				from_us)
				continue;
			m->announced[i].announced_us =
			    MAX(m->announced[i].announced_us, until_us);
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

	for (i = 0; m != NULL && v->grace_us > 0 && i < m->nannounced; i++) {
		if (m->announced[i].announced_us + v->grace_us <= at_us)
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

	for (i = 0; m != NULL && v->grace_us > 0 && i < m->nannounced; i++) {
		if (m->announced[i].version > loaded)
			return m->announced[i].announced_us + v->grace_us;
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
vers_pending(const struct vers *v, const char *model, int64_t now_us,
    int64_t *announced_us)
{
	const struct vers_model *m = g_hash_table_lookup(v->models, model);
	unsigned int at;

	if (m == NULL || m->nannounced < 2)
		return 0;
	at = m->nannounced - 2;
	if (v->grace_us > 0 &&
	    m->announced[at].announced_us + v->grace_us <= now_us)
		return 0;
	*announced_us = m->announced[at].announced_us;
	return m->announced[at].version;
}

int64_t
vers_announced_us(const struct vers *v, const char *model)
{
	const struct vers_model *m = g_hash_table_lookup(v->models, model);

	return m == NULL || m->nannounced == 0
	    ? 0
	    : m->announced[m->nannounced - 1].announced_us;
}
