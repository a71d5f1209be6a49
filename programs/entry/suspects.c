/*
 * Requests under which engines terminated, by serve/suspect.h. A gateway counts
 * the engines that its own requests were cut off by, and sends each termination
 * and probe to all other gateways. Plain services are not observed, so their
 * terminations are not known and do not count.
 */

#include <string.h>

#include "entry/request.h"
#include "serve/side.h"

#define SWEEP_MS 1000
/* A request that terminates its engine does so within this time. */
#define PROBE_US 1000000

static int64_t
now_us(void)
{
	return clk_now_us(clk_system());
}

/* ------------------------------------------------------------------ */
/* Identities                                                          */
/* ------------------------------------------------------------------ */

static uint64_t
content_of(struct request *r)
{
	struct fpr_content content = {
		.host = r->model,
		.target = { r->path, strlen(r->path) },
		.workspace = r->workspace,
	};
	gsize len = 0;

	if (r->content != 0)
		return r->content;
	if (r->body != NULL)
		content.body = g_bytes_get_data(r->body, &len);
	content.body_len = len;
	r->content = fpr_of(&content);
	return r->content;
}

static bool
has_identity(struct request *r, uint64_t fingerprint)
{
	size_t i;

	if (r->model[0] == '\0')
		return false;
	for (i = 0; i < r->nparts; i++) {
		if (r->parts[i] == fingerprint)
			return true;
	}
	return fpr_kind_of(fingerprint) == FPR_CONTENT &&
	    content_of(r) == fingerprint;
}

static uint64_t
target_hash(const struct rt_target *t)
{
	uint64_t sidecar = hash64(0, t->sidecar, strlen(t->sidecar));

	return hash64(sidecar, t->name, strlen(t->name));
}

/* ------------------------------------------------------------------ */
/* Other gateways                                                      */
/* ------------------------------------------------------------------ */

/* Sends terminations to one gateway, or to all (NULL). */
static void
send_terminations(struct entry *entry, const struct sus_termination *all,
    size_t n, const char *to)
{
	GByteArray *entries = g_byte_array_new();
	struct side_terminations message;
	size_t i;

	for (i = 0; i < n; i++) {
		side_termination_put(entries, &all[i], now_us());
		if (i + 1 < n &&
		    entries->len <
			SIDE_TERMINATIONS_MAX * SIDE_TERMINATION_BYTES)
			continue;
		message.entries = (struct slice){ entries->data, entries->len };
		if (to != NULL)
			peers_send(
			    entry, to, &side_terminations_desc, &message);
		else
			peers_send_all(
			    entry, &side_terminations_desc, &message);
		g_byte_array_set_size(entries, 0);
	}
	g_byte_array_unref(entries);
}

void
suspects_send_blocked(struct entry *entry, const char *to)
{
	GArray *all = g_array_new(FALSE, FALSE, sizeof(struct sus_termination));

	sus_blocked_terminations(entry->suspects, all);
	send_terminations(entry,
	    (const struct sus_termination *)(void *)all->data, all->len, to);
	g_array_unref(all);
}

/* ------------------------------------------------------------------ */
/* Blocking                                                            */
/* ------------------------------------------------------------------ */

/* Appends the requests with the identity that are at an engine. */
static void
find_in_flight(struct entry *entry, uint64_t fingerprint, GPtrArray *out)
{
	struct entry_sidecar *sidecar;
	GHashTableIter iter;
	gpointer r;

	TAILQ_FOREACH (sidecar, &entry->sidecars, link) {
		g_hash_table_iter_init(&iter, sidecar->streams);
		while (g_hash_table_iter_next(&iter, NULL, &r)) {
			if (has_identity(r, fingerprint))
				g_ptr_array_add(out, r);
		}
	}
}

