/* Charts: one case for each refusal, lookup of names, steps and loading. */

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <cmocka.h>
#include <string.h>
#include <glib/gstdio.h>

#include "chart/chart.h"

struct call_log { /* the calls of guards and actions */
	GString *ran;
	bool open;
	const void *data;
};

static bool
is_open(void *ctx, const void *event_data)
{
	struct call_log *log = ctx;

	log->data = event_data;
	return log->open;
}

static void
run_first(void *ctx, const void *event_data)
{
	struct call_log *log = ctx;

	g_string_append(log->ran, "first ");
}

static void
run_second(void *ctx, const void *event_data)
{
	struct call_log *log = ctx;

	log->data = event_data;
	g_string_append(log->ran, "second ");
}

static const struct chart_guard guards[] = {
	{ .name = "open", .holds = is_open },
	{ .name = NULL },
};
static const struct chart_action actions[] = {
	{ .name = "first", .run = run_first },
	{ .name = "second", .run = run_second },
	{ .name = NULL },
};
static const struct chart_binding binding = {
	.guards = guards,
	.actions = actions,
};

static const char valid_chart[] =
    "chart: door\n"
    "start: shut\n"
    "events: [push, lock, ring]\n"
    "states:\n"
    "  shut:\n"
    "    on:\n"
    "      push: [{if: open, to: ajar, do: [first, second]},\n"
    "             {to: shut, do: [second]}]\n"
    "      lock: [{to: locked}]\n"
    "    ignore: [ring]\n"
    "  ajar:\n"
    "    on:\n"
    "      push: [{to: shut}]\n"
    "    ignore: [lock, ring]\n"
    "  locked: {final: true}\n";

/* Each case makes one change to the valid chart, which is then refused. */
static const struct {
	const char *old;
	const char *new;
	const char *message;
} refusals[] = {
	{ "start: shut", "start: gone",
	    "f:2: key 'start': unknown state 'gone'; allowed: shut, ajar, "
	    "locked" },
	{ "to: locked", "to: gone",
	    "f:9: key 'states.shut.on.lock.0.to': unknown state 'gone'; "
	    "allowed: shut, ajar, locked" },
	{ "      lock: [", "      look: [",
	    "f:9: key 'states.shut.on.look': unknown event 'look'; allowed: "
	    "push, lock, ring" },
	{ "ignore: [ring]", "ignore: [sing]",
	    "f:10: key 'states.shut.ignore.0': unknown event 'sing'; allowed: "
	    "push, lock, ring" },
	{ "if: open", "if: opened",
	    "f:7: key 'states.shut.on.push.0.if': unknown guard 'opened'; "
	    "allowed: open" },
	{ "do: [second]", "do: [third]",
	    "f:8: key 'states.shut.on.push.1.do.0': unknown action 'third'; "
	    "allowed: first, second" },
	{ "to: ajar", "to: shut",
	    "f:11: key 'states.ajar': cannot be reached; allowed: states that "
	    "the start leads to" },
	{ "push: [{to: shut}]", "push: [{to: ajar}]",
	    "f:11: key 'states.ajar': cannot be left and is not final; "
	    "allowed: `final: true` or a transition to another state" },
	{ "ignore: [lock, ring]", "ignore: [ring]",
	    "f:11: key 'states.ajar': says nothing about event 'lock'; "
	    "allowed: each event in `on` or in `ignore`" },
	{ "ignore: [lock, ring]", "ignore: [lock, ring, push]",
	    "f:14: key 'states.ajar.ignore.2': event 'push' is given twice; "
	    "allowed: an event once, in `on` or in `ignore`" },
	{ "ignore: [lock, ring]", "ignore: [lock, ring, ring]",
	    "f:14: key 'states.ajar.ignore.2': event 'ring' is given twice; "
	    "allowed: an event once, in `on` or in `ignore`" },
	{ "{to: shut, do: [second]}", "{if: open, to: shut}",
	    "f:7: key 'states.shut.on.push': the last transition has a guard; "
	    "allowed: a last transition without `if`, which may lead to the "
	    "state itself" },
	{ "{if: open, to: ajar,", "{to: ajar,",
	    "f:7: key 'states.shut.on.push': transition 1 is never open; "
	    "allowed: a transition without `if` only as the last" },
	{ "{final: true}", "{final: true, ignore: [push]}",
	    "f:15: key 'states.locked': a final state with `on` or `ignore`; "
	    "allowed: `final: true` alone" },
	{ "{final: true}", "{}",
	    "f:15: key 'states.locked': says nothing about event 'push'; "
	    "allowed: each event in `on` or in `ignore`" },
	{ "[push, lock, ring]", "[push, lock, ring, push]",
	    "f:3: key 'events.3': event 'push' is given twice; allowed: each "
	    "event once" },
	{ "[push, lock, ring]", "[push, lock, ring, a.b]",
	    "f:3: key 'events.3': malformed event; allowed: letters, digits, "
	    "_ and -" },
	{ "lock: [{to: locked}]", "lock: {to: locked}",
	    "f:9: key 'states.shut.on.lock': wrong type; allowed: a list of 1 "
	    "to 16 entries" },
	{ "lock: [{to: locked}]", "lock: [{do: [first]}]",
	    "f:9: key 'states.shut.on.lock.0.to': missing; allowed: a string" },
};

