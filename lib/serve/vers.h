#ifndef SERVE_VERS_H
#define SERVE_VERS_H

/*
 * vers: which version of a model's weights a request must at least be served
 * by. A version that was named is due a while after it was heard of; until
 * then any that is loaded may serve. Pure.
 */

#include "serve/records.h"

#define VERS_PENDING_MAX 4 /* named versions of a model that are not due yet */

struct vers_model {
	char model[SV_ID_MAX];
	struct {
		int64_t version;
		int64_t heard_us;
		bool guessed; /* it was there before this process */
	} announced[VERS_PENDING_MAX]; /* oldest first */
	unsigned int nannounced;
};

struct vers;
/*
 * `due_us`: from hearing of a version to its being due; 0: never. `bound_us`:
 * the time from which this process is bound by that. One that has just started
 * is not yet, like one that lost its connections; were it to refuse whatever
 * is loaded, nobody would be served after all have been restarted, until the
 * newest version is everywhere.
 */
struct vers *vers_new(int64_t due_us, int64_t bound_us);
void vers_free(struct vers *v);
/*
 * True when it is news. `heard_us` is when it was heard of. One that was there
 * before this process may have been named at any time (`old`): it is due as
 * soon as the process is bound, as a request that begins on older weights breaks
 * a promise, while one that is refused can come back.
 */
bool vers_announced(
    struct vers *v, const struct sv_version *named, bool old, int64_t heard_us);
/* A keeper's word on when a version was heard of, by a gateway that may have
 * heard of it when it was named. True when it is news. */
bool vers_reported(
    struct vers *v, const char *model, int64_t version, int64_t heard_us);
/*
 * Operators' commands reached nobody between the two moments, as the store was
 * away for all. The time until a version is due runs in one stretch in which
 * they do; a version that was not due at `from_us` is due that long after
 * `until_us`. Versions of unknown age stay due as they are.
 */
void vers_extend(struct vers *v, int64_t from_us, int64_t until_us);
/* What a request that begins at `at_us` must at least run on; 0: any. */
int64_t vers_min(const struct vers *v, const char *model, int64_t at_us);
/* From when on no request may begin on `loaded`; 0: no such time is known. */
int64_t vers_deadline_us(
    const struct vers *v, const char *model, int64_t loaded);
int64_t vers_newest(const struct vers *v, const char *model);
/* The one named before the newest, while requests may begin on what came
 * before it; 0: none. */
int64_t vers_pending(
    const struct vers *v, const char *model, int64_t now_us, int64_t *heard_us);
/* When the newest was heard of; 0: none. */
int64_t vers_announced_us(const struct vers *v, const char *model);

#endif
