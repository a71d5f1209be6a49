/* Choices among targets, and the next rollout order of a target. */

#include <string.h>

#include "replay/replay.h"
#include "route/activate.h"
#include "route/route.h"

#define TARGETS 8
#define DRAWS 50 /* draws per choice; all chosen targets are listed */

struct state {
	struct rt_fleet *fleet;
	struct rt_target targets[TARGETS];
	size_t n;
};

static struct rt_target *
find(struct state *s, const char *name)
{
	size_t i;

	for (i = 0; i < s->n; i++) {
		if (strcmp(s->targets[i].name, name) == 0)
			return &s->targets[i];
	}
	return NULL;
}

static void
version_digest(const char *name, struct digest *out)
{
	digest_of(name, strlen(name), out);
}

static void
apply_target(struct state *s, const struct step *step)
{
	struct rt_target *t = find(s, token(step, 1));

	if (t == NULL && s->n < TARGETS) {
		t = &s->targets[s->n++];
		g_strlcpy(t->name, token(step, 1), sizeof(t->name));
	}
	g_assert(t != NULL);
	g_strlcpy(t->domain, "a", sizeof(t->domain));
	g_strlcpy(t->workspace, "t", sizeof(t->workspace));
	g_strlcpy(t->pool, "p", sizeof(t->pool));
	version_digest(value_of(step, "version", "v1"), &t->loaded);
	t->reachable = !has_flag(step, "cut_off");
	t->accepting = !has_flag(step, "leaving");
	t->slots = number_of(step, "slots", 10);
	rt_fleet_update(s->fleet, t);
}

static void
choose(struct state *s, struct step *step)
{
	struct rt_target *tried = find(s, value_of(step, "tried", ""));
	const struct rt_target *const excluded[] = { tried };
	char **names = g_strsplit(value_of(step, "versions", "v1"), ",", 4);
	bool chosen[TARGETS] = { false }, none_eligible = false;
	struct digest roots[4];
	struct rt_criteria criteria = {
		.kind = RT_ENGINE,
		.workspace = "t",
		.pool = "p",
		.service = "",
		.roots = roots,
		.nroots = g_strv_length(names),
		.ranked = has_flag(step, "ranked"),
		.domain = "a",
		.tried = excluded,
		.ntried = tried == NULL ? 0 : 1,
	};
	struct rt_target *t;
	struct rng rng;
	size_t i;

	for (i = 0; i < criteria.nroots; i++)
		version_digest(names[i], &roots[i]);
	rng_seed(&rng, 1);
	for (i = 0; i < DRAWS; i++) {
		t = rt_choose(s->fleet, &criteria, step->now_us, &rng);
		if (t == NULL)
			none_eligible = true;
		else
			chosen[t - s->targets] = true;
	}
	for (i = 0; i < s->n; i++) {
		if (chosen[i])
			add_action(step, "%s", s->targets[i].name);
	}
	if (none_eligible)
		add_action(step, "none");
	g_strfreev(names);
}

static void
apply_choice(void *state, struct step *step)
{
	const struct err refused = { .code = ERR_UNAVAILABLE };
	struct state *s = state;
	struct rt_target *t = find(s, token(step, 1));

	if (is_token(step, 0, "target")) {
		apply_target(s, step);
	} else if (is_token(step, 0, "choose")) {
		choose(s, step);
	} else if (t == NULL) {
		bad_input(step, "unknown input or target");
	} else if (is_token(step, 0, "told")) {
		rt_target_reported(
		    t, number_of(step, "running", 0), step->now_us);
	} else if (is_token(step, 0, "sent")) {
		rt_target_sent(t, step->now_us);
	} else if (is_token(step, 0, "refused")) {
		rt_target_ended(t, &refused, step->now_us);
	} else if (is_token(step, 0, "lost")) {
		rt_target_disconnected(s->fleet, t);
	} else {
		bad_input(step, "unknown input");
	}
}

static void *
begin(void)
{
	struct state *s = g_new0(struct state, 1);

	s->fleet = rt_fleet_new();
	return s;
}

static void
end(void *state)
{
	struct state *s = state;

	rt_fleet_free(s->fleet);
	g_free(s);
}

const struct player choice_player = { "choice", begin, apply_choice, end };

/* ------------------------------------------------------------------ */
/* Orders of a rollout                                                 */
/* ------------------------------------------------------------------ */

static const char *const step_names[] = {
	[ACT_NONE] = "none",
	[ACT_QUERY] = "ask",
	[ACT_DRAIN] = "drain",
	[ACT_LOAD] = "load",
	[ACT_ADMIT] = "admit",
};

static void
apply_order(void *state, struct step *step)
{
	struct act_rules rules = {
		.room_for_two = has_flag(step, "room_for_two"),
		.max_unavailable = number_of(step, "max_unavailable", 1),
		.unavailable = number_of(step, "unavailable", 0),
	};
	struct act_target target = {
		.reachable = !has_flag(step, "cut_off"),
		.complete = has_flag(step, "whole"),
		.loaded = has_flag(step, "loaded"),
		.empty = has_flag(step, "empty"),
		.drain_ordered = has_flag(step, "ordered_off"),
		.order_pending = has_flag(step, "order_open"),
		.in_backoff = has_flag(step, "resting"),
		.running = number_of(step, "running", 0),
	};

	if (!is_token(step, 0, "target"))
		bad_input(step, "unknown input");
	else
		add_action(step, "%s", step_names[act_next(&rules, &target)]);
}

static void *
begin_nothing(void)
{
	return NULL;
}

static void
end_nothing(void *state)
{
}

const struct player activate_player = { "activate", begin_nothing, apply_order,
	end_nothing };
