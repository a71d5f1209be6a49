#ifndef REPLAY_H
#define REPLAY_H

/*
 * Replays a recorded trace through the decision functions of the product:
 *
 *   trace: late-claim           the name of the file
 *   kind: attempt               one of the players below
 *   promise: the invariant that the trace demonstrates
 *   steps:
 *     - {at: 0, in: start keyed, out: claim}
 *
 * `at` is the time in ms and never decreases. `in` is one input. `out` lists
 * all expected actions in order, joined by "; "; without it none is expected.
 */

#include "common/common.h"

struct step {
	int64_t now_us;
	char **tokens; /* of `in`, NULL-terminated */
	GString *out;
	struct err err; /* set if the input is invalid */
};

struct player {
	const char *kind;
	void *(*begin)(void);
	void (*apply)(void *state, struct step *step);
	void (*end)(void *state);
};

extern const struct player attempt_player, choice_player, activate_player,
    lease_player, settings_player, claim_player;

/* Appends an action to step->out. */
void add_action(struct step *step, const char *format, ...) G_GNUC_PRINTF(2, 3);
/* Marks the input as invalid, which fails the trace. */
void bad_input(struct step *step, const char *why);
/* Returns token `i` of the input, or "" past the end. */
const char *token(const struct step *step, unsigned int i);
bool is_token(const struct step *step, unsigned int i, const char *text);
/* Whether the input has a token NAME; the value of its token NAME=VALUE. */
bool has_flag(const struct step *step, const char *name);
const char *value_of(
    const struct step *step, const char *name, const char *fallback);
uint64_t number_of(
    const struct step *step, const char *name, uint64_t fallback);

#endif
