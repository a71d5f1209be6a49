#ifndef STATION_H
#define STATION_H

/*
 * station: what gateway and keeper have in common: they read and check the
 * settings file, reload it when it changes, open event loop, connections, log
 * and metrics page, and stop on SIGTERM.
 */

#include "common/evt.h"
#include "http/http.h"

struct station {
	struct cfg *cfg;
	char *path; /* of the settings file */
	int64_t file_mtime_ns;
	uint8_t key[64];
	size_t key_len;
	struct conn_node node;
	struct ctr_set *counters;
	struct evl *loop;
	struct hpool *pool;
	struct hserver *metrics;
	struct hlimits metrics_limits;
	GMainLoop *main;
	struct evl_timer watch;
	/* Callbacks of the program. */
	void (*stop)(void *ctx); /* once, on SIGTERM */
	void (*reload)(void *ctx); /* the settings were reloaded */
	void (*print)(
	    void *ctx, GString *out); /* appends to the metrics page */
	void *ctx;
	bool stopping;
};

bool station_load(struct station *s, const char *path, struct err *err);
/* Starts the loop, log, pool and metrics server as the settings say; callbacks
 * and ctx must be set before. */
bool station_open(struct station *s, const char *program, struct err *err);
void station_run(struct station *s); /* until station_quit */
void station_quit(struct station *s);

#endif