/* Only one request at a time is sent as a probe. */
static bool
is_being_probed(struct request *r, uint64_t fingerprint)
{
	GPtrArray *in_flight;
	bool is_probed;

	if (!sus_was_blocked(r->entry->suspects, fingerprint))
		return false;
	in_flight = g_ptr_array_new();
	find_in_flight(r->entry, fingerprint, in_flight);
	is_probed = in_flight->len > 0;
	g_ptr_array_unref(in_flight);
	return is_probed;
}

static bool
is_identity_blocked(struct request *r, uint64_t fingerprint, int64_t *until_us)
{
	int64_t identity_until_us;

	if (is_being_probed(r, fingerprint))
		identity_until_us = now_us() + PROBE_US;
	else if (sus_judge(r->entry->suspects, fingerprint, now_us(),
		     &identity_until_us) != SUS_BLOCKED)
		return false;
	*until_us = MAX(*until_us, identity_until_us);
	return true;
}

bool
suspects_block(struct request *r, struct err *err)
{
	int64_t until_us = 0;
	bool is_blocked;
	size_t i;

	if (r->model[0] == '\0' || sus_is_empty(r->entry->suspects))
		return false;
	is_blocked = is_identity_blocked(r, content_of(r), &until_us);
	for (i = 0; i < r->nparts; i++)
		is_blocked |= is_identity_blocked(r, r->parts[i], &until_us);
	if (!is_blocked)
		return false;
	err_set(err, ERR_UNAVAILABLE, VERDICT_NOT_RUN,
	    "engines terminated under this request or a message of it");
	err->retry_after_ms =
	    (unsigned int)(MAX(0, until_us - now_us()) / 1000 + 1);
	request_count(r, "request_blocked");
	return true;
}

static void
each_identity(
    struct request *r, void (*note)(struct entry *entry, uint64_t fingerprint))
{
	size_t i;

	if (r->model[0] == '\0' || sus_is_empty(r->entry->suspects))
		return;
	note(r->entry, content_of(r));
	for (i = 0; i < r->nparts; i++)
		note(r->entry, r->parts[i]);
}

static void
note_identity_sent(struct entry *entry, uint64_t fingerprint)
{
	struct sus_termination probe = { .fingerprint = fingerprint,
		.weight = SUS_PROBE,
		.at_us = now_us() };

	if (sus_sent(entry->suspects, fingerprint, probe.at_us))
		send_terminations(entry, &probe, 1, NULL);
}

static void
void_identity_probe(struct entry *entry, uint64_t fingerprint)
{
	sus_void_probe(entry->suspects, fingerprint, now_us());
}

void
suspects_note_sent(struct request *r)
{
	each_identity(r, note_identity_sent);
}

void
suspects_void_probe(struct request *r)
{
	each_identity(r, void_identity_probe);
}

/* Requests that are in flight may not have begun to run: recalled in time, they
 * terminate no further engines. */
static void
recall_all(struct entry *entry, uint64_t fingerprint)
{
	GPtrArray *in_flight;
	int64_t until_us;
	guint i;

	if (sus_judge(entry->suspects, fingerprint, now_us(), &until_us) !=
	    SUS_BLOCKED)
		return;
	in_flight = g_ptr_array_new();
	find_in_flight(entry, fingerprint, in_flight);
	for (i = 0; i < in_flight->len; i++)
		request_recall(in_flight->pdata[i]);
	g_ptr_array_unref(in_flight);
}

static void
note_blocked(struct entry *entry, uint64_t fingerprint, bool was_blocked)
{
	int64_t until_us;
	char name[32];

	if (was_blocked ||
	    sus_judge(entry->suspects, fingerprint, now_us(), &until_us) !=
		SUS_BLOCKED)
		return;
	g_snprintf(
	    name, sizeof(name), "%016" G_GINT64_MODIFIER "x", fingerprint);
	tl_add(entry->proc.timeline, "request_blocked", name,
	    "%s, for %" G_GINT64_FORMAT " ms", fpr_kind_name(fingerprint),
	    (until_us - now_us()) / 1000);
	ctr_add(ctr_get(entry->proc.counters, "identities_blocked"), 1);
}

