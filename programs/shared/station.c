/* Settings, loop, metrics and stop of gateway and keeper. */

#include <glib-unix.h>
#include <signal.h>
#include <string.h>
#include <sys/stat.h>

#include "shared/station.h"

/* The settings file may change without a signal; it is looked at so often. */
#define FILE_WATCH_US 1000000
#define CONNECT_US 700000 /* a host without power does not answer at all */
#define KEEP_IDLE_US 8000000
#define KEEP_PER_TARGET 32
#define ANSWER_HEAD_MAX (64u << 10)
#define METRICS_CONNECTIONS 16

static void
read_key(struct station *s)
{
	const char *hex = cfg_str(s->cfg, "node.key");
	size_t i;

	s->key_len = MIN(strlen(hex) / 2, sizeof(s->key));
	for (i = 0; i < s->key_len; i++)
		s->key[i] = (uint8_t)(g_ascii_xdigit_value(hex[2 * i]) << 4 |
		    g_ascii_xdigit_value(hex[2 * i + 1]));
}

static int64_t
file_mtime_ns(const char *path)
{
	struct stat st;

	if (stat(path, &st) != 0)
		return 0;
	return (int64_t)st.st_mtim.tv_sec * 1000000000 + st.st_mtim.tv_nsec;
}

bool
station_load(struct station *s, const char *path, struct err *err)
{
	/* The settings may change while this process starts: the signal that
	 * says so would end it before the loop takes signals. What it says is
	 * made up for by looking at the file's time. */
	signal(SIGHUP, SIG_IGN);
	s->path = g_strdup(path);
	s->file_mtime_ns = file_mtime_ns(path);
	s->cfg = cfg_load(path, &cfg_serve_schema, err);
	if (s->cfg == NULL)
		return false;
	read_key(s);
	s->counters = ctr_set_new();
	return true;
}

/* ------------------------------------------------------------------ */
/* Settings read again                                                 */
/* ------------------------------------------------------------------ */

static void
reload(struct station *s, const char *why)
{
	struct err err = { 0 };
	struct cfg *cfg = cfg_load(s->path, &cfg_serve_schema, &err);

	s->file_mtime_ns = file_mtime_ns(s->path);
	if (cfg == NULL) {
		/* The settings in force stay: a file that is half written or
		 * wrong must not stop a process that serves. */
		evt(EVT_RELOAD, "why=%s outcome=refused", why);
		log_warn("settings not read again: %s", err.message);
		return;
	}
	cfg_free(s->cfg);
	s->cfg = cfg;
	evt(EVT_RELOAD, "why=%s outcome=in_force", why);
	s->reload(s->ctx);
}

static gboolean
on_hup(gpointer data)
{
	reload(data, "signal");
	return G_SOURCE_CONTINUE;
}

static void
on_watch(struct evl_timer *timer)
{
	struct station *s = CONTAINER_OF(timer, struct station, watch);

	if (file_mtime_ns(s->path) != s->file_mtime_ns)
		reload(s, "file_changed");
	evl_timer_set(s->loop, timer, evl_now_us(s->loop) + FILE_WATCH_US);
}

/* ------------------------------------------------------------------ */
/* Metrics                                                             */
/* ------------------------------------------------------------------ */

static void
on_metrics(struct hreq *r, void *ctx)
{
	struct station *s = ctx;
	GString *out = g_string_new(NULL);

	ctr_print(s->counters, out);
	g_string_append_printf(out,
	    "log_lines_written %" G_GINT64_FORMAT
	    "\nlog_lines_dropped %" G_GINT64_FORMAT "\nconnections_opened %u\n",
	    evt_written(), evt_dropped(), hpool_opened(s->pool));
	s->print(s->ctx, out);
	hreq_answer(r, 200, "Content-Type: text/plain; version=0.0.4\r\n",
	    out->str, out->len);
	g_string_free(out, TRUE);
}

static void
on_nothing(struct hreq *r, void *ctx)
{
}

static void
on_refused(unsigned int status, void *ctx)
{
	ctr_add(
	    ctr_get(((struct station *)ctx)->counters, "metrics_refused"), 1);
}

static const struct hserver_ops metrics_ops = {
	.request = on_metrics,
	.disconnected = on_nothing,
	.drained = on_nothing,
	.refused = on_refused,
};

static bool
open_metrics(struct station *s, struct err *err)
{
	s->metrics_limits = (struct hlimits){ .head_bytes = 8192,
		.body_bytes = 0,
		.head_us = 3000000,
		.idle_us = 15000000 };
	if (!cfg_has(s->cfg, "listen.metrics"))
		return true;
	s->metrics =
	    hserver_new(&(struct hserver_conf){ .loop = s->loop,
			    .address = cfg_str(s->cfg, "listen.metrics"),
			    .limits = &s->metrics_limits,
			    .connections_max = METRICS_CONNECTIONS,
			    .bodies_max = 1 << 16,
			    .ops = &metrics_ops,
			    .ctx = s },
		err);
	return s->metrics != NULL;
}

/* ------------------------------------------------------------------ */
/* Start and stop                                                      */
/* ------------------------------------------------------------------ */

static gboolean
on_term(gpointer data)
{
	struct station *s = data;

	if (s->stopping)
		return G_SOURCE_CONTINUE;
	s->stopping = true;
	s->stop(s->ctx);
	return G_SOURCE_CONTINUE;
}

bool
station_open(struct station *s, const char *program, struct err *err)
{
	signal(SIGPIPE, SIG_IGN);
	log_open(program);
	evt_open(clk_system(), program, cfg_str(s->cfg, "node.id"));
	s->main = g_main_loop_new(NULL, FALSE);
	s->loop = evl_new(clk_system());
	s->pool = hpool_new(&(struct hpool_conf){ .loop = s->loop,
	    .idle_max = KEEP_PER_TARGET,
	    .connect_us = CONNECT_US,
	    .idle_us = KEEP_IDLE_US,
	    .head_bytes = ANSWER_HEAD_MAX });
	s->node = (struct conn_node){
		.id = cfg_str(s->cfg, "listen.peers"),
		.key = s->key,
		.key_len = s->key_len,
		.clock = clk_system(),
		.counters = s->counters,
	};
	s->node.id = g_strdup(s->node.id);
	s->watch.fire = on_watch;
	evl_timer_set(s->loop, &s->watch, evl_now_us(s->loop) + FILE_WATCH_US);
	g_unix_signal_add(SIGTERM, on_term, s);
	g_unix_signal_add(SIGINT, on_term, s);
	g_unix_signal_add(SIGHUP, on_hup, s);
	return open_metrics(s, err);
}

void
station_run(struct station *s)
{
	g_main_loop_run(s->main);
	evt_close();
}

void
station_quit(struct station *s)
{
	g_main_loop_quit(s->main);
}
