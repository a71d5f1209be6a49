/*
 * The stand-in for the users' platform as a process (see fleet.h):
 *
 *   fleet --engines N --plain N --empty N --gateways ADDRESS,... --rate N --seconds N
 *         --seed N --faults 0|1 --bump SECONDS --crash SECONDS
 *         --limit SECONDS --limited N --limit-milli N --uneven 0|1
 *         --drill SECONDS --drills 0|1 --broken N --http10 N
 *         --leave SECONDS --shed SECONDS --notices 0|1 --notices-judged 0|1
 *         --poison SECONDS --poisons N --poison-gap-ms N --poison-judged 0|1
 *         --poison-parts N --end-gap-ms N
 *         --silent-gap-ms N --silent-for-ms N --silent-engines N
 *         --silent-whole 0|1 --silences 0|1 --event-ms N
 *         --settings-gap-ms N --idle-ms N --other-idle-ms N --many-routes N
 *         --late N --crowd N --ends-judged 0|1
 *         --fail-from SECONDS --fail-permille N --failures 0|1
 *         and those of held.c (--hold-*), odd.c (--odd-*), away.c (--away-*,
 *         --origin-*) and cuts.c (--cut-*),
 *         --rename-gap-ms and --always-routes of settings.c; see --help
 *
 * Silences are of sound engines, which go on where they were. Settings change
 * the idle limit and add routes by the hundred; callers reuse kept connections
 * late, up to four fifths of the limit. Requests that gateways end without an
 * answer are printed and counted (ends.c). Engines can fail most requests; what
 * arrives beyond the first of each request must stay within the retry budget of
 * all gateways (budget.c).
 *
 * It prints "ready", runs, and at the end prints one line of counts; its exit
 * code is 0 when no invariant was violated and most requests were answered.
 */

#include <popt.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "fleet.h"

#define FAULT_US 450000
#define END_WAIT_US 6000000
#define START_WAIT_US 10000000 /* for gateways that never accept */
#define START_CHECK_US 20000

static int engines = 6, empty = 2, rate = 60, seconds = 10, seed = 1, net;
static int faults, bump = 3, crash, limit, uneven;
static int limited = 1, limit_milli = 1000;
static int poison, poisons = 1, poison_gap_ms = 300;
static int poison_judged = 1, poison_parts;
static int end_gap_ms;
static int leave, shed, notices, notices_judged = 1;
static int drill, drills;
static int broken, http10, plain = 2;
static int late, crowd, ends_judged = 1;
static char *gateways;
static struct fleet f;
static GMainLoop *main_loop;
static int64_t opened_us, begun_us;
#define NOTICE_GAP_US 2000000
static struct rng notice_rng; /* does not shift the draws of other faults */
static struct evl_timer notice_fault, drill_fault, write_again, next_end;
static struct rng end_rng; /* the same */
#define DRILL_GAP_US 1500000
#define DRILL_EVERY 6
#define WRITE_AGAIN_US 1000000 /* after the end of a drill */
static struct evl_timer proxy_restore[FLEET_ENGINES_MAX + 1], store_restore,
    start, end;

/* ------------------------------------------------------------------ */
/* Faults                                                              */
/* ------------------------------------------------------------------ */

static void
on_proxy_restore(struct evl_timer *t)
{
	fleet_proxy_set(f.proxy[t - proxy_restore], PROXY_PASS);
}

static void
on_store_restore(struct evl_timer *t)
{
	fleet_store_end_refusal(&f);
}

/* Writes that nobody repeats after a drill: the store's revision then stays
 * below those that were given out before. */
static void
write_unrepeated(unsigned int n)
{
	static unsigned int written;
	char spec[32];

	while (n-- > 0) {
		g_snprintf(spec, sizeof(spec), "{\"n\":%u}", ++written);
		fleet_store_put(&f, "notes", "last", spec);
	}
}

