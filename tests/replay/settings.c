/* Settings in force on one node, and when it may begin. */

#include <string.h>

#include "agree/inf_internal.h"
#include "replay/replay.h"

static const char *const outcome_names[] = {
	[INF_ACCEPTED] = "taken",
	[INF_STALE] = "old",
	[INF_REFUSED] = "refused",
};

static void *
begin(void)
{
	return inf_new();
}

static void
end(void *state)
{
	inf_free(state);
}

static void
offer(struct inf *inf, struct step *step)
{
	char *yaml = g_strdup_printf("team: %s\nlimits: {requests_s: %s}\n",
	    word(step, 1), value_of(step, "requests_s", "1"));
	uint64_t version = number_of(step, "version", 0);

	did(step, "%s",
	    outcome_names[inf_offer(inf, word(step, 1), version, yaml, NULL)]);
	g_free(yaml);
}

static void
look(struct inf *inf, struct step *step)
{
	const struct inf_branch *b = inf_find(inf, word(step, 1));

	if (b == NULL) {
		did(step, "none");
		return;
	}
	did(step, "version=%" G_GUINT64_FORMAT " requests_s=%" G_GINT64_FORMAT,
	    b->version, cfg_int(b->cfg, "limits.requests_s"));
}

static void
may_begin(struct step *step)
{
	const struct inf_start start = {
		.api_read = has_flag(step, "api_read"),
		.api_failed = has_flag(step, "api_failed"),
		.peers_known = number_of(step, "peers", 0),
		.peers_answered = number_of(step, "told", 0),
		.waited_us = step->now_us,
	};

	did(step, "%s", inf_may_serve(&start) ? "yes" : "no");
}

static void
take(void *state, struct step *step)
{
	if (is_word(step, 0, "offer"))
		offer(state, step);
	else if (is_word(step, 0, "in_force"))
		look(state, step);
	else if (is_word(step, 0, "may_begin"))
		may_begin(step);
	else
		bad_input(step, "no such input");
}

const struct player settings_player = { "settings", begin, take, end };
