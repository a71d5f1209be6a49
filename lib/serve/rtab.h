#ifndef SERVE_RTAB_H
#define SERVE_RTAB_H

/*
 * rtab: the operators' settings as they are looked up: routes by host and
 * longest prefix, workspaces by key. Immutable and counted: a request keeps
 * the table that it was matched with while a newer one is in force.
 */

#include "http/parse.h"
#include "serve/records.h"

struct rtab;

/* Takes the config. Starts with one reference. */
struct rtab *rtab_new(struct sv_config *config);
struct rtab *rtab_ref(struct rtab *t);
void rtab_unref(struct rtab *t);
const struct sv_config *rtab_config(const struct rtab *t);

/* `host` may have a port, `target` a query. NULL: no route. */
const struct sv_route *rtab_route(
    const struct rtab *t, struct hslice host, struct hslice target);
/* NULL: nobody has that key. */
const struct sv_workspace *rtab_workspace(
    const struct rtab *t, struct hslice key);
/* Whether there are workspaces at all, so that requests need a key. */
bool rtab_has_workspaces(const struct rtab *t);
/* One of the route's services by its weights; `random` is any number. */
const char *rtab_pick_service(const struct sv_route *r, uint64_t random);

#endif
