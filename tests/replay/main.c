/* replay TRACE: exits with 0 if every step acts as the trace expects. */

#include <stdarg.h>
#include <stdio.h>
#include <string.h>

#include "replay/replay.h"

#define STEPS_MAX 1000
#define TEXT_MAX 1000

static const struct cfg_rule rules[] = {
	{ .path = "trace", .type = CFG_STRING, .required = true },
	{ .path = "kind",
	    .type = CFG_STRING,
	    .required = true,
	    .choices = "attempt|choice|activate|lease|settings|claim" },
	{ .path = "promise", .type = CFG_STRING, .required = true },
	{ .path = "steps",
	    .type = CFG_LIST,
	    .required = true,
	    .min = 1,
	    .max = STEPS_MAX },
	{ .path = "steps.[]", .type = CFG_MAP },
	{ .path = "steps.[].at",
	    .type = CFG_INT,
	    .required = true,
	    .min = 0,
	    .max = INT32_MAX },
	{ .path = "steps.[].in",
	    .type = CFG_STRING,
	    .required = true,
	    .min = 1,
	    .max = TEXT_MAX },
	{ .path = "steps.[].out",
	    .type = CFG_STRING,
	    .min = 1,
	    .max = TEXT_MAX },
};

static const struct cfg_schema schema = { rules, G_N_ELEMENTS(rules) };

static const struct player *const players[] = {
	&attempt_player,
	&choice_player,
	&activate_player,
	&lease_player,
	&settings_player,
	&claim_player,
};

/* ------------------------------------------------------------------ */
/* Helpers for the players                                             */
/* ------------------------------------------------------------------ */

void
add_action(struct step *step, const char *format, ...)
{
	va_list args;

	if (step->out->len > 0)
		g_string_append(step->out, "; ");
	va_start(args, format);
	g_string_append_vprintf(step->out, format, args);
	va_end(args);
}

void
bad_input(struct step *step, const char *why)
{
	err_set(&step->err, ERR_INVALID, VERDICT_NOT_RUN, "%s", why);
}

const char *
token(const struct step *step, unsigned int i)
{
	return i < g_strv_length(step->tokens) ? step->tokens[i] : "";
}

bool
is_token(const struct step *step, unsigned int i, const char *text)
{
	return strcmp(token(step, i), text) == 0;
}

bool
has_flag(const struct step *step, const char *name)
{
	return g_strv_contains((const char *const *)step->tokens, name);
}

const char *
value_of(const struct step *step, const char *name, const char *fallback)
{
	size_t n = strlen(name);
	char **w;

	for (w = step->tokens; *w != NULL; w++) {
		if (strncmp(*w, name, n) == 0 && (*w)[n] == '=')
			return *w + n + 1;
	}
	return fallback;
}

uint64_t
number_of(const struct step *step, const char *name, uint64_t fallback)
{
	const char *text = value_of(step, name, NULL);

	return text == NULL ? fallback : g_ascii_strtoull(text, NULL, 10);
}

/* ------------------------------------------------------------------ */
/* Replay                                                              */
/* ------------------------------------------------------------------ */

static bool
replay_step(const struct cfg *cfg, const struct player *player, void *state,
    size_t i, struct clk_fake *clock)
{
	const char *in = cfg_str(cfg, "steps.%zu.in", i);
	const char *want = cfg_str(cfg, "steps.%zu.out", i);
	int64_t at_us = cfg_int(cfg, "steps.%zu.at", i) * 1000;
	struct step step = { .out = g_string_new(NULL) };
	bool matches;

	if (at_us < clock->now_us)
		bad_input(&step, "time of the step precedes the previous step");
	else
		clk_fake_advance_ms(clock, (at_us - clock->now_us) / 1000);
	step.now_us = clk_now_us(&clock->clock);
	step.tokens = g_strsplit(in, " ", -1);
	if (step.err.code == ERR_NONE)
		player->apply(state, &step);
	if (step.err.code != ERR_NONE)
		add_action(&step, "BAD INPUT: %s", step.err.message);
	matches = strcmp(step.out->str, want) == 0;
	if (!matches) {
		printf("line %d: %s\n  expected: %s\n  did:      %s\n",
		    cfg_line(cfg, "steps.%zu", i), in, want, step.out->str);
	}
	g_strfreev(step.tokens);
	g_string_free(step.out, TRUE);
	return matches;
}

static bool
play(const struct cfg *cfg, const struct player *player)
{
	size_t n = cfg_count(cfg, "steps"), i;
	void *state = player->begin();
	struct clk_fake clock;
	bool passed = true;

	clk_fake_init(&clock, 0);
	for (i = 0; i < n && passed; i++)
		passed = replay_step(cfg, player, state, i, &clock);
	player->end(state);
	printf("%s: %zu of %zu steps as recorded\n", cfg_str(cfg, "trace"),
	    passed ? n : i - 1, n);
	return passed;
}

static bool
name_matches_file(const struct cfg *cfg, const char *path)
{
	char *base = g_path_get_basename(path);
	char *want = g_strconcat(cfg_str(cfg, "trace"), ".yaml", NULL);
	bool same = strcmp(base, want) == 0;

	g_free(base);
	g_free(want);
	return same;
}

int
main(int argc, char **argv)
{
	struct err err = { 0 };
	struct cfg *cfg;
	bool passed = false;
	size_t i;

	if (argc != 2) {
		fprintf(stderr, "usage: replay TRACE\n");
		return 2;
	}
	cfg = cfg_load(argv[1], &schema, &err);
	if (cfg == NULL) {
		fprintf(stderr, "%s\n", err.message);
		return 2;
	}
	if (!name_matches_file(cfg, argv[1])) {
		fprintf(stderr, "%s: file name differs from the trace's name\n",
		    argv[1]);
		cfg_free(cfg);
		return 2;
	}
	for (i = 0; i < G_N_ELEMENTS(players); i++) {
		if (strcmp(players[i]->kind, cfg_str(cfg, "kind")) == 0)
			passed = play(cfg, players[i]);
	}
	cfg_free(cfg);
	return passed ? 0 : 1;
}
