/* Entries of the list of engines that another writer of the store wrote. */

#include <popt.h>

#include "fleet.h"

/* Nothing listens there, and it is no address of an engine of the fleet. */
#define UNUSED_ADDRESS "127.0.0.1:9"
/* A version that nobody announced, and that a count of 64 bits holds. */
#define UNKNOWN_VERSION "4611686018427387904"

static int claim_s, report_s;
static int64_t odd_reports_us; /* from then on; 0: never */
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
		{ "odd-report", 0, POPT_ARG_INT, &report_s, 0,
		    "seconds to reports of the first engine with numbers out "
		    "of range; 0: none",
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

const char *
fleet_odd_report(size_t engine)
{
	if (engine != 0 || odd_reports_us == 0 ||
	    evl_now_us(fleet->loop) < odd_reports_us)
		return "";
	return ",\"running\":-1,\"waiting\":1e400,\"pace\":-1.7e308";
}

void
fleet_odd_start(struct fleet *f)
{
	int64_t now_us = evl_now_us(f->loop);

	fleet = f;
	claim.fire = on_claim;
	if (report_s > 0)
		odd_reports_us = now_us + (int64_t)report_s * G_USEC_PER_SEC;
	if (claim_s > 0)
		evl_timer_set(f->loop, &claim,
		    now_us + (int64_t)claim_s * G_USEC_PER_SEC);
}
