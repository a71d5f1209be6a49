/* Settings, event loop, metrics and stop of gateway and keeper. */

#include <glib-unix.h>
#include <signal.h>
#include <string.h>
#include <sys/stat.h>

#include "shared/station.h"

/* Poll interval of the settings file, which may change without a signal. */
#define FILE_POLL_US 1000000
/* Bounded, since a host without power sends no reply at all. */
#define CONNECT_TIMEOUT_US 700000
#define KEEPALIVE_IDLE_US 8000000
#define KEEPALIVE_PER_TARGET 32
#define RESPONSE_HEAD_MAX (64u << 10)
#define METRICS_CONNECTIONS 16

static void
read_key(struct daemon *s)
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
daemon_load(struct daemon *s, const char *path, struct err *err)
{
	/* The settings may change while this process starts: until the loop
	 * handles signals, a SIGHUP would terminate the process. A change that
	 * is missed this way is detected by the file's modification time. */
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
/* Reload of the settings                                              */
/* ------------------------------------------------------------------ */

static void
reload(struct daemon *s, const char *why)
{
	struct err err = { 0 };
	struct cfg *cfg = cfg_load(s->path, &cfg_serve_schema, &err);

	s->file_mtime_ns = file_mtime_ns(s->path);
	if (cfg == NULL) {
		/* The active settings stay: a file that is half written or
		 * invalid must not stop a serving process. */
		evt(EVT_RELOAD, "why=%s outcome=refused", why);
		log_warn("settings not reloaded: %s", err.message);
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
on_file_poll(struct evl_timer *timer)
{
	struct daemon *s = CONTAINER_OF(timer, struct daemon, watch);

	if (file_mtime_ns(s->path) != s->file_mtime_ns)
		reload(s, "file_changed");
	evl_timer_set(s->loop, timer, evl_now_us(s->loop) + FILE_POLL_US);
}

/* ------------------------------------------------------------------ */
/* Metrics                                                             */
/* ------------------------------------------------------------------ */

static void
on_metrics(struct hreq *r, void *ctx)
{
	struct daemon *s = ctx;
	GString *out = g_string_new(NULL);

	ctr_print(s->counters, out);
	g_string_append_printf(out,
	    "log_lines_written %" G_GINT64_FORMAT
	    "\nlog_lines_dropped %" G_GINT64_FORMAT "\nconnections_opened %u\n",
	    evt_written(), evt_dropped(), hpool_opened(s->pool));
	s->print_metrics(s->ctx, out);
	hreq_answer(r, 200, "Content-Type: text/plain; version=0.0.4\r\n",
	    out->str, out->len);
	g_string_free(out, TRUE);
}

static void
on_ignored(struct hreq *r, void *ctx)
{
}

static void
on_refused(unsigned int status, void *ctx)
{
	ctr_add(
	    ctr_get(((struct daemon *)ctx)->counters, "metrics_refused"), 1);
}

static const struct hserver_ops metrics_ops = {
	.request = on_metrics,
	.disconnected = on_ignored,
	.drained = on_ignored,
	.refused = on_refused,
};

static bool
open_metrics(struct daemon *s, struct err *err)
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
	struct daemon *s = data;

	if (s->stopping)
		return G_SOURCE_CONTINUE;
	s->stopping = true;
	s->stop(s->ctx);
	return G_SOURCE_CONTINUE;
}

bool
daemon_open(struct daemon *s, const char *program, struct err *err)
{
	signal(SIGPIPE, SIG_IGN);
	log_open(program);
	evt_open(clk_system(), cfg_str(s->cfg, "node.id"));
	s->main = g_main_loop_new(NULL, FALSE);
	s->loop = evl_new(clk_system());
	s->pool = hpool_new(&(struct hpool_conf){ .loop = s->loop,
	    .idle_max = KEEPALIVE_PER_TARGET,
	    .connect_us = CONNECT_TIMEOUT_US,
	    .idle_us = KEEPALIVE_IDLE_US,
	    .head_bytes = RESPONSE_HEAD_MAX });
	s->node = (struct conn_node){
		.id = cfg_str(s->cfg, "listen.peers"),
		.key = s->key,
		.key_len = s->key_len,
		.clock = clk_system(),
		.counters = s->counters,
	};
	s->node.id = g_strdup(s->node.id);
	s->watch.fire = on_file_poll;
	evl_timer_set(s->loop, &s->watch, evl_now_us(s->loop) + FILE_POLL_US);
	g_unix_signal_add(SIGTERM, on_term, s);
	g_unix_signal_add(SIGINT, on_term, s);
	g_unix_signal_add(SIGHUP, on_hup, s);
	return open_metrics(s, err);
}

void
daemon_run(struct daemon *s)
{
	g_main_loop_run(s->main);
	evt_close();
}

void
daemon_quit(struct daemon *s)
{
	g_main_loop_quit(s->main);
}