/* After a drill operator and engines write again what was lost. */
static void
on_write_again(struct evl_timer *t)
{
	size_t i;

	fleet_operator_write_again(&f);
	for (i = 0; i < f.nengines; i++)
		fleet_engine_publish(&f, i);
	fleet_store_remove_unknown(&f);
}

static void
begin_drill(int64_t age_us, int64_t away_us, int64_t again_us)
{
	fleet_store_drill(&f, age_us, away_us);
	write_again.fire = on_write_again;
	evl_timer_set(
	    f.loop, &write_again, evl_now_us(f.loop) + away_us + again_us);
}

static void
inject_proxy_fault(void)
{
	size_t i = rng_below(&f.rng, f.nproxies);

	fleet_proxy_set(
	    f.proxy[i], (enum proxy_mode)(1 + rng_below(&f.rng, 3)));
	proxy_restore[i].fire = on_proxy_restore;
	evl_timer_set(f.loop, &proxy_restore[i],
	    evl_now_us(f.loop) + 200000 + (int64_t)rng_below(&f.rng, 1500000));
}

/* Writes invalid records, as another writer of the store might; none of them
 * describes an engine. One that overwrites an engine's valid record stays until
 * the engine publishes again. */
static void
write_invalid_records(size_t engine)
{
	static const char *const specs[] = {
		"{}",
		"[[[[[[[[]]]]]]]]",
		"\"engine\"",
		"{\"service\":\"" FLEET_LLM "\",\"address\":\"127.0.0.1:9\"}",
		"{\"service\":7,\"address\":{},\"zone\":null,\"slots\":\"8\"}",
		"{\"service\":\"" FLEET_LLM "\",\"address\":\"127.0.0.1:9\","
		"\"zone\":\"z0\",\"version\":\"v1\",\"slots\":8,"
		"\"state\":\"melting\",\"coldMs\":0,\"sequence\":1}",
	};
	const char *spec = specs[rng_below(&f.rng, G_N_ELEMENTS(specs))];

	fleet_store_put(&f, "servers", "foreign", spec);
	if (rng_below(&f.rng, 2) == 0)
		return;
	fleet_store_put(&f, "servers", fleet_engine_id(&f, engine), spec);
	fleet_engine_publish(&f, engine);
}

static void
on_fault(struct evl_timer *t)
{
	size_t engine = rng_below(&f.rng, f.nengines);

	switch (rng_below(&f.rng, 11)) {
	case 0:
	case 1:
	case 2:
		inject_proxy_fault();
		break;
	case 3:
		fleet_proxy_reset(f.proxy[rng_below(&f.rng, f.nproxies)]);
		break;
	case 4:
		fleet_engine_crash(&f, engine, rng_below(&f.rng, 2) == 0);
		break;
	case 5:
		fleet_engine_corrupt_chunk(&f, engine);
		break;
	case 6:
		f.store_refuses = true;
		store_restore.fire = on_store_restore;
		evl_timer_set(f.loop, &store_restore,
		    evl_now_us(f.loop) + 300000 +
			(int64_t)rng_below(&f.rng, 1500000));
		break;
	case 7:
		fleet_store_discard_history(&f);
		break;
	case 8:
		fleet_operator_put_config(&f);
		break;
	case 9:
		write_invalid_records(engine);
		break;
	case 10:
		fleet_engine_set_limit(&f, engine,
		    rng_below(&f.rng, 3) == 0
			? 0
			: 0.5 + (double)rng_below(&f.rng, 40) / 10);
		break;
	}
	evl_timer_set(f.loop, t, evl_now_us(f.loop) + FAULT_US);
}

/* Random engines announce that they stop or when to retry. */
static void
on_notice_fault(struct evl_timer *t)
{
	size_t engine = rng_below(&notice_rng, f.nengines);

	if (rng_below(&notice_rng, 2) == 0)
		fleet_engine_leave(&f, engine, rng_below(&notice_rng, 2) == 0);
	else
		fleet_engine_shed(
		    &f, engine, 0.5 * (double)(1 + rng_below(&notice_rng, 8)));
	evl_timer_set(f.loop, t, evl_now_us(f.loop) + NOTICE_GAP_US);
}

