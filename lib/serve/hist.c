/* Latency histogram. */

#include "serve/hist.h"

/* Bucket bounds around the objectives in use: 67 ms between tokens; 300 ms,
 * 400 ms and 1.5 s to the first token; 6 s in total. */
static const int64_t bounds_us[HIST_BOUNDS] = { 1000, 2500, 5000, 10000, 25000,
	50000, 100000, 200000, 300000, 400000, 700000, 1500000, 3000000,
	6000000 };

void
hist_add(struct hist *h, int64_t us)
{
	int i = 0;

	while (i < HIST_BOUNDS && us > bounds_us[i])
		i++;
	h->buckets[i]++;
	h->count++;
	h->sum_s += (double)us / G_USEC_PER_SEC;
}

void
hist_print(const struct hist *h, const char *name, GString *out)
{
	uint64_t sum = 0;
	int i;

	g_string_append_printf(out, "# TYPE %s histogram\n", name);
	for (i = 0; i < HIST_BOUNDS; i++) {
		sum += h->buckets[i];
		g_string_append_printf(out,
		    "%s_bucket{le=\"%g\"} %" G_GUINT64_FORMAT "\n", name,
		    (double)bounds_us[i] / G_USEC_PER_SEC, sum);
	}
	g_string_append_printf(out,
	    "%s_bucket{le=\"+Inf\"} %" G_GUINT64_FORMAT "\n"
	    "%s_sum %.6f\n%s_count %" G_GUINT64_FORMAT "\n",
	    name, h->count, name, h->sum_s, name, h->count);
}
