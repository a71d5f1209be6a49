/* Rate limits of targets: what keepers are told, and permits that they give. */

#include <string.h>

#include "entry/gateway.h"

/* What its own answers said. But a question is asked by the limit that it holds
 * to: a keeper that has just started would take an old answer for the end. */
static struct side_rate
word_of(const struct tgt *t, bool ask, int64_t now_us)
{
	const struct rate *r = &t->rate;
	bool own = r->local_us != 0 && (r->local_limit > 0 || !ask);

	return (struct side_rate){
		.address = slice_str(t->record.address),
		.limit_milli = rate_to_milli(own ? r->local_limit : r->limit),
		.direct = own,
		.want_permit = ask,
		.age_ms =
		    own ? (uint64_t)MAX(0, now_us - r->local_us) / 1000 : 0,
	};
}

static void
tell_rate(const struct tgt *t, const struct tgt *at, bool ask, void *ctx)
{
	struct gateway *g = ctx;
	struct side_rate word = word_of(t, ask, evl_now_us(g->st.loop));
	char to[SV_ADDRESS_MAX];

	if (!gateway_keeper_of(g, at, to))
		return;
	if (ask)
		ctr_add(ctr_get(g->st.counters, "permits_asked"), 1);
	dgram_send(g->peers, to, &side_rate_desc, &word);
}

void
gateway_rate_open(struct gateway *g)
{
	struct tgt_policy *policy = tgt_set_policy(g->set);

	policy->report_rate = tell_rate;
	policy->rate_ctx = g;
}

void
gateway_rate_load(
    struct gateway *g, struct tgt *t, const struct side_report *load)
{
	double before = t->rate.limit;
	double limit = rate_of_milli(load->limit_milli);

	if (load->limit_known &&
	    rate_side_reported(&t->rate, limit, evl_now_us(g->st.loop)))
		evt(EVT_LIMIT,
		    "target=%s address=%s limit=%.2f before=%.2f from=keeper",
		    t->record.id, t->record.address, limit, before);
}

void
gateway_rate_told(struct gateway *g, const struct side_rate *rate)
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
