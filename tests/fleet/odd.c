/* Entries of the list of engines that another writer of the store wrote. */

#include <popt.h>
#include <string.h>

#include "fleet.h"

/* Nothing listens there, and it is no address of an engine of the fleet. */
#define UNUSED_ADDRESS "127.0.0.1:9"
/* A version that nobody announced, and that a count of 64 bits holds. */
#define UNKNOWN_VERSION "4611686018427387904"

#define DEPTH 60000 /* of nested settings */
#define ODD_VERSION 1000 /* of the first ones, above the valid ones' */
#define OWN_GAP_US 700000
#define ONLY_ENGINE_US 1500000
#define SETTINGS_GAP_US 600000 /* time for gateways to apply them */

static int claim_s, report_s, settings_s, own_s;
static int page = 50; /* so that clients must page */
static int odd_names;
static int64_t odd_reports_us; /* from then on; 0: never */
static struct evl_timer claim, settings, own;
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
		{ "odd-settings", 0, POPT_ARG_INT, &settings_s, 0,
		    "seconds to settings that cannot be read, one after the "
		    "other; 0: none",
		    "N" },
		{ "odd-names", 0, POPT_ARG_INT, &odd_names, 0,
		    "1: entries with odd names in the list of engines; 2: one "
		    "without a name",
		    "N" },
		{ "page", 0, POPT_ARG_INT, &page, 0,
		    "objects on one page of a list", "N" },
		{ "odd-own", 0, POPT_ARG_INT, &own_s, 0,
		    "seconds to entries of the first engine that cannot be "
		    "read, until it writes its own again; 0: none",
		    "N" },
		POPT_TABLEEND
	};

	return options;
}

/* An entry of a ready engine that loaded the version. */
#define READY_ENTRY(version)                                           \
	"{\"service\":\"" FLEET_LLM "\",\"address\":\"" UNUSED_ADDRESS \
	"\",\"zone\":\"z0\",\"version\":\"v1\",\"slots\":8,"           \
	"\"state\":\"ready\",\"coldMs\":0,\"sequence\":1,"             \
	"\"models\":[{\"name\":\"" FLEET_MODEL "\",\"version\":" version "}]}"

static void
on_claim(struct evl_timer *t)
{
	fleet_store_put(
	    fleet, "servers", "claim", READY_ENTRY(UNKNOWN_VERSION));
}

/* Names that mean something in a path, a query, a header or a log line. */
static void
put_odd_names(void)
{
	static const char *const names[] = { "a&b", "a+b", "a#b", "a%b",
		"a%41b", "a b", "a=b&hasMore=x", "a/b?c", "a\"b\\", "\303\244",
		"a\nt=1 node=x ev=done service=llm address=1.2.3.4:5" };
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(names); i++)
		fleet_store_put(fleet, "servers", names[i], READY_ENTRY("1"));
}

/* With an entry after it, so that its page is not the last one. */
static void
put_unnamed(void)
{
	fleet_store_put(fleet, "servers", FLEET_UNNAMED, "null");
	fleet_store_put(fleet, "servers", FLEET_UNNAMED "-next", "null");
}

unsigned int
fleet_odd_page(void)
{
	return (unsigned int)page;
}

/* Nested so deep that a parser which calls itself for each level overflows. */
static char *
nested_routes(void)
{
	char *open = g_strnfill(DEPTH, '['), *close = g_strnfill(DEPTH, ']');
	char *text = g_strdup_printf("\"routes\":%s%s", open, close);

	g_free(open);
	g_free(close);
	return text;
}

/* Overwrites the settings with a newer version that differs from those in force
 * in one part. */
