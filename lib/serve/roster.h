#ifndef SERVE_ROSTER_H
#define SERVE_ROSTER_H

/*
 * roster: the sidecars of one model, which gateways learn from the store and
 * sidecars from gateways. A desired state message only identifies the newest
 * roster; a sidecar that has an older one requests it and receives it in pages.
 * So an unchanged list costs nothing, and its length is not bounded by the size
 * of a datagram.
 *
 * Gateways may disagree while some are cut off from the store. A roster carries
 * the store's history and revision at which it was read, and sidecars accept
 * only newer ones, so two gateways that disagree cannot make them alternate
 * between two rosters. Pure.
 */

#include "serve/side.h"

struct roster_peer {
	uint8_t ip[4];
	uint16_t port; /* network order */
	char domain[64]; /* failure domain */
};

struct roster_id {
	int64_t history; /* of the store; 0: not known */
	int64_t revision; /* in that history */
	uint64_t digest; /* of the peers, in order */
	uint64_t count;
};

struct roster;

struct roster *roster_new(void);
void roster_free(struct roster *r);
struct roster_id roster_id(const struct roster *r);
/* struct roster_peer, sorted by address; valid until the next change. */
const GArray *roster_peers(const struct roster *r);

/* Takes ownership of `peers`, in any order, as read at the store's `history` and
 * `revision`. True if they differ from the present ones; otherwise the roster
 * does not change. */
bool roster_set(
    struct roster *r, GArray *peers, int64_t history, int64_t revision);

/*
 * Whether `a` replaces `b`. While the store's list is read page by page its
 * revision does not change and the roster only grows, so of the same revision
 * the longer one is newer.
 */
bool roster_is_newer(const struct roster_id *a, const struct roster_id *b);

/* ------------------------------------------------------------------ */
/* Pages                                                               */
/* ------------------------------------------------------------------ */

unsigned int roster_pages(const struct roster *r);
/* Fills `out` with page `index`; its slices point into `bytes`. */
void roster_page(const struct roster *r, unsigned int index, GByteArray *bytes,
    struct side_roster_page *out);
/* Adds a page, in any order and from any gateway. True if that completed a
 * roster newer than that of `r`, which it has replaced. */
bool roster_add_page(struct roster *r, const struct side_roster_page *page);

#endif
