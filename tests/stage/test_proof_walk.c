/*
 * A random walk of an engine and the sidecar beside it, with the proofs of
 * lib/stage/proof.c. Guards against an engine that is usable with weights from a
 * chunk which had been corrupt for longer than allowed, and against one that
 * stays out of service after all faults have ended.
 */

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <string.h>
#include <cmocka.h>

#include "stage/proof.h"

#define TICK_US 100000
#define TOLERANCE_TICKS (PRF_TOLERANCE_US / TICK_US)
#define LAYERS 4 /* each with one chunk */
#define SEEDS 3000
#define FAULT_TICKS 500
#define CALM_TICKS 300 /* within which the engine must be usable */
#define LOAD_TICKS 5
#define MESSAGES 64
#define VERSIONS 64 /* above those of a walk */
#define CALL_TICKS 15 /* timeouts of calls, as the sidecar's */
#define ORDER_TICKS 10
#define REPORT_TICKS 8 /* longer, as each call takes a tick */
#define CHECK_VALID_TICKS 15
#define BACKOFF_TICKS 4
#define ORDER_LOST_TICKS 90 /* an accepted order without an effect */
#define SILENT_REPORTS 2

enum kind {
	NONE,
	REPORT,
	READ,
	WRITE,
	ORDER
};

struct message {
	enum kind kind;
	int64_t due; /* tick at which the engine carries it out */
	int64_t call; /* of the sidecar */
	unsigned int chunk;
	int64_t version;
	struct prf_weights weights;
	int64_t sequence;
};

struct answer {
	enum kind kind;
	int64_t due, call;
	bool valid, begun;
	struct prf_report report;
	unsigned int start;
};

static struct {
	unsigned int start;
	int64_t sequence, frozen_until, mute_until, loaded_at;
	struct prf_weights held, loading;
	bool busy;
	bool bad[LAYERS], loads_bad[LAYERS];
	/* Version of the staged chunk, and since when it is corrupt. */
	int64_t chunk[LAYERS], corrupt_since[LAYERS];
	/* Last tick at which a chunk was valid, by version. */
	int64_t valid_at[LAYERS][VERSIONS];
} engine;

static struct {
	struct prf p;
	int64_t wanted, frozen_until;
	unsigned int start;
	bool had_report, staged[LAYERS], bad_found, proving;
	int64_t checked, pass, ordered, refused, backoff;
	unsigned int chunk, unanswered;
	struct prf_report last;
	enum kind call_kind;
	int64_t call, call_at, report, report_at;
} side;

static struct message messages[MESSAGES];
static struct answer answers[MESSAGES];
static int64_t now, calls;
static uint64_t random_state;
static bool faults;

static unsigned int
below(unsigned int n)
{
	random_state =
	    random_state * 6364136223846793005u + 1442695040888963407u;
	return (unsigned int)(random_state >> 33) % n;
}

/* One in `n` while there are faults. */
static bool
fault(unsigned int n)
{
	return faults && below(n) == 0;
}

static int64_t
now_us(void)
{
	return (now + 1000) * TICK_US;
}

/* ------------------------------------------------------------------ */
/* Engine                                                              */
/* ------------------------------------------------------------------ */

static bool
is_complete(const struct prf_weights *w)
{
	return w->version != 0 && w->from == 0 && w->to == LAYERS;
}

static void
note_valid(void)
{
	unsigned int i;

	for (i = 0; i < LAYERS; i++) {
		if (engine.corrupt_since[i] == 0)
			engine.valid_at[i][engine.chunk[i]] = now;
	}
}

/* Whether the chunk is not valid now, and was not a short while ago. */
static bool
is_long_corrupt(unsigned int chunk, int64_t version)
{
	return now - engine.valid_at[chunk][version] > TOLERANCE_TICKS;
}

