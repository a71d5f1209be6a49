/*
 * Terminations of targets and the requests that were in flight there, answers that
 * clear these, and probes: exchanged with the sidecars that count them for all
 * gateways.
 */

#include "entry/gateway.h"

/* Sidecars that count the terminations of one fingerprint. They are selected by
 * rendezvous hashing among the live ones, so that gateways that receive reports
 * from different sidecars still select some of the same. */
#define COUNTERS 3
/* Terminations of blocked requests are sent again this often: sidecars may have
 * restarted, or other ones may now be selected. */
#define REFRESH_US 5000000

static void
send_terminations(struct gateway *g, uint64_t fingerprint,
    const struct side_terminations *terminations)
{
	const struct tgt *at[COUNTERS];
	char to[SV_ADDRESS_MAX];
	size_t n, i;

	n = tgt_sides(
	    g->set, fingerprint, evl_now_us(g->st.loop), at, COUNTERS);
	for (i = 0; i < n; i++) {
		if (gateway_sidecar_address(g, at[i], to))
			dgram_send(g->peers, to, &side_terminations_desc,
			    terminations);
	}
}

void
gateway_terminations_send(
    const struct sus_termination *terminations, size_t n, void *ctx)
{
	struct gateway *g = ctx;
	GByteArray *entry = g_byte_array_new();
	struct side_terminations message;
	size_t i;

	for (i = 0; i < n; i++) {
		g_byte_array_set_size(entry, 0);
		side_termination_put(
		    entry, &terminations[i], evl_now_us(g->st.loop));
		message.entries = (struct slice){ entry->data, entry->len };
		send_terminations(g, terminations[i].fingerprint, &message);
	}
	g_byte_array_unref(entry);
}

/* Sends all terminations of each blocked fingerprint, one datagram for each. */
static void
refresh(struct gateway *g)
{
	GArray *terminations =
	    g_array_new(FALSE, FALSE, sizeof(struct sus_termination));
	GByteArray *entries = g_byte_array_new();
	const struct sus_termination *termination;
	struct side_terminations message;
	guint i;

	fwd_blocked_terminations(g->fwd, terminations);
	for (i = 0; i < terminations->len; i++) {
		termination =
		    &g_array_index(terminations, struct sus_termination, i);
		side_termination_put(
		    entries, termination, evl_now_us(g->st.loop));
		if (i + 1 < terminations->len &&
		    termination[1].fingerprint == termination->fingerprint)
			continue;
		message.entries = (struct slice){ entries->data, entries->len };
		send_terminations(g, termination->fingerprint, &message);
		g_byte_array_set_size(entries, 0);
	}
	g_byte_array_unref(entries);
	g_array_unref(terminations);
}

static void
on_refresh(struct evl_timer *timer)
{
	struct gateway *g =
	    CONTAINER_OF(timer, struct gateway, terminations_timer);

	refresh(g);
	evl_timer_set(g->st.loop, timer, evl_now_us(g->st.loop) + REFRESH_US);
}

void
gateway_terminations_open(struct gateway *g)
{
	g->terminations_timer.fire = on_refresh;
	evl_timer_set(g->st.loop, &g->terminations_timer,
	    evl_now_us(g->st.loop) + REFRESH_US);
}

void
gateway_terminations_received(
    struct gateway *g, const struct side_terminations *terminations)
{
	struct sus_termination termination;
	size_t i;

	for (i = 0; i < side_terminations_count(terminations); i++) {
		side_termination_get(
		    terminations, i, evl_now_us(g->st.loop), &termination);
		fwd_report_termination(g->fwd, &termination);
	}
}
