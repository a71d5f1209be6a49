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
		    &g_array_index(ends, struct sus_end, i), keeper_now(k));
		if (i + 1 < ends->len &&
		    entries->len <
			SIDE_TERMINATIONS_MAX * SIDE_TERMINATION_BYTES)
			continue;
		message.entries = (struct slice){ entries->data, entries->len };
		if (to != NULL)
			dgram_send(
			    k->dgram, to, &side_terminations_desc, &message);
		else
			keeper_send_all(k, &side_terminations_desc, &message);
		g_byte_array_set_size(entries, 0);
	}
	g_byte_array_unref(entries);
}

static void
tell_content(struct keeper *k, uint64_t content)
{
	GArray *ends = g_array_new(FALSE, FALSE, sizeof(struct sus_end));

	if (sus_is_known(k->suspects, content))
		sus_ends_of(k->suspects, content, ends);
	send_ends(k, ends, NULL);
	g_array_unref(ends);
}

static void
tell_again_later(struct keeper *k, uint64_t content)
{
	struct again again = { .content = content,
		.due_us = keeper_now(k) + again_us[0] };
	guint i;

	for (i = 0; i < k->repeats->len; i++) {
		if (g_array_index(k->repeats, struct again, i).content ==
		    content)
			g_array_remove_index_fast(k->repeats, i);
	}
	if (k->repeats->len < AGAIN_MAX)
		g_array_append_val(k->repeats, again);
}

static void
take_end(struct keeper *k, const struct sus_end *end)
{
	GArray *cleared;
	bool was_known = sus_is_known(k->suspects, end->content);

	if (!sus_told(k->suspects, end))
		return;
	if (end->weight == SUS_CLEARED && was_known) {
		cleared = g_array_new(FALSE, FALSE, sizeof(struct sus_end));
		g_array_append_vals(cleared, end, 1);
		send_ends(k, cleared, NULL);
		g_array_unref(cleared);
	}
	if (!sus_is_known(k->suspects, end->content))
		return;
	if (!was_known)
		evt(EVT_SUSPECT,
		    "content=%016" G_GINT64_MODIFIER "x outcome=held",
		    end->content);
	tell_content(k, end->content);
	tell_again_later(k, end->content);
}

void
keeper_take_terminations(struct keeper *k, const struct side_terminations *ends)
{
	struct sus_end end;
	size_t i;

	for (i = 0; i < side_terminations_count(ends); i++) {
		side_termination_get(ends, i, keeper_now(k), &end);
		take_end(k, &end);
	}
}

void
keeper_send_terminations(struct keeper *k, const char *gateway)
{
	GArray *ends = g_array_new(FALSE, FALSE, sizeof(struct sus_end));

	sus_ends_known(k->suspects, ends);
	send_ends(k, ends, gateway);
	g_array_unref(ends);
}

void
keeper_terminations_tick(struct keeper *k)
{
	struct again *again;
	guint i = 0;

	sus_sweep(k->suspects, keeper_now(k));
	while (i < k->repeats->len) {
		again = &g_array_index(k->repeats, struct again, i);
		if (keeper_now(k) < again->due_us) {
			i++;
			continue;
		}
		tell_content(k, again->content);
		again->told++;
		if (again->told < G_N_ELEMENTS(again_us))
			again->due_us = keeper_now(k) + again_us[again->told];
		else
			g_array_remove_index_fast(k->repeats, i);
	}
}

void
keeper_terminations_open(struct keeper *k)
{
	k->suspects = sus_new(0);
	k->repeats = g_array_new(FALSE, FALSE, sizeof(struct again));
}