static bool
begin_load(const struct message *m)
{
	const struct prf_weights *w = &m->weights, *held = &engine.held;
	bool same = held->version == w->version;
	unsigned int l;

	if (m->sequence != engine.sequence || engine.busy ||
	    (same && held->from == w->from && held->to == w->to))
		return false;
	for (l = w->from; l < w->to; l++)
		engine.loads_bad[l] = same && l >= held->from && l < held->to
		    ? engine.bad[l]
		    : is_long_corrupt(l, w->version);
	if (fault(2))
		engine.mute_until = now + 15 + below(15);
	engine.loading = *w;
	engine.held = (struct prf_weights){ 0 };
	engine.busy = true;
	engine.loaded_at = now + LOAD_TICKS;
	engine.sequence++;
	return true;
}

static void
answer(const struct answer *a)
{
	unsigned int i;

	if (fault(8) || (a->kind == REPORT && now < engine.mute_until))
		return; /* lost */
	for (i = 0; i < MESSAGES; i++) {
		if (answers[i].kind != NONE)
			continue;
		answers[i] = *a;
		answers[i].due = now + 1 + (fault(6) ? below(15) : 0);
		return;
	}
}

static void
carry_out(const struct message *m)
{
	struct answer a = {
		.kind = m->kind, .call = m->call, .start = engine.start
	};

	switch (m->kind) {
	case REPORT:
		a.report = (struct prf_report){ .held = engine.held,
			.sequence = engine.sequence,
			.busy = engine.busy };
		break;
	case READ:
		a.valid = engine.corrupt_since[m->chunk] == 0 &&
		    engine.chunk[m->chunk] == m->version;
		break;
	case WRITE:
		engine.chunk[m->chunk] = m->version;
		engine.corrupt_since[m->chunk] = 0;
		note_valid();
		break;
	case ORDER:
		a.begun = begin_load(m);
		break;
	case NONE:
		break;
	}
	answer(&a);
}

static void
send_message(struct message m)
{
	unsigned int i;

	m.due = now + (fault(m.kind == ORDER ? 3 : 8) ? below(60) : 0);
	if (fault(20))
		return; /* lost */
	for (i = 0; i < MESSAGES; i++) {
		if (messages[i].kind != NONE)
			continue;
		messages[i] = m;
		return;
	}
}

static void
restart_engine(void)
{
	unsigned int i;

	memset(messages, 0, sizeof(messages));
	engine.start++;
	engine.sequence = 0;
	engine.busy = false;
	engine.held = (struct prf_weights){ 0 };
	for (i = 0; i < LAYERS && below(2) == 0; i++)
		engine.chunk[i] = 0;
}

static void
step_engine(void)
{
	struct message m;
	unsigned int i, from = below(MESSAGES);

	if (now < engine.frozen_until)
		return;
	if (engine.busy && now >= engine.loaded_at) {
		engine.busy = false;
		engine.held = engine.loading;
		memcpy(engine.bad, engine.loads_bad, sizeof(engine.bad));
	}
	for (i = 0; i < MESSAGES; i++) {
		m = messages[(from + i) % MESSAGES];
		if (m.kind == NONE || m.due > now)
			continue;
		messages[(from + i) % MESSAGES].kind = NONE;
		carry_out(&m);
	}
}

/* ------------------------------------------------------------------ */
/* Sidecar                                                             */
/* ------------------------------------------------------------------ */

static void
call(struct message m)
{
	m.call = side.call = ++calls;
	side.call_kind = m.kind;
	side.call_at = now;
	send_message(m);
}

static void
abandon_call(void)
{
	if (side.call == 0)
		return;
	if (side.call_kind == WRITE)
		prf_write_in_doubt(&side.p);
	if (side.call_kind == ORDER) {
		prf_order_answered(&side.p, PRF_UNKNOWN, now_us());
		side.refused = now;
		side.checked = 0;
	}
	side.call = 0;
	side.backoff = now + BACKOFF_TICKS;
}

static void
forget_staged(void)
{
	memset(side.staged, 0, sizeof(side.staged));
	side.checked = 0;
}

