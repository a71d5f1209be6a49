/* Outages of the store: the state sent to sidecars, and the deadlines of versions
 * that are extended while the store is down for all gateways. */

#include "entry/gateway.h"

/* Validity of a sidecar's report that the store answers no gateway: sidecars
 * are notified at once and report to their region's gateways every 0.25 s. */
#define ALL_DOWN_VALID_US 1000000
/* A single gateway without the store may itself be cut off from it. */
#define ALL_DOWN_MIN_GATEWAYS 2

void
gateway_outage_reported(struct gateway *g, const struct side_report *report)
{
	struct gateway_outage *o = &g->outage;

	if (report->gateways < ALL_DOWN_MIN_GATEWAYS ||
	    report->without_store != report->gateways)
		return;
	o->all_down_us = evl_now_us(g->st.loop);
	o->all_down_gateways = (unsigned int)report->gateways;
	slice_copy(report->address, o->all_down_from, sizeof(o->all_down_from));
}

static void
end_put_off(struct gateway_outage *o)
{
	if (o->put_off_us == 0)
		return;
	evt(EVT_DEADLINE, "state=running put_off_ms=%" G_GINT64_FORMAT,
	    o->put_off_us / 1000);
	o->put_off_us = 0;
}

/* Sidecars count the gateways that the store does not answer. */
static void
send_store_state(struct gateway *g, int64_t down_since_us, int64_t now_us)
{
	struct gateway_outage *o = &g->outage;
	bool down = down_since_us != 0;

	if (down == o->down)
		return;
	o->down = down;
	if (down) {
		o->down_us = now_us;
		evt(EVT_STORE_DOWN, "state=down since_ms=%" G_GINT64_FORMAT,
		    (now_us - down_since_us) / 1000);
	} else {
		evt(EVT_STORE_DOWN, "state=up ms=%" G_GINT64_FORMAT,
		    (now_us - o->down_us) / 1000);
		end_put_off(o);
	}
	gateway_desired_changed(g);
}

static void
note_put_off(struct gateway_outage *o, int64_t us, int64_t now_us)
{
	if (us > 0 && o->put_off_us == 0)
		evt(EVT_DEADLINE,
		    "state=put_off put_off_ms=%" G_GINT64_FORMAT
		    " from=%s gateways=%u report_ms=%" G_GINT64_FORMAT,
		    us / 1000, o->all_down_from, o->all_down_gateways,
		    (now_us - o->all_down_us) / 1000);
	o->put_off_us += us;
	o->total_us += us;
}

/*
 * While the store answers none of the gateways, no operator can announce, halt
 * or replace a version, and the time until a version's deadline does not run.
 * Otherwise all gateways would stop using engines whose next weights arrive
 * late, and would refuse callers, for a deadline that does not apply: in
 * outages of 8 s during the transfer of a version, two thirds of the callers
 * between 6 and 8 s. One gateway's state is not enough: a broken link between
 * it and the store is no outage.
 */
static void
extend_deadlines(struct gateway *g, int64_t down_since_us, int64_t now_us)
{
	struct gateway_outage *o = &g->outage;

	if (down_since_us != 0 && o->all_down_us != 0 &&
	    now_us - o->all_down_us < ALL_DOWN_VALID_US)
		note_put_off(o,
		    vers_extend(g->announced, down_since_us, now_us), now_us);
}

void
gateway_outage_update(struct gateway *g)
{
	int64_t now_us = evl_now_us(g->st.loop);
	int64_t down_since_us = store_down_since_us(g->store);

	send_store_state(g, down_since_us, now_us);
	extend_deadlines(g, down_since_us, now_us);
}
