#ifndef SERVE_SUSPECT_H
#define SERVE_SUSPECT_H

/*
 * suspect: requests under which targets ended. One that ends each target that
 * begins to run it comes again under other ids, at any entry; without a memory
 * of its content each attempt costs two targets and all that they were running.
 *
 * When a target ends, each request that was under way there is a suspect, most
 * of them innocent. A request held back here was under way at two targets that
 * ended, and had no answer from either; or at more, if answers had begun. One
 * answer that is whole clears it. What is held is given another chance later,
 * at another moment by each entry; each target that it ends then holds it for
 * longer. Pure: contents are fingerprints, targets hashes of instance ids.
 */

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

struct sus; /* bounded: the least suspect are forgotten first */

/* What being under way at an ended target says against a request. */
enum sus_weight {
	SUS_CLEARED = 0, /* no end: it had a whole answer */
	SUS_ANSWERING = 1, /* its answer had begun: it did run there */
	SUS_SILENT = 2, /* it may have begun and ended the target at once */
};

/* A request was under way at a target when that ended. */
struct sus_termination {
	uint64_t fingerprint; /* see fingerprint.h */
	uint64_t target; /* hash of its instance id */
	unsigned int weight; /* enum sus_weight */
	int64_t at_us;
};

enum sus_verdict {
	SUS_NONE, /* nothing is said against it */
	SUS_SUSPECT, /* may be sent */
	SUS_BLOCKED, /* not to be sent */
};

/* `seed` differs between entries: so do the moments of other chances. */
struct sus *sus_new(uint64_t seed);
void sus_free(struct sus *s);

/*
 * A request was cut off by its target. That counts for a moment, and for good
 * once the target is known to have ended. True: it is known already, and
 * others are to be told.
 */
bool sus_cut(struct sus *s, const struct sus_termination *end);
/* The target has ended. Appends what becomes evidence by that to `news`, an
 * array of struct sus_termination, to be told to others. */
void sus_target_terminated(
    struct sus *s, uint64_t target, int64_t now_us, GArray *news);
/* Evidence by others. True: it was not known. */
bool sus_report(struct sus *s, const struct sus_termination *end);
/* A whole answer clears a request. True: others are to be told, by an end of
 * weight SUS_CLEARED. */
bool sus_answered(struct sus *s, uint64_t content);

/* `until_us`: of what is held, the moment of its next chance here. */
enum sus_verdict sus_judge(
    struct sus *s, uint64_t content, int64_t now_us, int64_t *until_us);
/* Whether enough is known to hold it, now or before another chance. */
bool sus_was_blocked(const struct sus *s, uint64_t content);
/* Appends the known ends of one content, or of all that sus_was_blocked. */
void sus_terminations_of(const struct sus *s, uint64_t content, GArray *out);
void sus_blocked_terminations(const struct sus *s, GArray *out);
/* Forgets what is old. */
void sus_sweep(struct sus *s, int64_t now_us);
bool sus_is_empty(const struct sus *s);
unsigned int sus_count_blocked(const struct sus *s);

#endif
