#ifndef SERVE_HIST_H
#define SERVE_HIST_H

/* hist: latency histogram with fixed bounds, in the Prometheus text format. */

#include "common/common.h"

#define HIST_BOUNDS 14

struct hist {
	uint64_t buckets[HIST_BOUNDS + 1];
	uint64_t count;
	double sum_s;
};

void hist_add(struct hist *h, int64_t us);
void hist_print(const struct hist *h, const char *name, GString *out);

#endif
