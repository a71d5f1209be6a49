/*
 * Requests that were in flight at targets that terminated. Each gateway reports
 * those that it sent, and its probes; the keeper counts them over all gateways.
 */

#include "serve/fingerprint.h"
#include "serve/side.h"
#include "side/keeper.h"

/* A request that is to be blocked is reported again after each of these times:
 * a gateway may have stalled or been cut off. */
static const int64_t repeat_us[] = { 700000, 2500000 };
#define REPEATS_MAX 64 /* fingerprints to be reported again */

struct repeat {
	uint64_t fingerprint;
	unsigned int sent; /* number of repeats so far */
	int64_t due_us;
};

/* Sends `terminations` to one gateway, or to all (NULL). */
static void
send_terminations(struct keeper *k, const GArray *terminations, const char *to)
{
	GByteArray *entries = g_byte_array_new();
	struct side_terminations message;
	guint i;

	for (i = 0; i < terminations->len; i++) {
		side_termination_put(entries,
		    &g_array_index(terminations, struct sus_termination, i),
		    keeper_now(k));
		if (i + 1 < terminations->len &&
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
send_fingerprint(struct keeper *k, uint64_t fingerprint)
{
	GArray *terminations =
	    g_array_new(FALSE, FALSE, sizeof(struct sus_termination));

	if (sus_was_blocked(k->suspects, fingerprint))
		sus_terminations_of(k->suspects, fingerprint, terminations);
	send_terminations(k, terminations, NULL);
	g_array_unref(terminations);
}

static void
schedule_repeat(struct keeper *k, uint64_t fingerprint)
{
	struct repeat repeat = { .fingerprint = fingerprint,
		.due_us = keeper_now(k) + repeat_us[0] };
	guint i;

	for (i = 0; i < k->repeats->len; i++) {
		if (g_array_index(k->repeats, struct repeat, i).fingerprint ==
		    fingerprint)
			g_array_remove_index_fast(k->repeats, i);
	}
	if (k->repeats->len < REPEATS_MAX)
		g_array_append_val(k->repeats, repeat);
}

static void
send_one(struct keeper *k, const struct sus_termination *termination)
{
	GArray *terminations =
	    g_array_new(FALSE, FALSE, sizeof(struct sus_termination));

	g_array_append_vals(terminations, termination, 1);
	send_terminations(k, terminations, NULL);
	g_array_unref(terminations);
}

/* The identity has a termination or a probe that was not known. */
static void
note_termination(struct keeper *k, uint64_t fingerprint, bool was_blocked)
{
	if (!sus_was_blocked(k->suspects, fingerprint))
		return;
	if (!was_blocked)
		evt(EVT_SUSPECT, "%s=%016" G_GINT64_MODIFIER "x outcome=held",
		    fpr_kind_name(fingerprint), fingerprint);
	send_fingerprint(k, fingerprint);
	schedule_repeat(k, fingerprint);
}

static void
take_termination(struct keeper *k, const struct sus_termination *termination)
{
	uint64_t fingerprint = termination->fingerprint;
	bool was_blocked = sus_was_blocked(k->suspects, fingerprint);
	struct sus_termination refutation;

	switch (sus_report(k->suspects, termination, keeper_now(k))) {
	case SUS_KNOWN:
		break;
	case SUS_NEW:
		if (termination->weight == SUS_CLEARED && was_blocked)
			send_one(k, termination);
		note_termination(k, fingerprint, was_blocked);
		break;
	case SUS_REFUTED:
		refutation = sus_refutation(k->suspects, fingerprint);
		send_one(k, &refutation);
		break;
	}
}

void
keeper_take_terminations(
    struct keeper *k, const struct side_terminations *terminations)
{
	struct sus_termination termination;
	size_t i;

	for (i = 0; i < side_terminations_count(terminations); i++) {
		side_termination_get(
		    terminations, i, keeper_now(k), &termination);
		take_termination(k, &termination);
	}
}

void
keeper_send_terminations(struct keeper *k, const char *gateway)
{
	GArray *terminations =
	    g_array_new(FALSE, FALSE, sizeof(struct sus_termination));

	sus_blocked_terminations(k->suspects, terminations);
	send_terminations(k, terminations, gateway);
	g_array_unref(terminations);
}

void
keeper_terminations_tick(struct keeper *k)
{
	struct repeat *repeat;
	guint i = 0;

	sus_sweep(k->suspects, keeper_now(k), NULL);
	while (i < k->repeats->len) {
		repeat = &g_array_index(k->repeats, struct repeat, i);
		if (keeper_now(k) < repeat->due_us) {
			i++;
			continue;
		}
		send_fingerprint(k, repeat->fingerprint);
		repeat->sent++;
		if (repeat->sent < G_N_ELEMENTS(repeat_us))
			repeat->due_us =
			    keeper_now(k) + repeat_us[repeat->sent];
		else
			g_array_remove_index_fast(k->repeats, i);
	}
}

void
keeper_terminations_open(struct keeper *k)
{
	k->suspects = sus_new(0);
	k->repeats = g_array_new(FALSE, FALSE, sizeof(struct repeat));
}
