#ifndef SERVE_SUSPECT_H
#define SERVE_SUSPECT_H

/*
 * suspect: detects requests that terminate targets. A poison request, one that
 * crashes each target that begins to run it, is retried under other ids and at
 * any gateway. Unless its fingerprint is remembered, each attempt of the caller
 * terminates two targets, the first and that of the gateway's own retry, with
 * all requests that they were running.
 *
 * When a target terminates, each request in flight there becomes a suspect;
 * most of them are innocent. A request is blocked once it was in flight at two
 * targets that terminated without having answered it, or at more if answers
 * had begun. One complete answer clears it. A blocked request is probed again
 * later, by each gateway at a different time; each further termination blocks
 * it for longer. Does no I/O: requests are fingerprints, targets are hashes of
 * instance ids.
 */

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

struct sus; /* bounded: evicts the least suspect requests first */

/* Weight of a termination as evidence against a request in flight there. */
enum sus_weight {
	SUS_CLEARED = 0, /* no termination: it had a complete answer */
	SUS_ANSWERING = 1, /* its answer had begun, so it did run there */
	SUS_UNANSWERED = 2, /* no answer had begun: it may be the cause */
};

/* A request was in flight at a target when the target terminated. */
struct sus_termination {
	uint64_t fingerprint; /* see fingerprint.h */
	uint64_t target; /* hash of its instance id */
	unsigned int weight; /* enum sus_weight */
	int64_t at_us;
};

enum sus_verdict {
	SUS_NONE, /* no evidence against it */
	SUS_SUSPECT, /* may be sent */
	SUS_BLOCKED, /* must not be sent */
};

/* A different `seed` at each gateway gives different probe times. */
struct sus *sus_new(uint64_t seed);
void sus_free(struct sus *s);

/*
 * A request was cut off by its target. This counts for a short time, and
 * permanently once the target is known to have terminated. Returns true if that
 * is known already, so that the caller must publish the termination.
 */
bool sus_cut(struct sus *s, const struct sus_termination *termination);
/* The target has terminated. Appends the terminations that this confirms to
 * `confirmed` (of struct sus_termination); the caller publishes them. */
void sus_target_terminated(
    struct sus *s, uint64_t target, int64_t now_us, GArray *confirmed);
/* Adds a termination reported by another process. True: it was new. */
bool sus_report(struct sus *s, const struct sus_termination *termination);
/* A complete answer clears a request. Returns true if the caller must publish
 * this, as a termination of weight SUS_CLEARED. */
bool sus_answered(struct sus *s, uint64_t fingerprint);

/* `*until_us` is set if blocked: when this gateway may probe it next. */
enum sus_verdict sus_judge(
    struct sus *s, uint64_t fingerprint, int64_t now_us, int64_t *until_us);
/* Whether it is blocked, or was and may be probed now. */
bool sus_was_blocked(const struct sus *s, uint64_t fingerprint);
/* Append the confirmed terminations of one request, or of all requests for
 * which sus_was_blocked() is true. */
void sus_terminations_of(
    const struct sus *s, uint64_t fingerprint, GArray *out);
void sus_blocked_terminations(const struct sus *s, GArray *out);
/* Drops expired suspects. */
void sus_sweep(struct sus *s, int64_t now_us);
bool sus_is_empty(const struct sus *s);
unsigned int sus_count_blocked(const struct sus *s);

#endif
