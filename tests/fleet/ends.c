/*
 * Requests that their gateway ended without an answer. `unread`: a request was
 * sent whole over a kept connection, well within the idle limit, and the
 * connection ended without a byte. `given_up`: the gateway cancelled a run that
 * was sound, no other run of the request broke off, its time was not over, and
 * its caller, who stayed, got neither an answer nor a refusal.
 */

#include "fleet.h"

/* A gateway may end an attempt so long before the request's time is over. */
#define DEADLINE_MARGIN_US 100000

struct fleet_ending {
	int64_t cancelled_us; /* first cancellation of a sound run; 0: none */
	size_t engine; /* of this run */
	bool broke; /* another run did, so that its caller may get nothing */
};

static struct fleet_ending *
ending_of(struct fleet *f, const char *id)
{
	struct fleet_ending *e = g_hash_table_lookup(f->endings, id);

	if (e != NULL)
		return e;
	e = g_new0(struct fleet_ending, 1);
	g_hash_table_insert(f->endings, g_strdup(id), e);
	return e;
}

void
fleet_run_cancelled(struct fleet *f, const char *id, size_t engine)
{
	struct fleet_ending *e = ending_of(f, id);

	if (e->cancelled_us != 0)
		return;
	e->cancelled_us = evl_now_us(f->loop);
	e->engine = engine;
}

void
fleet_run_broke(struct fleet *f, const char *id)
{
	ending_of(f, id)->broke = true;
}

/* tools/soak.sh reads the first six fields after the name of the check. */
static void
report(struct fleet *f, const char *check, size_t gateway, int64_t since_us)
{
	int64_t now_us = evl_now_us(f->loop);
	double at = (double)g_get_real_time() / G_USEC_PER_SEC;

	g_printerr("%s at %.3f gateway %zu since %.3f: ", check, at, gateway,
	    at - (double)(now_us - since_us) / G_USEC_PER_SEC);
}

void
fleet_ends_unanswered(struct fleet *f, const char *id, int64_t sent_us,
    int64_t time_us, unsigned int status)
{
	const struct fleet_ending *e = g_hash_table_lookup(f->endings, id);
	int64_t until_us = sent_us + time_us - DEADLINE_MARGIN_US;

	if (e == NULL || e->cancelled_us == 0 || e->cancelled_us >= until_us)
		return;
	report(f, e->broke ? "taken_over" : "given_up", fleet_gateway_of(id),
	    sent_us);
	g_printerr("%s cancelled at engine %zu after %" G_GINT64_FORMAT
		   " ms, status %u\n",
	    id, e->engine, (e->cancelled_us - sent_us) / 1000, status);
	if (!e->broke)
		f->tally.given_up++;
}

void
fleet_ends_unread(struct fleet *f, const char *id, size_t gateway,
    int64_t sent_us, int64_t idle_us, enum raw_end end)
{
	f->tally.unread++;
	report(f, "unread", gateway, sent_us);
	g_printerr("%s sent after %" G_GINT64_FORMAT
		   " ms of idleness of %" G_GINT64_FORMAT " allowed, %s\n",
	    id, idle_us / 1000, fleet_settings_safe_idle_us() / 1000,
	    end == RAW_RESET ? "reset" : "closed");
}
