/* Message heads: of requests to targets and of answers to callers. */

#include <string.h>

#include "serve/fwd_internal.h"

/* Headers that apply to one connection only, or that are generated here. */
static const char *const hop_headers[] = { "Connection", "Keep-Alive",
	"Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization", "TE",
	"Trailer", "Transfer-Encoding", "Upgrade", "Content-Length", "Expect" };

/* Request headers that are set here, whatever the caller sent. */
static const enum sv_field gateway_fields[] = { SV_F_DEADLINE_MS,
	SV_F_WORKSPACE, SV_F_KEY, SV_F_EXPECT_INSTANCE, SV_F_EXPECT_VERSION,
	SV_F_URGENCY, SV_F_LAST_EVENT };

#define URGENCY_MAX 9

static bool
is_hop_header(const struct hmsg *m, struct hslice name)
{
	const struct hheader *connection = hmsg_find(m, "Connection");
	char token[64];
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(hop_headers); i++) {
		if (hslice_is(name, hop_headers[i]))
			return true;
	}
	/* The sender may list further connection-specific headers. */
	if (connection == NULL || name.n >= sizeof(token))
		return false;
	memcpy(token, name.p, name.n);
	token[name.n] = '\0';
	return hslice_has_token(connection->value, token);
}

static bool
is_gateway_field(const struct sv_dialect *d, struct hslice name)
{
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(gateway_fields); i++) {
		if (hslice_is(name, d->header[gateway_fields[i]]))
			return true;
	}
	return false;
}

static void
append_header(GString *out, const struct hheader *h)
{
	g_string_append_len(out, h->name.p, (gssize)h->name.n);
	g_string_append(out, ": ");
	g_string_append_len(out, h->value.p, (gssize)h->value.n);
	g_string_append(out, "\r\n");
}

static void append_field(GString *out, const struct sv_dialect *d,
    enum sv_field field, const char *format, ...) G_GNUC_PRINTF(4, 5);

static void
append_field(GString *out, const struct sv_dialect *d, enum sv_field field,
    const char *format, ...)
{
	va_list args;

	g_string_append_printf(out, "%s: ", d->header[field]);
	va_start(args, format);
	g_string_append_vprintf(out, format, args);
	va_end(args);
	g_string_append(out, "\r\n");
}

static void
append_gateway_fields(GString *out, struct fwd_req *r, struct tgt *target)
{
	const struct sv_dialect *d = r->fwd->conf.dialect;
	int64_t left_ms = (r->deadline_us - fwd_now(r)) / 1000;
	int64_t least;

	append_field(
	    out, d, SV_F_DEADLINE_MS, "%" G_GINT64_FORMAT, MAX(1, left_ms));
	if (r->workspace != NULL)
		append_field(out, d, SV_F_WORKSPACE, "%s", r->workspace->name);
	/* The address may meanwhile belong to another target, which then
	 * refuses the request instead of running it. */
	append_field(out, d, SV_F_EXPECT_INSTANCE, "%s", target->record.id);
	if (r->model == NULL)
		return;
	append_field(
	    out, d, SV_F_URGENCY, "%d", CLAMP(r->priority, 0, URGENCY_MAX));
	least = vers_min(r->fwd->conf.versions, r->model, fwd_now(r));
	/* An engine refuses the request once an order in doubt took effect. */
	if ((least > 0 || target->uncertain) && target->version > 0)
		append_field(out, d, SV_F_EXPECT_VERSION, "%" G_GINT64_FORMAT,
		    target->version);
}

static void
append_last_event(GString *out, struct fwd_req *r, const struct hmsg *m)
{
	const struct sv_dialect *d = r->fwd->conf.dialect;
	const struct hheader *asked = hmsg_find(m, d->header[SV_F_LAST_EVENT]);

	if (r->has_event)
		append_field(out, d, SV_F_LAST_EVENT, "%" G_GINT64_FORMAT,
		    r->last_event);
	else if (asked != NULL)
		append_header(out, asked);
}

GString *
fwd_request_head(struct fwd_req *r, struct tgt *target)
{
	const struct hmsg *m = hreq_msg(r->caller);
	GString *out = g_string_sized_new(1024);
	bool had_body = m->framing == HFRAMING_CHUNKED ||
	    (m->framing == HFRAMING_LENGTH && m->length > 0);
	const struct hheader *h;
	size_t i, len;

	(void)hreq_body(r->caller, &len);
	g_string_append_printf(out, "%s ", m->method);
	g_string_append_len(out, m->target.p, (gssize)m->target.n);
	g_string_append(out, " HTTP/1.1\r\n");
	for (i = 0; i < m->nheaders; i++) {
		h = &m->headers[i];
		if (!is_hop_header(m, h->name) &&
		    !is_gateway_field(r->fwd->conf.dialect, h->name))
			append_header(out, h);
	}
	append_gateway_fields(out, r, target);
	append_last_event(out, r, m);
	if (had_body || len > 0 || hmsg_find(m, "Content-Length") != NULL)
		g_string_append_printf(out, "Content-Length: %zu\r\n", len);
	g_string_append(out, "\r\n");
	return out;
}

void
fwd_answer_headers(const struct hmsg *m, GString *out)
{
	size_t i;

	for (i = 0; i < m->nheaders; i++) {
		if (!is_hop_header(m, m->headers[i].name))
			append_header(out, &m->headers[i]);
	}
}