/* One to three engines terminate at once, by no request. */
static void
on_next_end(struct evl_timer *t)
{
	uint64_t n = 1 + rng_below(&end_rng, 3);

	if (f.stopping)
		return;
	while (n-- > 0)
		fleet_engine_terminate(
		    &f, rng_below(&end_rng, (uint64_t)engines));
	evl_timer_set(
	    f.loop, t, evl_now_us(f.loop) + (int64_t)end_gap_ms * 1000);
}

/* Changes of settings and records, and every sixth time a drill: rarely enough
 * that the store is also stable for long enough to judge what follows. */
static void
on_drill_fault(struct evl_timer *t)
{
	static unsigned int n;
	unsigned int step = n++ % DRILL_EVERY;

	if (step == 1)
		begin_drill(
		    DRILL_GAP_US / 2 + (int64_t)rng_below(&notice_rng, 3000000),
		    200000 + (int64_t)rng_below(&notice_rng, 800000),
		    (int64_t)rng_below(&notice_rng, WRITE_AGAIN_US));
	else if (rng_below(&notice_rng, 2) == 0)
		fleet_operator_rename_workspace(&f);
	else
		fleet_engine_drain(&f, rng_below(&notice_rng, f.nengines));
	if (step == 0) /* the next step is a drill, which loses these */
		write_unrepeated((unsigned int)rng_below(&notice_rng, 80));
	evl_timer_set(f.loop, t, evl_now_us(f.loop) + DRILL_GAP_US);
}

static bool
is_due(int at_s, bool *done)
{
	if (*done || at_s <= 0 ||
	    evl_now_us(f.loop) - begun_us <= (int64_t)at_s * G_USEC_PER_SEC)
		return false;
	*done = true;
	return true;
}

static void
on_schedule(struct evl_timer *t)
{
	static int64_t bumped_us;
	int i;
	static bool crashed, is_limited, has_left, has_shed;
	static bool has_changed, has_drilled, has_changed_again;
	int64_t now_us = evl_now_us(f.loop);

	if (bump > 0 && now_us - begun_us > (int64_t)bump * G_USEC_PER_SEC &&
	    (bumped_us == 0 || now_us - bumped_us > 9 * G_USEC_PER_SEC)) {
		bumped_us = now_us;
		fleet_operator_announce_version(&f);
	}
	if (is_due(crash, &crashed))
		fleet_engine_crash(&f, 0, false);
	if (is_due(limit, &is_limited)) {
		for (i = 0; i < limited; i++)
			fleet_engine_set_limit(
			    &f, (size_t)i, (double)limit_milli / 1000);
		fleet_engine_set_limit(&f, (size_t)engines, 2.2);
	}
	if (is_due(leave, &has_left)) {
		fleet_engine_leave(&f, 0, true);
		fleet_engine_leave(&f, (size_t)engines, true);
	}
	if (is_due(shed, &has_shed)) {
		fleet_engine_shed(&f, 0, 3);
		fleet_engine_shed(&f, (size_t)engines, 1.5);
	}
	if (is_due(drill - 1, &has_changed)) {
		fleet_engine_drain(&f, 1);
		write_unrepeated(20);
		fleet_operator_rename_workspace(&f);
	}
	if (is_due(drill, &has_drilled))
		begin_drill(2500000, 500000, WRITE_AGAIN_US);
	if (drill > 0 && is_due(drill + 6, &has_changed_again)) {
		fleet_engine_drain(&f, 0);
		fleet_engine_drain(&f, (size_t)engines);
		fleet_operator_rename_workspace(&f);
	}
	evl_timer_set(f.loop, t, now_us + 200000);
}

/* ------------------------------------------------------------------ */
/* Start and end                                                       */
/* ------------------------------------------------------------------ */

