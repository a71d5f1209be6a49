/* What a request shares with others: the parts of its prompt. */

#include "serve/fwd_internal.h"

#define PARTS_MAX 256 /* of a request; further ones are ignored */

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
read_parts(const struct fwd_req *r, struct slice ids[PARTS_MAX], size_t *n)
{
	const struct sv_dialect *d = r->fwd->conf.dialect;
	GString *values =
	    join_values(hreq_msg(r->caller), d->header[SV_F_PREFIX]);
	struct slice value = { (const uint8_t *)values->str, values->len };

	*n = d->shared_parts == NULL ? 0
				     : d->shared_parts(value, ids, PARTS_MAX);
	return values;
}

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
	struct slice ids[PARTS_MAX];
	size_t n, i, at = 0;
	GString *values = read_parts(r, ids, &n);

	for (i = 0; i < n && at + 1 + ids[i].len < FWD_PARTS_TEXT; i++)
		at = append_id(out, at, ids[i]);
	if (at == 0)
		out[at++] = '-';
	out[at] = '\0';
	g_string_free(values, TRUE);
}
