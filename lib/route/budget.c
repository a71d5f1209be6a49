/* Retries held to a part of the requests, over a window of slots. */

#include <string.h>

#include "route/limit.h"

static void
turn_slots(struct bud *bud, int64_t now_us)
{
	int64_t number = now_us / (BUD_SLOT_MS * 1000);

	if (number - bud->slot_number >= BUD_SLOTS) {
		memset(bud->slot, 0, sizeof(bud->slot));
		bud->slot_number = number;
	}
	while (bud->slot_number < number) {
		bud->slot_number++;
		memset(&bud->slot[bud->slot_number % BUD_SLOTS], 0,
		    sizeof(bud->slot[0]));
	}
}

void
bud_request(struct bud *bud, int64_t now_us)
{
	turn_slots(bud, now_us);
	bud->slot[bud->slot_number % BUD_SLOTS].requests++;
}

void
bud_retry(struct bud *bud, int64_t now_us)
{
	turn_slots(bud, now_us);
	bud->slot[bud->slot_number % BUD_SLOTS].retries++;
}

/*
 * When most targets fail, each request would come back as several, and the
 * targets that are left would drown in retries. Held to a part of the requests,
 * retries add no more than that part to the load.
 */
bool
bud_has_room(struct bud *bud, unsigned int permille, int64_t now_us)
{
	uint64_t requests = 0, retries = 0;
	size_t i;

	turn_slots(bud, now_us);
	for (i = 0; i < BUD_SLOTS; i++) {
		requests += bud->slot[i].requests;
		retries += bud->slot[i].retries;
	}
	if (permille == 0)
		return false;
	return retries < BUD_FLOOR + requests * permille / 1000;
}
