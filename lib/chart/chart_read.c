/* Charts: reads a chart from YAML and refuses an incomplete one. */

#include <stdarg.h>
#include <string.h>

#include "chart/chart_internal.h"

#define STATES_MAX 64
#define EVENTS_MAX 64
#define TRANSITIONS_MAX 16 /* of one event in one state */
#define ACTIONS_MAX 16 /* of one transition */

static const struct cfg_rule rules[] = {
	{ .path = "chart",
	    .type = CFG_STRING,
	    .required = true,
	    .about = "Name of the chart; same as that of the file." },
	{ .path = "start",
	    .type = CFG_STRING,
	    .required = true,
	    .about = "Initial state." },
	{ .path = "events",
	    .type = CFG_LIST,
	    .required = true,
	    .min = 1,
	    .max = EVENTS_MAX,
	    .about = "All events of the chart." },
	{ .path = "events.[]",
	    .type = CFG_STRING,
	    .min = 1,
	    .max = CFG_KEY_MAX },
	{ .path = "states",
	    .type = CFG_MAP,
	    .required = true,
	    .min = 1,
	    .max = STATES_MAX },
	{ .path = "states.*", .type = CFG_MAP },
	{ .path = "states.*.final",
	    .type = CFG_BOOL,
	    .about = "The state ignores every event." },
	{ .path = "states.*.on", .type = CFG_MAP },
	{ .path = "states.*.on.*",
	    .type = CFG_LIST,
	    .min = 1,
	    .max = TRANSITIONS_MAX,
	    .about =
		"Transitions of one event; the first whose guard holds is taken." },
	{ .path = "states.*.on.*.[]", .type = CFG_MAP },
	{ .path = "states.*.on.*.[].if",
	    .type = CFG_STRING,
	    .about = "Guard; without one the transition is always taken." },
	{ .path = "states.*.on.*.[].to", .type = CFG_STRING, .required = true },
	{ .path = "states.*.on.*.[].do",
	    .type = CFG_LIST,
	    .min = 0,
	    .max = ACTIONS_MAX,
	    .about = "Actions, in this order." },
	{ .path = "states.*.on.*.[].do.[]", .type = CFG_STRING },
	{ .path = "states.*.ignore",
	    .type = CFG_LIST,
	    .min = 1,
	    .max = EVENTS_MAX,
	    .about = "Events that change nothing in this state." },
	{ .path = "states.*.ignore.[]", .type = CFG_STRING },
};
static const struct cfg_schema chart_schema = { rules, G_N_ELEMENTS(rules) };

struct reader {
	const struct cfg *cfg;
	struct chart *chart;
	struct err *err;
};

/* Returns the index of a name; refuses one that is not in `names`. */
static int
lookup_name(const struct reader *r, const GPtrArray *names, const char *kind,
    const char *name, const char *path)
{
	GString *allowed;
	guint i;

	for (i = 0; i < names->len; i++) {
		if (strcmp(names->pdata[i], name) == 0)
			return (int)i;
	}
	allowed = g_string_new(NULL);
	for (i = 0; i < names->len; i++)
		g_string_append_printf(allowed, "%s%s", i > 0 ? ", " : "",
		    (const char *)names->pdata[i]);
	cfg_refuse(
	    r->cfg, path, allowed->str, r->err, "unknown %s '%s'", kind, name);
	g_string_free(allowed, TRUE);
	return -1;
}

static GPtrArray *
guard_names(const struct chart_binding *binding)
{
	GPtrArray *names = g_ptr_array_new();
	const struct chart_guard *g;

	for (g = binding->guards; g != NULL && g->name != NULL; g++)
		g_ptr_array_add(names, (gpointer)g->name);
	return names;
}

static GPtrArray *
action_names(const struct chart_binding *binding)
{
	GPtrArray *names = g_ptr_array_new();
	const struct chart_action *a;

	for (a = binding->actions; a != NULL && a->name != NULL; a++)
		g_ptr_array_add(names, (gpointer)a->name);
	return names;
}

static bool
read_guard(const struct reader *r, struct transition *t, const char *path)
{
	GPtrArray *names;
	char *key;
	int index;

	if (!cfg_has(r->cfg, "%s.if", path))
		return true;
	names = guard_names(r->chart->binding);
	key = g_strdup_printf("%s.if", path);
	index = lookup_name(r, names, "guard", cfg_str(r->cfg, "%s", key), key);
	if (index >= 0)
		t->guard = &r->chart->binding->guards[index];
	g_free(key);
	g_ptr_array_unref(names);
	return index >= 0;
}

static bool
read_action(const struct reader *r, const GPtrArray *names,
    const struct chart_action **action, const char *path, size_t i)
{
	char *key = g_strdup_printf("%s.do.%zu", path, i);
	int index;

	index =
	    lookup_name(r, names, "action", cfg_str(r->cfg, "%s", key), key);
	if (index >= 0)
		*action = &r->chart->binding->actions[index];
	g_free(key);
	return index >= 0;
}

