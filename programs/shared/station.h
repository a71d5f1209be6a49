#ifndef STATION_H
#define STATION_H

/*
 * daemon: what gateway and keeper have in common: they read and check the
 * settings file, reload it when it changes, open event loop, connections, log
 * and metrics page, and stop on SIGTERM.
 */

#include "common/evt.h"
#include "http/http.h"

struct daemon {
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
	/* Callbacks of the program: stop is called once, on SIGTERM; reload
	 * after the settings were reloaded; print_metrics appends to the
	 * metrics page. */
	void (*stop)(void *ctx);
	void (*reload)(void *ctx);
	void (*print_metrics)(void *ctx, GString *out);
	void *ctx;
	bool stopping;
};

bool daemon_load(struct daemon *s, const char *path, struct err *err);
/* Starts the loop, log, pool and metrics server as the settings say; callbacks
 * and ctx must be set before. */
bool daemon_open(struct daemon *s, const char *program, struct err *err);
void daemon_run(struct daemon *s); /* until daemon_quit */
void daemon_quit(struct daemon *s);

#endif
