#ifndef SERVE_VERS_H
#define SERVE_VERS_H

/*
 * vers: the minimum version of a model's weights that must serve a request. An
 * announced version becomes the minimum when its deadline, a fixed time after
 * its announcement, has passed; until then any loaded version may serve. Pure.
 */

#include "serve/records.h"

struct vers;
/*
 * `grace_us`: from the announcement of a version to its deadline; 0: no
 * deadline. `enforce_us`: the time from which this process enforces deadlines.
 * A process that has just started does not yet, like one that lost its
 * connections: if it refused whatever is loaded, nobody would be served after a
 * restart of all processes until the newest version is loaded everywhere.
 */
struct vers *vers_new(int64_t grace_us, int64_t enforce_us);
void vers_free(struct vers *v);
/*
 * Records an announcement that came in at `announced_us`. True if it is new. A
 * version from before the start of this process (`old`) may have been announced
 * at any time: its deadline passes as soon as the process enforces deadlines,
 * as a request that begins on older weights breaks a guarantee, while a refused
 * one can be retried.
 */
bool vers_announced(struct vers *v, const struct sv_version *announced,
    bool old, int64_t announced_us);
/* Records the time of an announcement as reported by a sidecar, which has it
 * from a gateway that may have received the announcement itself. True if it
 * is new. */
bool vers_reported(
    struct vers *v, const char *model, int64_t version, int64_t announced_us);
/*
 * No operator's command could reach any process between the two moments, as the
 * store was down for all. The time until a deadline must run without such an
 * interruption: a version whose deadline was after `from_us` gets its full
 * grace time from `until_us`. Versions of unknown age keep their deadlines.
 * Returns the longest time in microseconds by which a deadline was put off; 0:
 * none was.
 */
int64_t vers_extend(struct vers *v, int64_t from_us, int64_t until_us);
/* Minimum version for a request that begins at `at_us`; 0: any. */
int64_t vers_min(const struct vers *v, const char *model, int64_t at_us);
/* Time from which no request may begin on `loaded`; 0: none is known. */
int64_t vers_deadline_us(
    const struct vers *v, const char *model, int64_t loaded);
int64_t vers_newest(const struct vers *v, const char *model);
/* First version of weights; targets may have it without an announcement. */
#define VERS_FIRST 1
/*
 * The version that targets are to load: the newest announced one. Only a process
 * that has not read the announcements yet (`read`) relies on `loaded`, the
 * newest version that sidecars report as loaded.
 */
int64_t vers_desired(
    const struct vers *v, const char *model, bool read, int64_t loaded);
/* The version announced before the newest, until its deadline; 0: none. */
int64_t vers_pending(const struct vers *v, const char *model, int64_t now_us,
    int64_t *announced_us);
/* When the newest version was announced; 0: none. */
int64_t vers_announced_us(const struct vers *v, const char *model);

#endif
