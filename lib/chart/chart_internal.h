#ifndef CHART_INTERNAL_H
#define CHART_INTERNAL_H

/* A chart in memory; private to lib/chart. */

#include "chart/chart.h"

struct transition {
	const struct chart_guard *guard; /* NULL: always taken */
	int to;
	const struct chart_action **actions;
	size_t nactions;
};

/* How one state handles one event. */
struct cell {
	bool ignored;
	struct transition *transitions;
	size_t ntransitions;
};

struct chart {
	GPtrArray *states; /* names; the index is the number */
	GPtrArray *events;
	bool *finals; /* by state */
	struct cell *cells; /* by state, then event */
	int start;
	const struct chart_binding *binding;
};

struct cell *chart_cell(const struct chart *chart, int state, int event);
/* For each state, whether the start leads to it; free with g_free. */
bool *chart_reachable(const struct chart *chart);

#endif