static char *
replace(const char *text, const char *old, const char *new)
{
	const char *at = strstr(text, old);

	assert_non_null(at);
	return g_strdup_printf(
	    "%.*s%s%s", (int)(at - text), text, new, at + strlen(old));
}

static void
test_refusals(void **state)
{
	struct err err;
	char *text;
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(refusals); i++) {
		memset(&err, 0, sizeof(err));
		text = replace(valid_chart, refusals[i].old, refusals[i].new);
		assert_null(
		    chart_parse("f", text, strlen(text), &binding, &err));
		assert_string_equal(err.message, refusals[i].message);
		assert_int_equal(err.code, ERR_INVALID);
		assert_int_equal(err.verdict, VERDICT_NOT_RUN);
		g_free(text);
	}
}

static void
test_empty_binding(void **state)
{
	const struct chart_binding none = { 0 };
	struct err err = { 0 };

	assert_null(
	    chart_parse("f", valid_chart, strlen(valid_chart), &none, &err));
	assert_string_equal(err.message,
	    "f:7: key 'states.shut.on.push.0.if': unknown guard 'open'; "
	    "allowed: ");
}

static struct chart *
parse_valid_chart(void)
{
	struct err err = { 0 };
	struct chart *chart =
	    chart_parse("f", valid_chart, strlen(valid_chart), &binding, &err);

	assert_string_equal(err.message, "");
	return chart;
}

static void
test_names(void **state)
{
	struct chart *chart = parse_valid_chart();

	assert_int_equal(chart_start(chart), chart_state(chart, "shut"));
	assert_string_equal(chart_state_name(chart, 1), "ajar");
	assert_null(chart_state_name(chart, 3));
	assert_null(chart_state_name(chart, -1));
	assert_string_equal(chart_event_name(chart, 2), "ring");
	assert_int_equal(chart_state(chart, "gone"), -1);
	assert_int_equal(chart_event(chart, "gone"), -1);
	assert_true(chart_is_final(chart, chart_state(chart, "locked")));
	assert_false(chart_is_final(chart, chart_start(chart)));
	chart_free(chart);
}

static void
assert_step(const struct chart *chart, const char *from, const char *event,
    bool open, const char *to, const char *ran)
{
	struct call_log log = { .ran = g_string_new(NULL), .open = open };
	int data = 0;
	int state;

	state = chart_step(chart, chart_state(chart, from),
	    chart_event(chart, event), &log, &data);
	assert_string_equal(chart_state_name(chart, state), to);
	assert_string_equal(log.ran->str, ran);
	if (ran[0] != '\0')
		assert_ptr_equal(log.data, &data);
	g_string_free(log.ran, TRUE);
}

static void
test_steps(void **state)
{
	struct chart *chart = parse_valid_chart();

	assert_step(chart, "shut", "push", true, "ajar", "first second ");
	assert_step(chart, "shut", "push", false, "shut", "second ");
	assert_step(chart, "shut", "lock", false, "locked", "");
	assert_step(chart, "shut", "ring", true, "shut", "");
	assert_step(chart, "ajar", "push", true, "shut", "");
	assert_step(chart, "locked", "push", true, "locked", "");
	chart_free(chart);
}

static void
test_load(void **state)
{
	char *dir = g_dir_make_tmp("chart-XXXXXX", NULL);
	char *good = g_build_filename(dir, "door.yaml", NULL);
	char *other = g_build_filename(dir, "gate.yaml", NULL);
	struct err err = { 0 };
	struct chart *chart;

	assert_true(g_file_set_contents(good, valid_chart, -1, NULL));
	assert_true(g_file_set_contents(other, valid_chart, -1, NULL));
	chart = chart_load(dir, "door", &binding, &err);
	assert_non_null(chart);
	assert_null(chart_load(dir, "gate", &binding, &err));
	assert_non_null(strstr(
	    err.message, "gate.yaml:1: key 'chart': not the name of the file"));
	assert_null(chart_load(dir, "none", &binding, &err));
	assert_int_equal(err.code, ERR_NOT_FOUND);
	chart_free(chart);
	g_unlink(good);
	g_unlink(other);
	g_rmdir(dir);
	g_free(other);
	g_free(good);
	g_free(dir);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_refusals),
		cmocka_unit_test(test_empty_binding),
		cmocka_unit_test(test_names),
		cmocka_unit_test(test_steps),
		cmocka_unit_test(test_load),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
