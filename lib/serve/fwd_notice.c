/* What a target states about itself in the head of an answer: that it is about
 * to stop, or when it wants requests again. */

#include "serve/fwd_internal.h"

/* Longest Retry-After that is taken as stated; bounds what a faulty target can
 * ask for. */
#define RETRY_AFTER_MAX_S (7 * 24 * 3600.0)

/* Parses a number of seconds, which may have a fraction but neither sign nor
 * exponent. Returns false for anything else. */
static bool
parse_seconds(struct hslice value, double *out)
{
	size_t i;

	for (i = 0; i < value.n; i++) {
		if (!g_ascii_isdigit(value.p[i]) && value.p[i] != '.')
			return false;
	}
	return hslice_double(value, out);
}

static void
read_leaving(struct fwd_attempt *a, const struct hmsg *m)
{
	struct fwd_req *r = a->req;
	const struct hheader *h = fwd_find_header(r, m, SV_F_LEAVING);

	if (h == NULL || !hslice_is(h->value, "1") ||
	    !tgt_announced_leaving(r->fwd->conf.targets, a->target, fwd_now(r)))
		return;
	evt(EVT_NOTICE,
	    "target=%s address=%s start=%" G_GINT64_FORMAT
	    " said=leaving from=answer answer_to=%s sent_ms_ago=%" G_GINT64_FORMAT,
	    a->target->record.id, a->target->record.address,
	    a->target->record.start_ms, r->id,
	    (fwd_now(r) - a->sent_us) / 1000);
}

static void
read_retry_after(struct fwd_attempt *a, const struct hmsg *m)
{
	struct fwd_req *r = a->req;
	const struct hheader *h = fwd_find_header(r, m, SV_F_RETRY_AFTER);
	int64_t now_us = fwd_now(r), until_us;
	double seconds;

	if ((m->status != 503 && m->status != 429) || h == NULL ||
	    !parse_seconds(h->value, &seconds))
		return;
	until_us = now_us +
	    (int64_t)(MIN(seconds, RETRY_AFTER_MAX_S) * G_USEC_PER_SEC);
	if (!tgt_asked_retry_after(
		r->fwd->conf.targets, a->target, until_us, now_us))
		return;
	fwd_pump_at(r->fwd, until_us);
	evt(EVT_NOTICE,
	    "target=%s address=%s start=%" G_GINT64_FORMAT
	    " said=retry_after ms=%" G_GINT64_FORMAT
	    " from=answer answer_to=%s sent_ms_ago=%" G_GINT64_FORMAT,
	    a->target->record.id, a->target->record.address,
	    a->target->record.start_ms, (until_us - now_us) / 1000, r->id,
	    (now_us - a->sent_us) / 1000);
}

void
fwd_read_notices(struct fwd_attempt *a, const struct hmsg *m)
{
	read_leaving(a, m);
	read_retry_after(a, m);
}