static bool
invariants_hold(const struct fleet_tally *t)
{
	return t->ran_twice + t->wrong_answers + t->false_not_run +
		t->incomplete + t->unsound_events + t->stale + t->bad_identity +
		t->over_limit + t->excess_sends + t->unheeded +
		t->over_budget ==
	    0 &&
	    (!f.check_ends || t->unread + t->given_up == 0) &&
	    !fleet_parts_withheld(&f);
}

static void
on_end(struct evl_timer *t)
{
	if (!f.stopping) {
		f.stopping = true;
		evl_timer_set(f.loop, t, evl_now_us(f.loop) + END_WAIT_US);
		return;
	}
	g_main_loop_quit(main_loop);
}

static bool
open_engine(int i, struct err *err)
{
	char real[32], advertised[32];
	bool llm = i < engines;

	g_snprintf(real, sizeof(real), "127.0.%d.%d:8002", net, 10 + i);
	g_snprintf(
	    advertised, sizeof(advertised), "127.0.%d.%d:8001", net, 10 + i);
	if (!fleet_engine_open(&f, (size_t)i, real, advertised, llm,
		i >= engines - empty, err))
		return false;
	f.nengines++;
	f.proxy[f.nproxies] = fleet_proxy_open(&f, advertised, real, err);
	if (f.proxy[f.nproxies++] == NULL)
		return false;
	fleet_engine_publish(&f, (size_t)i);
	return true;
}

static bool
open_all(struct err *err)
{
	char store[32], advertised[32], origin[32], real_origin[32];
	int i;

	g_snprintf(store, sizeof(store), "127.0.%d.9:8000", net);
	g_snprintf(advertised, sizeof(advertised), "127.0.%d.9:8007", net);
	g_snprintf(origin, sizeof(origin), "127.0.%d.8:8000", net);
	g_snprintf(real_origin, sizeof(real_origin), "127.0.%d.8:8001", net);
	if (!fleet_store_open(&f, store, err) ||
	    !fleet_origin_open(&f, real_origin, err))
		return false;
	f.proxy[f.nproxies] = fleet_proxy_open(&f, advertised, store, err);
	if (f.proxy[f.nproxies++] == NULL)
		return false;
	f.origin_proxy = fleet_proxy_open(&f, origin, real_origin, err);
	if (f.origin_proxy == NULL)
		return false;
	fleet_operator_put_config(&f);
	for (i = 0; i < engines + plain; i++) {
		if (!open_engine(i, err))
			return false;
	}
	return true;
}

static void
read_gateways(void)
{
	char **list = g_strsplit(gateways, ",", -1);
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(f.gateways) && list[i] != NULL; i++)
		f.gateways[i] = list[i];
	f.ngateways = i;
	g_free(list); /* f.gateways owns its strings now */
}

static int
print_result(void)
{
	const struct fleet_tally *t = &f.tally;
	bool kept;
	size_t i, loaded = 0;

	fleet_budget_judge(&f);
	kept = invariants_hold(t);
	for (i = 0; i < (size_t)engines; i++)
		loaded += f.engine[i] != NULL;
	fleet_poison_print(&f);
	fleet_parts_print(&f);
	fleet_endless_print(&f);
	fleet_held_print(&f);
	if (limit > 0)
		printf("most in 4 s: engine %u, plain target %u\n",
		    fleet_engine_max_in_window(&f, 0),
		    fleet_engine_max_in_window(&f, (size_t)engines));
	printf(
	    "fleet: %s asked=%u answered=%u refused=%u failed=%u broken=%u late=%u "
	    "cut=%u "
	    "twice=%u mixed=%u lied=%u unwhole=%u stale=%u stranger=%u "
	    "over=%u spread=%u unheeded=%u unread=%u given_up=%u over_budget=%u "
	    "crowd=%u/%u "
	    "seed=%d\n",
	    kept ? "kept" : "BROKEN", t->sent_count, t->answered, t->refused,
	    t->failed, t->broken, t->late, t->cut, t->ran_twice,
	    t->wrong_answers, t->false_not_run, t->incomplete, t->stale,
	    t->bad_identity, t->over_limit, t->excess_sends, t->unheeded,
	    t->unread, t->given_up, t->over_budget, t->crowd_answered,
	    t->crowd_sent, seed);
	/* A failure of an engine's own that is relayed is an answer. */
	return kept && t->answered + t->relayed_failures > t->sent_count / 2
	    ? 0
	    : 1;
}