/* ------------------------------------------------------------------ */
/* Events                                                              */
/* ------------------------------------------------------------------ */

static void
note_identity_cut(struct request *r, uint64_t fingerprint)
{
	struct sus_termination termination = {
		.fingerprint = fingerprint,
		.target = target_hash(r->target),
		.weight = r->answering ? SUS_ANSWERING : SUS_UNANSWERED,
		.at_us = now_us(),
		.in_flight_us = now_us() - r->sent_us,
	};

	if (sus_cut(r->entry->suspects, &termination))
		send_terminations(r->entry, &termination, 1, NULL);
}

void
suspects_note_cut(struct request *r)
{
	size_t i;

	if (r->model[0] == '\0' || !r->target->accepting)
		return;
	note_identity_cut(r, content_of(r));
	for (i = 0; i < r->nparts; i++)
		note_identity_cut(r, r->parts[i]);
}

static void
note_identity_answered(struct request *r, uint64_t fingerprint)
{
	struct sus_termination cleared = { .fingerprint = fingerprint,
		.weight = SUS_CLEARED,
		.at_us = now_us() };

	if (sus_answered(r->entry->suspects, fingerprint, cleared.at_us))
		send_terminations(r->entry, &cleared, 1, NULL);
}

void
suspects_note_answered(struct request *r)
{
	size_t i;

	if (r->model[0] == '\0')
		return;
	for (i = 0; i < r->nparts; i++)
		note_identity_answered(r, r->parts[i]);
	if (!sus_is_empty(r->entry->suspects))
		note_identity_answered(r, content_of(r));
}

void
suspects_target_terminated(struct entry *entry, const struct rt_target *t)
{
	GArray *confirmed =
	    g_array_new(FALSE, FALSE, sizeof(struct sus_termination));
	uint64_t fingerprint;
	guint i;

	sus_target_terminated(
	    entry->suspects, target_hash(t), now_us(), confirmed);
	send_terminations(entry,
	    (const struct sus_termination *)(void *)confirmed->data,
	    confirmed->len, NULL);
	for (i = 0; i < confirmed->len; i++) {
		fingerprint =
		    g_array_index(confirmed, struct sus_termination, i)
			.fingerprint;
		note_blocked(entry, fingerprint, false);
		recall_all(entry, fingerprint);
	}
	g_array_unref(confirmed);
}

static void
take_termination(struct entry *entry, const struct sus_termination *termination)
{
	uint64_t fingerprint = termination->fingerprint;
	bool was_blocked = sus_was_blocked(entry->suspects, fingerprint);
	struct sus_termination refutation;

	switch (sus_report(entry->suspects, termination, now_us())) {
	case SUS_KNOWN:
		break;
	case SUS_NEW:
		note_blocked(entry, fingerprint, was_blocked);
		/* A probe in flight here may still be answered. */
		if (termination->weight != SUS_PROBE)
			recall_all(entry, fingerprint);
		break;
	case SUS_REFUTED:
		refutation = sus_refutation(entry->suspects, fingerprint);
		send_terminations(entry, &refutation, 1, NULL);
		break;
	}
}

void
suspects_message(struct entry *entry, const struct msg *m)
{
	struct side_terminations terminations;
	struct sus_termination termination;
	size_t i;

	if (!msg_read(m, &side_terminations_desc, &terminations, NULL))
		return;
	for (i = 0; i < side_terminations_count(&terminations); i++) {
		side_termination_get(&terminations, i, now_us(), &termination);
		take_termination(entry, &termination);
	}
}

static gboolean
on_sweep(gpointer data)
{
	struct entry *entry = data;

	sus_sweep(entry->suspects, now_us(), NULL);
	return G_SOURCE_CONTINUE;
}

void
suspects_open(struct entry *entry)
{
	entry->suspects = sus_new(rng_next(&entry->rng));
	g_timeout_add(SWEEP_MS, on_sweep, entry);
}
