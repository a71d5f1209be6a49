/* What a request may share with others: its content, parts of its prompt. */

#include <string.h>

#include "serve/fwd_internal.h"

/* Several headers of one name are equal to one with their values in a list. */
static GString *
join_values(const struct hmsg *m, const char *name)
{
	GString *joined = g_string_new(NULL);
	size_t i;

	for (i = 0; i < m->nheaders; i++) {
		if (!hslice_is(m->headers[i].name, name))
			continue;
		if (joined->len > 0)
			g_string_append_c(joined, ',');
		g_string_append_len(joined, m->headers[i].value.p,
		    (gssize)m->headers[i].value.n);
	}
	return joined;
}

/* The ids point into the joined values, which the caller frees. */
static GString *
find_ids(const struct fwd_req *r, struct slice ids[FWD_PARTS_MAX], size_t *n)
{
	const struct sv_dialect *d = r->fwd->conf.dialect;
	GString *values =
	    join_values(hreq_msg(r->caller), d->header[SV_F_PREFIX]);
	struct slice value = { (const uint8_t *)values->str, values->len };

	*n = d->shared_parts == NULL
	    ? 0
	    : d->shared_parts(value, ids, FWD_PARTS_MAX);
	return values;
}

/* ------------------------------------------------------------------ */
/* Fingerprints                                                        */
/* ------------------------------------------------------------------ */

uint64_t
fwd_content(struct fwd_req *r)
{
	struct fpr_content content = {
		.host = r->route->host,
		.target = hreq_msg(r->caller)->target,
		.workspace = r->workspace == NULL ? NULL : r->workspace->name,
	};

	if (r->content == 0) {
		content.body = hreq_body(r->caller, &content.body_len);
		r->content = fpr_of(&content);
	}
	return r->content;
}

static bool
has_part(const struct fwd_req *r, uint64_t fingerprint)
{
	size_t i;

	for (i = 0; i < r->nparts; i++) {
		if (r->parts[i] == fingerprint)
			return true;
	}
	return false;
}

void
fwd_read_parts(struct fwd_req *r)
{
	struct slice ids[FWD_PARTS_MAX];
	uint64_t fingerprint;
	GString *values;
	size_t n, i;

	if (r->parts_read)
		return;
	r->parts_read = true;
	values = find_ids(r, ids, &n);
	r->parts = g_new(uint64_t, n);
	for (i = 0; i < n; i++) {
		fingerprint = fpr_of_part(ids[i]);
		if (!has_part(r, fingerprint))
			r->parts[r->nparts++] = fingerprint;
	}
	g_string_free(values, TRUE);
}

size_t
fwd_identities(struct fwd_req *r, uint64_t identities[FWD_IDENTITIES_MAX])
{
	fwd_read_parts(r);
	identities[0] = fwd_content(r);
	if (r->nparts > 0)
		memcpy(
		    identities + 1, r->parts, r->nparts * sizeof(r->parts[0]));
	return 1 + r->nparts;
}

bool
fwd_has_identity(struct fwd_req *r, uint64_t fingerprint)
{
	fwd_read_parts(r);
	return fpr_kind_of(fingerprint) == FPR_PART
	    ? has_part(r, fingerprint)
	    : fwd_content(r) == fingerprint;
}

/* ------------------------------------------------------------------ */
/* Names for log lines                                                 */
/* ------------------------------------------------------------------ */

/* Callers choose the ids: bytes that would end the pair in a log line are
 * replaced. */
static size_t
append_id(char *out, size_t at, struct slice id)
{
	size_t i;

	if (at > 0)
		out[at++] = ',';
	for (i = 0; i < id.len; i++)
		out[at++] =
		    g_ascii_isalnum(id.data[i]) ? (char)id.data[i] : '?';
	return at;
}

void
fwd_parts_text(const struct fwd_req *r, char out[FWD_PARTS_TEXT])
{
	struct slice ids[FWD_PARTS_MAX];
	size_t n, i, at = 0;
	GString *values = find_ids(r, ids, &n);

	for (i = 0; i < n && at + 1 + ids[i].len < FWD_PARTS_TEXT; i++)
		at = append_id(out, at, ids[i]);
	if (at == 0)
		out[at++] = '-';
	out[at] = '\0';
	g_string_free(values, TRUE);
}

/* The id of the part, as the caller wrote it; truncated. */
static void
part_text(const struct fwd_req *r, uint64_t part, char out[FWD_PARTS_TEXT])
{
	struct slice ids[FWD_PARTS_MAX];
	size_t n, i, at = 0;
	GString *values = find_ids(r, ids, &n);

	for (i = 0; i < n && fpr_of_part(ids[i]) != part; i++)
		;
	if (i < n) {
		ids[i].len = MIN(ids[i].len, FWD_PARTS_TEXT - 1);
		at = append_id(out, 0, ids[i]);
	}
	out[at] = '\0';
	g_string_free(values, TRUE);
}

void
fwd_blocked_by_text(const struct fwd_req *r, char out[FWD_BLOCKED_BY_TEXT])
{
	char id[FWD_PARTS_TEXT] = "";

	if (r->blocked_by == 0) {
		g_strlcpy(out, "-", FWD_BLOCKED_BY_TEXT);
		return;
	}
	if (fpr_kind_of(r->blocked_by) == FPR_PART)
		part_text(r, r->blocked_by, id);
	g_snprintf(out, FWD_BLOCKED_BY_TEXT,
	    "%s:%016" G_GINT64_MODIFIER "x%s%s", fpr_kind_name(r->blocked_by),
	    r->blocked_by, id[0] == '\0' ? "" : ":", id);
}
