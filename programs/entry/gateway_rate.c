/* Rate limits of targets: reports to and from sidecars, and their permits. */

#include <string.h>

#include "entry/gateway.h"

/*
 * The limit that answers of the target to this gateway stated; before any, the
 * limit that is applied here. A permit request carries the latter also if those
 * answers stated none: a sidecar that has just started would take an old answer
 * without a limit for the end of the limit.
 */
static struct side_rate
rate_report(const struct tgt *t, bool want_permit, int64_t now_us)
{
	const struct rate *r = &t->rate;
	bool direct = r->local_us != 0 && (r->local_limit > 0 || !want_permit);

	return (struct side_rate){
		.address = slice_str(t->record.address),
		.limit_milli =
		    rate_to_milli(direct ? r->local_limit : r->limit),
		.direct = direct,
		.want_permit = want_permit,
		.age_ms =
		    direct ? (uint64_t)MAX(0, now_us - r->local_us) / 1000 : 0,
	};
}

static void
send_rate(
    const struct tgt *t, const struct tgt *at, bool want_permit, void *ctx)
{
	struct gateway *g = ctx;
	struct side_rate report =
	    rate_report(t, want_permit, evl_now_us(g->st.loop));
	char to[SV_ADDRESS_MAX];

	if (!gateway_sidecar_address(g, at, to))
		return;
	if (want_permit)
		ctr_add(ctr_get(g->st.counters, "permits_asked"), 1);
	dgram_send(g->peers, to, &side_rate_desc, &report);
}

void
gateway_rate_open(struct gateway *g)
{
	struct tgt_policy *policy = tgt_set_policy(g->set);

	policy->report_rate = send_rate;
	policy->rate_ctx = g;
}

void
gateway_rate_reported(
    struct gateway *g, struct tgt *t, const struct side_report *report)
{
	double before = t->rate.limit;
	double limit = rate_of_milli(report->limit_milli);

	if (report->limit_known &&
	    rate_side_reported(&t->rate, limit, evl_now_us(g->st.loop)))
		evt(EVT_LIMIT,
		    "target=%s address=%s limit=%.2f before=%.2f from=keeper",
		    t->record.id, t->record.address, limit, before);
}

void
gateway_rate_relayed(struct gateway *g, const struct side_rate *rate)
{
	double limit = rate_of_milli(rate->limit_milli), before;
	char address[SV_ADDRESS_MAX];
	struct tgt *t;

	slice_copy(rate->address, address, sizeof(address));
	t = tgt_by_address(g->set, address);
	if (t == NULL || t->side_report_us != 0)
		return;
	before = t->rate.limit;
	if (rate_relayed(&t->rate, limit))
		evt(EVT_LIMIT,
		    "target=%s address=%s limit=%.2f before=%.2f from=keeper",
		    t->record.id, t->record.address, limit, before);
}

void
gateway_rate_permit(struct gateway *g, const struct side_permit *permit)
{
	char address[SV_ADDRESS_MAX];
	struct tgt *t;

	slice_copy(permit->address, address, sizeof(address));
	t = tgt_by_address(g->set, address);
	if (t == NULL)
		return;
	ctr_add(ctr_get(g->st.counters, "permits_got"), 1);
	rate_permit(&t->rate, evl_now_us(g->st.loop));
}