static bool
holds_same(const struct prf_report *a, const struct prf_report *b)
{
	return a->held.version == b->held.version &&
	    a->held.from == b->held.from && a->held.to == b->held.to;
}

static void
take_report(const struct answer *a)
{
	struct prf_report r = a->report;

	r.requested_us = side.report_at;
	r.was_silent = side.unanswered >= SILENT_REPORTS;
	side.report = 0;
	side.unanswered = 0;
	if (side.had_report && a->start != side.start) {
		side.call = 0;
		side.ordered = side.refused = 0;
		prf_restarted(&side.p);
		forget_staged();
	}
	prf_reported(&side.p, &r);
	if (!r.busy && (!holds_same(&r, &side.last) || prf_has_loaded(&side.p)))
		side.ordered = 0;
	side.start = a->start;
	side.last = r;
	side.had_report = true;
}

static void
read_chunk(void)
{
	call((struct message){
	    .kind = READ, .chunk = side.chunk, .version = side.wanted });
}

static void
end_pass(void)
{
	if (!side.bad_found)
		side.checked = side.pass;
	if (side.proving)
		prf_read_back_ended(&side.p, !side.bad_found);
}

static void
begin_pass(bool proving)
{
	if (proving)
		prf_read_back_begun(&side.p);
	side.proving = proving;
	side.pass = now;
	side.bad_found = false;
	side.chunk = 0;
	read_chunk();
}

static void
take_answer(const struct answer *a)
{
	if (a->kind == REPORT) {
		if (a->call == side.report)
			take_report(a);
		return;
	}
	if (a->call != side.call)
		return;
	side.call = 0;
	if (a->kind == WRITE)
		side.staged[side.chunk] = true;
	if (a->kind == ORDER) {
		prf_order_answered(
		    &side.p, a->begun ? PRF_BEGUN : PRF_NOT_BEGUN, now_us());
		side.ordered = a->begun ? now : 0;
		side.refused = a->begun ? 0 : now;
		side.checked = 0;
	}
	if (a->kind != READ)
		return;
	if (!a->valid) {
		side.staged[side.chunk] = false;
		side.bad_found = true;
	}
	if (++side.chunk == LAYERS)
		end_pass();
	else
		read_chunk();
}

static void
order(void)
{
	struct prf_order o = {
		.weights = prf_next(&side.p, side.wanted, LAYERS),
		.checked_us = (side.checked + 1000) * TICK_US,
	};

	call((struct message){ .kind = ORDER,
	    .weights = o.weights,
	    .sequence = prf_order_sent(&side.p, &o) });
}

static void
next_call(void)
{
	unsigned int i;

	if (side.call != 0 || !side.had_report || now < side.backoff ||
	    side.unanswered >= SILENT_REPORTS)
		return;
	if (prf_needs_read_back(&side.p) &&
	    side.p.held.version == side.wanted) {
		begin_pass(true);
		return;
	}
	if (prf_usable(&side.p, LAYERS) >= side.wanted || side.last.busy ||
	    (side.ordered != 0 && now - side.ordered < ORDER_LOST_TICKS))
		return;
	for (i = 0; i < LAYERS && side.staged[i]; i++)
		continue;
	if (i < LAYERS) {
		side.chunk = i;
		prf_write_sent(&side.p);
		call((struct message){
		    .kind = WRITE, .chunk = i, .version = side.wanted });
		return;
	}
	if (side.checked == 0 || now - side.checked > CHECK_VALID_TICKS)
		begin_pass(false);
	else if (side.refused == 0 || now - side.refused >= BACKOFF_TICKS)
		order();
}

static void
time_out(void)
{
	if (side.report != 0 &&
	    now_us() - side.report_at >= REPORT_TICKS * TICK_US) {
		side.report = 0;
		side.unanswered++;
		if (side.unanswered >= SILENT_REPORTS)
			side.checked = side.ordered = 0;
	}
	if (side.call != 0 &&
	    now - side.call_at >=
		(side.call_kind == ORDER ? ORDER_TICKS : CALL_TICKS))
		abandon_call();
}

