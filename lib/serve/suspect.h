#ifndef SERVE_SUSPECT_H
#define SERVE_SUSPECT_H

/*
 * suspect: detects what terminates targets: a poison request, which is retried
 * under other ids and at any gateway, or a part of prompts, which requests that
 * differ in all else may have in common. Both are identities of a request, known
 * by their fingerprints. Unless these are remembered, each such request
 * terminates two targets, the first and that of the gateway's own retry, with
 * all requests that they were running.
 *
 * When a target terminates, the identities of each request in flight there
 * become suspects; most of them are innocent. An identity is blocked once it was
 * in flight at several targets that terminated without having answered it, or at
 * more if answers had begun. How many depends on its kind: a part is shared, and
 * blocking it costs more callers their answers.
 *
 * Targets that terminate at the same time, with requests that were in flight
 * together, may have a cause in common, and count once against a part. A complete
 * answer clears all identities of its request. It speaks for the parts for some
 * time more, so that a part in wide use is not suspected when many targets
 * terminate at once. A termination has one cause: it does not count against an
 * identity while a blocked one with more evidence explains it, unless there are
 * so many that chance is ruled out.
 *
 * A blocked identity is probed again later. Each gateway does so at a different
 * time, and the first one publishes its probe, as that blocks the identity for as
 * long again everywhere, also at processes that start later. A complete answer to
 * the probe clears it, any other end leaves it blocked, and each further
 * termination blocks it for longer. Does no I/O: targets are hashes of instance
 * ids.
 */

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "serve/fingerprint.h"

struct sus; /* bounded: evicts the least suspect identities first */

/* Weight of a termination as evidence against an identity in flight there. */
enum sus_weight {
	SUS_CLEARED = 0, /* no termination: a complete answer */
	SUS_ANSWERING = 1, /* its answer had begun, so it did run there */
	SUS_UNANSWERED = 2, /* no answer had begun: it may be the cause */
	/* No termination: a blocked identity is sent as a probe. */
	SUS_PROBE = 3,
};

/* An identity was in flight at a target when the target terminated; or, by its
 * weight, it was answered or probed. */
struct sus_termination {
	uint64_t fingerprint; /* see fingerprint.h */
	uint64_t target; /* hash of its instance id; 0: no termination */
	unsigned int weight; /* enum sus_weight */
	int64_t at_us;
	int64_t in_flight_us; /* since it was sent there; 0: not known */
};

enum sus_verdict {
	SUS_NONE, /* no evidence against it */
	SUS_SUSPECT, /* may be sent */
	SUS_BLOCKED, /* must not be sent */
};

/* What a report of another process changed. */
enum sus_news {
	SUS_KNOWN, /* nothing */
	SUS_NEW,
	/* It is refuted by a complete answer here; the caller publishes what
	 * sus_refutation() returns. */
	SUS_REFUTED,
};

/* A different `seed` at each gateway gives different probe times. */
struct sus *sus_new(uint64_t seed);
void sus_free(struct sus *s);

/*
 * An identity was cut off by its target. This counts for a short time, and
 * permanently once the target is known to have terminated. Returns true if that
 * is known already, so that the caller must publish the termination.
 */
bool sus_cut(struct sus *s, const struct sus_termination *termination);
/* The target has terminated. Appends the terminations that this confirms to
 * `confirmed` (of struct sus_termination); the caller publishes them. */
void sus_target_terminated(
    struct sus *s, uint64_t target, int64_t now_us, GArray *confirmed);
/* Adds a termination, a complete answer or a probe reported by another process. */
enum sus_news sus_report(
    struct sus *s, const struct sus_termination *termination, int64_t now_us);
/* The latest complete answer, as a termination of weight SUS_CLEARED. */
struct sus_termination sus_refutation(
    const struct sus *s, uint64_t fingerprint);
/* A request with the identity has had a complete answer. Returns true if the
 * caller must publish this, as a termination of weight SUS_CLEARED. */
bool sus_answered(struct sus *s, uint64_t fingerprint, int64_t now_us);

/* The same for an answer that ended with its connection. It counts only if its
 * target does not terminate at about that time, as of a later sweep. */
void sus_closed(
    struct sus *s, uint64_t fingerprint, uint64_t target, int64_t now_us);

/* `*until_us` is set if blocked: when this gateway may probe it next. */
enum sus_verdict sus_judge(
    struct sus *s, uint64_t fingerprint, int64_t now_us, int64_t *until_us);
/* Whether it is blocked, or was and may be probed now. */
bool sus_was_blocked(const struct sus *s, uint64_t fingerprint);
/* A request with the identity is sent. If it had been blocked, this is its probe,
 * and it is blocked again for as long: only a complete answer clears it. Returns
 * true if the caller must publish this, as a termination of weight SUS_PROBE: the
 * last one that it published no longer blocks the others. */
bool sus_sent(struct sus *s, uint64_t fingerprint, int64_t now_us);
/* The probe was no test, as it did not run or a planned stop cut it off: the next
 * request may be sent here. Elsewhere the identity stays blocked. */
void sus_void_probe(struct sus *s, uint64_t fingerprint, int64_t now_us);
/* Append the confirmed terminations of one identity, or of all for which
 * sus_was_blocked() is true, and the last probe of each. */
void sus_terminations_of(
    const struct sus *s, uint64_t fingerprint, GArray *out);
void sus_blocked_terminations(const struct sus *s, GArray *out);
/* Drops expired suspects and answers. Appends what sus_closed() clears to
 * `cleared` (of struct sus_termination); the caller publishes it. NULL: no
 * answers end with their connections. */
void sus_sweep(struct sus *s, int64_t now_us, GArray *cleared);
bool sus_is_empty(const struct sus *s); /* there are no suspects */
unsigned int sus_count_blocked(const struct sus *s, enum fpr_kind kind);

#endif
