#ifndef STATION_H
#define STATION_H

/*
 * station: what gateway and keeper do alike: read and check the settings
 * file, read it again when it changes, open loop, connections, log lines and
 * the metrics page, and stop on SIGTERM.
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
	void (*reload)(void *ctx); /* the settings were read again */
	void (*print)(void *ctx, GString *out); /* more for the metrics */
	void *ctx;
	bool stopping;
};

bool station_load(struct station *s, const char *path, struct err *err);
/* Opens what the settings name; callbacks and ctx are set before. */
bool station_open(struct station *s, const char *program, struct err *err);
void station_run(struct station *s); /* until station_quit */
void station_quit(struct station *s);

#endif
