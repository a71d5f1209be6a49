#ifndef LSE_INTERNAL_H
#define LSE_INTERNAL_H

/*
 * Decisions of one candidate for one leased role, without I/O. The role is the
 * object `leases/ROLE`; charts/lease.yaml defines its states and transitions.
 *
 * Clocks of different hosts are never compared. The holder counts the lease
 * from before it sent its renewal; a candidate counts from when it first read
 * that renewal, which is later. Each uses its own monotonic clock, so that the
 * holder stops before a candidate starts, whatever the delays are.
 */

#include "agree/agree.h"
#include "chart/chart.h"

#define LSE_KEY_PREFIX "leases/"

struct lse_value {
	char holder[MEM_ID_MAX + 1];
	/* of the holder, so that a restarted holder counts as another one */
	uint64_t incarnation;
	uint64_t fence;
	uint64_t lease_ms;
	bool handed_over;
};
char *lse_value_format(const struct lse_value *value); /* free with g_free() */
bool lse_value_parse(const char *text, struct lse_value *out);

struct lse_ops {
	void (*read)(void *ctx);
	void (*write)(const char *value, uint64_t if_version,
	    unsigned int limit_ms, void *ctx);
	void (*gained)(uint64_t fence, void *ctx);
	void (*lost)(void *ctx);
	/*
	 * Announces the fencing number to the members; `holder` is "" after a
	 * release.
	 */
	void (*publish)(uint64_t fence, const char *holder, void *ctx);
	/* The candidate no longer takes part; no callback follows. */
	void (*left)(void *ctx);
};

struct lse_conf {
	const char *self; /* node id */
	uint64_t incarnation;
	unsigned int lease_ms;
};

struct lse;
/* The chart is shared by all roles of a process. */
struct chart *lse_chart(const char *dir, struct err *err);
struct lse *lse_new(const struct chart *chart, const struct lse_conf *conf,
    const struct lse_ops *ops, void *ctx);
void lse_free(struct lse *lse);
void lse_tick(struct lse *lse, int64_t now_us);
/* Rank among the live gateways other than the holder; rank 0 claims. */
void lse_set_rank(struct lse *lse, int64_t now_us, unsigned int rank);
/* The members report that the role changed hands or became free. */
void lse_hint(struct lse *lse, int64_t now_us, uint64_t fence);
/* `version` 0: the object does not exist. `ok` false: the read failed. */
void lse_read_done(struct lse *lse, int64_t now_us, bool ok, uint64_t version,
    const char *value);
enum lse_outcome {
	LSE_WRITTEN,
	LSE_REFUSED,
	LSE_FAILED,
};
/* On LSE_REFUSED `version` and `value` are those of the stored object. */
void lse_write_done(struct lse *lse, int64_t now_us, enum lse_outcome outcome,
    uint64_t version, const char *value);
void lse_leave(struct lse *lse, int64_t now_us);
/* Returns the fencing number while the lease is certainly valid, else 0. */
uint64_t lse_fence(const struct lse *lse, int64_t now_us);
const char *lse_state_name(const struct lse *lse);
unsigned int lse_refused(const struct lse *lse);

#endif
