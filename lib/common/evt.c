/* Structured log lines, written through log4c to a non-blocking pipe. */

#include <errno.h>
#include <fcntl.h>
#include <log4c.h>
#include <stdarg.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

#include "common/evt.h"

#define LINE_MAX_BYTES 512
/* Rate (lines per second) and burst size of each class's token bucket: about
 * 100 KB/s in the worst second. State changes and failures get higher rates
 * than successes. */
static const double class_rate[EVT_CLASSES] = {
	[EVT_STATE] = 200,
	[EVT_FAILURE] = 200,
	[EVT_SUCCESS] = 100,
};

static const struct {
	const char *name;
	enum evt_class class;
	const char *when;
} names[EVT_NAMES] = {
#define X(symbol, name, class, when) [symbol] = { name, class, when },
	EVT_TABLE(X)
#undef X
};

static struct {
	const struct clk *clock;
	log4c_category_t *category;
	char node[64];
	double tokens[EVT_CLASSES];
	int64_t refilled_us; /* when `tokens` was last updated */
	int64_t dropped, reported_dropped, written;
} state;

const char *
evt_name(enum evt_name n)
{
	return names[n].name;
}

/* ------------------------------------------------------------------ */
/* Sink                                                                */
/* ------------------------------------------------------------------ */

static int
append(log4c_appender_t *appender, const log4c_logging_event_t *event)
{
	const char *line = event->evt_rendered_msg;
	size_t len = strlen(line);
	ssize_t n;

	do
		n = write(STDOUT_FILENO, line, len);
	while (n < 0 && errno == EINTR);
	/* A slow reader causes dropped lines, never delayed requests. A line
	 * that a full pipe truncates has no line feed; readers see the next
	 * line appended to it. */
	if (n != (ssize_t)len)
		state.dropped++;
	else
		state.written++;
	return 0;
}

static const char *
format_raw(const log4c_layout_t *layout, const log4c_logging_event_t *event)
{
	return event->evt_msg;
}

static const log4c_appender_type_t appender_type = {
	.name = "currantchute_stdout",
	.append = append,
};

static const log4c_layout_type_t layout_type = {
	.name = "currantchute_line",
	.format = format_raw,
};

void
evt_open(const struct clk *clock, const char *node)
{
	log4c_appender_t *appender;
	log4c_layout_t *layout;
	int i, flags = fcntl(STDOUT_FILENO, F_GETFL);

	state.clock = clock;
	g_strlcpy(state.node, node, sizeof(state.node));
	for (i = 0; i < EVT_CLASSES; i++)
		state.tokens[i] = class_rate[i];
	state.refilled_us = clk_now_us(clock);
	if (flags >= 0)
		(void)fcntl(STDOUT_FILENO, F_SETFL, flags | O_NONBLOCK);
	if (log4c_init() != 0)
		return;
	log4c_appender_type_set(&appender_type);
	log4c_layout_type_set(&layout_type);
	appender = log4c_appender_get("lines");
	log4c_appender_set_type(appender, &appender_type);
	layout = log4c_layout_get("lines");
	log4c_layout_set_type(layout, &layout_type);
	log4c_appender_set_layout(appender, layout);
	/* Not the category of the program's warnings (log_open), which go to
	 * standard error and have no line feed of their own. */
	state.category = log4c_category_get("lines");
	log4c_category_set_priority(state.category, LOG4C_PRIORITY_INFO);
	log4c_category_set_additivity(state.category, 0);
	log4c_category_set_appender(state.category, appender);
}

void
evt_close(void)
{
	if (state.category != NULL)
		log4c_fini();
	state.category = NULL;
}

/* ------------------------------------------------------------------ */
/* Rate limit                                                          */
/* ------------------------------------------------------------------ */

static bool
take_token(enum evt_class class, int64_t now_us)
{
	double seconds = (double)(now_us - state.refilled_us) / G_USEC_PER_SEC;
	int i;

	state.refilled_us = now_us;
	for (i = 0; i < EVT_CLASSES; i++)
		state.tokens[i] = MIN(
		    class_rate[i], state.tokens[i] + seconds * class_rate[i]);
	if (state.tokens[class] < 1) {
		state.dropped++;
		return false;
	}
	state.tokens[class] -= 1;
	return true;
}

static void
write_line(enum evt_name n, const char *pairs)
{
	int64_t wall_us = clk_wall_us(state.clock);

	log4c_category_log(state.category, LOG4C_PRIORITY_INFO,
	    "t=%" G_GINT64_FORMAT ".%03d node=%s ev=%s %s\n",
	    wall_us / G_USEC_PER_SEC, (int)(wall_us % G_USEC_PER_SEC / 1000),
	    state.node, names[n].name, pairs);
}

/* Values from outside may hold line feeds, and sequences that terminals act on. */
static void
mask_controls(char *text)
{
	for (; *text != '\0'; text++) {
		if (g_ascii_iscntrl(*text))
			*text = '?';
	}
}

void
evt(enum evt_name n, const char *format, ...)
{
	char pairs[LINE_MAX_BYTES];
	va_list args;
	int64_t dropped;

	if (state.category == NULL ||
	    !take_token(names[n].class, clk_now_us(state.clock)))
		return;
	va_start(args, format);
	g_vsnprintf(pairs, sizeof(pairs), format, args);
	va_end(args);
	mask_controls(pairs);
	if (state.dropped != state.reported_dropped) {
		dropped = state.dropped - state.reported_dropped;
		state.reported_dropped = state.dropped;
		g_autofree char *count =
		    g_strdup_printf("count=%" G_GINT64_FORMAT, dropped);
		write_line(EVT_DROPPED, count);
	}
	write_line(n, pairs);
}

int64_t
evt_dropped(void)
{
	return state.dropped;
}

int64_t
evt_written(void)
{
	return state.written;
}

void
evt_print_names(GString *out)
{
	static const char *const classes[EVT_CLASSES] = { "state", "bad",
		"well" };
	int i;

	g_string_append(out, "| ev | class | written when |\n|---|---|---|\n");
	for (i = 0; i < EVT_NAMES; i++)
		g_string_append_printf(out, "| `%s` | %s | %s |\n",
		    names[i].name, classes[names[i].class], names[i].when);
}
