/* Charts: lookup of names, steps and reachability. */

#include <string.h>

#include "chart/chart_internal.h"

static int
name_index(const GPtrArray *names, const char *name)
{
	guint i;

	for (i = 0; i < names->len; i++) {
		if (strcmp(names->pdata[i], name) == 0)
			return (int)i;
	}
	return -1;
}

static const char *
name_at(const GPtrArray *names, int index)
{
	if (index < 0 || (guint)index >= names->len)
		return NULL;
	return names->pdata[index];
}

int
chart_event(const struct chart *chart, const char *name)
{
	return name_index(chart->events, name);
}

int
chart_state(const struct chart *chart, const char *name)
{
	return name_index(chart->states, name);
}

const char *
chart_state_name(const struct chart *chart, int state)
{
	return name_at(chart->states, state);
}

const char *
chart_event_name(const struct chart *chart, int event)
{
	return name_at(chart->events, event);
}

int
chart_start(const struct chart *chart)
{
	return chart->start;
}

bool
chart_is_final(const struct chart *chart, int state)
{
	g_assert(chart_state_name(chart, state) != NULL);
	return chart->finals[state];
}

struct cell *
chart_cell(const struct chart *chart, int state, int event)
{
	g_assert(chart_state_name(chart, state) != NULL);
	g_assert(chart_event_name(chart, event) != NULL);
	return &chart
		    ->cells[(size_t)state * chart->events->len + (size_t)event];
}

static const struct transition *
first_enabled(const struct cell *cell, void *ctx, const void *event_data)
{
	const struct transition *t;
	size_t i;

	for (i = 0; i < cell->ntransitions; i++) {
		t = &cell->transitions[i];
		if (t->guard == NULL || t->guard->holds(ctx, event_data))
			return t;
	}
	return NULL; /* ignored: the last transition has no guard */
}

int
chart_step(const struct chart *chart, int state, int event, void *ctx,
    const void *event_data)
{
	const struct transition *t;
	size_t i;

	t = first_enabled(chart_cell(chart, state, event), ctx, event_data);
	if (t == NULL)
		return state;
	for (i = 0; i < t->nactions; i++)
		t->actions[i]->run(ctx, event_data);
	return t->to;
}

static void
mark_successors(
    const struct chart *chart, int state, bool *reached, GArray *pending)
{
	const struct cell *cell;
	guint event;
	size_t i;
	int to;

	for (event = 0; event < chart->events->len; event++) {
		cell = chart_cell(chart, state, (int)event);
		for (i = 0; i < cell->ntransitions; i++) {
			to = cell->transitions[i].to;
			if (!reached[to])
				g_array_append_val(pending, to);
			reached[to] = true;
		}
	}
}

bool *
chart_reachable(const struct chart *chart)
{
	bool *reached = g_new0(bool, chart->states->len);
	GArray *pending = g_array_new(FALSE, FALSE, sizeof(int));
	int state;

	reached[chart->start] = true;
	g_array_append_val(pending, chart->start);
	while (pending->len > 0) {
		state = g_array_index(pending, int, pending->len - 1);
		g_array_set_size(pending, pending->len - 1);
		mark_successors(chart, state, reached, pending);
	}
	g_array_unref(pending);
	return reached;
}

static void
free_cell(struct cell *cell)
{
	size_t i;

	for (i = 0; i < cell->ntransitions; i++)
		g_free(cell->transitions[i].actions);
	g_free(cell->transitions);
}

void
chart_free(struct chart *chart)
{
	size_t i;

	if (chart == NULL)
		return;
	for (i = 0; chart->cells != NULL &&
	     i < (size_t)chart->states->len * chart->events->len;
	     i++)
		free_cell(&chart->cells[i]);
	g_free(chart->cells);
	g_free(chart->finals);
	g_ptr_array_unref(chart->states);
	g_ptr_array_unref(chart->events);
	g_free(chart);
}