static void
step_side(void)
{
	struct answer a;
	unsigned int i;

	if (now < side.frozen_until)
		return;
	for (i = 0; i < MESSAGES; i++) {
		a = answers[i];
		if (a.kind == NONE || a.due > now)
			continue;
		answers[i].kind = NONE;
		take_answer(&a);
	}
	time_out();
	if (side.report == 0) {
		side.report = ++calls;
		side.report_at = now_us();
		send_message(
		    (struct message){ .kind = REPORT, .call = side.report });
	}
	next_call();
}

/* ------------------------------------------------------------------ */
/* The walk                                                            */
/* ------------------------------------------------------------------ */

static bool
is_order_pending(void)
{
	unsigned int i;

	for (i = 0; i < MESSAGES && messages[i].kind != ORDER; i++)
		continue;
	return i < MESSAGES;
}

/* Faults are more frequent where they meet an order. */
static void
disturb_engine(void)
{
	bool pending = is_order_pending();
	unsigned int chunk = below(LAYERS);

	if (fault(pending ? 15 : 60) && engine.corrupt_since[chunk] == 0)
		engine.corrupt_since[chunk] = now;
	if (fault(pending ? 6 : 80))
		engine.frozen_until = now + 5 + below(50);
	if (fault(40))
		engine.mute_until = now + below(25);
	if (fault(200))
		restart_engine();
}

static void
disturb_side(void)
{
	if (fault(side.call_kind == ORDER ? 15 : 80))
		side.frozen_until = now + 5 + below(50);
	if (now >= side.frozen_until && fault(120)) {
		abandon_call();
		forget_staged();
		side.wanted++;
	}
}

static bool
engine_is_bad(void)
{
	unsigned int l;

	for (l = 0; l < LAYERS && !engine.bad[l]; l++)
		continue;
	return l < LAYERS;
}

/* Whether a request would run now with weights from a corrupt chunk, as the
 * sidecar judges unless it stands still. Requests name the usable version only
 * while an order is in doubt. */
static bool
runs_on_bad_weights(void)
{
	int64_t usable = prf_usable(&side.p, LAYERS);

	if (now < side.frozen_until)
		return false;
	if (usable == 0 || engine.busy || !is_complete(&engine.held))
		return false;
	if (prf_is_uncertain(&side.p) && engine.held.version != usable)
		return false;
	return engine_is_bad();
}

static void
set_up(unsigned int seed)
{
	unsigned int l, v;

	random_state = seed;
	now = calls = 0;
	faults = true;
	memset(&engine, 0, sizeof(engine));
	memset(&side, 0, sizeof(side));
	memset(messages, 0, sizeof(messages));
	memset(answers, 0, sizeof(answers));
	engine.held = (struct prf_weights){ 1, 0, LAYERS };
	for (l = 0; l < LAYERS; l++) {
		engine.chunk[l] = 1;
		for (v = 0; v < VERSIONS; v++)
			engine.valid_at[l][v] = -TOLERANCE_TICKS - 1;
	}
	side.wanted = 2;
}

static void
walk(unsigned int seed)
{
	set_up(seed);
	for (now = 1; now <= FAULT_TICKS + CALM_TICKS; now++) {
		faults = now <= FAULT_TICKS;
		note_valid();
		disturb_engine();
		disturb_side();
		step_engine();
		step_side();
		if (runs_on_bad_weights())
			fail_msg("seed %u, tick %d: usable version %d is not "
				 "loaded from valid chunks",
			    seed, (int)now, (int)engine.held.version);
	}
	if (prf_usable(&side.p, LAYERS) != side.wanted)
		fail_msg("seed %u: not usable after the faults ended", seed);
}

static void
test_random_walk(void **state)
{
	unsigned int seed;

	for (seed = 1; seed <= SEEDS; seed++)
		walk(seed);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_random_walk),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
