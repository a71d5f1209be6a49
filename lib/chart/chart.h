#ifndef CHART_H
#define CHART_H

/*
 * chart: an interpreter of state charts kept in charts/NAME.yaml.
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
 * An event's transitions are always a list; the first whose guard holds is
 * taken. The last one has no guard, so that a list never falls through
 * unseen: to stay is said as a transition to the state itself. A final state
 * has neither `on` nor `ignore` and ignores every event.
 *
 * A chart is checked when read: unknown state, event, guard or action, a
 * state that cannot be reached, a state that is neither final nor able to
 * leave, a state that says nothing about an event (neither `on` nor `ignore`)
 * or both, a guarded last transition and one behind an unguarded one are
 * refused with file and line. Guards and actions are given by name through
 * tables of callbacks with a context pointer; the code holds no transition of
 * its own.
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

/* Numbers for names, looked up once; -1 when unknown. */
int chart_event(const struct chart *chart, const char *name);
int chart_state(const struct chart *chart, const char *name);
/* NULL past the last one. */
const char *chart_state_name(const struct chart *chart, int state);
const char *chart_event_name(const struct chart *chart, int event);
int chart_start(const struct chart *chart);
bool chart_is_final(const struct chart *chart, int state);

/*
 * Takes one event: the first transition whose guard holds gives the new state;
 * its actions run in order, while the old state is the current one, and must
 * not step the same chart's instance themselves. An ignored event leaves the
 * state as it is. Returns the new state.
 */
int chart_step(const struct chart *chart, int state, int event, void *ctx,
    const void *event_data);

#endif
