/* Requests under which targets ended: what keepers are told, and tell. */

#include "entry/gateway.h"

/* Keepers that count the ends of one content. They are found by rendezvous
 * hashing among those that are heard; gateways that hear others than this one
 * still have some of them in common. */
#define COUNTERS 3
/* What is held is told again this often: keepers may have started again, or
 * others may be the ones that count. */
#define REFRESH_US 5000000

static void
send_ends(
    struct gateway *g, uint64_t content, const struct side_terminations *ends)
{
	const struct tgt *at[COUNTERS];
	char to[SV_ADDRESS_MAX];
	size_t n, i;

	n = tgt_sides(g->set, content, evl_now_us(g->st.loop), at, COUNTERS);
	for (i = 0; i < n; i++) {
		if (gateway_keeper_of(g, at[i], to))
			dgram_send(g->peers, to, &side_terminations_desc, ends);
	}
}

void
gateway_ends_tell(const struct sus_termination *ends, size_t n, void *ctx)
{
	struct gateway *g = ctx;
	GByteArray *entry = g_byte_array_new();
	struct side_terminations one;
	size_t i;

	for (i = 0; i < n; i++) {
		g_byte_array_set_size(entry, 0);
		side_termination_put(entry, &ends[i], evl_now_us(g->st.loop));
		one.entries = (struct slice){ entry->data, entry->len };
		send_ends(g, ends[i].fingerprint, &one);
	}
	g_byte_array_unref(entry);
}

/* Tells all ends of each content that is held, one datagram a content. */
static void
refresh(struct gateway *g)
{
	GArray *ends =
	    g_array_new(FALSE, FALSE, sizeof(struct sus_termination));
	GByteArray *entries = g_byte_array_new();
	const struct sus_termination *end;
	struct side_terminations message;
	guint i;

	fwd_blocked_terminations(g->fwd, ends);
	for (i = 0; i < ends->len; i++) {
		end = &g_array_index(ends, struct sus_termination, i);
		side_termination_put(entries, end, evl_now_us(g->st.loop));
		if (i + 1 < ends->len && end[1].fingerprint == end->fingerprint)
			continue;
		message.entries = (struct slice){ entries->data, entries->len };
		send_ends(g, end->fingerprint, &message);
		g_byte_array_set_size(entries, 0);
	}
	g_byte_array_unref(entries);
	g_array_unref(ends);
}

static void
on_refresh(struct evl_timer *timer)
{
	struct gateway *g = CONTAINER_OF(timer, struct gateway, ends);

	refresh(g);
	evl_timer_set(g->st.loop, timer, evl_now_us(g->st.loop) + REFRESH_US);
}

void
gateway_ends_open(struct gateway *g)
{
	g->ends.fire = on_refresh;
	evl_timer_set(
	    g->st.loop, &g->ends, evl_now_us(g->st.loop) + REFRESH_US);
}

void
gateway_ends_take(struct gateway *g, const struct side_terminations *ends)
{
	struct sus_termination end;
	size_t i;

	for (i = 0; i < side_terminations_count(ends); i++) {
		side_termination_get(ends, i, evl_now_us(g->st.loop), &end);
		fwd_report_termination(g->fwd, &end);
	}
}
