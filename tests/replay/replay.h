#ifndef REPLAY_H
#define REPLAY_H

/*
 * Drives shipped decision functions with a recorded trace:
 *
 *   trace: late-claim           the file's name
 *   kind: attempt               one of the players below
 *   promise: what must always hold, that it shows
 *   steps:
 *     - {at: 0, in: start keyed, out: claim}
 *
 * `at` is the time in ms and never goes back. `in` is one input, `out` all that the
 * code did on it, in order, joined by "; "; none given means that it must do
 * nothing.
 */

#include "common/common.h"

struct step {
	int64_t now_us;
	char **words; /* of `in`, NULL-terminated */
	GString *out;
	struct err err; /* set by who cannot make sense of the input */
};

struct player {
	const char *kind;
	void *(*begin)(void);
	void (*take)(void *state, struct step *step);
	void (*end)(void *state);
};

extern const struct player attempt_player, choice_player, activate_player,
    lease_player, settings_player, claim_player;

/* Appends to what was done. */
void did(struct step *step, const char *format, ...) G_GNUC_PRINTF(2, 3);
/* The input makes no sense; the trace fails. */
void bad_input(struct step *step, const char *why);
/* Word i, "" past the end. */
const char *word(const struct step *step, unsigned int i);
bool is_word(const struct step *step, unsigned int i, const char *text);
/* Whether a word NAME is there, and the value of a word NAME=VALUE. */
bool has_flag(const struct step *step, const char *name);
const char *value_of(
    const struct step *step, const char *name, const char *fallback);
uint64_t number_of(
    const struct step *step, const char *name, uint64_t fallback);

#endif