static bool
all_gateways_accept(void)
{
	struct sockaddr_in at;
	bool accepts = true;
	size_t i;
	int fd;

	for (i = 0; accepts && i < f.ngateways; i++) {
		fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
		accepts = sock_parse(f.gateways[i], &at) &&
		    connect(fd, (struct sockaddr *)&at, sizeof(at)) == 0;
		close(fd);
	}
	return accepts;
}

static void
begin_traffic(void)
{
	begun_us = evl_now_us(f.loop);
	fleet_budget_start(&f);
	fleet_callers_start(&f);
	fleet_settings_start(&f, (uint64_t)seed + 7);
	fleet_silences_start(&f, (uint64_t)seed + 6);
	fleet_crowds_start(&f);
	fleet_endless_start(&f);
	fleet_away_start(&f);
	fleet_cuts_start(&f, (uint64_t)seed + 10);
	fleet_held_start(&f);
	fleet_odd_start(&f);
	f.schedule.fire = on_schedule;
	evl_timer_set(f.loop, &f.schedule, begun_us);
	if (poison > 0)
		fleet_poisons_start(&f,
		    &(struct fleet_poison_plan){
			.requests = (unsigned int)poisons,
			.parts = (unsigned int)poison_parts,
			.gap_us = (int64_t)poison_gap_ms * 1000,
			.from_us =
			    begun_us + (int64_t)poison * G_USEC_PER_SEC });
	next_end.fire = on_next_end;
	if (end_gap_ms > 0)
		evl_timer_set(f.loop, &next_end, begun_us + 2 * G_USEC_PER_SEC);
	f.fault.fire = on_fault;
	if (faults)
		evl_timer_set(f.loop, &f.fault, begun_us + 2 * G_USEC_PER_SEC);
	notice_fault.fire = on_notice_fault;
	if (notices)
		evl_timer_set(
		    f.loop, &notice_fault, begun_us + 2 * G_USEC_PER_SEC);
	drill_fault.fire = on_drill_fault;
	if (drills)
		evl_timer_set(
		    f.loop, &drill_fault, begun_us + 3 * G_USEC_PER_SEC);
	end.fire = on_end;
	evl_timer_set(
	    f.loop, &end, begun_us + (int64_t)seconds * G_USEC_PER_SEC);
}

/* Traffic begins when the gateways accept callers: the platform sends none to
 * one that has not started. */
static void
on_start(struct evl_timer *t)
{
	int64_t now_us = evl_now_us(f.loop);

	if (now_us - opened_us < START_WAIT_US && !all_gateways_accept())
		evl_timer_set(f.loop, t, now_us + START_CHECK_US);
	else
		begin_traffic();
}

