/* Active settings of one node, and when the node may start. */

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
	    token(step, 1), value_of(step, "requests_s", "1"));
	uint64_t version = number_of(step, "version", 0);

	add_action(step, "%s",
	    outcome_names[inf_offer(inf, token(step, 1), version, yaml, NULL)]);
	g_free(yaml);
}

static void
print_branch(struct inf *inf, struct step *step)
{
	const struct inf_branch *b = inf_find(inf, token(step, 1));

	if (b == NULL) {
		add_action(step, "none");
		return;
	}
	add_action(step,
	    "version=%" G_GUINT64_FORMAT " requests_s=%" G_GINT64_FORMAT,
	    b->version, cfg_int(b->cfg, "limits.requests_s"));
}

static void
print_may_start(struct step *step)
{
	const struct inf_start start = {
		.api_read = has_flag(step, "api_read"),
		.api_failed = has_flag(step, "api_failed"),
		.peers_known = number_of(step, "peers", 0),
		.peers_answered = number_of(step, "told", 0),
		.waited_us = step->now_us,
	};

	add_action(step, "%s", inf_may_serve(&start) ? "yes" : "no");
}

static void
apply(void *state, struct step *step)
{
	if (is_token(step, 0, "offer"))
		offer(state, step);
	else if (is_token(step, 0, "in_force"))
		print_branch(state, step);
	else if (is_token(step, 0, "may_begin"))
		print_may_start(step);
	else
		bad_input(step, "unknown input");
}

const struct player settings_player = { "settings", begin, apply, end };