static bool
read_actions(const struct reader *r, struct transition *t, const char *path)
{
	GPtrArray *names = action_names(r->chart->binding);
	bool ok = true;
	size_t i;

	t->nactions = cfg_count(r->cfg, "%s.do", path);
	t->actions = g_new0(const struct chart_action *, t->nactions);
	for (i = 0; ok && i < t->nactions; i++)
		ok = read_action(r, names, &t->actions[i], path, i);
	g_ptr_array_unref(names);
	return ok;
}

static bool
read_transition(const struct reader *r, struct transition *t, const char *path)
{
	char *key = g_strdup_printf("%s.to", path);

	t->to = lookup_name(
	    r, r->chart->states, "state", cfg_str(r->cfg, "%s", key), key);
	g_free(key);
	return t->to >= 0 && read_guard(r, t, path) && read_actions(r, t, path);
}

/* Without this check an event could fall through all guards: the state would
 * not change and no action would run, which looks like a lost event. */
static bool
check_guards(const struct reader *r, const struct cell *cell, const char *path)
{
	size_t i;

	for (i = 0; i + 1 < cell->ntransitions; i++) {
		if (cell->transitions[i].guard == NULL)
			return cfg_refuse(r->cfg, path,
			    "a transition without `if` only as the last",
			    r->err, "transition %zu is never open", i + 1);
	}
	if (cell->transitions[i].guard != NULL)
		return cfg_refuse(r->cfg, path,
		    "a last transition without `if`, which may lead to the "
		    "state itself",
		    r->err, "the last transition has a guard");
	return true;
}

static bool
read_cell(const struct reader *r, struct cell *cell, const char *path)
{
	bool ok = true;
	char *item;
	size_t i;

	cell->ntransitions = cfg_count(r->cfg, "%s", path);
	cell->transitions = g_new0(struct transition, cell->ntransitions);
	for (i = 0; ok && i < cell->ntransitions; i++) {
		item = g_strdup_printf("%s.%zu", path, i);
		ok = read_transition(r, &cell->transitions[i], item);
		g_free(item);
	}
	return ok && check_guards(r, cell, path);
}

static bool
read_on(const struct reader *r, int state)
{
	const char *name = chart_state_name(r->chart, state);
	const char *event_name;
	bool ok = true;
	char *path;
	size_t i;
	int event;

	for (i = 0; ok && i < cfg_count(r->cfg, "states.%s.on", name); i++) {
		event_name = cfg_key(r->cfg, i, "states.%s.on", name);
		path = g_strdup_printf("states.%s.on.%s", name, event_name);
		event =
		    lookup_name(r, r->chart->events, "event", event_name, path);
		ok = event >= 0 &&
		    read_cell(r, chart_cell(r->chart, state, event), path);
		g_free(path);
	}
	return ok;
}

static bool
read_ignored(const struct reader *r, int state, const char *path)
{
	const char *name = cfg_str(r->cfg, "%s", path);
	struct cell *cell;
	int event;

	event = lookup_name(r, r->chart->events, "event", name, path);
	if (event < 0)
		return false;
	cell = chart_cell(r->chart, state, event);
	if (cell->ignored || cell->ntransitions > 0)
		return cfg_refuse(r->cfg, path,
		    "an event once, in `on` or in `ignore`", r->err,
		    "event '%s' is given twice", name);
	cell->ignored = true;
	return true;
}

static bool
read_ignore(const struct reader *r, int state)
{
	const char *name = chart_state_name(r->chart, state);
	bool ok = true;
	char *path;
	size_t i;

	for (i = 0; ok && i < cfg_count(r->cfg, "states.%s.ignore", name);
	     i++) {
		path = g_strdup_printf("states.%s.ignore.%zu", name, i);
		ok = read_ignored(r, state, path);
		g_free(path);
	}
	return ok;
}

static bool refuse_state(const struct reader *r, int state, const char *allowed,
    const char *format, ...) G_GNUC_PRINTF(4, 5);

static bool
refuse_state(const struct reader *r, int state, const char *allowed,
    const char *format, ...)
{
	char *path =
	    g_strdup_printf("states.%s", chart_state_name(r->chart, state));
	va_list args;
	char *what;

	va_start(args, format);
	what = g_strdup_vprintf(format, args);
	va_end(args);
	cfg_refuse(r->cfg, path, allowed, r->err, "%s", what);
	g_free(what);
	g_free(path);
	return false;
}

/* An event that was overlooked in some state is the usual fault of a state
 * machine; each state therefore has to list every event. */
static bool
check_complete(const struct reader *r, int state)
{
	const struct cell *cell;
	guint event;

	for (event = 0; event < r->chart->events->len; event++) {
		cell = chart_cell(r->chart, state, (int)event);
		if (!cell->ignored && cell->ntransitions == 0)
			return refuse_state(r, state,
			    "each event in `on` or in `ignore`",
			    "says nothing about event '%s'",
			    chart_event_name(r->chart, (int)event));
	}
	return true;
}

