#ifndef CHART_H
#define CHART_H

/*
 * chart: an interpreter of state charts, which are read from charts/NAME.yaml.
 *
 *   chart: attempt
 *   start: queued
 *   events: [sent, refused, late_answer]
 *   states:
 *     queued:
 *       on:
 *         sent: [{to: running, do: [start_timer]}]
 *         refused: [{if: may_retry, to: queued, do: [retry]},
 *                   {to: ended, do: [answer]}]
 *       ignore: [late_answer]
 *     ended: {final: true}
 *
 * The transitions of an event are always a list; the first whose guard holds is
 * taken. The last one has no guard, so that no event falls through all guards
 * unnoticed: staying in a state takes a transition to the state itself. A final
 * state has neither `on` nor `ignore` and ignores every event.
 *
 * A chart is checked when read. Refused with file and line are: an unknown
 * state, event, guard or action; an unreachable state; a state that is not
 * final and has no transition to another state; a state that lists an event
 * neither in `on` nor in `ignore`, or in both; a last transition with a guard;
 * a transition after one without a guard. Guards and actions are bound by name
 * through tables of callbacks with a context pointer; all transitions are in
 * the chart, none in the code.
 */

#include "common/common.h"

struct chart;

struct chart_guard {
	const char *name;
	bool (*holds)(void *ctx, const void *event_data);
};

struct chart_action {
	const char *name;
	void (*run)(void *ctx, const void *event_data);
};

struct chart_binding { /* tables end with a NULL name */
	const struct chart_guard *guards;
	const struct chart_action *actions;
};

/* Reads and checks a chart; `name` is the file named in errors. `binding` must
 * outlive it, and the names of its tables are lower-case with `_`. ERR_INVALID
 * on refusal. */
struct chart *chart_parse(const char *name, const char *text, size_t len,
    const struct chart_binding *binding, struct err *err);
/* Reads NAME.yaml in the folder `dir`; its key `chart` must be NAME. */
struct chart *chart_load(const char *dir, const char *name,
    const struct chart_binding *binding, struct err *err);
void chart_free(struct chart *chart);

/* The number of a name, to be looked up once; -1 when unknown. */
int chart_event(const struct chart *chart, const char *name);
int chart_state(const struct chart *chart, const char *name);
/* NULL past the last one. */
const char *chart_state_name(const struct chart *chart, int state);
const char *chart_event_name(const struct chart *chart, int event);
int chart_start(const struct chart *chart);
bool chart_is_final(const struct chart *chart, int state);

/*
 * Handles one event and returns the new state, which is that of the first
 * transition whose guard holds. Its actions run in order, while the old state
 * is still the current one, and must not step the same instance of the chart.
 * An ignored event does not change the state.
 */
int chart_step(const struct chart *chart, int state, int event, void *ctx,
    const void *event_data);

#endif
