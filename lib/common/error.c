/* Errors and verdicts. */

#include <stdarg.h>
#include <stdio.h>
#include <string.h>

#include "common/common.h"

struct code_row {
	const char *name;
	unsigned int http_status;
};

static const struct code_row code_rows[ERR_CODES] = {
	[ERR_NONE] = { "NONE", 200 },
	[ERR_INVALID] = { "INVALID", 400 },
	[ERR_UNAUTHORISED] = { "UNAUTHORISED", 401 },
	[ERR_NOT_FOUND] = { "NOT_FOUND", 404 },
	[ERR_CONFLICT] = { "CONFLICT", 409 },
	[ERR_TOO_LARGE] = { "TOO_LARGE", 413 },
	[ERR_OVERLOADED] = { "OVERLOADED", 429 },
	[ERR_DEADLINE] = { "DEADLINE", 504 },
	[ERR_UNAVAILABLE] = { "UNAVAILABLE", 503 },
	[ERR_CANCELLED] = { "CANCELLED", 499 },
	[ERR_STALE_FENCE] = { "STALE_FENCE", 409 },
	[ERR_CORRUPT] = { "CORRUPT", 502 },
	[ERR_LEAVING] = { "LEAVING", 503 },
	[ERR_WRONG_VERSION] = { "WRONG_VERSION", 409 },
	[ERR_IN_DOUBT] = { "IN_DOUBT", 409 },
	[ERR_INTERNAL] = { "INTERNAL", 500 },
};

static const char *const verdict_names[] = {
	[VERDICT_NOT_RUN] = "NOT_RUN",
	[VERDICT_MAY_HAVE_RUN] = "MAY_HAVE_RUN",
	[VERDICT_RAN] = "RAN",
};

bool
err_set(struct err *e, enum err_code code, enum verdict verdict,
    const char *format, ...)
{
	va_list args;

	if (e == NULL)
		return false;
	e->code = code;
	e->verdict = verdict;
	e->retry_after_ms = 0;
	va_start(args, format);
	vsnprintf(e->message, sizeof(e->message), format, args);
	va_end(args);
	return false;
}

bool
err_is(const struct err *e)
{
	return e->code != ERR_NONE;
}

const char *
err_code_name(enum err_code code)
{
	g_assert((unsigned int)code < ERR_CODES);
	return code_rows[code].name;
}

enum err_code
err_code_from_name(const char *name)
{
	unsigned int code;

	for (code = 0; code < ERR_CODES; code++) {
		if (g_strcmp0(code_rows[code].name, name) == 0)
			return code;
	}
	return ERR_INTERNAL;
}

const char *
verdict_name(enum verdict verdict)
{
	g_assert((unsigned int)verdict < G_N_ELEMENTS(verdict_names));
	return verdict_names[verdict];
}

enum verdict
verdict_from_name(const char *name)
{
	unsigned int v;

	for (v = 0; v < G_N_ELEMENTS(verdict_names); v++) {
		if (g_strcmp0(verdict_names[v], name) == 0)
			return v;
	}
	return VERDICT_MAY_HAVE_RUN;
}

unsigned int
err_http_status(const struct err *e)
{
	g_assert((unsigned int)e->code < ERR_CODES);
	return code_rows[e->code].http_status;
}