static bool
check_exit(const struct reader *r, int state)
{
	const struct cell *cell;
	guint event;
	size_t i;

	for (event = 0; event < r->chart->events->len; event++) {
		cell = chart_cell(r->chart, state, (int)event);
		for (i = 0; i < cell->ntransitions; i++) {
			if (cell->transitions[i].to != state)
				return true;
		}
	}
	return refuse_state(r, state,
	    "`final: true` or a transition to another state",
	    "cannot be left and is not final");
}

static bool
read_final(const struct reader *r, int state)
{
	const char *name = chart_state_name(r->chart, state);

	r->chart->finals[state] = true;
	if (cfg_has(r->cfg, "states.%s.on", name) ||
	    cfg_has(r->cfg, "states.%s.ignore", name))
		return refuse_state(r, state, "`final: true` alone",
		    "a final state with `on` or `ignore`");
	return true;
}

static bool
read_state(const struct reader *r, int state)
{
	if (cfg_bool(
		r->cfg, "states.%s.final", chart_state_name(r->chart, state)))
		return read_final(r, state);
	return read_on(r, state) && read_ignore(r, state) &&
	    check_complete(r, state) && check_exit(r, state);
}

static bool
check_reachable(const struct reader *r)
{
	bool *reached = chart_reachable(r->chart);
	bool ok = true;
	guint state;

	for (state = 0; ok && state < r->chart->states->len; state++) {
		if (!reached[state])
			ok = refuse_state(r, (int)state,
			    "states that the start leads to",
			    "cannot be reached");
	}
	g_free(reached);
	return ok;
}

static bool
read_event(const struct reader *r, const char *path)
{
	const char *name = cfg_str(r->cfg, "%s", path);

	if (!cfg_key_valid(name))
		return cfg_refuse(r->cfg, path, "letters, digits, _ and -",
		    r->err, "malformed event");
	if (chart_event(r->chart, name) >= 0)
		return cfg_refuse(r->cfg, path, "each event once", r->err,
		    "event '%s' is given twice", name);
	g_ptr_array_add(r->chart->events, g_strdup(name));
	return true;
}

static bool
read_events(const struct reader *r)
{
	bool ok = true;
	char *path;
	size_t i;

	for (i = 0; ok && i < cfg_count(r->cfg, "events"); i++) {
		path = g_strdup_printf("events.%zu", i);
		ok = read_event(r, path);
		g_free(path);
	}
	return ok;
}

static void
read_state_names(const struct reader *r)
{
	size_t n = cfg_count(r->cfg, "states");
	size_t i;

	for (i = 0; i < n; i++)
		g_ptr_array_add(
		    r->chart->states, g_strdup(cfg_key(r->cfg, i, "states")));
	r->chart->finals = g_new0(bool, n);
	r->chart->cells = g_new0(struct cell, n * r->chart->events->len);
}

static bool
read_chart(const struct reader *r)
{
	guint state;

	if (!read_events(r))
		return false;
	read_state_names(r);
	r->chart->start = lookup_name(
	    r, r->chart->states, "state", cfg_str(r->cfg, "start"), "start");
	if (r->chart->start < 0)
		return false;
	for (state = 0; state < r->chart->states->len; state++) {
		if (!read_state(r, (int)state))
			return false;
	}
	return check_reachable(r);
}

static struct chart *
chart_read(
    const struct cfg *cfg, const struct chart_binding *binding, struct err *err)
{
	struct chart *chart = g_new0(struct chart, 1);
	struct reader r = { .cfg = cfg, .chart = chart, .err = err };

	chart->states = g_ptr_array_new_with_free_func(g_free);
	chart->events = g_ptr_array_new_with_free_func(g_free);
	chart->binding = binding;
	if (read_chart(&r))
		return chart;
	chart_free(chart);
	return NULL;
}

struct chart *
chart_parse(const char *name, const char *text, size_t len,
    const struct chart_binding *binding, struct err *err)
{
	struct cfg *cfg = cfg_parse(name, text, len, &chart_schema, err);
	struct chart *chart;

	if (cfg == NULL)
		return NULL;
	chart = chart_read(cfg, binding, err);
	cfg_free(cfg);
	return chart;
}

struct chart *
chart_load(const char *dir, const char *name,
    const struct chart_binding *binding, struct err *err)
{
	char *path = g_strdup_printf("%s/%s.yaml", dir, name);
	struct cfg *cfg = cfg_load(path, &chart_schema, err);
	struct chart *chart = NULL;

	if (cfg != NULL && strcmp(cfg_str(cfg, "chart"), name) != 0)
		cfg_refuse(cfg, "chart", name, err, "not the name of the file");
	else if (cfg != NULL)
		chart = chart_read(cfg, binding, err);
	cfg_free(cfg);
	g_free(path);
	return chart;
}
