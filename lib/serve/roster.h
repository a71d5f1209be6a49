#ifndef SERVE_ROSTER_H
#define SERVE_ROSTER_H

/*
 * roster: the keepers of one model, as gateways learn them from the store and
 * keepers from gateways. A view only names the newest roster; a keeper that
 * has an older one asks for it and gets it in pages. So a list that has not
 * changed costs nothing, and a datagram's size does not bound its length.
 *
 * Gateways may differ while some are cut off from the store. A roster bears
 * the store's revision at which it was read: keepers only take newer ones, so
 * two gateways that disagree cannot make them go back and forth. Pure.
 */

#include "serve/side.h"

struct roster_peer {
	uint8_t ip[4];
	uint16_t port; /* network order */
	char domain[64]; /* failure domain */
};

struct roster_id {
	int64_t revision; /* of the store */
	uint64_t digest; /* of the peers, in order */
	uint64_t count;
};

struct roster;

struct roster *roster_new(void);
void roster_free(struct roster *r);
struct roster_id roster_id(const struct roster *r);
/* struct roster_peer, by address; valid until the next change. */
const GArray *roster_peers(const struct roster *r);

/* Takes `peers` over, in any order, as read at the store's `revision`. True
 * when they differ from before; otherwise the roster stays as it was. */
bool roster_set(struct roster *r, GArray *peers, int64_t revision);

/*
 * Whether `a` is to replace `b`. While the store's list comes in by pages its
 * revision stands still and the roster only grows, so the longer is newer.
 */
bool roster_is_newer(const struct roster_id *a, const struct roster_id *b);

/* ------------------------------------------------------------------ */
/* Pages                                                               */
/* ------------------------------------------------------------------ */

unsigned int roster_pages(const struct roster *r);
/* Fills `out` with page `index`; its slices borrow from `bytes`. */
void roster_page(const struct roster *r, unsigned int index, GByteArray *bytes,
    struct side_roster_page *out);
/*
 * Takes a page in, in any order and from any gateway. True when that completed
 * a roster that is newer than what `r` held, and `r` now is that one.
 */
bool roster_add_page(struct roster *r, const struct side_roster_page *page);

#endif
