/*
 * Requests under which targets ended: gateways tell of them, each of those that
 * it sent itself; here they are counted over all gateways.
 */

#include "serve/side.h"
#include "side/keeper.h"

/* What is to be held is told again after each of these: a gateway may have
 * stood still or been cut off. */
static const int64_t again_us[] = { 700000, 2500000 };
#define AGAIN_MAX 64 /* contents that are to be told again */

struct again {
	uint64_t content;
	unsigned int told; /* times so far, beside the first */
	int64_t due_us;
};

/* Sends `ends` to one gateway, or to all (NULL). */
static void
send_ends(struct keeper *k, const GArray *ends, const char *to)
{
	GByteArray *entries = g_byte_array_new();
	struct side_terminations message;
	guint i;

	for (i = 0; i < ends->len; i++) {
		side_termination_put(entries,
		    &g_array_index(ends, struct sus_termination, i),
		    keeper_now(k));
		if (i + 1 < ends->len &&
		    entries->len <
			SIDE_TERMINATIONS_MAX * SIDE_TERMINATION_BYTES)
			continue;
		message.entries = (struct slice){ entries->data, entries->len };
		if (to != NULL)
			dgram_send(
			    k->dgram, to, &side_terminations_desc, &message);
		else
			keeper_tell_all(k, &side_terminations_desc, &message);
		g_byte_array_set_size(entries, 0);
	}
	g_byte_array_unref(entries);
}

static void
tell_content(struct keeper *k, uint64_t content)
{
	GArray *ends =
	    g_array_new(FALSE, FALSE, sizeof(struct sus_termination));

	if (sus_was_blocked(k->suspects, content))
		sus_terminations_of(k->suspects, content, ends);
	send_ends(k, ends, NULL);
	g_array_unref(ends);
}

static void
tell_again_later(struct keeper *k, uint64_t content)
{
	struct again again = { .content = content,
		.due_us = keeper_now(k) + again_us[0] };
	guint i;

	for (i = 0; i < k->ends_again->len; i++) {
		if (g_array_index(k->ends_again, struct again, i).content ==
		    content)
			g_array_remove_index_fast(k->ends_again, i);
	}
	if (k->ends_again->len < AGAIN_MAX)
		g_array_append_val(k->ends_again, again);
}

static void
take_end(struct keeper *k, const struct sus_termination *end)
{
	GArray *cleared;
	bool was_known = sus_was_blocked(k->suspects, end->fingerprint);

	if (!sus_report(k->suspects, end))
		return;
	if (end->weight == SUS_CLEARED && was_known) {
		cleared =
		    g_array_new(FALSE, FALSE, sizeof(struct sus_termination));
		g_array_append_vals(cleared, end, 1);
		send_ends(k, cleared, NULL);
		g_array_unref(cleared);
	}
	if (!sus_was_blocked(k->suspects, end->fingerprint))
		return;
	if (!was_known)
		evt(EVT_SUSPECT,
		    "content=%016" G_GINT64_MODIFIER "x outcome=held",
		    end->fingerprint);
	tell_content(k, end->fingerprint);
	tell_again_later(k, end->fingerprint);
}

void
keeper_take_ends(struct keeper *k, const struct side_terminations *ends)
{
	struct sus_termination end;
	size_t i;

	for (i = 0; i < side_terminations_count(ends); i++) {
		side_termination_get(ends, i, keeper_now(k), &end);
		take_end(k, &end);
	}
}

void
keeper_greet_ends(struct keeper *k, const char *gateway)
{
	GArray *ends =
	    g_array_new(FALSE, FALSE, sizeof(struct sus_termination));

	sus_blocked_terminations(k->suspects, ends);
	send_ends(k, ends, gateway);
	g_array_unref(ends);
}

void
keeper_ends_tick(struct keeper *k)
{
	struct again *again;
	guint i = 0;

	sus_sweep(k->suspects, keeper_now(k));
	while (i < k->ends_again->len) {
		again = &g_array_index(k->ends_again, struct again, i);
		if (keeper_now(k) < again->due_us) {
			i++;
			continue;
		}
		tell_content(k, again->content);
		again->told++;
		if (again->told < G_N_ELEMENTS(again_us))
			again->due_us = keeper_now(k) + again_us[again->told];
		else
			g_array_remove_index_fast(k->ends_again, i);
	}
}

void
keeper_ends_open(struct keeper *k)
{
	k->suspects = sus_new(0);
	k->ends_again = g_array_new(FALSE, FALSE, sizeof(struct again));
}
