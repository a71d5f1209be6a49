/* Whether a gateway may use its share of the slack of the retry budget. */

#include "serve/acct.h"

/* A sidecar that receives a process's copies received one at most this long
 * before the process's last sign of life. */
#define CURRENT_US (ACCT_REFRESH_US + 500000)
/* A process that has sent nothing for longer may have been cut off and may have
 * retried since. */
#define CURRENT_AGE_US 4000000
/* The copy of the process before arrives sooner, if it is not lost. */
#define FIRST_COPY_US 1000000
#define SWEEP_US 1000000

struct acct_copy {
	struct side_account message; /* as received */
	int64_t received_us;
	int64_t heard_us; /* last sign of life of the process that made it */
};

struct acct_gateway {
	int64_t heard_us; /* any of its processes */
	bool has_copy;
	struct acct_copy copy; /* owns the bytes of its message's entries */
};

/* ------------------------------------------------------------------ */
/* The gateway's side                                                  */
/* ------------------------------------------------------------------ */

void
acct_start(struct acct *a, int64_t now_us)
{
	*a = (struct acct){ .started_us = now_us, .known_us = now_us };
}

bool
acct_reported(struct acct *a, unsigned int sharers, int64_t now_us)
{
	unsigned int before = a->sharers;

	if (sharers < a->sharers && now_us - a->sharers_us <= ACCT_RETAIN_US)
		return false;
	a->sharers = sharers;
	a->sharers_us = now_us;
	return a->sharers != before;
}

static bool
replaces(const struct acct_origin *a, const struct acct_origin *b)
{
	return a->start == b->start ? a->seq > b->seq : a->made_us > b->made_us;
}

static bool
is_same(const struct acct_origin *a, const struct acct_origin *b)
{
	return a->start == b->start && a->seq == b->seq;
}

bool
acct_offered(struct acct *a, const struct acct_origin *origin, bool is_current,
    int64_t now_us)
{
	bool is_newer = a->origin.start == 0 || replaces(origin, &a->origin);

	if (origin->sharers > 0)
		(void)acct_reported(a, origin->sharers, now_us);
	if (is_newer)
		a->origin = *origin;
	/* A sidecar that knows it to be current may answer second. */
	if (is_current && is_same(&a->origin, origin))
		a->known_us = MIN(a->known_us, origin->known_us);
	return is_newer;
}

bool
acct_wants_copy(const struct acct *a, int64_t window_us, int64_t now_us)
{
	return now_us - a->known_us <= window_us;
}

bool
acct_may_copy(const struct acct *a, int64_t window_us, int64_t now_us)
{
	return !acct_wants_copy(a, window_us, now_us) ||
	    now_us - a->started_us >= FIRST_COPY_US;
}

enum acct_state
acct_state(
    const struct acct *a, int64_t window_us, bool has_sidecar, int64_t now_us)
{
	if (acct_wants_copy(a, window_us, now_us))
		return ACCT_UNKNOWN;
	if (!has_sidecar)
		return ACCT_ALONE;
	return a->sharers == 0 ? ACCT_NOT_COUNTED : ACCT_USABLE;
}

const char *
acct_state_name(enum acct_state state)
{
	static const char *const names[] = {
		[ACCT_UNKNOWN] = "unknown",
		[ACCT_ALONE] = "no_sidecar",
		[ACCT_NOT_COUNTED] = "not_counted",
		[ACCT_USABLE] = "usable",
	};

	return names[state];
}

/* ------------------------------------------------------------------ */
/* The sidecar's side                                                  */
/* ------------------------------------------------------------------ */

static void
copy_clear(struct acct_gateway *g)
{
	if (g->has_copy)
		g_free((gpointer)g->copy.message.entries.data);
	g->has_copy = false;
}

static void
gateway_free(gpointer data)
{
	copy_clear(data);
	g_free(data);
}

void
acct_copies_init(struct acct_copies *c)
{
	*c = (struct acct_copies){ .gateways = g_hash_table_new_full(g_str_hash,
				       g_str_equal, g_free, gateway_free) };
}

void
acct_copies_clear(struct acct_copies *c)
{
	g_hash_table_unref(c->gateways);
}

/* NULL: ACCT_GATEWAYS_MAX is reached. */
static struct acct_gateway *
gateway_of(struct acct_copies *c, const char *gateway)
{
	struct acct_gateway *g = g_hash_table_lookup(c->gateways, gateway);

	if (g != NULL || g_hash_table_size(c->gateways) == ACCT_GATEWAYS_MAX)
		return g;
	g = g_new0(struct acct_gateway, 1);
	g_hash_table_insert(c->gateways, g_strdup(gateway), g);
	return g;
}

void
acct_copies_heard(
    struct acct_copies *c, const char *gateway, uint64_t start, int64_t now_us)
{
	struct acct_gateway *g = gateway_of(c, gateway);

	if (g == NULL)
		return;
	g->heard_us = now_us;
	if (g->has_copy && g->copy.message.start == start)
		g->copy.heard_us = now_us;
}

void
acct_copies_put(struct acct_copies *c, const char *gateway,
    const struct side_account *message, int64_t now_us)
{
	struct acct_gateway *g = gateway_of(c, gateway);
	struct slice *entries;

	if (g == NULL)
		return;
	g->heard_us = now_us;
	if (g->has_copy && g->copy.message.start == message->start &&
	    message->seq <= g->copy.message.seq)
		return;
	copy_clear(g);
	g->copy = (struct acct_copy){
		.message = *message, .received_us = now_us, .heard_us = now_us
	};
	entries = &g->copy.message.entries;
	entries->data = g_memdup2(message->entries.data, entries->len);
	g->has_copy = true;
}

/* The process that made it can hardly have retried since. */
static bool
is_current(const struct acct_copy *copy, int64_t now_us)
{
	return copy->heard_us - copy->received_us <= CURRENT_US &&
	    now_us - copy->heard_us <= CURRENT_AGE_US;
}

bool
acct_copies_get(const struct acct_copies *c, const char *gateway,
    uint64_t start, int64_t now_us, struct side_account *out)
{
	const struct acct_gateway *g =
	    g_hash_table_lookup(c->gateways, gateway);

	if (g == NULL || !g->has_copy || g->copy.message.start == start)
		return false;
	*out = g->copy.message;
	out->age_ms = (uint64_t)(now_us - g->copy.received_us) / 1000;
	out->current = is_current(&g->copy, now_us);
	return true;
}

static gboolean
has_expired(gpointer key, gpointer value, gpointer data)
{
	const struct acct_gateway *g = value;
	const int64_t *now_us = data;

	return *now_us - g->heard_us > ACCT_RETAIN_US;
}

unsigned int
acct_copies_sharers(struct acct_copies *c, int64_t now_us)
{
	if (now_us - c->swept_us >= SWEEP_US) {
		g_hash_table_foreach_remove(c->gateways, has_expired, &now_us);
		c->swept_us = now_us;
	}
	return g_hash_table_size(c->gateways);
}
