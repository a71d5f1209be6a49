/* One process's share of a retry budget. */

#include <glib.h>
#include <string.h>

#include "common/spend.h"

/* Clears the slots that have expired since the last call. */
static void
advance(struct spend *s, const struct spend_conf *conf, int64_t now_us)
{
	int64_t slot = now_us / (conf->window_us / SPEND_WINDOW_SLOTS);

	if (slot - s->slot >= SPEND_SLOTS) {
		memset(s, 0, sizeof(*s));
		s->slot = slot;
	}
	while (s->slot < slot) {
		s->slot++;
		s->requests[s->slot % SPEND_SLOTS] = 0;
		s->extra[s->slot % SPEND_SLOTS] = 0;
	}
}

void
spend_request(struct spend *s, const struct spend_conf *conf, int64_t now_us)
{
	advance(s, conf, now_us);
	s->requests[s->slot % SPEND_SLOTS]++;
}

void
spend_add(struct spend *s, const struct spend_conf *conf, int64_t now_us)
{
	advance(s, conf, now_us);
	s->extra[s->slot % SPEND_SLOTS]++;
}

struct spend_usage
spend_usage(struct spend *s, const struct spend_conf *conf, int64_t now_us)
{
	struct spend_usage usage = { 0 };
	int i;

	advance(s, conf, now_us);
	for (i = 0; i < SPEND_SLOTS; i++) {
		usage.requests += s->requests[i];
		usage.extra += s->extra[i];
	}
	return usage;
}

double
spend_remaining(struct spend *s, const struct spend_conf *conf, int64_t now_us)
{
	struct spend_usage usage = spend_usage(s, conf, now_us);

	return conf->usable *
	    (conf->ratio * usage.requests +
		conf->slack / MAX(1, conf->processes)) -
	    usage.extra;
}

bool
spend_take(struct spend *s, const struct spend_conf *conf, int64_t now_us)
{
	if (spend_remaining(s, conf, now_us) < 1)
		return false;
	spend_add(s, conf, now_us);
	return true;
}
