/* The HTTP session that the adapters of a process share. */

#include "platform/platform_internal.h"

/* An entry has some thousand streams open at once, many to one engine; a
 * request that waits in the session's queue would lose its deadline there.
 * The limits of admission are ours, not the session's. */
#define CONNS_MAX 16384
#define CONNS_PER_HOST_MAX 4096
/* Idle connections are closed before most servers' own limit of a minute, so that
 * few requests meet a connection that is just being closed. */
#define IDLE_TIMEOUT_S 20

struct plat *
plat_new(const struct clk *clock, struct ctr_set *counters, struct tl *timeline)
{
	struct plat *plat = g_new0(struct plat, 1);

	plat->clock = clock;
	plat->counters = counters;
	plat->timeline = timeline;
	TAILQ_INIT(&plat->calls);
	plat->session = soup_session_new_with_options("max-conns", CONNS_MAX,
	    "max-conns-per-host", CONNS_PER_HOST_MAX, "proxy-resolver", NULL,
	    "timeout", 0, "idle-timeout", IDLE_TIMEOUT_S, NULL);
	/* Bytes are handed on as they came, and no request is repeated with
	 * credentials. */
	soup_session_remove_feature_by_type(
	    plat->session, SOUP_TYPE_CONTENT_DECODER);
	soup_session_remove_feature_by_type(
	    plat->session, SOUP_TYPE_AUTH_MANAGER);
	return plat;
}

void
plat_free(struct plat *plat)
{
	if (plat == NULL)
		return;
	target_cancel_all(plat);
	soup_session_abort(plat->session);
	g_object_unref(plat->session);
	g_free(plat);
}

SoupSession *
plat_session(struct plat *plat)
{
	return plat->session;
}

struct ctr *
plat_counter(const struct plat *plat, const char *name)
{
	return ctr_get(plat->counters, name);
}
