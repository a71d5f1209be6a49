#ifndef PROC_H
#define PROC_H

/*
 * proc: what both binaries have in common: they read and check the settings
 * file, set up clock, counters, timeline, HTTP session and membership, run the
 * main loop, and stop gracefully on SIGTERM.
 */

#include "agree/agree.h"
#include "common/common.h"
#include "platform/platform.h"

#define PROC_KEY_MAX 64 /* bytes of the shared key */

struct proc {
	struct cfg *cfg;
	uint8_t key[PROC_KEY_MAX];
	size_t key_len;
	struct ctr_set *counters;
	struct tl *timeline;
	struct conn_node node;
	struct plat *plat;
	struct agr *agr;
	GMainLoop *loop;
	/* Called on each SIGTERM or SIGINT; calls proc_quit once running
	 * requests have ended. */
	void (*stop)(void *ctx);
	void *ctx;
};

/* Exit codes of both binaries, as documented in docs/OPERATIONS.md. */
enum proc_exit {
	EXIT_OK = 0,
	EXIT_REFUSED = 1, /* the system refused the request */
	EXIT_USAGE = 2, /* wrong options or settings */
	EXIT_UNREACHABLE = 3, /* no gateway or platform responded */
	EXIT_PENDING = 4, /* accepted, but not active everywhere yet */
};

bool proc_load(struct proc *p, const char *settings_path, struct err *err);
/* Joins the membership and starts to receive settings. */
bool proc_join(struct proc *p, enum mem_kind kind, const char *info,
    const struct agr_ops *ops, void *ctx, struct err *err);
void proc_run(struct proc *p, void (*stop)(void *ctx), void *ctx);
void proc_quit(struct proc *p);
void proc_free(struct proc *p);

/* Records in the timeline that a member is suspected, leaving or dead. */
void proc_record_member(struct proc *p, const struct mem_member *member);

/* JSON array of this process's events after `since`; g_free. */
char *proc_events_json(
    const struct tl *timeline, uint64_t since, uint64_t *next);

#endif
