/* Retry budget: retries limited to a share of the requests. */

#include "route/limit.h"

/*
 * When most targets fail, each request would cause several attempts, and the
 * retries would overload the remaining targets. With the budget, retries add no
 * more than the given share to the load.
 */
static struct spend_conf
conf_of(unsigned int permille)
{
	return (struct spend_conf){ .ratio = permille / 1000.0,
		.slack = BUD_MIN_RETRIES,
		.window_us = (int64_t)BUD_SLOTS * BUD_SLOT_MS * 1000,
		.processes = 1 };
}

void
bud_request(struct bud *bud, int64_t now_us)
{
	struct spend_conf conf = conf_of(0);

	spend_request(&bud->spend, &conf, now_us);
}

void
bud_retry(struct bud *bud, int64_t now_us)
{
	struct spend_conf conf = conf_of(0);

	spend_add(&bud->spend, &conf, now_us);
}

bool
bud_has_room(struct bud *bud, unsigned int permille, int64_t now_us)
{
	struct spend_conf conf = conf_of(permille);

	return permille > 0 && spend_remaining(&bud->spend, &conf, now_us) >= 1;
}
