/* Entries of the list of engines that another writer of the store wrote. */

#include <popt.h>

#include "fleet.h"

/* Nothing listens there, and it is no address of an engine of the fleet. */
#define UNUSED_ADDRESS "127.0.0.1:9"
/* A version that nobody announced, and that a count of 64 bits holds. */
#define UNKNOWN_VERSION "4611686018427387904"

static int claim_s;
static struct evl_timer claim;
static struct fleet *fleet; /* of the timers */

struct poptOption *
fleet_odd_options(void)
{
	static struct poptOption options[] = {
		{ "odd-claim", 0, POPT_ARG_INT, &claim_s, 0,
		    "seconds to an entry that claims a version that "
		    "was never announced; 0: none",
		    "N" },
		POPT_TABLEEND
	};

	return options;
}

static void
on_claim(struct evl_timer *t)
{
	fleet_store_put(fleet, "servers", "claim",
	    "{\"service\":\"" FLEET_LLM "\",\"address\":\"" UNUSED_ADDRESS "\","
	    "\"zone\":\"z0\",\"version\":\"v1\",\"slots\":8,"
	    "\"state\":\"ready\",\"coldMs\":0,\"sequence\":1,"
	    "\"models\":[{\"name\":\"" FLEET_MODEL "\","
	    "\"version\":" UNKNOWN_VERSION "}]}");
}

void
fleet_odd_start(struct fleet *f)
{
	int64_t now_us = evl_now_us(f->loop);

	fleet = f;
	claim.fire = on_claim;
	if (claim_s > 0)
		evl_timer_set(f->loop, &claim,
		    now_us + (int64_t)claim_s * G_USEC_PER_SEC);
}
