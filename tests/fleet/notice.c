/*
 * What engines announce about themselves in answers, and the check that each
 * gateway heeds it: from two seconds after a gateway relayed an answer that
 * announced the engine's stop, it sends nothing to that engine; after a refusal
 * with Retry-After, it sends at most two requests between half a second later
 * and the end of that time. The same for what the store acknowledged: two
 * seconds later no request goes to an engine whose record announces its stop,
 * or is handled by older settings, and no gateway goes back to older ones.
 */

#include "fleet.h"

#define LEAVE_REACTION_US 2000000
#define RETRY_REACTION_US 500000
#define EARLY_ALLOWED 2
#define ACK_REACTION_US 2000000
#define STORE_STABLE_US 3000000
#define ROLLBACK_SLACK_US 250000
#define HEARD_US 700000 /* changes reach all gateways of a stable store */

static void
report(struct fleet *f, const char *id, int64_t since_us, const char *what)
{
	int64_t now_us = evl_now_us(f->loop);
	double at = (double)g_get_real_time() / G_USEC_PER_SEC;

	/* tools/soak.sh reads the first six fields. */
	g_printerr("unheeded at %.3f gateway %zu since %.3f: %s %s\n", at,
	    fleet_gateway_of(id),
	    at - (double)(now_us - since_us) / G_USEC_PER_SEC, id, what);
	if (f->check_notices)
		f->tally.unheeded++;
}

/* Whether gateways must know at `at_us` what the store acknowledged at `acked_us`:
 * it has been stable for `stable_us`. */
static bool
must_be_known(
    const struct fleet *f, int64_t acked_us, int64_t at_us, int64_t stable_us)
{
	return at_us - acked_us > ACK_REACTION_US &&
	    at_us - fleet_store_disturbed_us(f) > stable_us;
}

static bool
is_known_by_now(const struct fleet *f, int64_t acked_us)
{
	return must_be_known(f, acked_us, evl_now_us(f->loop), STORE_STABLE_US);
}

/* Whether gateways had heard of what was acknowledged before the last drill. */
static bool
was_heard_before_drill(const struct fleet *f, int64_t acked_us)
{
	return f->drill_us != 0 && acked_us <= f->drill_us - HEARD_US &&
	    acked_us >= f->before_drill_us + STORE_STABLE_US &&
	    evl_now_us(f->loop) - acked_us > ACK_REACTION_US;
}

void
fleet_settings_used(struct fleet *f, unsigned int generation, const char *id)
{
	size_t gateway = fleet_gateway_of(id);
	const int64_t *sent_us = g_hash_table_lookup(f->sent, id);
	int64_t next_us; /* the store took the generation after this one */

	/* A request is handled by the settings at its acceptance, also when a
	 * queue or a second target delays it; others are not recorded. */
	if (sent_us == NULL)
		return;
	if (generation < f->generation) {
		next_us = g_array_index(f->renamed_us, int64_t, generation);
		if (must_be_known(f, next_us, *sent_us, fleet_away_stable_us()))
			report(f, id, next_us, "was handled by older settings");
	}
	if (generation > f->seen_generation[gateway]) {
		f->seen_generation[gateway] = generation;
		f->seen_us[gateway] = evl_now_us(f->loop);
	} else if (generation < f->seen_generation[gateway] &&
	    *sent_us - f->seen_us[gateway] > ROLLBACK_SLACK_US)
		report(
		    f, id, f->seen_us[gateway], "came by settings of before");
}

void
fleet_notice_arrived(struct fleet *f, struct fleet_notice *n,
    const struct fleet_proxy *path, const char *id, bool wrong_engine)
{
	struct fleet_told *told = &n->told[fleet_gateway_of(id)];
	int64_t now_us = evl_now_us(f->loop);
	int64_t disturbed_us = fleet_proxy_disturbed_us(path);

	if (!wrong_engine && n->drained_us != 0 &&
	    disturbed_us < n->drained_us &&
	    (is_known_by_now(f, n->drained_us) ||
		was_heard_before_drill(f, n->drained_us)))
		report(f, id, n->drained_us, "reached a draining engine");
	if (!wrong_engine && told->leaving_us != 0 &&
	    disturbed_us < told->leaving_us &&
	    now_us - told->leaving_us > LEAVE_REACTION_US)
		report(f, id, told->leaving_us, "reached a leaving engine");
	if (now_us < told->retry_from_us + RETRY_REACTION_US ||
	    now_us >= told->retry_until_us ||
	    disturbed_us >= told->retry_from_us)
		return;
	if (++told->early > EARLY_ALLOWED)
		report(f, id, told->retry_from_us, "came before Retry-After");
}

void
fleet_notice_refused(struct fleet *f, struct fleet_notice *n, const char *id)
{
	struct fleet_told *told = &n->told[fleet_gateway_of(id)];
	int64_t now_us = evl_now_us(f->loop);

	if (n->retry_after_s <= 0)
		return;
	if (now_us >= told->retry_until_us) {
		told->retry_from_us = now_us;
		told->early = 0;
	}
	told->retry_until_us =
	    now_us + (int64_t)(n->retry_after_s * G_USEC_PER_SEC);
}

void
fleet_notice_relayed(struct fleet *f, struct fleet_notice *n, const char *id)
{
	struct fleet_told *told = &n->told[fleet_gateway_of(id)];

	if (n->leaving && told->leaving_us == 0)
		told->leaving_us = evl_now_us(f->loop);
}