int
main(int argc, char **argv)
{
	struct poptOption options[] = { { "engines", 0, POPT_ARG_INT, &engines,
					    0, "model engines", "N" },
		{ "plain", 0, POPT_ARG_INT, &plain, 0,
		    "targets of the plain service", "N" },
		{ "empty", 0, POPT_ARG_INT, &empty, 0,
		    "number of them that start without weights", "N" },
		{ "gateways", 0, POPT_ARG_STRING, &gateways, 0,
		    "addresses of the gateways for callers", "LIST" },
		{ "rate", 0, POPT_ARG_INT, &rate, 0, "requests a second", "N" },
		{ "seconds", 0, POPT_ARG_INT, &seconds, 0,
		    "duration of the run", "N" },
		{ "net", 0, POPT_ARG_INT, &net, 0,
		    "addresses are 127.0.N.x, so that several can run", "N" },
		{ "seed", 0, POPT_ARG_INT, &seed, 0,
		    "seed of the random numbers", "N" },
		{ "faults", 0, POPT_ARG_INT, &faults, 0,
		    "0 or 1: inject random faults", "N" },
		{ "crash", 0, POPT_ARG_INT, &crash, 0,
		    "seconds to a crash of the first engine; 0: none", "N" },
		{ "limit", 0, POPT_ARG_INT, &limit, 0,
		    "seconds to a rate limit at the first engine and the first "
		    "plain target; 0: none",
		    "N" },
		{ "limited", 0, POPT_ARG_INT, &limited, 0,
		    "engines with a rate limit", "N" },
		{ "limit-milli", 0, POPT_ARG_INT, &limit_milli, 0,
		    "their limit, in thousandths of a request a second", "N" },
		{ "uneven", 0, POPT_ARG_INT, &uneven, 0,
		    "0 or 1: distribute requests unevenly over the gateways",
		    "N" },
		{ "poison", 0, POPT_ARG_INT, &poison, 0,
		    "seconds to the first poison request; 0: none", "N" },
		{ "poisons", 0, POPT_ARG_INT, &poisons, 0,
		    "number of different poison requests", "N" },
		{ "poison-judged", 0, POPT_ARG_INT, &poison_judged, 0,
		    "0 or 1: count their excess sends as violations", "N" },
		{ "poison-gap-ms", 0, POPT_ARG_INT, &poison_gap_ms, 0,
		    "time between two sends of the same poison request", "N" },
		{ "poison-parts", 0, POPT_ARG_INT, &poison_parts, 0,
		    "number of different parts of prompts that terminate "
		    "engines, beside the poison requests",
		    "N" },
		{ "end-gap-ms", 0, POPT_ARG_INT, &end_gap_ms, 0,
		    "time between two terminations of random engines by no "
		    "request; 0: none",
		    "N" },
		{ "leave", 0, POPT_ARG_INT, &leave, 0,
		    "seconds until the first engine and the first plain target "
		    "announce their stop in answers only; 0: never",
		    "N" },
		{ "shed", 0, POPT_ARG_INT, &shed, 0,
		    "seconds until they refuse with Retry-After; 0: never",
		    "N" },
		{ "notices", 0, POPT_ARG_INT, &notices, 0,
		    "0 or 1: the same at random engines", "N" },
		{ "drill", 0, POPT_ARG_INT, &drill, 0,
		    "seconds to a drill of the store, with changes before and "
		    "after it; 0: none",
		    "N" },
		{ "drills", 0, POPT_ARG_INT, &drills, 0,
		    "0 or 1: random drills and changes", "N" },
		{ "notices-judged", 0, POPT_ARG_INT, &notices_judged, 0,
		    "0 or 1: count requests sent despite it as violations",
		    "N" },
		{ "broken", 0, POPT_ARG_INT, &broken, 0,
		    "one in so many answers of engines is broken off, and "
		    "answers have all framings; 0: none",
		    "N" },
		{ "http10", 0, POPT_ARG_INT, &http10, 0,
		    "one in so many callers uses HTTP/1.0; 0: none", "N" },
		{ "bump", 0, POPT_ARG_INT, &bump, 0,
		    "seconds to a new version; 0: none", "N" },
		{ NULL, 0, POPT_ARG_INCLUDE_TABLE, fleet_silence_options(), 0,
		    "Silences:", NULL },
		{ NULL, 0, POPT_ARG_INCLUDE_TABLE, fleet_budget_options(), 0,
		    "Failures:", NULL },
		{ NULL, 0, POPT_ARG_INCLUDE_TABLE, fleet_settings_options(), 0,
		    "Settings:", NULL },
		{ NULL, 0, POPT_ARG_INCLUDE_TABLE, fleet_endless_options(), 0,
		    "Answers without end:", NULL },
		{ NULL, 0, POPT_ARG_INCLUDE_TABLE, fleet_manifest_options(), 0,
		    "Lists of digests:", NULL },
		{ NULL, 0, POPT_ARG_INCLUDE_TABLE, fleet_held_options(), 0,
		    "Orders that come late:", NULL },
		{ NULL, 0, POPT_ARG_INCLUDE_TABLE, fleet_away_options(), 0,
		    "Absences of the store and the origin:", NULL },
		{ NULL, 0, POPT_ARG_INCLUDE_TABLE, fleet_cuts_options(), 0,
		    "Watches that end early:", NULL },
		{ NULL, 0, POPT_ARG_INCLUDE_TABLE, fleet_odd_options(), 0,
		    "Entries of other writers:", NULL },
		{ "late-reads", 0, POPT_ARG_INT, &f.late_reads, 0,
		    "reads of the first engine's staging area that are "
		    "answered late, while a chunk turns corrupt",
		    "N" },
		{ "late", 0, POPT_ARG_INT, &late, 0,
		    "one in so many kept connections is reused late; 0: none",
		    "N" },
		{ "crowd", 0, POPT_ARG_INT, &crowd, 0,
		    "kept connections to each gateway that are used at once, "
		    "again and again",
		    "N" },
		{ "ends-judged", 0, POPT_ARG_INT, &ends_judged, 0,
		    "0 or 1: count requests that gateways ended without an "
		    "answer as violations",
		    "N" },
		POPT_AUTOHELP POPT_TABLEEND };
	poptContext pc =
	    poptGetContext("fleet", argc, (const char **)argv, options, 0);
	struct err err = { 0 };

	if (poptGetNextOpt(pc) < -1 || gateways == NULL)
		return 2;
	signal(SIGPIPE, SIG_IGN);
	rng_seed(&f.rng, (uint64_t)seed);
	f.loop = evl_new(clk_system());
	f.pool = hpool_new(&(struct hpool_conf){ .loop = f.loop,
	    .idle_max = 8,
	    .connect_us = 1000000,
	    .idle_us = 3000000,
	    .head_bytes = 16384 });
	f.limits = (struct hlimits){ 16384, 1 << 20, 5000000, 30000000 };
	f.runs = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	f.sent = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	f.endings =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	f.rate = (unsigned int)rate;
	f.late_one_in = late;
	f.crowd = (unsigned int)crowd;
	f.check_ends = ends_judged != 0;
	rng_seed(&f.late_rng, (uint64_t)seed + 8);
	f.broken_one_in = broken;
	f.http10_one_in = http10;
	rng_seed(&f.answer_rng, (uint64_t)seed + 2);
	rng_seed(&f.caller_rng, (uint64_t)seed + 3);
	LIST_INIT(&f.idle_links);
	f.uneven = uneven != 0;
	f.check_poison = poison_judged != 0;
	f.check_notices = notices_judged != 0;
	rng_seed(&notice_rng, (uint64_t)seed + 1);
	rng_seed(&f.part_rng, (uint64_t)seed + 4);
	rng_seed(&end_rng, (uint64_t)seed + 5);
	fleet_budget_open(&f, (uint64_t)seed + 9);
	f.net = net;
	f.config_version = 1;
	f.version = 1;
	f.previous_version = 1;
	f.net = net;
	read_gateways();
	if (!open_all(&err)) {
		fprintf(stderr, "fleet: %s\n", err.message);
		return 2;
	}
	printf("ready\n");
	fflush(stdout);
	opened_us = evl_now_us(f.loop);
	start.fire = on_start;
	evl_timer_set(f.loop, &start, opened_us);
	main_loop = g_main_loop_new(NULL, FALSE);
	g_main_loop_run(main_loop);
	poptFreeContext(pc);
	return print_result();
}
