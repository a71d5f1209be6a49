#ifndef SERVE_RTAB_H
#define SERVE_RTAB_H

/*
 * rtab: an index over the operators' settings: routes by host and longest
 * prefix, workspaces by key. Immutable and reference-counted: a request keeps
 * the table that it was matched with after a newer one becomes active.
 */

#include "http/parse.h"
#include "serve/records.h"

struct rtab;

/* Takes ownership of `config`. The caller holds one reference. */
struct rtab *rtab_new(struct sv_config *config);
struct rtab *rtab_ref(struct rtab *t);
void rtab_unref(struct rtab *t);
const struct sv_config *rtab_config(const struct rtab *t);

/* `host` may include a port, `target` a query. NULL: no route matches. */
const struct sv_route *rtab_route(
    const struct rtab *t, struct hslice host, struct hslice target);
/* NULL: the key is unknown. */
const struct sv_workspace *rtab_workspace(
    const struct rtab *t, struct hslice key);
/* Whether any workspace is configured, so that requests need a key. */
bool rtab_has_workspaces(const struct rtab *t);
/* Picks one of the route's services in proportion to their weights. */
const char *rtab_pick_service(const struct sv_route *r, uint64_t random);

#endif