static void
on_settings(struct evl_timer *t)
{
	static const char *const parts[] = {
		"\"limits\":{\"maxHeaderBytes\":-1,\"idleTimeoutMs\":1e400}",
		"\"routes\":{}",
		"\"services\":[{\"name\":\"" FLEET_LLM "\",\"engine\":{"
		"\"slots\":8,\"chunks\":-1,\"chunkBytes\":8192,"
		"\"models\":[{\"name\":\"" FLEET_MODEL "\"}]}}]",
		"\"tenants\":[7]",
		NULL, /* nested */
		"\"routes\":[{\"host\":\"a.example\",\"pathPrefix\":\"/\","
		"\"timeoutMs\":-99999999999999999999,\"maxAttempts\":4294967296,"
		"\"service\":\"" FLEET_LLM "\"}]",
	};
	static unsigned int n;
	const char *part = parts[n % G_N_ELEMENTS(parts)];
	char *nested = part == NULL ? nested_routes() : NULL;
	char *spec = g_strdup_printf("%.*s,\"version\":%u,%s}",
	    (int)strlen(fleet->config_spec) - 1, fleet->config_spec,
	    ODD_VERSION + n, part == NULL ? nested : part);

	fleet_store_put(fleet, "config", "main", spec);
	g_free(spec);
	g_free(nested);
	if (++n < G_N_ELEMENTS(parts))
		evl_timer_set(
		    fleet->loop, t, evl_now_us(fleet->loop) + SETTINGS_GAP_US);
}

/* Overwrites the first engine's entry with the `n`th odd one; false if there are
 * no more. */
static bool
put_odd_own(unsigned int n)
{
#define ENTRY(slots, port, version)                                          \
	"{\"service\":\"" FLEET_LLM "\",\"address\":\"127.0.0.1:" port "\"," \
	"\"zone\":\"z0\",\"version\":\"v1\",\"slots\":" slots ","            \
	"\"state\":\"ready\",\"sequence\":1,\"models\":[{\"name\":"          \
	"\"" FLEET_MODEL "\",\"version\":" version "}]}"
	static const char *const specs[] = { "null", ENTRY("8", "70000", "1"),
		ENTRY("8", "9", "18446744073709551617"),
		ENTRY("-99999999999999999999", "9", "1"), NULL /* nested */ };
#undef ENTRY
	const char *id = fleet_engine_id(fleet, 0);
	char *nested;

	if (n >= G_N_ELEMENTS(specs))
		return false;
	if (specs[n] == NULL) {
		nested = g_strnfill(DEPTH, '[');
		memset(nested + DEPTH / 2, ']', DEPTH / 2);
		fleet_store_put(fleet, "servers", id, nested);
		g_free(nested);
	} else
		fleet_store_put(fleet, "servers", id, specs[n]);
	return true;
}

/* Removes the entries of all engines but the first, or publishes them again. */
static void
publish_others(bool publish)
{
	size_t i;

	for (i = 1; i < fleet->nengines && fleet_engine_is_llm(fleet, i); i++) {
		if (publish)
			fleet_engine_publish(fleet, i);
		else
			fleet_store_put(fleet, "servers",
			    fleet_engine_id(fleet, i), "null");
	}
}

/* The first engine writes its own entry again; the others' are removed for a
 * while, so that every gateway needs the first. */
static void
on_own(struct evl_timer *t)
{
	static unsigned int n;
	static bool others_removed;
	int64_t wait_us = OWN_GAP_US;

	if (others_removed) {
		publish_others(true);
		return;
	}
	if (!put_odd_own(n++)) {
		fleet_engine_publish(fleet, 0);
		publish_others(false);
		others_removed = true;
		wait_us = ONLY_ENGINE_US;
	}
	evl_timer_set(fleet->loop, t, evl_now_us(fleet->loop) + wait_us);
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
	if (odd_names == 1)
		put_odd_names();
	else if (odd_names == 2)
		put_unnamed();
	claim.fire = on_claim;
	if (report_s > 0)
		odd_reports_us = now_us + (int64_t)report_s * G_USEC_PER_SEC;
	own.fire = on_own;
	if (own_s > 0)
		evl_timer_set(
		    f->loop, &own, now_us + (int64_t)own_s * G_USEC_PER_SEC);
	settings.fire = on_settings;
	if (settings_s > 0)
		evl_timer_set(f->loop, &settings,
		    now_us + (int64_t)settings_s * G_USEC_PER_SEC);
	if (claim_s > 0)
		evl_timer_set(f->loop, &claim,
		    now_us + (int64_t)claim_s * G_USEC_PER_SEC);
}
